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
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cherryhub/internal/config"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/fleet"
	"cherryhub/internal/planner"
	"cherryhub/internal/telemetry"
	pb "cherryhub/proto"
)

// Router is a running router.
type Router struct {
	Edge    *edge.Edge
	Planner *planner.Planner
	Metrics *telemetry.Metrics

	settings *pb.Router
	address  net.Addr
	admin    *http.Server
	client   *engine.Client
	log      *slog.Logger
	end      context.CancelFunc
	parts    sync.WaitGroup
	fault    chan error
}

// Start starts a router; its settings must have been checked. It serves until Stop.
func Start(r *pb.Router, log *slog.Logger) (*Router, error) {
	log = log.With("router", r.GetName())
	client, err := engine.NewClient(config.Engine(r))
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", r.GetName(), err)
	}
	ln, err := net.Listen("tcp", r.GetListen())
	if err != nil {
		return nil, fmt.Errorf("router %s: listen: %w", r.GetName(), err)
	}
	var names []string
	for _, w := range r.GetWorkloads() {
		names = append(names, w.GetName())
	}
	metrics := telemetry.NewMetrics(names)
	eo := config.Edge(r)
	eo.Listener, eo.Engines, eo.Log, eo.Observe = ln, client, log, metrics
	e := edge.New(eo)
	po := config.Planner(r)
	po.Log, po.Delay = log, metrics.Delay
	p, err := planner.New(config.Decide(r), po, e)
	if err != nil {
		ln.Close() //nolint:errcheck // it was never used
		return nil, fmt.Errorf("router %s: %w", r.GetName(), err)
	}
	e.Plan(p)
	metrics.Watch(p, e)
	one := &Router{Edge: e, Planner: p, Metrics: metrics, settings: r, address: ln.Addr(), client: client, log: log, fault: make(chan error, 2)}
	if err := one.serveAdmin(); err != nil {
		ln.Close() //nolint:errcheck // it was never used
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	one.end = end
	l := r.GetList()
	follower := fleet.New(fleet.Options{URL: l.GetUrl(), File: l.GetFile(), Poll: config.Seconds(l.GetPollS()),
		Retry: config.Seconds(l.GetRetryS()), MaxEngines: int(l.GetMaxEngines()), SourceAddress: r.GetSourceAddress(), Tell: p.Tell, Log: log})
	one.parts.Go(func() { p.Run(ctx) })
	one.parts.Go(func() { follower.Run(ctx) })
	go func() {
		if err := e.Serve(); err != nil && ctx.Err() == nil {
			one.fault <- err
		}
	}()
	log.Info("router serves", "address", ln.Addr().String(), "admin", r.GetAdminListen())
	return one, nil
}

// Serve runs a router from a file of settings until the context ends, or a part of it does by itself.
func Serve(ctx context.Context, file string, logs io.Writer) error {
	r := &pb.Router{}
	if err := config.Load(file, r); err != nil {
		return err
	}
	one, err := Start(r, telemetry.Log(logs, r.GetLog()))
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-one.fault:
	}
	return errors.Join(err, one.Stop())
}

// Address is where clients come.
func (r *Router) Address() string { return r.address.String() }

// Fault tells of a part that ended by itself.
func (r *Router) Fault() <-chan error { return r.fault }

// Stop takes nothing new, lets what was taken end for the settings' time, aborts the rest and ends all parts.
func (r *Router) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), config.Seconds(r.settings.GetTiming().GetStopS()))
	defer cancel()
	err := r.Edge.Stop(ctx)
	r.end()
	r.parts.Wait()
	r.client.Close()
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
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.Metrics.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		completions, dispatches := r.Edge.Active()
		f := r.Planner.Figures()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"name": r.settings.GetName(), "address": r.Address(), //nolint:errcheck // the client left
			"completions": completions, "dispatches": dispatches, "mailbox": f.Waiting, "decide_seconds": f.Busy.Seconds(), "faults": f.Faults})
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	r.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		if err := r.admin.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			r.fault <- fmt.Errorf("admin: %w", err)
		}
	}()
	return nil
}
