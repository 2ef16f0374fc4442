// Package bench compares a router with a plain reverse proxy that picks engines at random, in one run on loopback with the same stand-in
// engines. It measures throughput at saturation, added time to the first token at half of that throughput, memory per open stream and CPU
// time per completion. Router, proxy and engines are separate processes. It produces the project's own figures: cmd/cherryhub bench
// calls it, no test does.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/config"
	"cherryhub/internal/loopback"
	"cherryhub/internal/standin"
	pb "cherryhub/proto"
)

// Options configures a run.
type Options struct {
	Executable  string        // path of this program, which also runs router, proxy and engines
	Rounds      int           // rounds of router and proxy in alternation
	Duration    time.Duration // of one measurement
	Clients     int           // concurrent clients at saturation
	OpenStreams int           // concurrent streams for the memory measurement, 0 for none
	Logf        func(format string, a ...any)
}

// Target is a measured server, router or proxy, with its results.
type Target struct {
	Name                         string
	Throughput                   []float64 // completions per second, one value per round
	CPUSeconds                   []float64 // CPU time per completion
	DecideSeconds                []float64 // part of it in decide
	FirstTokenP50, FirstTokenP99 []float64 // seconds to the first token, at half of the lower throughput
	BytesPerStream               float64   // memory per open stream
	Failed                       int64
	address, admin               string
	cmd                          *exec.Cmd
}

const requestBody = `{"model":"m","stream":true,"max_tokens":16,"messages":[{"role":"system","content":"You answer in a few words."},` +
	`{"role":"user","content":"Which flange fits a two inch bore with six bolts on the circle?"}]}`

const fleetSettings = `listen_host: "127.0.0.1"
engines { name: "writer" count: 4 machine: "write" role: WRITER slots: 10000 queue: 10000 memory_tokens: 1e9 read_tokens_per_s: 1e9 token_ms: %v mean_answer_tokens: 8 }
cold { fall_window_s: 0 }`

const routerSettings = `listen: %q admin_listen: %q
machines { name: "write" role: WRITER memory_tokens: 1e9 }
workloads { name: "m" client_timeout_s: 30 latency_target_s: 30 effect: IDEMPOTENT }
allowed { probes: false }
cold { fall_window_s: 0 }
limits { max_completions: 100000 mailbox: 50000 }
timing { stream_idle_s: 600 }
admission { off: true }
log { level: ERROR }
list { file: %q }`

// Run measures both targets and returns them, the router first.
func Run(ctx context.Context, o Options) (targets []*Target, err error) {
	dir, err := os.MkdirTemp("", "cherryhub-bench-")
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	defer os.RemoveAll(dir)
	engines, addresses, err := startEngines(o, dir, 0)
	if err != nil {
		return nil, err
	}
	defer engines.Process.Kill() //nolint:errcheck // it may have ended
	targets, err = startTargets(o, dir, addresses)
	if err != nil {
		return nil, err
	}
	defer stopTargets(targets)
	for _, t := range targets { // warm up
		t.saturate(ctx, o.Clients, o.Duration/2)
	}
	for round := range o.Rounds {
		for i := range targets {
			t := targets[(i+round)%len(targets)]
			cpu, decide := t.cpuSeconds(), t.decideSeconds()
			done, failed := t.saturate(ctx, o.Clients, o.Duration)
			t.Failed += failed
			t.Throughput = append(t.Throughput, float64(done)/o.Duration.Seconds())
			t.CPUSeconds = append(t.CPUSeconds, (t.cpuSeconds()-cpu)/float64(done))
			t.DecideSeconds = append(t.DecideSeconds, (t.decideSeconds()-decide)/float64(done))
			o.Logf("%s: %.0f completions/s, %.0f µs CPU each, %.0f µs of it in decide, %d failed", t.Name,
				t.Throughput[len(t.Throughput)-1], 1e6*t.CPUSeconds[len(t.CPUSeconds)-1], 1e6*t.DecideSeconds[len(t.DecideSeconds)-1], failed)
		}
	}
	rate := min(median(targets[0].Throughput), median(targets[1].Throughput)) / 2
	for round := range o.Rounds {
		for i := range targets {
			t := targets[(i+round)%len(targets)]
			h := t.openLoop(ctx, rate, o.Duration)
			t.FirstTokenP50 = append(t.FirstTokenP50, float64(h.ValueAtQuantile(50))/1e6)
			t.FirstTokenP99 = append(t.FirstTokenP99, float64(h.ValueAtQuantile(99))/1e6)
			o.Logf("%s at %.0f/s: first token p50 %.2f ms, p99 %.2f ms", t.Name, rate, 1e3*t.FirstTokenP50[len(t.FirstTokenP50)-1], 1e3*t.FirstTokenP99[len(t.FirstTokenP99)-1])
		}
	}
	return targets, measureStreamMemory(ctx, o, dir, targets)
}

// measureStreamMemory measures memory with many open streams, at engines that write one token per minute.
func measureStreamMemory(ctx context.Context, o Options, dir string, results []*Target) error {
	if o.OpenStreams == 0 {
		return nil
	}
	engines, addresses, err := startEngines(o, dir, 60000)
	if err != nil {
		return err
	}
	defer engines.Process.Kill() //nolint:errcheck // it may have ended
	targets, err := startTargets(o, dir, addresses)
	if err != nil {
		return err
	}
	defer stopTargets(targets)
	for i, t := range targets {
		bytesBefore := t.residentBytes()
		ctx, cancel := context.WithCancel(ctx)
		var open, failed atomic.Int64
		var streams sync.WaitGroup
		client := newClient(o.OpenStreams)
		for stream := range o.OpenStreams {
			streams.Go(func() {
				if t.complete(ctx, client, func(time.Time) { open.Add(1) }) != nil && ctx.Err() == nil {
					failed.Add(1)
				}
			})
			if stream%200 == 199 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		for deadline := time.Now().Add(time.Minute); open.Load()+failed.Load() < int64(o.OpenStreams) && time.Now().Before(deadline); {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		results[i].BytesPerStream = (t.residentBytes() - bytesBefore) / float64(open.Load())
		o.Logf("%s: %d streams open, %d failed, %.1f KiB each", t.Name, open.Load(), failed.Load(), results[i].BytesPerStream/1024)
		cancel()
		client.CloseIdleConnections()
		streams.Wait()
	}
	return nil
}

func startEngines(o Options, dir string, tokenMs int) (*exec.Cmd, []string, error) {
	settingsFile, listFile := filepath.Join(dir, fmt.Sprintf("fleet%d", tokenMs)), filepath.Join(dir, "list.json")
	os.Remove(listFile) //nolint:errcheck // it may not exist
	if err := os.WriteFile(settingsFile, []byte(fmt.Sprintf(fleetSettings, tokenMs)), 0o600); err != nil {
		return nil, nil, fmt.Errorf("bench: %w", err)
	}
	cmd := exec.Command(o.Executable, "bench", "--as-engines", settingsFile, "--list", listFile)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("bench: engines: %w", err)
	}
	for range 500 {
		text, err := os.ReadFile(listFile)
		var line struct {
			Engines []struct{ Address string }
		}
		if err == nil && json.Unmarshal(text, &line) == nil {
			var addresses []string
			for _, engine := range line.Engines {
				addresses = append(addresses, engine.Address)
			}
			return cmd, addresses, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, nil, errors.Join(errors.New("bench: the engines wrote no list"), cmd.Process.Kill())
}

// ServeEngines runs as the engines' process: it writes their list to a file and never returns.
func ServeEngines(settingsFile, listFile string) error {
	settings := &pb.Fleet{}
	if err := config.Load(settingsFile, settings); err != nil {
		return err
	}
	settings.ListListen = proto.String("127.0.0.1:0")
	fleet, err := standin.Start(settings, []*pb.Workload{{Name: proto.String("m"), Effect: pb.Effect_IDEMPOTENT.Enum()}}, nil)
	if err != nil {
		return err
	}
	resp, err := http.Get(fleet.List.URL())
	if err != nil {
		return fmt.Errorf("bench: list: %w", err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("bench: list: %w", err)
	}
	if err := os.WriteFile(listFile+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(listFile+".new", listFile); err != nil {
		return err
	}
	select {}
}

// ServeProxy runs as the baseline: a reverse proxy that picks engines at random.
func ServeProxy(address string, engines []string) error {
	var targets []*url.URL
	for _, engine := range engines {
		targets = append(targets, &url.URL{Scheme: "http", Host: engine})
	}
	proxy := &httputil.ReverseProxy{FlushInterval: -1, Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(targets[rand.IntN(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
	return http.ListenAndServe(address, proxy)
}

func startTargets(o Options, dir string, engines []string) ([]*Target, error) {
	router, proxy := &Target{Name: "router"}, &Target{Name: "proxy"}
	var err error
	for _, address := range []*string{&router.address, &router.admin, &proxy.address} {
		if *address, err = loopback.FreeAddress("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(dir, "router.textproto")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(routerSettings, router.address, router.admin, filepath.Join(dir, "list.json"))), 0o600); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	router.cmd = exec.Command(o.Executable, "serve", "--config", file)
	proxy.cmd = exec.Command(o.Executable, "bench", "--as-proxy", proxy.address, "--engines", strings.Join(engines, ","))
	targets := []*Target{router, proxy}
	for _, t := range targets {
		t.cmd.Stderr = os.Stderr
		if err := t.cmd.Start(); err != nil {
			return nil, fmt.Errorf("bench: %s: %w", t.Name, err)
		}
	}
	client := newClient(1)
	for _, t := range targets {
		for attempt := 0; ; attempt++ {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			gotToken := false
			err := t.complete(ctx, client, func(time.Time) { gotToken = true; cancel() })
			cancel()
			if err == nil || gotToken {
				break
			}
			if attempt > 100 {
				stopTargets(targets)
				return nil, fmt.Errorf("bench: %s does not answer: %w", t.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return targets, nil
}

func stopTargets(targets []*Target) {
	for _, t := range targets {
		t.cmd.Process.Kill() //nolint:errcheck // it may have ended
		t.cmd.Wait()         //nolint:errcheck // it was killed
	}
}

func newClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10}}
}

// complete makes one streamed completion.
func (t *Target) complete(ctx context.Context, client *http.Client, onFirstToken func(time.Time)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address+"/v1/chat/completions", strings.NewReader(requestBody))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // the completion has failed already
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	reader, tokenSeen, doneSeen := bufio.NewReaderSize(resp.Body, 1<<10), false, false
	for {
		line, err := reader.ReadSlice('\n')
		if !tokenSeen && bytes.Contains(line, []byte(`"tok0`)) {
			tokenSeen = true
			onFirstToken(time.Now())
		}
		doneSeen = doneSeen || bytes.HasPrefix(line, []byte("data: [DONE]"))
		if errors.Is(err, io.EOF) {
			if !doneSeen {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// saturate runs concurrent clients without pause and counts complete and failed answers.
func (t *Target) saturate(ctx context.Context, clients int, duration time.Duration) (done, failed int64) {
	client := newClient(clients)
	defer client.CloseIdleConnections()
	var completed, failures atomic.Int64
	deadline := time.Now().Add(duration)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for time.Now().Before(deadline) && ctx.Err() == nil {
				if t.complete(ctx, client, func(time.Time) {}) == nil {
					completed.Add(1)
				} else {
					failures.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return completed.Load(), failures.Load()
}

// openLoop sends completions at a constant rate, whatever is answered, and measures the time to the first token from when each was due.
func (t *Target) openLoop(ctx context.Context, rate float64, duration time.Duration) *hdrhistogram.Histogram {
	client := newClient(2000)
	defer client.CloseIdleConnections()
	times, mu := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), sync.Mutex{}
	start := time.Now()
	var wg sync.WaitGroup
	for request := 0; ; request++ {
		due := start.Add(time.Duration(float64(request) / rate * float64(time.Second)))
		if due.Sub(start) > duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() {
			t.complete(ctx, client, func(tokenAt time.Time) { //nolint:errcheck // saturate counts failures
				if due.Sub(start) < duration/4 {
					return // warm-up: connections are made, caches fill
				}
				mu.Lock()
				times.RecordValue(tokenAt.Sub(due).Microseconds()) //nolint:errcheck // within the range
				mu.Unlock()
			})
		})
	}
	wg.Wait()
	return times
}

// cpuSeconds returns the CPU time of the target's process.
func (t *Target) cpuSeconds() float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", t.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // the kernel counts 100 ticks a second
}

// residentBytes returns the resident memory of the target's process.
func (t *Target) residentBytes() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", t.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb * 1024
}

// decideSeconds returns the time that a router has spent in decide, 0 for the proxy.
func (t *Target) decideSeconds() float64 {
	if t.admin == "" {
		return 0
	}
	resp, err := http.Get("http://" + t.admin + "/state")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var state struct {
		Seconds float64 `json:"decide_seconds"`
	}
	if json.NewDecoder(resp.Body).Decode(&state) != nil {
		return 0
	}
	return state.Seconds
}
