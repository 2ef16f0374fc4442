package soak

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// logPipe takes a router's log to a file, as a log collector does: through a pipe that it may stop reading, or close.
type logPipe struct {
	read *os.File
	file *os.File
	done chan struct{} // is closed once the file has all

	mu      sync.Mutex
	resumed *sync.Cond
	stalls  int // calls of stall that are not over
}

// logPipeSize is the least that the system allows, so that a reader that stands still is soon felt.
const logPipeBytes = 4 << 10

// newLogPipe makes a pipe to a file; the process gets its other end, which the caller closes.
func newLogPipe(name string) (l *logPipe, write *os.File, err error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("log file: %w", err)
	}
	read, write, err := os.Pipe()
	if err != nil {
		file.Close() //nolint:errcheck // nothing was written
		return nil, nil, fmt.Errorf("log pipe: %w", err)
	}
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, logPipeBytes); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("log pipe: %w", err), file.Close(), read.Close(), write.Close())
	}
	l = &logPipe{read: read, file: file, done: make(chan struct{})}
	l.resumed = sync.NewCond(&l.mu)
	go l.copy()
	return l, write, nil
}

// copy copies until the pipe's end.
func (l *logPipe) copy() {
	defer close(l.done)
	defer l.file.Close() //nolint:errcheck // read by name later
	defer l.read.Close() //nolint:errcheck // it may be closed already
	buf := make([]byte, logPipeBytes)
	for {
		l.mu.Lock()
		for l.stalls > 0 {
			l.resumed.Wait()
		}
		l.mu.Unlock()
		n, err := l.read.Read(buf)
		l.file.Write(buf[:n]) //nolint:errcheck // a log that is cut short shows in reading
		if err != nil {
			return
		}
	}
}

// stall stops reading until the function that it returns is called.
func (l *logPipe) stall() (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stalls--
		l.resumed.Broadcast()
	})
}

// cut closes the reading end: further writes of the process fail.
func (l *logPipe) closeReader() {
	l.read.Close() //nolint:errcheck // it may be closed already
}
