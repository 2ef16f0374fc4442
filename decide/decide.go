// Package decide holds every decision of a router: where a completion's prompt is read and where its answer is
// written, and what is done when that goes wrong. Its interface (settings, facts, outcomes, actions) is in api.go.
//
// A caller makes a Router with New, sets the time with At before each call, hands it lists (Listed), probe
// results (Probed) and completions (Take). Take returns a handle; all that happens to the completion later is a
// call on that handle (Started, Placed, Ended, Left, Due) until Over. The module acts through Actions alone.
package decide

import (
	"errors"
	"fmt"
	"math"
)

const (
	localMost   = 250.0  // tokens; an uncached remainder up to this is read at the writer (the design page's start)
	jam         = 0.5    // latency targets; readers expected to take longer are jammed
	roomy       = 0.5    // share of memory; a writer with less held may read long prompts when readers are jammed
	readHarm    = 3.0    // times; what a long read among streams costs against one at a reader
	remoteMost  = 1000.0 // tokens; no remainder costs a writer more, since a reader reads it
	overhead    = 400.0  // tokens; what a dispatch costs besides reading: a hop, a step, a fetch
	crowdTokens = 1200.0 // tokens; cost of an engine with half its memory held, about one short read
	crowdRoom   = 1.05   // memory shares; keeps the cost of a full engine finite
	closeTokens = 200e3  // tokens a unit of price; scores this much apart times the price are close
	closeLeast  = 300.0  // tokens; and so much is close where nearness has no price
	echo        = 0.5    // share; how far the other routers' work on an engine follows this router's own
	reportFades = 1.0    // seconds; a report's weight falls to 1/e in this time, a few refreshes
	memoryGuess = 150e3  // tokens; for machine kinds whose memory is not told
	keepsFor    = 120.0  // seconds; a claim on kept text this old is dropped, sessions have ended by then
	claimsMost  = 8192   // entries; the kept table of an engine is swept past this
	roomLeast   = 0.1    // share of memory; kept text has so much even in an engine that looks full
	proofLeast  = 600.0  // tokens; a claim smaller than this proves nothing about the engine's others
	failGain    = 0.3    // weight of one outcome in an engine's failures: three in a row make it ill
	failFades   = 4.0    // seconds; failures are forgotten to 1/e in this time, which is the trial traffic back
	failTokens  = 2500.0 // tokens; what a failed dispatch costs, about its time and the wait of the next
	failMost    = 0.95   // share; an engine is never worse than this, so that all ill means all equal
	ill         = 0.5    // share of failures above which an engine is logged and left by waiting states
	slowGain    = 0.15   // weight of one measured time in an engine's slowness
	slowFades   = 8.0    // seconds; slowness is forgotten to 1/e in this time
	paceLeast   = 0.02   // weight of one time in a pool's pace, about the last fifty
	paceGuess   = 1e-4   // seconds a token until the first time is measured
	lateGuess   = 4.0    // times the expected time that counts as late until it is measured
	lateShare   = 0.03   // share of dispatches that are to be late
	lateGain    = 0.2    // log steps by which the late figure moves
	lateFloor   = 0.25   // seconds; nothing is late before, a lost packet and a full step take as long
	cutOff      = 3.0    // times late; a read that is out for longer is given up
	rateTime    = 4.0    // seconds over which rates are measured
	waitLeast   = 5.0    // completions an engine that may wait in any case, for routers just started
	waitTarget  = 1.0    // latency targets that a completion may wait: bound = rate x this x target
	fullMost    = 0.95   // share of a writer's memory; a completion that no writer has room for is rate-limited
	fullPool    = 0.85   // share of all writers' memory; and only when they are this full together
	readMost    = 0.8    // latency targets; a completion that readers are expected to hold longer is rate-limited
	shareBurst  = 2.0    // seconds of its share that a tenant may send at once
	comeBack    = 0.5    // seconds; the first come-back time, about the wait that a full bound holds
	probeAge    = 1.0    // seconds; a writer that is picked is probed when its report is older
	watchAgain  = 1.0    // seconds between tries to get the list where it must be asked
	answerGuess = 0.4    // share of the most it may produce that an answer without a hint is taken for
)

// claim is text that an engine is held to keep.
type claim struct {
	tokens, at, mark float64 // mark: what the engine had read when the claim was made
}

// engine is the one record of an engine.
type engine struct {
	id, zone, cell int
	known          bool
	phase          Phase
	role           Role
	memory         float64
	started        float64
	work, held     float64 // tokens this router has out there: to be read, in memory
	written        float64 // tokens it came to keep for this router, in all
	kept           map[uint64]claim
	fails, failsAt float64
	slow, slowAt   float64 // log of its time against its pool's
	coldSent       float64 // bucket of dispatches while it is cold
	coldAt         float64
	reportAt       float64 // what it reported last, and what this router had out there then
	reportWork     float64
	reportHeld     float64
	workThen       float64
	heldThen       float64
	probing        bool
	loggedIll      bool
}

// pool is what is measured for engines that read, or that write.
type pool struct {
	size       float64 // engines ready
	work, held float64 // tokens out, all engines
	pace       float64 // seconds a token of expected cost
	paces      float64 // how many were measured
	late       float64 // times the expected time that only lateShare take longer than
	rate       meter   // dispatches
	read       float64 // mean tokens of a read
}

// meter measures a rate a second.
type meter struct{ value, at float64 }

func (m *meter) now(now float64) float64 { return m.value * math.Exp((m.at-now)/rateTime) }

func (m *meter) add(now, n float64) { m.value, m.at = m.now(now)+n/rateTime, now }

type tenant struct{ rate, bucket, at float64 }

// Router decides for one router.
type Router struct {
	do      Actions
	now     float64
	rng     uint64
	others  float64 // how many other routers there are
	set     Settings
	rank    []float64 // by workload: value against the greatest
	columns [5]int    // where a report has queue, inflight, util, x0, x1
	engines []*engine
	pools   [2]pool // readers; writers and mixed
	tenants []tenant
	waiting float64 // completions taken whose answer has not begun
	starts  meter
	watches bool
}

// New makes a router from its settings.
func New(s Settings, do Actions) (*Router, error) {
	if len(s.Workloads) == 0 || len(s.Roles) == 0 {
		return nil, errors.New("settings: no workloads, or no roles of the machine kinds")
	}
	r := &Router{do: do, set: s, rng: s.Seed&math.MaxUint32 | 1<<32, others: math.Max(0, float64(s.Routers-1))}
	most := 0.0
	for _, w := range s.Workloads {
		most = math.Max(most, w.Value)
	}
	for _, w := range s.Workloads {
		r.rank = append(r.rank, w.Value/math.Max(most, 1e-9))
	}
	for i, name := range [...]string{"queue", "inflight", "util", "x0", "x1"} {
		r.columns[i] = -1
		for j, column := range s.Columns {
			if column == name {
				r.columns[i] = j
			}
		}
	}
	for _, t := range s.Tenants {
		rate := t.Rate / (r.others + 1)
		r.tenants = append(r.tenants, tenant{rate: rate, bucket: rate * shareBurst})
	}
	for i := range r.pools {
		r.pools[i] = pool{pace: paceGuess, late: lateGuess, read: localMost / 2}
	}
	if s.MaxDispatches == 0 {
		r.set.MaxDispatches = 3
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
func (r *Router) Due() {
	r.watches = false
	r.do.Watch()
}

// Listed takes news of the engines. A new start time empties what the engine was held to keep.
func (r *Router) Listed(kind List, facts []Fact) {
	if kind == ListFailed {
		if r.set.ListAsked && !r.watches {
			r.watches = true
			r.do.WakeRouter(watchAgain * (0.5 + r.chance()))
		}
		return
	}
	if kind != ListDelta {
		for _, e := range r.engines {
			if e != nil {
				e.phase = Gone
			}
		}
	}
	for _, f := range facts {
		for len(r.engines) <= f.Engine {
			r.engines = append(r.engines, &engine{id: len(r.engines), reportAt: math.Inf(-1)})
		}
		e := r.engines[f.Engine]
		if !e.known || f.Started > e.started {
			e.kept, e.fails, e.slow, e.coldSent = map[uint64]claim{}, 0, 0, 0
			e.reportAt, e.coldAt = math.Inf(-1), r.now
		}
		e.known, e.zone, e.cell, e.phase, e.started = true, f.Zone, f.Cell, f.Phase, f.Started
		e.role, e.memory = Mixed, memoryGuess
		if f.Kind < len(r.set.Roles) {
			e.role = r.set.Roles[f.Kind]
		}
		if f.Kind < len(r.set.Memory) && r.set.Memory[f.Kind] > 0 {
			e.memory = r.set.Memory[f.Kind]
		}
	}
	for i := range r.pools {
		r.pools[i].size = 0
	}
	for _, e := range r.engines {
		if e.phase == Ready {
			r.pool(e).size++
		}
	}
}

func (r *Router) pool(e *engine) *pool {
	if e.role == Reader {
		return &r.pools[0]
	}
	return &r.pools[1]
}

// Probed takes what a probe found. A failed probe counts as a failure.
func (r *Router) Probed(id int, o Outcome, _ float64, report []float64) {
	if id >= len(r.engines) {
		return
	}
	e := r.engines[id]
	e.probing = false
	if o != Finished && o != Full && o != Moot && o != Cancelled {
		r.judge(e, 1)
	}
	r.reported(e, report)
}

// reported books a load report in tokens: what waits to be read and what is held.
func (r *Router) reported(e *engine, report []float64) {
	value := func(i int) float64 {
		if at := r.columns[i]; at >= 0 && at < len(report) && report[at] >= 0 {
			return float64(report[at])
		}
		return math.NaN()
	}
	if len(report) == 0 || e.memory == 0 {
		return
	}
	queue, util, held, waits := value(0), value(2), value(3), value(4)
	work := waits * 1000
	if math.IsNaN(work) {
		work = queue * r.pools[0].read
	}
	if e.role != Reader && util > held || math.IsNaN(held) {
		held = util
	}
	e.reportWork, e.reportHeld = work, math.Min(held, 1)*e.memory
	e.workThen, e.heldThen, e.reportAt = e.work, e.held, r.now
}

// all is what all routers together have on an engine: own work and the others' guessed from it and the pool's
// mean, blended with the report by its age.
func (r *Router) all(own, poolSum, size, report, then, age float64) float64 {
	guess := own + r.others*(echo*own+(1-echo)*poolSum/math.Max(1, size))
	if math.IsNaN(report) || math.IsInf(age, 1) {
		return guess
	}
	trust := math.Exp(-age / reportFades)
	return trust*math.Max(own, report+(own-then)*(1+echo*r.others)) + (1-trust)*guess
}

// cost is the expected cost of sending so many uncached tokens to an engine, in tokens: what is to be read,
// there and before it, and how full the engine is.
func (r *Router) cost(e *engine, uncached float64) float64 {
	p := r.pool(e)
	work := r.all(e.work, p.work, p.size, e.reportWork, e.workThen, r.now-e.reportAt)
	full := math.Min(1, r.held(e)/e.memory)
	return uncached + work + overhead + crowdTokens*full/(crowdRoom-full)
}

// held is the memory that all routers' completions hold on an engine.
func (r *Router) held(e *engine) float64 {
	p := r.pool(e)
	return r.all(e.held, p.held, p.size, e.reportHeld, e.heldThen, r.now-e.reportAt)
}

// judge books an outcome, 1 for a failure, in the engine's one health figure. It guards against engines that
// fail fast, are cut off or silent; it should catch whatever else makes dispatches to one engine fail. It harms
// when failures come from the completion and not the engine: then all engines look equally ill, which costs
// nothing but the preference among them.
func (r *Router) judge(e *engine, failed float64) {
	e.fails = r.fails(e)
	e.fails += failGain * (failed - e.fails)
	e.failsAt = r.now
	if isIll := e.fails > ill; isIll != e.loggedIll {
		e.loggedIll = isIll
		r.do.Log(fmt.Sprintf("engine %d ill %v: failures %.2f", e.id, isIll, e.fails))
	}
}

func (r *Router) fails(e *engine) float64 { return e.fails * math.Exp((e.failsAt-r.now)/failFades) }

// burden is the cost with the engine's health in it: slowness against its peers stretches it, failures make it
// be paid again. Being a price and no gate, it needs no cap on how many are shunned: when all are ill all are equal.
func (r *Router) burden(e *engine, uncached float64) float64 {
	slow := math.Max(0, e.slow*math.Exp((e.slowAt-r.now)/slowFades))
	failing := math.Min(failMost, r.fails(e))
	return (r.cost(e, uncached)*math.Exp(slow) + failing*failTokens) / (1 - failing)
}

// keeps is how many of the prompt's tokens an engine is held to keep. A claim ages by time and by what has been
// read since, which pushes older text out of the engine's memory.
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

// learn books that an engine has the prompt now. found is what it turned out to have kept, below 0 if not told:
// when that is less than half of a claim, the engine has lost text and its other claims go too. That guards
// against emptied caches; it should catch any wrong table; it harms when one text alone was pushed out.
func (r *Router) learn(e *engine, p *Prompt, claimed, found float64) {
	if found >= 0 && claimed >= proofLeast && found < claimed/2 {
		r.do.Log(fmt.Sprintf("engine %d lost kept text: %.0f of %.0f tokens found", e.id, found, claimed))
		e.kept = map[uint64]claim{}
	}
	e.written += p.Len - math.Max(found, 0)
	if len(e.kept) > claimsMost {
		for key, c := range e.kept { // deletes what keeps would not count; the order doesn't matter
			if r.now-c.at > keepsFor || (e.written-c.mark)*(r.others+1) > e.memory {
				delete(e.kept, key)
			}
		}
	}
	if e.kept != nil && p.Session != 0 {
		e.kept[p.Session] = claim{p.Len, r.now, e.written}
	}
	if e.kept != nil && p.Shared != 0 {
		e.kept[p.Shared] = claim{p.SharedLen, r.now, e.written}
	}
}

// cold is the cold budget: a started engine takes this router's part of the multiple times its share of the
// typical rate in a window, half of it at once. It guards the rule on cold engines.
func (r *Router) cold(e *engine) bool {
	age := r.now - e.started
	if age > r.set.Warm || r.set.ColdWindow <= 0 {
		return false
	}
	part := math.Max(0, age/r.set.Warm)
	share := r.set.ColdShare + (1-r.set.ColdShare)*part*part
	p := r.pool(e)
	rate := r.set.ColdMultiple * share * p.rate.now(r.now) / math.Max(1, p.size) / 2
	e.coldSent = math.Max(0, e.coldSent-(r.now-e.coldAt)*math.Max(rate, 0.5/r.set.ColdWindow))
	e.coldAt = r.now
	return e.coldSent > 0 && e.coldSent+1 > rate*r.set.ColdWindow
}

// choose picks the engine with the least burden for a stage; near adds to the burden of those further away.
func (r *Router) choose(c *Completion, reads bool, uncached func(*engine) float64, far func(*engine) float64) *engine {
	var best *engine
	least := math.Inf(1)
	for _, e := range r.engines {
		if e.phase != Ready || (e.role == Reader) != reads || !reads && !c.mayWrite(e) || r.cold(e) {
			continue
		}
		burden := (r.burden(e, uncached(e)) + far(e)) * (1 + 0.02*r.chance())
		if c.tried(e) {
			burden += 100 * failTokens
		}
		if burden < least {
			best, least = e, burden
		}
	}
	return best
}

func closeness(price float64) float64 { return math.Max(closeLeast, closeTokens*price) }

// dispatch is one dispatch of a completion.
type dispatch struct {
	e       *engine
	at      float64
	tokens  float64 // uncached tokens expected to be read there
	claimed float64
	cost    float64 // expected, in tokens
	late    float64 // when it counts as late
	reads   bool    // at a reader
	out     bool
	overdue bool
	ran     bool // may have run
}

// Completion is the handle of a completion that was taken.
type Completion struct {
	r         *Router
	id        uint64
	p         Prompt
	w         *Workload
	answer    float64 // expected tokens
	deadline  float64
	writer    *engine // where the answer is to be written
	state     *engine // where the read state waits
	sent      []dispatch
	out       int
	wakeAt    float64
	began     bool
	answered  bool
	waitsHere bool
	rank      float64 // value for its work, against the greatest
	holds     bool    // a state or a place may be held
	planned   *engine // the writer on which it is booked while its prompt is read
}

// Take takes a completion and decides its ordinary path.
func (r *Router) Take(id uint64, p Prompt) *Completion {
	if p.Workload < 0 || p.Workload >= len(r.set.Workloads) {
		p.Workload = 0
	}
	c := &Completion{r: r, id: id, p: p, w: &r.set.Workloads[p.Workload], deadline: r.now + p.Left,
		wakeAt: math.Inf(1)}
	c.answer = p.MaxAnswer * answerGuess
	if p.AnswerHint > 0 && c.w.TokenTarget > 0 {
		c.answer = math.Min(p.MaxAnswer, p.AnswerHint/c.w.TokenTarget)
	}
	c.waitsHere = true
	r.waiting++
	c.rank = r.rankOf(&p)
	if r.waiting > r.bound(c) {
		c.giveUp()
		return c
	}
	c.advance()
	return c
}

// bound is how many completions may wait for their first token: measured rate x time, with less room for those
// of less value. It guards against more work than the engines can do, whatever the cause: the queue stays as
// short as the latency target. It harms when a rate has been measured too low: waitLeast is the way back.
func (r *Router) bound(c *Completion) float64 {
	engines := r.pools[0].size + r.pools[1].size
	room := r.starts.now(r.now) * waitTarget * c.w.Target
	return math.Max(waitLeast*engines/(r.others+1), room) * (0.7 + 0.3*c.rank)
}

// rankOf is a completion's value for its work against the greatest; beyond its tenant's share it is worth less.
func (r *Router) rankOf(p *Prompt) float64 {
	rank := r.rank[p.Workload]
	if p.Tenant < len(r.tenants) {
		t := &r.tenants[p.Tenant]
		t.bucket = math.Min(t.rate*shareBurst, t.bucket+(r.now-t.at)*t.rate)
		t.at = r.now
		if t.bucket < 1 {
			return rank * r.set.OverShare
		}
		t.bucket--
	}
	return rank
}

// full is the share of the writers' memory that is held.
func (r *Router) full() float64 {
	held, memory := 0.0, 1.0
	for _, e := range r.engines {
		if e.phase == Ready && e.role != Reader {
			held += math.Min(e.memory, r.held(e))
			memory += e.memory
		}
	}
	return held / memory
}

// target is the latency target of the completion.
func (c *Completion) target() float64 { return c.w.Target + c.w.TargetPerToken*c.p.Len }

// tried tells whether a dispatch to the engine has failed.
func (c *Completion) tried(e *engine) bool {
	for i := range c.sent {
		if c.sent[i].e == e && (!c.sent[i].out || c.sent[i].overdue) && c.state != e {
			return true
		}
	}
	return false
}

// mayWrite keeps the rule that no effect happens twice, for a dispatch to a writer.
func (c *Completion) mayWrite(e *engine) bool {
	if c.w.Effect == Idempotent {
		return true
	}
	for i := range c.sent {
		d := &c.sent[i]
		if d.reads || !d.out && !d.ran {
			continue
		}
		same := c.w.Group == GroupAll || c.w.Group == GroupZone && d.e.zone == e.zone ||
			c.w.Group == GroupCell && d.e.cell == e.cell
		if c.w.Effect == NonIdempotent || !same || c.r.now+2*c.r.set.Tick > d.at+c.w.Window {
			return false
		}
	}
	return true
}

// harmless tells whether the client may be told that trying again does no harm.
func (c *Completion) harmless() bool {
	if c.w.Effect == Idempotent || c.w.Effect == Tokened && c.w.Group == GroupAll {
		return true
	}
	for i := range c.sent {
		if d := &c.sent[i]; !d.reads && (d.out || d.ran) {
			return false
		}
	}
	return true
}

// advance makes the next dispatch: to a writer if a state waits, else by the ordinary path.
func (c *Completion) advance() {
	r := c.r
	if c.answered || c.began || c.out > 0 && !r.set.SecondCopies {
		return
	}
	if len(c.sent) >= r.set.MaxDispatches {
		c.stuck()
		return
	}
	if c.state != nil {
		c.write()
		return
	}
	c.writer = r.choose(c, false, func(e *engine) float64 {
		return math.Min(remoteMost, c.p.Len-r.keeps(e, &c.p))
	}, func(e *engine) float64 {
		if e.zone == r.set.Zone {
			return 0
		}
		return closeness(2 * r.set.CrossPrice)
	})
	if c.writer == nil {
		c.stuck()
		return
	}
	if len(c.sent) == 0 && r.held(c.writer)+c.p.Len > fullMost*c.writer.memory && r.full() > fullPool*(0.7+0.3*c.rank) {
		c.stuck()
		return
	}
	mayRead := r.set.WritersRead || c.writer.role == Mixed
	remainder := c.p.Len - r.keeps(c.writer, &c.p)
	if mayRead && remainder <= localMost {
		c.send(c.writer, remainder)
		return
	}
	reader := r.choose(c, true, func(e *engine) float64 {
		return c.p.Len - r.keeps(e, &c.p)
	}, func(e *engine) float64 {
		if e.cell == c.writer.cell {
			return 0
		}
		if e.zone == c.writer.zone {
			return closeness(r.set.FarPrice)
		}
		return closeness(r.set.FarPrice + r.set.CrossPrice)
	})
	if reader == nil {
		if mayRead {
			c.send(c.writer, remainder)
		} else {
			c.stuck()
		}
		return
	}
	if local := c.aroundJam(reader); local != nil {
		c.writer = local
		c.send(local, c.p.Len-r.keeps(local, &c.p))
		return
	}
	remainder = c.p.Len - r.keeps(reader, &c.p)
	if len(c.sent) == 0 && r.cost(reader, remainder)*r.pools[0].pace > readMost*(0.7+0.3*c.rank)*c.target() {
		c.stuck()
		return
	}
	if !c.send(reader, remainder) {
		return
	}
	c.plan(c.writer)
	if r.set.Places && c.out == 1 {
		c.holds = true
		r.do.HoldPlace(c.id, c.writer.id)
	}
}

// aroundJam is the exception for jammed readers: when the best reader is expected to use up much of the latency
// target, a mixed engine that would begin the answer sooner reads the prompt itself. It guards against readers too
// few for the prompts, and should catch readers that are slow or lost; it harms the mixed engine's streams.
func (c *Completion) aroundJam(reader *engine) *engine {
	r := c.r
	away := r.cost(reader, c.p.Len-r.keeps(reader, &c.p)) * r.pools[0].pace
	if away < jam*c.w.Target {
		return nil
	}
	best := r.choose(c, false, func(e *engine) float64 {
		if e.role != Mixed && (!r.set.WritersRead || r.held(e) > roomy*e.memory) {
			return math.Inf(1)
		}
		return readHarm * (c.p.Len - r.keeps(e, &c.p))
	}, func(*engine) float64 { return 0 })
	if best == nil || r.cost(best, readHarm*(c.p.Len-r.keeps(best, &c.p)))*r.pools[1].pace > away {
		return nil
	}
	return best
}

// write sends a completion whose state waits to its writer, or to a better one if that has gone ill.
func (c *Completion) write() {
	r := c.r
	w := c.writer
	c.plan(nil)
	if w == nil || w.phase != Ready || r.fails(w) > ill || c.tried(w) || !c.mayWrite(w) || r.cold(w) {
		w = r.choose(c, false, func(*engine) float64 { return 0 }, func(e *engine) float64 {
			if e.cell == c.state.cell {
				return 0
			}
			return closeness(r.set.FarPrice)
		})
	}
	if w == nil {
		c.stuck()
		return
	}
	c.writer = w
	c.send(w, 0)
}

// send makes a dispatch if the time left exceeds the time that it is expected to take.
func (c *Completion) send(e *engine, tokens float64) bool {
	r := c.r
	p := r.pool(e)
	d := dispatch{e: e, at: r.now, tokens: tokens, claimed: c.p.Len - tokens, cost: r.cost(e, tokens),
		reads: e.role == Reader, out: true}
	if c.state != nil {
		d.claimed = r.keeps(e, &c.p)
	}
	expected := d.cost * p.pace
	if r.now+expected > c.deadline {
		c.stuck()
		return false
	}
	late := math.Max(lateFloor, expected*p.late)
	d.late = r.now + late
	timeout := 0.0
	if d.reads {
		timeout = math.Min(late*cutOff, c.deadline-r.now)
	}
	p.rate.add(r.now, 1)
	e.coldSent++
	c.sent = append(c.sent, d)
	c.out++
	r.carry(&d, c, 1)
	r.do.Dispatch(c.id, e.id, timeout)
	if r.set.Probes && r.set.ReportByProbe && !d.reads && !e.probing && r.now-e.reportAt > probeAge {
		e.probing = true
		r.do.Probe(e.id)
	}
	c.wake()
	return true
}

// plan books the memory that a completion will take at its writer while it is still being read, so that those
// taken meanwhile see it; nil takes the booking off.
func (c *Completion) plan(e *engine) {
	held := c.p.Len + c.answer/2
	if c.planned != nil {
		c.planned.held -= held
		c.r.pool(c.planned).held -= held
	}
	if c.planned = e; e != nil {
		e.held += held
		c.r.pool(e).held += held
	}
}

// carry books a dispatch's work on its engine, or takes it off.
func (r *Router) carry(d *dispatch, c *Completion, sign float64) {
	p := r.pool(d.e)
	held := c.p.Len
	if !d.reads {
		held += c.answer / 2
	}
	d.e.work += sign * d.tokens
	p.work += sign * d.tokens
	d.e.held += sign * held
	p.held += sign * held
}

// wake sets the one timer: the next dispatch that gets late, else the client timeout.
func (c *Completion) wake() {
	at := c.deadline - 2*c.r.set.Tick
	for i := range c.sent {
		if d := &c.sent[i]; d.out && !d.overdue {
			at = math.Min(at, d.late)
		}
	}
	if at < c.wakeAt || c.wakeAt <= c.r.now {
		c.wakeAt = at
		c.r.do.Wake(c.id, math.Max(c.r.set.Tick, at-c.r.now))
	}
}

// Due is called for Wake.
func (c *Completion) Due() {
	r := c.r
	if c.answered || c.began {
		return
	}
	if r.now >= c.deadline-3*r.set.Tick {
		c.giveUp()
		return
	}
	for i := range c.sent {
		d := &c.sent[i]
		if !d.out || d.overdue || d.late > r.now {
			continue
		}
		d.overdue = true
		r.judge(d.e, 1)
		r.measure(d, r.now-d.at)
		c.late(i)
	}
	if !c.answered {
		c.wake()
	}
}

// late answers a dispatch that takes too long. It guards against silent, cut off and jammed engines: a second
// read elsewhere, or a waiting completion taken from its writer and sent to another.
func (c *Completion) late(i int) {
	r := c.r
	if len(c.sent) >= r.set.MaxDispatches-1 || c.out > 1 {
		return
	}
	if c.sent[i].reads {
		if r.set.SecondCopies {
			c.advance()
		}
		return
	}
	if r.set.Cancels && c.w.Effect == Idempotent && r.fails(c.sent[i].e) > ill {
		r.do.Cancel(c.id, i)
	}
}

// measure books a dispatch's time in its pool's pace and late figure and in its engine's slowness.
func (r *Router) measure(d *dispatch, took float64) {
	p := r.pool(d.e)
	ratio := took / math.Max(1e-6, d.cost*p.pace)
	if ratio > p.late {
		p.late *= math.Exp(lateGain * (1 - lateShare))
	} else {
		p.late = math.Max(1.5, p.late*math.Exp(-lateGain*lateShare))
	}
	p.paces++
	gain := math.Max(paceLeast, 1/p.paces)
	p.pace *= 1 + gain*(math.Min(ratio, 4)-1)
	d.e.slow *= math.Exp((d.e.slowAt - r.now) / slowFades)
	d.e.slow += slowGain * (math.Log(math.Max(ratio, 0.1)) - d.e.slow)
	d.e.slowAt = r.now
}

// Placed tells whether the place that was asked for is held; if not, the writer is picked anew after the read.
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
	c.settle()
	d := &c.sent[n]
	c.r.starts.add(c.r.now, 1)
	if !d.overdue {
		c.r.measure(d, took)
	}
	c.r.judge(d.e, 0)
	c.unread(d)
	c.r.learn(d.e, &c.p, 0, -1)
	c.state = nil
	c.cancel(n)
}

// unread takes a dispatch's reading off its engine once that is done.
func (c *Completion) unread(d *dispatch) {
	d.e.work -= d.tokens
	c.r.pool(d.e).work -= d.tokens
	d.tokens = 0
}

// settle counts the completion as no longer waiting.
func (c *Completion) settle() {
	c.plan(nil)
	if c.waitsHere {
		c.waitsHere = false
		c.r.waiting--
	}
}

// Ended tells how a dispatch ended; done, that the completion has its answer; found, the prompt's tokens found kept.
func (c *Completion) Ended(n int, o Outcome, took float64, done bool, found float64, report []float64) {
	if n < 0 || n >= len(c.sent) || !c.sent[n].out {
		return
	}
	r, d := c.r, &c.sent[n]
	tokens := d.tokens
	r.carry(d, c, -1)
	d.tokens, d.out = tokens, false
	c.out--
	r.reported(d.e, report)
	switch o {
	case Read:
		r.judge(d.e, 0)
		if !d.overdue {
			r.measure(d, took)
		}
		p := r.pool(d.e)
		p.read += paceLeast * (c.p.Len - found - p.read)
		r.learn(d.e, &c.p, d.claimed, found)
		c.state, c.holds = d.e, true
	case Finished:
		if d.ran = true; found < d.claimed/2 {
			r.learn(d.e, &c.p, d.claimed, found)
		}
		r.judge(d.e, 0)
	case Full:
		if found == 1 {
			c.state = nil
		} else {
			r.judge(d.e, 1)
		}
	case Errored, Broken, TimedOut:
		d.ran = true
		if !d.overdue {
			r.judge(d.e, 1)
		}
	case Unreachable:
		r.judge(d.e, 1)
	case Cancelled:
		d.ran = true
	}
	if done {
		c.answered = true
		c.settle()
	}
	switch {
	case c.answered || c.began:
	case o == Read:
		if c.out == 0 || r.set.SecondCopies && !c.writing() {
			c.advance()
		}
	case c.out == 0:
		c.advance()
	}
	c.letGo()
}

// writing tells whether a dispatch to a writer is out.
func (c *Completion) writing() bool {
	for i := range c.sent {
		if c.sent[i].out && !c.sent[i].reads {
			return true
		}
	}
	return false
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
	c.answered = true
	c.settle()
	if c.harmless() {
		back := 0.0
		if r.set.ComeBack {
			back = math.Min(r.set.MaxComeBack, comeBack*(0.5+r.chance()))
		}
		r.do.RateLimit(c.id, back)
	} else {
		r.do.Abort(c.id)
	}
	c.cancel(-1)
	c.letGo()
}

// Left tells that the client has gone.
func (c *Completion) Left() {
	if c.answered {
		return
	}
	c.answered = true
	c.settle()
	c.cancel(-1)
	c.letGo()
}

// cancel takes back all dispatches but one.
func (c *Completion) cancel(but int) {
	for i := range c.sent {
		if i != but && c.sent[i].out && c.r.set.Cancels {
			c.r.do.Cancel(c.id, i)
		}
	}
}

// Over tells that nothing more can happen to the completion.
func (c *Completion) Over() bool { return c.answered && c.out == 0 }
