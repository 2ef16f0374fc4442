package decide

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bigFleet returns a fleet in cells of two readers and three writers, in three zones.
func bigFleet(engines int) (entries []EngineEntry) {
	for i := range engines {
		f := entry(i, int(boolToFloat(i%5 >= 2)), i/5, longAgo)
		f.Zone = i / 5 % 3
		entries = append(entries, f)
	}
	return entries
}

func routerOf(t *testing.T, seed uint64, routers int, entries []EngineEntry) *Router {
	r, _ := newTestRouter(t, func(s *Settings) { s.Seed, s.Routers = seed*0x9e3779b97f4a7c15+1, routers }, entries)
	return r
}

// TestSubsetSize: the subset of a small fleet is the whole fleet. The subset of a large fleet does not grow with it, is mostly in
// the own zone, has readers and writers, and consists of whole cells.
func TestSubsetSize(t *testing.T) {
	for _, engines := range []int{20, 100, 256} {
		r := routerOf(t, 1, 100, bigFleet(engines))
		assert.Len(t, r.subset, engines)
		assert.InDelta(t, 99, r.otherRouters, 0)
	}
	for _, engines := range []int{300, 800, 1600, 3200} {
		for seed := range uint64(20) {
			r := routerOf(t, seed, 900, bigFleet(engines))
			roles, own, cells := [3]int{}, 0, map[int]int{}
			for _, e := range r.subset {
				roles[e.role]++
				cells[e.cell]++
				if e.zone == r.zone {
					own++
				}
			}
			size := len(r.subset)
			require.Less(t, float64(size), 1.6*maxSubsetEngines, "%d engines", engines)
			require.Greater(t, float64(size), 0.5*maxSubsetEngines, "%d engines", engines)
			require.Greater(t, roles[Reader]*3, size, "two in five are readers")
			require.Greater(t, roles[Writer]*2, size, "three in five are writers")
			require.Greater(t, own*3, size, "%d engines: share of the own zone", engines)
			for cell, n := range cells {
				require.Equal(t, 5, n, "cell %d is incomplete", cell)
			}
			require.InDelta(t, 900*float64(size)/float64(engines)-1, r.otherRouters, 1, "routers that share it")
		}
	}
}

// TestSubsetsCoverTheFleet: all routers together use every engine, each by about as many routers.
func TestSubsetsCoverTheFleet(t *testing.T) {
	const routers, engines = 900, 1600
	entries, times, sum := bigFleet(engines), make([]float64, engines), 0.0
	for seed := range uint64(routers) {
		r, _ := newTestRouter(t, func(s *Settings) { s.Seed, s.Routers, s.Zone = seed*0x9e3779b97f4a7c15+1, routers, int(seed%3) }, entries)
		for _, e := range r.subset {
			times[e.id]++
			sum++
		}
	}
	for id, n := range times {
		mean := sum / engines
		require.InDelta(t, mean, n, mean/2, "engine %d", id)
	}
}

// TestSubsetIsStable: an engine that is replaced, drains or comes back changes nothing else in the subset.
func TestSubsetIsStable(t *testing.T) {
	entries := bigFleet(1600)
	r := routerOf(t, 3, 900, entries)
	before := map[int]bool{}
	for _, e := range r.subset {
		before[e.id] = true
	}
	changed := r.subset[7].id
	f := entries[changed]
	for _, phase := range []Phase{Draining, Gone, Ready} {
		f.Phase, f.StartedAt = phase, 1
		r.UpdateEngines(ListDelta, []EngineEntry{f})
		now := map[int]bool{}
		for _, e := range r.subset {
			now[e.id] = true
			require.Equal(t, Ready, e.phase)
		}
		for id := range before {
			require.Equal(t, id != changed || phase == Ready, now[id], "engine %d, phase %d", id, phase)
		}
		require.LessOrEqual(t, len(now), len(before))
	}
}

// TestSubsetWithoutOwnZone: where the own zone is lost, or only one role is left in the subset, other engines are used.
func TestSubsetWithoutOwnZone(t *testing.T) {
	entries := bigFleet(1600)
	for i := range entries {
		if entries[i].Zone == 0 {
			entries[i].Phase = Gone
		}
	}
	r := routerOf(t, 5, 900, entries)
	require.Greater(t, float64(len(r.subset)), 0.5*maxSubsetEngines)
	for i := range entries {
		if entries[i].MachineKind == 0 && i > 20 { // a handful of readers are left
			entries[i].Phase = Gone
		}
	}
	r.UpdateEngines(ListSnapshot, entries)
	readers := 0
	for _, e := range r.subset {
		readers += int(boolToFloat(e.phase == Ready && e.role == Reader))
	}
	require.Positive(t, readers)
}

// TestWorkIsIndependentOfFleetSize: a completion allocates no more with 3,200 engines than with 200, and the subset is no larger than
// maxSubsetEngines plus random variation.
func TestWorkIsIndependentOfFleetSize(t *testing.T) {
	allocations := func(engines int) float64 {
		r, i := fleetOfSize(t, engines), uint64(0)
		return testing.AllocsPerRun(500, func() { serveOne(r, i); i++ })
	}
	small, large := allocations(200), allocations(3200)
	t.Logf("allocations per completion: %.1f with 200 engines, %.1f with 3,200", small, large)
	assert.LessOrEqual(t, large, 1.4*small)
	assert.LessOrEqual(t, float64(len(fleetOfSize(t, 3200).subset)), 1.6*maxSubsetEngines)
}
