package edge

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// completion is an accepted completion. Its handler waits for the planner's final answer or for the winning
// dispatch, the one whose answer goes to the client. Dispatches run concurrently and may outlive the handler.
type completion struct {
	edge    *Edge
	id      uint64
	request *Request
	client  Client

	winner        atomic.Int32        // 0: undecided; n+1: dispatch n has won; answeredWithoutDispatch: the client gets another answer
	finalAnswer   chan link.Command   // the planner's final answer
	winnerStarted chan *dispatch      // the winning dispatch
	engineError   chan *engine.Result // an engine's response that the request itself is invalid

	mu               sync.Mutex
	dispatches       []*dispatch
	activeDispatches int
	answered         bool
	writeSent        bool
	state            *heldResource // state held at a reader
	reservation      *heldResource
	lease            lease // replaces both with Options.ReleaseByCompletion

	lingeringElement *list.Element // its place in Edge.lingering, nil if it is not there
}

const answeredWithoutDispatch = -1

// Execute implements link.Edge.
func (e *Edge) Execute(cmd link.Command) {
	if cmd.Kind == link.Probe {
		e.startProbe(cmd.Address)
		return
	}
	c := e.lookup(cmd.Completion)
	if c == nil {
		if cmd.Kind == link.Dispatch {
			e.planner.Notify(link.Event{Kind: link.DispatchEnded, Completion: cmd.Completion, Dispatch: cmd.Dispatch, Outcome: decide.NotSent})
		}
		return
	}
	switch cmd.Kind {
	case link.Dispatch:
		c.startDispatch(cmd)
	case link.Reserve:
		c.reserve(cmd)
	case link.Release:
		c.releaseUnused("planner")
	case link.Cancel:
		c.cancelDispatch(cmd.Dispatch)
	case link.RateLimit, link.Abort:
		select {
		case c.finalAnswer <- cmd:
		default: // a final answer is already queued
		}
	}
}

// startProbe probes an engine in the background.
func (e *Edge) startProbe(address string) {
	e.activeCalls.Add(1)
	go func() {
		defer e.activeCalls.Add(-1)
		e.runProbe(address, func(ctx context.Context) ([]float64, error) { return e.options.Probe(ctx, address) })
	}()
}

// runProbe fetches an engine's load report and notifies the planner. It returns an error if the engine was not probed or did not answer.
func (e *Edge) runProbe(address string, probe func(context.Context) ([]float64, error)) error {
	report, err := probe(e.callsCtx)
	if errors.Is(err, engine.ErrProbeSkipped) {
		return err
	}
	if err != nil {
		e.options.Log.Debug("probe failed", "engine", address, "err", err)
	}
	e.planner.Notify(link.Event{Kind: link.ProbeEnded, Address: address, Outcome: engine.ProbeOutcome(err), Report: report})
	return err
}

// startDispatch starts a dispatch. It is called on the planner's goroutine, so that a later cancel finds the dispatch.
func (c *completion) startDispatch(cmd link.Command) {
	d := &dispatch{completion: c, number: cmd.Dispatch, address: cmd.Address, isRead: cmd.IsRead, startedAt: time.Now(), sendBy: cmd.SendBy, sent: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancelCause(c.edge.callsCtx)
	c.mu.Lock()
	if c.answered || c.winner.Load() == answeredWithoutDispatch {
		c.mu.Unlock()
		d.cancel(engine.ErrCancelled)
		c.edge.planner.Notify(link.Event{Kind: link.DispatchEnded, Completion: c.id, Dispatch: d.number, Outcome: decide.NotSent})
		return
	}
	c.dispatches = append(c.dispatches, d)
	c.activeDispatches++
	c.writeSent = c.writeSent || !d.isRead
	if !d.isRead && c.state != nil {
		d.state = c.state
		d.state.inUse = true
		d.state.stopTimer()
	}
	if c.reservation != nil {
		c.reservation.inUse = true
		c.reservation.stopTimer()
	}
	c.mu.Unlock()
	c.edge.activeCalls.Add(1)
	timeout := time.Duration(cmd.Timeout * float64(time.Second))
	if d.isRead {
		go d.runRead(timeout)
	} else {
		go d.runWrite(timeout)
	}
}

// closeIfDone removes the completion once its client is answered, no dispatch is running and no state can be
// held.
func (c *completion) closeIfDone() {
	c.mu.Lock()
	over := c.answered && c.activeDispatches == 0
	done := over && c.state == nil && c.reservation == nil
	if done && c.lease.Active() && !c.lease.finalReleaseSent {
		c.lease.finalReleaseSent = true
		c.releaseLease("over")
	}
	done = done && !c.lease.pending()
	onBodyDone := c.request.OnBodyDone
	if over {
		c.dropBody()
	}
	if done {
		c.edge.lingering.remove(c)
	}
	c.mu.Unlock()
	if over && onBodyDone != nil {
		onBodyDone()
	}
	if done {
		c.edge.remove(c.id)
		c.request.OnDone()
	}
}

// dropBody lets go of what only dispatches and the final answer need, once there are none any more: a lease may keep the completion for
// long. The completion's mutex must be held.
func (c *completion) dropBody() {
	c.client, c.dispatches = nil, nil
	c.request.BuildBody, c.request.OnBodyDone = nil, nil
}

// cancelDispatch cancels a dispatch unless it has won and is being relayed to the client.
func (c *completion) cancelDispatch(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.dispatches {
		if d.number == number && c.winner.Load() != int32(number)+1 {
			d.cancel(engine.ErrCancelled)
		}
	}
}

func (c *completion) cancelDispatches(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.dispatches {
		d.cancel(cause)
	}
}
