package door

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cherryhub/internal/admit"
)

// RaiseDescriptorLimit raises the process's soft limit of file descriptors to the hard limit. It returns the new limit,
// at most maxDescriptorLimit.
func RaiseDescriptorLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("file descriptor limit: %w", err)
	}
	if limit.Cur < limit.Max {
		raised := unix.Rlimit{Cur: limit.Max, Max: limit.Max}
		if unix.Setrlimit(unix.RLIMIT_NOFILE, &raised) == nil {
			limit = raised
		}
	}
	return int(min(limit.Cur, maxDescriptorLimit)), nil
}

// maxDescriptorLimit caps the limit that is used; a higher one is as good as none.
const maxDescriptorLimit = 1 << 20

// spareDescriptors are descriptors kept open for when the process runs out of them: one is closed, a connection is
// accepted in its place, refused and closed, and the spare is opened again. There are several, as another part of the
// process may take a descriptor that was just closed.
type spareDescriptors struct {
	mu    sync.Mutex
	files []*os.File
}

const spareDescriptorCount = 4

func newSpareDescriptors() (*spareDescriptors, error) {
	s := &spareDescriptors{}
	s.fill()
	if len(s.files) == 0 {
		return nil, fmt.Errorf("no descriptor could be opened: %w", unix.EMFILE)
	}
	return s, nil
}

// refuse accepts a connection with a spare descriptor and refuses it. If no spare is left it waits for noSpareDelay, as
// the poller would spin on a listener that stays readable. The wait delays the streams that share the poller.
func (s *spareDescriptors) refuse(listenerFD int) (refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fill()
	defer s.fill()
	n := len(s.files)
	if n == 0 {
		time.Sleep(noSpareDelay)
		return false
	}
	s.files[n-1].Close() //nolint:errcheck // of /dev/null
	s.files = s.files[:n-1]
	fd, _, err := unix.Accept(listenerFD)
	if err != nil {
		return false
	}
	unix.SetNonblock(fd, true)                                                                        //nolint:errcheck // does not fail for a socket
	unix.Write(fd, refusalResponse(admit.Decision{Reason: admit.ReasonNoDescriptors, RetryAfter: 1})) //nolint:errcheck // best effort
	unix.Shutdown(fd, unix.SHUT_WR)                                                                   //nolint:errcheck // as above
	// The connection cannot linger, as the next one needs the spare. What the client has sent is read, in most cases
	// its whole request, so that the close does not cause a reset.
	var buf [4096]byte
	for start := time.Now(); time.Since(start) < spareLingerTimeout; {
		n, err := unix.Read(fd, buf[:])
		if n == 0 || err != nil && err != unix.EAGAIN {
			break
		}
		if err == unix.EAGAIN {
			time.Sleep(spareLingerTimeout / 10)
		}
	}
	unix.Close(fd) //nolint:errcheck // not used again
	return true
}

// Both are short, as they block the poller.
const (
	spareLingerTimeout = time.Millisecond
	noSpareDelay       = 2 * time.Millisecond
)

func (s *spareDescriptors) fill() {
	for len(s.files) < spareDescriptorCount {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return
		}
		s.files = append(s.files, f)
	}
}

// refill reopens spare descriptors that could not be reopened after their use.
func (s *spareDescriptors) refill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fill()
}

func (s *spareDescriptors) close() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.files {
		err = errors.Join(err, f.Close())
	}
	s.files = nil
	return err
}

// lingerQueue keeps refused connections open until their clients close them or a timeout passes, and discards what they
// send, so that a reset does not discard the response. Its size is fixed: when it is full, the oldest is closed.
type lingerQueue struct {
	timeout time.Duration
	mu      sync.Mutex
	ring    []lingeringConn
	head    int // index of the oldest
	count   int
}

type lingeringConn struct {
	fd       int
	deadline time.Time
}

func newLingerQueue(size int, timeout time.Duration) *lingerQueue {
	return &lingerQueue{timeout: timeout, ring: make([]lingeringConn, size)}
}

func (l *lingerQueue) add(fd int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == len(l.ring) {
		oldest := l.ring[l.head]
		l.head, l.count = (l.head+1)%len(l.ring), l.count-1
		drainSocket(oldest.fd)
		unix.Close(oldest.fd) //nolint:errcheck // not used again
	}
	l.ring[(l.head+l.count)%len(l.ring)] = lingeringConn{fd, time.Now().Add(l.timeout)}
	l.count++
}

// drainSocket discards received bytes, up to 64 KiB, and reports whether the client has closed.
func drainSocket(fd int) (closed bool) {
	var buf [4096]byte
	for range 16 {
		n, err := unix.Read(fd, buf[:])
		switch {
		case n > 0:
		case err == unix.EAGAIN || err == unix.EINTR:
			return false
		default:
			return true
		}
	}
	return false
}

// lingerPollInterval is how often lingering connections are read.
const lingerPollInterval = 5 * time.Millisecond

func (l *lingerQueue) run(ctx context.Context) {
	ticker := time.NewTicker(lingerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.poll(now)
		}
	}
}

func (l *lingerQueue) poll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := 0
	for i := range l.count {
		conn := l.ring[(l.head+i)%len(l.ring)]
		if drainSocket(conn.fd) || now.After(conn.deadline) {
			unix.Close(conn.fd) //nolint:errcheck // not used again
			continue
		}
		l.ring[(l.head+kept)%len(l.ring)] = conn
		kept++
	}
	l.count = kept
}

func (l *lingerQueue) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.count {
		unix.Close(l.ring[(l.head+i)%len(l.ring)].fd) //nolint:errcheck // not used again
	}
	l.count = 0
}
