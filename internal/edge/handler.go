package edge

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"cherryhub/decide"
	"cherryhub/internal/engine"
)

// timeoutHeaders are the headers in which a client gives its timeout in seconds: the router's own, and the one of OpenAI's clients.
var timeoutHeaders = [...]string{"Cherryhub-Timeout", "X-Stainless-Timeout"}

// handleChatCompletion serves POST /v1/chat/completions.
func (e *Edge) handleChatCompletion(ctx context.Context, rc *app.RequestContext) {
	arrivedAt := time.Now()
	body, apiErr := e.readBody(rc)
	// The request is counted before stopping is checked, and Stop does the reverse, so that at least one of them sees the other.
	// Stop does not wait for a body that is still arriving.
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	if apiErr == nil && e.stopping.Load() {
		apiErr = &apiError{status: 503, errType: "server_error", code: "stopping", message: "this router is stopping"}
		rc.SetConnectionClose()
	}
	var tenant, workload int
	if apiErr == nil {
		tenant, apiErr = e.requestTenant(rc)
	}
	var retryKey uint64
	if apiErr == nil {
		retryKey, apiErr = e.checkRetry(rc, body)
	}
	var chat *chatRequest
	if apiErr == nil {
		chat, apiErr = parseChat(body, e.options.Limits, e.options.Identity)
	}
	if apiErr == nil {
		workload, apiErr = e.workloadForModel(chat.model)
	}
	if apiErr != nil {
		e.writeError(rc, apiErr)
		return
	}

	w := &e.options.Workloads[workload]
	timeout, total := w.ClientTimeout, e.options.MaxStreamDuration
	if requested := requestedTimeout(rc); requested > 0 {
		timeout, total = min(timeout, requested), min(total, requested)
	}
	if !chat.stream {
		total = min(total, timeout)
	}
	margin := min(e.options.AnswerMargin, timeout/4)
	maxTokens := chat.maxOutputTokens
	if maxTokens == 0 {
		maxTokens = w.DefaultMaxTokens
	}
	done, apiErr := e.admitCompletion(rc)
	if apiErr != nil {
		e.writeError(rc, apiErr)
		return
	}
	id := e.NextID()
	h := &rc.Request.Header
	r := &Request{ID: id, ExternalID: e.externalID(id), IdempotencyKey: string(h.Peek("Idempotency-Key")), TraceParent: string(h.Peek("Traceparent")),
		ArrivedAt: arrivedAt, FirstTokenTimeout: timeout, AnswerMargin: margin, TotalTimeout: total, OnDone: done,
		Prompt: decide.Prompt{Workload: workload, Tenant: tenant, Session: chat.session, SharedPrefix: chat.sharedPrefix, SharedPrefixTokens: chat.sharedPrefixTokens,
			Tokens: chat.promptTokens, MaxOutputTokens: float64(maxTokens)},
		BuildBody: func(isRead bool, state []byte) []byte {
			if isRead {
				return engine.ReadBody(chat.fields)
			}
			return engine.WriteBody(chat.fields, state, w.DefaultMaxTokens)
		}}
	if r.IdempotencyKey == "" {
		r.IdempotencyKey = r.ExternalID
	}
	rc.Response.Header.Set("X-Request-Id", r.ExternalID)
	if _, accepted := e.Handle(ctx, r, &chatClient{edge: e, rc: rc, chat: chat, request: r, retryKey: retryKey}); !accepted {
		setRetryAfter(rc, e.options.RetryAfter.Seconds())
		e.writeError(rc, e.busyError())
	}
}

// chatClient implements Client for a chat completion request.
type chatClient struct {
	edge     *Edge
	rc       *app.RequestContext
	chat     *chatRequest
	request  *Request
	retryKey uint64 // identifies an early retry of the completion
}

// EngineError implements Client.
func (c *chatClient) EngineError(status int, body []byte) {
	c.edge.writeError(c.rc, &apiError{status: status, message: string(body)})
}

func (c *chatClient) RateLimit(retryAfter float64) {
	setRetryAfter(c.rc, retryAfter)
	c.edge.recordRateLimit(c.retryKey, retryAfter)
	c.edge.writeError(c.rc, &apiError{status: 429, errType: "requests", code: "rate_limit_exceeded",
		message: "rate-limited: trying again is harmless"})
}

func (c *chatClient) Abort(timedOut bool) {
	c.forbidRetry()
	err := &apiError{status: 503, errType: "server_error", code: "aborted", message: "aborted: it is not known what was done"}
	if timedOut {
		err = &apiError{status: 504, errType: "server_error", code: "client_timeout", message: "aborted: the client timeout is spent"}
	}
	c.edge.writeError(c.rc, err)
}

// forbidRetry tells OpenAI's clients not to retry a non-idempotent completion automatically.
func (c *chatClient) forbidRetry() {
	if c.edge.options.Workloads[c.request.Prompt.Workload].Idempotency == decide.NonIdempotent {
		c.rc.Response.Header.Set("X-Should-Retry", "false")
	}
}

func setRetryAfter(rc *app.RequestContext, seconds float64) {
	if seconds > 0 {
		rc.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(seconds))))
		rc.Response.Header.Set("Retry-After-Ms", strconv.Itoa(int(math.Ceil(seconds*1000))))
	}
}

// Relay implements Client.
func (c *chatClient) Relay(ctx, dispatchCtx context.Context, stream Stream) Answer {
	if c.chat.stream {
		return c.relayStream(ctx, dispatchCtx, stream)
	}
	return c.relayAggregated(ctx, dispatchCtx, stream)
}

// relayStream writes events to the client as they arrive. A slow client delays only its own stream: memory holds
// no more than the buffered events and the socket buffers, and a write that blocks too long ends the stream.
func (c *chatClient) relayStream(ctx, dispatchCtx context.Context, stream Stream) Answer {
	rc := c.rc
	h := &rc.Response.Header
	h.SetContentType("text/event-stream")
	h.Set("Cache-Control", "no-cache")
	rc.Response.HijackWriter(resp.NewChunkedBodyWriter(&rc.Response, rc.GetWriter()))
	var buf []byte
	var written float64
	var blocked time.Duration
	for {
		event, err := stream.Next()
		switch {
		case err == nil && event.UsageOnly && !c.chat.includeUsage:
			continue
		case err == nil:
			buf = append(append(append(buf, "data: "...), event.Data...), "\n\n"...)
			if stream.HasBufferedEvent() && len(buf) < flushThresholdBytes {
				continue
			}
		case errors.Is(err, io.EOF):
			buf = append(buf, "data: [DONE]\n\n"...)
		case ctx.Err() != nil:
			return ClientLeft
		default:
			buf = append(append(append(buf, "data: "...), c.streamError(dispatchCtx, err).encode()...), "\n\n"...)
		}
		start := time.Now()
		if _, writeErr := rc.Write(buf); writeErr != nil || rc.Flush() != nil {
			return ClientLeft
		}
		// A client that reads a few bytes now and then never exceeds ClientWriteTimeout in a single write. The total
		// time spent blocked is bounded as well; otherwise such a client could occupy an engine slot for the whole of
		// MaxStreamDuration.
		written += float64(len(buf))
		blocked += time.Since(start)
		if e := c.edge; e.options.MinClientReadRate > 0 && blocked.Seconds() > e.options.ClientWriteTimeout.Seconds()+written/e.options.MinClientReadRate {
			return ClientLeft
		}
		buf = buf[:0]
		switch {
		case errors.Is(err, io.EOF):
			return Finished
		case err != nil:
			return Aborted
		}
	}
}

// flushThresholdBytes bounds how much of a burst of events is buffered before a flush.
const flushThresholdBytes = 16 << 10

// streamError returns the error for an answer that broke off.
func (c *chatClient) streamError(dispatchCtx context.Context, err error) *apiError {
	cause := context.Cause(dispatchCtx)
	switch {
	case errors.Is(cause, engine.ErrTimedOut):
		return &apiError{errType: "server_error", code: "client_timeout", message: "aborted: the time for the answer is spent"}
	case errors.Is(cause, engine.ErrCancelled):
		return &apiError{errType: "server_error", code: "stopping", message: "aborted: this router is stopping"}
	}
	c.edge.options.Log.Info("answer stream broke", "completion", c.request.ExternalID, "err", err)
	return &apiError{errType: "server_error", code: "answer_broken", message: "aborted: the answer broke on its way"}
}

// relayAggregated collects the events of the stream into one response.
func (c *chatClient) relayAggregated(ctx, dispatchCtx context.Context, stream Stream) Answer {
	rc := c.rc
	var answer answerAggregator
	for {
		event, err := stream.Next()
		if err == nil {
			err = answer.addEvent(event.Data, c.edge.options.Limits.MaxAnswerBytes)
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			rc.Response.Header.SetContentType("application/json")
			usage, hasUsage := stream.Usage()
			rc.Write(answer.encode(usage, hasUsage)) //nolint:errcheck // buffered in the response
			return Finished
		case ctx.Err() != nil:
			return ClientLeft
		}
		c.forbidRetry()
		apiErr := c.streamError(dispatchCtx, err)
		apiErr.status = 503
		if apiErr.code == "client_timeout" {
			apiErr.status = 504
		}
		c.edge.writeError(rc, apiErr)
		return Aborted
	}
}

// requestedTimeout returns the timeout given by the client, 0 for none.
func requestedTimeout(rc *app.RequestContext) time.Duration {
	for _, name := range timeoutHeaders {
		if s, err := strconv.ParseFloat(string(rc.Request.Header.Peek(name)), 64); err == nil && s > 0 && s < 1e6 {
			return time.Duration(s * float64(time.Second))
		}
	}
	return 0
}

func (e *Edge) busyError() *apiError {
	return &apiError{status: 429, errType: "requests", code: "router_busy", message: "not taken: this router has too many completions open"}
}

func (e *Edge) tenantByKey(authorization string) (int, *apiError) {
	key, hasKey := strings.CutPrefix(authorization, "Bearer ")
	if hasKey && len(e.tenantByKeyHash) > 0 {
		if i, ok := e.tenantByKeyHash[sha256.Sum256([]byte(key))]; ok {
			return i, nil
		}
		return 0, &apiError{status: 401, errType: "invalid_request_error", code: "invalid_api_key", message: "this API key is not known here"}
	}
	if e.anonymousTenant < 0 {
		return 0, &apiError{status: 401, errType: "invalid_request_error", code: "invalid_api_key", message: "an API key is wanted: Authorization: Bearer KEY"}
	}
	return e.anonymousTenant, nil
}

func (e *Edge) workloadForModel(model string) (int, *apiError) {
	if i, ok := e.workloadByModel[model]; ok {
		return i, nil
	}
	return 0, &apiError{status: 404, errType: "invalid_request_error", code: "model_not_found", param: "model",
		message: fmt.Sprintf("the model %.100q does not exist here", model)}
}

// readBody reads the request body within the limits on size and speed. A body may fall behind MinBodyRate by at
// most MaxBodyLag. This guards against clients that occupy a connection and memory by sending a byte now and then,
// and also rejects clients whose link is slower than that.
func (e *Edge) readBody(rc *app.RequestContext) ([]byte, *apiError) {
	maxBytes := e.options.Limits.MaxBodyBytes
	tooLarge := &apiError{status: 413, errType: "invalid_request_error", code: "body_too_large",
		message: fmt.Sprintf("the body is longer than %d bytes", maxBytes)}
	if rc.Request.Header.ContentLength() > maxBytes {
		return nil, tooLarge
	}
	if !rc.Request.IsBodyStream() {
		return rc.Request.Body(), nil
	}
	body := make([]byte, 0, max(0, min(rc.Request.Header.ContentLength(), maxInitialBodyBytes))+bytes.MinRead)
	start, stream, conn := time.Now(), rc.RequestBodyStream(), rc.GetConn()
	if e.options.MaxBodyLag > 0 {
		defer conn.SetReadTimeout(e.options.IdleTimeout) //nolint:errcheck // fails only on a closed connection
	}
	for {
		if e.options.MaxBodyLag > 0 {
			remaining := e.options.MaxBodyLag + time.Duration(float64(len(body))/e.options.MinBodyRate*float64(time.Second)) - time.Since(start)
			if remaining <= 0 {
				return nil, bodyTimeoutError
			}
			conn.SetReadTimeout(remaining) //nolint:errcheck // as above
		}
		if cap(body)-len(body) < bytes.MinRead {
			body = slices.Grow(body, max(len(body), bytes.MinRead))
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBytes:
			return nil, tooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil && e.options.MaxBodyLag > 0 && time.Since(start).Seconds() >= e.options.MaxBodyLag.Seconds()+float64(len(body))/e.options.MinBodyRate:
			return nil, bodyTimeoutError
		case err != nil:
			return nil, &apiError{status: 400, errType: "invalid_request_error", code: "body_broken", message: "the body ended early"}
		}
	}
}

// maxInitialBodyBytes bounds the buffer that is allocated from the declared content length alone.
const maxInitialBodyBytes = 64 << 10

var bodyTimeoutError = &apiError{status: 408, errType: "invalid_request_error", code: "body_timeout", message: "the call's body came too slowly"}

// writeError responds with an error. An engine's own error response (errType empty) is passed through unchanged if it is JSON.
func (e *Edge) writeError(rc *app.RequestContext, err *apiError) {
	if err.status < 500 && err.status != 429 {
		e.options.Observer.Refused(err.status)
	}
	if err.code == "body_too_large" || err.code == "body_broken" || err == bodyTimeoutError {
		e.writeErrorAndClose(rc, err, lingerTimeout)
		return
	}
	rc.SetStatusCode(err.status)
	rc.Response.Header.SetContentType("application/json")
	rc.Response.SetBody(err.encode())
}

// writeErrorAndClose responds to a request whose body is not fully read and closes the connection. It first reads on
// for a short time, because closing a socket with unread bytes sends a reset that can discard the response.
func (e *Edge) writeErrorAndClose(rc *app.RequestContext, err *apiError, timeout time.Duration) {
	body := err.encode()
	conn := rc.GetConn()
	var retryHeaders string
	if s := rc.Response.Header.Get("Retry-After"); s != "" {
		retryHeaders = "Retry-After: " + s + "\r\nRetry-After-Ms: " + rc.Response.Header.Get("Retry-After-Ms") + "\r\n"
	}
	fmt.Fprintf(connWriter{conn}, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		err.status, consts.StatusMessage(err.status), len(body), retryHeaders, body)
	conn.Flush()                     //nolint:errcheck // the connection is closed below
	conn.SetReadTimeout(timeout / 4) //nolint:errcheck // as above
	deadline := time.Now().Add(timeout)
	for remaining := maxLingerBytes; remaining > 0 && time.Now().Before(deadline); {
		if _, peekErr := conn.Peek(1); peekErr != nil {
			break
		}
		n := conn.Len()
		conn.Skip(n)   //nolint:errcheck // n bytes are buffered
		conn.Release() //nolint:errcheck // as above
		remaining -= n
	}
	rc.Response.HijackWriter(writtenResponse{})
	conn.Close() //nolint:errcheck // nothing to do about a failed close
}

// Bounds on reading from a client that keeps sending a rejected body.
const (
	lingerTimeout  = 400 * time.Millisecond
	maxLingerBytes = 8 << 20
)

func (a *apiError) encode() []byte {
	if a.errType == "" {
		if json.Valid([]byte(a.message)) {
			return []byte(a.message)
		}
		a = &apiError{errType: "invalid_request_error", code: "refused_by_engine", message: a.message}
	}
	stringOrNull := func(s string) any {
		if s == "" {
			return nil
		}
		return s
	}
	b, err := json.Marshal(map[string]any{"error": map[string]any{
		"message": a.message, "type": a.errType, "param": stringOrNull(a.param), "code": stringOrNull(a.code)}})
	if err != nil {
		return []byte(`{"error":{"message":"error","type":"server_error","param":null,"code":null}}`)
	}
	return b
}

// listModels serves GET /v1/models.
func (e *Edge) listModels(_ context.Context, rc *app.RequestContext) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int    `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, w := range e.options.Workloads {
		for _, m := range w.Models {
			list.Data = append(list.Data, model{m, "model", 0, "cherryhub"})
		}
	}
	rc.JSON(200, list)
}
