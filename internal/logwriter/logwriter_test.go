package logwriter

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowReader is a log's reader that takes nothing until it is told to.
type slowReader struct {
	begun chan struct{} // a write has begun, room for one
	goOn  chan struct{}
	mu    sync.Mutex
	text  bytes.Buffer
}

func (s *slowReader) Write(text []byte) (int, error) {
	select {
	case s.begun <- struct{}{}:
	default:
	}
	<-s.goOn
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(text)
}

func (s *slowReader) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

func textHandler(w io.Writer) slog.Handler { return slog.NewTextHandler(w, nil) }

// TestReaderStalls: nobody waits for a reader that takes nothing; what is kept is bounded, in order and whole, and what was dropped
// is told.
func TestReaderStalls(t *testing.T) {
	const size, count = 1 << 10, 2 * maxPendingBytes >> 10
	reader := &slowReader{begun: make(chan struct{}, 1), goOn: make(chan struct{})}
	log, w := Start(reader, textHandler)
	began := time.Now()
	log.Info("line", "n", 0, "text", "first")
	<-reader.begun // what comes now has to wait, and none of it is counted as dropped yet
	for n := range count {
		log.Info("line", "n", 1+n, "text", strings.Repeat("x", size))
	}
	require.Less(t, time.Since(began), 5*time.Second)
	w.mu.Lock()
	require.LessOrEqual(t, len(w.pending), maxPendingBytes)
	require.Positive(t, w.dropped)
	w.mu.Unlock()
	close(reader.goOn)
	require.Eventually(t, func() bool {
		lines := reader.lines()
		return strings.Contains(lines[len(lines)-1], "lines=")
	}, 5*time.Second, time.Millisecond)
	lines := reader.lines()
	require.Contains(t, lines[0], " n=0 ")
	require.Contains(t, lines[1], " n=1 ")
	require.Contains(t, lines[len(lines)-1], "level=WARN")
	log.Info("last")
	w.Close()
	lines = reader.lines()
	require.Contains(t, lines[len(lines)-1], "last")
}

// TestCloseDoesNotWait: an end does not wait for a reader that takes nothing, and lines after it go nowhere.
func TestCloseDoesNotWait(t *testing.T) {
	reader := &slowReader{goOn: make(chan struct{})}
	defer close(reader.goOn)
	log, w := Start(reader, textHandler)
	log.Info("line")
	began := time.Now()
	w.Close()
	require.Less(t, time.Since(began), 10*closeTimeout)
	log.Info("after")
}
