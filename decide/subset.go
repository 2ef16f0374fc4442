package decide

import "math"

// Subsetting: a router works with a part of a large fleet, so that neither a request's cost nor the connections that it
// keeps grow with the fleet. In a fleet of up to subsetMost engines the part is all of them.
//
// The part is whole cells, as a state moves best within its cell, drawn by lot for each router, so that all routers
// together cover the fleet evenly. Most of it is in the router's own zone. It guards against work for each request that
// grows with the fleet; it harms sessions whose turns come to different routers, whose text the next one reads anew.
const (
	subsetMost    = 256.0   // engines
	subsetOwnZone = 2.0 / 3 // share of them in the router's own zone
	subsetStep    = 1.25    // the part changes when the fleet's size has changed by so much
)

// drawSubset draws the engines that requests may go to, and finds how many routers share them.
func (r *Router) drawSubset() {
	var ready [2]float64 // elsewhere, in the router's own zone
	for _, e := range r.engines {
		if e.phase == Ready {
			ready[int(part(e.zone == r.zone))]++
		}
	}
	r.others = math.Max(0, r.routers-1)
	if r.subset = r.engines; ready[0]+ready[1] <= subsetMost {
		return
	}
	wanted := subsetShares(ready)
	subset := make([]*engine, 0, int(2*subsetMost))
	var have [3]float64 // by role
	for _, e := range r.engines {
		if e.phase == Ready && draw(r.nonce, uint64(e.cell)) < wanted[int(part(e.zone == r.zone))] {
			subset = append(subset, e)
			have[e.role]++
		}
	}
	if have[Mixed] == 0 && (have[Reader] == 0 || have[Writer] == 0) { // it can't serve: better slowly than not at all
		return
	}
	r.subset = subset
	r.others = math.Max(0, r.routers*float64(len(subset))/(ready[0]+ready[1])-1)
}

// subsetShares are the parts of the engines elsewhere and in the own zone that are drawn, given how many are ready. Where
// one of them has too few, the other makes up for it.
func subsetShares(ready [2]float64) [2]float64 {
	elsewhere, own := subsetMost*(1-subsetOwnZone), subsetMost*subsetOwnZone
	lacking, lackingOwn := math.Max(0, elsewhere-ready[0]), math.Max(0, own-ready[1])
	return [2]float64{subsetShare(elsewhere+lackingOwn, ready[0]), subsetShare(own+lacking, ready[1])}
}

// subsetShare is the part of so many ready engines that makes up about the number that is wanted. It changes in steps:
// each change draws other cells, whose engines know nothing of what this router's requests share.
func subsetShare(wanted, ready float64) float64 {
	if ready <= wanted {
		return 1
	}
	steps := math.Round(math.Log(ready/wanted) / math.Log(subsetStep))
	return math.Pow(subsetStep, -steps)
}
