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

// lateEngine is a client whose one connection comes up when the test says so; heads are those of the calls that were
// written to it, each answered with a read's answer.
type slowDialEngine struct {
	client    *Client
	connected chan struct{}
	requests  chan *http1.Head
}

func newSlowDialEngine(t *testing.T) *slowDialEngine {
	clientSide, engineSide := net.Pipe()
	e := &slowDialEngine{connected: make(chan struct{}), requests: make(chan *http1.Head, 1)}
	e.client = New(Options{ConnectTimeout: time.Second, EngineIdleTimeout: time.Second, MaxConns: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) { // as one that comes up though it was given up
			<-e.connected
			return clientSide, nil
		}})
	e.client.UpdateEngines(true, []Engine{{Name: "e", Address: "any"}}, nil)
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

// TestLastLook: what happens while a dispatch's connection comes up is seen before its first byte is written: the time
// told to the engine is what is left then, and nothing is written for a caller that left, to an engine that drains or is
// gone, or with no time left. None of these tells anything of the engine, and none may have run.
func TestChecksBeforeFirstByte(t *testing.T) {
	const timeout, dialTime = time.Second, 400 * time.Millisecond
	for name, test := range map[string]struct {
		duringDial func(e *slowDialEngine, cancel context.CancelCauseFunc)
		want       decide.Outcome
	}{
		"nothing": {func(*slowDialEngine, context.CancelCauseFunc) {}, decide.Read},
		"it drains": {func(e *slowDialEngine, _ context.CancelCauseFunc) {
			e.client.UpdateEngines(false, []Engine{{"e", "any", true}}, nil)
		}, decide.NotSent},
		"it is gone":    {func(e *slowDialEngine, _ context.CancelCauseFunc) { e.client.UpdateEngines(false, nil, []string{"e"}) }, decide.NotSent},
		"caller leaves": {func(_ *slowDialEngine, cancel context.CancelCauseFunc) { cancel(engine.ErrCancelled) }, decide.NotSent},
		"too late":      {func(*slowDialEngine, context.CancelCauseFunc) { time.Sleep(timeout) }, decide.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newSlowDialEngine(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				go func() {
					time.Sleep(dialTime)
					test.duringDial(e, cancel)
					close(e.connected)
				}()
				r := e.client.Read(ctx, &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: time.Now().Add(timeout)})
				require.Equal(t, test.want, r.Outcome, "%v", r.Err)
				if test.want != decide.Read {
					require.Empty(t, e.requests, "it was written")
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

// faultyConn is a connection whose reads or writes fail as a system call does.
type faultyConn struct {
	net.Conn
	readErr      error
	bytesWritten int // bytes that are written before write fails; below 0: it does not
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
		return len(b), nil // nobody reads it
	}
	return c.bytesWritten, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.writeErr)}
}

// TestSystemCallFaults: errors of system calls, put in through the dialer and the connection, become what is known of
// the dispatch: nothing was sent, or it may have run.
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
	for name, test := range map[string]struct {
		options Options
		want    decide.Outcome
	}{
		"connect: EADDRNOTAVAIL":              {dialError(syscall.EADDRNOTAVAIL), decide.NotSent},
		"connect: ENOBUFS":                    {dialError(syscall.ENOBUFS), decide.NotSent},
		"connect: EMFILE":                     {dialError(syscall.EMFILE), decide.NotSent},
		"connect: ENETUNREACH":                {dialError(syscall.ENETUNREACH), decide.Unreachable},
		"connect: ECONNREFUSED":               {dialError(syscall.ECONNREFUSED), decide.Unreachable},
		"write: EPIPE at once":                {faulty(faultyConn{writeErr: syscall.EPIPE}), decide.Unreachable},
		"write: short, then ETIMEDOUT":        {faulty(faultyConn{bytesWritten: 20, writeErr: syscall.ETIMEDOUT}), decide.Unreachable},
		"read: ETIMEDOUT after the last byte": {faulty(faultyConn{bytesWritten: -1, readErr: syscall.ETIMEDOUT}), decide.Broken},
		"read: EHOSTUNREACH after it":         {faulty(faultyConn{bytesWritten: -1, readErr: syscall.EHOSTUNREACH}), decide.Broken},
		"read: ECONNRESET after it":           {faulty(faultyConn{bytesWritten: -1, readErr: syscall.ECONNRESET}), decide.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			test.options.ConnectTimeout, test.options.EngineIdleTimeout, test.options.MaxConns = time.Second, time.Second, 2
			c := New(test.options)
			t.Cleanup(c.Close)
			c.UpdateEngines(true, []Engine{{Name: "e", Address: "any"}}, nil)
			require.Equal(t, test.want, read(c, "e").Outcome)
		})
	}
}
