package planner

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

var churnHours = flag.Float64("churn.hours", 1, "virtual hours that TestLongChurn simulates")

// TestLongChurn simulates hours of virtual time to reach the long expiry times. Engines with new addresses, zones and
// cells come every 20 s and stay for 200 s, so that indices, which are reused after 600 s at the earliest, are reused;
// sessions are always new, so that records of cached prefixes, which expire after 120 s, exceed their bound. Tables
// stay within their bounds, memory stays level, a decision takes as long at the end as at the start, and expired
// entries are freed.
func TestLongChurn(t *testing.T) {
	const maxEngines, lifetimeSteps, stepSeconds = 128, 10, 20 // an engine stays for lifetimeSteps steps of stepSeconds
	p, edge := newTestPlanner(t, func(s *decide.Settings, o *Options) {
		o.MaxEngines, o.MaxQueuedCompletions, o.MaxOpenCompletions = maxEngines, 1<<20, 1<<20
		s.ReportColumns, s.ReservationsAllowed, s.Routers = []string{"x0", "x1"}, true, 3
		o.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	})
	rng := rand.New(rand.NewPCG(1, 2))
	next, session, sent := uint64(0), uint64(0), 0
	var durations []time.Duration
	advance := func(seconds float64) { p.start = p.start.Add(-time.Duration(seconds * float64(time.Second))) }
	serve := func(n int) {
		for range n {
			next++
			session++
			event := arrival(next, 0, 200+3000*rng.Float64(), 5*time.Second)
			event.Prompt.Session, event.Prompt.SharedPrefix, event.Prompt.SharedPrefixTokens = session, rng.Uint64N(1<<40)+1, 150
			p.Offer(event)
			began := time.Now()
			p.step()
			durations = append(durations, time.Since(began))
			for sent < len(edge.commands) { // each dispatch succeeds, and each read leads to a write
				command := edge.commands[sent]
				if sent++; command.Kind != link.Dispatch {
					continue
				}
				end := link.Event{Kind: link.DispatchEnded, Completion: command.Completion, Dispatch: command.Dispatch, Outcome: decide.Read, Elapsed: 0.05, Report: []float64{0.2, 1}}
				if !command.IsRead {
					p.Notify(link.Event{Kind: link.DispatchStarted, Completion: command.Completion, Dispatch: command.Dispatch, Elapsed: 0.05})
					end.Outcome, end.Answered = decide.Finished, true
				}
				p.Notify(end)
				p.step()
			}
			edge.commands, sent = edge.commands[:0], 0
		}
	}
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	list := func(step int) {
		entries := []link.EngineEntry{engineEntry(0, "read", decide.Ready), engineEntry(1, "write", decide.Ready)}
		for i := max(0, step-lifetimeSteps); i < step; i++ {
			for k, machine := range []string{"read", "write"} {
				e := engineEntry(0, machine, decide.Ready)
				e.Address, e.Zone, e.Cell = fmt.Sprintf("10.%d.%d.%d:1", i>>8, i&255, k), fmt.Sprint("z", i), fmt.Sprint("c", i)
				entries = append(entries, e)
			}
		}
		p.Notify(listEvent(decide.ListSnapshot, entries...))
		p.step()
	}
	median := func(d []time.Duration) (p50, p99 time.Duration) {
		d = slices.Clone(d)
		slices.Sort(d)
		return d[len(d)/2], d[len(d)*99/100]
	}
	steps := int(*churnHours * 3600 / stepSeconds)
	list(lifetimeSteps)
	serve(2000)
	durations = durations[:0]
	before := heap()
	t.Log("| virtual min | heap KiB | engines known | zones | cells | timers | decision p50 µs | p99 µs |")
	var heapSizes []uint64
	var early, late time.Duration
	for step := range steps {
		list(lifetimeSteps + step)
		for range stepSeconds / 2 {
			advance(2)
			serve(24)
		}
		ready := 0
		for _, rec := range p.engines.records {
			if rec.phase == decide.Ready {
				ready++
			}
		}
		require.Equal(t, 2+2*lifetimeSteps, ready, "no engine is ignored")
		require.LessOrEqual(t, len(p.engines.records), maxEngines)
		require.LessOrEqual(t, len(p.engines.zones.slots), 2*maxEngines+1)
		require.LessOrEqual(t, len(p.engines.cells.slots), 2*maxEngines+1)
		require.Empty(t, p.open)
		if (step+1)%(steps/9) == 0 {
			p50, p99 := median(durations)
			heapSizes = append(heapSizes, heap())
			t.Logf("| %d | %d | %d | %d | %d | %d | %d | %d |", (step+1)*stepSeconds/60, heapSizes[len(heapSizes)-1]>>10, len(p.engines.records), len(p.engines.zones.slots),
				len(p.engines.cells.slots), len(p.timers), p50.Microseconds(), p99.Microseconds())
			if late = p50; early == 0 {
				early = p50
			}
			durations = durations[:0]
		}
	}
	assert.Less(t, heapSizes[len(heapSizes)-1], heapSizes[2]+heapSizes[2]/4, "memory stays level once the first indices are reused")
	assert.Less(t, late, 5*early, "time of a decision, with an allowance for other load on the machine")
	advance(700) // no load: records of prefixes expire
	list(0)
	after := heap()
	t.Logf("without load %d KiB, before %d KiB", after>>10, before>>10)
	assert.Less(t, after, before+1<<20, "expired entries are freed")
}
