package soak

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// logPipe copies a router's log to a file through a pipe, like a log collector that may stop reading or close the pipe.
type logPipe struct {
	read *os.File
	file *os.File
	done chan struct{} // closed once the whole log is in the file

	mu      sync.Mutex
	resumed *sync.Cond
	stalls  int // calls of stall that have not been resumed
}

// logPipeBytes is the smallest size that the system allows, so that the pipe fills soon after reading stops.
const logPipeBytes = 4 << 10

// newLogPipe creates a pipe to a file. write is the end for the process; the caller closes it.
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

// copy copies from the pipe to the file until the pipe is closed.
func (l *logPipe) copy() {
	defer close(l.done)
	defer l.file.Close() //nolint:errcheck // a truncated log shows when it is read
	defer l.read.Close() //nolint:errcheck // it may be closed already
	buf := make([]byte, logPipeBytes)
	for {
		l.mu.Lock()
		for l.stalls > 0 {
			l.resumed.Wait()
		}
		l.mu.Unlock()
		n, err := l.read.Read(buf)
		l.file.Write(buf[:n]) //nolint:errcheck // a truncated log shows when it is read
		if err != nil {
			return
		}
	}
}

// stall stops reading until the returned function is called.
func (l *logPipe) stall() (resume func()) {
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

// closeReader closes the read end, so that further writes of the process fail.
func (l *logPipe) closeReader() {
	l.read.Close() //nolint:errcheck // it may be closed already
}
