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

// letGo is the limit of what is held.
const letGo = 500 * time.Millisecond

// scripted is how one call goes at the engines.
type scripted struct {
	connects time.Duration  // until it is written, for all of which nothing of it is out
	never    bool           // it is never written
	lost     bool           // it is written and reaches nobody, or an engine that hangs
	takes    time.Duration  // at its engine, up to its end
	dies     time.Duration  // its engine hangs after this time; 0: it does not
	outcome  decide.Outcome // as the router sees it
	leaves   bool           // a read leaves a state at its end
	late     time.Duration  // and that comes so long after the router saw the end
	lingers  time.Duration  // a write that the router ended waits at its engine for so long still, which has not seen that
	streams  time.Duration  // a write begins at its end, and streams for so long
}

// answer is a write's stream, of which nothing is read.
type answer struct{}

func (answer) Next() (engine.Event, error) { return engine.Event{}, io.EOF }
func (answer) HasBufferedEvent() bool      { return false }
func (answer) Usage() (engine.Usage, bool) { return engine.Usage{}, false }
func (answer) Close() *engine.Result       { return &engine.Result{Outcome: decide.Finished} }

// engines follow a script, and keep what is held by the strictest reading of the protocol: a call is out only while it is at an
// engine that runs, and a release lets go of nothing while a write waits for it.
type engines struct {
	mu       sync.Mutex
	reads    []scripted
	writes   []scripted
	deaf     int // releases that fail first
	releases int
	sent     []string // calls by kind
	relays   time.Duration

	held, writing bool
	out           int
	free          time.Time // since when something is held and nothing out
	longest       time.Duration
}

// change makes a change of what is held and out, and books for how long nothing was out while something was held.
func (e *engines) change(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held && e.out == 0 {
		e.longest = max(e.longest, time.Since(e.free))
	}
	before := e.held && e.out == 0
	do()
	if e.held && e.out == 0 && !before {
		e.free = time.Now()
	}
}

func (e *engines) next(script *[]scripted, kind string) scripted {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, kind)
	if len(*script) == 0 {
		return scripted{outcome: decide.Unreachable, never: true}
	}
	one := (*script)[0]
	*script = (*script)[1:]
	return one
}

// wait waits, and tells whether the router did not end the call meanwhile.
func wait(ctx context.Context, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-ctx.Done():
		return false
	}
}

// begin is a call's way to its engine; nil: it goes on there.
func begin(ctx context.Context, one *scripted, call *engine.Call) *engine.Result {
	if !wait(ctx, one.connects) {
		return &engine.Result{Outcome: engine.OutcomeOf(ctx, ctx.Err(), false)}
	}
	if one.never {
		return &engine.Result{Outcome: one.outcome}
	}
	call.Wrote(engine.Sent{})
	return nil
}

// stay is a call's time at its engine, and how the router sees its end.
func (e *engines) stay(ctx context.Context, one *scripted, writes bool) decide.Outcome {
	if !one.lost {
		e.change(func() { e.out++; e.writing = writes })
	}
	runs := !one.lost
	ends := func() {
		if runs {
			e.change(func() { e.out--; e.writing = e.writing && one.lingers > 0 })
			time.AfterFunc(one.lingers, func() { e.change(func() { e.writing = false }) })
		}
		runs = false
	}
	defer ends()
	if one.dies > 0 {
		if !wait(ctx, one.dies) {
			return decide.Cancelled
		}
		ends()
	}
	if !wait(ctx, one.takes-one.dies) {
		return decide.Cancelled
	}
	return one.outcome
}

func (e *engines) Read(ctx context.Context, call *engine.Call) *engine.Result {
	one := e.next(&e.reads, "read")
	if bad := begin(ctx, &one, call); bad != nil {
		return bad
	}
	o := e.stay(ctx, &one, false)
	hold := func() { e.change(func() { e.held = true }) }
	switch {
	case one.leaves && one.late > 0:
		time.AfterFunc(one.late, hold)
	case one.leaves:
		hold()
	}
	return &engine.Result{Outcome: o}
}

func (e *engines) Write(ctx context.Context, _ context.CancelCauseFunc, call *engine.Call, _ time.Duration) (Stream, *engine.Result) {
	one := e.next(&e.writes, "write")
	if bad := begin(ctx, &one, call); bad != nil {
		return nil, bad
	}
	o := e.stay(ctx, &one, true)
	if one.streams == 0 {
		return nil, &engine.Result{Outcome: o}
	}
	e.change(func() { e.held = false })
	e.relays = one.streams
	return answer{}, nil
}

func (e *engines) Release(context.Context, string, string) error {
	fails := false
	e.change(func() {
		e.releases++
		e.deaf--
		if fails = e.deaf >= 0; !fails && !e.writing {
			e.held = false
		}
	})
	if fails {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *engines) Reserve(context.Context, string, string, float64, time.Duration) (bool, error) {
	e.next(new([]scripted), "place")
	return false, nil
}

func (e *engines) Probe(context.Context, string) ([]float64, error) { return nil, nil }

// orders is a planner that answers facts with orders.
type orders struct {
	e  *Edge
	do func(e *Edge, f link.Event)
}

func (o *orders) Offer(f link.Event) bool { o.do(o.e, f); return true }
func (o *orders) Notify(f link.Event)     { o.do(o.e, f) }

// nobody is a client that takes each answer; relays, nil for at once, is how long a stream takes.
type nobody struct {
	answers chan string
	relays  *time.Duration
}

func (n nobody) Relay(context.Context, context.Context, Stream) Answer {
	if n.relays != nil {
		time.Sleep(*n.relays)
	}
	n.answers <- "whole"
	return Finished
}
func (n nobody) RateLimit(float64)       { n.answers <- "limited" }
func (n nobody) Abort(bool)              { n.answers <- "aborted" }
func (n nobody) EngineError(int, []byte) { n.answers <- "fault" }

// plan is a planner that reads, asks for a place, and writes while there is a state, up to so many dispatches; then it gives up.
func plan(most int, ends func(f link.Event)) func(*Edge, link.Event) {
	state := false
	dispatch := func(e *Edge, n int) {
		e.Execute(link.Command{Kind: link.Dispatch, Completion: 7, Dispatch: n, Address: "a", IsRead: !state, Timeout: 5})
		e.Execute(link.Command{Kind: link.Reserve, Completion: 7, Address: "b"})
	}
	return func(e *Edge, f link.Event) {
		switch f.Kind {
		case link.CompletionArrived:
			dispatch(e, 0)
		case link.DispatchEnded:
			ends(f)
			state = f.Outcome == decide.Read || state && f.CachedTokens == 0
			if f.Dispatch+1 < most {
				dispatch(e, f.Dispatch+1)
				return
			}
			e.Execute(link.Command{Kind: link.RateLimit, Completion: 7})
			e.Execute(link.Command{Kind: link.Release, Completion: 7})
		}
	}
}

// TestLease: whatever becomes of a completion's calls, nothing stays held past its limit while none of them is at an engine that runs,
// no place is asked for, and the completion is forgotten.
func TestLease(t *testing.T) {
	const ms = time.Millisecond
	const tail = 17 // releases up to the deadline of four seconds, each behind 0.6 of the limit
	read := scripted{takes: 100 * ms, outcome: decide.Read, leaves: true}
	for name, one := range map[string]struct {
		engines *engines
		most    int // releases
		sent    []string
	}{
		"a state that nobody takes":   {&engines{reads: []scripted{read}}, 1, []string{"read"}},
		"releases that fail at first": {&engines{reads: []scripted{read}, deaf: 4}, 5, []string{"read"}},
		"a write that reaches nobody": {&engines{reads: []scripted{read},
			writes: []scripted{{lost: true, takes: 2 * time.Second, outcome: decide.TimedOut}}}, tail, []string{"read", "write"}},
		"a write that waits at its engine, and ends there": {&engines{reads: []scripted{read},
			writes: []scripted{{takes: 2 * time.Second, outcome: decide.Full}}}, tail, []string{"read", "write"}},
		"a write that waits, until its engine hangs": {&engines{reads: []scripted{read},
			writes: []scripted{{takes: 3 * time.Second, dies: 700 * ms, outcome: decide.TimedOut}}}, tail, []string{"read", "write"}},
		"a write that is ended at the deadline, and waits a moment longer": {&engines{reads: []scripted{{takes: 230 * ms, outcome: decide.Read, leaves: true}},
			writes: []scripted{{takes: 5 * time.Second, outcome: decide.TimedOut, lingers: 5 * ms}}}, tail, []string{"read", "write"}},
		"a write whose engine hangs as it comes": {&engines{reads: []scripted{read},
			writes: []scripted{{takes: 3 * time.Second, dies: 1, outcome: decide.TimedOut}}}, tail, []string{"read", "write"}},
		"a write that is cut off while a release is answered": {&engines{reads: []scripted{read},
			writes: []scripted{{takes: 310 * ms, outcome: decide.Broken}}}, tail, []string{"read", "write"}},
		"writes that do not connect": {&engines{reads: []scripted{read}, writes: []scripted{
			{connects: 200 * ms, never: true, outcome: decide.Unreachable},
			{connects: 5 * time.Second, outcome: decide.Unreachable}}}, 2, []string{"read", "write", "write"}},
		"silent writes that break one after another": {&engines{reads: []scripted{read}, writes: []scripted{
			{lost: true, takes: 125 * ms, outcome: decide.Broken}, {lost: true, takes: 125 * ms, outcome: decide.Broken},
			{lost: true, takes: 125 * ms, outcome: decide.Broken}, {lost: true, takes: 125 * ms, outcome: decide.Broken}}},
			tail, []string{"read", "write", "write", "write", "read"}},
		"a read that broke as it ended": {&engines{reads: []scripted{{takes: 100 * ms, outcome: decide.Broken, leaves: true}}}, tail, []string{"read"}},
		"a read that broke, and ends well behind the release": {&engines{
			reads: []scripted{{takes: 100 * ms, outcome: decide.Broken, leaves: true, late: 20 * ms}}}, tail, []string{"read"}},
		"a read that broke, and ends well much later": {&engines{
			reads: []scripted{{takes: 100 * ms, outcome: decide.Broken, leaves: true, late: 2 * time.Second}}}, tail, []string{"read"}},
		"what a broken read left, while the next one reaches nobody": {&engines{reads: []scripted{
			{takes: 100 * ms, outcome: decide.Broken, leaves: true}, {lost: true, takes: 2 * time.Second, outcome: decide.TimedOut}}}, tail, []string{"read", "read"}},
		"a read that reaches nobody": {&engines{reads: []scripted{{lost: true, takes: 2 * time.Second, outcome: decide.TimedOut}}}, tail, []string{"read"}},
		"a read that was not run":    {&engines{reads: []scripted{{takes: 10 * ms, outcome: decide.Full}}}, 0, []string{"read"}},
		"a read that was never sent": {&engines{reads: []scripted{{never: true, outcome: decide.Unreachable}}}, 0, []string{"read"}},
		"a write that begins": {&engines{reads: []scripted{read},
			writes: []scripted{{takes: 200 * ms, streams: 2 * time.Second}}}, 0, []string{"read", "write"}},
		"a write that begins, behind a read that broke": {&engines{reads: []scripted{{takes: 100 * ms, outcome: decide.Broken}, read},
			writes: []scripted{{takes: 10 * ms, streams: 6 * time.Second}}}, tail, []string{"read", "read", "write"}},
		"a read that runs loses nothing": {&engines{reads: []scripted{{takes: 3 * time.Second, outcome: decide.Read, leaves: true}}}, 1, []string{"read"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := one.engines
				var over atomic.Bool // several may say so at once
				n := takeOne(t, engines, 4*time.Second, plan(len(one.sent), func(link.Event) {}), func() { over.Store(true) })
				time.Sleep(10 * time.Second)
				synctest.Wait()
				engines.change(func() {})
				require.Equal(t, one.sent, engines.sent)
				require.Less(t, engines.longest, letGo)
				require.False(t, engines.held)
				require.LessOrEqual(t, engines.releases, one.most)
				require.Len(t, n.answers, 1)
				require.True(t, over.Load(), "the completion is never forgotten")
			})
		})
	}
}

// takeOne has an edge before the engines take a completion, with a planner that answers facts with orders.
func takeOne(t *testing.T, engines *engines, timeout time.Duration, do func(*Edge, link.Event), over func()) nobody {
	e := New(Options{Engines: engines, ReleaseByCompletion: true, HoldLimit: letGo, Log: slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelDebug})), Observer: quiet{}})
	e.SetPlanner(&orders{e, do})
	n := nobody{make(chan string, 1), &engines.relays}
	_, taken := e.Handle(context.Background(), &Request{ID: 7, ExternalID: "x", ArrivedAt: time.Now(), FirstTokenTimeout: timeout, TotalTimeout: 3 * timeout,
		BuildBody: func(bool, []byte) []byte { return nil }, OnDone: over}, n)
	require.True(t, taken)
	return n
}

// TestReleasedAtTheEnd: what is held for a completion that is over is let go at once, also where the planner has not ordered it, and the
// completion is known until nothing can come to be held any more.
func TestReleasedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &engines{reads: []scripted{{takes: letGo / 10, outcome: decide.Broken, leaves: true}}}
		began := time.Now()
		var over sync.Once // several may say so at once
		var known time.Duration
		takeOne(t, engines, 2*time.Second, func(e *Edge, f link.Event) {
			switch f.Kind {
			case link.CompletionArrived:
				e.Execute(link.Command{Kind: link.Dispatch, Completion: 7, Address: "a", IsRead: true, Timeout: 5})
			case link.DispatchEnded:
				e.Execute(link.Command{Kind: link.RateLimit, Completion: 7})
			}
		}, func() {
			over.Do(func() { known = time.Since(began) })
		})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		engines.change(func() {})
		require.Less(t, engines.longest, letGo/10)
		require.GreaterOrEqual(t, known, 2*time.Second, "the read may end well up to then")
	})
}

// TestPlannerHearsOfTheRelease: a write that is out as its state may have been let go, or that is ended while it connects, tells the
// planner so.
func TestPlannerHearsOfTheRelease(t *testing.T) {
	for name, write := range map[string]scripted{
		"out":        {lost: true, takes: letGo, outcome: decide.TimedOut},
		"connecting": {connects: 5 * time.Second, outcome: decide.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var found []float64
				takeOne(t, &engines{reads: []scripted{{takes: letGo / 10, outcome: decide.Read, leaves: true}}, writes: []scripted{write}}, 4*time.Second,
					plan(2, func(f link.Event) { found = append(found, f.CachedTokens) }), func() {})
				time.Sleep(5 * time.Second)
				synctest.Wait()
				require.Equal(t, []float64{0, 1}, found)
			})
		})
	}
}
