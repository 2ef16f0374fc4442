package front

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"cherryhub/decide"
	"cherryhub/internal/platform/http1"
)

// refusal is an error answer.
type refusal struct {
	status  int
	message string
	after   float64 // seconds, 0 for no advice
	last    bool    // the connection can't be used again
}

func bad(status int, format string, a ...any) *refusal {
	return &refusal{status: status, message: fmt.Sprintf(format, a...)}
}

// unreadable is the answer to a message that could not be read: where the next one begins is in doubt.
func unreadable(err error) *refusal {
	r := &refusal{status: 400, message: err.Error(), last: true}
	if errors.Is(err, http1.ErrTooLarge) {
		r.status = 413
	}
	return r
}

// chatPath is the call's.
const chatPath = "/v1/chat/completions"

// wanted is a call as its header tells it.
type wanted struct {
	id      string
	key     string // by which engines know a repeat, empty for none
	prompt  decide.Prompt
	timeout time.Duration
}

// timeoutMost bounds what a client may say that it waits.
const timeoutMost = time.Hour

// parse checks a call's header against the settings' names.
func (s *Server) parse(h *http1.Head) (*wanted, *refusal) {
	field := func(name string) (string, *refusal) {
		v, times := h.Get(name)
		if times > 1 {
			return "", bad(400, "%s: given %d times", name, times)
		}
		return v, nil
	}
	var values [8]string
	for i, name := range [...]string{"x-request-id", "x-class", "x-tenant", "x-key", "x-deadline", "x-extras", "x-cost-hint", "idempotency-key"} {
		v, fault := field(name)
		if fault != nil {
			return nil, fault
		}
		values[i] = v
	}
	w := &wanted{id: values[0], key: values[7]}
	if !isID(w.id) {
		return nil, bad(400, "x-request-id: %.80q is no id: wanted 1 to %d letters, digits, - or _", w.id, idMost)
	}
	if len(w.key) > keyMost {
		return nil, bad(400, "idempotency-key: %d bytes: wanted %d at most", len(w.key), keyMost)
	}
	work, known := s.works[values[1]]
	if !known {
		return nil, bad(400, "x-class: %.80q is not known", values[1])
	}
	w.prompt.Workload = work
	if len(s.tenants) > 0 {
		tenant, known := s.tenants[values[2]]
		if !known {
			return nil, bad(400, "x-tenant: %.80q is not known", values[2])
		}
		w.prompt.Tenant = tenant
	}
	if values[3] != "" {
		w.prompt.Session = xxhash.Sum64String(values[3])
	}
	timeout, ok := duration(values[4])
	if !ok {
		return nil, bad(400, "x-deadline: %.40q: wanted a number above 0 followed by m or u, an hour at most", values[4])
	}
	w.timeout = timeout
	if values[6] != "" {
		hint, err := strconv.ParseFloat(values[6], 64)
		if err != nil || !(hint >= 0) || hint > 1e12 {
			return nil, bad(400, "x-cost-hint: %.40q: wanted microseconds", values[6])
		}
		w.prompt.OutputTimeHint = hint / 1e6
	}
	retry, _ := h.Get("x-retry")
	w.prompt.Resumed = retry == "again"
	return w, w.extras(values[5])
}

// lengthMost bounds a length that a client tells, in tokens.
const lengthMost = 1e7

func (w *wanted) extras(text string) *refusal {
	if text == "" {
		return nil
	}
	for entry := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(entry), "=")
		if !found || name == "" {
			return bad(400, "x-extras: %.40q: wanted NAME=VALUE", entry)
		}
		if name == "prefix" {
			w.prompt.SharedPrefix = xxhash.Sum64String(value)
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0) || n > lengthMost {
			return bad(400, "x-extras: %s: %.40q: wanted tokens from 0 to %.0f", name[:min(len(name), 40)], value, lengthMost)
		}
		switch name {
		case "prompt_len":
			w.prompt.Tokens = n
		case "prefix_len":
			w.prompt.SharedPrefixTokens = n
		case "max_out":
			w.prompt.MaxOutputTokens = n
		}
	}
	if w.prompt.SharedPrefix == 0 {
		w.prompt.SharedPrefixTokens = 0
	}
	return nil
}

// bytesPerToken is the protocol's own figure.
const bytesPerToken = 4

// read checks the body and fills in what the header left out.
func (w *wanted) read(body []byte) *refusal {
	if !gjson.ValidBytes(body) {
		return &refusal{status: 400, message: "the body is not JSON", last: true} // its length may be wrong
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() || !root.Get("messages").IsArray() {
		return bad(400, "the body: wanted an object with messages")
	}
	if w.prompt.Tokens == 0 {
		w.prompt.Tokens = math.Ceil(float64(len(body)) / bytesPerToken)
	}
	if w.prompt.MaxOutputTokens == 0 {
		w.prompt.MaxOutputTokens = math.Min(lengthMost, math.Max(0, root.Get("max_tokens").Float()))
	}
	w.prompt.SharedPrefixTokens = math.Min(w.prompt.SharedPrefixTokens, w.prompt.Tokens)
	return nil
}

// The bounds of an id and of an idempotency key, in bytes.
const (
	idMost  = 128
	keyMost = 255
)

func isID(s string) bool {
	if s == "" || len(s) > idMost {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// duration reads a number followed by m for milliseconds or u for microseconds.
func duration(s string) (time.Duration, bool) {
	if len(s) < 2 || len(s) > 24 || strings.Trim(s[:len(s)-1], "0123456789.") != "" {
		return 0, false
	}
	unit := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[s[len(s)-1]]
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || unit == 0 || !(n > 0) || n*float64(unit) > float64(timeoutMost) {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}
