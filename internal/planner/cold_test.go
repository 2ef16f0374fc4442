package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// coldStartSim runs planners with their decide routers, in virtual time, against simulated readers and writers that
// answer after 100 ms. Every reader that was there from the start reports a queue, so all routers prefer the new ones.
type coldStartSim struct {
	routers  []*Planner
	edges    []*recordingEdge
	executed []int // number of commands carried out, by edge
	due      []func()
	dueAt    []time.Time // when each of due is to run
	arrivals map[string][]readArrival
	tokens   map[uint64]float64
	begin    time.Time
}

// readArrival is a prompt that a dispatch brings to a reader.
type readArrival struct{ at, tokens float64 } // at: seconds since the begin

func (s *coldStartSim) schedule(wait time.Duration, do func()) {
	s.due, s.dueAt = append(s.due, do), append(s.dueAt, time.Now().Add(wait))
}

// advance runs what is due, and carries out the commands of the routers.
func (s *coldStartSim) advance() {
	for i := 0; i < len(s.due); i++ {
		if !s.dueAt[i].After(time.Now()) {
			s.due[i]()
			s.due, s.dueAt = append(s.due[:i], s.due[i+1:]...), append(s.dueAt[:i], s.dueAt[i+1:]...)
			i--
		}
	}
	for i, p := range s.routers {
		for p.step(); s.executed[i] < len(s.edges[i].commands); p.step() {
			command := s.edges[i].commands[s.executed[i]]
			if s.executed[i]++; command.Kind != link.Dispatch {
				continue
			}
			end := link.Event{Kind: link.DispatchEnded, Completion: command.Completion, Dispatch: command.Dispatch, Outcome: decide.Finished, Elapsed: 0.1, Answered: true}
			if command.IsRead {
				s.arrivals[command.Address] = append(s.arrivals[command.Address], readArrival{time.Since(s.begin).Seconds(), s.tokens[command.Completion]})
				end.Outcome, end.Answered, end.Report = decide.Read, false, []float64{0}
				if command.Address[:3] == "old" {
					end.Report[0] = 5
				}
			}
			s.schedule(100*time.Millisecond, func() {
				if !command.IsRead {
					p.Notify(link.Event{Kind: link.DispatchStarted, Completion: command.Completion, Dispatch: command.Dispatch, Elapsed: 0.1})
				}
				p.Notify(end)
			})
		}
	}
}

// TestColdEnginesUnderAllRouters replaces six of twelve readers while the load rises by half, spread unevenly over 30
// or 300 routers that learn of the change within 100 ms of each other. The work that a cold engine gets in any window
// must stay within the overload multiple of its capacity at that time, as derived from warm engines of its size, with
// an allowance for chance; and cold engines must be used at all.
func TestColdEnginesUnderAllRouters(t *testing.T) {
	const warmUp, window, share, overload, rate, burst, replacedAt, endsAt = 10.0, 2.0, 0.3, 2.5, 60.0, 1.5, 10.0, 20.0
	for _, routers := range [...]int{30, 300} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d routers, seed %d", routers, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, 9))
					sim := &coldStartSim{arrivals: map[string][]readArrival{}, tokens: map[uint64]float64{}, begin: time.Now(), executed: make([]int, routers)}
					loadShare, totalShare := make([]float64, routers), 0.0 // of the load, by router
					for i := range routers {
						p, edge := newTestPlanner(t, func(s *decide.Settings, o *Options) {
							s.Seed, s.Routers, s.ColdStartShare, s.WarmUpTime, s.OverloadMultiple, s.OverloadWindow = rng.Uint64(), routers, share, warmUp, overload, window
							s.ReportColumns, o.MaxEngines = []string{"queue"}, 64
							o.MaxQueuedCompletions, o.MaxOpenCompletions = 1<<16, 1<<16
						})
						sim.routers, sim.edges = append(sim.routers, p), append(sim.edges, edge)
						loadShare[i] = math.Exp(rng.NormFloat64() * 0.8)
						totalShare += loadShare[i]
					}
					list := func(kind decide.ListKind, entries ...link.EngineEntry) {
						for _, p := range sim.routers {
							event := listEvent(kind, entries...)
							sim.schedule(time.Duration(rng.IntN(100))*time.Millisecond, func() { p.Notify(event) })
						}
					}
					newEngine := func(name, machine string, age float64) link.EngineEntry {
						return link.EngineEntry{Address: name, Zone: "a", Cell: "a1", MachineKind: machine, Phase: decide.Ready, StartID: 1, Age: age}
					}
					var old []link.EngineEntry
					for i := range 12 {
						old = append(old, newEngine(fmt.Sprintf("old-%d", i), "read", -1), newEngine(fmt.Sprintf("writer-%d", i), "write", -1))
					}
					list(decide.ListSnapshot, old...)
					next := uint64(0)
					for step := 0.0; step < endsAt; step += 0.01 {
						time.Sleep(10 * time.Millisecond)
						if math.Abs(step-replacedAt) < 0.004 {
							var changes []link.EngineEntry
							for i := range 6 {
								gone := old[2*i]
								gone.Phase = decide.Gone
								changes = append(changes, gone, newEngine(fmt.Sprintf("new-%d", i), "read", 0))
							}
							list(decide.ListDelta, changes...)
						}
						currentRate := rate
						if step > replacedAt {
							currentRate *= burst
						}
						for range int(currentRate*0.01) + int(rng.Float64()+math.Mod(currentRate*0.01, 1)) {
							i, draw := 0, rng.Float64()*totalShare
							for draw -= loadShare[0]; draw > 0 && i < routers-1; draw -= loadShare[i] {
								i++
							}
							next++
							sim.tokens[next] = 400 * math.Exp(3*rng.Float64())
							sim.routers[i].Offer(arrival(next, 0, sim.tokens[next], 5*time.Second))
						}
						sim.advance()
					}
					mean, n := 0.0, 0.0
					for _, tokens := range sim.tokens {
						mean, n = mean+tokens, n+1
					}
					mean /= n
					workIn := func(engine string, from, to float64) (work float64) {
						for _, s := range sim.arrivals[engine] {
							if s.at >= from && s.at < to {
								work += s.tokens / mean
							}
						}
						return work
					}
					total := 0.0
					for i := range 6 {
						engine := fmt.Sprintf("new-%d", i)
						for from := replacedAt; from < replacedAt+warmUp-window; from += 0.1 {
							allowed := overload * (share + (1-share)*(from+window-replacedAt)/warmUp) * rate / 12 * window
							require.LessOrEqual(t, workIn(engine, from, from+window), allowed+2*math.Sqrt(allowed)+2, "%s, %.1f s after its start", engine, from-replacedAt)
						}
						total += workIn(engine, replacedAt, replacedAt+5)
					}
					require.Greater(t, total/6/5, 0.2*share*rate/12, "cold engines are not used")
				})
			})
		}
	}
}
