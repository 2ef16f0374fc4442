package edge

import (
	"context"
	"fmt"
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

// endlessReads are engines whose reads never end, and whose releases take a while.
type endlessReads struct {
	Engines
	releaseTime time.Duration

	mu                 sync.Mutex
	lastRelease        map[string]time.Time // start of the last release that was answered, by id
	releases           int
	active, mostActive int
}

func (e *endlessReads) Read(ctx context.Context, call *engine.Call) *engine.Result {
	call.OnSent(engine.ConnInfo{})
	<-ctx.Done()
	return &engine.Result{Outcome: decide.Cancelled}
}

func (e *endlessReads) Release(ctx context.Context, _, id string) error {
	start := time.Now()
	e.mu.Lock()
	e.releases++
	e.active++
	e.mostActive = max(e.mostActive, e.active)
	e.mu.Unlock()
	inTime := sleepContext(ctx, e.releaseTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if !inTime {
		return ctx.Err()
	}
	e.lastRelease[id] = start
	return nil
}

func (e *endlessReads) releaseCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.releases
}

// TestClientsThatLeaveInNumbers guards against a router that runs out of memory and time for clients that have gone: each read that
// was cut off kept its completion up to the client's deadline, and sent a release for it again and again.
func TestClientsThatLeaveInNumbers(t *testing.T) {
	const (
		clients              = 2000
		stay                 = 80 * time.Millisecond
		deadline             = 7500 * time.Millisecond
		closeNoticeDelay     = 400 * time.Millisecond // an engine may not have noticed the end of a call for so long
		maxKept              = 128
		maxConcurrent        = 128
		maxReleasesPerSecond = 4 * maxKept // each once in 0.3 s
	)
	for name, releaseTime := range map[string]time.Duration{"fast releases": time.Millisecond, "slow releases": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &endlessReads{releaseTime: releaseTime, lastRelease: map[string]time.Time{}}
				e := New(Options{Engines: engines, ReleaseByCompletion: true, HoldLimit: holdLimit, Log: slog.New(slog.DiscardHandler), Observer: noopObserver{}})
				e.SetPlanner(&plannerFromFunc{e, func(e *Edge, ev link.Event) {
					if ev.Kind == link.CompletionArrived {
						e.Execute(link.Command{Kind: link.Dispatch, Completion: ev.Completion, Address: "a", IsRead: true, Timeout: deadline.Seconds()})
					}
				}})
				var kept atomic.Int64
				kept.Store(clients)
				ctx, leave := context.WithTimeout(t.Context(), stay)
				defer leave()
				left := time.Now().Add(stay)
				for id := range uint64(clients) {
					r := &Request{ID: id, ExternalID: fmt.Sprint(id), ArrivedAt: time.Now(), FirstTokenTimeout: deadline, TotalTimeout: time.Minute,
						BuildBody: func(bool, []byte) []byte { return nil }, OnDone: sync.OnceFunc(func() { kept.Add(-1) })}
					go e.Handle(ctx, r, recordingClient{})
				}
				time.Sleep(6 * time.Second)
				synctest.Wait()
				require.LessOrEqual(t, kept.Load(), int64(maxKept), "completions kept")
				before := engines.releaseCount()
				time.Sleep(time.Second)
				require.LessOrEqual(t, engines.releaseCount()-before, maxReleasesPerSecond, "releases in a second")
				time.Sleep(2 * time.Second)
				synctest.Wait()
				require.LessOrEqual(t, engines.mostActive, maxConcurrent, "releases at the same time")
				require.Zero(t, kept.Load(), "completions kept past the deadline")
				require.Len(t, engines.lastRelease, clients)
				for id, sent := range engines.lastRelease {
					require.GreaterOrEqual(t, sent.Sub(left), closeNoticeDelay, "the last release of completion %s came before its read had surely been ended", id)
				}
			})
		})
	}
}
