package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// run is one dispatch.
type run struct {
	c      *completion
	n      int
	engine string // its address
	reads  bool
	at     time.Time
	first  time.Duration // until its first token, of a write that won
	ctx    context.Context
	cancel context.CancelCauseFunc
	stream Stream
	state  *holding      // that a write fetches
	sent   chan struct{} // is closed once its last byte is written, or it ended
	closed sync.Once
	wrote  bool // its last byte is written; the completion's lock guards it, as the next
	over   bool
	begun  bool // its first byte has come

	until time.Time // its engine is told to wait no longer
}

func (r *run) wasSent() { r.closed.Do(func() { close(r.sent) }) }

// wasWritten books that its last byte is written: what the completion holds is now in the engine's hands.
func (r *run) wasWritten(sent engine.Sent) {
	r.c.mu.Lock()
	r.wrote = true
	if r.c.e.debugs() {
		r.c.e.o.Log.Debug("dispatch written", "completion", r.c.r.ExternalID, "dispatch", r.n, "engine", r.engine, "reads", r.reads,
			"connection", sent.Connection, "connection_answered_ago", time.Since(sent.Since).Seconds())
	}
	r.c.mu.Unlock()
	r.wasSent()
}

// checkAfter is decide's, as a duration.
const checkAfter = time.Duration(decide.ConnCheckAfterSeconds * float64(time.Second))

// call is the dispatch's call. What it tells its engine of the time left is bounded by the client's own deadline, however
// old the order is.
func (r *run) call(body []byte, timeout time.Duration) *engine.Call {
	c := r.c
	id := c.r.ExternalID
	until := r.at.Add(timeout)
	if deadline := c.r.ArrivedAt.Add(c.r.FirstTokenTimeout - c.r.AnswerMargin); until.After(deadline) {
		until = deadline
	}
	if !c.e.o.ReleaseByCompletion {
		id += "-" + strconv.Itoa(r.n)
	}
	check := time.Duration(0)
	c.mu.Lock()
	if c.lease.Active() {
		check = checkAfter
	}
	r.until = until
	c.mu.Unlock()
	return &engine.Call{Address: r.engine, ID: id, Key: c.r.IdempotencyKey, CheckAfter: check, Trace: c.r.TraceParent, Target: c.r.Target, Body: body, Until: until, Wrote: r.wasWritten,
		Heard: func(report []float64) {
			c.e.planner.Notify(link.Event{Kind: link.ProbeEnded, Address: r.engine, Outcome: decide.Finished, Report: report})
		}}
}

func (r *run) read(timeout time.Duration) {
	c := r.c
	timer := time.AfterFunc(timeout, func() { r.cancel(engine.ErrTimedOut) })
	call := r.call(c.r.BuildBody(true, nil), timeout)
	result := c.e.o.Engines.Read(r.ctx, call)
	timer.Stop()
	switch {
	case c.e.o.ReleaseByCompletion: // its lease sees to it
	case result.Outcome == decide.Read:
		c.hold(&holding{address: r.engine, id: call.ID, params: result.State})
	case mayRun(result.Outcome) && !result.Done:
		// It may have been read all the same: the state is let go by its id.
		c.e.releaseUnsure(&holding{address: r.engine, id: call.ID})
	}
	r.ended(result)
}

// mayRun tells whether a dispatch with that outcome may have been carried out.
func mayRun(o decide.Outcome) bool {
	return o != decide.Full && o != decide.Unreachable && o != decide.NotSent
}

func (r *run) write(timeout time.Duration) {
	c := r.c
	var state []byte
	if r.state != nil {
		state = r.state.params
	}
	stream, result := c.e.o.Engines.Write(r.ctx, r.cancel, r.call(c.r.BuildBody(false, state), timeout), timeout)
	if stream == nil {
		missing := result.Outcome == decide.Full && result.Found == 1
		c.giveBack(r.state, missing)
		if missing && r.state != nil {
			// The writer could not get it; a reader that was only out of its reach still holds it.
			c.e.release(r.state, "missing")
		}
		r.ended(result)
		return
	}
	c.giveBack(r.state, true) // a first token: the state was fetched
	c.placeTaken(r.engine)
	c.mu.Lock() // with cancel: what is cancelled does not win, what has won is not cancelled
	won := r.ctx.Err() == nil && c.won.CompareAndSwap(0, int32(r.n)+1)
	c.leaseTaken(r)
	c.mu.Unlock()
	if !won {
		result = stream.Close()
		result.Done = true
		r.ended(result)
		return
	}
	r.stream = stream
	r.first = time.Since(r.at)
	c.e.planner.Notify(link.Event{Kind: link.DispatchStarted, Completion: c.id, Dispatch: r.n, Elapsed: r.first.Seconds()})
	c.begun <- r // there is room for the one that wins
}

// ended tells the planner of a dispatch's end, and the handler where the completion is at fault.
func (r *run) ended(result *engine.Result) {
	c, took := r.c, time.Since(r.at)
	if c.e.debugs() {
		var usage engine.Usage
		if r.stream != nil {
			usage, _ = r.stream.Usage()
		}
		c.e.o.Log.Debug("dispatch ended", "completion", c.r.ExternalID, "dispatch", r.n, "engine", r.engine, "reads", r.reads,
			"outcome", result.Outcome, "after", r.at.Sub(c.r.ArrivedAt).Seconds(), "first", r.first.Seconds(), "took", took.Seconds(),
			"found", result.Found, "answer", usage.Answer, "err", result.Err)
	}
	if result.Body != nil && c.won.CompareAndSwap(0, answered) {
		c.fault <- result
	}
	r.cancel(engine.ErrCancelled)
	r.wasSent()
	c.e.o.Observer.DispatchEnded(r.reads, result.Outcome, took)
	c.mu.Lock()
	r.over = true
	c.out--
	if c.leaseEnds(r, result.Outcome) {
		result.Found = 1 // no state is left
	}
	if c.out == 0 && c.place != nil {
		c.arm(c.place)
	}
	c.mu.Unlock()
	c.e.planner.Notify(link.Event{Kind: link.DispatchEnded, Completion: c.id, Dispatch: r.n, Outcome: result.Outcome, Elapsed: took.Seconds(),
		Answered: result.Done, CachedTokens: result.Found, Report: result.Report})
	c.settle()
	c.e.runs.Add(-1)
}
