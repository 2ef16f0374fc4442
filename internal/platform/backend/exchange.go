package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// response is a call whose response head has been read.
type response struct {
	client *Client
	conn   *engineConn
	head   *http1.Head
	stop   func() bool // ends the watch on the call's context
}

// finish ends the call and returns its connection to the pool or closes it.
func (resp *response) finish(keep bool) {
	if resp.stop() && keep && !resp.head.Close {
		resp.client.returnConn(resp.conn)
		return
	}
	resp.conn.Close() //nolint:errcheck // not needed any more
}

// request is a call to be made.
type request struct {
	engine      string
	startsWork  bool // it starts work at the engine, so it is not sent to one that is draining or gone
	requirement connRequirement
	sendBy      time.Time                // before which the last byte must be written, zero for no limit
	build       func() ([][]byte, error) // called when the connection is ready
	onSent      func(engine.ConnInfo)    // called when the last byte is written, nil for none
}

// prepare makes the last checks before the first byte of a call is written. Opening the connection may have taken up to the
// connect timeout, in which the caller may have cancelled, the engine may have begun to drain, and the time left or the time
// within which it may be sent may have run out.
func (c *Client) prepare(ctx context.Context, conn *engineConn, call *request) ([][]byte, error) {
	c.mu.Lock()
	stopped := conn.endpoint.draining || !conn.endpoint.listed
	c.mu.Unlock()
	if call.startsWork && stopped {
		return nil, fmt.Errorf("%s: %w", call.engine, errEngineDraining)
	}
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	if call.sendTimeOver() {
		return nil, fmt.Errorf("%s: %w", call.engine, errSendTimeOver)
	}
	return call.build()
}

// sendTimeOver reports whether the time within which the call may be sent is over.
func (call *request) sendTimeOver() bool {
	return !call.sendBy.IsZero() && !time.Now().Before(call.sendBy)
}

// acquireInTime is like acquire, but waits no longer than the call may be sent.
func (c *Client) acquireInTime(ctx context.Context, call *request) (*engineConn, error) {
	if call.sendBy.IsZero() {
		return c.acquire(ctx, call.engine, call.requirement)
	}
	acquireCtx, cancel := context.WithDeadlineCause(ctx, call.sendBy, errSendTimeOver)
	defer cancel()
	conn, err := c.acquire(acquireCtx, call.engine, call.requirement)
	if err != nil && call.sendTimeOver() {
		err = fmt.Errorf("%s: %w", call.engine, errors.Join(errSendTimeOver, err))
	}
	return conn, err
}

// do makes a call. sent reports whether its last byte was written. If the context ends, the connection is closed.
func (c *Client) do(ctx context.Context, call request) (resp *response, sent bool, err error) {
	conn, err := c.acquireInTime(ctx, &call)
	if err != nil {
		return nil, false, err
	}
	message, err := c.prepare(ctx, conn, &call)
	if err != nil {
		c.returnConn(conn) // nothing was written to it
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() }) //nolint:errcheck // unblocks reads and writes
	if !call.sendBy.IsZero() {
		conn.SetWriteDeadline(call.sendBy) //nolint:errcheck // writing to a closed connection fails
	}
	head, sent, err := c.exchange(conn, message, call.onSent)
	if err != nil {
		stop()
		conn.Close() //nolint:errcheck // not usable
		return nil, sent, err
	}
	return &response{c, conn, head, stop}, true, nil
}

// exchange writes a call to a connection and reads the head of its response. sent reports whether the last byte was written;
// onSent, which may be nil, is called at that point.
func (c *Client) exchange(conn *engineConn, message [][]byte, onSent func(engine.ConnInfo)) (head *http1.Head, sent bool, err error) {
	size := 0
	for _, part := range message {
		size += len(part)
	}
	buffers := net.Buffers(message)
	n, err := buffers.WriteTo(conn.Conn)
	if err != nil || int(n) < size {
		return nil, false, fmt.Errorf("write: %w", err)
	}
	if onSent != nil {
		onSent(engine.ConnInfo{Number: conn.number, LastActive: conn.lastActive})
	}
	if head, err = readResponseHead(conn); err != nil {
		return nil, true, engineError(err)
	}
	conn.lastActive = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.endpoint.lastAnswerAt = conn.lastActive
	return head, true, nil
}

// maxInterimResponses limits the 1xx responses before a final one.
const maxInterimResponses = 16

// readResponseHead reads the head of a response and skips 1xx responses before it. Once a head has begun to come, the rest has
// to follow without delay.
func readResponseHead(conn *engineConn) (*http1.Head, error) {
	for range maxInterimResponses {
		if _, err := conn.r.Peek(1); err != nil {
			return nil, err
		}
		conn.SetReadDeadline(time.Now().Add(maxChunkDuration)) //nolint:errcheck // reading from a closed connection fails
		head, err := http1.ReadResponse(conn.r, limits)
		conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
		if err != nil || head.Status >= 200 {
			return head, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", http1.ErrMalformed, maxInterimResponses)
}

// engineError wraps errors of http1 and read timeouts in the errors of package engine.
func engineError(err error) error {
	if errors.Is(err, http1.ErrMalformed) || errors.Is(err, http1.ErrTooLarge) {
		return fmt.Errorf("%w: %w", engine.ErrMalformed, err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", engine.ErrTruncated, err)
	}
	return err
}
