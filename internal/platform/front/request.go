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
	"cherryhub/internal/boundedjson"
	"cherryhub/internal/platform/http1"
)

// errorResponse is an HTTP error response.
type errorResponse struct {
	status            int
	message           string
	retryAfterSeconds float64 // 0 to send no Retry-After
	closeConn         bool    // the connection can't serve another request
}

func errorResponsef(status int, format string, a ...any) *errorResponse {
	return &errorResponse{status: status, message: fmt.Sprintf(format, a...)}
}

// readErrorResponse returns the response to a request that could not be parsed. The connection is closed, since the
// start of the next request is unknown.
func readErrorResponse(err error) *errorResponse {
	r := &errorResponse{status: 400, message: err.Error(), closeConn: true}
	if errors.Is(err, http1.ErrTooLarge) {
		r.status = 413
	}
	return r
}

// chatPath is the only path that accepts completions.
const chatPath = "/v1/chat/completions"

// completionRequest holds a completion's parameters from the header and, where that leaves them out, from the body.
type completionRequest struct {
	id             string
	idempotencyKey string // passed on so that engines recognise repeated requests; may be empty
	prompt         decide.Prompt
	clientTimeout  time.Duration
}

// maxClientTimeout is the longest x-deadline that is accepted.
const maxClientTimeout = time.Hour

// parseHeader validates a request's header against the configured workloads and tenants.
func (s *Server) parseHeader(h *http1.Head) (*completionRequest, *errorResponse) {
	field := func(name string) (string, *errorResponse) {
		v, count := h.Get(name)
		if count > 1 {
			return "", errorResponsef(400, "%s: given %d times", name, count)
		}
		return v, nil
	}
	var values [8]string
	for i, name := range [...]string{"x-request-id", "x-class", "x-tenant", "x-key", "x-deadline", "x-extras", "x-cost-hint", "idempotency-key"} {
		v, errResp := field(name)
		if errResp != nil {
			return nil, errResp
		}
		values[i] = v
	}
	req := &completionRequest{id: values[0], idempotencyKey: values[7]}
	if !validID(req.id) {
		return nil, errorResponsef(400, "x-request-id: %.80q is no id: wanted 1 to %d letters, digits, - or _", req.id, maxIDBytes)
	}
	if len(req.idempotencyKey) > maxKeyBytes {
		return nil, errorResponsef(400, "idempotency-key: %d bytes: wanted %d at most", len(req.idempotencyKey), maxKeyBytes)
	}
	workload, known := s.workloads[values[1]]
	if !known {
		return nil, errorResponsef(400, "x-class: %.80q is not known", values[1])
	}
	req.prompt.Workload = workload
	if len(s.tenants) > 0 {
		tenant, known := s.tenants[values[2]]
		if !known {
			return nil, errorResponsef(400, "x-tenant: %.80q is not known", values[2])
		}
		req.prompt.Tenant = tenant
	}
	if values[3] != "" {
		req.prompt.Session = xxhash.Sum64String(values[3])
	}
	timeout, ok := parseTimeout(values[4])
	if !ok {
		return nil, errorResponsef(400, "x-deadline: %.40q: wanted a number above 0 followed by m or u, an hour at most", values[4])
	}
	req.clientTimeout = timeout
	if values[6] != "" {
		hint, err := strconv.ParseFloat(values[6], 64)
		if err != nil || !(hint >= 0) || hint > 1e12 {
			return nil, errorResponsef(400, "x-cost-hint: %.40q: wanted microseconds", values[6])
		}
		req.prompt.OutputTimeHint = hint / 1e6
	}
	retry, _ := h.Get("x-retry")
	req.prompt.Resumed = retry == "again"
	return req, req.parseExtras(values[5])
}

// maxDeclaredTokens is the largest token count that a client may declare.
const maxDeclaredTokens = 1e7

func (r *completionRequest) parseExtras(text string) *errorResponse {
	if text == "" {
		return nil
	}
	for entry := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(entry), "=")
		if !found || name == "" {
			return errorResponsef(400, "x-extras: %.40q: wanted NAME=VALUE", entry)
		}
		if name == "prefix" {
			r.prompt.SharedPrefix = xxhash.Sum64String(value)
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0) || n > maxDeclaredTokens {
			return errorResponsef(400, "x-extras: %s: %.40q: wanted tokens from 0 to %.0f", name[:min(len(name), 40)], value, maxDeclaredTokens)
		}
		switch name {
		case "prompt_len":
			r.prompt.Tokens = n
		case "prefix_len":
			r.prompt.SharedPrefixTokens = n
		case "max_out":
			r.prompt.MaxOutputTokens = n
		}
	}
	if r.prompt.SharedPrefix == 0 {
		r.prompt.SharedPrefixTokens = 0
	}
	return nil
}

// bytesPerToken is the protocol's ratio for estimating a prompt's tokens from the body's size.
const bytesPerToken = 4

// parseBody validates the body and derives the values that the header left out.
func (r *completionRequest) parseBody(body []byte) *errorResponse {
	if errResp := checkJSON(body); errResp != nil {
		errResp.closeConn = true // Content-Length may have been wrong
		return errResp
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() || !root.Get("messages").IsArray() {
		return errorResponsef(400, "the body: wanted an object with messages")
	}
	if r.prompt.Tokens == 0 {
		r.prompt.Tokens = math.Ceil(float64(len(body)) / bytesPerToken)
	}
	if r.prompt.MaxOutputTokens == 0 {
		r.prompt.MaxOutputTokens = math.Min(maxDeclaredTokens, math.Max(0, root.Get("max_tokens").Float()))
	}
	r.prompt.SharedPrefixTokens = math.Min(r.prompt.SharedPrefixTokens, r.prompt.Tokens)
	return nil
}

// checkJSON checks that a body is JSON, and that it does not nest too deep before it is parsed by recursion.
func checkJSON(body []byte) *errorResponse {
	if boundedjson.IsDeeperThan(body, boundedjson.MaxDepth) {
		return errorResponsef(400, "the body's JSON is nested more than %d deep", boundedjson.MaxDepth)
	}
	if !gjson.ValidBytes(body) {
		return errorResponsef(400, "the body is not JSON")
	}
	return nil
}

const (
	maxIDBytes  = 128
	maxKeyBytes = 255
)

func validID(s string) bool {
	if s == "" || len(s) > maxIDBytes {
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

// parseTimeout parses a number followed by m for milliseconds or u for microseconds.
func parseTimeout(s string) (time.Duration, bool) {
	if len(s) < 2 || len(s) > 24 || strings.Trim(s[:len(s)-1], "0123456789.") != "" {
		return 0, false
	}
	unit := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[s[len(s)-1]]
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || unit == 0 || !(n > 0) || n*float64(unit) > float64(maxClientTimeout) {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}
