package service

import "time"

// clockReading is one reading of the machine's wall clock and monotonic clock.
type clockReading struct {
	wall time.Time     // may step at any time
	mono time.Duration // since the start of the process
}

// clock reads the machine's clocks. Tests replace it.
type clock func() clockReading

func newSystemClock() clock {
	start := time.Now()
	return func() clockReading {
		now := time.Now()
		return clockReading{now.Round(0), now.Sub(start)}
	}
}

// engineAges computes the ages of engines from the start times in the engine list, which are wall-clock time stamps.
//
// As long as the wall clock advances with the monotonic clock, an engine's age is the wall time minus its stamp. After a
// step of the wall clock, here or where the stamps are made, this difference may be wrong by the size of the step: an
// engine that has just started would be taken for a warm one and get more load than it can handle. So after a step, an
// age is the minimum of three: by the current wall clock, by the wall clock as extrapolated from the start of the
// process, and, for a new stamp, the time since the last list without it.
type engineAges struct {
	startReading clockReading
	lastListAt   time.Duration // arrival of the last list, by the monotonic clock
	listCount    int
	startStamps  map[string]int64 // by engine, from the last list that named it
}

// minClockStep is the smallest difference between the clocks that counts as a step. Their drift over days is less.
const minClockStep = time.Second

func newEngineAges(now clockReading) *engineAges {
	return &engineAges{startReading: now, startStamps: map[string]int64{}}
}

// beginList starts the processing of a list that arrived at now. After a snapshot, engines that it does not name are
// forgotten.
func (a *engineAges) beginList(now clockReading, snapshot bool) (ages listAges) {
	ages = listAges{engines: a, now: now, previousStamps: a.startStamps, sinceLastList: now.mono - a.lastListAt, firstList: a.listCount == 0}
	if snapshot {
		a.startStamps = make(map[string]int64, len(a.startStamps))
	}
	a.lastListAt = now.mono
	a.listCount++
	return ages
}

// listAges computes the ages of the engines in one list.
type listAges struct {
	engines        *engineAges
	now            clockReading
	previousStamps map[string]int64 // stamps before this list
	sinceLastList  time.Duration    // since the previous list
	firstList      bool             // there was no previous list
}

// age returns an engine's age, never negative. stamp is its start in milliseconds of Unix time.
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

// forget removes an engine that is gone.
func (a *engineAges) forget(engine string) { delete(a.startStamps, engine) }
