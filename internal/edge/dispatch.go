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

// dispatch is one read or write of a completion at an engine.
type dispatch struct {
	completion       *completion
	number           int
	address          string
	isRead           bool
	startedAt        time.Time
	timeToFirstToken time.Duration // set for the winning write
	ctx              context.Context
	cancel           context.CancelCauseFunc
	stream           Stream
	state            *heldResource // state that the write uses
	sent             chan struct{} // closed when the request is fully sent or the dispatch has ended
	sentOnce         sync.Once
	written          bool // the request is fully sent; guarded by the completion's mutex, as are ended and started
	ended            bool
	started          bool // its first byte has arrived

	deadline time.Time // sent to the engine as its deadline
	sendBy   time.Time // before which its last byte must be written, zero for no limit
}

func (d *dispatch) markSent() { d.sentOnce.Do(func() { close(d.sent) }) }

// recordWritten records that the request is fully sent: from here on the engine may use or leave state.
func (d *dispatch) recordWritten(sent engine.ConnInfo) {
	d.completion.mu.Lock()
	d.written = true
	if d.completion.edge.debugEnabled() {
		d.completion.edge.options.Log.Debug("dispatch written", "completion", d.completion.request.ExternalID, "dispatch", d.number, "engine", d.address, "reads", d.isRead,
			"connection", sent.Number, "connection_answered_ago", time.Since(sent.LastActive).Seconds())
	}
	d.completion.mu.Unlock()
	d.markSent()
}

// connCheckAfter is decide.ConnCheckAfterSeconds as a duration.
const connCheckAfter = time.Duration(decide.ConnCheckAfterSeconds * float64(time.Second))

// newCall builds the engine call. The deadline it sends is capped at the client's deadline, even if the command was
// delayed.
func (d *dispatch) newCall(body []byte, timeout time.Duration) *engine.Call {
	c := d.completion
	id := c.request.ExternalID
	deadline := d.startedAt.Add(timeout)
	if clientDeadline := c.request.ArrivedAt.Add(c.request.FirstTokenTimeout - c.request.AnswerMargin); deadline.After(clientDeadline) {
		deadline = clientDeadline
	}
	if !c.edge.options.ReleaseByCompletion {
		id += "-" + strconv.Itoa(d.number)
	}
	checkAfter := time.Duration(0)
	c.mu.Lock()
	if c.lease.Active() {
		checkAfter = connCheckAfter
	}
	d.deadline = deadline
	c.mu.Unlock()
	return &engine.Call{Address: d.address, ID: id, IdempotencyKey: c.request.IdempotencyKey, CheckAfter: checkAfter, TraceParent: c.request.TraceParent, Target: c.request.Target, Body: body, Deadline: deadline, SendBy: d.sendBy, OnSent: d.recordWritten,
		OnReport: func(report []float64) {
			c.edge.planner.Notify(link.Event{Kind: link.ProbeEnded, Address: d.address, Outcome: decide.Finished, Report: report})
		}}
}

func (d *dispatch) runRead(timeout time.Duration) {
	c := d.completion
	timer := time.AfterFunc(timeout, func() { d.cancel(engine.ErrTimedOut) })
	call := d.newCall(c.request.BuildBody(true, nil), timeout)
	result := c.edge.options.Engines.Read(d.ctx, call)
	timer.Stop()
	switch {
	case c.edge.options.ReleaseByCompletion: // handled by the lease
	case result.Outcome == decide.Read:
		c.holdState(&heldResource{address: d.address, id: call.ID, transferParams: result.State})
	case mayHaveRun(result.Outcome) && !result.Answered:
		// The read may have succeeded all the same, so its state is released by id.
		c.edge.releaseUncertain(&heldResource{address: d.address, id: call.ID})
	}
	d.finish(result)
}

// mayHaveRun reports whether a dispatch with this outcome may have been executed.
func mayHaveRun(outcome decide.Outcome) bool {
	return outcome != decide.Full && outcome != decide.Unreachable && outcome != decide.NotSent
}

func (d *dispatch) runWrite(timeout time.Duration) {
	c := d.completion
	var state []byte
	if d.state != nil {
		state = d.state.transferParams
	}
	stream, result := c.edge.options.Engines.Write(d.ctx, d.cancel, d.newCall(c.request.BuildBody(false, state), timeout), timeout)
	if stream == nil {
		stateMissing := result.Outcome == decide.Full && result.CachedTokens == 1
		c.endStateUse(d.state, stateMissing)
		if stateMissing && d.state != nil {
			// The writer could not fetch the state. A reader that the writer merely failed to reach still holds it.
			c.edge.release(d.state, "missing")
		}
		d.finish(result)
		return
	}
	c.endStateUse(d.state, true) // the first token shows that the state was fetched
	c.endReservation(d.address)
	c.mu.Lock() // excludes cancelDispatch: a cancelled dispatch cannot win, and the winner is not cancelled
	won := d.ctx.Err() == nil && c.winner.CompareAndSwap(0, int32(d.number)+1)
	c.recordWriteStart(d)
	c.mu.Unlock()
	if !won {
		result = stream.Close()
		result.Answered = true
		d.finish(result)
		return
	}
	d.stream = stream
	d.timeToFirstToken = time.Since(d.startedAt)
	c.edge.planner.Notify(link.Event{Kind: link.DispatchStarted, Completion: c.id, Dispatch: d.number, Elapsed: d.timeToFirstToken.Seconds()})
	c.winnerStarted <- d // buffered for the one winner
}

// finish notifies the planner of the dispatch's end, and the handler if the engine rejected the request as invalid.
func (d *dispatch) finish(result *engine.Result) {
	c, elapsed := d.completion, time.Since(d.startedAt)
	if c.edge.debugEnabled() {
		var usage engine.Usage
		if d.stream != nil {
			usage, _ = d.stream.Usage()
		}
		c.edge.options.Log.Debug("dispatch ended", "completion", c.request.ExternalID, "dispatch", d.number, "engine", d.address, "reads", d.isRead,
			"outcome", result.Outcome, "after", d.startedAt.Sub(c.request.ArrivedAt).Seconds(), "first", d.timeToFirstToken.Seconds(), "took", elapsed.Seconds(),
			"found", result.CachedTokens, "answer", usage.OutputTokens, "err", result.Err)
	}
	if result.Body != nil && c.winner.CompareAndSwap(0, answeredWithoutDispatch) {
		c.engineError <- result
	}
	d.cancel(engine.ErrCancelled)
	d.markSent()
	c.edge.options.Observer.DispatchEnded(d.isRead, result.Outcome, elapsed)
	c.mu.Lock()
	d.ended = true
	c.activeDispatches--
	if c.recordDispatchEnd(d, result.Outcome) {
		result.CachedTokens = 1 // reports that no state is left
	}
	if c.activeDispatches == 0 && c.reservation != nil {
		c.armRelease(c.reservation)
	}
	c.mu.Unlock()
	c.edge.planner.Notify(link.Event{Kind: link.DispatchEnded, Completion: c.id, Dispatch: d.number, Outcome: result.Outcome, Elapsed: elapsed.Seconds(),
		Answered: result.Answered, CachedTokens: result.CachedTokens, Report: result.Report})
	c.closeIfDone()
	c.edge.activeCalls.Add(-1)
}
