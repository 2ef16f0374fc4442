package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherryhub/internal/crowd"
	"cherryhub/internal/loopback"
)

// CrowdOptions are of a run of Crowd.
type FloodOptions struct {
	Options
	MaxDescriptors int // of the router's descriptors
	FloodConns     int // connections under way at once
	KnownClients   int // clients
	IdleConns      int // connections for memory
}

// Flooded is what came of a flood with admission on or off.
type FloodResult struct {
	AdmissionOn              bool
	Report                   *crowd.Report
	BaselineP50, BaselineP99 float64 // seconds until a known client streams, without a flood
	KnownP50, KnownP99       float64 // and with it
	KnownMax                 float64
	KnownFailed, KnownTotal  int
}

// CrowdReport is what Crowd measures.
type FloodReport struct {
	Results                     []FloodResult
	CPUPerRefusal, CPUPerServed float64 // seconds of the router's CPU a connection
	RefusalsPerSecond           float64 // a second, with one core for the router
	BytesPerIdleConn            float64 // of memory an idle connection
	IdleConns                   int
}

const floodRouterSettings = `listen: %q admin_listen: %q
machines { name: "write" role: WRITER memory_tokens: 1e9 }
workloads { name: "m" client_timeout_s: 30 latency_target_s: 30 effect: IDEMPOTENT }
allowed { probes: false }
cold { fall_window_s: 0 }
timing { stream_idle_s: 600 idle_s: 600 }
log { level: ERROR }
list { file: %q }
tenants { name: "everybody" anonymous: true share_per_s: 1e6 }
`

// Crowd measures a router while everybody connects at once, with admission and without, in one run.
func RunFlood(ctx context.Context, o FloodOptions) (*FloodReport, error) {
	dir, err := os.MkdirTemp("", "cherryhub-crowd-")
	if err != nil {
		return nil, fmt.Errorf("crowd: %w", err)
	}
	defer os.RemoveAll(dir)
	engines, _, err := startEngines(o.Options, dir, 1)
	if err != nil {
		return nil, err
	}
	defer engines.Process.Kill() //nolint:errcheck // it may have ended
	r := &FloodReport{}
	for _, on := range []bool{false, true} {
		f, err := measureFlood(ctx, o, dir, on)
		if err != nil {
			return nil, err
		}
		r.Results = append(r.Results, *f)
	}
	if err := measureConnCPU(ctx, o, dir, r); err != nil {
		return nil, err
	}
	return r, measureIdleMemory(ctx, o, dir, r)
}

// startRouter starts a router with so many known clients, more settings and a limit of descriptors.
func startRouter(o FloodOptions, dir, more string, limit int, env ...string) (*Target, []string, error) {
	s := &Target{Name: "router"}
	var err error
	for _, a := range []*string{&s.address, &s.admin} {
		if *a, err = loopback.Address("127.0.0.1"); err != nil {
			return nil, nil, err
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, floodRouterSettings, s.address, s.admin, filepath.Join(dir, "list.json"))
	var keys []string
	for i := range o.KnownClients {
		key := fmt.Sprintf("key-%d", i)
		sum := sha256.Sum256([]byte(key))
		fmt.Fprintf(&text, "tenants { name: \"known-%d\" key_sha256: %q share_per_s: 1e6 }\n", i, hex.EncodeToString(sum[:]))
		keys = append(keys, key)
	}
	text.WriteString(more)
	file := filepath.Join(dir, "router.textproto")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		return nil, nil, fmt.Errorf("crowd: %w", err)
	}
	s.cmd = exec.Command("sh", "-c", fmt.Sprintf("{ ulimit -n %d || ulimit -n $(ulimit -Hn); } 2>/dev/null && exec \"$0\" serve --config \"$1\"", limit), o.Executable, file)
	s.cmd.Env, s.cmd.Stderr = append(os.Environ(), env...), os.Stderr
	if err := s.cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("crowd: router: %w", err)
	}
	client := newClient(1)
	defer client.CloseIdleConnections()
	for range 100 {
		if err = s.complete(context.Background(), client, func(time.Time) {}); err == nil {
			return s, keys, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	stopTargets([]*Target{s})
	return nil, nil, fmt.Errorf("crowd: the router does not answer: %w", err)
}

func loopbackAddresses(network, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("127.%d.%d.1", network, i))
	}
	return all
}

func measureFlood(ctx context.Context, o FloodOptions, dir string, on bool) (*FloodResult, error) {
	more := "admission { off: true }"
	if on {
		more = "" // its defaults
	}
	s, keys, err := startRouter(o, dir, more, o.MaxDescriptors)
	if err != nil {
		return nil, err
	}
	defer stopTargets([]*Target{s})
	c := crowd.Options{Target: s.address, Model: "m", Duration: o.Duration, HangTimeout: 10 * time.Second, KnownKeys: keys, KnownAddresses: loopbackAddresses(20, 200),
		KnownPause: 200 * time.Millisecond}
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	f := &FloodResult{AdmissionOn: on}
	h, _ := crowd.Run(ctx, c).KnownFirstTokenTimes()
	f.BaselineP50, f.BaselineP99 = seconds(h.ValueAtQuantile(50)), seconds(h.ValueAtQuantile(99))
	c.FloodAddresses, c.FloodConns, c.KnownDelay = loopbackAddresses(30, 16), o.FloodConns, o.Duration/4
	f.Report = crowd.Run(ctx, c)
	h, f.KnownFailed = f.Report.KnownFirstTokenTimes()
	f.KnownTotal = len(f.Report.KnownClients)
	f.KnownP50, f.KnownP99, f.KnownMax = seconds(h.ValueAtQuantile(50)), seconds(h.ValueAtQuantile(99)), seconds(h.Max())
	o.Logf("admission %v: known clients in after p50 %.1f, p99 %.1f ms, %d of %d never", on, 1e3*f.KnownP50, 1e3*f.KnownP99, f.KnownFailed, f.KnownTotal)
	return f, nil
}

// costs measures what a refused connection costs the router, and what one with a whole completion.
func measureConnCPU(ctx context.Context, o FloodOptions, dir string, r *FloodReport) error {
	const few = "admission { address_new_per_s: 0.01 address_burst: 1 max_wait_s: 3600 flood_new_per_s: 1 }"
	refuse := func(env ...string) (cpu, rate float64, err error) {
		s, _, err := startRouter(o, dir, few, o.MaxDescriptors, env...)
		if err != nil {
			return 0, 0, err
		}
		defer stopTargets([]*Target{s})
		before := s.cpuSeconds()
		sum := crowd.Run(ctx, crowd.Options{Target: s.address, Model: "m", FloodAddresses: loopbackAddresses(30, 16), FloodConns: 128, Behaviors: []crowd.Behavior{crowd.SendsRequest},
			Duration: o.Duration, HangTimeout: 10 * time.Second}).Total()
		if sum.Refused == 0 || sum.Served*100 > sum.Refused {
			return 0, 0, fmt.Errorf("crowd: %d refused, %d served: no measure of refusals", sum.Refused, sum.Served)
		}
		return (s.cpuSeconds() - before) / float64(sum.Refused), float64(sum.Refused) / o.Duration.Seconds(), nil
	}
	var err error
	if r.CPUPerRefusal, _, err = refuse(); err != nil {
		return err
	}
	if _, r.RefusalsPerSecond, err = refuse("GOMAXPROCS=1"); err != nil {
		return err
	}
	s, _, err := startRouter(o, dir, "admission { address_new_per_s: 1e6 address_burst: 1e6 }", o.MaxDescriptors)
	if err != nil {
		return err
	}
	defer stopTargets([]*Target{s})
	before := s.cpuSeconds()
	sum := crowd.Run(ctx, crowd.Options{Target: s.address, Model: "m", FloodAddresses: loopbackAddresses(30, 16), FloodConns: 64, Behaviors: []crowd.Behavior{crowd.SendsRequest},
		Duration: o.Duration, HangTimeout: 10 * time.Second}).Total()
	if sum.Served == 0 || sum.Refused*100 > sum.Served {
		return fmt.Errorf("crowd: %d served, %d refused: no measure of served connections", sum.Served, sum.Refused)
	}
	r.CPUPerServed = (s.cpuSeconds() - before) / float64(sum.Served)
	o.Logf("a refused connection %.1f µs of CPU, a served one %.1f; %.0f refused a second with one core", 1e6*r.CPUPerRefusal, 1e6*r.CPUPerServed, r.RefusalsPerSecond)
	return nil
}

// idle measures memory with many connections open that had one call each.
func measureIdleMemory(ctx context.Context, o FloodOptions, dir string, r *FloodReport) error {
	if o.IdleConns == 0 {
		return nil
	}
	more := fmt.Sprintf("admission { max_connections: %d reserve_connections: %d anteroom: 1 leaving: 64 per_address: %d address_new_per_s: 1e6 address_burst: 1e6 }",
		o.IdleConns+o.KnownClients+16, o.KnownClients, o.IdleConns)
	s, _, err := startRouter(o, dir, more, o.IdleConns+o.KnownClients+2000)
	if err != nil {
		return err
	}
	defer stopTargets([]*Target{s})
	before := s.residentBytes()
	var open atomic.Int64
	var mu sync.Mutex
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close() //nolint:errcheck // done with it
		}
	}()
	from := loopbackAddresses(40, 32)
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for n := w; n < o.IdleConns && ctx.Err() == nil; n += 16 {
				d := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from[n%len(from)])}}
				conn, err := d.Dial("tcp", s.address)
				if err != nil {
					continue
				}
				io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n") //nolint:errcheck // the read tells
				conn.SetReadDeadline(time.Now().Add(5 * time.Second))              //nolint:errcheck // as above
				if n, err := conn.Read(make([]byte, 512)); err == nil && n > 0 {
					open.Add(1)
				}
				mu.Lock()
				held = append(held, conn)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	r.IdleConns = int(open.Load())
	if r.IdleConns == 0 {
		return fmt.Errorf("crowd: no idle connection could be opened")
	}
	r.BytesPerIdleConn = (s.residentBytes() - before) / float64(r.IdleConns)
	o.Logf("%d idle connections, %.1f KiB each", r.IdleConns, r.BytesPerIdleConn/1024)
	return nil
}

// PrintCrowd writes what Crowd measured.
func PrintFlood(w io.Writer, r *FloodReport) {
	for _, f := range r.Results {
		sum := f.Report.Total()
		fmt.Fprintf(w, "admission on: %v\n", f.AdmissionOn)
		fmt.Fprintf(w, "  flood: %d connections, %d served, %d refused whole, %d closed without a word, %d broken, %d hung, %d could not connect\n",
			sum.Tried, sum.Served, sum.Refused, sum.Closed, sum.Broken, sum.Hung, sum.NoDial)
		calls := f.Report.Flood[crowd.SendsRequest].Waits
		fmt.Fprintf(w, "  from connected to a refusal, those who send a call: p50 %.2f, p99 %.2f, worst %.2f ms\n", float64(calls.ValueAtQuantile(50))/1e3,
			float64(calls.ValueAtQuantile(99))/1e3, float64(calls.Max())/1e3)
		fmt.Fprintf(w, "  known clients, dial to first token: calm p50 %.1f, p99 %.1f ms; flooded p50 %.1f, p99 %.1f, worst %.1f ms; %d of %d never got in\n",
			1e3*f.BaselineP50, 1e3*f.BaselineP99, 1e3*f.KnownP50, 1e3*f.KnownP99, 1e3*f.KnownMax, f.KnownFailed, f.KnownTotal)
	}
	fmt.Fprintf(w, "CPU: a refused connection %.1f µs, one served %.1f µs: 1 to %.0f\n", 1e6*r.CPUPerRefusal, 1e6*r.CPUPerServed, r.CPUPerServed/r.CPUPerRefusal)
	fmt.Fprintf(w, "refusals a second, one core for the router: %.0f\n", r.RefusalsPerSecond)
	if r.IdleConns > 0 {
		fmt.Fprintf(w, "memory at %d idle connections: %.1f KiB each\n", r.IdleConns, r.BytesPerIdleConn/1024)
	}
}
