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
type admission struct {
	settings *pb.Admission
	rules    door.Rules
	divided  admit.Descriptors // zero where everybody is let in
}

// letIn raises the limit of descriptors and divides it. It fails where the settings don't fit the limit.
func letIn(r *pb.Router) (*admission, error) {
	limit, err := door.RaiseLimit()
	if err != nil {
		return nil, err
	}
	a := &admission{settings: r.GetAdmission()}
	if file := r.GetAdmissionFile(); file != "" {
		a.settings = &pb.Admission{}
		if err := config.Load(file, a.settings); err != nil {
			return nil, err
		}
	}
	if a.settings.GetOff() {
		return a, nil
	}
	if a.rules, a.divided, err = config.Rules(r, a.settings, limit); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return a, nil
}

// door is made at the clients' listener, nil where everybody is let in.
func (a *admission) door(r *pb.Router, ln net.Listener, log *slog.Logger) (*door.Door, error) {
	if a.settings.GetOff() {
		return nil, nil //nolint:nilnil // as the comment says
	}
	o := config.Door(r, a.settings)
	o.Listener, o.Rules, o.Log = ln.(*net.TCPListener), a.rules, log //nolint:forcetypeassert // of net.Listen("tcp")
	d, err := door.New(o)
	if err != nil {
		return nil, err
	}
	log.Info("admission", "descriptors", a.divided.String(), "known clients", len(a.rules.Clients), "reserve", a.rules.Settings.Reserve)
	return d, nil
}

// followAdmission reads the file of the admission again when it changes, whole or not at all. Descriptors stay
// divided as they were at the start: caps may fall and rise below them.
func (r *Router) followAdmission(ctx context.Context, file string) {
	door.Follow(ctx, []string{file}, followEvery, func() {
		a := &pb.Admission{}
		err := config.Load(file, a)
		if err == nil && a.GetOff() {
			err = fmt.Errorf("%s: off: is read at the start only", file)
		}
		var rules door.Rules
		var d admit.Descriptors
		if err == nil {
			rules, d, err = config.Rules(r.settings, a, r.divided.Limit)
		}
		if err == nil && d.Connections+d.Leaving > r.divided.Connections+r.divided.Leaving {
			err = fmt.Errorf("%s: %d connections and %d leaving are more than the %d for which there are descriptors since the start",
				file, d.Connections, d.Leaving, r.divided.Connections+r.divided.Leaving)
		}
		if err == nil {
			rules.Settings.Completions = min(rules.Settings.Completions, r.divided.Completions)
			err = r.door.Reload(rules)
		}
		if err != nil {
			r.log.Error("admission not reloaded, all is as it was", "err", err)
			return
		}
		r.log.Info("admission reloaded", "connections", d.Connections, "known clients", len(rules.Clients))
	})
}

// followEvery is how often the admission's file is looked at.
const followEvery = time.Second

// AdmissionStatus is what /admission tells.
type AdmissionStatus struct {
	On          bool              `json:"on"`
	Descriptors string            `json:"descriptors,omitempty"`
	Rooms       []admit.RoomUse   `json:"rooms,omitempty"`
	Let         uint64            `json:"let_in"`
	Refused     map[string]uint64 `json:"refused,omitempty"`
	Ended       map[string]uint64 `json:"ended,omitempty"`
	Holders     []HolderStatus    `json:"holders,omitempty"`
}

// HolderStatus is one who holds connections.
type HolderStatus struct {
	Name        string `json:"name"`
	Known       bool   `json:"known"`
	Connections int    `json:"connections"`
	Anteroom    int    `json:"anteroom"`
	Completions int    `json:"completions"`
}

// holdersTold is how many holders /admission tells of.
const holdersTold = 20

func (r *Router) admission() AdmissionStatus {
	if r.door == nil {
		return AdmissionStatus{}
	}
	f, top := r.door.Figures(holdersTold)
	s := AdmissionStatus{On: true, Descriptors: r.divided.String(), Let: f.Let, Refused: map[string]uint64{}, Ended: map[string]uint64{},
		Rooms: append(f.Rooms(), admit.RoomUse{Name: "leaving", Used: f.Leaving, Most: r.divided.Leaving})}
	for i := range admit.Reason(admit.Reasons) {
		if n := f.Refused[i]; n > 0 {
			s.Refused[i.String()] = n
		}
		if n := f.Ended[i]; n > 0 {
			s.Ended[i.String()] = n
		}
	}
	for _, h := range top {
		s.Holders = append(s.Holders, HolderStatus(h))
	}
	return s
}
