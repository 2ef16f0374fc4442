package decide

import "math"

// Subsetting: a router works with a subset of a large fleet, so that neither the cost of a completion nor the connections
// that it keeps grow with the fleet. In a fleet of up to maxSubsetEngines the subset is the whole fleet.
//
// The subset consists of whole cells, as a state moves best within its cell. Each router selects them by its own hash, so
// that all routers together cover the fleet evenly. Most of them are in the router's own zone. This guards against work for
// each completion that grows with the fleet. It costs sessions whose turns come to different routers: the next router's
// engines read their text again.
const (
	maxSubsetEngines   = 256.0
	subsetOwnZoneShare = 2.0 / 3 // of the subset's engines
	subsetResizeFactor = 1.25    // the subset changes when the fleet's size has changed by this factor
)

// selectSubset selects the engines that completions may go to, and finds how many other routers share them.
func (r *Router) selectSubset() {
	var ready [2]float64 // in other zones, in the router's own zone
	for _, e := range r.engines {
		if e.phase == Ready {
			ready[int(boolToFloat(e.zone == r.zone))]++
		}
	}
	r.otherRouters = math.Max(0, r.routers-1)
	if r.subset = r.engines; ready[0]+ready[1] <= maxSubsetEngines {
		return
	}
	shares := subsetShares(ready)
	subset := make([]*engine, 0, int(2*maxSubsetEngines))
	var byRole [3]float64 // engines selected
	for _, e := range r.engines {
		if e.phase == Ready && hashFraction(r.nonce, uint64(e.cell)) < shares[int(boolToFloat(e.zone == r.zone))] {
			subset = append(subset, e)
			byRole[e.role]++
		}
	}
	// The subset cannot serve: better all engines, slowly, than none.
	if byRole[Mixed] == 0 && (byRole[Reader] == 0 || byRole[Writer] == 0) {
		return
	}
	r.subset = subset
	r.otherRouters = math.Max(0, r.routers*float64(len(subset))/(ready[0]+ready[1])-1)
}

// subsetShares returns the shares of the engines in other zones and in the own zone that are selected, given how many are
// ready. Where one of them has too few engines, the other makes up for it.
func subsetShares(ready [2]float64) [2]float64 {
	elsewhere, own := maxSubsetEngines*(1-subsetOwnZoneShare), maxSubsetEngines*subsetOwnZoneShare
	missing, missingOwn := math.Max(0, elsewhere-ready[0]), math.Max(0, own-ready[1])
	return [2]float64{subsetShare(elsewhere+missingOwn, ready[0]), subsetShare(own+missing, ready[1])}
}

// subsetShare returns the share of the ready engines that makes up about the wanted number. It changes in steps: each
// change selects other cells, whose engines have cached nothing of what this router's completions share.
func subsetShare(wanted, ready float64) float64 {
	if ready <= wanted {
		return 1
	}
	steps := math.Round(math.Log(ready/wanted) / math.Log(subsetResizeFactor))
	return math.Pow(subsetResizeFactor, -steps)
}
