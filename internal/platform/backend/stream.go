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
	pauseMost = 4500 * time.Millisecond
	chunkMost = 1500 * time.Millisecond
	lastMost  = 1500 * time.Millisecond
)

// stream is a write's answer.
type stream struct {
	a      *answer
	ctx    context.Context
	cancel context.CancelCauseFunc
	name   string
	buf    []byte // of chunks that came whole
	read   int    // of buf, handed on
	end    int    // in buf, of the event that comes next; 0: it has not come whole
	seen   bool   // that event was looked at
	events int
	done   bool // [DONE] came
	total  int
	usage  engine.Usage
	told   bool
	report []float64
	err    error
}

// Write has a writer write the answer. It returns with the first event or with what the dispatch came to.
func (c *Client) Write(ctx context.Context, cancel context.CancelCauseFunc, call *engine.Call, timeout time.Duration) (edge.Stream, *engine.Result) {
	timer := time.AfterFunc(timeout, func() { cancel(engine.ErrTimedOut) })
	defer timer.Stop()
	a, bad := c.post(ctx, call, 200)
	if bad != nil {
		return nil, bad
	}
	s := &stream{a: a, ctx: ctx, cancel: cancel, name: call.Address}
	kind, _ := a.head.Get("content-type")
	if !strings.HasPrefix(kind, "text/event-stream") || a.head.Length >= 0 {
		s.err = fmt.Errorf("%w: content type %.40q, no chunks", engine.ErrMalformed, kind)
	}
	if s.await(); s.err != nil && !errors.Is(s.err, io.EOF) {
		return nil, s.Close()
	}
	return s, nil
}

// fill reads one more chunk.
func (s *stream) fill() {
	if s.read > 0 {
		s.buf = append(s.buf[:0], s.buf[s.read:]...)
		s.read = 0
	}
	one := s.a.conn
	wait := pauseMost
	if s.done {
		wait = lastMost
	}
	if s.events > 0 { // before the first event the dispatch's own time counts
		one.SetReadDeadline(time.Now().Add(wait)) //nolint:errcheck // a connection that is closed fails in reading
	}
	if one.r.Buffered() == 0 {
		if _, err := one.r.Peek(1); err != nil {
			s.fail(err)
			return
		}
	}
	one.SetReadDeadline(time.Now().Add(chunkMost)) //nolint:errcheck // as above
	before := len(s.buf)
	buf, err := http1.ReadChunk(one.r, s.buf, bodyMost)
	s.buf = buf
	one.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	switch {
	case errors.Is(err, io.EOF) && (!s.done || len(s.buf) > s.read):
		s.err = fmt.Errorf("%w: %d bytes left", engine.ErrTruncated, len(s.buf)-s.read)
	case errors.Is(err, io.EOF):
		s.err = io.EOF
	case err != nil:
		s.fail(err)
	default:
		if s.total += len(s.buf) - before; s.total > bodyMost {
			s.err = fmt.Errorf("%w: an answer of over %d bytes", engine.ErrMalformed, bodyMost)
		}
	}
}

// fail keeps why reading failed; the connection's end is no end of the answer.
func (s *stream) fail(err error) {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	s.err = broken(err)
}

var blank = []byte("\n\n")

// More tells whether a whole event more has come already. Load reports ahead of it are taken out.
func (s *stream) HasBufferedEvent() bool {
	for s.end == 0 {
		rest := s.buf[s.read:]
		n := bytes.Index(rest, blank)
		if n < 0 {
			return false
		}
		if rest[0] != ':' || bytes.IndexByte(rest[:n], '\n') >= 0 { // more than a comment
			s.end = s.read + n + len(blank)
			break
		}
		s.comment(rest[:n])
		s.read += n + len(blank)
	}
	return true
}

// comment takes the load report that a comment may be.
func (s *stream) comment(line []byte) {
	if text, is := bytes.CutPrefix(line, []byte(": X-Load:")); is {
		s.report = s.a.c.report(bytes.TrimSpace(text))
	}
}

// await reads until the next event has come whole, and looks at it once.
func (s *stream) await() {
	for s.err == nil && !s.HasBufferedEvent() {
		s.fill()
	}
	if s.err == nil && !s.seen {
		s.err, s.seen = s.check(), true
	}
}

// check looks at the event that comes next.
func (s *stream) check() error {
	for line := range bytes.SplitSeq(s.buf[s.read:s.end-len(blank)], []byte("\n")) {
		data, is := bytes.CutPrefix(line, []byte("data:"))
		if !is {
			if len(line) > 0 && line[0] == ':' {
				s.comment(line)
				continue
			}
			return fmt.Errorf("%w: a line of no event: %.40q", engine.ErrMalformed, line)
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			s.done = true
			continue
		}
		if !gjson.ValidBytes(data) {
			return fmt.Errorf("%w: an event of no JSON: %.40q", engine.ErrMalformed, data)
		}
		if usage := gjson.GetBytes(data, "usage"); usage.IsObject() {
			s.told = true
			s.usage = engine.Usage{Prompt: usage.Get("prompt_tokens").Float(), Answer: usage.Get("completion_tokens").Float(),
				Cached: usage.Get("prompt_tokens_details.cached_tokens").Float()}
		}
	}
	return nil
}

// Next gives the next event as it came; io.EOF after the last chunk of a whole answer.
func (s *stream) Next() (engine.Event, error) {
	if s.await(); s.err != nil {
		return engine.Event{}, s.err
	}
	event := engine.Event{Raw: s.buf[s.read:s.end]}
	s.read, s.end, s.seen = s.end, 0, false
	s.events++
	return event, nil
}

// Usage is what was said of the tokens, and whether it was.
func (s *stream) Usage() (engine.Usage, bool) { return s.usage, s.told }

// Close ends the stream, closing its connection unless the answer was whole, and tells what it came to.
func (s *stream) Close() *engine.Result {
	r := &engine.Result{Outcome: decide.Finished, Found: s.usage.Cached, Status: s.a.head.Status, Report: s.report}
	if !errors.Is(s.err, io.EOF) {
		if s.err == nil {
			s.err = context.Canceled // closed by us in the middle
		}
		r.Outcome = engine.OutcomeOf(s.ctx, s.err, true)
		r.Err = fmt.Errorf("stream from %s: %w", s.name, s.err)
	}
	s.a.done(errors.Is(s.err, io.EOF))
	s.cancel(engine.ErrCancelled)
	return r
}

// reportOf reads a load report, an object of numbers. What is missing or no figure is NaN; nil: it tells nothing.
func reportOf(columns []string, text []byte) []float64 {
	if len(columns) == 0 || !gjson.ValidBytes(text) {
		return nil
	}
	root := gjson.ParseBytes(text)
	if !root.IsObject() {
		return nil
	}
	report, told := make([]float64, len(columns)), false
	for i, name := range columns {
		v := root.Get(name)
		if report[i] = math.NaN(); v.Type == gjson.Number && v.Num >= 0 && !math.IsInf(v.Num, 0) {
			report[i], told = v.Num, true
		}
	}
	if !told {
		return nil
	}
	return report
}
