// Package service assembles the router for the operators' platform from the HTTP server for clients, the edge, the
// planner, the HTTP client for engines and the engine list follower, as configured by the platform. It also reloads and
// stops the router. It takes no routing decisions. The run command of cmd/cherryhub starts it.
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

// Division of the configured limits. Clients hold at most a third of the descriptors for calls: each call needs one for
// its engine connection and, for a short time, one more for a reservation or a release.
const (
	reservedSockets     = 24   // listener, discovery, poller and standard streams, with a margin
	clientSocketPercent = 42   // of the remaining descriptors; the rest is for engine connections
	memoryLimitPercent  = 70   // of the configured memory: the soft limit at which the garbage collector runs continuously
	bodyMemoryPercent   = 15   // of the configured memory, for request bodies
	gcPercent           = 50   // GOGC; the heap is small
	maxEngines          = 8192 // remembered at a time: over twice the 3,200 of the largest fleets, for when all engines are being replaced
	answerMargin        = 40 * time.Millisecond
	maxStreamDuration   = 10 * time.Minute
	pruneInterval       = time.Second
	maxRetryAfter       = 500 * time.Millisecond
	holdLimitSlack      = 300 * time.Millisecond // granted by the protocol on top of the configured hold limit
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
	engineAges *engineAges // used by applyInitialList before the follower starts, then only by applyList
}

// ApplyLimits sets the Go runtime's limits from the configuration.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(c.MemoryBytes * memoryLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
}

// Start starts a router, which serves until Stop.
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
		EngineIdleTimeout: s.EngineIdleTimeout, MaxConns: engineConns})
	r.edge = edge.New(edge.Options{AnswerMargin: answerMargin, HoldLimit: s.HoldLimit + holdLimitSlack, Engines: r.backend, ReleaseByCompletion: true, Log: log, Observer: r.stats})
	s.Decide.ReservationsUnconfirmed = true // an engine's answer may not tell whether the reservation was made
	var machines []planner.MachineKind
	for i, name := range s.MachineKinds {
		machines = append(machines, planner.MachineKind{Name: name, Role: s.Decide.Roles[i]})
	}
	r.planner, err = planner.New(s.Decide, planner.Options{MachineKinds: machines, Zone: s.Zones[s.Decide.Zone], MaxEngines: maxEngines,
		MaxQueuedCompletions: clientConns, MaxOpenCompletions: engineConns, Log: log}, r.edge)
	if err != nil {
		ln.Close() //nolint:errcheck // the error of planner.New is returned
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

// applyInitialList applies the engine list from the configuration. If it names an engine, the router is ready: discovery
// delivers later changes as soon as it answers.
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
	if len(l.Entries) > 0 {
		r.front.SetReady()
	}
}

// applyList applies a list from discovery.
func (r *Router) applyList(l *discovery.EngineList) {
	kind := decide.ListDelta
	if l.Snapshot {
		kind = decide.ListSnapshot
	}
	r.updateEngines(l, kind)
	r.front.SetReady()
}

// updateEngines passes a list on, to the backend first, so that an engine's address is known before the planner can
// choose it.
func (r *Router) updateEngines(l *discovery.EngineList, kind decide.ListKind) {
	ages := r.engineAges.beginList(r.clock(), kind != decide.ListDelta)
	update := &link.EngineList{Kind: kind}
	var engines []backend.EngineEntry
	var gone []string
	for _, entry := range l.Entries {
		p, _ := entry.Phase()
		e := link.EngineEntry{Address: entry.Name, Zone: entry.Zone, Cell: strconv.Itoa(entry.Cell), MachineKind: entry.MachineKind, Phase: p, StartID: entry.StartUnixMS, Age: -1}
		if entry.StartUnixMS > 0 {
			e.Age = ages.age(entry.Name, entry.StartUnixMS).Seconds()
		} else {
			e.StartID = 1 // 0 means unknown to the planner; all engines that started long ago share one id
		}
		update.Entries = append(update.Entries, e)
		r.log.Debug("engine", "engine", entry.Name, "machine", entry.MachineKind, "zone", entry.Zone, "cell", entry.Cell, "health", entry.Health, "age", e.Age)
		if p == decide.Gone {
			gone = append(gone, entry.Name)
			r.engineAges.forget(entry.Name)
		} else {
			engines = append(engines, backend.EngineEntry{Name: entry.Name, Address: entry.Address, Draining: p == decide.Draining})
		}
	}
	r.log.Info("list", "seq", l.Version, "whole", l.Snapshot, "entries", len(l.Entries))
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

// Address returns the address that the router listens on.
func (r *Router) Address() string { return r.listener.Addr().String() }

// Errors delivers the error of a component that ended unexpectedly.
func (r *Router) Errors() <-chan error { return r.errs }

// Reload applies a new discovery address. Other changes take effect at the next start; changes of the listen address and
// the limits are logged.
func (r *Router) Reload(c *Config) {
	r.log.Info("reload", "discovery", c.Discovery)
	if c.Listen != r.config.Listen || c.MaxSockets != r.config.MaxSockets || c.MemoryBytes != r.config.MemoryBytes {
		r.log.Warn("reload: changes of listen and limits take effect at the next start")
	}
	r.follower.SetAddress(c.Discovery)
}

// Schedule of a stop. New connections may still arrive for up to 0.4 s after the signal. A request that arrives more than
// 0.7 s after the signal must be answered completely before the kill, which can't be ensured for a stream; timers may
// also fire late.
const (
	stopDrainAfter  = 500 * time.Millisecond // after the signal; until then only Connection: close is added to responses
	stopRefuseAfter = 600 * time.Millisecond // after the signal; from then on requests are refused

	// If clients resume broken streams at other routers, requests on existing connections are accepted for longer. The
	// kill comes at the earliest after the longest client timeout, capped at maxKillTimeout, plus killGracePeriod. The
	// durations named BeforeKill count back from it.
	maxKillTimeout       = 3 * time.Second
	killGracePeriod      = 700 * time.Millisecond
	refuseBeforeKill     = 2200 * time.Millisecond // until then requests are accepted
	cutBeforeKill        = 1200 * time.Millisecond // then all streams are cut off, for clients to resume elsewhere
	firstEventBeforeKill = 900 * time.Millisecond  // by then late requests have their first event or an error
	abortBeforeKill      = 400 * time.Millisecond  // requests without an event by then are aborted
	closeTimeout         = time.Second             // for closing connections after all requests are answered
)

// minKillDelay is the shortest time from SIGTERM to SIGKILL.
func (c *Config) minKillDelay() time.Duration {
	return min(maxKillTimeout, slices.Max(c.Settings.ClientTimeouts)) + killGracePeriod
}

// Stop shuts the router down: it accepts requests for a short time, answers all accepted ones, closes the client
// connections and stops all components.
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
	if refuseAfter := killAfter - refuseBeforeKill; r.config.Settings.ClientsResume && refuseAfter > stopRefuseAfter {
		// In a rolling restart of few routers, there may be no router in service for a while, and the next one stops about
		// when this one is killed: requests on idle connections, and streams broken by the kill, would find no router. So
		// this one accepts requests longer and cuts its streams earlier. If other routers are in service, this costs one
		// more read for each stream cut off.
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
	r.log.Info("stop: refusing further requests", "calls", r.front.ActiveRequests())
	for r.front.ActiveRequests() > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	// Requests may have arrived since the last check. So no more connections are accepted, and the open ones are closed
	// in order, each after its current request, before the process ends.
	r.listener.Close() //nolint:errcheck // no more connections are accepted
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

// LogHandler returns a handler that writes text. CHERRYHUB_LOG=debug selects the debug level.
func LogHandler(w io.Writer) slog.Handler {
	level := slog.LevelInfo
	if os.Getenv("CHERRYHUB_LOG") == "debug" {
		level = slog.LevelDebug
	}
	return slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
}
