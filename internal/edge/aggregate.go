package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/tidwall/gjson"

	"cherryhub/internal/engine"
)

// answerAggregator builds a non-streamed answer from the events of a stream.
type answerAggregator struct {
	size         int
	metadata     map[string]json.RawMessage  // id, created, model, ...
	deltaTexts   map[string]*strings.Builder // content and the other text fields of a delta, by name
	toolCalls    map[int]*toolCall
	logprobs     []json.RawMessage
	finishReason json.RawMessage
}

type toolCall struct{ id, kind, name, arguments string }

var errAnswerTooLong = fmt.Errorf("the answer is longer than limits.max_answer_bytes")

func (a *answerAggregator) addEvent(data []byte, maxBytes int) error {
	if a.size += len(data); a.size > maxBytes {
		return errAnswerTooLong
	}
	root := gjson.ParseBytes(data)
	if a.metadata == nil {
		a.metadata, a.deltaTexts, a.toolCalls = map[string]json.RawMessage{}, map[string]*strings.Builder{}, map[int]*toolCall{}
		for _, name := range [...]string{"id", "created", "model", "system_fingerprint", "service_tier"} {
			if v := root.Get(name); v.Exists() {
				a.metadata[name] = json.RawMessage(bytes.Clone([]byte(v.Raw)))
			}
		}
	}
	choice := root.Get("choices.0")
	choice.Get("delta").ForEach(func(key, v gjson.Result) bool {
		switch {
		case key.Str == "role":
		case key.Str == "tool_calls":
			v.ForEach(func(_, call gjson.Result) bool { a.addToolCall(call); return len(a.toolCalls) < maxToolCalls })
		case v.Type == gjson.String:
			if a.deltaTexts[key.Str] == nil {
				a.deltaTexts[strings.Clone(key.Str)] = &strings.Builder{}
			}
			a.deltaTexts[key.Str].WriteString(v.Str)
		}
		return true
	})
	choice.Get("logprobs.content").ForEach(func(_, v gjson.Result) bool {
		a.logprobs = append(a.logprobs, json.RawMessage(strings.Clone(v.Raw)))
		return true
	})
	if r := choice.Get("finish_reason"); r.Type == gjson.String {
		a.finishReason = json.RawMessage(strings.Clone(r.Raw))
	}
	return nil
}

// maxToolCalls bounds the tool calls of one answer.
const maxToolCalls = 1024

func (a *answerAggregator) addToolCall(v gjson.Result) {
	i := int(v.Get("index").Int())
	c := a.toolCalls[i]
	if c == nil {
		c = &toolCall{}
		a.toolCalls[i] = c
	}
	for dst, path := range map[*string]string{&c.id: "id", &c.kind: "type", &c.name: "function.name"} {
		if s := v.Get(path); s.Type == gjson.String && *dst == "" {
			*dst = strings.Clone(s.Str)
		}
	}
	c.arguments += v.Get("function.arguments").Str
}

// encode returns the answer as a JSON object.
func (a *answerAggregator) encode(u engine.Usage, hasUsage bool) []byte {
	message := map[string]any{"role": "assistant", "content": nil, "refusal": nil}
	for name, text := range a.deltaTexts {
		message[name] = text.String()
	}
	if len(a.toolCalls) > 0 {
		indices := make([]int, 0, len(a.toolCalls))
		for i := range a.toolCalls {
			indices = append(indices, i)
		}
		sort.Ints(indices)
		var calls []any
		for _, i := range indices {
			c := a.toolCalls[i]
			calls = append(calls, map[string]any{"id": c.id, "type": c.kind,
				"function": map[string]any{"name": c.name, "arguments": c.arguments}})
		}
		message["tool_calls"] = calls
	}
	choice := map[string]any{"index": 0, "message": message, "finish_reason": a.finishReason, "logprobs": nil}
	if a.logprobs != nil {
		choice["logprobs"] = map[string]any{"content": a.logprobs, "refusal": nil}
	}
	answer := map[string]any{"object": "chat.completion", "choices": []any{choice}}
	for name, v := range a.metadata {
		answer[name] = v
	}
	if hasUsage {
		answer["usage"] = map[string]any{"prompt_tokens": u.PromptTokens, "completion_tokens": u.OutputTokens,
			"total_tokens": u.PromptTokens + u.OutputTokens, "prompt_tokens_details": map[string]any{"cached_tokens": u.CachedTokens}}
	}
	b, err := json.Marshal(answer)
	if err != nil { // cannot happen: all parts are valid JSON
		return []byte("{}")
	}
	return b
}

// connWriter adapts a connection's write buffer to io.Writer.
type connWriter struct{ network.Writer }

func (w connWriter) Write(p []byte) (int, error) { return w.WriteBinary(p) }

// writtenResponse discards Hertz's own output for a response that is already written.
type writtenResponse struct{}

func (writtenResponse) Write(p []byte) (int, error) { return len(p), nil }
func (writtenResponse) Flush() error                { return nil }
func (writtenResponse) Finalize() error             { return nil }
