package discovery

import "time"

// Limits of the retry policy.
const (
	minExtraTimeout = 700 * time.Millisecond
	maxExtraTimeout = 2800 * time.Millisecond
	minRetryDelay   = 50 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
)

// retryPolicy decides how long a request may take beyond the requested hold, and how long to wait after one that
// failed. It does no I/O and reads no clock.
//
// A request that timed out may have met a slow discovery, or one that will never answer it but might answer the next one
// at once. So a request after a failure sets a hold of 0, and Follower.fetch covers both cases. The timeout grows with a
// slow discovery and shrinks again once answers come sooner. Delays grow and are jittered, so that routers whose requests
// failed at the same moment do not retry at the same moment.
type retryPolicy struct {
	extraTimeout, retryDelay time.Duration
	failing                  bool
}

func newRetryPolicy() retryPolicy {
	return retryPolicy{extraTimeout: minExtraTimeout, retryDelay: minRetryDelay}
}

// failed records a failed request and returns the delay before the next one. jitter is in [0, 1).
func (p *retryPolicy) failed(jitter float64) time.Duration {
	p.failing = true
	delay := p.retryDelay
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	return time.Duration(float64(delay) * (0.5 + jitter/2))
}

// answered records an answer and its lateness after the end of the hold, negative if it came earlier. A single early
// answer shows only the best case, so the timeout shrinks by at most half at a time.
func (p *retryPolicy) answered(lateness time.Duration) {
	p.failing, p.retryDelay = false, minRetryDelay
	p.extraTimeout = min(max(minExtraTimeout, 2*lateness, p.extraTimeout/2), maxExtraTimeout)
}
