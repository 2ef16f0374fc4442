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
type decidePolicy struct{ *decide.Router }

func (o decidePolicy) Route(id uint64, p decide.Prompt) handle { return o.Router.Route(id, p) }

// Baseline names what decides instead of decide.Router: readers and writers are picked by one simple rule, what
// fails without having run is tried elsewhere, what may have run only where that is harmless.
type Baseline uint8

// The baselines.
const (
	NoBaseline       Baseline = iota // decide.Router decides
	Random                           // any that is ready
	LeastOutstanding                 // with the fewest dispatches of this router out
	TwoChoices                       // of two by chance the one with fewer
	PrefixOnly                       // where the session's hash falls, whatever the load
	baselineCount    = iota
)

func (b Baseline) String() string {
	return [baselineCount]string{"decide", "random", "least own", "two choices", "prefix only"}[b]
}

// simple is a baseline in a router.
type baselinePolicy struct {
	rule     Baseline
	actions  decide.Actions
	settings decide.Settings
	rng      *rand.Rand
	now      float64
	engines  []baselineEngine
}

type baselineEngine struct {
	hash        uint64
	role        decide.Role
	ready       bool
	outstanding int // this router's dispatches
}

func newBaselinePolicy(b Baseline, s decide.Settings, a decide.Actions) *baselinePolicy {
	return &baselinePolicy{rule: b, actions: a, settings: s, rng: rand.New(rand.NewPCG(s.Seed, 3))}
}

func (p *baselinePolicy) SetTime(now float64)                       { p.now = now }
func (p *baselinePolicy) ProbeEnded(int, decide.Outcome, []float64) {}
func (p *baselinePolicy) TimerFired()                               {}

func (p *baselinePolicy) UpdateEngines(_ decide.ListKind, facts []decide.EngineEntry) {
	for _, f := range facts {
		for len(p.engines) <= f.Index {
			p.engines = append(p.engines, baselineEngine{})
		}
		e := &p.engines[f.Index]
		e.hash, e.role, e.ready = f.Hash, p.settings.Roles[f.MachineKind], f.Phase == decide.Ready
	}
}

// pick is an engine that reads, or one that writes; -1 if none is ready but those that were tried.
func (p *baselinePolicy) pickEngine(reads bool, session uint64, tried []int) int {
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
	best := all[p.rng.IntN(len(all))]
	switch p.rule {
	case LeastOutstanding:
		for _, i := range all {
			if p.engines[i].outstanding < p.engines[best].outstanding {
				best = i
			}
		}
	case TwoChoices:
		if other := all[p.rng.IntN(len(all))]; p.engines[other].outstanding < p.engines[best].outstanding {
			best = other
		}
	case PrefixOnly:
		top := uint64(0)
		for _, i := range all {
			if h := mixBits(p.engines[i].hash ^ mixBits(session)); h >= top {
				top, best = h, i
			}
		}
	}
	return best
}

// mix spreads a number's bits (the finalizer of SplitMix64, Steele and others, 2014).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// simpleRun is a completion of a baseline.
type baselineCompletion struct {
	policy          *baselinePolicy
	id              uint64
	prompt          decide.Prompt
	deadline        float64
	dispatchEngines []int // of each dispatch
	outstanding     int
	hasState        bool // its state waits
	mayHaveRun      bool // something may have run
	outputStarted   bool
	answered        bool
}

// shortPrompt is what a writer reads itself in a baseline, in tokens.
const shortPromptTokens = 512

// early is how long before the client timeout a baseline answers, in seconds.
const answerMarginSeconds = 0.05

func (p *baselinePolicy) Route(id uint64, prompt decide.Prompt) handle {
	c := &baselineCompletion{policy: p, id: id, prompt: prompt, deadline: p.now + prompt.TimeLeft - answerMarginSeconds}
	p.actions.SetTimer(id, prompt.TimeLeft-answerMarginSeconds)
	c.dispatchNext()
	return c
}

// next makes the next dispatch, or gives up.
func (c *baselineCompletion) dispatchNext() {
	effect := c.policy.settings.Workloads[c.prompt.Workload].Idempotency
	if c.answered || c.outputStarted || c.outstanding > 0 {
		return
	}
	to := -1
	if len(c.dispatchEngines) < c.policy.settings.MaxDispatches && c.policy.now < c.deadline && (!c.mayHaveRun || effect == decide.Idempotent) {
		if !c.hasState && c.prompt.Tokens > shortPromptTokens {
			to = c.policy.pickEngine(true, c.prompt.Session, c.dispatchEngines)
		}
		if to < 0 {
			to = c.policy.pickEngine(false, c.prompt.Session, c.dispatchEngines)
		}
	}
	if to < 0 {
		c.giveUp()
		return
	}
	c.dispatchEngines = append(c.dispatchEngines, to)
	c.outstanding++
	c.policy.engines[to].outstanding++
	c.policy.actions.Dispatch(c.id, to, c.deadline-c.policy.now)
}

func (c *baselineCompletion) giveUp() {
	c.answered = true
	c.policy.actions.Release(c.id)
	if c.mayHaveRun {
		c.policy.actions.Abort(c.id)
	} else {
		c.policy.actions.RateLimit(c.id, c.policy.settings.MaxRetryAfter)
	}
}

func (c *baselineCompletion) Closed() bool                  { return c.answered && c.outstanding == 0 }
func (c *baselineCompletion) DispatchStarted(int, float64)  { c.outputStarted = true }
func (c *baselineCompletion) ReservationAnswered(int, bool) {}

func (c *baselineCompletion) DispatchEnded(n int, o decide.Outcome, _ float64, done bool, _ float64, _ []float64) {
	at := c.dispatchEngines[n]
	c.outstanding--
	c.policy.engines[at].outstanding--
	if done {
		c.answered = true
		return
	}
	reads := c.policy.engines[at].role == decide.Reader
	switch o {
	case decide.Read:
		c.hasState = true
	case decide.Full, decide.Unreachable, decide.NotSent:
		c.hasState = c.hasState && reads
	default:
		c.mayHaveRun = c.mayHaveRun || !reads
		c.hasState = false
	}
	c.dispatchNext()
}

func (c *baselineCompletion) TimerFired() {
	if c.answered || c.outputStarted || c.policy.now < c.deadline {
		return
	}
	for n := range c.dispatchEngines {
		c.policy.actions.Cancel(c.id, n)
	}
	c.mayHaveRun = c.mayHaveRun || c.outstanding > 0
	c.giveUp()
}
