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
type MachineKind struct {
	Name string
	Role decide.Role
}

// Options are what a planner is told besides decide's settings.
type Options struct {
	MachineKinds         []MachineKind
	Zone                 string // the router's own
	MaxEngines           int
	MaxQueuedCompletions int // completions that may wait to be read
	MaxOpenCompletions   int // that may be open
	Log                  *slog.Logger
	ObserveDelay         func(seconds float64) // is called with each fact's wait, nil for none
}

// Planner owns a decide.Router.
type Planner struct {
	mailbox      *mailbox
	edge         link.Edge
	log          *slog.Logger
	observeDelay func(float64)
	router       *decide.Router
	engines      *engineTable
	start        time.Time
	open         map[uint64]*openCompletion
	timers       timers
	staleTimers  int // timers of completions that are over
	tick         float64
	decideNanos  atomic.Int64 // nanoseconds spent in decide
	panics       atomic.Int64
}

// open is a completion that is not over.
type openCompletion struct {
	id            uint64
	completion    *decide.Completion
	closed        bool
	dispatches    int // dispatches
	pendingTimers int // that wait
}

// New makes a planner. Its edge gets the orders; Run must be called once. The zones of the settings are numbered by
// whoever read them; decide is told of zones by the planner's own numbers, its own router's zone too.
func New(s decide.Settings, o Options, edge link.Edge) (*Planner, error) {
	s.Zone = ownZoneIndex
	p := &Planner{mailbox: newMailbox(o.MaxQueuedCompletions, o.MaxOpenCompletions), edge: edge, log: o.Log, observeDelay: o.ObserveDelay,
		engines: newEngineTable(o.MaxEngines, o.MachineKinds, o.Zone, o.Log), start: time.Now(), open: map[uint64]*openCompletion{},
		tick: s.Tick}
	r, err := decide.New(s, (*actions)(p))
	if err != nil {
		return nil, fmt.Errorf("planner: %w", err)
	}
	p.router = r
	return p, nil
}

// Offer is of link.Planner.
func (p *Planner) Offer(f link.Event) bool {
	f.QueuedAt = time.Now()
	return p.mailbox.offer(f)
}

// Tell is of link.Planner.
func (p *Planner) Notify(f link.Event) {
	f.QueuedAt = time.Now()
	p.mailbox.notify(f)
}

// Figures are what a planner counts.
type Stats struct {
	QueuedEvents, OpenCompletions int           // facts in the mailbox, completions not over
	DecideTime                    time.Duration // spent in decide, in all
	Panics                        int64         // panics in decide
}

// Figures may be called at any time from anywhere.
func (p *Planner) Stats() Stats {
	waiting, open := p.mailbox.counts()
	return Stats{waiting, open, time.Duration(p.decideNanos.Load()), p.panics.Load()}
}

func (p *Planner) now() float64 { return time.Since(p.start).Seconds() }

// Run makes all calls on the router until the context ends.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []link.Event
	for ctx.Err() == nil {
		batch = p.mailbox.drain(batch)
		began := time.Now()
		for i := range batch {
			if p.observeDelay != nil {
				p.observeDelay(began.Sub(batch[i].QueuedAt).Seconds())
			}
			p.process(&batch[i])
		}
		p.runTimers()
		p.decideNanos.Add(int64(time.Since(began)))
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
		case <-p.mailbox.wakeup:
		case <-timer.C:
		}
	}
}

// guard hands a fact to decide. A panic there costs the completion it was about, not the router: guards
// against faults of ours only, and harms if decide's books were left half written; the count says so.
func (p *Planner) process(f *link.Event) {
	p.updateEngines()
	defer p.recoverPanic(f.Completion)
	p.router.SetTime(p.now())
	p.handle(f)
}

// news hands decide what is new of the engines, before any fact or timer that could have it send something.
func (p *Planner) updateEngines() {
	l := p.mailbox.takeList()
	if l == nil {
		return
	}
	defer p.recoverPanic(0) // of no completion
	now := p.now()
	p.router.SetTime(now)
	p.router.UpdateEngines(l.Kind, p.engines.entries(now, l))
}

func (p *Planner) recoverPanic(completion uint64) {
	trouble := recover()
	if trouble == nil {
		return
	}
	p.panics.Add(1)
	p.log.Error("planner: panic in decide", "completion", completion, "panic", fmt.Sprint(trouble), "stack", string(debug.Stack()))
	if o := p.open[completion]; o != nil {
		p.edge.Execute(link.Command{Kind: link.Release, Completion: completion})
		p.edge.Execute(link.Command{Kind: link.Abort, Completion: completion})
		p.close(o)
	}
}

func (p *Planner) handle(f *link.Event) {
	switch f.Kind {
	case link.CompletionArrived:
		p.route(f)
		return
	case link.ProbeEnded:
		if at, known := p.engines.byAddress[f.Address]; known { // else it has left the list since it was asked
			p.router.ProbeEnded(at, f.Outcome, f.Report)
		}
		return
	}
	o := p.open[f.Completion]
	if o == nil {
		return
	}
	switch f.Kind {
	case link.DispatchStarted:
		o.completion.DispatchStarted(f.Dispatch, f.Elapsed)
	case link.ReservationAnswered:
		o.completion.ReservationAnswered(f.Dispatch, f.Reserved)
	case link.DispatchEnded:
		o.completion.DispatchEnded(f.Dispatch, f.Outcome, f.Elapsed, f.Answered, f.CachedTokens, f.Report)
	case link.ClientLeft:
		o.completion.ClientLeft()
	}
	p.closeIfDone(o)
}

// take hands a completion to decide, which acts before the handle is returned: the record is there first.
func (p *Planner) route(f *link.Event) {
	o := &openCompletion{id: f.Completion}
	p.open[f.Completion] = o
	prompt := *f.Prompt
	prompt.TimeLeft = time.Until(f.Deadline).Seconds()
	o.completion = p.router.Route(f.Completion, prompt)
	p.closeIfDone(o)
}

func (p *Planner) closeIfDone(o *openCompletion) {
	if !o.closed && o.completion.Closed() {
		p.close(o)
	}
}

func (p *Planner) close(o *openCompletion) {
	o.closed = true
	p.staleTimers += o.pendingTimers
	delete(p.open, o.id)
	p.mailbox.completionsClosed(1)
}

// fire calls what is due. Timers of completions that are over stay in the heap until then, or until they are
// more than half of it: so it never holds more than twice what is live.
func (p *Planner) runTimers() {
	p.updateEngines()
	if p.staleTimers > 1024 && p.staleTimers > len(p.timers)/2 {
		live := p.timers[:0]
		for _, t := range p.timers {
			if t.completion == nil || !t.completion.closed {
				live = append(live, t)
			}
		}
		clear(p.timers[len(live):])
		p.timers, p.staleTimers = live, 0
		heap.Init(&p.timers)
	}
	for now := p.now(); len(p.timers) > 0 && p.timers[0].at <= now; {
		t := heap.Pop(&p.timers).(timer)
		if t.completion != nil && t.completion.closed {
			p.staleTimers--
			continue
		}
		p.runTimer(t)
	}
}

func (p *Planner) runTimer(t timer) {
	p.updateEngines()
	p.router.SetTime(p.now())
	if t.completion == nil {
		p.router.TimerFired()
		return
	}
	defer p.recoverPanic(t.completion.id)
	t.completion.pendingTimers--
	t.completion.completion.TimerFired()
	p.closeIfDone(t.completion)
}

// actions is the planner as decide.Actions sees it.
type actions Planner

// Dispatch is of decide.Actions, as are the methods below.
func (a *actions) Dispatch(completion uint64, engine int, timeout float64) {
	o := a.open[completion]
	a.edge.Execute(link.Command{Kind: link.Dispatch, Completion: completion, Dispatch: o.dispatches, Address: a.engines.addressOf(engine),
		IsRead: a.engines.records[engine].role == decide.Reader, Timeout: timeout})
	o.dispatches++
}

func (a *actions) Reserve(completion uint64, engine int) {
	a.edge.Execute(link.Command{Kind: link.Reserve, Completion: completion, Dispatch: a.open[completion].dispatches - 1,
		Address: a.engines.addressOf(engine)})
}

func (a *actions) Release(completion uint64) {
	a.edge.Execute(link.Command{Kind: link.Release, Completion: completion})
}

func (a *actions) RateLimit(completion uint64, comeBack float64) {
	a.edge.Execute(link.Command{Kind: link.RateLimit, Completion: completion, RetryAfter: comeBack})
}

func (a *actions) Abort(completion uint64) {
	a.edge.Execute(link.Command{Kind: link.Abort, Completion: completion})
}

func (a *actions) Cancel(completion uint64, dispatch int) {
	a.edge.Execute(link.Command{Kind: link.Cancel, Completion: completion, Dispatch: dispatch})
}

func (a *actions) SetTimer(completion uint64, after float64) {
	o := a.open[completion]
	o.pendingTimers++
	heap.Push(&a.timers, timer{(*Planner)(a).now() + math.Max(a.tick, after), o})
}

func (a *actions) SetRouterTimer(after float64) {
	heap.Push(&a.timers, timer{(*Planner)(a).now() + after, nil})
}

func (a *actions) Probe(engine int) {
	a.edge.Execute(link.Command{Kind: link.Probe, Address: a.engines.addressOf(engine)})
}

// WatchEngines asks for nothing: internal/fleet keeps the list by itself.
func (a *actions) WatchEngines() {}

func (a *actions) Log(text string) { a.log.Info(text, "part", "decide") }

// timer is a call of TimerFired: of a completion, or of the router where of is nil.
type timer struct {
	at         float64
	completion *openCompletion
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
