package front

import "time"

// ids knows the ids of calls that are open, and for a while of those that were: an id is fresh on every call, so one
// that comes again is none of the usual clients'. It guards against a call that passes for another client's; it
// harms where more than idsMost calls end within idsRest, by knowing fewer.
type requestIDs struct {
	open      map[string]bool
	recent    [2]map[string]bool
	rotatedAt time.Time // when the younger of recent began
}

const (
	idRetention  = 10 * time.Second
	maxRecentIDs = 4096
)

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]bool{}, recent: [2]map[string]bool{{}, {}}}
}

// begin takes an id, unless it is known.
func (r *requestIDs) begin(id string) bool {
	if r.open[id] || r.recent[0][id] || r.recent[1][id] {
		return false
	}
	r.open[id] = true
	return true
}

// end gives an id back, which rests for a while.
func (r *requestIDs) end(now time.Time, id string) {
	if !r.open[id] {
		return
	}
	delete(r.open, id)
	if now.Sub(r.rotatedAt) > idRetention || len(r.recent[0]) >= maxRecentIDs {
		r.recent = [2]map[string]bool{{}, r.recent[0]}
		r.rotatedAt = now
	}
	r.recent[0][id] = true
}
