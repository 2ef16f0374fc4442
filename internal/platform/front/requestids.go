package front

import "time"

// requestIDs remembers the ids of open requests and, for a while, of finished ones. Clients use a new id for every
// request, so a repeated id is refused: this guards against a request that passes for another client's. Finished ids
// are kept in two generations; if more than maxRecentIDs requests end within idRetention, older ids are forgotten
// sooner.
type requestIDs struct {
	open      map[string]bool
	recent    [2]map[string]bool
	rotatedAt time.Time // start of the newer generation, recent[0]
}

const (
	idRetention  = 10 * time.Second
	maxRecentIDs = 4096
)

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]bool{}, recent: [2]map[string]bool{{}, {}}}
}

// begin records an open request. It returns false if the id is open or was used recently.
func (r *requestIDs) begin(id string) bool {
	if r.open[id] || r.recent[0][id] || r.recent[1][id] {
		return false
	}
	r.open[id] = true
	return true
}

// end records that a request is finished; its id stays refused for a while.
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
