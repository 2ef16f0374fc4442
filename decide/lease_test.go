package decide

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// engineModel is one completion's calls and what engines hold for it, in the strictest case: a write is out only if it is drawn to be at
// an engine that runs, and a release frees nothing while it waits there.
type engineModel struct {
	now, heldSince float64 // heldSince: since when state is held and no call is out
	held, waiting  bool    // waiting: a write is at an engine that runs
	reading        bool
	lateReads      []float64 // when reads that were cut off succeed
	lingersUntil   float64   // until then a write that was cut off waits at its engine, which has not noticed its end yet
	longestHeld    float64
}

func (m *engineModel) heldFor() float64 {
	if m.held && !m.waiting && !m.reading {
		return m.now - m.heldSince
	}
	return 0
}

// change makes a change at the given time.
func (m *engineModel) change(at float64, do func()) {
	m.now = at
	m.longestHeld = max(m.longestHeld, m.heldFor())
	wasIdle := m.held && !m.waiting && !m.reading
	do()
	if m.held && !m.waiting && !m.reading && !wasIdle {
		m.heldSince = m.now
	}
}

// TestLease: in any sequence of reads and writes that end, hang, are lost or cut off, no state stays held past the limit while no call is
// out, if releases are sent when due and answered within the rest of the limit; and the lease ends.
func TestLease(t *testing.T) {
	const limit, transit = 0.8, 0.15
	rapid.Check(t, func(t *rapid.T) {
		l, m := &Lease{}, &engineModel{}
		until := rapid.Float64Range(0.5, 4).Draw(t, "deadline")
		release := func(at float64) {
			l.ReleaseSent()
			arrives := at + rapid.Float64Range(0, transit).Draw(t, "way")
			m.change(arrives, func() { m.held = m.held && (m.waiting || arrives < m.lingersUntil) })
			l.ReleaseAnswered(at, m.waiting)
		}
		// advance moves the time up to the end, with the releases that are due and the reads that succeed late.
		advance := func(end float64) {
			for {
				next, due := l.NextRelease(limit)
				if len(m.lateReads) > 0 && m.lateReads[0] <= end && (!due || m.lateReads[0] <= next) {
					m.change(max(m.now, m.lateReads[0]), func() { m.held = true })
					m.lateReads = m.lateReads[1:]
					continue
				}
				if !due || next > end {
					break
				}
				release(max(next, m.now))
			}
			m.change(max(end, m.now), func() {})
		}
		for range rapid.IntRange(1, 5).Draw(t, "calls") {
			length := rapid.Float64Range(0.01, 1.2).Draw(t, "length")
			arrives := rapid.Bool().Draw(t, "arrives")
			answered := arrives && rapid.Bool().Draw(t, "answered")
			if !m.held {
				m.change(m.now, func() { m.reading = arrives })
				advance(m.now + length)
				m.change(m.now, func() {
					m.reading = false
					m.held = m.held || arrives
				})
				if !answered && arrives && rapid.Bool().Draw(t, "ends late") && len(m.lateReads) == 0 && m.now < until {
					m.held = false
					m.lateReads = append(m.lateReads, rapid.Float64Range(m.now, until).Draw(t, "end"))
				}
				l.ReadEnded(m.now, answered, until)
				continue
			}
			m.change(m.now, func() { m.waiting = arrives })
			hangTime := length * rapid.Float64Range(0.1, 1).Draw(t, "hangs")
			begin := m.now
			advance(begin + hangTime)
			if arrives && !answered && rapid.Bool().Draw(t, "hung") {
				m.change(m.now, func() { m.waiting = false })
			}
			advance(begin + length)
			if m.waiting && !answered {
				m.lingersUntil = m.now + rapid.Float64Range(0, transit).Draw(t, "lingers")
			}
			m.change(m.now, func() { m.waiting = false })
			l.WriteEnded(m.now, answered, until)
		}
		advance(m.now)
		if l.Active() {
			release(m.now)
		}
		advance(max(until, m.now) + 3*limit)
		require.False(t, m.held)
		require.Less(t, m.longestHeld, limit)
		require.False(t, l.Active())
	})
}

// TestLeaseOfLongDeadline guards against releases that go on for as long as a client says, an hour at most, although it has left.
func TestLeaseOfLongDeadline(t *testing.T) {
	const cutOffAt, limit, longest = 1.0, 0.8, 61.0
	l := &Lease{}
	l.ReadEnded(cutOffAt, false, cutOffAt+3600)
	sent := cutOffAt
	for at, due := l.NextRelease(limit); due; at, due = l.NextRelease(limit) {
		require.Less(t, at, cutOffAt+longest)
		sent = at
		l.ReleaseSent()
		l.ReleaseAnswered(sent, false)
	}
	require.Greater(t, sent, cutOffAt+60-limit, "the call may run for a minute")
	require.False(t, l.Active())
}

// TestLeaseAfterFirstByte: after a write's first byte no release is due, except for state that a read that was cut off may leave later.
func TestLeaseAfterFirstByte(t *testing.T) {
	for name, tc := range map[string]struct {
		until  float64
		active bool
	}{"answered": {0, false}, "one was cut off": {5, true}} {
		l := &Lease{}
		l.ReadEnded(1, false, tc.until)
		l.ReadEnded(2, true, 0)
		l.WriteStarted(3)
		require.Equal(t, tc.active, l.Active(), name)
		_, due := l.NextRelease(1)
		require.Equal(t, tc.active, due, name)
	}
}

// TestReadEndsDuringRelease guards against state that is held for good: a read that ends while a release for earlier state is under way
// may leave state behind that release, which its answer does not clear.
func TestReadEndsDuringRelease(t *testing.T) {
	const limit, sent = 0.8, 1.5
	for name, tc := range map[string]struct {
		readEnds float64 // of the second read
		answered bool
		held     bool
	}{
		"before the release":                 {sent - 0.1, true, false},
		"during the release":                 {sent + 0.001, true, true},
		"during the release, with no answer": {sent + 0.001, false, true},
	} {
		l := &Lease{}
		l.ReadEnded(1, true, 0)
		if tc.readEnds < sent {
			l.ReadEnded(tc.readEnds, tc.answered, 0)
		}
		l.ReleaseSent()
		if tc.readEnds > sent {
			l.ReadEnded(tc.readEnds, tc.answered, 0)
		}
		l.ReleaseAnswered(sent, false)
		_, held := l.HeldFor(sent)
		require.Equal(t, tc.held, held, name)
		require.Equal(t, tc.held, l.Active(), name)
		if at, due := l.NextRelease(limit); tc.held {
			require.True(t, due, name)
			require.Less(t, at, tc.readEnds+limit, name)
		}
	}
}
