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

// lateEngine ends a read, and grants a place, a moment after the call for it was cut off: what it holds then came behind the
// release, which found nothing.
type lateEngine struct {
	mu   sync.Mutex
	held map[string]time.Time // since when, by id
	most time.Duration        // that anything was held
}

const lateBy = 20 * time.Millisecond

func (l *lateEngine) holdsLate(id string) {
	time.AfterFunc(lateBy, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held[id] = time.Now()
	})
}

func (l *lateEngine) Read(ctx context.Context, call *engine.Call) *engine.Result {
	call.Wrote(engine.Sent{Since: time.Now()})
	<-ctx.Done()
	l.holdsLate(call.ID)
	return &engine.Result{Outcome: decide.TimedOut}
}

func (l *lateEngine) Write(context.Context, context.CancelCauseFunc, *engine.Call, time.Duration) (Stream, *engine.Result) {
	return nil, &engine.Result{Outcome: decide.Unreachable}
}

func (l *lateEngine) Reserve(ctx context.Context, _, id string, _ float64, _ time.Duration) (bool, error) {
	<-ctx.Done()
	l.holdsLate(id)
	return false, ctx.Err()
}

func (l *lateEngine) Release(_ context.Context, _, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since, holds := l.held[id]; holds {
		l.most = max(l.most, time.Since(since))
		delete(l.held, id)
	}
	return nil // also where nothing was held
}

func (l *lateEngine) Probe(context.Context, string) ([]float64, error) { return nil, nil }

// TestReleaseBehindACutCall: what a read or a call for a place leaves that ends well right behind the release after its cut is let
// go in time.
func TestReleaseBehindACutCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &lateEngine{held: map[string]time.Time{}}
		e := New(Options{Engines: engines, HoldLimit: letGo, Log: slog.New(slog.DiscardHandler), Observer: quiet{}})
		e.SetPlanner(&orders{e, func(e *Edge, f link.Event) {
			switch f.Kind {
			case link.CompletionArrived:
				e.Execute(link.Command{Kind: link.Dispatch, Completion: 7, Address: "a", IsRead: true, Timeout: 0.1})
				e.Execute(link.Command{Kind: link.Reserve, Completion: 7, Address: "b"})
			case link.DispatchEnded:
				e.Execute(link.Command{Kind: link.RateLimit, Completion: 7})
			}
		}})
		_, taken := e.Handle(t.Context(), &Request{ID: 7, ExternalID: "x", ArrivedAt: time.Now(), FirstTokenTimeout: 2 * time.Second, TotalTimeout: time.Second,
			BuildBody: func(bool, []byte) []byte { return nil }, OnDone: func() {}}, nobody{answers: make(chan string, 1)})
		require.True(t, taken)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		require.Empty(t, engines.held)
		require.Positive(t, engines.most)
		require.Less(t, engines.most, letGo)
	})
}
