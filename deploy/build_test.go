package deploy

import (
	"context"
	"debug/elf"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/standin"
)

// deployValue returns a value of the deploy file.
func deployValue(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	require.NoError(t, err)
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	require.NotNil(t, found, "balancer.toml: no %s", key)
	return string(found[1])
}

// TestBuildAndRun checks the commands of the deploy file: the built program is dynamically linked against the C library,
// the run command replaces the shell by exec and starts no other process, and the program answers GET /up and ends on
// SIGTERM with exit code 0.
func TestBuildAndRun(t *testing.T) {
	build := exec.Command("/bin/sh", "-c", deployValue(t, "build"))
	build.Dir = ".."
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)

	file, err := elf.Open("../bin/cherryhub")
	require.NoError(t, err)
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, strings.Join(libraries, " "), "libc.so", "linked dynamically")

	engine, err := standin.NewFleet().StartEngine("a", false)
	require.NoError(t, err)
	defer engine.Close()
	discoveryService, err := standin.StartDiscovery([]discovery.EngineEntry{{Name: "a", Address: engine.Address(), Zone: "here", MachineKind: "both", Health: "Ready"}})
	require.NoError(t, err)
	defer discoveryService.Close()
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	listen := ln.Addr().String()
	require.NoError(t, ln.Close())
	config := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(config, fmt.Appendf(nil, `{"name":"r1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
"settings":{"balancers":1,"my-zone":0,"zones":["here"],"kinds":["both"],"granularity-ns":2000000,
"family-info":{"let-go-by-ns":500000000,"stage-of-kind":["both"],"writers-read":true},
"lanes":[{"name":"chat","aim-ns":1500000000,"give-up-ns":7500000000,"worth":1,"effect":"free"}],
"limits":{"send-cap":5,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000}}}`, listen, discoveryService.Address()), 0o600))

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	run := exec.CommandContext(ctx, "/bin/sh", "-c", deployValue(t, "run"))
	run.Dir = ".."
	run.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	require.NoError(t, run.Start())
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	require.Eventually(t, func() bool {
		resp, err := client.Get("http://" + listen + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond, "GET /up")
	program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", run.Process.Pid))
	require.NoError(t, err)
	require.Equal(t, "cherryhub", filepath.Base(program), "the shell was not replaced by the program")
	children, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", run.Process.Pid))
	require.NoError(t, err)
	for _, childrenPath := range children {
		text, err := os.ReadFile(childrenPath)
		if err == nil { // otherwise the thread has ended
			require.Empty(t, strings.TrimSpace(string(text)), "a child process")
		}
	}
	require.NoError(t, run.Process.Signal(syscall.SIGTERM))
	require.NoError(t, run.Wait())
}
