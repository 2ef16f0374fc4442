package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// slowDialEngine is an engine whose only connection is established when the test allows it. It answers every call as a read,
// and requests receives the heads of the calls.
type slowDialEngine struct {
	client    *Client
	connected chan struct{}
	requests  chan *http1.Head
}

func newSlowDialEngine(t *testing.T) *slowDialEngine {
	clientSide, engineSide := net.Pipe()
	e := &slowDialEngine{connected: make(chan struct{}), requests: make(chan *http1.Head, 1)}
	e.client = New(Options{ConnectTimeout: time.Second, EngineIdleTimeout: time.Second, MaxConns: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) { // succeeds even if the dial was given up
			<-e.connected
			return clientSide, nil
		}})
	e.client.UpdateEngines(true, []EngineEntry{{Name: "e", Address: "any"}}, nil)
	go func() {
		r := bufio.NewReader(engineSide)
		h, err := http1.ReadRequest(r, limits)
		if err != nil {
			close(e.requests)
			return
		}
		http1.ReadBody(r, h, limits, nil) //nolint:errcheck // a stand-in
		e.requests <- h
		engineSide.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}")) //nolint:errcheck // as above
	}()
	t.Cleanup(func() { clientSide.Close(); engineSide.Close(); e.client.Close() })
	return e
}

// Changes that happen while a dispatch's connection is being established are noticed before the first byte is written. The
// deadline sent to the engine is the time left at that moment. Nothing is written if the caller has cancelled, if the engine is
// draining or gone, or if no time is left or the time to send it is over; such a dispatch says nothing about the engine and did not run.
func TestChecksBeforeFirstByte(t *testing.T) {
	const timeout, dialTime = time.Second, 400 * time.Millisecond
	noChange := func(*slowDialEngine, context.CancelCauseFunc) {}
	for name, tc := range map[string]struct {
		duringDial func(e *slowDialEngine, cancel context.CancelCauseFunc)
		want       decide.Outcome
		sendWithin time.Duration // 0 for no limit
	}{
		"no change":                        {noChange, decide.Read, 0},
		"sent in time":                     {noChange, decide.Read, dialTime + time.Millisecond},
		"time to send is over":             {noChange, decide.NotSent, dialTime},
		"time to send is over long before": {noChange, decide.NotSent, dialTime / 2},
		"engine drains": {func(e *slowDialEngine, _ context.CancelCauseFunc) {
			e.client.UpdateEngines(false, []EngineEntry{{"e", "any", true}}, nil)
		}, decide.NotSent, 0},
		"engine is gone": {func(e *slowDialEngine, _ context.CancelCauseFunc) { e.client.UpdateEngines(false, nil, []string{"e"}) }, decide.NotSent, 0},
		"caller cancels": {func(_ *slowDialEngine, cancel context.CancelCauseFunc) { cancel(engine.ErrCancelled) }, decide.NotSent, 0},
		"no time left":   {func(*slowDialEngine, context.CancelCauseFunc) { time.Sleep(timeout) }, decide.NotSent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newSlowDialEngine(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				go func() {
					time.Sleep(dialTime)
					tc.duringDial(e, cancel)
					close(e.connected)
				}()
				call := &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: time.Now().Add(timeout)}
				if tc.sendWithin > 0 {
					call.SendBy = time.Now().Add(tc.sendWithin)
				}
				r := e.client.Read(ctx, call)
				require.Equal(t, tc.want, r.Outcome, "%v", r.Err)
				if tc.want != decide.Read {
					require.Empty(t, e.requests, "the call was written")
					return
				}
				deadline, _ := (<-e.requests).Get("x-deadline")
				ms, err := strconv.Atoi(strings.TrimSuffix(deadline, "m"))
				require.NoError(t, err)
				require.LessOrEqual(t, ms, int((timeout - dialTime).Milliseconds()))
			})
		})
	}
}

// A call whose last byte can't be written in time is ended then, and did not run: the engine takes no more bytes, as it hangs.
func TestCallBlocksPastTimeToSend(t *testing.T) {
	const sendWithin = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		clientSide, engineSide := net.Pipe() // without a buffer: a byte that is not read is not written
		defer engineSide.Close()
		c := New(Options{ConnectTimeout: time.Second, EngineIdleTimeout: time.Second, MaxConns: 1,
			Dial: func(context.Context, string, string) (net.Conn, error) { return clientSide, nil }})
		defer c.Close()
		c.UpdateEngines(true, []EngineEntry{{Name: "e", Address: "any"}}, nil)
		go io.ReadFull(engineSide, make([]byte, 16)) //nolint:errcheck // a part of the call
		start, wrote := time.Now(), false
		r := c.Read(t.Context(), &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: start.Add(time.Minute),
			SendBy: start.Add(sendWithin), OnSent: func(engine.ConnInfo) { wrote = true }})
		require.Equal(t, decide.Unreachable, r.Outcome, "%v", r.Err)
		require.False(t, wrote)
		require.Equal(t, sendWithin, time.Since(start))
	})
}

// faultyConn is a connection whose reads or writes fail with a system call error.
type faultyConn struct {
	net.Conn
	readErr      error
	bytesWritten int // before a write fails; negative if it does not fail
	writeErr     error
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.readErr)}
	}
	return c.Conn.Read(b)
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.bytesWritten < 0 {
		return len(b), nil // discarded
	}
	return c.bytesWritten, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.writeErr)}
}

// System call errors from the dialer and the connection result in the outcome that says whether the dispatch may have run.
func TestSystemCallFaults(t *testing.T) {
	dialError := func(errno syscall.Errno) Options {
		return Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}}
	}
	faulty := func(c faultyConn) Options {
		return Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			clientSide, engineSide := net.Pipe()
			t.Cleanup(func() { engineSide.Close() })
			c.Conn = clientSide
			return &c, nil
		}}
	}
	for name, tc := range map[string]struct {
		options Options
		want    decide.Outcome
	}{
		"connect: EADDRNOTAVAIL":                 {dialError(syscall.EADDRNOTAVAIL), decide.NotSent},
		"connect: ENOBUFS":                       {dialError(syscall.ENOBUFS), decide.NotSent},
		"connect: EMFILE":                        {dialError(syscall.EMFILE), decide.NotSent},
		"connect: ENETUNREACH":                   {dialError(syscall.ENETUNREACH), decide.Unreachable},
		"connect: ECONNREFUSED":                  {dialError(syscall.ECONNREFUSED), decide.Unreachable},
		"write: EPIPE before the first byte":     {faulty(faultyConn{writeErr: syscall.EPIPE}), decide.Unreachable},
		"write: short, then ETIMEDOUT":           {faulty(faultyConn{bytesWritten: 20, writeErr: syscall.ETIMEDOUT}), decide.Unreachable},
		"read: ETIMEDOUT after the last byte":    {faulty(faultyConn{bytesWritten: -1, readErr: syscall.ETIMEDOUT}), decide.Broken},
		"read: EHOSTUNREACH after the last byte": {faulty(faultyConn{bytesWritten: -1, readErr: syscall.EHOSTUNREACH}), decide.Broken},
		"read: ECONNRESET after the last byte":   {faulty(faultyConn{bytesWritten: -1, readErr: syscall.ECONNRESET}), decide.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			tc.options.ConnectTimeout, tc.options.EngineIdleTimeout, tc.options.MaxConns = time.Second, time.Second, 2
			c := New(tc.options)
			t.Cleanup(c.Close)
			c.UpdateEngines(true, []EngineEntry{{Name: "e", Address: "any"}}, nil)
			require.Equal(t, tc.want, read(c, "e").Outcome)
		})
	}
}
