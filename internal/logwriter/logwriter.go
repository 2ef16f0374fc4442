// Package logwriter keeps a slow log output from blocking the program: a single goroutine writes the lines. If it
// falls behind, because the reader of a pipe has stalled or a disk hangs, lines are dropped, and their number is
// logged when writing continues. cmd/cherryhub and internal/router use it.
package logwriter

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	maxPendingBytes = 256 << 10              // lines that wait to be written
	closeTimeout    = 200 * time.Millisecond // for the lines that remain at the end
)

// Writer buffers lines without blocking. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	dropLog *slog.Logger  // writes to out without a buffer
	wake    chan struct{} // lines are pending, or Close was called
	done    chan struct{} // closed when all lines are written after Close

	mu      sync.Mutex
	pending []byte
	dropped int // number of lines since the last message about them
	closed  bool
}

// Start starts a writer to the given output and returns it with a logger that writes to it. handler creates the
// handler for an output.
func Start(out io.Writer, handler func(io.Writer) slog.Handler) (*slog.Logger, *Writer) {
	w := &Writer{out: out, dropLog: slog.New(handler(out)), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return slog.New(handler(w)), w
}

// Write implements io.Writer. It buffers or drops one line as a whole and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	w.signal()
	return len(line), nil
}

// signal wakes the writing goroutine.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // a signal is pending already
	}
}

// run writes pending lines until Close.
func (w *Writer) run() {
	defer close(w.done)
	var lines []byte
	for range w.wake {
		w.mu.Lock()
		lines, w.pending = w.pending, lines[:0]
		dropped, closed := w.dropped, w.closed
		w.dropped = 0
		w.mu.Unlock()
		if len(lines) > 0 {
			w.out.Write(lines) //nolint:errcheck // there is nowhere else to report it
		}
		if dropped > 0 {
			w.dropLog.Warn("log lines dropped because the log output was too slow", "lines", dropped)
		}
		if closed {
			return
		}
	}
}

// Close stops the writer. It waits up to closeTimeout for the remaining lines to be written.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
