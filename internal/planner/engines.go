package planner

import (
	"fmt"
	"log/slog"
	"math"

	"github.com/cespare/xxhash/v2"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

const longAgo = -1e9 // seconds; the start of an engine of which none is told

// engines maps what a list names to the small indices of decide, and back. Indices are handed out once and
// only taken back from engines that are long gone, so a list that names ever new engines stays bounded.
type engines struct {
	most     int
	log      *slog.Logger
	byName   map[string]int // address to index
	known    []known
	zones    names
	cells    names
	machines names
	roles    []decide.Role
}

type known struct {
	address string
	role    decide.Role
	phase   decide.Phase
	start   int64
	started float64 // on the planner's clock
	goneAt  float64 // since when it is gone; +Inf while it is not
}

// names maps names to indices in order of their first use.
type names map[string]int

func (n names) index(name string) int {
	i, found := n[name]
	if !found {
		i = len(n)
		n[name] = i
	}
	return i
}

func newEngines(most int, machines []Machine, zone string, log *slog.Logger) *engines {
	t := &engines{most: most, log: log, byName: map[string]int{}, zones: names{}, cells: names{}, machines: names{}}
	t.zones.index(zone)
	for _, m := range machines {
		t.machines.index(m.Name)
		t.roles = append(t.roles, m.Role)
	}
	return t
}

// facts are a list's entries as decide takes them.
func (t *engines) facts(now float64, l *link.List) []decide.Fact {
	facts := make([]decide.Fact, 0, len(l.Entries))
	listed := map[int]bool{}
	for _, e := range l.Entries {
		i, err := t.index(now, e.Address)
		if err != nil {
			t.log.Error("engine left out", "engine", e.Address, "err", err)
			continue
		}
		k := &t.known[i]
		// A restart shows as another start. Within one start the age is read once: each list tells it a little
		// later, and decide takes a later start for a restart.
		if k.start != e.Start || k.started == 0 || k.phase == decide.Gone && e.Start == 0 {
			k.started = longAgo
			if e.Age >= 0 {
				k.started = now - e.Age
			}
		}
		machine, told := t.machines[e.Machine]
		if !told { // decide takes it for a mixed one with a middling memory
			t.log.Warn("engine of a machine kind that is not in the settings", "engine", e.Address, "machine", e.Machine)
			machine = len(t.roles)
		}
		k.start, k.phase, k.goneAt, k.role = e.Start, e.Phase, math.Inf(1), decide.Mixed
		if told {
			k.role = t.roles[machine]
		}
		if e.Phase == decide.Gone {
			k.goneAt = now
		}
		listed[i] = true
		facts = append(facts, decide.Fact{Engine: i, Mark: xxhash.Sum64String(e.Address), Zone: t.zones.index(e.Zone),
			Kind: machine, Cell: t.cells.index(e.Zone + "\x00" + e.Cell), Phase: e.Phase, Started: k.started})
	}
	if l.Kind == decide.ListFull || l.Kind == decide.ListCached {
		for i := range t.known {
			if k := &t.known[i]; !listed[i] && k.phase != decide.Gone {
				k.phase, k.goneAt = decide.Gone, now
			}
		}
	}
	return facts
}

const indexRests = 600.0 // seconds that an engine is gone before its index may serve another

func (t *engines) index(now float64, address string) (int, error) {
	if i, found := t.byName[address]; found {
		return i, nil
	}
	if len(t.known) < t.most {
		t.known = append(t.known, known{address: address, goneAt: math.Inf(1)})
		t.byName[address] = len(t.known) - 1
		return len(t.known) - 1, nil
	}
	for i := range t.known {
		if k := &t.known[i]; now-k.goneAt > indexRests {
			delete(t.byName, k.address)
			t.byName[address] = i
			*k = known{address: address, goneAt: math.Inf(1)}
			return i, nil
		}
	}
	return 0, fmt.Errorf("more than %d engines (list.max_engines)", t.most)
}

func (t *engines) name(i int) link.Engine { return link.Engine{Index: i, Address: t.known[i].address} }
