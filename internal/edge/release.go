package edge

import (
	"context"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// holding is a state or a place held at an engine under an id.
type holding struct {
	address, id string
	params      []byte      // kv_transfer_params, of a state
	timer       *time.Timer // lets go; nil where it was in use from the start
	used        bool        // a write that is out fetches it
}

// stop ends the time after which it is let go. The completion's lock guards it.
func (h *holding) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// placeTaken ends the place held for a write that has begun: its own writer took it, another one never will.
func (c *completion) placeTaken(address string) {
	c.mu.Lock()
	h := c.place
	c.place = nil
	c.mu.Unlock()
	if h != nil && h.address != address {
		c.e.release(h, "elsewhere")
	}
}

// hold keeps a state that waits. If nothing takes it, and no order lets it go, the edge does, before the
// limit: it guards against a planner that is stalled or gone. It would harm one that is only slow, by a read.
func (c *completion) hold(h *holding) {
	c.mu.Lock()
	if c.state != nil { // the one before was never taken
		go c.e.release(c.state, "replaced")
	}
	c.state = h
	c.arm(h)
	c.mu.Unlock()
}

func (c *completion) arm(h *holding) {
	h.used = false
	h.timer = time.AfterFunc(c.e.ownLetGo(), func() {
		c.mu.Lock()
		mine := !h.used && (c.state == h || c.place == h)
		if c.state == h && mine {
			c.state = nil
		}
		if c.place == h && mine {
			c.place = nil
		}
		c.mu.Unlock()
		if mine {
			c.e.release(h, ReleaseReasonHoldLimit)
			c.settle()
		}
	})
}

// The reasons for a release of what nobody took in time: no write is out, or one is that has not begun.
const (
	ReleaseReasonHoldLimit        = "limit"
	ReleaseReasonHoldLimitWriting = "limit_writing"
)

// ownLetGo is the time after which the edge, and an engine's lease, let go by themselves.
func (e *Edge) ownLetGo() time.Duration {
	return time.Duration(float64(e.o.HoldLimit) * decide.ReleaseFraction)
}

// giveBack ends a write's use of a state: it is gone, or waits again.
func (c *completion) giveBack(h *holding, gone bool) {
	if h == nil {
		return
	}
	c.mu.Lock()
	if c.state == h {
		if gone {
			c.state = nil
		} else {
			c.arm(h)
		}
	}
	c.mu.Unlock()
}

// release lets go of all that is held and not in use.
func (c *completion) release(reason string) {
	c.mu.Lock()
	state, place := c.state, c.place
	if state != nil && state.used {
		state = nil
	}
	if state != nil {
		c.state = nil
		state.stop()
	}
	if c.place = nil; place != nil {
		place.stop()
	}
	if c.out == 0 && c.lease.Active() {
		c.releaseHeld(reason)
	}
	c.mu.Unlock()
	for _, h := range [...]*holding{state, place} {
		if h != nil {
			c.e.release(h, reason)
		}
	}
	c.settle()
}

// Releases are tried again for as long, and so many at once. A try lasts a third of the limit at most. The first repeat comes almost at
// once, as little of the limit is left, each other one twice as long after, up to a third: an engine that is cut off, down or deaf gets its
// own within the limit once it hears again. It harms one that needs longer to answer by repeats, which find nothing.
const (
	releaseFor   = time.Minute
	releaseMost  = 8192
	releasePause = 10 * time.Millisecond
)

// release has an engine drop what it holds, beside everything else.
func (e *Edge) release(h *holding, reason string) {
	e.releaseWhile(h, reason, func() bool { return true }, func(time.Time, bool) {})
}

// releaseUnsure has an engine drop what a call may have left that ended here without an answer. The engine may end it well a
// moment later, behind the release, which finds nothing then: it is repeated once.
func (e *Edge) releaseUnsure(h *holding) {
	e.release(h, "unsure")
	e.releaseLater(h)
}

// repeatAfter is the time after which a release is repeated that an engine may have got before it held anything.
func (e *Edge) repeatAfter() time.Duration { return e.ownLetGo() / 2 }

// releaseLater repeats a release after repeatAfter.
func (e *Edge) releaseLater(h *holding) {
	e.runs.Add(1)
	time.AfterFunc(e.repeatAfter(), func() {
		defer e.runs.Add(-1)
		e.release(h, "again")
	})
}

// releaseWhile is release as long as it is still wanted; over is called at its end, with when the try was begun that was answered.
func (e *Edge) releaseWhile(h *holding, reason string, wanted func() bool, over func(sent time.Time, answered bool)) {
	e.o.Observer.ReleaseStarted(reason)
	if e.releases.Add(1) > releaseMost {
		e.releases.Add(-1)
		e.o.Log.Error("state not released: too many releases run", "engine", h.address, "id", h.id)
		go over(time.Time{}, false)
		return
	}
	e.runs.Add(1)
	go func() {
		defer e.runs.Add(-1)
		defer e.releases.Add(-1)
		sent, answered := time.Time{}, false
		defer func() { over(sent, answered) }()
		began := time.Now()
		for pause := releasePause; wanted(); pause = min(2*pause, e.o.HoldLimit/3) {
			sent = time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), e.o.HoldLimit/3)
			err := e.o.Engines.Release(ctx, h.address, h.id)
			cancel()
			e.o.Log.Debug("released", "id", h.id, "engine", h.address, "reason", reason, "seconds", time.Since(began).Seconds(), "err", err)
			if answered = err == nil; answered {
				return
			}
			if time.Since(began) > releaseFor || e.base.Err() != nil && time.Since(began) > stopLast/2 {
				e.o.Log.Warn("state not released", "engine", h.address, "id", h.id, "err", err)
				return
			}
			time.Sleep(pause)
		}
	}()
}

// holdPlace asks a writer for a place.
func (c *completion) holdPlace(o link.Command) {
	if c.e.o.ReleaseByCompletion { // a place could stay held unknown to anybody
		return
	}
	h := &holding{address: o.Address, id: c.r.ExternalID + "-place"}
	c.e.runs.Add(1)
	go func() {
		defer c.e.runs.Add(-1)
		ctx, cancel := context.WithTimeout(c.e.base, time.Second)
		defer cancel()
		held, err := c.e.o.Engines.Reserve(ctx, h.address, h.id, c.r.Prompt.Tokens, c.e.ownLetGo())
		if err != nil {
			c.e.o.Log.Debug("no place", "completion", c.r.ExternalID, "engine", h.address, "err", err)
			c.e.releaseUnsure(h)
		}
		if held && err == nil {
			c.mu.Lock()
			c.place = h
			h.used = true
			// A write that was sent before does not know of the place and takes no other's.
			late := c.handled || c.out == 0 || c.wrote
			if late {
				c.place = nil
			}
			c.mu.Unlock()
			if late {
				c.e.release(h, "late")
				c.settle()
			}
		}
		c.e.planner.Notify(link.Event{Kind: link.ReservationAnswered, Completion: c.id, Dispatch: o.Dispatch, Reserved: held && err == nil})
	}()
}
