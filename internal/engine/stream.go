package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"cherryhub/decide"
	"cherryhub/internal/boundedjson"
)

// Stream is the answer to a write. It is not safe for concurrent use. Close may be called twice.
type Stream struct {
	client  *Client
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	resp    *http.Response
	r       *bufio.Reader
	buf     []byte
	address string

	pending    [][]byte // events that came before the first token or with it and are not handed out yet
	finishSeen bool     // a finish_reason has come
	doneSeen   bool     // [DONE] has come
	usage      Usage
	hasUsage   bool // usage has come
	usageOnly  bool // the last event has usage and no choice
	err        error
}

// Usage holds the token counts of an answer's usage event.
type Usage struct{ PromptTokens, OutputTokens, CachedTokens float64 }

// Event is one event of a stream. Its data is valid until the next call.
type Event struct {
	Data      []byte // the JSON
	Raw       []byte // the event as it came, with the blank line after it, for protocols that pass it on unchanged
	UsageOnly bool   // it has usage and no choice
}

// maxEventsBeforeToken limits the events, such as a role, that may come before the first token.
const maxEventsBeforeToken = 16

// Write has a writer generate the answer, and run the prefill too if there is no state. It returns the stream at the first
// token, or the result if the dispatch ends before. cancel must cancel ctx with one of the causes above. timeout is the time
// until the first token.
func (c *Client) Write(ctx context.Context, cancel context.CancelCauseFunc, call *Call, timeout time.Duration) (*Stream, *Result) {
	s := &Stream{client: c, ctx: ctx, cancel: cancel, address: call.Address}
	s.timer = time.AfterFunc(timeout, func() { cancel(ErrTimedOut) })
	resp, failed := c.post(ctx, call)
	if failed != nil {
		s.timer.Stop()
		return nil, failed
	}
	s.resp, s.r = resp, bufio.NewReaderSize(resp.Body, 1<<10)
	if contentType := resp.Header.Get("Content-Type"); !strings.HasPrefix(contentType, "text/event-stream") {
		s.err = fmt.Errorf("%w: content type %q", ErrMalformed, contentType)
	}
	for s.err == nil {
		data, output, err := s.readEvent()
		if err != nil {
			s.err = err
			break
		}
		if output {
			s.pending = append(s.pending, bytes.Clone(data))
			s.timer.Reset(c.options.StreamIdleTimeout)
			return s, nil
		}
		if len(s.pending) >= maxEventsBeforeToken {
			s.err = fmt.Errorf("%w: %d events before the first token", ErrMalformed, maxEventsBeforeToken)
			break
		}
		if !s.usageOnly {
			s.pending = append(s.pending, bytes.Clone(data))
		}
	}
	if errors.Is(s.err, io.EOF) && s.doneSeen { // an answer without any token
		return s, nil
	}
	return nil, s.Close()
}

// Next returns the next event, or io.EOF after the final one. Anything that the engine sends after that is ignored.
func (s *Stream) Next() (Event, error) {
	if len(s.pending) > 0 {
		data := s.pending[0]
		s.pending = s.pending[1:]
		return Event{Data: data}, nil
	}
	if s.err == nil {
		data, output, err := s.readEvent()
		if err == nil {
			if output { // other events don't move the limit of the time between two tokens
				s.timer.Reset(s.client.options.StreamIdleTimeout)
			}
			return Event{Data: data, UsageOnly: s.usageOnly}, nil
		}
		s.err = err
	}
	return Event{}, s.err
}

// Usage returns the token counts and whether they have come.
func (s *Stream) Usage() (Usage, bool) { return s.usage, s.hasUsage }

// Close ends the stream and returns its result. The connection is closed unless the answer is complete.
func (s *Stream) Close() *Result {
	s.timer.Stop()
	r := &Result{Outcome: decide.Finished, CachedTokens: s.usage.CachedTokens, Status: s.resp.StatusCode}
	if !s.doneSeen {
		if s.err == nil {
			s.err = context.Canceled // closed by the router before its end
		}
		r.Outcome = OutcomeOf(s.ctx, s.err, true)
		r.Err = fmt.Errorf("stream from %s: %w", s.address, s.err)
	}
	if s.doneSeen && s.drain() {
		r.Report = s.client.options.LoadMetrics.parseORCA(s.resp.Trailer.Get("Endpoint-Load-Metrics"))
	}
	s.cancel(ErrCancelled)
	s.resp.Body.Close()
	return r
}

// drain reads the end of the chunked body and the trailer after the final event, so that the connection can be reused. It
// accepts only what came together with the final event, and gives up on anything else.
func (s *Stream) drain() bool {
	if s.r.Buffered() > 0 && len(bytes.TrimSpace(buffered(s.r))) > 0 {
		return false
	}
	s.timer.Reset(drainTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(s.r, 16))
	s.timer.Stop()
	return err == nil && n < 16
}

// drainTimeout limits the wait for the end of the body after the final event: the engine writes both together. The client
// already has the answer by then.
const drainTimeout = 20 * time.Millisecond

func buffered(r *bufio.Reader) []byte {
	b, _ := r.Peek(r.Buffered())
	return b
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// readEvent reads one event and reports whether it has output: a token, or the first finish_reason.
func (s *Stream) readEvent() (data []byte, output bool, err error) {
	s.buf = s.buf[:0]
	for {
		if len(s.buf) > s.client.options.MaxEventBytes {
			return nil, false, fmt.Errorf("%w: event exceeds %d bytes", ErrMalformed, s.client.options.MaxEventBytes)
		}
		start := len(s.buf)
		if err := s.readLine(); err != nil {
			if errors.Is(err, io.EOF) {
				err = ErrTruncated
			}
			return nil, false, err
		}
		line := bytes.TrimRight(s.buf[start:], "\r\n")
		switch {
		case len(line) == 0 && start > 0:
			return s.parseEvent(s.buf[:start])
		case bytes.HasPrefix(line, dataPrefix):
			kept := append(s.buf[:start], bytes.TrimPrefix(line[len(dataPrefix):], []byte(" "))...)
			s.buf = kept
		default: // a comment, or a field that is not used
			s.buf = s.buf[:start]
		}
	}
}

// readLine appends one line to buf, up to the size limit of an event.
func (s *Stream) readLine() error {
	for {
		fragment, err := s.r.ReadSlice('\n')
		s.buf = append(s.buf, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(s.buf) > s.client.options.MaxEventBytes {
			return fmt.Errorf("%w: event exceeds %d bytes", ErrMalformed, s.client.options.MaxEventBytes)
		}
	}
}

func (s *Stream) parseEvent(data []byte) ([]byte, bool, error) {
	if bytes.Equal(data, doneMarker) {
		s.doneSeen = s.finishSeen
		if !s.doneSeen {
			return nil, false, fmt.Errorf("%w: [DONE] without a finish_reason", ErrMalformed)
		}
		return nil, false, io.EOF
	}
	if !boundedjson.Valid(data) || data[0] != '{' {
		return nil, false, fmt.Errorf("%w: event is not a JSON object of at most %d levels: %.80q", ErrMalformed, boundedjson.MaxDepth, data)
	}
	var engineErr, usage, choice gjson.Result
	gjson.Parse(UnsafeString(data)).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "error":
			engineErr = value
		case "usage":
			usage = value
		case "choices":
			choice = value.Get("0")
		}
		return true
	})
	if engineErr.Exists() && engineErr.Type != gjson.Null {
		return nil, false, fmt.Errorf("error event from the engine: %.200s", engineErr.Raw)
	}
	if usage.IsObject() {
		s.hasUsage = true
		s.usage = Usage{usage.Get("prompt_tokens").Float(), usage.Get("completion_tokens").Float(),
			usage.Get("prompt_tokens_details.cached_tokens").Float()}
	}
	s.usageOnly = !choice.Exists()
	if s.usageOnly {
		if usage.Exists() { // or it can't be read, which harms no one
			return data, false, nil
		}
		return nil, false, fmt.Errorf("%w: event without choices: %.80q", ErrMalformed, data)
	}
	output := false
	choice.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "delta":
			value.ForEach(func(key, value gjson.Result) bool {
				output = output || key.Str != "role" && value.Type != gjson.Null && value.Raw != `""` && value.Raw != "[]"
				return !output
			})
		case "finish_reason":
			if value.Type == gjson.String && !s.finishSeen {
				s.finishSeen, output = true, true
			}
		}
		return true
	})
	return data, output, nil
}

// HasBufferedEvent reports whether another complete event has already come.
func (s *Stream) HasBufferedEvent() bool {
	return len(s.pending) > 0 || bytes.Contains(buffered(s.r), []byte("\n\n"))
}
