// Package router assembles a router from its settings: engine client, edge, planner, engine list, metrics and
// admin server. It makes no routing decisions. cmd/cherryhub and internal/day start routers with it.
package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/pprof"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/net/netutil"

	"cherryhub/internal/admit"
	"cherryhub/internal/config"
	"cherryhub/internal/door"
	"cherryhub/internal/duty"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/fleet"
	"cherryhub/internal/link"
	"cherryhub/internal/logwriter"
	"cherryhub/internal/peer"
	"cherryhub/internal/planner"
	"cherryhub/internal/telemetry"
	pb "cherryhub/proto"
)

// Router is a running router with its parts.
type Router struct {
	Edge    *edge.Edge
	Planner *planner.Planner
	Metrics *telemetry.Metrics

	settings    *pb.Router
	address     net.Addr
	admin       *http.Server
	client      *engine.Client
	log         *slog.Logger
	cancel      context.CancelFunc
	running     sync.WaitGroup // goroutines that end with cancel
	errs        chan error     // see Errors
	peer        *peer.Peer     // nil if the settings have no peers
	listener    *door.Listener // nil if admission is off
	descriptors admit.DescriptorBudget
}

// Start starts a router, which serves until Stop. The settings must have been checked.
func Start(settings *pb.Router, log *slog.Logger) (*Router, error) {
	log = log.With("router", settings.GetName())
	var undo []func() error
	defer func() { // a failed start closes what it opened
		for _, f := range slices.Backward(undo) {
			f() //nolint:errcheck // the error of the start is returned
		}
	}()
	setup, err := loadAdmission(settings)
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", settings.GetName(), err)
	}
	clientOptions := config.EngineOptions(settings)
	clientOptions.MaxConns = setup.descriptors.Engines
	client, err := engine.NewClient(clientOptions)
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", settings.GetName(), err)
	}
	undo = append(undo, func() error { client.Close(); return nil })
	ln, err := net.Listen("tcp", settings.GetListen())
	if err != nil {
		return nil, fmt.Errorf("router %s: listen: %w", settings.GetName(), err)
	}
	undo = append(undo, ln.Close)
	var workloadNames []string
	for _, w := range settings.GetWorkloads() {
		workloadNames = append(workloadNames, w.GetName())
	}
	metrics := telemetry.NewMetrics(workloadNames)
	edgeOptions := config.EdgeOptions(settings, setup.admission)
	edgeOptions.Listener, edgeOptions.Engines, edgeOptions.Log, edgeOptions.Observer = ln, edge.VLLMEngines(client), log, metrics
	router := &Router{Metrics: metrics, settings: settings, address: ln.Addr(), client: client, log: log, errs: make(chan error, 3), descriptors: setup.descriptors}
	if router.listener, err = setup.newListener(settings, ln, log); err != nil {
		return nil, fmt.Errorf("router %s: %w", settings.GetName(), err)
	}
	if edgeOptions.AdmissionListener = router.listener; router.listener != nil {
		undo = append(undo, router.listener.Shutdown)
	}
	list := settings.GetList()
	follower := fleet.New(fleet.Options{URL: list.GetUrl(), File: list.GetFile(), PollInterval: config.Seconds(list.GetPollS()), PollService: list.GetAsk(),
		RetryDelay: config.Seconds(list.GetRetryS()), MaxEngines: int(list.GetMaxEngines()), SourceAddress: settings.GetSourceAddress(), Notify: router.updateEngines, Log: log})
	if peerOptions := config.PeerOptions(settings); peerOptions != nil {
		peerOptions.Probe, peerOptions.Log, peerOptions.Observer = client.Probe, log, metrics
		peerOptions.Notify = func(e link.Event) { router.Planner.Notify(e) }
		if list.GetAsk() {
			peerOptions.ListRefresh = &peer.ListRefresh{Subject: list.GetUrl(), Interval: list.GetPollS(), Fetch: follower.Fetch, Apply: follower.Apply}
		}
		if router.peer, err = peer.New(*peerOptions); err != nil {
			return nil, fmt.Errorf("router %s: %w", settings.GetName(), err)
		}
		edgeOptions.Probe = router.peer.Probe
	}
	e := edge.New(edgeOptions)
	plannerOptions := config.PlannerOptions(settings)
	plannerOptions.Log, plannerOptions.ObserveDelay = log, metrics.ObservePlannerDelay
	if router.listener != nil {
		plannerOptions.MaxOpenCompletions = min(plannerOptions.MaxOpenCompletions, setup.descriptors.MaxCompletions)
		metrics.WatchAdmission(router.listener)
	}
	p, err := planner.New(config.DecideSettings(settings), plannerOptions, e)
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", settings.GetName(), err)
	}
	e.SetPlanner(p)
	metrics.Watch(p, e)
	router.Edge, router.Planner = e, p
	if err := router.serveAdmin(); err != nil {
		return nil, err
	}
	undo = nil
	ctx, cancel := context.WithCancel(context.Background())
	router.cancel = cancel
	router.running.Go(func() { p.Run(ctx) })
	if router.peer == nil || !list.GetAsk() { // otherwise the peers poll the list, as one of their duties
		router.running.Go(func() { follower.Run(ctx) })
	}
	if router.peer != nil {
		router.running.Go(func() {
			if err := router.peer.Run(ctx); err != nil {
				router.errs <- err
			}
		})
	}
	if file := settings.GetAdmissionFile(); file != "" && router.listener != nil {
		router.running.Go(func() { router.watchAdmissionFile(ctx, file) })
	}
	go func() {
		if err := e.Serve(); err != nil && ctx.Err() == nil {
			router.errs <- err
		}
	}()
	log.Info("router serves", "address", ln.Addr().String(), "admin", settings.GetAdminListen())
	return router, nil
}

// updateEngines passes an engine list to the planner, the engines' client and the peers.
func (r *Router) updateEngines(e link.Event) {
	r.client.UpdateEngines(e.EngineList)
	r.Planner.Notify(e)
	if r.peer != nil {
		r.peer.UpdateEngines(e.EngineList)
	}
}

// Serve runs a router from a settings file until the context ends or a part of the router fails.
func Serve(ctx context.Context, file string, logs io.Writer) error {
	settings := &pb.Router{}
	if err := config.Load(file, settings); err != nil {
		return err
	}
	log, writer := logwriter.Start(logs, func(w io.Writer) slog.Handler { return telemetry.NewLogHandler(w, settings.GetLog()) })
	defer writer.Close()
	router, err := Start(settings, log)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-router.errs:
	}
	return errors.Join(err, router.Stop())
}

// Address returns the address that clients connect to.
func (r *Router) Address() string { return r.address.String() }

// Errors receives the errors of parts of the router that ended by themselves.
func (r *Router) Errors() <-chan error { return r.errs }

// Stop accepts no new completions, gives the open ones up to timing.stop_s to finish, aborts the rest, and ends all
// parts of the router.
func (r *Router) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), config.Seconds(r.settings.GetTiming().GetStopS()))
	defer cancel()
	err := r.Edge.Stop(ctx)
	r.cancel()
	r.running.Wait()
	r.client.Close()
	if r.listener != nil {
		err = errors.Join(err, r.listener.Shutdown())
	}
	if r.admin != nil {
		err = errors.Join(err, r.admin.Close())
	}
	r.log.Info("router stopped", "err", err)
	return err
}

func (r *Router) serveAdmin() error {
	if r.settings.GetAdminListen() == "" {
		return nil
	}
	ln, err := net.Listen("tcp", r.settings.GetAdminListen())
	if err != nil {
		return fmt.Errorf("router %s: listen for admin: %w", r.settings.GetName(), err)
	}
	ln = netutil.LimitListener(ln, int(r.settings.GetDescriptors().GetAdmin()))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.Metrics.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		completions, dispatches := r.Edge.Active()
		stats := r.Planner.Stats()
		r.writeJSON(w, map[string]any{"name": r.settings.GetName(), "address": r.Address(),
			"completions": completions, "dispatches": dispatches, "mailbox": stats.QueuedEvents, "decide_seconds": stats.DecideTime.Seconds(), "faults": stats.Panics})
	})
	mux.HandleFunc("GET /peers", func(w http.ResponseWriter, _ *http.Request) { r.writeJSON(w, r.peerStatuses()) })
	mux.HandleFunc("GET /duties", func(w http.ResponseWriter, _ *http.Request) { r.writeJSON(w, r.dutyStatuses()) })
	mux.HandleFunc("GET /admission", func(w http.ResponseWriter, _ *http.Request) { r.writeJSON(w, r.admissionStatus()) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	r.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, IdleTimeout: 30 * time.Second}
	go func() {
		if err := r.admin.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			r.errs <- fmt.Errorf("admin: %w", err)
		}
	}()
	return nil
}

func (r *Router) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the client is gone
}

// PeerStatus is the entry of a router in the response of /peers.
type PeerStatus struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Incarnation uint64  `json:"incarnation"`
	Weight      float64 `json:"weight"`
	Self        bool    `json:"self"`
	Alive       bool    `json:"in_sight"`
	OnRoster    bool    `json:"on_roster"`
}

// DutyStatus is the entry of a duty in the response of /duties. The seconds are -1 if it was never done.
type DutyStatus struct {
	Kind             string   `json:"kind"`
	Subject          string   `json:"subject"`
	Owner            string   `json:"owner"`
	Epoch            uint64   `json:"epoch"`
	SecondsSinceDone float64  `json:"done_s_ago"`
	SecondsLate      float64  `json:"late_s"`
	Candidates       []string `json:"candidates"`
}

func (r *Router) peerStatuses() []PeerStatus {
	statuses := []PeerStatus{}
	if r.peer == nil {
		return statuses
	}
	self, alive, roster := r.peer.Members()
	onRoster := map[string]bool{}
	for _, name := range roster {
		onRoster[name] = true
	}
	for i, m := range append([]duty.Member{self}, alive...) {
		statuses = append(statuses, PeerStatus{m.Name, m.Zone, m.Incarnation, m.Weight, i == 0, true, onRoster[m.Name]})
		delete(onRoster, m.Name)
	}
	for _, name := range roster {
		if onRoster[name] {
			statuses = append(statuses, PeerStatus{Name: name, OnRoster: true})
		}
	}
	return statuses
}

func (r *Router) dutyStatuses() []DutyStatus {
	statuses := []DutyStatus{}
	if r.peer == nil {
		return statuses
	}
	for _, d := range r.peer.Duties() {
		s := DutyStatus{string(d.Kind), d.Subject, d.Owner, d.Epoch, -1, -1, d.Candidates}
		if !math.IsInf(d.Since, 1) {
			s.SecondsSinceDone, s.SecondsLate = d.Since, d.Late
		}
		statuses = append(statuses, s)
	}
	return statuses
}
