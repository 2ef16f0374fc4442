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

// connRequirement says what a call requires of its connection.
type connRequirement struct {
	checkAfter time.Duration // without an answer for this long the connection is probed before use; 0 for never
	newConn    bool          // idle connections must not be used
}

// acquire returns an idle connection that meets the requirement, or a new one.
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
		conn.Close() //nolint:errcheck // not usable
		return nil, fmt.Errorf("%s: new connection: %w", name, err)
	}
	return conn, nil
}

// reuseIdle returns an idle connection that meets the requirement, or nil. When one has gone silent, all idle connections to
// its engine are closed: the others have probably failed with it, and each would cost another wait. Where probes are not
// allowed, a connection that would have to be checked is closed and nil is returned, so that a new one is made.
func (c *Client) reuseIdle(ctx context.Context, name string, ep *endpoint, required connRequirement) *engineConn {
	for conn := c.takeIdle(ep); conn != nil; conn = c.takeIdle(ep) {
		err := errConnEnding
		if time.Since(conn.idleSince) < c.options.EngineIdleTimeout/idleTimeoutDivisor && hasNoInput(conn.Conn) {
			err = c.checkIfRequired(ctx, conn, required)
		}
		if err == nil {
			return conn
		}
		conn.Close() //nolint:errcheck // not usable
		if errors.Is(err, engine.ErrProbeSkipped) {
			return nil
		}
		if errors.Is(err, errConnSilent) {
			c.closeIdleTo(name)
		}
	}
	return nil
}

// checkIfRequired checks a connection if the requirement demands a check.
func (c *Client) checkIfRequired(ctx context.Context, conn *engineConn, required connRequirement) error {
	if required.checkAfter == 0 || time.Since(conn.lastActive) < required.checkAfter {
		return nil
	}
	if !c.options.ProbesAllowed {
		return engine.ErrProbeSkipped
	}
	return c.checkConn(ctx, conn)
}

// connect opens a connection. A completed TCP handshake shows that the engine's machine is up, but not its process. So the
// connection counts as active only where probes are not allowed; otherwise a call that requires a check probes it first.
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

// checkConn probes the engine over a connection and returns what is wrong with the connection. errConnSilent means that no
// answer came in time; a connection that has gone silent cannot be recognised otherwise.
func (c *Client) checkConn(ctx context.Context, conn *engineConn) error {
	checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	stop := context.AfterFunc(checkCtx, func() { conn.Close() }) //nolint:errcheck // unblocks reads and writes
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

// hasNoInput reports whether neither data nor the end of the stream has come on an idle connection.
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
