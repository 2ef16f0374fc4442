// Package decide holds every decision of a router; its interface (settings, facts, outcomes, actions) is
// api.go. A caller makes a Router with New, sets the time with SetTime before each call, hands it lists (UpdateEngines),
// probes' results (ProbeEnded) and completions (Route). Route returns a handle; what happens to the completion
// later is a call on it (DispatchStarted, ReservationAnswered, DispatchEnded, ClientLeft, TimerFired) until Closed. The module acts through Actions
// alone.
package decide

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	work, held  = 0, 1   // the two loads of an engine, in tokens: what is to be read there, what memory is held
	localMost   = 250.0  // tokens; an uncached remainder up to this is read at the writer, in about one step
	roomy       = 0.5    // share of memory; a writer known to hold less reads for jammed readers too
	tieBreak    = 0.02   // share of a burden by which chance decides, so that routers don't all pick alike
	triedTokens = 250e3  // tokens; more than any engine's burden, for one that has failed the completion
	dispatches  = 3      // a completion, where the settings don't say
	remoteMost  = 1000.0 // tokens; no remainder costs a writer more, since a reader reads it; the home has none
	elsewhere   = 1e-6   // the weight of a home out of the zone, or in a cell that lacks readers or writers
	unsure      = 0.5    // share of the price of distance that counts where a router can't see a jam near it
	thrift      = 4.0    // times; an uncached token's weight against one that waits: it holds up all behind it
	overhead    = 400.0  // tokens; what a dispatch costs besides reading: a hop, a step, a fetch
	crowdTokens = 1200.0 // tokens; cost of an engine with half its memory held, about one short read
	crowdRoom   = 1.05   // memory shares; keeps the cost of a full engine finite
	closeTokens = 400e3  // tokens a unit of price; scores this much apart times the price are close
	closeLeast  = 300.0  // tokens; and so much is close besides
	reportFades = 1.0    // seconds; a report's weight falls to 1/e in this time, a few refreshes
	surveyFades = 8.0    // seconds; and its weight in the average of its pool
	reportMost  = 50.0   // times an engine's memory; no report of what waits there counts for more
	sampleLeast = 1200.0 // tokens out an engine at which own work is half a sample of the others'
	memoryGuess = 150e3  // tokens; for machine kinds whose memory is not told
	keepsFor    = 120.0  // seconds; a claim on kept text this old is dropped, sessions have ended by then
	claimsMost  = 8192   // entries; of an engine's table: nearly all are stale, and the older half goes
	roomLeast   = 0.1    // share of memory; kept text has so much even in an engine that looks full
	proofLeast  = 600.0  // tokens; a claim smaller than this proves nothing about the engine's others
	failGain    = 0.3    // weight of one outcome in an engine's failures: three in a row make it ill
	failFades   = 4.0    // seconds; failures are forgotten to 1/e in this time: the trial traffic back
	failTokens  = 2500.0 // tokens; what a failed dispatch costs, about its time and the wait of the next
	failMost    = 0.95   // share; an engine is never worse than this, so that all ill means all equal
	ill         = 0.5    // share of failures above which an engine is logged and left by what waits
	slowGain    = 0.15   // weight of one measured time in an engine's slowness
	slowFades   = 8.0    // seconds; slowness is forgotten to 1/e in this time
	rarely      = 2.0    // times longer that both last where own work is no sample: outcomes are as much rarer
	paceLeast   = 0.02   // weight of one time in a pool's pace, about the last fifty
	readsSlower = 3.0    // times; long reads at writers, until the first time is measured
	pacesGuess  = 8.0    // times; the guess of a pace weighs as so many measured ones
	paceGuess   = 4e-5   // seconds a token until the first time is measured
	lateGuess   = 4.0    // times the expected time that counts as late until it is measured
	lateShare   = 0.03   // share of dispatches that are to be late
	lateGain    = 0.2    // log steps by which the late figure moves
	lateLeast   = 1.5    // times; the late figure stays above, since times vary by half at any load
	ratioMost   = 4.0    // times; a measured time counts as no longer in the pace: a jam is not the pace
	ratioLeast  = 0.1    // times; and as no shorter in an engine's slowness
	lateFloor   = 0.25   // seconds; nothing is late before, a lost packet and a full step take as long
	rateTime    = 4.0    // seconds over which rates are measured
	fullMost    = 0.95   // share of a writer's memory; past it growing answers push others out
	fullPool    = 0.85   // share of all writers' memory; and only when they are this full together
	readMost    = 0.4    // latency targets; a longer read, and write, is rate-limited: times vary by half
	idleMost    = 0.05   // latency targets; an engine at which less waits reads a longer one all the same
	wholeMost   = 0.7    // latency targets; up to so much: times vary by half
	nearMost    = 0.08   // latency targets; what would take longer near goes wherever it is served
	eagerLeast  = 0.7    // share of the bounds that a completion worth nothing may use
	shareBurst  = 2.0    // seconds of its share that a tenant may send at once, and what chance adds to that
	comeBack    = 0.5    // seconds; the first come-back time, about the wait that a full bound holds
	probeAge    = 0.3    // seconds; an engine that would be picked is probed when its report is older
	probeWait   = 0.05   // seconds that a completion waits for probes: many round trips
	coldPart    = 0.5    // share of a window's cold budget for half of it: chance and heavy work move it by half
	coldLots    = 0.6    // share of that which is given by lots: its chance comes on top of the work's
	coldLeast   = 1.0    // dispatches a second, all routers: an engine's typical rate is held to be no less
	watchAgain  = 1.0    // seconds between tries to get the list where it must be asked
	answerGuess = 0.4    // share of the most it may produce that an answer without a hint is taken for
	answerMost  = 4000.0 // tokens; no answer is taken for longer, as clients state far more than they get
)

// claim is text that an engine is held to keep, and what it had read when that was claimed.
type claim struct{ tokens, at, mark float64 }

// engine is the one record of an engine. Its work is tokens to be read there, its memory is tokens too.
type engine struct {
	id, zone, cell   int
	mark             uint64 // the same at every router
	phase            Phase
	role             Role
	pool             *pool
	memory, started  float64
	load             [2]load
	kept             [2]map[uint64]claim // claimed lately, and before that
	keptAt           float64             // when the lately claimed began
	written          float64             // tokens it came to keep for this router, in all
	fails, failsAt   float64             // share of failures, and when it was that
	slow, slowAt     float64             // log of its time against its pool's, and when
	heard, reportAt  float64             // when it last did what it was asked, and when it last reported
	coldLeft, coldAt float64             // dispatches left in this half window of a cold engine, and its begin
	asking           []*Completion       // for the result of its probe
}

// load is what this router has out at an engine, what the engine reported, and what was out then.
type load struct{ out, report, then float64 }

// pool is what the engines of a role have in common.
type pool struct {
	size     float64    // engines ready
	out      [2]mean    // tokens out, all engines
	reported [3]float64 // loads by the engines, and 1, summed by their reports' age
	rate     meter      // reads and answers (failures come too fast to tell what an engine can do)
	read     float64    // mean tokens that one of them reads there
	served   float64    // how many that is the mean of
}

// serves books a read or a first token, and what was read for it. The first counts whole: one of hundreds of
// routers sees ten in a minute. What waits at a writer is mostly read already, at a reader nothing is.
func (p *pool) serves(now, tokens float64) {
	p.rate.add(now, 1)
	p.served++
	p.read += math.Max(paceLeast, 1/p.served) * (tokens - p.read)
}

type mean struct{ value, mean, at float64 }

func (m *mean) add(now, n float64) {
	m.mean += (1 - math.Exp((m.at-now)/rateTime)) * (m.value - m.mean)
	m.value, m.at = m.value+n, now
}

// stage is what is measured of reads, of writes, or of long reads at writers: the seconds a token of expected
// cost, how many were measured, and the times the expected time that only lateShare take longer than.
type stage struct{ pace, paces, late float64 }

type meter struct{ value, at float64 }

func (m *meter) now(now float64) float64 { return m.value * math.Exp((m.at-now)/rateTime) }

func (m *meter) add(now, n float64) { m.value, m.at = m.now(now)+n/rateTime, now }

type tenant struct{ rate, bucket, at float64 }

// chanceOver is how many may come by chance, in a short time, where n are to be expected.
func chanceOver(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

type Router struct {
	do               Actions
	now, tick        float64
	rng, nonce       uint64
	others, greatest float64 // how many other routers share the subset; the greatest value of the workloads
	routers          float64 // in all
	works            []Workload
	columns          [4]int // where a report has queue, util, x0, x1
	roles            []Role // by machine kind, as is memory
	memory           []float64
	zone, most       int     // most: dispatches a completion
	back, over       float64 // first come-back time; what is left of value beyond a share
	like             float64 // how many like this one the others are together, by what engines report

	reads, places, cancels, probes bool // what is allowed: that writers read, ...

	far, farZone, away float64 // tokens that a reader out of the cell, of the zone, and a far writer must gain

	warm, share, window, budget float64 // of the cold rule: budget is dispatches a window at a rate of 1

	engines []*engine
	subset  []*engine    // that completions may go to
	cells   [][2]float64 // engines ready in a cell that read, and that write: mixed ones do both
	pools   [3]pool      // by role
	stages  [3]stage
	tenants []tenant
	shares  float64 // completions a second that all tenants' shares allow at a router, on average
	taken   meter
}

// New makes a router from its settings.
func New(s Settings, do Actions) (*Router, error) {
	if len(s.Workloads) == 0 || len(s.Roles) == 0 {
		return nil, errors.New("settings: no workloads, or no roles of the machine kinds")
	}
	guess := stage{paceGuess, pacesGuess, lateGuess}
	r := &Router{do: do, rng: s.Seed&math.MaxUint32 | 1<<32, nonce: s.Seed, over: s.OverShareValue, tick: s.Tick,
		others: math.Max(0, float64(s.Routers-1)), routers: float64(s.Routers), works: s.Workloads, roles: s.Roles, memory: s.Memory,
		zone: s.Zone,
		most: cmp.Or(s.MaxDispatches, dispatches), back: math.Min(s.MaxRetryAfter, comeBack),
		reads: s.WriterReadsAllowed, places: s.ReservationsAllowed && !s.ReservationsUnconfirmed, cancels: s.CancelAllowed, probes: s.ProbesAllowed && len(s.ReportColumns) > 0,
		far: closeLeast + closeTokens*s.CrossCellPrice, away: closeLeast + 2*closeTokens*s.CrossZonePrice,
		farZone: closeTokens * s.CrossZonePrice, warm: s.WarmUpTime, share: s.ColdStartShare, window: s.OverloadWindow,
		budget: s.OverloadMultiple * s.OverloadWindow,
		stages: [3]stage{guess, guess, {paceGuess * readsSlower, pacesGuess, lateGuess}}}
	r.like = r.others
	for _, w := range s.Workloads {
		r.greatest = math.Max(r.greatest, w.Value)
	}
	for i, name := range [...]string{"queue", "util", "x0", "x1"} {
		r.columns[i] = slices.Index(s.ReportColumns, name)
	}
	for _, t := range s.Tenants {
		rate := t.Rate / (r.others + 1)
		r.tenants = append(r.tenants, tenant{rate: rate, bucket: chanceOver(rate * shareBurst)})
		r.shares += rate
	}
	if s.ListOnRequest {
		r.do.WatchEngines()
	}
	return r, nil
}

// SetTime sets the time of the calls that follow, in seconds from the instance's start.
func (r *Router) SetTime(now float64) { r.now = now }

// chance is a multiply-with-carry generator; it returns a number from 0 up to 1.
func (r *Router) chance() float64 {
	r.rng = (r.rng&math.MaxUint32)*4294957665 + r.rng>>32
	return float64(uint32(r.rng)) / (1 << 32)
}

func (r *Router) TimerFired() { r.do.WatchEngines() }

// UpdateEngines takes news of the engines. Another mark, role, place or start time is another engine, whatever its
// index: it starts with an empty record, and what is still out at the one before ends on that one's.
func (r *Router) UpdateEngines(kind ListKind, facts []EngineEntry) {
	if kind == ListFailed {
		r.do.SetRouterTimer(watchAgain * (0.5 + r.chance())) // only those who ask hear of it
		return
	}
	for _, e := range r.engines {
		if kind != ListDelta {
			e.phase = Gone
		}
	}
	for _, f := range facts {
		if f.Index < 0 || f.Cell < 0 || f.MachineKind < 0 {
			r.do.Log(fmt.Sprintf("engine %d, cell %d, kind %d: wanted from 0, left out", f.Index, f.Cell, f.MachineKind))
			continue
		}
		for len(r.engines) <= f.Index {
			r.engines = append(r.engines, r.newEngine(EngineEntry{Index: len(r.engines)}))
		}
		e := r.newEngine(f)
		if was := r.engines[f.Index]; was.is(e) {
			e = was
		} else {
			was.phase, r.engines[f.Index] = Gone, e
		}
		e.phase = f.Phase
	}
	r.drawSubset()
	for i := range r.pools {
		r.pools[i].size = 0
	}
	for _, e := range r.subset {
		e.pool.size += part(e.phase == Ready)
	}
	clear(r.cells)
	for _, e := range r.engines {
		if r.now-e.heard > keepsFor { // all claims have lapsed
			e.kept = [2]map[uint64]claim{}
		}
		for len(r.cells) <= e.cell {
			r.cells = append(r.cells, [2]float64{})
		}
		if e.phase == Ready {
			r.cells[e.cell][0] += part(e.role != Writer)
			r.cells[e.cell][1] += part(e.role != Reader)
		}
	}
}

// newEngine is the record of an engine of which nothing is known but the list's word.
func (r *Router) newEngine(f EngineEntry) *engine {
	e := &engine{id: f.Index, zone: f.Zone, cell: f.Cell, mark: f.Hash, role: Mixed, memory: memoryGuess,
		started: f.StartedAt, keptAt: r.now, reportAt: math.Inf(-1), coldAt: math.Inf(-1)}
	if f.MachineKind < len(r.roles) {
		e.role = r.roles[f.MachineKind]
	}
	if f.MachineKind < len(r.memory) && r.memory[f.MachineKind] > 0 {
		e.memory = r.memory[f.MachineKind]
	}
	e.pool = &r.pools[e.role]
	return e
}

// is tells whether two records are of one life of one engine.
func (e *engine) is(o *engine) bool {
	return e.mark == o.mark && e.started == o.started && e.role == o.role && e.memory == o.memory &&
		e.zone == o.zone && e.cell == o.cell
}

// enough tells how far those that read in a cell are enough for its writers: 1 or more if they are.
func (r *Router) enough(cell int) float64 {
	mixed, here := r.pools[Mixed].size, r.cells[cell]
	return here[0] * (r.pools[Writer].size + mixed) / (here[1] * (r.pools[Reader].size + mixed))
}

// ProbeEnded takes what a probe found. A failed probe counts as a failure.
func (r *Router) ProbeEnded(id int, o Outcome, report []float64) {
	if id < 0 || id >= len(r.engines) {
		return // never listed
	}
	e := r.engines[id]
	if r.reported(e, report); o != Finished && o != Full {
		r.judge(e, 1)
	}
	asking := e.asking
	e.asking = nil
	for _, c := range asking {
		if c.pending--; c.pending == 0 {
			c.advance()
		}
	}
}

// reported books a load report in tokens: what waits to be read and what is held. What no engine can hold is
// cut down: one figure past all measure would otherwise stand in every average of its pool for good.
func (r *Router) reported(e *engine, report []float64) {
	if len(report) == 0 {
		return
	}
	value := [4]float64{} // queue, util, x0, x1
	for i, at := range r.columns {
		if value[i] = math.NaN(); at >= 0 && at < len(report) && !math.IsInf(report[at], 0) {
			value[i] = math.Max(0, report[at])
		}
	}
	read, full := value[3]*1000, value[2]
	if math.IsNaN(read) {
		read = value[0] * math.Max(localMost, e.pool.read)
	}
	if e.role != Reader && value[1] > full || math.IsNaN(full) {
		full = value[1] // of slots
	}
	for i, now := range [...]float64{math.Min(read, reportMost*e.memory), math.Min(full, 1) * e.memory} {
		if math.IsNaN(now) { // not told
			now = r.all(e, i)
		}
		e.load[i].report, e.load[i].then = now, e.load[i].out
	}
	e.reportAt = r.now
}

// sample is how far this router's work at a pool stands for the others'.
func (p *pool) sample() float64 {
	return p.out[held].mean / (p.out[held].mean + sampleLeast*math.Max(1, p.size))
}

// all is what all routers together have on an engine. This router's work there stands for the others' as far
// as it is a sample; else they have what engines of the pool have on average, by reports and by this router's
// work there in the last seconds; a cold one has only what it had time for, else nobody would pick it.
// A report of the engine is blended in by its age.
func (r *Router) all(e *engine, i int) float64 {
	l, p, alike := &e.load[i], e.pool, e.pool.sample()*part(e.heard > 0)
	average := r.warmth(e) * (r.like*p.out[i].mean/math.Max(1, p.size) + p.reported[i]) / (1 + p.reported[2])
	guess := l.out + alike*r.like*l.out + (1-alike)*average
	trust := math.Exp((e.reportAt - r.now) / reportFades)
	return trust*math.Max(l.out, l.report+(l.out-l.then)*(1+alike*r.like)) + (1-trust)*guess
}

// survey sums up what the engines of each pool reported last, and finds how many routers like this one there
// would have to be beside it for what they report to hold: one that gets several times the mean would else
// take all others for as busy. It harms where reports count what is kept as held: then they are thought too
// many.
func (r *Router) survey() {
	for i := range r.pools {
		r.pools[i].reported = [3]float64{}
	}
	for _, e := range r.subset {
		w := math.Exp((e.reportAt-r.now)/surveyFades) * part(e.phase == Ready)
		for i, n := range [...]float64{e.load[work].report, e.load[held].report, 1} {
			e.pool.reported[i] += w * n
		}
	}
	own, all, told := 0.0, 0.0, 0.0
	for i := range r.pools {
		if p := &r.pools[i]; p.reported[2] > 0 {
			own += p.out[held].mean
			all += p.size * p.reported[held] / p.reported[2]
			told += p.reported[2]
		}
	}
	r.like = (r.others + told*math.Min(r.others, math.Max(0, all/math.Max(1, own)-1))) / (1 + told)
}

// cost is the expected cost of sending so many uncached tokens to an engine, in tokens: what is to be read,
// there and before it, and how full the engine is.
func (r *Router) cost(e *engine, uncached float64) float64 {
	full := math.Min(1, r.all(e, held)/e.memory)
	return thrift*uncached + r.all(e, work) + overhead + crowdTokens*full/(crowdRoom-full)
}

// judge books an outcome, 1 for a failure, in the engine's health. It guards against whatever makes an engine
// fail; it harms when completions are at fault: then all look ill, and none is preferred.
func (r *Router) judge(e *engine, failed float64) {
	was := e.fails > ill
	if failed == 0 {
		e.heard = r.now
	}
	e.fails = r.fails(e) + failGain*(failed-r.fails(e))
	e.failsAt = r.now
	if isIll := e.fails > ill; isIll != was {
		r.do.Log(fmt.Sprintf("engine %d ill %v: failures %.2f", e.id, isIll, e.fails))
	}
}

func (r *Router) fails(e *engine) float64 {
	if e.fails == 0 { // as most are
		return 0
	}
	return e.fails * r.recall(e, e.failsAt, failFades)
}

// recall is what is left of a figure of health: the less this router sees of the work, the longer it counts.
func (r *Router) recall(e *engine, at, fades float64) float64 {
	return math.Exp((at - r.now) / fades / (1 + rarely*(1-e.pool.sample())))
}

// burden is the cost with the engine's health: slowness against its peers stretches it, failures make it be
// paid again. Being a price and no gate, it needs no cap on how many are shunned: all ill are all equal.
func (r *Router) burden(e *engine, uncached float64) float64 {
	slow, failing := 1.0, math.Min(failMost, r.fails(e))
	if e.slow > 0 {
		slow = math.Exp(e.slow * r.recall(e, e.slowAt, slowFades))
	}
	return (r.cost(e, uncached)*slow + failing*failTokens) / (1 - failing)
}

// keeps is how many of the prompt's tokens an engine is held to keep. A claim ages by time and by what has
// been read since, which pushes older text out of the memory that is left.
func (r *Router) keeps(e *engine, p *Prompt) float64 {
	most, room := 0.0, -1.0 // room: what is left of its memory, found where there is a claim
	for i, key := range [...]uint64{p.Session, p.SharedPrefix} {
		c, found := e.kept[0][key]
		if !found {
			c, found = e.kept[1][key]
		}
		if key == 0 || !found || r.now-c.at > keepsFor {
			continue
		}
		if room < 0 {
			room = math.Max(roomLeast*e.memory, e.memory-r.all(e, held))
		}
		if (e.written-c.mark)*(1+r.others*e.pool.sample()) > room {
			continue
		}
		if i == 1 {
			c.tokens = math.Min(c.tokens, p.SharedPrefixTokens)
		}
		most = math.Max(most, math.Min(c.tokens, p.Tokens))
	}
	return most
}

// learn books that an engine has the prompt now. Less than half found of what it was held to keep empties its
// table (below 0: not told). That guards against wrong tables; it harms when one text was pushed out.
func (r *Router) learn(e *engine, p *Prompt, claimed, found float64) {
	switch {
	case found >= 0 && claimed >= proofLeast && found < claimed/2:
		r.do.Log(fmt.Sprintf("engine %d: drops its claims, %.0f of %.0f found", e.id, found, claimed))
		e.kept, e.keptAt = [2]map[uint64]claim{{}, nil}, r.now
	case e.kept[0] == nil || len(e.kept[0]) >= claimsMost/2-1 || r.now-e.keptAt > keepsFor:
		e.kept, e.keptAt = [2]map[uint64]claim{{}, e.kept[0]}, r.now
	}
	e.written += p.Tokens - math.Max(found, 0)
	for i, key := range [...]uint64{p.Session, p.SharedPrefix} {
		if key != 0 {
			e.kept[0][key] = claim{[...]float64{p.Tokens, p.SharedPrefixTokens}[i], r.now, e.written}
		}
	}
}

// warmth is the part of its warm-up that an engine has behind it, 1 for a warm one.
func (r *Router) warmth(e *engine) float64 {
	if age := (r.now - e.started) / r.warm; age < 1 {
		return math.Max(0, age)
	}
	return 1
}

// cold tells whether the cold budget bars a completion from a started engine. In each half window the engine
// takes this router's part of the multiple times its share of the typical rate, in dispatches of mean work. A
// part of a dispatch, all that one of hundreds of routers has, is a lot that each completion draws: by time
// it would lapse wherever none comes just then. It guards the rule, as chance adds no more than 2 roots to
// what all lots allow; it harms where the rest of the fleet is full.
func (c *Completion) cold(e *engine) bool {
	r := c.r
	age := r.warmth(e)
	if age == 1 || r.window <= 0 {
		return false
	}
	size := math.Max(1, e.pool.size)
	rate := math.Max(coldLeast/(r.others+1), e.pool.rate.now(r.now)/size)
	allowed := coldPart * r.budget * (r.share + (1-r.share)*age) * rate
	if r.now >= e.coldAt+r.window/2 {
		e.coldAt, e.coldLeft = r.now, math.Floor(allowed)
	}
	draws := math.Max(rate*size, r.taken.now(r.now)-1/rateTime) * r.window / 2 // all taken, served there or not
	lots := coldLots * (allowed - math.Floor(allowed)) / draws
	return e.coldLeft < 1 && draw(c.id+r.nonce, e.mark) >= lots/c.weight(e)
}

// weight is the work of a dispatch to an engine in dispatches of mean work: what is read there in mean reads.
func (c *Completion) weight(e *engine) float64 {
	return math.Max(1, c.lacks(e)*part(c.state == nil)/math.Max(localMost, e.pool.read))
}

// canRead tells whether an engine may read for the fleet: not a writer, unless half its memory is known to be
// free. It guards against readers jammed or lost; it harms the streams of the engine that reads.
func (r *Router) canRead(e *engine) bool {
	return e.role != Writer || r.reads && r.all(e, held) < roomy*e.pool.sample()*e.memory
}

// choose picks the engine with the least burden for a stage: a reader or not. cost tells what an engine would
// have to read and how far away it is, in tokens; what has failed this completion comes last.
func (c *Completion) choose(reads bool, cost func(*engine) (uncached, far float64)) *engine {
	var best *engine
	r, least := c.r, math.Inf(1)
	for _, e := range r.subset {
		if e.phase != Ready || !reads && e.role == Reader || reads && !r.canRead(e) || !c.maySend(e) || c.cold(e) {
			continue
		}
		uncached, far := cost(e)
		burden := (r.burden(e, uncached) + far) * (1 + tieBreak*r.chance())
		if reads && e.role != Reader {
			burden *= r.stages[2].pace / r.stages[0].pace
		}
		if c.tried(e) {
			burden += triedTokens
		}
		if burden < least {
			best, least = e, burden
		}
	}
	return best
}

type dispatch struct {
	e, booked                 *engine // booked: the writer, while the prompt is read
	at, late                  float64 // when it was sent, and when it counts as late
	tokens, held              float64 // uncached tokens that are to be read there, tokens of its memory
	claimed, cost             float64 // tokens it was held to keep, expected cost in tokens
	stage                     int     // 0 a read, 1 a write, 2 a long read at a writer
	own                       bool    // reads by itself, at a reader or not
	out, overdue, ran, broken bool    // ran: may have run
}

// Completion is the handle of a completion that was taken.
type Completion struct {
	r                *Router
	id               uint64
	p                Prompt
	w                *Workload
	eager, answer    float64 // the part of every bound that it may use, by its value; expected tokens
	deadline, wakeAt float64
	writer           *engine // where the answer is to be written
	state            *engine // where the read state waits
	home, ownHome    *engine // of its text among readers, of its session among writers
	pending, asked   int     // probes that are out, rounds of them
	sent             []*dispatch
	out              *dispatch // the one that is out

	holds, began, answered bool // holds a state or a place
	anywhere               bool // it goes wherever it is served, at no price of distance
}

func (r *Router) Route(id uint64, p Prompt) *Completion {
	c := &Completion{r: r, id: id, p: p, w: &r.works[p.Workload], deadline: r.now + p.TimeLeft, wakeAt: math.Inf(1),
		answer: math.Min(answerMost, p.MaxOutputTokens*answerGuess), eager: eagerLeast + (1-eagerLeast)*r.rankOf(&p)}
	if p.OutputTimeHint > 0 && c.w.InterTokenTarget > 0 {
		c.answer = math.Min(math.Min(answerMost, p.MaxOutputTokens), p.OutputTimeHint/c.w.InterTokenTarget)
	}
	if p.Resumed {
		// Its value is mostly earned, so no bound but its time holds it back. It guards against streams lost
		// where a router or an engine stops; it harms others while many come back at once, by a read each.
		c.eager = math.Inf(1)
	}
	if reads := &r.pools[Reader]; reads.served == 0 { // what waits there is like this one, until one is measured
		reads.read = p.Tokens - p.SharedPrefixTokens
	}
	c.advance()
	return c
}

// rankOf is a completion's value for its work against the greatest, less beyond its tenant's share. Where a
// router gets more than all shares allow the mean router, the shares grow alike: it can't tell whether all
// get so much or only it, and of the first no tenant is more to blame than another. It guards against a
// tenant that sends far more than its share; it harms where a router's clients are nearly all of one tenant.
func (r *Router) rankOf(p *Prompt) float64 {
	rank := r.works[p.Workload].Value / math.Max(r.greatest, 1e-9)
	r.taken.add(r.now, 1)
	if p.Tenant < len(r.tenants) {
		t := &r.tenants[p.Tenant]
		rate := t.rate * math.Max(1, r.taken.now(r.now)/math.Max(r.shares, 1e-9))
		t.bucket = math.Min(chanceOver(rate*shareBurst), t.bucket+(r.now-t.at)*rate)
		t.at = r.now
		if t.bucket < 1 {
			return rank * r.over
		}
		t.bucket--
	}
	return rank
}

// tried tells whether an engine is to be left. An answer that broke on its way is asked for again where its
// text is now kept, unless the engine is ill: elsewhere all would be read anew.
func (c *Completion) tried(e *engine) bool {
	left := func(d *dispatch) bool { return d.e == e && !(d.broken && c.r.fails(e) <= ill) }
	return c.state != e && slices.ContainsFunc(c.sent, left)
}

// maySend keeps the rule that no effect happens twice, readers included: nothing may have run or be out, or
// the engine drops repeats of what may have run and still remembers it.
func (c *Completion) maySend(e *engine) bool {
	return c.w.Idempotency == Idempotent || c.every(func(d *dispatch) bool {
		same := c.w.DedupScope == DedupAll || c.w.DedupScope == DedupZone && d.e.zone == e.zone ||
			c.w.DedupScope == DedupCell && d.e.cell == e.cell
		return c.w.Idempotency == Tokened && same && c.r.now+2*c.r.tick < d.at+c.w.DedupWindow
	})
}

func (c *Completion) harmless() bool {
	return c.w.Idempotency == Idempotent || c.w.Idempotency == Tokened && c.w.DedupScope == DedupAll ||
		c.every(func(*dispatch) bool { return false })
}

func (c *Completion) every(kind func(*dispatch) bool) bool {
	return !slices.ContainsFunc(c.sent, func(d *dispatch) bool {
		return (d.out || d.stage > 0 && d.ran) && !kind(d)
	})
}

// advance makes the next dispatch: a state that waits goes to a writer; else, on the ordinary path, the
// writer is picked first, a small remainder is read there, and a reader reads a larger one.
func (c *Completion) advance() {
	r := c.r
	if c.answered || c.began || c.out != nil {
		return
	}
	if c.state != nil {
		c.write()
		return
	}
	r.survey()
	c.settle()
	// Distance has a price, a part of a completion's value; being late costs most of it. It guards against
	// traffic that shifts to one zone; where all are full it harms, by moves. No part of the price is left
	// then: where little is known of the engines, all routers would follow the least of it.
	var near, beside *engine
	for c.anywhere = false; ; c.anywhere = true {
		reader := c.pick()
		if c.asks(reader) {
			return
		}
		if !c.anywhere {
			if d, _ := c.fits(reader, true); d == nil {
				near, beside = reader, c.writer
				continue
			}
		} else if near != nil && c.expected(near) <= c.expected(reader) { // no faster there
			reader, c.writer = near, beside
		}
		c.send(reader)
		return
	}
}

// expected is the time that a dispatch to an engine is expected to take.
func (c *Completion) expected(e *engine) float64 {
	if e == nil {
		return math.Inf(1)
	}
	_, took := c.dispatchTo(e)
	return took
}

// pick picks the writer, and the engine that is to read for it: the writer itself for a small remainder.
func (c *Completion) pick() *engine {
	r := c.r
	var reader *engine
	if c.writer = c.choose(false, c.toWrite); c.writer != nil && !c.crowded() {
		reader = c.choose(true, c.toRead)
		if w := c.writer; reader != nil && reader != w && reader.role != Reader && c.lacks(w) > localMost {
			c.writer = reader // it would write there, too; a reader near it may be better still
			if near := c.choose(true, c.toRead); near != nil && near.role == Reader {
				reader = near
			} else {
				c.writer = w
			}
		}
		if (r.reads || c.writer.role == Mixed) && (reader == nil || c.lacks(c.writer) <= localMost) {
			reader = c.writer
		}
	}
	if c.anywhere && reader != nil && reader.role == Reader { // far from here, but not from each other
		c.writer = cmp.Or(c.choose(false, func(e *engine) (uncached, far float64) {
			uncached, far = c.toWrite(e)
			return uncached, far + unsure*unsure*r.far*part(e.cell != reader.cell)
		}), c.writer)
	}
	return reader
}

func (c *Completion) toWrite(e *engine) (uncached, far float64) {
	return math.Min(remoteMost, c.lacks(e)), c.r.away*part(e.zone != c.r.zone && !c.anywhere) +
		(1-e.pool.sample())*remoteMost*part(e != c.ownHome)
}

func (c *Completion) toRead(e *engine) (uncached, far float64) {
	if w, alike := c.writer, e.pool.sample(); w != nil && e.role == Reader && !c.anywhere {
		far = c.r.far*part(e.cell != w.cell) + c.r.farZone*part(e.zone != w.zone)
		far *= alike + unsure*(1-alike)*part(e != c.home || w != c.ownHome)
	}
	return c.lacks(e), far
}

// asks probes the writer and the reader that are picked, if allowed, when their reports are old: once for
// those near, once for those anywhere. Results decide whether the pick stands. That guards against picks on
// few observations; it harms with slow probes.
func (c *Completion) asks(reader *engine) bool {
	r, rounds := c.r, 1
	if c.anywhere {
		rounds = 2
	}
	if !r.probes || c.asked >= rounds || r.now+2*probeWait > c.deadline {
		return c.pending > 0
	}
	c.asked = rounds
	for _, e := range [...]*engine{c.writer, reader} {
		if e != nil && r.now-e.reportAt > probeAge && !slices.Contains(e.asking, c) {
			if e.asking == nil {
				r.do.Probe(e.id)
			}
			e.asking = append(e.asking, c)
			c.pending++
		}
	}
	if c.pending > 0 {
		c.wakeAt = r.now + probeWait
		r.do.SetTimer(c.id, probeWait)
	}
	return c.pending > 0
}

// draw is an engine's lot for a text or session, the same at every router, from 0 up to 1.
func draw(key, mark uint64) float64 {
	h := (key ^ mark*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>31) * 0x94d049bb133111eb
	return (float64((h^h>>29)>>11) + 0.5) / (1 << 53)
}

// homeOf is the engine, a reader or not, that all routers agree on for a key: weighted rendezvous hashing.
func (r *Router) homeOf(key uint64, reads bool, weight func(*engine) float64) *engine {
	var home *engine
	least := math.Inf(1)
	for _, e := range r.subset {
		if key == 0 || e.phase != Ready || (e.role == Reader) != reads {
			continue
		}
		if lot := -math.Log(draw(key, e.mark)) / weight(e); lot < least { // none without a weight
			home, least = e, lot
		}
	}
	return home
}

// settle finds the completion's homes: the reader that all routers of the zone would have read this text, and
// the writer that they would have write this session, in one cell as far as its writers and readers match.
// Each further home of a text would read it anew, so it has one where probes tell a jam there, which sends
// some elsewhere; else one in each writer's cell, as no jam would be seen. It stands in for the table of kept
// prefixes where a router sees little of the work; it harms when cells differ in more than their numbers.
func (c *Completion) settle() {
	r, text := c.r, cmp.Or(c.p.SharedPrefix, c.p.Session)
	writer := func(in func(e *engine) float64) *engine {
		return r.homeOf(c.p.Session, false, func(e *engine) float64 { return part(e.zone == r.zone) * in(e) })
	}
	there := func(at *engine) func(*engine) float64 {
		return func(e *engine) float64 { return part(e.cell == at.cell) }
	}
	c.home, c.ownHome = nil, nil
	if r.probes {
		c.home = r.homeOf(text, true, func(e *engine) float64 {
			return elsewhere + part(e.zone == r.zone && r.cells[e.cell][1] > 0)
		})
	}
	if at := c.home; at != nil {
		in := func(e *engine) float64 { return math.Max(0, 1-r.enough(e.cell)) } // has writers to spare
		if draw(c.p.Session, uint64(at.cell)) < 1/r.enough(at.cell) {
			in = there(at)
		}
		c.ownHome = writer(in)
	}
	if c.ownHome == nil {
		c.ownHome = writer(func(*engine) float64 { return 1 })
	}
	if at := c.ownHome; at == nil {
		c.home = nil
	} else if !r.probes {
		in := func(e *engine) float64 { return math.Max(0, 1-1/r.enough(e.cell)) } // has readers to spare
		if draw(text, uint64(at.cell)) < r.enough(at.cell) {
			in = there(at)
		}
		c.home = r.homeOf(text, true, in)
	}
}

func part(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

func (c *Completion) lacks(e *engine) float64 {
	return c.p.Tokens - math.Max(c.r.keeps(e, &c.p), part(e == c.home)*(1-e.pool.sample())*c.p.SharedPrefixTokens)
}

// crowded bounds what is in flight by memory: no room at the writer, the writers together nearly full. That
// guards against overload, lost writers and long prompts; it harms when reports show memory held that isn't.
func (c *Completion) crowded() bool {
	r, sum, memory := c.r, 0.0, 1.0
	for _, e := range r.subset {
		if e.phase == Ready && e.role != Reader {
			sum += math.Min(e.memory, r.all(e, held))
			memory += e.memory
		}
	}
	return len(c.sent) == 0 && sum > fullPool*c.eager*memory &&
		r.all(c.writer, held)+c.p.Tokens > fullMost*c.writer.memory
}

// write sends a completion whose state waits to its writer, or to a better one if that has gone ill.
func (c *Completion) write() {
	r, w := c.r, c.writer
	if w == nil || w.phase != Ready || r.fails(w) > ill || c.tried(w) || !c.maySend(w) || c.cold(w) {
		c.writer = c.choose(false, func(e *engine) (float64, float64) {
			return 0, r.far * part(e.cell != c.state.cell)
		})
	}
	c.send(c.writer)
}

// dispatchTo is a dispatch to an engine as it would be sent now, and the seconds that it is expected to take.
func (c *Completion) dispatchTo(e *engine) (d *dispatch, expected float64) {
	r := c.r
	tokens := c.lacks(e) * part(c.state == nil)
	d = &dispatch{e: e, at: r.now, tokens: tokens, claimed: r.keeps(e, &c.p), cost: r.cost(e, tokens/thrift),
		out: true, held: c.p.Tokens, own: c.state == nil}
	if e.role != Reader {
		d.stage, d.held = 1+int(min(tokens/localMost, 1)), c.p.Tokens+c.answer/2
	}
	return d, d.cost * r.stages[d.stage].pace
}

// fits is the dispatch to an engine and its expected time if one is left and the time for it, else nil: a
// first one may take a share of the target, near a small one. Where the pace is mostly guessed, its own
// tokens don't speak against it but what waits there: few short reads that waited say nothing of a long one.
// It guards against long prompts given up by routers that see little; it harms by late ones where engines
// read far slower than guessed.
func (c *Completion) fits(e *engine, near bool) (d *dispatch, expected float64) {
	if e == nil {
		return nil, 0
	}
	r := c.r
	d, expected = c.dispatchTo(e)
	if r.now+expected > c.deadline || len(c.sent) >= r.most {
		return nil, 0
	}
	if len(c.sent) == 0 && d.stage != 1 {
		write := r.cost(c.writer, 0) * r.stages[1].pace * (1 - c.writer.pool.sample()) // else crowded knows
		most, free := nearMost, 0.0
		if p := &r.stages[d.stage]; !near {
			most, free = readMost, d.tokens*p.pace*math.Pow(pacesGuess/p.paces, 2)
		}
		target := c.eager * (c.w.LatencyTarget + c.w.LatencyTargetPerToken*c.p.Tokens)
		if expected-free+write > most*target && (near || !c.readsAtOnce(d, expected+write, target)) {
			return nil, 0
		}
	}
	return d, expected
}

// readsAtOnce tells whether a read that takes long takes it by its own tokens, behind little that waits, and is still
// likely to be in time: what varies is the wait. It guards against long prompts given up where there is room for them; it
// harms those that come next at that engine.
func (c *Completion) readsAtOnce(d *dispatch, expected, target float64) bool {
	own := d.tokens * c.r.stages[d.stage].pace
	return expected-own < idleMost*target && expected < wholeMost*target
}

// send makes a dispatch if it fits; else it gives up. While a prompt is read, its memory at the writer is
// booked, so that those taken meanwhile see it.
func (c *Completion) send(e *engine) {
	r := c.r
	d, expected := c.fits(e, false)
	if d == nil {
		c.giveUp()
		return
	}
	d.late = r.now + math.Max(lateFloor, expected*r.stages[d.stage].late)
	e.coldLeft -= c.weight(e)
	c.sent, c.out = append(c.sent, d), d
	r.carry(e, d.tokens, d.held)
	r.do.Dispatch(c.id, e.id, c.deadline-r.now)
	if d.stage == 0 {
		d.booked = c.writer
		r.carry(d.booked, 0, c.p.Tokens+c.answer/2)
		if r.places {
			c.holds = true
			r.do.Reserve(c.id, c.writer.id)
		}
	}
	c.wake()
}

func (r *Router) carry(e *engine, tokens ...float64) {
	for i, n := range tokens {
		e.load[i].out += n
		e.pool.out[i].add(r.now, n)
	}
}

// wake sets the one timer: when the dispatch gets late, else the client timeout.
func (c *Completion) wake() {
	at := c.deadline - 2*c.r.tick
	if d := c.out; d != nil && !d.overdue {
		at = math.Min(at, d.late)
	}
	if at < c.wakeAt || c.wakeAt <= c.r.now+c.r.tick { // the timer may come a rounding early
		c.wakeAt = at
		c.r.do.SetTimer(c.id, math.Max(c.r.tick, at-c.r.now))
	}
}

// TimerFired is called for SetTimer. What takes too long at an ill engine is taken back, and its end sends it on. That
// guards against engines silent, cut off or stuck; it harms when the engine was about to answer.
func (c *Completion) TimerFired() {
	r := c.r
	if c.answered || c.began {
		return
	}
	if r.now >= c.deadline-3*r.tick {
		c.giveUp()
		return
	}
	if c.pending > 0 {
		c.pending = 0
		c.advance()
	}
	if d := c.out; d != nil && !d.overdue && d.late <= r.now {
		r.measure(d, r.now-d.at)
		d.overdue = true
		if d.e.heard < d.at { // silent since, not only slow
			r.judge(d.e, 1)
		}
		if r.cancels && r.fails(d.e) > ill && len(c.sent) < r.most-1 && (d.stage == 0 || c.w.Idempotency == Idempotent) {
			r.do.Cancel(c.id, len(c.sent)-1)
		}
	}
	if !c.answered {
		c.wake()
	}
}

// measure books a dispatch's time in its pool's pace and late figure and in its engine's slowness.
func (r *Router) measure(d *dispatch, took float64) {
	if d.overdue { // measured then
		return
	}
	p := &r.stages[d.stage]
	ratio := took / math.Max(1e-6, d.cost*p.pace)
	p.late = math.Max(lateLeast, p.late*math.Exp(lateGain*(part(ratio > p.late)-lateShare)))
	p.paces++
	p.pace *= 1 + math.Max(paceLeast, 1/p.paces)*(math.Min(ratio, ratioMost)-1)
	d.e.slow *= r.recall(d.e, d.e.slowAt, slowFades)
	d.e.slow += slowGain * (math.Log(math.Max(ratio, ratioLeast)) - d.e.slow)
	d.e.slowAt = r.now
}

// ReservationAnswered tells whether the place that was asked for is held; if not, the writer is picked anew on the read.
func (c *Completion) ReservationAnswered(_ int, held bool) {
	if !held {
		c.writer = nil
	}
}

func (c *Completion) DispatchStarted(n int, took float64) {
	if n < 0 || n >= len(c.sent) || c.began {
		return
	}
	c.began = true
	d := c.sent[n]
	c.r.measure(d, took)
	c.r.judge(d.e, 0)
	d.e.pool.serves(c.r.now, d.tokens)
	c.r.carry(d.e, -d.tokens, 0)
	d.tokens = 0
	if d.own { // what was read here is kept at once, a fetched state only once its answer is written
		c.r.learn(d.e, &c.p, 0, -1)
	}
	c.state = nil
}

// DispatchEnded tells how a dispatch ended, whether the completion has its answer, and the tokens found kept.
func (c *Completion) DispatchEnded(n int, o Outcome, took float64, done bool, found float64, report []float64) {
	if n < 0 || n >= len(c.sent) || !c.sent[n].out {
		return
	}
	r, d := c.r, c.sent[n]
	r.carry(d.e, -d.tokens, -d.held)
	if d.booked != nil {
		r.carry(d.booked, 0, -c.p.Tokens-c.answer/2)
	}
	d.out, c.out = false, nil
	r.reported(d.e, report)
	if o == Read || o == Finished {
		found = math.Min(found, c.p.Tokens) // an engine counts tokens in its own way
	}
	d.broken, d.ran = o == Broken, o != Read && o != Full && o != Unreachable && o != NotSent
	if found == 1 && o != Read && o != Finished { // there was none to fetch, or it was let go meanwhile
		c.state = nil
	}
	switch {
	case o == Read:
		r.measure(d, took)
		d.e.pool.serves(r.now, c.p.Tokens-math.Max(found, 0))
		r.learn(d.e, &c.p, d.claimed, found)
		c.state, c.holds = d.e, true
		r.judge(d.e, 0)
	case o == Finished:
		if !d.own || found < d.claimed/2 {
			r.learn(d.e, &c.p, d.claimed, found)
		}
		r.judge(d.e, 0)
	case o == Full && found == 1: // tells nothing of the engine
	case o != Cancelled && o != NotSent && !d.overdue: // else it tells nothing new of the engine
		r.judge(d.e, 1)
	}
	c.answered = c.answered || done || c.began
	c.advance()
	c.letGo()
}

func (c *Completion) letGo() {
	if c.out == nil && c.holds {
		c.r.do.Release(c.id)
		c.state, c.holds = nil, false
	}
}

// giveUp gives the final answer at once: rate-limited if trying again is harmless, else aborted.
func (c *Completion) giveUp() {
	if c.harmless() {
		c.r.do.RateLimit(c.id, c.r.back*(0.5+c.r.chance()/2))
	} else {
		c.r.do.Abort(c.id)
	}
	c.ClientLeft()
}

func (c *Completion) ClientLeft() {
	c.answered = true
	if c.out != nil && c.r.cancels {
		c.r.do.Cancel(c.id, len(c.sent)-1)
	}
	c.letGo()
}

func (c *Completion) Closed() bool { return c.answered && c.out == nil }
