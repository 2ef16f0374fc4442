package lab

import (
	"fmt"
	"maps"
	"slices"

	"cherryhub/decide"
	"cherryhub/internal/emulate"
)

// router simulates one router: its policy, and in virtual time what internal/edge does for it. As there, the first
// dispatch with a token wins, a state is released once, and the timeout of a write ends at its first token.
type router struct {
	world           *world
	index           int
	zone            int
	policy          policy
	openCompletions map[uint64]*completion
	startedAt       float64 // start of the router's own clock
	lifetime        int     // counts restarts
	down            bool
	peer            *peer // nil without shared probing
}

// start creates the router's policy and gives it the current engine list.
func (r *router) start() error {
	settings := r.world.settings.Decide
	settings.Seed = r.world.settings.Seed*1_000_003 + uint64(r.index)*1_009 + uint64(r.lifetime) + 1
	settings.Zone = r.zone
	r.openCompletions = map[uint64]*completion{}
	if baseline := r.world.settings.Baseline; baseline != NoBaseline {
		r.policy = newBaselinePolicy(baseline, settings, r)
	} else {
		decider, err := decide.New(settings, r)
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		r.policy = decidePolicy{decider}
	}
	var entries []decide.EngineEntry
	for _, e := range r.world.engines {
		entries = append(entries, r.world.engineEntry(e, e.phase, r))
	}
	r.callPolicy(func() { r.policy.UpdateEngines(decide.ListSnapshot, entries) })
	return nil
}

// openIDs returns the IDs of the open completions in order, for determinism.
func (r *router) openIDs() []uint64 { return slices.Sorted(maps.Keys(r.openCompletions)) }

// completion is a completion that a router accepted.
type completion struct {
	id, session                uint64
	load                       *Load
	promptTokens, outputTokens int
	arrivedAt                  float64
	router                     *router
	lifetime                   int // the router's lifetime that accepted it
	handle                     handle
	dispatches                 []*dispatch
	winner                     *dispatch // the first dispatch with a token
	answered                   bool
	heldState                  *dispatch // the read whose state is held at its reader
}

// dispatch is a read or a write at an engine.
type dispatch struct {
	completion     *completion
	index          int
	engine         *engine
	job            *emulate.Job
	isRead         bool
	sentAt         float64
	cachedTokens   int
	ended          bool
	cancelTimeout  func()
	cancelTransfer func()    // nil if no transfer is in progress
	fetchFrom      *dispatch // the read whose state a write fetches, nil if it reads the prompt itself
}

// callPolicy makes a call to the policy at the clock's time.
func (r *router) callPolicy(call func()) {
	r.policy.SetTime(r.world.clock.Now() - r.startedAt)
	call()
}

// callCompletion makes a policy call about a completion, unless it is closed.
func (r *router) callCompletion(c *completion, call func(h handle)) {
	if c.lifetime != r.lifetime { // the router has restarted since
		return
	}
	if c.handle != nil && !c.handle.Closed() {
		r.callPolicy(func() { call(c.handle) })
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
	load := c.load
	prompt := decide.Prompt{Workload: load.Workload, Session: c.session, SharedPrefix: uint64(load.Workload) + 1,
		SharedPrefixTokens: float64(load.SharedPrefixTokens), Tokens: float64(c.promptTokens),
		MaxOutputTokens: float64(max(1, load.MaxOutputTokens)), TimeLeft: load.ClientTimeout}
	r.callPolicy(func() { c.handle = r.policy.Route(c.id, prompt) })
	r.removeIfClosed(c)
}

func (c *completion) value() float64 {
	return c.load.ValuePerToken * float64(c.promptTokens+c.outputTokens)
}

// recordAnswer counts a final answer.
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
	// The completion may also close during a policy call that is not about it, after which callCompletion does not check.
	c.router.world.clock.After(0, func() { c.router.removeIfClosed(c) })
}

// Dispatch implements decide.Actions, as do the methods below. A dispatch leaves at once, so the time by which it has to be sent is kept.
func (r *router) Dispatch(id uint64, engine int, timeout, _ float64) {
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

// arriveAtEngine runs when the request reaches the engine.
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
	reader := d.fetchFrom.engine
	if reader.HeldTokens(d.fetchFrom.job.ID) == 0 { // the reader died since
		d.cachedTokens = 1 // the protocol's report that there was no state
		w.clock.After(w.settings.OneWayDelay, func() { d.end(decide.Full) })
		return
	}
	d.cancelTransfer = d.completion.router.world.links[reader.group.Cell].Send(float64(d.completion.promptTokens), func() {
		d.cancelTransfer = nil
		reader.Release(d.fetchFrom.job.ID)
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
	d.job = &emulate.Job{ID: d.engine.lastJobID, Kind: kind, BlockHashes: d.completion.blockHashes(d.engine.group.Model.BlockTokens),
		PromptTokens: d.completion.promptTokens, OutputTokens: d.completion.outputTokens,
		OnStart: func(cachedTokens int) { d.cachedTokens = cachedTokens },
		OnToken: func(n int) {
			if n == 0 {
				w.clock.After(w.settings.OneWayDelay, d.firstToken)
			}
		},
		OnEnd: func(jobOutcome emulate.Outcome) {
			outcome := decide.Finished
			switch jobOutcome {
			case emulate.Full:
				outcome = decide.Full
			case emulate.EngineDied:
				outcome = decide.Broken
			case emulate.Cancelled:
				return // the router cancelled it
			default:
				if d.isRead {
					outcome = decide.Read
				}
			}
			w.clock.After(w.settings.OneWayDelay, func() { d.end(outcome) })
		}}
	d.engine.Submit(d.job)
}

// firstToken runs when the first token reaches the router.
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
	workload := &w.settings.Decide.Workloads[c.load.Workload]
	if ttft > c.load.ClientTimeout {
		w.result.LateAnswers++
	}
	w.result.TTFT.RecordValue(int64(ttft * 1e6)) //nolint:errcheck // the value is within the histogram's range
	if ttft <= workload.LatencyTarget+workload.LatencyTargetPerToken*float64(c.promptTokens) {
		w.result.InTarget++
		w.result.ServedValue += c.value()
	}
	c.router.callCompletion(c, func(h handle) { h.DispatchStarted(d.index, w.clock.Now()-d.sentAt) })
}

// end reports the end of a dispatch to the policy, and cancels what the engine still does for it.
func (d *dispatch) end(outcome decide.Outcome) {
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
	if job := d.job; job != nil && (outcome == decide.TimedOut || outcome == decide.Cancelled) {
		w.clock.After(w.settings.OneWayDelay, func() {
			d.engine.Cancel(job.ID)
			if d.isRead {
				d.engine.Release(job.ID)
			}
		})
	}
	if outcome == decide.Read {
		c.heldState = d
	}
	answered := d == c.winner
	if answered && outcome == decide.Finished {
		c.recordAnswer(&w.result.Finished)
	} else if answered {
		c.recordAnswer(&w.result.Aborted)
	}
	report := reportValues(d.engine.Report())
	if d.engine.down {
		report = nil
	}
	c.router.callCompletion(c, func(h handle) {
		h.DispatchEnded(d.index, outcome, w.clock.Now()-d.sentAt, answered, float64(d.cachedTokens), report)
	})
	if c.handle != nil && c.handle.Closed() && c.heldState != nil {
		c.heldState.releaseState()
		c.heldState = nil
	}
}

// discard ends a dispatch whose router died, without reporting it.
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

// releaseState has the reader release a held state.
func (d *dispatch) releaseState() {
	d.completion.router.world.clock.After(d.completion.router.world.settings.OneWayDelay, func() { d.engine.Release(d.job.ID) })
}

// reportValues returns the values of a load report for the columns queue, util, x0 and x1.
func reportValues(r emulate.Report) []float64 {
	return []float64{float64(r.Waiting), r.SlotsUsed, r.MemoryUsed, float64(r.UnreadTokens) / 1000}
}

// Reserve always reports that nothing is reserved: the model has no reservations, and the settings must not allow them.
func (r *router) Reserve(id uint64, engine int) {
	c := r.openCompletions[id]
	number := len(c.dispatches)
	r.world.clock.After(0, func() { r.callCompletion(c, func(h handle) { h.ReservationAnswered(number, false) }) })
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
	if r.world.clock.Now() > r.world.settings.Duration+timerGraceSeconds { // otherwise the day would never end
		return
	}
	lifetime := r.lifetime
	r.world.clock.After(after, func() {
		if lifetime == r.lifetime {
			r.callPolicy(r.policy.TimerFired)
		}
	})
}

// timerGraceSeconds is how long after the last arrival of a completion the router timer still runs: longer than any
// client timeout.
const timerGraceSeconds = 120

func (r *router) Probe(engine int) {
	lifetime := r.lifetime
	if report := r.peer.freshReport(engine); report != nil {
		r.world.clock.After(0, func() {
			if lifetime == r.lifetime {
				r.callPolicy(func() { r.policy.ProbeEnded(engine, decide.Finished, report) })
			}
		})
		return
	}
	r.world.result.Probes++
	r.probeEngine(engine, lifetime, func(decide.Outcome, []float64) {})
}

// probeEngine requests an engine's load report, and passes it to the policy and to onResult.
func (r *router) probeEngine(engine, lifetime int, onResult func(decide.Outcome, []float64)) {
	w, e := r.world, r.world.engines[engine]
	w.clock.After(w.settings.OneWayDelay, func() {
		outcome, report := decide.Finished, reportValues(e.Report())
		if e.down {
			outcome, report = decide.Unreachable, nil
		}
		w.clock.After(w.settings.OneWayDelay, func() {
			if lifetime == r.lifetime {
				r.callPolicy(func() { r.policy.ProbeEnded(engine, outcome, report) })
				onResult(outcome, report)
			}
		})
	})
}

func (r *router) WatchEngines() {}
func (r *router) Log(string)    {}
