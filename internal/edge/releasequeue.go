package edge

import (
	"context"
	"sync"
	"time"
)

// Bounds on releases. A failed release is retried for up to maxReleaseDuration. An attempt takes at most a third of the hold limit. The
// first retry follows quickly, because little of the hold limit is left; the delay then doubles up to a third of the hold limit. So an
// engine that was unreachable, down or hung gets the release within the hold limit once it responds again. An engine that needs longer to
// answer receives repeated releases that find nothing to free.
const (
	maxReleaseDuration       = time.Minute
	maxPendingReleases       = 4096
	maxActiveReleaseAttempts = 128 // each takes a connection
	initialReleaseRetryDelay = 10 * time.Millisecond
	attemptsPerHoldLimit     = 3
)

// releaseQueue runs attempts at releases, at most maxActiveReleaseAttempts at a time; further ones wait in order.
type releaseQueue struct {
	mu      sync.Mutex
	active  int
	waiting []*pendingRelease
}

// submit has an attempt made as soon as one more may run.
func (q *releaseQueue) submit(r *pendingRelease) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.active >= maxActiveReleaseAttempts {
		q.waiting = append(q.waiting, r)
		return
	}
	q.active++
	go q.run(r)
}

// run makes an attempt, and then those that wait.
func (q *releaseQueue) run(r *pendingRelease) {
	for r != nil {
		r.attempt()
		r = q.next()
	}
}

// next takes the attempt that has waited longest, or returns nil if none waits.
func (q *releaseQueue) next() *pendingRelease {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.active--
		return nil
	}
	r := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return r
}

// pendingRelease is a release until it is answered or given up.
type pendingRelease struct {
	edge       *Edge
	resource   *heldResource
	reason     string
	wanted     func() bool
	onDone     func(sent time.Time, answered bool)
	startedAt  time.Time
	sentAt     time.Time // start of the last attempt
	retryDelay time.Duration
}

// attempt sends the release once. If it fails, the next attempt follows after a delay.
func (r *pendingRelease) attempt() {
	if !r.wanted() {
		r.end(false)
		return
	}
	e := r.edge
	maxDuration := e.options.HoldLimit / attemptsPerHoldLimit
	r.sentAt = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	err := e.options.Engines.Release(ctx, r.resource.address, r.resource.id)
	cancel()
	elapsed := time.Since(r.startedAt)
	if e.debugEnabled() {
		e.options.Log.Debug("released", "id", r.resource.id, "engine", r.resource.address, "reason", r.reason, "seconds", elapsed.Seconds(), "err", err)
	}
	switch {
	case err == nil:
		r.end(true)
	case elapsed > maxReleaseDuration || e.callsCtx.Err() != nil && elapsed > finalStopTimeout/2:
		e.options.Log.Warn("state not released", "engine", r.resource.address, "id", r.resource.id, "err", err)
		r.end(false)
	default:
		delay := r.retryDelay
		r.retryDelay = min(2*delay, maxDuration)
		time.AfterFunc(delay, func() { e.releaseQueue.submit(r) })
	}
}

// end reports how the release ended.
func (r *pendingRelease) end(answered bool) {
	r.onDone(r.sentAt, answered)
	r.edge.activeReleases.Add(-1)
	r.edge.activeCalls.Add(-1)
}
