package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/standin"
)

// TestConfig: the error for an invalid configuration names the field.
func TestConfig(t *testing.T) {
	good := configJSON("127.0.0.1:8000", "127.0.0.1:8500")
	for name, tc := range map[string]struct{ old, new, want string }{
		"good":         {"", "", ""},
		"no JSON":      {"{", "", "config"},
		"seed":         {"8c1f30d27a5be964", "seedy", "seed"},
		"memory":       {`"memory_mb":64`, `"memory_mb":0`, "limits.memory_mb"},
		"sockets":      {`"sockets":256`, `"sockets":-1`, "limits.sockets"},
		"sockets type": {`"sockets":256`, `"sockets":"many"`, "limits.sockets"},
		"role":         {`"read","write"`, `"read","paint"`, "stage-of-kind"},
		"zone":         {`"my-zone":0`, `"my-zone":7`, "my-zone"},
		"workloads":    {`"lanes"`, `"planes"`, "lanes"},
		"listen":       {"127.0.0.1:8000", "nowhere", "listen"},
		"discovery":    {"127.0.0.1:8500", "nowhere", "discovery"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			require.NoError(t, os.WriteFile(file, []byte(strings.Replace(good, tc.old, tc.new, 1)), 0o600))
			_, err := Load(func(name string) string {
				return map[string]string{"EDGE_CONFIG": file}[name]
			})
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tc.want)
			require.ErrorAs(t, err, &ConfigError{})
		})
	}
	_, err := Load(func(string) string { return "" })
	require.ErrorContains(t, err, "EDGE_CONFIG")
}

// TestReadyFromInitialList: a router whose configuration lists an engine serves even if discovery does not answer; one
// whose configuration lists none is not ready.
func TestReadyFromInitialList(t *testing.T) {
	s := newCluster(t)
	silent, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	defer silent.Close()
	oneEngine, err := json.Marshal(discovery.EngineList{Snapshot: true, Entries: []discovery.EngineEntry{engineEntry(s.engines["writer-0"], "writes")}})
	require.NoError(t, err)
	for name, tc := range map[string]struct {
		initialList string
		status      int
	}{"one engine": {string(oneEngine), 200}, "none": {`{"seq":0,"whole":true,"hosts":[]}`, 503}} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, s.stop())
			s.config, err = Parse([]byte(strings.Replace(configJSON(s.config.Listen, silent.Addr().String()), `{"seq":0,"whole":true,"hosts":[]}`, tc.initialList, 1)))
			require.NoError(t, err)
			s.router, err = Start(s.config, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			status, _, err := s.send(upRequest)
			require.NoError(t, err)
			require.Equal(t, tc.status, status)
			if tc.status == 200 {
				status, _, err = s.send(chatRequest("known", promptBody(20)))
				require.NoError(t, err)
				require.Equal(t, 200, status)
			}
		})
	}
}

// TestStopUnderLoad: requests that arrive shortly after the stop begins are answered, running ones finish, and idle
// connections are closed.
func TestStopUnderLoad(t *testing.T) {
	s := newCluster(t)
	s.fleet.EventInterval = 300 * time.Millisecond
	idleConn, r := s.dial(chatRequest("before", promptBody(20)))
	status, _, err := readResponse(r)
	require.NoError(t, err)
	require.Equal(t, 200, status)

	var clients sync.WaitGroup
	failures := make(chan error, 64)
	sendRequest := func(id string) {
		clients.Go(func() {
			if status, _, err := s.send(chatRequest(id, promptBody(2000))); err != nil || status != 200 {
				failures <- fmt.Errorf("%s: status %d, %w", id, status, errors.Join(err))
			}
		})
	}
	for n := range 8 {
		sendRequest(fmt.Sprintf("running-%d", n))
	}
	require.Eventually(t, func() bool { return s.router.front.ActiveRequests() == 8 }, 2*time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop() }()
	for n := range 8 {
		time.Sleep(40 * time.Millisecond)
		sendRequest(fmt.Sprintf("after-%d", n))
	}
	clients.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	require.NoError(t, <-stopped)
	idleConn.SetReadDeadline(time.Now().Add(time.Second)) //nolint:errcheck // a test
	_, err = r.ReadByte()
	require.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "the idle connection stays open: %v", err)
	require.Zero(t, s.fleet.HeldCount())
}

// TestStopWithResumingClients: if clients resume broken streams, a stopping router accepts requests on existing
// connections, which get their first event or an error in time. All streams, also those from before the stop, are cut off
// before the kill and look incomplete to the client. Requests without an event by then get an error.
func TestStopWithResumingClients(t *testing.T) {
	s := newCluster(t, `"holds-allowed"`, `"resume":true,"holds-allowed"`)
	s.fleet.EventInterval, s.fleet.EventCount = 500*time.Millisecond, 12
	conn, r := s.dial(upRequest)
	status, _, err := readResponse(r)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	status, _, err = s.send(chatRequest("refused", promptBody(20), "X-Class: nobody"))
	require.NoError(t, err)
	require.Equal(t, 400, status)

	s.fleet.InjectFault = func(c *standin.Call, _ int) standin.Fault {
		if c.ID == "mute" {
			return standin.Silent
		}
		return standin.None
	}
	type answer struct {
		status  int
		body    string
		err     error
		endedAt time.Time
	}
	before, unanswered := make(chan answer, 1), make(chan answer, 1)
	sendRequest := func(to chan answer, id string) {
		status, body, err := s.send(chatRequest(id, promptBody(20), "X-Deadline: 7400m"))
		to <- answer{status, body, err, time.Now()}
	}
	go sendRequest(before, "before")
	go sendRequest(unanswered, "mute")
	require.Eventually(t, func() bool { return len(s.fleet.Calls(standin.Write)) == 2 }, 2*time.Second, time.Millisecond)
	start, stopped := time.Now(), make(chan error, 1)
	killAt := start.Add(s.config.minKillDelay())
	go func() { stopped <- s.stop() }()
	time.Sleep(900 * time.Millisecond)
	_, err = io.WriteString(conn, chatRequest("late", promptBody(20)))
	require.NoError(t, err)
	status, got, err := readResponse(r)
	require.Equal(t, 200, status)
	require.Error(t, err, "a stream that was cut off looks complete")
	require.Contains(t, got, "late 0")
	cutAnswer := <-before
	require.Equal(t, 200, cutAnswer.status)
	require.Error(t, cutAnswer.err, "a stream that was cut off looks complete")
	require.Contains(t, cutAnswer.body, "before 3", "it was cut off at once")
	require.True(t, cutAnswer.endedAt.Before(killAt.Add(-time.Second)), "cut off too late")
	abortAnswer := <-unanswered
	require.NoError(t, abortAnswer.err, "an accepted request got no answer")
	require.Equal(t, 500, abortAnswer.status)
	require.True(t, abortAnswer.endedAt.Before(killAt))
	require.NoError(t, <-stopped)
	require.Zero(t, s.fleet.HeldCount())
}

// TestReload: after a reload the new discovery is followed at once, and running requests continue.
func TestReload(t *testing.T) {
	s := newCluster(t)
	s.fleet.EventInterval = 100 * time.Millisecond
	next, err := standin.StartDiscovery([]discovery.EngineEntry{engineEntry(s.engines["reader-1"], "reads"), engineEntry(s.engines["writer-1"], "writes")})
	require.NoError(t, err)
	defer next.Close()
	answer := make(chan int, 1)
	go func() {
		status, _, _ := s.send(chatRequest("running", promptBody(2000)))
		answer <- status
	}()
	require.Eventually(t, func() bool { return s.router.front.ActiveRequests() == 1 }, 2*time.Second, time.Millisecond)
	c := *s.config
	c.Discovery = next.Address()
	s.router.Reload(&c)
	require.NoError(t, s.discovery.Close())
	require.Eventually(t, func() bool { return next.RequestCount() >= 2 }, time.Second, time.Millisecond)
	require.Equal(t, 200, <-answer)
	before := len(s.fleet.Calls(standin.Write))
	for n := range 6 {
		status, _, err := s.send(chatRequest(fmt.Sprintf("later-%d", n), promptBody(20)))
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	for _, w := range s.fleet.Calls(standin.Write)[before:] {
		require.Equal(t, "writer-1", w.Engine)
	}
}

// TestDrain: a draining engine gets no new dispatches, even for sessions that it has served.
func TestDrain(t *testing.T) {
	s := newCluster(t)
	for n := range 4 {
		status, _, err := s.send(chatRequest(fmt.Sprintf("first-%d", n), promptBody(20)))
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	entry := engineEntry(s.engines["writer-0"], "writes")
	entry.Health = "Terminating"
	s.discovery.Update(entry)
	time.Sleep(50 * time.Millisecond) // the grace period is 1 s
	drainedAt := time.Now()
	for n := range 8 {
		status, _, err := s.send(chatRequest(fmt.Sprintf("then-%d", n), promptBody(20)))
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	for _, w := range s.fleet.Calls(standin.Write) {
		require.False(t, w.Engine == "writer-0" && w.Received.After(drainedAt))
	}
}

// TestBadDiscovery: after an invalid answer, no answer or an unknown health value the list stays in force, and the request
// is repeated.
func TestBadDiscovery(t *testing.T) {
	for name, broken := range map[string]string{"cut": `{"seq":9,"whole":true,"hosts":[{"host":"x"`, "noise": "\x00\x01",
		"no hosts": `{"seq":9,"whole":true}`, "nothing": "", "unknown health": `{"seq":9,"whole":false,"hosts":[{"host":"writer-0","dial":"x:1","health":"Sleepy"}]}`} {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			if broken == "" {
				require.NoError(t, s.discovery.Close())
			} else {
				s.discovery.SetFixedAnswer(broken)
				s.discovery.Update(engineEntry(s.engines["writer-0"], "writes")) // ends the watch
				requestsBefore := s.discovery.RequestCount()
				require.Eventually(t, func() bool { return s.discovery.RequestCount() > requestsBefore+1 }, 4*time.Second, 5*time.Millisecond)
			}
			status, _, err := s.send(chatRequest("served", promptBody(2000)))
			require.NoError(t, err)
			require.Equal(t, 200, status)
		})
	}
}
