package front

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// TestClientLeftBeforeItsRequestIsRead guards against work that is begun for a client that has gone: a request that waited to be accepted or
// read was sent to an engine although its client had closed the connection long before.
func TestClientLeftBeforeItsRequestIsRead(t *testing.T) {
	left := make(chan struct{})
	r := newTestServer(t, hooks{afterRead: func() { <-left }})
	conn, _ := r.dial()
	_, err := io.WriteString(conn, chatRequest("gone"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
	close(left)
	require.Eventually(t, func() bool { return r.server.Conns() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, r.planner.offered.Load())
}

// endlessReads are engines whose reads never end.
type endlessReads struct{ noEngines }

func (endlessReads) Read(ctx context.Context, call *engine.Call) *engine.Result {
	call.OnSent(engine.ConnInfo{})
	<-ctx.Done()
	return &engine.Result{Outcome: decide.Cancelled}
}

func (endlessReads) Release(context.Context, string, string) error { return nil }

// TestBodiesOfClientsThatLeft guards against memory that is kept for clients that have gone: the body of a read that was cut off was kept, and
// counted, up to the client's deadline, so that further requests were refused.
func TestBodiesOfClientsThatLeft(t *testing.T) {
	const requests = 10 // their bodies need more memory than the server may use
	r := newTestServerWith(t, hooks{}, endlessReads{})
	r.planner.command = link.Command{Kind: link.Dispatch, Address: "a", IsRead: true, Timeout: 3600}
	body := `{"messages":["` + strings.Repeat("x", 200<<10) + `"]}`
	for n := range requests {
		conn, _ := r.dial()
		_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: chat\r\nX-Deadline: 3600000m\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return r.planner.offered.Load() == int64(n+1) }, 5*time.Second, time.Millisecond, "request %d is refused", n)
		require.NoError(t, conn.Close())
		require.Eventually(t, func() bool { return r.server.Conns() == 0 }, 5*time.Second, time.Millisecond)
	}
	require.Eventually(t, func() bool { return r.server.bufferedBodyBytes.Load() == 0 }, 5*time.Second, time.Millisecond)
}
