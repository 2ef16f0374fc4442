// Package bench measures a router beside a plain reverse proxy with random choice, in one run on loopback,
// with the same stand-in engines: throughput at saturation, added time to the first token at half of it,
// memory for an open stream, CPU for a completion. Router, proxy and engines are processes of their own. It is
// for the project's own figures; cmd/cherryhub bench calls it, no test does.
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

// Options of a run.
type Options struct {
	Executable  string        // our own program, which is also router, proxy and engines
	Rounds      int           // of router and proxy in turn
	Duration    time.Duration // of one measurement
	Clients     int           // at saturation
	OpenStreams int           // open at once, for memory
	Logf        func(format string, a ...any)
}

// Side is what one of the two came to.
type Target struct {
	Name                         string
	Throughput                   []float64 // completions a second, a round each
	CPUSeconds                   []float64 // seconds of CPU a completion
	DecideSeconds                []float64 // of it in decide
	FirstTokenP50, FirstTokenP99 []float64 // seconds to the first token at half of the lower throughput
	BytesPerStream               float64   // of memory an open stream
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

// Run measures both sides and returns them, the router first.
func Run(ctx context.Context, o Options) (sides []*Target, err error) {
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
	sides, err = startTargets(o, dir, addresses)
	if err != nil {
		return nil, err
	}
	defer stopTargets(sides)
	for _, s := range sides { // warm up
		s.saturate(ctx, o.Clients, o.Duration/2)
	}
	for round := range o.Rounds {
		for i := range sides {
			s := sides[(i+round)%len(sides)]
			cpu, busy := s.cpuSeconds(), s.decideSeconds()
			done, failed := s.saturate(ctx, o.Clients, o.Duration)
			s.Failed += failed
			s.Throughput = append(s.Throughput, float64(done)/o.Duration.Seconds())
			s.CPUSeconds = append(s.CPUSeconds, (s.cpuSeconds()-cpu)/float64(done))
			s.DecideSeconds = append(s.DecideSeconds, (s.decideSeconds()-busy)/float64(done))
			o.Logf("%s: %.0f completions/s, %.0f µs CPU each, %.0f µs of it in decide, %d failed", s.Name,
				s.Throughput[len(s.Throughput)-1], 1e6*s.CPUSeconds[len(s.CPUSeconds)-1], 1e6*s.DecideSeconds[len(s.DecideSeconds)-1], failed)
		}
	}
	rate := min(median(sides[0].Throughput), median(sides[1].Throughput)) / 2
	for round := range o.Rounds {
		for i := range sides {
			s := sides[(i+round)%len(sides)]
			h := s.openLoop(ctx, rate, o.Duration)
			s.FirstTokenP50 = append(s.FirstTokenP50, float64(h.ValueAtQuantile(50))/1e6)
			s.FirstTokenP99 = append(s.FirstTokenP99, float64(h.ValueAtQuantile(99))/1e6)
			o.Logf("%s at %.0f/s: first token p50 %.2f ms, p99 %.2f ms", s.Name, rate, 1e3*s.FirstTokenP50[len(s.FirstTokenP50)-1], 1e3*s.FirstTokenP99[len(s.FirstTokenP99)-1])
		}
	}
	return sides, measureStreamMemory(ctx, o, dir, sides)
}

// streams measures memory with many streams open, at engines that write a token a minute.
func measureStreamMemory(ctx context.Context, o Options, dir string, old []*Target) error {
	if o.OpenStreams == 0 {
		return nil
	}
	engines, addresses, err := startEngines(o, dir, 60000)
	if err != nil {
		return err
	}
	defer engines.Process.Kill() //nolint:errcheck // it may have ended
	sides, err := startTargets(o, dir, addresses)
	if err != nil {
		return err
	}
	defer stopTargets(sides)
	for i, s := range sides {
		before := s.residentBytes()
		ctx, cancel := context.WithCancel(ctx)
		var open, failed atomic.Int64
		var wg sync.WaitGroup
		client := newClient(o.OpenStreams)
		for n := range o.OpenStreams {
			wg.Go(func() {
				if s.complete(ctx, client, func(time.Time) { open.Add(1) }) != nil && ctx.Err() == nil {
					failed.Add(1)
				}
			})
			if n%200 == 199 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		for until := time.Now().Add(time.Minute); open.Load()+failed.Load() < int64(o.OpenStreams) && time.Now().Before(until); {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		old[i].BytesPerStream = (s.residentBytes() - before) / float64(open.Load())
		o.Logf("%s: %d streams open, %d failed, %.1f KiB each", s.Name, open.Load(), failed.Load(), old[i].BytesPerStream/1024)
		cancel()
		client.CloseIdleConnections()
		wg.Wait()
	}
	return nil
}

func startEngines(o Options, dir string, tokenMs int) (*exec.Cmd, []string, error) {
	file, list := filepath.Join(dir, fmt.Sprintf("fleet%d", tokenMs)), filepath.Join(dir, "list.json")
	os.Remove(list) //nolint:errcheck // it may not be there
	if err := os.WriteFile(file, []byte(fmt.Sprintf(fleetSettings, tokenMs)), 0o600); err != nil {
		return nil, nil, fmt.Errorf("bench: %w", err)
	}
	cmd := exec.Command(o.Executable, "bench", "--as-engines", file, "--list", list)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("bench: engines: %w", err)
	}
	for range 500 {
		text, err := os.ReadFile(list)
		var line struct {
			Engines []struct{ Address string }
		}
		if err == nil && json.Unmarshal(text, &line) == nil {
			var addresses []string
			for _, e := range line.Engines {
				addresses = append(addresses, e.Address)
			}
			return cmd, addresses, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, nil, errors.Join(errors.New("bench: the engines wrote no list"), cmd.Process.Kill())
}

// Engines serves as the engines' process: it writes their list to a file and never ends.
func ServeEngines(file, list string) error {
	f := &pb.Fleet{}
	if err := config.Load(file, f); err != nil {
		return err
	}
	f.ListListen = proto.String("127.0.0.1:0")
	fleet, err := standin.Start(f, []*pb.Workload{{Name: proto.String("m"), Effect: pb.Effect_IDEMPOTENT.Enum()}}, nil)
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
	if err := os.WriteFile(list+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(list+".new", list); err != nil {
		return err
	}
	select {}
}

// Proxy serves as the baseline: a reverse proxy that picks an engine by chance.
func ServeProxy(address string, engines []string) error {
	var targets []*url.URL
	for _, e := range engines {
		targets = append(targets, &url.URL{Scheme: "http", Host: e})
	}
	p := &httputil.ReverseProxy{FlushInterval: -1, Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(targets[rand.IntN(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
	return http.ListenAndServe(address, p)
}

func startTargets(o Options, dir string, engines []string) ([]*Target, error) {
	router, proxy := &Target{Name: "router"}, &Target{Name: "proxy"}
	var err error
	for _, a := range []*string{&router.address, &router.admin, &proxy.address} {
		if *a, err = loopback.Address("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(dir, "router.textproto")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(routerSettings, router.address, router.admin, filepath.Join(dir, "list.json"))), 0o600); err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	router.cmd = exec.Command(o.Executable, "serve", "--config", file)
	proxy.cmd = exec.Command(o.Executable, "bench", "--as-proxy", proxy.address, "--engines", strings.Join(engines, ","))
	sides := []*Target{router, proxy}
	for _, s := range sides {
		s.cmd.Stderr = os.Stderr
		if err := s.cmd.Start(); err != nil {
			return nil, fmt.Errorf("bench: %s: %w", s.Name, err)
		}
	}
	client := newClient(1)
	for _, s := range sides {
		for try := 0; ; try++ {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			first := false
			err := s.complete(ctx, client, func(time.Time) { first = true; cancel() })
			cancel()
			if err == nil || first {
				break
			}
			if try > 100 {
				stopTargets(sides)
				return nil, fmt.Errorf("bench: %s does not answer: %w", s.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return sides, nil
}

func stopTargets(sides []*Target) {
	for _, s := range sides {
		s.cmd.Process.Kill() //nolint:errcheck // it may have ended
		s.cmd.Wait()         //nolint:errcheck // it was killed
	}
}

func newClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10}}
}

// one makes one streamed completion.
func (s *Target) complete(ctx context.Context, client *http.Client, first func(time.Time)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/v1/chat/completions", strings.NewReader(requestBody))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // it failed already
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	r, began, last := bufio.NewReaderSize(resp.Body, 1<<10), false, false
	for {
		line, err := r.ReadSlice('\n')
		if !began && bytes.Contains(line, []byte(`"tok0`)) {
			began = true
			first(time.Now())
		}
		last = last || bytes.HasPrefix(line, []byte("data: [DONE]"))
		if errors.Is(err, io.EOF) {
			if !last {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// saturate keeps so many clients asking and counts whole answers.
func (s *Target) saturate(ctx context.Context, clients int, length time.Duration) (done, failed int64) {
	client := newClient(clients)
	defer client.CloseIdleConnections()
	var all, bad atomic.Int64
	until := time.Now().Add(length)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for time.Now().Before(until) && ctx.Err() == nil {
				if s.complete(ctx, client, func(time.Time) {}) == nil {
					all.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return all.Load(), bad.Load()
}

// openLoop asks at a steady rate, whatever comes back, and measures from when each was due.
func (s *Target) openLoop(ctx context.Context, rate float64, length time.Duration) *hdrhistogram.Histogram {
	client := newClient(2000)
	defer client.CloseIdleConnections()
	h, mu := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), sync.Mutex{}
	start := time.Now()
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		due := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if due.Sub(start) > length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() {
			s.complete(ctx, client, func(at time.Time) { //nolint:errcheck // saturate counts failures
				if due.Sub(start) < length/4 {
					return // connections are made, caches fill
				}
				mu.Lock()
				h.RecordValue(at.Sub(due).Microseconds()) //nolint:errcheck // within the range
				mu.Unlock()
			})
		})
	}
	wg.Wait()
	return h
}

// cpu is the CPU time of the side's process, in seconds.
func (s *Target) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // the kernel's ticks
}

// rss is the side's resident memory, in bytes.
func (s *Target) residentBytes() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(after)[0], 64)
	return kb * 1024
}

// busy is the time that a router spent in decide, in seconds.
func (s *Target) decideSeconds() float64 {
	if s.admin == "" {
		return 0
	}
	resp, err := http.Get("http://" + s.admin + "/state")
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
