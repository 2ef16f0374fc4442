// Package decide holds every decision of a router: where a prompt is read, where its answer is written, and
// what is done when that goes wrong. Its interface (settings, facts, outcomes, actions) is in api.go.
//
// A caller makes a Router with New, sets the time with At before each call, hands it lists (Listed), probes'
// results (Probed) and completions (Take). Take returns a handle; what happens to the completion later is a
// call on it (Started, Placed, Ended, Left, Due) until Over. The module acts through Actions alone.
package decide

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	localMost   = 250.0  // tokens; an uncached remainder up to this is read at the writer, in about one step
	jam         = 0.3    // latency targets; readers expected to take longer are jammed: half of what is let in
	roomy       = 0.5    // share of memory; a writer with less held may read when readers are jammed
	tieBreak    = 0.02   // share of a burden by which chance decides, so that routers don't all pick alike
	triedTokens = 250e3  // tokens; more than any engine's burden, for one that has failed the completion
	dispatches  = 3      // a completion, where the settings don't say
	remoteMost  = 1000.0 // tokens; no remainder costs a writer more, since a reader reads it
	overhead    = 400.0  // tokens; what a dispatch costs besides reading: a hop, a step, a fetch
	crowdTokens = 1200.0 // tokens; cost of an engine with half its memory held, about one short read
	crowdRoom   = 1.05   // memory shares; keeps the cost of a full engine finite
	closeTokens = 200e3  // tokens a unit of price; scores this much apart times the price are close
	closeLeast  = 300.0  // tokens; and so much is close where nearness has no price
	reportFades = 1.0    // seconds; a report's weight falls to 1/e in this time, a few refreshes
	memoryGuess = 150e3  // tokens; for machine kinds whose memory is not told
	keepsFor    = 120.0  // seconds; a claim on kept text this old is dropped, sessions have ended by then
	claimsMost  = 8192   // entries; an engine's table past this is nearly all stale, and is begun anew
	roomLeast   = 0.1    // share of memory; kept text has so much even in an engine that looks full
	proofLeast  = 600.0  // tokens; a claim smaller than this proves nothing about the engine's others
	failGain    = 0.3    // weight of one outcome in an engine's failures: three in a row make it ill
	failFades   = 4.0    // seconds; failures are forgotten to 1/e in this time: the trial traffic back
	failTokens  = 2500.0 // tokens; what a failed dispatch costs, about its time and the wait of the next
	failMost    = 0.95   // share; an engine is never worse than this, so that all ill means all equal
	ill         = 0.5    // share of failures above which an engine is logged and left by what waits
	slowGain    = 0.15   // weight of one measured time in an engine's slowness
	slowFades   = 8.0    // seconds; slowness is forgotten to 1/e in this time
	paceLeast   = 0.02   // weight of one time in a pool's pace, about the last fifty
	paceGuess   = 1e-4   // seconds a token until the first time is measured
	lateGuess   = 4.0    // times the expected time that counts as late until it is measured
	lateShare   = 0.03   // share of dispatches that are to be late
	lateGain    = 0.2    // log steps by which the late figure moves
	lateLeast   = 1.5    // times; the late figure stays above, since times vary by half at any load
	ratioMost   = 4.0    // times; a measured time counts as no longer in the pace: a jam is not the pace
	ratioLeast  = 0.1    // times; and as no shorter in an engine's slowness
	lateFloor   = 0.25   // seconds; nothing is late before, a lost packet and a full step take as long
	cutOff      = 3.0    // times late; a read that is out for longer is given up
	rateTime    = 4.0    // seconds over which rates are measured
	fullMost    = 0.95   // share of a writer's memory; past it growing answers push others out
	fullPool    = 0.85   // share of all writers' memory; and only when they are this full together
	readMost    = 0.6    // latency targets; a longer read is rate-limited, as the write needs the rest
	eagerLeast  = 0.7    // share of the bounds that a completion worth nothing may use
	shareBurst  = 2.0    // seconds of its share that a tenant may send at once
	comeBack    = 0.5    // seconds; the first come-back time, about the wait that a full bound holds
	probeAge    = 0.5    // seconds; a writer that is picked is probed when its report is older
	watchAgain  = 1.0    // seconds between tries to get the list where it must be asked
	answerGuess = 0.4    // share of the most it may produce that an answer without a hint is taken for
)

// claim is text that an engine is held to keep.
type claim struct {
	tokens, at, mark float64 // mark: what the engine had read when the claim was made
}

// engine is the one record of an engine. Its work is tokens to be read there, its memory is tokens too.
type engine struct {
	id, zone, cell         int
	phase                  Phase
	role                   Role
	pool                   *pool
	memory, started        float64
	work, held             float64 // what this router has out there
	kept                   map[uint64]claim
	written                float64 // tokens it came to keep for this router, in all
	fails, failsAt         float64 // share of failures, and when it was that
	slow, slowAt           float64 // log of its time against its pool's, and when
	heard                  float64 // when it last did what it was asked
	coldSent, coldAt       float64 // bucket of dispatches while it is cold
	reportAt               float64
	reportWork, reportHeld float64 // what it reported last
	workThen, heldThen     float64 // and what this router had out there then
	probing, loggedIll     bool
}

// pool is what this router has out at the engines that read, or at those that write.
type pool struct {
	size       float64 // engines ready
	work, held float64 // tokens out, all engines
	rate       meter   // reads ended and answers begun; failures come too fast to tell what an engine can do
}

// stage is what is measured of one kind of dispatch: a read, a write, or a long read at a writer.
type stage struct {
	pace, paces float64 // seconds a token of expected cost, and how many were measured
	late        float64 // times the expected time that only lateShare take longer than
}

// meter measures a rate a second.
type meter struct{ value, at float64 }

func (m *meter) now(now float64) float64 { return m.value * math.Exp((m.at-now)/rateTime) }

func (m *meter) add(now, n float64) { m.value, m.at = m.now(now)+n/rateTime, now }

type tenant struct{ rate, bucket, at float64 }

// Router decides for one router.
type Router struct {
	do       Actions
	now      float64
	rng      uint64
	others   float64 // how many other routers there are
	works    []Workload
	greatest float64 // value of them all
	columns  [4]int  // where a report has queue, util, x0, x1
	roles    []Role  // by machine kind, as is memory
	memory   []float64
	zone     int
	tick     float64
	most     int     // dispatches a completion
	back     float64 // the first come-back time, 0 where none is told
	over     float64 // what is left of the value beyond a tenant's share

	reads, places, copies, cancels, probes bool // what is allowed: that writers read, ...

	far, farZone float64 // tokens by which a reader outside the writer's cell, and its zone, must be better
	away         float64 // and a writer outside this router's zone

	warm, share    float64 // seconds until a started engine is warm, and its share of capacity at the start
	window, budget float64 // of the cold rule, and dispatches in it for a full share and a rate of 1

	engines []*engine
	pools   [2]pool // readers; writers and mixed
	stages  [3]stage
	read    float64 // mean tokens of a read
	tenants []tenant
}

// New makes a router from its settings.
func New(s Settings, do Actions) (*Router, error) {
	if len(s.Workloads) == 0 || len(s.Roles) == 0 {
		return nil, errors.New("settings: no workloads, or no roles of the machine kinds")
	}
	guess := stage{pace: paceGuess, late: lateGuess}
	r := &Router{do: do, rng: s.Seed&math.MaxUint32 | 1<<32, others: math.Max(0, float64(s.Routers-1)),
		works: s.Workloads, roles: s.Roles, memory: s.Memory, zone: s.Zone, tick: s.Tick,
		most: cmp.Or(s.MaxDispatches, dispatches), back: math.Min(s.MaxComeBack, comeBack),
		over: s.OverShare, reads: s.WritersRead, places: s.Places, copies: s.SecondCopies,
		cancels: s.Cancels, probes: s.Probes && s.ReportByProbe, far: closeness(s.FarPrice),
		farZone: closeTokens * s.CrossPrice, away: closeness(2 * s.CrossPrice), warm: s.Warm, share: s.ColdShare,
		budget: s.ColdMultiple * s.ColdWindow, window: s.ColdWindow, read: localMost,
		stages: [3]stage{guess, guess, guess}}
	for _, w := range s.Workloads {
		r.greatest = math.Max(r.greatest, w.Value)
	}
	for i, name := range [...]string{"queue", "util", "x0", "x1"} {
		r.columns[i] = slices.Index(s.Columns, name)
	}
	for _, t := range s.Tenants {
		rate := t.Rate / (r.others + 1)
		r.tenants = append(r.tenants, tenant{rate: rate, bucket: rate * shareBurst})
	}
	if s.ListAsked {
		r.do.Watch()
	}
	return r, nil
}

// At sets the time of the calls that follow, in seconds from the instance's start.
func (r *Router) At(now float64) { r.now = now }

// chance is a multiply-with-carry generator; it returns a number from 0 up to 1.
func (r *Router) chance() float64 {
	r.rng = (r.rng&math.MaxUint32)*4294957665 + r.rng>>32
	return float64(uint32(r.rng)) / (1 << 32)
}

// Due is called for WakeRouter: it asks for the list again after a failure.
func (r *Router) Due() { r.do.Watch() }

// Listed takes news of the engines. A new start time empties what the engine was held to keep.
func (r *Router) Listed(kind List, facts []Fact) {
	if kind == ListFailed {
		r.do.WakeRouter(watchAgain * (0.5 + r.chance())) // only those who ask hear of it
		return
	}
	if kind != ListDelta {
		for _, e := range r.engines {
			e.phase = Gone
		}
	}
	for _, f := range facts {
		for len(r.engines) <= f.Engine {
			r.engines = append(r.engines, &engine{id: len(r.engines), reportAt: math.Inf(-1), pool: &r.pools[1]})
		}
		e := r.engines[f.Engine]
		if e.kept == nil || f.Started > e.started {
			e.kept, e.fails, e.slow, e.coldSent, e.heard = map[uint64]claim{}, 0, 0, 0, 0
			e.reportAt, e.coldAt = math.Inf(-1), r.now
		}
		e.zone, e.cell, e.phase, e.started = f.Zone, f.Cell, f.Phase, f.Started
		if e.role, e.memory = Mixed, memoryGuess; f.Kind < len(r.roles) {
			e.role = r.roles[f.Kind]
		}
		if e.role == Reader {
			e.pool = &r.pools[0]
		}
		if f.Kind < len(r.memory) && r.memory[f.Kind] > 0 {
			e.memory = r.memory[f.Kind]
		}
	}
	r.pools[0].size, r.pools[1].size = 0, 0
	for _, e := range r.engines {
		if e.phase == Ready {
			e.pool.size++
		}
	}
}

// Probed takes what a probe found. A failed probe counts as a failure.
func (r *Router) Probed(id int, o Outcome, report []float64) {
	if id >= len(r.engines) {
		return
	}
	e := r.engines[id]
	e.probing = false
	if r.reported(e, report); o != Finished && o != Full {
		r.judge(e, 1)
	}
}

// reported books a load report in tokens: what waits to be read and what is held.
func (r *Router) reported(e *engine, report []float64) {
	if len(report) == 0 || e.memory == 0 {
		return
	}
	value := [4]float64{} // queue, util, x0, x1
	for i, at := range r.columns {
		if value[i] = math.NaN(); at >= 0 && at < len(report) {
			value[i] = math.Max(0, report[at])
		}
	}
	work, held := value[3]*1000, value[2]
	if math.IsNaN(work) {
		work = value[0] * r.read
	}
	if e.role != Reader && value[1] > held || math.IsNaN(held) {
		held = value[1]
	}
	e.reportWork, e.reportHeld = work, math.Min(held, 1)*e.memory
	e.workThen, e.heldThen, e.reportAt = e.work, e.held, r.now
}

// all is what all routers together have on an engine: the others are held to do what this router does, and an
// engine not yet heard from counts as its pool's average. A report is blended in by its age.
func (r *Router) all(e *engine, own, poolSum, report, then float64) float64 {
	guess := own
	if e.heard == 0 {
		guess = math.Max(own, poolSum/math.Max(1, e.pool.size))
	}
	guess *= 1 + r.others
	trust := math.Exp((e.reportAt - r.now) / reportFades)
	if math.IsNaN(report) || trust == 0 {
		return guess
	}
	return trust*math.Max(own, report+(own-then)*(1+r.others)) + (1-trust)*guess
}

// held is the memory that all routers' completions hold on an engine.
func (r *Router) held(e *engine) float64 {
	return r.all(e, e.held, e.pool.held, e.reportHeld, e.heldThen)
}

// cost is the expected cost of sending so many uncached tokens to an engine, in tokens: what is to be read,
// there and before it, and how full the engine is.
func (r *Router) cost(e *engine, uncached float64) float64 {
	full := math.Min(1, r.held(e)/e.memory)
	work := r.all(e, e.work, e.pool.work, e.reportWork, e.workThen)
	return uncached + work + overhead + crowdTokens*full/(crowdRoom-full)
}

// judge books an outcome, 1 for a failure, in the engine's health. It guards against engines that fail fast,
// are cut off or silent, and should catch whatever else makes dispatches to one engine fail. It harms when
// failures come from the completions: then all look ill, which costs the preference among them.
func (r *Router) judge(e *engine, failed float64) {
	if e.fails = r.fails(e); failed == 0 {
		e.heard = r.now
	}
	e.fails += failGain * (failed - e.fails)
	e.failsAt = r.now
	if isIll := e.fails > ill; isIll != e.loggedIll {
		e.loggedIll = isIll
		r.do.Log(fmt.Sprintf("engine %d ill %v: failures %.2f", e.id, isIll, e.fails))
	}
}

func (r *Router) fails(e *engine) float64 { return e.fails * math.Exp((e.failsAt-r.now)/failFades) }

// burden is the cost with the engine's health: slowness against its peers stretches it, failures make it be
// paid again. Being a price and no gate, it needs no cap on how many are shunned: all ill are all equal.
func (r *Router) burden(e *engine, uncached float64) float64 {
	slow := math.Max(0, e.slow*math.Exp((e.slowAt-r.now)/slowFades))
	failing := math.Min(failMost, r.fails(e))
	return (r.cost(e, uncached)*math.Exp(slow) + failing*failTokens) / (1 - failing)
}

// keeps is how many of the prompt's tokens an engine is held to keep. A claim ages by time and by what has
// been read since, which pushes older text out of the memory that is left.
func (r *Router) keeps(e *engine, p *Prompt) float64 {
	most, room := 0.0, math.Max(roomLeast*e.memory, e.memory-r.held(e))
	for i, key := range [...]uint64{p.Session, p.Shared} {
		c, found := e.kept[key]
		if key == 0 || !found || r.now-c.at > keepsFor || (e.written-c.mark)*(r.others+1) > room {
			continue
		}
		if i == 1 {
			c.tokens = math.Min(c.tokens, p.SharedLen)
		}
		most = math.Max(most, math.Min(c.tokens, p.Len))
	}
	return most
}

// learn books that an engine has the prompt now. found is what it turned out to have kept, below 0 if not
// told: less than half of a claim, and its other claims go too. That guards against emptied caches and should
// catch any wrong table; it harms when one text alone was pushed out.
func (r *Router) learn(e *engine, p *Prompt, claimed, found float64) {
	if found >= 0 && claimed >= proofLeast && found < claimed/2 || len(e.kept) > claimsMost {
		r.do.Log(fmt.Sprintf("engine %d: drops %d claims, %.0f of %.0f found", e.id, len(e.kept), found, claimed))
		e.kept = map[uint64]claim{}
	}
	e.written += p.Len - math.Max(found, 0)
	e.kept[p.Session] = claim{p.Len, r.now, e.written}
	e.kept[p.Shared] = claim{p.SharedLen, r.now, e.written}
}

// cold is the cold budget: in each window a started engine takes this router's part of the multiple times its
// share of the typical rate, half of it at once. It guards the rule on cold engines.
func (r *Router) cold(e *engine) bool {
	part := math.Max(0, r.now-e.started) / r.warm
	if !(part < 1) || r.window <= 0 {
		return false
	}
	budget := r.budget * (r.share + (1-r.share)*part) * e.pool.rate.now(r.now) / math.Max(1, e.pool.size)
	e.coldSent = math.Max(0, e.coldSent-(r.now-e.coldAt)/r.window*math.Max(budget, 0.5))
	e.coldAt = r.now
	return e.coldSent > 0 && e.coldSent+1 > budget/2
}

// choose picks the engine with the least burden for a stage: a reader or not. cost tells what an engine would
// have to read and how far away it is, in tokens; what has failed this completion comes last.
func (c *Completion) choose(reads bool, cost func(*engine) (uncached, far float64)) *engine {
	var best *engine
	r, least := c.r, math.Inf(1)
	for _, e := range r.engines {
		if e.phase != Ready || (e.role == Reader) != reads || !c.maySend(e) || r.cold(e) {
			continue
		}
		uncached, far := cost(e)
		burden := (r.burden(e, uncached) + far) * (1 + tieBreak*r.chance())
		if c.tried(e) {
			burden += triedTokens
		}
		if burden < least {
			best, least = e, burden
		}
	}
	return best
}

// closeness turns a price into the tokens by which scores may differ and still count as close.
func closeness(price float64) float64 { return math.Max(closeLeast, closeTokens*price) }

// dispatch is one dispatch of a completion.
type dispatch struct {
	e       *engine
	at      float64
	tokens  float64 // uncached tokens that are to be read there
	held    float64 // tokens of its memory
	claimed float64 // tokens it was held to keep
	cost    float64 // expected, in tokens
	late    float64 // when it counts as late
	stage   int     // 0 a read, 1 a write, 2 a long read at a writer
	own     bool    // reads by itself, at a reader or not
	out     bool
	overdue bool
	ran     bool // may have run
}

// Completion is the handle of a completion that was taken.
type Completion struct {
	r        *Router
	id       uint64
	p        Prompt
	w        *Workload
	rank     float64 // value for its work, against the greatest
	answer   float64 // expected tokens
	deadline float64
	wakeAt   float64
	writer   *engine // where the answer is to be written
	planned  *engine // where that is booked while the prompt is read
	state    *engine // where the read state waits
	holds    bool    // a state or a place may be held
	sent     []dispatch
	out      int

	began, answered bool
}

// Take takes a completion and decides its ordinary path.
func (r *Router) Take(id uint64, p Prompt) *Completion {
	if p.Workload < 0 || p.Workload >= len(r.works) {
		p.Workload = 0
	}
	c := &Completion{r: r, id: id, p: p, w: &r.works[p.Workload], deadline: r.now + p.Left,
		answer: p.MaxAnswer * answerGuess, wakeAt: math.Inf(1), rank: r.rankOf(&p)}
	if p.AnswerHint > 0 && c.w.TokenTarget > 0 {
		c.answer = math.Min(p.MaxAnswer, p.AnswerHint/c.w.TokenTarget)
	}
	c.advance()
	return c
}

// rankOf is a completion's value for its work against the greatest, less beyond its tenant's share.
func (r *Router) rankOf(p *Prompt) float64 {
	rank := r.works[p.Workload].Value / math.Max(r.greatest, 1e-9)
	if p.Tenant < len(r.tenants) {
		t := &r.tenants[p.Tenant]
		t.bucket = math.Min(t.rate*shareBurst, t.bucket+(r.now-t.at)*t.rate)
		t.at = r.now
		if t.bucket < 1 {
			return rank * r.over
		}
		t.bucket--
	}
	return rank
}

// tried tells whether a dispatch to the engine has failed.
func (c *Completion) tried(e *engine) bool {
	return c.state != e && slices.ContainsFunc(c.sent, func(d dispatch) bool {
		return d.e == e && (!d.out || d.overdue)
	})
}

// maySend keeps the rule that no effect happens twice, readers included: nothing may have run or be out, or
// the engine drops repeats of what may have run and still remembers it.
func (c *Completion) maySend(e *engine) bool {
	return c.w.Effect == Idempotent || c.every(func(d dispatch) bool {
		same := c.w.Group == GroupAll || c.w.Group == GroupZone && d.e.zone == e.zone ||
			c.w.Group == GroupCell && d.e.cell == e.cell
		return c.w.Effect == Tokened && same && c.r.now+2*c.r.tick < d.at+c.w.Window
	})
}

// harmless tells whether the client may be told that trying again does no harm.
func (c *Completion) harmless() bool {
	return c.w.Effect == Idempotent || c.w.Effect == Tokened && c.w.Group == GroupAll ||
		c.every(func(dispatch) bool { return false })
}

// every tells whether all dispatches that are out or may have run are of a kind.
func (c *Completion) every(kind func(dispatch) bool) bool {
	return !slices.ContainsFunc(c.sent, func(d dispatch) bool {
		return (d.out || d.stage > 0 && d.ran) && !kind(d)
	})
}

// advance makes the next dispatch: a state that waits goes to a writer; else, on the ordinary path, the
// writer is picked first, a small remainder is read there, and a reader reads a larger one.
func (c *Completion) advance() {
	r := c.r
	if c.answered || c.began || c.out > 0 && !(r.copies && c.w.Effect == Idempotent) {
		return
	}
	if c.state != nil {
		c.write()
		return
	}
	c.writer = c.choose(false, func(e *engine) (float64, float64) {
		return math.Min(remoteMost, c.lacks(e)), distance(e.zone == r.zone, r.away)
	})
	if c.writer == nil || c.crowded() {
		c.stuck()
		return
	}
	mayRead := r.reads || c.writer.role == Mixed
	if mayRead && c.lacks(c.writer) <= localMost {
		c.send(c.writer, c.lacks(c.writer))
		return
	}
	reader := c.choose(true, func(e *engine) (float64, float64) {
		return c.lacks(e), distance(e.cell == c.writer.cell, r.far) + distance(e.zone == c.writer.zone, r.farZone)
	})
	if local := c.aroundJam(reader, mayRead); local != nil {
		reader = local
	}
	target := c.w.Target + c.w.TargetPerToken*c.p.Len
	if reader == nil || len(c.sent) == 0 && c.reading(reader) > readMost*c.eager()*target {
		c.stuck()
		return
	}
	if c.send(reader, c.lacks(reader)) && reader.role == Reader {
		c.plan(c.writer)
		if r.places && c.out == 1 {
			c.holds = true
			r.do.HoldPlace(c.id, c.writer.id)
		}
	}
}

func distance(near bool, tokens float64) float64 {
	if near {
		return 0
	}
	return tokens
}

// lacks is the remainder of the prompt that an engine is not held to keep.
func (c *Completion) lacks(e *engine) float64 { return c.p.Len - c.r.keeps(e, &c.p) }

// reading is the expected time of a read at a reader, or at a writer.
func (c *Completion) reading(e *engine) float64 {
	at := &c.r.stages[2]
	if e.role == Reader {
		at = &c.r.stages[0]
	}
	return c.r.cost(e, c.lacks(e)) * at.pace
}

// eager is the part of every bound that a completion of this value may use.
func (c *Completion) eager() float64 { return eagerLeast + (1-eagerLeast)*c.rank }

// crowded bounds what is in flight by memory: a new completion is rate-limited when its writer has no room
// and the writers together are nearly full. It guards against overload, lost writers and long prompts; it
// harms when reports show memory held that isn't.
func (c *Completion) crowded() bool {
	r, held, memory := c.r, 0.0, 1.0
	for _, e := range r.engines {
		if e.phase == Ready && e.role != Reader {
			held += math.Min(e.memory, r.held(e))
			memory += e.memory
		}
	}
	return len(c.sent) == 0 && held > fullPool*c.eager()*memory &&
		r.held(c.writer)+c.p.Len > fullMost*c.writer.memory
}

// aroundJam is the exception for jammed readers: when there is none, or the best is expected to use up much
// of the latency target, a mixed engine or a writer with room that answers sooner reads the prompt itself. It
// guards against readers too few, slow or lost; it harms the streams of the engine that reads.
func (c *Completion) aroundJam(reader *engine, mayRead bool) *engine {
	r := c.r
	if reader == nil && mayRead {
		return c.writer
	}
	if reader == nil || c.reading(reader) < jam*c.w.Target {
		return nil
	}
	best := c.choose(false, func(e *engine) (float64, float64) {
		if e.role != Mixed && (!r.reads || r.held(e) > roomy*e.memory) {
			return math.Inf(1), 0
		}
		return c.lacks(e), 0
	})
	if best == nil || c.reading(best) > c.reading(reader) {
		return nil
	}
	return best
}

// write sends a completion whose state waits to its writer, or to a better one if that has gone ill.
func (c *Completion) write() {
	r, w := c.r, c.writer
	c.plan(nil)
	if w == nil || w.phase != Ready || r.fails(w) > ill || c.tried(w) || !c.maySend(w) || r.cold(w) {
		w = c.choose(false, func(e *engine) (float64, float64) {
			return 0, distance(e.cell == c.state.cell, r.far)
		})
	}
	if c.writer = w; w == nil {
		c.stuck()
		return
	}
	c.send(w, 0)
}

// send makes a dispatch if one is left and the time left exceeds what it will take; else it gives up.
func (c *Completion) send(e *engine, tokens float64) bool {
	r := c.r
	d := dispatch{e: e, at: r.now, tokens: tokens, claimed: c.p.Len - tokens, cost: r.cost(e, tokens),
		out: true, held: c.p.Len, own: c.state == nil}
	if c.state != nil {
		d.claimed = r.keeps(e, &c.p)
	}
	if e.role != Reader {
		d.stage, d.held = 1+int(min(tokens/localMost, 1)), c.p.Len+c.answer/2
	}
	g := &r.stages[d.stage]
	expected := d.cost * g.pace
	if r.now+expected > c.deadline || len(c.sent) >= r.most {
		c.stuck()
		return false
	}
	late, timeout := math.Max(lateFloor, expected*g.late), 0.0
	if d.late = r.now + late; d.stage == 0 {
		timeout = math.Min(late*cutOff, c.deadline-r.now)
	}
	e.coldSent++
	c.sent = append(c.sent, d)
	c.out++
	r.carry(e, d.tokens, d.held)
	r.do.Dispatch(c.id, e.id, timeout)
	if r.probes && d.stage > 0 && !e.probing && r.now-e.reportAt > probeAge {
		e.probing = true
		r.do.Probe(e.id)
	}
	c.wake()
	return true
}

// plan books the memory that a completion will take at its writer while it is still being read, so that those
// taken meanwhile see it; nil takes the booking off.
func (c *Completion) plan(e *engine) {
	if c.planned != nil {
		c.r.carry(c.planned, 0, -c.p.Len-c.answer/2)
	}
	if c.planned = e; e != nil {
		c.r.carry(e, 0, c.p.Len+c.answer/2)
	}
}

// carry books work and memory on an engine, or takes it off.
func (r *Router) carry(e *engine, work, held float64) {
	p := e.pool
	e.work, p.work = e.work+work, p.work+work
	e.held, p.held = e.held+held, p.held+held
}

// wake sets the one timer: the next dispatch that gets late, else the client timeout.
func (c *Completion) wake() {
	at := c.deadline - 2*c.r.tick
	for i := range c.sent {
		if d := &c.sent[i]; d.out && !d.overdue {
			at = math.Min(at, d.late)
		}
	}
	if at < c.wakeAt || c.wakeAt <= c.r.now {
		c.wakeAt = at
		c.r.do.Wake(c.id, math.Max(c.r.tick, at-c.r.now))
	}
}

// Due is called for Wake. What takes too long at an ill engine is tried elsewhere: a second read is sent, and
// a completion that waits at a writer is taken back. That guards against engines silent, cut off or stuck.
func (c *Completion) Due() {
	r := c.r
	if c.answered || c.began {
		return
	}
	if r.now >= c.deadline-3*r.tick {
		c.giveUp()
		return
	}
	for i := range c.sent {
		d := &c.sent[i]
		if !d.out || d.overdue || d.late > r.now {
			continue
		}
		d.overdue = true
		r.measure(d, r.now-d.at)
		if d.e.heard < d.at { // silent since, not only slow
			r.judge(d.e, 1)
		}
		switch spare := len(c.sent) < r.most-1 && c.out == 1 && r.fails(d.e) > ill; {
		case spare && d.stage == 0 && r.copies && c.w.Effect == Idempotent:
			c.advance()
		case spare && r.cancels && (d.stage == 0 || c.w.Effect == Idempotent):
			r.do.Cancel(c.id, i) // its end sends the completion on
		}
	}
	if !c.answered {
		c.wake()
	}
}

// measure books a dispatch's time in its pool's pace and late figure and in its engine's slowness.
func (r *Router) measure(d *dispatch, took float64) {
	p := &r.stages[d.stage]
	ratio := took / math.Max(1e-6, d.cost*p.pace)
	if ratio > p.late {
		p.late *= math.Exp(lateGain * (1 - lateShare))
	} else {
		p.late = math.Max(lateLeast, p.late*math.Exp(-lateGain*lateShare))
	}
	p.paces++
	gain := math.Max(paceLeast, 1/p.paces)
	p.pace *= 1 + gain*(math.Min(ratio, ratioMost)-1)
	d.e.slow *= math.Exp((d.e.slowAt - r.now) / slowFades)
	d.e.slow += slowGain * (math.Log(math.Max(ratio, ratioLeast)) - d.e.slow)
	d.e.slowAt = r.now
}

// Placed tells whether the place that was asked for is held; if not, the writer is picked anew on the read.
func (c *Completion) Placed(_ int, held bool) {
	if !held {
		c.writer = nil
	}
}

// Started tells that the answer has begun.
func (c *Completion) Started(n int, took float64) {
	if n < 0 || n >= len(c.sent) || c.began {
		return
	}
	c.began = true
	c.plan(nil)
	d := &c.sent[n]
	if !d.overdue {
		c.r.measure(d, took)
	}
	c.r.judge(d.e, 0)
	d.e.pool.rate.add(c.r.now, 1)
	c.r.carry(d.e, -d.tokens, 0)
	d.tokens = 0
	if d.own { // what was read here is kept at once, a fetched state only once its answer is written
		c.r.learn(d.e, &c.p, 0, -1)
	}
	c.state = nil
	c.cancel(n)
}

// Ended tells how a dispatch ended, whether the completion has its answer, and the tokens found kept.
func (c *Completion) Ended(n int, o Outcome, took float64, done bool, found float64, report []float64) {
	if n < 0 || n >= len(c.sent) || !c.sent[n].out {
		return
	}
	r, d := c.r, &c.sent[n]
	r.carry(d.e, -d.tokens, -d.held)
	d.out = false
	c.out--
	r.reported(d.e, report)
	d.ran = o != Read && o != Full && o != Unreachable && o != Moot
	switch {
	case o == Read:
		if !d.overdue {
			r.measure(d, took)
		}
		r.read += paceLeast * (c.p.Len - found - r.read)
		r.learn(d.e, &c.p, d.claimed, found)
		c.state, c.holds = d.e, true
		d.e.pool.rate.add(r.now, 1)
	case o == Finished && (!d.own || found < d.claimed/2):
		r.learn(d.e, &c.p, d.claimed, found)
	case o == Full && found == 1:
		c.state = nil // there was none to fetch
	}
	switch {
	case o == Read || o == Finished:
		r.judge(d.e, 0)
	case o == Cancelled || o == Moot || o == Full && found == 1 || d.overdue: // nothing new of the engine
	default:
		r.judge(d.e, 1)
	}
	if done || c.began && c.out == 0 {
		c.answered = true
		c.plan(nil)
	}
	if c.out == 0 || o == Read && r.copies && c.every(func(d dispatch) bool { return !d.out || d.stage == 0 }) {
		c.advance()
	}
	c.letGo()
}

// letGo releases what is held as soon as no dispatch is out that could take it.
func (c *Completion) letGo() {
	if c.out == 0 && c.holds {
		c.r.do.Release(c.id)
		c.state, c.holds = nil, false
	}
}

// stuck gives up when there is nothing more to try and nothing out.
func (c *Completion) stuck() {
	if c.out == 0 {
		c.giveUp()
	}
}

// giveUp gives the final answer at once: rate-limited if trying again is harmless, else aborted.
func (c *Completion) giveUp() {
	r := c.r
	if c.harmless() {
		r.do.RateLimit(c.id, r.back*(0.5+r.chance()/2))
	} else {
		r.do.Abort(c.id)
	}
	c.Left()
}

// Left tells that the client has gone, or has its final answer.
func (c *Completion) Left() {
	c.answered = true
	c.plan(nil)
	c.cancel(-1)
	c.letGo()
}

// cancel takes back all dispatches but one.
func (c *Completion) cancel(but int) {
	for i := range c.sent {
		if i != but && c.sent[i].out && c.r.cancels {
			c.r.do.Cancel(c.id, i)
		}
	}
}

// Over tells that nothing more can happen to the completion.
func (c *Completion) Over() bool { return c.answered && c.out == 0 }
