package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

const (
	streamHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	contentEvent = `data: {"choices":[{"index":0,"delta":{"content":"a"}}]}` + "\n\n"
)

const dispatchTimeout = time.Second // until the first event of a stream

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// nestedArrays returns JSON that nests this many levels deep.
func nestedArrays(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// newScriptedEngine returns a client of an engine "e" that reads one call and then runs the script on its connection.
func newScriptedEngine(t *testing.T, script func(conn net.Conn)) *Client {
	clientSide, engineSide := net.Pipe()
	c := New(Options{ReportColumns: []string{"util"}, ConnectTimeout: dispatchTimeout, EngineIdleTimeout: dispatchTimeout, MaxConns: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) { return clientSide, nil }})
	c.UpdateEngines(true, []EngineEntry{{Name: "e", Address: "any"}}, nil)
	go func() {
		r := bufio.NewReader(engineSide)
		if h, err := http1.ReadRequest(r, limits); err == nil {
			http1.ReadBody(r, h, limits, nil) //nolint:errcheck // a stand-in
			script(engineSide)
		}
	}()
	t.Cleanup(func() { clientSide.Close(); engineSide.Close(); c.Close() })
	return c
}

// write dispatches a write to the engine "e" and returns its stream, or its result if it ended before the first event.
func write(t *testing.T, c *Client) (edge.Stream, *engine.Result) {
	ctx, cancel := context.WithCancelCause(context.Background())
	t.Cleanup(func() { cancel(engine.ErrCancelled) })
	call := &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: time.Now().Add(dispatchTimeout)}
	return c.Write(ctx, cancel, call, dispatchTimeout)
}

// TestNestedAnswers guards against answers that nest so deep that validating them takes a router over its memory.
func TestNestedAnswers(t *testing.T) {
	send := func(text string) func(net.Conn) {
		return func(conn net.Conn) { io.WriteString(conn, text) } //nolint:errcheck // the client closes the connection
	}
	tooDeep := `{"cached_tokens":7,"choices":[],"x":` + nestedArrays(64) + "}"
	t.Run("read", func(t *testing.T) {
		r := read(newScriptedEngine(t, send(fmt.Sprintf("HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%s", len(tooDeep), tooDeep))), "e")
		require.Equal(t, decide.Errored, r.Outcome)
		require.ErrorIs(t, r.Err, engine.ErrMalformed)
	})
	t.Run("event", func(t *testing.T) {
		_, r := write(t, newScriptedEngine(t, send(streamHead+chunk("data: "+tooDeep+"\n\n"))))
		require.NotNil(t, r, "the event was passed on")
		require.Equal(t, decide.Errored, r.Outcome)
		require.ErrorIs(t, r.Err, engine.ErrMalformed)
	})
}
