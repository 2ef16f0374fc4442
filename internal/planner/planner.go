// Package planner runs a decide.Router. One goroutine, Run, makes every call on it: events arrive through a
// bounded mailbox, timers come from a heap, and the router's actions leave as commands, which the edge carries
// out. The package itself decides nothing and does no I/O. internal/edge calls it through link.Planner;
// internal/router starts it and passes it the engine lists that internal/fleet reads.
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

// MachineKind is a kind of machine, by the name that engine lists use for it. The kinds are in the order of
// decide.Settings.Roles.
type MachineKind struct {
	Name string
	Role decide.Role
}

// Options configures a planner, in addition to the settings of package decide.
type Options struct {
	MachineKinds         []MachineKind
	Zone                 string // of this router
	MaxEngines           int
	MaxQueuedCompletions int // in the mailbox
	MaxOpenCompletions   int // accepted and not yet closed
	Log                  *slog.Logger
	ObserveDelay         func(seconds float64) // gets the time that each event waited in the mailbox; may be nil
}

// Planner runs a decide.Router.
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
	staleTimers  int // timers of closed completions that are in the heap
	tick         float64
	decideNanos  atomic.Int64 // spent in package decide
	panics       atomic.Int64
}

// openCompletion is a completion that package decide has not closed.
type openCompletion struct {
	id            uint64
	handle        *decide.Completion
	closed        bool
	dispatches    int // number sent
	pendingTimers int // in the heap
}

// New makes a planner that sends its commands to edge. Run must be called once. The zone number in the settings is
// ignored: package decide gets the indices of the planner's own table, also for the router's zone.
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

// Offer implements link.Planner.
func (p *Planner) Offer(e link.Event) bool {
	e.QueuedAt = time.Now()
	return p.mailbox.offer(e)
}

// Notify implements link.Planner.
func (p *Planner) Notify(e link.Event) {
	e.QueuedAt = time.Now()
	p.mailbox.notify(e)
}

// Stats are the counters and gauges of a planner.
type Stats struct {
	QueuedEvents, OpenCompletions int           // events in the mailbox, completions not yet closed
	DecideTime                    time.Duration // total time in package decide
	Panics                        int64         // recovered from in package decide
}

// Stats is safe for concurrent use.
func (p *Planner) Stats() Stats {
	queued, open := p.mailbox.counts()
	return Stats{queued, open, time.Duration(p.decideNanos.Load()), p.panics.Load()}
}

func (p *Planner) now() float64 { return time.Since(p.start).Seconds() }

// timeAt converts a time of package decide's clock; +Inf becomes the zero time.
func (p *Planner) timeAt(seconds float64) time.Time {
	if math.IsInf(seconds, 1) {
		return time.Time{}
	}
	return p.start.Add(time.Duration(seconds * float64(time.Second)))
}

// Run makes all calls on the decide.Router until the context ends.
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

// process passes an event to package decide. A panic there ends the completion that the event is about, and not the
// process. This guards against bugs in this program only. If the panic left the state of package decide half
// updated, later decisions may be wrong; Stats.Panics shows that there was one.
func (p *Planner) process(e *link.Event) {
	p.updateEngines()
	defer p.recoverPanic(e.Completion)
	p.router.SetTime(p.now())
	p.handle(e)
}

// updateEngines passes changes of the engine list to package decide. It is called before every event and timer,
// since each of them may cause a dispatch.
func (p *Planner) updateEngines() {
	list := p.mailbox.takeList()
	if list == nil {
		return
	}
	defer p.recoverPanic(0) // belongs to no completion
	now := p.now()
	p.router.SetTime(now)
	p.router.UpdateEngines(list.Kind, p.engines.entries(now, list))
}

// recoverPanic recovers from a panic, which it counts and logs, and aborts the completion concerned. Its callers defer
// it.
func (p *Planner) recoverPanic(completion uint64) {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	p.panics.Add(1)
	p.log.Error("planner: panic in decide", "completion", completion, "panic", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
	if o := p.open[completion]; o != nil {
		p.edge.Execute(link.Command{Kind: link.Release, Completion: completion})
		p.edge.Execute(link.Command{Kind: link.Abort, Completion: completion})
		p.close(o)
	}
}

func (p *Planner) handle(e *link.Event) {
	switch e.Kind {
	case link.CompletionArrived:
		p.route(e)
		return
	case link.ProbeEnded:
		if index, found := p.engines.byAddress[e.Address]; found { // otherwise it has left the list since it was probed
			p.router.ProbeEnded(index, e.Outcome, e.Report)
		}
		return
	}
	o := p.open[e.Completion]
	if o == nil {
		return
	}
	switch e.Kind {
	case link.DispatchStarted:
		o.handle.DispatchStarted(e.Dispatch, e.Elapsed)
	case link.ReservationAnswered:
		o.handle.ReservationAnswered(e.Dispatch, e.Reserved)
	case link.DispatchEnded:
		o.handle.DispatchEnded(e.Dispatch, e.Outcome, e.Elapsed, e.Answered, e.CachedTokens, e.Report)
	case link.ClientLeft:
		o.handle.ClientLeft()
	}
	p.closeIfDone(o)
}

// route passes a completion to package decide. Its actions come before it returns the handle, so the record is stored
// first.
func (p *Planner) route(e *link.Event) {
	o := &openCompletion{id: e.Completion}
	p.open[e.Completion] = o
	prompt := *e.Prompt
	prompt.TimeLeft = time.Until(e.Deadline).Seconds()
	o.handle = p.router.Route(e.Completion, prompt)
	p.closeIfDone(o)
}

func (p *Planner) closeIfDone(o *openCompletion) {
	if !o.closed && o.handle.Closed() {
		p.close(o)
	}
}

func (p *Planner) close(o *openCompletion) {
	o.closed = true
	p.staleTimers += o.pendingTimers
	delete(p.open, o.id)
	p.mailbox.completionsClosed(1)
}

// runTimers runs the timers that are due. Timers of closed completions stay in the heap until they are due or, if
// there are more than 1024, until they are more than half of it. So the heap holds no more than twice the live timers,
// or 1024 beyond them.
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
	t.completion.handle.TimerFired()
	p.closeIfDone(t.completion)
}

// actions implements decide.Actions.
type actions Planner

// Dispatch implements decide.Actions, as do the methods below.
func (a *actions) Dispatch(completion uint64, engine int, timeout, sendBy float64) {
	o := a.open[completion]
	a.edge.Execute(link.Command{Kind: link.Dispatch, Completion: completion, Dispatch: o.dispatches, Address: a.engines.addressOf(engine),
		IsRead: a.engines.records[engine].role == decide.Reader, Timeout: timeout, SendBy: (*Planner)(a).timeAt(sendBy)})
	o.dispatches++
}

func (a *actions) Reserve(completion uint64, engine int) {
	a.edge.Execute(link.Command{Kind: link.Reserve, Completion: completion, Dispatch: a.open[completion].dispatches - 1,
		Address: a.engines.addressOf(engine)})
}

func (a *actions) Release(completion uint64) {
	a.edge.Execute(link.Command{Kind: link.Release, Completion: completion})
}

func (a *actions) RateLimit(completion uint64, retryAfter float64) {
	a.edge.Execute(link.Command{Kind: link.RateLimit, Completion: completion, RetryAfter: retryAfter})
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

// WatchEngines does nothing: internal/fleet follows the engine list by itself.
func (a *actions) WatchEngines() {}

func (a *actions) Log(text string) { a.log.Info(text, "part", "decide") }

// timer is a pending call of TimerFired on a completion or, if that is nil, on the decide.Router.
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
