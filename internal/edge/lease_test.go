package edge

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// holdLimit is Options.HoldLimit in these tests.
const holdLimit = 500 * time.Millisecond

// callScript defines the course of one call at the engines.
type callScript struct {
	connectTime time.Duration // until the request is sent
	neverSent   bool
	undelivered bool           // sent, but lost on the way or sent to an engine that hangs
	duration    time.Duration  // of the call at its engine
	hangsAfter  time.Duration  // time after which the engine hangs, 0 for never
	outcome     decide.Outcome // as seen by the router
	leavesState bool           // whether a read leaves state when it ends
	stateDelay  time.Duration  // time from the end as seen by the router until the state appears
	lingerTime  time.Duration  // how long a write that the router ended still waits at its engine, which has not noticed the end
	streamTime  time.Duration  // how long a write streams after the call's duration, 0 for no answer
}

// emptyStream is the answer to a write, without events.
type emptyStream struct{}

func (emptyStream) Next() (engine.Event, error) { return engine.Event{}, io.EOF }
func (emptyStream) HasBufferedEvent() bool      { return false }
func (emptyStream) Usage() (engine.Usage, bool) { return engine.Usage{}, false }
func (emptyStream) Close() *engine.Result       { return &engine.Result{Outcome: decide.Finished} }

// scriptedEngines follow a script and track held state by the strictest reading of the protocol: a call counts as running only while it is
// at an engine that works, and a release frees nothing while a write waits for the state.
type scriptedEngines struct {
	mu              sync.Mutex
	reads           []callScript
	writes          []callScript
	failingReleases int // number of releases that fail before one succeeds
	releases        int
	calls           []string // kinds of the calls, in order
	streamTime      time.Duration

	held, writeWaiting bool
	running            int
	idleSince          time.Time // since when state is held and no call is running
	longestIdleHold    time.Duration
}

// update changes the held state and the running calls, and records how long state was held while no call was running.
func (e *scriptedEngines) update(fn func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held && e.running == 0 {
		e.longestIdleHold = max(e.longestIdleHold, time.Since(e.idleSince))
	}
	wasIdle := e.held && e.running == 0
	fn()
	if e.held && e.running == 0 && !wasIdle {
		e.idleSince = time.Now()
	}
}

func (e *scriptedEngines) nextCall(queue *[]callScript, kind string) callScript {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, kind)
	if len(*queue) == 0 {
		return callScript{outcome: decide.Unreachable, neverSent: true}
	}
	script := (*queue)[0]
	*queue = (*queue)[1:]
	return script
}

// sleepContext waits and reports whether the full time passed, that is whether the router did not end the call.
func sleepContext(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// deliver sends a call to its engine. It returns nil if the call continues there.
func deliver(ctx context.Context, script *callScript, call *engine.Call) *engine.Result {
	if !sleepContext(ctx, script.connectTime) {
		return &engine.Result{Outcome: engine.OutcomeOf(ctx, ctx.Err(), false)}
	}
	if script.neverSent {
		return &engine.Result{Outcome: script.outcome}
	}
	call.OnSent(engine.ConnInfo{})
	return nil
}

// execute runs a call at its engine and returns the outcome as seen by the router.
func (e *scriptedEngines) execute(ctx context.Context, script *callScript, isWrite bool) decide.Outcome {
	if !script.undelivered {
		e.update(func() { e.running++; e.writeWaiting = isWrite })
	}
	running := !script.undelivered
	end := func() {
		if running {
			e.update(func() { e.running--; e.writeWaiting = e.writeWaiting && script.lingerTime > 0 })
			time.AfterFunc(script.lingerTime, func() { e.update(func() { e.writeWaiting = false }) })
		}
		running = false
	}
	defer end()
	if script.hangsAfter > 0 {
		if !sleepContext(ctx, script.hangsAfter) {
			return decide.Cancelled
		}
		end()
	}
	if !sleepContext(ctx, script.duration-script.hangsAfter) {
		return decide.Cancelled
	}
	return script.outcome
}

func (e *scriptedEngines) Read(ctx context.Context, call *engine.Call) *engine.Result {
	script := e.nextCall(&e.reads, "read")
	if result := deliver(ctx, &script, call); result != nil {
		return result
	}
	outcome := e.execute(ctx, &script, false)
	storeState := func() { e.update(func() { e.held = true }) }
	switch {
	case script.leavesState && script.stateDelay > 0:
		time.AfterFunc(script.stateDelay, storeState)
	case script.leavesState:
		storeState()
	}
	return &engine.Result{Outcome: outcome}
}

func (e *scriptedEngines) Write(ctx context.Context, _ context.CancelCauseFunc, call *engine.Call, _ time.Duration) (Stream, *engine.Result) {
	script := e.nextCall(&e.writes, "write")
	if result := deliver(ctx, &script, call); result != nil {
		return nil, result
	}
	outcome := e.execute(ctx, &script, true)
	if script.streamTime == 0 {
		return nil, &engine.Result{Outcome: outcome}
	}
	e.update(func() { e.held = false })
	e.streamTime = script.streamTime
	return emptyStream{}, nil
}

func (e *scriptedEngines) Release(context.Context, string, string) error {
	failed := false
	e.update(func() {
		e.releases++
		e.failingReleases--
		if failed = e.failingReleases >= 0; !failed && !e.writeWaiting {
			e.held = false
		}
	})
	if failed {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *scriptedEngines) Reserve(context.Context, string, string, float64, time.Duration) (bool, error) {
	e.nextCall(new([]callScript), "reserve")
	return false, nil
}

func (e *scriptedEngines) Probe(context.Context, string) ([]float64, error) { return nil, nil }

// plannerFromFunc is a planner that answers events with commands.
type plannerFromFunc struct {
	edge    *Edge
	onEvent func(e *Edge, ev link.Event)
}

func (p *plannerFromFunc) Offer(ev link.Event) bool { p.onEvent(p.edge, ev); return true }
func (p *plannerFromFunc) Notify(ev link.Event)     { p.onEvent(p.edge, ev) }

// recordingClient records the kind of its answer. streamTime is how long relaying a stream takes, nil for no time.
type recordingClient struct {
	answers    chan string
	streamTime *time.Duration
}

func (c recordingClient) Relay(context.Context, context.Context, Stream) Answer {
	if c.streamTime != nil {
		time.Sleep(*c.streamTime)
	}
	c.answers <- "finished"
	return Finished
}
func (c recordingClient) RateLimit(float64)       { c.answers <- "rate-limited" }
func (c recordingClient) Abort(bool)              { c.answers <- "aborted" }
func (c recordingClient) EngineError(int, []byte) { c.answers <- "engine error" }

// readThenWrite is a planner that reads, requests a reservation, and writes while there is state. It gives up after maxDispatches.
func readThenWrite(maxDispatches int, onDispatchEnd func(ev link.Event)) func(*Edge, link.Event) {
	hasState := false
	dispatch := func(e *Edge, n int) {
		e.Execute(link.Command{Kind: link.Dispatch, Completion: 7, Dispatch: n, Address: "a", IsRead: !hasState, Timeout: 5})
		e.Execute(link.Command{Kind: link.Reserve, Completion: 7, Address: "b"})
	}
	return func(e *Edge, ev link.Event) {
		switch ev.Kind {
		case link.CompletionArrived:
			dispatch(e, 0)
		case link.DispatchEnded:
			onDispatchEnd(ev)
			hasState = ev.Outcome == decide.Read || hasState && ev.CachedTokens == 0
			if ev.Dispatch+1 < maxDispatches {
				dispatch(e, ev.Dispatch+1)
				return
			}
			e.Execute(link.Command{Kind: link.RateLimit, Completion: 7})
			e.Execute(link.Command{Kind: link.Release, Completion: 7})
		}
	}
}

// TestLease checks that, however the calls of a completion end, no state stays held past the hold limit while no call is at a working
// engine, no reservation is requested, and the completion is removed.
func TestLease(t *testing.T) {
	const ms = time.Millisecond
	const releasesUntilDeadline = 17 // until the deadline of 4 s, one each 0.6 of the hold limit
	successfulRead := callScript{duration: 100 * ms, outcome: decide.Read, leavesState: true}
	for name, tc := range map[string]struct {
		engines     *scriptedEngines
		maxReleases int
		calls       []string
	}{
		"state that is not used":      {&scriptedEngines{reads: []callScript{successfulRead}}, 1, []string{"read"}},
		"releases that fail at first": {&scriptedEngines{reads: []callScript{successfulRead}, failingReleases: 4}, 5, []string{"read"}},
		"a write that is lost": {&scriptedEngines{reads: []callScript{successfulRead},
			writes: []callScript{{undelivered: true, duration: 2 * time.Second, outcome: decide.TimedOut}}}, releasesUntilDeadline, []string{"read", "write"}},
		"a write that waits at its engine and ends there": {&scriptedEngines{reads: []callScript{successfulRead},
			writes: []callScript{{duration: 2 * time.Second, outcome: decide.Full}}}, releasesUntilDeadline, []string{"read", "write"}},
		"a write that waits until its engine hangs": {&scriptedEngines{reads: []callScript{successfulRead},
			writes: []callScript{{duration: 3 * time.Second, hangsAfter: 700 * ms, outcome: decide.TimedOut}}}, releasesUntilDeadline, []string{"read", "write"}},
		"a write that is ended at the deadline and waits slightly longer": {&scriptedEngines{reads: []callScript{{duration: 230 * ms, outcome: decide.Read, leavesState: true}},
			writes: []callScript{{duration: 5 * time.Second, outcome: decide.TimedOut, lingerTime: 5 * ms}}}, releasesUntilDeadline, []string{"read", "write"}},
		"a write whose engine hangs when it arrives": {&scriptedEngines{reads: []callScript{successfulRead},
			writes: []callScript{{duration: 3 * time.Second, hangsAfter: 1, outcome: decide.TimedOut}}}, releasesUntilDeadline, []string{"read", "write"}},
		"a write that breaks while a release is answered": {&scriptedEngines{reads: []callScript{successfulRead},
			writes: []callScript{{duration: 310 * ms, outcome: decide.Broken}}}, releasesUntilDeadline, []string{"read", "write"}},
		"writes that do not connect": {&scriptedEngines{reads: []callScript{successfulRead}, writes: []callScript{
			{connectTime: 200 * ms, neverSent: true, outcome: decide.Unreachable},
			{connectTime: 5 * time.Second, outcome: decide.Unreachable}}}, 2, []string{"read", "write", "write"}},
		"lost writes that break one after another": {&scriptedEngines{reads: []callScript{successfulRead}, writes: []callScript{
			{undelivered: true, duration: 125 * ms, outcome: decide.Broken}, {undelivered: true, duration: 125 * ms, outcome: decide.Broken},
			{undelivered: true, duration: 125 * ms, outcome: decide.Broken}, {undelivered: true, duration: 125 * ms, outcome: decide.Broken}}},
			releasesUntilDeadline, []string{"read", "write", "write", "write", "read"}},
		"a read that broke as it ended": {&scriptedEngines{reads: []callScript{{duration: 100 * ms, outcome: decide.Broken, leavesState: true}}}, releasesUntilDeadline, []string{"read"}},
		"a read that broke and completes just after the release": {&scriptedEngines{
			reads: []callScript{{duration: 100 * ms, outcome: decide.Broken, leavesState: true, stateDelay: 20 * ms}}}, releasesUntilDeadline, []string{"read"}},
		"a read that broke and completes much later": {&scriptedEngines{
			reads: []callScript{{duration: 100 * ms, outcome: decide.Broken, leavesState: true, stateDelay: 2 * time.Second}}}, releasesUntilDeadline, []string{"read"}},
		"state of a broken read while the next read is lost": {&scriptedEngines{reads: []callScript{
			{duration: 100 * ms, outcome: decide.Broken, leavesState: true}, {undelivered: true, duration: 2 * time.Second, outcome: decide.TimedOut}}}, releasesUntilDeadline, []string{"read", "read"}},
		"a read that is lost":        {&scriptedEngines{reads: []callScript{{undelivered: true, duration: 2 * time.Second, outcome: decide.TimedOut}}}, releasesUntilDeadline, []string{"read"}},
		"a read that was not run":    {&scriptedEngines{reads: []callScript{{duration: 10 * ms, outcome: decide.Full}}}, 0, []string{"read"}},
		"a read that was never sent": {&scriptedEngines{reads: []callScript{{neverSent: true, outcome: decide.Unreachable}}}, 0, []string{"read"}},
		"a write that starts": {&scriptedEngines{reads: []callScript{successfulRead},
			writes: []callScript{{duration: 200 * ms, streamTime: 2 * time.Second}}}, 0, []string{"read", "write"}},
		"a write that starts after a read that broke": {&scriptedEngines{reads: []callScript{{duration: 100 * ms, outcome: decide.Broken}, successfulRead},
			writes: []callScript{{duration: 10 * ms, streamTime: 6 * time.Second}}}, releasesUntilDeadline, []string{"read", "read", "write"}},
		"a running read keeps its state": {&scriptedEngines{reads: []callScript{{duration: 3 * time.Second, outcome: decide.Read, leavesState: true}}}, 1, []string{"read"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := tc.engines
				var closed atomic.Bool // OnDone may be called concurrently
				client := handleOne(t, engines, 4*time.Second, readThenWrite(len(tc.calls), func(link.Event) {}), func() { closed.Store(true) })
				time.Sleep(10 * time.Second)
				synctest.Wait()
				engines.update(func() {})
				require.Equal(t, tc.calls, engines.calls)
				require.Less(t, engines.longestIdleHold, holdLimit)
				require.False(t, engines.held)
				require.LessOrEqual(t, engines.releases, tc.maxReleases)
				require.Len(t, client.answers, 1)
				require.True(t, closed.Load(), "the completion is never removed")
			})
		})
	}
}

// handleOne runs one completion through an edge with these engines, and a planner that answers events with commands.
func handleOne(t *testing.T, engines *scriptedEngines, timeout time.Duration, onEvent func(*Edge, link.Event), onDone func()) recordingClient {
	e := New(Options{Engines: engines, ReleaseByCompletion: true, HoldLimit: holdLimit, Log: slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelDebug})), Observer: noopObserver{}})
	e.SetPlanner(&plannerFromFunc{e, onEvent})
	client := recordingClient{make(chan string, 1), &engines.streamTime}
	_, accepted := e.Handle(context.Background(), &Request{ID: 7, ExternalID: "x", ArrivedAt: time.Now(), FirstTokenTimeout: timeout, TotalTimeout: 3 * timeout,
		BuildBody: func(bool, []byte) []byte { return nil }, OnDone: onDone}, client)
	require.True(t, accepted)
	return client
}

// TestReleaseWhenCompletionEnds checks that state is released as soon as its completion has ended, even without a command of the planner,
// and that the completion is kept until no further state can appear.
func TestReleaseWhenCompletionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{reads: []callScript{{duration: holdLimit / 10, outcome: decide.Broken, leavesState: true}}}
		start := time.Now()
		var once sync.Once // OnDone may be called concurrently
		var closedAfter time.Duration
		handleOne(t, engines, 2*time.Second, func(e *Edge, ev link.Event) {
			switch ev.Kind {
			case link.CompletionArrived:
				e.Execute(link.Command{Kind: link.Dispatch, Completion: 7, Address: "a", IsRead: true, Timeout: 5})
			case link.DispatchEnded:
				e.Execute(link.Command{Kind: link.RateLimit, Completion: 7})
			}
		}, func() {
			once.Do(func() { closedAfter = time.Since(start) })
		})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		engines.update(func() {})
		require.Less(t, engines.longestIdleHold, holdLimit/10)
		require.GreaterOrEqual(t, closedAfter, 2*time.Second, "the read may still complete until then")
	})
}

// TestPlannerLearnsOfRelease checks that the planner is notified that the state may be lost, when a write was running during a release or was
// cancelled by it while connecting.
func TestPlannerLearnsOfRelease(t *testing.T) {
	for name, write := range map[string]callScript{
		"running":    {undelivered: true, duration: holdLimit, outcome: decide.TimedOut},
		"connecting": {connectTime: 5 * time.Second, outcome: decide.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cachedTokens []float64
				handleOne(t, &scriptedEngines{reads: []callScript{{duration: holdLimit / 10, outcome: decide.Read, leavesState: true}}, writes: []callScript{write}}, 4*time.Second,
					readThenWrite(2, func(ev link.Event) { cachedTokens = append(cachedTokens, ev.CachedTokens) }), func() {})
				time.Sleep(5 * time.Second)
				synctest.Wait()
				require.Equal(t, []float64{0, 1}, cachedTokens)
			})
		})
	}
}
