package service

import (
	"fmt"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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

// nestedArrays returns JSON that nests this many levels deep.
func nestedArrays(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// usedMemoryBytes returns the memory that the Go runtime holds, stacks included, without what it has returned to the system.
func usedMemoryBytes() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// TestNestedBodiesStayWithinMemory guards against requests whose bodies nest so deep that parsing them takes the router over
// its memory: 256 KiB of opening brackets took a stack of 32 MiB each.
func TestNestedBodiesStayWithinMemory(t *testing.T) {
	const (
		requests    = 32
		memoryBytes = 64 << 20 // memory_mb of the configuration, over which the router would be killed
	)
	s := newCluster(t)
	body := strings.Repeat("[", 256<<10)
	before, highest := usedMemoryBytes(), int64(0)
	stopSampling, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			select {
			case <-stopSampling:
				return
			case <-time.After(time.Millisecond):
				highest = max(highest, usedMemoryBytes()-before)
			}
		}
	}()
	var clients sync.WaitGroup
	for n := range requests {
		clients.Go(func() {
			status, _, err := s.send(chatRequest(fmt.Sprint("deep", n), body))
			assert.NoError(t, err)
			assert.Equal(t, 400, status)
		})
	}
	clients.Wait()
	close(stopSampling)
	<-sampled
	t.Logf("%d MB at the most", highest>>20)
	require.Less(t, highest, int64(memoryBytes))
	require.Empty(t, s.fleet.Calls(""), "a request reached an engine")
}
