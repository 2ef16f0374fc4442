// Package standin runs a fleet of stand-in engines with their list service. Readers, writers and mixed engines speak the engines'
// protocol on loopback. They simulate slots, a waiting queue, memory, cached prefixes, prefill and decode rates, cold starts under which
// an overloaded engine crashes, draining and injected faults: enough to test the rules under faults, not a faithful emulation. They
// record what they see on their sockets. cmd/cherryhub, internal/day and tests start them; no router may import this package.
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

// Recorder receives the entries of a record; nil records nothing.
type Recorder interface{ Write(*pb.Entry) }

// Fleet is a set of engines and their list service.
type Fleet struct {
	List    *ListService
	Engines []*Engine

	listen           func(address string) (net.Listener, error)
	settings         *pb.Fleet
	recorder         Recorder
	workloads        map[string]workload // by name and by model
	mu               sync.Mutex
	rng              *rand.Rand
	transferSlowdown float64 // factor on the time of state transfers
	isolatedZone     string  // the zone that is cut off while isolated is set
	isolated         bool
	routers          map[string]peer      // by source address
	dedupSeen        map[string]time.Time // when tokened work ran, by deduplication scope and key
	maxDedupWindow   time.Duration        // longest deduplication window of any workload
	sweepSize        int                  // number of entries in dedupSeen at which expired ones are removed
}

// peer is the sender of a call: a router, or another engine's zone.
type peer struct{ name, zone string }

type workload struct {
	index    int
	settings *pb.Workload
}

// Start starts a fleet on loopback for a router's workloads.
func Start(settings *pb.Fleet, workloads []*pb.Workload, recorder Recorder) (*Fleet, error) {
	return StartWithListener(listenTCP, settings, workloads, recorder)
}

// listenTCP listens on an address. For port 0 it picks a port that stays free for a restart of the same server.
func listenTCP(address string) (net.Listener, error) {
	if host, port, _ := net.SplitHostPort(address); port == "0" {
		return loopback.Listen(host)
	}
	return net.Listen("tcp", address)
}

// StartWithListener is Start with any kind of listener.
func StartWithListener(listen func(address string) (net.Listener, error), settings *pb.Fleet, workloads []*pb.Workload, recorder Recorder) (*Fleet, error) {
	fleet := &Fleet{listen: listen, settings: settings, recorder: recorder, workloads: map[string]workload{}, transferSlowdown: 1,
		rng: rand.New(rand.NewPCG(settings.GetSeed(), 1)), routers: map[string]peer{}, dedupSeen: map[string]time.Time{}, sweepSize: 1024}
	for i, workloadSettings := range workloads {
		fleet.maxDedupWindow = max(fleet.maxDedupWindow, time.Duration(workloadSettings.GetRememberedS()*float64(time.Second)))
		fleet.workloads[workloadSettings.GetName()] = workload{i, workloadSettings}
		for _, model := range workloadSettings.GetModels() {
			fleet.workloads[model] = workload{i, workloadSettings}
		}
	}
	var err error
	if fleet.List, err = startListService(fleet, settings.GetListListen(), time.Duration(settings.GetListDelayS()*float64(time.Second))); err != nil {
		return nil, err
	}
	for _, set := range settings.GetEngines() {
		for engineNumber := range int(set.GetCount()) {
			port := 0
			if engineNumber < len(set.GetPorts()) {
				port = int(set.GetPorts()[engineNumber])
			}
			cell := set.GetZone()
			if cells := set.GetCells(); len(cells) > 0 {
				cell = cells[engineNumber%len(cells)]
			}
			engine := newEngine(fleet, set, set.GetName()+"-"+strconv.Itoa(engineNumber), cell)
			if err := engine.listen(net.JoinHostPort(settings.GetListenHost(), strconv.Itoa(port))); err != nil {
				return nil, errors.Join(err, fleet.Close())
			}
			fleet.Engines = append(fleet.Engines, engine)
		}
	}
	fleet.List.publishAll()
	return fleet, nil
}

// Close stops the engines and the list service.
func (f *Fleet) Close() error {
	err := f.List.Close()
	for _, e := range f.Engines {
		e.stopServing()
	}
	return err
}

// RegisterRouter registers a router by its source address, so that records name it and its zone can be isolated.
func (f *Fleet) RegisterRouter(address, name, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[address] = peer{name, zone}
}

// FindEngines returns the engine of a name, or all engines of a set of that name.
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

func (f *Fleet) writeEntry(entry *pb.Entry) {
	if f.recorder != nil {
		f.recorder.Write(entry)
	}
}

func (f *Fleet) randomShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// SetTransferSlowdown multiplies the time of state transfers by a factor; 1 is normal.
func (f *Fleet) SetTransferSlowdown(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transferSlowdown = factor
}

// IsolateZone cuts a zone off from the others until EndIsolation.
func (f *Fleet) IsolateZone(zone string) {
	f.mu.Lock()
	f.isolatedZone, f.isolated = zone, true
	f.mu.Unlock()
	f.recordIsolation(pb.EngineEvent_DEAF)
}

// EndIsolation reconnects the isolated zone.
func (f *Fleet) EndIsolation() {
	f.mu.Lock()
	f.isolated = false
	f.mu.Unlock()
	f.recordIsolation(pb.EngineEvent_HEARS)
}

func (f *Fleet) recordIsolation(kind pb.EngineEvent_Kind) {
	f.mu.Lock()
	isolatedZone, routers := f.isolatedZone, map[string]peer{}
	for address, router := range f.routers {
		routers[address] = router
	}
	f.mu.Unlock()
	for _, e := range f.Engines {
		for _, router := range routers {
			if (router.zone == isolatedZone) != (e.settings.GetZone() == isolatedZone) {
				e.record(&pb.EngineEvent{Kind: kind.Enum(), Peer: proto.String(router.name)})
			}
		}
	}
}

// connected reports whether calls between two zones pass.
func (f *Fleet) connected(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isolated || (a == f.isolatedZone) == (b == f.isolatedZone)
}

func (f *Fleet) peerAt(address string) peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if router, known := f.routers[address]; known {
		return router
	}
	return peer{name: address}
}

// isFirstRun reports whether tokened work is new in its deduplication scope, and records it there. Other work is never deduplicated.
func (f *Fleet) isFirstRun(e *Engine, w workload, key string) bool {
	if w.settings.GetEffect() != pb.Effect_TOKENED || key == "" {
		return true
	}
	dedupKey := strconv.Itoa(w.index) + "/" + key
	switch w.settings.GetGroup() {
	case pb.Group_ZONE:
		dedupKey = e.settings.GetZone() + "/" + dedupKey
	case pb.Group_CELL:
		dedupKey = e.settings.GetZone() + "/" + e.cell + "/" + dedupKey
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	seenAt, repeated := f.dedupSeen[dedupKey]
	repeated = repeated && time.Since(seenAt).Seconds() < w.settings.GetRememberedS()
	if !repeated {
		f.dedupSeen[dedupKey] = time.Now()
	}
	if len(f.dedupSeen) >= f.sweepSize { // remove what is past every deduplication window
		for oldKey, oldSeenAt := range f.dedupSeen { // entries are independent: the iteration order does not matter
			if !time.Now().Before(oldSeenAt.Add(f.maxDedupWindow)) {
				delete(f.dedupSeen, oldKey)
			}
		}
		f.sweepSize = max(1024, 2*len(f.dedupSeen))
	}
	return !repeated
}

// transferTime returns how long the transfer of a state from a reader to a writer takes.
func (f *Fleet) transferTime(from, to *Engine, tokens float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	seconds := tokens / f.settings.GetFetchTokensPerS() * f.transferSlowdown
	if from.cell != to.cell || from.settings.GetZone() != to.settings.GetZone() {
		seconds *= f.settings.GetFarSlower()
	}
	return time.Duration(seconds * float64(time.Second))
}

// String returns the size of the fleet.
func (f *Fleet) String() string { return fmt.Sprintf("%d stand-in engines", len(f.Engines)) }
