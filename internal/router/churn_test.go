package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/config"
	"cherryhub/internal/fleet"
	"cherryhub/internal/loopback"
	"cherryhub/internal/standin"
	pb "cherryhub/proto"
)

var churnDuration = flag.Duration("churn", 4*time.Second, "how long TestChurn has engines, routers, clients, sessions and keys come and go")

const churnRouterSettings = `name: "stays" listen: "127.0.0.1:0" admin_listen: "127.0.0.1:0" zone: "a" routers: 2
machines { name: "read" role: READER }
machines { name: "write" role: WRITER }
workloads { name: "m" client_timeout_s: 2 effect: IDEMPOTENT }
workloads { name: "once" client_timeout_s: 2 }
cold { warm_s: 0.5 fall_window_s: 0 }
allowed { max_come_back_s: 0.2 }
timing { stop_s: 3 engine_idle_s: 0.5 idle_s: 1 }
peers { key_hex: "00112233445566778899aabbccddeeff" settle_s: 0.3 lease_s: 1 }
list { file: "x" poll_s: 0.05 max_engines: 64 }`

const churnBatchSettings = `list_listen: "127.0.0.1:0"
engines { name: "reader" machine: "read" role: READER zone: "a" slots: 16 }
engines { name: "writer" machine: "write" role: WRITER zone: "a" count: 2 slots: 64 token_ms: 2 mean_answer_tokens: 8 }`

// churn is a service in which everything is replaced all the time but one router.
type churn struct {
	t         *testing.T
	dir       string
	settings  *pb.Router
	log       *os.File
	permanent *Router
	batches   []*engineBatch
	version   int64
	calls     atomic.Int64
	done      atomic.Int64
	failed    atomic.Int64
}

// engineBatch is a group of stand-in engines that are started and stopped together.
type engineBatch struct {
	fleet   *standin.Fleet
	n       int64
	started time.Time
	phase   string
}

func (c *churn) write(name string, text []byte) {
	path := filepath.Join(c.dir, name)
	require.NoError(c.t, os.WriteFile(path+".new", text, 0o600))
	require.NoError(c.t, os.Rename(path+".new", path))
}

// publish writes the engine list. Each batch is in another zone and cell than the one before.
func (c *churn) publish() {
	c.version++
	line := fleet.Line{Kind: "full", Epoch: 1, Version: c.version}
	for _, batch := range c.batches {
		for i, e := range batch.fleet.Engines {
			age, machine := time.Since(batch.started).Seconds(), "write"
			if i == 0 {
				machine = "read"
			}
			line.Entries = append(line.Entries, fleet.EngineEntry{Address: e.Address(), Zone: fmt.Sprint("zone", batch.n%5), Cell: fmt.Sprint("cell", batch.n%20), MachineKind: machine,
				Phase: batch.phase, StartID: batch.started.UnixMilli(), AgeSeconds: &age})
		}
	}
	text, err := json.Marshal(line)
	require.NoError(c.t, err)
	c.write("list.json", text)
}

func (c *churn) startBatch() {
	f := &pb.Fleet{}
	require.NoError(c.t, config.Parse("fleet", []byte(churnBatchSettings), f))
	batch := &engineBatch{n: c.version, started: time.Now(), phase: "ready"}
	var err error
	batch.fleet, err = standin.Start(f, c.settings.GetWorkloads(), nil)
	require.NoError(c.t, err)
	c.batches = append(c.batches, batch)
	c.publish()
}

// stopOldestBatch has the oldest batch drain, removes it from the list and stops it.
func (c *churn) stopOldestBatch() {
	old := c.batches[0]
	old.phase = "draining"
	c.publish()
	time.Sleep(200 * time.Millisecond)
	c.batches = c.batches[1:]
	c.publish()
	require.NoError(c.t, old.fleet.Close())
}

// writeAdmission writes an admission file with other known clients.
func (c *churn) writeAdmission(round int) {
	b := &strings.Builder{}
	b.WriteString("address_new_per_s: 1e5 address_burst: 1e5 client_new_per_s: 1e5 client_burst: 1e5\n") // all connections come from one address
	for i := range 5 {
		sum := sha256.Sum256([]byte(fmt.Sprint("key", round+i)))
		fmt.Fprintf(b, "clients { name: \"client%d\" key_sha256: %q }\n", round+i, hex.EncodeToString(sum[:]))
	}
	c.write("admission.textproto", []byte(b.String()))
}

func (c *churn) startRouter(name, seed string) *Router {
	r := proto.CloneOf(c.settings)
	r.Name = &name
	address, err := loopback.FreeAddress("127.0.0.1")
	require.NoError(c.t, err)
	r.Peers.Listen = &address
	if seed != "" {
		r.Peers.Seeds = []string{seed}
	}
	router, err := Start(r, slog.New(slog.NewTextHandler(c.log, nil)))
	require.NoError(c.t, err)
	return router
}

// runClient makes some calls in a session of its own, and disconnects.
func (c *churn) runClient(rng *rand.Rand, address string, round int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	session := rng.Uint64()
	for range 1 + rng.IntN(4) {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		if rng.IntN(8) == 0 { // the client leaves
			time.AfterFunc(time.Duration(rng.IntN(60))*time.Millisecond, cancel)
		}
		body := fmt.Sprintf(`{"model":%q,"stream":%v,"user":"s%d","max_tokens":8,"messages":[{"role":"system","content":"shared %d"},{"role":"user","content":"%s"}]}`,
			[]string{"m", "once"}[rng.IntN(2)], rng.IntN(2) == 0, session, rng.IntN(50), strings.Repeat("text ", rng.IntN(1500)))
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/v1/chat/completions", strings.NewReader(body))
		if err == nil {
			req.Header.Set("Authorization", fmt.Sprint("Bearer key", round+rng.IntN(8)))
			var resp *http.Response
			c.calls.Add(1)
			if resp, err = client.Do(req); err == nil {
				text, _ := io.ReadAll(resp.Body) //nolint:errcheck // a broken response counts as failed
				resp.Body.Close()
				if resp.StatusCode == 200 && (bytes.Contains(text, []byte("[DONE]")) || bytes.Contains(text, []byte("stop"))) {
					c.done.Add(1)
				} else {
					c.failed.Add(1)
				}
			}
		}
		cancel()
	}
}

// sample is one measurement of the resources in use.
type sample struct {
	heap                     uint64 // bytes after a garbage collection
	files, goroutines        int
	log, calls               int64
	waiting, open, releasing int
}

// openResources returns the number of descriptors and goroutines of the process.
func openResources(t *testing.T) (files, goroutines int) {
	all, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(all), runtime.NumGoroutine()
}

func (c *churn) sample() sample {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	files, goroutines := openResources(c.t)
	info, err := c.log.Stat()
	require.NoError(c.t, err)
	stats := c.permanent.Planner.Stats()
	_, releasing := c.permanent.Edge.Active()
	return sample{m.HeapAlloc, files, goroutines, info.Size(), c.calls.Load(), stats.QueuedEvents, stats.OpenCompletions, releasing}
}

// TestChurn replaces engines (with new addresses, zones and cells), peer routers, clients, sessions and known keys all
// the time. Memory and the log must stay bounded, and descriptors and goroutines must return to their initial numbers
// afterwards. -churn 90s corresponds to days of operation; the measurements are logged.
func TestChurn(t *testing.T) {
	c := &churn{t: t, dir: t.TempDir(), settings: &pb.Router{}}
	require.NoError(t, config.Parse("router", []byte(churnRouterSettings), c.settings))
	c.settings.List.File = proto.String(filepath.Join(c.dir, "list.json"))
	c.settings.AdmissionFile = proto.String(filepath.Join(c.dir, "admission.textproto"))
	var err error
	c.log, err = os.Create(filepath.Join(c.dir, "log"))
	require.NoError(t, err)
	defer c.log.Close()
	c.writeAdmission(0)
	c.startBatch()
	c.permanent = c.startRouter("stays", "")
	seed := c.permanent.settings.GetPeers().GetListen()
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 { // so that everything that is created only once exists before the first sample
		c.runClient(rng, c.permanent.Address(), 0)
	}
	time.Sleep(1500 * time.Millisecond)
	first := c.sample()
	for range 5 { // probes also come and go without load
		time.Sleep(100 * time.Millisecond)
		s := c.sample()
		first.files, first.goroutines = max(first.files, s.files), max(first.goroutines, s.goroutines)
	}

	stop := make(chan struct{})
	stoppedWithin := func(d time.Duration) bool {
		select {
		case <-stop:
			return true
		case <-time.After(d):
			return false
		}
	}
	var round atomic.Int64
	var peerRouter atomic.Pointer[Router]
	var workers sync.WaitGroup
	workers.Go(func() { // engines
		for !stoppedWithin(150 * time.Millisecond) {
			c.startBatch()
			if len(c.batches) > 3 {
				c.stopOldestBatch()
			}
		}
		for len(c.batches) > 1 {
			c.stopOldestBatch()
		}
	})
	workers.Go(func() { // keys
		for !stoppedWithin(300 * time.Millisecond) {
			c.writeAdmission(int(round.Add(1)))
		}
	})
	workers.Go(func() { // routers
		for n := 0; ; n++ {
			router := c.startRouter(fmt.Sprint("other", n), seed)
			peerRouter.Store(router)
			stopped := stoppedWithin(900 * time.Millisecond)
			peerRouter.Store(nil)
			assert.NoError(t, router.Stop())
			if stopped {
				return
			}
		}
	})
	for i := range 8 { // clients
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(2, uint64(i)))
			for !stoppedWithin(time.Millisecond) {
				target := c.permanent
				if o := peerRouter.Load(); o != nil && rng.IntN(3) == 0 {
					target = o
				}
				c.runClient(rng, target.Address(), int(round.Load()))
			}
		})
	}
	var curve []sample
	const points = 8
	for range points {
		time.Sleep(*churnDuration / points)
		curve = append(curve, c.sample())
	}
	close(stop)
	workers.Wait()
	var last sample
	level := func() bool { // a release to a stopped engine is retried for a minute: it, a dial and what watches the dial remain until then
		last = c.sample()
		return last.files <= first.files+last.releasing && last.goroutines <= first.goroutines+3*last.releasing && last.waiting+last.open == 0 &&
			(last.releasing == 0 || *churnDuration < time.Minute)
	}
	// Polling and gossip briefly add to the numbers, so one sample at the initial level is enough.
	reached := level()
	for wait := time.Duration(0); !reached && wait < *churnDuration+5*time.Second; wait += 100 * time.Millisecond { // idle connections are closed over time
		time.Sleep(100 * time.Millisecond)
		reached = level()
	}
	if !reached {
		var stacks strings.Builder
		pprof.Lookup("goroutine").WriteTo(&stacks, 1) //nolint:errcheck // to memory
		t.Log(stacks.String())
	}
	assert.True(t, reached, "descriptors and goroutines return to %+v, but are %+v", first, last)
	t.Log("| sample | calls | heap KiB | descriptors | goroutines | log KiB | open |")
	for i, s := range append(append([]sample{first}, curve...), last) {
		t.Logf("| %d | %d | %d | %d | %d | %d | %d |", i, s.calls, s.heap>>10, s.files, s.goroutines, s.log>>10, s.open)
	}
	t.Logf("%d calls, %d finished, %d others; package decide took %.1f µs per call at the permanent router", c.calls.Load(), c.done.Load(), c.failed.Load(),
		c.permanent.Planner.Stats().DecideTime.Seconds()*1e6/float64(c.calls.Load()))
	assert.Greater(t, c.done.Load(), c.calls.Load()/2)
	assert.Less(t, last.heap, first.heap+8<<20, "what is kept of engines and clients that left is bounded")
	assert.Less(t, float64(last.log-first.log)/float64(last.calls-first.calls), 400.0, "bytes of log per call")
	assert.NoError(t, c.permanent.Stop())
	assert.NoError(t, c.batches[0].fleet.Close())
}

// TestFailedStart checks that a failed start leaks no descriptors or goroutines, whichever part failed.
func TestFailedStart(t *testing.T) {
	listener, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	for name, change := range map[string]func(*pb.Router){
		"listen address in use":      func(r *pb.Router) { r.Listen = &address },
		"admin address in use":       func(r *pb.Router) { r.AdminListen = &address },
		"invalid source address":     func(r *pb.Router) { r.SourceAddress = proto.String("nowhere") },
		"client without an identity": func(r *pb.Router) { r.Admission.Clients = []*pb.Known{{Name: proto.String("x")}} },
		"peer weight of 0":           func(r *pb.Router) { r.Peers.Weight = proto.Float64(0) },
		"no certificate":             func(r *pb.Router) { r.Tls = &pb.Tls{CertificateFile: proto.String("no"), KeyFile: proto.String("no")} },
		"no workload":                func(r *pb.Router) { r.Workloads = nil },
	} {
		t.Run(name, func(t *testing.T) {
			r := &pb.Router{}
			require.NoError(t, config.Parse("router", []byte(churnRouterSettings), r))
			r.Admission = &pb.Admission{}
			require.NoError(t, config.Parse("admission", nil, r.Admission))
			change(r)
			files, goroutines := openResources(t)
			_, err := Start(r, slog.New(slog.DiscardHandler))
			require.Error(t, err)
			t.Log(err)
			for range 50 { // closing may take a moment
				time.Sleep(10 * time.Millisecond)
				if f, g := openResources(t); f <= files && g <= goroutines {
					return
				}
			}
			f, g := openResources(t)
			assert.Fail(t, "left behind", "%d descriptors, %d goroutines", f-files, g-goroutines)
		})
	}
}

// TestStopAtOnce checks that a router that is stopped while it still starts leaks nothing either.
func TestStopAtOnce(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	newAuthority(t).issue("router.example", certFile, keyFile)
	for name, secure := range map[string]*pb.Tls{"plain": nil, "TLS": {CertificateFile: &certFile, KeyFile: &keyFile, PollS: proto.Float64(0.05)}} {
		t.Run(name, func(t *testing.T) {
			files, goroutines := 0, 0
			for i := range 60 {
				if i == 1 { // the first one has created what the process keeps, such as the network poller
					files, goroutines = openResources(t)
				}
				r := &pb.Router{}
				require.NoError(t, config.Parse("router", []byte(routerSettings), r))
				r.Tls = secure
				router, err := Start(r, slog.New(slog.DiscardHandler))
				require.NoError(t, err)
				if i == 0 {
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(time.Duration(i%12) * 50 * time.Microsecond)
				require.NoError(t, router.Stop())
			}
			for range 50 {
				time.Sleep(10 * time.Millisecond)
				if f, g := openResources(t); f <= files && g <= goroutines {
					return
				}
			}
			f, g := openResources(t)
			assert.Fail(t, "left behind", "%d descriptors, %d goroutines", f-files, g-goroutines)
		})
	}
}
