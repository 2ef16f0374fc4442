package edge

import (
	"log/slog"
	"slices"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/engine"
)

// lease releases the state of a completion in time where all of it is held under one id and a release at any engine frees all of it
// (Options.ReleaseByCompletion). decide.Lease determines when a release is due. Releases are also sent while calls are running, because the
// answer to one call does not show whether another has reached its engine. It is guarded by the completion's mutex.
type lease struct {
	decide.Lease
	address          string // engine that releases are sent to first
	releaseInFlight  bool
	finalReleaseSent bool // a release was sent when the completion had ended
	releaseTimer     *time.Timer
}

func (l *lease) stopTimer() {
	if l.releaseTimer != nil {
		l.releaseTimer.Stop()
		l.releaseTimer = nil
	}
}

// pending reports whether the completion must be kept for the lease.
func (l *lease) pending() bool { return l.Active() || l.releaseInFlight }

// leaseTime converts a time to the lease clock.
func (e *Edge) leaseTime(t time.Time) float64 { return t.Sub(e.startedAt).Seconds() }

// hasPendingWrite reports whether a write is running, as far as is known here, that has not produced its first byte.
func (c *completion) hasPendingWrite() bool {
	return slices.ContainsFunc(c.dispatches, func(d *dispatch) bool { return !d.isRead && !d.ended && !d.started })
}

// armLeaseTimer sets the timer for the next release. The completion's mutex must be held, as for all functions below except leaseActive,
// recordReleaseEnd and dropLease.
func (c *completion) armLeaseTimer() {
	c.lease.stopTimer()
	delay, due := c.timeUntilRelease()
	if !due || c.lease.releaseInFlight {
		return
	}
	c.lease.releaseTimer = time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if delay, due := c.timeUntilRelease(); due && delay <= 0 && !c.lease.releaseInFlight { // otherwise the timer was set again in the meantime
			c.expireLease()
		}
	})
}

// expireLease releases state that was not used in time.
func (c *completion) expireLease() {
	reason := ReleaseReasonHoldLimit
	if c.hasPendingWrite() {
		reason = ReleaseReasonHoldLimitWriting
	}
	level := slog.LevelDebug
	if _, held := c.lease.HeldFor(0); held { // otherwise for state that an interrupted call may still leave
		level = slog.LevelInfo
	}
	c.edge.options.Log.Log(c.edge.callsCtx, level, "held state expires", "completion", c.request.ExternalID, "why", reason, "engine", c.lease.address, "dispatches", len(c.dispatches),
		"out", c.activeDispatches, "since_taken", time.Since(c.request.ArrivedAt).Seconds(), "answered", c.answered)
	c.cancelUnsentWrites()
	c.releaseLease(reason)
}

// timeUntilRelease returns the time until a release has to be sent, and false if none has to be.
func (c *completion) timeUntilRelease() (time.Duration, bool) {
	at, due := c.lease.NextRelease(c.edge.options.HoldLimit.Seconds())
	return time.Until(c.edge.startedAt.Add(time.Duration(at * float64(time.Second)))), due
}

// cancelUnsentWrites cancels writes that are not fully sent, because their state may be gone.
func (c *completion) cancelUnsentWrites() {
	for _, d := range c.dispatches {
		if !d.ended && !d.written && !d.isRead {
			d.cancel(engine.ErrNotConnected)
		}
	}
}

// releaseLease releases everything that is held for the completion.
func (c *completion) releaseLease(reason string) {
	if c.lease.releaseInFlight {
		return
	}
	c.lease.stopTimer()
	c.lease.releaseInFlight = true
	c.lease.ReleaseSent()
	c.logLease("release is sent", reason)
	c.edge.releaseWhile(&heldResource{address: c.lease.address, id: c.request.ExternalID}, reason, c.leaseActive, c.recordReleaseEnd)
}

// leaseActive reports whether a release is still needed.
func (c *completion) leaseActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Active()
}

// recordReleaseEnd records the end of a release and, if it was answered, when it was sent.
func (c *completion) recordReleaseEnd(sent time.Time, answered bool) {
	c.mu.Lock()
	c.lease.releaseInFlight = false
	if answered {
		if heldFor, held := c.lease.HeldFor(c.edge.leaseTime(time.Now())); held {
			c.edge.options.Observer.StateReleased(time.Duration(heldFor * float64(time.Second)))
		}
		c.lease.ReleaseAnswered(c.edge.leaseTime(sent), c.hasPendingWrite())
		c.logLease("release is answered", "")
	} else if c.lease.Active() { // the release was given up
		c.lease.Lease = decide.Lease{}
	}
	c.armLeaseTimer()
	var excess *completion
	if c.answered && c.activeDispatches == 0 && c.lease.Lingers() {
		excess = c.edge.lingering.add(c)
	}
	c.mu.Unlock()
	if excess != nil {
		excess.dropLease()
	}
	c.closeIfDone()
}

// dropLease gives the lease up, so that no further release is sent.
func (c *completion) dropLease() {
	c.mu.Lock()
	c.logLease("dropped", "too many leases linger")
	c.lease.stopTimer()
	c.lease.Lease = decide.Lease{}
	c.mu.Unlock()
	c.closeIfDone()
}

// recordDispatchEnd records the end of a dispatch and reports whether the state of the last read may be lost.
func (c *completion) recordDispatchEnd(d *dispatch, outcome decide.Outcome) (stateLost bool) {
	if !c.edge.options.ReleaseByCompletion {
		return false
	}
	now, deadline := c.edge.leaseTime(time.Now()), c.edge.leaseTime(d.deadline)
	switch {
	case !d.written || !mayHaveRun(outcome) && d.isRead:
	case d.isRead:
		c.lease.address = d.address
		c.lease.ReadEnded(now, hasEngineResponse(outcome), deadline)
		c.logLease("held", "a read has ended")
	default:
		c.lease.WriteEnded(now, hasEngineResponse(outcome), deadline)
	}
	c.armLeaseTimer()
	return outcome != decide.Read && c.lease.MayBeLost()
}

// recordWriteStart records a write's first byte.
func (c *completion) recordWriteStart(d *dispatch) {
	d.started = true
	c.lease.WriteStarted(c.edge.leaseTime(time.Now()))
	c.armLeaseTimer()
}

// hasEngineResponse reports whether a dispatch with this outcome was answered by its engine.
func hasEngineResponse(outcome decide.Outcome) bool {
	return outcome == decide.Finished || outcome == decide.Read || outcome == decide.Errored || outcome == decide.Full
}

// logLease logs a change of the held state.
func (c *completion) logLease(change, reason string) {
	if !c.edge.debugEnabled() {
		return
	}
	c.edge.options.Log.Debug("held state", "completion", c.request.ExternalID, "change", change, "why", reason, "engine", c.lease.address, "held", c.lease.Active(),
		"dispatches_out", c.activeDispatches)
}
