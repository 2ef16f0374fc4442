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

func probeDuties(n, candidates int) (duties []Duty) {
	for i := range n {
		duties = append(duties, Duty{Key: Key{"probe", fmt.Sprintf("engine-%d", i)}, Zone: string(rune('a' + i%2)), Interval: 1, Candidates: candidates})
	}
	return duties
}

func defaultSettings() Settings {
	return Settings{SettleTime: 1, LeaseTime: 5, HandoverDelay: 0.2, MaxJoins: 100}
}

// TestRandomFaults runs random joins, deaths, pauses, one-way partitions and message faults, and checks the guarantees
// of the package after each step.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "nodes")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, probeDuties(3, rapid.IntRange(1, 3).Draw(t, "candidates")), defaultSettings())
		w.loss, w.duplication = rapid.Float64Range(0, 0.3).Draw(t, "loss"), rapid.Float64Range(0, 0.3).Draw(t, "doubled")
		for _, node := range w.nodes[:rapid.IntRange(1, n).Draw(t, "at first")] {
			node.start()
		}
		anyNode := func() *node { return w.nodes[rapid.IntRange(0, n-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) {
				if node := anyNode(); !node.up {
					node.start()
				}
			},
			"kill": func(*rapid.T) {
				if node := anyNode(); node.up {
					node.kill()
				}
			},
			"pause": func(t *rapid.T) { anyNode().pause(rapid.Float64Range(0.3, 8).Draw(t, "seconds")) },
			"cut":   func(t *rapid.T) { w.setCut(anyNode().id, anyNode().id, rapid.Bool().Draw(t, "cut")) },
			"time": func(t *rapid.T) {
				for end := w.now + rapid.Float64Range(0.1, 6).Draw(t, "seconds"); w.now < end; {
					require.NoError(t, w.run(math.Min(end, w.now+0.1)))
					require.NoError(t, w.checkOverdue())
				}
			},
		})
	})
}

// runScenario runs a fixed scenario with a death, a pause, a restart and a partition.
func runScenario(seed uint64, disabledGuard string, candidates int) error {
	w := newWorld(seed, 5, probeDuties(4, candidates), defaultSettings())
	w.disabledGuard, w.maxCandidates = disabledGuard, 2
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
		case 350: // every instance is isolated
			for a := range w.nodes {
				for b := range w.nodes {
					w.setCut(a, b, true)
				}
			}
		}
		if err := w.run(w.now + 0.1); err != nil {
			return err
		}
		if candidates == 1 && step > 100 && step < 190 { // check allows two candidates
			if gaps := w.gaps(0); gaps[len(gaps)-1] > 1.5 {
				return fmt.Errorf("gap of %.2f s", gaps[len(gaps)-1])
			}
		}
		if err := w.checkOverdue(); err != nil {
			return err
		}
	}
	return nil
}

// TestGuards checks that each guarantee is violated once the guard behind it is disabled.
func TestGuards(t *testing.T) {
	for name, tc := range map[string]struct {
		disabledGuard string
		candidates    int
		wantErr       string
	}{
		"none":                 {"", 2, ""},
		"interval of own runs": {"own interval", 2, "times in an interval"},
		"delay after a pause":  {"pause detection", 2, "right after a pause"},
		"standby":              {"", 1, "gap of"},
		"candidate limit":      {"candidate limit", 3, "3 times in an interval, the limit is 2"},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			for seed := uint64(1); seed <= 20 && err == nil; seed++ {
				err = runScenario(seed, tc.disabledGuard, tc.candidates)
			}
			if tc.wantErr == "" {
				assert.NoError(t, err)
			} else {
				assert.ErrorContains(t, err, tc.wantErr)
			}
		})
	}
}

// TestRateDuringPartition checks that the rate at which all instances together access a subject stays within its limit
// during a partition, however long it lasts.
func TestRateDuringPartition(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 6, probeDuties(6, 2), Settings{SettleTime: 1, LeaseTime: 60, HandoverDelay: 0.2, MaxJoins: 100})
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
			runs := w.runs[d.Subject]
			for i := range runs {
				n := 0
				for _, o := range runs[i:] {
					if o.at-runs[i].at < d.Interval {
						n++
					}
				}
				require.LessOrEqual(t, n, 2, "%s at %.2f s", d.Subject, runs[i].at)
			}
		}
	}
}

// TestJoinAndDeathOfHalf checks that an instance that joins many others moves few duties, and that after the death of
// half of them at once every duty with a live candidate is carried out, and the others after LeaseTime.
func TestJoinAndDeathOfHalf(t *testing.T) {
	const nodes, subjects = 40, 60
	w := newWorld(9, nodes, probeDuties(subjects, 2), Settings{SettleTime: 2, LeaseTime: 8, HandoverDelay: 0.2, MaxJoins: 100})
	for _, n := range w.nodes[1:] {
		n.start()
	}
	require.NoError(t, w.run(20))
	before := w.nodes[5].scheduler.Status(w.nodes[5].clock())
	w.nodes[0].start()
	require.NoError(t, w.run(30))
	moved := 0
	for i, d := range w.nodes[5].scheduler.Status(w.nodes[5].clock()) {
		if fmt.Sprint(d.Candidates) != fmt.Sprint(before[i].Candidates) {
			moved++
		}
	}
	assert.Positive(t, moved)
	assert.Less(t, moved, subjects*4*2/nodes, "about two of forty candidates change, in the zone one of twenty")
	for i := 0; i < nodes; i += 4 { // half of each zone
		w.nodes[i].kill()
		w.nodes[i+1].kill()
	}
	require.NoError(t, w.run(31.5))
	inTime := 0
	for _, d := range w.duties {
		if runs := w.runs[d.Subject]; runs[len(runs)-1].at > 30 {
			inTime++
		}
	}
	assert.Greater(t, inTime, subjects*6/10, "for most duties one of two candidates is alive")
	require.NoError(t, w.run(30+8+2+2+1.5))
	for _, d := range w.duties {
		runs := w.runs[d.Subject]
		assert.Greater(t, runs[len(runs)-1].at, w.now-1.5, d.Subject)
	}
}

// TestDeathDuringRound checks the takeover when an instance dies halfway through its duties: those that it had carried
// out are next run after their interval, the others on time.
func TestDeathDuringRound(t *testing.T) {
	s := defaultSettings()
	s.Self = Member{Name: "b", Weight: 1}
	scheduler, err := New(0, s)
	require.NoError(t, err)
	scheduler.SetDuties(0, probeDuties(40, 2))
	a := Member{Name: "a", Incarnation: 1, Weight: 1}
	scheduler.SetMembers(0, []Member{a})
	visited := 0
	for now := 0.0; now < 10.0; now += 0.1 {
		for _, d := range scheduler.duties { // a runs the duties that it ranks first for, and in the last second only half of them
			if len(d.candidates) > 0 && d.candidates[0].Name == "a" && (now < 9 || visited%2 == 0) && math.Mod(now+0.001, 1) < 0.05 {
				scheduler.ReceiveResult(now, Result{Key: d.Key, Epoch: Epoch{1, "a"}, Origin: a})
			}
			visited++
		}
		tasks, _ := scheduler.Tick(now)
		for _, task := range tasks {
			_, ok := scheduler.Finish(now, task, nil)
			assert.True(t, ok)
		}
	}
	scheduler.SetMembers(10, nil) // a is dead
	startedAt := map[Key]float64{}
	for now := 10.0; now < 13; now += 0.05 {
		tasks, _ := scheduler.Tick(now)
		for _, task := range tasks {
			if _, started := startedAt[task.Key]; !started {
				startedAt[task.Key] = now
			}
			scheduler.Finish(now, task, nil)
		}
	}
	require.Len(t, startedAt, 40)
	for _, st := range scheduler.duties {
		assert.LessOrEqual(t, startedAt[st.Key], 11.3)
	}
}

func TestReceiveResult(t *testing.T) {
	s := defaultSettings()
	s.Self = Member{Name: "b", Weight: 1}
	scheduler, err := New(0, s)
	require.NoError(t, err)
	scheduler.SetDuties(0, probeDuties(1, 2))
	key, a, c := probeDuties(1, 2)[0].Key, Member{Name: "a"}, Member{Name: "c"}
	assert.Equal(t, Fresh, scheduler.ReceiveResult(1, Result{Key: key, Epoch: Epoch{1, "a"}, Origin: a}))
	assert.Equal(t, Late, scheduler.ReceiveResult(1, Result{Key: key, Epoch: Epoch{1, "a"}, Origin: a}), "received twice")
	assert.Equal(t, Fresh, scheduler.ReceiveResult(2, Result{Key: key, Epoch: Epoch{2, "c"}, Origin: c}))
	assert.Equal(t, Late, scheduler.ReceiveResult(2.5, Result{Key: key, Epoch: Epoch{1, "a"}, Origin: a, Age: 0.1}), "the epoch of its owner is over")
	assert.Equal(t, 2.4, scheduler.duties[0].doneAt, "the subject was accessed nevertheless")
	assert.Equal(t, Late, scheduler.ReceiveResult(2.6, Result{Key: key, Epoch: Epoch{2, "c"}, Origin: c, Age: 1}), "older than the last result")
	for name, r := range map[string]Result{
		"unknown duty": {Key: Key{"probe", "nobody"}, Origin: a},
		"too old":      {Key: key, Epoch: Epoch{9, "a"}, Origin: a, Age: 9},
		"age < 0":      {Key: key, Epoch: Epoch{9, "a"}, Origin: a, Age: -1},
		"age NaN":      {Key: key, Epoch: Epoch{9, "a"}, Origin: a, Age: math.NaN()},
		"own result":   {Key: key, Epoch: Epoch{9, "b"}, Origin: s.Self},
	} {
		assert.Equal(t, Unknown, scheduler.ReceiveResult(3, r), name)
	}
}

// TestRoster checks that members that flap move no duty, that new members join the roster after SettleTime, a few at a
// time, and that a member that leaves is removed at once.
func TestRoster(t *testing.T) {
	s := Settings{Self: Member{Name: "self", Weight: 1}, SettleTime: 1, LeaseTime: 5, HandoverDelay: 0.2, MaxJoins: 2}
	scheduler, err := New(0, s)
	require.NoError(t, err)
	scheduler.SetDuties(0, probeDuties(5, 2))
	members := func(n int) (all []Member) {
		for i := range n {
			all = append(all, Member{Name: fmt.Sprint("m", i), Weight: 1})
		}
		return all
	}
	rosterAt := func(now float64, alive []Member) []string {
		scheduler.SetMembers(now, alive)
		scheduler.Tick(now)
		return scheduler.Roster()
	}
	assert.Empty(t, rosterAt(0, members(1)))
	assert.Equal(t, []string{"m0", "self"}, rosterAt(1, members(1)))
	rosterAt(2, members(6))
	assert.Equal(t, []string{"m0", "m1", "m2", "self"}, rosterAt(3.1, members(6)), "two join at once")
	assert.Len(t, rosterAt(4.2, members(6)), 6, "two more join")
	before := scheduler.Status(4.2)
	for now := 4.3; now < 9; now += 0.5 {
		rosterAt(now, members(int(now*2)%2+5)) // m5 flaps
	}
	for i, d := range scheduler.Status(9) {
		assert.Equal(t, before[i].Candidates, d.Candidates, "a flapping member moves no duty")
	}
	assert.Contains(t, rosterAt(10, members(2)), "m2", "not alive, and still on the roster")
	assert.NotContains(t, rosterAt(15.1, members(2)), "m2", "removed after LeaseTime")
	scheduler.MemberLeft(15.2, "m1")
	assert.NotContains(t, scheduler.Roster(), "m1")
	for _, bad := range []Settings{{}, {Self: Member{Name: "a"}}, {Self: Member{Name: "a", Weight: 1}, HandoverDelay: 1, LeaseTime: 1, SettleTime: 2, MaxJoins: 1},
		{Self: Member{Name: "a", Weight: 1}, LeaseTime: 1, MaxJoins: 1}, {Self: Member{Name: "a", Weight: 1}, LeaseTime: 1, HandoverDelay: 1}} {
		_, err := New(0, bad)
		assert.Error(t, err)
	}
}

// TestSubjectZoneRanksFirst checks that the first candidate is in the zone of the subject if the zone has a member, and
// that duties are divided by weight.
func TestSubjectZoneRanksFirst(t *testing.T) {
	s := defaultSettings()
	s.Self = Member{Name: "self", Zone: "a", Weight: 1}
	scheduler, err := New(0, s)
	require.NoError(t, err)
	scheduler.SetDuties(0, probeDuties(4000, 2))
	scheduler.SetMembers(0, []Member{{Name: "a2", Zone: "a", Weight: 3}, {Name: "b1", Zone: "b", Weight: 1}})
	scheduler.Tick(1)
	firstCandidates := map[string]int{}
	for _, d := range scheduler.duties {
		require.Len(t, d.candidates, 2)
		require.Equal(t, d.Zone, d.candidates[0].Zone)
		firstCandidates[d.candidates[0].Name]++
	}
	assert.Equal(t, 2000, firstCandidates["b1"])
	assert.InDelta(t, 1500, firstCandidates["a2"], 100)
}

// TestAtSize logs the cost at scale, compared with instances that probe independently. The figures in docs/results.md
// come from:
//
//	go test ./internal/duty -run TestAtSize -v -duty.nodes 250 -duty.engines 100 -duty.seconds 3600
func TestAtSize(t *testing.T) {
	w := newWorld(3, *sizeNodes, probeDuties(*sizeEngines, 2), Settings{SettleTime: 2, LeaseTime: 30, HandoverDelay: 0.2, MaxJoins: 100})
	w.loss = 0.01
	for _, n := range w.nodes {
		n.start()
	}
	rng, deaths := rand.New(rand.NewPCG(5, 5)), 0
	for minute := 1.0; minute*60 < *sizeSeconds; minute++ {
		require.NoError(t, w.run(minute*60))
		node := w.nodes[rng.IntN(len(w.nodes))]
		if node.up {
			node.kill()
			deaths++
			w.after(40, func() { node.start() })
		}
	}
	require.NoError(t, w.run(*sizeSeconds))
	gaps := w.gaps(10)
	total := 0
	for _, runs := range w.runs {
		total += len(runs)
	}
	gapQuantile := func(q float64) float64 { return gaps[int(q*float64(len(gaps)-1))] }
	t.Logf("%d instances, %d engines, %.0f s, %d deaths: %.3f probes per engine and second (independent probing: %d); gaps p50 %.3f, p99 %.3f, max %.3f s; %.1f messages per instance and second; %.1f takeovers per death",
		*sizeNodes, *sizeEngines, *sizeSeconds, deaths, float64(total)/float64(*sizeEngines)/(*sizeSeconds), *sizeNodes, gapQuantile(0.5), gapQuantile(0.99), gapQuantile(1),
		float64(w.messages)/float64(*sizeNodes)/(*sizeSeconds), float64(w.takeovers)/math.Max(1, float64(deaths)))
	assert.Less(t, float64(total)/float64(*sizeEngines)/(*sizeSeconds), 1.1, "hardly more than one per interval")
	assert.Less(t, gapQuantile(0.99), 1.1)
	assert.Less(t, gapQuantile(1), 1+2*maxClockDrift+0.2*2+0.2)
}
