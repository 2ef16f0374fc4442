package memory

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestGCPercent(t *testing.T) {
	for live, want := range map[uint64]int{0: maxGCPercent, 1 << 20: maxGCPercent, 32 << 20: 200, 64 << 20: 100, 1 << 30: minGCPercent} {
		assert.Equal(t, want, gcPercent(live), "%d MiB live", live>>20)
	}
}

// TestTuneGC checks that the target percentage follows the live heap from collection to collection, and that it is
// left unchanged if GOGC is set.
func TestTuneGC(t *testing.T) {
	previous := debug.SetGCPercent(100)
	defer debug.SetGCPercent(previous)
	currentPercent := func() int {
		percent := debug.SetGCPercent(100)
		debug.SetGCPercent(percent)
		return percent
	}
	t.Setenv("GOGC", "70")
	TuneGC()
	runtime.GC()
	assert.Equal(t, 100, currentPercent())
	t.Setenv("GOGC", "")
	TuneGC()
	allocated := make([]byte, 400<<20)
	assert.Eventually(t, func() bool { runtime.GC(); return currentPercent() == minGCPercent }, 5*time.Second, 10*time.Millisecond)
	runtime.KeepAlive(allocated)
	allocated = nil
	assert.Eventually(t, func() bool { runtime.GC(); return currentPercent() > 150 }, 5*time.Second, 10*time.Millisecond)
}
