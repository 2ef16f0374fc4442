package service

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cherryhub/internal/platform/faultproxy"
	"cherryhub/internal/platform/standin"
)

// moveBehindProxies moves the cluster's engines behind fault proxies, which it returns by engine name.
func (s *cluster) moveBehindProxies(plan func(n int) faultproxy.Plan) map[string]*faultproxy.Proxy {
	proxies := map[string]*faultproxy.Proxy{}
	for name, e := range s.engines {
		p, err := faultproxy.Start(e.Address(), plan, nil)
		require.NoError(s.t, err)
		s.t.Cleanup(p.Close)
		proxies[name] = p
		entry := engineEntry(e, "writes")
		if strings.HasPrefix(name, "reader") {
			entry.MachineKind = "reads"
		}
		entry.Address = p.Address()
		s.discovery.Update(entry)
	}
	for used, n := 0, 0; used < 2; n++ { // until the router uses the new addresses
		require.Less(s.t, n, 100, "the router never used the new addresses")
		status, body, err := s.send(chatRequest(fmt.Sprint("moved-", n), promptBody(longPromptTokens)))
		require.NoError(s.t, err)
		require.Equal(s.t, 200, status, body)
		used = 0
		for _, p := range proxies {
			used += min(1, p.ConnCount())
		}
	}
	return proxies
}

// longPromptTokens is the length of a prompt that gets a read before the write.
const longPromptTokens = 3000

// longestHeld returns the longest time that state was held for an id while none of its dispatches was running.
func (s *cluster) longestHeld(id string) (longest time.Duration) {
	var attempts []standin.Call
	for _, c := range s.fleet.Calls("") {
		if c.ID == id && (c.Kind == standin.Read || c.Kind == standin.Write) {
			attempts = append(attempts, c)
		}
	}
	for _, h := range s.fleet.Holds() {
		if h.ID == id {
			longest = max(longest, longestUnused(h, attempts))
		}
	}
	return longest
}

// keepOneWriter leaves the cluster one writer, behind a proxy.
func (s *cluster) keepOneWriter() *faultproxy.Proxy { return s.keepOnly("writer-0", "writer-1") }

// keepOnly removes one engine from the list and returns the proxy of the other one.
func (s *cluster) keepOnly(kept, removed string) *faultproxy.Proxy {
	machine := "writes"
	if strings.HasPrefix(removed, "reader") {
		machine = "reads"
	}
	gone := engineEntry(s.engines[removed], machine)
	gone.Health = "Gone"
	s.discovery.Update(gone)
	delete(s.engines, removed)
	return s.moveBehindProxies(nil)[kept]
}

// minLongRequestBytes is the size from which a request counts as one with a long prompt.
const minLongRequestBytes = 4 * longPromptTokens / 2

// sendConcurrently sends n requests at the same time and requires each to be served.
func (s *cluster) sendConcurrently(name string, n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			status, body, err := s.send(chatRequest(fmt.Sprint(name, "-", i), promptBody(longPromptTokens)))
			assert.NoError(s.t, err)
			assert.Equal(s.t, 200, status, body)
		})
	}
	all.Wait()
}

// testSilentAtSend makes connections to the only writer go silent just as a write is sent, right after its connection was
// seen to work: only that connection if alone is set, otherwise all open ones. New connections work; if others is set,
// other requests use them meanwhile. The state of the read before the write must be released in time.
func (s *cluster) testSilentAtSend(alone, others bool) {
	s.fleet.Strict = true
	s.fleet.ServiceTime = func(*standin.Call) time.Duration { return 20 * time.Millisecond } // so that concurrent requests overlap
	writer := s.keepOneWriter()
	s.sendConcurrently("before", 2) // two connections are kept: the write uses one, and the next write finds the other one silent
	if alone {
		writer.SilenceConnOnSend(minLongRequestBytes)
	} else {
		writer.SilenceOpenOnSend(minLongRequestBytes)
	}
	var silent sync.WaitGroup
	silent.Go(func() { s.send(chatRequest("silent", promptBody(longPromptTokens), "X-Deadline: 2000m")) })
	require.Eventually(s.t, func() bool {
		return slices.ContainsFunc(s.fleet.Calls(standin.Read), func(c standin.Call) bool { return c.ID == "silent" && !c.Ended.IsZero() })
	}, time.Second, time.Millisecond, "the read did not finish")
	for n := 0; others && n < 10; n++ {
		time.Sleep(30 * time.Millisecond)
		s.sendConcurrently(fmt.Sprint("beside-", n), 1)
	}
	silent.Wait()
	s.awaitIdle()
	require.LessOrEqual(s.t, s.longestHeld("silent"), maxHoldTime)
}

// TestConnectionsSilentAtSend: if all open connections go silent as a write is sent, held state is released in time,
// whether or not the writer serves requests on new connections meanwhile.
func TestConnectionsSilentAtSend(t *testing.T) {
	for name, others := range map[string]bool{"alone": false, "others are served meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`, `"probes":false`, `"probes":true`).testSilentAtSend(false, others)
		})
	}
}

// TestConnectionsSilentAtSendWithoutProbes is the same test with probes not allowed.
func TestConnectionsSilentAtSendWithoutProbes(t *testing.T) {
	newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`).testSilentAtSend(false, true)
}

// TestLostWrite: if a write is lost on a connection that was just seen to work, held state is released in time while the
// writer serves other requests, whether or not probes are allowed.
func TestLostWrite(t *testing.T) {
	for _, probes := range []string{"true", "false"} {
		t.Run("probes "+probes, func(t *testing.T) {
			newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`, `"probes":false`, `"probes":`+probes).testSilentAtSend(true, true)
		})
	}
}

// TestIdleConnectionWentSilent: a write sent on an idle connection that has gone silent never arrives, and the state for it
// is released in time, although the writer answers on other connections meanwhile.
func TestIdleConnectionWentSilent(t *testing.T) {
	s := newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`)
	s.fleet.Strict = true
	writer := s.keepOneWriter()
	require.Equal(t, 1, writer.SilenceOpen(), "one connection is kept")
	time.Sleep(50 * time.Millisecond) // the connection is idle for a while
	var silent sync.WaitGroup
	silent.Go(func() { s.send(chatRequest("silent", promptBody(longPromptTokens), "X-Deadline: 2000m")) })
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(s.fleet.Calls(standin.Read), func(c standin.Call) bool { return c.ID == "silent" })
	}, time.Second, time.Millisecond, "the read did not arrive")
	for n := range 20 { // the writer answers other requests
		status, body, err := s.send(chatRequest(fmt.Sprint("other-", n), promptBody(longPromptTokens)))
		require.NoError(t, err)
		require.Equal(t, 200, status, body)
		time.Sleep(20 * time.Millisecond)
	}
	silent.Wait()
	s.awaitIdle()
	require.LessOrEqual(t, s.longestHeld("silent"), maxHoldTime)
}
