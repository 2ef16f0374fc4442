package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// demand is what a call asks of its connection.
type connRequirement struct {
	checkAfter time.Duration // one on which no answer came within this time is checked before it is used; 0 for never
	newConn    bool          // no kept one
}

// get takes a kept connection that still stands and is as demanded, or makes one.
func (c *Client) acquire(ctx context.Context, name string, w connRequirement) (*conn, error) {
	c.mu.Lock()
	t := c.endpoints[name]
	if t == nil {
		c.mu.Unlock()
		return nil, fmt.Errorf("%s: %w", name, errUnknownEngine)
	}
	address := t.address
	c.mu.Unlock()
	if !w.newConn {
		if one := c.reuseIdle(ctx, name, t, w); one != nil {
			return one, nil
		}
	}
	one, err := c.connect(ctx, t, address)
	if err != nil || !c.options.ProbesAllowed {
		return one, err
	}
	if err := c.checkIfRequired(ctx, one, w); err != nil {
		one.Close() //nolint:errcheck // of no use
		return nil, fmt.Errorf("%s: a new connection: %w", name, err)
	}
	return one, nil
}

// kept takes a kept connection that is as demanded, nil for none. Where one is silent all that are kept to that engine go: the
// others may be as dead, and each would have to be waited for. Where engines must not be probed, one makes room for a new one.
func (c *Client) reuseIdle(ctx context.Context, name string, t *endpoint, w connRequirement) *conn {
	for one := c.takeIdle(t); one != nil; one = c.takeIdle(t) {
		err := errConnEnding
		if time.Since(one.idleSince) < c.options.EngineIdleTimeout/idleTimeoutDivisor && hasNoInput(one.Conn) {
			err = c.checkIfRequired(ctx, one, w)
		}
		if err == nil {
			return one
		}
		one.Close() //nolint:errcheck // of no use
		if errors.Is(err, engine.ErrProbeSkipped) {
			return nil
		}
		if errors.Is(err, errConnSilent) {
			c.closeIdleTo(name)
		}
	}
	return nil
}

// ensureWorks checks a connection where that is demanded of it.
func (c *Client) checkIfRequired(ctx context.Context, one *conn, w connRequirement) error {
	if w.checkAfter == 0 || time.Since(one.lastActive) < w.checkAfter {
		return nil
	}
	if !c.options.ProbesAllowed {
		return engine.ErrProbeSkipped
	}
	return c.checkConn(ctx, one)
}

// connect makes a connection. That it comes up tells of the engine's machine alone, so it counts as seen to work only where engines
// must not be probed; else it is checked before it takes a call that demands that.
func (c *Client) connect(ctx context.Context, t *endpoint, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ConnectTimeout)
	defer cancel()
	plain, err := c.dialer.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	one := &conn{Conn: plain, r: bufio.NewReaderSize(plain, readBufferBytes), endpoint: t, address: address}
	if !c.options.ProbesAllowed {
		one.lastActive = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connsMade++
	one.number = c.connsMade
	return one, nil
}

// check probes the engine on a connection, and gives what is wrong with that; errSilent where no answer came in time, which
// shows in no other way.
func (c *Client) checkConn(ctx context.Context, one *conn) error {
	asking, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	stop := context.AfterFunc(asking, func() { one.Close() }) //nolint:errcheck // ends reads and writes
	head, _, err := c.exchange(one, [][]byte{bodylessRequest("GET", loadPath)}, nil)
	if err == nil {
		_, err = http1.ReadBody(one.r, head, limits, nil)
	}
	switch {
	case !stop() && ctx.Err() == nil:
		return errConnSilent
	case err != nil:
		return err
	case head.Close, head.NoLength, one.r.Buffered() > 0:
		return errConnEnding
	}
	return context.Cause(ctx)
}

// quiet tells whether nothing came on a kept connection, its end included.
func hasNoInput(one net.Conn) bool {
	if u, wraps := one.(interface{ Unwrap() net.Conn }); wraps {
		one = u.Unwrap()
	}
	s, has := one.(syscall.Conn)
	if !has {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && still
}
