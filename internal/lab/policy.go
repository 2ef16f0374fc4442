package lab

import (
	"math/rand/v2"
	"slices"

	"cherryhub/decide"
)

// policy is what decides in a router. The program's own is decide.Router; the others are baselines.
type policy interface {
	SetTime(now float64)
	UpdateEngines(kind decide.ListKind, facts []decide.EngineEntry)
	Route(id uint64, p decide.Prompt) handle
	ProbeEnded(engine int, o decide.Outcome, report []float64)
	TimerFired()
}

// handle is a completion as a policy knows it.
type handle interface {
	Closed() bool
	DispatchStarted(dispatch int, took float64)
	DispatchEnded(dispatch int, o decide.Outcome, took float64, done bool, kept float64, report []float64)
	ReservationAnswered(dispatch int, held bool)
	TimerFired()
}

// ownPolicy is the program's.
type ownPolicy struct{ *decide.Router }

func (o ownPolicy) Route(id uint64, p decide.Prompt) handle { return o.Router.Route(id, p) }

// Baseline names what decides instead of decide.Router: readers and writers are picked by one simple rule, what
// fails without having run is tried elsewhere, what may have run only where that is harmless.
type Baseline uint8

// The baselines.
const (
	None       Baseline = iota // decide.Router decides
	Random                     // any that is ready
	LeastOwn                   // with the fewest dispatches of this router out
	TwoChoices                 // of two by chance the one with fewer
	PrefixOnly                 // where the session's hash falls, whatever the load
	baselines  = iota
)

func (b Baseline) String() string {
	return [baselines]string{"decide", "random", "least own", "two choices", "prefix only"}[b]
}

// simple is a baseline in a router.
type simple struct {
	rule    Baseline
	actions decide.Actions
	s       decide.Settings
	chance  *rand.Rand
	now     float64
	engines []known
}

type known struct {
	mark  uint64
	role  decide.Role
	ready bool
	out   int // this router's dispatches
}

func newSimple(b Baseline, s decide.Settings, a decide.Actions) *simple {
	return &simple{rule: b, actions: a, s: s, chance: rand.New(rand.NewPCG(s.Seed, 3))}
}

func (p *simple) SetTime(now float64)                       { p.now = now }
func (p *simple) ProbeEnded(int, decide.Outcome, []float64) {}
func (p *simple) TimerFired()                               {}

func (p *simple) UpdateEngines(_ decide.ListKind, facts []decide.EngineEntry) {
	for _, f := range facts {
		for len(p.engines) <= f.Index {
			p.engines = append(p.engines, known{})
		}
		e := &p.engines[f.Index]
		e.mark, e.role, e.ready = f.Hash, p.s.Roles[f.MachineKind], f.Phase == decide.Ready
	}
}

// pick is an engine that reads, or one that writes; -1 if none is ready but those that were tried.
func (p *simple) pick(reads bool, session uint64, tried []int) int {
	var all []int
	for i := range p.engines {
		e := &p.engines[i]
		if e.ready && (e.role == decide.Reader) == reads && !slices.Contains(tried, i) {
			all = append(all, i)
		}
	}
	if len(all) == 0 {
		return -1
	}
	best := all[p.chance.IntN(len(all))]
	switch p.rule {
	case LeastOwn:
		for _, i := range all {
			if p.engines[i].out < p.engines[best].out {
				best = i
			}
		}
	case TwoChoices:
		if other := all[p.chance.IntN(len(all))]; p.engines[other].out < p.engines[best].out {
			best = other
		}
	case PrefixOnly:
		top := uint64(0)
		for _, i := range all {
			if h := mix(p.engines[i].mark ^ mix(session)); h >= top {
				top, best = h, i
			}
		}
	}
	return best
}

// mix spreads a number's bits (the finalizer of SplitMix64, Steele and others, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// simpleRun is a completion of a baseline.
type simpleRun struct {
	p       *simple
	id      uint64
	prompt  decide.Prompt
	until   float64
	engines []int // of each dispatch
	out     int
	read    bool // its state waits
	ran     bool // something may have run
	started bool
	final   bool
}

// shortPrompt is what a writer reads itself in a baseline, in tokens.
const shortPrompt = 512

// early is how long before the client timeout a baseline answers, in seconds.
const early = 0.05

func (p *simple) Route(id uint64, prompt decide.Prompt) handle {
	c := &simpleRun{p: p, id: id, prompt: prompt, until: p.now + prompt.TimeLeft - early}
	p.actions.SetTimer(id, prompt.TimeLeft-early)
	c.next()
	return c
}

// next makes the next dispatch, or gives up.
func (c *simpleRun) next() {
	effect := c.p.s.Workloads[c.prompt.Workload].Idempotency
	if c.final || c.started || c.out > 0 {
		return
	}
	to := -1
	if len(c.engines) < c.p.s.MaxDispatches && c.p.now < c.until && (!c.ran || effect == decide.Idempotent) {
		if !c.read && c.prompt.Tokens > shortPrompt {
			to = c.p.pick(true, c.prompt.Session, c.engines)
		}
		if to < 0 {
			to = c.p.pick(false, c.prompt.Session, c.engines)
		}
	}
	if to < 0 {
		c.giveUp()
		return
	}
	c.engines = append(c.engines, to)
	c.out++
	c.p.engines[to].out++
	c.p.actions.Dispatch(c.id, to, c.until-c.p.now)
}

func (c *simpleRun) giveUp() {
	c.final = true
	c.p.actions.Release(c.id)
	if c.ran {
		c.p.actions.Abort(c.id)
	} else {
		c.p.actions.RateLimit(c.id, c.p.s.MaxRetryAfter)
	}
}

func (c *simpleRun) Closed() bool                  { return c.final && c.out == 0 }
func (c *simpleRun) DispatchStarted(int, float64)  { c.started = true }
func (c *simpleRun) ReservationAnswered(int, bool) {}

func (c *simpleRun) DispatchEnded(n int, o decide.Outcome, _ float64, done bool, _ float64, _ []float64) {
	at := c.engines[n]
	c.out--
	c.p.engines[at].out--
	if done {
		c.final = true
		return
	}
	reads := c.p.engines[at].role == decide.Reader
	switch o {
	case decide.Read:
		c.read = true
	case decide.Full, decide.Unreachable, decide.NotSent:
		c.read = c.read && reads
	default:
		c.ran = c.ran || !reads
		c.read = false
	}
	c.next()
}

func (c *simpleRun) TimerFired() {
	if c.final || c.started || c.p.now < c.until {
		return
	}
	for n := range c.engines {
		c.p.actions.Cancel(c.id, n)
	}
	c.ran = c.ran || c.out > 0
	c.giveUp()
}
