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
	fleet *Fleet
	set   *pb.EngineSet
	name  string
	cell  string

	address string
	server  *http.Server

	mu       sync.Mutex
	up       bool
	draining bool
	fallen   bool
	started  time.Time // zero for long ago: warm
	life     context.Context
	die      context.CancelFunc
	laneFree time.Time // when the reading lane has done what it has
	unread   float64   // tokens that wait to be read
	running  int       // slots in use
	waiting  []chan struct{}
	used     float64 // tokens of memory held
	kept     map[uint64]*list.Element
	order    *list.List // of kept blocks, latest first
	states   map[string]*state
	places   map[string]float64
	pushes   []push
	ills     ills
	changed  chan struct{} // closed when it hears again
}

// ills are the troubles in force.
type ills struct {
	fails      float64 // share that fails at once
	slower     float64 // times
	silent     bool
	paused     bool
	breaks     float64 // share of answers that break
	loses      float64 // share of answers that never come
	failsModel int     // index of a workload that fails, -1 for none
}

type state struct {
	tokens  float64
	expires *time.Timer
	name    string
}

type push struct {
	at   time.Time
	work float64
	told bool
}

const (
	blockBytes   = 256 // of a prompt's text, one kept block
	blockTokens  = blockBytes / 4
	stateExpires = 30 * time.Second // the engine's own clock, far past any router's limit
	toldShare    = 2.0 / 3          // of a push that must come from routers that knew of the start
)

func newEngine(f *Fleet, s *pb.EngineSet, name, cell string) *Engine {
	return &Engine{fleet: f, set: s, name: name, cell: cell, kept: map[uint64]*list.Element{}, order: list.New(),
		states: map[string]*state{}, places: map[string]float64{}, ills: ills{slower: 1, failsModel: -1}, changed: make(chan struct{})}
}

func (e *Engine) listen(address string) error {
	ln, err := e.fleet.listen(address)
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("DELETE /v1/kv_states/{id}", e.serveRelease)
	mux.HandleFunc("POST /v1/kv_places", e.servePlace)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Second}
	e.mu.Lock()
	if e.address == "" { // it keeps its address for life, and others read it
		e.address = ln.Addr().String()
	}
	e.server, e.up = server, true
	e.life, e.die = context.WithCancel(context.Background())
	cold := !e.started.IsZero()
	e.mu.Unlock()
	e.note(&pb.EngineEvent{Kind: pb.EngineEvent_UP.Enum(), Cold: proto.Bool(cold)})
	go server.Serve(ln) //nolint:errcheck // ends with hangUp
	return nil
}

func (e *Engine) note(ev *pb.EngineEvent) {
	ev.Engine = proto.String(e.name)
	e.fleet.write(&pb.Entry{What: &pb.Entry_Engine{Engine: ev}})
}

func (e *Engine) startedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// hangUp closes the listener and all connections. What it holds stays.
func (e *Engine) hangUp() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	server, die := e.server, e.die
	e.mu.Unlock()
	e.note(&pb.EngineEvent{Kind: pb.EngineEvent_DOWN.Enum()})
	server.Close() //nolint:errcheck // nothing is to be saved
	die()
}

// Unreachable makes it refuse connections and drop those it has, or take them again.
func (e *Engine) Unreachable(so bool) error {
	if so {
		e.hangUp()
		return nil
	}
	e.mu.Lock()
	stays := e.up || e.fallen
	e.mu.Unlock()
	if stays {
		return nil
	}
	return e.listen(e.address)
}

// Die kills it outright; the list tells late.
func (e *Engine) Die() {
	e.hangUp()
	e.forget()
	e.fleet.List.publish(e, "gone")
}

// Return brings it back cold. One that fell over stays down.
func (e *Engine) Return() error {
	e.mu.Lock()
	stays := e.up || e.fallen
	if !stays {
		e.started, e.draining, e.pushes = time.Now(), false, nil
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
func (e *Engine) forget() {
	e.mu.Lock()
	lost, places := e.states, e.places
	e.states, e.places, e.used = map[string]*state{}, map[string]float64{}, 0
	e.kept, e.laneFree, e.unread = map[uint64]*list.Element{}, time.Time{}, 0
	e.order.Init()
	e.mu.Unlock()
	for id, s := range lost {
		s.expires.Stop()
		e.note(&pb.EngineEvent{Kind: pb.EngineEvent_STATE_LOST.Enum(), Dispatch: proto.String(id), Completion: proto.String(s.name)})
	}
	for id := range places {
		e.note(&pb.EngineEvent{Kind: pb.EngineEvent_PLACE_RELEASED.Enum(), Dispatch: proto.String(id), Completion: proto.String(completionOf(id)), Detail: proto.String("lost")})
	}
}

// Flush drops a share of the kept text.
func (e *Engine) Flush(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := int(share * float64(e.order.Len()))
	for range n {
		last := e.order.Back()
		delete(e.kept, last.Value.(uint64))
		e.order.Remove(last)
	}
}

// change changes the troubles in force.
func (e *Engine) change(f func(*ills)) {
	e.mu.Lock()
	was := e.ills.silent || e.ills.paused
	f(&e.ills)
	is := e.ills.silent || e.ills.paused
	if was && !is {
		close(e.changed)
		e.changed = make(chan struct{})
	}
	e.mu.Unlock()
	if was != is {
		kind := pb.EngineEvent_HEARS
		if is {
			kind = pb.EngineEvent_DEAF
		}
		e.note(&pb.EngineEvent{Kind: kind.Enum()})
	}
}

// Fails makes a share of completions fail at once.
func (e *Engine) Fails(share float64) { e.change(func(i *ills) { i.fails = share }) }

// Slow makes all its work so many times longer; 1 is as usual.
func (e *Engine) Slow(times float64) { e.change(func(i *ills) { i.slower = times }) }

// Silent makes it take what comes and answer nothing; what it took meanwhile is never answered.
func (e *Engine) Silent(so bool) { e.change(func(i *ills) { i.silent = so }) }

// Paused makes it stand still, and go on.
func (e *Engine) Paused(so bool) { e.change(func(i *ills) { i.paused = so }) }

// Breaks makes a share of answers break in the middle.
func (e *Engine) Breaks(share float64) { e.change(func(i *ills) { i.breaks = share }) }

// Loses makes a share of answers never come; the work is done, probes are answered.
func (e *Engine) Loses(share float64) { e.change(func(i *ills) { i.loses = share }) }

// FailsWorkload makes one workload fail, by its name; none for "".
func (e *Engine) FailsWorkload(name string) {
	index := -1
	if w, known := e.fleet.workloads[name]; known {
		index = w.index
	}
	e.change(func(i *ills) { i.failsModel = index })
}

// hear waits until the engine hears the peer. False: the peer has gone, or it never will.
func (e *Engine) hear(ctx context.Context, peer place) bool {
	for {
		e.mu.Lock()
		silent, deaf, changed, life := e.ills.silent, e.ills.paused, e.changed, e.life
		e.mu.Unlock()
		if silent {
			select {
			case <-ctx.Done():
			case <-life.Done():
			}
			return false
		}
		cut := peer.zone != "" && !e.fleet.passes(peer.zone, e.set.GetZone())
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
func (e *Engine) alive() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
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
	case <-e.alive().Done():
		return errDown
	}
}

// blocks are the hashes of a prompt's blocks, each over all that comes before it.
func blocks(prompt string) []uint64 {
	h, all := xxhash.New(), []uint64(nil)
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		h.WriteString(prompt[at : at+blockBytes]) //nolint:errcheck // never fails
		all = append(all, h.Sum64())
	}
	return all
}

// cached is how many of a prompt's tokens are kept; they count as used now.
func (e *Engine) cached(b []uint64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, hash := range b {
		at, kept := e.kept[hash]
		if !kept {
			break
		}
		e.order.MoveToFront(at)
		n++
	}
	return float64(n * blockTokens)
}

// keep keeps a prompt's blocks, pushing out the oldest for which memory has no room.
func (e *Engine) keep(b []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, hash := range b {
		if at, kept := e.kept[hash]; kept {
			e.order.MoveToFront(at)
		} else {
			e.kept[hash] = e.order.PushFront(hash)
		}
	}
	room := max(e.set.GetMemoryTokens()*0.1, e.set.GetMemoryTokens()-e.used)
	for float64(e.order.Len()*blockTokens) > room {
		last := e.order.Back()
		delete(e.kept, last.Value.(uint64))
		e.order.Remove(last)
	}
}

// read reads so many tokens in the engine's one lane, after what is before them.
func (e *Engine) read(ctx context.Context, tokens float64) error {
	e.mu.Lock()
	now := time.Now()
	if e.laneFree.Before(now) {
		e.laneFree = now
	}
	d := time.Duration(tokens / e.set.GetReadTokensPerS() * e.ills.slower / e.share() * float64(time.Second))
	e.laneFree = e.laneFree.Add(d)
	until := e.laneFree
	e.unread += tokens
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.unread = max(0, e.unread-tokens)
		e.mu.Unlock()
	}()
	return e.sleep(ctx, time.Until(until))
}

// Unread is how many tokens wait to be read.
func (e *Engine) Unread() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unread
}

// share is the share of its capacity that the engine has: a cold one warms up evenly.
func (e *Engine) share() float64 {
	c := e.fleet.settings.GetCold()
	if e.started.IsZero() || c.GetWarmS() <= 0 {
		return 1
	}
	return min(1, c.GetStartShare()+(1-c.GetStartShare())*time.Since(e.started).Seconds()/c.GetWarmS())
}

// errFull is an engine without a place.
var errFull = errors.New("no slot and no room to wait")

// enter waits for a slot.
func (e *Engine) enter(ctx context.Context) error {
	e.mu.Lock()
	if e.running < int(e.set.GetSlots()) {
		e.running++
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= int(e.set.GetQueue()) {
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
	case <-e.alive().Done():
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
	e.leave() // its turn came in the same instant
	return context.Canceled
}

func (e *Engine) leave() {
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
func (e *Engine) take(tokens float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used+tokens > e.set.GetMemoryTokens() {
		return false
	}
	e.used += tokens
	return true
}

func (e *Engine) giveBack(tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.used = max(0, e.used-tokens)
}

// pushed books work sent to a cold engine, and tells whether that made it fall over: more than the multiple
// of what it can do now, over the window, most of it by routers that knew that it had started.
func (e *Engine) pushed(seconds float64, told bool) bool {
	c := e.fleet.settings.GetCold()
	e.mu.Lock()
	share := e.share()
	if share >= 1 || c.GetFallWindowS() <= 0 {
		e.mu.Unlock()
		return false
	}
	now := time.Now()
	e.pushes = append(e.pushes, push{now, seconds, told})
	sum, known := 0.0, 0.0
	kept := e.pushes[:0]
	for _, p := range e.pushes {
		if now.Sub(p.at).Seconds() <= c.GetFallWindowS() {
			kept = append(kept, p)
			sum += p.work
			if p.told {
				known += p.work
			}
		}
	}
	e.pushes = kept
	falls := sum > c.GetFallMultiple()*share*c.GetFallWindowS()
	if falls {
		e.fallen = true
	}
	e.mu.Unlock()
	if falls {
		e.note(&pb.EngineEvent{Kind: pb.EngineEvent_FELL.Enum(),
			Detail: proto.String(fmt.Sprintf("%.2f s of work in %.1f s, %.0f%% by routers told of its start", sum, c.GetFallWindowS(), 100*known/sum)),
			Cold:   proto.Bool(known >= toldShare*sum)})
	}
	return falls
}

// hold keeps a read's state.
func (e *Engine) hold(id, completion string, tokens float64) {
	s := &state{tokens: tokens, name: completion}
	s.expires = time.AfterFunc(stateExpires, func() { e.drop(id, pb.EngineEvent_STATE_EXPIRED) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[id] = s
	e.note(&pb.EngineEvent{Kind: pb.EngineEvent_STATE_HELD.Enum(), Dispatch: proto.String(id), Completion: proto.String(completion)})
}

// drop ends a state, or a place, and tells whether there was one. What is held and what ends is recorded under the lock
// that guards it: the record's order is the order in which it happened.
func (e *Engine) drop(id string, how pb.EngineEvent_Kind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[id]
	place, held := e.places[id]
	delete(e.states, id)
	delete(e.places, id)
	if s != nil {
		e.used = max(0, e.used-s.tokens)
	}
	if held {
		e.used = max(0, e.used-place)
	}
	if s != nil {
		s.expires.Stop()
		e.note(&pb.EngineEvent{Kind: how.Enum(), Dispatch: proto.String(id), Completion: proto.String(s.name)})
	}
	if held {
		kind := pb.EngineEvent_PLACE_RELEASED
		if how == pb.EngineEvent_STATE_TAKEN {
			kind = pb.EngineEvent_PLACE_TAKEN
		}
		e.note(&pb.EngineEvent{Kind: kind.Enum(), Dispatch: proto.String(id), Completion: proto.String(completionOf(id))})
	}
	return s != nil || held
}

func (e *Engine) stateOf(id string) *state {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[id]
}

// completionOf is the completion of a dispatch's id: all before the last dash.
func completionOf(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		return id[:i]
	}
	return id
}

// Address is where it listens, for its whole life.
func (e *Engine) Address() string { return e.address }
