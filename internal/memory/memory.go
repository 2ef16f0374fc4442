// Package memory sets the collector's pace by what lives: a fixed headroom over a small heap, so that a router
// with few streams collects rarely, and a small part over a large one, so that many open streams don't cost
// twice their memory. It changes nothing else. cmd/cherryhub's serve calls it, for the process as a whole.
package memory

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	headroomBytes = 64 << 20 // bytes; garbage that may gather over a small heap
	minGCPercent  = 25       // percent of a large heap; below it collecting costs more than streams do
	maxGCPercent  = 800      // percent; what lives may grow fast between two collections
)

// Tune sets the pace after each collection from now on. Where GOGC or GOMEMLIMIT is set it does nothing: the
// operator has decided.
func TuneGC() {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	setGCPercent()
}

// mark is garbage from the start: its finalizer runs after each collection and makes the next one.
type gcSentinel struct{ _ [16]byte }

func setGCPercent() {
	debug.SetGCPercent(gcPercent(liveHeapBytes()))
	runtime.SetFinalizer(&gcSentinel{}, func(*gcSentinel) { setGCPercent() })
}

// live is what the last collection left, in bytes.
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
