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

// trouble is one event of a sequence.
type trouble struct {
	Kind   string
	At     int     // ms after the one before
	Engine int     // or router
	Size   float64 // 0 to 1
	Length int     // ms
}

// sequence is what befalls a world, in the order of its steps: calls and troubles.
type sequence struct {
	Calls    []call
	Gaps     []int // ms before each call
	Troubles []trouble
}

// course says which sequences are drawn for a property.
type course struct {
	calls, most int // completions, from and to
	gap         int // ms between two, at most
	works       []int
	tokens      int
	leave       bool
	troubles    []string
	events      int
}

func (c course) draw() *rapid.Generator[sequence] {
	return rapid.Custom(func(t *rapid.T) (s sequence) {
		n := rapid.IntRange(c.calls, c.most).Draw(t, "calls")
		for range n {
			one := call{Router: rapid.IntRange(0, 2).Draw(t, "router"), Work: rapid.SampledFrom(c.works).Draw(t, "work"),
				Tokens: rapid.IntRange(1, c.tokens).Draw(t, "tokens"), Session: rapid.IntRange(0, 9).Draw(t, "session"), Stream: rapid.Bool().Draw(t, "stream")}
			switch rapid.IntRange(0, 7).Draw(t, "manner") {
			case 0:
				one.Timeout = rapid.Float64Range(0.05, 2).Draw(t, "timeout")
			case 1:
				if c.leave {
					one.Leave = rapid.Float64Range(0.001, 1).Draw(t, "leave")
				}
			}
			s.Calls = append(s.Calls, one)
			s.Gaps = append(s.Gaps, rapid.IntRange(0, c.gap).Draw(t, "gap"))
		}
		for range rapid.IntRange(1, c.events).Draw(t, "troubles") {
			s.Troubles = append(s.Troubles, trouble{Kind: rapid.SampledFrom(c.troubles).Draw(t, "kind"), At: rapid.IntRange(0, 600).Draw(t, "at"),
				Engine: rapid.IntRange(0, 5).Draw(t, "engine"), Size: rapid.Float64Range(0.05, 1).Draw(t, "size"), Length: rapid.IntRange(20, 2500).Draw(t, "length")})
		}
		return s
	})
}

// all are the troubles that there are.
var all = []string{"fails", "slow", "silent", "paused", "breaks", "loses", "unreachable", "dies", "drains", "flush", "links slow", "cut", "list late", "list empty", "list gone", "deaf planner", "router killed"}

// do has a trouble come and go.
func (w *world) do(x trouble) {
	e := w.fleet.Engines[x.Engine%len(w.fleet.Engines)]
	wait := func() { time.Sleep(time.Duration(x.Length) * time.Millisecond) }
	switch x.Kind {
	case "fails":
		e.Fails(x.Size)
		wait()
		e.Fails(0)
	case "slow":
		e.Slow(1 + 20*x.Size)
		wait()
		e.Slow(1)
	case "silent":
		e.Silent(true)
		wait()
		e.Silent(false)
	case "paused":
		e.Paused(true)
		wait()
		e.Paused(false)
	case "breaks":
		e.Breaks(x.Size)
		wait()
		e.Breaks(0)
	case "loses":
		e.Loses(x.Size)
		wait()
		e.Loses(0)
	case "unreachable":
		e.Unreachable(true) //nolint:errcheck // listening again may fail
		wait()
		e.Unreachable(false) //nolint:errcheck // as above
	case "dies":
		e.Die()
		wait()
		e.Return() //nolint:errcheck // as above
	case "drains":
		e.Drain()
		wait()
		e.Die()
		time.Sleep(300 * time.Millisecond)
		e.Return() //nolint:errcheck // as above
	case "flush":
		e.Flush(x.Size)
	case "links slow":
		w.fleet.SlowLinks(1 + 20*x.Size)
		wait()
		w.fleet.SlowLinks(1)
	case "cut":
		w.fleet.Cut("b")
		wait()
		w.fleet.Heal()
	case "list late":
		w.fleet.List.Late(time.Duration(x.Size * 3e9))
		wait()
		w.fleet.List.Late(0)
	case "list empty":
		w.fleet.List.Empty(true)
		wait()
		w.fleet.List.Empty(false)
	case "list gone":
		w.fleet.List.Gone(true)
		wait()
		w.fleet.List.Gone(false)
	case "deaf planner":
		r := w.routers[x.Engine%len(w.routers)].Load()
		r.deaf.Store(true)
		wait()
		r.deaf.Store(false)
	case "router killed":
		w.kill(x.Engine%len(w.routers), time.Duration(x.Length)*time.Millisecond)
	}
}

// play plays a sequence: calls come beside troubles, troubles one after another, each over the end of the one before.
func play(t *testing.T, s sequence, f faults) (report *rules.Report) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, f)
		time.Sleep(500 * time.Millisecond)
		w.calls.Go(func() {
			killing := make(chan struct{}, 1) // one router at a time
			for _, x := range s.Troubles {
				time.Sleep(time.Duration(x.At) * time.Millisecond)
				w.calls.Go(func() {
					if x.Kind == "router killed" {
						killing <- struct{}{}
						defer func() { <-killing }()
					}
					w.do(x)
				})
			}
		})
		for i, c := range s.Calls {
			time.Sleep(time.Duration(s.Gaps[i]) * time.Millisecond)
			w.call(c)
		}
		report = w.end()
	})
	return report
}

// courses are the sequences for each rule, and a fault that breaks it.
var courses = map[rules.Rule]struct {
	course
	fault func() faults
}{
	// The edge keeps its own time for the final answer: with it and the planner's set past the client's, answers come late.
	rules.OneAnswer: {course{20, 60, 60, []int{0, 1, 2, 3, 4}, 3000, true, all, 8}, func() faults {
		return faults{router: func(r *pb.Router) {
			for _, w := range r.GetWorkloads() {
				*w.ClientTimeoutS += 1
			}
		}}
	}},
	// What fails is sent again, whatever it is.
	rules.NoEffectTwice: {course{30, 80, 40, []int{1, 2, 2, 3, 4}, 3000, true, []string{"fails", "silent", "paused", "breaks", "loses", "unreachable", "dies",
		"drains", "slow", "cut", "deaf planner", "router killed"}, 8}, func() faults {
		return faults{router: func(r *pb.Router) {
			for _, w := range r.GetWorkloads() {
				w.Effect = pb.Effect_IDEMPOTENT.Enum()
			}
		}}
	}},
	// The news that an engine drains or is gone is lost.
	rules.DrainsKept: {course{30, 80, 40, []int{0, 1, 2}, 2000, true, []string{"drains", "drains", "dies", "list late", "list gone", "deaf planner", "router killed", "slow"}, 6}, func() faults {
		return faults{news: func(f link.Event) link.Event {
			l := *f.EngineList
			l.Kind, l.Entries = decide.ListDelta, nil
			for _, e := range f.EngineList.Entries {
				if e.Phase == decide.Ready {
					l.Entries = append(l.Entries, e)
				}
			}
			f.EngineList = &l
			return f
		}}
	}},
	// The news that an engine has just started is lost.
	rules.ColdNotPushed: {course{250, 400, 12, []int{0}, 3000, false, []string{"dies", "dies", "drains", "router killed", "list late", "slow", "fails"}, 6}, func() faults {
		return faults{news: func(f link.Event) link.Event {
			l := *f.EngineList
			l.Entries = nil
			for _, e := range f.EngineList.Entries {
				e.StartID, e.Age = 1, 1000
				l.Entries = append(l.Entries, e)
			}
			f.EngineList = &l
			return f
		}}
	}},
	// Orders to let go are lost, and the edge's own limit is far too long.
	rules.NothingPinned: {course{20, 60, 60, []int{0, 1, 2}, 4000, true, all, 8}, func() faults {
		return faults{router: func(r *pb.Router) { *r.LetGoS = 10 }, orders: func(e link.Edge, o link.Command) {
			if o.Kind != link.Release {
				e.Execute(o)
			}
		}}
	}},
}

func property(t *testing.T, rule rules.Rule) {
	c := courses[rule]
	checked := 0
	t.Run("kept", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			report := play(t, c.draw().Draw(rt, "sequence"), faults{})
			checked += report.Checked[rule]
			for _, b := range report.Breaches { // of any rule
				rt.Fatalf("%+v", b)
			}
		})
		assert.Positive(t, checked)
	})
	t.Run("a planted fault is seen", func(t *testing.T) {
		for seed := range 50 {
			for _, b := range play(t, c.draw().Example(seed), c.fault()).Breaches {
				if b.Rule == rule {
					t.Logf("seed %d: %+v", seed, b)
					return
				}
			}
		}
		require.Fail(t, "none of 50 sequences shows it")
	})
}

func TestOneAnswer(t *testing.T)     { t.Parallel(); property(t, rules.OneAnswer) }
func TestNoEffectTwice(t *testing.T) { t.Parallel(); property(t, rules.NoEffectTwice) }
func TestDrainsKept(t *testing.T)    { t.Parallel(); property(t, rules.DrainsKept) }
func TestColdNotPushed(t *testing.T) { t.Parallel(); property(t, rules.ColdNotPushed) }
func TestNothingPinned(t *testing.T) { t.Parallel(); property(t, rules.NothingPinned) }

// TestReleaseOnceHeard: an engine that took what came and answered nothing gets the order to let go within the limit
// once it hears, however long it was deaf.
func TestReleaseOnceHeard(t *testing.T) {
	held := 0
	for length := 50; length <= 1600; length += 50 {
		report := play(t, sequence{Calls: []call{{Tokens: 2500, Stream: true, Leave: 0.25}}, Gaps: []int{0}, // while its state is fetched
			Troubles: []trouble{{Kind: "links slow", Size: 1, Length: 2000}, {Kind: "silent", At: 200, Engine: 0, Length: length}, {Kind: "silent", Engine: 1, Length: length}}},
			faults{})
		require.Empty(t, report.Breaches, "deaf for %d ms", length)
		held += report.Checked[rules.NothingPinned]
	}
	assert.Positive(t, held)
}

// TestLoadFalls: when an overload ends, what comes next is spread over the writers that are there, and is finished.
func TestLoadFalls(t *testing.T) {
	const burst, calm = 400, 150
	var report *rules.Report
	arrived, after := map[string]float64{}, map[int64]pb.ClientEvent_Kind{}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, faults{})
		time.Sleep(500 * time.Millisecond)
		for i := range burst {
			w.call(call{Router: i, Tokens: 50 + 7*i, Stream: true, Session: i})
			time.Sleep(3 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		w.fleet.Find("mixed-0")[0].Drain() // it is in the routers' zone, and would take nearly all
		time.Sleep(300 * time.Millisecond) // until the list tells
		fell := w.rec.Now()
		for i := range calm {
			w.call(call{Router: i, Tokens: 20 + i, Stream: true, Session: burst + i})
			time.Sleep(30 * time.Millisecond)
		}
		report = w.end()
		for _, e := range w.entries {
			if ev := e.GetEngine(); e.GetAtS() > fell && ev.GetKind() == pb.EngineEvent_ARRIVED && ev.GetRole() == pb.Role_WRITER {
				arrived[ev.GetEngine()]++
			}
			if c := e.GetClient(); c.GetCompletion() > burst {
				after[c.GetCompletion()] = c.GetKind()
			}
		}
	})
	require.Empty(t, report.Breaches)
	assert.Positive(t, report.Works[0].RateLimited, "it was an overload")
	finished, writes := 0, 0.0
	for _, kind := range after {
		if kind == pb.ClientEvent_FINISHED {
			finished++
		}
	}
	writers := []string{"writer-0", "writer-1", "writer-2"}
	for _, e := range writers {
		writes += arrived[e]
	}
	assert.Greater(t, finished, calm*9/10)
	assert.Greater(t, writes, calm*0.9, "too few to tell shares")
	for _, e := range writers {
		share := arrived[e] * 3 / writes
		assert.True(t, share > 0.2 && share < 2, "%s got %.2f of an even share", e, share)
	}
}
