package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/standin"
)

const platformConfig = `{"name":"r1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":256},
"settings":{"balancers":1,"my-zone":0,"zones":["here"],"kinds":["reads","writes"],"granularity-ns":2000000,
"family-info":{"holds-allowed":true,"let-go-by-ns":500000000,"stage-of-kind":["read","write"],"writers-read":true},
"lanes":[{"name":"chat","aim-ns":1500000000,"give-up-ns":7500000000,"worth":1,"effect":"free"}],
"limits":{"cancel":true,"send-cap":5,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000},"telemetry":{"columns":["util"]}}}`

// TestRunBySignals: under load, SIGHUP moves the program to another discovery, SIGHUP with a file that can't be read
// changes nothing, and SIGTERM ends it with every call answered and exit code 0.
func TestRunBySignals(t *testing.T) {
	procs, memory, percent := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1), debug.SetGCPercent(100)
	defer func() { // run sets them for its process
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
		debug.SetGCPercent(percent)
	}()
	w := standin.NewFleet()
	w.EventInterval = 20 * time.Millisecond
	var hosts []discovery.Host
	for name, machine := range map[string]string{"a": "reads", "b": "writes", "c": "writes"} {
		e, err := w.StartEngine(name, machine == "reads")
		require.NoError(t, err)
		defer e.Close()
		hosts = append(hosts, discovery.Host{Name: name, Address: e.Address(), Zone: "here", MachineKind: machine, Health: "Ready"})
	}
	var lists [2]*standin.Discovery
	for i := range lists {
		l, err := standin.StartDiscovery(append([]discovery.Host(nil), hosts...))
		require.NoError(t, err)
		defer l.Close()
		lists[i] = l
	}
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	listen := ln.Addr().String()
	require.NoError(t, ln.Close())
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(fmt.Sprintf(platformConfig, listen, lists[0].Address()))
	t.Setenv("EDGE_CONFIG", file)
	code := make(chan int, 1)
	go func() { code <- run([]string{"run"}) }()

	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	up := func() bool {
		resp, err := client.Get("http://" + listen + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	}
	require.Eventually(t, up, 5*time.Second, 5*time.Millisecond)
	var done atomic.Bool
	var load sync.WaitGroup
	var served, bad atomic.Int64
	for n := range 4 {
		load.Go(func() {
			for i := 0; !done.Load(); i++ {
				req, _ := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(`{"messages":[]}`))
				req.Header = http.Header{"X-Request-Id": {fmt.Sprintf("r%d-%d", n, i)}, "X-Class": {"chat"}, "X-Deadline": {"3000m"}}
				resp, err := client.Do(req)
				if err != nil {
					t.Logf("call r%d-%d: %v", n, i, err)
					bad.Add(1)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
					t.Logf("call r%d-%d: status %d, %v, %.200s", n, i, resp.StatusCode, err, body)
					bad.Add(1)
				}
				served.Add(1)
			}
		})
	}
	signal := func(s syscall.Signal) { require.NoError(t, syscall.Kill(os.Getpid(), s)) }
	time.Sleep(200 * time.Millisecond)
	write(fmt.Sprintf(platformConfig, listen, lists[1].Address()))
	signal(syscall.SIGHUP)
	require.Eventually(t, func() bool { return lists[1].RequestCount() >= 2 }, 2*time.Second, time.Millisecond)
	asked := lists[0].RequestCount()
	write("{")
	signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	require.True(t, up(), "a file that can't be read stopped the router")
	require.Equal(t, asked, lists[0].RequestCount())
	signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	done.Store(true)
	load.Wait()
	select {
	case got := <-code:
		require.Zero(t, got)
	case <-time.After(10 * time.Second):
		t.Fatal("the program does not end")
	}
	require.Zero(t, bad.Load())
	require.Greater(t, served.Load(), int64(20))
}

// TestRunWithoutConfig: the error names what is missing, and the exit code says bad use.
func TestRunWithoutConfig(t *testing.T) {
	t.Setenv("EDGE_CONFIG", "")
	require.Equal(t, 2, run([]string{"run"}))
}
