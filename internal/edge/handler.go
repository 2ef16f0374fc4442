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

// timeoutHeaders are where a client states its timeout, in seconds: ours, and that of OpenAI's own clients.
var timeoutHeaders = [...]string{"Cherryhub-Timeout", "X-Stainless-Timeout"}

// complete serves one chat call.
func (e *Edge) complete(ctx context.Context, rc *app.RequestContext) {
	arrived := time.Now()
	body, bad := e.body(rc)
	// Counted before it is asked whether the edge ends, as Stop asks the other way about: one of the two sees the other.
	// A body that still comes is not waited for.
	e.active.Add(1)
	defer e.active.Add(-1)
	if bad == nil && e.ending.Load() {
		bad = &apiError{status: 503, kind: "server_error", code: "stopping", message: "this router is stopping"}
		rc.SetConnectionClose()
	}
	var tenant, work int
	if bad == nil {
		tenant, bad = e.tenant(rc)
	}
	var returns uint64
	if bad == nil {
		returns, bad = e.early(rc, body)
	}
	var ch *chat
	if bad == nil {
		ch, bad = parseChat(body, e.o.Limits, e.o.Identity)
	}
	if bad == nil {
		work, bad = e.workloadOf(ch.model)
	}
	if bad != nil {
		e.refuse(rc, bad)
		return
	}

	w := &e.o.Workloads[work]
	timeout, whole := w.ClientTimeout, e.o.MaxStreamDuration
	if stated := statedTimeout(rc); stated > 0 {
		timeout, whole = min(timeout, stated), min(whole, stated)
	}
	if !ch.stream {
		whole = min(whole, timeout)
	}
	margin := min(e.o.AnswerMargin, timeout/4)
	most := ch.most
	if most == 0 {
		most = w.DefaultMaxTokens
	}
	over, bad := e.take(rc)
	if bad != nil {
		e.refuse(rc, bad)
		return
	}
	id := e.NextID()
	h := &rc.Request.Header
	r := &Request{ID: id, ExternalID: e.name(id), IdempotencyKey: string(h.Peek("Idempotency-Key")), TraceParent: string(h.Peek("Traceparent")),
		ArrivedAt: arrived, FirstTokenTimeout: timeout, AnswerMargin: margin, TotalTimeout: whole, OnDone: over,
		Prompt: decide.Prompt{Workload: work, Tenant: tenant, Session: ch.session, SharedPrefix: ch.shared, SharedPrefixTokens: ch.sharedLen,
			Tokens: ch.prompt, MaxOutputTokens: float64(most)},
		BuildBody: func(reads bool, state []byte) []byte {
			if reads {
				return engine.ReadBody(ch.fields)
			}
			return engine.WriteBody(ch.fields, state, w.DefaultMaxTokens)
		}}
	if r.IdempotencyKey == "" {
		r.IdempotencyKey = r.ExternalID
	}
	rc.Response.Header.Set("X-Request-Id", r.ExternalID)
	if _, taken := e.Handle(ctx, r, &chatClient{e: e, rc: rc, chat: ch, r: r, returns: returns}); !taken {
		setComeBack(rc, e.o.RetryAfter.Seconds())
		e.refuse(rc, e.busy())
	}
}

// chatClient is the client of a chat call.
type chatClient struct {
	e       *Edge
	rc      *app.RequestContext
	chat    *chat
	r       *Request
	returns uint64 // knows it again if it comes back before its time
}

// Fault is of Client, as are the methods below.
func (c *chatClient) EngineError(status int, body []byte) {
	c.e.refuse(c.rc, &apiError{status: status, message: string(body)})
}

func (c *chatClient) RateLimit(comeBack float64) {
	setComeBack(c.rc, comeBack)
	c.e.rateLimited(c.returns, comeBack)
	c.e.refuse(c.rc, &apiError{status: 429, kind: "requests", code: "rate_limit_exceeded",
		message: "rate-limited: trying again is harmless"})
}

func (c *chatClient) Abort(late bool) {
	c.noRetry()
	err := &apiError{status: 503, kind: "server_error", code: "aborted", message: "aborted: it is not known what was done"}
	if late {
		err = &apiError{status: 504, kind: "server_error", code: "client_timeout", message: "aborted: the client timeout is spent"}
	}
	c.e.refuse(c.rc, err)
}

// noRetry keeps OpenAI's clients from trying again by themselves what may not run twice.
func (c *chatClient) noRetry() {
	if c.e.o.Workloads[c.r.Prompt.Workload].Idempotency == decide.NonIdempotent {
		c.rc.Response.Header.Set("X-Should-Retry", "false")
	}
}

func setComeBack(rc *app.RequestContext, seconds float64) {
	if seconds > 0 {
		rc.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(seconds))))
		rc.Response.Header.Set("Retry-After-Ms", strconv.Itoa(int(math.Ceil(seconds*1000))))
	}
}

// Relay is of Client.
func (c *chatClient) Relay(ctx, run context.Context, stream Stream) Answer {
	if c.chat.stream {
		return c.relayStream(ctx, run, stream)
	}
	return c.relayWhole(ctx, run, stream)
}

// relayStream writes events as they come. A client that reads slowly holds up its own stream alone: what is
// in memory is one event and the sockets' buffers, and a write that waits too long ends it.
func (c *chatClient) relayStream(ctx, run context.Context, stream Stream) Answer {
	rc := c.rc
	h := &rc.Response.Header
	h.SetContentType("text/event-stream")
	h.Set("Cache-Control", "no-cache")
	rc.Response.HijackWriter(resp.NewChunkedBodyWriter(&rc.Response, rc.GetWriter()))
	var out []byte
	var wrote float64
	var waited time.Duration
	for {
		event, err := stream.Next()
		switch {
		case err == nil && event.Usage && !c.chat.usage:
			continue
		case err == nil:
			out = append(append(append(out, "data: "...), event.Data...), "\n\n"...)
			if stream.HasBufferedEvent() && len(out) < flushMost {
				continue
			}
		case errors.Is(err, io.EOF):
			out = append(out, "data: [DONE]\n\n"...)
		case ctx.Err() != nil:
			return ClientLeft
		default:
			out = append(append(append(out, "data: "...), c.broken(run, err).body()...), "\n\n"...)
		}
		began := time.Now()
		if _, fault := rc.Write(out); fault != nil || rc.Flush() != nil {
			return ClientLeft
		}
		// A client that reads a little now and then never waits past ClientWrite for one write. All its waits
		// together are bounded too; without that it would hold an engine's place for the whole StreamMost.
		wrote += float64(len(out))
		waited += time.Since(began)
		if e := c.e; e.o.MinClientReadRate > 0 && waited.Seconds() > e.o.ClientWriteTimeout.Seconds()+wrote/e.o.MinClientReadRate {
			return ClientLeft
		}
		out = out[:0]
		switch {
		case errors.Is(err, io.EOF):
			return Finished
		case err != nil:
			return Aborted
		}
	}
}

// flushMost bounds what is gathered of events that came together, in bytes.
const flushMost = 16 << 10

// broken is the error event of an answer that ended in the middle.
func (c *chatClient) broken(run context.Context, err error) *apiError {
	cause := context.Cause(run)
	switch {
	case errors.Is(cause, engine.ErrTimedOut):
		return &apiError{kind: "server_error", code: "client_timeout", message: "aborted: the time for the answer is spent"}
	case errors.Is(cause, engine.ErrCancelled):
		return &apiError{kind: "server_error", code: "stopping", message: "aborted: this router is stopping"}
	}
	c.e.o.Log.Info("answer broke", "completion", c.r.ExternalID, "err", err)
	return &apiError{kind: "server_error", code: "answer_broken", message: "aborted: the answer broke on its way"}
}

// relayWhole gathers the events into one answer.
func (c *chatClient) relayWhole(ctx, run context.Context, stream Stream) Answer {
	rc := c.rc
	var whole gathered
	for {
		event, err := stream.Next()
		if err == nil {
			err = whole.add(event.Data, c.e.o.Limits.MaxAnswerBytes)
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			rc.Response.Header.SetContentType("application/json")
			usage, told := stream.Usage()
			rc.Write(whole.body(usage, told)) //nolint:errcheck // into the response's buffer
			return Finished
		case ctx.Err() != nil:
			return ClientLeft
		}
		c.noRetry()
		bad := c.broken(run, err)
		bad.status = 503
		if bad.code == "client_timeout" {
			bad.status = 504
		}
		c.e.refuse(rc, bad)
		return Aborted
	}
}

// statedTimeout is the time that the client says it waits, 0 if it doesn't.
func statedTimeout(rc *app.RequestContext) time.Duration {
	for _, name := range timeoutHeaders {
		if s, err := strconv.ParseFloat(string(rc.Request.Header.Peek(name)), 64); err == nil && s > 0 && s < 1e6 {
			return time.Duration(s * float64(time.Second))
		}
	}
	return 0
}

func (e *Edge) busy() *apiError {
	return &apiError{status: 429, kind: "requests", code: "router_busy", message: "not taken: this router has too many completions open"}
}

func (e *Edge) tenantOf(authorization string) (int, *apiError) {
	key, given := strings.CutPrefix(authorization, "Bearer ")
	if given && len(e.tenants) > 0 {
		if i, known := e.tenants[sha256.Sum256([]byte(key))]; known {
			return i, nil
		}
		return 0, &apiError{status: 401, kind: "invalid_request_error", code: "invalid_api_key", message: "this API key is not known here"}
	}
	if e.nobody < 0 {
		return 0, &apiError{status: 401, kind: "invalid_request_error", code: "invalid_api_key", message: "an API key is wanted: Authorization: Bearer KEY"}
	}
	return e.nobody, nil
}

func (e *Edge) workloadOf(model string) (int, *apiError) {
	if i, known := e.models[model]; known {
		return i, nil
	}
	return 0, &apiError{status: 404, kind: "invalid_request_error", code: "model_not_found", param: "model",
		message: fmt.Sprintf("the model %.100q does not exist here", model)}
}

// body reads the call's body, no more than is allowed and not slower. A body may fall BodyWait behind BodyRate:
// that guards against a client that holds a connection, and the memory of its body, by sending a byte now and
// then. It harms one whose link is slower still.
func (e *Edge) body(rc *app.RequestContext) ([]byte, *apiError) {
	most := e.o.Limits.MaxBodyBytes
	tooLarge := &apiError{status: 413, kind: "invalid_request_error", code: "body_too_large",
		message: fmt.Sprintf("the body is longer than %d bytes", most)}
	if rc.Request.Header.ContentLength() > most {
		return nil, tooLarge
	}
	if !rc.Request.IsBodyStream() {
		return rc.Request.Body(), nil
	}
	body := make([]byte, 0, max(0, min(rc.Request.Header.ContentLength(), bodyAhead))+bytes.MinRead)
	began, stream, conn := time.Now(), rc.RequestBodyStream(), rc.GetConn()
	if e.o.MaxBodyLag > 0 {
		defer conn.SetReadTimeout(e.o.IdleTimeout) //nolint:errcheck // of a connection that is closed
	}
	for {
		if e.o.MaxBodyLag > 0 {
			left := e.o.MaxBodyLag + time.Duration(float64(len(body))/e.o.MinBodyRate*float64(time.Second)) - time.Since(began)
			if left <= 0 {
				return nil, bodySlow
			}
			conn.SetReadTimeout(left) //nolint:errcheck // as above
		}
		if cap(body)-len(body) < bytes.MinRead {
			body = slices.Grow(body, max(len(body), bytes.MinRead))
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > most:
			return nil, tooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil && e.o.MaxBodyLag > 0 && time.Since(began).Seconds() >= e.o.MaxBodyLag.Seconds()+float64(len(body))/e.o.MinBodyRate:
			return nil, bodySlow
		case err != nil:
			return nil, &apiError{status: 400, kind: "invalid_request_error", code: "body_broken", message: "the body ended early"}
		}
	}
}

// bodyAhead is how much memory a body gets on its client's word alone, in bytes.
const bodyAhead = 64 << 10

var bodySlow = &apiError{status: 408, kind: "invalid_request_error", code: "body_timeout", message: "the call's body came too slowly"}

// refuse answers with an error. An engine's own word (no kind) goes on as it is if it is JSON.
func (e *Edge) refuse(rc *app.RequestContext, err *apiError) {
	if err.status < 500 && err.status != 429 {
		e.o.Observer.Refused(err.status)
	}
	if err.code == "body_too_large" || err.code == "body_broken" || err == bodySlow {
		e.hangUp(rc, err, lingerFor)
		return
	}
	rc.SetStatusCode(err.status)
	rc.Response.Header.SetContentType("application/json")
	rc.Response.SetBody(err.body())
}

// hangUp answers a call whose body is not read to its end and closes the connection, after reading on for a
// moment: closed with bytes unread the answer would be lost to a reset.
func (e *Edge) hangUp(rc *app.RequestContext, err *apiError, linger time.Duration) {
	body := err.body()
	conn := rc.GetConn()
	var advice string
	if s := rc.Response.Header.Get("Retry-After"); s != "" {
		advice = "Retry-After: " + s + "\r\nRetry-After-Ms: " + rc.Response.Header.Get("Retry-After-Ms") + "\r\n"
	}
	fmt.Fprintf(connWriter{conn}, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		err.status, consts.StatusMessage(err.status), len(body), advice, body)
	conn.Flush()                    //nolint:errcheck // the connection is closed next
	conn.SetReadTimeout(linger / 4) //nolint:errcheck // as above
	until := time.Now().Add(linger)
	for left := lingerMost; left > 0 && time.Now().Before(until); {
		if _, fault := conn.Peek(1); fault != nil {
			break
		}
		n := conn.Len()
		conn.Skip(n)   //nolint:errcheck // so many are there
		conn.Release() //nolint:errcheck // as above
		left -= n
	}
	rc.Response.HijackWriter(nothing{})
	conn.Close() //nolint:errcheck // done with it
}

// A client that goes on sending a body that was refused is read so long and so much.
const (
	lingerFor  = 400 * time.Millisecond
	lingerMost = 8 << 20
)

func (a *apiError) body() []byte {
	if a.kind == "" {
		if json.Valid([]byte(a.message)) {
			return []byte(a.message)
		}
		a = &apiError{kind: "invalid_request_error", code: "refused_by_engine", message: a.message}
	}
	text := func(s string) any {
		if s == "" {
			return nil
		}
		return s
	}
	b, err := json.Marshal(map[string]any{"error": map[string]any{
		"message": a.message, "type": a.kind, "param": text(a.param), "code": text(a.code)}})
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
	for _, w := range e.o.Workloads {
		for _, m := range w.Models {
			list.Data = append(list.Data, model{m, "model", 0, "cherryhub"})
		}
	}
	rc.JSON(200, list)
}
