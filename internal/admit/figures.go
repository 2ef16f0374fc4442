package admit

import (
	"fmt"
	"slices"
	"strings"
)

// Figures are a gate's totals.
type Figures struct {
	Connections, Common, CommonMost, Reserve, Anteroom, AnteroomMost, Leaving int
	Completions, CompletionsMost, Addresses                                   int
	Let                                                                       uint64
	Refused, Ended                                                            [Reasons]uint64 // by Reason
}

// RoomUse is how much of a room is used.
type RoomUse struct {
	Name string `json:"name"`
	Used int    `json:"used"`
	Most int    `json:"most"`
}

// Rooms are those of a gate. What is not in the common room or the anteroom is in the reserve.
func (f *Figures) Rooms() []RoomUse {
	return []RoomUse{{"common", f.Common, f.CommonMost}, {"reserve", f.Connections - f.Common - f.Anteroom, f.Reserve},
		{"anteroom", f.Anteroom, f.AnteroomMost}, {"completions", f.Completions, f.CompletionsMost}}
}

// Figures tells the totals.
func (g *Gate) Figures() Figures {
	f := Figures{Common: g.common, CommonMost: g.commonMost(), Reserve: g.s.Reserve, Anteroom: g.anteroom, AnteroomMost: g.s.Anteroom,
		Leaving: g.going, Completions: g.taken, CompletionsMost: g.s.Completions, Addresses: len(g.byAddr), Let: g.let,
		Refused: g.refused, Ended: g.ended}
	f.Connections = len(g.conns) - len(g.spare) - g.going
	return f
}

// Holder is one who holds connections.
type Holder struct {
	Name        string // of the known client, or the address
	Known       bool
	Connections int
	Anteroom    int
	Completions int
}

// Top lists those who hold the most, n at most.
func (g *Gate) Top(n int) []Holder {
	var all []Holder
	for i := range g.holders {
		h := &g.holders[i]
		if !h.used || h.open+h.waiting+h.taken == 0 {
			continue
		}
		one := Holder{h.name, h.client != Unknown && !h.gone, h.open, h.waiting, h.taken}
		if h.client == Unknown {
			one.Name = h.address.String()
		}
		all = append(all, one)
	}
	slices.SortStableFunc(all, func(a, b Holder) int {
		if d := b.Connections + b.Anteroom - a.Connections - a.Anteroom; d != 0 {
			return d
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all[:min(n, len(all))]
}

// Descriptors is how a process divides the descriptors that it may have.
type Descriptors struct {
	Limit       int // the process's
	Own         int // standard streams, pollers, logs, listeners, the engine list, the spare one
	Admin       int
	Peers       int
	Connections int // of clients
	Leaving     int // clients on their way out, and refusals that linger
	Engines     int // the rest
	Completions int // that may be open by it: each is sure of PerCompletion
}

// PerCompletion is how many descriptors towards engines are kept for each completion: its dispatch, and the
// release of a state or a dispatch that follows one still ending.
const PerCompletion = 2

// Divide divides a limit. It fails where nothing sensible is left for engines, and says the sum.
func Divide(limit, admin, peers int, s Settings) (Descriptors, error) {
	d := Descriptors{Limit: limit, Own: OwnDescriptors, Admin: admin, Peers: peers, Connections: s.Connections, Leaving: s.Leaving}
	d.Engines = limit - d.Own - d.Admin - d.Peers - d.Connections - d.Leaving
	d.Completions = min(s.Completions, d.Engines/PerCompletion)
	if d.Completions < 1 {
		return d, fmt.Errorf("%s: nothing is left for engines; wanted fewer connections or a higher limit", d)
	}
	if d.Completions <= s.ReserveCompletions {
		return d, fmt.Errorf("%s: the reserve of %d completions leaves none to others", d, s.ReserveCompletions)
	}
	return d, nil
}

// OwnDescriptors is what the process needs for itself, with room: it had 23 open at its start.
const OwnDescriptors = 64

// String is the sum as an operator reads it.
func (d Descriptors) String() string {
	return fmt.Sprintf("%d descriptors = %d own + %d admin + %d peers + %d client connections + %d leaving + %d towards engines, %d for each of %d completions",
		d.Limit, d.Own, d.Admin, d.Peers, d.Connections, d.Leaving, d.Engines, PerCompletion, d.Completions)
}
