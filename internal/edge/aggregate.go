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

// gathered is an answer that is not streamed, put together from the events of one that is.
type gathered struct {
	size   int
	head   map[string]json.RawMessage  // id, created, model, ...
	texts  map[string]*strings.Builder // content and what else of a delta is text
	calls  map[int]*toolCall
	probs  []json.RawMessage
	reason json.RawMessage
}

type toolCall struct{ id, kind, name, arguments string }

// errTooLong is an answer of more bytes than are allowed.
var errTooLong = fmt.Errorf("the answer is longer than limits.max_answer_bytes")

func (g *gathered) add(data []byte, most int) error {
	if g.size += len(data); g.size > most {
		return errTooLong
	}
	root := gjson.ParseBytes(data)
	if g.head == nil {
		g.head, g.texts, g.calls = map[string]json.RawMessage{}, map[string]*strings.Builder{}, map[int]*toolCall{}
		for _, name := range [...]string{"id", "created", "model", "system_fingerprint", "service_tier"} {
			if v := root.Get(name); v.Exists() {
				g.head[name] = json.RawMessage(bytes.Clone([]byte(v.Raw)))
			}
		}
	}
	choice := root.Get("choices.0")
	choice.Get("delta").ForEach(func(key, v gjson.Result) bool {
		switch {
		case key.Str == "role":
		case key.Str == "tool_calls":
			v.ForEach(func(_, call gjson.Result) bool { g.call(call); return len(g.calls) < maxToolCalls })
		case v.Type == gjson.String:
			if g.texts[key.Str] == nil {
				g.texts[strings.Clone(key.Str)] = &strings.Builder{}
			}
			g.texts[key.Str].WriteString(v.Str)
		}
		return true
	})
	choice.Get("logprobs.content").ForEach(func(_, v gjson.Result) bool {
		g.probs = append(g.probs, json.RawMessage(strings.Clone(v.Raw)))
		return true
	})
	if r := choice.Get("finish_reason"); r.Type == gjson.String {
		g.reason = json.RawMessage(strings.Clone(r.Raw))
	}
	return nil
}

// maxToolCalls bounds the calls of one answer.
const maxToolCalls = 1024

func (g *gathered) call(v gjson.Result) {
	i := int(v.Get("index").Int())
	c := g.calls[i]
	if c == nil {
		c = &toolCall{}
		g.calls[i] = c
	}
	for to, from := range map[*string]string{&c.id: "id", &c.kind: "type", &c.name: "function.name"} {
		if s := v.Get(from); s.Type == gjson.String && *to == "" {
			*to = strings.Clone(s.Str)
		}
	}
	c.arguments += v.Get("function.arguments").Str
}

// body is the answer as one JSON object.
func (g *gathered) body(u engine.Usage, told bool) []byte {
	message := map[string]any{"role": "assistant", "content": nil, "refusal": nil}
	for name, text := range g.texts {
		message[name] = text.String()
	}
	if len(g.calls) > 0 {
		indices := make([]int, 0, len(g.calls))
		for i := range g.calls {
			indices = append(indices, i)
		}
		sort.Ints(indices)
		var calls []any
		for _, i := range indices {
			c := g.calls[i]
			calls = append(calls, map[string]any{"id": c.id, "type": c.kind,
				"function": map[string]any{"name": c.name, "arguments": c.arguments}})
		}
		message["tool_calls"] = calls
	}
	choice := map[string]any{"index": 0, "message": message, "finish_reason": g.reason, "logprobs": nil}
	if g.probs != nil {
		choice["logprobs"] = map[string]any{"content": g.probs, "refusal": nil}
	}
	whole := map[string]any{"object": "chat.completion", "choices": []any{choice}}
	for name, v := range g.head {
		whole[name] = v
	}
	if told {
		whole["usage"] = map[string]any{"prompt_tokens": u.Prompt, "completion_tokens": u.Answer,
			"total_tokens": u.Prompt + u.Answer, "prompt_tokens_details": map[string]any{"cached_tokens": u.Cached}}
	}
	b, err := json.Marshal(whole)
	if err != nil { // all of it was valid JSON
		return []byte("{}")
	}
	return b
}

// connWriter writes to a connection's buffer.
type connWriter struct{ network.Writer }

func (w connWriter) Write(p []byte) (int, error) { return w.WriteBinary(p) }

// nothing is a response that was written already.
type nothing struct{}

func (nothing) Write(p []byte) (int, error) { return len(p), nil }
func (nothing) Flush() error                { return nil }
func (nothing) Finalize() error             { return nil }
