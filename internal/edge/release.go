package edge

import (
	"context"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// heldResource is state or a reservation held at an engine under an id.
type heldResource struct {
	address, id    string
	transferParams []byte      // kv_transfer_params; nil for a reservation
	releaseTimer   *time.Timer // fires after releaseDelay; nil if it was in use from the start
	inUse          bool        // by a running dispatch
}

// stopTimer stops the release timer. The completion's mutex must be held.
func (h *heldResource) stopTimer() {
	if h.releaseTimer != nil {
		h.releaseTimer.Stop()
	}
}

// endReservation drops the reservation once a write has started: the write has used it, or it is at another writer and is released.
func (c *completion) endReservation(address string) {
	c.mu.Lock()
	h := c.reservation
	c.reservation = nil
	c.mu.Unlock()
	if h != nil && h.address != address {
		c.edge.release(h, "elsewhere")
	}
}

// holdState records state held at a reader. If no write uses it and no command releases it, the edge releases it
// before the hold limit. This guards against a stalled planner; a planner that is merely slow may have to repeat
// the read.
func (c *completion) holdState(h *heldResource) {
	c.mu.Lock()
	if c.state != nil { // the previous state was not used
		go c.edge.release(c.state, "replaced")
	}
	c.state = h
	c.armRelease(h)
	c.mu.Unlock()
}

func (c *completion) armRelease(h *heldResource) {
	h.inUse = false
	h.releaseTimer = time.AfterFunc(c.edge.releaseDelay(), func() {
		c.mu.Lock()
		expired := !h.inUse && (c.state == h || c.reservation == h)
		if c.state == h && expired {
			c.state = nil
		}
		if c.reservation == h && expired {
			c.reservation = nil
		}
		c.mu.Unlock()
		if expired {
			c.edge.release(h, ReleaseReasonHoldLimit)
			c.closeIfDone()
		}
	})
}

// Reasons for a release at the hold limit: without a running write, or with one that has not produced its first byte.
const (
	ReleaseReasonHoldLimit        = "limit"
	ReleaseReasonHoldLimitWriting = "limit_writing"
)

// releaseDelay returns the time after which the edge releases unused state, also used as the lease of a reservation at its engine.
func (e *Edge) releaseDelay() time.Duration {
	return time.Duration(float64(e.options.HoldLimit) * decide.ReleaseFraction)
}

// endStateUse ends a write's use of the state: it was consumed, or is held as before.
func (c *completion) endStateUse(h *heldResource, consumed bool) {
	if h == nil {
		return
	}
	c.mu.Lock()
	if c.state == h {
		if consumed {
			c.state = nil
		} else {
			c.armRelease(h)
		}
	}
	c.mu.Unlock()
}

// releaseUnused releases everything that is held for the completion and not in use.
func (c *completion) releaseUnused(reason string) {
	c.mu.Lock()
	state, reservation := c.state, c.reservation
	if state != nil && state.inUse {
		state = nil
	}
	if state != nil {
		c.state = nil
		state.stopTimer()
	}
	if c.reservation = nil; reservation != nil {
		reservation.stopTimer()
	}
	if c.activeDispatches == 0 && c.lease.Active() {
		c.releaseLease(reason)
	}
	c.mu.Unlock()
	for _, h := range [...]*heldResource{state, reservation} {
		if h != nil {
			c.edge.release(h, reason)
		}
	}
	c.closeIfDone()
}

// release frees a held resource at its engine in the background.
func (e *Edge) release(h *heldResource, reason string) {
	e.releaseWhile(h, reason, func() bool { return true }, func(time.Time, bool) {})
}

// releaseUncertain releases what a call that ended without an answer may have left. The engine may complete the call shortly after it
// has processed the release, which then finds nothing, so the release is repeated once.
func (e *Edge) releaseUncertain(h *heldResource) {
	e.release(h, "unsure")
	e.repeatRelease(h)
}

// releaseRepeatDelay returns the time after which a release is repeated that may have reached the engine before it held anything.
func (e *Edge) releaseRepeatDelay() time.Duration { return e.releaseDelay() / 2 }

// repeatRelease sends a release after releaseRepeatDelay.
func (e *Edge) repeatRelease(h *heldResource) {
	e.activeCalls.Add(1)
	time.AfterFunc(e.releaseRepeatDelay(), func() {
		defer e.activeCalls.Add(-1)
		e.release(h, "again")
	})
}

// releaseWhile is like release but stops retrying once wanted returns false. When it ends it calls onDone with the start time of the last
// attempt and whether that was answered.
func (e *Edge) releaseWhile(h *heldResource, reason string, wanted func() bool, onDone func(sent time.Time, answered bool)) {
	e.options.Observer.ReleaseStarted(reason)
	if e.activeReleases.Add(1) > maxPendingReleases {
		e.activeReleases.Add(-1)
		e.options.Log.Error("state not released: too many releases run", "engine", h.address, "id", h.id)
		go onDone(time.Time{}, false)
		return
	}
	e.activeCalls.Add(1)
	e.releaseQueue.submit(&pendingRelease{edge: e, resource: h, reason: reason, wanted: wanted, onDone: onDone, startedAt: time.Now(), retryDelay: initialReleaseRetryDelay})
}

// reserve reserves KV cache space at a writer in the background.
func (c *completion) reserve(cmd link.Command) {
	if c.edge.options.ReleaseByCompletion { // a reservation could remain held without anyone knowing
		return
	}
	h := &heldResource{address: cmd.Address, id: c.request.ExternalID + "-place"}
	c.edge.activeCalls.Add(1)
	go func() {
		defer c.edge.activeCalls.Add(-1)
		ctx, cancel := context.WithTimeout(c.edge.callsCtx, time.Second)
		defer cancel()
		reserved, err := c.edge.options.Engines.Reserve(ctx, h.address, h.id, c.request.Prompt.Tokens, c.edge.releaseDelay())
		if err != nil {
			c.edge.options.Log.Debug("reservation failed", "completion", c.request.ExternalID, "engine", h.address, "err", err)
			c.edge.releaseUncertain(h)
		}
		if reserved && err == nil {
			c.mu.Lock()
			c.reservation = h
			h.inUse = true
			// A write that was sent earlier does not know of the reservation and cannot use it.
			unusable := c.answered || c.activeDispatches == 0 || c.writeSent
			if unusable {
				c.reservation = nil
			}
			c.mu.Unlock()
			if unusable {
				c.edge.release(h, "late")
				c.closeIfDone()
			}
		}
		c.edge.planner.Notify(link.Event{Kind: link.ReservationAnswered, Completion: c.id, Dispatch: cmd.Dispatch, Reserved: reserved && err == nil})
	}()
}
