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

// answer is a call whose answer's head has come.
type response struct {
	client *Client
	conn   *engineConn
	head   *http1.Head
	stop   func() bool // of the context's watch
}

// done ends the call: its connection is kept or closed.
func (resp *response) finish(keep bool) {
	if resp.stop() && keep && !resp.head.Close {
		resp.client.returnConn(resp.conn)
		return
	}
	resp.conn.Close() //nolint:errcheck // done with it
}

// outgoing is a call to be made.
type request struct {
	engine      string
	startsWork  bool // work at the engine: nothing of it goes to one that drains or is gone
	requirement connRequirement
	build       func() ([][]byte, error) // is called when the connection is up
	onSent      func(engine.ConnInfo)    // is called once the last byte is written, nil for none
}

// ready is the last look before a call's first byte, once its connection is up: that may have taken as long as a dial
// may, in which the caller may have left, the engine may have begun to drain, and the time left has gone by.
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
	return call.build()
}

// do makes a call. sent tells whether its last byte was written. The context's end closes the connection.
func (c *Client) do(ctx context.Context, call request) (resp *response, sent bool, err error) {
	conn, err := c.acquire(ctx, call.engine, call.requirement)
	if err != nil {
		return nil, false, err
	}
	message, err := c.prepare(ctx, conn, &call)
	if err != nil {
		c.returnConn(conn) // nothing was written to it
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() }) //nolint:errcheck // ends reads and writes
	head, sent, err := c.exchange(conn, message, call.onSent)
	if err != nil {
		stop()
		conn.Close() //nolint:errcheck // of no use
		return nil, sent, err
	}
	return &response{c, conn, head, stop}, true, nil
}

// exchange writes a call on a connection and reads the head of its answer. sent tells whether its last byte was written; wrote,
// nil for none, is called then.
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

// aheadMost bounds the 1xx answers ahead of an answer.
const maxInterimResponses = 16

// readHead reads an answer's head, which comes at once as soon as it begins, and drops what comes ahead of it.
func readResponseHead(conn *engineConn) (*http1.Head, error) {
	for range maxInterimResponses {
		if _, err := conn.r.Peek(1); err != nil {
			return nil, err
		}
		conn.SetReadDeadline(time.Now().Add(maxChunkDuration)) //nolint:errcheck // a connection that is closed fails in reading
		head, err := http1.ReadResponse(conn.r, limits)
		conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
		if err != nil || head.Status >= 200 {
			return head, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d answers of 1xx", http1.ErrMalformed, maxInterimResponses)
}

// broken has what http1 found as the engine client's errors.
func engineError(err error) error {
	if errors.Is(err, http1.ErrMalformed) || errors.Is(err, http1.ErrTooLarge) {
		return fmt.Errorf("%w: %w", engine.ErrMalformed, err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", engine.ErrTruncated, err)
	}
	return err
}
