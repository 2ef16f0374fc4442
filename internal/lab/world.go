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
type EngineGroup struct {
	Role  decide.Role
	Count int
	Zone  int
	Cell  int
	Model emulate.Model
}

// Load is one kind of completion as clients send it.
type Load struct {
	Rate               float64 // completions a second, over all routers
	Workload           int     // of Settings.Decide
	MeanPromptTokens   float64 // mean tokens of what is the client's own, exponential
	SharedPrefixTokens int     // tokens of the beginning that all of this kind share
	MeanOutputTokens   float64 // mean tokens, exponential
	ClientTimeout      float64 // client timeout, seconds to the first token
	MaxOutputTokens    int     // tokens that a client asks for at most
	Turns              int     // turns of a session on the mean, 1 or more; a turn's prompt has the one before in it
	MeanTurnGap        float64 // seconds between two turns, mean
	ValuePerToken      float64 // of what is counted as value: the workload's value for a thousand tokens, say
}

// Settings are a day's.
type Settings struct {
	Seed                uint64
	Duration            float64 // seconds in which completions come
	Routers             int
	Groups              []EngineGroup
	Loads               []Load
	Baseline            Baseline // decides in place of decide.Router, None for none
	Peers               *Peers   // nil: each router probes for itself
	Troubles            []Trouble
	ListDelay           float64 // seconds until the routers hear of an engine's death or return
	Zones               int     // of routers, in turn; 0 for one
	OneWayDelay         float64 // seconds between a router and an engine, one way
	LinkTokensPerSecond float64 // tokens of state a second out of each reader's cell
	Decide              decide.Settings
	OnDispatch          func(at float64, engine int) // hears of each dispatch, nil for none
}

// Result is what a day came to.
type Result struct {
	Completions, Finished, RateLimited, Aborted int
	InTarget                                    int                     // first token within the latency target
	OfferedValue, ServedValue                   float64                 // offered; and of those in target
	TTFT                                        *hdrhistogram.Histogram // µs, of those finished
	Lost                                        int                     // with their router
	Dispatches, Probes                          int
	Preemptions                                 uint64
	Events                                      uint64
	Unanswered                                  int // that had no final answer at the end: none, or a rule is broken
	DuplicateAnswers                            int // final answers after the first: the same
	LateAnswers                                 int // answers, or first tokens, after the client timeout: the same
}

// Score is the part of the value that was served.
func (r *Result) Score() float64 {
	if r.OfferedValue == 0 {
		return 0
	}
	return r.ServedValue / r.OfferedValue
}

type world struct {
	settings Settings
	clock    emulate.Clock
	engines  []*engine
	links    map[int]*emulate.Link
	routers  []*router
	rng      *rand.Rand
	lastID   uint64
	result   Result
}

// box is an engine with its place.
type engine struct {
	*emulate.Engine
	index     int
	group     *EngineGroup
	lastJobID uint64
	down      bool
	phase     decide.Phase
	startedAt float64 // on the clock; far below 0 for long ago
}

// Run plays a day.
func Run(s Settings) (*Result, error) {
	w := &world{settings: s, links: map[int]*emulate.Link{}, rng: rand.New(rand.NewPCG(s.Seed, 1))}
	w.result.TTFT = hdrhistogram.New(1, 3_600_000_000, 3)
	if int(s.Baseline) >= baselineCount {
		return nil, fmt.Errorf("lab: baseline %d is none", s.Baseline)
	}
	if s.Routers < 1 || len(s.Groups) == 0 || !(s.Duration > 0) || !(s.LinkTokensPerSecond > 0) || !(s.OneWayDelay >= 0) {
		return nil, fmt.Errorf("lab: routers, groups, length and link: wanted 1 or more, above 0: %d, %d, %v, %v", s.Routers, len(s.Groups), s.Duration, s.LinkTokensPerSecond)
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
			w.engines = append(w.engines, &engine{Engine: e, index: len(w.engines), group: g, phase: decide.Ready, startedAt: startedLongAgo})
		}
		if w.links[g.Cell] == nil {
			w.links[g.Cell] = emulate.NewLink(s.LinkTokensPerSecond, &w.clock)
		}
	}
	s.Decide.Routers, s.Decide.ReportColumns = s.Routers, []string{"queue", "util", "x0", "x1"}
	w.settings.Decide = s.Decide
	for i := range s.Routers {
		r := &router{world: w, index: i, zone: i % max(1, s.Zones)}
		if err := r.start(); err != nil {
			return nil, err
		}
		w.routers = append(w.routers, r)
	}
	if s.Peers != nil {
		if err := s.Peers.validate(); err != nil {
			return nil, err
		}
		for _, r := range w.routers {
			if err := r.joinPeers(); err != nil {
				return nil, err
			}
		}
	}
	for i, t := range s.Troubles {
		if err := w.validateTrouble(&t, i); err != nil {
			return nil, err
		}
		w.scheduleTrouble(t)
	}
	for i := range s.Loads {
		w.scheduleSessions(&s.Loads[i])
	}
	w.clock.Run(s.Duration)
	if !w.clock.Drain(1 << 40) {
		return nil, fmt.Errorf("lab: the day never ends")
	}
	w.result.Events = w.clock.EventCount()
	for _, e := range w.engines {
		w.result.Preemptions += e.Preemptions()
	}
	for _, r := range w.routers {
		w.result.Unanswered += len(r.openCompletions)
	}
	return &w.result, nil
}

const startedLongAgo = -1e6

// fact is what the list says of an engine, on a router's clock.
func (w *world) engineEntry(e *engine, phase decide.Phase, r *router) decide.EngineEntry {
	kind := 0
	for &w.settings.Groups[kind] != e.group {
		kind++
	}
	return decide.EngineEntry{Index: e.index, Hash: uint64(e.index+1) * 0x9E3779B97F4A7C15, Zone: e.group.Zone, MachineKind: kind, Cell: e.group.Cell,
		Phase: phase, StartedAt: e.startedAt - r.startedAt}
}

// pick is the router that a client comes to: any that is up, nil if none is.
func (w *world) pickRouter() *router {
	first := w.rng.IntN(len(w.routers))
	for i := range w.routers {
		if r := w.routers[(first+i)%len(w.routers)]; !r.down {
			return r
		}
	}
	return nil
}

// come has a load's next session come, and plans the one after it.
func (w *world) scheduleSessions(l *Load) {
	sessions := l.Rate / float64(max(1, l.Turns))
	if sessions <= 0 {
		return
	}
	var arrive func()
	arrive = func() {
		if w.clock.Now() > w.settings.Duration {
			return
		}
		w.lastID++
		w.playTurn(l, w.lastID, 0, l.SharedPrefixTokens)
		w.clock.After(w.rng.ExpFloat64()/sessions, arrive)
	}
	w.clock.After(w.rng.ExpFloat64()/sessions, arrive)
}

// turn is one completion of a session whose prompt has so many tokens of the turns before in it.
func (w *world) playTurn(l *Load, session uint64, n, before int) {
	c := &completion{load: l, session: session, promptTokens: before + 1 + int(w.rng.ExpFloat64()*l.MeanPromptTokens),
		outputTokens: min(1+int(w.rng.ExpFloat64()*l.MeanOutputTokens), max(1, l.MaxOutputTokens))}
	w.lastID++
	c.id = w.lastID
	if r := w.pickRouter(); r != nil {
		r.accept(c)
	} else {
		w.result.Completions++
		w.result.OfferedValue += c.value()
		w.result.Lost++
	}
	if n+1 < l.Turns {
		w.clock.After(w.rng.ExpFloat64()*l.MeanTurnGap, func() {
			if w.clock.Now() <= w.settings.Duration {
				w.playTurn(l, session, n+1, c.promptTokens+c.outputTokens)
			}
		})
	}
}

// hashes are of a prompt's whole blocks: the shared beginning is of the load, the rest of the session.
func (c *completion) blockHashes(block int) []uint64 {
	all := make([]uint64, c.promptTokens/block)
	for i := range all {
		of := c.session
		if (i+1)*block <= c.load.SharedPrefixTokens {
			of = math.MaxUint32 - uint64(c.load.Workload)
		}
		all[i] = of<<24 | uint64(i+1)
	}
	return all
}
