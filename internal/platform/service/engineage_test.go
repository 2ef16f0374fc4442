package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAgesAfterClockSteps: an engine that has just started is never taken for an old one, whether the wall clock steps on
// this machine or on all machines. Without steps ages are exact.
func TestAgesAfterClockSteps(t *testing.T) {
	start := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	const startAfterList, listAfterStart = 100 * time.Second, 3 * time.Second // from the last list to the engine's start, and from there to the next list
	for _, tc := range []struct {
		name                 string
		localStep, stampStep time.Duration // steps of this machine's clock, and of the one that makes the stamps
		exact                bool
	}{
		{"none", 0, 0, true}, {"a slow drift", 300 * time.Millisecond, 0, false},
		{"an hour on, here", time.Hour, 0, false}, {"an hour back, here", -time.Hour, 0, false},
		{"an hour on, all", time.Hour, time.Hour, false}, {"an hour back, all", -time.Hour, -time.Hour, false},
		{"seconds on, here", 7 * time.Second, 0, false}, {"seconds back, all", -7 * time.Second, -7 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			engines := newEngineAges(clockReading{start, 0})
			readingAt := func(after time.Duration, step time.Duration) clockReading {
				return clockReading{start.Add(after + step), after}
			}
			old := start.Add(-40 * time.Second)
			require.Equal(t, 42*time.Second, engines.beginList(readingAt(2*time.Second, 0), true).age("old", old.UnixMilli()))
			lastList := 2*time.Second + startAfterList
			engines.beginList(readingAt(lastList, tc.localStep), false) // changes of other engines
			startedAt := lastList + time.Second
			arrived := startedAt + listAfterStart
			ages := engines.beginList(readingAt(arrived, tc.localStep), false)
			age := ages.age("new", start.Add(startedAt+tc.stampStep).UnixMilli())
			if tc.exact {
				require.Equal(t, listAfterStart, age)
			}
			require.LessOrEqual(t, age, listAfterStart+time.Second, "older than the time since the last list")
			require.GreaterOrEqual(t, age, time.Duration(0))
			require.LessOrEqual(t, ages.age("restarted", start.Add(startedAt+tc.stampStep).UnixMilli()), listAfterStart+time.Second)
		})
	}
}

// TestStampsAreForgotten: engines that a snapshot does not name are forgotten, so that memory stays bounded.
func TestStampsAreForgotten(t *testing.T) {
	engines := newEngineAges(clockReading{time.Now(), 0})
	for round := range 100 {
		ages := engines.beginList(clockReading{time.Now(), time.Duration(round) * time.Second}, true)
		for n := range 10 {
			ages.age(string(rune('a'+round))+string(rune('0'+n)), 1)
		}
	}
	require.Len(t, engines.startStamps, 10)
}
