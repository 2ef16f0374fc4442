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
	world           *world
	index           int
	zone            int
	policy          policy
	openCompletions map[uint64]*completion
	startedAt       float64 // of its clock
	lifetime        int     // how often it was started anew
	down            bool
	peer            *peer // nil where routers don't talk
}

// begin starts it with the list as it is.
func (r *router) start() error {
	own := r.world.settings.Decide
	own.Seed = r.world.settings.Seed*1_000_003 + uint64(r.index)*1_009 + uint64(r.lifetime) + 1
	own.Zone = r.zone
	r.openCompletions = map[uint64]*completion{}
	if b := r.world.settings.Baseline; b != NoBaseline {
		r.policy = newBaselinePolicy(b, own, r)
	} else {
		one, err := decide.New(own, r)
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		r.policy = decidePolicy{one}
	}
	var facts []decide.EngineEntry
	for _, e := range r.world.engines {
		facts = append(facts, r.world.engineEntry(e, e.phase, r))
	}
	r.callPolicy(func() { r.policy.UpdateEngines(decide.ListSnapshot, facts) })
	return nil
}

// order is its open completions by number: a map has none.
func (r *router) openIDs() []uint64 { return slices.Sorted(maps.Keys(r.openCompletions)) }

// completion is one that was taken.
type completion struct {
	id, session                uint64
	load                       *Load
	promptTokens, outputTokens int
	arrivedAt                  float64
	router                     *router
	lifetime                   int // of the router
	handle                     handle
	dispatches                 []*dispatch
	winner                     *dispatch
	answered                   bool
	heldState                  *dispatch // the read whose state waits
}

// run is one dispatch.
type dispatch struct {
	completion     *completion
	index          int
	engine         *engine
	job            *emulate.Job
	isRead         bool
	sentAt         float64
	cachedTokens   int
	ended          bool
	cancelTimeout  func()    // cancels it
	cancelTransfer func()    // cancels the transfer
	fetchFrom      *dispatch // the read whose state it fetches
}

// call makes a call on decide at the clock's time.
func (r *router) callPolicy(f func()) {
	r.policy.SetTime(r.world.clock.Now() - r.startedAt)
	f()
}

// of makes a call about a completion, unless it is over.
func (r *router) callCompletion(c *completion, f func(h handle)) {
	if c.lifetime != r.lifetime { // of a router that is gone
		return
	}
	if c.handle != nil && !c.handle.Closed() {
		r.callPolicy(func() { f(c.handle) })
	}
	r.removeIfClosed(c)
}

func (r *router) removeIfClosed(c *completion) {
	if c.handle != nil && c.handle.Closed() {
		delete(r.openCompletions, c.id)
	}
}

func (r *router) accept(c *completion) {
	w := r.world
	c.router, c.lifetime, c.arrivedAt = r, r.lifetime, w.clock.Now()
	r.openCompletions[c.id] = c
	w.result.Completions++
	w.result.OfferedValue += c.value()
	l := c.load
	p := decide.Prompt{Workload: l.Workload, Session: c.session, SharedPrefix: uint64(l.Workload) + 1, SharedPrefixTokens: float64(l.SharedPrefixTokens), Tokens: float64(c.promptTokens),
		MaxOutputTokens: float64(max(1, l.MaxOutputTokens)), TimeLeft: l.ClientTimeout}
	r.callPolicy(func() { c.handle = r.policy.Route(c.id, p) })
	r.removeIfClosed(c)
}

func (c *completion) value() float64 {
	return c.load.ValuePerToken * float64(c.promptTokens+c.outputTokens)
}

// answered books a final answer.
func (c *completion) recordAnswer(count *int) {
	if c.answered {
		c.router.world.result.DuplicateAnswers++
		return
	}
	c.answered = true
	*count++
	if c.winner == nil && c.router.world.clock.Now()-c.arrivedAt > c.load.ClientTimeout {
		c.router.world.result.LateAnswers++
	}
	c.router.world.clock.After(0, func() { c.router.removeIfClosed(c) }) // it may be over by a call on the router, not on it
}

// Dispatch is of decide.Actions, as are those below.
func (r *router) Dispatch(id uint64, engine int, timeout float64) {
	c, w := r.openCompletions[id], r.world
	d := &dispatch{completion: c, index: len(c.dispatches), engine: w.engines[engine], sentAt: w.clock.Now()}
	d.isRead = d.engine.group.Role == decide.Reader
	c.dispatches = append(c.dispatches, d)
	w.result.Dispatches++
	if w.settings.OnDispatch != nil {
		w.settings.OnDispatch(d.sentAt, engine)
	}
	if !d.isRead && c.heldState != nil {
		d.fetchFrom, c.heldState = c.heldState, nil
	}
	d.cancelTimeout = w.clock.After(timeout, func() { d.end(decide.TimedOut) })
	w.clock.After(w.settings.OneWayDelay, d.arriveAtEngine)
}

// arrive is at the engine.
func (d *dispatch) arriveAtEngine() {
	if d.ended {
		return
	}
	w := d.completion.router.world
	if d.engine.down {
		w.clock.After(w.settings.OneWayDelay, func() { d.end(decide.Unreachable) })
		return
	}
	if d.fetchFrom == nil {
		d.submit(emulate.Write)
		return
	}
	from := d.fetchFrom.engine
	if from.HeldTokens(d.fetchFrom.job.ID) == 0 { // its reader died meanwhile
		d.cachedTokens = 1 // as the protocol says that there was no state
		w.clock.After(w.settings.OneWayDelay, func() { d.end(decide.Full) })
		return
	}
	d.cancelTransfer = d.completion.router.world.links[from.group.Cell].Send(float64(d.completion.promptTokens), func() {
		d.cancelTransfer = nil
		from.Release(d.fetchFrom.job.ID)
		if d.engine.down {
			w.clock.After(w.settings.OneWayDelay, func() { d.end(decide.Broken) })
			return
		}
		d.submit(emulate.Fetch)
	})
}

func (d *dispatch) submit(kind emulate.JobKind) {
	w := d.completion.router.world
	if d.isRead {
		kind = emulate.Read
	}
	d.engine.lastJobID++
	d.job = &emulate.Job{ID: d.engine.lastJobID, Kind: kind, BlockHashes: d.completion.blockHashes(d.engine.group.Model.BlockTokens), PromptTokens: d.completion.promptTokens, OutputTokens: d.completion.outputTokens,
		OnStart: func(kept int) { d.cachedTokens = kept },
		OnToken: func(n int) {
			if n == 0 {
				w.clock.After(w.settings.OneWayDelay, d.firstToken)
			}
		},
		OnEnd: func(how emulate.Outcome) {
			o := decide.Finished
			switch how {
			case emulate.Full:
				o = decide.Full
			case emulate.EngineDied:
				o = decide.Broken
			case emulate.Cancelled:
				return // it was we who left
			default:
				if d.isRead {
					o = decide.Read
				}
			}
			w.clock.After(w.settings.OneWayDelay, func() { d.end(o) })
		}}
	d.engine.Submit(d.job)
}

// begun is the first token, back at the router.
func (d *dispatch) firstToken() {
	c := d.completion
	if d.ended {
		return
	}
	d.cancelTimeout()
	if c.winner != nil || c.answered {
		d.end(decide.Cancelled)
		return
	}
	c.winner = d
	w := c.router.world
	ttft := w.clock.Now() - c.arrivedAt
	wl := &w.settings.Decide.Workloads[c.load.Workload]
	if ttft > c.load.ClientTimeout {
		w.result.LateAnswers++
	}
	w.result.TTFT.RecordValue(int64(ttft * 1e6)) //nolint:errcheck // within its range
	if ttft <= wl.LatencyTarget+wl.LatencyTargetPerToken*float64(c.promptTokens) {
		w.result.InTarget++
		w.result.ServedValue += c.value()
	}
	c.router.callCompletion(c, func(h handle) { h.DispatchStarted(d.index, w.clock.Now()-d.sentAt) })
}

// end tells decide how a dispatch ended, and has the engine leave what it still does of it.
func (d *dispatch) end(o decide.Outcome) {
	if d.ended {
		return
	}
	d.ended = true
	d.cancelTimeout()
	c, w := d.completion, d.completion.router.world
	if d.cancelTransfer != nil {
		d.cancelTransfer()
		d.fetchFrom.releaseState()
	}
	if job := d.job; job != nil && (o == decide.TimedOut || o == decide.Cancelled) {
		w.clock.After(w.settings.OneWayDelay, func() {
			d.engine.Cancel(job.ID)
			if d.isRead {
				d.engine.Release(job.ID)
			}
		})
	}
	if o == decide.Read {
		c.heldState = d
	}
	done := d == c.winner
	if done && o == decide.Finished {
		c.recordAnswer(&w.result.Finished)
	} else if done {
		c.recordAnswer(&w.result.Aborted)
	}
	report := reportValues(d.engine.Report())
	if d.engine.down {
		report = nil
	}
	c.router.callCompletion(c, func(h handle) {
		h.DispatchEnded(d.index, o, w.clock.Now()-d.sentAt, done, float64(d.cachedTokens), report)
	})
	if c.handle != nil && c.handle.Closed() && c.heldState != nil {
		c.heldState.releaseState()
		c.heldState = nil
	}
}

// cut ends a dispatch whose router is gone: nobody is told.
func (d *dispatch) discard() {
	if d.ended {
		return
	}
	d.ended = true
	d.cancelTimeout()
	if d.cancelTransfer != nil {
		d.cancelTransfer()
		d.fetchFrom.releaseState()
	}
	if d.job != nil {
		d.engine.Cancel(d.job.ID)
		d.engine.Release(d.job.ID)
	}
}

// letGo has a reader drop a state.
func (d *dispatch) releaseState() {
	d.completion.router.world.clock.After(d.completion.router.world.settings.OneWayDelay, func() { d.engine.Release(d.job.ID) })
}

func reportValues(r emulate.Report) []float64 {
	return []float64{float64(r.Waiting), r.SlotsUsed, r.MemoryUsed, float64(r.UnreadTokens) / 1000}
}

// Reserve is not played: settings must not allow it.
func (r *router) Reserve(id uint64, engine int) {
	c := r.openCompletions[id]
	n := len(c.dispatches)
	r.world.clock.After(0, func() { r.callCompletion(c, func(h handle) { h.ReservationAnswered(n, false) }) })
}

func (r *router) Release(id uint64) {
	if c := r.openCompletions[id]; c != nil && c.heldState != nil {
		c.heldState.releaseState()
		c.heldState = nil
	}
}

func (r *router) RateLimit(id uint64, _ float64) {
	r.openCompletions[id].recordAnswer(&r.world.result.RateLimited)
}
func (r *router) Abort(id uint64) { r.openCompletions[id].recordAnswer(&r.world.result.Aborted) }

func (r *router) Cancel(id uint64, dispatch int) {
	c := r.openCompletions[id]
	if c == nil || dispatch >= len(c.dispatches) || c.dispatches[dispatch] == c.winner {
		return
	}
	d := c.dispatches[dispatch]
	r.world.clock.After(0, func() { d.end(decide.Cancelled) })
}

func (r *router) SetTimer(id uint64, after float64) {
	c := r.openCompletions[id]
	r.world.clock.After(after, func() { r.callCompletion(c, func(h handle) { h.TimerFired() }) })
}

func (r *router) SetRouterTimer(after float64) {
	if r.world.clock.Now() > r.world.settings.Duration+timerGraceSeconds { // it would go on for ever
		return
	}
	life := r.lifetime
	r.world.clock.After(after, func() {
		if life == r.lifetime {
			r.callPolicy(r.policy.TimerFired)
		}
	})
}

// wakesAfter is how long after the last completion came a router is still woken, in seconds: longer than any
// client timeout.
const timerGraceSeconds = 120

func (r *router) Probe(engine int) {
	life := r.lifetime
	if report := r.peer.freshReport(engine); report != nil {
		r.world.clock.After(0, func() {
			if life == r.lifetime {
				r.callPolicy(func() { r.policy.ProbeEnded(engine, decide.Finished, report) })
			}
		})
		return
	}
	r.world.result.Probes++
	r.probeEngine(engine, life, func(decide.Outcome, []float64) {})
}

// probe asks an engine for its figures, tells decide and then whoever asked.
func (r *router) probeEngine(engine, life int, told func(decide.Outcome, []float64)) {
	w, e := r.world, r.world.engines[engine]
	w.clock.After(w.settings.OneWayDelay, func() {
		o, report := decide.Finished, reportValues(e.Report())
		if e.down {
			o, report = decide.Unreachable, nil
		}
		w.clock.After(w.settings.OneWayDelay, func() {
			if life == r.lifetime {
				r.callPolicy(func() { r.policy.ProbeEnded(engine, o, report) })
				told(o, report)
			}
		})
	})
}

func (r *router) WatchEngines() {}
func (r *router) Log(string)    {}
