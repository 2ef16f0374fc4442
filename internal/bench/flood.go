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

// FloodOptions configures RunFlood.
type FloodOptions struct {
	Options
	MaxDescriptors int // descriptor limit of the router
	FloodConns     int // concurrent connections of the flood
	KnownClients   int // number of known clients
	IdleConns      int // idle connections for the memory measurement, 0 for none
}

// FloodResult is the result of a flood with admission on or off.
type FloodResult struct {
	AdmissionOn              bool
	Report                   *crowd.Report
	BaselineP50, BaselineP99 float64 // seconds to a known client's first token, without a flood
	KnownP50, KnownP99       float64 // the same during the flood
	KnownMax                 float64
	KnownFailed, KnownTotal  int
}

// FloodReport is the result of RunFlood.
type FloodReport struct {
	Results                     []FloodResult
	CPUPerRefusal, CPUPerServed float64 // seconds of the router's CPU time per connection
	RefusalsPerSecond           float64 // with one core for the router
	BytesPerIdleConn            float64 // memory per idle connection
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

// RunFlood measures a router under a flood of connections, without admission and with it, in one run.
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
	report := &FloodReport{}
	for _, admissionOn := range []bool{false, true} {
		result, err := measureFlood(ctx, o, dir, admissionOn)
		if err != nil {
			return nil, err
		}
		report.Results = append(report.Results, *result)
	}
	if err := measureConnCPU(ctx, o, dir, report); err != nil {
		return nil, err
	}
	return report, measureIdleMemory(ctx, o, dir, report)
}

// startRouter starts a router with the known clients, extra settings and a descriptor limit. It returns the clients' keys.
func startRouter(o FloodOptions, dir, extraSettings string, maxDescriptors int, env ...string) (*Target, []string, error) {
	router := &Target{Name: "router"}
	var err error
	for _, address := range []*string{&router.address, &router.admin} {
		if *address, err = loopback.FreeAddress("127.0.0.1"); err != nil {
			return nil, nil, err
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, floodRouterSettings, router.address, router.admin, filepath.Join(dir, "list.json"))
	var keys []string
	for i := range o.KnownClients {
		key := fmt.Sprintf("key-%d", i)
		hash := sha256.Sum256([]byte(key))
		fmt.Fprintf(&text, "tenants { name: \"known-%d\" key_sha256: %q share_per_s: 1e6 }\n", i, hex.EncodeToString(hash[:]))
		keys = append(keys, key)
	}
	text.WriteString(extraSettings)
	file := filepath.Join(dir, "router.textproto")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		return nil, nil, fmt.Errorf("crowd: %w", err)
	}
	router.cmd = exec.Command("sh", "-c", fmt.Sprintf("{ ulimit -n %d || ulimit -n $(ulimit -Hn); } 2>/dev/null && exec \"$0\" serve --config \"$1\"", maxDescriptors), o.Executable, file)
	router.cmd.Env, router.cmd.Stderr = append(os.Environ(), env...), os.Stderr
	if err := router.cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("crowd: router: %w", err)
	}
	client := newClient(1)
	defer client.CloseIdleConnections()
	for range 100 {
		if err = router.complete(context.Background(), client, func(time.Time) {}); err == nil {
			return router, keys, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	stopTargets([]*Target{router})
	return nil, nil, fmt.Errorf("crowd: the router does not answer: %w", err)
}

func loopbackAddresses(network, n int) (addresses []string) {
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.1", network, i))
	}
	return addresses
}

func measureFlood(ctx context.Context, o FloodOptions, dir string, admissionOn bool) (*FloodResult, error) {
	extraSettings := "admission { off: true }"
	if admissionOn {
		extraSettings = "" // the defaults
	}
	router, keys, err := startRouter(o, dir, extraSettings, o.MaxDescriptors)
	if err != nil {
		return nil, err
	}
	defer stopTargets([]*Target{router})
	options := crowd.Options{Target: router.address, Model: "m", Duration: o.Duration, HangTimeout: 10 * time.Second, KnownKeys: keys, KnownAddresses: loopbackAddresses(20, 200),
		KnownPause: 200 * time.Millisecond}
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	result := &FloodResult{AdmissionOn: admissionOn}
	times, _ := crowd.Run(ctx, options).KnownFirstTokenTimes()
	result.BaselineP50, result.BaselineP99 = seconds(times.ValueAtQuantile(50)), seconds(times.ValueAtQuantile(99))
	options.FloodAddresses, options.FloodConns, options.KnownDelay = loopbackAddresses(30, 16), o.FloodConns, o.Duration/4
	result.Report = crowd.Run(ctx, options)
	times, result.KnownFailed = result.Report.KnownFirstTokenTimes()
	result.KnownTotal = len(result.Report.KnownClients)
	result.KnownP50, result.KnownP99, result.KnownMax = seconds(times.ValueAtQuantile(50)), seconds(times.ValueAtQuantile(99)), seconds(times.Max())
	o.Logf("admission %v: known clients' first token p50 %.1f, p99 %.1f ms, %d of %d not served", admissionOn, 1e3*result.KnownP50, 1e3*result.KnownP99, result.KnownFailed, result.KnownTotal)
	return result, nil
}

// measureConnCPU measures the router's CPU time for a refused connection, and for one with a complete completion.
func measureConnCPU(ctx context.Context, o FloodOptions, dir string, report *FloodReport) error {
	const fewAdmitted = "admission { address_new_per_s: 0.01 address_burst: 1 max_wait_s: 3600 flood_new_per_s: 1 }"
	measureRefusals := func(env ...string) (cpu, rate float64, err error) {
		router, _, err := startRouter(o, dir, fewAdmitted, o.MaxDescriptors, env...)
		if err != nil {
			return 0, 0, err
		}
		defer stopTargets([]*Target{router})
		cpuBefore := router.cpuSeconds()
		total := crowd.Run(ctx, crowd.Options{Target: router.address, Model: "m", FloodAddresses: loopbackAddresses(30, 16), FloodConns: 128, Behaviors: []crowd.Behavior{crowd.SendsRequest},
			Duration: o.Duration, HangTimeout: 10 * time.Second}).Total()
		if total.Refused == 0 || total.Served*100 > total.Refused {
			return 0, 0, fmt.Errorf("crowd: %d refused, %d served: nearly all connections must be refused for this measurement", total.Refused, total.Served)
		}
		return (router.cpuSeconds() - cpuBefore) / float64(total.Refused), float64(total.Refused) / o.Duration.Seconds(), nil
	}
	var err error
	if report.CPUPerRefusal, _, err = measureRefusals(); err != nil {
		return err
	}
	if _, report.RefusalsPerSecond, err = measureRefusals("GOMAXPROCS=1"); err != nil {
		return err
	}
	router, _, err := startRouter(o, dir, "admission { address_new_per_s: 1e6 address_burst: 1e6 }", o.MaxDescriptors)
	if err != nil {
		return err
	}
	defer stopTargets([]*Target{router})
	cpuBefore := router.cpuSeconds()
	total := crowd.Run(ctx, crowd.Options{Target: router.address, Model: "m", FloodAddresses: loopbackAddresses(30, 16), FloodConns: 64, Behaviors: []crowd.Behavior{crowd.SendsRequest},
		Duration: o.Duration, HangTimeout: 10 * time.Second}).Total()
	if total.Served == 0 || total.Refused*100 > total.Served {
		return fmt.Errorf("crowd: %d served, %d refused: nearly all connections must be served for this measurement", total.Served, total.Refused)
	}
	report.CPUPerServed = (router.cpuSeconds() - cpuBefore) / float64(total.Served)
	o.Logf("CPU per refused connection %.1f µs, per served one %.1f µs; %.0f refusals per second with one core", 1e6*report.CPUPerRefusal, 1e6*report.CPUPerServed, report.RefusalsPerSecond)
	return nil
}

// measureIdleMemory measures memory with many open idle connections that had one request each.
func measureIdleMemory(ctx context.Context, o FloodOptions, dir string, report *FloodReport) error {
	if o.IdleConns == 0 {
		return nil
	}
	extraSettings := fmt.Sprintf("admission { max_connections: %d reserve_connections: %d anteroom: 1 leaving: 64 per_address: %d address_new_per_s: 1e6 address_burst: 1e6 }",
		o.IdleConns+o.KnownClients+16, o.KnownClients, o.IdleConns)
	router, _, err := startRouter(o, dir, extraSettings, o.IdleConns+o.KnownClients+2000)
	if err != nil {
		return err
	}
	defer stopTargets([]*Target{router})
	bytesBefore := router.residentBytes()
	var open atomic.Int64
	var mu sync.Mutex
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close() //nolint:errcheck // no longer used
		}
	}()
	addresses := loopbackAddresses(40, 32)
	var wg sync.WaitGroup
	for worker := range 16 {
		wg.Go(func() {
			for connNumber := worker; connNumber < o.IdleConns && ctx.Err() == nil; connNumber += 16 {
				dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(addresses[connNumber%len(addresses)])}}
				conn, err := dialer.Dial("tcp", router.address)
				if err != nil {
					continue
				}
				io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n") //nolint:errcheck // the read fails then
				conn.SetReadDeadline(time.Now().Add(5 * time.Second))              //nolint:errcheck // as above
				if n, err := conn.Read(make([]byte, 512)); err == nil && n > 0 {
					open.Add(1)
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	report.IdleConns = int(open.Load())
	if report.IdleConns == 0 {
		return fmt.Errorf("crowd: no idle connection could be opened")
	}
	report.BytesPerIdleConn = (router.residentBytes() - bytesBefore) / float64(report.IdleConns)
	o.Logf("%d idle connections, %.1f KiB each", report.IdleConns, report.BytesPerIdleConn/1024)
	return nil
}

// PrintFlood writes the result of RunFlood.
func PrintFlood(w io.Writer, report *FloodReport) {
	for _, result := range report.Results {
		total := result.Report.Total()
		fmt.Fprintf(w, "admission on: %v\n", result.AdmissionOn)
		fmt.Fprintf(w, "  flood: %d connections, %d served, %d refused, %d closed without an answer, %d with an invalid answer, %d hung, %d could not connect\n",
			total.Tried, total.Served, total.Refused, total.Closed, total.Broken, total.Hung, total.NoDial)
		requests := result.Report.Flood[crowd.SendsRequest].Waits
		fmt.Fprintf(w, "  time from connected to refused, for connections that send a request: p50 %.2f, p99 %.2f, worst %.2f ms\n", float64(requests.ValueAtQuantile(50))/1e3,
			float64(requests.ValueAtQuantile(99))/1e3, float64(requests.Max())/1e3)
		fmt.Fprintf(w, "  known clients, dial to first token: without flood p50 %.1f, p99 %.1f ms; with flood p50 %.1f, p99 %.1f, worst %.1f ms; %d of %d not served\n",
			1e3*result.BaselineP50, 1e3*result.BaselineP99, 1e3*result.KnownP50, 1e3*result.KnownP99, 1e3*result.KnownMax, result.KnownFailed, result.KnownTotal)
	}
	fmt.Fprintf(w, "CPU per refused connection %.1f µs, per served connection %.1f µs: ratio 1 to %.0f\n", 1e6*report.CPUPerRefusal, 1e6*report.CPUPerServed, report.CPUPerServed/report.CPUPerRefusal)
	fmt.Fprintf(w, "refusals per second, one core for the router: %.0f\n", report.RefusalsPerSecond)
	if report.IdleConns > 0 {
		fmt.Fprintf(w, "memory with %d idle connections: %.1f KiB each\n", report.IdleConns, report.BytesPerIdleConn/1024)
	}
}
