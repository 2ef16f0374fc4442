package rules

import (
	"sort"

	pb "cherryhub/proto"
)

// Probes is what an engine met of probes, from its own record.
type ProbeStats struct {
	Engine      string  `json:"engine"`
	Count       int     `json:"count"`
	LongestGap  float64 `json:"longest_gap_s"` // between two, while it was up and heard
	MaxInWindow int     `json:"most_in_window"`
	Routers     int     `json:"routers"` // that probed it
}

// CountProbes counts probes from a time to another, with the most in any window. An engine's times of being
// down or deaf begin a gap anew.
func CountProbes(entries []*pb.Entry, from, to, window float64) []ProbeStats {
	type met struct {
		at    []float64
		gap   float64
		last  float64
		peers map[string]bool
		off   map[string]bool // down, or deaf to one router or all
	}
	all, names := map[string]*met{}, []string(nil)
	of := func(name string) *met {
		if all[name] == nil {
			all[name] = &met{last: from, peers: map[string]bool{}, off: map[string]bool{}}
			names = append(names, name)
		}
		return all[name]
	}
	for _, e := range entries {
		ev, at := e.GetEngine(), e.GetAtS()
		if ev == nil || at > to {
			continue
		}
		m := of(ev.GetEngine())
		switch ev.GetKind() {
		case pb.EngineEvent_DOWN, pb.EngineEvent_DEAF:
			if len(m.off) == 0 && at >= from {
				m.gap = max(m.gap, at-m.last)
			}
			m.off[unreachableReason(ev)] = true
		case pb.EngineEvent_UP, pb.EngineEvent_HEARS:
			if delete(m.off, unreachableReason(ev)); len(m.off) == 0 {
				m.last = max(from, at)
			}
		case pb.EngineEvent_PROBED:
			if at < from {
				continue
			}
			m.at = append(m.at, at)
			m.peers[ev.GetPeer()] = true
			m.gap, m.last = max(m.gap, at-m.last), at
		}
	}
	sort.Strings(names)
	out := make([]ProbeStats, 0, len(names))
	for _, name := range names {
		m := all[name]
		if len(m.off) == 0 {
			m.gap = max(m.gap, to-m.last)
		}
		p := ProbeStats{Engine: name, Count: len(m.at), LongestGap: m.gap, Routers: len(m.peers)}
		for i, first := 0, 0; i < len(m.at); i++ {
			for m.at[i]-m.at[first] >= window {
				first++
			}
			p.MaxInWindow = max(p.MaxInWindow, i-first+1)
		}
		out = append(out, p)
	}
	return out
}

// why is what keeps an engine from hearing: it is down, or deaf to a router or all.
func unreachableReason(ev *pb.EngineEvent) string {
	if k := ev.GetKind(); k == pb.EngineEvent_DOWN || k == pb.EngineEvent_UP {
		return reasonDown
	}
	return reasonDeafTo + ev.GetPeer()
}

const (
	reasonDown   = " is down"
	reasonDeafTo = " is deaf to " // a router, or nobody named: to all
)
