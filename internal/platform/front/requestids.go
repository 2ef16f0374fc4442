package front

import "time"

// ids knows the ids of calls that are open, and for a while of those that were: an id is fresh on every call, so one
// that comes again is none of the usual clients'. It guards against a call that passes for another client's; it
// harms where more than idsMost calls end within idsRest, by knowing fewer.
type ids struct {
	open   map[string]bool
	recent [2]map[string]bool
	at     time.Time // when the younger of recent began
}

const (
	idsRest = 10 * time.Second
	idsMost = 4096
)

func newIDs() *ids {
	return &ids{open: map[string]bool{}, recent: [2]map[string]bool{{}, {}}}
}

// begin takes an id, unless it is known.
func (i *ids) begin(id string) bool {
	if i.open[id] || i.recent[0][id] || i.recent[1][id] {
		return false
	}
	i.open[id] = true
	return true
}

// end gives an id back, which rests for a while.
func (i *ids) end(now time.Time, id string) {
	if !i.open[id] {
		return
	}
	delete(i.open, id)
	if now.Sub(i.at) > idsRest || len(i.recent[0]) >= idsMost {
		i.recent = [2]map[string]bool{{}, i.recent[0]}
		i.at = now
	}
	i.recent[0][id] = true
}
