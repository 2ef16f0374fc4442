package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// completion is one that was taken. Its handler waits for the planner's final answer or for the dispatch
// that wins; dispatches run beside it and may outlive it.
type completion struct {
	e      *Edge
	id     uint64
	r      *Request
	client Client

	won   atomic.Int32        // 0: open; n+1: dispatch n's answer is the client's; answered: it has another one
	final chan link.Command   // the planner's final answer
	begun chan *run           // the dispatch that won
	fault chan *engine.Result // the engines' word that the completion itself is at fault

	mu      sync.Mutex
	runs    []*run
	out     int // dispatches that run
	handled bool
	wrote   bool     // a write was sent
	state   *holding // the state that waits at a reader
	place   *holding
	lease   lease // in place of both, where engines hold under one name
}

const answered = -1

// Order is of link.Edge.
func (e *Edge) Execute(o link.Command) {
	if o.Kind == link.Probe {
		e.probe(o.Address)
		return
	}
	c := e.find(o.Completion)
	if c == nil {
		if o.Kind == link.Dispatch {
			e.planner.Notify(link.Event{Kind: link.DispatchEnded, Completion: o.Completion, Dispatch: o.Dispatch, Outcome: decide.NotSent})
		}
		return
	}
	switch o.Kind {
	case link.Dispatch:
		c.dispatch(o)
	case link.Reserve:
		c.holdPlace(o)
	case link.Release:
		c.release("planner")
	case link.Cancel:
		c.cancel(o.Dispatch)
	case link.RateLimit, link.Abort:
		select {
		case c.final <- o:
		default: // it has one
		}
	}
}

// probe asks an engine for its figures, beside everything else.
func (e *Edge) probe(address string) {
	e.runs.Add(1)
	go func() {
		defer e.runs.Add(-1)
		e.ask(address, func(ctx context.Context) ([]float64, error) { return e.o.Probe(ctx, address) })
	}()
}

// ask asks an engine for its figures by a probe, and tells the planner; an error: the engine did not answer, or was not asked.
func (e *Edge) ask(address string, probe func(context.Context) ([]float64, error)) error {
	report, err := probe(e.base)
	if errors.Is(err, engine.ErrNotAsked) {
		return err
	}
	if err != nil {
		e.o.Log.Debug("probe failed", "engine", address, "err", err)
	}
	e.planner.Notify(link.Event{Kind: link.ProbeEnded, Address: address, Outcome: engine.ProbeOutcome(err), Report: report})
	return err
}

// dispatch starts a dispatch; the planner's goroutine calls it, so that a cancel that follows finds it.
func (c *completion) dispatch(o link.Command) {
	r := &run{c: c, n: o.Dispatch, engine: o.Address, reads: o.IsRead, at: time.Now(), sent: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(c.e.base)
	c.mu.Lock()
	if c.handled || c.won.Load() == answered {
		c.mu.Unlock()
		r.cancel(engine.ErrCancelled)
		c.e.planner.Notify(link.Event{Kind: link.DispatchEnded, Completion: c.id, Dispatch: r.n, Outcome: decide.NotSent})
		return
	}
	c.runs = append(c.runs, r)
	c.out++
	c.wrote = c.wrote || !r.reads
	if !r.reads && c.state != nil {
		r.state = c.state
		r.state.used = true
		r.state.stop()
	}
	if c.place != nil {
		c.place.used = true
		c.place.stop()
	}
	c.mu.Unlock()
	c.e.runs.Add(1)
	timeout := time.Duration(o.Timeout * float64(time.Second))
	if r.reads {
		go r.read(timeout)
	} else {
		go r.write(timeout)
	}
}

// settle forgets the completion once nothing can come of it: its client is answered, no dispatch runs and
// nothing is held.
func (c *completion) settle() {
	c.mu.Lock()
	over := c.handled && c.out == 0 && c.state == nil && c.place == nil
	if over && c.lease.Active() && !c.lease.atEnd {
		c.lease.atEnd = true
		c.releaseHeld("over")
	}
	over = over && !c.lease.open()
	c.mu.Unlock()
	if over {
		c.e.forget(c.id)
		c.r.OnDone()
	}
}

// cancel ends a dispatch that hasn't won. One that has is the client's.
func (c *completion) cancel(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		if r.n == n && c.won.Load() != int32(n)+1 {
			r.cancel(engine.ErrCancelled)
		}
	}
}

// cancelAll ends all dispatches.
func (c *completion) cancelAll(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		r.cancel(why)
	}
}
