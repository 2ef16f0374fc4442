package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvictionOrder checks which connection of a full table is evicted for a new one, by the state and age of each. Each
// case starts with three connections.
func TestEvictionOrder(t *testing.T) {
	const silent, unproven, proven, running = "silent", "spent", "good", "running"
	for name, tc := range map[string]struct {
		kinds  [3]string
		after  time.Duration
		victim uint64 // 0: none, the new connection is refused
	}{
		"unproven before new ones":       {[3]string{silent, unproven, proven}, firstRequestGrace / 2, 2},
		"long silent ones first":         {[3]string{unproven, silent, proven}, 2 * firstRequestGrace, 2},
		"new ones before proven ones":    {[3]string{proven, silent, proven}, firstRequestGrace / 2, 2},
		"oldest of the unproven ones":    {[3]string{proven, unproven, unproven}, 0, 2},
		"oldest of the proven ones last": {[3]string{running, proven, proven}, 2 * firstRequestGrace, 2},
		"none during requests":           {[3]string{running, running, running}, 2 * firstRequestGrace, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := newConnTable(3), time.Unix(1, 0)
			for i, kind := range tc.kinds {
				id := uint64(i) + 1
				_, hasVictim, ok := table.add(now, id)
				require.True(t, ok && !hasVictim)
				if kind == silent {
					continue
				}
				require.True(t, table.beginRequest(id))
				if kind == proven {
					table.completionAccepted(id)
				}
				if kind != running {
					table.endRequest(id)
				}
			}
			victim, hasVictim, ok := table.add(now.Add(tc.after), 4)
			require.Equal(t, tc.victim != 0, ok)
			require.Equal(t, tc.victim != 0, hasVictim)
			require.Equal(t, tc.victim, victim)
			if ok {
				require.False(t, table.beginRequest(victim), "still in the table")
				require.True(t, table.beginRequest(4))
			}
		})
	}
}
