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

// RaiseLimit raises the process's soft limit of descriptors to the hard one and tells it.
func RaiseDescriptorLimit() (int, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	if l.Cur < l.Max {
		raised := unix.Rlimit{Cur: l.Max, Max: l.Max}
		if unix.Setrlimit(unix.RLIMIT_NOFILE, &raised) == nil {
			l = raised
		}
	}
	return int(min(l.Cur, maxDescriptorLimit)), nil
}

// limitMost is where a limit is as good as none.
const maxDescriptorLimit = 1 << 20

// spare is some descriptors kept for the moment in which there is none: one is closed, the connection accepted in
// its place is refused and closed, and it is opened again. Whoever else waits for a descriptor may be quicker, so
// there are some.
type spareDescriptors struct {
	mu    sync.Mutex
	files []*os.File
}

const spareDescriptorCount = 4

func newSpareDescriptors() (*spareDescriptors, error) {
	s := &spareDescriptors{}
	s.fill()
	if len(s.files) == 0 {
		return nil, fmt.Errorf("none can be opened: %w", unix.EMFILE)
	}
	return s, nil
}

// refuse accepts one connection at a listener in a spare one's place and refuses it. Where there is none left it
// waits a moment: the listener stays readable and would have the poller spin. That slows the streams that share
// the poller, which is why it is short.
func (s *spareDescriptors) refuse(listener int) (refused bool) {
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
	fd, _, err := unix.Accept(listener)
	if err != nil {
		return false
	}
	unix.SetNonblock(fd, true)                                                                        //nolint:errcheck // it is read once
	unix.Write(fd, refusalResponse(admit.Decision{Reason: admit.ReasonNoDescriptors, RetryAfter: 1})) //nolint:errcheck // told as well as can be
	unix.Shutdown(fd, unix.SHUT_WR)                                                                   //nolint:errcheck // as above
	// It can't linger: the next one needs the spare. What the client sent so far is read, which in most cases is
	// its whole call, so that the close is no reset.
	var buf [4096]byte
	for begun := time.Now(); time.Since(begun) < spareLingerTimeout; {
		n, err := unix.Read(fd, buf[:])
		if n == 0 || err != nil && err != unix.EAGAIN {
			break
		}
		if err == unix.EAGAIN {
			time.Sleep(spareLingerTimeout / 10)
		}
	}
	unix.Close(fd) //nolint:errcheck // done with it
	return true
}

// Both are short: the poller waits.
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

// renew opens spare ones again where others took their place.
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

// lingering holds refused connections until their clients have closed them or a time is over, and reads what
// they send, so that closing doesn't reset the answer away. Its size is fixed: when it is full the oldest goes.
type lingerQueue struct {
	timeout time.Duration
	mu      sync.Mutex
	ring    []lingeringConn
	head    int // the oldest
	count   int
}

type lingeringConn struct {
	fd       int
	deadline time.Time
}

func newLingerQueue(n int, most time.Duration) *lingerQueue {
	return &lingerQueue{timeout: most, ring: make([]lingeringConn, n)}
}

func (l *lingerQueue) add(fd int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == len(l.ring) {
		old := l.ring[l.head]
		l.head, l.count = (l.head+1)%len(l.ring), l.count-1
		drainSocket(old.fd)
		unix.Close(old.fd) //nolint:errcheck // done with it
	}
	l.ring[(l.head+l.count)%len(l.ring)] = lingeringConn{fd, time.Now().Add(l.timeout)}
	l.count++
}

// drain reads what there is, and tells whether the client has closed.
func drainSocket(fd int) (over bool) {
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

// lingerEvery is how often lingering connections are read.
const lingerPollInterval = 5 * time.Millisecond

func (l *lingerQueue) run(ctx context.Context) {
	tick := time.NewTicker(lingerPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			l.poll(now)
		}
	}
}

func (l *lingerQueue) poll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := 0
	for i := range l.count {
		one := l.ring[(l.head+i)%len(l.ring)]
		if drainSocket(one.fd) || now.After(one.deadline) {
			unix.Close(one.fd) //nolint:errcheck // done with it
			continue
		}
		l.ring[(l.head+kept)%len(l.ring)] = one
		kept++
	}
	l.count = kept
}

func (l *lingerQueue) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.count {
		unix.Close(l.ring[(l.head+i)%len(l.ring)].fd) //nolint:errcheck // done with it
	}
	l.count = 0
}
