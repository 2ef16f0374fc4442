package backend

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/platform/standin"
)

// addIdlePipe adds an idle connection to an engine and returns the engine's side of it.
func addIdlePipe(c *Client, name string) net.Conn {
	clientSide, engineSide := net.Pipe()
	c.returnConn(&engineConn{Conn: clientSide, r: bufio.NewReader(clientSide), endpoint: c.endpoints[name], address: c.endpoints[name].address})
	return engineSide
}

func isClosed(engineSide net.Conn) bool {
	engineSide.SetReadDeadline(time.Now()) //nolint:errcheck // a test
	_, err := engineSide.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

func newPool(names ...string) *Client {
	c := New(Options{EngineIdleTimeout: 10 * time.Second, MaxConns: 16, ConnectTimeout: time.Second})
	var engines []EngineEntry
	for _, name := range names {
		engines = append(engines, EngineEntry{Name: name, Address: name})
	}
	c.UpdateEngines(true, engines, nil)
	return c
}

// The connection that has been idle the longest is closed first, whichever engine it goes to. Connections to an engine that
// moves or leaves are closed. Prune closes those that were idle for half of the engine's idle timeout.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPool("a", "b", "c")
		defer c.Close()
		a1 := addIdlePipe(c, "a")
		time.Sleep(time.Second)
		b1 := addIdlePipe(c, "b")
		time.Sleep(time.Second)
		a2, c1 := addIdlePipe(c, "a"), addIdlePipe(c, "c")
		require.Equal(t, 4, c.IdleConns())
		c.closeLongestIdle()
		require.True(t, isClosed(a1))
		require.False(t, isClosed(b1) || isClosed(a2) || isClosed(c1))
		time.Sleep(4500 * time.Millisecond) // b1 is idle for 5.5 s
		c.Prune()
		require.True(t, isClosed(b1))
		require.Equal(t, 2, c.IdleConns())
		c.UpdateEngines(false, []EngineEntry{{Name: "a", Address: "elsewhere"}}, []string{"c"})
		require.True(t, isClosed(a2) && isClosed(c1))
		require.Zero(t, c.IdleConns())
	})
}

// An engine that left stays known for a while, for releases, but not for good. One that returns in time stays.
func TestGoneEnginesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPool("a", "b", "c")
		defer c.Close()
		c.UpdateEngines(false, nil, []string{"a"})
		c.UpdateEngines(true, []EngineEntry{{Name: "c", Address: "c"}}, nil) // b has left too
		time.Sleep(goneEngineRetention / 2)
		c.UpdateEngines(false, []EngineEntry{{Name: "b", Address: "b"}}, nil)
		c.Prune()
		require.Len(t, c.endpoints, 3)
		time.Sleep(goneEngineRetention)
		c.Prune()
		require.Equal(t, []string{"b", "c"}, c.names)
		require.Len(t, c.endpoints, 2)
	})
}

// A release is sent first to the engines that answered most recently.
func TestReleaseFallbacks(t *testing.T) {
	c := newPool("a", "b", "c", "d", "e", "f")
	defer c.Close()
	for i, name := range []string{"c", "e", "a", "f"} {
		c.endpoints[name].lastAnswerAt = time.Now().Add(time.Duration(i) * time.Second)
	}
	require.Equal(t, []string{"a", "e", "c", "d", "b"}, c.releaseFallbacks("f"))
	c.UpdateEngines(false, nil, []string{"e"})
	require.Equal(t, []string{"f", "a", "c", "d"}, c.releaseFallbacks("b"))
}

func listChange(c *Client, engines int) func() {
	n := 0
	return func() {
		name := fmt.Sprint("engine-", n%engines)
		c.UpdateEngines(false, nil, []string{name})
		c.UpdateEngines(false, []EngineEntry{{Name: name, Address: "x"}}, nil)
		n++
	}
}

func newPoolOfSize(engines int) *Client {
	var names []string
	for n := range engines {
		names = append(names, fmt.Sprint("engine-", n))
	}
	return newPool(names...)
}

// A change of the engine list allocates no more with 3,200 engines than with 200.
func TestListChangeCost(t *testing.T) {
	small, large := testing.AllocsPerRun(200, listChange(newPoolOfSize(200), 200)), testing.AllocsPerRun(200, listChange(newPoolOfSize(3200), 3200))
	t.Logf("allocations per change: %.1f with 200 engines, %.1f with 3,200", small, large)
	require.LessOrEqual(t, large, small+1)
}

func BenchmarkUpdateEngines(b *testing.B) {
	for _, engines := range []int{200, 3200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			change := listChange(newPoolOfSize(engines), engines)
			b.ReportAllocs()
			for b.Loop() {
				change()
			}
		})
	}
}

// If an engine moves during a call, the call's connection is not reused, and the next call goes to the new address.
func TestEngineMovesDuringCall(t *testing.T) {
	fleet := standin.NewFleet()
	started, proceed := make(chan struct{}), make(chan struct{})
	closeStarted := sync.OnceFunc(func() { close(started) })
	fleet.ServiceTime = func(c *standin.Call) time.Duration {
		if c.Engine == "before" {
			closeStarted()
			<-proceed
		}
		return 0
	}
	oldEngine, err := fleet.StartEngine("before", true)
	require.NoError(t, err)
	defer oldEngine.Close()
	newEngine, err := fleet.StartEngine("after", true)
	require.NoError(t, err)
	defer newEngine.Close()
	c := newClient(t, EngineEntry{Name: "e", Address: oldEngine.Address()})
	outcomes := make(chan decide.Outcome)
	go func() { outcomes <- read(c, "e").Outcome }()
	<-started
	c.UpdateEngines(false, []EngineEntry{{Name: "e", Address: newEngine.Address()}}, nil)
	close(proceed)
	require.Equal(t, decide.Read, <-outcomes)
	require.Equal(t, decide.Read, read(c, "e").Outcome)
	require.Equal(t, "after", fleet.Calls(standin.Read)[1].Engine)
}
