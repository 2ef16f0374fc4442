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
	"cherryhub/internal/boundedjson"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// A working engine may pause between two events, but it writes each chunk in one go, and the last one right after the final
// event. A client may be kept waiting for at most 5 s after the last event of its engine.
const (
	maxEventWait     = 4500 * time.Millisecond // from the call for an event to its last byte, whatever else comes meanwhile
	maxChunkDuration = 1500 * time.Millisecond // from a chunk's first byte to its last
	maxEndWait       = 1500 * time.Millisecond // from the first call after [DONE] to the end of the last chunk
)

// stream is the answer to a write.
type stream struct {
	response     *response
	ctx          context.Context
	cancel       context.CancelCauseFunc
	name         string
	buf          []byte // data of complete chunks
	consumed     int    // bytes of buf that were handed out
	eventEnd     int    // end of the next event in buf, 0 while it is incomplete
	eventChecked bool   // checkEvent was called for that event
	events       int
	waitDeadline time.Time // for what is awaited; zero before the first event, where the dispatch's own timeout applies
	doneSeen     bool      // [DONE] has come
	endAwaited   bool      // waitDeadline is that of the end of the answer
	totalBytes   int
	usage        engine.Usage
	hasUsage     bool
	report       []float64
	err          error
}

// Write has a writer generate the answer. It returns the stream at the first event, or the result if the dispatch ends before.
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
		s.err = fmt.Errorf("%w: not a chunked event stream: content type %.40q", engine.ErrMalformed, contentType)
	}
	if s.awaitEvent(); s.err != nil && !errors.Is(s.err, io.EOF) {
		return nil, s.Close()
	}
	return s, nil
}

// startWait sets the deadline of the next event or, after [DONE], of the end of the answer. What comes meanwhile and is not
// what the engine owes, such as load reports, a part of an event or events after [DONE], does not move it.
func (s *stream) startWait() {
	switch {
	case s.events == 0 || s.endAwaited:
	case s.doneSeen:
		s.waitDeadline, s.endAwaited = time.Now().Add(maxEndWait), true
	default:
		s.waitDeadline = time.Now().Add(maxEventWait)
	}
}

// chunkDeadline returns the deadline for the rest of a chunk that has begun to come.
func (s *stream) chunkDeadline() time.Time {
	deadline := time.Now().Add(maxChunkDuration)
	if !s.waitDeadline.IsZero() && s.waitDeadline.Before(deadline) {
		return s.waitDeadline
	}
	return deadline
}

// readChunk reads one more chunk.
func (s *stream) readChunk() {
	if s.consumed > 0 {
		s.buf = append(s.buf[:0], s.buf[s.consumed:]...)
		s.consumed = 0
	}
	conn := s.response.conn
	if conn.r.Buffered() == 0 {
		conn.SetReadDeadline(s.waitDeadline) //nolint:errcheck // reading from a closed connection fails
		if _, err := conn.r.Peek(1); err != nil {
			s.setReadError(err)
			return
		}
	}
	conn.SetReadDeadline(s.chunkDeadline()) //nolint:errcheck // as above
	before := len(s.buf)
	buf, err := http1.ReadChunk(conn.r, s.buf, maxBodyBytes)
	s.buf = buf
	conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	switch {
	case errors.Is(err, io.EOF) && !s.doneSeen:
		s.err = fmt.Errorf("%w: %d bytes of an incomplete event", engine.ErrTruncated, len(s.buf)-s.consumed)
	case errors.Is(err, io.EOF):
		s.parseComments(s.buf[s.consumed:]) // a report that no empty line follows
		s.err = io.EOF
	case errors.Is(err, http1.ErrTrailer) && s.doneSeen: // the answer is whole, its connection is of no further use
		s.response.head.Close = true
		s.err = io.EOF
	case err != nil:
		s.setReadError(err)
	default:
		if s.totalBytes += len(s.buf) - before; s.totalBytes > maxBodyBytes {
			s.err = fmt.Errorf("%w: answer exceeds %d bytes", engine.ErrMalformed, maxBodyBytes)
		}
	}
}

// setReadError records why reading failed. The end of the connection is not the end of the answer.
func (s *stream) setReadError(err error) {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	s.err = engineError(err)
}

var (
	lineEnd        = []byte("\n")
	eventSeparator = []byte("\n\n")
	commentPrefix  = []byte(":")
	dataPrefix     = []byte("data:")
	lineThenData   = []byte("\ndata:")
)

// HasBufferedEvent reports whether another complete event has already come. It consumes what is not owed before that event: load reports,
// readable or not, and after [DONE] whatever can't be read.
func (s *stream) HasBufferedEvent() bool {
	for s.eventEnd == 0 {
		rest := s.buf[s.consumed:]
		n := bytes.Index(rest, eventSeparator)
		if n < 0 {
			return false
		}
		block := rest[:n]
		if !isComment(block) && !(s.doneSeen && s.checkEvent(block) != nil) {
			s.eventEnd = s.consumed + n + len(eventSeparator)
			break
		}
		s.parseComments(block)
		s.consumed += n + len(eventSeparator)
	}
	return true
}

// isComment reports whether a block is a comment and no event. A line break within it does not make an event of it: an event has data.
func isComment(block []byte) bool {
	return bytes.HasPrefix(block, commentPrefix) && !bytes.Contains(block, lineThenData)
}

// parseComments reads the comment lines of a block, which may be load reports. One that can't be read changes nothing.
func (s *stream) parseComments(block []byte) {
	for line := range bytes.SplitSeq(block, lineEnd) {
		text, ok := bytes.CutPrefix(line, []byte(": X-Load:"))
		if !ok {
			continue
		}
		if report := s.response.client.parseReport(bytes.TrimSpace(text)); report != nil {
			s.report = report
		}
	}
}

// awaitEvent reads until the next event is complete, and checks it once.
func (s *stream) awaitEvent() {
	if s.err == nil && !s.HasBufferedEvent() {
		s.startWait()
	}
	for s.err == nil && !s.HasBufferedEvent() {
		s.readChunk()
	}
	if s.err == nil && !s.eventChecked {
		s.err, s.eventChecked = s.checkEvent(s.buf[s.consumed:s.eventEnd-len(eventSeparator)]), true
	}
}

// checkEvent checks an event and takes its usage and load report. Lines behind a comment that are no data belong to the comment.
func (s *stream) checkEvent(block []byte) error {
	s.parseComments(block)
	inComment := false
	for line := range bytes.SplitSeq(block, lineEnd) {
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			inComment = inComment || bytes.HasPrefix(line, commentPrefix)
			if inComment {
				continue
			}
			return fmt.Errorf("%w: unexpected line in an event: %.40q", engine.ErrMalformed, line)
		}
		inComment = false
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			s.doneSeen = true
			continue
		}
		if !boundedjson.Valid(data) {
			return fmt.Errorf("%w: event is not JSON of at most %d levels: %.40q", engine.ErrMalformed, boundedjson.MaxDepth, data)
		}
		if usage := gjson.GetBytes(data, "usage"); usage.IsObject() {
			s.hasUsage = true
			s.usage = engine.Usage{PromptTokens: usage.Get("prompt_tokens").Float(), OutputTokens: usage.Get("completion_tokens").Float(),
				CachedTokens: usage.Get("prompt_tokens_details.cached_tokens").Float()}
		}
	}
	return nil
}

// Next returns the next event as it came, or io.EOF after the last chunk of a complete answer.
func (s *stream) Next() (engine.Event, error) {
	if s.awaitEvent(); s.err != nil {
		return engine.Event{}, s.err
	}
	event := engine.Event{Raw: s.buf[s.consumed:s.eventEnd]}
	s.consumed, s.eventEnd, s.eventChecked = s.eventEnd, 0, false
	s.events++
	return event, nil
}

// Usage returns the token counts and whether they have come.
func (s *stream) Usage() (engine.Usage, bool) { return s.usage, s.hasUsage }

// Close ends the stream and returns its result. The connection is closed unless the answer is complete.
func (s *stream) Close() *engine.Result {
	r := &engine.Result{Outcome: decide.Finished, CachedTokens: s.usage.CachedTokens, Status: s.response.head.Status, Report: s.report}
	if !errors.Is(s.err, io.EOF) {
		if s.err == nil {
			s.err = context.Canceled // closed by the router before its end
		}
		r.Outcome = engine.OutcomeOf(s.ctx, s.err, true)
		r.Err = fmt.Errorf("stream from %s: %w", s.name, s.err)
	}
	s.response.finish(errors.Is(s.err, io.EOF))
	s.cancel(engine.ErrCancelled)
	return r
}

// parseReport reads a load report, a JSON object of numbers. Values that are missing or invalid are NaN; it returns nil if all
// are.
func parseReport(columns []string, text []byte) []float64 {
	if len(columns) == 0 || !boundedjson.Valid(text) {
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
