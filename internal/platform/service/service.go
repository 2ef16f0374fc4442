// Package service puts the platform's router together: clients' HTTP, the edge's completions, the planner, engines'
// HTTP and discovery, by the configuration that the platform gives; it reloads and stops it by signals. It decides
// nothing. cmd/cherryhub's run starts it.
package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/edge"
	"cherryhub/internal/link"
	"cherryhub/internal/planner"
	"cherryhub/internal/platform/backend"
	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/front"
)

// How the limits are divided. Clients hold at most a third of the descriptors for calls; each call needs one towards an
// engine, and for a moment one more for a place or a release.
const (
	reservedSockets     = 24   // listener, discovery, poller, standard streams, with room
	clientSocketPercent = 42   // percent of the others; the rest is for engines
	memoryLimitPercent  = 70   // percent of the limit at which the collector works without pause
	bodyMemoryPercent   = 15   // percent of the limit that bodies may hold
	gcPercent           = 50   // garbage over a small heap
	maxEngines          = 8192 // of which something is remembered: more than twice the 3,200 of the largest fleets, as they are replaced
	answerMargin        = 40 * time.Millisecond
	maxStreamDuration   = 10 * time.Minute
	pruneInterval       = time.Second
	maxRetryAfter       = 500 * time.Millisecond
	holdLimitSlack      = 300 * time.Millisecond // the protocol's, beside the settings' limit of what is held
)

// Router is a running router.
type Router struct {
	config     *Config
	log        *slog.Logger
	front      *front.Server
	edge       *edge.Edge
	planner    *planner.Planner
	backend    *backend.Client
	follower   *discovery.Follower
	listener   net.Listener
	cancel     context.CancelFunc
	running    sync.WaitGroup
	errs       chan error
	stats      *stats
	clock      clock
	engineAges *engineAges // of the engines; known and tell use it one after the other
}

// Tune sets the process's limits from the configuration.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(c.MemoryBytes * memoryLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
}

// Start starts a router; it serves until Stop.
func Start(c *Config, log *slog.Logger) (*Router, error) {
	s := &c.Settings
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Router{config: c, log: log, listener: ln, errs: make(chan error, 2), stats: &stats{}, clock: newSystemClock()}
	r.engineAges = newEngineAges(r.clock())
	sockets := c.MaxSockets - reservedSockets
	clientConns := sockets * clientSocketPercent / 100
	engineConns := sockets - clientConns
	r.backend = backend.New(backend.Options{ReportColumns: s.Decide.ReportColumns, ProbesAllowed: s.Decide.ProbesAllowed, ConnectTimeout: s.ConnectTimeout,
		EngineIdleTimeout: s.ConnIdle, MaxConns: engineConns})
	r.edge = edge.New(edge.Options{AnswerMargin: answerMargin, HoldLimit: s.LetGo + holdLimitSlack, Engines: r.backend, ReleaseByCompletion: true, Log: log, Observer: r.stats})
	s.Decide.ReservationsUnconfirmed = true // its answer may leave open whether a place is held
	var machines []planner.MachineKind
	for i, name := range s.Machines {
		machines = append(machines, planner.MachineKind{Name: name, Role: s.Decide.Roles[i]})
	}
	r.planner, err = planner.New(s.Decide, planner.Options{MachineKinds: machines, Zone: s.Zones[s.Decide.Zone], MaxEngines: maxEngines,
		MaxQueuedCompletions: clientConns, MaxOpenCompletions: engineConns, Log: log}, r.edge)
	if err != nil {
		ln.Close() //nolint:errcheck // the start's own error is told
		return nil, err
	}
	r.edge.SetPlanner(r.planner)
	retryAfter := min(maxRetryAfter, time.Duration(s.Decide.MaxRetryAfter*float64(time.Second)))
	r.front = front.New(front.Options{Listener: ln, Edge: r.edge, Workloads: s.Workloads, Tenants: s.Tenants, MaxConns: clientConns,
		MaxBufferedBodyBytes: c.MemoryBytes * bodyMemoryPercent / 100, RetryAfter: retryAfter, AnswerMargin: answerMargin, MaxStreamDuration: maxStreamDuration, Log: log})
	r.follower = discovery.New(c.Discovery, r.applyList, log)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.applyInitialList(c)
	r.running.Go(func() { r.planner.Run(ctx) })
	r.running.Go(func() { r.follower.Run(ctx) })
	r.running.Go(func() { r.maintain(ctx) })
	go func() {
		if err := r.front.Serve(); err != nil {
			r.errs <- err
		}
	}()
	log.Info("router serves", "address", ln.Addr().String(), "client_conns", clientConns, "engine_conns", engineConns)
	return r, nil
}

// known takes the list that the configuration holds. Where it names an engine the router can serve: what has changed
// since is told by discovery as soon as that answers.
func (r *Router) applyInitialList(c *Config) {
	if len(c.InitialList) == 0 || string(c.InitialList) == "null" {
		return
	}
	l, err := discovery.ParseList(c.InitialList, r.log)
	if err != nil {
		r.log.Warn("config: known", "err", err)
		return
	}
	r.updateEngines(l, decide.ListCachedSnapshot)
	if len(l.Hosts) > 0 {
		r.front.SetReady()
	}
}

// tell takes what discovery tells.
func (r *Router) applyList(l *discovery.List) {
	kind := decide.ListDelta
	if l.Snapshot {
		kind = decide.ListSnapshot
	}
	r.updateEngines(l, kind)
	r.front.SetReady()
}

// hand hands a list to those who need it: addresses first, so that an engine is reached as soon as it is chosen.
func (r *Router) updateEngines(l *discovery.List, kind decide.ListKind) {
	ages := r.engineAges.beginList(r.clock(), kind != decide.ListDelta)
	update := &link.EngineList{Kind: kind}
	var engines []backend.Engine
	var gone []string
	for _, h := range l.Hosts {
		p, _ := h.Phase()
		e := link.EngineEntry{Address: h.Name, Zone: h.Zone, Cell: strconv.Itoa(h.Cell), MachineKind: h.MachineKind, Phase: p, StartID: h.StartUnixMS, Age: -1}
		if h.StartUnixMS > 0 {
			e.Age = ages.age(h.Name, h.StartUnixMS).Seconds()
		} else {
			e.StartID = 1 // long ago is a start as any other
		}
		update.Entries = append(update.Entries, e)
		r.log.Debug("engine", "engine", h.Name, "machine", h.MachineKind, "zone", h.Zone, "cell", h.Cell, "health", h.Health, "age", e.Age)
		if p == decide.Gone {
			gone = append(gone, h.Name)
			r.engineAges.forget(h.Name)
		} else {
			engines = append(engines, backend.Engine{Name: h.Name, Address: h.Address, Draining: p == decide.Draining})
		}
	}
	r.log.Info("list", "seq", l.Version, "whole", l.Snapshot, "entries", len(l.Hosts))
	r.backend.UpdateEngines(kind != decide.ListDelta, engines, gone)
	r.planner.Notify(link.Event{Kind: link.EnginesUpdated, EngineList: update})
}

func (r *Router) maintain(ctx context.Context) {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.backend.Prune()
			if n%statsLogTicks == statsLogTicks-1 {
				r.stats.log(r)
			}
		}
	}
}

// Address is where clients come.
func (r *Router) Address() string { return r.listener.Addr().String() }

// Fault tells of a part that ended by itself.
func (r *Router) Errors() <-chan error { return r.errs }

// Reload takes a new configuration: another discovery. What else is new in it holds from the next start, and is logged.
func (r *Router) Reload(c *Config) {
	r.log.Info("reload", "discovery", c.Discovery)
	if c.Listen != r.config.Listen || c.MaxSockets != r.config.MaxSockets || c.MemoryBytes != r.config.MemoryBytes {
		r.log.Warn("reload: listen and limits hold from the next start")
	}
	r.follower.SetAddress(c.Discovery)
}

// Times of a stop. New connections still come for up to 0.4 s after the signal. A call that comes more than 0.7 s
// after it must be answered whole before the kill, which no stream can be sure of; the clock here may run late.
const (
	stopDrainAfter  = 500 * time.Millisecond // goes on as before, but for Connection: close
	stopRefuseAfter = 600 * time.Millisecond // from the signal; then calls are refused

	// Where clients ask elsewhere for the rest of a stream, some more is taken on the connections that they have. The
	// kill comes no sooner than the longest client timeout, killWaits at most, and killGrace.
	maxKillTimeout       = 3 * time.Second
	killGracePeriod      = 700 * time.Millisecond
	refuseBeforeKill     = 2200 * time.Millisecond // before the kill; until then calls are taken
	cutBeforeKill        = 1200 * time.Millisecond // before the kill; then all streams are handed over
	firstEventBeforeKill = 900 * time.Millisecond  // before the kill; by then the last calls have their first event or an error
	abortBeforeKill      = 400 * time.Millisecond  // before the kill; what has no event by then is aborted
	closeTimeout         = time.Second             // for the ends of connections that have no call
)

// killAfter is how long after SIGTERM the kill comes at the soonest.
func (c *Config) minKillDelay() time.Duration {
	return min(maxKillTimeout, slices.Max(c.Settings.Timeouts)) + killGracePeriod
}

// Stop takes what still comes for a moment, answers all that was taken, ends clients' connections between calls, and
// ends all parts.
func (r *Router) Stop(ctx context.Context) error {
	start := time.Now()
	r.log.Info("stop", "calls", r.front.ActiveRequests())
	waitUntil := func(offset time.Duration) {
		select {
		case <-time.After(time.Until(start.Add(offset))):
		case <-ctx.Done():
		}
	}
	killAfter := r.config.minKillDelay()
	if refuseAfter := killAfter - refuseBeforeKill; r.config.Settings.Resume && refuseAfter > stopRefuseAfter {
		// In a rolling restart of few routers none may be in service for a while, and the next one stops about when
		// this one is killed: what comes then on connections that clients keep would find nobody, nor would a stream
		// that the kill breaks. It harms, where others are in service, by one more read for each stream cut off.
		r.front.ScheduleStop(front.StopSchedule{LateFrom: start.Add(stopDrainAfter), CutStreamsAt: start.Add(killAfter - cutBeforeKill),
			FirstEventBy: start.Add(killAfter - firstEventBeforeKill), AbortAt: start.Add(killAfter - abortBeforeKill)})
		waitUntil(refuseAfter)
		r.front.RefuseRequests()
		r.front.DrainConns()
	} else {
		r.front.AnnounceClose()
		waitUntil(stopDrainAfter)
		r.front.DrainConns()
		waitUntil(stopRefuseAfter)
		r.front.RefuseRequests()
	}
	r.log.Info("stop: calls are refused from now on", "calls", r.front.ActiveRequests())
	for r.front.ActiveRequests() > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	// Calls may still have come since that look: no connection is accepted any more, those that are open end in order,
	// each after its call, and only then does the process.
	r.listener.Close() //nolint:errcheck // nobody comes any more
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	err := r.front.Close(closeCtx)
	cancel()
	err = errors.Join(err, r.edge.Stop(ctx))
	r.cancel()
	r.running.Wait()
	r.backend.Close()
	r.log.Info("router stopped", "err", err)
	return err
}

// LogHandler writes the router's log as text, at the level that the environment says.
func LogHandler(w io.Writer) slog.Handler {
	level := slog.LevelInfo
	if os.Getenv("CHERRYHUB_LOG") == "debug" {
		level = slog.LevelDebug
	}
	return slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
}
