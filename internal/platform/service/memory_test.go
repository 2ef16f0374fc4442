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

// heap is the live heap, in bytes.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestMemoryOfAnEngine: what all parts of a router together remember of an engine is a small part of the 4 MB that a
// thousand may take, also while all of them are being replaced: those that are gone are known for two minutes more.
func TestMemoryPerEngine(t *testing.T) {
	const engines, maxBytesPerEngine = 3200, 2 << 10 // bytes each
	s := newCluster(t)
	list := func(round int) *discovery.List {
		l := &discovery.List{Version: int64(round), Snapshot: true}
		for n := range engines {
			l.Hosts = append(l.Hosts, discovery.Host{Name: fmt.Sprintf("engine-%d-%d", round, n), Address: fmt.Sprintf("127.0.0.1:%d", 20000+n), Zone: "here",
				MachineKind: []string{"reads", "writes"}[n%2], Cell: n / 5, Health: "Ready", StartUnixMS: int64(round)*1000 + 1})
		}
		return l
	}
	apply := func(round int) {
		s.router.updateEngines(list(round), decide.ListSnapshot)
		require.Eventually(t, func() bool { return s.router.planner.Stats().QueuedEvents == 0 }, 5*time.Second, time.Millisecond)
		time.Sleep(50 * time.Millisecond) // until the planner has it in hand
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
	require.Less(t, last, 4*first, "what is gone costs more than what is there")
}
