package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoomOrder: who goes where all places are taken, by what each brought and how long ago it came. Each starts with
// three places taken.
func TestRoomOrder(t *testing.T) {
	const silent, spent, good, running = "silent", "spent", "good", "running"
	for name, one := range map[string]struct {
		kinds [3]string
		after time.Duration
		goes  uint64 // 0: nobody, the new one is refused
	}{
		"fresh ones stay before what brought nothing":   {[3]string{silent, spent, good}, freshMost / 2, 2},
		"long silent ones go first":                     {[3]string{spent, silent, good}, 2 * freshMost, 2},
		"fresh ones go before what was taken":           {[3]string{good, silent, good}, freshMost / 2, 2},
		"the longest of the spent":                      {[3]string{good, spent, spent}, 0, 2},
		"at last the longest of what was taken":         {[3]string{running, good, good}, 2 * freshMost, 2},
		"calls that run stay, what they brought or not": {[3]string{running, running, running}, 2 * freshMost, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := newRoom(3), time.Unix(1, 0)
			for i, kind := range one.kinds {
				id := uint64(i) + 1
				_, evicts, ok := r.enter(now, id)
				require.True(t, ok && !evicts)
				if kind == silent {
					continue
				}
				require.True(t, r.call(id))
				if kind == good {
					r.taken(id)
				}
				if kind != running {
					r.over(id)
				}
			}
			evict, evicts, ok := r.enter(now.Add(one.after), 4)
			require.Equal(t, one.goes != 0, ok)
			require.Equal(t, one.goes != 0, evicts)
			require.Equal(t, one.goes, evict)
			if ok {
				require.False(t, r.call(evict), "it is still in")
				require.True(t, r.call(4))
			}
		})
	}
}
