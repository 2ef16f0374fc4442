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
func (c *Client) acquire(ctx context.Context, name string, required connRequirement) (*engineConn, error) {
	c.mu.Lock()
	ep := c.endpoints[name]
	if ep == nil {
		c.mu.Unlock()
		return nil, fmt.Errorf("%s: %w", name, errUnknownEngine)
	}
	address := ep.address
	c.mu.Unlock()
	if !required.newConn {
		if conn := c.reuseIdle(ctx, name, ep, required); conn != nil {
			return conn, nil
		}
	}
	conn, err := c.connect(ctx, ep, address)
	if err != nil || !c.options.ProbesAllowed {
		return conn, err
	}
	if err := c.checkIfRequired(ctx, conn, required); err != nil {
		conn.Close() //nolint:errcheck // of no use
		return nil, fmt.Errorf("%s: a new connection: %w", name, err)
	}
	return conn, nil
}

// kept takes a kept connection that is as demanded, nil for none. Where one is silent all that are kept to that engine go: the
// others may be as dead, and each would have to be waited for. Where engines must not be probed, one makes room for a new one.
func (c *Client) reuseIdle(ctx context.Context, name string, ep *endpoint, required connRequirement) *engineConn {
	for conn := c.takeIdle(ep); conn != nil; conn = c.takeIdle(ep) {
		err := errConnEnding
		if time.Since(conn.idleSince) < c.options.EngineIdleTimeout/idleTimeoutDivisor && hasNoInput(conn.Conn) {
			err = c.checkIfRequired(ctx, conn, required)
		}
		if err == nil {
			return conn
		}
		conn.Close() //nolint:errcheck // of no use
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
func (c *Client) checkIfRequired(ctx context.Context, conn *engineConn, required connRequirement) error {
	if required.checkAfter == 0 || time.Since(conn.lastActive) < required.checkAfter {
		return nil
	}
	if !c.options.ProbesAllowed {
		return engine.ErrProbeSkipped
	}
	return c.checkConn(ctx, conn)
}

// connect makes a connection. That it comes up tells of the engine's machine alone, so it counts as seen to work only where engines
// must not be probed; else it is checked before it takes a call that demands that.
func (c *Client) connect(ctx context.Context, ep *endpoint, address string) (*engineConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ConnectTimeout)
	defer cancel()
	netConn, err := c.dialer.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &engineConn{Conn: netConn, r: bufio.NewReaderSize(netConn, readBufferBytes), endpoint: ep, address: address}
	if !c.options.ProbesAllowed {
		conn.lastActive = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connsMade++
	conn.number = c.connsMade
	return conn, nil
}

// check probes the engine on a connection, and gives what is wrong with that; errSilent where no answer came in time, which
// shows in no other way.
func (c *Client) checkConn(ctx context.Context, conn *engineConn) error {
	checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	stop := context.AfterFunc(checkCtx, func() { conn.Close() }) //nolint:errcheck // ends reads and writes
	head, _, err := c.exchange(conn, [][]byte{bodylessRequest("GET", loadPath)}, nil)
	if err == nil {
		_, err = http1.ReadBody(conn.r, head, limits, nil)
	}
	switch {
	case !stop() && ctx.Err() == nil:
		return errConnSilent
	case err != nil:
		return err
	case head.Close, head.NoLength, conn.r.Buffered() > 0:
		return errConnEnding
	}
	return context.Cause(ctx)
}

// quiet tells whether nothing came on a kept connection, its end included.
func hasNoInput(conn net.Conn) bool {
	if unwrapper, ok := conn.(interface{ Unwrap() net.Conn }); ok {
		conn = unwrapper.Unwrap()
	}
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}
