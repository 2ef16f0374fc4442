package standin

import (
	"errors"
	"net"
	"os"
	"time"
)

// A strict world keeps what is held as the protocol has it: a place is granted only while a read is out, a write takes its
// state with its first event, however long it waited before, and is told where the state is gone. A release lets go of what no
// write waits for. Where the protocol leaves open whether a place is held, it is.

// noPlace is the answer to a call for a place that came when no read was out.
const noOpenRead Fault = "no read is out"

// placeWait is how long a call for a place waits for the read that it is for.
const reservationWait = 300 * time.Millisecond

// work is what a read or a write takes up to its answer. False: the other side gave it up meanwhile.
func (e *Engine) waitServiceTime(conn net.Conn, c *Call) bool {
	if e.fleet.ServiceTime == nil || c.Kind != Read && c.Kind != Write {
		return true
	}
	takes := e.fleet.ServiceTime(c)
	if takes <= 0 {
		return true
	}
	conn.SetReadDeadline(time.Now().Add(takes)) //nolint:errcheck // a stand-in
	_, err := conn.Read(make([]byte, 1))
	conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// settle is what becomes of a place or of a write that is about to begin.
func (w *Fleet) admit(c *Call) Fault {
	switch c.Kind {
	case Reserve:
		return w.admitReservation(c)
	case Write:
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.prefilled[c.ID] && len(w.held[c.ID]) == 0 {
			c.NotRun = true
			return Gone
		}
		w.endHolds(c.ID)
	}
	return None
}

func (w *Fleet) admitReservation(c *Call) Fault {
	w.mu.Lock()
	w.addHold(c.ID, c.Engine)
	w.mu.Unlock()
	for until := time.Now().Add(reservationWait); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		w.mu.Lock()
		out := w.hasOpenRead(c.ID)
		w.mu.Unlock()
		if out {
			return None
		}
	}
	return noOpenRead
}

// readOut tells whether a read of an id is out; it is called with the lock.
func (w *Fleet) hasOpenRead(id string) bool {
	for _, c := range w.calls {
		if c.ID == id && c.Kind == Read && c.Ended.IsZero() {
			return true
		}
	}
	return false
}

// isAttempt tells whether a call is a read or a write.
func (c *Call) isAttempt() bool { return c.Kind == Read || c.Kind == Write }

// isLost tells whether a call's engine never answers it.
func (w *Fleet) isLost(c *Call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.lost
}

// Hang has an engine lose the reads and writes that it has, and all that come until a time: it takes them and never answers.
// Everything else it answers. A time that is past: it was started anew.
func (w *Fleet) Hang(engine string, until time.Time) { w.loseCalls(engine, until, true) }

// Stop books that an engine's machine stops or vanishes: the writes that it has do not run from now on, as far as anybody can tell. A read
// that has arrived counts, answered or not.
func (w *Fleet) MarkStopped(engine string) { w.loseCalls(engine, time.Time{}, false) }

func (w *Fleet) loseCalls(engine string, until time.Time, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if lost {
		w.hungUntil[engine] = until
	}
	for _, c := range w.calls {
		if c.Engine != engine || !c.isAttempt() || !c.Ended.IsZero() || !c.AnswerStarted.IsZero() || !lost && c.Kind == Read {
			continue
		}
		c.lost = c.lost || lost
		if c.EngineDown.IsZero() {
			c.EngineDown = time.Now()
		}
	}
}

// writeWaits tells whether a write of an id is at an engine that runs, and has not begun; it is called with the lock.
func (w *Fleet) hasWaitingWrite(id string) bool {
	for _, c := range w.calls {
		if c.ID == id && c.Kind == Write && !c.NotRun && c.AnswerStarted.IsZero() && c.Ended.IsZero() && c.EngineDown.IsZero() {
			return true
		}
	}
	return false
}
