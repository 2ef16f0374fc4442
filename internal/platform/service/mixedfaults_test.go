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

// TestSmallDay plays calls over engines that spoil every third one in some way, one of which drains, and judges the
// rules by what crossed the sockets: one answer in time, no effect twice, nothing new to a draining engine past the
// grace, nothing left held.
func TestSmallDay(t *testing.T) {
	const calls, timeout, grace = 120, 4 * time.Second, time.Second
	s := newSite(t)
	s.w.EventInterval = 200 * time.Millisecond // longer than a stand-in takes to note that a call is over
	rnd := rand.New(rand.NewSource(20261201))
	faults := [...]standin.Fault{standin.ServerError, standin.Unavailable, standin.CloseBeforeAnswer, standin.InvalidHead, standin.BadChunkLength, standin.CloseAfterFirstEvent, standin.Gone}
	var mu sync.Mutex
	spoilt := map[string][]standin.Fault{} // what befell the writes of an id, in turn
	s.w.InjectFault = func(c *standin.Call, _ int) standin.Fault {
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
			spoilt[c.ID] = append(spoilt[c.ID], fault)
		}
		return fault
	}
	var clients sync.WaitGroup
	var drained time.Time
	for n := range calls {
		if n == calls/2 {
			h := host(s.engines["writer-0"], "writes")
			h.Health = "Terminating"
			s.list.Update(h)
			drained = time.Now()
		}
		time.Sleep(20 * time.Millisecond)
		clients.Go(func() {
			class := [...]string{"chat", "once"}[n%2]
			began := time.Now()
			status, _, err := s.send(call(fmt.Sprintf("%s-%d", class, n), prompt(20+(n%3)*1000), "X-Class: "+class))
			if status == 0 || time.Since(began) > timeout+time.Second {
				t.Errorf("call %d: status %d after %v, %v", n, status, time.Since(began), err)
			}
		})
	}
	clients.Wait()
	s.quiet()
	neverRan := map[standin.Fault]bool{standin.Unavailable: true, standin.Gone: true}
	out := map[string]time.Time{}
	for _, c := range s.w.Calls("") {
		if c.Kind == standin.Read || c.Kind == standin.Write {
			require.False(t, c.Ended.IsZero() || c.Received.Before(out[c.ID].Add(-250*time.Millisecond)), "%s: two dispatches out at once", c.ID)
			out[c.ID] = c.Ended
			require.False(t, c.Engine == "writer-0" && c.Received.After(drained.Add(grace)), "%s: sent to a draining engine", c.ID)
		}
	}
	for id, faults := range spoilt {
		if id[:4] == "once" {
			for _, f := range faults[:len(faults)-1] {
				require.True(t, neverRan[f], "%s: sent again after it may have run: %q", id, faults)
			}
		}
	}
	require.Greater(t, len(spoilt), calls/2, "few calls were written at all")
}
