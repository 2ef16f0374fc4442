// Package loopback finds ports for servers that are taken down and brought back at the same place: below the
// range from which the system picks the ports of outgoing connections, so that none of those takes it
// meanwhile. internal/standin, internal/day and tests use it; a router never does.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	lowest  = 18000
	highest = 32000
	tries   = 200
)

// Listen listens at a free port of an address.
func Listen(host string) (net.Listener, error) {
	var err error
	for range tries {
		var ln net.Listener
		if ln, err = net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(lowest+rand.IntN(highest-lowest)))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no free port at %s from %d to %d: %w", host, lowest, highest, err)
}

// Address is a free address, for a server that is started next.
func Address(host string) (string, error) {
	ln, err := Listen(host)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
