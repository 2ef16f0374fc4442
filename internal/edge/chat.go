package edge

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"cherryhub/internal/engine"
)

// chat is what a chat call's body says. It points into the body.
type chat struct {
	fields    []engine.Field
	model     string
	session   uint64
	shared    uint64
	sharedLen float64 // tokens
	prompt    float64 // tokens, the shared beginning included
	most      int     // tokens of the answer, 0 where not said
	stream    bool
	usage     bool // wanted as an event
}

// apiError is an answer in OpenAI's error shape.
type apiError struct {
	status  int
	kind    string // error.type
	code    string
	param   string
	message string
}

func invalid(param, format string, a ...any) *apiError {
	return &apiError{status: 400, kind: "invalid_request_error", param: param, message: fmt.Sprintf(format, a...)}
}

// messageTokens is what a message costs besides its text, about what chat templates add.
const messageTokens = 4

// parseChat reads a body. Whatever the body holds, it takes time and memory in proportion to the body and no
// more: depth is bounded before anything recursive looks at it.
func parseChat(body []byte, l Limits, id Identity) (*chat, *apiError) {
	if depth := depthOf(body, l.MaxDepth); depth > l.MaxDepth {
		return nil, invalid("", "the body's JSON is nested more than %d deep", l.MaxDepth)
	}
	if !gjson.ValidBytes(body) {
		return nil, invalid("", "the body is not JSON")
	}
	root := gjson.Parse(engine.Text(body)) // the body is ours, and nobody writes to it
	if !root.IsObject() {
		return nil, invalid("", "the body is no JSON object")
	}
	c := &chat{}
	var bad *apiError
	root.ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		for _, f := range c.fields {
			if f.Name == name {
				bad = invalid(name, "%q is given twice", name)
				return false
			}
		}
		if len(c.fields) >= maxFields {
			bad = invalid("", "more than %d fields", maxFields)
			return false
		}
		c.fields = append(c.fields, engine.Field{Name: name, Quoted: raw(body, key), JSON: raw(body, value)})
		bad = c.field(name, value, l, id)
		return bad == nil
	})
	switch {
	case bad != nil:
		return nil, bad
	case c.model == "":
		return nil, invalid("model", "model is missing")
	case c.prompt == 0:
		return nil, invalid("messages", "messages are missing")
	case c.usage && !c.stream:
		return nil, invalid("stream_options", "stream_options is only allowed with stream")
	}
	for _, name := range id.SessionFields {
		if i := slices.IndexFunc(c.fields, func(f engine.Field) bool { return f.Name == name }); i >= 0 {
			if v := gjson.Parse(engine.Text(c.fields[i].JSON)); v.Type == gjson.String && v.Str != "" {
				c.session = xxhash.Sum64String(v.Str)
				break
			}
		}
	}
	return c, nil
}

// maxFields bounds the fields of a body; the API has about 40.
const maxFields = 128

func raw(body []byte, r gjson.Result) []byte {
	if r.Index > 0 && r.Index+len(r.Raw) <= len(body) {
		return body[r.Index : r.Index+len(r.Raw)]
	}
	return []byte(r.Raw)
}

func (c *chat) field(name string, v gjson.Result, l Limits, id Identity) *apiError {
	if v.Type == gjson.Null {
		return nil
	}
	switch name {
	case "model":
		if v.Type != gjson.String || v.Str == "" {
			return invalid(name, "model must be a string that is not empty")
		}
		c.model = strings.Clone(v.Str)
	case "stream":
		if !v.IsBool() {
			return invalid(name, "stream must be true or false")
		}
		c.stream = v.Bool()
	case "stream_options":
		u := v.Get("include_usage")
		if !v.IsObject() || u.Exists() && !u.IsBool() {
			return invalid(name, "stream_options must be an object whose include_usage is true or false")
		}
		c.usage = u.Bool()
	case "n":
		if v.Type != gjson.Number || v.Num != 1 {
			return invalid(name, "n must be 1")
		}
	case "max_tokens", "max_completion_tokens":
		if v.Type != gjson.Number || v.Num < 1 || v.Num > 1e9 || v.Num != math.Trunc(v.Num) {
			return invalid(name, "%s must be a whole number from 1 to 1e9", name)
		}
		c.most = int(v.Num)
	case "messages":
		return c.messages(v, l, id)
	}
	return nil
}

// messages measures the prompt and finds the beginning that it shares: the leading system and developer
// messages, by their JSON.
func (c *chat) messages(v gjson.Result, l Limits, id Identity) *apiError {
	if !v.IsArray() {
		return invalid("messages", "messages must be an array")
	}
	n, leading, text := 0, true, 0
	hash := xxhash.New()
	var bad *apiError
	v.ForEach(func(_, m gjson.Result) bool {
		role := m.Get("role")
		switch {
		case n >= l.MaxMessages:
			bad = invalid("messages", "more than %d messages", l.MaxMessages)
		case !m.IsObject():
			bad = invalid(fmt.Sprintf("messages[%d]", n), "a message must be an object")
		case role.Type != gjson.String || role.Str == "":
			bad = invalid(fmt.Sprintf("messages[%d].role", n), "role must be a string that is not empty")
		}
		size, fault := contentSize(m.Get("content"))
		if bad == nil && fault != "" {
			bad = invalid(fmt.Sprintf("messages[%d].content", n), "%s", fault)
		}
		if bad != nil {
			return false
		}
		n++
		text += size
		leading = leading && (role.Str == "system" || role.Str == "developer")
		if leading && id.LeadingMessagesShared {
			hash.WriteString(m.Raw) //nolint:errcheck // never fails
			c.shared = hash.Sum64()
			c.sharedLen = float64(n)*messageTokens + float64(text)/id.BytesPerToken
		}
		return true
	})
	if bad == nil && n == 0 {
		bad = invalid("messages", "messages must not be empty")
	}
	c.prompt = float64(n)*messageTokens + float64(text)/id.BytesPerToken
	return bad
}

// contentSize is the bytes of a content's text, or of its parts.
func contentSize(v gjson.Result) (size int, fault string) {
	switch {
	case !v.Exists(), v.Type == gjson.Null:
		return 0, ""
	case v.Type == gjson.String:
		return len(v.Str), ""
	case !v.IsArray():
		return 0, "content must be a string, an array of parts or null"
	}
	v.ForEach(func(_, part gjson.Result) bool {
		if !part.IsObject() || part.Get("type").Type != gjson.String {
			fault = "a part of content must be an object with a type"
		}
		size += len(part.Get("text").Str)
		return fault == ""
	})
	return size, fault
}

// depthOf is how deep the body's brackets nest, strings aside; it stops when that passes the most.
func depthOf(body []byte, most int) int {
	depth, deepest, quoted := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch b := body[i]; {
		case quoted:
			if b == '\\' {
				i++
			} else if b == '"' {
				quoted = false
			}
		case b == '"':
			quoted = true
		case b == '{' || b == '[':
			if depth++; depth > deepest {
				if deepest = depth; deepest > most {
					return deepest
				}
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return deepest
}
