package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// errConnLimit is returned by a dial that found no free connection slot before its context ended.
var errConnLimit = errors.New("connection limit for engines reached")

// Dialer limits the number of connections that are open to all engines together. Without a free slot it closes an idle
// connection and waits for a slot until the dial's context ends. The limit keeps the process from running out of file
// descriptors and leaves those of client connections alone. Its cost is that dials to one engine may wait for streams from
// another.
//
// If the process runs out of file descriptors all the same, a spare descriptor is closed to let one dial succeed. Idle
// connections are not closed for that: an idle connection to a reader that holds state is what the release is sent on.
type Dialer struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	closeIdle func() // closes idle connections
	slots     chan struct{}

	mu     sync.Mutex
	spare  *os.File
	closed bool // openSpare does nothing any more
}

// NewDialer returns a dialer that keeps at most maxConns connections made by dial. closeIdle closes idle connections.
func NewDialer(maxConns int, dial func(ctx context.Context, network, address string) (net.Conn, error), closeIdle func()) *Dialer {
	d := &Dialer{dial: dial, closeIdle: closeIdle, slots: make(chan struct{}, maxConns)}
	d.openSpare()
	return d
}

// Dial opens a connection. It occupies a slot until it is closed.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.slots <- struct{}{}:
	default:
		d.closeIdle()
		select {
		case d.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", address, errConnLimit)
		}
	}
	conn, err := d.dial(ctx, network, address)
	if (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) && d.closeSpare() {
		conn, err = d.dial(ctx, network, address)
	}
	d.openSpare()
	if err != nil {
		<-d.slots
		return nil, err
	}
	return &countedConn{Conn: conn, release: sync.OnceFunc(func() {
		<-d.slots
		d.openSpare()
	})}, nil
}

// closeSpare closes the spare descriptor and reports whether there was one.
func (d *Dialer) closeSpare() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare == nil {
		return false
	}
	d.spare.Close() //nolint:errcheck // /dev/null
	d.spare = nil
	return true
}

// openSpare opens the spare descriptor if it is not open.
func (d *Dialer) openSpare() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare == nil && !d.closed {
		if f, err := os.Open(os.DevNull); err == nil {
			d.spare = f
		}
	}
}

// Close closes the spare descriptor for good.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.closeSpare()
}

// countedConn frees its slot when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Unwrap returns the underlying connection.
func (c *countedConn) Unwrap() net.Conn { return c.Conn }

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
