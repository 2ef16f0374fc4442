package discovery

import "time"

// The bounds of patience.
const (
	minExtraTimeout = 700 * time.Millisecond
	maxExtraTimeout = 2800 * time.Millisecond
	minRetryDelay   = 50 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
)

// patience decides how long a call may take beyond the time that it asks to be held, and how long to pause after one
// that failed. It does no I/O and keeps no clock.
//
// A call that took too long may have met a discovery that is slow, or one that is silent and will never answer it, though
// it may answer the next one at once. So after a failure calls ask for an answer at once, and both are provided for:
// Follower.attempt. A slow discovery is then given more time, and less again once its answers come sooner. Pauses grow and
// are spread, so that routers which failed in one moment do not ask again in one.
type retryPolicy struct {
	extraTimeout, retryDelay time.Duration
	failing                  bool
}

func newRetryPolicy() retryPolicy {
	return retryPolicy{extraTimeout: minExtraTimeout, retryDelay: minRetryDelay}
}

// failed books that there was no answer; it returns the pause. chance is from 0 up to 1.
func (p *retryPolicy) failed(jitter float64) time.Duration {
	p.failing = true
	delay := p.retryDelay
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	return time.Duration(float64(delay) * (0.5 + jitter/2))
}

// answered books an answer that came so long after its hold, below 0 if it came before it was over. That tells how soon
// answers come at best, so patience falls by half at a time.
func (p *retryPolicy) answered(lateness time.Duration) {
	p.failing, p.retryDelay = false, minRetryDelay
	p.extraTimeout = min(max(minExtraTimeout, 2*lateness, p.extraTimeout/2), maxExtraTimeout)
}
