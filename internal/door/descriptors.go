package door

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cherryhub/internal/admit"
)

// RaiseLimit raises the process's soft limit of descriptors to the hard one and tells it.
func RaiseLimit() (int, error) {
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
	return int(min(l.Cur, limitMost)), nil
}

// limitMost is where a limit is as good as none.
const limitMost = 1 << 20

// spare is a descriptor kept for the moment in which there is none: it is closed, the connection accepted in its
// place is refused and closed, and it is opened again.
type spare struct {
	mu sync.Mutex
	f  *os.File
}

func newSpare() (*spare, error) {
	f, err := os.Open(os.DevNull)
	return &spare{f: f}, err
}

// refuse accepts one connection at a listener in the spare's place and refuses it. It fails if there is no spare.
func (s *spare) refuse(listener int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.f == nil {
		return false
	}
	s.f.Close() //nolint:errcheck // of /dev/null
	s.f = nil
	fd, _, err := unix.Accept(listener)
	if err == nil {
		unix.SetNonblock(fd, true)                                                   //nolint:errcheck // it is read once
		unix.Write(fd, refusal(admit.Verdict{Reason: admit.NoDescriptors, Wait: 1})) //nolint:errcheck // told as well as can be
		unix.Shutdown(fd, unix.SHUT_WR)                                              //nolint:errcheck // as above
		// It can't linger: the next one needs the spare. What the client sent so far is read, which in most
		// cases is its whole call, so that the close is no reset.
		var pause = spareLinger
		var buf [4096]byte
		for begun := time.Now(); time.Since(begun) < pause; {
			n, err := unix.Read(fd, buf[:])
			if n == 0 || err != nil && err != unix.EAGAIN {
				break
			}
			if err == unix.EAGAIN {
				time.Sleep(pause / 10)
			}
		}
		unix.Close(fd) //nolint:errcheck // done with it
	}
	s.open()
	return true
}

// spareLinger is short: the poller waits.
const spareLinger = time.Millisecond

func (s *spare) open() {
	if f, err := os.Open(os.DevNull); err == nil {
		s.f = f
	}
}

// renew opens the spare again where another took its place.
func (s *spare) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.f == nil {
		s.open()
	}
}

func (s *spare) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.f == nil {
		return nil
	}
	return s.f.Close()
}

// lingering holds refused connections until their clients have closed them or a time is over, and reads what
// they send, so that closing doesn't reset the answer away. Its size is fixed: when it is full the oldest goes.
type lingering struct {
	most time.Duration
	mu   sync.Mutex
	ring []lingerer
	head int // the oldest
	n    int
}

type lingerer struct {
	fd    int
	until time.Time
}

func newLingering(n int, most time.Duration) *lingering {
	return &lingering{most: most, ring: make([]lingerer, n)}
}

func (l *lingering) add(fd int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n == len(l.ring) {
		old := l.ring[l.head]
		l.head, l.n = (l.head+1)%len(l.ring), l.n-1
		drain(old.fd)
		unix.Close(old.fd) //nolint:errcheck // done with it
	}
	l.ring[(l.head+l.n)%len(l.ring)] = lingerer{fd, time.Now().Add(l.most)}
	l.n++
}

// drain reads what there is, and tells whether the client has closed.
func drain(fd int) (over bool) {
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
const lingerEvery = 5 * time.Millisecond

func (l *lingering) run(ctx context.Context) {
	tick := time.NewTicker(lingerEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			l.look(now)
		}
	}
}

func (l *lingering) look(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := 0
	for i := range l.n {
		one := l.ring[(l.head+i)%len(l.ring)]
		if drain(one.fd) || now.After(one.until) {
			unix.Close(one.fd) //nolint:errcheck // done with it
			continue
		}
		l.ring[(l.head+kept)%len(l.ring)] = one
		kept++
	}
	l.n = kept
}

func (l *lingering) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.n {
		unix.Close(l.ring[(l.head+i)%len(l.ring)].fd) //nolint:errcheck // done with it
	}
	l.n = 0
}
