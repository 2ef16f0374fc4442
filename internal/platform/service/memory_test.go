package service

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/platform/discovery"
)

// liveHeapBytes returns the size of the live heap.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestMemoryPerEngine: all components of a router together need a small part of the 4 MB allowed per 1,000 engines, also
// while all engines are being replaced. Engines that are gone are remembered for two more minutes.
func TestMemoryPerEngine(t *testing.T) {
	const engines, maxBytesPerEngine = 3200, 2 << 10
	s := newCluster(t)
	list := func(round int) *discovery.EngineList {
		l := &discovery.EngineList{Version: int64(round), Snapshot: true}
		for n := range engines {
			l.Entries = append(l.Entries, discovery.EngineEntry{Name: fmt.Sprintf("engine-%d-%d", round, n), Address: fmt.Sprintf("127.0.0.1:%d", 20000+n), Zone: "here",
				MachineKind: []string{"reads", "writes"}[n%2], Cell: n / 5, Health: "Ready", StartUnixMS: int64(round)*1000 + 1})
		}
		return l
	}
	apply := func(round int) {
		s.router.updateEngines(list(round), decide.ListSnapshot)
		require.Eventually(t, func() bool { return s.router.planner.Stats().QueuedEvents == 0 }, 5*time.Second, time.Millisecond)
		time.Sleep(50 * time.Millisecond) // until the planner has processed it
	}
	before := liveHeapBytes()
	apply(1)
	first := liveHeapBytes() - before
	t.Logf("%d bytes for each of %d engines", first/engines, engines)
	require.Less(t, first/engines, int64(maxBytesPerEngine))
	apply(2)
	apply(3)
	last := liveHeapBytes() - before
	t.Logf("%d bytes for each after all were replaced twice", last/engines)
	require.Less(t, last, 4*first, "engines that are gone need more memory than listed ones")
}
