package service

import (
	"runtime"
	"sync/atomic"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/edge"
)

// figuresEvery is how many rounds of tidy pass between two lines of figures.
const figuresEvery = 5

// figures counts what the edge does, for the log.
type figures struct {
	took     atomic.Int64
	answers  [4]atomic.Int64 // by edge.Answer
	outcomes [2][9]atomic.Int64
	releases atomic.Int64
	atLimit  atomic.Int64 // releases because the limit of what is held was near
	behind   atomic.Int64 // of these, those that were sent while a write was out
	heldMost atomic.Int64 // the longest span that something was held, in nanoseconds
}

// Took is of edge.Observer, as are the methods below.
func (f *figures) CompletionAccepted(int) { f.took.Add(1) }

func (f *figures) CompletionAnswered(_ int, how edge.Answer, _ time.Duration) { f.answers[how].Add(1) }

func (f *figures) FirstToken(int, time.Duration) {}

func (f *figures) DispatchEnded(reads bool, o decide.Outcome, _ time.Duration) {
	stage := 1
	if reads {
		stage = 0
	}
	f.outcomes[stage][o].Add(1)
}

func (f *figures) Refused(int) {}

func (f *figures) ReleaseStarted(reason string) {
	f.releases.Add(1)
	switch reason {
	case edge.ReleaseReasonHoldLimitWriting:
		f.behind.Add(1)
		f.atLimit.Add(1)
	case edge.ReleaseReasonHoldLimit:
		f.atLimit.Add(1)
	}
}

func (f *figures) StateReleased(held time.Duration) {
	for {
		most := f.heldMost.Load()
		if int64(held) <= most || f.heldMost.CompareAndSwap(most, int64(held)) {
			return
		}
	}
}

func (f *figures) log(r *Router) {
	counts := func(all []atomic.Int64) (list []int64) {
		for i := range all {
			list = append(list, all[i].Load())
		}
		return list
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p := r.planner.Stats()
	_, runs := r.edge.Active()
	again, faulty, failed := r.front.Counts()
	r.log.Info("figures", "again", again, "status_4xx", faulty, "status_5xx", failed, "took", f.took.Load(), "finished_limited_aborted_left", counts(f.answers[:]),
		"reads", counts(f.outcomes[0][:]), "writes", counts(f.outcomes[1][:]), "releases", f.releases.Load(),
		"released_at_limit", f.atLimit.Load(), "released_while_writing", f.behind.Load(),
		"held_longest_ms", time.Duration(f.heldMost.Load()).Milliseconds(),
		"open", p.OpenCompletions, "runs", runs, "idle", r.backend.IdleConns(), "conns", r.front.Conns(), "goroutines", runtime.NumGoroutine(),
		"heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "faults", p.Panics)
}
