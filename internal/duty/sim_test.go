package duty

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// world is instances that talk over a bad network, in virtual time. Messages are late, lost and doubled; deaths
// are seen late; instances pause and clocks run fast.
type world struct {
	rng       *rand.Rand
	now       float64
	duties    []Duty
	settings  Settings
	nodes     []*node
	events    events
	seq       int
	loss, dup float64
	delay     [2]float64
	detect    [2]float64 // until a death, a pause or a cut is seen
	takes     float64    // seconds that a duty takes
	acts      map[string][]done
	sent      int
	takeovers int
	plant     string // a guard that is taken out, to see the check fail
	fault     error
	cut       map[[2]int]bool // one way, from and to
	rosterAt  float64         // when rosters last differed, or a life changed
	k         int
}

type done struct {
	at    float64
	node  int
	union int // candidates of the subject by any instance's roster, then
}

type node struct {
	w      *world
	id     int
	m      Member
	t      *Scheduler
	up     bool
	paused bool
	wakes  float64 // when it went on after a pause
	since  float64 // up and not paused since
	skew   float64 // its clock's speed
	born   float64
	boxed  []func() // what came while it stood still
	gen    int      // of its life
	sees   map[int]bool
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

func newWorld(seed uint64, n int, duties []Duty, s Settings) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), duties: duties, settings: s, delay: [2]float64{0.001, 0.05}, detect: [2]float64{0.5, 1},
		takes: 0.005, acts: map[string][]done{}, cut: map[[2]int]bool{}, k: duties[0].Candidates}
	for i := range n {
		w.nodes = append(w.nodes, &node{w: w, id: i, skew: 1 + 0.01*w.rng.Float64(), sees: map[int]bool{}})
	}
	return w
}

func (w *world) after(d float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, do})
}

func (w *world) between(r [2]float64) float64 { return r[0] + w.rng.Float64()*(r[1]-r[0]) }

// run plays until a time.
func (w *world) run(until float64) error {
	for len(w.events) > 0 && w.events[0].at <= until && w.fault == nil {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
	return w.fault
}

// clock is a node's own time: it starts with its life and may run fast.
func (n *node) clock() float64 { return (n.w.now - n.born) * n.skew }

func (n *node) start() {
	n.gen++
	n.up, n.paused, n.born, n.since, n.wakes = true, false, n.w.now, n.w.now, math.Inf(-1)
	n.m = Member{Name: fmt.Sprintf("node-%03d", n.id), Incarnation: uint64(n.gen), Zone: string(rune('a' + n.id%2)), Weight: 1}
	s := n.w.settings
	s.Self = n.m
	t, err := New(0, s)
	if err != nil {
		n.w.fault = err
		return
	}
	n.t, n.boxed, n.sees = t, nil, map[int]bool{}
	t.SetDuties(0, n.w.duties)
	for _, o := range n.w.nodes {
		n.w.look(n, o)
		n.w.look(o, n)
	}
	gen := n.gen
	n.w.after(0, func() { n.tick(gen) })
	n.w.rosterAt = n.w.now
}

func (n *node) kill() {
	n.up = false
	n.w.rosterAt = n.w.now
	for _, o := range n.w.nodes {
		n.w.look(o, n)
	}
}

func (n *node) pause(d float64) {
	if !n.up || n.paused {
		return
	}
	n.paused = true
	for _, o := range n.w.nodes {
		n.w.look(o, n)
	}
	gen := n.gen
	n.w.after(d, func() {
		if n.gen != gen || !n.up {
			return
		}
		n.paused, n.since = false, n.w.now
		if d > pauseThresholdHandovers*n.w.settings.HandoverDelay { // a shorter one is a slow tick
			n.wakes = n.w.now
		}
		box := n.boxed
		n.boxed = nil
		n.tick(-gen) // its timer has long been due: it goes off before its messages are read
		for _, m := range box {
			m()
		}
		for _, o := range n.w.nodes {
			n.w.look(o, n)
		}
	})
}

// look has one node see what is true of another, a while later.
func (w *world) look(a, b *node) {
	if a == b {
		return
	}
	w.after(w.between(w.detect), func() {
		if !a.up || a.paused {
			return
		}
		there := b.up && !b.paused && !w.cut[[2]int{a.id, b.id}] && !w.cut[[2]int{b.id, a.id}]
		if a.sees[b.id] != there || there {
			a.sees[b.id] = there
			var all []Member
			for _, o := range w.nodes {
				if a.sees[o.id] {
					all = append(all, o.m)
				}
			}
			a.t.SetMembers(a.clock(), all)
		}
	})
}

// setCut cuts the way from a to b, or mends it.
func (w *world) setCut(a, b int, so bool) {
	w.cut[[2]int{a, b}] = so
	w.look(w.nodes[a], w.nodes[b])
	w.look(w.nodes[b], w.nodes[a])
	w.rosterAt = w.now
}

func (n *node) tick(gen int) {
	again := gen >= 0
	if !again {
		gen = -gen
	}
	if n.gen != gen || !n.up {
		return
	}
	if n.paused {
		n.w.after(0.05, func() { n.tick(gen) })
		return
	}
	if n.w.plant == "stands still" {
		n.t.lastTick = n.clock()
	}
	acts, next := n.t.Tick(n.clock())
	for _, a := range acts {
		n.act(a)
	}
	if again {
		n.w.after(math.Max(0.001, (next-n.clock())/n.skew), func() { n.tick(gen) })
	}
}

// act does a duty: the subject meets it, and the result goes out when it is done.
func (n *node) act(a Task) {
	w := n.w
	if a.TakenOver {
		w.takeovers++
	}
	all := append(w.acts[a.Subject], done{w.now, n.id, w.union(a.Key)})
	w.acts[a.Subject] = all
	w.check(n, a, all)
	if w.plant == "own budget" {
		n.t.byKey[a.Key].startedAt, n.t.byKey[a.Key].doneAt = math.Inf(-1), math.Inf(-1)
	}
	gen := n.gen
	w.after(w.takes, func() {
		if n.gen != gen || !n.up {
			return
		}
		finish := func() {
			if r, ok := n.t.Finish(n.clock(), a, nil); ok {
				w.send(n, r)
			}
		}
		if n.paused {
			n.boxed = append(n.boxed, finish)
			return
		}
		finish()
	})
}

func (w *world) send(from *node, r Result) {
	for _, o := range w.nodes {
		if o == from || !o.up {
			continue
		}
		w.sent++
		for range 1 + int(w.rng.Float64()+w.dup) {
			if w.rng.Float64() < w.loss || w.cut[[2]int{from.id, o.id}] {
				continue
			}
			gen := o.gen
			w.after(w.between(w.delay), func() {
				hear := func() {
					if o.gen == gen && o.up {
						o.t.ReceiveResult(o.clock(), r)
					}
				}
				if o.paused {
					o.boxed = append(o.boxed, hear)
					return
				}
				hear()
			})
		}
	}
}

// check holds an act to what is always promised.
func (w *world) check(n *node, a Task, all []done) {
	mine, window, most := 0, 0, w.k
	for _, d := range all {
		if w.now-d.at < a.Interval-1e-9 {
			window++
			most = max(most, d.union)
			if d.node == n.id {
				mine++
			}
		}
	}
	if w.plant == "a third candidate" {
		most = w.k
	}
	switch {
	case mine > 1:
		w.fault = fmt.Errorf("%.3f s: node %d did %s %d times in an interval", w.now, n.id, a.Subject, mine)
	case w.now-n.wakes < w.settings.HandoverDelay/n.skew-1e-9:
		w.fault = fmt.Errorf("%.3f s: node %d did %s at once after standing still", w.now, n.id, a.Subject)
	case window > most:
		w.fault = fmt.Errorf("%.3f s: %s was done %d times in an interval, %d is the most", w.now, a.Subject, window, most)
	}
}

// union counts those who are candidates for a duty in any instance's eyes.
func (w *world) union(key Key) int {
	names := map[string]bool{}
	for _, n := range w.nodes {
		if n.up {
			for _, c := range n.t.byKey[key].candidates {
				names[c.Name] = true
			}
		}
	}
	return len(names)
}

// overdue checks, while the premise holds, that each subject was met in time: one of its candidates, the same for
// all, has been up and unpaused for long enough.
func (w *world) overdue() error {
	s := w.settings
	for i, d := range w.duties {
		limit := d.Interval*(1+2*maxClockDrift) + float64(w.k)*s.HandoverDelay + 0.01
		var names []string
		agreed := true
		for _, n := range w.nodes {
			if !n.up || n.paused {
				continue
			}
			var mine []string
			for _, c := range n.t.duties[i].candidates {
				mine = append(mine, c.Name)
			}
			if names == nil {
				names = mine
			}
			agreed = agreed && fmt.Sprint(names) == fmt.Sprint(mine)
		}
		if !agreed {
			continue
		}
		for _, n := range w.nodes {
			held := n.up && !n.paused && w.now-n.since > limit+2*s.SettleTime+2*s.HandoverDelay && w.now-w.rosterAt > limit+2*s.SettleTime+2*s.HandoverDelay+w.detect[1]
			for _, name := range names {
				last := math.Inf(-1)
				if acts := w.acts[d.Subject]; len(acts) > 0 {
					last = acts[len(acts)-1].at
				}
				if held && n.m.Name == name && w.now-last > limit {
					return fmt.Errorf("%.3f s: %s was done last %.3f s ago, %.3f s is the most, and its candidate %s is well", w.now, d.Subject, w.now-last, limit, name)
				}
			}
		}
	}
	return nil
}

// gaps are the stretches between two acts at a subject, in seconds, sorted.
func (w *world) gaps(from float64) (all []float64) {
	for _, d := range w.duties {
		acts := w.acts[d.Subject]
		for i := 1; i < len(acts); i++ {
			if acts[i-1].at >= from {
				all = append(all, acts[i].at-acts[i-1].at)
			}
		}
	}
	sort.Float64s(all)
	return all
}
