package service

import "time"

// reading is one look at both of a machine's clocks.
type reading struct {
	wall time.Time     // may be stepped at any time
	mono time.Duration // since this process started
}

// clock reads the machine's clocks; tests replace it.
type clock func() reading

// newClock is the machine's own.
func newClock() clock {
	start := time.Now()
	return func() reading {
		now := time.Now()
		return reading{now.Round(0), now.Sub(start)}
	}
}

// births tells how old engines are. Discovery stamps an engine's start with wall time, the one place where wall time
// enters: as long as the wall clock runs as the monotonic one does, an age is their difference. Once it was stepped,
// here or where the stamps are made, the difference may be wrong by as much, and an engine that has just started would
// pass for a warm one and be sent more than it can do. From then on an engine is at most as old as by the clock as it
// runs now, by the clock as it ran at the process's start, and by the time since the last list that did not have this
// start of it.
type births struct {
	start  reading
	told   time.Duration // when the last list came, by the monotonic clock
	lists  int
	stamps map[string]int64 // by engine, as last told
}

// stepLeast is how far the two clocks must be apart to count as a step: their drift over days is less.
const stepLeast = time.Second

func newBirths(at reading) *births { return &births{start: at, stamps: map[string]int64{}} }

// list begins a list that was heard at a time. Of a whole one only the engines that it names are remembered.
func (b *births) list(at reading, whole bool) (ages listAges) {
	ages = listAges{b: b, at: at, before: b.stamps, since: at.mono - b.told, first: b.lists == 0}
	if whole {
		b.stamps = make(map[string]int64, len(b.stamps))
	}
	b.told = at.mono
	b.lists++
	return ages
}

// listAges are the ages of one list's engines.
type listAges struct {
	b      *births
	at     reading
	before map[string]int64 // stamps as last told
	since  time.Duration    // since the list before
	first  bool             // there was none
}

// age is an engine's, by the stamp of its start in milliseconds of Unix time, never below 0.
func (l listAges) age(engine string, stamp int64) time.Duration {
	b := l.b
	fresh := l.before[engine] != stamp
	b.stamps[engine] = stamp
	born := time.UnixMilli(stamp)
	age := max(0, l.at.wall.Sub(born))
	unstepped := b.start.wall.Add(l.at.mono - b.start.mono)
	if step := l.at.wall.Sub(unstepped); step.Abs() < stepLeast {
		return age
	}
	age = min(age, max(0, unstepped.Sub(born)))
	if fresh && !l.first {
		age = min(age, l.since)
	}
	return age
}

// forget drops an engine that is gone.
func (b *births) forget(engine string) { delete(b.stamps, engine) }
