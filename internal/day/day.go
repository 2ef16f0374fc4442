// Package day runs a scripted day (proto/day.proto) on loopback: routers in processes of their own, a fleet of stand-in
// engines with its list service, clients and troubles. Events at the engines, the list service and the clients are
// recorded; package rules checks the record. The package makes no routing decisions. The command cherryhub day and the
// tests run it.
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

// valueUnitTokens is the work that a workload's value is for.
const valueUnitTokens = 1000

// Options configures a run.
type Options struct {
	RouterCommand []string // command that starts a router; the path of its settings is added as the last argument
	RouterEnv     []string // added to the environment of this process
	WorkDir       string   // for the routers' settings files
	RecordPath    string
	RouterLogs    io.Writer         // output of the routers, nil to discard it
	OnProgress    func(text string) // called with progress messages, may be nil
}

// dayRun is a running day.
type dayRun struct {
	day      *pb.Day
	options  Options
	recorder *record.Writer
	fleet    *standin.Fleet
	routers  []*routerProcess
	clients  *clientLoad
	wg       sync.WaitGroup
}

// routerProcess is the process of a router.
type routerProcess struct {
	name, zone, address, source string // source is the address that it dials from
	settingsFile                string
	mu                          sync.Mutex
	cmd                         *exec.Cmd
	exited                      chan error // receives the result of cmd.Wait
}

// Run runs a day whose settings were checked. Its error is about the run; rule violations are no error.
func Run(ctx context.Context, day *pb.Day, options Options) (err error) {
	day = config.WithDefaults(day)
	run := &dayRun{day: day, options: options}
	if run.options.OnProgress == nil {
		run.options.OnProgress = func(string) {}
	}
	settings := day.GetRouter()
	run.recorder, err = record.Create(options.RecordPath, &pb.Head{Day: proto.String(day.GetName()), Workloads: settings.GetWorkloads(),
		DrainGraceS: proto.Float64(settings.GetDrainGraceS()), LetGoS: proto.Float64(settings.GetLetGoS()), Cold: settings.GetCold(),
		ValueUnitTokens: proto.Float64(valueUnitTokens)})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, run.recorder.Close()) }()
	fleet := proto.Clone(day.GetFleet()).(*pb.Fleet)
	fleet.ListListen = proto.String("127.0.0.1:0")
	fleet.Cold = settings.GetCold()
	if run.fleet, err = standin.Start(fleet, settings.GetWorkloads(), run.recorder); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, run.fleet.Close()) }()
	if err := run.startRouters(); err != nil {
		return errors.Join(err, run.stopRouters())
	}
	run.clients = newClientLoad(run)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	troublesDone := make(chan error, 1)
	go func() { troublesDone <- run.runTroubles(ctx) }()
	run.clients.runSessions(ctx)
	run.options.OnProgress("all clients have ended, stopping the routers")
	cancel()
	err = errors.Join(<-troublesDone, run.stopRouters())
	time.Sleep(config.Seconds(settings.GetLetGoS())) // record whether engines hold state beyond the routers' stop
	return err
}

// startRouters starts all routers, each with a source address of its own.
func (run *dayRun) startRouters() error {
	var peers []string
	if run.day.GetRouter().GetPeers() != nil {
		for range run.day.GetRouters() {
			address, err := loopback.FreeAddress("127.0.0.1")
			if err != nil {
				return err
			}
			peers = append(peers, address)
		}
	}
	for i, location := range run.day.GetRouters() {
		address, err := loopback.FreeAddress("127.0.0.1")
		if err != nil {
			return err
		}
		settings := proto.Clone(run.day.GetRouter()).(*pb.Router)
		source := fmt.Sprintf("127.0.1.%d", i+1)
		settings.Name, settings.Zone, settings.Listen, settings.AdminListen =
			location.Name, proto.String(location.GetZone()), proto.String(address), proto.String("")
		settings.Routers, settings.SourceAddress = proto.Int32(int32(len(run.day.GetRouters()))), proto.String(source)
		settings.Seed = proto.Uint64(run.day.GetSeed()*1000 + uint64(i) + 1)
		settings.List.Url = proto.String(run.fleet.List.URL())
		if peers != nil {
			settings.Peers.Listen, settings.Peers.Seeds = proto.String(peers[i]), append(append([]string(nil), peers[:i]...), peers[i+1:]...)
		}
		r := &routerProcess{name: location.GetName(), zone: location.GetZone(), address: address, source: source,
			settingsFile: filepath.Join(run.options.WorkDir, location.GetName()+".textproto")}
		if err := os.WriteFile(r.settingsFile, []byte(config.Format(settings)), 0o600); err != nil {
			return fmt.Errorf("day: settings of %s: %w", r.name, err)
		}
		run.fleet.RegisterRouter(source, r.name, r.zone)
		run.routers = append(run.routers, r)
		if err := run.startProcess(r); err != nil {
			return err
		}
	}
	return nil
}

func (run *dayRun) startProcess(r *routerProcess) error {
	args := append(append([]string(nil), run.options.RouterCommand[1:]...), r.settingsFile)
	cmd := exec.Command(run.options.RouterCommand[0], args...)
	cmd.Env = append(os.Environ(), run.options.RouterEnv...)
	cmd.Stdout, cmd.Stderr = run.options.RouterLogs, run.options.RouterLogs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("day: start %s: %w", r.name, err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	r.mu.Lock()
	r.cmd, r.exited = cmd, done
	r.mu.Unlock()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", r.address, time.Second); err == nil {
			conn.Close() //nolint:errcheck // only tests that the router listens
			run.recorder.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String(r.name),
				Address: proto.String(r.source), Up: proto.Bool(true)}}})
			return nil
		}
		select {
		case err := <-done:
			done <- err
			return fmt.Errorf("day: %s exited during its start: %w", r.name, err)
		default:
		}
	}
	return fmt.Errorf("day: %s does not listen at %s after %v", r.name, r.address, startTimeout)
}

// startTimeout is the limit for a router to listen after its start; builds with the race detector are slow.
const startTimeout = 15 * time.Second

// killProcess kills a router without a graceful stop.
func (run *dayRun) killProcess(r *routerProcess) error {
	r.mu.Lock()
	cmd, done := r.cmd, r.exited
	r.mu.Unlock()
	run.recorder.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String(r.name), Address: proto.String(r.source),
		Up: proto.Bool(false)}}})
	if err := cmd.Process.Kill(); err != nil {
		return fmt.Errorf("day: kill %s: %w", r.name, err)
	}
	<-done
	return nil
}

// stopRouters stops the routers as an operator does. An unclean exit is an error.
func (run *dayRun) stopRouters() (err error) {
	for _, r := range run.routers {
		if r.cmd != nil {
			err = errors.Join(err, r.cmd.Process.Signal(syscall.SIGTERM))
		}
	}
	for _, r := range run.routers {
		if r.cmd == nil {
			continue
		}
		select {
		case exitErr := <-r.exited:
			if exitErr != nil {
				err = errors.Join(err, fmt.Errorf("day: %s exited with an error: %w", r.name, exitErr))
			}
		case <-time.After(stopTimeout):
			err = errors.Join(err, fmt.Errorf("day: %s does not stop within %v", r.name, stopTimeout), r.cmd.Process.Kill())
		}
	}
	return err
}

// stopTimeout is the limit for a router to stop: its own stop_s and the shutdown after it.
const stopTimeout = 30 * time.Second

// runTroubles runs the scripted troubles until all are over or the context ends; those active then are undone.
func (run *dayRun) runTroubles(ctx context.Context) error {
	var mu sync.Mutex
	var errs error
	var wg sync.WaitGroup
	for i, t := range run.day.GetTroubles() {
		rng := rand.New(rand.NewPCG(run.day.GetSeed(), uint64(i)))
		wg.Go(func() {
			if !sleep(ctx, config.Seconds(t.GetAtS())) {
				return
			}
			run.options.OnProgress(fmt.Sprintf("%.1f s: %v begins", run.recorder.Now(), t.GetKind()))
			if err := run.runTrouble(ctx, t, rng); err != nil {
				mu.Lock()
				errs = errors.Join(errs, fmt.Errorf("day: %v: %w", t.GetKind(), err))
				mu.Unlock()
			}
			run.options.OnProgress(fmt.Sprintf("%.1f s: %v is over", run.recorder.Now(), t.GetKind()))
		})
	}
	wg.Wait()
	return errs
}

// sleep returns false if the context ended first.
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

// affectedEngines returns the engines that a trouble names, or else a random one.
func (run *dayRun) affectedEngines(t *pb.Trouble, rng *rand.Rand) (engines []*standin.Engine) {
	for _, name := range t.GetEngines() {
		engines = append(engines, run.fleet.FindEngines(name)...)
	}
	if len(engines) == 0 {
		engines = append(engines, run.fleet.Engines[rng.IntN(len(run.fleet.Engines))])
	}
	return engines
}

// runTrouble runs one trouble from its start to its end.
func (run *dayRun) runTrouble(ctx context.Context, t *pb.Trouble, rng *rand.Rand) (err error) {
	duration, size := config.Seconds(t.GetLengthS()), t.GetSize()
	during := func(on, off func()) {
		on()
		sleep(ctx, duration)
		off()
	}
	forEach := func(on, off func(*standin.Engine)) {
		engines := run.affectedEngines(t, rng)
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
		forEach(func(e engine) { e.SetFailureShare(size) }, func(e engine) { e.SetFailureShare(0) })
	case pb.Kind_SLOW:
		forEach(func(e engine) { e.SetSlowdown(max(1, size)) }, func(e engine) { e.SetSlowdown(1) })
	case pb.Kind_SILENT:
		forEach(func(e engine) { e.SetSilent(true) }, func(e engine) { e.SetSilent(false) })
	case pb.Kind_PAUSED:
		forEach(func(e engine) { e.SetPaused(true) }, func(e engine) { e.SetPaused(false) })
	case pb.Kind_UNREACHABLE:
		forEach(func(e engine) { err = errors.Join(err, e.SetUnreachable(true)) }, func(e engine) { err = errors.Join(err, e.SetUnreachable(false)) })
	case pb.Kind_BREAKS_MIDSTREAM:
		forEach(func(e engine) { e.SetBrokenShare(size) }, func(e engine) { e.SetBrokenShare(0) })
	case pb.Kind_ANSWERS_LOST:
		forEach(func(e engine) { e.SetLostShare(size) }, func(e engine) { e.SetLostShare(0) })
	case pb.Kind_WORKLOAD_FAILS:
		forEach(func(e engine) { e.SetFailingWorkload(t.GetWorkload()) }, func(e engine) { e.SetFailingWorkload("") })
	case pb.Kind_KEPT_FLUSHED:
		forEach(func(e engine) { e.EvictPrefixes(size) }, func(engine) {})
	case pb.Kind_DEATH:
		forEach(engine.Kill, func(e engine) { err = errors.Join(err, e.Restart()) })
	case pb.Kind_DRAIN_WAVE:
		err = run.runDrainWave(ctx, t, rng)
	case pb.Kind_ZONE_CUT:
		during(func() { run.fleet.IsolateZone(t.GetZone()) }, run.fleet.EndIsolation)
	case pb.Kind_LINKS_SLOW:
		during(func() { run.fleet.SetTransferSlowdown(max(1, size)) }, func() { run.fleet.SetTransferSlowdown(1) })
	case pb.Kind_LIST_LATE:
		during(func() { run.fleet.List.SetExtraDelay(config.Seconds(size)) }, func() { run.fleet.List.SetExtraDelay(0) })
	case pb.Kind_LIST_EMPTY:
		during(func() { run.fleet.List.SetEmpty(true) }, func() { run.fleet.List.SetEmpty(false) })
	case pb.Kind_LIST_GONE:
		during(func() { run.fleet.List.SetUnavailable(true) }, func() { run.fleet.List.SetUnavailable(false) })
	case pb.Kind_ROUTER_KILLED:
		err = run.killRouter(ctx, t)
	case pb.Kind_ROUTER_PAUSED:
		err = run.pauseRouter(ctx, t)
	default: // troubles of the clients: clientLoad applies them
	}
	return err
}

// runDrainWave drains engines one after another. Each is killed after half of its share of the time, and returns cold.
func (run *dayRun) runDrainWave(ctx context.Context, t *pb.Trouble, rng *rand.Rand) (err error) {
	engines := run.affectedEngines(t, rng)
	perEngine := config.Seconds(t.GetLengthS()) / time.Duration(len(engines))
	for _, e := range engines {
		e.Drain()
		sleep(ctx, perEngine/2)
		e.Kill()
		sleep(ctx, perEngine/2)
		err = errors.Join(err, e.Restart())
	}
	return err
}

func (run *dayRun) killRouter(ctx context.Context, t *pb.Trouble) error {
	for _, r := range run.routers {
		if r.name != t.GetRouter() {
			continue
		}
		if err := run.killProcess(r); err != nil {
			return err
		}
		sleep(ctx, config.Seconds(t.GetLengthS()))
		return run.startProcess(r)
	}
	return fmt.Errorf("no router %q", t.GetRouter())
}

// pauseRouter stops a router's process and continues it later. It is recorded as down while it is stopped.
func (run *dayRun) pauseRouter(ctx context.Context, t *pb.Trouble) error {
	for _, r := range run.routers {
		if r.name != t.GetRouter() {
			continue
		}
		recordUp := func(up bool) {
			run.recorder.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: proto.String(r.name),
				Address: proto.String(r.source), Up: proto.Bool(up)}}})
		}
		r.mu.Lock()
		process := r.cmd.Process
		r.mu.Unlock()
		recordUp(false)
		if err := process.Signal(syscall.SIGSTOP); err != nil {
			return fmt.Errorf("stop %s: %w", r.name, err)
		}
		sleep(ctx, config.Seconds(t.GetLengthS()))
		err := process.Signal(syscall.SIGCONT)
		recordUp(true)
		if err != nil {
			return fmt.Errorf("continue %s: %w", r.name, err)
		}
		return nil
	}
	return fmt.Errorf("no router %q", t.GetRouter())
}
