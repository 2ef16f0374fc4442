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
	started        time.Time // zero for long ago: warm
	lifetime       context.Context
	endLifetime    context.CancelFunc
	prefillFreeAt  time.Time // when the reading lane has done what it has
	unreadTokens   float64   // tokens that wait to be read
	running        int       // slots in use
	waiting        []chan struct{}
	usedTokens     float64 // tokens of memory held
	cachedBlocks   map[uint64]*list.Element
	blockOrder     *list.List // of kept blocks, latest first
	states         map[string]*state
	reservations   map[string]float64
	recentWork     []coldWork
	faults         faults
	reachableAgain chan struct{} // closed when it hears again
}

// ills are the troubles in force.
type faults struct {
	failureShare    float64 // share that fails at once
	slowdown        float64 // times
	silent          bool
	paused          bool
	brokenShare     float64 // share of answers that break
	lostShare       float64 // share of answers that never come
	failingWorkload int     // index of a workload that fails, -1 for none
}

type state struct {
	tokens     float64
	expires    *time.Timer
	completion string
}

type coldWork struct {
	at        time.Time
	seconds   float64
	knewStart bool
}

const (
	blockBytes     = 256 // of a prompt's text, one kept block
	blockTokens    = blockBytes / 4
	stateLifetime  = 30 * time.Second // the engine's own clock, far past any router's limit
	knewStartShare = 2.0 / 3          // of a push that must come from routers that knew of the start
)

func newEngine(f *Fleet, s *pb.EngineSet, name, cell string) *Engine {
	return &Engine{fleet: f, settings: s, name: name, cell: cell, cachedBlocks: map[uint64]*list.Element{}, blockOrder: list.New(),
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
	if e.address == "" { // it keeps its address for life, and others read it
		e.address = ln.Addr().String()
	}
	e.server, e.up = server, true
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	cold := !e.started.IsZero()
	e.mu.Unlock()
	e.record(&pb.EngineEvent{Kind: pb.EngineEvent_UP.Enum(), Cold: proto.Bool(cold)})
	go server.Serve(ln) //nolint:errcheck // ends with hangUp
	return nil
}

func (e *Engine) record(ev *pb.EngineEvent) {
	ev.Engine = proto.String(e.name)
	e.fleet.writeEntry(&pb.Entry{What: &pb.Entry_Engine{Engine: ev}})
}

func (e *Engine) startedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// hangUp closes the listener and all connections. What it holds stays.
func (e *Engine) stopServing() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	server, die := e.server, e.endLifetime
	e.mu.Unlock()
	e.record(&pb.EngineEvent{Kind: pb.EngineEvent_DOWN.Enum()})
	server.Close() //nolint:errcheck // nothing is to be saved
	die()
}

// Unreachable makes it refuse connections and drop those it has, or take them again.
func (e *Engine) SetUnreachable(so bool) error {
	if so {
		e.stopServing()
		return nil
	}
	e.mu.Lock()
	stays := e.up || e.crashed
	e.mu.Unlock()
	if stays {
		return nil
	}
	return e.listen(e.address)
}

// Die kills it outright; the list tells late.
func (e *Engine) Kill() {
	e.stopServing()
	e.clearMemory()
	e.fleet.List.publish(e, "gone")
}

// Return brings it back cold. One that fell over stays down.
func (e *Engine) Restart() error {
	e.mu.Lock()
	stays := e.up || e.crashed
	if !stays {
		e.started, e.draining, e.recentWork = time.Now(), false, nil
	}
	e.mu.Unlock()
	if stays {
		return nil
	}
	if err := e.listen(e.address); err != nil {
		return err
	}
	e.fleet.List.publish(e, "ready")
	return nil
}

// Drain makes it turn away new work.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.fleet.List.publish(e, "draining")
}

// forget empties its memory.
func (e *Engine) clearMemory() {
	e.mu.Lock()
	lost, places := e.states, e.reservations
	e.states, e.reservations, e.usedTokens = map[string]*state{}, map[string]float64{}, 0
	e.cachedBlocks, e.prefillFreeAt, e.unreadTokens = map[uint64]*list.Element{}, time.Time{}, 0
	e.blockOrder.Init()
	e.mu.Unlock()
	for id, s := range lost {
		s.expires.Stop()
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_STATE_LOST.Enum(), Dispatch: proto.String(id), Completion: proto.String(s.completion)})
	}
	for id := range places {
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_PLACE_RELEASED.Enum(), Dispatch: proto.String(id), Completion: proto.String(completionID(id)), Detail: proto.String("lost")})
	}
}

// Flush drops a share of the kept text.
func (e *Engine) EvictPrefixes(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := int(share * float64(e.blockOrder.Len()))
	for range n {
		last := e.blockOrder.Back()
		delete(e.cachedBlocks, last.Value.(uint64))
		e.blockOrder.Remove(last)
	}
}

// change changes the troubles in force.
func (e *Engine) setFaults(f func(*faults)) {
	e.mu.Lock()
	was := e.faults.silent || e.faults.paused
	f(&e.faults)
	is := e.faults.silent || e.faults.paused
	if was && !is {
		close(e.reachableAgain)
		e.reachableAgain = make(chan struct{})
	}
	e.mu.Unlock()
	if was != is {
		kind := pb.EngineEvent_HEARS
		if is {
			kind = pb.EngineEvent_DEAF
		}
		e.record(&pb.EngineEvent{Kind: kind.Enum()})
	}
}

// Fails makes a share of completions fail at once.
func (e *Engine) SetFailureShare(share float64) {
	e.setFaults(func(i *faults) { i.failureShare = share })
}

// Slow makes all its work so many times longer; 1 is as usual.
func (e *Engine) SetSlowdown(times float64) { e.setFaults(func(i *faults) { i.slowdown = times }) }

// Silent makes it take what comes and answer nothing; what it took meanwhile is never answered.
func (e *Engine) SetSilent(so bool) { e.setFaults(func(i *faults) { i.silent = so }) }

// Paused makes it stand still, and go on.
func (e *Engine) SetPaused(so bool) { e.setFaults(func(i *faults) { i.paused = so }) }

// Breaks makes a share of answers break in the middle.
func (e *Engine) SetBrokenShare(share float64) {
	e.setFaults(func(i *faults) { i.brokenShare = share })
}

// Loses makes a share of answers never come; the work is done, probes are answered.
func (e *Engine) SetLostShare(share float64) { e.setFaults(func(i *faults) { i.lostShare = share }) }

// FailsWorkload makes one workload fail, by its name; none for "".
func (e *Engine) SetFailingWorkload(name string) {
	index := -1
	if w, known := e.fleet.workloads[name]; known {
		index = w.index
	}
	e.setFaults(func(i *faults) { i.failingWorkload = index })
}

// hear waits until the engine hears the peer. False: the peer has gone, or it never will.
func (e *Engine) awaitReachable(ctx context.Context, peer peer) bool {
	for {
		e.mu.Lock()
		silent, deaf, changed, life := e.faults.silent, e.faults.paused, e.reachableAgain, e.lifetime
		e.mu.Unlock()
		if silent {
			select {
			case <-ctx.Done():
			case <-life.Done():
			}
			return false
		}
		cut := peer.zone != "" && !e.fleet.connected(peer.zone, e.settings.GetZone())
		if !deaf && !cut {
			return ctx.Err() == nil && life.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-life.Done():
			return false
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// alive ends when the engine goes down.
func (e *Engine) lifetimeContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lifetime
}

// sleep stands for work, which stops when the peer goes or the engine dies.
func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.lifetimeContext().Done():
		return errDown
	}
}

// blocks are the hashes of a prompt's blocks, each over all that comes before it.
func blockHashes(prompt string) []uint64 {
	h, all := xxhash.New(), []uint64(nil)
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		h.WriteString(prompt[at : at+blockBytes]) //nolint:errcheck // never fails
		all = append(all, h.Sum64())
	}
	return all
}

// cached is how many of a prompt's tokens are kept; they count as used now.
func (e *Engine) countCachedTokens(b []uint64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, hash := range b {
		at, kept := e.cachedBlocks[hash]
		if !kept {
			break
		}
		e.blockOrder.MoveToFront(at)
		n++
	}
	return float64(n * blockTokens)
}

// keep keeps a prompt's blocks, pushing out the oldest for which memory has no room.
func (e *Engine) cachePrefix(b []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, hash := range b {
		if at, kept := e.cachedBlocks[hash]; kept {
			e.blockOrder.MoveToFront(at)
		} else {
			e.cachedBlocks[hash] = e.blockOrder.PushFront(hash)
		}
	}
	room := max(e.settings.GetMemoryTokens()*0.1, e.settings.GetMemoryTokens()-e.usedTokens)
	for float64(e.blockOrder.Len()*blockTokens) > room {
		last := e.blockOrder.Back()
		delete(e.cachedBlocks, last.Value.(uint64))
		e.blockOrder.Remove(last)
	}
}

// read reads so many tokens in the engine's one lane, after what is before them.
func (e *Engine) prefill(ctx context.Context, tokens float64) error {
	e.mu.Lock()
	now := time.Now()
	if e.prefillFreeAt.Before(now) {
		e.prefillFreeAt = now
	}
	d := time.Duration(tokens / e.settings.GetReadTokensPerS() * e.faults.slowdown / e.capacityShare() * float64(time.Second))
	e.prefillFreeAt = e.prefillFreeAt.Add(d)
	until := e.prefillFreeAt
	e.unreadTokens += tokens
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.unreadTokens = max(0, e.unreadTokens-tokens)
		e.mu.Unlock()
	}()
	return e.sleep(ctx, time.Until(until))
}

// Unread is how many tokens wait to be read.
func (e *Engine) UnreadTokens() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unreadTokens
}

// share is the share of its capacity that the engine has: a cold one warms up evenly.
func (e *Engine) capacityShare() float64 {
	c := e.fleet.settings.GetCold()
	if e.started.IsZero() || c.GetWarmS() <= 0 {
		return 1
	}
	return min(1, c.GetStartShare()+(1-c.GetStartShare())*time.Since(e.started).Seconds()/c.GetWarmS())
}

// errFull is an engine without a place.
var errFull = errors.New("no slot and no room to wait")

// enter waits for a slot.
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
	for i, w := range e.waiting {
		if w == turn {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.mu.Unlock()
			return context.Canceled
		}
	}
	e.mu.Unlock()
	e.releaseSlot() // its turn came in the same instant
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

// take takes memory; false: there is none.
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

// pushed books work sent to a cold engine, and tells whether that made it fall over: more than the multiple
// of what it can do now, over the window, most of it by routers that knew that it had started.
func (e *Engine) addColdWork(seconds float64, told bool) bool {
	c := e.fleet.settings.GetCold()
	e.mu.Lock()
	share := e.capacityShare()
	if share >= 1 || c.GetFallWindowS() <= 0 {
		e.mu.Unlock()
		return false
	}
	now := time.Now()
	e.recentWork = append(e.recentWork, coldWork{now, seconds, told})
	sum, known := 0.0, 0.0
	kept := e.recentWork[:0]
	for _, p := range e.recentWork {
		if now.Sub(p.at).Seconds() <= c.GetFallWindowS() {
			kept = append(kept, p)
			sum += p.seconds
			if p.knewStart {
				known += p.seconds
			}
		}
	}
	e.recentWork = kept
	falls := sum > c.GetFallMultiple()*share*c.GetFallWindowS()
	if falls {
		e.crashed = true
	}
	e.mu.Unlock()
	if falls {
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_FELL.Enum(),
			Detail: proto.String(fmt.Sprintf("%.2f s of work in %.1f s, %.0f%% by routers told of its start", sum, c.GetFallWindowS(), 100*known/sum)),
			Cold:   proto.Bool(known >= knewStartShare*sum)})
	}
	return falls
}

// hold keeps a read's state.
func (e *Engine) holdState(id, completion string, tokens float64) {
	s := &state{tokens: tokens, completion: completion}
	s.expires = time.AfterFunc(stateLifetime, func() { e.release(id, pb.EngineEvent_STATE_EXPIRED) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[id] = s
	e.record(&pb.EngineEvent{Kind: pb.EngineEvent_STATE_HELD.Enum(), Dispatch: proto.String(id), Completion: proto.String(completion)})
}

// drop ends a state, or a place, and tells whether there was one. What is held and what ends is recorded under the lock
// that guards it: the record's order is the order in which it happened.
func (e *Engine) release(id string, how pb.EngineEvent_Kind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[id]
	place, held := e.reservations[id]
	delete(e.states, id)
	delete(e.reservations, id)
	if s != nil {
		e.usedTokens = max(0, e.usedTokens-s.tokens)
	}
	if held {
		e.usedTokens = max(0, e.usedTokens-place)
	}
	if s != nil {
		s.expires.Stop()
		e.record(&pb.EngineEvent{Kind: how.Enum(), Dispatch: proto.String(id), Completion: proto.String(s.completion)})
	}
	if held {
		kind := pb.EngineEvent_PLACE_RELEASED
		if how == pb.EngineEvent_STATE_TAKEN {
			kind = pb.EngineEvent_PLACE_TAKEN
		}
		e.record(&pb.EngineEvent{Kind: kind.Enum(), Dispatch: proto.String(id), Completion: proto.String(completionID(id))})
	}
	return s != nil || held
}

func (e *Engine) heldState(id string) *state {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[id]
}

// completionOf is the completion of a dispatch's id: all before the last dash.
func completionID(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		return id[:i]
	}
	return id
}

// Address is where it listens, for its whole life.
func (e *Engine) Address() string { return e.address }
