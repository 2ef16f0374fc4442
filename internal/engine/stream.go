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
	c      *Client
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	resp   *http.Response
	r      *bufio.Reader
	buf    []byte
	name   string

	held   [][]byte // events from before the first token
	finish bool     // a finish_reason was seen
	done   bool     // [DONE] was seen
	usage  Usage
	told   bool // usage was
	only   bool // the event read last holds usage and no choice
	err    error
}

// Usage is what an answer's usage event says, in tokens.
type Usage struct{ Prompt, Answer, Cached float64 }

// Event is one event of a stream. Data holds until the next call.
type Event struct {
	Data  []byte // the JSON
	Raw   []byte // the event as it came with the blank line behind it, where the protocol hands it on so
	Usage bool   // it holds the usage and no choice
}

// maxHeld bounds the events that come before the first token: a role, say.
const maxHeld = 16

// Write has a writer write the answer, and read the prompt if there is no state. It returns at the first
// token with the stream, or with what the dispatch came to. cancel must end ctx with one of the causes above;
// timeout is until the first token.
func (c *Client) Write(ctx context.Context, cancel context.CancelCauseFunc, call *Call, timeout time.Duration) (*Stream, *Result) {
	s := &Stream{c: c, ctx: ctx, cancel: cancel, name: call.Address}
	s.timer = time.AfterFunc(timeout, func() { cancel(ErrTimedOut) })
	resp, bad := c.post(ctx, call)
	if bad != nil {
		s.timer.Stop()
		return nil, bad
	}
	s.resp, s.r = resp, bufio.NewReaderSize(resp.Body, 1<<10)
	if kind := resp.Header.Get("Content-Type"); !strings.HasPrefix(kind, "text/event-stream") {
		s.err = fmt.Errorf("%w: content type %q", ErrMalformed, kind)
	}
	for s.err == nil {
		data, token, err := s.next()
		if err != nil {
			s.err = err
			break
		}
		if token {
			s.held = append(s.held, bytes.Clone(data))
			s.timer.Reset(c.o.StreamIdle)
			return s, nil
		}
		if len(s.held) >= maxHeld {
			s.err = fmt.Errorf("%w: %d events before the first token", ErrMalformed, maxHeld)
			break
		}
		if !s.only {
			s.held = append(s.held, bytes.Clone(data))
		}
	}
	if errors.Is(s.err, io.EOF) && s.done { // an answer of no token at all
		return s, nil
	}
	return nil, s.Close()
}

// Next gives the stream's next event; io.EOF after the final one. What an engine sends after that is not read.
func (s *Stream) Next() (Event, error) {
	if len(s.held) > 0 {
		data := s.held[0]
		s.held = s.held[1:]
		return Event{Data: data}, nil
	}
	if s.err == nil {
		data, _, err := s.next()
		if err == nil {
			s.timer.Reset(s.c.o.StreamIdle)
			return Event{Data: data, Usage: s.only}, nil
		}
		s.err = err
	}
	return Event{}, s.err
}

// Usage is what was said of the tokens, and whether it was.
func (s *Stream) Usage() (Usage, bool) { return s.usage, s.told }

// Close ends the stream, closing its connection unless the answer was whole, and tells what it came to.
func (s *Stream) Close() *Result {
	s.timer.Stop()
	r := &Result{Outcome: decide.Finished, Found: s.usage.Cached, Status: s.resp.StatusCode}
	if !s.done {
		if s.err == nil {
			s.err = context.Canceled // closed by us in the middle
		}
		r.Outcome = OutcomeOf(s.ctx, s.err, true)
		r.Err = fmt.Errorf("stream from %s: %w", s.name, s.err)
	}
	if s.done && s.rest() {
		r.Report = s.c.o.Figures.fromORCA(s.resp.Trailer.Get("Endpoint-Load-Metrics"))
	}
	s.cancel(ErrCancelled)
	s.resp.Body.Close()
	return r
}

// rest reads what is left after the final event, the end of the chunks and a trailer, so that the connection
// can be used again; it waits for no more than what has come with the final event and gives up at anything else.
func (s *Stream) rest() bool {
	if s.r.Buffered() > 0 && len(bytes.TrimSpace(peek(s.r))) > 0 {
		return false
	}
	s.timer.Reset(restMost)
	n, err := io.Copy(io.Discard, io.LimitReader(s.r, 16))
	s.timer.Stop()
	return err == nil && n < 16
}

// restMost is how long the end of a stream's body is waited for after its final event: the engine has written
// it together with the event. The answer was handed on before.
const restMost = 20 * time.Millisecond

func peek(r *bufio.Reader) []byte {
	b, _ := r.Peek(r.Buffered())
	return b
}

var (
	dataField = []byte("data:")
	doneMark  = []byte("[DONE]")
)

// next reads one event and tells whether it holds output.
func (s *Stream) next() (data []byte, token bool, err error) {
	s.buf = s.buf[:0]
	for {
		if len(s.buf) > s.c.o.MaxEventBytes {
			return nil, false, fmt.Errorf("%w: an event of over %d bytes", ErrMalformed, s.c.o.MaxEventBytes)
		}
		begin := len(s.buf)
		if err := s.line(); err != nil {
			if errors.Is(err, io.EOF) {
				err = ErrTruncated
			}
			return nil, false, err
		}
		line := bytes.TrimRight(s.buf[begin:], "\r\n")
		switch {
		case len(line) == 0 && begin > 0:
			return s.read(s.buf[:begin])
		case bytes.HasPrefix(line, dataField):
			kept := append(s.buf[:begin], bytes.TrimPrefix(line[len(dataField):], []byte(" "))...)
			s.buf = kept
		default: // a comment, or a field without meaning here
			s.buf = s.buf[:begin]
		}
	}
}

// line appends one line to buf, with no more than the most an event may have.
func (s *Stream) line() error {
	for {
		part, err := s.r.ReadSlice('\n')
		s.buf = append(s.buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(s.buf) > s.c.o.MaxEventBytes {
			return fmt.Errorf("%w: an event of over %d bytes", ErrMalformed, s.c.o.MaxEventBytes)
		}
	}
}

func (s *Stream) read(data []byte) ([]byte, bool, error) {
	if bytes.Equal(data, doneMark) {
		s.done = s.finish
		if !s.done {
			return nil, false, fmt.Errorf("%w: [DONE] without a finish_reason", ErrMalformed)
		}
		return nil, false, io.EOF
	}
	if !gjson.ValidBytes(data) || data[0] != '{' {
		return nil, false, fmt.Errorf("%w: an event of no JSON object: %.80q", ErrMalformed, data)
	}
	var fault, usage, choice gjson.Result
	gjson.Parse(Text(data)).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "error":
			fault = value
		case "usage":
			usage = value
		case "choices":
			choice = value.Get("0")
		}
		return true
	})
	if fault.Exists() && fault.Type != gjson.Null {
		return nil, false, fmt.Errorf("the engine's own error event: %.200s", fault.Raw)
	}
	if usage.IsObject() {
		s.told = true
		s.usage = Usage{usage.Get("prompt_tokens").Float(), usage.Get("completion_tokens").Float(),
			usage.Get("prompt_tokens_details.cached_tokens").Float()}
	}
	s.only = !choice.Exists()
	if s.only {
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
			s.finish = s.finish || value.Type == gjson.String
		}
		return true
	})
	return data, token || s.finish, nil
}

// More tells whether a whole event more has come already.
func (s *Stream) HasBufferedEvent() bool {
	return len(s.held) > 0 || bytes.Contains(peek(s.r), []byte("\n\n"))
}
