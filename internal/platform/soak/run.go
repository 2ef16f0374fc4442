package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/faultproxy"
	"cherryhub/internal/platform/standin"
)

// engineSpec describes an engine of the simulated site.
type engineSpec struct {
	name, zone string
	isReader   bool
}

// The zones of the site.
const (
	zoneHere  = "here"
	zoneThere = "there"
)

// engines are the engines of the site. The last reader and the last writer may drain, see drainable.
var engines = []engineSpec{
	{"reader-0", zoneHere, true}, {"reader-1", zoneThere, true}, {"reader-2", zoneHere, true},
	{"writer-0", zoneHere, false}, {"writer-1", zoneThere, false}, {"writer-2", zoneHere, false}, {"writer-3", zoneThere, false},
}

// drainable are the indices of the engines that may drain: without them each zone still has a reader and a writer.
var drainable = [...]int{2, 6}

// The parameters of the site.
const (
	holdingLimit         = 500 * time.Millisecond
	maxSockets           = 256
	clientsPerRouter     = 6 // for each router
	idleClientsPerRouter = 150
	maxReadTime          = 80 * time.Millisecond
	maxWriteTime         = 60 * time.Millisecond
	maxQueueTime         = 1500 * time.Millisecond // of a write at a busy engine
	busyOneIn            = 6                       // one in this many writes arrives at a busy engine
	maxHangDelay         = 10 * time.Millisecond   // after the call arrived
	maxAnswersBeforeLoss = 4                       // pieces of answers that pass on a connection before one is lost
	maxDelay             = 500 * time.Millisecond
	maxConnDelay         = time.Second
	longCallBytes        = 4000 // only calls with a long prompt have this many bytes
	minIdleTime          = 50 * time.Millisecond
	pauseDuration        = 150 * time.Millisecond
	restartDelay         = 300 * time.Millisecond
	killGrace            = 700 * time.Millisecond
	readyTimeout         = 10 * time.Second
	settleTime           = 1500 * time.Millisecond // for releases after all clients have their answers
	signalInterval       = 400 * time.Millisecond
)

// configTemplate is a router's configuration, filled in by startRouter.
const configTemplate = `{"name":"r%d","listen":%q,"discovery":%q,"seed":"%016x",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":{"seq":0,"whole":true,"hosts":[]},
"settings":{"balancers":%d,"my-zone":%d,"zones":["here","there"],"kinds":["reads","writes"],"granularity-ns":2000000,
"family-info":{"holds-allowed":true,"kv-tokens":[200000,200000],"let-go-by-ns":%d,"stage-of-kind":["read","write"],"writers-read":true},
"lanes":[{"name":"chat","aim-ns":700000000,"give-up-ns":%d,"worth":1,"effect":"free"},
{"name":"once","aim-ns":700000000,"give-up-ns":%d,"worth":1,"effect":"single_shot"}],
"limits":{"cancel":true,"probes":true,"retry-after":true,"max-retry-after-ns":500000000,"send-cap":5,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000},
"rules":{"cold-from":0.3,"warm-up-ns":1000000000,"tip-multiple":2.5,"fall-ns":2000000000},
"telemetry":{"columns":["util","queue","x0"]},"tenants":[{"name":"acme","allowance-per-s":1000}]}}`

// router is a router of the site, across all its processes.
type router struct {
	listen      string
	configFile  string
	logFile     string
	discovery   *standin.Discovery
	process     *process
	processLock sync.Mutex // held while the process is ended and started
}

// scenarioRun is a run of one scenario.
type scenarioRun struct {
	program  []string
	dir      string
	scenario *Scenario
	fleet    *standin.Fleet
	proxies  []*faultproxy.Proxy
	closers  []func()
	routers  []*router
	started  time.Time

	zoneCut sync.Mutex // held while a zone is cut off

	mu          sync.Mutex
	random      *rand.Rand // for engines and proxies
	requests    []ClientRequest
	processes   []*process
	stopped     []bool                   // by router: its clients are to stop
	hangsAtCall map[string]time.Duration // by engine: how long it will hang after its next call
	discoveries []*standin.Discovery
}

// RunScenario runs a scenario and returns its record. Each router is a process of the program, configured by EDGE_CONFIG.
func RunScenario(ctx context.Context, program []string, dir string, s *Scenario) (*Record, error) {
	sr := &scenarioRun{program: program, dir: dir, scenario: s, fleet: standin.NewFleet(), stopped: make([]bool, s.Routers),
		random: rand.New(rand.NewPCG(s.Seed, 2)), hangsAtCall: map[string]time.Duration{}} //nolint:gosec // not for secrets
	defer sr.close()
	if err := sr.start(ctx); err != nil {
		return nil, err
	}
	sr.started = time.Now()
	var clients, faults sync.WaitGroup
	for r := range s.Routers {
		for n := range clientsPerRouter {
			c := &client{run: sr, router: r, name: fmt.Sprintf("s%d-r%d-c%d", s.Seed, r, n), random: rand.New(rand.NewPCG(s.Seed, uint64(100*r+n)))} //nolint:gosec // not for secrets
			clients.Go(c.loop)
		}
	}
	if s.Has(ClientsCrowd) {
		sr.openIdleClients()
	}
	for _, e := range s.Events {
		faults.Go(func() {
			if sleep(ctx, e.At) {
				sr.inject(ctx, e)
			}
		})
	}
	faults.Go(func() { sr.sampleUsage(ctx) })
	sleep(ctx, runDuration)
	faults.Wait()
	sr.stopAll()
	clients.Wait()
	return sr.record(), ctx.Err()
}

// sleep waits for a time, and returns false if the context ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// randomBelow returns a random number in [0, n).
func (sr *scenarioRun) randomBelow(n int64) int64 {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.random.Int64N(n)
}

// start starts engines, proxies, discovery services and routers.
func (sr *scenarioRun) start(ctx context.Context) error {
	sr.fleet.Strict, sr.fleet.EventInterval, sr.fleet.ServiceTime, sr.fleet.InjectFault = true, 5*time.Millisecond, sr.serviceTime, sr.injectFault
	var entries []discovery.EngineEntry
	for _, spec := range engines {
		e, err := sr.fleet.StartEngine(spec.name, spec.isReader)
		if err != nil {
			return err
		}
		sr.closers = append(sr.closers, e.Close)
		proxy, err := faultproxy.Start(e.Address(), func(int) faultproxy.Plan { return sr.plan() }, sr.answerDelay())
		if err != nil {
			return err
		}
		sr.proxies = append(sr.proxies, proxy)
		sr.closers = append(sr.closers, proxy.Close)
		entries = append(entries, spec.entry(proxy.Address()))
	}
	for n := range sr.scenario.Routers {
		if err := sr.startRouter(ctx, n, entries); err != nil {
			return err
		}
	}
	return nil
}

func (s *engineSpec) entry(address string) discovery.EngineEntry {
	entry := discovery.EngineEntry{Name: s.name, Address: address, Zone: s.zone, MachineKind: "writes", Cell: 1, Health: "Ready", Share: 1}
	if s.isReader {
		entry.MachineKind = "reads"
	}
	return entry
}

func (sr *scenarioRun) startRouter(ctx context.Context, n int, entries []discovery.EngineEntry) error {
	disc, err := standin.StartDiscovery(append([]discovery.EngineEntry(nil), entries...))
	if err != nil {
		return err
	}
	sr.closers = append(sr.closers, func() { disc.Close() }) //nolint:errcheck // the run is over
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return fmt.Errorf("soak: router %d: %w", n, err)
	}
	listen := ln.Addr().String()
	ln.Close() //nolint:errcheck // if it fails, the router cannot listen and the start fails
	r := &router{listen: listen, discovery: disc, configFile: filepath.Join(sr.dir, fmt.Sprintf("r%d.json", n)), logFile: filepath.Join(sr.dir, fmt.Sprintf("r%d.log", n))}
	sr.routers = append(sr.routers, r)
	timeoutNanos := sr.scenario.ClientTimeout.Nanoseconds()
	text := fmt.Sprintf(configTemplate, n, listen, disc.Address(), sr.scenario.Seed+uint64(n), maxSockets, sr.scenario.Routers, n%2, holdingLimit.Nanoseconds(), timeoutNanos, timeoutNanos)
	if !json.Valid([]byte(text)) {
		return fmt.Errorf("soak: router %d: configuration is not valid JSON", n)
	}
	if err := os.WriteFile(r.configFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("soak: router %d: %w", n, err)
	}
	if err := sr.launch(n); err != nil {
		return err
	}
	return sr.awaitReady(ctx, n)
}

// launch starts a process of a router.
func (sr *scenarioRun) launch(n int) error {
	r := sr.routers[n]
	proc, err := startProcess(sr.program, n, r.configFile, r.logFile)
	if err != nil {
		return err
	}
	sr.mu.Lock()
	r.process = proc
	sr.processes = append(sr.processes, proc)
	sr.mu.Unlock()
	return nil
}

// awaitReady waits until a router is ready for requests.
func (sr *scenarioRun) awaitReady(ctx context.Context, n int) error {
	r := sr.routers[n]
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); {
		if r.process.ended() {
			return fmt.Errorf("soak: router %d exited during startup, see %s: %w", n, r.logFile, r.process.record().Err)
		}
		if isReady(r.listen) {
			return nil
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("soak: router %d was not ready within %v", n, readyTimeout)
}

func isReady(address string) bool {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()                               //nolint:errcheck // the connection is no longer used
	conn.SetDeadline(time.Now().Add(connectTimeout)) //nolint:errcheck // the read fails then
	if _, err := conn.Write([]byte("GET /up HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	buf := make([]byte, 16)
	n, _ := conn.Read(buf) //nolint:errcheck // without bytes it is not ready
	return strings.HasPrefix(string(buf[:n]), "HTTP/1.1 200")
}

// plan draws the faults of the next connection to an engine.
func (sr *scenarioRun) plan() (plan faultproxy.Plan) {
	s := sr.scenario
	drawn := func(f Fault) bool { return s.Has(f) && sr.randomBelow(4) == 0 }
	switch {
	case drawn(StartSilent):
		plan.Silence = faultproxy.AtStart
	case drawn(AnswerSilent):
		plan.Silence = faultproxy.AfterAnswer
	case drawn(BytesSilent):
		plan.Silence, plan.Bytes = faultproxy.AfterBytes, int(sr.randomBelow(60_000))
	case drawn(AnswerLost):
		plan.Silence, plan.Answers = faultproxy.OnAnswer, int(sr.randomBelow(maxAnswersBeforeLoss))
	case drawn(LateBytes):
		plan.SendDelay = time.Duration(sr.randomBelow(int64(maxDelay)))
	case drawn(LateConns):
		plan.StartDelay = time.Duration(sr.randomBelow(int64(maxConnDelay)))
	case drawn(Resets):
		plan.Reset = faultproxy.AfterBytes
		if plan.Bytes = int(sr.randomBelow(60_000)); plan.Bytes%2 == 0 {
			plan.Reset = faultproxy.AfterAnswer
		}
	}
	return plan
}

// answerDelay returns a function that draws the delay of a piece of an answer, or nil if the scenario does not delay answers.
func (sr *scenarioRun) answerDelay() func() time.Duration {
	if !sr.scenario.Has(LateAnswers) {
		return nil
	}
	return func() time.Duration {
		if sr.randomBelow(3) > 0 {
			return 0
		}
		return time.Duration(sr.randomBelow(int64(maxDelay)))
	}
}

// serviceTime draws how long an engine takes until its answer.
func (sr *scenarioRun) serviceTime(c *standin.Call) time.Duration {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	switch {
	case c.Kind == standin.Read:
		return time.Duration(sr.random.Int64N(int64(maxReadTime)))
	case sr.random.IntN(busyOneIn) == 0:
		return time.Duration(sr.random.Int64N(int64(maxQueueTime)))
	}
	return time.Duration(sr.random.Int64N(int64(maxWriteTime)))
}

// injectFault makes an engine hang shortly after an attempt arrived if a HangsAtCall event demands it.
func (sr *scenarioRun) injectFault(c *standin.Call, _ int) standin.Fault {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if duration := sr.hangsAtCall[c.Engine]; isAttempt(c) && duration > 0 {
		delete(sr.hangsAtCall, c.Engine)
		time.AfterFunc(time.Duration(sr.random.Int64N(int64(maxHangDelay))), func() { sr.fleet.Hang(c.Engine, time.Now().Add(duration)) })
	}
	return standin.None
}

// addRequest records a request.
func (sr *scenarioRun) addRequest(req *ClientRequest) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.requests = append(sr.requests, *req)
}

// clientsStopped reports whether a router's clients are to stop.
func (sr *scenarioRun) clientsStopped(n int) bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.stopped[n]
}

// openIdleClients opens connections to each router that send nothing and stay open until the end of the run.
func (sr *scenarioRun) openIdleClients() {
	for _, r := range sr.routers {
		for range idleClientsPerRouter {
			if conn, err := net.DialTimeout("tcp", r.listen, connectTimeout); err == nil {
				sr.closers = append(sr.closers, func() { conn.Close() }) //nolint:errcheck // the connection is no longer used
			}
		}
	}
}

// sampleUsage samples the resource usage of the routers' processes.
func (sr *scenarioRun) sampleUsage(ctx context.Context) {
	for time.Since(sr.started) < runDuration && sleep(ctx, 200*time.Millisecond) {
		sr.mu.Lock()
		procs := append([]*process(nil), sr.processes...)
		sr.mu.Unlock()
		for _, proc := range procs {
			proc.sampleUsage()
		}
	}
}

// stopAll ends the routers one after another. The clients of a router go on sending until its process has ended, at the latest by SIGKILL
// after the shutdown time.
func (sr *scenarioRun) stopAll() {
	var wg sync.WaitGroup
	for n := range sr.routers {
		wg.Go(func() { sr.stopRouter(n) })
		time.Sleep(signalInterval)
	}
	wg.Wait()
	time.Sleep(settleTime)
}

// stopRouter ends a router's process with SIGTERM, or SIGKILL after the shutdown time, and then stops its clients.
func (sr *scenarioRun) stopRouter(n int) {
	r := sr.routers[n]
	r.processLock.Lock()
	defer r.processLock.Unlock()
	sr.terminate(r.process)
	sr.mu.Lock()
	sr.stopped[n] = true
	sr.mu.Unlock()
}

// terminate sends SIGTERM to a process, and SIGKILL if it has not ended within the client timeout plus killGrace.
func (sr *scenarioRun) terminate(proc *process) {
	proc.signal(syscall.SIGTERM)
	select {
	case <-proc.done:
	case <-time.After(sr.scenario.ClientTimeout + killGrace):
		proc.kill()
	}
}

// close ends everything that the run has started.
func (sr *scenarioRun) close() {
	sr.mu.Lock()
	procs := sr.processes
	sr.mu.Unlock()
	for _, proc := range procs {
		if !proc.ended() {
			proc.kill()
		}
		<-proc.log.done
	}
	for _, closeFn := range sr.closers {
		closeFn()
	}
}

// calls returns all calls that arrived at engines. A call ends when its engine ends it or when the router closes its connection. A read
// that was answered ends only when its answer has passed the proxy to the router.
func (sr *scenarioRun) calls() []standin.Call {
	proxies := map[string]*faultproxy.Proxy{}
	for n, spec := range engines {
		proxies[spec.name] = sr.proxies[n]
	}
	all := sr.fleet.Calls("")
	for i := range all {
		c := &all[i]
		conn := proxies[c.Engine].ConnRecord(c.RemoteAddr)
		switch {
		case conn == nil:
			continue
		case c.Kind != standin.Read || c.AnswerStarted.IsZero():
			if !conn.Closed.IsZero() && (c.Ended.IsZero() || conn.Closed.Before(c.Ended)) {
				c.Ended = conn.Closed
			}
			continue
		}
		c.Ended = conn.Closed
		for _, at := range conn.AnswerTimes {
			if !at.Before(c.AnswerStarted) {
				c.Ended = at
				break
			}
		}
	}
	return all
}

// record returns the record of the run.
func (sr *scenarioRun) record() *Record {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	rec := &Record{Scenario: sr.scenario, Started: sr.started, Calls: sr.calls(), Holds: sr.fleet.Holds(), Requests: sr.requests, DrainAnnounced: map[RouterEngine]time.Time{}}
	for _, proc := range sr.processes {
		rec.Processes = append(rec.Processes, proc.record())
	}
	for n, r := range sr.routers {
		for _, spec := range engines {
			if at := r.discovery.DrainAnnounced(spec.name); !at.IsZero() {
				rec.DrainAnnounced[RouterEngine{n, spec.name}] = at
			}
		}
	}
	return rec
}
