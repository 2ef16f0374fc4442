package lab

import (
	"errors"
	"fmt"

	"cherryhub/decide"
)

// Kind is what befalls engines or routers.
type Kind uint8

// The kinds.
const (
	Pause   Kind = iota // engines stand still, without failing
	Slow                // every step takes Times as long
	Creep               // the same, growing from 1 to Times over the length, then the engines die and return cold
	Die                 // engines die, and return cold after the length
	SiteOut             // the engines and routers of a zone drop out, and return cold
	Drained             // the list says that engines drain; they end what they have
	trouble = iota
)

func (k Kind) String() string {
	return [trouble]string{"pause", "slow", "creep", "die", "site out", "drained"}[k]
}

// Trouble is one that befalls a day.
type Trouble struct {
	Kind   Kind
	At     float64 // seconds from the day's start
	Length float64
	Group  int     // whose engines; of no meaning for SiteOut
	First  int     // of its engines the first that is concerned
	Count  int     // and how many
	Zone   int     // of SiteOut
	Times  float64 // of Slow and Creep
}

func (w *world) check(t *Trouble, i int) error {
	bad := func(format string, a ...any) error {
		return fmt.Errorf("lab: trouble %d (%v): %s", i, t.Kind, fmt.Sprintf(format, a...))
	}
	switch {
	case int(t.Kind) >= trouble:
		return fmt.Errorf("lab: trouble %d: kind %d is none", i, t.Kind)
	case !(t.At >= 0 && t.Length > 0):
		return bad("at %v for %v: wanted 0 or more, above 0", t.At, t.Length)
	case t.Kind == SiteOut:
		return nil
	case t.Group < 0 || t.Group >= len(w.s.Groups):
		return bad("group %d of %d", t.Group, len(w.s.Groups))
	case t.First < 0 || t.Count < 1 || t.First+t.Count > w.s.Groups[t.Group].Count:
		return bad("engines %d to %d of %d", t.First, t.First+t.Count-1, w.s.Groups[t.Group].Count)
	case (t.Kind == Slow || t.Kind == Creep) && !(t.Times >= 1):
		return bad("times %v: wanted 1 or more", t.Times)
	}
	return nil
}

// plan has a trouble come and go.
func (w *world) plan(t Trouble) {
	var all []*box
	nth := 0
	for _, e := range w.engines {
		switch {
		case t.Kind == SiteOut:
			if e.group.Zone == t.Zone {
				all = append(all, e)
			}
		case e.group == &w.s.Groups[t.Group]:
			if nth >= t.First && nth < t.First+t.Count {
				all = append(all, e)
			}
			nth++
		}
	}
	each := func(f func(*box)) func() {
		return func() {
			for _, e := range all {
				f(e)
			}
		}
	}
	end := t.At + t.Length
	switch t.Kind {
	case Pause:
		w.clock.After(t.At, each(func(e *box) { e.Pause(true) }))
		w.clock.After(end, each(func(e *box) { e.Pause(false) }))
	case Slow:
		w.clock.After(t.At, each(func(e *box) { e.Slower(t.Times) }))
		w.clock.After(end, each(func(e *box) { e.Slower(1) }))
	case Creep:
		for i := range creeps {
			w.clock.After(t.At+t.Length*float64(i)/creeps, each(func(e *box) { e.Slower(1 + (t.Times-1)*float64(i+1)/creeps) }))
		}
		w.clock.After(end, each(func(e *box) { e.Slower(1); w.down(e) }))
		w.clock.After(end+creepOut, each(w.up))
	case Die, SiteOut:
		w.clock.After(t.At, each(w.down))
		w.clock.After(end, each(w.up))
	case Drained:
		w.clock.After(t.At, each(func(e *box) { w.list(e, decide.Draining) }))
		w.clock.After(end, each(func(e *box) { w.list(e, decide.Ready) }))
	}
	if t.Kind == SiteOut {
		for _, r := range w.routers {
			if r.zone == t.Zone {
				w.clock.After(t.At, r.die)
				w.clock.After(end, r.returns)
			}
		}
	}
}

const (
	creeps   = 20  // steps of a slowness that grows
	creepOut = 3.0 // seconds that an engine is out that crept to its death
)

// down has an engine die: what runs there is broken, what comes meets nobody.
func (w *world) down(e *box) {
	if !e.isDown {
		e.isDown = true
		e.Die()
		w.list(e, decide.Gone)
	}
}

// up has it return, cold and empty.
func (w *world) up(e *box) {
	if e.isDown {
		e.isDown = false
		e.Start()
		e.started = w.clock.Now()
		w.list(e, decide.Ready)
	}
}

// list has the engine list tell of an engine, as late as it is.
func (w *world) list(e *box, phase decide.Phase) {
	e.phase = phase
	w.clock.After(w.s.ListLate, func() {
		for _, r := range w.routers {
			if !r.isDown {
				r.call(func() { r.decide.UpdateEngines(decide.ListDelta, []decide.EngineEntry{w.fact(e, phase, r)}) })
			}
		}
	})
}

// die ends a router: its clients see broken connections, its dispatches are cancelled by that.
func (r *router) die() {
	if r.isDown {
		return
	}
	r.isDown = true
	r.life++
	for _, id := range r.order() {
		c := r.open[id]
		if !c.final {
			c.final = true
			r.w.result.Lost++
		}
		for _, d := range c.runs {
			d.cut()
		}
		if c.state != nil { // nobody lets it go: the engine's own clock does, which the model has not
			c.state.letGo()
			c.state = nil
		}
	}
	clear(r.open)
	if p := r.w.s.Peers; p != nil {
		r.w.clock.After(p.Seen, r.w.sight)
	}
}

// returns starts it anew: it knows nothing but the list.
func (r *router) returns() {
	if !r.isDown {
		return
	}
	r.isDown = false
	r.start = r.w.clock.Now()
	if err := errors.Join(r.begin(), r.join()); err != nil {
		panic(err) // the same settings were good at the day's start
	}
}
