package discovery

import "time"

// The bounds of patience.
const (
	patienceLeast = 700 * time.Millisecond
	patienceMost  = 2800 * time.Millisecond
	pauseLeast    = 50 * time.Millisecond
	pauseMost     = 500 * time.Millisecond
)

// patience decides how long a call may take beyond the time that it asks to be held, and how long to pause after one
// that failed. It does no I/O and keeps no clock.
//
// A call that took too long may have met a discovery that is slow, or one that is silent and will never answer it, though
// it may answer the next one at once. So after a failure calls ask for an answer at once, and both are provided for:
// Follower.attempt. A slow discovery is then given more time, and less again once its answers come sooner. Pauses grow and
// are spread, so that routers which failed in one moment do not ask again in one.
type patience struct {
	late, pause time.Duration
	failing     bool
}

func newPatience() patience { return patience{late: patienceLeast, pause: pauseLeast} }

// failed books that there was no answer; it returns the pause. chance is from 0 up to 1.
func (p *patience) failed(chance float64) time.Duration {
	p.failing = true
	pause := p.pause
	p.pause = min(2*p.pause, pauseMost)
	return time.Duration(float64(pause) * (0.5 + chance/2))
}

// answered books an answer that came so long after its hold, below 0 if it came before it was over. That tells how soon
// answers come at best, so patience falls by half at a time.
func (p *patience) answered(late time.Duration) {
	p.failing, p.pause = false, pauseLeast
	p.late = min(max(patienceLeast, 2*late, p.late/2), patienceMost)
}
