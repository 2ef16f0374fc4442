package fleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

func newTestFollower(o Options) (*Follower, *[]*link.EngineList) {
	var lists []*link.EngineList
	o.Notify = func(event link.Event) { lists = append(lists, event.EngineList) }
	o.Log, o.MaxEngines = slog.New(slog.DiscardHandler), 3
	return New(o), &lists
}

func listLine(kind string, epoch, version int, addresses ...string) string {
	var entries []string
	for _, address := range addresses {
		entries = append(entries, fmt.Sprintf(`{"address":%q,"phase":"ready","zone":"z","cell":"c","machine":"m","start":5,"age_s":2.5}`, address))
	}
	return fmt.Sprintf(`{"kind":%q,"epoch":%d,"version":%d,"engines":[%s]}`, kind, epoch, version, strings.Join(entries, ","))
}

// TestInvalidLinesChangeNothing: a line that is malformed, empty, stale or skips a version leaves the current list as it is.
func TestInvalidLinesChangeNothing(t *testing.T) {
	full := listLine("full", 2, 10, "h:1")
	for name, tc := range map[string]struct {
		text    string
		errText string
	}{
		"next":         {listLine("delta", 2, 11, "h:2"), ""},
		"repeated":     {full, ""},
		"new epoch":    {listLine("full", 3, 1, "h:2"), ""},
		"alive":        {listLine("alive", 2, 10), ""},
		"alive, ahead": {listLine("alive", 2, 11), "alive line for version 2.11"},
		"gap":          {listLine("delta", 2, 12, "h:2"), "delta to version 2.12"},
		"stale":        {listLine("full", 2, 9, "h:2"), "older than the current list"},
		"older epoch":  {listLine("full", 1, 99, "h:2"), "older than the current list"},
		"empty":        {listLine("full", 2, 11), "full list contains no engines"},
		"too many":     {listLine("full", 2, 11, "h:1", "h:2", "h:3", "h:4"), "4 engines exceed list.max_engines 3"},
		"twice":        {listLine("full", 2, 11, "h:1", "h:1"), "engines[1]: duplicate address \"h:1\""},
		"no port":      {listLine("full", 2, 11, "h"), "engines[0]: address \"h\" is not host:port"},
		"port 0":       {listLine("full", 2, 11, "h:0"), "engines[0]"},
		"no phase":     {strings.Replace(listLine("full", 2, 11, "h:1"), "ready", "well", 1), "phase \"well\""},
		"no kind":      {`{"engines":[]}`, "kind \"\""},
		"no JSON":      {`{"kind":`, "malformed"},
		"wrong type":   {`{"kind":3}`, "malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			follower, lists := newTestFollower(Options{})
			first, err := parseLine([]byte(full), 3)
			require.NoError(t, err)
			require.NoError(t, follower.applyLine(first))
			parsed, err := parseLine([]byte(tc.text), 3)
			if err == nil {
				err = follower.applyLine(parsed)
			}
			if tc.errText == "" {
				assert.NoError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.errText)
			assert.Len(t, *lists, 1, "no list is passed on")
			assert.Equal(t, []int64{2, 10}, []int64{follower.epoch, follower.version})
		})
	}
	follower, lists := newTestFollower(Options{})
	parsed, err := parseLine([]byte(full), 3)
	require.NoError(t, err)
	require.NoError(t, follower.applyLine(parsed))
	assert.Equal(t, &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{{Address: "h:1", Zone: "z", Cell: "c", MachineKind: "m",
		Phase: decide.Ready, StartID: 5, Age: 2.5}}}, (*lists)[0])
}

func TestListFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	follower, lists := newTestFollower(Options{File: file})
	assert.ErrorContains(t, follower.readFile(), "list file")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(listLine("full", 1, 1, "h:1"))
	require.NoError(t, follower.readFile())
	require.NoError(t, follower.readFile())
	assert.Len(t, *lists, 1, "an unchanged list is not passed on again")
	write("")
	assert.Error(t, follower.readFile())
	write(listLine("delta", 1, 2, "h:1"))
	assert.ErrorContains(t, follower.readFile(), "wanted full")
	write(listLine("full", 1, 2, "h:1", "h:2"))
	require.NoError(t, follower.readFile())
	assert.Len(t, *lists, 2)
}

// TestWatchReconnects: after a broken connection, an error status or an invalid line the service is called again, and the last valid list
// stays in use.
func TestWatchReconnects(t *testing.T) {
	var requests atomic.Int64
	answers := []string{listLine("full", 1, 1, "h:1") + "\n" + listLine("delta", 1, 2, "h:2") + "\n", listLine("full", 1, 2) + "\n", "garbage\n",
		listLine("delta", 1, 3, "h:3") + "\n", listLine("full", 1, 3, "h:3") + "\n"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		number := int(requests.Add(1)) - 1
		if number == 1 {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte(answers[min(number, len(answers)-1)])) //nolint:errcheck // the test fails without it
		if number >= len(answers)-1 {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	lists := make(chan *link.EngineList, 10)
	follower := New(Options{URL: server.URL, RetryDelay: 5 * time.Millisecond, MaxEngines: 3, Notify: func(event link.Event) { lists <- event.EngineList }, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	for _, want := range []struct {
		kind    decide.ListKind
		address string
	}{{decide.ListSnapshot, "h:1"}, {decide.ListDelta, "h:2"}, {decide.ListSnapshot, "h:3"}} {
		select {
		case list := <-lists:
			assert.Equal(t, want.kind, list.Kind)
			assert.Equal(t, want.address, list.Entries[0].Address)
		case <-time.After(5 * time.Second):
			t.Fatal("no list within 5 s")
		}
	}
	cancel()
	<-done
	assert.Empty(t, lists)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(listLine("full", 1, 1, "h:1")))
	f.Add([]byte(listLine("delta", 1, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := parseLine(text, 3)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(parsed.Entries), 3)
		follower, _ := newTestFollower(Options{})
		if follower.applyLine(parsed) == nil && parsed.Kind == "full" {
			require.NotEmpty(t, bytes.TrimSpace(text))
			require.True(t, follower.hasList)
		}
	})
}

// TestNegativeAgeCountsAsZero: an engine whose clock runs ahead of the service's counts as just started, not as started long ago.
func TestNegativeAgeCountsAsZero(t *testing.T) {
	var event link.Event
	follower := New(Options{MaxEngines: 8, Notify: func(e link.Event) { event = e }, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, follower.Apply([]byte(`{"kind":"full","epoch":1,"version":1,"engines":[{"address":"10.0.0.1:1","phase":"ready","start":7,"age_s":-0.2},
		{"address":"10.0.0.2:1","phase":"ready"},{"address":"10.0.0.3:1","phase":"ready","age_s":3}]}`)))
	assert.Equal(t, []float64{0, -1, 3}, []float64{event.EngineList.Entries[0].Age, event.EngineList.Entries[1].Age, event.EngineList.Entries[2].Age})
}

// TestKnownFaultEpochBack documents finding 28 of docs/readiness-review.md and is expected to fail once that is fixed: a list service
// whose epoch decreases, because its clock was set back, is rejected permanently.
func TestKnownFaultEpochBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, lists := newTestFollower(Options{})
		epochLine := func(epoch int) []byte {
			return fmt.Appendf(nil, `{"kind":"full","epoch":%d,"version":1,"engines":[{"address":"10.0.0.1:1","phase":"ready"}]}`, epoch)
		}
		require.NoError(t, follower.Apply(epochLine(1000)))
		for range 24 {
			time.Sleep(time.Hour)
			require.ErrorIs(t, follower.Apply(epochLine(999)), errStale, "finding 28 is fixed: note it there, and invert this test")
		}
		assert.Len(t, *lists, 1)
	})
}

// TestLineMemory guards against a line whose empty entries are decoded before they are counted: each takes many times its text.
func TestLineMemory(t *testing.T) {
	text := []byte(`{"kind":"full","epoch":1,"version":1,"engines":[` + strings.Repeat("{},", maxLineBytes/3-50) + `{}]}`)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := parseLine(text, 8192)
	runtime.ReadMemStats(&after)
	require.ErrorContains(t, err, "exceed list.max_engines 8192")
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4*maxLineBytes))
}
