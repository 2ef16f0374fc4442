// Package lab runs whole days in virtual time: routers with the decide.Router that the program runs, modelled engines
// (internal/emulate) and clients with random arrivals. The same settings and seed give exactly the same result. It does
// no I/O; its figures are those of a model, not of real engines.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherryhub/decide"
	"cherryhub/internal/emulate"
)

// EngineGroup is a set of identical engines.
type EngineGroup struct {
	Role  decide.Role
	Count int
	Zone  int
	Cell  int
	Model emulate.Model
}

// Load describes one class of completions that clients send. Times are in seconds.
type Load struct {
	Rate               float64 // completions a second, over all routers
	Workload           int     // index in Settings.Decide.Workloads
	MeanPromptTokens   float64 // without the shared prefix and the turns before; exponential
	SharedPrefixTokens int     // prefix that all prompts of this load share
	MeanOutputTokens   float64 // exponential
	ClientTimeout      float64 // until the first token
	MaxOutputTokens    int     // the client's limit
	Turns              int     // turns of a session, 1 or more; a turn's prompt contains the turns before
	MeanTurnGap        float64 // between two turns
	ValuePerToken      float64 // value of a completion for each token of prompt and output
}

// Settings configures a day. Times are in seconds.
type Settings struct {
	Seed                uint64
	Duration            float64 // time in which completions arrive
	Routers             int
	Groups              []EngineGroup
	Loads               []Load
	Baseline            Baseline // replaces decide.Router, NoBaseline for none
	Peers               *Peers   // shared probing; nil: each router probes for itself
	Troubles            []Trouble
	ListDelay           float64 // until the routers learn of an engine's death or return
	Zones               int     // zones that routers are assigned to in turn; 0 for one
	OneWayDelay         float64 // between a router and an engine
	LinkTokensPerSecond float64 // tokens of state out of each reader's cell
	Decide              decide.Settings
	OnDispatch          func(at float64, engine int) // called for each dispatch; may be nil
}

// Result holds the results of a day.
type Result struct {
	Completions, Finished, RateLimited, Aborted int
	InTarget                                    int                     // first token within the latency target
	OfferedValue, ServedValue                   float64                 // of all completions; of those in target
	TTFT                                        *hdrhistogram.Histogram // µs, of completions with a first token
	Lost                                        int                     // no final answer because their router died or none was up
	Dispatches, Probes                          int
	Preemptions                                 uint64
	Events                                      uint64
	Unanswered                                  int // without a final answer at the end; above 0 is a rule violation
	DuplicateAnswers                            int // final answers after the first; above 0 is a rule violation
	LateAnswers                                 int // answers or first tokens after the client timeout; above 0 is a rule violation
}

// Score returns the share of the offered value that was served.
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

// engine is a modelled engine with its position in the day's world.
type engine struct {
	*emulate.Engine
	index     int
	group     *EngineGroup
	lastJobID uint64
	down      bool
	phase     decide.Phase
	startedAt float64 // on the world's clock; far below 0 for long ago
}

// Run runs a day.
func Run(s Settings) (*Result, error) {
	w := &world{settings: s, links: map[int]*emulate.Link{}, rng: rand.New(rand.NewPCG(s.Seed, 1))}
	w.result.TTFT = hdrhistogram.New(1, 3_600_000_000, 3)
	if int(s.Baseline) >= baselineCount {
		return nil, fmt.Errorf("lab: unknown baseline %d", s.Baseline)
	}
	if s.Routers < 1 || len(s.Groups) == 0 || !(s.Duration > 0) || !(s.LinkTokensPerSecond > 0) || !(s.OneWayDelay >= 0) {
		return nil, fmt.Errorf("lab: %d routers, %d groups, length %v, link %v: want at least 1 router and 1 group, a length and a link above 0, a delay of 0 or more",
			s.Routers, len(s.Groups), s.Duration, s.LinkTokensPerSecond)
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
		return nil, fmt.Errorf("lab: the day did not end within 2^40 events")
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

// startedLongAgo is the start time in seconds of engines that run since long before the day: they are warm.
const startedLongAgo = -1e6

// engineEntry returns an engine's entry in the engine list, with its start on a router's clock.
func (w *world) engineEntry(e *engine, phase decide.Phase, r *router) decide.EngineEntry {
	machineKind := 0
	for &w.settings.Groups[machineKind] != e.group {
		machineKind++
	}
	return decide.EngineEntry{Index: e.index, Hash: uint64(e.index+1) * 0x9E3779B97F4A7C15, Zone: e.group.Zone, MachineKind: machineKind,
		Cell:  e.group.Cell,
		Phase: phase, StartedAt: e.startedAt - r.startedAt}
}

// pickRouter returns a random router that is up, nil if none is.
func (w *world) pickRouter() *router {
	offset := w.rng.IntN(len(w.routers))
	for i := range w.routers {
		if r := w.routers[(offset+i)%len(w.routers)]; !r.down {
			return r
		}
	}
	return nil
}

// scheduleSessions schedules the sessions of a load as a Poisson process.
func (w *world) scheduleSessions(load *Load) {
	sessionRate := load.Rate / float64(max(1, load.Turns))
	if sessionRate <= 0 {
		return
	}
	var arrive func()
	arrive = func() {
		if w.clock.Now() > w.settings.Duration {
			return
		}
		w.lastID++
		w.sendTurn(load, w.lastID, 0, load.SharedPrefixTokens)
		w.clock.After(w.rng.ExpFloat64()/sessionRate, arrive)
	}
	w.clock.After(w.rng.ExpFloat64()/sessionRate, arrive)
}

// sendTurn sends one completion of a session, whose prompt contains previousTokens of shared prefix and earlier turns.
func (w *world) sendTurn(load *Load, session uint64, turn, previousTokens int) {
	c := &completion{load: load, session: session, promptTokens: previousTokens + 1 + int(w.rng.ExpFloat64()*load.MeanPromptTokens),
		outputTokens: min(1+int(w.rng.ExpFloat64()*load.MeanOutputTokens), max(1, load.MaxOutputTokens))}
	w.lastID++
	c.id = w.lastID
	if r := w.pickRouter(); r != nil {
		r.accept(c)
	} else {
		w.result.Completions++
		w.result.OfferedValue += c.value()
		w.result.Lost++
	}
	if turn+1 < load.Turns {
		w.clock.After(w.rng.ExpFloat64()*load.MeanTurnGap, func() {
			if w.clock.Now() <= w.settings.Duration {
				w.sendTurn(load, session, turn+1, c.promptTokens+c.outputTokens)
			}
		})
	}
}

// blockHashes returns the hashes of a prompt's full blocks: those in the shared prefix are common to the workload, the
// others belong to the session.
func (c *completion) blockHashes(blockTokens int) []uint64 {
	hashes := make([]uint64, c.promptTokens/blockTokens)
	for i := range hashes {
		owner := c.session
		if (i+1)*blockTokens <= c.load.SharedPrefixTokens {
			owner = math.MaxUint32 - uint64(c.load.Workload)
		}
		hashes[i] = owner<<24 | uint64(i+1)
	}
	return hashes
}
