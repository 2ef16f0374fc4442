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

// errNoConns is a dial that was not made: all descriptors kept for engines are in use.
var errConnLimit = errors.New("all connections kept for engines are in use")

// Dialer keeps the connections to all engines within the descriptors that are kept for them. Where there is none
// it has idle ones closed and waits, as long as the dial may last. It guards against running the process out of
// descriptors, and against taking those of clients; it harms where one engine's dials wait for another's streams.
//
// Where the process has no descriptors all the same, whoever took them, a spare one makes way for one dial. Idle
// connections don't: the one to a reader that holds a state is the way by which the state is let go.
type Dialer struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	closeIdle func() // closes idle connections
	slots     chan struct{}

	mu     sync.Mutex
	spare  *os.File
	closed bool // no spare one is opened any more
}

// NewDialer makes a dialer of so many connections at once over next; drop closes idle ones.
func NewDialer(maxConns int, dial func(ctx context.Context, network, address string) (net.Conn, error), closeIdle func()) *Dialer {
	d := &Dialer{dial: dial, closeIdle: closeIdle, slots: make(chan struct{}, maxConns)}
	d.openSpare()
	return d
}

// Dial makes a connection, which counts until it is closed.
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

// makeWay gives the spare descriptor up, and fails if there is none.
func (d *Dialer) closeSpare() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare == nil {
		return false
	}
	d.spare.Close() //nolint:errcheck // of /dev/null
	d.spare = nil
	return true
}

// renew takes a spare descriptor again where there is none.
func (d *Dialer) openSpare() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare == nil && !d.closed {
		if f, err := os.Open(os.DevNull); err == nil {
			d.spare = f
		}
	}
}

// Close gives the spare descriptor back for good.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.closeSpare()
}

// counted gives its slot back once it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Unwrap is the connection itself.
func (c *countedConn) Unwrap() net.Conn { return c.Conn }

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
