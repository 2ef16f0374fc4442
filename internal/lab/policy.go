package lab

import (
	"math"
	"math/rand/v2"
	"slices"

	"cherryhub/decide"
)

// policy makes the decisions of a router: the decide.Router that the program runs, or a baseline.
type policy interface {
	SetTime(now float64)
	UpdateEngines(kind decide.ListKind, entries []decide.EngineEntry)
	Route(id uint64, prompt decide.Prompt) handle
	ProbeEnded(engine int, outcome decide.Outcome, report []float64)
	TimerFired()
}

// handle is a policy's view of a completion.
type handle interface {
	Closed() bool
	DispatchStarted(dispatch int, elapsed float64)
	DispatchEnded(dispatch int, outcome decide.Outcome, elapsed float64, answered bool, cachedTokens float64, report []float64)
	ReservationAnswered(dispatch int, reserved bool)
	TimerFired()
}

// decidePolicy adapts decide.Router to policy.
type decidePolicy struct{ *decide.Router }

func (p decidePolicy) Route(id uint64, prompt decide.Prompt) handle {
	return p.Router.Route(id, prompt)
}

// Baseline is a policy to compare decide.Router with. It picks readers and writers by one simple rule. A dispatch that
// failed without having run is retried at another engine; one that may have run is retried only if the completion is
// idempotent.
type Baseline uint8

// Baselines.
const (
	NoBaseline       Baseline = iota // decide.Router decides
	Random                           // any ready engine, at random
	LeastOutstanding                 // the engine with the fewest open dispatches of this router
	TwoChoices                       // of two random engines the one with fewer open dispatches of this router
	PrefixOnly                       // rendezvous hashing of the session, whatever the load
	baselineCount    = iota
)

func (b Baseline) String() string {
	return [baselineCount]string{"decide", "random", "least own", "two choices", "prefix only"}[b]
}

// baselinePolicy is a baseline at one router.
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
	outstanding int // open dispatches of this router
}

func newBaselinePolicy(b Baseline, settings decide.Settings, actions decide.Actions) *baselinePolicy {
	return &baselinePolicy{rule: b, actions: actions, settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 3))}
}

func (p *baselinePolicy) SetTime(now float64)                       { p.now = now }
func (p *baselinePolicy) ProbeEnded(int, decide.Outcome, []float64) {}
func (p *baselinePolicy) TimerFired()                               {}

func (p *baselinePolicy) UpdateEngines(_ decide.ListKind, entries []decide.EngineEntry) {
	for _, entry := range entries {
		for len(p.engines) <= entry.Index {
			p.engines = append(p.engines, baselineEngine{})
		}
		e := &p.engines[entry.Index]
		e.hash, e.role, e.ready = entry.Hash, p.settings.Roles[entry.MachineKind], entry.Phase == decide.Ready
	}
}

// pickEngine picks a ready engine that reads, or one that writes, and has not been tried; -1 if there is none.
func (p *baselinePolicy) pickEngine(reader bool, session uint64, tried []int) int {
	var candidates []int
	for i := range p.engines {
		e := &p.engines[i]
		if e.ready && (e.role == decide.Reader) == reader && !slices.Contains(tried, i) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	best := candidates[p.rng.IntN(len(candidates))]
	switch p.rule {
	case LeastOutstanding:
		for _, i := range candidates {
			if p.engines[i].outstanding < p.engines[best].outstanding {
				best = i
			}
		}
	case TwoChoices:
		if other := candidates[p.rng.IntN(len(candidates))]; p.engines[other].outstanding < p.engines[best].outstanding {
			best = other
		}
	case PrefixOnly:
		maxHash := uint64(0)
		for _, i := range candidates {
			if hash := mixBits(p.engines[i].hash ^ mixBits(session)); hash >= maxHash {
				maxHash, best = hash, i
			}
		}
	}
	return best
}

// mixBits spreads a number's bits (the finalizer of SplitMix64, Steele and others, 2014).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// baselineCompletion is a completion under a baseline.
type baselineCompletion struct {
	policy          *baselinePolicy
	id              uint64
	prompt          decide.Prompt
	deadline        float64 // when the baseline gives up
	dispatchEngines []int   // by dispatch
	outstanding     int
	hasState        bool // a reader holds its state
	mayHaveRun      bool // a dispatch may have run
	outputStarted   bool
	answered        bool
}

// shortPromptTokens is the longest prompt that a baseline has a writer read.
const shortPromptTokens = 512

// answerMarginSeconds is how long before the client timeout a baseline gives up.
const answerMarginSeconds = 0.05

func (p *baselinePolicy) Route(id uint64, prompt decide.Prompt) handle {
	c := &baselineCompletion{policy: p, id: id, prompt: prompt, deadline: p.now + prompt.TimeLeft - answerMarginSeconds}
	p.actions.SetTimer(id, prompt.TimeLeft-answerMarginSeconds)
	c.dispatchNext()
	return c
}

// dispatchNext starts the next dispatch, or gives up.
func (c *baselineCompletion) dispatchNext() {
	idempotency := c.policy.settings.Workloads[c.prompt.Workload].Idempotency
	if c.answered || c.outputStarted || c.outstanding > 0 {
		return
	}
	target := -1
	if len(c.dispatchEngines) < c.policy.settings.MaxDispatches && c.policy.now < c.deadline && (!c.mayHaveRun || idempotency == decide.Idempotent) {
		if !c.hasState && c.prompt.Tokens > shortPromptTokens {
			target = c.policy.pickEngine(true, c.prompt.Session, c.dispatchEngines)
		}
		if target < 0 {
			target = c.policy.pickEngine(false, c.prompt.Session, c.dispatchEngines)
		}
	}
	if target < 0 {
		c.giveUp()
		return
	}
	c.dispatchEngines = append(c.dispatchEngines, target)
	c.outstanding++
	c.policy.engines[target].outstanding++
	c.policy.actions.Dispatch(c.id, target, c.deadline-c.policy.now, math.Inf(1))
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

func (c *baselineCompletion) DispatchEnded(dispatch int, outcome decide.Outcome, _ float64, answered bool, _ float64, _ []float64) {
	engine := c.dispatchEngines[dispatch]
	c.outstanding--
	c.policy.engines[engine].outstanding--
	if answered {
		c.answered = true
		return
	}
	isReader := c.policy.engines[engine].role == decide.Reader
	switch outcome {
	case decide.Read:
		c.hasState = true
	case decide.Full, decide.Unreachable, decide.NotSent:
		c.hasState = c.hasState && isReader
	default:
		c.mayHaveRun = c.mayHaveRun || !isReader
		c.hasState = false
	}
	c.dispatchNext()
}

func (c *baselineCompletion) TimerFired() {
	if c.answered || c.outputStarted || c.policy.now < c.deadline {
		return
	}
	for dispatch := range c.dispatchEngines {
		c.policy.actions.Cancel(c.id, dispatch)
	}
	c.mayHaveRun = c.mayHaveRun || c.outstanding > 0
	c.giveUp()
}
