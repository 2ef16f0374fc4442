package duty

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	sizeNodes   = flag.Int("duty.nodes", 40, "instances in TestAtSize")
	sizeEngines = flag.Int("duty.engines", 20, "engines in TestAtSize")
	sizeSeconds = flag.Float64("duty.seconds", 300, "virtual seconds in TestAtSize")
)

func probes(n, candidates int) (all []Duty) {
	for i := range n {
		all = append(all, Duty{Key: Key{"probe", fmt.Sprintf("engine-%d", i)}, Zone: string(rune('a' + i%2)), Interval: 1, Candidates: candidates})
	}
	return all
}

func usual() Settings {
	return Settings{SettleTime: 1, LeaseTime: 5, HandoverDelay: 0.2, MaxJoins: 100}
}

// TestAnyCourse plays joins, deaths, pauses, one-way cuts and message faults and holds each step to the promises.
func TestAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "nodes")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, probes(3, rapid.IntRange(1, 3).Draw(t, "candidates")), usual())
		w.loss, w.dup = rapid.Float64Range(0, 0.3).Draw(t, "loss"), rapid.Float64Range(0, 0.3).Draw(t, "doubled")
		for _, node := range w.nodes[:rapid.IntRange(1, n).Draw(t, "at first")] {
			node.start()
		}
		node := func() *node { return w.nodes[rapid.IntRange(0, n-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) {
				if one := node(); !one.up {
					one.start()
				}
			},
			"kill": func(*rapid.T) {
				if one := node(); one.up {
					one.kill()
				}
			},
			"pause": func(t *rapid.T) { node().pause(rapid.Float64Range(0.3, 8).Draw(t, "seconds")) },
			"cut":   func(t *rapid.T) { w.setCut(node().id, node().id, rapid.Bool().Draw(t, "cut")) },
			"time": func(t *rapid.T) {
				for end := w.now + rapid.Float64Range(0.1, 6).Draw(t, "seconds"); w.now < end; {
					require.NoError(t, w.run(math.Min(end, w.now+0.1)))
					require.NoError(t, w.overdue())
				}
			},
		})
	})
}

// course is a fixed run with a death, a pause and a cut.
func course(seed uint64, plant string, candidates int) error {
	w := newWorld(seed, 5, probes(4, candidates), usual())
	w.plant, w.k = plant, 2
	for _, n := range w.nodes {
		n.start()
	}
	for step := range 400 {
		switch step {
		case 100:
			w.nodes[0].kill()
		case 200:
			w.nodes[1].pause(3)
		case 270:
			w.nodes[0].start()
		case 350: // everybody alone
			for a := range w.nodes {
				for b := range w.nodes {
					w.setCut(a, b, true)
				}
			}
		}
		if err := w.run(w.now + 0.1); err != nil {
			return err
		}
		if candidates == 1 && step > 100 && step < 190 { // the checker holds it to two
			if gaps := w.gaps(0); gaps[len(gaps)-1] > 1.5 {
				return fmt.Errorf("a gap of %.2f s", gaps[len(gaps)-1])
			}
		}
		if err := w.overdue(); err != nil {
			return err
		}
	}
	return nil
}

// TestGuards: each promise fails once its guard is taken out.
func TestGuards(t *testing.T) {
	for name, c := range map[string]struct {
		plant      string
		candidates int
		says       string
	}{
		"none":                    {"", 2, ""},
		"the own budget":          {"own budget", 2, "times in an interval"},
		"listening after a pause": {"stands still", 2, "at once after standing still"},
		"standing by":             {"", 1, "a gap of"},
		"few candidates":          {"a third candidate", 3, "3 times in an interval, 2 is the most"},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			for seed := uint64(1); seed <= 20 && err == nil; seed++ {
				err = course(seed, c.plant, c.candidates)
			}
			if c.says == "" {
				assert.NoError(t, err)
			} else {
				assert.ErrorContains(t, err, c.says)
			}
		})
	}
}

// TestRate: the sum of all that a subject meets stays under its greatest rate in a split of any length.
func TestRate(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 6, probes(6, 2), Settings{SettleTime: 1, LeaseTime: 60, HandoverDelay: 0.2, MaxJoins: 100})
		for _, n := range w.nodes {
			n.start()
		}
		require.NoError(t, w.run(10))
		for a := range 3 {
			for b := 3; b < 6; b++ {
				w.setCut(a, b, true)
				w.setCut(b, a, true)
			}
		}
		from := w.now
		require.NoError(t, w.run(from+50))
		for _, d := range w.duties {
			acts := w.acts[d.Subject]
			for i := range acts {
				n := 0
				for _, o := range acts[i:] {
					if o.at-acts[i].at < d.Interval {
						n++
					}
				}
				require.LessOrEqual(t, n, 2, "%s at %.2f s", d.Subject, acts[i].at)
			}
		}
	}
}

// TestJoinAndHalfDie: one joins many others and moves few duties; half die at once, and all that can still be
// done is done, the rest after a lease.
func TestJoinAndHalfDie(t *testing.T) {
	const nodes, subjects = 40, 60
	w := newWorld(9, nodes, probes(subjects, 2), Settings{SettleTime: 2, LeaseTime: 8, HandoverDelay: 0.2, MaxJoins: 100})
	for _, n := range w.nodes[1:] {
		n.start()
	}
	require.NoError(t, w.run(20))
	before := w.nodes[5].t.Status(w.nodes[5].clock())
	w.nodes[0].start()
	require.NoError(t, w.run(30))
	moved := 0
	for i, d := range w.nodes[5].t.Status(w.nodes[5].clock()) {
		if fmt.Sprint(d.Candidates) != fmt.Sprint(before[i].Candidates) {
			moved++
		}
	}
	assert.Positive(t, moved)
	assert.Less(t, moved, subjects*4*2/nodes, "about two in forty, by zone one in twenty")
	for i := 0; i < nodes; i += 4 { // half of each zone
		w.nodes[i].kill()
		w.nodes[i+1].kill()
	}
	require.NoError(t, w.run(31.5))
	soon := 0
	for _, d := range w.duties {
		if acts := w.acts[d.Subject]; acts[len(acts)-1].at > 30 {
			soon++
		}
	}
	assert.Greater(t, soon, subjects*6/10, "one of two candidates lives")
	require.NoError(t, w.run(30+8+2+2+1.5))
	for _, d := range w.duties {
		acts := w.acts[d.Subject]
		assert.Greater(t, acts[len(acts)-1].at, w.now-1.5, d.Subject)
	}
}

// TestHalfRound: an instance dies halfway through its round. What it had done waits for its interval, the rest
// is done on time.
func TestHalfRound(t *testing.T) {
	s := usual()
	s.Self = Member{Name: "b", Weight: 1}
	table, err := New(0, s)
	require.NoError(t, err)
	table.SetDuties(0, probes(40, 2))
	a := Member{Name: "a", Incarnation: 1, Weight: 1}
	table.SetMembers(0, []Member{a})
	first := 0
	for now := 0.0; now < 10.0; now += 0.1 {
		for _, d := range table.duties { // a does its own, all at 10 s last, but for the second half
			if len(d.candidates) > 0 && d.candidates[0].Name == "a" && (now < 9 || first%2 == 0) && math.Mod(now+0.001, 1) < 0.05 {
				table.ReceiveResult(now, Result{Key: d.Key, Epoch: Epoch{1, "a"}, Origin: a})
			}
			first++
		}
		acts, _ := table.Tick(now)
		for _, act := range acts {
			_, ok := table.Finish(now, act, nil)
			assert.True(t, ok)
		}
	}
	table.SetMembers(10, nil) // a is dead
	began := map[Key]float64{}
	for now := 10.0; now < 13; now += 0.05 {
		acts, _ := table.Tick(now)
		for _, act := range acts {
			if _, seen := began[act.Key]; !seen {
				began[act.Key] = now
			}
			table.Finish(now, act, nil)
		}
	}
	require.Len(t, began, 40)
	for _, st := range table.duties {
		assert.LessOrEqual(t, began[st.Key], 11.3)
	}
}

func TestHeard(t *testing.T) {
	s := usual()
	s.Self = Member{Name: "b", Weight: 1}
	table, err := New(0, s)
	require.NoError(t, err)
	table.SetDuties(0, probes(1, 2))
	key, a, c := probes(1, 2)[0].Key, Member{Name: "a"}, Member{Name: "c"}
	assert.Equal(t, Fresh, table.ReceiveResult(1, Result{Key: key, Epoch: Epoch{1, "a"}, Origin: a}))
	assert.Equal(t, Late, table.ReceiveResult(1, Result{Key: key, Epoch: Epoch{1, "a"}, Origin: a}), "heard twice")
	assert.Equal(t, Fresh, table.ReceiveResult(2, Result{Key: key, Epoch: Epoch{2, "c"}, Origin: c}))
	assert.Equal(t, Late, table.ReceiveResult(2.5, Result{Key: key, Epoch: Epoch{1, "a"}, Origin: a, Age: 0.1}), "an owner whose epoch is over")
	assert.Equal(t, 2.4, table.duties[0].doneAt, "still the subject met it")
	assert.Equal(t, Late, table.ReceiveResult(2.6, Result{Key: key, Epoch: Epoch{2, "c"}, Origin: c, Age: 1}), "older than what is known")
	for name, r := range map[string]Result{
		"no duty":  {Key: Key{"probe", "nobody"}, Origin: a},
		"too old":  {Key: key, Epoch: Epoch{9, "a"}, Origin: a, Age: 9},
		"age < 0":  {Key: key, Epoch: Epoch{9, "a"}, Origin: a, Age: -1},
		"age NaN":  {Key: key, Epoch: Epoch{9, "a"}, Origin: a, Age: math.NaN()},
		"from one": {Key: key, Epoch: Epoch{9, "b"}, Origin: s.Self},
	} {
		assert.Equal(t, Unknown, table.ReceiveResult(3, r), name)
	}
}

// TestRoster: who flaps moves nobody; who joins comes on after a while, a few at a time; who leaves goes at once.
func TestRoster(t *testing.T) {
	s := Settings{Self: Member{Name: "self", Weight: 1}, SettleTime: 1, LeaseTime: 5, HandoverDelay: 0.2, MaxJoins: 2}
	table, err := New(0, s)
	require.NoError(t, err)
	table.SetDuties(0, probes(5, 2))
	members := func(n int) (all []Member) {
		for i := range n {
			all = append(all, Member{Name: fmt.Sprint("m", i), Weight: 1})
		}
		return all
	}
	at := func(now float64, in []Member) []string {
		table.SetMembers(now, in)
		table.Tick(now)
		return table.Roster()
	}
	assert.Empty(t, at(0, members(1)))
	assert.Equal(t, []string{"m0", "self"}, at(1, members(1)))
	at(2, members(6))
	assert.Equal(t, []string{"m0", "m1", "m2", "self"}, at(3.1, members(6)), "two at once")
	assert.Len(t, at(4.2, members(6)), 6, "two more")
	before := table.Status(4.2)
	for now := 4.3; now < 9; now += 0.5 {
		at(now, members(int(now*2)%2+5)) // m5 comes and goes
	}
	for i, d := range table.Status(9) {
		assert.Equal(t, before[i].Candidates, d.Candidates, "a flapping member moves nothing")
	}
	assert.Contains(t, at(10, members(2)), "m2", "out of sight, and still on the roster")
	assert.NotContains(t, at(15.1, members(2)), "m2", "for a lease")
	table.MemberLeft(15.2, "m1")
	assert.NotContains(t, table.Roster(), "m1")
	for _, bad := range []Settings{{}, {Self: Member{Name: "a"}}, {Self: Member{Name: "a", Weight: 1}, HandoverDelay: 1, LeaseTime: 1, SettleTime: 2, MaxJoins: 1},
		{Self: Member{Name: "a", Weight: 1}, LeaseTime: 1, MaxJoins: 1}, {Self: Member{Name: "a", Weight: 1}, LeaseTime: 1, HandoverDelay: 1}} {
		_, err := New(0, bad)
		assert.Error(t, err)
	}
}

// TestZoneFirst: a subject's candidates are of its zone as long as there are any, and weights are kept.
func TestZoneFirst(t *testing.T) {
	s := usual()
	s.Self = Member{Name: "self", Zone: "a", Weight: 1}
	table, err := New(0, s)
	require.NoError(t, err)
	table.SetDuties(0, probes(4000, 2))
	table.SetMembers(0, []Member{{Name: "a2", Zone: "a", Weight: 3}, {Name: "b1", Zone: "b", Weight: 1}})
	table.Tick(1)
	first := map[string]int{}
	for _, d := range table.duties {
		require.Len(t, d.candidates, 2)
		require.Equal(t, d.Zone, d.candidates[0].Zone)
		first[d.candidates[0].Name]++
	}
	assert.Equal(t, 2000, first["b1"])
	assert.InDelta(t, 1500, first["a2"], 100)
}

// TestAtSize prints what it costs at size, against each probing for itself. For the figures of docs/results.md:
// go test ./internal/duty -run TestAtSize -v -duty.nodes 250 -duty.engines 100 -duty.seconds 3600
func TestAtSize(t *testing.T) {
	w := newWorld(3, *sizeNodes, probes(*sizeEngines, 2), Settings{SettleTime: 2, LeaseTime: 30, HandoverDelay: 0.2, MaxJoins: 100})
	w.loss = 0.01
	for _, n := range w.nodes {
		n.start()
	}
	rng, deaths := rand.New(rand.NewPCG(5, 5)), 0
	for minute := 1.0; minute*60 < *sizeSeconds; minute++ {
		require.NoError(t, w.run(minute*60))
		one := w.nodes[rng.IntN(len(w.nodes))]
		if one.up {
			one.kill()
			deaths++
			w.after(40, func() { one.start() })
		}
	}
	require.NoError(t, w.run(*sizeSeconds))
	gaps := w.gaps(10)
	total := 0
	for _, acts := range w.acts {
		total += len(acts)
	}
	at := func(q float64) float64 { return gaps[int(q*float64(len(gaps)-1))] }
	t.Logf("%d instances, %d engines, %.0f s, %d deaths: %.3f probes an engine a second (each for itself: %d); gaps p50 %.3f, p99 %.3f, worst %.3f s; %.1f messages an instance a second; %.1f take-overs a death",
		*sizeNodes, *sizeEngines, *sizeSeconds, deaths, float64(total)/float64(*sizeEngines)/(*sizeSeconds), *sizeNodes, at(0.5), at(0.99), at(1),
		float64(w.sent)/float64(*sizeNodes)/(*sizeSeconds), float64(w.takeovers)/math.Max(1, float64(deaths)))
	assert.Less(t, float64(total)/float64(*sizeEngines)/(*sizeSeconds), 1.1, "hardly more than one an interval")
	assert.Less(t, at(0.99), 1.1)
	assert.Less(t, at(1), 1+2*maxClockDrift+0.2*2+0.2)
}
