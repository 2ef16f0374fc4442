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
type lateEngine struct {
	client *Client
	up     chan struct{}
	heads  chan *http1.Head
}

func newLateEngine(t *testing.T) *lateEngine {
	near, far := net.Pipe()
	l := &lateEngine{up: make(chan struct{}), heads: make(chan *http1.Head, 1)}
	l.client = New(Options{ConnectTimeout: time.Second, EngineIdleTimeout: time.Second, MaxConns: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) { // as one that comes up though it was given up
			<-l.up
			return near, nil
		}})
	l.client.UpdateEngines(true, []Engine{{Name: "e", Address: "any"}}, nil)
	go func() {
		r := bufio.NewReader(far)
		h, err := http1.ReadRequest(r, limits)
		if err != nil {
			close(l.heads)
			return
		}
		http1.ReadBody(r, h, limits, nil) //nolint:errcheck // a stand-in
		l.heads <- h
		far.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}")) //nolint:errcheck // as above
	}()
	t.Cleanup(func() { near.Close(); far.Close(); l.client.Close() })
	return l
}

// TestLastLook: what happens while a dispatch's connection comes up is seen before its first byte is written: the time
// told to the engine is what is left then, and nothing is written for a caller that left, to an engine that drains or is
// gone, or with no time left. None of these tells anything of the engine, and none may have run.
func TestLastLook(t *testing.T) {
	const given, connecting = time.Second, 400 * time.Millisecond
	for name, one := range map[string]struct {
		meanwhile func(l *lateEngine, cancel context.CancelCauseFunc)
		want      decide.Outcome
	}{
		"nothing": {func(*lateEngine, context.CancelCauseFunc) {}, decide.Read},
		"it drains": {func(l *lateEngine, _ context.CancelCauseFunc) {
			l.client.UpdateEngines(false, []Engine{{"e", "any", true}}, nil)
		}, decide.NotSent},
		"it is gone":    {func(l *lateEngine, _ context.CancelCauseFunc) { l.client.UpdateEngines(false, nil, []string{"e"}) }, decide.NotSent},
		"caller leaves": {func(_ *lateEngine, cancel context.CancelCauseFunc) { cancel(engine.ErrCancelled) }, decide.NotSent},
		"too late":      {func(*lateEngine, context.CancelCauseFunc) { time.Sleep(given) }, decide.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLateEngine(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				go func() {
					time.Sleep(connecting)
					one.meanwhile(l, cancel)
					close(l.up)
				}()
				r := l.client.Read(ctx, &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: time.Now().Add(given)})
				require.Equal(t, one.want, r.Outcome, "%v", r.Err)
				if one.want != decide.Read {
					require.Empty(t, l.heads, "it was written")
					return
				}
				told, _ := (<-l.heads).Get("x-deadline")
				ms, err := strconv.Atoi(strings.TrimSuffix(told, "m"))
				require.NoError(t, err)
				require.LessOrEqual(t, ms, int((given - connecting).Milliseconds()))
			})
		})
	}
}

// faultyConn is a connection whose reads or writes fail as a system call does.
type faultyConn struct {
	net.Conn
	read       error
	writeShort int // bytes that are written before write fails; below 0: it does not
	write      error
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.read != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.read)}
	}
	return c.Conn.Read(b)
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.writeShort < 0 {
		return len(b), nil // nobody reads it
	}
	return c.writeShort, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.write)}
}

// TestSystemCallFaults: errors of system calls, put in through the dialer and the connection, become what is known of
// the dispatch: nothing was sent, or it may have run.
func TestSystemCallFaults(t *testing.T) {
	dials := func(number syscall.Errno) Options {
		return Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", number)}
		}}
	}
	conns := func(c faultyConn) Options {
		return Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { far.Close() })
			c.Conn = near
			return &c, nil
		}}
	}
	for name, one := range map[string]struct {
		o    Options
		want decide.Outcome
	}{
		"connect: EADDRNOTAVAIL":              {dials(syscall.EADDRNOTAVAIL), decide.NotSent},
		"connect: ENOBUFS":                    {dials(syscall.ENOBUFS), decide.NotSent},
		"connect: EMFILE":                     {dials(syscall.EMFILE), decide.NotSent},
		"connect: ENETUNREACH":                {dials(syscall.ENETUNREACH), decide.Unreachable},
		"connect: ECONNREFUSED":               {dials(syscall.ECONNREFUSED), decide.Unreachable},
		"write: EPIPE at once":                {conns(faultyConn{write: syscall.EPIPE}), decide.Unreachable},
		"write: short, then ETIMEDOUT":        {conns(faultyConn{writeShort: 20, write: syscall.ETIMEDOUT}), decide.Unreachable},
		"read: ETIMEDOUT after the last byte": {conns(faultyConn{writeShort: -1, read: syscall.ETIMEDOUT}), decide.Broken},
		"read: EHOSTUNREACH after it":         {conns(faultyConn{writeShort: -1, read: syscall.EHOSTUNREACH}), decide.Broken},
		"read: ECONNRESET after it":           {conns(faultyConn{writeShort: -1, read: syscall.ECONNRESET}), decide.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			one.o.ConnectTimeout, one.o.EngineIdleTimeout, one.o.MaxConns = time.Second, time.Second, 2
			c := New(one.o)
			t.Cleanup(c.Close)
			c.UpdateEngines(true, []Engine{{Name: "e", Address: "any"}}, nil)
			require.Equal(t, one.want, read(c, "e").Outcome)
		})
	}
}
