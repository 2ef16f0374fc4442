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
func (s *site) behindProxies(plan func(n int) faultproxy.Plan) map[string]*faultproxy.Proxy {
	proxies := map[string]*faultproxy.Proxy{}
	for name, e := range s.engines {
		p, err := faultproxy.Start(e.Address(), plan, nil)
		require.NoError(s.t, err)
		s.t.Cleanup(p.Close)
		proxies[name] = p
		h := host(e, "writes")
		if strings.HasPrefix(name, "reader") {
			h.MachineKind = "reads"
		}
		h.Address = p.Address()
		s.list.Update(h)
	}
	for used, n := 0, 0; used < 2; n++ { // until the router calls by the new addresses
		require.Less(s.t, n, 100, "the router never called by the new addresses")
		status, body, err := s.send(call(fmt.Sprint("moved-", n), prompt(longPrompt)))
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
const longPrompt = 3000

// longestHeld is the longest that something was held for an id while no attempt that arrived was out.
func (s *site) longestHeld(id string) (longest time.Duration) {
	var attempts []standin.Call
	for _, c := range s.w.Calls("") {
		if c.ID == id && (c.Kind == standin.Read || c.Kind == standin.Write) {
			attempts = append(attempts, c)
		}
	}
	for _, h := range s.w.Holds() {
		if h.ID == id {
			longest = max(longest, unusedFor(h, attempts))
		}
	}
	return longest
}

// oneWriter leaves the site one writer, behind a proxy.
func (s *site) oneWriter() *faultproxy.Proxy { return s.only("writer-0", "writer-1") }

// only takes another engine off the list, and gives the proxy before one that is left.
func (s *site) only(one, other string) *faultproxy.Proxy {
	machine := "writes"
	if strings.HasPrefix(other, "reader") {
		machine = "reads"
	}
	gone := host(s.engines[other], machine)
	gone.Health = "Gone"
	s.list.Update(gone)
	delete(s.engines, other)
	return s.behindProxies(nil)[one]
}

// longPiece is the least size of a call with a long prompt, in bytes.
const longPiece = 4 * longPrompt / 2

// sendMany sends calls at once, and wants each served.
func (s *site) sendMany(name string, n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			status, body, err := s.send(call(fmt.Sprint(name, "-", i), prompt(longPrompt)))
			assert.NoError(s.t, err)
			assert.Equal(s.t, 200, status, body)
		})
	}
	all.Wait()
}

// silentAtTheSend has connections to the only writer fall silent in the very moment in which a write is sent, right after its
// own was seen to work, while others work: its own alone, or all that are open. others: the writer is used meanwhile. It wants
// what the read before the write left to be let go in time.
func (s *site) silentAtTheSend(alone, others bool) {
	s.w.Strict = true
	s.w.ServiceTime = func(*standin.Call) time.Duration { return 20 * time.Millisecond } // so that calls sent at once overlap
	writer := s.oneWriter()
	s.sendMany("before", 2) // so many connections are kept: the write takes one, and the next write finds that the other is silent
	if alone {
		writer.SilenceConnOnSend(longPiece)
	} else {
		writer.SilenceOpenOnSend(longPiece)
	}
	var silent sync.WaitGroup
	silent.Go(func() { s.send(call("silent", prompt(longPrompt), "X-Deadline: 2000m")) })
	require.Eventually(s.t, func() bool {
		return slices.ContainsFunc(s.w.Calls(standin.Read), func(c standin.Call) bool { return c.ID == "silent" && !c.Ended.IsZero() })
	}, time.Second, time.Millisecond, "its prompt was read")
	for n := 0; others && n < 10; n++ {
		time.Sleep(30 * time.Millisecond)
		s.sendMany(fmt.Sprint("beside-", n), 1)
	}
	silent.Wait()
	s.quiet()
	require.LessOrEqual(s.t, s.longestHeld("silent"), letGoMost)
}

// TestOpenConnectionsFallSilentAtTheSend: what is held is let go in time whether or not the writer is used on new connections
// meanwhile.
func TestOpenConnectionsFallSilentAtTheSend(t *testing.T) {
	for name, others := range map[string]bool{"alone": false, "others are served meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			newSite(t, `"holds-allowed":true`, `"holds-allowed":false`, `"probes":false`, `"probes":true`).silentAtTheSend(false, others)
		})
	}
}

// TestOpenConnectionsFallSilentUnasked is that where engines must not be probed.
func TestOpenConnectionsFallSilentUnasked(t *testing.T) {
	newSite(t, `"holds-allowed":true`, `"holds-allowed":false`).silentAtTheSend(false, true)
}

// TestSwallowedWrite: what is held for a write that is swallowed on a connection which was just seen to work is let go in time, while its
// writer serves others, whether or not writers may be probed.
func TestSwallowedWrite(t *testing.T) {
	for _, probes := range []string{"true", "false"} {
		t.Run("probes "+probes, func(t *testing.T) {
			newSite(t, `"holds-allowed":true`, `"holds-allowed":false`, `"probes":false`, `"probes":`+probes).silentAtTheSend(true, true)
		})
	}
}

// TestKeptConnectionFellSilent: a write that goes out on a kept connection which has fallen silent has reached nobody, and
// the state that it was to take is let go in time, though the writer answers on other connections meanwhile.
func TestKeptConnectionFellSilent(t *testing.T) {
	s := newSite(t, `"holds-allowed":true`, `"holds-allowed":false`)
	s.w.Strict = true
	writer := s.oneWriter()
	require.Equal(t, 1, writer.SilenceOpen(), "one connection is kept")
	time.Sleep(50 * time.Millisecond) // it is kept a while
	var silent sync.WaitGroup
	silent.Go(func() { s.send(call("silent", prompt(longPrompt), "X-Deadline: 2000m")) })
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(s.w.Calls(standin.Read), func(c standin.Call) bool { return c.ID == "silent" })
	}, time.Second, time.Millisecond, "its prompt was read")
	for n := range 20 { // the writer answers others
		status, body, err := s.send(call(fmt.Sprint("other-", n), prompt(longPrompt)))
		require.NoError(t, err)
		require.Equal(t, 200, status, body)
		time.Sleep(20 * time.Millisecond)
	}
	silent.Wait()
	s.quiet()
	require.LessOrEqual(t, s.longestHeld("silent"), letGoMost)
}
