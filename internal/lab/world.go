// Package lab plays whole days in virtual time: routers, each with the decide.Router that the program runs, before
// modelled engines (internal/emulate), with clients that come by chance. The same settings and seed give the same
// result, to the byte. It does no I/O; figures from it are of a model, never of engines.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherryhub/decide"
	"cherryhub/internal/emulate"
)

// Group is some engines that are alike.
type Group struct {
	Role  decide.Role
	Count int
	Zone  int
	Cell  int
	Model emulate.Model
}

// Load is one kind of completion as clients send it.
type Load struct {
	Rate          float64 // completions a second, over all routers
	Workload      int     // of Settings.Decide
	Prompt        float64 // mean tokens of what is the client's own, exponential
	Shared        int     // tokens of the beginning that all of this kind share
	Answer        float64 // mean tokens, exponential
	Timeout       float64 // client timeout, seconds to the first token
	MaxAnswer     int     // tokens that a client asks for at most
	KeptTurns     int     // turns of a session on the mean, 1 or more; a turn's prompt has the one before in it
	TurnsApart    float64 // seconds between two turns, mean
	ValuePerToken float64 // of what is counted as value: the workload's value for a thousand tokens, say
}

// Settings are a day's.
type Settings struct {
	Seed     uint64
	Length   float64 // seconds in which completions come
	Routers  int
	Groups   []Group
	Loads    []Load
	Baseline Baseline // decides in place of decide.Router, None for none
	Peers    *Peers   // nil: each router probes for itself
	Troubles []Trouble
	ListLate float64 // seconds until the routers hear of an engine's death or return
	Zones    int     // of routers, in turn; 0 for one
	Way      float64 // seconds between a router and an engine, one way
	Link     float64 // tokens of state a second out of each reader's cell
	Decide   decide.Settings
	Sent     func(at float64, engine int) // hears of each dispatch, nil for none
}

// Result is what a day came to.
type Result struct {
	Completions, Finished, RateLimited, Aborted int
	InTarget                                    int                     // first token within the latency target
	Value, Served                               float64                 // offered; and of those in target
	TTFT                                        *hdrhistogram.Histogram // µs, of those finished
	Lost                                        int                     // with their router
	Dispatches, Probes                          int
	Preemptions                                 uint64
	Events                                      uint64
	Open                                        int // that had no final answer at the end: none, or a rule is broken
	Twice                                       int // final answers after the first: the same
	Late                                        int // answers, or first tokens, after the client timeout: the same
}

// Score is the part of the value that was served.
func (r *Result) Score() float64 {
	if r.Value == 0 {
		return 0
	}
	return r.Served / r.Value
}

type world struct {
	s       Settings
	clock   emulate.Clock
	engines []*box
	links   map[int]*emulate.Link
	routers []*router
	chance  *rand.Rand
	next    uint64
	result  Result
}

// box is an engine with its place.
type box struct {
	*emulate.Engine
	index   int
	group   *Group
	jobs    uint64
	isDown  bool
	phase   decide.Phase
	started float64 // on the clock; far below 0 for long ago
}

// Run plays a day.
func Run(s Settings) (*Result, error) {
	w := &world{s: s, links: map[int]*emulate.Link{}, chance: rand.New(rand.NewPCG(s.Seed, 1))}
	w.result.TTFT = hdrhistogram.New(1, 3_600_000_000, 3)
	if int(s.Baseline) >= baselines {
		return nil, fmt.Errorf("lab: baseline %d is none", s.Baseline)
	}
	if s.Routers < 1 || len(s.Groups) == 0 || !(s.Length > 0) || !(s.Link > 0) || !(s.Way >= 0) {
		return nil, fmt.Errorf("lab: routers, groups, length and link: wanted 1 or more, above 0: %d, %d, %v, %v", s.Routers, len(s.Groups), s.Length, s.Link)
	}
	s.Decide.Roles, s.Decide.Memory = nil, nil
	for i := range s.Groups {
		g := &s.Groups[i]
		s.Decide.Roles = append(s.Decide.Roles, g.Role)
		s.Decide.Memory = append(s.Decide.Memory, float64(g.Model.Blocks*g.Model.BlockTokens))
		for range g.Count {
			e, err := emulate.New(g.Model, &w.clock)
			if err != nil {
				return nil, err
			}
			w.engines = append(w.engines, &box{Engine: e, index: len(w.engines), group: g, phase: decide.Ready, started: longAgo})
		}
		if w.links[g.Cell] == nil {
			w.links[g.Cell] = emulate.NewLink(s.Link, &w.clock)
		}
	}
	s.Decide.Routers, s.Decide.ReportColumns = s.Routers, []string{"queue", "util", "x0", "x1"}
	w.s.Decide = s.Decide
	for i := range s.Routers {
		r := &router{w: w, index: i, zone: i % max(1, s.Zones)}
		if err := r.begin(); err != nil {
			return nil, err
		}
		w.routers = append(w.routers, r)
	}
	if s.Peers != nil {
		if err := s.Peers.check(); err != nil {
			return nil, err
		}
		for _, r := range w.routers {
			if err := r.join(); err != nil {
				return nil, err
			}
		}
	}
	for i, t := range s.Troubles {
		if err := w.check(&t, i); err != nil {
			return nil, err
		}
		w.plan(t)
	}
	for i := range s.Loads {
		w.come(&s.Loads[i])
	}
	w.clock.Run(s.Length)
	if !w.clock.Drain(1 << 40) {
		return nil, fmt.Errorf("lab: the day never ends")
	}
	w.result.Events = w.clock.Played()
	for _, e := range w.engines {
		w.result.Preemptions += e.Preemptions()
	}
	for _, r := range w.routers {
		w.result.Open += len(r.open)
	}
	return &w.result, nil
}

const longAgo = -1e6

// fact is what the list says of an engine, on a router's clock.
func (w *world) fact(e *box, phase decide.Phase, r *router) decide.EngineEntry {
	kind := 0
	for &w.s.Groups[kind] != e.group {
		kind++
	}
	return decide.EngineEntry{Index: e.index, Hash: uint64(e.index+1) * 0x9E3779B97F4A7C15, Zone: e.group.Zone, MachineKind: kind, Cell: e.group.Cell,
		Phase: phase, StartedAt: e.started - r.start}
}

// pick is the router that a client comes to: any that is up, nil if none is.
func (w *world) pick() *router {
	first := w.chance.IntN(len(w.routers))
	for i := range w.routers {
		if r := w.routers[(first+i)%len(w.routers)]; !r.isDown {
			return r
		}
	}
	return nil
}

// come has a load's next session come, and plans the one after it.
func (w *world) come(l *Load) {
	sessions := l.Rate / float64(max(1, l.KeptTurns))
	if sessions <= 0 {
		return
	}
	var arrive func()
	arrive = func() {
		if w.clock.Now() > w.s.Length {
			return
		}
		w.next++
		w.turn(l, w.next, 0, l.Shared)
		w.clock.After(w.chance.ExpFloat64()/sessions, arrive)
	}
	w.clock.After(w.chance.ExpFloat64()/sessions, arrive)
}

// turn is one completion of a session whose prompt has so many tokens of the turns before in it.
func (w *world) turn(l *Load, session uint64, n, before int) {
	c := &completion{load: l, session: session, prompt: before + 1 + int(w.chance.ExpFloat64()*l.Prompt),
		answer: min(1+int(w.chance.ExpFloat64()*l.Answer), max(1, l.MaxAnswer))}
	w.next++
	c.id = w.next
	if r := w.pick(); r != nil {
		r.take(c)
	} else {
		w.result.Completions++
		w.result.Value += c.value()
		w.result.Lost++
	}
	if n+1 < l.KeptTurns {
		w.clock.After(w.chance.ExpFloat64()*l.TurnsApart, func() {
			if w.clock.Now() <= w.s.Length {
				w.turn(l, session, n+1, c.prompt+c.answer)
			}
		})
	}
}

// hashes are of a prompt's whole blocks: the shared beginning is of the load, the rest of the session.
func (c *completion) hashes(block int) []uint64 {
	all := make([]uint64, c.prompt/block)
	for i := range all {
		of := c.session
		if (i+1)*block <= c.load.Shared {
			of = math.MaxUint32 - uint64(c.load.Workload)
		}
		all[i] = of<<24 | uint64(i+1)
	}
	return all
}
