package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/loopback"
)

// scriptedDiscovery is a discovery server whose requests are answered by a test's function.
type scriptedDiscovery struct {
	mu      sync.Mutex
	queries []string // the query strings received
	answer  func(n int, w http.ResponseWriter, r *http.Request)
}

func (s *scriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := len(s.queries)
	s.queries = append(s.queries, r.URL.RawQuery)
	s.mu.Unlock()
	s.answer(n, w, r)
}

// nthQuery returns the query string of the n-th request.
func (s *scriptedDiscovery) nthQuery(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[n]
}

func (s *scriptedDiscovery) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queries)
}

func startServer(t *testing.T, h http.Handler) string {
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go server.Serve(ln) //nolint:errcheck // ends with the test
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// startFollower starts a follower of an address, which sends its lists on the channel.
func startFollower(t *testing.T, address string) (*Follower, <-chan *EngineList) {
	lists := make(chan *EngineList, 100)
	f := New(address, func(l *EngineList) { lists <- l }, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, lists
}

func listJSON(version int, snapshot bool, engines ...string) string {
	entries := []string{}
	for _, e := range engines {
		entries = append(entries, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1,"born_ms":0}`, e))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, snapshot, strings.Join(entries, ","))
}

func awaitList(t *testing.T, lists <-chan *EngineList, within time.Duration) *EngineList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(within):
		require.Fail(t, "no list in time")
		return nil
	}
}

func neverAnswer(r *http.Request) { <-r.Context().Done() }

// TestSilentWatch: if a watch and the request after it are never answered, the follower times out by itself and gets the
// missed change within the 6 s after which it counts as delivered.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	s := &scriptedDiscovery{answer: func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 0:
			fmt.Fprint(w, listJSON(1, true, "one"))
		case 1, 2:
			neverAnswer(r)
		default:
			fmt.Fprint(w, listJSON(2, false, "two"))
		}
	}}
	_, lists := startFollower(t, startServer(t, s))
	require.True(t, awaitList(t, lists, time.Second).Snapshot)
	require.Equal(t, "two", awaitList(t, lists, 6*time.Second).Entries[0].Name)
	require.Contains(t, s.nthQuery(1), "hold_ms=2000")
	require.Contains(t, s.nthQuery(2), "hold_ms=0", "a request after a failure sets a hold of 0")
}

// TestSlowDiscovery: a discovery that takes seconds for each answer is followed all the same.
func TestSlowDiscovery(t *testing.T) {
	t.Parallel()
	s := &scriptedDiscovery{answer: func(n int, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(1800 * time.Millisecond):
			fmt.Fprint(w, listJSON(1, true, "one"))
		case <-r.Context().Done():
		}
	}}
	_, lists := startFollower(t, startServer(t, s))
	awaitList(t, lists, 6*time.Second)
}

// TestRecoveryIsNoticed: requests made while discovery is down are never answered. Once it answers again, a new request
// arrives soon, long before the timeout for a slow discovery ends.
func TestRecoveryIsNoticed(t *testing.T) {
	t.Parallel()
	const downtime = 5 * time.Second
	start := time.Now()
	s := &scriptedDiscovery{answer: func(_ int, w http.ResponseWriter, r *http.Request) {
		if time.Since(start) < downtime {
			neverAnswer(r)
			return
		}
		fmt.Fprint(w, listJSON(1, true, "one"))
	}}
	_, lists := startFollower(t, startServer(t, s))
	awaitList(t, lists, downtime+maxExtraTimeout)
	require.Less(t, time.Since(start), downtime+maxExtraTimeout/2)
	require.Less(t, s.requestCount(), 20, "too many requests while discovery is down")
}

// TestRapidAddressChanges: of several address changes in quick succession the last one counts, also during a request or a
// retry delay.
func TestRapidAddressChanges(t *testing.T) {
	t.Parallel()
	old := startServer(t, &scriptedDiscovery{answer: func(_ int, w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", 500) }})
	hung := startServer(t, &scriptedDiscovery{answer: func(_ int, _ http.ResponseWriter, r *http.Request) { neverAnswer(r) }})
	last := startServer(t, &scriptedDiscovery{answer: func(n int, w http.ResponseWriter, r *http.Request) {
		if n > 0 {
			neverAnswer(r)
			return
		}
		fmt.Fprint(w, listJSON(7, true, "last"))
	}})
	f, lists := startFollower(t, old)
	for range 20 {
		f.SetAddress(hung)
		f.SetAddress(old)
	}
	f.SetAddress(hung)
	f.SetAddress(last)
	require.Equal(t, "last", awaitList(t, lists, time.Second).Entries[0].Name)
}

// TestManyEngines: the largest lists are accepted, also if the JSON is indented.
func TestManyEngines(t *testing.T) {
	t.Parallel()
	var entries []EngineEntry
	for n := range 3200 {
		entries = append(entries, EngineEntry{Name: fmt.Sprintf("engine-%08x", n), Address: "10.11.12.13:8000", Zone: "some-zone", MachineKind: "some-machine", Cell: n, Health: "Ready", Share: 1, StartUnixMS: 1764666000000})
	}
	text, err := json.MarshalIndent(EngineList{Version: 1, Snapshot: true, Entries: entries}, "", "    ")
	require.NoError(t, err)
	_, lists := startFollower(t, startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			neverAnswer(r)
			return
		}
		w.Write(text) //nolint:errcheck // a stand-in
	})))
	require.Len(t, awaitList(t, lists, 5*time.Second).Entries, len(entries))
}

// TestRetryPolicy: the timeout grows after late answers and shrinks again; delays grow and are jittered.
func TestRetryPolicy(t *testing.T) {
	p := newRetryPolicy()
	require.Equal(t, minRetryDelay/2, p.failed(0))
	require.True(t, p.failing)
	require.Equal(t, minRetryDelay*3/2, p.failed(0.5))
	for range 5 {
		p.failed(0)
	}
	require.Equal(t, maxRetryDelay/2, p.failed(0))
	require.Equal(t, minExtraTimeout, p.extraTimeout)
	p.answered(900 * time.Millisecond)
	require.False(t, p.failing)
	require.Equal(t, 1800*time.Millisecond, p.extraTimeout)
	p.answered(-time.Second)
	require.Equal(t, 900*time.Millisecond, p.extraTimeout)
	p.answered(time.Minute)
	require.Equal(t, maxExtraTimeout, p.extraTimeout)
	require.Equal(t, minRetryDelay/2, p.failed(0))
}

// TestListMemory guards against a list of 2 MiB whose empty entries take the router over its memory: decoded, each takes many
// times its text.
func TestListMemory(t *testing.T) {
	const maxBytes = 16 << 20 // half of the least memory of a router
	for _, entry := range []string{"{}", "0", "null"} {
		text := []byte(`{"seq":1,"whole":true,"hosts":[` + strings.Repeat(entry+",", maxListBytes/(len(entry)+1)-50) + entry + `]}`)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := ParseList(text, slog.New(slog.DiscardHandler))
		runtime.ReadMemStats(&after)
		require.ErrorContains(t, err, "wanted 8192 at most")
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxBytes), entry)
	}
}
