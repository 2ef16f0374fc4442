package edge

import (
	"log/slog"
	"slices"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/engine"
)

// lease has the states of a completion let go in time where all of it goes by one name, and one release at any engine lets go of all.
// decide.Lease says when; this sends the releases, also while calls are out, as no answer to another call tells whether one of them
// has arrived. The completion's lock guards it.
type lease struct {
	decide.Lease
	at        string // the engine that is asked first
	releasing bool
	atEnd     bool // a release was sent as the completion was over
	timer     *time.Timer
}

func (l *lease) stop() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// open tells whether the completion must still be known for it.
func (l *lease) open() bool { return l.Active() || l.releasing }

// seconds is a time on the clock of leases.
func (e *Edge) seconds(at time.Time) float64 { return at.Sub(e.began).Seconds() }

// writes tells whether a write is out, or may be as far as is known here, and has not begun.
func (c *completion) writes() bool {
	return slices.ContainsFunc(c.runs, func(r *run) bool { return !r.reads && !r.over && !r.begun })
}

// armLease sets the timer of the next release. It is called with the lock, as are all below but leaseRuns and leaseReleased.
func (c *completion) armLease() {
	c.lease.stop()
	wait, due := c.releaseDue()
	if !due || c.lease.releasing {
		return
	}
	c.lease.timer = time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if wait, due := c.releaseDue(); due && wait <= 0 && !c.lease.releasing { // else it was armed anew meanwhile
			c.leaseExpires()
		}
	})
}

// leaseExpires lets go of what nobody took in time.
func (c *completion) leaseExpires() {
	reason := ReleaseReasonHoldLimit
	if c.writes() {
		reason = ReleaseReasonHoldLimitWriting
	}
	level := slog.LevelDebug
	if _, holds := c.lease.HeldFor(0); holds { // else it is for what a call that was cut off may leave yet
		level = slog.LevelInfo
	}
	c.e.o.Log.Log(c.e.base, level, "held state expires", "completion", c.r.ExternalID, "why", reason, "engine", c.lease.at, "dispatches", len(c.runs),
		"out", c.out, "since_taken", time.Since(c.r.ArrivedAt).Seconds(), "answered", c.handled)
	c.cancelConnecting()
	c.releaseHeld(reason)
}

// releaseDue is how long it is until a release has to be sent, false for not at all.
func (c *completion) releaseDue() (time.Duration, bool) {
	at, due := c.lease.NextRelease(c.e.o.HoldLimit.Seconds())
	return time.Until(c.e.began.Add(time.Duration(at * float64(time.Second)))), due
}

// cancelConnecting ends writes of which nothing was sent: there may be no state for them any more.
func (c *completion) cancelConnecting() {
	for _, r := range c.runs {
		if !r.over && !r.wrote && !r.reads {
			r.cancel(engine.ErrHeld)
		}
	}
}

// releaseHeld lets go of all that is held now.
func (c *completion) releaseHeld(reason string) {
	if c.lease.releasing {
		return
	}
	c.lease.stop()
	c.lease.releasing = true
	c.lease.ReleaseSent()
	c.logLease("release is sent", reason)
	c.e.releaseWhile(&holding{address: c.lease.at, id: c.r.ExternalID}, reason, c.leaseRuns, c.leaseReleased)
}

// leaseRuns tells whether a release is still wanted.
func (c *completion) leaseRuns() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Active()
}

// leaseReleased books the end of a release and, if it was answered, when it was sent.
func (c *completion) leaseReleased(sent time.Time, answered bool) {
	c.mu.Lock()
	c.lease.releasing = false
	if answered {
		if held, holds := c.lease.HeldFor(c.e.seconds(time.Now())); holds {
			c.e.o.Observer.StateReleased(time.Duration(held * float64(time.Second)))
		}
		c.lease.ReleaseAnswered(c.e.seconds(sent), c.writes())
		c.logLease("release is answered", "")
	} else if c.lease.Active() { // it was given up
		c.lease.Lease = decide.Lease{}
	}
	c.armLease()
	c.mu.Unlock()
	c.settle()
}

// leaseEnds books a dispatch's end, and tells whether the state that was read may be gone.
func (c *completion) leaseEnds(r *run, o decide.Outcome) (gone bool) {
	if !c.e.o.ReleaseByCompletion {
		return false
	}
	now, until := c.e.seconds(time.Now()), c.e.seconds(r.until)
	switch {
	case !r.wrote || !mayRun(o) && r.reads:
	case r.reads:
		c.lease.at = r.engine
		c.lease.ReadEnded(now, hadAnswer(o), until)
		c.logLease("held", "a read has ended")
	default:
		c.lease.WriteEnded(now, hadAnswer(o), until)
	}
	c.armLease()
	return o != decide.Read && c.lease.MayBeLost()
}

// leaseTaken books a write's first byte.
func (c *completion) leaseTaken(r *run) {
	r.begun = true
	c.lease.WriteStarted(c.e.seconds(time.Now()))
	c.armLease()
}

// hadAnswer tells whether a dispatch that ended so had an answer from its engine.
func hadAnswer(o decide.Outcome) bool {
	return o == decide.Finished || o == decide.Read || o == decide.Errored || o == decide.Full
}

// logLease logs what becomes of what may be held.
func (c *completion) logLease(what, why string) {
	if !c.e.debugs() {
		return
	}
	c.e.o.Log.Debug("held state", "completion", c.r.ExternalID, "change", what, "why", why, "engine", c.lease.at, "held", c.lease.Active(),
		"dispatches_out", c.out)
}
