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

// TestRunSignals checks the signals of the run command under load: SIGHUP switches to another discovery service, SIGHUP
// with an invalid file changes nothing, and SIGTERM ends the program with every request answered and exit code 0.
func TestRunSignals(t *testing.T) {
	procs, memory, percent := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1), debug.SetGCPercent(100)
	defer func() { // the run command changes these for the whole process
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
		debug.SetGCPercent(percent)
	}()
	fleet := standin.NewFleet()
	fleet.EventInterval = 20 * time.Millisecond
	var entries []discovery.EngineEntry
	for name, machineKind := range map[string]string{"a": "reads", "b": "writes", "c": "writes"} {
		engine, err := fleet.StartEngine(name, machineKind == "reads")
		require.NoError(t, err)
		defer engine.Close()
		entries = append(entries, discovery.EngineEntry{Name: name, Address: engine.Address(), Zone: "here", MachineKind: machineKind, Health: "Ready"})
	}
	var discoveries [2]*standin.Discovery
	for i := range discoveries {
		service, err := standin.StartDiscovery(append([]discovery.EngineEntry(nil), entries...))
		require.NoError(t, err)
		defer service.Close()
		discoveries[i] = service
	}
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	listen := ln.Addr().String()
	require.NoError(t, ln.Close())
	configFile := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text string) { require.NoError(t, os.WriteFile(configFile, []byte(text), 0o600)) }
	writeConfig(fmt.Sprintf(platformConfig, listen, discoveries[0].Address()))
	t.Setenv("EDGE_CONFIG", configFile)
	code := make(chan int, 1)
	go func() { code <- run([]string{"run"}) }()

	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	isUp := func() bool {
		resp, err := client.Get("http://" + listen + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	}
	require.Eventually(t, isUp, 5*time.Second, 5*time.Millisecond)
	var stopLoad atomic.Bool
	var load sync.WaitGroup
	var served, failed atomic.Int64
	for n := range 4 {
		load.Go(func() {
			for i := 0; !stopLoad.Load(); i++ {
				req, _ := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(`{"messages":[]}`))
				req.Header = http.Header{"X-Request-Id": {fmt.Sprintf("r%d-%d", n, i)}, "X-Class": {"chat"}, "X-Deadline": {"3000m"}}
				resp, err := client.Do(req)
				if err != nil {
					t.Logf("request r%d-%d: %v", n, i, err)
					failed.Add(1)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
					t.Logf("request r%d-%d: status %d, %v, %.200s", n, i, resp.StatusCode, err, body)
					failed.Add(1)
				}
				served.Add(1)
			}
		})
	}
	sendSignal := func(s syscall.Signal) { require.NoError(t, syscall.Kill(os.Getpid(), s)) }
	time.Sleep(200 * time.Millisecond)
	writeConfig(fmt.Sprintf(platformConfig, listen, discoveries[1].Address()))
	sendSignal(syscall.SIGHUP)
	require.Eventually(t, func() bool { return discoveries[1].RequestCount() >= 2 }, 2*time.Second, time.Millisecond)
	requestsBefore := discoveries[0].RequestCount()
	writeConfig("{")
	sendSignal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	require.True(t, isUp(), "an invalid file stopped the router")
	require.Equal(t, requestsBefore, discoveries[0].RequestCount())
	sendSignal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	stopLoad.Store(true)
	load.Wait()
	select {
	case exitCode := <-code:
		require.Zero(t, exitCode)
	case <-time.After(10 * time.Second):
		t.Fatal("the program did not end within 10 s of SIGTERM")
	}
	require.Zero(t, failed.Load())
	require.Greater(t, served.Load(), int64(20))
}

// TestRunWithoutConfig checks that a missing EDGE_CONFIG gives the exit code for wrong usage.
func TestRunWithoutConfig(t *testing.T) {
	t.Setenv("EDGE_CONFIG", "")
	require.Equal(t, 2, run([]string{"run"}))
}
