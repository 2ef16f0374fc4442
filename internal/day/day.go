// Package day plays a scripted day (proto/day.proto) on loopback: routers as processes of their own, a fleet of
// stand-in engines with its list, clients and troubles. What engines, list and clients see goes to a record;
// the rules are checked from that elsewhere. It decides nothing. cmd/cherryhub day calls it, and tests.
package day

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"cherryhub/internal/config"
	"cherryhub/internal/loopback"
	"cherryhub/internal/record"
	"cherryhub/internal/standin"
	pb "cherryhub/proto"
)

// valueUnit is the work, in tokens, that a workload's value is for.
const valueUnitTokens = 1000

// Options of a play.
type Options struct {
	RouterCommand []string          // how a router is started; the settings' path is added as the last argument
	RouterEnv     []string          // and in what environment besides ours
	WorkDir       string            // for settings and, with Logs, logs
	RecordPath    string            // the record's path
	RouterLogs    io.Writer         // of the routers, nil for none
	OnProgress    func(text string) // nil for none
}

// player is a day that is played.
type dayRun struct {
	day      *pb.Day
	options  Options
	recorder *record.Writer
	fleet    *standin.Fleet
	routers  []*routerProcess
	clients  *clientLoad
	wg       sync.WaitGroup
}

// process is a router's process.
type routerProcess struct {
	name, zone, address, source string
	settingsFile                string // path
	mu                          sync.Mutex
	cmd                         *exec.Cmd
	exited                      chan error
}

// Play plays a day that was checked. Its error is of the play, not of broken rules.
func Run(ctx context.Context, d *pb.Day, o Options) (err error) {
	d = config.WithDefaults(d)
	p := &dayRun{day: d, options: o}
	if p.options.OnProgress == nil {
		p.options.OnProgress = func(string) {}
	}
	rt := d.GetRouter()
	p.recorder, err = record.Create(o.RecordPath, &pb.Head{Day: proto.String(d.GetName()), Workloads: rt.GetWorkloads(), DrainGraceS: proto.Float64(rt.GetDrainGraceS()),
		LetGoS: proto.Float64(rt.GetLetGoS()), Cold: rt.GetCold(), ValueUnitTokens: proto.Float64(valueUnitTokens)})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, p.recorder.Close()) }()
	f := proto.Clone(d.GetFleet()).(*pb.Fleet)
	f.ListListen = proto.String("127.0.0.1:0")
	f.Cold = rt.GetCold()
	if p.fleet, err = standin.Start(f, rt.GetWorkloads(), p.recorder); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, p.fleet.Close()) }()
	if err := p.startRouters(); err != nil {
		return errors.Join(err, p.stopRouters())
	}
	p.clients = newClientLoad(p)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	troubled := make(chan error, 1)
	go func() { troubled <- p.runTroubles(ctx) }()
	p.clients.runSessions(ctx)
	p.options.OnProgress("clients have ended, routers stop")
	cancel()
	err = errors.Join(<-troubled, p.stopRouters())
	time.Sleep(config.Seconds(rt.GetLetGoS())) // what is held past the stop is to be seen
	return err
}

// startRouters starts all routers, each dialling from an address of its own.
func (p *dayRun) startRouters() error {
	var peers []string
	if p.day.GetRouter().GetPeers() != nil {
		for range p.day.GetRouters() {
			address, err := loopback.FreeAddress("127.0.0.1")
			if err != nil {
				return err
			}
			peers = append(peers, address)
		}
	}
	for i, place := range p.day.GetRouters() {
		address, err := loopback.FreeAddress("127.0.0.1")
		if err != nil {
			return err
		}
		r := proto.Clone(p.day.GetRouter()).(*pb.Router)
		source := fmt.Sprintf("127.0.1.%d", i+1)
		r.Name, r.Zone, r.Listen, r.AdminListen = place.Name, proto.String(place.GetZone()), proto.String(address), proto.String("")
		r.Routers, r.SourceAddress = proto.Int32(int32(len(p.day.GetRouters()))), proto.String(source)
		r.Seed = proto.Uint64(p.day.GetSeed()*1000 + uint64(i) + 1)
		r.List.Url = proto.String(p.fleet.List.URL())
		if peers != nil {
			r.Peers.Listen, r.Peers.Seeds = proto.String(peers[i]), append(append([]string(nil), peers[:i]...), peers[i+1:]...)
		}
		one := &routerProcess{name: place.GetName(), zone: place.GetZone(), address: address, source: source,
			settingsFile: filepath.Join(p.options.WorkDir, place.GetName()+".textproto")}
		if err := os.WriteFile(one.settingsFile, []byte(config.Format(r)), 0o600); err != nil {
			return fmt.Errorf("day: settings of %s: %w", one.name, err)
		}
		p.fleet.RegisterRouter(source, one.name, one.zone)
		p.routers = append(p.routers, one)
		if err := p.startProcess(one); err != nil {
			return err
		}
	}
	return nil
}

func (p *dayRun) startProcess(r *routerProcess) error {
	args := append(append([]string(nil), p.options.RouterCommand[1:]...), r.settingsFile)
	cmd := exec.Command(p.options.RouterCommand[0], args...)
	cmd.Env = append(os.Environ(), p.options.RouterEnv...)
	cmd.Stdout, cmd.Stderr = p.options.RouterLogs, p.options.RouterLogs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("day: start %s: %w", r.name, err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	r.mu.Lock()
	r.cmd, r.exited = cmd, done
	r.mu.Unlock()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", r.address, time.Second); err == nil {
			conn.Close() //nolint:errcheck // it was only a try
			p.recorder.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String(r.name), Address: proto.String(r.source), Up: proto.Bool(true)}}})
			return nil
		}
		select {
		case err := <-done:
			done <- err
			return fmt.Errorf("day: %s ended at its start: %w", r.name, err)
		default:
		}
	}
	return fmt.Errorf("day: %s does not listen at %s after %v", r.name, r.address, startTimeout)
}

// startMost is how long a router may take to listen; a test's build with the race detector is slow.
const startTimeout = 15 * time.Second

// kill ends a router outright.
func (p *dayRun) killProcess(r *routerProcess) error {
	r.mu.Lock()
	cmd, done := r.cmd, r.exited
	r.mu.Unlock()
	p.recorder.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String(r.name), Address: proto.String(r.source), Up: proto.Bool(false)}}})
	if err := cmd.Process.Kill(); err != nil {
		return fmt.Errorf("day: kill %s: %w", r.name, err)
	}
	<-done
	return nil
}

// stopRouters stops routers as an operator does; one that ends badly is an error.
func (p *dayRun) stopRouters() (err error) {
	for _, r := range p.routers {
		if r.cmd != nil {
			err = errors.Join(err, r.cmd.Process.Signal(syscall.SIGTERM))
		}
	}
	for _, r := range p.routers {
		if r.cmd == nil {
			continue
		}
		select {
		case end := <-r.exited:
			if end != nil {
				err = errors.Join(err, fmt.Errorf("day: %s ended badly: %w", r.name, end))
			}
		case <-time.After(stopTimeout):
			err = errors.Join(err, fmt.Errorf("day: %s does not stop within %v", r.name, stopTimeout), r.cmd.Process.Kill())
		}
	}
	return err
}

// stopMost is how long a router may take to stop: its own stop_s and what comes after.
const stopTimeout = 30 * time.Second

// troubles plays the script until all are over or the context ends; what is in force then is mended.
func (p *dayRun) runTroubles(ctx context.Context) error {
	var mu sync.Mutex
	var all error
	var wg sync.WaitGroup
	for i, t := range p.day.GetTroubles() {
		rng := rand.New(rand.NewPCG(p.day.GetSeed(), uint64(i)))
		wg.Go(func() {
			if !sleep(ctx, config.Seconds(t.GetAtS())) {
				return
			}
			p.options.OnProgress(fmt.Sprintf("%.1f s: %v begins", p.recorder.Now(), t.GetKind()))
			if err := p.runTrouble(ctx, t, rng); err != nil {
				mu.Lock()
				all = errors.Join(all, fmt.Errorf("day: %v: %w", t.GetKind(), err))
				mu.Unlock()
			}
			p.options.OnProgress(fmt.Sprintf("%.1f s: %v is over", p.recorder.Now(), t.GetKind()))
		})
	}
	wg.Wait()
	return all
}

// sleep tells whether the time went by before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// engines are those a trouble is for: the named ones, else one by chance.
func (p *dayRun) affectedEngines(t *pb.Trouble, rng *rand.Rand) (all []*standin.Engine) {
	for _, name := range t.GetEngines() {
		all = append(all, p.fleet.FindEngines(name)...)
	}
	if len(all) == 0 {
		all = append(all, p.fleet.Engines[rng.IntN(len(p.fleet.Engines))])
	}
	return all
}

// trouble plays one trouble from its onset to its end.
func (p *dayRun) runTrouble(ctx context.Context, t *pb.Trouble, rng *rand.Rand) (err error) {
	length, size := config.Seconds(t.GetLengthS()), t.GetSize()
	during := func(on, off func()) {
		on()
		sleep(ctx, length)
		off()
	}
	each := func(on, off func(*standin.Engine)) {
		engines := p.affectedEngines(t, rng)
		during(func() {
			for _, e := range engines {
				on(e)
			}
		}, func() {
			for _, e := range engines {
				off(e)
			}
		})
	}
	type engine = *standin.Engine
	switch t.GetKind() {
	case pb.Kind_FAILS_FAST:
		each(func(e engine) { e.SetFailureShare(size) }, func(e engine) { e.SetFailureShare(0) })
	case pb.Kind_SLOW:
		each(func(e engine) { e.SetSlowdown(max(1, size)) }, func(e engine) { e.SetSlowdown(1) })
	case pb.Kind_SILENT:
		each(func(e engine) { e.SetSilent(true) }, func(e engine) { e.SetSilent(false) })
	case pb.Kind_PAUSED:
		each(func(e engine) { e.SetPaused(true) }, func(e engine) { e.SetPaused(false) })
	case pb.Kind_UNREACHABLE:
		each(func(e engine) { err = errors.Join(err, e.SetUnreachable(true)) }, func(e engine) { err = errors.Join(err, e.SetUnreachable(false)) })
	case pb.Kind_BREAKS_MIDSTREAM:
		each(func(e engine) { e.SetBrokenShare(size) }, func(e engine) { e.SetBrokenShare(0) })
	case pb.Kind_ANSWERS_LOST:
		each(func(e engine) { e.SetLostShare(size) }, func(e engine) { e.SetLostShare(0) })
	case pb.Kind_WORKLOAD_FAILS:
		each(func(e engine) { e.SetFailingWorkload(t.GetWorkload()) }, func(e engine) { e.SetFailingWorkload("") })
	case pb.Kind_KEPT_FLUSHED:
		each(func(e engine) { e.EvictPrefixes(size) }, func(engine) {})
	case pb.Kind_DEATH:
		each(engine.Kill, func(e engine) { err = errors.Join(err, e.Restart()) })
	case pb.Kind_DRAIN_WAVE:
		err = p.runDrainWave(ctx, t, rng)
	case pb.Kind_ZONE_CUT:
		during(func() { p.fleet.IsolateZone(t.GetZone()) }, p.fleet.EndIsolation)
	case pb.Kind_LINKS_SLOW:
		during(func() { p.fleet.SetTransferSlowdown(max(1, size)) }, func() { p.fleet.SetTransferSlowdown(1) })
	case pb.Kind_LIST_LATE:
		during(func() { p.fleet.List.SetExtraDelay(config.Seconds(size)) }, func() { p.fleet.List.SetExtraDelay(0) })
	case pb.Kind_LIST_EMPTY:
		during(func() { p.fleet.List.SetEmpty(true) }, func() { p.fleet.List.SetEmpty(false) })
	case pb.Kind_LIST_GONE:
		during(func() { p.fleet.List.SetUnavailable(true) }, func() { p.fleet.List.SetUnavailable(false) })
	case pb.Kind_ROUTER_KILLED:
		err = p.killRouter(ctx, t)
	case pb.Kind_ROUTER_PAUSED:
		err = p.pauseRouter(ctx, t)
	default: // the clients' own troubles: load looks at the script
	}
	return err
}

// drainWave has engines drain one after another, go halfway through their share of the time and return cold.
func (p *dayRun) runDrainWave(ctx context.Context, t *pb.Trouble, rng *rand.Rand) (err error) {
	engines := p.affectedEngines(t, rng)
	each := config.Seconds(t.GetLengthS()) / time.Duration(len(engines))
	for _, e := range engines {
		e.Drain()
		sleep(ctx, each/2)
		e.Kill()
		sleep(ctx, each/2)
		err = errors.Join(err, e.Restart())
	}
	return err
}

func (p *dayRun) killRouter(ctx context.Context, t *pb.Trouble) error {
	for _, r := range p.routers {
		if r.name != t.GetRouter() {
			continue
		}
		if err := p.killProcess(r); err != nil {
			return err
		}
		sleep(ctx, config.Seconds(t.GetLengthS()))
		return p.startProcess(r)
	}
	return fmt.Errorf("no router %q", t.GetRouter())
}

// pauseRouter stops a router's process and lets it go on. While it stands still it counts as down.
func (p *dayRun) pauseRouter(ctx context.Context, t *pb.Trouble) error {
	for _, r := range p.routers {
		if r.name != t.GetRouter() {
			continue
		}
		note := func(up bool) {
			p.recorder.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String(r.name), Address: proto.String(r.source), Up: proto.Bool(up)}}})
		}
		r.mu.Lock()
		process := r.cmd.Process
		r.mu.Unlock()
		note(false)
		if err := process.Signal(syscall.SIGSTOP); err != nil {
			return fmt.Errorf("stop %s: %w", r.name, err)
		}
		sleep(ctx, config.Seconds(t.GetLengthS()))
		err := process.Signal(syscall.SIGCONT)
		note(true)
		if err != nil {
			return fmt.Errorf("continue %s: %w", r.name, err)
		}
		return nil
	}
	return fmt.Errorf("no router %q", t.GetRouter())
}
