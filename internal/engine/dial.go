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
var errNoConns = errors.New("all connections kept for engines are in use")

// Dialer keeps the connections to all engines within the descriptors that are kept for them. Where there is none
// it has idle ones closed and waits, as long as the dial may last. It guards against running the process out of
// descriptors, and against taking those of clients; it harms where one engine's dials wait for another's streams.
//
// Where the process has no descriptors all the same, whoever took them, a spare one makes way for one dial. Idle
// connections don't: the one to a reader that holds a state is the way by which the state is let go.
type Dialer struct {
	next  func(ctx context.Context, network, address string) (net.Conn, error)
	drop  func() // closes idle connections
	slots chan struct{}

	mu    sync.Mutex
	spare *os.File
	over  bool // no spare one is opened any more
}

// NewDialer makes a dialer of so many connections at once over next; drop closes idle ones.
func NewDialer(most int, next func(ctx context.Context, network, address string) (net.Conn, error), drop func()) *Dialer {
	d := &Dialer{next: next, drop: drop, slots: make(chan struct{}, most)}
	d.renew()
	return d
}

// Dial makes a connection, which counts until it is closed.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.slots <- struct{}{}:
	default:
		d.drop()
		select {
		case d.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", address, errNoConns)
		}
	}
	conn, err := d.next(ctx, network, address)
	if (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) && d.makeWay() {
		conn, err = d.next(ctx, network, address)
	}
	d.renew()
	if err != nil {
		<-d.slots
		return nil, err
	}
	return &counted{Conn: conn, over: sync.OnceFunc(func() {
		<-d.slots
		d.renew()
	})}, nil
}

// makeWay gives the spare descriptor up, and fails if there is none.
func (d *Dialer) makeWay() bool {
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
func (d *Dialer) renew() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare == nil && !d.over {
		if f, err := os.Open(os.DevNull); err == nil {
			d.spare = f
		}
	}
}

// Close gives the spare descriptor back for good.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.over = true
	d.mu.Unlock()
	d.makeWay()
}

// counted gives its slot back once it is closed.
type counted struct {
	net.Conn
	over func()
}

// Unwrap is the connection itself.
func (c *counted) Unwrap() net.Conn { return c.Conn }

func (c *counted) Close() error {
	err := c.Conn.Close()
	c.over()
	return err
}
