package standin

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

// Engine is one stand-in engine.
type Engine struct {
	fleet    *Fleet
	settings *pb.EngineSet
	name     string
	cell     string

	address string
	server  *http.Server

	mu             sync.Mutex
	up             bool
	draining       bool
	crashed        bool
	started        time.Time // zero: long ago, the engine is warm
	lifetime       context.Context
	endLifetime    context.CancelFunc
	prefillFreeAt  time.Time       // when the prefills queued so far are done; they run one after another
	unreadTokens   float64         // prompt tokens queued for prefill
	running        int             // slots in use
	waiting        []chan struct{} // queue for a slot
	usedTokens     float64         // KV cache memory in use, in tokens
	cachedBlocks   map[uint64]*list.Element
	blockOrder     *list.List // cached blocks, most recently used first
	states         map[string]*state
	reservations   map[string]float64
	recentWork     []coldWork
	faults         faults
	reachableAgain chan struct{} // closed when the engine becomes responsive again
}

// faults are the faults injected at present.
type faults struct {
	failureShare    float64 // share of completions that fail at once
	slowdown        float64 // factor on the time of all work
	silent          bool
	paused          bool
	brokenShare     float64 // share of answers that break off in the middle
	lostShare       float64 // share of answers that are never sent
	failingWorkload int     // index of the workload that fails, -1 for none
}

// state is the KV cache state that a read left for a write.
type state struct {
	tokens     float64
	expires    *time.Timer
	completion string
}

// coldWork is work sent to a cold engine.
type coldWork struct {
	at        time.Time
	seconds   float64
	knewStart bool // the router had been notified of the engine's start
}

const (
	blockBytes     = 256 // prompt text in one cached block
	blockTokens    = blockBytes / 4
	stateLifetime  = 30 * time.Second // the engine's own limit, far beyond any router's hold limit
	knewStartShare = 2.0 / 3          // share of an overload that must come from routers that knew of the start
)

func newEngine(fleet *Fleet, settings *pb.EngineSet, name, cell string) *Engine {
	return &Engine{fleet: fleet, settings: settings, name: name, cell: cell, cachedBlocks: map[uint64]*list.Element{}, blockOrder: list.New(),
		states: map[string]*state{}, reservations: map[string]float64{}, faults: faults{slowdown: 1, failingWorkload: -1}, reachableAgain: make(chan struct{})}
}

func (e *Engine) listen(address string) error {
	ln, err := e.fleet.listen(address)
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("DELETE /v1/kv_states/{id}", e.serveRelease)
	mux.HandleFunc("POST /v1/kv_places", e.serveReservation)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Second}
	e.mu.Lock()
	if e.address == "" { // the address stays for the engine's whole life and is read without the lock
		e.address = ln.Addr().String()
	}
	e.server, e.up = server, true
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	cold := !e.started.IsZero()
	e.mu.Unlock()
	e.record(&pb.EngineEvent{Kind: pb.EngineEvent_UP.Enum(), Cold: proto.Bool(cold)})
	go server.Serve(ln) //nolint:errcheck // ends with stopServing
	return nil
}

func (e *Engine) record(event *pb.EngineEvent) {
	event.Engine = proto.String(e.name)
	e.fleet.writeEntry(&pb.Entry{What: &pb.Entry_Engine{Engine: event}})
}

func (e *Engine) startedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// stopServing closes the listener and all connections. The engine's memory stays.
func (e *Engine) stopServing() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	server, endLifetime := e.server, e.endLifetime
	e.mu.Unlock()
	e.record(&pb.EngineEvent{Kind: pb.EngineEvent_DOWN.Enum()})
	server.Close() //nolint:errcheck // all connections are to be dropped
	endLifetime()
}

// SetUnreachable makes the engine drop its connections and refuse new ones, or accept them again.
func (e *Engine) SetUnreachable(unreachable bool) error {
	if unreachable {
		e.stopServing()
		return nil
	}
	e.mu.Lock()
	upOrCrashed := e.up || e.crashed
	e.mu.Unlock()
	if upOrCrashed {
		return nil
	}
	return e.listen(e.address)
}

// Kill stops the engine and clears its memory. The list announces it with its usual delay.
func (e *Engine) Kill() {
	e.stopServing()
	e.clearMemory()
	e.fleet.List.publish(e, "gone")
}

// Restart starts the engine again, cold. An engine that crashed under overload stays down.
func (e *Engine) Restart() error {
	e.mu.Lock()
	upOrCrashed := e.up || e.crashed
	if !upOrCrashed {
		e.started, e.draining, e.recentWork = time.Now(), false, nil
	}
	e.mu.Unlock()
	if upOrCrashed {
		return nil
	}
	if err := e.listen(e.address); err != nil {
		return err
	}
	e.fleet.List.publish(e, "ready")
	return nil
}

// Drain makes the engine reject new work.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.fleet.List.publish(e, "draining")
}

// clearMemory drops cached prefixes, held states and reservations.
func (e *Engine) clearMemory() {
	e.mu.Lock()
	states, reservations := e.states, e.reservations
	e.states, e.reservations, e.usedTokens = map[string]*state{}, map[string]float64{}, 0
	e.cachedBlocks, e.prefillFreeAt, e.unreadTokens = map[uint64]*list.Element{}, time.Time{}, 0
	e.blockOrder.Init()
	e.mu.Unlock()
	for id, held := range states {
		held.expires.Stop()
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_STATE_LOST.Enum(), Dispatch: proto.String(id), Completion: proto.String(held.completion)})
	}
	for id := range reservations {
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_PLACE_RELEASED.Enum(), Dispatch: proto.String(id), Completion: proto.String(completionID(id)), Detail: proto.String("lost")})
	}
}

// EvictPrefixes evicts a share of the cached prefix blocks, the least recently used first.
func (e *Engine) EvictPrefixes(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	evicted := int(share * float64(e.blockOrder.Len()))
	for range evicted {
		oldest := e.blockOrder.Back()
		delete(e.cachedBlocks, oldest.Value.(uint64))
		e.blockOrder.Remove(oldest)
	}
}

// setFaults changes the injected faults.
func (e *Engine) setFaults(update func(*faults)) {
	e.mu.Lock()
	wasUnresponsive := e.faults.silent || e.faults.paused
	update(&e.faults)
	isUnresponsive := e.faults.silent || e.faults.paused
	if wasUnresponsive && !isUnresponsive {
		close(e.reachableAgain)
		e.reachableAgain = make(chan struct{})
	}
	e.mu.Unlock()
	if wasUnresponsive != isUnresponsive {
		kind := pb.EngineEvent_HEARS
		if isUnresponsive {
			kind = pb.EngineEvent_DEAF
		}
		e.record(&pb.EngineEvent{Kind: kind.Enum()})
	}
}

// SetFailureShare makes a share of completions fail at once.
func (e *Engine) SetFailureShare(share float64) {
	e.setFaults(func(f *faults) { f.failureShare = share })
}

// SetSlowdown multiplies the time of all work by a factor; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) { e.setFaults(func(f *faults) { f.slowdown = factor }) }

// SetSilent makes the engine accept calls without answering them. Calls that arrived meanwhile are never answered.
func (e *Engine) SetSilent(silent bool) { e.setFaults(func(f *faults) { f.silent = silent }) }

// SetPaused pauses the engine, or resumes it.
func (e *Engine) SetPaused(paused bool) { e.setFaults(func(f *faults) { f.paused = paused }) }

// SetBrokenShare makes a share of answers break off in the middle.
func (e *Engine) SetBrokenShare(share float64) {
	e.setFaults(func(f *faults) { f.brokenShare = share })
}

// SetLostShare makes a share of answers never arrive. The work is still done, and probes are answered.
func (e *Engine) SetLostShare(share float64) { e.setFaults(func(f *faults) { f.lostShare = share }) }

// SetFailingWorkload makes the named workload fail, none for "".
func (e *Engine) SetFailingWorkload(name string) {
	index := -1
	if workload, known := e.fleet.workloads[name]; known {
		index = workload.index
	}
	e.setFaults(func(f *faults) { f.failingWorkload = index })
}

// awaitReachable waits until the engine handles calls of the peer. It returns false if the peer has left or the engine never will.
func (e *Engine) awaitReachable(ctx context.Context, peer peer) bool {
	for {
		e.mu.Lock()
		silent, paused, reachableAgain, lifetime := e.faults.silent, e.faults.paused, e.reachableAgain, e.lifetime
		e.mu.Unlock()
		if silent {
			select {
			case <-ctx.Done():
			case <-lifetime.Done():
			}
			return false
		}
		isolated := peer.zone != "" && !e.fleet.connected(peer.zone, e.settings.GetZone())
		if !paused && !isolated {
			return ctx.Err() == nil && lifetime.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-lifetime.Done():
			return false
		case <-reachableAgain:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// lifetimeContext returns a context that ends when the engine goes down.
func (e *Engine) lifetimeContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lifetime
}

// sleep simulates work, which stops when the peer leaves or the engine goes down.
func (e *Engine) sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.lifetimeContext().Done():
		return errDown
	}
}

// blockHashes returns the hashes of a prompt's blocks, each over the prompt up to the end of the block.
func blockHashes(prompt string) []uint64 {
	digest, hashes := xxhash.New(), []uint64(nil)
	for offset := 0; offset+blockBytes <= len(prompt); offset += blockBytes {
		digest.WriteString(prompt[offset : offset+blockBytes]) //nolint:errcheck // never fails
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// countCachedTokens returns how many of a prompt's tokens are cached, and marks their blocks as just used.
func (e *Engine) countCachedTokens(hashes []uint64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	blocks := 0
	for _, hash := range hashes {
		element, found := e.cachedBlocks[hash]
		if !found {
			break
		}
		e.blockOrder.MoveToFront(element)
		blocks++
	}
	return float64(blocks * blockTokens)
}

// cachePrefix caches a prompt's blocks and evicts the least recently used ones that exceed the free memory.
func (e *Engine) cachePrefix(hashes []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, hash := range hashes {
		if element, found := e.cachedBlocks[hash]; found {
			e.blockOrder.MoveToFront(element)
		} else {
			e.cachedBlocks[hash] = e.blockOrder.PushFront(hash)
		}
	}
	maxTokens := max(e.settings.GetMemoryTokens()*0.1, e.settings.GetMemoryTokens()-e.usedTokens)
	for float64(e.blockOrder.Len()*blockTokens) > maxTokens {
		oldest := e.blockOrder.Back()
		delete(e.cachedBlocks, oldest.Value.(uint64))
		e.blockOrder.Remove(oldest)
	}
}

// prefill reads tokens of a prompt. An engine does one prefill at a time, in order of arrival.
func (e *Engine) prefill(ctx context.Context, tokens float64) error {
	e.mu.Lock()
	now := time.Now()
	if e.prefillFreeAt.Before(now) {
		e.prefillFreeAt = now
	}
	duration := time.Duration(tokens / e.settings.GetReadTokensPerS() * e.faults.slowdown / e.capacityShare() * float64(time.Second))
	e.prefillFreeAt = e.prefillFreeAt.Add(duration)
	doneAt := e.prefillFreeAt
	e.unreadTokens += tokens
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.unreadTokens = max(0, e.unreadTokens-tokens)
		e.mu.Unlock()
	}()
	return e.sleep(ctx, time.Until(doneAt))
}

// UnreadTokens returns the number of prompt tokens queued for prefill.
func (e *Engine) UnreadTokens() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unreadTokens
}

// capacityShare returns the share of its capacity that the engine has now. A cold engine warms up linearly.
func (e *Engine) capacityShare() float64 {
	cold := e.fleet.settings.GetCold()
	if e.started.IsZero() || cold.GetWarmS() <= 0 {
		return 1
	}
	return min(1, cold.GetStartShare()+(1-cold.GetStartShare())*time.Since(e.started).Seconds()/cold.GetWarmS())
}

// errFull is returned by an engine that has no slot, queue space or memory left.
var errFull = errors.New("no slot, queue space or memory left")

// acquireSlot waits for a slot.
func (e *Engine) acquireSlot(ctx context.Context) error {
	e.mu.Lock()
	if e.running < int(e.settings.GetSlots()) {
		e.running++
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= int(e.settings.GetQueue()) {
		e.mu.Unlock()
		return errFull
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	case <-e.lifetimeContext().Done():
	}
	e.mu.Lock()
	for i, waiter := range e.waiting {
		if waiter == turn {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.mu.Unlock()
			return context.Canceled
		}
	}
	e.mu.Unlock()
	e.releaseSlot() // the slot was granted at the same moment
	return context.Canceled
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// allocate takes memory, and returns false if there is not enough.
func (e *Engine) allocate(tokens float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.usedTokens+tokens > e.settings.GetMemoryTokens() {
		return false
	}
	e.usedTokens += tokens
	return true
}

func (e *Engine) free(tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usedTokens = max(0, e.usedTokens-tokens)
}

// addColdWork records work sent to a cold engine and reports whether the engine crashes under it: it received more than the overload
// multiple of its present capacity within the overload window. The recorded event says whether at least knewStartShare of that work
// came from routers that knew of the start.
func (e *Engine) addColdWork(seconds float64, knewStart bool) bool {
	cold := e.fleet.settings.GetCold()
	e.mu.Lock()
	share := e.capacityShare()
	if share >= 1 || cold.GetFallWindowS() <= 0 {
		e.mu.Unlock()
		return false
	}
	now := time.Now()
	e.recentWork = append(e.recentWork, coldWork{now, seconds, knewStart})
	total, knewStartWork := 0.0, 0.0
	recent := e.recentWork[:0]
	for _, w := range e.recentWork {
		if now.Sub(w.at).Seconds() <= cold.GetFallWindowS() {
			recent = append(recent, w)
			total += w.seconds
			if w.knewStart {
				knewStartWork += w.seconds
			}
		}
	}
	e.recentWork = recent
	crashes := total > cold.GetFallMultiple()*share*cold.GetFallWindowS()
	if crashes {
		e.crashed = true
	}
	e.mu.Unlock()
	if crashes {
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_FELL.Enum(),
			Detail: proto.String(fmt.Sprintf("%.2f s of work in %.1f s, %.0f%% by routers told of its start", total, cold.GetFallWindowS(), 100*knewStartWork/total)),
			Cold:   proto.Bool(knewStartWork >= knewStartShare*total)})
	}
	return crashes
}

// holdState holds the state of a read until it is released or expires.
func (e *Engine) holdState(id, completion string, tokens float64) {
	held := &state{tokens: tokens, completion: completion}
	held.expires = time.AfterFunc(stateLifetime, func() { e.release(id, pb.EngineEvent_STATE_EXPIRED) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[id] = held
	e.record(&pb.EngineEvent{Kind: pb.EngineEvent_STATE_HELD.Enum(), Dispatch: proto.String(id), Completion: proto.String(completion)})
}

// release ends a held state or a reservation and reports whether there was one. Holding and release are recorded under the lock that
// guards them, so that the record has them in the order in which they happened.
func (e *Engine) release(id string, event pb.EngineEvent_Kind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.states[id]
	reserved, wasReserved := e.reservations[id]
	delete(e.states, id)
	delete(e.reservations, id)
	if held != nil {
		e.usedTokens = max(0, e.usedTokens-held.tokens)
	}
	if wasReserved {
		e.usedTokens = max(0, e.usedTokens-reserved)
	}
	if held != nil {
		held.expires.Stop()
		e.record(&pb.EngineEvent{Kind: event.Enum(), Dispatch: proto.String(id), Completion: proto.String(held.completion)})
	}
	if wasReserved {
		kind := pb.EngineEvent_PLACE_RELEASED
		if event == pb.EngineEvent_STATE_TAKEN {
			kind = pb.EngineEvent_PLACE_TAKEN
		}
		e.record(&pb.EngineEvent{Kind: kind.Enum(), Dispatch: proto.String(id), Completion: proto.String(completionID(id))})
	}
	return held != nil || wasReserved
}

func (e *Engine) heldState(id string) *state {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[id]
}

// completionID returns the completion's ID from a dispatch's ID: everything before the last dash.
func completionID(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		return id[:i]
	}
	return id
}

// Address returns the address on which the engine listens, the same for its whole life.
func (e *Engine) Address() string { return e.address }
