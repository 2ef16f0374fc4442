package standin

import (
	"errors"
	"net"
	"os"
	"time"
)

// A fleet with Strict set holds state exactly as the protocol says: a reservation is granted only while a read of the request is
// open. A write takes over its state with its first event, however long it waited before, and is refused if the state has been
// released. A release frees the state unless a write waits for it. Where the protocol leaves open whether a reservation is held, it is.

// noOpenRead is the result of a reservation call for which no read is open.
const noOpenRead Fault = "no open read"

// reservationWait is how long a reservation call waits for its read to arrive.
const reservationWait = 300 * time.Millisecond

// waitServiceTime waits for the service time of a read or a write. It returns false if the other side gave up the call meanwhile.
func (e *Engine) waitServiceTime(conn net.Conn, c *Call) bool {
	if e.fleet.ServiceTime == nil || c.Kind != Read && c.Kind != Write {
		return true
	}
	serviceTime := e.fleet.ServiceTime(c)
	if serviceTime <= 0 {
		return true
	}
	conn.SetReadDeadline(time.Now().Add(serviceTime)) //nolint:errcheck // the read below fails then
	_, err := conn.Read(make([]byte, 1))
	conn.SetReadDeadline(time.Time{}) //nolint:errcheck // later reads fail then
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// admit decides, before the answer to a reservation or a write, whether the engine runs it, and updates what is held.
func (f *Fleet) admit(c *Call) Fault {
	switch c.Kind {
	case Reserve:
		return f.admitReservation(c)
	case Write:
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.prefilled[c.ID] && len(f.held[c.ID]) == 0 {
			c.NotRun = true
			return Gone
		}
		f.endHolds(c.ID)
	}
	return None
}

func (f *Fleet) admitReservation(c *Call) Fault {
	f.mu.Lock()
	f.addHold(c.ID, c.Engine)
	f.mu.Unlock()
	for until := time.Now().Add(reservationWait); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		f.mu.Lock()
		open := f.hasOpenRead(c.ID)
		f.mu.Unlock()
		if open {
			return None
		}
	}
	return noOpenRead
}

// hasOpenRead reports whether a read of a request is open. The caller holds the lock.
func (f *Fleet) hasOpenRead(id string) bool {
	for _, c := range f.calls {
		if c.ID == id && c.Kind == Read && c.Ended.IsZero() {
			return true
		}
	}
	return false
}

// isAttempt reports whether a call is a read or a write.
func (c *Call) isAttempt() bool { return c.Kind == Read || c.Kind == Write }

// isLost reports whether the engine never answers the call.
func (f *Fleet) isLost(c *Call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.lost
}

// Hang makes an engine accept and never answer the reads and writes that it has now and all that arrive until the given time. It answers
// all other calls. A time in the past models a restart: only the calls that it has now are lost.
func (f *Fleet) Hang(engine string, until time.Time) { f.markEngineDown(engine, until, true) }

// MarkStopped records that an engine's machine stops or vanishes: the writes that it has count as not running from now on. A read that
// has arrived counts as running, answered or not.
func (f *Fleet) MarkStopped(engine string) { f.markEngineDown(engine, time.Time{}, false) }

func (f *Fleet) markEngineDown(engine string, until time.Time, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost {
		f.hungUntil[engine] = until
	}
	for _, c := range f.calls {
		if c.Engine != engine || !c.isAttempt() || !c.Ended.IsZero() || !c.AnswerStarted.IsZero() || !lost && c.Kind == Read {
			continue
		}
		c.lost = c.lost || lost
		if c.EngineDown.IsZero() {
			c.EngineDown = time.Now()
		}
	}
}

// hasWaitingWrite reports whether a write of a request waits for its answer at a running engine. The caller holds the lock.
func (f *Fleet) hasWaitingWrite(id string) bool {
	for _, c := range f.calls {
		if c.ID == id && c.Kind == Write && !c.NotRun && c.AnswerStarted.IsZero() && c.Ended.IsZero() && c.EngineDown.IsZero() {
			return true
		}
	}
	return false
}
