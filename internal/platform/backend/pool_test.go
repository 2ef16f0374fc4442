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

// pipeTo keeps an idle connection to an engine and returns the engine's side.
func pipeTo(c *Client, name string) net.Conn {
	near, far := net.Pipe()
	c.returnConn(&conn{Conn: near, r: bufio.NewReader(near), endpoint: c.endpoints[name], address: c.endpoints[name].address})
	return far
}

func isClosed(far net.Conn) bool {
	far.SetReadDeadline(time.Now()) //nolint:errcheck // a test
	_, err := far.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

func poolOf(names ...string) *Client {
	c := New(Options{EngineIdleTimeout: 10 * time.Second, MaxConns: 16, ConnectTimeout: time.Second})
	var engines []Engine
	for _, name := range names {
		engines = append(engines, Engine{Name: name, Address: name})
	}
	c.UpdateEngines(true, engines, nil)
	return c
}

// TestIdleConnections: the one unused for longest goes first, of whichever engine; those to an engine that moves, or is
// gone, go with it; Tidy closes what was idle for half of an engine's own time.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := poolOf("a", "b", "c")
		defer c.Close()
		a1 := pipeTo(c, "a")
		time.Sleep(time.Second)
		b1 := pipeTo(c, "b")
		time.Sleep(time.Second)
		a2, c1 := pipeTo(c, "a"), pipeTo(c, "c")
		require.Equal(t, 4, c.IdleConns())
		c.closeLongestIdle()
		require.True(t, isClosed(a1))
		require.False(t, isClosed(b1) || isClosed(a2) || isClosed(c1))
		time.Sleep(4500 * time.Millisecond) // b1 is idle for 5.5 s
		c.Prune()
		require.True(t, isClosed(b1))
		require.Equal(t, 2, c.IdleConns())
		c.UpdateEngines(false, []Engine{{Name: "a", Address: "elsewhere"}}, []string{"c"})
		require.True(t, isClosed(a2) && isClosed(c1))
		require.Zero(t, c.IdleConns())
	})
}

// TestGoneAreForgotten: an engine that left is still known for a while, for releases, and not for good; one that comes
// back meanwhile stays.
func TestGoneAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := poolOf("a", "b", "c")
		defer c.Close()
		c.UpdateEngines(false, nil, []string{"a"})
		c.UpdateEngines(true, []Engine{{Name: "c", Address: "c"}}, nil) // b has left too
		time.Sleep(goneEngineRetention / 2)
		c.UpdateEngines(false, []Engine{{Name: "b", Address: "b"}}, nil)
		c.Prune()
		require.Len(t, c.endpoints, 3)
		time.Sleep(goneEngineRetention)
		c.Prune()
		require.Equal(t, []string{"b", "c"}, c.names)
		require.Len(t, c.endpoints, 2)
	})
}

// TestOthers: a release is asked first of those that were heard of last.
func TestOthers(t *testing.T) {
	c := poolOf("a", "b", "c", "d", "e", "f")
	defer c.Close()
	for i, name := range []string{"c", "e", "a", "f"} {
		c.endpoints[name].lastAnswerAt = time.Now().Add(time.Duration(i) * time.Second)
	}
	require.Equal(t, []string{"a", "e", "c", "d", "b"}, c.releaseFallbacks("f"))
	c.UpdateEngines(false, nil, []string{"e"})
	require.Equal(t, []string{"f", "a", "c", "d"}, c.releaseFallbacks("b"))
}

func changed(c *Client, engines int) func() {
	n := 0
	return func() {
		name := fmt.Sprint("engine-", n%engines)
		c.UpdateEngines(false, nil, []string{name})
		c.UpdateEngines(false, []Engine{{Name: name, Address: "x"}}, nil)
		n++
	}
}

func sized(engines int) *Client {
	var names []string
	for n := range engines {
		names = append(names, fmt.Sprint("engine-", n))
	}
	return poolOf(names...)
}

// TestChangesDoNotGrow: a change of the list costs no more memory before 3,200 engines than before 200.
func TestChangesDoNotGrow(t *testing.T) {
	small, large := testing.AllocsPerRun(200, changed(sized(200), 200)), testing.AllocsPerRun(200, changed(sized(3200), 3200))
	t.Logf("allocations of a change: %.1f before 200 engines, %.1f before 3,200", small, large)
	require.LessOrEqual(t, large, small+1)
}

func BenchmarkListed(b *testing.B) {
	for _, engines := range []int{200, 3200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			change := changed(sized(engines), engines)
			b.ReportAllocs()
			for b.Loop() {
				change()
			}
		})
	}
}

// TestMovedInACall: a connection on which a call runs while its engine moves is not kept: the next call goes to the new address.
func TestMovedInACall(t *testing.T) {
	w := standin.NewFleet()
	begun, goOn := make(chan struct{}), make(chan struct{})
	announce := sync.OnceFunc(func() { close(begun) })
	w.ServiceTime = func(c *standin.Call) time.Duration {
		if c.Engine == "before" {
			announce()
			<-goOn
		}
		return 0
	}
	before, err := w.StartEngine("before", true)
	require.NoError(t, err)
	defer before.Close()
	after, err := w.StartEngine("after", true)
	require.NoError(t, err)
	defer after.Close()
	c := client(t, Engine{Name: "e", Address: before.Address()})
	ended := make(chan decide.Outcome)
	go func() { ended <- read(c, "e").Outcome }()
	<-begun
	c.UpdateEngines(false, []Engine{{Name: "e", Address: after.Address()}}, nil)
	close(goOn)
	require.Equal(t, decide.Read, <-ended)
	require.Equal(t, decide.Read, read(c, "e").Outcome)
	require.Equal(t, "after", w.Calls(standin.Read)[1].Engine)
}
