package front

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// scriptedStream is a stream of events that came at once, and then ends with an error.
type scriptedStream struct {
	events []string
	err    error
}

func (s *scriptedStream) Next() (engine.Event, error) {
	if len(s.events) == 0 {
		return engine.Event{}, s.err
	}
	event := engine.Event{Raw: []byte(s.events[0])}
	s.events = s.events[1:]
	return event, nil
}

// HasBufferedEvent reports a further event as long as there was one: what follows the last event looks like one, and can't be read.
func (s *scriptedStream) HasBufferedEvent() bool      { return true }
func (s *scriptedStream) Usage() (engine.Usage, bool) { return engine.Usage{}, false }
func (s *scriptedStream) Close() *engine.Result       { return &engine.Result{Outcome: decide.Errored} }

// streamingEngines answer every write with a stream.
type streamingEngines struct {
	noEngines
	stream edge.Stream
}

func (e streamingEngines) Write(_ context.Context, _ context.CancelCauseFunc, call *engine.Call, _ time.Duration) (edge.Stream, *engine.Result) {
	call.OnSent(engine.ConnInfo{})
	return e.stream, nil
}

// TestEventsBeforeBreakArePassedOn guards against requests that get no answer at all: if something that is no event came together with the
// first event, the connection was closed with that event unsent.
func TestEventsBeforeBreakArePassedOn(t *testing.T) {
	const first, second = "data: {\"n\":1}\n\n", "data: {\"n\":2}\n\n"
	for name, events := range map[string][]string{"one event": {first}, "two events": {first, second}} {
		t.Run(name, func(t *testing.T) {
			want := ""
			for _, e := range events {
				want += e
			}
			r := newTestServerWith(t, hooks{}, streamingEngines{stream: &scriptedStream{events: events, err: engine.ErrMalformed}})
			r.planner.command = link.Command{Kind: link.Dispatch, Address: "a", Timeout: 5}
			conn, reader := r.dial()
			_, err := io.WriteString(conn, chatRequest("x"))
			require.NoError(t, err)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err, "the connection ended without an answer")
			defer resp.Body.Close()
			require.Equal(t, 200, resp.StatusCode)
			body, err := io.ReadAll(resp.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the stream must not look whole")
			require.Equal(t, want, string(body))
		})
	}
}
