// Package memory sets the garbage collector's target percentage (GOGC) from the size of the live heap. A small
// heap may grow by a fixed amount, so that a router with few streams collects rarely. A large heap may grow only
// by a small share, so that many open streams do not take twice their memory. The setting is process-wide. The
// serve command of cmd/cherryhub uses it.
package memory

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	headroomBytes = 64 << 20 // garbage that may accumulate above a small heap
	minGCPercent  = 25       // with less, garbage collection would cost more than the streams themselves
	maxGCPercent  = 800      // the live heap may grow fast between two collections
)

// TuneGC adjusts the target percentage now and after each garbage collection. If GOGC or GOMEMLIMIT is set, it
// leaves the operator's choice unchanged.
func TuneGC() {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	setGCPercent()
}

// gcSentinel is never referenced: its finalizer runs after the next garbage collection and creates a new sentinel.
type gcSentinel struct{ _ [16]byte }

func setGCPercent() {
	debug.SetGCPercent(gcPercent(liveHeapBytes()))
	runtime.SetFinalizer(&gcSentinel{}, func(*gcSentinel) { setGCPercent() })
}

// liveHeapBytes returns the size of the heap after the last garbage collection, 0 if it is unknown.
func liveHeapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

func gcPercent(live uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	return int(min(maxGCPercent, max(minGCPercent, headroomBytes*100/live)))
}
