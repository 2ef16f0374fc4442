package lab

import (
	"errors"
	"fmt"

	"cherryhub/decide"
)

// Kind is what befalls engines or routers.
type TroubleKind uint8

// The kinds.
const (
	Pause            TroubleKind = iota // engines stand still, without failing
	Slow                                // every step takes Times as long
	Creep                               // the same, growing from 1 to Times over the length, then the engines die and return cold
	Die                                 // engines die, and return cold after the length
	SiteOut                             // the engines and routers of a zone drop out, and return cold
	Drained                             // the list says that engines drain; they end what they have
	troubleKindCount = iota
)

func (k TroubleKind) String() string {
	return [troubleKindCount]string{"pause", "slow", "creep", "die", "site out", "drained"}[k]
}

// Trouble is one that befalls a day.
type Trouble struct {
	Kind        TroubleKind
	At          float64 // seconds from the day's start
	Duration    float64
	Group       int     // whose engines; of no meaning for SiteOut
	FirstEngine int     // of its engines the first that is concerned
	EngineCount int     // and how many
	Zone        int     // of SiteOut
	Slowdown    float64 // of Slow and Creep
}

func (w *world) validateTrouble(t *Trouble, i int) error {
	bad := func(format string, a ...any) error {
		return fmt.Errorf("lab: trouble %d (%v): %s", i, t.Kind, fmt.Sprintf(format, a...))
	}
	switch {
	case int(t.Kind) >= troubleKindCount:
		return fmt.Errorf("lab: trouble %d: kind %d is none", i, t.Kind)
	case !(t.At >= 0 && t.Duration > 0):
		return bad("at %v for %v: wanted 0 or more, above 0", t.At, t.Duration)
	case t.Kind == SiteOut:
		return nil
	case t.Group < 0 || t.Group >= len(w.settings.Groups):
		return bad("group %d of %d", t.Group, len(w.settings.Groups))
	case t.FirstEngine < 0 || t.EngineCount < 1 || t.FirstEngine+t.EngineCount > w.settings.Groups[t.Group].Count:
		return bad("engines %d to %d of %d", t.FirstEngine, t.FirstEngine+t.EngineCount-1, w.settings.Groups[t.Group].Count)
	case (t.Kind == Slow || t.Kind == Creep) && !(t.Slowdown >= 1):
		return bad("times %v: wanted 1 or more", t.Slowdown)
	}
	return nil
}

// plan has a trouble come and go.
func (w *world) scheduleTrouble(t Trouble) {
	var all []*engine
	nth := 0
	for _, e := range w.engines {
		switch {
		case t.Kind == SiteOut:
			if e.group.Zone == t.Zone {
				all = append(all, e)
			}
		case e.group == &w.settings.Groups[t.Group]:
			if nth >= t.FirstEngine && nth < t.FirstEngine+t.EngineCount {
				all = append(all, e)
			}
			nth++
		}
	}
	each := func(f func(*engine)) func() {
		return func() {
			for _, e := range all {
				f(e)
			}
		}
	}
	end := t.At + t.Duration
	switch t.Kind {
	case Pause:
		w.clock.After(t.At, each(func(e *engine) { e.SetPaused(true) }))
		w.clock.After(end, each(func(e *engine) { e.SetPaused(false) }))
	case Slow:
		w.clock.After(t.At, each(func(e *engine) { e.SetSlowdown(t.Slowdown) }))
		w.clock.After(end, each(func(e *engine) { e.SetSlowdown(1) }))
	case Creep:
		for i := range creepSteps {
			w.clock.After(t.At+t.Duration*float64(i)/creepSteps, each(func(e *engine) { e.SetSlowdown(1 + (t.Slowdown-1)*float64(i+1)/creepSteps) }))
		}
		w.clock.After(end, each(func(e *engine) { e.SetSlowdown(1); w.killEngine(e) }))
		w.clock.After(end+creepDowntimeSeconds, each(w.restartEngine))
	case Die, SiteOut:
		w.clock.After(t.At, each(w.killEngine))
		w.clock.After(end, each(w.restartEngine))
	case Drained:
		w.clock.After(t.At, each(func(e *engine) { w.publishPhase(e, decide.Draining) }))
		w.clock.After(end, each(func(e *engine) { w.publishPhase(e, decide.Ready) }))
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
	creepSteps           = 20  // steps of a slowness that grows
	creepDowntimeSeconds = 3.0 // seconds that an engine is out that crept to its death
)

// down has an engine die: what runs there is broken, what comes meets nobody.
func (w *world) killEngine(e *engine) {
	if !e.down {
		e.down = true
		e.Kill()
		w.publishPhase(e, decide.Gone)
	}
}

// up has it return, cold and empty.
func (w *world) restartEngine(e *engine) {
	if e.down {
		e.down = false
		e.Restart()
		e.startedAt = w.clock.Now()
		w.publishPhase(e, decide.Ready)
	}
}

// list has the engine list tell of an engine, as late as it is.
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

// die ends a router: its clients see broken connections, its dispatches are cancelled by that.
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
		if c.heldState != nil { // nobody lets it go: the engine's own clock does, which the model has not
			c.heldState.releaseState()
			c.heldState = nil
		}
	}
	clear(r.openCompletions)
	if p := r.world.settings.Peers; p != nil {
		r.world.clock.After(p.Seen, r.world.updateMembers)
	}
}

// returns starts it anew: it knows nothing but the list.
func (r *router) restart() {
	if !r.down {
		return
	}
	r.down = false
	r.startedAt = r.world.clock.Now()
	if err := errors.Join(r.start(), r.joinPeers()); err != nil {
		panic(err) // the same settings were good at the day's start
	}
}
