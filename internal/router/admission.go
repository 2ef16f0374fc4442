package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"cherryhub/internal/admit"
	"cherryhub/internal/config"
	"cherryhub/internal/door"
	pb "cherryhub/proto"
)

// admission is what a router goes by when it starts.
type admissionSetup struct {
	settings    *pb.Admission
	config      door.AdmissionConfig
	descriptors admit.DescriptorBudget // zero where everybody is let in
}

// letIn raises the limit of descriptors and divides it. It fails where the settings don't fit the limit.
func loadAdmission(r *pb.Router) (*admissionSetup, error) {
	limit, err := door.RaiseDescriptorLimit()
	if err != nil {
		return nil, err
	}
	a := &admissionSetup{settings: r.GetAdmission()}
	if file := r.GetAdmissionFile(); file != "" {
		a.settings = &pb.Admission{}
		if err := config.Load(file, a.settings); err != nil {
			return nil, err
		}
	}
	if a.settings.GetOff() {
		return a, nil
	}
	if a.config, a.descriptors, err = config.Rules(r, a.settings, limit); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return a, nil
}

// door is made at the clients' listener, nil where everybody is let in.
func (a *admissionSetup) newListener(r *pb.Router, ln net.Listener, log *slog.Logger) (*door.Listener, error) {
	if a.settings.GetOff() {
		return nil, nil //nolint:nilnil // as the comment says
	}
	o := config.Door(r, a.settings)
	o.Listener, o.Admission, o.Log = ln.(*net.TCPListener), a.config, log //nolint:forcetypeassert // of net.Listen("tcp")
	d, err := door.New(o)
	if err != nil {
		return nil, err
	}
	log.Info("admission", "descriptors", a.descriptors.String(), "known clients", len(a.config.Clients), "reserve", a.config.Settings.ReservedConnections)
	return d, nil
}

// followAdmission reads the file of the admission again when it changes, whole or not at all. Descriptors stay
// divided as they were at the start: caps may fall and rise below them.
func (r *Router) watchAdmissionFile(ctx context.Context, file string) {
	door.WatchFiles(ctx, []string{file}, admissionPollInterval, func() {
		a := &pb.Admission{}
		err := config.Load(file, a)
		if err == nil && a.GetOff() {
			err = fmt.Errorf("%s: off: is read at the start only", file)
		}
		var rules door.AdmissionConfig
		var d admit.DescriptorBudget
		if err == nil {
			rules, d, err = config.Rules(r.settings, a, r.descriptors.Limit)
		}
		if err == nil && d.Connections+d.Closing > r.descriptors.Connections+r.descriptors.Closing {
			err = fmt.Errorf("%s: %d connections and %d leaving are more than the %d for which there are descriptors since the start",
				file, d.Connections, d.Closing, r.descriptors.Connections+r.descriptors.Closing)
		}
		if err == nil {
			rules.Settings.MaxCompletions = min(rules.Settings.MaxCompletions, r.descriptors.MaxCompletions)
			err = r.listener.Reload(rules)
		}
		if err != nil {
			r.log.Error("admission not reloaded, all is as it was", "err", err)
			return
		}
		r.log.Info("admission reloaded", "connections", d.Connections, "known clients", len(rules.Clients))
	})
}

// followEvery is how often the admission's file is looked at.
const admissionPollInterval = time.Second

// AdmissionStatus is what /admission tells.
type AdmissionStatus struct {
	On          bool              `json:"on"`
	Descriptors string            `json:"descriptors,omitempty"`
	Pools       []admit.PoolUsage `json:"rooms,omitempty"`
	Accepted    uint64            `json:"let_in"`
	Refused     map[string]uint64 `json:"refused,omitempty"`
	Evicted     map[string]uint64 `json:"ended,omitempty"`
	Holders     []HolderStatus    `json:"holders,omitempty"`
}

// HolderStatus is one who holds connections.
type HolderStatus struct {
	Name        string `json:"name"`
	Known       bool   `json:"known"`
	Connections int    `json:"connections"`
	Provisional int    `json:"anteroom"`
	Completions int    `json:"completions"`
}

// holdersTold is how many holders /admission tells of.
const maxHoldersListed = 20

func (r *Router) admissionStatus() AdmissionStatus {
	if r.listener == nil {
		return AdmissionStatus{}
	}
	f, top := r.listener.Stats(maxHoldersListed)
	s := AdmissionStatus{On: true, Descriptors: r.descriptors.String(), Accepted: f.Accepted, Refused: map[string]uint64{}, Evicted: map[string]uint64{},
		Pools: append(f.Pools(), admit.PoolUsage{Name: "leaving", Used: f.Closing, Max: r.descriptors.Closing})}
	for i := range admit.Reason(admit.NumReasons) {
		if n := f.Refused[i]; n > 0 {
			s.Refused[i.String()] = n
		}
		if n := f.Evicted[i]; n > 0 {
			s.Evicted[i.String()] = n
		}
	}
	for _, h := range top {
		s.Holders = append(s.Holders, HolderStatus(h))
	}
	return s
}
