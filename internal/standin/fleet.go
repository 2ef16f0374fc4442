// Package standin is a fleet of stand-in engines with their list service: readers, writers and mixed engines
// that speak the engines' protocol on loopback, with slots, waiting, memory, kept prefixes, paces, cold starts
// that fall over when pushed, drains, and troubles to order. They are stand-ins: enough for the rules and the
// troubles, no faithful emulation. They write what they see on their sockets to a record. cmd/cherryhub,
// internal/day and tests start them; no router may import this package.
package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cherryhub/internal/loopback"
	pb "cherryhub/proto"
)

// Recorder takes entries; nil records nothing.
type Recorder interface{ Write(*pb.Entry) }

// Fleet is a set of engines and their list.
type Fleet struct {
	List    *ListService
	Engines []*Engine

	listen           func(address string) (net.Listener, error)
	settings         *pb.Fleet
	recorder         Recorder
	workloads        map[string]workload // by model
	mu               sync.Mutex
	rng              *rand.Rand
	transferSlowdown float64 // times that transfers are slower
	isolatedZone     string  // the zone that is cut off, while isCut
	isolated         bool
	routers          map[string]peer      // by the address they dial from
	dedupSeen        map[string]time.Time // tokened work that ran, by group and key
	maxDedupWindow   time.Duration        // that any workload's group remembers
	sweepSize        int                  // entries of seen at which the forgotten ones go
}

type peer struct{ name, zone string }

type workload struct {
	index    int
	settings *pb.Workload
}

// Start starts a fleet for a router's workloads on loopback.
func Start(f *pb.Fleet, workloads []*pb.Workload, record Recorder) (*Fleet, error) {
	return StartWithListener(listenTCP, f, workloads, record)
}

// listenTCP picks a port that stays free for the same server's return where none is asked for.
func listenTCP(address string) (net.Listener, error) {
	if host, port, _ := net.SplitHostPort(address); port == "0" {
		return loopback.Listen(host)
	}
	return net.Listen("tcp", address)
}

// StartOn is Start on any kind of listener.
func StartWithListener(listen func(address string) (net.Listener, error), f *pb.Fleet, workloads []*pb.Workload, record Recorder) (*Fleet, error) {
	fl := &Fleet{listen: listen, settings: f, recorder: record, workloads: map[string]workload{}, transferSlowdown: 1,
		rng: rand.New(rand.NewPCG(f.GetSeed(), 1)), routers: map[string]peer{}, dedupSeen: map[string]time.Time{}, sweepSize: 1024}
	for i, w := range workloads {
		fl.maxDedupWindow = max(fl.maxDedupWindow, time.Duration(w.GetRememberedS()*float64(time.Second)))
		fl.workloads[w.GetName()] = workload{i, w}
		for _, m := range w.GetModels() {
			fl.workloads[m] = workload{i, w}
		}
	}
	var err error
	if fl.List, err = startListService(fl, f.GetListListen(), time.Duration(f.GetListDelayS()*float64(time.Second))); err != nil {
		return nil, err
	}
	for _, s := range f.GetEngines() {
		for n := range int(s.GetCount()) {
			port := 0
			if n < len(s.GetPorts()) {
				port = int(s.GetPorts()[n])
			}
			cell := s.GetZone()
			if c := s.GetCells(); len(c) > 0 {
				cell = c[n%len(c)]
			}
			e := newEngine(fl, s, s.GetName()+"-"+strconv.Itoa(n), cell)
			if err := e.listen(net.JoinHostPort(f.GetListenHost(), strconv.Itoa(port))); err != nil {
				return nil, errors.Join(err, fl.Close())
			}
			fl.Engines = append(fl.Engines, e)
		}
	}
	fl.List.publishAll()
	return fl, nil
}

// Close stops all.
func (f *Fleet) Close() error {
	err := f.List.Close()
	for _, e := range f.Engines {
		e.stopServing()
	}
	return err
}

// Router tells the fleet that a router dials from an address, so that it can be told in records and cut off.
func (f *Fleet) RegisterRouter(address, name, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[address] = peer{name, zone}
}

// Find is the engines of a name: one, or a whole set's.
func (f *Fleet) FindEngines(name string) (found []*Engine) {
	for _, e := range f.Engines {
		if e.name == name || e.settings.GetName() == name {
			found = append(found, e)
		}
	}
	return found
}

func (f *Fleet) engineAt(address string) *Engine {
	for _, e := range f.Engines {
		if e.address == address {
			return e
		}
	}
	return nil
}

func (f *Fleet) writeEntry(e *pb.Entry) {
	if f.recorder != nil {
		f.recorder.Write(e)
	}
}

func (f *Fleet) randomShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// SlowLinks makes transfers so many times slower; 1 is as usual.
func (f *Fleet) SetTransferSlowdown(times float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transferSlowdown = times
}

// Cut cuts a zone off from the others until Heal.
func (f *Fleet) IsolateZone(zone string) {
	f.mu.Lock()
	f.isolatedZone, f.isolated = zone, true
	f.mu.Unlock()
	f.recordIsolation(pb.EngineEvent_DEAF)
}

// Heal ends a cut.
func (f *Fleet) EndIsolation() {
	f.mu.Lock()
	f.isolated = false
	f.mu.Unlock()
	f.recordIsolation(pb.EngineEvent_HEARS)
}

func (f *Fleet) recordIsolation(kind pb.EngineEvent_Kind) {
	f.mu.Lock()
	cut, routers := f.isolatedZone, map[string]peer{}
	for a, p := range f.routers {
		routers[a] = p
	}
	f.mu.Unlock()
	for _, e := range f.Engines {
		for _, p := range routers {
			if (p.zone == cut) != (e.settings.GetZone() == cut) {
				e.record(&pb.EngineEvent{Kind: kind.Enum(), Peer: proto.String(p.name)})
			}
		}
	}
}

// passes tells whether two zones hear each other.
func (f *Fleet) connected(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isolated || (a == f.isolatedZone) == (b == f.isolatedZone)
}

func (f *Fleet) peerAt(address string) peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, known := f.routers[address]; known {
		return p
	}
	return peer{name: address}
}

// first tells whether tokened work is new to a group, and books it. Non-idempotent work has no such memory.
func (f *Fleet) isFirstRun(e *Engine, w workload, key string) bool {
	if w.settings.GetEffect() != pb.Effect_TOKENED || key == "" {
		return true
	}
	group := strconv.Itoa(w.index) + "/" + key
	switch w.settings.GetGroup() {
	case pb.Group_ZONE:
		group = e.settings.GetZone() + "/" + group
	case pb.Group_CELL:
		group = e.settings.GetZone() + "/" + e.cell + "/" + group
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.dedupSeen[group]
	known = known && time.Since(at).Seconds() < w.settings.GetRememberedS()
	if !known {
		f.dedupSeen[group] = time.Now()
	}
	if len(f.dedupSeen) >= f.sweepSize { // what no group remembers any more
		for k, s := range f.dedupSeen { // the order does not matter: each is its own
			if !time.Now().Before(s.Add(f.maxDedupWindow)) {
				delete(f.dedupSeen, k)
			}
		}
		f.sweepSize = max(1024, 2*len(f.dedupSeen))
	}
	return !known
}

// transferTime is what a state takes from a reader to a writer.
func (f *Fleet) transferTime(from, to *Engine, tokens float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := tokens / f.settings.GetFetchTokensPerS() * f.transferSlowdown
	if from.cell != to.cell || from.settings.GetZone() != to.settings.GetZone() {
		s *= f.settings.GetFarSlower()
	}
	return time.Duration(s * float64(time.Second))
}

// String tells the fleet's size.
func (f *Fleet) String() string { return fmt.Sprintf("%d stand-in engines", len(f.Engines)) }
