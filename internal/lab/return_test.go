package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReturn measures an engine's share of dispatches in the first seconds after a trouble. An engine that returns is
// empty and without load, so it looks best to every router at the same time. It must not be overloaded, and must get
// its usual share again within seconds. One that returns cold gets a smaller share until it is warm. With few routers
// each observes many dispatches, with many routers each observes hardly any.
func TestReturn(t *testing.T) {
	for name, tc := range map[string]struct {
		trouble Trouble
		cold    bool
	}{
		"a writer that paused":  {Trouble{Kind: Pause, Group: 1}, false},
		"a writer that slowed":  {Trouble{Kind: Slow, Group: 1, Slowdown: 10}, false},
		"a writer that drained": {Trouble{Kind: Drained, Group: 1}, false},
		"a writer that died":    {Trouble{Kind: Die, Group: 1}, true},
		"a reader that paused":  {Trouble{Kind: Pause, Group: 0}, false},
		"a reader that slowed":  {Trouble{Kind: Slow, Group: 0, Slowdown: 10}, false},
		"a reader that died":    {Trouble{Kind: Die, Group: 0}, true},
	} {
		for _, routers := range []int{2, 40} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				const from, until, warm, days = 15, 21, 8, 6
				var affected, all [60]float64 // dispatches by second
				s := testDay(25)
				s.Routers, s.Duration, s.ListDelay = routers, 40, 0.3
				for i := range s.Groups {
					s.Groups[i].Model.StartShare, s.Groups[i].Model.Warm = 0.3, warm
				}
				s.Decide.WarmUpTime, s.Decide.OverloadWindow = warm, 2
				trouble := tc.trouble
				trouble.At, trouble.Duration, trouble.EngineCount = from, until-from, 1
				s.Troubles = []Trouble{trouble}
				first, n := 0, s.Groups[0].Count
				if trouble.Group == 1 {
					first, n = s.Groups[0].Count, s.Groups[1].Count
				}
				s.OnDispatch = func(at float64, engine int) {
					if i := int(at); engine >= first && engine < first+n && i < len(all) {
						all[i]++
						if engine == first {
							affected[i]++
						}
					}
				}
				for seed := range uint64(days) {
					s.Seed = seed + 1
					_, err := Run(s)
					require.NoError(t, err)
				}
				share := func(a, b int) float64 { // relative to an even share, from second a until b
					part, sum := 0.0, 0.0
					for i := a; i < b; i++ {
						part, sum = part+affected[i], sum+all[i]
					}
					return part * float64(n) / sum
				}
				t.Logf("%d routers: during %.2f, then by second %.2f %.2f %.2f %.2f %.2f, later %.2f", routers, share(from+2, until),
					share(until, until+1),
					share(until+1, until+2), share(until+2, until+3), share(until+3, until+4), share(until+4, until+5), share(until+warm+2, 40))
				assert.Less(t, share(from+2, until), 0.5, "few dispatches during the trouble")
				for i := until; i < until+warm; i++ {
					assert.Less(t, share(i, i+1), 2.0, "not overloaded in second %d after its return", i-until)
				}
				if tc.cold {
					assert.Less(t, share(until, until+warm/2), 0.6, "smaller share while cold")
				} else {
					assert.Greater(t, share(until+2, until+5), 0.5, "usual share after its return")
				}
				assert.Greater(t, share(until+warm+2, 40), 0.7, "usual share after its return")
			})
		}
	}
}
