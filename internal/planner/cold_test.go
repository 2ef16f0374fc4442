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

// coldFleet is routers as they are (planner and decide) in virtual time before a stand-in of readers and writers that
// answer after a moment. Every reader that was always there reports a queue, so that all want those that are new.
type coldFleet struct {
	routers []*Planner
	books   []*book
	read    []int // of each book's orders, how many were carried out
	due     []func()
	at      []time.Time // of due
	sent    map[string][]sending
	tokens  map[uint64]float64
	begin   time.Time
}

// sending is what a dispatch brings to a reader.
type sending struct{ at, tokens float64 }

func (f *coldFleet) later(wait time.Duration, do func()) {
	f.due, f.at = append(f.due, do), append(f.at, time.Now().Add(wait))
}

// carry carries out what the routers ordered.
func (f *coldFleet) carry() {
	for i := 0; i < len(f.due); i++ {
		if !f.at[i].After(time.Now()) {
			f.due[i]()
			f.due, f.at = append(f.due[:i], f.due[i+1:]...), append(f.at[:i], f.at[i+1:]...)
			i--
		}
	}
	for i, p := range f.routers {
		for p.step(); f.read[i] < len(f.books[i].orders); p.step() {
			o := f.books[i].orders[f.read[i]]
			if f.read[i]++; o.Kind != link.Dispatch {
				continue
			}
			end := link.Event{Kind: link.DispatchEnded, Completion: o.Completion, Dispatch: o.Dispatch, Outcome: decide.Finished, Elapsed: 0.1, Answered: true}
			if o.IsRead {
				f.sent[o.Address] = append(f.sent[o.Address], sending{time.Since(f.begin).Seconds(), f.tokens[o.Completion]})
				end.Outcome, end.Answered, end.Report = decide.Read, false, []float64{0}
				if o.Address[:3] == "old" {
					end.Report[0] = 5
				}
			}
			f.later(100*time.Millisecond, func() {
				if !o.IsRead {
					p.Notify(link.Event{Kind: link.DispatchStarted, Completion: o.Completion, Dispatch: o.Dispatch, Elapsed: 0.1})
				}
				p.Notify(end)
			})
		}
	}
}

// TestColdEnginesUnderAllRouters: six of twelve readers are replaced while a burst of half as much again comes, spread
// unevenly over thirty routers, and three hundred. All routers hear of it at about the same moment. What a cold engine
// gets in any window stays within the multiple of what it can do then, as warm ones of its size show it, and what chance
// adds; and it is used.
func TestColdEnginesUnderAllRouters(t *testing.T) {
	const warmUp, window, share, multiple, rate, burst, starts, ends = 10.0, 2.0, 0.3, 2.5, 60.0, 1.5, 10.0, 20.0
	for _, routers := range [...]int{30, 300} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d routers, seed %d", routers, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, 9))
					f := &coldFleet{sent: map[string][]sending{}, tokens: map[uint64]float64{}, begin: time.Now(), read: make([]int, routers)}
					part, all := make([]float64, routers), 0.0 // of the traffic
					for i := range routers {
						p, b := planner(t, func(s *decide.Settings, o *Options) {
							s.Seed, s.Routers, s.ColdStartShare, s.WarmUpTime, s.OverloadMultiple, s.OverloadWindow = rng.Uint64(), routers, share, warmUp, multiple, window
							s.ReportColumns, o.MaxEngines = []string{"queue"}, 64
							o.MaxQueuedCompletions, o.MaxOpenCompletions = 1<<16, 1<<16
						})
						f.routers, f.books = append(f.routers, p), append(f.books, b)
						part[i] = math.Exp(rng.NormFloat64() * 0.8)
						all += part[i]
					}
					list := func(kind decide.ListKind, entries ...link.EngineEntry) {
						for _, p := range f.routers {
							news := fleet(kind, entries...)
							f.later(time.Duration(rng.IntN(100))*time.Millisecond, func() { p.Notify(news) })
						}
					}
					host := func(name, machine string, age float64) link.EngineEntry {
						return link.EngineEntry{Address: name, Zone: "a", Cell: "a1", MachineKind: machine, Phase: decide.Ready, StartID: 1, Age: age}
					}
					var old []link.EngineEntry
					for i := range 12 {
						old = append(old, host(fmt.Sprintf("old-%d", i), "read", -1), host(fmt.Sprintf("writer-%d", i), "write", -1))
					}
					list(decide.ListSnapshot, old...)
					next := uint64(0)
					for step := 0.0; step < ends; step += 0.01 {
						time.Sleep(10 * time.Millisecond)
						if math.Abs(step-starts) < 0.004 {
							var changes []link.EngineEntry
							for i := range 6 {
								gone := old[2*i]
								gone.Phase = decide.Gone
								changes = append(changes, gone, host(fmt.Sprintf("new-%d", i), "read", 0))
							}
							list(decide.ListDelta, changes...)
						}
						now := rate
						if step > starts {
							now *= burst
						}
						for range int(now*0.01) + int(rng.Float64()+math.Mod(now*0.01, 1)) {
							i, lot := 0, rng.Float64()*all
							for lot -= part[0]; lot > 0 && i < routers-1; lot -= part[i] {
								i++
							}
							next++
							f.tokens[next] = 400 * math.Exp(3*rng.Float64())
							f.routers[i].Offer(take(next, 0, f.tokens[next], 5*time.Second))
						}
						f.carry()
					}
					mean, n := 0.0, 0.0
					for _, tokens := range f.tokens {
						mean, n = mean+tokens, n+1
					}
					mean /= n
					in := func(engine string, from, to float64) (work float64) {
						for _, s := range f.sent[engine] {
							if s.at >= from && s.at < to {
								work += s.tokens / mean
							}
						}
						return work
					}
					total := 0.0
					for i := range 6 {
						engine := fmt.Sprintf("new-%d", i)
						for from := starts; from < starts+warmUp-window; from += 0.1 {
							allowed := multiple * (share + (1-share)*(from+window-starts)/warmUp) * rate / 12 * window
							require.LessOrEqual(t, in(engine, from, from+window), allowed+2*math.Sqrt(allowed)+2, "%s, %.1f s after its start", engine, from-starts)
						}
						total += in(engine, starts, starts+5)
					}
					require.Greater(t, total/6/5, 0.2*share*rate/12, "cold engines are not used")
				})
			})
		}
	}
}
