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

// engineKind is one engine of the site.
type engineSpec struct {
	name, zone string
	isReader   bool
}

// The zones of the site.
const (
	zoneHere  = "here"
	zoneThere = "there"
)

// engines are the site's. Those that drain are the last of their role.
var engines = []engineSpec{
	{"reader-0", zoneHere, true}, {"reader-1", zoneThere, true}, {"reader-2", zoneHere, true},
	{"writer-0", zoneHere, false}, {"writer-1", zoneThere, false}, {"writer-2", zoneHere, false}, {"writer-3", zoneThere, false},
}

// drainable are the engines that may drain: without them each role is still there in each zone.
var drainable = [...]int{2, 6}

// The site's figures.
const (
	holdingLimit         = 500 * time.Millisecond
	maxSockets           = 256
	clientsPerRouter     = 6 // of one router
	idleClientsPerRouter = 150
	maxReadTime          = 80 * time.Millisecond
	maxWriteTime         = 60 * time.Millisecond
	maxQueueTime         = 1500 * time.Millisecond // what a write waits at a busy engine
	busyOneIn            = 6                       // one write of so many comes to a busy engine
	maxHangDelay         = 10 * time.Millisecond   // behind a call
	maxAnswersBeforeLoss = 4                       // that pass on a connection before one is lost
	maxDelay             = 500 * time.Millisecond
	maxConnDelay         = time.Second
	longCallBytes        = 4000 // bytes that a call with a long prompt has at least, and no other
	idleTime             = 50 * time.Millisecond
	pauseDuration        = 150 * time.Millisecond
	restartDelay         = 300 * time.Millisecond
	killGrace            = 700 * time.Millisecond
	readyTimeout         = 10 * time.Second
	settleTime           = 1500 * time.Millisecond // for what is held when all clients have their answers
	signalInterval       = 400 * time.Millisecond
)

// settings are the site's, for a router's configuration.
const configTemplate = `{"name":"r%d","listen":%q,"discovery":%q,"seed":"%016x",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":{"seq":0,"whole":true,"hosts":[]},
"settings":{"balancers":%d,"my-zone":%d,"zones":["here","there"],"kinds":["reads","writes"],"granularity-ns":2000000,
"family-info":{"holds-allowed":true,"kv-tokens":[200000,200000],"let-go-by-ns":%d,"stage-of-kind":["read","write"],"writers-read":true},
"lanes":[{"name":"chat","aim-ns":700000000,"give-up-ns":%d,"worth":1,"effect":"free"},
{"name":"once","aim-ns":700000000,"give-up-ns":%d,"worth":1,"effect":"single_shot"}],
"limits":{"cancel":true,"probes":true,"retry-after":true,"max-retry-after-ns":500000000,"send-cap":5,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000},
"rules":{"cold-from":0.3,"warm-up-ns":1000000000,"tip-multiple":2.5,"fall-ns":2000000000},
"telemetry":{"columns":["util","queue","x0"]},"tenants":[{"name":"acme","allowance-per-s":1000}]}}`

// router is one of the site's, through all its processes.
type router struct {
	listen      string
	configFile  string
	logFile     string
	discovery   *standin.Discovery
	process     *process
	processLock sync.Mutex // one after another starts and ends it
}

// play is one scenario as it runs.
type scenarioRun struct {
	program  []string
	dir      string
	scenario *Scenario
	fleet    *standin.Fleet
	proxies  []*faultproxy.Proxy
	closers  []func()
	routers  []*router
	started  time.Time

	zoneCut sync.Mutex // is held while a zone is cut off

	mu                sync.Mutex
	random            *rand.Rand // of engines and proxies; the lock guards it
	requests          []ClientRequest
	processes         []*process
	stopped           []bool                   // a router's clients stop
	hangsAtCall       map[string]time.Duration // engines that are to hang for so long once they have taken a call
	unusedDiscoveries []*standin.Discovery
}

// Play plays a scenario with routers that are processes of the program, started by EDGE_CONFIG, and gives its record.
func RunScenario(ctx context.Context, program []string, dir string, s *Scenario) (*Record, error) {
	p := &scenarioRun{program: program, dir: dir, scenario: s, fleet: standin.NewFleet(), stopped: make([]bool, s.Routers),
		random: rand.New(rand.NewPCG(s.Seed, 2)), hangsAtCall: map[string]time.Duration{}} //nolint:gosec // not for secrets
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	p.started = time.Now()
	var clients, faults sync.WaitGroup
	for r := range s.Routers {
		for n := range clientsPerRouter {
			c := &client{run: p, router: r, name: fmt.Sprintf("s%d-r%d-c%d", s.Seed, r, n), random: rand.New(rand.NewPCG(s.Seed, uint64(100*r+n)))} //nolint:gosec // as above
			clients.Go(c.loop)
		}
	}
	if s.Has(ClientsCrowd) {
		p.openIdleClients()
	}
	for _, e := range s.Events {
		faults.Go(func() {
			if sleep(ctx, e.At) {
				p.inject(ctx, e)
			}
		})
	}
	faults.Go(func() { p.sampleUsage(ctx) })
	sleep(ctx, runDuration)
	faults.Wait()
	p.stopAll()
	clients.Wait()
	return p.record(), ctx.Err()
}

// sleep waits, and tells whether it did so to the end.
func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-ctx.Done():
		return false
	}
}

// chance draws below a number.
func (p *scenarioRun) randomBelow(below int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Int64N(below)
}

// start starts engines, proxies, discoveries and routers.
func (p *scenarioRun) start(ctx context.Context) error {
	p.fleet.Strict, p.fleet.EventInterval, p.fleet.ServiceTime, p.fleet.InjectFault = true, 5*time.Millisecond, p.serviceTime, p.injectFault
	var hosts []discovery.Host
	for _, kind := range engines {
		e, err := p.fleet.StartEngine(kind.name, kind.isReader)
		if err != nil {
			return err
		}
		p.closers = append(p.closers, e.Close)
		proxy, err := faultproxy.Start(e.Address(), func(int) faultproxy.Plan { return p.plan() }, p.answerDelay())
		if err != nil {
			return err
		}
		p.proxies = append(p.proxies, proxy)
		p.closers = append(p.closers, proxy.Close)
		hosts = append(hosts, kind.host(proxy.Address()))
	}
	for n := range p.scenario.Routers {
		if err := p.startRouter(ctx, n, hosts); err != nil {
			return err
		}
	}
	return nil
}

func (k *engineSpec) host(address string) discovery.Host {
	h := discovery.Host{Name: k.name, Address: address, Zone: k.zone, MachineKind: "writes", Cell: 1, Health: "Ready", Share: 1}
	if k.isReader {
		h.MachineKind = "reads"
	}
	return h
}

func (p *scenarioRun) startRouter(ctx context.Context, n int, hosts []discovery.Host) error {
	list, err := standin.StartDiscovery(append([]discovery.Host(nil), hosts...))
	if err != nil {
		return err
	}
	p.closers = append(p.closers, func() { list.Close() }) //nolint:errcheck // a stand-in
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return fmt.Errorf("soak: router %d: %w", n, err)
	}
	listen := ln.Addr().String()
	ln.Close() //nolint:errcheck // the router listens there
	r := &router{listen: listen, discovery: list, configFile: filepath.Join(p.dir, fmt.Sprintf("r%d.json", n)), logFile: filepath.Join(p.dir, fmt.Sprintf("r%d.log", n))}
	p.routers = append(p.routers, r)
	deadline := p.scenario.ClientTimeout.Nanoseconds()
	text := fmt.Sprintf(configTemplate, n, listen, list.Address(), p.scenario.Seed+uint64(n), maxSockets, p.scenario.Routers, n%2, holdingLimit.Nanoseconds(), deadline, deadline)
	if !json.Valid([]byte(text)) {
		return fmt.Errorf("soak: router %d: the configuration is no JSON", n)
	}
	if err := os.WriteFile(r.configFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("soak: router %d: %w", n, err)
	}
	if err := p.launch(n); err != nil {
		return err
	}
	return p.awaitReady(ctx, n)
}

// launch starts a router's process.
func (p *scenarioRun) launch(n int) error {
	r := p.routers[n]
	one, err := startProcess(p.program, n, r.configFile, r.logFile)
	if err != nil {
		return err
	}
	p.mu.Lock()
	r.process = one
	p.processes = append(p.processes, one)
	p.mu.Unlock()
	return nil
}

// awaitReady waits until a router takes calls.
func (p *scenarioRun) awaitReady(ctx context.Context, n int) error {
	r := p.routers[n]
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); {
		if r.process.ended() {
			return fmt.Errorf("soak: router %d ended at its start, see %s: %w", n, r.logFile, r.process.record().Err)
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
	defer conn.Close()                               //nolint:errcheck // done with it
	conn.SetDeadline(time.Now().Add(connectTimeout)) //nolint:errcheck // shows in reading
	if _, err := conn.Write([]byte("GET /up HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	buf := make([]byte, 16)
	k, _ := conn.Read(buf) //nolint:errcheck // no bytes are no answer
	return strings.HasPrefix(string(buf[:k]), "HTTP/1.1 200")
}

// plan is what becomes of the next connection to an engine.
func (p *scenarioRun) plan() (plan faultproxy.Plan) {
	s := p.scenario
	spoils := func(f Fault) bool { return s.Has(f) && p.randomBelow(4) == 0 }
	switch {
	case spoils(StartSilent):
		plan.Silence = faultproxy.AtStart
	case spoils(AnswerSilent):
		plan.Silence = faultproxy.AfterAnswer
	case spoils(BytesSilent):
		plan.Silence, plan.Bytes = faultproxy.AfterBytes, int(p.randomBelow(60_000))
	case spoils(AnswerLost):
		plan.Silence, plan.Answers = faultproxy.OnAnswer, int(p.randomBelow(maxAnswersBeforeLoss))
	case spoils(LateBytes):
		plan.SendDelay = time.Duration(p.randomBelow(int64(maxDelay)))
	case spoils(LateConns):
		plan.StartDelay = time.Duration(p.randomBelow(int64(maxConnDelay)))
	case spoils(Resets):
		plan.Reset = faultproxy.AfterBytes
		if plan.Bytes = int(p.randomBelow(60_000)); plan.Bytes%2 == 0 {
			plan.Reset = faultproxy.AfterAnswer
		}
	}
	return plan
}

// wait is how long pieces of answers are held back, nil for not at all.
func (p *scenarioRun) answerDelay() func() time.Duration {
	if !p.scenario.Has(LateAnswers) {
		return nil
	}
	return func() time.Duration {
		if p.randomBelow(3) > 0 {
			return 0
		}
		return time.Duration(p.randomBelow(int64(maxDelay)))
	}
}

// work is how long an engine takes up to its answer.
func (p *scenarioRun) serviceTime(c *standin.Call) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.Kind == standin.Read:
		return time.Duration(p.random.Int64N(int64(maxReadTime)))
	case p.random.IntN(busyOneIn) == 0:
		return time.Duration(p.random.Int64N(int64(maxQueueTime)))
	}
	return time.Duration(p.random.Int64N(int64(maxWriteTime)))
}

// spoil has an engine hang once it has taken a call, where it is to.
func (p *scenarioRun) injectFault(c *standin.Call, _ int) standin.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if length := p.hangsAtCall[c.Engine]; isAttempt(c) && length > 0 {
		delete(p.hangsAtCall, c.Engine)
		time.AfterFunc(time.Duration(p.random.Int64N(int64(maxHangDelay))), func() { p.fleet.Hang(c.Engine, time.Now().Add(length)) })
	}
	return standin.None
}

// saw books a request.
func (p *scenarioRun) addRequest(one *ClientRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, *one)
}

// clientsOver tells whether a router's clients are to stop.
func (p *scenarioRun) clientsStopped(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped[n]
}

// crowd opens connections that say nothing, at each router, up to the play's end.
func (p *scenarioRun) openIdleClients() {
	for _, r := range p.routers {
		for range idleClientsPerRouter {
			if conn, err := net.DialTimeout("tcp", r.listen, connectTimeout); err == nil {
				p.closers = append(p.closers, func() { conn.Close() }) //nolint:errcheck // done with it
			}
		}
	}
}

// watch books what the routers' processes hold.
func (p *scenarioRun) sampleUsage(ctx context.Context) {
	for time.Since(p.started) < runDuration && sleep(ctx, 200*time.Millisecond) {
		p.mu.Lock()
		lives := append([]*process(nil), p.processes...)
		p.mu.Unlock()
		for _, one := range lives {
			one.sampleUsage()
		}
	}
}

// stopAll ends the routers one after another. Their clients send on until each process ends, at the latest by SIGKILL at
// its earliest.
func (p *scenarioRun) stopAll() {
	var all sync.WaitGroup
	for n := range p.routers {
		all.Go(func() { p.stopRouter(n) })
		time.Sleep(signalInterval)
	}
	all.Wait()
	time.Sleep(settleTime)
}

// stopRouter sends SIGTERM to a router and, where it has not ended by then, SIGKILL at its earliest.
func (p *scenarioRun) stopRouter(n int) {
	r := p.routers[n]
	r.processLock.Lock()
	defer r.processLock.Unlock()
	p.terminate(r.process)
	p.mu.Lock()
	p.stopped[n] = true
	p.mu.Unlock()
}

// terminate ends a process by SIGTERM and SIGKILL.
func (p *scenarioRun) terminate(one *process) {
	one.signal(syscall.SIGTERM)
	select {
	case <-one.done:
	case <-time.After(p.scenario.ClientTimeout + killGrace):
		one.kill()
	}
}

// close ends all that the play started.
func (p *scenarioRun) close() {
	p.mu.Lock()
	lives := p.processes
	p.mu.Unlock()
	for _, one := range lives {
		if !one.ended() {
			one.kill()
		}
		<-one.log.done
	}
	for _, end := range p.closers {
		end()
	}
}

// calls are all calls that arrived. One is over once its engine has ended it, or the router has closed its connection. A read
// counts, answered or not: it is over only once its answer has come through to the router.
func (p *scenarioRun) calls() []standin.Call {
	proxies := map[string]*faultproxy.Proxy{}
	for n, kind := range engines {
		proxies[kind.name] = p.proxies[n]
	}
	all := p.fleet.Calls("")
	for i := range all {
		c := &all[i]
		passage := proxies[c.Engine].ConnRecord(c.RemoteAddr)
		switch {
		case passage == nil:
			continue
		case c.Kind != standin.Read || c.AnswerStarted.IsZero():
			if !passage.Closed.IsZero() && (c.Ended.IsZero() || passage.Closed.Before(c.Ended)) {
				c.Ended = passage.Closed
			}
			continue
		}
		c.Ended = passage.Closed
		for _, at := range passage.AnswerTimes {
			if !at.Before(c.AnswerStarted) {
				c.Ended = at
				break
			}
		}
	}
	return all
}

// record is what the play left behind.
func (p *scenarioRun) record() *Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &Record{Scenario: p.scenario, Started: p.started, Calls: p.calls(), Holds: p.fleet.Holds(), Requests: p.requests, DrainAnnounced: map[RouterEngine]time.Time{}}
	for _, one := range p.processes {
		r.Processes = append(r.Processes, one.record())
	}
	for n, one := range p.routers {
		for _, kind := range engines {
			if at := one.discovery.DrainAnnounced(kind.name); !at.IsZero() {
				r.DrainAnnounced[RouterEngine{n, kind.name}] = at
			}
		}
	}
	return r
}
