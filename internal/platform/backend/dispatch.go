package backend

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"cherryhub/decide"
	"cherryhub/internal/boundedjson"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// dispatchMessage returns the bytes of a dispatch. The X-Deadline header holds the time left at the moment of the call.
func dispatchMessage(call *engine.Call) ([][]byte, error) {
	left := time.Until(call.Deadline)
	if left <= 0 {
		return nil, errNoTimeLeft
	}
	h := make([]byte, 0, 256)
	h = append(append(append(h, "POST "...), call.Target...), " HTTP/1.1\r\nHost: engine\r\nContent-Type: application/json\r\nX-Request-Id: "...)
	h = append(h, call.ID...)
	if call.IdempotencyKey != "" { // passed on as the client sent it: http1 rejects values that contain line breaks
		h = append(append(h, "\r\nIdempotency-Key: "...), call.IdempotencyKey...)
	}
	h = append(h, "\r\nX-Deadline: "...)
	h = append(strconv.AppendInt(h, max(1, left.Milliseconds()), 10), "m\r\nContent-Length: "...)
	h = append(strconv.AppendInt(h, int64(len(call.Body)), 10), "\r\n\r\n"...)
	return [][]byte{h, call.Body}, nil
}

// post sends a dispatch. It returns the response if its status is the wanted one, and the dispatch's result otherwise.
func (c *Client) post(ctx context.Context, call *engine.Call, wanted int) (*response, *engine.Result) {
	resp, sent, err := c.do(ctx, request{engine: call.Address, startsWork: true, requirement: connRequirement{checkAfter: call.CheckAfter}, sendBy: call.SendBy, onSent: call.OnSent,
		build: func() ([][]byte, error) { return dispatchMessage(call) }})
	if err != nil {
		r := &engine.Result{Outcome: engine.OutcomeOf(ctx, err, sent), Err: fmt.Errorf("dispatch to %s: %w", call.Address, err)}
		if errors.Is(err, errUnknownEngine) || errors.Is(err, errEngineDraining) || errors.Is(err, errNoTimeLeft) || errors.Is(err, errSendTimeOver) {
			r.Outcome = decide.NotSent
		}
		if r.Outcome != decide.Cancelled && r.Outcome != decide.NotSent && r.Outcome != decide.Errored {
			c.closeIdleTo(call.Address)
		}
		return nil, r
	}
	if resp.head.Status == wanted {
		return resp, nil
	}
	status := resp.head.Status
	notRun, _ := resp.head.Get("x-not-run")
	r := &engine.Result{Outcome: decide.Errored, Status: status, Report: c.reportInHead(resp.head),
		Err: fmt.Errorf("dispatch to %s: status %d", call.Address, status)}
	switch {
	case status == 410 && notRun == "1":
		r.Outcome, r.CachedTokens = decide.Full, 1
	case (status == 503 || status == 504) && notRun == "1":
		r.Outcome = decide.Full
	}
	resp.discardBody()
	return nil, r
}

// discardBody reads a body that is not needed, so that the connection can be reused.
func (resp *response) discardBody() {
	resp.conn.SetDeadline(time.Now().Add(discardTimeout)) //nolint:errcheck // if this fails, the connection is closed
	_, err := http1.ReadBody(resp.conn.r, resp.head, limits, nil)
	resp.finish(err == nil && !resp.head.NoLength)
}

func (c *Client) reportInHead(h *http1.Head) []float64 {
	if text, times := h.Get("x-load"); times > 0 {
		return c.parseReport([]byte(text))
	}
	return nil
}

// Read has a reader run the prefill and hold the resulting state.
func (c *Client) Read(ctx context.Context, call *engine.Call) *engine.Result {
	resp, failed := c.post(ctx, call, 202)
	if failed != nil {
		return failed
	}
	body, err := http1.ReadBody(resp.conn.r, resp.head, limits, nil)
	cached := gjson.GetBytes(body, "cached_tokens")
	if err == nil && (!boundedjson.Valid(body) || cached.Type != gjson.Number) {
		err = fmt.Errorf("%w: answer to a read has no cached_tokens", http1.ErrMalformed)
	}
	resp.finish(err == nil && !resp.head.NoLength)
	if err != nil {
		err = engineError(err)
		return &engine.Result{Outcome: engine.OutcomeOf(ctx, err, true), Status: 202, Err: fmt.Errorf("read at %s: %w", call.Address, err)}
	}
	return &engine.Result{Outcome: decide.Read, Status: 202, CachedTokens: cached.Float(), Report: c.reportInHead(resp.head)}
}
