package memory

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPercent(t *testing.T) {
	for live, want := range map[uint64]int{0: maxGCPercent, 1 << 20: maxGCPercent, 32 << 20: 200, 64 << 20: 100, 1 << 30: minGCPercent} {
		assert.Equal(t, want, gcPercent(live), "%d MiB live", live>>20)
	}
}

// TestTune: the pace follows what lives, collection after collection, and an operator's own is left alone.
func TestTune(t *testing.T) {
	was := debug.SetGCPercent(100)
	defer debug.SetGCPercent(was)
	now := func() int {
		p := debug.SetGCPercent(100)
		debug.SetGCPercent(p)
		return p
	}
	t.Setenv("GOGC", "70")
	TuneGC()
	runtime.GC()
	assert.Equal(t, 100, now())
	t.Setenv("GOGC", "")
	TuneGC()
	held := make([]byte, 400<<20)
	assert.Eventually(t, func() bool { runtime.GC(); return now() == minGCPercent }, 5*time.Second, 10*time.Millisecond)
	runtime.KeepAlive(held)
	held = nil
	assert.Eventually(t, func() bool { runtime.GC(); return now() > 150 }, 5*time.Second, 10*time.Millisecond)
}
