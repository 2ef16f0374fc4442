package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/faultproxy"
	"cherryhub/internal/platform/standin"
)

// newProxiedClient returns a client of one stand-in, "e", behind a fault-injecting proxy.
func newProxiedClient(t *testing.T, plan func(int) faultproxy.Plan, late func() time.Duration) (*Client, *faultproxy.Proxy) {
	e, err := standin.NewFleet().StartEngine("e", true)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	p, err := faultproxy.Start(e.Address(), plan, late)
	require.NoError(t, err)
	t.Cleanup(func() { p.Close() }) //nolint:errcheck // the test is over
	return newClient(t, EngineEntry{Name: "e", Address: p.Address()}), p
}

// addIdleConns opens connections to an engine and puts them into the pool.
func addIdleConns(t *testing.T, c *Client, e EngineEntry, count int) {
	var all []*engineConn
	for range count {
		conn, err := c.connect(t.Context(), c.endpoints[e.Name], e.Address)
		require.NoError(t, err)
		all = append(all, conn)
	}
	for _, conn := range all {
		c.returnConn(conn)
	}
}

// readChecked makes a read at "e" that requires a check of its connection if its last answer is older than checkAfter.
func readChecked(ctx context.Context, c *Client, checkAfter time.Duration, onSent func(engine.ConnInfo)) *engine.Result {
	return c.Read(ctx, &engine.Call{Address: "e", ID: "y", Target: "/v1/chat/completions", Body: []byte("{}"),
		Deadline: time.Now().Add(time.Second), CheckAfter: checkAfter, OnSent: onSent})
}

// A dispatch that requires a check does not use an idle connection that has gone silent. A dispatch without that requirement
// does, and times out.
func TestSilentConnectionIsNotUsed(t *testing.T) {
	for name, tc := range map[string]struct {
		checkAfter time.Duration
		want       decide.Outcome
	}{"checked": {time.Millisecond, decide.Read}, "not checked": {0, decide.TimedOut}} {
		t.Run(name, func(t *testing.T) {
			c, p := newProxiedClient(t, nil, nil)
			require.Equal(t, decide.Read, read(c, "e").Outcome)
			require.Equal(t, 1, p.SilenceOpen())
			time.Sleep(5 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			var sent engine.ConnInfo
			r := readChecked(ctx, c, tc.checkAfter, func(s engine.ConnInfo) { sent = s })
			require.Equal(t, tc.want, r.Outcome)
			require.Equal(t, tc.checkAfter > 0, sent.Number != 1, "uses a connection other than the silent one")
		})
	}
}

// A release succeeds within a third of the hold limit of 800 ms even if the engines that are tried first are silent.
func TestReleaseWithSilentEngines(t *testing.T) {
	fleet := standin.NewFleet()
	var engines []EngineEntry
	for _, name := range []string{"a", "b", "c", "d", "e", "answers"} {
		e, err := fleet.StartEngine(name, true)
		require.NoError(t, err)
		defer e.Close()
		engines = append(engines, EngineEntry{Name: name, Address: e.Address()})
	}
	fleet.InjectFault = func(c *standin.Call, _ int) standin.Fault {
		if c.Engine != "answers" {
			return standin.Silent
		}
		return standin.None
	}
	c := newClient(t, engines...)
	for _, e := range engines[1:5] { // so that they are tried before the one that answers
		c.endpoints[e.Name].lastAnswerAt = time.Now()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond/3)
	defer cancel()
	require.NoError(t, c.Release(ctx, "a", "x"))
}

// Many releases at once, all without an answer, make few calls of other engines: where it is the router that is slow, seven calls for each
// release would only slow it further.
func TestHedgedReleasesAreBounded(t *testing.T) {
	const releases, maxHedged = 50, 32
	fleet := standin.NewFleet()
	fleet.InjectFault = func(*standin.Call, int) standin.Fault { return standin.Silent }
	var engines []EngineEntry
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		e, err := fleet.StartEngine(name, true)
		require.NoError(t, err)
		defer e.Close()
		engines = append(engines, EngineEntry{Name: name, Address: e.Address()})
	}
	c := New(Options{ConnectTimeout: time.Second, EngineIdleTimeout: time.Second, MaxConns: 1000})
	t.Cleanup(c.Close)
	c.UpdateEngines(true, engines, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond/3)
	defer cancel()
	var all sync.WaitGroup
	for range releases {
		all.Go(func() { c.Release(ctx, "a", "x") }) //nolint:errcheck // none has an answer
	}
	all.Wait()
	require.LessOrEqual(t, len(fleet.Calls(standin.Release)), releases+maxHedged)
	require.Eventually(t, func() bool { return c.hedgedReleases.Load() == 0 }, time.Second, time.Millisecond, "calls that have ended still count")
}

// A dispatch that requires a check is not written to a new connection that never answers. The engine counts as unreachable, and
// the next connection, which works, is used.
func TestNewConnectionIsChecked(t *testing.T) {
	var silent atomic.Bool // of new connections
	silent.Store(true)
	c, _ := newProxiedClient(t, func(int) faultproxy.Plan {
		if silent.Load() {
			return faultproxy.Plan{Silence: faultproxy.AtStart}
		}
		return faultproxy.Plan{}
	}, nil)
	for _, want := range []decide.Outcome{decide.Unreachable, decide.Read} {
		wrote := false
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := readChecked(ctx, c, time.Millisecond, func(engine.ConnInfo) { wrote = true })
		require.Equal(t, want, r.Outcome)
		require.Equal(t, want == decide.Read, wrote)
		silent.Store(false)
	}
}

// A release succeeds within a third of the hold limit of 800 ms even if all idle connections, to every engine, have gone
// silent, as long as new ones work.
func TestReleaseWithSilentConnections(t *testing.T) {
	const idlePerEngine = 2
	fleet := standin.NewFleet()
	var engines []EngineEntry
	var proxies []*faultproxy.Proxy
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		e, err := fleet.StartEngine(name, true)
		require.NoError(t, err)
		defer e.Close()
		p, err := faultproxy.Start(e.Address(), nil, nil)
		require.NoError(t, err)
		defer p.Close()
		proxies = append(proxies, p)
		engines = append(engines, EngineEntry{Name: name, Address: p.Address()})
	}
	c := newClient(t, engines...)
	for _, e := range engines {
		addIdleConns(t, c, e, idlePerEngine)
	}
	for _, p := range proxies {
		require.Eventually(t, func() bool { return p.ConnCount() == idlePerEngine }, time.Second, time.Millisecond, "the proxy has accepted the connections")
		require.Equal(t, idlePerEngine, p.SilenceOpen())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond/3)
	defer cancel()
	require.NoError(t, c.Release(ctx, "a", "x"))
}

// If several idle connections are silent, the client waits for one of them and closes the others.
func TestSilentIdleConnections(t *testing.T) {
	const idleConns = 4
	c, p := newProxiedClient(t, nil, nil)
	addIdleConns(t, c, EngineEntry{Name: "e", Address: p.Address()}, idleConns)
	require.Eventually(t, func() bool { return p.ConnCount() == idleConns }, time.Second, time.Millisecond, "the proxy has accepted the connections")
	require.Equal(t, idleConns, p.SilenceOpen())
	time.Sleep(5 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*checkTimeout)
	defer cancel()
	require.Equal(t, decide.Read, readChecked(ctx, c, time.Millisecond, func(engine.ConnInfo) {}).Outcome)
}

// An idle connection on which no answer has come yet is checked before a dispatch that requires it, however new it is.
func TestUnusedIdleConnectionIsChecked(t *testing.T) {
	var silent atomic.Bool // of new connections
	c, p := newProxiedClient(t, func(int) faultproxy.Plan {
		if silent.Load() {
			return faultproxy.Plan{Silence: faultproxy.AtStart}
		}
		return faultproxy.Plan{}
	}, nil)
	for _, silentNow := range []bool{false, true} {
		silent.Store(silentNow)
		count := p.ConnCount()
		addIdleConns(t, c, EngineEntry{Name: "e", Address: p.Address()}, 1)
		require.Eventually(t, func() bool { return p.ConnCount() > count }, time.Second, time.Millisecond, "the proxy has accepted the connection")
	}
	silent.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), 2*checkTimeout)
	defer cancel()
	var sent engine.ConnInfo
	r := readChecked(ctx, c, time.Second, func(s engine.ConnInfo) { sent = s })
	require.Equal(t, decide.Read, r.Outcome)
	require.EqualValues(t, 3, sent.Number, "a new connection")
}

// If the idle connection is silent and no other can be opened, the dispatch counts as unreachable after a single dial.
func TestFailedDialIsNotRetried(t *testing.T) {
	c, p := newProxiedClient(t, nil, nil)
	addIdleConns(t, c, EngineEntry{Name: "e", Address: p.Address()}, 1)
	require.Eventually(t, func() bool { return p.SilenceOpen() == 1 }, time.Second, time.Millisecond, "the proxy has accepted the connection")
	dials := 0
	c.dialer = engine.NewDialer(1, func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, syscall.ECONNREFUSED
	}, func() {})
	require.Equal(t, decide.Unreachable, readChecked(t.Context(), c, time.Second, func(engine.ConnInfo) {}).Outcome)
	require.Equal(t, 1, dials)
}

// Where probes are not allowed, a new connection is used without a check, even if the process was paused since it was
// established.
func TestNewConnectionWithoutProbes(t *testing.T) {
	c, _ := newProxiedClient(t, nil, nil)
	c.options.ProbesAllowed = false
	require.Equal(t, decide.Read, readChecked(t.Context(), c, time.Nanosecond, func(engine.ConnInfo) {}).Outcome)
}
