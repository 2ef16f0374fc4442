package rules

import (
	"sort"

	pb "cherryhub/proto"
)

// ProbeStats summarises the probes that an engine received, from the engine's own entries.
type ProbeStats struct {
	Engine      string  `json:"engine"`
	Count       int     `json:"count"`
	LongestGap  float64 `json:"longest_gap_s"` // without a probe while the engine was reachable
	MaxInWindow int     `json:"most_in_window"`
	Routers     int     `json:"routers"` // number of routers that probed it
}

// CountProbes summarises the probes of each engine between from and to. MaxInWindow is the largest number in any
// period of the given length. A gap ends when the engine becomes unreachable and a new one starts when it is
// reachable again.
func CountProbes(entries []*pb.Entry, from, to, window float64) []ProbeStats {
	type engineProbes struct {
		times       []float64
		longestGap  float64
		gapStart    float64
		routers     map[string]bool
		unreachable map[string]bool // reasons that hold now
	}
	byEngine, names := map[string]*engineProbes{}, []string(nil)
	probesOf := func(name string) *engineProbes {
		if byEngine[name] == nil {
			byEngine[name] = &engineProbes{gapStart: from, routers: map[string]bool{}, unreachable: map[string]bool{}}
			names = append(names, name)
		}
		return byEngine[name]
	}
	for _, e := range entries {
		ev, at := e.GetEngine(), e.GetAtS()
		if ev == nil || at > to {
			continue
		}
		probes := probesOf(ev.GetEngine())
		switch ev.GetKind() {
		case pb.EngineEvent_DOWN, pb.EngineEvent_DEAF:
			if len(probes.unreachable) == 0 && at >= from {
				probes.longestGap = max(probes.longestGap, at-probes.gapStart)
			}
			probes.unreachable[unreachableReason(ev)] = true
		case pb.EngineEvent_UP, pb.EngineEvent_HEARS:
			if delete(probes.unreachable, unreachableReason(ev)); len(probes.unreachable) == 0 {
				probes.gapStart = max(from, at)
			}
		case pb.EngineEvent_PROBED:
			if at < from {
				continue
			}
			probes.times = append(probes.times, at)
			probes.routers[ev.GetPeer()] = true
			probes.longestGap, probes.gapStart = max(probes.longestGap, at-probes.gapStart), at
		}
	}
	sort.Strings(names)
	stats := make([]ProbeStats, 0, len(names))
	for _, name := range names {
		probes := byEngine[name]
		if len(probes.unreachable) == 0 {
			probes.longestGap = max(probes.longestGap, to-probes.gapStart)
		}
		engineStats := ProbeStats{Engine: name, Count: len(probes.times), LongestGap: probes.longestGap, Routers: len(probes.routers)}
		for i, windowStart := 0, 0; i < len(probes.times); i++ {
			for probes.times[i]-probes.times[windowStart] >= window {
				windowStart++
			}
			engineStats.MaxInWindow = max(engineStats.MaxInWindow, i-windowStart+1)
		}
		stats = append(stats, engineStats)
	}
	return stats
}

// unreachableReason returns why an engine receives nothing: it is down, or it receives nothing from one router or
// from all (DEAF).
func unreachableReason(ev *pb.EngineEvent) string {
	if k := ev.GetKind(); k == pb.EngineEvent_DOWN || k == pb.EngineEvent_UP {
		return reasonDown
	}
	return reasonDeafTo + ev.GetPeer()
}

const (
	reasonDown   = " is down"
	reasonDeafTo = " is deaf to " // followed by the router, or by nothing for all routers
)
