package lab

import (
	"fmt"
	"maps"
	"slices"

	"cherryhub/decide"
	"cherryhub/internal/emulate"
)

// router is one router: a decide.Router or a baseline, and in place of the edge what is done for it in virtual time. It does as
// internal/edge does: the first token wins, a state is let go once, timeouts of writes are to their first token.
type router struct {
	w      *world
	index  int
	zone   int
	decide policy
	open   map[uint64]*completion
	start  float64 // of its clock
	life   int     // how often it was started anew
	isDown bool
	shared *shared // nil where routers don't talk
}

// begin starts it with the list as it is.
func (r *router) begin() error {
	own := r.w.s.Decide
	own.Seed = r.w.s.Seed*1_000_003 + uint64(r.index)*1_009 + uint64(r.life) + 1
	own.Zone = r.zone
	r.open = map[uint64]*completion{}
	if b := r.w.s.Baseline; b != None {
		r.decide = newSimple(b, own, r)
	} else {
		one, err := decide.New(own, r)
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		r.decide = ownPolicy{one}
	}
	var facts []decide.EngineEntry
	for _, e := range r.w.engines {
		facts = append(facts, r.w.fact(e, e.phase, r))
	}
	r.call(func() { r.decide.UpdateEngines(decide.ListSnapshot, facts) })
	return nil
}

// order is its open completions by number: a map has none.
func (r *router) order() []uint64 { return slices.Sorted(maps.Keys(r.open)) }

// completion is one that was taken.
type completion struct {
	id, session    uint64
	load           *Load
	prompt, answer int
	began          float64
	r              *router
	life           int // of the router
	handle         handle
	runs           []*run
	won            *run
	final          bool
	state          *run // the read whose state waits
}

// run is one dispatch.
type run struct {
	c       *completion
	n       int
	at      *box
	job     *emulate.Job
	reads   bool
	sent    float64
	kept    int
	over    bool
	timeout func() // cancels it
	moving  func() // cancels the transfer
	fetches *run   // the read whose state it fetches
}

// call makes a call on decide at the clock's time.
func (r *router) call(f func()) {
	r.decide.SetTime(r.w.clock.Now() - r.start)
	f()
}

// of makes a call about a completion, unless it is over.
func (r *router) of(c *completion, f func(h handle)) {
	if c.life != r.life { // of a router that is gone
		return
	}
	if c.handle != nil && !c.handle.Closed() {
		r.call(func() { f(c.handle) })
	}
	r.settle(c)
}

func (r *router) settle(c *completion) {
	if c.handle != nil && c.handle.Closed() {
		delete(r.open, c.id)
	}
}

func (r *router) take(c *completion) {
	w := r.w
	c.r, c.life, c.began = r, r.life, w.clock.Now()
	r.open[c.id] = c
	w.result.Completions++
	w.result.Value += c.value()
	l := c.load
	p := decide.Prompt{Workload: l.Workload, Session: c.session, SharedPrefix: uint64(l.Workload) + 1, SharedPrefixTokens: float64(l.Shared), Tokens: float64(c.prompt),
		MaxOutputTokens: float64(max(1, l.MaxAnswer)), TimeLeft: l.Timeout}
	r.call(func() { c.handle = r.decide.Route(c.id, p) })
	r.settle(c)
}

func (c *completion) value() float64 { return c.load.ValuePerToken * float64(c.prompt+c.answer) }

// answered books a final answer.
func (c *completion) answered(count *int) {
	if c.final {
		c.r.w.result.Twice++
		return
	}
	c.final = true
	*count++
	if c.won == nil && c.r.w.clock.Now()-c.began > c.load.Timeout {
		c.r.w.result.Late++
	}
	c.r.w.clock.After(0, func() { c.r.settle(c) }) // it may be over by a call on the router, not on it
}

// Dispatch is of decide.Actions, as are those below.
func (r *router) Dispatch(id uint64, engine int, timeout float64) {
	c, w := r.open[id], r.w
	d := &run{c: c, n: len(c.runs), at: w.engines[engine], sent: w.clock.Now()}
	d.reads = d.at.group.Role == decide.Reader
	c.runs = append(c.runs, d)
	w.result.Dispatches++
	if w.s.Sent != nil {
		w.s.Sent(d.sent, engine)
	}
	if !d.reads && c.state != nil {
		d.fetches, c.state = c.state, nil
	}
	d.timeout = w.clock.After(timeout, func() { d.end(decide.TimedOut) })
	w.clock.After(w.s.Way, d.arrive)
}

// arrive is at the engine.
func (d *run) arrive() {
	if d.over {
		return
	}
	w := d.c.r.w
	if d.at.isDown {
		w.clock.After(w.s.Way, func() { d.end(decide.Unreachable) })
		return
	}
	if d.fetches == nil {
		d.submit(emulate.Write)
		return
	}
	from := d.fetches.at
	if from.Held(d.fetches.job.ID) == 0 { // its reader died meanwhile
		d.kept = 1 // as the protocol says that there was no state
		w.clock.After(w.s.Way, func() { d.end(decide.Full) })
		return
	}
	d.moving = d.c.r.w.links[from.group.Cell].Send(float64(d.c.prompt), func() {
		d.moving = nil
		from.Release(d.fetches.job.ID)
		if d.at.isDown {
			w.clock.After(w.s.Way, func() { d.end(decide.Broken) })
			return
		}
		d.submit(emulate.Fetch)
	})
}

func (d *run) submit(kind emulate.Kind) {
	w := d.c.r.w
	if d.reads {
		kind = emulate.Read
	}
	d.at.jobs++
	d.job = &emulate.Job{ID: d.at.jobs, Kind: kind, Hashes: d.c.hashes(d.at.group.Model.BlockTokens), Prompt: d.c.prompt, Answer: d.c.answer,
		Begun: func(kept int) { d.kept = kept },
		Token: func(n int) {
			if n == 0 {
				w.clock.After(w.s.Way, d.begun)
			}
		},
		Ended: func(how emulate.End) {
			o := decide.Finished
			switch how {
			case emulate.Full:
				o = decide.Full
			case emulate.Gone:
				o = decide.Broken
			case emulate.Left:
				return // it was we who left
			default:
				if d.reads {
					o = decide.Read
				}
			}
			w.clock.After(w.s.Way, func() { d.end(o) })
		}}
	d.at.Submit(d.job)
}

// begun is the first token, back at the router.
func (d *run) begun() {
	c := d.c
	if d.over {
		return
	}
	d.timeout()
	if c.won != nil || c.final {
		d.end(decide.Cancelled)
		return
	}
	c.won = d
	w := c.r.w
	ttft := w.clock.Now() - c.began
	wl := &w.s.Decide.Workloads[c.load.Workload]
	if ttft > c.load.Timeout {
		w.result.Late++
	}
	w.result.TTFT.RecordValue(int64(ttft * 1e6)) //nolint:errcheck // within its range
	if ttft <= wl.LatencyTarget+wl.LatencyTargetPerToken*float64(c.prompt) {
		w.result.InTarget++
		w.result.Served += c.value()
	}
	c.r.of(c, func(h handle) { h.DispatchStarted(d.n, w.clock.Now()-d.sent) })
}

// end tells decide how a dispatch ended, and has the engine leave what it still does of it.
func (d *run) end(o decide.Outcome) {
	if d.over {
		return
	}
	d.over = true
	d.timeout()
	c, w := d.c, d.c.r.w
	if d.moving != nil {
		d.moving()
		d.fetches.letGo()
	}
	if job := d.job; job != nil && (o == decide.TimedOut || o == decide.Cancelled) {
		w.clock.After(w.s.Way, func() {
			d.at.Cancel(job.ID)
			if d.reads {
				d.at.Release(job.ID)
			}
		})
	}
	if o == decide.Read {
		c.state = d
	}
	done := d == c.won
	if done && o == decide.Finished {
		c.answered(&w.result.Finished)
	} else if done {
		c.answered(&w.result.Aborted)
	}
	report := columns(d.at.Report())
	if d.at.isDown {
		report = nil
	}
	c.r.of(c, func(h handle) {
		h.DispatchEnded(d.n, o, w.clock.Now()-d.sent, done, float64(d.kept), report)
	})
	if c.handle != nil && c.handle.Closed() && c.state != nil {
		c.state.letGo()
		c.state = nil
	}
}

// cut ends a dispatch whose router is gone: nobody is told.
func (d *run) cut() {
	if d.over {
		return
	}
	d.over = true
	d.timeout()
	if d.moving != nil {
		d.moving()
		d.fetches.letGo()
	}
	if d.job != nil {
		d.at.Cancel(d.job.ID)
		d.at.Release(d.job.ID)
	}
}

// letGo has a reader drop a state.
func (d *run) letGo() {
	d.c.r.w.clock.After(d.c.r.w.s.Way, func() { d.at.Release(d.job.ID) })
}

func columns(r emulate.Report) []float64 {
	return []float64{float64(r.Waiting), r.Slots, r.Memory, float64(r.Unread) / 1000}
}

// Reserve is not played: settings must not allow it.
func (r *router) Reserve(id uint64, engine int) {
	c := r.open[id]
	n := len(c.runs)
	r.w.clock.After(0, func() { r.of(c, func(h handle) { h.ReservationAnswered(n, false) }) })
}

func (r *router) Release(id uint64) {
	if c := r.open[id]; c != nil && c.state != nil {
		c.state.letGo()
		c.state = nil
	}
}

func (r *router) RateLimit(id uint64, _ float64) { r.open[id].answered(&r.w.result.RateLimited) }
func (r *router) Abort(id uint64)                { r.open[id].answered(&r.w.result.Aborted) }

func (r *router) Cancel(id uint64, dispatch int) {
	c := r.open[id]
	if c == nil || dispatch >= len(c.runs) || c.runs[dispatch] == c.won {
		return
	}
	d := c.runs[dispatch]
	r.w.clock.After(0, func() { d.end(decide.Cancelled) })
}

func (r *router) SetTimer(id uint64, after float64) {
	c := r.open[id]
	r.w.clock.After(after, func() { r.of(c, func(h handle) { h.TimerFired() }) })
}

func (r *router) SetRouterTimer(after float64) {
	if r.w.clock.Now() > r.w.s.Length+wakesAfter { // it would go on for ever
		return
	}
	life := r.life
	r.w.clock.After(after, func() {
		if life == r.life {
			r.call(r.decide.TimerFired)
		}
	})
}

// wakesAfter is how long after the last completion came a router is still woken, in seconds: longer than any
// client timeout.
const wakesAfter = 120

func (r *router) Probe(engine int) {
	life := r.life
	if report := r.shared.fresh(engine); report != nil {
		r.w.clock.After(0, func() {
			if life == r.life {
				r.call(func() { r.decide.ProbeEnded(engine, decide.Finished, report) })
			}
		})
		return
	}
	r.w.result.Probes++
	r.probe(engine, life, func(decide.Outcome, []float64) {})
}

// probe asks an engine for its figures, tells decide and then whoever asked.
func (r *router) probe(engine, life int, told func(decide.Outcome, []float64)) {
	w, e := r.w, r.w.engines[engine]
	w.clock.After(w.s.Way, func() {
		o, report := decide.Finished, columns(e.Report())
		if e.isDown {
			o, report = decide.Unreachable, nil
		}
		w.clock.After(w.s.Way, func() {
			if life == r.life {
				r.call(func() { r.decide.ProbeEnded(engine, o, report) })
				told(o, report)
			}
		})
	})
}

func (r *router) WatchEngines() {}
func (r *router) Log(string)    {}
