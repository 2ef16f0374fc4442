package edge

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"cherryhub/internal/boundedjson"
	"cherryhub/internal/engine"
)

// chatRequest is a parsed chat completion request. Its fields alias the body.
type chatRequest struct {
	fields             []engine.Field
	model              string
	session            uint64
	sharedPrefix       uint64
	sharedPrefixTokens float64
	promptTokens       float64 // including the shared prefix
	maxOutputTokens    int     // 0 if the request sets none
	stream             bool
	includeUsage       bool // the client wants the usage as an event
}

// apiError is an error response in OpenAI's format.
type apiError struct {
	status  int
	errType string // error.type
	code    string
	param   string
	message string
}

func invalidRequest(param, format string, a ...any) *apiError {
	return &apiError{status: 400, errType: "invalid_request_error", param: param, message: fmt.Sprintf(format, a...)}
}

// tokensPerMessage is the estimated overhead of a message beyond its text, about what chat templates add.
const tokensPerMessage = 4

// parseChat parses a request body. Its time and memory are linear in the size of the body, whatever the content:
// the nesting depth is checked before any recursive parsing.
func parseChat(body []byte, l Limits, id Identity) (*chatRequest, *apiError) {
	if boundedjson.IsDeeperThan(body, l.MaxDepth) {
		return nil, invalidRequest("", "the body's JSON is nested more than %d deep", l.MaxDepth)
	}
	if !gjson.ValidBytes(body) {
		return nil, invalidRequest("", "the body is not JSON")
	}
	root := gjson.Parse(engine.UnsafeString(body)) // safe: the body is owned here and not modified
	if !root.IsObject() {
		return nil, invalidRequest("", "the body is no JSON object")
	}
	c := &chatRequest{}
	var apiErr *apiError
	root.ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		for _, f := range c.fields {
			if f.Name == name {
				apiErr = invalidRequest(name, "%q is given twice", name)
				return false
			}
		}
		if len(c.fields) >= maxFields {
			apiErr = invalidRequest("", "more than %d fields", maxFields)
			return false
		}
		c.fields = append(c.fields, engine.Field{Name: name, QuotedName: rawJSON(body, key), Value: rawJSON(body, value)})
		apiErr = c.parseField(name, value, l, id)
		return apiErr == nil
	})
	switch {
	case apiErr != nil:
		return nil, apiErr
	case c.model == "":
		return nil, invalidRequest("model", "model is missing")
	case c.promptTokens == 0:
		return nil, invalidRequest("messages", "messages are missing")
	case c.includeUsage && !c.stream:
		return nil, invalidRequest("stream_options", "stream_options is only allowed with stream")
	}
	for _, name := range id.SessionFields {
		if i := slices.IndexFunc(c.fields, func(f engine.Field) bool { return f.Name == name }); i >= 0 {
			if v := gjson.Parse(engine.UnsafeString(c.fields[i].Value)); v.Type == gjson.String && v.Str != "" {
				c.session = xxhash.Sum64String(v.Str)
				break
			}
		}
	}
	return c, nil
}

// maxFields bounds the number of fields in a body. The API defines about 40.
const maxFields = 128

func rawJSON(body []byte, r gjson.Result) []byte {
	if r.Index > 0 && r.Index+len(r.Raw) <= len(body) {
		return body[r.Index : r.Index+len(r.Raw)]
	}
	return []byte(r.Raw)
}

func (c *chatRequest) parseField(name string, v gjson.Result, l Limits, id Identity) *apiError {
	if v.Type == gjson.Null {
		return nil
	}
	switch name {
	case "model":
		if v.Type != gjson.String || v.Str == "" {
			return invalidRequest(name, "model must be a string that is not empty")
		}
		c.model = strings.Clone(v.Str)
	case "stream":
		if !v.IsBool() {
			return invalidRequest(name, "stream must be true or false")
		}
		c.stream = v.Bool()
	case "stream_options":
		u := v.Get("include_usage")
		if !v.IsObject() || u.Exists() && !u.IsBool() {
			return invalidRequest(name, "stream_options must be an object whose include_usage is true or false")
		}
		c.includeUsage = u.Bool()
	case "n":
		if v.Type != gjson.Number || v.Num != 1 {
			return invalidRequest(name, "n must be 1")
		}
	case "max_tokens", "max_completion_tokens":
		if v.Type != gjson.Number || v.Num < 1 || v.Num > 1e9 || v.Num != math.Trunc(v.Num) {
			return invalidRequest(name, "%s must be a whole number from 1 to 1e9", name)
		}
		c.maxOutputTokens = int(v.Num)
	case "messages":
		return c.parseMessages(v, l, id)
	}
	return nil
}

// parseMessages estimates the prompt length and hashes the shared prefix, which is the JSON of the leading system
// and developer messages.
func (c *chatRequest) parseMessages(v gjson.Result, l Limits, id Identity) *apiError {
	if !v.IsArray() {
		return invalidRequest("messages", "messages must be an array")
	}
	n, leading, textBytes := 0, true, 0
	hash := xxhash.New()
	var apiErr *apiError
	v.ForEach(func(_, m gjson.Result) bool {
		role := m.Get("role")
		switch {
		case n >= l.MaxMessages:
			apiErr = invalidRequest("messages", "more than %d messages", l.MaxMessages)
		case !m.IsObject():
			apiErr = invalidRequest(fmt.Sprintf("messages[%d]", n), "a message must be an object")
		case role.Type != gjson.String || role.Str == "":
			apiErr = invalidRequest(fmt.Sprintf("messages[%d].role", n), "role must be a string that is not empty")
		}
		size, problem := contentBytes(m.Get("content"))
		if apiErr == nil && problem != "" {
			apiErr = invalidRequest(fmt.Sprintf("messages[%d].content", n), "%s", problem)
		}
		if apiErr != nil {
			return false
		}
		n++
		textBytes += size
		leading = leading && (role.Str == "system" || role.Str == "developer")
		if leading && id.LeadingMessagesShared {
			hash.WriteString(m.Raw) //nolint:errcheck // never fails
			c.sharedPrefix = hash.Sum64()
			c.sharedPrefixTokens = float64(n)*tokensPerMessage + float64(textBytes)/id.BytesPerToken
		}
		return true
	})
	if apiErr == nil && n == 0 {
		apiErr = invalidRequest("messages", "messages must not be empty")
	}
	c.promptTokens = float64(n)*tokensPerMessage + float64(textBytes)/id.BytesPerToken
	return apiErr
}

// contentBytes returns the text length of a message's content, or of its parts.
func contentBytes(v gjson.Result) (size int, problem string) {
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
			problem = "a part of content must be an object with a type"
		}
		size += len(part.Get("text").Str)
		return problem == ""
	})
	return size, problem
}
