package admit

import (
	"fmt"
	"slices"
	"strings"
)

// Stats are a controller's totals.
type Stats struct {
	Connections, Common, MaxCommon, Reserved, Provisional, MaxProvisional, Closing int
	Completions, MaxCompletions, Addresses                                         int
	Accepted                                                                       uint64
	Refused, Evicted                                                               [NumReasons]uint64 // by Reason
}

// PoolUsage is the usage of a pool.
type PoolUsage struct {
	Name string `json:"name"`
	Used int    `json:"used"`
	Max  int    `json:"most"`
}

// Pools returns the usage of each pool. Connections that are in neither the common nor the provisional pool are in the
// reserve.
func (s *Stats) Pools() []PoolUsage {
	return []PoolUsage{{"common", s.Common, s.MaxCommon}, {"reserve", s.Connections - s.Common - s.Provisional, s.Reserved},
		{"anteroom", s.Provisional, s.MaxProvisional}, {"completions", s.Completions, s.MaxCompletions}}
}

// Stats returns the totals.
func (ctl *Controller) Stats() Stats {
	stats := Stats{Common: ctl.commonConns, MaxCommon: ctl.maxCommon(), Reserved: ctl.settings.ReservedConnections,
		Provisional: ctl.provisionalConns, MaxProvisional: ctl.settings.MaxProvisional, Closing: ctl.closingConns,
		Completions: ctl.openCompletions, MaxCompletions: ctl.settings.MaxCompletions, Addresses: len(ctl.holderByAddress),
		Accepted: ctl.accepted, Refused: ctl.refused, Evicted: ctl.evicted}
	stats.Connections = len(ctl.conns) - len(ctl.freeSlots) - ctl.closingConns
	return stats
}

// Holder is the usage of an address or a known client.
type Holder struct {
	Name        string // the known client's name, or the address
	Known       bool
	Connections int
	Provisional int
	Completions int
}

// TopHolders returns the n holders with the most connections.
func (ctl *Controller) TopHolders(n int) []Holder {
	var holders []Holder
	for i := range ctl.holders {
		h := &ctl.holders[i]
		if !h.inUse || h.admittedConns+h.provisionalConns+h.openCompletions == 0 {
			continue
		}
		entry := Holder{h.name, h.client != UnknownClient && !h.revoked, h.admittedConns, h.provisionalConns, h.openCompletions}
		if h.client == UnknownClient {
			entry.Name = h.address.String()
		}
		holders = append(holders, entry)
	}
	slices.SortStableFunc(holders, func(a, b Holder) int {
		if diff := b.Connections + b.Provisional - a.Connections - a.Provisional; diff != 0 {
			return diff
		}
		return strings.Compare(a.Name, b.Name)
	})
	return holders[:min(n, len(holders))]
}

// DescriptorBudget divides the process's file descriptor limit.
type DescriptorBudget struct {
	Limit          int // of the process
	Process        int // standard streams, pollers, logs, listeners, the engine list, the spare descriptors
	Admin          int
	Peers          int
	Connections    int // to clients
	Closing        int // evicted and refused connections that are still open
	Engines        int // to engines: the rest
	MaxCompletions int // each has DescriptorsPerCompletion descriptors
}

// DescriptorsPerCompletion is the number of descriptors to engines reserved for each completion: one for its dispatch,
// one for the release of a state or for a dispatch that starts while the previous one still closes.
const DescriptorsPerCompletion = 2

// DivideDescriptors divides a descriptor limit. It fails if too few are left for engines; the error shows the division.
func DivideDescriptors(limit, admin, peers int, s Settings) (DescriptorBudget, error) {
	budget := DescriptorBudget{Limit: limit, Process: ProcessDescriptors, Admin: admin, Peers: peers,
		Connections: s.MaxConnections, Closing: s.MaxClosing}
	budget.Engines = limit - budget.Process - budget.Admin - budget.Peers - budget.Connections - budget.Closing
	budget.MaxCompletions = min(s.MaxCompletions, budget.Engines/DescriptorsPerCompletion)
	if budget.MaxCompletions < 1 {
		return budget, fmt.Errorf("%s: nothing is left for engines; lower the connection limit or raise the descriptor limit", budget)
	}
	if budget.MaxCompletions <= s.ReservedCompletions {
		return budget, fmt.Errorf("%s: the reserve of %d completions leaves none for other clients", budget, s.ReservedCompletions)
	}
	return budget, nil
}

// ProcessDescriptors is the number of descriptors reserved for the process itself, with a margin: it has 23 open after
// its start.
const ProcessDescriptors = 64

// String returns the division in one line, for operators.
func (d DescriptorBudget) String() string {
	return fmt.Sprintf("%d descriptors = %d own + %d admin + %d peers + %d client connections + %d leaving + %d towards engines, %d for each of %d completions",
		d.Limit, d.Process, d.Admin, d.Peers, d.Connections, d.Closing, d.Engines, DescriptorsPerCompletion, d.MaxCompletions)
}
