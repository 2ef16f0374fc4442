// Package router puts a router together from its settings: engine client, edge, planner, engine list, figures
// and the admin address. It decides nothing. cmd/cherryhub and internal/day start routers with it.
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

// Router is a running router.
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
	running     sync.WaitGroup
	errs        chan error
	peer        *peer.Peer     // nil where this router talks to none
	listener    *door.Listener // nil where everybody is let in
	descriptors admit.DescriptorBudget
}

// Start starts a router; its settings must have been checked. It serves until Stop.
func Start(r *pb.Router, log *slog.Logger) (*Router, error) {
	log = log.With("router", r.GetName())
	var undo []func() error
	defer func() { // what was begun ends with a start that failed
		for _, f := range slices.Backward(undo) {
			f() //nolint:errcheck // the start's own error is told
		}
	}()
	limits, err := loadAdmission(r)
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", r.GetName(), err)
	}
	co := config.Engine(r)
	co.MaxConns = limits.descriptors.Engines
	client, err := engine.NewClient(co)
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", r.GetName(), err)
	}
	undo = append(undo, func() error { client.Close(); return nil })
	ln, err := net.Listen("tcp", r.GetListen())
	if err != nil {
		return nil, fmt.Errorf("router %s: listen: %w", r.GetName(), err)
	}
	undo = append(undo, ln.Close)
	var names []string
	for _, w := range r.GetWorkloads() {
		names = append(names, w.GetName())
	}
	metrics := telemetry.NewMetrics(names)
	eo := config.Edge(r, limits.settings)
	eo.Listener, eo.Engines, eo.Log, eo.Observer = ln, edge.VLLMEngines(client), log, metrics
	one := &Router{Metrics: metrics, settings: r, address: ln.Addr(), client: client, log: log, errs: make(chan error, 3), descriptors: limits.descriptors}
	if one.listener, err = limits.newListener(r, ln, log); err != nil {
		return nil, fmt.Errorf("router %s: %w", r.GetName(), err)
	}
	if eo.AdmissionListener = one.listener; one.listener != nil {
		undo = append(undo, one.listener.Shutdown)
	}
	l := r.GetList()
	follower := fleet.New(fleet.Options{URL: l.GetUrl(), File: l.GetFile(), Poll: config.Seconds(l.GetPollS()), Ask: l.GetAsk(),
		Retry: config.Seconds(l.GetRetryS()), MaxEngines: int(l.GetMaxEngines()), SourceAddress: r.GetSourceAddress(), Tell: one.updateEngines, Log: log})
	if o := config.Peer(r); o != nil {
		o.Probe, o.Log, o.Observer = client.Probe, log, metrics
		o.Notify = func(f link.Event) { one.Planner.Notify(f) }
		if l.GetAsk() {
			o.ListRefresh = &peer.ListRefresh{Subject: l.GetUrl(), Interval: l.GetPollS(), Fetch: follower.Ask, Apply: follower.Take}
		}
		if one.peer, err = peer.New(*o); err != nil {
			return nil, fmt.Errorf("router %s: %w", r.GetName(), err)
		}
		eo.Probe = one.peer.Probe
	}
	e := edge.New(eo)
	po := config.Planner(r)
	po.Log, po.ObserveDelay = log, metrics.Delay
	if one.listener != nil {
		po.MaxOpenCompletions = min(po.MaxOpenCompletions, limits.descriptors.MaxCompletions)
		metrics.WatchDoor(one.listener)
	}
	p, err := planner.New(config.Decide(r), po, e)
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", r.GetName(), err)
	}
	e.SetPlanner(p)
	metrics.Watch(p, e)
	one.Edge, one.Planner = e, p
	if err := one.serveAdmin(); err != nil {
		return nil, err
	}
	undo = nil
	ctx, end := context.WithCancel(context.Background())
	one.cancel = end
	one.running.Go(func() { p.Run(ctx) })
	if one.peer == nil || !l.GetAsk() { // else asking is a duty
		one.running.Go(func() { follower.Run(ctx) })
	}
	if one.peer != nil {
		one.running.Go(func() {
			if err := one.peer.Run(ctx); err != nil {
				one.errs <- err
			}
		})
	}
	if file := r.GetAdmissionFile(); file != "" && one.listener != nil {
		one.running.Go(func() { one.watchAdmissionFile(ctx, file) })
	}
	go func() {
		if err := e.Serve(); err != nil && ctx.Err() == nil {
			one.errs <- err
		}
	}()
	log.Info("router serves", "address", ln.Addr().String(), "admin", r.GetAdminListen())
	return one, nil
}

// listed hands news of the engines on.
func (r *Router) updateEngines(f link.Event) {
	r.Planner.Notify(f)
	if r.peer != nil {
		r.peer.UpdateEngines(f.EngineList)
	}
}

// Serve runs a router from a file of settings until the context ends, or a part of it does by itself.
func Serve(ctx context.Context, file string, logs io.Writer) error {
	r := &pb.Router{}
	if err := config.Load(file, r); err != nil {
		return err
	}
	log, writer := logwriter.Start(logs, func(w io.Writer) slog.Handler { return telemetry.LogHandler(w, r.GetLog()) })
	defer writer.Close()
	one, err := Start(r, log)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-one.errs:
	}
	return errors.Join(err, one.Stop())
}

// Address is where clients come.
func (r *Router) Address() string { return r.address.String() }

// Fault tells of a part that ended by itself.
func (r *Router) Errors() <-chan error { return r.errs }

// Stop takes nothing new, lets what was taken end for the settings' time, aborts the rest and ends all parts.
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
		f := r.Planner.Stats()
		r.writeJSON(w, map[string]any{"name": r.settings.GetName(), "address": r.Address(),
			"completions": completions, "dispatches": dispatches, "mailbox": f.QueuedEvents, "decide_seconds": f.DecideTime.Seconds(), "faults": f.Panics})
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

func (r *Router) writeJSON(w http.ResponseWriter, what any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(what) //nolint:errcheck // the client left
}

// PeerStatus is what /peers tells of a router.
type PeerStatus struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Incarnation uint64  `json:"incarnation"`
	Weight      float64 `json:"weight"`
	Self        bool    `json:"self"`
	Alive       bool    `json:"in_sight"`
	OnRoster    bool    `json:"on_roster"`
}

// DutyStatus is what /duties tells of a duty. Seconds are -1 where it was never done.
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
	all := []PeerStatus{}
	if r.peer == nil {
		return all
	}
	self, sight, roster := r.peer.Members()
	listed := map[string]bool{}
	for _, name := range roster {
		listed[name] = true
	}
	for i, m := range append([]duty.Member{self}, sight...) {
		all = append(all, PeerStatus{m.Name, m.Zone, m.Incarnation, m.Weight, i == 0, true, listed[m.Name]})
		delete(listed, m.Name)
	}
	for _, name := range roster {
		if listed[name] {
			all = append(all, PeerStatus{Name: name, OnRoster: true})
		}
	}
	return all
}

func (r *Router) dutyStatuses() []DutyStatus {
	all := []DutyStatus{}
	if r.peer == nil {
		return all
	}
	for _, d := range r.peer.Duties() {
		s := DutyStatus{string(d.Kind), d.Subject, d.Owner, d.Epoch, -1, -1, d.Candidates}
		if !math.IsInf(d.Since, 1) {
			s.SecondsSinceDone, s.SecondsLate = d.Since, d.Late
		}
		all = append(all, s)
	}
	return all
}
