package engine

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// TestChecksBeforeFirstByte guards against dispatches that are sent long after they were decided, as their connection came up late: outside the
// time in which engines recognise a repeat, or to an engine that drains meanwhile.
func TestChecksBeforeFirstByte(t *testing.T) {
	const dialTime = 100 * time.Millisecond
	for name, tc := range map[string]struct {
		phase      decide.Phase  // of the engine, listed while the connection is opened
		sendWithin time.Duration // 0 for no limit
		want       decide.Outcome
	}{
		"ready":                {decide.Ready, 0, decide.Errored},
		"sent in time":         {decide.Ready, time.Minute, decide.Errored},
		"time to send is over": {decide.Ready, dialTime / 2, decide.NotSent},
		"draining":             {decide.Draining, 0, decide.NotSent},
		"gone":                 {decide.Gone, 0, decide.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int64 // bytes
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				n, _ := conn.Read(make([]byte, 4096))
				received.Add(int64(n))
				conn.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // the test notices
			}()
			address := ln.Addr().String()
			var c *Client
			list := func(kind decide.ListKind, phase decide.Phase) {
				c.UpdateEngines(&link.EngineList{Kind: kind, Entries: []link.EngineEntry{{Address: address, Phase: phase}}})
			}
			c, err = NewClient(Options{ConnectTimeout: time.Second, IdleConnTimeout: time.Second, MaxEventBytes: 1 << 10, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				time.Sleep(dialTime)
				list(decide.ListDelta, tc.phase)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}})
			require.NoError(t, err)
			defer c.Close()
			list(decide.ListSnapshot, decide.Ready)
			call := &Call{Address: address, ID: "x", Body: []byte("{}")}
			if tc.sendWithin > 0 {
				call.SendBy = time.Now().Add(tc.sendWithin)
			}
			r := c.Read(t.Context(), call)
			require.Equal(t, tc.want, r.Outcome, "%v", r.Err)
			if tc.want == decide.NotSent {
				require.Zero(t, received.Load(), "bytes of the call were written")
			}
		})
	}
}
