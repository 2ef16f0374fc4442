package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// errNoConns is a dial that was not made: all descriptors kept for engines are in use.
var errNoConns = errors.New("all connections kept for engines are in use")

// dialer keeps the connections to all engines within the descriptors that are kept for them. Where there is none
// it has idle ones closed and waits, as long as the dial may last. It guards against running the process out of
// descriptors, and against taking those of clients; it harms where one engine's dials wait for another's streams.
type dialer struct {
	next  func(ctx context.Context, network, address string) (net.Conn, error)
	drop  func() // closes idle connections
	slots chan struct{}
}

func newDialer(most int, next func(ctx context.Context, network, address string) (net.Conn, error), drop func()) *dialer {
	return &dialer{next: next, drop: drop, slots: make(chan struct{}, most)}
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
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
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) { // others took them; an idle one of ours may do
		d.drop()
		conn, err = d.next(ctx, network, address)
	}
	if err != nil {
		<-d.slots
		return nil, err
	}
	return &counted{Conn: conn, free: sync.OnceFunc(func() { <-d.slots })}, nil
}

// counted gives its slot back once it is closed.
type counted struct {
	net.Conn
	free func()
}

func (c *counted) Close() error {
	err := c.Conn.Close()
	c.free()
	return err
}
