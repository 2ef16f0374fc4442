package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cherryhub/internal/platform/discovery"
)

// kinds of engines in all deployments here, with the roles that the settings give them.
var (
	kindNames = []string{"prefill", "decode", "mixed"}
	kindRoles = []string{"read", "write", "both"}
)

// deployment is what the configuration file of a router says.
type deployment struct {
	memoryMB, sockets int
	classes           []class
	resume            bool
}

// class is a class of requests.
type class struct {
	name     string
	effect   string // in the words of the wire: free, guarded, single_shot
	deadline time.Duration
}

// configuration returns the text of a configuration file, in the form of DEPLOY.md with the settings of the wire page.
func (d *deployment) configuration(listen, discoveryAddress string, known []discovery.EngineEntry) ([]byte, error) {
	lanes, tokenAims, aims := []any{}, []any{}, []any{}
	for _, c := range d.classes {
		lanes = append(lanes, map[string]any{"name": c.name, "aim-ns": int64(1500 * time.Millisecond), "give-up-ns": int64(c.deadline), "effect": c.effect,
			"group": "all", "window-ns": int64(5 * time.Second), "stream": true, "late-worth": 0.1, "worth": 3.0})
		tokenAims, aims = append(tokenAims, int64(60*time.Millisecond)), append(aims, 40000.0)
	}
	settings := map[string]any{
		"balancers": 1, "my-zone": 0, "zones": []string{"west"}, "kinds": kindNames, "granularity-ns": 2000000, "kind-of-service": "twostage",
		"lanes": lanes, "over-share-worth": 0.2, "rank": 0, "registry-mode": "pushed", "weight-source": "rough", "worth-by": "work",
		"family-info": map[string]any{"aim-us-per-1000-prompt-tokens": aims, "holds-allowed": true, "kv-tokens": []int{270000, 200000, 250000},
			"let-go-by-ns": int64(500 * time.Millisecond), "resume": d.resume, "stage-of-kind": kindRoles, "token-aim-ns": tokenAims,
			"transfer-price": 0.08, "writers-read": true},
		"limits": map[string]any{"cancel": true, "conn-idle-ns": int64(30 * time.Second), "connect-timeout-ns": int64(250 * time.Millisecond),
			"max-open": 20000, "max-retry-after-ns": int64(500 * time.Millisecond), "max-streams": 32, "peers": false, "probes": true,
			"retry-after": true, "second-copies": true, "send-cap": 5},
		"prices": map[string]any{"cross-zone": 0.0095, "probe": 0.003, "waste": 0.03},
		"rules": map[string]any{"cold-from": 0.28, "fall-ns": int64(2 * time.Second), "grace-to-answer-ns": 8000000,
			"stop-sending-within-ns": int64(time.Second), "tip-multiple": 2.5, "warm-up-ns": int64(12 * time.Second)},
		"telemetry": map[string]any{"columns": []string{"util", "queue", "x0"}, "how": "answers"},
		"tenants":   []any{map[string]any{"name": "sales-desk", "allowance-per-s": 1000.0, "share": 1.0}},
	}
	return json.MarshalIndent(map[string]any{"name": "n1", "listen": listen, "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
		"known":  discovery.EngineList{Version: 0, Snapshot: true, Entries: known}, "settings": settings}, "", " ")
}

// router is a router process, started by the run line of the deploy file.
type router struct {
	listen string
	cmd    *exec.Cmd
	ended  chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startRouter writes the configuration into the temporary folder, starts a router from the repository's root and waits until it is ready.
func startRouter(dir string, d *deployment, discoveryAddress string, known []discovery.EngineEntry) (*router, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run line")
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := d.configuration(listen, discoveryAddress, known)
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(dir, "router.log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	r := &router{listen: listen, cmd: exec.Command("/bin/sh", "-c", string(run[1])), ended: make(chan struct{})}
	r.cmd.Env = append(os.Environ(), "EDGE_NAME=n1", "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+discoveryAddress, "EDGE_CONFIG="+config, "TMPDIR="+dir)
	r.cmd.Stdout, r.cmd.Stderr = logFile, logFile
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		r.cmd.Wait() //nolint:errcheck // how it ended is in ProcessState
		close(r.ended)
	}()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && !r.hasEnded(); time.Sleep(20 * time.Millisecond) {
		if r.up() {
			return r, nil
		}
	}
	r.kill()
	return nil, fmt.Errorf("the router did not become ready")
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (r *router) up() bool {
	conn, err := net.DialTimeout("tcp", r.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // the read fails then
	fmt.Fprintf(conn, "GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
	b := make([]byte, 12)
	n, _ := conn.Read(b)
	return string(b[:n]) == "HTTP/1.1 200"
}

func (r *router) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// stop ends the router with SIGTERM, and with SIGKILL if it has not ended after the given time.
func (r *router) stop(within time.Duration) {
	r.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	select {
	case <-r.ended:
	case <-time.After(within):
		r.kill()
	}
}

func (r *router) kill() {
	r.cmd.Process.Kill() //nolint:errcheck // it may have ended
	<-r.ended
}

// memoryKB returns a line of the process's status in KB: RssAnon, VmHWM. It is 0 once the process has ended.
func (r *router) memoryKB(name string) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(r.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return n
		}
	}
	return 0
}
