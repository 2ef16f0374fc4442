package edge

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// lateStateEngine completes a read or a reservation shortly after the call for it was cancelled. The state therefore appears after the
// first release, which finds nothing.
type lateStateEngine struct {
	mu          sync.Mutex
	held        map[string]time.Time // start of the hold, by id
	longestHold time.Duration
}

const lateStateDelay = 20 * time.Millisecond

func (l *lateStateEngine) storeLater(id string) {
	time.AfterFunc(lateStateDelay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held[id] = time.Now()
	})
}

func (l *lateStateEngine) Read(ctx context.Context, call *engine.Call) *engine.Result {
	call.OnSent(engine.ConnInfo{LastActive: time.Now()})
	<-ctx.Done()
	l.storeLater(call.ID)
	return &engine.Result{Outcome: decide.TimedOut}
}

func (l *lateStateEngine) Write(context.Context, context.CancelCauseFunc, *engine.Call, time.Duration) (Stream, *engine.Result) {
	return nil, &engine.Result{Outcome: decide.Unreachable}
}

func (l *lateStateEngine) Reserve(ctx context.Context, _, id string, _ float64, _ time.Duration) (bool, error) {
	<-ctx.Done()
	l.storeLater(id)
	return false, ctx.Err()
}

func (l *lateStateEngine) Release(_ context.Context, _, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since, held := l.held[id]; held {
		l.longestHold = max(l.longestHold, time.Since(since))
		delete(l.held, id)
	}
	return nil // even if nothing was held
}

func (l *lateStateEngine) Probe(context.Context, string) ([]float64, error) { return nil, nil }

// TestReleaseOfLateState guards against state that is held past the limit because a cancelled read or reservation completed at its engine
// just after the release.
func TestReleaseOfLateState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &lateStateEngine{held: map[string]time.Time{}}
		e := New(Options{Engines: engines, HoldLimit: holdLimit, Log: slog.New(slog.DiscardHandler), Observer: noopObserver{}})
		e.SetPlanner(&plannerFromFunc{e, func(e *Edge, ev link.Event) {
			switch ev.Kind {
			case link.CompletionArrived:
				e.Execute(link.Command{Kind: link.Dispatch, Completion: 7, Address: "a", IsRead: true, Timeout: 0.1})
				e.Execute(link.Command{Kind: link.Reserve, Completion: 7, Address: "b"})
			case link.DispatchEnded:
				e.Execute(link.Command{Kind: link.RateLimit, Completion: 7})
			}
		}})
		_, accepted := e.Handle(t.Context(), &Request{ID: 7, ExternalID: "x", ArrivedAt: time.Now(), FirstTokenTimeout: 2 * time.Second, TotalTimeout: time.Second,
			BuildBody: func(bool, []byte) []byte { return nil }, OnDone: func() {}}, recordingClient{answers: make(chan string, 1)})
		require.True(t, accepted)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		require.Empty(t, engines.held)
		require.Positive(t, engines.longestHold)
		require.Less(t, engines.longestHold, holdLimit)
	})
}
