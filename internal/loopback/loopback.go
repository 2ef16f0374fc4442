// Package loopback finds free ports for servers that are stopped and restarted on the same port. The ports are
// below the range from which the system assigns ports to outgoing connections, so that no such connection takes
// the port in between. internal/standin, internal/day and tests use it; a router never does.
//
// A free port is not reserved until its server listens. Tests of several packages run at the same time, so to keep
// other processes from finding the same port, each process has a range of ports of its own, protected by a file
// lock that ends with the process. It returns each port of the range once before it starts over.
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

// ports is the port range of this process.
var ports struct {
	mu         sync.Mutex
	lockFile   *os.File // its lock reserves the range; nil if none could be locked
	first      int
	nextOffset int
}

// claimRange reserves a range that no other process has. If no lock is available, it picks a range at random.
func claimRange() {
	const rangeCount = (maxPort - minPort) / portsPerProcess
	start := rand.IntN(rangeCount)
	ports.first = minPort + start*portsPerProcess
	for i := range rangeCount {
		n := (start + i) % rangeCount
		f, err := os.OpenFile(filepath.Join(os.TempDir(), "cherryhub-ports-"+strconv.Itoa(n)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			continue
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
			ports.lockFile, ports.first = f, minPort+n*portsPerProcess
			return
		}
		f.Close() //nolint:errcheck // it was not locked
	}
}

// Listen listens on a free port of the host.
func Listen(host string) (net.Listener, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.first == 0 {
		claimRange()
	}
	var err error
	for range portsPerProcess {
		port := ports.first + ports.nextOffset
		ports.nextOffset = (ports.nextOffset + 1) % portsPerProcess
		var ln net.Listener
		if ln, err = net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no free port on %s from %d to %d: %w", host, ports.first, ports.first+portsPerProcess-1, err)
}

// FreeAddress returns an address with a free port for a server that is started next.
func FreeAddress(host string) (string, error) {
	ln, err := Listen(host)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
