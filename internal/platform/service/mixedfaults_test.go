package service

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/platform/standin"
)

// TestMixedFaults sends requests to engines that fail about every third dispatch in some way, while one engine starts to
// drain. It checks the rules by what was sent and received: one answer in time, no effect twice, no new dispatch to a
// draining engine after the grace period, and no state left held.
func TestMixedFaults(t *testing.T) {
	const requests, timeout, drainGrace = 120, 4 * time.Second, time.Second
	s := newCluster(t)
	s.fleet.EventInterval = 200 * time.Millisecond // longer than a stand-in takes to record the end of a call
	rnd := rand.New(rand.NewSource(20261201))
	faults := [...]standin.Fault{standin.ServerError, standin.Unavailable, standin.CloseBeforeAnswer, standin.InvalidHead, standin.BadChunkLength, standin.CloseAfterFirstEvent, standin.Gone}
	var mu sync.Mutex
	writeFaults := map[string][]standin.Fault{} // faults of an id's writes, in order
	s.fleet.InjectFault = func(c *standin.Call, _ int) standin.Fault {
		if c.Kind != standin.Read && c.Kind != standin.Write {
			return standin.None
		}
		mu.Lock()
		defer mu.Unlock()
		fault := standin.None
		if rnd.Intn(3) == 0 {
			fault = faults[rnd.Intn(len(faults))]
		}
		if c.Kind == standin.Write {
			writeFaults[c.ID] = append(writeFaults[c.ID], fault)
		}
		return fault
	}
	var clients sync.WaitGroup
	var drainedAt time.Time
	for n := range requests {
		if n == requests/2 {
			entry := engineEntry(s.engines["writer-0"], "writes")
			entry.Health = "Terminating"
			s.discovery.Update(entry)
			drainedAt = time.Now()
		}
		time.Sleep(20 * time.Millisecond)
		clients.Go(func() {
			class := [...]string{"chat", "once"}[n%2]
			start := time.Now()
			status, _, err := s.send(chatRequest(fmt.Sprintf("%s-%d", class, n), promptBody(20+(n%3)*1000), "X-Class: "+class))
			if status == 0 || time.Since(start) > timeout+time.Second {
				t.Errorf("request %d: status %d after %v, %v", n, status, time.Since(start), err)
			}
		})
	}
	clients.Wait()
	s.awaitIdle()
	provesNotRun := map[standin.Fault]bool{standin.Unavailable: true, standin.Gone: true}
	lastEnd := map[string]time.Time{}
	for _, c := range s.fleet.Calls("") {
		if c.Kind == standin.Read || c.Kind == standin.Write {
			require.False(t, c.Ended.IsZero() || c.Received.Before(lastEnd[c.ID].Add(-250*time.Millisecond)), "%s: two dispatches at once", c.ID)
			lastEnd[c.ID] = c.Ended
			require.False(t, c.Engine == "writer-0" && c.Received.After(drainedAt.Add(drainGrace)), "%s: sent to a draining engine", c.ID)
		}
	}
	for id, faults := range writeFaults {
		if id[:4] == "once" {
			for _, f := range faults[:len(faults)-1] {
				require.True(t, provesNotRun[f], "%s: sent again after it may have run: %q", id, faults)
			}
		}
	}
	require.Greater(t, len(writeFaults), requests/2, "too few requests reached a write")
}
