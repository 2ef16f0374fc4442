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
)

// Stream is a write's answer. One goroutine at a time may use it; Close may be called twice.
type Stream struct {
	client  *Client
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	resp    *http.Response
	r       *bufio.Reader
	buf     []byte
	address string

	pending    [][]byte // events from before the first token
	finishSeen bool     // a finish_reason was seen
	doneSeen   bool     // [DONE] was seen
	usage      Usage
	hasUsage   bool // usage was
	usageOnly  bool // the event read last holds usage and no choice
	err        error
}

// Usage is what an answer's usage event says, in tokens.
type Usage struct{ PromptTokens, OutputTokens, CachedTokens float64 }

// Event is one event of a stream. Data holds until the next call.
type Event struct {
	Data      []byte // the JSON
	Raw       []byte // the event as it came with the blank line behind it, where the protocol hands it on so
	UsageOnly bool   // it holds the usage and no choice
}

// maxHeld bounds the events that come before the first token: a role, say.
const maxEventsBeforeToken = 16

// Write has a writer write the answer, and read the prompt if there is no state. It returns at the first
// token with the stream, or with what the dispatch came to. cancel must end ctx with one of the causes above;
// timeout is until the first token.
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
		data, token, err := s.readEvent()
		if err != nil {
			s.err = err
			break
		}
		if token {
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
	if errors.Is(s.err, io.EOF) && s.doneSeen { // an answer of no token at all
		return s, nil
	}
	return nil, s.Close()
}

// Next gives the stream's next event; io.EOF after the final one. What an engine sends after that is not read.
func (s *Stream) Next() (Event, error) {
	if len(s.pending) > 0 {
		data := s.pending[0]
		s.pending = s.pending[1:]
		return Event{Data: data}, nil
	}
	if s.err == nil {
		data, _, err := s.readEvent()
		if err == nil {
			s.timer.Reset(s.client.options.StreamIdleTimeout)
			return Event{Data: data, UsageOnly: s.usageOnly}, nil
		}
		s.err = err
	}
	return Event{}, s.err
}

// Usage is what was said of the tokens, and whether it was.
func (s *Stream) Usage() (Usage, bool) { return s.usage, s.hasUsage }

// Close ends the stream, closing its connection unless the answer was whole, and tells what it came to.
func (s *Stream) Close() *Result {
	s.timer.Stop()
	r := &Result{Outcome: decide.Finished, CachedTokens: s.usage.CachedTokens, Status: s.resp.StatusCode}
	if !s.doneSeen {
		if s.err == nil {
			s.err = context.Canceled // closed by us in the middle
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

// rest reads what is left after the final event, the end of the chunks and a trailer, so that the connection
// can be used again; it waits for no more than what has come with the final event and gives up at anything else.
func (s *Stream) drain() bool {
	if s.r.Buffered() > 0 && len(bytes.TrimSpace(buffered(s.r))) > 0 {
		return false
	}
	s.timer.Reset(drainTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(s.r, 16))
	s.timer.Stop()
	return err == nil && n < 16
}

// restMost is how long the end of a stream's body is waited for after its final event: the engine has written
// it together with the event. The answer was handed on before.
const drainTimeout = 20 * time.Millisecond

func buffered(r *bufio.Reader) []byte {
	b, _ := r.Peek(r.Buffered())
	return b
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// next reads one event and tells whether it holds output.
func (s *Stream) readEvent() (data []byte, token bool, err error) {
	s.buf = s.buf[:0]
	for {
		if len(s.buf) > s.client.options.MaxEventBytes {
			return nil, false, fmt.Errorf("%w: an event of over %d bytes", ErrMalformed, s.client.options.MaxEventBytes)
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
		default: // a comment, or a field without meaning here
			s.buf = s.buf[:start]
		}
	}
}

// line appends one line to buf, with no more than the most an event may have.
func (s *Stream) readLine() error {
	for {
		fragment, err := s.r.ReadSlice('\n')
		s.buf = append(s.buf, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(s.buf) > s.client.options.MaxEventBytes {
			return fmt.Errorf("%w: an event of over %d bytes", ErrMalformed, s.client.options.MaxEventBytes)
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
	if !gjson.ValidBytes(data) || data[0] != '{' {
		return nil, false, fmt.Errorf("%w: an event of no JSON object: %.80q", ErrMalformed, data)
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
		return nil, false, fmt.Errorf("the engine's own error event: %.200s", engineErr.Raw)
	}
	if usage.IsObject() {
		s.hasUsage = true
		s.usage = Usage{usage.Get("prompt_tokens").Float(), usage.Get("completion_tokens").Float(),
			usage.Get("prompt_tokens_details.cached_tokens").Float()}
	}
	s.usageOnly = !choice.Exists()
	if s.usageOnly {
		if usage.IsObject() {
			return data, false, nil
		}
		return nil, false, fmt.Errorf("%w: an event without choices: %.80q", ErrMalformed, data)
	}
	token := false
	choice.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "delta":
			value.ForEach(func(key, value gjson.Result) bool {
				token = token || key.Str != "role" && value.Type != gjson.Null && value.Raw != `""` && value.Raw != "[]"
				return !token
			})
		case "finish_reason":
			s.finishSeen = s.finishSeen || value.Type == gjson.String
		}
		return true
	})
	return data, token || s.finishSeen, nil
}

// More tells whether a whole event more has come already.
func (s *Stream) HasBufferedEvent() bool {
	return len(s.pending) > 0 || bytes.Contains(buffered(s.r), []byte("\n\n"))
}
