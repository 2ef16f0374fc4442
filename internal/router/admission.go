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

// admissionSetup is the admission configuration at the start of a router.
type admissionSetup struct {
	admission   *pb.Admission
	config      door.AdmissionConfig
	descriptors admit.DescriptorBudget // zero if admission is off
}

// loadAdmission reads the admission settings, raises the process's descriptor limit and divides it. It fails if the
// settings need more descriptors than the limit allows.
func loadAdmission(settings *pb.Router) (*admissionSetup, error) {
	limit, err := door.RaiseDescriptorLimit()
	if err != nil {
		return nil, err
	}
	setup := &admissionSetup{admission: settings.GetAdmission()}
	if file := settings.GetAdmissionFile(); file != "" {
		setup.admission = &pb.Admission{}
		if err := config.Load(file, setup.admission); err != nil {
			return nil, err
		}
	}
	if setup.admission.GetOff() {
		return setup, nil
	}
	if setup.config, setup.descriptors, err = config.AdmissionConfig(settings, setup.admission, limit); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return setup, nil
}

// newListener puts admission control in front of the clients' listener. It returns nil if admission is off.
func (s *admissionSetup) newListener(settings *pb.Router, ln net.Listener, log *slog.Logger) (*door.Listener, error) {
	if s.admission.GetOff() {
		return nil, nil //nolint:nilnil // nil means that admission is off
	}
	options := config.ListenerOptions(settings, s.admission)
	options.Listener, options.Admission, options.Log = ln.(*net.TCPListener), s.config, log //nolint:forcetypeassert // net.Listen("tcp") returns this type
	listener, err := door.New(options)
	if err != nil {
		return nil, err
	}
	log.Info("admission", "descriptors", s.descriptors.String(), "known clients", len(s.config.Clients), "reserve", s.config.Settings.ReservedConnections)
	return listener, nil
}

// watchAdmissionFile reloads the admission file when it changes. A file with any error changes nothing. The
// descriptors stay divided as at the start: limits may change within that division.
func (r *Router) watchAdmissionFile(ctx context.Context, file string) {
	door.WatchFiles(ctx, []string{file}, admissionPollInterval, func() {
		admission := &pb.Admission{}
		err := config.Load(file, admission)
		if err == nil && admission.GetOff() {
			err = fmt.Errorf("%s: off: is read only at startup", file)
		}
		var newConfig door.AdmissionConfig
		var budget admit.DescriptorBudget
		if err == nil {
			newConfig, budget, err = config.AdmissionConfig(r.settings, admission, r.descriptors.Limit)
		}
		if err == nil && budget.Connections+budget.Closing > r.descriptors.Connections+r.descriptors.Closing {
			err = fmt.Errorf("%s: %d connections and %d closing ones exceed the %d that have had descriptors since startup",
				file, budget.Connections, budget.Closing, r.descriptors.Connections+r.descriptors.Closing)
		}
		if err == nil {
			newConfig.Settings.MaxCompletions = min(newConfig.Settings.MaxCompletions, r.descriptors.MaxCompletions)
			err = r.listener.Reload(newConfig)
		}
		if err != nil {
			r.log.Error("admission not reloaded; the previous settings stay in force", "err", err)
			return
		}
		r.log.Info("admission reloaded", "connections", budget.Connections, "known clients", len(newConfig.Clients))
	})
}

// admissionPollInterval is how often the admission file is checked for changes.
const admissionPollInterval = time.Second

// AdmissionStatus is the response of /admission.
type AdmissionStatus struct {
	On          bool              `json:"on"`
	Descriptors string            `json:"descriptors,omitempty"`
	Pools       []admit.PoolUsage `json:"rooms,omitempty"`
	Accepted    uint64            `json:"let_in"`
	Refused     map[string]uint64 `json:"refused,omitempty"`
	Evicted     map[string]uint64 `json:"ended,omitempty"`
	Holders     []HolderStatus    `json:"holders,omitempty"`
}

// HolderStatus is a known client, or the address of unknown ones, that holds connections.
type HolderStatus struct {
	Name        string `json:"name"`
	Known       bool   `json:"known"`
	Connections int    `json:"connections"`
	Provisional int    `json:"anteroom"`
	Completions int    `json:"completions"`
}

// maxHoldersListed is the maximum number of holders in the response of /admission.
const maxHoldersListed = 20

func (r *Router) admissionStatus() AdmissionStatus {
	if r.listener == nil {
		return AdmissionStatus{}
	}
	stats, holders := r.listener.Stats(maxHoldersListed)
	s := AdmissionStatus{On: true, Descriptors: r.descriptors.String(), Accepted: stats.Accepted, Refused: map[string]uint64{}, Evicted: map[string]uint64{},
		Pools: append(stats.Pools(), admit.PoolUsage{Name: "leaving", Used: stats.Closing, Max: r.descriptors.Closing})}
	for i := range admit.Reason(admit.NumReasons) {
		if n := stats.Refused[i]; n > 0 {
			s.Refused[i.String()] = n
		}
		if n := stats.Evicted[i]; n > 0 {
			s.Evicted[i.String()] = n
		}
	}
	for _, h := range holders {
		s.Holders = append(s.Holders, HolderStatus(h))
	}
	return s
}
