package decide

// ReleaseFraction is the share of the hold limit after which a release is sent. The rest of the limit covers the release's own
// transit, and retries at other engines. A write that waits longer than this at an engine that then hangs
// costs a second read.
const ReleaseFraction = 0.6

// connCloseDelaySeconds is the time within which an engine is assumed to notice that the connection of a call has closed. Until then the
// call may still wait there, and keep its state from a release that arrives right after the close.
const connCloseDelaySeconds = 0.4

// maxRunOnSeconds is the longest time for which a call that was cut off is assumed to run on at its engine. Clients may allow an hour.
const maxRunOnSeconds = 60

// MaxLingeringLeases is how many leases a router keeps of completions that are over and hold state only if a call that was cut off runs on
// at its engine (Lease.Lingers). Beyond it the oldest is dropped: clients that leave would otherwise make a router send releases without a
// bound. What such a call leaves behind is then held until its engine frees it.
const MaxLingeringLeases = 128

// ConnCheckAfterSeconds is the time since a connection's last answer after which a probe checks it before it takes a dispatch that
// needs held state. It guards against connections that have gone silent: the held state would be released, and the prompt read again. It
// costs a round trip and a probe. No rule depends on it.
const ConnCheckAfterSeconds = 0.02

// Lease tracks the states that engines may hold for a completion, and when a release has to be sent. Times are in seconds on one
// clock.
//
// Where it is unknown whether an engine holds state, runs a call or has received one, the strictest case is assumed: nothing counts that
// is not observed of the call itself. So a write that is out may have reached no engine, and stops no clock. Only a write's first byte
// and an answered release show that nothing is held, and neither shows anything about state that is left afterwards.
type Lease struct {
	mayHold           bool    // an engine may hold state
	heldSince         float64 // since when state has been held, for the hold limit
	lastReadEnd       float64 // when the last read ended that may have left state
	runsUntil         float64 // calls that ended without an answer may run on at their engines until then, and leave state
	cutOffAt          float64 // when the last call ended without an answer
	clearedAt         float64 // when the last answered release was sent, or the last write gave its first byte
	releasedSinceRead bool    // a release was sent since the last read was answered
}

// ReadEnded records the end of a read that may have run. A read without an answer may have succeeded just then, or may run on until the
// given time.
func (l *Lease) ReadEnded(now float64, answered bool, until float64) {
	l.lastReadEnd = now
	switch {
	case l.mayHold:
	case l.runsUntil > l.clearedAt: // an earlier call may have left state since
		l.mayHold, l.heldSince = true, l.clearedAt
	default:
		l.mayHold, l.heldSince = true, now
	}
	if answered {
		l.releasedSinceRead = false
	} else {
		l.unanswered(now, until)
	}
}

// WriteEnded records the end of a write that was sent and gave no first byte. An answer shows that it was at an engine until now; without
// one it may never have arrived, and may still fetch the state until the given time.
func (l *Lease) WriteEnded(now float64, answered bool, until float64) {
	switch {
	case !l.Active():
	case answered:
		l.heldSince = now
	default:
		l.unanswered(now, until)
	}
}

// unanswered records that a call ended without an answer and may run on at its engine until the given time, or for maxRunOnSeconds.
func (l *Lease) unanswered(now, until float64) {
	l.cutOffAt = now
	l.runsUntil = max(l.runsUntil, min(until, now+maxRunOnSeconds), now+connCloseDelaySeconds)
}

// WriteStarted records a write's first byte: its engine has fetched the state, and nothing else is held any more.
func (l *Lease) WriteStarted(now float64) { l.mayHold, l.clearedAt = false, now }

// ReleaseSent records that a release is sent.
func (l *Lease) ReleaseSent() { l.releasedSinceRead = true }

// ReleaseAnswered records the answer to a release that was sent at the given time. writing says that a write is out that has given no
// first byte: if it waits at its engine, the release has freed nothing. Nor has it freed what a read left that ended after it was sent.
func (l *Lease) ReleaseAnswered(sent float64, writing bool) {
	l.clearedAt = sent
	if l.mayHold && l.heldSince > sent {
		return
	}
	l.mayHold = writing || l.mayHold && l.lastReadEnd > sent
	l.heldSince = sent
}

// Active reports whether state may be held now or later.
func (l *Lease) Active() bool { return l.mayHold || l.runsUntil > l.clearedAt }

// Lingers reports whether state can be held only if an engine runs a call on whose connection has been closed for a while: a release that
// was sent after the engine should have noticed that has been answered.
func (l *Lease) Lingers() bool {
	return !l.mayHold && l.Active() && l.clearedAt >= l.cutOffAt+connCloseDelaySeconds
}

// HeldFor returns how long state may have been held, and false if none is.
func (l *Lease) HeldFor(now float64) (float64, bool) { return now - l.heldSince, l.mayHold }

// MayBeLost reports whether the state that the last read left may have been released.
func (l *Lease) MayBeLost() bool { return l.releasedSinceRead }

// NextRelease returns when the next release has to be sent, whatever is out, and false if none has to be. A read that runs after one that
// was cut off may lose its state to that release.
func (l *Lease) NextRelease(limit float64) (at float64, due bool) {
	if l.mayHold {
		return l.heldSince + ReleaseFraction*limit, true
	}
	return l.clearedAt + ReleaseFraction*limit, l.runsUntil > l.clearedAt
}
