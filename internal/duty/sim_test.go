package duty

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// world simulates instances on an unreliable network in virtual time. Messages are delayed, lost and duplicated, deaths
// are detected late, instances pause, and clocks run fast.
type world struct {
	rng               *rand.Rand
	now               float64
	duties            []Duty
	settings          Settings
	nodes             []*node
	events            events
	seq               int
	loss, duplication float64
	messageDelay      [2]float64
	detectionDelay    [2]float64 // bounds of the delay until a death, a pause or a partition is detected
	taskSeconds       float64    // duration of a task
	runs              map[string][]run
	messages          int
	takeovers         int
	disabledGuard     string // guard that is disabled, to make a check fail
	err               error
	cutLinks          map[[2]int]bool // links that lose all messages, by sender and receiver
	lastChangeAt      float64         // last start or death of an instance, or change of a link
	maxCandidates     int
}

type run struct {
	at                 float64
	node               int
	possibleCandidates int // members that were candidates for the duty by some instance's roster
}

type node struct {
	w            *world
	id           int
	member       Member
	scheduler    *Scheduler
	up           bool
	paused       bool
	resumedAt    float64 // end of the last pause
	runningSince float64 // start of the current time up and not paused
	clockRate    float64 // speed of its clock
	startedAt    float64
	deferred     []func() // messages and ends of tasks that arrived during a pause
	generation   int      // number of its starts
	alive        map[int]bool
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

func newWorld(seed uint64, nodes int, duties []Duty, s Settings) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), duties: duties, settings: s, messageDelay: [2]float64{0.001, 0.05}, detectionDelay: [2]float64{0.5, 1},
		taskSeconds: 0.005, runs: map[string][]run{}, cutLinks: map[[2]int]bool{}, maxCandidates: duties[0].Candidates}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{w: w, id: i, clockRate: 1 + 0.01*w.rng.Float64(), alive: map[int]bool{}})
	}
	return w
}

func (w *world) after(delay float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + delay, w.seq, do})
}

func (w *world) uniform(bounds [2]float64) float64 {
	return bounds[0] + w.rng.Float64()*(bounds[1]-bounds[0])
}

// run processes events until the given time.
func (w *world) run(until float64) error {
	for len(w.events) > 0 && w.events[0].at <= until && w.err == nil {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
	return w.err
}

// clock returns the time on the node's own clock, which begins at its start and may run fast.
func (n *node) clock() float64 { return (n.w.now - n.startedAt) * n.clockRate }

func (n *node) start() {
	n.generation++
	n.up, n.paused, n.startedAt, n.runningSince, n.resumedAt = true, false, n.w.now, n.w.now, math.Inf(-1)
	n.member = Member{Name: fmt.Sprintf("node-%03d", n.id), Incarnation: uint64(n.generation), Zone: string(rune('a' + n.id%2)), Weight: 1}
	s := n.w.settings
	s.Self = n.member
	scheduler, err := New(0, s)
	if err != nil {
		n.w.err = err
		return
	}
	n.scheduler, n.deferred, n.alive = scheduler, nil, map[int]bool{}
	scheduler.SetDuties(0, n.w.duties)
	for _, o := range n.w.nodes {
		n.w.observe(n, o)
		n.w.observe(o, n)
	}
	generation := n.generation
	n.w.after(0, func() { n.tick(generation) })
	n.w.lastChangeAt = n.w.now
}

func (n *node) kill() {
	n.up = false
	n.w.lastChangeAt = n.w.now
	for _, o := range n.w.nodes {
		n.w.observe(o, n)
	}
}

func (n *node) pause(seconds float64) {
	if !n.up || n.paused {
		return
	}
	n.paused = true
	for _, o := range n.w.nodes {
		n.w.observe(o, n)
	}
	generation := n.generation
	n.w.after(seconds, func() {
		if n.generation != generation || !n.up {
			return
		}
		n.paused, n.runningSince = false, n.w.now
		if seconds > pauseThresholdHandovers*n.w.settings.HandoverDelay { // a shorter pause counts as a slow tick
			n.resumedAt = n.w.now
		}
		deferred := n.deferred
		n.deferred = nil
		n.tick(-generation) // its timer is overdue and fires before its messages are read
		for _, deliver := range deferred {
			deliver()
		}
		for _, o := range n.w.nodes {
			n.w.observe(o, n)
		}
	})
}

// observe updates what one node knows about another after the detection delay.
func (w *world) observe(observer, target *node) {
	if observer == target {
		return
	}
	w.after(w.uniform(w.detectionDelay), func() {
		if !observer.up || observer.paused {
			return
		}
		reachable := target.up && !target.paused && !w.cutLinks[[2]int{observer.id, target.id}] && !w.cutLinks[[2]int{target.id, observer.id}]
		if observer.alive[target.id] != reachable || reachable {
			observer.alive[target.id] = reachable
			var members []Member
			for _, o := range w.nodes {
				if observer.alive[o.id] {
					members = append(members, o.member)
				}
			}
			observer.scheduler.SetMembers(observer.clock(), members)
		}
	})
}

// setCut cuts the link between two nodes in one direction, or restores it.
func (w *world) setCut(from, to int, isCut bool) {
	w.cutLinks[[2]int{from, to}] = isCut
	w.observe(w.nodes[from], w.nodes[to])
	w.observe(w.nodes[to], w.nodes[from])
	w.lastChangeAt = w.now
}

func (n *node) tick(generation int) {
	reschedule := generation >= 0
	if !reschedule {
		generation = -generation
	}
	if n.generation != generation || !n.up {
		return
	}
	if n.paused {
		n.w.after(0.05, func() { n.tick(generation) })
		return
	}
	if n.w.disabledGuard == "pause detection" {
		n.scheduler.lastTick = n.clock()
	}
	tasks, next := n.scheduler.Tick(n.clock())
	for _, task := range tasks {
		n.runTask(task)
	}
	if reschedule {
		n.w.after(math.Max(0.001, (next-n.clock())/n.clockRate), func() { n.tick(generation) })
	}
}

// runTask carries out a task: the subject is accessed now, and the result is sent when the task ends.
func (n *node) runTask(task Task) {
	w := n.w
	if task.TakenOver {
		w.takeovers++
	}
	runs := append(w.runs[task.Subject], run{w.now, n.id, w.possibleCandidates(task.Key)})
	w.runs[task.Subject] = runs
	w.check(n, task, runs)
	if w.disabledGuard == "own interval" {
		n.scheduler.byKey[task.Key].startedAt, n.scheduler.byKey[task.Key].doneAt = math.Inf(-1), math.Inf(-1)
	}
	generation := n.generation
	w.after(w.taskSeconds, func() {
		if n.generation != generation || !n.up {
			return
		}
		finish := func() {
			if r, ok := n.scheduler.Finish(n.clock(), task, nil); ok {
				w.broadcast(n, r)
			}
		}
		if n.paused {
			n.deferred = append(n.deferred, finish)
			return
		}
		finish()
	})
}

func (w *world) broadcast(from *node, result Result) {
	for _, o := range w.nodes {
		if o == from || !o.up {
			continue
		}
		w.messages++
		for range 1 + int(w.rng.Float64()+w.duplication) {
			if w.rng.Float64() < w.loss || w.cutLinks[[2]int{from.id, o.id}] {
				continue
			}
			generation := o.generation
			w.after(w.uniform(w.messageDelay), func() {
				deliver := func() {
					if o.generation == generation && o.up {
						o.scheduler.ReceiveResult(o.clock(), result)
					}
				}
				if o.paused {
					o.deferred = append(o.deferred, deliver)
					return
				}
				deliver()
			})
		}
	}
}

// check checks a task against the guarantees that always hold.
func (w *world) check(n *node, task Task, runs []run) {
	own, total, limit := 0, 0, w.maxCandidates
	for _, d := range runs {
		if w.now-d.at < task.Interval-1e-9 {
			total++
			limit = max(limit, d.possibleCandidates)
			if d.node == n.id {
				own++
			}
		}
	}
	if w.disabledGuard == "candidate limit" {
		limit = w.maxCandidates
	}
	switch {
	case own > 1:
		w.err = fmt.Errorf("%.3f s: node %d ran %s %d times in an interval", w.now, n.id, task.Subject, own)
	case w.now-n.resumedAt < w.settings.HandoverDelay/n.clockRate-1e-9:
		w.err = fmt.Errorf("%.3f s: node %d ran %s right after a pause", w.now, n.id, task.Subject)
	case total > limit:
		w.err = fmt.Errorf("%.3f s: %s was run %d times in an interval, the limit is %d", w.now, task.Subject, total, limit)
	}
}

// possibleCandidates counts the members that some live instance considers candidates for a duty.
func (w *world) possibleCandidates(key Key) int {
	names := map[string]bool{}
	for _, n := range w.nodes {
		if n.up {
			for _, c := range n.scheduler.byKey[key].candidates {
				names[c.Name] = true
			}
		}
	}
	return len(names)
}

// checkOverdue checks that each duty was run in time, provided that all instances agree on its candidates and one of
// them has been up and not paused for long enough.
func (w *world) checkOverdue() error {
	s := w.settings
	for i, d := range w.duties {
		limit := d.Interval*(1+2*maxClockDrift) + float64(w.maxCandidates)*s.HandoverDelay + 0.01
		var candidates []string
		agreed := true
		for _, n := range w.nodes {
			if !n.up || n.paused {
				continue
			}
			var own []string
			for _, c := range n.scheduler.duties[i].candidates {
				own = append(own, c.Name)
			}
			if candidates == nil {
				candidates = own
			}
			agreed = agreed && fmt.Sprint(candidates) == fmt.Sprint(own)
		}
		if !agreed {
			continue
		}
		for _, n := range w.nodes {
			mustRun := n.up && !n.paused && w.now-n.runningSince > limit+2*s.SettleTime+2*s.HandoverDelay &&
				w.now-w.lastChangeAt > limit+2*s.SettleTime+2*s.HandoverDelay+w.detectionDelay[1]
			for _, name := range candidates {
				last := math.Inf(-1)
				if runs := w.runs[d.Subject]; len(runs) > 0 {
					last = runs[len(runs)-1].at
				}
				if mustRun && n.member.Name == name && w.now-last > limit {
					return fmt.Errorf("%.3f s: %s was last run %.3f s ago, the limit is %.3f s, and its candidate %s is running",
						w.now, d.Subject, w.now-last, limit, name)
				}
			}
		}
	}
	return nil
}

// gaps returns the times between consecutive runs of each duty, in seconds, sorted.
func (w *world) gaps(from float64) (gaps []float64) {
	for _, d := range w.duties {
		runs := w.runs[d.Subject]
		for i := 1; i < len(runs); i++ {
			if runs[i-1].at >= from {
				gaps = append(gaps, runs[i].at-runs[i-1].at)
			}
		}
	}
	sort.Float64s(gaps)
	return gaps
}
