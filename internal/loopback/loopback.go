// Package loopback finds ports for servers that are taken down and brought back at the same place: below the
// range from which the system picks the ports of outgoing connections, so that none of those takes it
// meanwhile. internal/standin, internal/day and tests use it; a router never does.
//
// A port that was found free is nobody's until its server listens. So that no other process of ours finds it
// meanwhile (tests of several packages run at once), each process has a stretch of ports to itself, by a lock on a
// file that ends with the process, and hands out each port of it once before it begins anew.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	minPort         = 18000
	maxPort         = 32000
	portsPerProcess = 200
)

// ports are this process's: a stretch is of the process, so there is one.
var ports struct {
	mu   sync.Mutex
	lock *os.File // keeps the stretch
	from int
	next int
}

// claim takes a stretch that no other process has. Where locks can't be had it takes one by chance.
func claimRange() {
	const stretches = (maxPort - minPort) / portsPerProcess
	first := rand.IntN(stretches)
	ports.from = minPort + first*portsPerProcess
	for i := range stretches {
		n := (first + i) % stretches
		f, err := os.OpenFile(filepath.Join(os.TempDir(), "cherryhub-ports-"+strconv.Itoa(n)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			continue
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
			ports.lock, ports.from = f, minPort+n*portsPerProcess
			return
		}
		f.Close() //nolint:errcheck // it was not locked
	}
}

// Listen listens at a free port of an address.
func Listen(host string) (net.Listener, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.from == 0 {
		claimRange()
	}
	var err error
	for range portsPerProcess {
		port := ports.from + ports.next
		ports.next = (ports.next + 1) % portsPerProcess
		var ln net.Listener
		if ln, err = net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no free port at %s from %d to %d: %w", host, ports.from, ports.from+portsPerProcess-1, err)
}

// Address is a free address, for a server that is started next.
func FreeAddress(host string) (string, error) {
	ln, err := Listen(host)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
