package decide

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// heldWorld is one completion's calls and what engines hold for it, by the strictest reading: a write is out only if it is drawn to be at
// an engine that runs, and a release lets go of nothing while it waits there.
type heldWorld struct {
	now, free     float64 // free: from when something is held and nothing out
	held, waiting bool    // waiting: a write is at an engine that runs
	reading       bool
	late          []float64 // when reads that were cut off end well
	lingers       float64   // a write that was cut off waits at its engine up to then, which has not seen its end yet
	longest       float64
}

func (w *heldWorld) span() float64 {
	if w.held && !w.waiting && !w.reading {
		return w.now - w.free
	}
	return 0
}

// change makes a change at a time.
func (w *heldWorld) change(at float64, do func()) {
	w.now = at
	w.longest = max(w.longest, w.span())
	was := w.held && !w.waiting && !w.reading
	do()
	if w.held && !w.waiting && !w.reading && !was {
		w.free = w.now
	}
}

// TestLease: by any sequence of reads and writes that end, hang, are lost or cut off, nothing stays held past the limit while nothing is
// out, if releases are sent when due and answered within what is left of the limit; and the lease ends.
func TestLease(t *testing.T) {
	const limit, way = 0.8, 0.15
	rapid.Check(t, func(t *rapid.T) {
		l, w := &Lease{}, &heldWorld{}
		until := rapid.Float64Range(0.5, 4).Draw(t, "deadline")
		release := func(at float64) {
			l.ReleaseSent()
			arrives := at + rapid.Float64Range(0, way).Draw(t, "way")
			w.change(arrives, func() { w.held = w.held && (w.waiting || arrives < w.lingers) })
			l.ReleaseAnswered(at, w.waiting)
		}
		// to lets the time pass up to a moment, with all that is due and all that ends late.
		to := func(end float64) {
			for {
				next, due := l.NextRelease(limit)
				if len(w.late) > 0 && w.late[0] <= end && (!due || w.late[0] <= next) {
					w.change(max(w.now, w.late[0]), func() { w.held = true })
					w.late = w.late[1:]
					continue
				}
				if !due || next > end {
					break
				}
				release(max(next, w.now))
			}
			w.change(max(end, w.now), func() {})
		}
		for range rapid.IntRange(1, 5).Draw(t, "calls") {
			length := rapid.Float64Range(0.01, 1.2).Draw(t, "length")
			arrives := rapid.Bool().Draw(t, "arrives")
			answered := arrives && rapid.Bool().Draw(t, "answered")
			if !w.held {
				w.change(w.now, func() { w.reading = arrives })
				to(w.now + length)
				w.change(w.now, func() {
					w.reading = false
					w.held = w.held || arrives
				})
				if !answered && arrives && rapid.Bool().Draw(t, "ends late") && len(w.late) == 0 && w.now < until {
					w.held = false
					w.late = append(w.late, rapid.Float64Range(w.now, until).Draw(t, "end"))
				}
				l.ReadEnded(w.now, answered, until)
				continue
			}
			w.change(w.now, func() { w.waiting = arrives })
			hangs := length * rapid.Float64Range(0.1, 1).Draw(t, "hangs")
			begins := w.now
			to(begins + hangs)
			if arrives && !answered && rapid.Bool().Draw(t, "hung") {
				w.change(w.now, func() { w.waiting = false })
			}
			to(begins + length)
			if w.waiting && !answered {
				w.lingers = w.now + rapid.Float64Range(0, way).Draw(t, "lingers")
			}
			w.change(w.now, func() { w.waiting = false })
			l.WriteEnded(w.now, answered, until)
		}
		to(w.now)
		if l.Active() {
			release(w.now)
		}
		to(max(until, w.now) + 3*limit)
		require.False(t, w.held)
		require.Less(t, w.longest, limit)
		require.False(t, l.Active())
	})
}

// TestLeaseAfterTheFirstByte: with a write's first byte nothing is due, but for what a read that was cut off may leave later.
func TestLeaseAfterTheFirstByte(t *testing.T) {
	for name, one := range map[string]struct {
		until float64
		runs  bool
	}{"answered": {0, false}, "one was cut off": {5, true}} {
		l := &Lease{}
		l.ReadEnded(1, false, one.until)
		l.ReadEnded(2, true, 0)
		l.WriteStarted(3)
		require.Equal(t, one.runs, l.Active(), name)
		_, due := l.NextRelease(1)
		require.Equal(t, one.runs, due, name)
	}
}
