package edge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherryhub/decide"
	"cherryhub/internal/link"
	"cherryhub/internal/rules"
	pb "cherryhub/proto"
)

// disturbance is one fault injected during a sequence.
type disturbance struct {
	Kind       string
	DelayMs    int     // after the previous one
	Engine     int     // index of the engine, or of the router
	Severity   float64 // from 0 to 1
	DurationMs int
}

// sequence is the input to a test cluster: client calls, and disturbances that happen concurrently.
type sequence struct {
	Calls        []clientCall
	GapsMs       []int // before each call
	Disturbances []disturbance
}

// sequenceSpec defines which sequences are drawn for a property.
type sequenceSpec struct {
	minCalls, maxCalls int
	maxGapMs           int // between two calls
	workloads          []int
	maxPromptTokens    int
	clientsLeave       bool
	disturbances       []string
	maxDisturbances    int
}

func (c sequenceSpec) draw() *rapid.Generator[sequence] {
	return rapid.Custom(func(t *rapid.T) (s sequence) {
		n := rapid.IntRange(c.minCalls, c.maxCalls).Draw(t, "calls")
		for range n {
			newCall := clientCall{Router: rapid.IntRange(0, 2).Draw(t, "router"), Workload: rapid.SampledFrom(c.workloads).Draw(t, "workload"),
				PromptTokens: rapid.IntRange(1, c.maxPromptTokens).Draw(t, "tokens"), Session: rapid.IntRange(0, 9).Draw(t, "session"), Stream: rapid.Bool().Draw(t, "stream")}
			switch rapid.IntRange(0, 7).Draw(t, "variation") {
			case 0:
				newCall.TimeoutSeconds = rapid.Float64Range(0.05, 2).Draw(t, "timeout")
			case 1:
				if c.clientsLeave {
					newCall.LeaveAfterSeconds = rapid.Float64Range(0.001, 1).Draw(t, "leave after")
				}
			}
			s.Calls = append(s.Calls, newCall)
			s.GapsMs = append(s.GapsMs, rapid.IntRange(0, c.maxGapMs).Draw(t, "gap"))
		}
		for range rapid.IntRange(1, c.maxDisturbances).Draw(t, "disturbances") {
			s.Disturbances = append(s.Disturbances, disturbance{Kind: rapid.SampledFrom(c.disturbances).Draw(t, "kind"), DelayMs: rapid.IntRange(0, 600).Draw(t, "delay"),
				Engine: rapid.IntRange(0, 5).Draw(t, "engine"), Severity: rapid.Float64Range(0.05, 1).Draw(t, "severity"), DurationMs: rapid.IntRange(20, 2500).Draw(t, "duration")})
		}
		return s
	})
}

// allDisturbances are the kinds of disturbance.
var allDisturbances = []string{"fails", "slow", "silent", "paused", "breaks", "loses", "unreachable", "dies", "drains", "flush", "links slow", "cut", "list late", "list empty", "list gone", "planner stalled", "router killed"}

// disturb applies a disturbance and reverts it after its duration.
func (tc *testCluster) disturb(d disturbance) {
	e := tc.fleet.Engines[d.Engine%len(tc.fleet.Engines)]
	wait := func() { time.Sleep(time.Duration(d.DurationMs) * time.Millisecond) }
	switch d.Kind {
	case "fails":
		e.SetFailureShare(d.Severity)
		wait()
		e.SetFailureShare(0)
	case "slow":
		e.SetSlowdown(1 + 20*d.Severity)
		wait()
		e.SetSlowdown(1)
	case "silent":
		e.SetSilent(true)
		wait()
		e.SetSilent(false)
	case "paused":
		e.SetPaused(true)
		wait()
		e.SetPaused(false)
	case "breaks":
		e.SetBrokenShare(d.Severity)
		wait()
		e.SetBrokenShare(0)
	case "loses":
		e.SetLostShare(d.Severity)
		wait()
		e.SetLostShare(0)
	case "unreachable":
		e.SetUnreachable(true) //nolint:errcheck // listening again may fail
		wait()
		e.SetUnreachable(false) //nolint:errcheck // as above
	case "dies":
		e.Kill()
		wait()
		e.Restart() //nolint:errcheck // as above
	case "drains":
		e.Drain()
		wait()
		e.Kill()
		time.Sleep(300 * time.Millisecond)
		e.Restart() //nolint:errcheck // as above
	case "flush":
		e.EvictPrefixes(d.Severity)
	case "links slow":
		tc.fleet.SetTransferSlowdown(1 + 20*d.Severity)
		wait()
		tc.fleet.SetTransferSlowdown(1)
	case "cut":
		tc.fleet.IsolateZone("b")
		wait()
		tc.fleet.EndIsolation()
	case "list late":
		tc.fleet.List.SetExtraDelay(time.Duration(d.Severity * 3e9))
		wait()
		tc.fleet.List.SetExtraDelay(0)
	case "list empty":
		tc.fleet.List.SetEmpty(true)
		wait()
		tc.fleet.List.SetEmpty(false)
	case "list gone":
		tc.fleet.List.SetUnavailable(true)
		wait()
		tc.fleet.List.SetUnavailable(false)
	case "planner stalled":
		r := tc.routers[d.Engine%len(tc.routers)].Load()
		r.plannerStalled.Store(true)
		wait()
		r.plannerStalled.Store(false)
	case "router killed":
		tc.kill(d.Engine%len(tc.routers), time.Duration(d.DurationMs)*time.Millisecond)
	}
}

// playSequence runs a sequence: calls and disturbances are concurrent, and a disturbance may start before the previous one has ended.
func playSequence(t *testing.T, s sequence, f faults) (report *rules.Report) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, f)
		time.Sleep(500 * time.Millisecond)
		tc.calls.Go(func() {
			killing := make(chan struct{}, 1) // one router at a time
			for _, d := range s.Disturbances {
				time.Sleep(time.Duration(d.DelayMs) * time.Millisecond)
				tc.calls.Go(func() {
					if d.Kind == "router killed" {
						killing <- struct{}{}
						defer func() { <-killing }()
					}
					tc.disturb(d)
				})
			}
		})
		for i, c := range s.Calls {
			time.Sleep(time.Duration(s.GapsMs[i]) * time.Millisecond)
			tc.call(c)
		}
		report = tc.finish()
	})
	return report
}

// properties holds for each rule the sequences to draw, and a planted fault that violates the rule.
var properties = map[rules.Rule]struct {
	sequenceSpec
	fault func() faults
}{
	// The edge has its own deadline for the final answer, beside the planner's. With both set past the client's, answers come late.
	rules.OneAnswer: {sequenceSpec{20, 60, 60, []int{0, 1, 2, 3, 4}, 3000, true, allDisturbances, 8}, func() faults {
		return faults{routerConfig: func(settings *pb.Router) {
			for _, w := range settings.GetWorkloads() {
				*w.ClientTimeoutS += 1
			}
		}}
	}},
	// Failed dispatches are repeated, whatever their idempotency.
	rules.NoEffectTwice: {sequenceSpec{30, 80, 40, []int{1, 2, 2, 3, 4}, 3000, true, []string{"fails", "silent", "paused", "breaks", "loses", "unreachable", "dies",
		"drains", "slow", "cut", "planner stalled", "router killed"}, 8}, func() faults {
		return faults{routerConfig: func(settings *pb.Router) {
			for _, w := range settings.GetWorkloads() {
				w.Effect = pb.Effect_IDEMPOTENT.Enum()
			}
		}}
	}},
	// List updates that an engine is draining or gone are lost.
	rules.DrainsRespected: {sequenceSpec{30, 80, 40, []int{0, 1, 2}, 2000, true, []string{"drains", "drains", "dies", "list late", "list gone", "planner stalled", "router killed", "slow"}, 6}, func() faults {
		return faults{engineList: func(ev link.Event) link.Event {
			l := *ev.EngineList
			l.Kind, l.Entries = decide.ListDelta, nil
			for _, e := range ev.EngineList.Entries {
				if e.Phase == decide.Ready {
					l.Entries = append(l.Entries, e)
				}
			}
			ev.EngineList = &l
			return ev
		}}
	}},
	// List updates that an engine has just started are lost.
	rules.ColdNotOverloaded: {sequenceSpec{250, 400, 12, []int{0}, 3000, false, []string{"dies", "dies", "drains", "router killed", "list late", "slow", "fails"}, 6}, func() faults {
		return faults{engineList: func(ev link.Event) link.Event {
			l := *ev.EngineList
			l.Entries = nil
			for _, e := range ev.EngineList.Entries {
				e.StartID, e.Age = 1, 1000
				l.Entries = append(l.Entries, e)
			}
			ev.EngineList = &l
			return ev
		}}
	}},
	// Release commands are lost, and the edge's own hold limit is far too long.
	rules.NothingHeldPastLimit: {sequenceSpec{20, 60, 60, []int{0, 1, 2}, 4000, true, allDisturbances, 8}, func() faults {
		return faults{routerConfig: func(settings *pb.Router) { *settings.LetGoS = 10 }, command: func(e link.Edge, cmd link.Command) {
			if cmd.Kind != link.Release {
				e.Execute(cmd)
			}
		}}
	}},
}

func testProperty(t *testing.T, rule rules.Rule) {
	p := properties[rule]
	checked := 0
	t.Run("holds", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			report := playSequence(t, p.draw().Draw(rt, "sequence"), faults{})
			checked += report.Checked[rule]
			for _, b := range report.Violations { // violations of any rule
				rt.Fatalf("%+v", b)
			}
		})
		assert.Positive(t, checked)
	})
	t.Run("detects a planted fault", func(t *testing.T) {
		for seed := range 50 {
			for _, b := range playSequence(t, p.draw().Example(seed), p.fault()).Violations {
				if b.Rule == rule {
					t.Logf("seed %d: %+v", seed, b)
					return
				}
			}
		}
		require.Fail(t, "none of 50 sequences violates the rule")
	})
}

func TestOneAnswer(t *testing.T)       { t.Parallel(); testProperty(t, rules.OneAnswer) }
func TestNoEffectTwice(t *testing.T)   { t.Parallel(); testProperty(t, rules.NoEffectTwice) }
func TestDrainsRespected(t *testing.T) { t.Parallel(); testProperty(t, rules.DrainsRespected) }
func TestColdEnginesNotOverloaded(t *testing.T) {
	t.Parallel()
	testProperty(t, rules.ColdNotOverloaded)
}
func TestNothingHeldPastLimit(t *testing.T) {
	t.Parallel()
	testProperty(t, rules.NothingHeldPastLimit)
}

// TestReleaseReachesRecoveredEngine checks that an engine that accepted requests without answering any receives the
// release within the hold limit after it has recovered, however long it was silent.
func TestReleaseReachesRecoveredEngine(t *testing.T) {
	held := 0
	for durationMs := 50; durationMs <= 1600; durationMs += 50 {
		report := playSequence(t, sequence{Calls: []clientCall{{PromptTokens: 2500, Stream: true, LeaveAfterSeconds: 0.25}}, GapsMs: []int{0}, // the client leaves while the state is fetched
			Disturbances: []disturbance{{Kind: "links slow", Severity: 1, DurationMs: 2000}, {Kind: "silent", DelayMs: 200, Engine: 0, DurationMs: durationMs}, {Kind: "silent", Engine: 1, DurationMs: durationMs}}},
			faults{})
		require.Empty(t, report.Violations, "silent for %d ms", durationMs)
		held += report.Checked[rules.NothingHeldPastLimit]
	}
	assert.Positive(t, held)
}

// TestLoadSpreadAfterOverload checks that after an overload the next completions are spread over the available writers and finish.
func TestLoadSpreadAfterOverload(t *testing.T) {
	const burst, afterBurst = 400, 150
	var report *rules.Report
	writesByEngine, outcomes := map[string]float64{}, map[int64]pb.ClientEvent_Kind{}
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, faults{})
		time.Sleep(500 * time.Millisecond)
		for i := range burst {
			tc.call(clientCall{Router: i, PromptTokens: 50 + 7*i, Stream: true, Session: i})
			time.Sleep(3 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		tc.fleet.FindEngines("mixed-0")[0].Drain() // it is in the routers' zone and would get nearly all writes
		time.Sleep(300 * time.Millisecond)         // until the engine list is updated
		overloadEnd := tc.recorder.Now()
		for i := range afterBurst {
			tc.call(clientCall{Router: i, PromptTokens: 20 + i, Stream: true, Session: burst + i})
			time.Sleep(30 * time.Millisecond)
		}
		report = tc.finish()
		for _, e := range tc.entries {
			if ev := e.GetEngine(); e.GetAtS() > overloadEnd && ev.GetKind() == pb.EngineEvent_ARRIVED && ev.GetRole() == pb.Role_WRITER {
				writesByEngine[ev.GetEngine()]++
			}
			if c := e.GetClient(); c.GetCompletion() > burst {
				outcomes[c.GetCompletion()] = c.GetKind()
			}
		}
	})
	require.Empty(t, report.Violations)
	assert.Positive(t, report.Workloads[0].RateLimited, "there must be an overload")
	finished, writes := 0, 0.0
	for _, kind := range outcomes {
		if kind == pb.ClientEvent_FINISHED {
			finished++
		}
	}
	writers := []string{"writer-0", "writer-1", "writer-2"}
	for _, e := range writers {
		writes += writesByEngine[e]
	}
	assert.Greater(t, finished, afterBurst*9/10)
	assert.Greater(t, writes, afterBurst*0.9, "too few writes to compare shares")
	for _, e := range writers {
		share := writesByEngine[e] * 3 / writes
		assert.True(t, share > 0.2 && share < 2, "%s got %.2f of an even share", e, share)
	}
}
