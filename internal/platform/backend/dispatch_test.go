package backend

import (
	"bufio"
	"context"
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
// draining or gone, or if no time is left; such a dispatch says nothing about the engine and did not run.
func TestChecksBeforeFirstByte(t *testing.T) {
	const timeout, dialTime = time.Second, 400 * time.Millisecond
	for name, tc := range map[string]struct {
		duringDial func(e *slowDialEngine, cancel context.CancelCauseFunc)
		want       decide.Outcome
	}{
		"no change": {func(*slowDialEngine, context.CancelCauseFunc) {}, decide.Read},
		"engine drains": {func(e *slowDialEngine, _ context.CancelCauseFunc) {
			e.client.UpdateEngines(false, []EngineEntry{{"e", "any", true}}, nil)
		}, decide.NotSent},
		"engine is gone": {func(e *slowDialEngine, _ context.CancelCauseFunc) { e.client.UpdateEngines(false, nil, []string{"e"}) }, decide.NotSent},
		"caller cancels": {func(_ *slowDialEngine, cancel context.CancelCauseFunc) { cancel(engine.ErrCancelled) }, decide.NotSent},
		"no time left":   {func(*slowDialEngine, context.CancelCauseFunc) { time.Sleep(timeout) }, decide.NotSent},
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
				r := e.client.Read(ctx, &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: time.Now().Add(timeout)})
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
