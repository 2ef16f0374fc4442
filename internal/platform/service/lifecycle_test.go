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

// TestConfig: what is wrong is named.
func TestConfig(t *testing.T) {
	good := text("127.0.0.1:8000", "127.0.0.1:8500")
	for name, one := range map[string]struct{ old, new, want string }{
		"good":          {"", "", ""},
		"no JSON":       {"{", "", "config"},
		"seed":          {"8c1f30d27a5be964", "seedy", "seed"},
		"memory":        {`"memory_mb":64`, `"memory_mb":0`, "limits.memory_mb"},
		"sockets":       {`"sockets":256`, `"sockets":-1`, "limits.sockets"},
		"sockets' kind": {`"sockets":256`, `"sockets":"many"`, "limits.sockets"},
		"role":          {`"read","write"`, `"read","paint"`, "stage-of-kind"},
		"zone":          {`"my-zone":0`, `"my-zone":7`, "my-zone"},
		"workloads":     {`"lanes"`, `"planes"`, "lanes"},
		"listen":        {"127.0.0.1:8000", "nowhere", "listen"},
		"discovery":     {"127.0.0.1:8500", "nowhere", "discovery"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			require.NoError(t, os.WriteFile(file, []byte(strings.Replace(good, one.old, one.new, 1)), 0o600))
			_, err := Load(func(name string) string {
				return map[string]string{"EDGE_CONFIG": file}[name]
			})
			if one.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, one.want)
			require.ErrorAs(t, err, &ConfigError{})
		})
	}
	_, err := Load(func(string) string { return "" })
	require.ErrorContains(t, err, "EDGE_CONFIG")
}

// TestUpByTheKnownList: a router that knows an engine by its configuration serves though discovery is silent; one that
// knows none is not up.
func TestUpByTheKnownList(t *testing.T) {
	s := newSite(t)
	silent, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	defer silent.Close()
	one, err := json.Marshal(discovery.List{Snapshot: true, Hosts: []discovery.Host{host(s.engines["writer-0"], "writes")}})
	require.NoError(t, err)
	for name, c := range map[string]struct {
		known  string
		status int
	}{"one engine": {string(one), 200}, "none": {`{"seq":0,"whole":true,"hosts":[]}`, 503}} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, s.stop())
			s.c, err = Parse([]byte(strings.Replace(text(s.c.Listen, silent.Addr().String()), `{"seq":0,"whole":true,"hosts":[]}`, c.known, 1)))
			require.NoError(t, err)
			s.r, err = Start(s.c, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			status, _, err := s.send(up)
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			if c.status == 200 {
				status, _, err = s.send(call("known", prompt(20)))
				require.NoError(t, err)
				require.Equal(t, 200, status)
			}
		})
	}
}

// TestStopUnderLoad: what still comes for a moment after the signal is answered, what runs ends well, and
// connections between calls are closed.
func TestStopUnderLoad(t *testing.T) {
	s := newSite(t)
	s.w.EventInterval = 300 * time.Millisecond
	kept, r := s.open(call("before", prompt(20)))
	status, _, err := answerOf(r)
	require.NoError(t, err)
	require.Equal(t, 200, status)

	var clients sync.WaitGroup
	faults := make(chan error, 64)
	ask := func(id string) {
		clients.Go(func() {
			if status, _, err := s.send(call(id, prompt(2000))); err != nil || status != 200 {
				faults <- fmt.Errorf("%s: status %d, %w", id, status, errors.Join(err))
			}
		})
	}
	for n := range 8 {
		ask(fmt.Sprintf("running-%d", n))
	}
	require.Eventually(t, func() bool { return s.r.front.ActiveRequests() == 8 }, 2*time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop() }()
	for n := range 8 {
		time.Sleep(40 * time.Millisecond)
		ask(fmt.Sprintf("after-%d", n))
	}
	clients.Wait()
	close(faults)
	for err := range faults {
		t.Error(err)
	}
	require.NoError(t, <-stopped)
	kept.SetReadDeadline(time.Now().Add(time.Second)) //nolint:errcheck // a test
	_, err = r.ReadByte()
	require.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "the kept connection stays: %v", err)
	require.Zero(t, s.w.HeldCount())
}

// TestLastCalls: where clients ask for the rest of a stream, a stopping router takes calls on the connections that
// clients have: they get their first event or an error in time. All streams, those from before the signal too, are cut
// off before the kill and don't look whole, and what has no event by then gets an error, no silence.
func TestLastCalls(t *testing.T) {
	s := newSite(t, `"holds-allowed"`, `"resume":true,"holds-allowed"`)
	s.w.EventInterval, s.w.EventCount = 500*time.Millisecond, 12
	conn, r := s.open(up)
	status, _, err := answerOf(r)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	status, _, err = s.send(call("refused", prompt(20), "X-Class: nobody"))
	require.NoError(t, err)
	require.Equal(t, 400, status)

	s.w.InjectFault = func(c *standin.Call, _ int) standin.Fault {
		if c.ID == "mute" {
			return standin.Silent
		}
		return standin.None
	}
	type answer struct {
		status int
		body   string
		err    error
		at     time.Time
	}
	before, mute := make(chan answer, 1), make(chan answer, 1)
	ask := func(to chan answer, id string) {
		status, body, err := s.send(call(id, prompt(20), "X-Deadline: 7400m"))
		to <- answer{status, body, err, time.Now()}
	}
	go ask(before, "before")
	go ask(mute, "mute")
	require.Eventually(t, func() bool { return len(s.w.Calls(standin.Write)) == 2 }, 2*time.Second, time.Millisecond)
	began, stopped := time.Now(), make(chan error, 1)
	kill := began.Add(s.c.killAfter())
	go func() { stopped <- s.stop() }()
	time.Sleep(900 * time.Millisecond)
	_, err = io.WriteString(conn, call("late", prompt(20)))
	require.NoError(t, err)
	status, got, err := answerOf(r)
	require.Equal(t, 200, status)
	require.Error(t, err, "a stream that was cut off looks whole")
	require.Contains(t, got, "late 0")
	a := <-before
	require.Equal(t, 200, a.status)
	require.Error(t, a.err, "a stream that was cut off looks whole")
	require.Contains(t, a.body, "before 3", "it was cut off at once")
	require.True(t, a.at.Before(kill.Add(-time.Second)), "handed over too late")
	m := <-mute
	require.NoError(t, m.err, "a call that was taken got no answer")
	require.Equal(t, 500, m.status)
	require.True(t, m.at.Before(kill))
	require.NoError(t, <-stopped)
	require.Zero(t, s.w.HeldCount())
}

// TestReload: the new discovery is followed at once, what runs goes on, and a bad file changes nothing.
func TestReload(t *testing.T) {
	s := newSite(t)
	s.w.EventInterval = 100 * time.Millisecond
	next, err := standin.StartDiscovery([]discovery.Host{host(s.engines["reader-1"], "reads"), host(s.engines["writer-1"], "writes")})
	require.NoError(t, err)
	defer next.Close()
	answer := make(chan int, 1)
	go func() {
		status, _, _ := s.send(call("running", prompt(2000)))
		answer <- status
	}()
	require.Eventually(t, func() bool { return s.r.front.ActiveRequests() == 1 }, 2*time.Second, time.Millisecond)
	c := *s.c
	c.Discovery = next.Address()
	s.r.Reload(&c)
	require.NoError(t, s.list.Close())
	require.Eventually(t, func() bool { return next.RequestCount() >= 2 }, time.Second, time.Millisecond)
	require.Equal(t, 200, <-answer)
	before := len(s.w.Calls(standin.Write))
	for n := range 6 {
		status, _, err := s.send(call(fmt.Sprintf("later-%d", n), prompt(20)))
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	for _, w := range s.w.Calls(standin.Write)[before:] {
		require.Equal(t, "writer-1", w.Engine)
	}
}

// TestDrain: an engine that drains gets nothing new, whatever it is kept for.
func TestDrain(t *testing.T) {
	s := newSite(t)
	for n := range 4 {
		status, _, err := s.send(call(fmt.Sprintf("first-%d", n), prompt(20)))
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	h := host(s.engines["writer-0"], "writes")
	h.Health = "Terminating"
	s.list.Update(h)
	time.Sleep(50 * time.Millisecond) // the grace is a second
	told := time.Now()
	for n := range 8 {
		status, _, err := s.send(call(fmt.Sprintf("then-%d", n), prompt(20)))
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	for _, w := range s.w.Calls(standin.Write) {
		require.False(t, w.Engine == "writer-0" && w.Received.After(told))
	}
}

// TestBadDiscovery: an answer that can't be read, silence and unknown words leave the list in force, and it is asked
// again.
func TestBadDiscovery(t *testing.T) {
	for name, broken := range map[string]string{"cut": `{"seq":9,"whole":true,"hosts":[{"host":"x"`, "noise": "\x00\x01",
		"no hosts": `{"seq":9,"whole":true}`, "nothing": "", "unknown word": `{"seq":9,"whole":false,"hosts":[{"host":"writer-0","dial":"x:1","health":"Sleepy"}]}`} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			if broken == "" {
				require.NoError(t, s.list.Close())
			} else {
				s.list.SetFixedAnswer(broken)
				s.list.Update(host(s.engines["writer-0"], "writes")) // ends the watch
				asked := s.list.RequestCount()
				require.Eventually(t, func() bool { return s.list.RequestCount() > asked+1 }, 4*time.Second, 5*time.Millisecond)
			}
			status, _, err := s.send(call("served", prompt(2000)))
			require.NoError(t, err)
			require.Equal(t, 200, status)
		})
	}
}
