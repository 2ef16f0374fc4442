package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoomOrder: who goes where all places are taken, by what each brought and how long ago it came. Each starts with
// three places taken.
func TestEvictionOrder(t *testing.T) {
	const silent, unproven, proven, running = "silent", "spent", "good", "running"
	for name, tc := range map[string]struct {
		kinds  [3]string
		after  time.Duration
		victim uint64 // 0: nobody, the new one is refused
	}{
		"fresh ones stay before what brought nothing":   {[3]string{silent, unproven, proven}, firstRequestGrace / 2, 2},
		"long silent ones go first":                     {[3]string{unproven, silent, proven}, 2 * firstRequestGrace, 2},
		"fresh ones go before what was taken":           {[3]string{proven, silent, proven}, firstRequestGrace / 2, 2},
		"the longest of the spent":                      {[3]string{proven, unproven, unproven}, 0, 2},
		"at last the longest of what was taken":         {[3]string{running, proven, proven}, 2 * firstRequestGrace, 2},
		"calls that run stay, what they brought or not": {[3]string{running, running, running}, 2 * firstRequestGrace, 0},
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
				require.False(t, table.beginRequest(victim), "it is still in")
				require.True(t, table.beginRequest(4))
			}
		})
	}
}
