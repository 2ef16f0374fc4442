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
// only taken back from engines that are long gone, so a list that names ever new engines, zones or cells stays
// bounded.
type engines struct {
	most     int
	log      *slog.Logger
	byName   map[string]int // address to index
	known    []known
	zones    names
	cells    names
	machines map[string]int
	roles    []decide.Role
}

type known struct {
	address string
	listed  bool
	zone    int // index of its name
	cell    int // as zone
	machine int
	role    decide.Role
	phase   decide.Phase
	start   int64   // 0 while none was told
	started float64 // on the planner's clock
	goneAt  float64 // since when it is gone; +Inf while it is not
}

// names maps names to indices. A name is held by the engines that have it; one that nobody holds keeps its index
// for nameRests, as dispatches may be out whose engine had it, and then makes room for another.
type names struct {
	most   int
	byName map[string]int
	all    []named
}

type named struct {
	name    string
	holders int
	freed   float64 // since when nobody holds it
}

// nameRests is longer than a completion lives until its last dispatch, in seconds: what may be repeated where hangs on
// zones and cells being told apart.
const nameRests = 600.0

func (n *names) hold(now float64, name string) (int, error) {
	i, found := n.byName[name]
	if !found && len(n.all) < n.most {
		i, found = len(n.all), true
		n.all = append(n.all, named{name: name})
	}
	for at := 0; !found && at < len(n.all); at++ {
		if o := &n.all[at]; o.holders == 0 && now-o.freed > nameRests {
			delete(n.byName, o.name)
			i, found = at, true
			*o = named{name: name}
		}
	}
	if !found {
		return 0, fmt.Errorf("%q: more than %d names of zones or cells (list.max_engines allows two an engine), and none rested for %v s", name, n.most, nameRests)
	}
	n.byName[name] = i
	n.all[i].holders++
	return i, nil
}

func (n *names) drop(now float64, i int) {
	n.all[i].holders--
	n.all[i].freed = now
}

// ownZone is the index of the router's own zone.
const ownZone = 0

func newEngines(most int, machines []Machine, zone string, log *slog.Logger) *engines {
	t := &engines{most: most, log: log, byName: map[string]int{}, zones: names{most: 2*most + 1, byName: map[string]int{}},
		cells: names{most: 2*most + 1, byName: map[string]int{}}, machines: map[string]int{}}
	t.zones.hold(0, zone) //nolint:errcheck // the first one has room, is ownZone, and is never dropped
	for i, m := range machines {
		t.machines[m.Name] = i
		t.roles = append(t.roles, m.Role)
	}
	return t
}

// facts are a list's entries as decide takes them.
func (t *engines) facts(now float64, l *link.List) []decide.EngineEntry {
	facts := make([]decide.EngineEntry, 0, len(l.Entries))
	if l.Kind == decide.ListSnapshot || l.Kind == decide.ListCachedSnapshot {
		listed := make(map[string]bool, len(l.Entries))
		for _, e := range l.Entries {
			listed[e.Address] = true
		}
		for i := range t.known { // first, so that who comes may have the index of who left
			if !listed[t.known[i].address] {
				t.gone(now, i)
			}
		}
	}
	for _, e := range l.Entries {
		if e.Phase == decide.Gone { // nothing else need be told with it
			if i, found := t.byName[e.Address]; found {
				facts = append(facts, t.gone(now, i))
			}
			continue
		}
		i, err := t.index(now, e.Address)
		if err != nil {
			t.log.Error("engine left out", "engine", e.Address, "err", err)
			continue
		}
		k := &t.known[i]
		if err := t.place(now, k, &e); err != nil {
			t.log.Error("engine left out", "engine", e.Address, "err", err)
			if k.listed {
				facts = append(facts, t.gone(now, i))
			}
			continue
		}
		k.starts(now, &e)
		machine, told := t.machines[e.Machine]
		if !told { // decide takes it for a mixed one with a middling memory
			t.log.Warn("engine of a machine kind that is not in the settings", "engine", e.Address, "machine", e.Machine)
			machine = len(t.roles)
		}
		k.listed, k.phase, k.goneAt, k.machine, k.role = true, e.Phase, math.Inf(1), machine, decide.Mixed
		if told {
			k.role = t.roles[machine]
		}
		facts = append(facts, t.fact(i))
	}
	return facts
}

// gone books that an engine has gone; it holds its names until its index is another's.
func (t *engines) gone(now float64, i int) decide.EngineEntry {
	k := &t.known[i]
	if k.phase != decide.Gone {
		k.phase, k.goneAt = decide.Gone, now
	}
	return t.fact(i)
}

func (t *engines) fact(i int) decide.EngineEntry {
	k := &t.known[i]
	return decide.EngineEntry{Index: i, Hash: xxhash.Sum64String(k.address), Zone: k.zone, MachineKind: k.machine, Cell: k.cell, Phase: k.phase, StartedAt: k.started}
}

// starts finds when an engine started. A restart shows as another start. Within one start the age is read once:
// each list tells it a little later, and decide takes another start time for another engine. Where a list leaves
// the start out, what was told before stays, unless the engine was gone meanwhile. Where a restart was seen and no
// age is told, it is as young as it can be: taken for long ago it would be pushed over while cold. That harms an
// engine that the list had only lost from sight, by a cold one's share of work for as long as engines warm up.
func (k *known) starts(now float64, e *link.Entry) {
	again := k.listed && (e.Start != k.start && e.Start != 0 && k.start != 0 ||
		e.Start == 0 && k.phase == decide.Gone)
	if k.listed && !again && (e.Start == 0 || e.Start == k.start) {
		return
	}
	switch k.start = e.Start; {
	case e.Age >= 0:
		k.started = now - e.Age
	case again:
		k.started = now
	default:
		k.started = longAgo
	}
}

// place has an engine hold the names of where it is.
func (t *engines) place(now float64, k *known, e *link.Entry) error {
	name := e.Zone + "\x00" + e.Cell // a cell is of its zone
	if k.listed && t.cells.all[k.cell].name == name {
		return nil
	}
	zone, err := t.zones.hold(now, e.Zone)
	if err != nil {
		return err
	}
	cell, err := t.cells.hold(now, name)
	if err != nil {
		t.zones.drop(now, zone)
		return err
	}
	t.leave(now, k)
	k.zone, k.cell = zone, cell
	return nil
}

// leave gives up the names that an engine holds, if it was ever listed.
func (t *engines) leave(now float64, k *known) {
	if k.listed {
		t.zones.drop(now, k.zone)
		t.cells.drop(now, k.cell)
	}
}

// index is an engine's. Where all are taken, a new one gets that of the one gone for longest: decide takes another
// address for another engine at once, and facts name engines by their address, so nothing of the old one clings to it.
func (t *engines) index(now float64, address string) (int, error) {
	if i, found := t.byName[address]; found {
		return i, nil
	}
	if len(t.known) < t.most {
		t.known = append(t.known, known{address: address, goneAt: now})
		t.byName[address] = len(t.known) - 1
		return len(t.known) - 1, nil
	}
	longest := 0
	for i := range t.known {
		if t.known[i].goneAt < t.known[longest].goneAt {
			longest = i
		}
	}
	k := &t.known[longest]
	if math.IsInf(k.goneAt, 1) {
		return 0, fmt.Errorf("more than %d engines (list.max_engines)", t.most)
	}
	delete(t.byName, k.address)
	t.leave(now, k)
	t.byName[address] = longest
	*k = known{address: address, goneAt: now}
	return longest, nil
}

func (t *engines) name(i int) string { return t.known[i].address }
