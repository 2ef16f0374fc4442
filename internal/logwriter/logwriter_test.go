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

// stalledOutput is a log output whose writes block until resume is closed.
type stalledOutput struct {
	writeStarted chan struct{} // receives a value when a write has started; capacity 1
	resume       chan struct{}
	mu           sync.Mutex
	text         bytes.Buffer
}

func (s *stalledOutput) Write(text []byte) (int, error) {
	select {
	case s.writeStarted <- struct{}{}:
	default:
	}
	<-s.resume
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(text)
}

func (s *stalledOutput) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

func textHandler(w io.Writer) slog.Handler { return slog.NewTextHandler(w, nil) }

// TestOutputStalls checks that logging does not block while the output is stalled, that the buffered lines are
// bounded, complete and in order, and that the number of dropped lines is logged.
func TestOutputStalls(t *testing.T) {
	const lineBytes, lineCount = 1 << 10, 2 * maxPendingBytes >> 10
	output := &stalledOutput{writeStarted: make(chan struct{}, 1), resume: make(chan struct{})}
	log, w := Start(output, textHandler)
	start := time.Now()
	log.Info("line", "n", 0, "text", "first")
	<-output.writeStarted // from now on lines are buffered, and none has been dropped yet
	for n := range lineCount {
		log.Info("line", "n", 1+n, "text", strings.Repeat("x", lineBytes))
	}
	require.Less(t, time.Since(start), 5*time.Second)
	w.mu.Lock()
	require.LessOrEqual(t, len(w.pending), maxPendingBytes)
	require.Positive(t, w.dropped)
	w.mu.Unlock()
	close(output.resume)
	require.Eventually(t, func() bool {
		lines := output.lines()
		return strings.Contains(lines[len(lines)-1], "lines=")
	}, 5*time.Second, time.Millisecond)
	lines := output.lines()
	require.Contains(t, lines[0], " n=0 ")
	require.Contains(t, lines[1], " n=1 ")
	require.Contains(t, lines[len(lines)-1], "level=WARN")
	log.Info("last")
	w.Close()
	lines = output.lines()
	require.Contains(t, lines[len(lines)-1], "last")
}

// TestCloseDoesNotWait checks that Close does not wait for a stalled output, and that lines logged after it are
// dropped.
func TestCloseDoesNotWait(t *testing.T) {
	output := &stalledOutput{resume: make(chan struct{})}
	defer close(output.resume)
	log, w := Start(output, textHandler)
	log.Info("line")
	start := time.Now()
	w.Close()
	require.Less(t, time.Since(start), 10*closeTimeout)
	log.Info("after")
}
