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

// behindProxies moves the engines that are known so far behind fault proxies, by engine.
func (s *cluster) moveBehindProxies(plan func(n int) faultproxy.Plan) map[string]*faultproxy.Proxy {
	proxies := map[string]*faultproxy.Proxy{}
	for name, e := range s.engines {
		p, err := faultproxy.Start(e.Address(), plan, nil)
		require.NoError(s.t, err)
		s.t.Cleanup(p.Close)
		proxies[name] = p
		h := hostEntry(e, "writes")
		if strings.HasPrefix(name, "reader") {
			h.MachineKind = "reads"
		}
		h.Address = p.Address()
		s.discovery.Update(h)
	}
	for used, n := 0, 0; used < 2; n++ { // until the router calls by the new addresses
		require.Less(s.t, n, 100, "the router never called by the new addresses")
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

// longPrompt is one that a reader reads first, in tokens.
const longPromptTokens = 3000

// longestHeld is the longest that something was held for an id while no attempt that arrived was out.
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

// oneWriter leaves the site one writer, behind a proxy.
func (s *cluster) keepOneWriter() *faultproxy.Proxy { return s.keepOnly("writer-0", "writer-1") }

// only takes another engine off the list, and gives the proxy before one that is left.
func (s *cluster) keepOnly(kept, removed string) *faultproxy.Proxy {
	machine := "writes"
	if strings.HasPrefix(removed, "reader") {
		machine = "reads"
	}
	gone := hostEntry(s.engines[removed], machine)
	gone.Health = "Gone"
	s.discovery.Update(gone)
	delete(s.engines, removed)
	return s.moveBehindProxies(nil)[kept]
}

// longPiece is the least size of a call with a long prompt, in bytes.
const minLongRequestBytes = 4 * longPromptTokens / 2

// sendMany sends calls at once, and wants each served.
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

// silentAtTheSend has connections to the only writer fall silent in the very moment in which a write is sent, right after its
// own was seen to work, while others work: its own alone, or all that are open. others: the writer is used meanwhile. It wants
// what the read before the write left to be let go in time.
func (s *cluster) testSilentAtSend(alone, others bool) {
	s.fleet.Strict = true
	s.fleet.ServiceTime = func(*standin.Call) time.Duration { return 20 * time.Millisecond } // so that calls sent at once overlap
	writer := s.keepOneWriter()
	s.sendConcurrently("before", 2) // so many connections are kept: the write takes one, and the next write finds that the other is silent
	if alone {
		writer.SilenceConnOnSend(minLongRequestBytes)
	} else {
		writer.SilenceOpenOnSend(minLongRequestBytes)
	}
	var silent sync.WaitGroup
	silent.Go(func() { s.send(chatRequest("silent", promptBody(longPromptTokens), "X-Deadline: 2000m")) })
	require.Eventually(s.t, func() bool {
		return slices.ContainsFunc(s.fleet.Calls(standin.Read), func(c standin.Call) bool { return c.ID == "silent" && !c.Ended.IsZero() })
	}, time.Second, time.Millisecond, "its prompt was read")
	for n := 0; others && n < 10; n++ {
		time.Sleep(30 * time.Millisecond)
		s.sendConcurrently(fmt.Sprint("beside-", n), 1)
	}
	silent.Wait()
	s.awaitQuiet()
	require.LessOrEqual(s.t, s.longestHeld("silent"), maxHoldTime)
}

// TestOpenConnectionsFallSilentAtTheSend: what is held is let go in time whether or not the writer is used on new connections
// meanwhile.
func TestConnectionsSilentAtSend(t *testing.T) {
	for name, others := range map[string]bool{"alone": false, "others are served meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`, `"probes":false`, `"probes":true`).testSilentAtSend(false, others)
		})
	}
}

// TestOpenConnectionsFallSilentUnasked is that where engines must not be probed.
func TestConnectionsSilentAtSendWithoutProbes(t *testing.T) {
	newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`).testSilentAtSend(false, true)
}

// TestSwallowedWrite: what is held for a write that is swallowed on a connection which was just seen to work is let go in time, while its
// writer serves others, whether or not writers may be probed.
func TestLostWrite(t *testing.T) {
	for _, probes := range []string{"true", "false"} {
		t.Run("probes "+probes, func(t *testing.T) {
			newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`, `"probes":false`, `"probes":`+probes).testSilentAtSend(true, true)
		})
	}
}

// TestKeptConnectionFellSilent: a write that goes out on a kept connection which has fallen silent has reached nobody, and
// the state that it was to take is let go in time, though the writer answers on other connections meanwhile.
func TestIdleConnectionWentSilent(t *testing.T) {
	s := newCluster(t, `"holds-allowed":true`, `"holds-allowed":false`)
	s.fleet.Strict = true
	writer := s.keepOneWriter()
	require.Equal(t, 1, writer.SilenceOpen(), "one connection is kept")
	time.Sleep(50 * time.Millisecond) // it is kept a while
	var silent sync.WaitGroup
	silent.Go(func() { s.send(chatRequest("silent", promptBody(longPromptTokens), "X-Deadline: 2000m")) })
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(s.fleet.Calls(standin.Read), func(c standin.Call) bool { return c.ID == "silent" })
	}, time.Second, time.Millisecond, "its prompt was read")
	for n := range 20 { // the writer answers others
		status, body, err := s.send(chatRequest(fmt.Sprint("other-", n), promptBody(longPromptTokens)))
		require.NoError(t, err)
		require.Equal(t, 200, status, body)
		time.Sleep(20 * time.Millisecond)
	}
	silent.Wait()
	s.awaitQuiet()
	require.LessOrEqual(t, s.longestHeld("silent"), maxHoldTime)
}
