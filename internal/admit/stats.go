package admit

import (
	"fmt"
	"slices"
	"strings"
)

// Figures are a gate's totals.
type Stats struct {
	Connections, Common, MaxCommon, Reserved, Provisional, MaxProvisional, Closing int
	Completions, MaxCompletions, Addresses                                         int
	Accepted                                                                       uint64
	Refused, Evicted                                                               [NumReasons]uint64 // by Reason
}

// RoomUse is how much of a room is used.
type PoolUsage struct {
	Name string `json:"name"`
	Used int    `json:"used"`
	Max  int    `json:"most"`
}

// Rooms are those of a gate. What is not in the common room or the anteroom is in the reserve.
func (f *Stats) Pools() []PoolUsage {
	return []PoolUsage{{"common", f.Common, f.MaxCommon}, {"reserve", f.Connections - f.Common - f.Provisional, f.Reserved},
		{"anteroom", f.Provisional, f.MaxProvisional}, {"completions", f.Completions, f.MaxCompletions}}
}

// Figures tells the totals.
func (g *Controller) Stats() Stats {
	f := Stats{Common: g.commonConns, MaxCommon: g.maxCommon(), Reserved: g.settings.ReservedConnections, Provisional: g.provisionalConns, MaxProvisional: g.settings.MaxProvisional,
		Closing: g.closingConns, Completions: g.openCompletions, MaxCompletions: g.settings.MaxCompletions, Addresses: len(g.holderByAddress), Accepted: g.accepted,
		Refused: g.refused, Evicted: g.evicted}
	f.Connections = len(g.conns) - len(g.freeSlots) - g.closingConns
	return f
}

// Holder is one who holds connections.
type Holder struct {
	Name        string // of the known client, or the address
	Known       bool
	Connections int
	Provisional int
	Completions int
}

// Top lists those who hold the most, n at most.
func (g *Controller) TopHolders(n int) []Holder {
	var all []Holder
	for i := range g.holders {
		h := &g.holders[i]
		if !h.inUse || h.admittedConns+h.provisionalConns+h.openCompletions == 0 {
			continue
		}
		one := Holder{h.name, h.client != UnknownClient && !h.revoked, h.admittedConns, h.provisionalConns, h.openCompletions}
		if h.client == UnknownClient {
			one.Name = h.address.String()
		}
		all = append(all, one)
	}
	slices.SortStableFunc(all, func(a, b Holder) int {
		if d := b.Connections + b.Provisional - a.Connections - a.Provisional; d != 0 {
			return d
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all[:min(n, len(all))]
}

// Descriptors is how a process divides the descriptors that it may have.
type DescriptorBudget struct {
	Limit          int // the process's
	Process        int // standard streams, pollers, logs, listeners, the engine list, the spare one
	Admin          int
	Peers          int
	Connections    int // of clients
	Closing        int // clients on their way out, and refusals that linger
	Engines        int // the rest
	MaxCompletions int // that may be open by it: each is sure of PerCompletion
}

// PerCompletion is how many descriptors towards engines are kept for each completion: its dispatch, and the
// release of a state or a dispatch that follows one still ending.
const DescriptorsPerCompletion = 2

// Divide divides a limit. It fails where nothing sensible is left for engines, and says the sum.
func DivideDescriptors(limit, admin, peers int, s Settings) (DescriptorBudget, error) {
	d := DescriptorBudget{Limit: limit, Process: ProcessDescriptors, Admin: admin, Peers: peers, Connections: s.MaxConnections, Closing: s.MaxClosing}
	d.Engines = limit - d.Process - d.Admin - d.Peers - d.Connections - d.Closing
	d.MaxCompletions = min(s.MaxCompletions, d.Engines/DescriptorsPerCompletion)
	if d.MaxCompletions < 1 {
		return d, fmt.Errorf("%s: nothing is left for engines; wanted fewer connections or a higher limit", d)
	}
	if d.MaxCompletions <= s.ReservedCompletions {
		return d, fmt.Errorf("%s: the reserve of %d completions leaves none to others", d, s.ReservedCompletions)
	}
	return d, nil
}

// OwnDescriptors is what the process needs for itself, with room: it had 23 open at its start.
const ProcessDescriptors = 64

// String is the sum as an operator reads it.
func (d DescriptorBudget) String() string {
	return fmt.Sprintf("%d descriptors = %d own + %d admin + %d peers + %d client connections + %d leaving + %d towards engines, %d for each of %d completions",
		d.Limit, d.Process, d.Admin, d.Peers, d.Connections, d.Closing, d.Engines, DescriptorsPerCompletion, d.MaxCompletions)
}
