package service

import "time"

// reading is one look at both of a machine's clocks.
type clockReading struct {
	wall time.Time     // may be stepped at any time
	mono time.Duration // since this process started
}

// clock reads the machine's clocks; tests replace it.
type clock func() clockReading

// newClock is the machine's own.
func newSystemClock() clock {
	start := time.Now()
	return func() clockReading {
		now := time.Now()
		return clockReading{now.Round(0), now.Sub(start)}
	}
}

// births tells how old engines are. Discovery stamps an engine's start with wall time, the one place where wall time
// enters: as long as the wall clock runs as the monotonic one does, an age is their difference. Once it was stepped,
// here or where the stamps are made, the difference may be wrong by as much, and an engine that has just started would
// pass for a warm one and be sent more than it can do. From then on an engine is at most as old as by the clock as it
// runs now, by the clock as it ran at the process's start, and by the time since the last list that did not have this
// start of it.
type engineAges struct {
	startReading clockReading
	lastListAt   time.Duration // when the last list came, by the monotonic clock
	listCount    int
	startStamps  map[string]int64 // by engine, as last told
}

// stepLeast is how far the two clocks must be apart to count as a step: their drift over days is less.
const minClockStep = time.Second

func newEngineAges(now clockReading) *engineAges {
	return &engineAges{startReading: now, startStamps: map[string]int64{}}
}

// list begins a list that was heard at a time. Of a whole one only the engines that it names are remembered.
func (a *engineAges) beginList(now clockReading, snapshot bool) (ages listAges) {
	ages = listAges{engines: a, now: now, previousStamps: a.startStamps, sinceLastList: now.mono - a.lastListAt, firstList: a.listCount == 0}
	if snapshot {
		a.startStamps = make(map[string]int64, len(a.startStamps))
	}
	a.lastListAt = now.mono
	a.listCount++
	return ages
}

// listAges are the ages of one list's engines.
type listAges struct {
	engines        *engineAges
	now            clockReading
	previousStamps map[string]int64 // stamps as last told
	sinceLastList  time.Duration    // since the list before
	firstList      bool             // there was none
}

// age is an engine's, by the stamp of its start in milliseconds of Unix time, never below 0.
func (l listAges) age(engine string, stamp int64) time.Duration {
	a := l.engines
	changed := l.previousStamps[engine] != stamp
	a.startStamps[engine] = stamp
	startedAt := time.UnixMilli(stamp)
	age := max(0, l.now.wall.Sub(startedAt))
	unsteppedWall := a.startReading.wall.Add(l.now.mono - a.startReading.mono)
	if step := l.now.wall.Sub(unsteppedWall); step.Abs() < minClockStep {
		return age
	}
	age = min(age, max(0, unsteppedWall.Sub(startedAt)))
	if changed && !l.firstList {
		age = min(age, l.sinceLastList)
	}
	return age
}

// forget drops an engine that is gone.
func (a *engineAges) forget(engine string) { delete(a.startStamps, engine) }
