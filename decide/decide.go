// Package decide makes every decision of a router. Its interface (settings, engine entries, outcomes, actions) is in
// api.go. A caller creates a Router with New, sets the time with SetTime before each call, and passes it engine lists
// (UpdateEngines), results of probes (ProbeEnded) and completions (Route). Route returns a handle; what happens to
// the completion later is a call on the handle (DispatchStarted, ReservationAnswered, DispatchEnded, ClientLeft,
// TimerFired) until it is Closed. The package acts through Actions only.
package decide

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	prefillLoad, memoryLoad     = 0, 1   // indices of an engine's two loads, in tokens: to be read there, held in its memory
	maxLocalPrefillTokens       = 250.0  // uncached tokens up to which a writer reads a prompt itself, in about one step
	writerReadsMemoryShare      = 0.5    // of its memory; a writer known to hold less also reads for overloaded readers
	tieBreakJitterShare         = 0.02   // random part of a score, so that routers don't all pick the same engine
	failedEnginePenaltyTokens   = 250e3  // for an engine that has failed the completion: above any other score
	defaultMaxDispatches        = 3      // per completion
	maxWriterPrefillCostTokens  = 1000.0 // cap, as a reader reads what is uncached; added for all writers but the affinity writer
	remoteAffinityWeight        = 1e-6   // of an affinity reader in another zone, or in a cell that lacks readers or writers
	unobservedDistanceShare     = 0.5    // of the distance price, where a router cannot see congestion near it
	uncachedTokenWeight         = 4.0    // of a token to be read against one that waits: it delays all that comes after it
	dispatchOverheadTokens      = 400.0  // cost of a dispatch besides reading: a hop, a step, a fetch
	memoryPressureTokens        = 1200.0 // cost of an engine with half its memory held: about one short read
	memoryPressureLimitShare    = 1.05   // of memory; above 1 to keep the cost of a full engine finite
	distanceTokensPerPrice      = 400e3  // a distant engine has to score better by this times the price
	minDistanceTokens           = 300.0  // and by this in addition
	reportDecaySeconds          = 1.0    // a report's weight falls to 1/e in this time, a few refreshes
	poolReportDecaySeconds      = 8.0    // the same for its weight in the average of its pool
	maxReportedMemoryMultiple   = 50.0   // of an engine's memory; reported waiting tokens count up to this
	halfSampleTokens            = 1200.0 // out per engine; own work that large counts as half a sample of the other routers'
	defaultMemoryTokens         = 150e3  // for machine kinds whose memory is not configured
	prefixTTLSeconds            = 120.0  // until a cached prefix expires: sessions have ended by then
	maxPrefixEntries            = 8192   // per engine; nearly all are stale, so the older half is dropped
	minPrefixMemoryShare        = 0.1    // memory assumed for cached prefixes even in an engine that looks full
	minPrefixCheckTokens        = 600.0  // a smaller prefix that is missing proves nothing about the engine's others
	failureGain                 = 0.3    // weight of one outcome in the failure share: three failures in a row are unhealthy
	failureDecaySeconds         = 4.0    // the failure share falls to 1/e in this time, which brings back trial traffic
	failureCostTokens           = 2500.0 // of a failed dispatch: about its time and the wait of the next
	maxFailureShare             = 0.95   // that a score counts, so that engines that all fail rank alike
	unhealthyFailureShare       = 0.5    // above it an engine is logged as unhealthy, and waiting completions move away
	slownessGain                = 0.15   // weight of one measured time in an engine's slowness
	slownessDecaySeconds        = 8.0    // slowness falls to 1/e in this time
	unsampledDecayExtension     = 2.0    // added decay times of both where own work is no sample: outcomes are that much rarer
	minPaceGain                 = 0.02   // weight of one time in a stage's pace: about the last fifty count
	initialWriterReadPaceFactor = 3.0    // for long reads at writers, until the first one is measured
	initialPaceSamples          = 8.0    // measured times that the initial pace weighs as much as
	initialPaceSecondsPerToken  = 4e-5   // until the first time is measured
	initialLateFactor           = 4.0    // multiple of the expected time that counts as late, until it is measured
	lateDispatchShare           = 0.03   // of dispatches that are meant to count as late
	lateFactorLogStep           = 0.2    // by which the late factor moves
	minLateFactor               = 1.5    // as times vary by half at any load
	maxPaceRatio                = 4.0    // a longer time counts as this multiple in the pace, as queueing is not pace
	minSlownessRatio            = 0.1    // a shorter time counts as this multiple in an engine's slowness
	minLateSeconds              = 0.25   // nothing is late earlier: a lost packet and a full step take as long
	rateTimeConstantSeconds     = 4.0    // over which rates and averages are measured
	maxWriterMemoryShare        = 0.95   // beyond it growing outputs evict others
	maxAllWritersMemoryShare    = 0.85   // the limit above applies only when all writers together are this full
	maxReadTargetShare          = 0.4    // of the latency target; a longer read and write is rate-limited, as times vary by half
	maxIdleWaitTargetShare      = 0.05   // of the latency target; an engine with a shorter wait may read longer
	maxIdleReadTargetShare      = 0.7    // of the latency target; and for this long, as times vary by half
	maxNearReadTargetShare      = 0.08   // of the latency target; what would take longer nearby may go to any engine
	minLimitShare               = 0.7    // share of the limits that a completion without value may use
	tenantBurstSeconds          = 2.0    // of its share that a tenant may send at once, plus random variation
	defaultRetryAfterSeconds    = 0.5    // about the wait that a fully used limit implies
	maxReportAgeSeconds         = 0.3    // an engine is probed before it is picked if its report is older
	probeWaitSeconds            = 0.05   // that a completion waits for probes: many round trips
	coldHalfWindowBudgetShare   = 0.5    // of a window's cold budget, for half a window: chance and heavy work move it by half
	coldRandomShare             = 0.6    // of the fractional budget that is given at random: its variance adds to that of the work
	minColdRatePerSecond        = 1.0    // dispatches of all routers; an engine's typical rate counts as no less
	listRetrySeconds            = 1.0    // between requests for the engine list, where it is sent on request
	defaultOutputShare          = 0.4    // of the maximum output that is expected of a completion without a hint
	maxEstimatedOutputTokens    = 4000.0 // no output is expected to be longer, as clients state far more than they get
)

// cachedPrefix is a prefix that an engine is assumed to have cached, when that was recorded, and the engine's
// insertedTokens at that time.
type cachedPrefix struct{ tokens, at, insertedBefore float64 }

// engine is the router's only record of an engine. Loads and memory are in tokens.
type engine struct {
	id, zone, cell                   int
	hash                             uint64 // the same at every router
	phase                            Phase
	role                             Role
	pool                             *pool
	memory, startedAt                float64
	load                             [2]load
	prefixes                         [2]map[uint64]cachedPrefix // recorded lately, and before that; by session or shared prefix
	prefixesSince                    float64                    // start of the younger generation
	insertedTokens                   float64                    // all that came into its prefix cache for this router
	failureShare, failureShareAt     float64                    // share of failures, and as of when
	logSlowness, logSlownessAt       float64                    // log of its time against its stage's, and as of when
	succeededAt, reportedAt          float64                    // when it last did what was requested, and when it last reported
	coldBudgetLeft, coldHalfWindowAt float64                    // dispatches left in a cold engine's half window, and its start
	awaitingProbe                    []*Completion              // completions that wait for the result of its probe
}

// load is the load that this router has out at an engine, the load that the engine last reported, and what was out
// then.
type load struct{ out, reported, outAtReport float64 }

// pool holds the measurements that the engines of a role share.
type pool struct {
	readyEngines   float64
	out            [2]smoothedValue // tokens at all its engines
	reported       [3]float64       // loads and 1, summed over the engines by the age of their reports
	successRate    rateMeter        // reads and first tokens (failures come too fast to tell what an engine can do)
	meanReadTokens float64          // that a dispatch reads there
	meanReadCount  float64          // dispatches in that mean
}

// recordRead records a read or a first token, and the tokens read for it. The first one counts in full: one of
// hundreds of routers sees ten in a minute. What waits at a writer has mostly been read already, what waits at a
// reader has not.
func (p *pool) recordRead(now, tokens float64) {
	p.successRate.add(now, 1)
	p.meanReadCount++
	p.meanReadTokens += math.Max(minPaceGain, 1/p.meanReadCount) * (tokens - p.meanReadTokens)
}

// smoothedValue is a value and its average over rateTimeConstantSeconds.
type smoothedValue struct{ value, average, updatedAt float64 }

// add changes the value by n.
func (v *smoothedValue) add(now, n float64) {
	v.average += (1 - math.Exp((v.updatedAt-now)/rateTimeConstantSeconds)) * (v.value - v.average)
	v.value, v.updatedAt = v.value+n, now
}

// stage holds the measurements of reads, of writes, or of long reads at writers: the seconds per token of expected
// cost, how many times were measured, and the multiple of the expected time that only lateDispatchShare of them exceed.
type stage struct{ secondsPerToken, samples, lateFactor float64 }

// rateMeter measures events per second over rateTimeConstantSeconds.
type rateMeter struct{ perSecond, updatedAt float64 }

// rateAt returns the rate at the given time.
func (m *rateMeter) rateAt(now float64) float64 {
	return m.perSecond * math.Exp((m.updatedAt-now)/rateTimeConstantSeconds)
}

// add counts n events.
func (m *rateMeter) add(now, n float64) {
	m.perSecond, m.updatedAt = m.rateAt(now)+n/rateTimeConstantSeconds, now
}

// tenant is a tenant's token bucket: one token for each completion.
type tenant struct{ rate, tokens, refilledAt float64 }

// maxArrivals is how many completions may arrive by chance in a short time in which this many are expected.
func maxArrivals(expected float64) float64 { return expected + 2*math.Sqrt(expected) + 2 }

// Router makes the decisions of one router.
type Router struct {
	actions                    Actions
	now, tick                  float64
	rngState, nonce            uint64
	otherRouters, maxValue     float64 // other routers that share the subset; greatest value of a workload
	routers                    float64 // that share the fleet
	workloads                  []Workload
	reportColumns              [4]int // positions of queue, util, x0, x1 in a report
	roles                      []Role // by machine kind, as is memory
	memory                     []float64
	zone, maxDispatches        int     // maxDispatches: per completion
	retryAfter, overShareValue float64 // seconds; factor on the value beyond a tenant's share
	equivalentRouters          float64 // the others' load as a multiple of this one's, by the engines' reports

	writerReadsAllowed, reservationsAllowed, cancelAllowed, probesAllowed bool

	// Tokens by which a reader in another cell, one in another zone and a writer in another zone have to score better.
	crossCellTokens, crossZoneReadTokens, crossZoneWriteTokens float64

	// Limits of engines that warm up. coldBudgetPerRate is the dispatches per window at one dispatch per second.
	warmUpTime, coldStartShare, overloadWindow, coldBudgetPerRate float64

	engines     []*engine
	subset      []*engine    // engines that completions may go to
	readyInCell [][2]float64 // ready engines of a cell that read, and that write; mixed ones do both
	pools       [3]pool      // by role
	stages      [3]stage
	tenants     []tenant
	tenantsRate float64 // completions per second that the shares of all tenants allow at an average router
	arrivals    rateMeter
}

// New creates a router from its settings.
func New(s Settings, actions Actions) (*Router, error) {
	if len(s.Workloads) == 0 || len(s.Roles) == 0 {
		return nil, errors.New("settings: no workloads, or no roles of the machine kinds")
	}
	initial := stage{initialPaceSecondsPerToken, initialPaceSamples, initialLateFactor}
	r := &Router{
		actions: actions, rngState: s.Seed&math.MaxUint32 | 1<<32, nonce: s.Seed, overShareValue: s.OverShareValue, tick: s.Tick,
		otherRouters: math.Max(0, float64(s.Routers-1)), routers: float64(s.Routers), workloads: s.Workloads, roles: s.Roles,
		memory: s.Memory, zone: s.Zone,
		maxDispatches:        cmp.Or(s.MaxDispatches, defaultMaxDispatches),
		retryAfter:           math.Min(s.MaxRetryAfter, defaultRetryAfterSeconds),
		writerReadsAllowed:   s.WriterReadsAllowed,
		reservationsAllowed:  s.ReservationsAllowed && !s.ReservationsUnconfirmed,
		cancelAllowed:        s.CancelAllowed,
		probesAllowed:        s.ProbesAllowed && len(s.ReportColumns) > 0,
		crossCellTokens:      minDistanceTokens + distanceTokensPerPrice*s.CrossCellPrice,
		crossZoneWriteTokens: minDistanceTokens + 2*distanceTokensPerPrice*s.CrossZonePrice,
		crossZoneReadTokens:  distanceTokensPerPrice * s.CrossZonePrice,
		warmUpTime:           s.WarmUpTime, coldStartShare: s.ColdStartShare, overloadWindow: s.OverloadWindow,
		coldBudgetPerRate: s.OverloadMultiple * s.OverloadWindow,
		stages: [3]stage{initial, initial,
			{initialPaceSecondsPerToken * initialWriterReadPaceFactor, initialPaceSamples, initialLateFactor}},
	}
	r.equivalentRouters = r.otherRouters
	for _, w := range s.Workloads {
		r.maxValue = math.Max(r.maxValue, w.Value)
	}
	for i, name := range [...]string{"queue", "util", "x0", "x1"} {
		r.reportColumns[i] = slices.Index(s.ReportColumns, name)
	}
	for _, t := range s.Tenants {
		rate := t.Rate / (r.otherRouters + 1)
		r.tenants = append(r.tenants, tenant{rate: rate, tokens: maxArrivals(rate * tenantBurstSeconds)})
		r.tenantsRate += rate
	}
	if s.ListOnRequest {
		r.actions.WatchEngines()
	}
	return r, nil
}

// SetTime sets the time of the calls that follow, in seconds since the instance started.
func (r *Router) SetTime(now float64) { r.now = now }

// random returns a number from 0 up to 1, by a multiply-with-carry generator.
func (r *Router) random() float64 {
	r.rngState = (r.rngState&math.MaxUint32)*4294957665 + r.rngState>>32
	return float64(uint32(r.rngState)) / (1 << 32)
}

// TimerFired is called for SetRouterTimer: it requests the engine list again.
func (r *Router) TimerFired() { r.actions.WatchEngines() }

// UpdateEngines applies an engine list. An entry with another hash, role, location or start time is another engine,
// even under the same index: it starts with an empty record, and dispatches that are still out at the previous engine
// end on the previous record.
func (r *Router) UpdateEngines(kind ListKind, entries []EngineEntry) {
	if kind == ListFailed {
		r.actions.SetRouterTimer(listRetrySeconds * (0.5 + r.random())) // reported only where the list is sent on request
		return
	}
	for _, e := range r.engines {
		if kind != ListDelta {
			e.phase = Gone
		}
	}
	for _, entry := range entries {
		if entry.Index < 0 || entry.Cell < 0 || entry.MachineKind < 0 {
			r.actions.Log(fmt.Sprintf("engine list entry ignored: engine %d, cell %d or machine kind %d is negative",
				entry.Index, entry.Cell, entry.MachineKind))
			continue
		}
		for len(r.engines) <= entry.Index {
			r.engines = append(r.engines, r.newEngine(EngineEntry{Index: len(r.engines)}))
		}
		e := r.newEngine(entry)
		if previous := r.engines[entry.Index]; previous.isSameInstance(e) {
			e = previous
		} else {
			previous.phase, r.engines[entry.Index] = Gone, e
		}
		e.phase = entry.Phase
	}
	r.selectSubset()
	for i := range r.pools {
		r.pools[i].readyEngines = 0
	}
	for _, e := range r.subset {
		e.pool.readyEngines += boolToFloat(e.phase == Ready)
	}
	clear(r.readyInCell)
	for _, e := range r.engines {
		if r.now-e.succeededAt > prefixTTLSeconds { // all have expired
			e.prefixes = [2]map[uint64]cachedPrefix{}
		}
		for len(r.readyInCell) <= e.cell {
			r.readyInCell = append(r.readyInCell, [2]float64{})
		}
		if e.phase == Ready {
			r.readyInCell[e.cell][0] += boolToFloat(e.role != Writer)
			r.readyInCell[e.cell][1] += boolToFloat(e.role != Reader)
		}
	}
}

// newEngine returns the record of an engine of which only its list entry is known.
func (r *Router) newEngine(entry EngineEntry) *engine {
	e := &engine{id: entry.Index, zone: entry.Zone, cell: entry.Cell, hash: entry.Hash, role: Mixed, memory: defaultMemoryTokens,
		startedAt: entry.StartedAt, prefixesSince: r.now, reportedAt: math.Inf(-1), coldHalfWindowAt: math.Inf(-1)}
	if entry.MachineKind < len(r.roles) {
		e.role = r.roles[entry.MachineKind]
	}
	if entry.MachineKind < len(r.memory) && r.memory[entry.MachineKind] > 0 {
		e.memory = r.memory[entry.MachineKind]
	}
	e.pool = &r.pools[e.role]
	return e
}

// isSameInstance reports whether two records are of the same run of the same engine.
func (e *engine) isSameInstance(other *engine) bool {
	return e.hash == other.hash && e.startedAt == other.startedAt && e.role == other.role && e.memory == other.memory &&
		e.zone == other.zone && e.cell == other.cell
}

// relativeReadersPerWriter is the number of engines that read for each that writes in a cell, relative to the fleet:
// at 1 or more the cell's readers suffice for its writers.
func (r *Router) relativeReadersPerWriter(cell int) float64 {
	mixed, inCell := r.pools[Mixed].readyEngines, r.readyInCell[cell]
	return inCell[0] * (r.pools[Writer].readyEngines + mixed) / (inCell[1] * (r.pools[Reader].readyEngines + mixed))
}

// ProbeEnded records the result of a probe. A failed probe counts as a failure of the engine.
func (r *Router) ProbeEnded(id int, o Outcome, report []float64) {
	if id < 0 || id >= len(r.engines) {
		return // never listed
	}
	e := r.engines[id]
	if r.recordReport(e, report); o != Finished && o != Full {
		r.recordHealth(e, 1)
	}
	waiting := e.awaitingProbe
	e.awaitingProbe = nil
	for _, c := range waiting {
		if c.pendingProbes--; c.pendingProbes == 0 {
			c.advance()
		}
	}
}

// recordReport records a load report in tokens: those that wait to be read and those held. Values beyond what an
// engine can hold are cut off: a single absurd value would otherwise stay in every average of its pool for good.
func (r *Router) recordReport(e *engine, report []float64) {
	if len(report) == 0 {
		return
	}
	value := [4]float64{} // queue, util, x0, x1
	for i, column := range r.reportColumns {
		if value[i] = math.NaN(); column >= 0 && column < len(report) && !math.IsInf(report[column], 0) {
			value[i] = math.Max(0, report[column])
		}
	}
	prefill, memoryShare := value[3]*1000, value[2]
	if math.IsNaN(prefill) {
		prefill = value[0] * math.Max(maxLocalPrefillTokens, e.pool.meanReadTokens)
	}
	if e.role != Reader && value[1] > memoryShare || math.IsNaN(memoryShare) {
		memoryShare = value[1] // share of slots used
	}
	for i, tokens := range [...]float64{math.Min(prefill, maxReportedMemoryMultiple*e.memory), math.Min(memoryShare, 1) * e.memory} {
		if math.IsNaN(tokens) { // not reported
			tokens = r.totalLoad(e, i)
		}
		e.load[i].reported, e.load[i].outAtReport = tokens, e.load[i].out
	}
	e.reportedAt = r.now
}

// sampleWeight is how far this router's work at a pool is a sample of the other routers' work, from 0 to 1.
func (p *pool) sampleWeight() float64 {
	return p.out[memoryLoad].average / (p.out[memoryLoad].average + halfSampleTokens*math.Max(1, p.readyEngines))
}

// totalLoad estimates the load that all routers together have on an engine. This router's load there stands for the
// others' as far as it is a sample. For the rest they are assumed to have the average of the pool's engines, by
// reports and by this router's work there in the last seconds; a cold engine is assumed to have only what it had time
// for; otherwise no router would pick it. A report of the engine itself is blended in by its age.
func (r *Router) totalLoad(e *engine, i int) float64 {
	l, p, weight := &e.load[i], e.pool, e.pool.sampleWeight()*boolToFloat(e.succeededAt > 0)
	average := r.warmUpProgress(e) * (r.equivalentRouters*p.out[i].average/math.Max(1, p.readyEngines) + p.reported[i]) / (1 + p.reported[2])
	estimate := l.out + weight*r.equivalentRouters*l.out + (1-weight)*average
	reportWeight := math.Exp((e.reportedAt - r.now) / reportDecaySeconds)
	return reportWeight*math.Max(l.out, l.reported+(l.out-l.outAtReport)*(1+weight*r.equivalentRouters)) + (1-reportWeight)*estimate
}

// updatePoolReports sums up the last reports of each pool's engines, and estimates how many routers like this one the
// others would have to be to explain them: a router that gets several times the mean would otherwise assume that all
// others are as busy. Where reports count cached memory as held, the estimate is too high.
func (r *Router) updatePoolReports() {
	for i := range r.pools {
		r.pools[i].reported = [3]float64{}
	}
	for _, e := range r.subset {
		w := math.Exp((e.reportedAt-r.now)/poolReportDecaySeconds) * boolToFloat(e.phase == Ready)
		for i, n := range [...]float64{e.load[prefillLoad].reported, e.load[memoryLoad].reported, 1} {
			e.pool.reported[i] += w * n
		}
	}
	own, total, weight := 0.0, 0.0, 0.0
	for i := range r.pools {
		if p := &r.pools[i]; p.reported[2] > 0 {
			own += p.out[memoryLoad].average
			total += p.readyEngines * p.reported[memoryLoad] / p.reported[2]
			weight += p.reported[2]
		}
	}
	r.equivalentRouters = (r.otherRouters + weight*math.Min(r.otherRouters, math.Max(0, total/math.Max(1, own)-1))) / (1 + weight)
}

// cost is the expected cost in tokens of sending uncached tokens to an engine: the tokens to be read, these and those
// before them, and how full the engine is.
func (r *Router) cost(e *engine, uncached float64) float64 {
	heldShare := math.Min(1, r.totalLoad(e, memoryLoad)/e.memory)
	return uncachedTokenWeight*uncached + r.totalLoad(e, prefillLoad) + dispatchOverheadTokens +
		memoryPressureTokens*heldShare/(memoryPressureLimitShare-heldShare)
}

// recordHealth records an outcome, 1 for a failure, in the engine's failure share. It guards against anything that
// makes an engine fail. Where completions are at fault, all engines look unhealthy, and none is preferred.
func (r *Router) recordHealth(e *engine, failed float64) {
	wasUnhealthy := e.failureShare > unhealthyFailureShare
	if failed == 0 {
		e.succeededAt = r.now
	}
	e.failureShare = r.currentFailureShare(e) + failureGain*(failed-r.currentFailureShare(e))
	e.failureShareAt = r.now
	if isUnhealthy := e.failureShare > unhealthyFailureShare; isUnhealthy != wasUnhealthy {
		r.actions.Log(fmt.Sprintf("engine %d unhealthy %v: failure share %.2f", e.id, isUnhealthy, e.failureShare))
	}
}

// currentFailureShare is an engine's failure share, decayed until now.
func (r *Router) currentFailureShare(e *engine) float64 {
	if e.failureShare == 0 { // the common case
		return 0
	}
	return e.failureShare * r.healthDecay(e, e.failureShareAt, failureDecaySeconds)
}

// healthDecay is the part of a health measurement that still counts: the less this router sees of the work, the
// longer it lasts.
func (r *Router) healthDecay(e *engine, at, timeConstant float64) float64 {
	return math.Exp((at - r.now) / timeConstant / (1 + unsampledDecayExtension*(1-e.pool.sampleWeight())))
}

// score is the cost adjusted for the engine's health: slowness relative to its pool multiplies it, and failures make
// it due again. As a price that excludes no engine, it needs no limit on how many are avoided: if all are unhealthy,
// all rank alike.
func (r *Router) score(e *engine, uncached float64) float64 {
	slowness, failing := 1.0, math.Min(maxFailureShare, r.currentFailureShare(e))
	if e.logSlowness > 0 {
		slowness = math.Exp(e.logSlowness * r.healthDecay(e, e.logSlownessAt, slownessDecaySeconds))
	}
	return (r.cost(e, uncached)*slowness + failing*failureCostTokens) / (1 - failing)
}

// cachedTokens estimates how many of the prompt's tokens an engine has cached. An entry expires with time, and with
// what has been read since, which evicts older prefixes from the memory that is left.
func (r *Router) cachedTokens(e *engine, p *Prompt) float64 {
	cached, freeMemory := 0.0, -1.0 // freeMemory: computed once an entry is found
	for i, key := range [...]uint64{p.Session, p.SharedPrefix} {
		prefix, found := e.prefixes[0][key]
		if !found {
			prefix, found = e.prefixes[1][key]
		}
		if key == 0 || !found || r.now-prefix.at > prefixTTLSeconds {
			continue
		}
		if freeMemory < 0 {
			freeMemory = math.Max(minPrefixMemoryShare*e.memory, e.memory-r.totalLoad(e, memoryLoad))
		}
		if (e.insertedTokens-prefix.insertedBefore)*(1+r.otherRouters*e.pool.sampleWeight()) > freeMemory {
			continue
		}
		if i == 1 {
			prefix.tokens = math.Min(prefix.tokens, p.SharedPrefixTokens)
		}
		cached = math.Max(cached, math.Min(prefix.tokens, p.Tokens))
	}
	return cached
}

// recordPrefix records that an engine now has the prompt cached. cachedTokens is how many it had cached, below 0 if
// unknown. If that is less than half of the expected tokens, all entries of the engine are dropped. This guards
// against wrong entries; it also drops correct ones when a single prefix was evicted.
func (r *Router) recordPrefix(e *engine, p *Prompt, expected, cachedTokens float64) {
	switch {
	case cachedTokens >= 0 && expected >= minPrefixCheckTokens && cachedTokens < expected/2:
		r.actions.Log(fmt.Sprintf("engine %d: cached prefixes dropped, %.0f of %.0f expected tokens found", e.id, cachedTokens, expected))
		e.prefixes, e.prefixesSince = [2]map[uint64]cachedPrefix{{}, nil}, r.now
	case e.prefixes[0] == nil || len(e.prefixes[0]) >= maxPrefixEntries/2-1 || r.now-e.prefixesSince > prefixTTLSeconds:
		e.prefixes, e.prefixesSince = [2]map[uint64]cachedPrefix{{}, e.prefixes[0]}, r.now
	}
	e.insertedTokens += p.Tokens - math.Max(cachedTokens, 0)
	for i, key := range [...]uint64{p.Session, p.SharedPrefix} {
		if key != 0 {
			e.prefixes[0][key] = cachedPrefix{[...]float64{p.Tokens, p.SharedPrefixTokens}[i], r.now, e.insertedTokens}
		}
	}
}

// warmUpProgress is the part of its warm-up that an engine has completed, 1 for a warm engine.
func (r *Router) warmUpProgress(e *engine) float64 {
	if progress := (r.now - e.startedAt) / r.warmUpTime; progress < 1 {
		return math.Max(0, progress)
	}
	return 1
}

// exceedsColdBudget reports whether the cold budget keeps a completion from an engine that warms up. In each half
// window the engine takes this router's part of OverloadMultiple times its share of the typical rate, in dispatches
// of mean work. A fraction of a dispatch, which is all that one of hundreds of routers has, is given at random to the
// completions: given by time, it would lapse wherever no completion arrives just then. This keeps to the overload
// limit, as chance adds no more than two square roots to what all routers are allowed. It costs capacity where the
// rest of the fleet is full.
func (c *Completion) exceedsColdBudget(e *engine) bool {
	r := c.router
	progress := r.warmUpProgress(e)
	if progress == 1 || r.overloadWindow <= 0 {
		return false
	}
	engines := math.Max(1, e.pool.readyEngines)
	rate := math.Max(minColdRatePerSecond/(r.otherRouters+1), e.pool.successRate.rateAt(r.now)/engines)
	allowed := coldHalfWindowBudgetShare * r.coldBudgetPerRate * (r.coldStartShare + (1-r.coldStartShare)*progress) * rate
	if r.now >= e.coldHalfWindowAt+r.overloadWindow/2 {
		e.coldHalfWindowAt, e.coldBudgetLeft = r.now, math.Floor(allowed)
	}
	// All arrivals, whether this pool serves them or not.
	candidates := math.Max(rate*engines, r.arrivals.rateAt(r.now)-1/rateTimeConstantSeconds) * r.overloadWindow / 2
	chance := coldRandomShare * (allowed - math.Floor(allowed)) / candidates
	return e.coldBudgetLeft < 1 && hashFraction(c.id+r.nonce, e.hash) >= chance/c.dispatchWeight(e)
}

// dispatchWeight is the work of a dispatch to an engine, in dispatches of mean work: the tokens read there in mean
// reads.
func (c *Completion) dispatchWeight(e *engine) float64 {
	return math.Max(1, c.uncachedTokens(e)*boolToFloat(c.stateReader == nil)/math.Max(maxLocalPrefillTokens, e.pool.meanReadTokens))
}

// mayRead reports whether an engine may read for the fleet: a writer may only if half its memory is known to be free.
// This guards against overloaded or lost readers, at the cost of the streams of the writer that reads.
func (r *Router) mayRead(e *engine) bool {
	return e.role != Writer || r.writerReadsAllowed && r.totalLoad(e, memoryLoad) < writerReadsMemoryShare*e.pool.sampleWeight()*e.memory
}

// bestEngine returns the engine with the lowest score for a read or a write. cost returns what an engine would have
// to read, and the price of its distance, both in tokens. Engines that have failed this completion come last.
func (c *Completion) bestEngine(reads bool, cost func(*engine) (uncached, distance float64)) *engine {
	var best *engine
	r, lowest := c.router, math.Inf(1)
	for _, e := range r.subset {
		if e.phase != Ready || !reads && e.role == Reader || reads && !r.mayRead(e) || !c.mayDispatch(e) || c.exceedsColdBudget(e) {
			continue
		}
		uncached, distance := cost(e)
		score := (r.score(e, uncached) + distance) * (1 + tieBreakJitterShare*r.random())
		if reads && e.role != Reader {
			score *= r.stages[2].secondsPerToken / r.stages[0].secondsPerToken
		}
		if c.hasFailedAt(e) {
			score += failedEnginePenaltyTokens
		}
		if score < lowest {
			best, lowest = e, score
		}
	}
	return best
}

// dispatch is one attempt at an engine: a read, or a write.
type dispatch struct {
	engine, nextWriter               *engine // nextWriter: gets the state once the prompt is read
	sentAt, lateAt                   float64 // lateAt: when it counts as late
	prefillTokens, memoryTokens      float64 // uncached tokens to be read there, tokens of its memory
	expectedCachedTokens, costTokens float64 // prompt tokens assumed cached there, expected cost
	stage                            int     // 0 a read, 1 a write, 2 a long read at a writer
	readsPrompt                      bool    // at a reader or not, instead of fetching a state
	out, overdue, mayHaveRun, broken bool
}

// Completion is the handle of a completion that is being routed.
type Completion struct {
	router                         *Router
	id                             uint64
	prompt                         Prompt
	workload                       *Workload
	limitShare, outputTokens       float64 // share of each limit that it may use, by its value; expected output
	deadline, timerAt              float64
	writer                         *engine // where the output is to be written
	stateReader                    *engine // holds the state of the prompt
	affinityReader, affinityWriter *engine // for its prefix among readers, for its session among writers
	pendingProbes, probeRounds     int     // probes out, rounds of probes so far
	dispatches                     []*dispatch
	inFlight                       *dispatch // the dispatch that is out

	needsRelease, started, answered bool // needsRelease: a state or a reservation is held
	ignoresDistance                 bool // it goes to any engine, at no price of distance
}

// Route starts to route a completion and returns its handle. The id names it in Actions.
func (r *Router) Route(id uint64, p Prompt) *Completion {
	c := &Completion{router: r, id: id, prompt: p, workload: &r.workloads[p.Workload], deadline: r.now + p.TimeLeft,
		timerAt:      math.Inf(1),
		outputTokens: math.Min(maxEstimatedOutputTokens, p.MaxOutputTokens*defaultOutputShare),
		limitShare:   minLimitShare + (1-minLimitShare)*r.relativeValue(&p)}
	if p.OutputTimeHint > 0 && c.workload.InterTokenTarget > 0 {
		c.outputTokens = math.Min(math.Min(maxEstimatedOutputTokens, p.MaxOutputTokens), p.OutputTimeHint/c.workload.InterTokenTarget)
	}
	if p.Resumed {
		// Most of its value is already earned, so only its time limits it. This guards against streams lost where a
		// router or an engine stops. While many resume at once, each costs the other completions a read.
		c.limitShare = math.Inf(1)
	}
	// Until a read is measured, what waits at readers is assumed to be like this completion.
	if reads := &r.pools[Reader]; reads.meanReadCount == 0 {
		reads.meanReadTokens = p.Tokens - p.SharedPrefixTokens
	}
	c.advance()
	return c
}

// relativeValue is a completion's value for its work against the greatest, reduced beyond its tenant's share. Where a
// router gets more than all shares allow an average router, all shares grow alike: it cannot tell whether all routers
// get as much or only this one, and in the first case no tenant is more at fault than another. It guards against a
// tenant that sends far more than its share. It is unfair where a router's clients nearly all belong to one tenant.
func (r *Router) relativeValue(p *Prompt) float64 {
	value := r.workloads[p.Workload].Value / math.Max(r.maxValue, 1e-9)
	r.arrivals.add(r.now, 1)
	if p.Tenant < len(r.tenants) {
		t := &r.tenants[p.Tenant]
		rate := t.rate * math.Max(1, r.arrivals.rateAt(r.now)/math.Max(r.tenantsRate, 1e-9))
		t.tokens = math.Min(maxArrivals(rate*tenantBurstSeconds), t.tokens+(r.now-t.refilledAt)*rate)
		t.refilledAt = r.now
		if t.tokens < 1 {
			return value * r.overShareValue
		}
		t.tokens--
	}
	return value
}

// hasFailedAt reports whether an engine has failed the completion and should be avoided. A stream that broke is
// requested again where its text is now cached, unless that engine is unhealthy: elsewhere everything would be read
// again.
func (c *Completion) hasFailedAt(e *engine) bool {
	failed := func(d *dispatch) bool {
		return d.engine == e && !(d.broken && c.router.currentFailureShare(e) <= unhealthyFailureShare)
	}
	return c.stateReader != e && slices.ContainsFunc(c.dispatches, failed)
}

// mayDispatch enforces that no completion takes effect twice, reads included: no dispatch may be out or have run,
// unless the engine drops repeats of it and its deduplication window is still open.
func (c *Completion) mayDispatch(e *engine) bool {
	return c.workload.Idempotency == Idempotent || c.router.now < c.sendBy() && c.allPossiblyRun(func(d *dispatch) bool {
		inScope := c.workload.DedupScope == DedupAll || c.workload.DedupScope == DedupZone && d.engine.zone == e.zone ||
			c.workload.DedupScope == DedupCell && d.engine.cell == e.cell
		return c.workload.Idempotency == Tokened && inScope
	})
}

// sendBy returns the time before which the last byte of a repeat has to be sent, as the deduplication window of a
// dispatch that has possibly run ends then, or +Inf.
func (c *Completion) sendBy() float64 {
	end := math.Inf(1)
	for _, d := range c.dispatches {
		if c.workload.Idempotency == Tokened && d.hasPossiblyRun() {
			end = math.Min(end, d.sentAt+c.workload.DedupWindow-2*c.router.tick)
		}
	}
	return end
}

// hasPossiblyRun reports whether a dispatch is out or, at a writer, may have run.
func (d *dispatch) hasPossiblyRun() bool { return d.out || d.stage > 0 && d.mayHaveRun }

// isSafeToRetry reports whether the client may send the completion again without it taking effect twice.
func (c *Completion) isSafeToRetry() bool {
	return c.workload.Idempotency == Idempotent || c.workload.Idempotency == Tokened && c.workload.DedupScope == DedupAll ||
		c.allPossiblyRun(func(*dispatch) bool { return false })
}

// allPossiblyRun reports whether a condition holds for every dispatch that has possibly run.
func (c *Completion) allPossiblyRun(condition func(*dispatch) bool) bool {
	return !slices.ContainsFunc(c.dispatches, func(d *dispatch) bool { return d.hasPossiblyRun() && !condition(d) })
}

// advance sends the next dispatch. A held state goes to a writer. Otherwise, on the ordinary path, the writer is
// picked first; it reads a small uncached remainder itself, and a reader reads a larger one.
func (c *Completion) advance() {
	r := c.router
	if c.answered || c.started || c.inFlight != nil {
		return
	}
	if c.stateReader != nil {
		c.sendWrite()
		return
	}
	r.updatePoolReports()
	c.setAffinity()
	// Distance has a price, a share of a completion's value; being late costs most of the value. The price guards
	// against traffic that shifts to one zone. Where all are full, ignoring it causes moves. It is then ignored in
	// full: where little is known of the engines, all routers would follow the smallest remainder of it.
	var nearReader, nearWriter *engine
	for c.ignoresDistance = false; ; c.ignoresDistance = true {
		reader := c.pickEngines()
		if c.probeIfStale(reader) {
			return
		}
		if !c.ignoresDistance {
			if d, _ := c.fittingDispatch(reader, true); d == nil {
				nearReader, nearWriter = reader, c.writer
				continue
			}
		} else if nearReader != nil && c.expectedTime(nearReader) <= c.expectedTime(reader) { // not faster far away
			reader, c.writer = nearReader, nearWriter
		}
		c.send(reader)
		return
	}
}

// expectedTime is how long a dispatch to an engine is expected to take, in seconds.
func (c *Completion) expectedTime(e *engine) float64 {
	if e == nil {
		return math.Inf(1)
	}
	_, expected := c.newDispatch(e)
	return expected
}

// pickEngines picks the writer, and returns the engine that is to read for it: the writer itself for a small uncached
// remainder.
func (c *Completion) pickEngines() *engine {
	r := c.router
	var reader *engine
	if c.writer = c.bestEngine(false, c.writeCost); c.writer != nil && !c.writersFull() {
		reader = c.bestEngine(true, c.readCost)
		if w := c.writer; reader != nil && reader != w && reader.role != Reader && c.uncachedTokens(w) > maxLocalPrefillTokens {
			c.writer = reader // it would write there, too; a reader near it may be better still
			if nearReader := c.bestEngine(true, c.readCost); nearReader != nil && nearReader.role == Reader {
				reader = nearReader
			} else {
				c.writer = w
			}
		}
		if (r.writerReadsAllowed || c.writer.role == Mixed) && (reader == nil || c.uncachedTokens(c.writer) <= maxLocalPrefillTokens) {
			reader = c.writer
		}
	}
	if c.ignoresDistance && reader != nil && reader.role == Reader { // both may be far from this router, but not from each other
		c.writer = cmp.Or(c.bestEngine(false, func(e *engine) (uncached, distance float64) {
			uncached, distance = c.writeCost(e)
			return uncached, distance + unobservedDistanceShare*unobservedDistanceShare*r.crossCellTokens*boolToFloat(e.cell != reader.cell)
		}), c.writer)
	}
	return reader
}

// writeCost is the cost of a write at an engine, for bestEngine.
func (c *Completion) writeCost(e *engine) (uncached, distance float64) {
	return math.Min(maxWriterPrefillCostTokens, c.uncachedTokens(e)),
		c.router.crossZoneWriteTokens*boolToFloat(e.zone != c.router.zone && !c.ignoresDistance) +
			(1-e.pool.sampleWeight())*maxWriterPrefillCostTokens*boolToFloat(e != c.affinityWriter)
}

// readCost is the cost of a read at an engine for the picked writer, for bestEngine.
func (c *Completion) readCost(e *engine) (uncached, distance float64) {
	if w, weight := c.writer, e.pool.sampleWeight(); w != nil && e.role == Reader && !c.ignoresDistance {
		distance = c.router.crossCellTokens*boolToFloat(e.cell != w.cell) + c.router.crossZoneReadTokens*boolToFloat(e.zone != w.zone)
		distance *= weight + unobservedDistanceShare*(1-weight)*boolToFloat(e != c.affinityReader || w != c.affinityWriter)
	}
	return c.uncachedTokens(e), distance
}

// probeIfStale probes the picked writer and reader, if allowed, when their reports are old: once for near engines,
// once for any. It reports whether results are pending; they decide whether the pick stands. This guards against
// picks from few observations. Slow probes cost time.
func (c *Completion) probeIfStale(reader *engine) bool {
	r, rounds := c.router, 1
	if c.ignoresDistance {
		rounds = 2
	}
	if !r.probesAllowed || c.probeRounds >= rounds || r.now+2*probeWaitSeconds > c.deadline {
		return c.pendingProbes > 0
	}
	c.probeRounds = rounds
	for _, e := range [...]*engine{c.writer, reader} {
		if e != nil && r.now-e.reportedAt > maxReportAgeSeconds && !slices.Contains(e.awaitingProbe, c) {
			if e.awaitingProbe == nil {
				r.actions.Probe(e.id)
			}
			e.awaitingProbe = append(e.awaitingProbe, c)
			c.pendingProbes++
		}
	}
	if c.pendingProbes > 0 {
		c.timerAt = r.now + probeWaitSeconds
		r.actions.SetTimer(c.id, probeWaitSeconds)
	}
	return c.pendingProbes > 0
}

// hashFraction hashes a key and a candidate, an engine or a cell, to a number from 0 up to 1, the same at every
// router.
func hashFraction(key, candidate uint64) float64 {
	h := (key ^ candidate*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>31) * 0x94d049bb133111eb
	return (float64((h^h>>29)>>11) + 0.5) / (1 << 53)
}

// affinityEngine returns the engine, among readers or among all others, that all routers agree on for a key, by
// weighted rendezvous hashing.
func (r *Router) affinityEngine(key uint64, reads bool, weight func(*engine) float64) *engine {
	var best *engine
	lowest := math.Inf(1)
	for _, e := range r.subset {
		if key == 0 || e.phase != Ready || (e.role == Reader) != reads {
			continue
		}
		if score := -math.Log(hashFraction(key, e.hash)) / weight(e); score < lowest { // weight 0 excludes an engine
			best, lowest = e, score
		}
	}
	return best
}

// setAffinity finds the completion's affinity engines: the reader that all routers of the zone would have read this
// prefix, and the writer that they would have write this session, in one cell as far as its writers and readers match
// in number. Each additional affinity reader of a prefix would read it again, so there is a single one where probes
// reveal congestion at it, which diverts some completions; otherwise there is one in the cell of each writer, as
// congestion would not be seen. Affinity stands in for the table of cached prefixes where a router sees little of the
// work. It places work badly where cells differ in more than their numbers.
func (c *Completion) setAffinity() {
	r, prefix := c.router, cmp.Or(c.prompt.SharedPrefix, c.prompt.Session)
	writerBy := func(weight func(e *engine) float64) *engine {
		return r.affinityEngine(c.prompt.Session, false, func(e *engine) float64 { return boolToFloat(e.zone == r.zone) * weight(e) })
	}
	sameCell := func(other *engine) func(*engine) float64 {
		return func(e *engine) float64 { return boolToFloat(e.cell == other.cell) }
	}
	c.affinityReader, c.affinityWriter = nil, nil
	if r.probesAllowed {
		c.affinityReader = r.affinityEngine(prefix, true, func(e *engine) float64 {
			return remoteAffinityWeight + boolToFloat(e.zone == r.zone && r.readyInCell[e.cell][1] > 0)
		})
	}
	if reader := c.affinityReader; reader != nil {
		weight := func(e *engine) float64 { return math.Max(0, 1-r.relativeReadersPerWriter(e.cell)) } // has writers to spare
		if hashFraction(c.prompt.Session, uint64(reader.cell)) < 1/r.relativeReadersPerWriter(reader.cell) {
			weight = sameCell(reader)
		}
		c.affinityWriter = writerBy(weight)
	}
	if c.affinityWriter == nil {
		c.affinityWriter = writerBy(func(*engine) float64 { return 1 })
	}
	if writer := c.affinityWriter; writer == nil {
		c.affinityReader = nil
	} else if !r.probesAllowed {
		weight := func(e *engine) float64 { return math.Max(0, 1-1/r.relativeReadersPerWriter(e.cell)) } // has readers to spare
		if hashFraction(prefix, uint64(writer.cell)) < r.relativeReadersPerWriter(writer.cell) {
			weight = sameCell(writer)
		}
		c.affinityReader = r.affinityEngine(prefix, true, weight)
	}
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// uncachedTokens is how many of the prompt's tokens an engine would have to read. The affinity reader is assumed to
// have the shared prefix as far as this router's work is no sample.
func (c *Completion) uncachedTokens(e *engine) float64 {
	return c.prompt.Tokens - math.Max(c.router.cachedTokens(e, &c.prompt),
		boolToFloat(e == c.affinityReader)*(1-e.pool.sampleWeight())*c.prompt.SharedPrefixTokens)
}

// writersFull bounds the work in flight by memory: it reports whether the writer has no memory left and all writers
// together are nearly full. This guards against overload, lost writers and long prompts. It rejects too much when
// reports show memory as held that is not.
func (c *Completion) writersFull() bool {
	r, held, memory := c.router, 0.0, 1.0
	for _, e := range r.subset {
		if e.phase == Ready && e.role != Reader {
			held += math.Min(e.memory, r.totalLoad(e, memoryLoad))
			memory += e.memory
		}
	}
	return len(c.dispatches) == 0 && held > maxAllWritersMemoryShare*c.limitShare*memory &&
		r.totalLoad(c.writer, memoryLoad)+c.prompt.Tokens > maxWriterMemoryShare*c.writer.memory
}

// sendWrite sends a completion with a held state to its writer, or to a better one if that has become unhealthy.
func (c *Completion) sendWrite() {
	r, w := c.router, c.writer
	if w == nil || w.phase != Ready || r.currentFailureShare(w) > unhealthyFailureShare || c.hasFailedAt(w) ||
		!c.mayDispatch(w) || c.exceedsColdBudget(w) {
		c.writer = c.bestEngine(false, func(e *engine) (float64, float64) {
			return 0, r.crossCellTokens * boolToFloat(e.cell != c.stateReader.cell)
		})
	}
	c.send(c.writer)
}

// newDispatch returns a dispatch to an engine as it would be sent now, and the seconds that it is expected to take.
func (c *Completion) newDispatch(e *engine) (d *dispatch, expected float64) {
	r := c.router
	tokens := c.uncachedTokens(e) * boolToFloat(c.stateReader == nil)
	d = &dispatch{engine: e, sentAt: r.now, prefillTokens: tokens,
		expectedCachedTokens: r.cachedTokens(e, &c.prompt), costTokens: r.cost(e, tokens/uncachedTokenWeight),
		out: true, memoryTokens: c.prompt.Tokens, readsPrompt: c.stateReader == nil}
	if e.role != Reader {
		d.stage, d.memoryTokens = 1+int(min(tokens/maxLocalPrefillTokens, 1)), c.prompt.Tokens+c.outputTokens/2
	}
	return d, d.costTokens * r.stages[d.stage].secondsPerToken
}

// fittingDispatch returns the dispatch to an engine and its expected time, or nil if no dispatch is left or the time
// is too short. A first dispatch may take a share of the latency target, a small share for near engines. Where the
// pace is mostly the initial one, only what waits at the engine counts against it, not its own tokens: a few short
// reads that waited say nothing about a long one. This guards against long prompts rejected by routers that see
// little of the work. It makes some late where engines read far slower than the initial pace.
func (c *Completion) fittingDispatch(e *engine, near bool) (d *dispatch, expected float64) {
	if e == nil {
		return nil, 0
	}
	r := c.router
	d, expected = c.newDispatch(e)
	if r.now+expected > c.deadline || len(c.dispatches) >= r.maxDispatches {
		return nil, 0
	}
	if len(c.dispatches) == 0 && d.stage != 1 {
		writeTime := r.cost(c.writer, 0) * r.stages[1].secondsPerToken * (1 - c.writer.pool.sampleWeight()) // the rest is covered by writersFull
		maxShare, uncounted := maxNearReadTargetShare, 0.0
		if p := &r.stages[d.stage]; !near {
			maxShare, uncounted = maxReadTargetShare, d.prefillTokens*p.secondsPerToken*math.Pow(initialPaceSamples/p.samples, 2)
		}
		target := c.limitShare * (c.workload.LatencyTarget + c.workload.LatencyTargetPerToken*c.prompt.Tokens)
		if expected-uncounted+writeTime > maxShare*target && (near || !c.fitsIdleEngine(d, expected+writeTime, target)) {
			return nil, 0
		}
	}
	return d, expected
}

// fitsIdleEngine reports whether a long read is long because of its own tokens, with little waiting before it, and is
// still likely to be in time: what varies is the wait. It guards against long prompts rejected where there is
// capacity for them. It delays those that come next at that engine.
func (c *Completion) fitsIdleEngine(d *dispatch, expected, target float64) bool {
	readTime := d.prefillTokens * c.router.stages[d.stage].secondsPerToken
	return expected-readTime < maxIdleWaitTargetShare*target && expected < maxIdleReadTargetShare*target
}

// send sends a dispatch if it fits, and rejects the completion otherwise. While a prompt is read, its memory counts
// as held at the writer, so that completions that arrive meanwhile see it.
func (c *Completion) send(e *engine) {
	r := c.router
	d, expected := c.fittingDispatch(e, false)
	if d == nil {
		c.reject()
		return
	}
	d.lateAt = r.now + math.Max(minLateSeconds, expected*r.stages[d.stage].lateFactor)
	e.coldBudgetLeft -= c.dispatchWeight(e)
	sendBy := c.sendBy()
	c.dispatches, c.inFlight = append(c.dispatches, d), d
	r.addLoad(e, d.prefillTokens, d.memoryTokens)
	r.actions.Dispatch(c.id, e.id, c.deadline-r.now, sendBy)
	if d.stage == 0 {
		d.nextWriter = c.writer
		r.addLoad(d.nextWriter, 0, c.prompt.Tokens+c.outputTokens/2)
		if r.reservationsAllowed {
			c.needsRelease = true
			r.actions.Reserve(c.id, c.writer.id)
		}
	}
	c.armTimer()
}

// addLoad adds tokens to the loads that are out at an engine, in the order of the loads.
func (r *Router) addLoad(e *engine, tokens ...float64) {
	for i, n := range tokens {
		e.load[i].out += n
		e.pool.out[i].add(r.now, n)
	}
}

// armTimer sets the completion's only timer: to when the dispatch becomes late, else to the client timeout.
func (c *Completion) armTimer() {
	timerAt := c.deadline - 2*c.router.tick
	if d := c.inFlight; d != nil && !d.overdue {
		timerAt = math.Min(timerAt, d.lateAt)
	}
	if timerAt < c.timerAt || c.timerAt <= c.router.now+c.router.tick { // the timer may fire early by a rounding error
		c.timerAt = timerAt
		c.router.actions.SetTimer(c.id, math.Max(c.router.tick, timerAt-c.router.now))
	}
}

// TimerFired is called for SetTimer. A late dispatch at an unhealthy engine is cancelled, and its end sends the
// completion on. This guards against engines that are silent, cut off or stuck. It wastes work when the engine was
// about to answer.
func (c *Completion) TimerFired() {
	r := c.router
	if c.answered || c.started {
		return
	}
	if r.now >= c.deadline-3*r.tick {
		c.reject()
		return
	}
	if c.pendingProbes > 0 {
		c.pendingProbes = 0
		c.advance()
	}
	if d := c.inFlight; d != nil && !d.overdue && d.lateAt <= r.now {
		r.recordTime(d, r.now-d.sentAt)
		d.overdue = true
		if d.engine.succeededAt < d.sentAt { // silent since then, not just slow
			r.recordHealth(d.engine, 1)
		}
		if r.cancelAllowed && r.currentFailureShare(d.engine) > unhealthyFailureShare &&
			len(c.dispatches) < r.maxDispatches-1 && (d.stage == 0 || c.workload.Idempotency == Idempotent) {
			r.actions.Cancel(c.id, len(c.dispatches)-1)
		}
	}
	if !c.answered {
		c.armTimer()
	}
}

// recordTime records a dispatch's time in its stage's pace and late factor, and in its engine's slowness.
func (r *Router) recordTime(d *dispatch, took float64) {
	if d.overdue { // recorded when it became late
		return
	}
	p := &r.stages[d.stage]
	ratio := took / math.Max(1e-6, d.costTokens*p.secondsPerToken)
	p.lateFactor = math.Max(minLateFactor, p.lateFactor*math.Exp(lateFactorLogStep*(boolToFloat(ratio > p.lateFactor)-lateDispatchShare)))
	p.samples++
	p.secondsPerToken *= 1 + math.Max(minPaceGain, 1/p.samples)*(math.Min(ratio, maxPaceRatio)-1)
	d.engine.logSlowness *= r.healthDecay(d.engine, d.engine.logSlownessAt, slownessDecaySeconds)
	d.engine.logSlowness += slownessGain * (math.Log(math.Max(ratio, minSlownessRatio)) - d.engine.logSlowness)
	d.engine.logSlownessAt = r.now
}

// ReservationAnswered says whether the requested reservation is held. If not, the writer is picked anew after the
// read.
func (c *Completion) ReservationAnswered(_ int, held bool) {
	if !held {
		c.writer = nil
	}
}

// DispatchStarted records the first token of dispatch n, counted from 0, and the seconds that it took.
func (c *Completion) DispatchStarted(n int, took float64) {
	if n < 0 || n >= len(c.dispatches) || c.started {
		return
	}
	c.started = true
	d := c.dispatches[n]
	c.router.recordTime(d, took)
	c.router.recordHealth(d.engine, 0)
	d.engine.pool.recordRead(c.router.now, d.prefillTokens)
	c.router.addLoad(d.engine, -d.prefillTokens, 0)
	d.prefillTokens = 0
	if d.readsPrompt { // a prompt read here is cached at once, a fetched state only once its output is written
		c.router.recordPrefix(d.engine, &c.prompt, 0, -1)
	}
	c.stateReader = nil
}

// DispatchEnded records how dispatch n ended, the seconds that it took, whether the completion has its answer, the
// prompt tokens that the engine had cached, and the engine's load report.
func (c *Completion) DispatchEnded(n int, o Outcome, took float64, done bool, cachedTokens float64, report []float64) {
	if n < 0 || n >= len(c.dispatches) || !c.dispatches[n].out {
		return
	}
	r, d := c.router, c.dispatches[n]
	r.addLoad(d.engine, -d.prefillTokens, -d.memoryTokens)
	if d.nextWriter != nil {
		r.addLoad(d.nextWriter, 0, -c.prompt.Tokens-c.outputTokens/2)
	}
	d.out, c.inFlight = false, nil
	r.recordReport(d.engine, report)
	if o == Read || o == Finished {
		cachedTokens = math.Min(cachedTokens, c.prompt.Tokens) // engines count tokens in their own way
	}
	d.broken, d.mayHaveRun = o == Broken, o != Read && o != Full && o != Unreachable && o != NotSent
	if cachedTokens == 1 && o != Read && o != Finished { // there was no state to fetch, or it was released meanwhile
		c.stateReader = nil
	}
	switch {
	case o == Read:
		r.recordTime(d, took)
		d.engine.pool.recordRead(r.now, c.prompt.Tokens-math.Max(cachedTokens, 0))
		r.recordPrefix(d.engine, &c.prompt, d.expectedCachedTokens, cachedTokens)
		c.stateReader, c.needsRelease = d.engine, true
		r.recordHealth(d.engine, 0)
	case o == Finished:
		if !d.readsPrompt || cachedTokens < d.expectedCachedTokens/2 {
			r.recordPrefix(d.engine, &c.prompt, d.expectedCachedTokens, cachedTokens)
		}
		r.recordHealth(d.engine, 0)
	case o == Full && cachedTokens == 1: // says nothing about the engine
	case o != Cancelled && o != NotSent && !d.overdue: // the others say nothing new about the engine
		r.recordHealth(d.engine, 1)
	}
	c.answered = c.answered || done || c.started
	c.advance()
	c.releaseHeld()
}

// releaseHeld releases the state and the reservation once no dispatch is out.
func (c *Completion) releaseHeld() {
	if c.inFlight == nil && c.needsRelease {
		c.router.actions.Release(c.id)
		c.stateReader, c.needsRelease = nil, false
	}
}

// reject gives the final answer at once: rate-limited if a retry is safe, else aborted.
func (c *Completion) reject() {
	if c.isSafeToRetry() {
		c.router.actions.RateLimit(c.id, c.router.retryAfter*(0.5+c.router.random()/2))
	} else {
		c.router.actions.Abort(c.id)
	}
	c.ClientLeft()
}

// ClientLeft ends a completion that needs no answer any more: its dispatch is cancelled, and its state and reservation
// are released.
func (c *Completion) ClientLeft() {
	c.answered = true
	if c.inFlight != nil && c.router.cancelAllowed {
		c.router.actions.Cancel(c.id, len(c.dispatches)-1)
	}
	c.releaseHeld()
}

// Closed reports whether the completion is answered and no dispatch is out.
func (c *Completion) Closed() bool { return c.answered && c.inFlight == nil }
