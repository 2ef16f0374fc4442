package service

import (
	"runtime"
	"sync/atomic"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/edge"
)

// statsLogTicks is the number of maintenance ticks between two log lines with statistics.
const statsLogTicks = 5

// stats counts the edge's events for the log.
type stats struct {
	accepted             atomic.Int64
	answers              [4]atomic.Int64    // by edge.Answer
	outcomes             [2][9]atomic.Int64 // of reads and of writes, by decide.Outcome
	releases             atomic.Int64
	releasesAtLimit      atomic.Int64 // releases because a held state was close to its time limit
	releasesWhileWriting atomic.Int64 // those of them sent while a write was still running
	longestHeldNanos     atomic.Int64 // the longest time that a state was held
}

// CompletionAccepted implements edge.Observer, as do the methods below.
func (s *stats) CompletionAccepted(int) { s.accepted.Add(1) }

func (s *stats) CompletionAnswered(_ int, answer edge.Answer, _ time.Duration) {
	s.answers[answer].Add(1)
}

func (s *stats) FirstToken(int, time.Duration) {}

func (s *stats) DispatchEnded(isRead bool, o decide.Outcome, _ time.Duration) {
	stage := 1
	if isRead {
		stage = 0
	}
	s.outcomes[stage][o].Add(1)
}

func (s *stats) Refused(int) {}

func (s *stats) ReleaseStarted(reason string) {
	s.releases.Add(1)
	switch reason {
	case edge.ReleaseReasonHoldLimitWriting:
		s.releasesWhileWriting.Add(1)
		s.releasesAtLimit.Add(1)
	case edge.ReleaseReasonHoldLimit:
		s.releasesAtLimit.Add(1)
	}
}

func (s *stats) StateReleased(held time.Duration) {
	for {
		longest := s.longestHeldNanos.Load()
		if int64(held) <= longest || s.longestHeldNanos.CompareAndSwap(longest, int64(held)) {
			return
		}
	}
}

func (s *stats) log(r *Router) {
	counts := func(counters []atomic.Int64) (values []int64) {
		for i := range counters {
			values = append(values, counters[i].Load())
		}
		return values
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p := r.planner.Stats()
	_, dispatches := r.edge.Active()
	resumed, clientErrors, serverErrors := r.front.Counts()
	r.log.Info("figures", "again", resumed, "status_4xx", clientErrors, "status_5xx", serverErrors, "took", s.accepted.Load(), "finished_limited_aborted_left", counts(s.answers[:]),
		"reads", counts(s.outcomes[0][:]), "writes", counts(s.outcomes[1][:]), "releases", s.releases.Load(),
		"released_at_limit", s.releasesAtLimit.Load(), "released_while_writing", s.releasesWhileWriting.Load(),
		"held_longest_ms", time.Duration(s.longestHeldNanos.Load()).Milliseconds(),
		"open", p.OpenCompletions, "runs", dispatches, "idle", r.backend.IdleConns(), "conns", r.front.Conns(), "goroutines", runtime.NumGoroutine(),
		"heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "faults", p.Panics)
}
