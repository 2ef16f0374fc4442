package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/standin"
)

// configJSON returns the configuration of the smallest deployment.
func configJSON(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"r1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"seq":0,"whole":true,"hosts":[]},
"settings":{"balancers":1,"my-zone":0,"zones":["here","there"],"kinds":["reads","writes"],"granularity-ns":2000000,
"family-info":{"holds-allowed":true,"kv-tokens":[200000,200000],"let-go-by-ns":500000000,"stage-of-kind":["read","write"],"writers-read":true},
"lanes":[{"name":"chat","aim-ns":1500000000,"give-up-ns":7500000000,"worth":1,"effect":"free"},
{"name":"once","aim-ns":1500000000,"give-up-ns":7500000000,"worth":1,"effect":"single_shot"}],
"limits":{"cancel":true,"probes":false,"retry-after":true,"max-retry-after-ns":500000000,"send-cap":5,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000},
"rules":{"cold-from":0.3,"warm-up-ns":1000000000,"tip-multiple":2.5,"fall-ns":2000000000},
"telemetry":{"columns":["util","queue","x0"]},"tenants":[{"name":"acme","allowance-per-s":1000}]}}`, listen, discovery)
}

// cluster is a router with stand-in engines: two readers and two writers.
type cluster struct {
	t         *testing.T
	fleet     *standin.Fleet
	engines   map[string]*standin.Engine
	discovery *standin.Discovery
	config    *Config
	router    *Router
}

func engineEntry(e *standin.Engine, machine string) discovery.EngineEntry {
	return discovery.EngineEntry{Name: e.Name, Address: e.Address(), Zone: "here", MachineKind: machine, Cell: 1, Health: "Ready", Share: 1}
}

func newCluster(t *testing.T, replacements ...string) *cluster {
	t.Helper()
	s := &cluster{t: t, fleet: standin.NewFleet(), engines: map[string]*standin.Engine{}}
	var entries []discovery.EngineEntry
	for _, name := range [...]string{"reader-0", "reader-1", "writer-0", "writer-1"} {
		reads := strings.HasPrefix(name, "reader")
		e, err := s.fleet.StartEngine(name, reads)
		require.NoError(t, err)
		t.Cleanup(e.Close)
		s.engines[name] = e
		machine := "writes"
		if reads {
			machine = "reads"
		}
		entries = append(entries, engineEntry(e, machine))
	}
	var err error
	s.discovery, err = standin.StartDiscovery(entries)
	require.NoError(t, err)
	t.Cleanup(func() { s.discovery.Close() })
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	listen := ln.Addr().String()
	require.NoError(t, ln.Close())
	s.config, err = Parse([]byte(strings.NewReplacer(replacements...).Replace(configJSON(listen, s.discovery.Address()))))
	require.NoError(t, err)
	s.router, err = Start(s.config, slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelDebug})))
	require.NoError(t, err)
	t.Cleanup(func() {
		if s.router != nil {
			require.NoError(t, s.stop())
		}
	})
	require.Eventually(t, func() bool {
		status, _, _ := s.send("GET /up HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
		return status == 200
	}, 5*time.Second, 5*time.Millisecond, "the router did not become ready")
	return s
}

func (s *cluster) stop() error {
	r := s.router
	s.router = nil
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return r.Stop(ctx)
}

// promptBody returns a request body with a prompt of about this many tokens.
func promptBody(tokens int) string {
	return `{"model":"chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"` + strings.Repeat("word", tokens) + `"}]}`
}

// chatRequest returns a completion request. headers replace the default ones of the same name or are added to them.
func chatRequest(id, body string, headers ...string) string {
	values := map[string]string{"X-Request-Id": id, "X-Class": "chat", "X-Tenant": "acme", "X-Key": "k-" + id, "X-Deadline": "4000m",
		"X-Extras": fmt.Sprintf("prompt_len=%d,max_out=20", len(body)/4)}
	order := []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Key", "X-Deadline", "X-Extras"}
	for _, f := range headers {
		name, value, _ := strings.Cut(f, ": ")
		if _, exists := values[name]; !exists {
			order = append(order, name)
		}
		values[name] = value
	}
	var b strings.Builder
	b.WriteString("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n")
	for _, name := range order {
		if values[name] != "" {
			b.WriteString(name + ": " + values[name] + "\r\n")
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// dial opens a client connection, which is closed at the end of the test, and writes text to it.
func (s *cluster) dial(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.config.Listen)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a test
	_, err = io.WriteString(conn, text)
	require.NoError(s.t, err)
	return conn, bufio.NewReader(conn)
}

const upRequest = "GET /up HTTP/1.1\r\nHost: r\r\n\r\n"

// send writes text to a new connection and reads one response. The status is 0 if the connection was closed without a
// response; err is set if the response is incomplete.
func (s *cluster) send(text string) (status int, body string, err error) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.config.Listen)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a test
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "", err
	}
	return readResponse(bufio.NewReader(conn))
}

func readResponse(r *bufio.Reader) (int, string, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// awaitIdle waits until no dispatch is running and no state is held.
func (s *cluster) awaitIdle() {
	s.t.Helper()
	r := s.router // the last poll may happen after the end of the test
	require.Eventually(s.t, func() bool {
		_, dispatches := r.edge.Active()
		return dispatches == 0 && s.fleet.HeldCount() == 0 && r.planner.Stats().OpenCompletions == 0
	}, 5*time.Second, 5*time.Millisecond, "dispatches running or states held")
}
