// Package logwriter keeps whoever reads a program's log from holding the program up: lines are handed to one goroutine that writes
// them. Where that falls behind, as the reader of a pipe stands still or a disk hangs, lines are dropped, and how many is logged once
// it goes on. cmd/cherryhub makes one for each router's process.
package logwriter

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	maxPendingBytes = 256 << 10              // bytes that wait to be written
	closeTimeout    = 200 * time.Millisecond // for what is left at the end
)

// Writer takes lines without waiting. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	dropLog *slog.Logger  // writes straight to it
	wake    chan struct{} // there is something to write
	done    chan struct{} // all is written, after Close

	mu      sync.Mutex
	pending []byte
	dropped int // lines, since the last note
	closed  bool
}

// Start starts a writer and gives a logger on it, with a handler that handler makes.
func Start(to io.Writer, handler func(io.Writer) slog.Handler) (*slog.Logger, *Writer) {
	w := &Writer{out: to, dropLog: slog.New(handler(to)), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return slog.New(handler(w)), w
}

// Write is of io.Writer: it takes one line, whole or not at all, and never fails.
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

// signal tells the goroutine that there is something to do.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // it has been told
	}
}

// run writes what comes, up to Close.
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
			w.out.Write(lines) //nolint:errcheck // there is no other place to tell it
		}
		if dropped > 0 {
			w.dropLog.Warn("log lines dropped, as the log's reader fell behind", "lines", dropped)
		}
		if closed {
			return
		}
	}
}

// Close writes what is left, as far as that is taken soon.
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
