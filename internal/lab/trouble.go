package lab

import (
	"errors"
	"fmt"

	"cherryhub/decide"
)

// TroubleKind is what happens to engines or routers.
type TroubleKind uint8

// Kinds of trouble.
const (
	Pause            TroubleKind = iota // engines pause, without failing
	Slow                                // each step takes Slowdown times as long
	Creep                               // the same, growing from 1 to Slowdown over the duration; then the engines die and return cold
	Die                                 // engines die, and return cold after the duration
	SiteOut                             // the engines and the routers of a zone drop out, and return cold
	Drained                             // the engine list reports engines as draining; they complete their jobs
	troubleKindCount = iota
)

func (k TroubleKind) String() string {
	return [troubleKindCount]string{"pause", "slow", "creep", "die", "site out", "drained"}[k]
}

// Trouble is a disturbance of a day.
type Trouble struct {
	Kind        TroubleKind
	At          float64 // seconds from the day's start
	Duration    float64
	Group       int     // whose engines; ignored for SiteOut
	FirstEngine int     // index in the group of the first affected engine
	EngineCount int     // affected engines
	Zone        int     // for SiteOut
	Slowdown    float64 // for Slow and Creep
}

func (w *world) validateTrouble(t *Trouble, index int) error {
	invalid := func(format string, a ...any) error {
		return fmt.Errorf("lab: trouble %d (%v): %s", index, t.Kind, fmt.Sprintf(format, a...))
	}
	switch {
	case int(t.Kind) >= troubleKindCount:
		return fmt.Errorf("lab: trouble %d: unknown kind %d", index, t.Kind)
	case !(t.At >= 0 && t.Duration > 0):
		return invalid("at %v s for %v s: want a start of 0 or more and a length above 0", t.At, t.Duration)
	case t.Kind == SiteOut:
		return nil
	case t.Group < 0 || t.Group >= len(w.settings.Groups):
		return invalid("group %d of %d", t.Group, len(w.settings.Groups))
	case t.FirstEngine < 0 || t.EngineCount < 1 || t.FirstEngine+t.EngineCount > w.settings.Groups[t.Group].Count:
		return invalid("engines %d to %d of %d", t.FirstEngine, t.FirstEngine+t.EngineCount-1, w.settings.Groups[t.Group].Count)
	case (t.Kind == Slow || t.Kind == Creep) && !(t.Slowdown >= 1):
		return invalid("times %v: want 1 or more", t.Slowdown)
	}
	return nil
}

// scheduleTrouble schedules the start and the end of a trouble.
func (w *world) scheduleTrouble(t Trouble) {
	var affected []*engine
	indexInGroup := 0
	for _, e := range w.engines {
		switch {
		case t.Kind == SiteOut:
			if e.group.Zone == t.Zone {
				affected = append(affected, e)
			}
		case e.group == &w.settings.Groups[t.Group]:
			if indexInGroup >= t.FirstEngine && indexInGroup < t.FirstEngine+t.EngineCount {
				affected = append(affected, e)
			}
			indexInGroup++
		}
	}
	forEach := func(action func(*engine)) func() {
		return func() {
			for _, e := range affected {
				action(e)
			}
		}
	}
	end := t.At + t.Duration
	switch t.Kind {
	case Pause:
		w.clock.After(t.At, forEach(func(e *engine) { e.SetPaused(true) }))
		w.clock.After(end, forEach(func(e *engine) { e.SetPaused(false) }))
	case Slow:
		w.clock.After(t.At, forEach(func(e *engine) { e.SetSlowdown(t.Slowdown) }))
		w.clock.After(end, forEach(func(e *engine) { e.SetSlowdown(1) }))
	case Creep:
		for i := range creepSteps {
			w.clock.After(t.At+t.Duration*float64(i)/creepSteps, forEach(func(e *engine) { e.SetSlowdown(1 + (t.Slowdown-1)*float64(i+1)/creepSteps) }))
		}
		w.clock.After(end, forEach(func(e *engine) { e.SetSlowdown(1); w.killEngine(e) }))
		w.clock.After(end+creepDowntimeSeconds, forEach(w.restartEngine))
	case Die, SiteOut:
		w.clock.After(t.At, forEach(w.killEngine))
		w.clock.After(end, forEach(w.restartEngine))
	case Drained:
		w.clock.After(t.At, forEach(func(e *engine) { w.publishPhase(e, decide.Draining) }))
		w.clock.After(end, forEach(func(e *engine) { w.publishPhase(e, decide.Ready) }))
	}
	if t.Kind == SiteOut {
		for _, r := range w.routers {
			if r.zone == t.Zone {
				w.clock.After(t.At, r.kill)
				w.clock.After(end, r.restart)
			}
		}
	}
}

const (
	creepSteps           = 20  // steps in which a slowdown grows
	creepDowntimeSeconds = 3.0 // downtime of an engine after a slowdown that ended in its death
)

// killEngine has an engine die: its jobs break, and new calls find it unreachable.
func (w *world) killEngine(e *engine) {
	if !e.down {
		e.down = true
		e.Kill()
		w.publishPhase(e, decide.Gone)
	}
}

// restartEngine has an engine return, cold and empty.
func (w *world) restartEngine(e *engine) {
	if e.down {
		e.down = false
		e.Restart()
		e.startedAt = w.clock.Now()
		w.publishPhase(e, decide.Ready)
	}
}

// publishPhase sends an engine's phase to the routers through the engine list, after its delay.
func (w *world) publishPhase(e *engine, phase decide.Phase) {
	e.phase = phase
	w.clock.After(w.settings.ListDelay, func() {
		for _, r := range w.routers {
			if !r.down {
				r.callPolicy(func() { r.policy.UpdateEngines(decide.ListDelta, []decide.EngineEntry{w.engineEntry(e, phase, r)}) })
			}
		}
	})
}

// kill ends a router: its clients see broken connections, which cancels its dispatches.
func (r *router) kill() {
	if r.down {
		return
	}
	r.down = true
	r.lifetime++
	for _, id := range r.openIDs() {
		c := r.openCompletions[id]
		if !c.answered {
			c.answered = true
			r.world.result.Lost++
		}
		for _, d := range c.dispatches {
			d.discard()
		}
		if c.heldState != nil { // a real engine releases it after its own timeout, which the model does not have
			c.heldState.releaseState()
			c.heldState = nil
		}
	}
	clear(r.openCompletions)
	if peers := r.world.settings.Peers; peers != nil {
		r.world.clock.After(peers.Seen, r.world.updateMembers)
	}
}

// restart starts a router again. It knows nothing but the engine list.
func (r *router) restart() {
	if !r.down {
		return
	}
	r.down = false
	r.startedAt = r.world.clock.Now()
	if err := errors.Join(r.start(), r.joinPeers()); err != nil {
		panic(err) // the same settings were valid at the day's start
	}
}
