package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// listEntry is an entry of the engine list.
type listEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type listAnswer struct {
	Seq   int64       `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []listEntry `json:"hosts"`
}

// discovery is a stand-in for the agent on a router's machine. Its list does not change.
type discovery struct {
	list listAnswer
	ln   net.Listener
}

func startDiscovery(entries []listEntry) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{list: listAnswer{Seq: 1, Whole: true, Hosts: entries}, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serve)
	go (&http.Server{Handler: mux}).Serve(ln) //nolint:errcheck // ends with the process
	return d, nil
}

func (d *discovery) address() string { return d.ln.Addr().String() }

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	answer := d.list
	if from := r.URL.Query().Get("from"); from == strconv.FormatInt(d.list.Seq, 10) {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = listAnswer{Seq: d.list.Seq, Hosts: []listEntry{}}
	}
	text, err := json.Marshal(answer)
	if err == nil {
		w.Write(text) //nolint:errcheck // the router sees the failure
	}
}

// routerProcess is a router started by the deploy file's run line.
type routerProcess struct {
	cmd    *exec.Cmd
	listen string
	done   chan struct{}
	err    error
}

// runLine returns the run line of the deploy file, which is run from the root of the repository.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(strings.TrimSpace(line), `run = "`); found {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml: no run line")
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startRouter starts a router and waits until it is ready.
func startRouter(folder, name, discoveryAddress string, memoryMB, sockets int, known listAnswer, settings map[string]any) (*routerProcess, error) {
	command, err := runLine()
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discoveryAddress, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "known": known, "settings": settings})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(folder, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &routerProcess{cmd: exec.Command("/bin/sh", "-c", command), listen: listen, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "EDGE_NAME="+name, "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+discoveryAddress, "EDGE_CONFIG="+file, "TMPDIR="+folder)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if p.up() {
			return p, nil
		}
		select {
		case <-p.done:
			return nil, fmt.Errorf("router %s ended: %w", name, p.err)
		default:
		}
	}
	p.stop()
	return nil, fmt.Errorf("router %s is not ready", name)
}

func (p *routerProcess) up() bool {
	conn, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // reads fail then
	fmt.Fprint(conn, "GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200
}

// ended reports whether the process has ended by itself.
func (p *routerProcess) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends the process.
func (p *routerProcess) stop() {
	p.cmd.Process.Kill() //nolint:errcheck // it may have ended
	<-p.done
}

// memory returns the memory of the process's own, without the pages of its program, in KiB.
func (p *routerProcess) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kib
		}
	}
	return 0
}

// lane is a class of requests in the settings.
type lane struct {
	name, effect     string
	deadline, window time.Duration
}

// site is what the settings take from a site: the rest is that of a small deployment with two kinds of machines, reading and writing ones.
type site struct {
	drainGrace, letGo, idle           time.Duration
	secondCopies, resume, writersRead bool
	attempts                          int
	fallMultiple                      float64
	fall                              time.Duration
	columns                           []string
}

var (
	ammanQuoting = site{drainGrace: time.Second, letGo: 500 * time.Millisecond, idle: 30 * time.Second, secondCopies: true, resume: true, writersRead: true, attempts: 5,
		fallMultiple: 2.5, fall: 2 * time.Second, columns: []string{"util", "queue", "x0"}}
	partsAssist = site{drainGrace: 500 * time.Millisecond, letGo: time.Second, idle: 15 * time.Second, attempts: 6,
		fallMultiple: 3, fall: time.Second, columns: []string{"inflight", "queue", "x0", "x1"}}
)

// settings returns the settings that a router of the site gets.
func (t site) settings(l lane) map[string]any {
	return map[string]any{"balancers": 1, "rank": 0, "my-zone": 0, "zones": []string{"hall"}, "kinds": []string{"prefill", "decode"}, "granularity-ns": 2_000_000,
		"kind-of-service": "twostage", "stage": 0, "stages": []string{"models"}, "over-share-worth": 0.2, "registry-mode": "pushed", "weight-source": "nominal", "worth-by": "work",
		"callers": map[string]any{"marks-retry": false},
		"family-info": map[string]any{"aim-us-per-1000-prompt-tokens": []int{40000}, "token-aim-ns": []int{60_000_000}, "holds-allowed": false, "kv-tokens": []int{400000, 400000},
			"let-go-by-ns": t.letGo.Nanoseconds(), "resume": t.resume, "stage-of-kind": []string{"read", "write"}, "transfer-price": 0.03, "writers-read": t.writersRead},
		"lanes": []map[string]any{{"name": l.name, "aim-ns": 1_500_000_000, "give-up-ns": l.deadline.Nanoseconds(), "worth": 1.0, "late-worth": 0.3,
			"effect": l.effect, "group": "all", "window-ns": l.window.Nanoseconds(), "stream": true}},
		"limits": map[string]any{"cancel": true, "conn-idle-ns": t.idle.Nanoseconds(), "connect-timeout-ns": 250_000_000, "max-open": 1000, "max-retry-after-ns": 500_000_000,
			"max-streams": 32, "peers": false, "probes": true, "retry-after": true, "second-copies": t.secondCopies, "send-cap": t.attempts},
		"prices": map[string]any{"cross-zone": 0.0, "probe": 0.003},
		"rules": map[string]any{"cold-from": 0.28, "fall-ns": t.fall.Nanoseconds(), "grace-to-answer-ns": 8_000_000, "must-ask-in-ns": 10_000_000_000,
			"stop-sending-within-ns": t.drainGrace.Nanoseconds(), "tip-multiple": t.fallMultiple, "warm-up-ns": 12_000_000_000},
		"telemetry": map[string]any{"columns": t.columns, "how": "answers"}}
}
