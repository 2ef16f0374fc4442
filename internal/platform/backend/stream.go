package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"cherryhub/decide"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// An engine that runs may pause between two chunks, but writes a chunk at once, and its last one right after the final
// event. A client may be left waiting for 5 s after its engine's last event.
const (
	maxChunkPause      = 4500 * time.Millisecond
	maxChunkDuration   = 1500 * time.Millisecond
	maxFinalChunkPause = 1500 * time.Millisecond
)

// stream is a write's answer.
type stream struct {
	response     *response
	ctx          context.Context
	cancel       context.CancelCauseFunc
	name         string
	buf          []byte // of chunks that came whole
	consumed     int    // of buf, handed on
	eventEnd     int    // in buf, of the event that comes next; 0: it has not come whole
	eventChecked bool   // that event was looked at
	events       int
	doneSeen     bool // [DONE] came
	totalBytes   int
	usage        engine.Usage
	hasUsage     bool
	report       []float64
	err          error
}

// Write has a writer write the answer. It returns with the first event or with what the dispatch came to.
func (c *Client) Write(ctx context.Context, cancel context.CancelCauseFunc, call *engine.Call, timeout time.Duration) (edge.Stream, *engine.Result) {
	timer := time.AfterFunc(timeout, func() { cancel(engine.ErrTimedOut) })
	defer timer.Stop()
	resp, failed := c.post(ctx, call, 200)
	if failed != nil {
		return nil, failed
	}
	s := &stream{response: resp, ctx: ctx, cancel: cancel, name: call.Address}
	contentType, _ := resp.head.Get("content-type")
	if !strings.HasPrefix(contentType, "text/event-stream") || resp.head.Length >= 0 {
		s.err = fmt.Errorf("%w: content type %.40q, no chunks", engine.ErrMalformed, contentType)
	}
	if s.awaitEvent(); s.err != nil && !errors.Is(s.err, io.EOF) {
		return nil, s.Close()
	}
	return s, nil
}

// fill reads one more chunk.
func (s *stream) readChunk() {
	if s.consumed > 0 {
		s.buf = append(s.buf[:0], s.buf[s.consumed:]...)
		s.consumed = 0
	}
	conn := s.response.conn
	maxPause := maxChunkPause
	if s.doneSeen {
		maxPause = maxFinalChunkPause
	}
	if s.events > 0 { // before the first event the dispatch's own time counts
		conn.SetReadDeadline(time.Now().Add(maxPause)) //nolint:errcheck // a connection that is closed fails in reading
	}
	if conn.r.Buffered() == 0 {
		if _, err := conn.r.Peek(1); err != nil {
			s.setReadError(err)
			return
		}
	}
	conn.SetReadDeadline(time.Now().Add(maxChunkDuration)) //nolint:errcheck // as above
	before := len(s.buf)
	buf, err := http1.ReadChunk(conn.r, s.buf, maxBodyBytes)
	s.buf = buf
	conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	switch {
	case errors.Is(err, io.EOF) && (!s.doneSeen || len(s.buf) > s.consumed):
		s.err = fmt.Errorf("%w: %d bytes left", engine.ErrTruncated, len(s.buf)-s.consumed)
	case errors.Is(err, io.EOF):
		s.err = io.EOF
	case err != nil:
		s.setReadError(err)
	default:
		if s.totalBytes += len(s.buf) - before; s.totalBytes > maxBodyBytes {
			s.err = fmt.Errorf("%w: an answer of over %d bytes", engine.ErrMalformed, maxBodyBytes)
		}
	}
}

// fail keeps why reading failed; the connection's end is no end of the answer.
func (s *stream) setReadError(err error) {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	s.err = engineError(err)
}

var eventSeparator = []byte("\n\n")

// More tells whether a whole event more has come already. Load reports ahead of it are taken out.
func (s *stream) HasBufferedEvent() bool {
	for s.eventEnd == 0 {
		rest := s.buf[s.consumed:]
		n := bytes.Index(rest, eventSeparator)
		if n < 0 {
			return false
		}
		if rest[0] != ':' || bytes.IndexByte(rest[:n], '\n') >= 0 { // more than a comment
			s.eventEnd = s.consumed + n + len(eventSeparator)
			break
		}
		s.parseComment(rest[:n])
		s.consumed += n + len(eventSeparator)
	}
	return true
}

// comment takes the load report that a comment may be.
func (s *stream) parseComment(line []byte) {
	if text, ok := bytes.CutPrefix(line, []byte(": X-Load:")); ok {
		s.report = s.response.client.parseReport(bytes.TrimSpace(text))
	}
}

// await reads until the next event has come whole, and looks at it once.
func (s *stream) awaitEvent() {
	for s.err == nil && !s.HasBufferedEvent() {
		s.readChunk()
	}
	if s.err == nil && !s.eventChecked {
		s.err, s.eventChecked = s.checkEvent(), true
	}
}

// check looks at the event that comes next.
func (s *stream) checkEvent() error {
	for line := range bytes.SplitSeq(s.buf[s.consumed:s.eventEnd-len(eventSeparator)], []byte("\n")) {
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			if len(line) > 0 && line[0] == ':' {
				s.parseComment(line)
				continue
			}
			return fmt.Errorf("%w: a line of no event: %.40q", engine.ErrMalformed, line)
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			s.doneSeen = true
			continue
		}
		if !gjson.ValidBytes(data) {
			return fmt.Errorf("%w: an event of no JSON: %.40q", engine.ErrMalformed, data)
		}
		if usage := gjson.GetBytes(data, "usage"); usage.IsObject() {
			s.hasUsage = true
			s.usage = engine.Usage{PromptTokens: usage.Get("prompt_tokens").Float(), OutputTokens: usage.Get("completion_tokens").Float(),
				CachedTokens: usage.Get("prompt_tokens_details.cached_tokens").Float()}
		}
	}
	return nil
}

// Next gives the next event as it came; io.EOF after the last chunk of a whole answer.
func (s *stream) Next() (engine.Event, error) {
	if s.awaitEvent(); s.err != nil {
		return engine.Event{}, s.err
	}
	event := engine.Event{Raw: s.buf[s.consumed:s.eventEnd]}
	s.consumed, s.eventEnd, s.eventChecked = s.eventEnd, 0, false
	s.events++
	return event, nil
}

// Usage is what was said of the tokens, and whether it was.
func (s *stream) Usage() (engine.Usage, bool) { return s.usage, s.hasUsage }

// Close ends the stream, closing its connection unless the answer was whole, and tells what it came to.
func (s *stream) Close() *engine.Result {
	r := &engine.Result{Outcome: decide.Finished, CachedTokens: s.usage.CachedTokens, Status: s.response.head.Status, Report: s.report}
	if !errors.Is(s.err, io.EOF) {
		if s.err == nil {
			s.err = context.Canceled // closed by us in the middle
		}
		r.Outcome = engine.OutcomeOf(s.ctx, s.err, true)
		r.Err = fmt.Errorf("stream from %s: %w", s.name, s.err)
	}
	s.response.finish(errors.Is(s.err, io.EOF))
	s.cancel(engine.ErrCancelled)
	return r
}

// reportOf reads a load report, an object of numbers. What is missing or no figure is NaN; nil: it tells nothing.
func parseReport(columns []string, text []byte) []float64 {
	if len(columns) == 0 || !gjson.ValidBytes(text) {
		return nil
	}
	root := gjson.ParseBytes(text)
	if !root.IsObject() {
		return nil
	}
	report, found := make([]float64, len(columns)), false
	for i, name := range columns {
		v := root.Get(name)
		if report[i] = math.NaN(); v.Type == gjson.Number && v.Num >= 0 && !math.IsInf(v.Num, 0) {
			report[i], found = v.Num, true
		}
	}
	if !found {
		return nil
	}
	return report
}
