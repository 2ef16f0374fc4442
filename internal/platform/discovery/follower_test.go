package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/loopback"
)

// script is a discovery whose calls are answered as a test says, one after the other.
type script struct {
	mu      sync.Mutex
	calls   []string // queries
	answers func(n int, w http.ResponseWriter, r *http.Request)
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := len(s.calls)
	s.calls = append(s.calls, r.URL.RawQuery)
	s.mu.Unlock()
	s.answers(n, w, r)
}

// query is the query of the n-th call.
func (s *script) query(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[n]
}

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func serve(t *testing.T, h http.Handler) string {
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go server.Serve(ln) //nolint:errcheck // ends with the test
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// follow follows an address; the lists that are told come on the channel.
func follow(t *testing.T, address string) (*Follower, <-chan *List) {
	told := make(chan *List, 100)
	f := New(address, func(l *List) { told <- l }, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, told
}

func list(version int, whole bool, engines ...string) string {
	hosts := []string{}
	for _, e := range engines {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1,"born_ms":0}`, e))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, whole, strings.Join(hosts, ","))
}

func next(t *testing.T, told <-chan *List, within time.Duration) *List {
	t.Helper()
	select {
	case l := <-told:
		return l
	case <-time.After(within):
		require.Fail(t, "not told in time")
		return nil
	}
}

func silent(r *http.Request) { <-r.Context().Done() }

// TestSilentWatch: a watch that falls silent, and the next call too, are noticed by the follower's own clock, and what
// they missed is told within the 6 s after which it counts as told.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	s := &script{answers: func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 0:
			fmt.Fprint(w, list(1, true, "one"))
		case 1, 2:
			silent(r)
		default:
			fmt.Fprint(w, list(2, false, "two"))
		}
	}}
	_, told := follow(t, serve(t, s))
	require.True(t, next(t, told, time.Second).Snapshot)
	require.Equal(t, "two", next(t, told, 6*time.Second).Hosts[0].Name)
	require.Contains(t, s.query(1), "hold_ms=2000")
	require.Contains(t, s.query(2), "hold_ms=0", "after a failure an answer is wanted at once")
}

// TestSlowDiscovery: one that takes seconds for each answer is heard all the same.
func TestSlowDiscovery(t *testing.T) {
	t.Parallel()
	s := &script{answers: func(n int, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(1800 * time.Millisecond):
			fmt.Fprint(w, list(1, true, "one"))
		case <-r.Context().Done():
		}
	}}
	_, told := follow(t, serve(t, s))
	next(t, told, 6*time.Second)
}

// TestReturnIsNoticed: calls that were made while discovery was silent are never answered; once it answers again it is
// asked soon, long before a call that waits for a slow discovery would be over.
func TestReturnIsNoticed(t *testing.T) {
	t.Parallel()
	const down = 5 * time.Second
	began := time.Now()
	s := &script{answers: func(_ int, w http.ResponseWriter, r *http.Request) {
		if time.Since(began) < down {
			silent(r)
			return
		}
		fmt.Fprint(w, list(1, true, "one"))
	}}
	_, told := follow(t, serve(t, s))
	next(t, told, down+patienceMost)
	require.Less(t, time.Since(began), down+patienceMost/2)
	require.Less(t, s.count(), 20, "silence has it flooded")
}

// TestMovesInARow: of moves in quick succession the last one holds, also in the midst of a call or a pause.
func TestMovesInARow(t *testing.T) {
	t.Parallel()
	old := serve(t, &script{answers: func(_ int, w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", 500) }})
	hung := serve(t, &script{answers: func(_ int, _ http.ResponseWriter, r *http.Request) { silent(r) }})
	last := serve(t, &script{answers: func(n int, w http.ResponseWriter, r *http.Request) {
		if n > 0 {
			silent(r)
			return
		}
		fmt.Fprint(w, list(7, true, "last"))
	}})
	f, told := follow(t, old)
	for range 20 {
		f.SetAddress(hung)
		f.SetAddress(old)
	}
	f.SetAddress(hung)
	f.SetAddress(last)
	require.Equal(t, "last", next(t, told, time.Second).Hosts[0].Name)
}

// TestManyEngines: the largest lists are read, indented too.
func TestManyEngines(t *testing.T) {
	t.Parallel()
	var hosts []Host
	for n := range 3200 {
		hosts = append(hosts, Host{Name: fmt.Sprintf("engine-%08x", n), Address: "10.11.12.13:8000", Zone: "some-zone", MachineKind: "some-machine", Cell: n, Health: "Ready", Share: 1, StartUnixMS: 1764666000000})
	}
	text, err := json.MarshalIndent(List{Version: 1, Snapshot: true, Hosts: hosts}, "", "    ")
	require.NoError(t, err)
	_, told := follow(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			silent(r)
			return
		}
		w.Write(text) //nolint:errcheck // a stand-in
	})))
	require.Len(t, next(t, told, 5*time.Second).Hosts, len(hosts))
}

// TestPatience: a discovery that answers late is given more time, and less again; pauses grow, and are spread.
func TestPatience(t *testing.T) {
	p := newPatience()
	require.Equal(t, pauseLeast/2, p.failed(0))
	require.True(t, p.failing)
	require.Equal(t, pauseLeast*3/2, p.failed(0.5))
	for range 5 {
		p.failed(0)
	}
	require.Equal(t, pauseMost/2, p.failed(0))
	require.Equal(t, patienceLeast, p.late)
	p.answered(900 * time.Millisecond)
	require.False(t, p.failing)
	require.Equal(t, 1800*time.Millisecond, p.late)
	p.answered(-time.Second)
	require.Equal(t, 900*time.Millisecond, p.late)
	p.answered(time.Minute)
	require.Equal(t, patienceMost, p.late)
	require.Equal(t, pauseLeast/2, p.failed(0))
}
