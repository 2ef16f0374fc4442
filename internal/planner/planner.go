// Package planner owns a decide.Router. One goroutine, Run, makes every call on it: facts come in over a
// bounded mailbox, actions go out as orders, timers come from a heap. It decides nothing and does no I/O:
// what is ordered is done by the edge. internal/edge calls it through link.Planner, internal/fleet tells it
// lists, and cmd/cherryhub starts it.
package planner

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// Machine is a kind of machine by the name that the engine list gives it, in the order of
// decide.Settings.Roles.
type Machine struct {
	Name string
	Role decide.Role
}

// Options are what a planner is told besides decide's settings.
type Options struct {
	Machines       []Machine
	Zone           string // the router's own
	MaxEngines     int
	Mailbox        int // completions that may wait to be read
	MaxCompletions int // that may be open
	Log            *slog.Logger
	Delay          func(seconds float64) // is called with each fact's wait, nil for none
}

// Planner owns a decide.Router.
type Planner struct {
	box     *mailbox
	edge    link.Edge
	log     *slog.Logger
	delay   func(float64)
	router  *decide.Router
	engines *engines
	start   time.Time
	open    map[uint64]*open
	timers  timers
	stale   int // timers of completions that are over
	tick    float64
	busy    atomic.Int64 // nanoseconds spent in decide
	faults  atomic.Int64
}

// open is a completion that is not over.
type open struct {
	id     uint64
	c      *decide.Completion
	over   bool
	sent   int // dispatches
	timers int // that wait
}

// New makes a planner. Its edge gets the orders; Run must be called once. The zones of the settings are numbered by
// whoever read them; decide is told of zones by the planner's own numbers, its own router's zone too.
func New(s decide.Settings, o Options, edge link.Edge) (*Planner, error) {
	s.Zone = ownZone
	p := &Planner{box: newMailbox(o.Mailbox, o.MaxCompletions), edge: edge, log: o.Log, delay: o.Delay,
		engines: newEngines(o.MaxEngines, o.Machines, o.Zone, o.Log), start: time.Now(), open: map[uint64]*open{},
		tick: s.Tick}
	r, err := decide.New(s, (*actions)(p))
	if err != nil {
		return nil, fmt.Errorf("planner: %w", err)
	}
	p.router = r
	return p, nil
}

// Offer is of link.Planner.
func (p *Planner) Offer(f link.Fact) bool {
	f.At = time.Now()
	return p.box.offer(f)
}

// Tell is of link.Planner.
func (p *Planner) Tell(f link.Fact) {
	f.At = time.Now()
	p.box.tell(f)
}

// Figures are what a planner counts.
type Figures struct {
	Waiting, Open int           // facts in the mailbox, completions not over
	Busy          time.Duration // spent in decide, in all
	Faults        int64         // panics in decide
}

// Figures may be called at any time from anywhere.
func (p *Planner) Figures() Figures {
	waiting, open := p.box.sizes()
	return Figures{waiting, open, time.Duration(p.busy.Load()), p.faults.Load()}
}

func (p *Planner) now() float64 { return time.Since(p.start).Seconds() }

// Run makes all calls on the router until the context ends.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []link.Fact
	for ctx.Err() == nil {
		batch = p.box.take(batch)
		began := time.Now()
		for i := range batch {
			if p.delay != nil {
				p.delay(began.Sub(batch[i].At).Seconds())
			}
			p.guard(&batch[i])
		}
		p.fire()
		p.busy.Add(int64(time.Since(began)))
		if len(batch) > 0 {
			continue
		}
		wait := time.Hour
		if len(p.timers) > 0 {
			wait = time.Duration(math.Ceil((p.timers[0].at - p.now()) * 1e9))
		}
		timer.Reset(max(0, wait))
		select {
		case <-ctx.Done():
			return
		case <-p.box.ring:
		case <-timer.C:
		}
	}
}

// guard hands a fact to decide. A panic there costs the completion it was about, not the router: guards
// against faults of ours only, and harms if decide's books were left half written; the count says so.
func (p *Planner) guard(f *link.Fact) {
	p.news()
	defer p.survive(f.Completion)
	p.router.SetTime(p.now())
	p.handle(f)
}

// news hands decide what is new of the engines, before any fact or timer that could have it send something.
func (p *Planner) news() {
	l := p.box.news()
	if l == nil {
		return
	}
	defer p.survive(0) // of no completion
	now := p.now()
	p.router.SetTime(now)
	p.router.UpdateEngines(l.Kind, p.engines.facts(now, l))
}

func (p *Planner) survive(completion uint64) {
	trouble := recover()
	if trouble == nil {
		return
	}
	p.faults.Add(1)
	p.log.Error("planner: panic in decide", "completion", completion, "panic", fmt.Sprint(trouble), "stack", string(debug.Stack()))
	if o := p.open[completion]; o != nil {
		p.edge.Order(link.Order{Kind: link.Release, Completion: completion})
		p.edge.Order(link.Order{Kind: link.Abort, Completion: completion})
		p.drop(o)
	}
}

func (p *Planner) handle(f *link.Fact) {
	switch f.Kind {
	case link.Take:
		p.take(f)
		return
	case link.Probed:
		if at, known := p.engines.byName[f.Address]; known { // else it has left the list since it was asked
			p.router.ProbeEnded(at, f.Outcome, f.Report)
		}
		return
	}
	o := p.open[f.Completion]
	if o == nil {
		return
	}
	switch f.Kind {
	case link.Started:
		o.c.DispatchStarted(f.Dispatch, f.Took)
	case link.Placed:
		o.c.ReservationAnswered(f.Dispatch, f.Held)
	case link.Ended:
		o.c.DispatchEnded(f.Dispatch, f.Outcome, f.Took, f.Done, f.Found, f.Report)
	case link.Left:
		o.c.ClientLeft()
	}
	p.settle(o)
}

// take hands a completion to decide, which acts before the handle is returned: the record is there first.
func (p *Planner) take(f *link.Fact) {
	o := &open{id: f.Completion}
	p.open[f.Completion] = o
	prompt := *f.Prompt
	prompt.TimeLeft = time.Until(f.Deadline).Seconds()
	o.c = p.router.Route(f.Completion, prompt)
	p.settle(o)
}

func (p *Planner) settle(o *open) {
	if !o.over && o.c.Closed() {
		p.drop(o)
	}
}

func (p *Planner) drop(o *open) {
	o.over = true
	p.stale += o.timers
	delete(p.open, o.id)
	p.box.closed(1)
}

// fire calls what is due. Timers of completions that are over stay in the heap until then, or until they are
// more than half of it: so it never holds more than twice what is live.
func (p *Planner) fire() {
	p.news()
	if p.stale > 1024 && p.stale > len(p.timers)/2 {
		live := p.timers[:0]
		for _, t := range p.timers {
			if t.of == nil || !t.of.over {
				live = append(live, t)
			}
		}
		clear(p.timers[len(live):])
		p.timers, p.stale = live, 0
		heap.Init(&p.timers)
	}
	for now := p.now(); len(p.timers) > 0 && p.timers[0].at <= now; {
		t := heap.Pop(&p.timers).(timer)
		if t.of != nil && t.of.over {
			p.stale--
			continue
		}
		p.due(t)
	}
}

func (p *Planner) due(t timer) {
	p.news()
	p.router.SetTime(p.now())
	if t.of == nil {
		p.router.TimerFired()
		return
	}
	defer p.survive(t.of.id)
	t.of.timers--
	t.of.c.TimerFired()
	p.settle(t.of)
}

// actions is the planner as decide.Actions sees it.
type actions Planner

// Dispatch is of decide.Actions, as are the methods below.
func (a *actions) Dispatch(completion uint64, engine int, timeout float64) {
	o := a.open[completion]
	a.edge.Order(link.Order{Kind: link.Dispatch, Completion: completion, Dispatch: o.sent, Engine: a.engines.name(engine),
		Reads: a.engines.known[engine].role == decide.Reader, Timeout: timeout})
	o.sent++
}

func (a *actions) Reserve(completion uint64, engine int) {
	a.edge.Order(link.Order{Kind: link.HoldPlace, Completion: completion, Dispatch: a.open[completion].sent - 1,
		Engine: a.engines.name(engine)})
}

func (a *actions) Release(completion uint64) {
	a.edge.Order(link.Order{Kind: link.Release, Completion: completion})
}

func (a *actions) RateLimit(completion uint64, comeBack float64) {
	a.edge.Order(link.Order{Kind: link.RateLimit, Completion: completion, ComeBack: comeBack})
}

func (a *actions) Abort(completion uint64) {
	a.edge.Order(link.Order{Kind: link.Abort, Completion: completion})
}

func (a *actions) Cancel(completion uint64, dispatch int) {
	a.edge.Order(link.Order{Kind: link.Cancel, Completion: completion, Dispatch: dispatch})
}

func (a *actions) SetTimer(completion uint64, after float64) {
	o := a.open[completion]
	o.timers++
	heap.Push(&a.timers, timer{(*Planner)(a).now() + math.Max(a.tick, after), o})
}

func (a *actions) SetRouterTimer(after float64) {
	heap.Push(&a.timers, timer{(*Planner)(a).now() + after, nil})
}

func (a *actions) Probe(engine int) {
	a.edge.Order(link.Order{Kind: link.Probe, Engine: a.engines.name(engine)})
}

// WatchEngines asks for nothing: internal/fleet keeps the list by itself.
func (a *actions) WatchEngines() {}

func (a *actions) Log(text string) { a.log.Info(text, "part", "decide") }

// timer is a call of TimerFired: of a completion, or of the router where of is nil.
type timer struct {
	at float64
	of *open
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = timer{}
	*t = (*t)[:len(*t)-1]
	return last
}
