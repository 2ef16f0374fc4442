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
	conn   *conn
	head   *http1.Head
	stop   func() bool // of the context's watch
}

// done ends the call: its connection is kept or closed.
func (a *response) finish(keep bool) {
	if a.stop() && keep && !a.head.Close {
		a.client.returnConn(a.conn)
		return
	}
	a.conn.Close() //nolint:errcheck // done with it
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
func (c *Client) prepare(ctx context.Context, one *conn, call *request) ([][]byte, error) {
	c.mu.Lock()
	drains := one.endpoint.draining || !one.endpoint.listed
	c.mu.Unlock()
	if call.startsWork && drains {
		return nil, fmt.Errorf("%s: %w", call.engine, errEngineDraining)
	}
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return call.build()
}

// do makes a call. sent tells whether its last byte was written. The context's end closes the connection.
func (c *Client) do(ctx context.Context, call request) (a *response, sent bool, err error) {
	one, err := c.acquire(ctx, call.engine, call.requirement)
	if err != nil {
		return nil, false, err
	}
	message, err := c.prepare(ctx, one, &call)
	if err != nil {
		c.returnConn(one) // nothing was written to it
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { one.Close() }) //nolint:errcheck // ends reads and writes
	head, sent, err := c.exchange(one, message, call.onSent)
	if err != nil {
		stop()
		one.Close() //nolint:errcheck // of no use
		return nil, sent, err
	}
	return &response{c, one, head, stop}, true, nil
}

// exchange writes a call on a connection and reads the head of its answer. sent tells whether its last byte was written; wrote,
// nil for none, is called then.
func (c *Client) exchange(one *conn, message [][]byte, wrote func(engine.ConnInfo)) (head *http1.Head, sent bool, err error) {
	size := 0
	for _, part := range message {
		size += len(part)
	}
	buffers := net.Buffers(message)
	n, err := buffers.WriteTo(one.Conn)
	if err != nil || int(n) < size {
		return nil, false, fmt.Errorf("write: %w", err)
	}
	if wrote != nil {
		wrote(engine.ConnInfo{Number: one.number, LastActive: one.lastActive})
	}
	if head, err = readResponseHead(one); err != nil {
		return nil, true, engineError(err)
	}
	one.lastActive = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	one.endpoint.lastAnswerAt = one.lastActive
	return head, true, nil
}

// aheadMost bounds the 1xx answers ahead of an answer.
const maxInterimResponses = 16

// readHead reads an answer's head, which comes at once as soon as it begins, and drops what comes ahead of it.
func readResponseHead(one *conn) (*http1.Head, error) {
	for range maxInterimResponses {
		if _, err := one.r.Peek(1); err != nil {
			return nil, err
		}
		one.SetReadDeadline(time.Now().Add(maxChunkDuration)) //nolint:errcheck // a connection that is closed fails in reading
		head, err := http1.ReadResponse(one.r, limits)
		one.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
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
