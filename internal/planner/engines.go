package planner

import (
	"fmt"
	"log/slog"
	"math"

	"github.com/cespare/xxhash/v2"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

const unknownStartSeconds = -1e9 // seconds; the start of an engine of which none is told

// engines maps what a list names to the small indices of decide, and back. Indices are handed out once and
// only taken back from engines that are long gone, so a list that names ever new engines, zones or cells stays
// bounded.
type engineTable struct {
	maxEngines   int
	log          *slog.Logger
	byAddress    map[string]int // address to index
	records      []engineRecord
	zones        nameTable
	cells        nameTable
	machineKinds map[string]int
	roles        []decide.Role
}

type engineRecord struct {
	address     string
	listed      bool
	zone        int // index of its name
	cell        int // as zone
	machineKind int
	role        decide.Role
	phase       decide.Phase
	startID     int64   // 0 while none was told
	startedAt   float64 // on the planner's clock
	goneSince   float64 // since when it is gone; +Inf while it is not
}

// names maps names to indices. A name is held by the engines that have it; one that nobody holds keeps its index
// for nameRests, as dispatches may be out whose engine had it, and then makes room for another.
type nameTable struct {
	maxNames int
	byName   map[string]int
	slots    []nameSlot
}

type nameSlot struct {
	name    string
	refs    int
	freedAt float64 // since when nobody holds it
}

// nameRests is longer than a completion lives until its last dispatch, in seconds: what may be repeated where hangs on
// zones and cells being told apart.
const nameReuseDelaySeconds = 600.0

func (n *nameTable) acquire(now float64, name string) (int, error) {
	i, found := n.byName[name]
	if !found && len(n.slots) < n.maxNames {
		i, found = len(n.slots), true
		n.slots = append(n.slots, nameSlot{name: name})
	}
	for at := 0; !found && at < len(n.slots); at++ {
		if o := &n.slots[at]; o.refs == 0 && now-o.freedAt > nameReuseDelaySeconds {
			delete(n.byName, o.name)
			i, found = at, true
			*o = nameSlot{name: name}
		}
	}
	if !found {
		return 0, fmt.Errorf("%q: more than %d names of zones or cells (list.max_engines allows two an engine), and none rested for %v s", name, n.maxNames, nameReuseDelaySeconds)
	}
	n.byName[name] = i
	n.slots[i].refs++
	return i, nil
}

func (n *nameTable) release(now float64, i int) {
	n.slots[i].refs--
	n.slots[i].freedAt = now
}

// ownZone is the index of the router's own zone.
const ownZoneIndex = 0

func newEngineTable(most int, machines []MachineKind, zone string, log *slog.Logger) *engineTable {
	t := &engineTable{maxEngines: most, log: log, byAddress: map[string]int{}, zones: nameTable{maxNames: 2*most + 1, byName: map[string]int{}},
		cells: nameTable{maxNames: 2*most + 1, byName: map[string]int{}}, machineKinds: map[string]int{}}
	t.zones.acquire(0, zone) //nolint:errcheck // the first one has room, is ownZone, and is never dropped
	for i, m := range machines {
		t.machineKinds[m.Name] = i
		t.roles = append(t.roles, m.Role)
	}
	return t
}

// facts are a list's entries as decide takes them.
func (t *engineTable) entries(now float64, l *link.EngineList) []decide.EngineEntry {
	facts := make([]decide.EngineEntry, 0, len(l.Entries))
	if l.Kind == decide.ListSnapshot || l.Kind == decide.ListCachedSnapshot {
		listed := make(map[string]bool, len(l.Entries))
		for _, e := range l.Entries {
			listed[e.Address] = true
		}
		for i := range t.records { // first, so that who comes may have the index of who left
			if !listed[t.records[i].address] {
				t.markGone(now, i)
			}
		}
	}
	for _, e := range l.Entries {
		if e.Phase == decide.Gone { // nothing else need be told with it
			if i, found := t.byAddress[e.Address]; found {
				facts = append(facts, t.markGone(now, i))
			}
			continue
		}
		i, err := t.indexOf(now, e.Address)
		if err != nil {
			t.log.Error("engine left out", "engine", e.Address, "err", err)
			continue
		}
		k := &t.records[i]
		if err := t.setLocation(now, k, &e); err != nil {
			t.log.Error("engine left out", "engine", e.Address, "err", err)
			if k.listed {
				facts = append(facts, t.markGone(now, i))
			}
			continue
		}
		k.updateStart(now, &e)
		machine, told := t.machineKinds[e.MachineKind]
		if !told { // decide takes it for a mixed one with a middling memory
			t.log.Warn("engine of a machine kind that is not in the settings", "engine", e.Address, "machine", e.MachineKind)
			machine = len(t.roles)
		}
		k.listed, k.phase, k.goneSince, k.machineKind, k.role = true, e.Phase, math.Inf(1), machine, decide.Mixed
		if told {
			k.role = t.roles[machine]
		}
		facts = append(facts, t.entry(i))
	}
	return facts
}

// gone books that an engine has gone; it holds its names until its index is another's.
func (t *engineTable) markGone(now float64, i int) decide.EngineEntry {
	k := &t.records[i]
	if k.phase != decide.Gone {
		k.phase, k.goneSince = decide.Gone, now
	}
	return t.entry(i)
}

func (t *engineTable) entry(i int) decide.EngineEntry {
	k := &t.records[i]
	return decide.EngineEntry{Index: i, Hash: xxhash.Sum64String(k.address), Zone: k.zone, MachineKind: k.machineKind, Cell: k.cell, Phase: k.phase, StartedAt: k.startedAt}
}

// starts finds when an engine started. A restart shows as another start. Within one start the age is read once:
// each list tells it a little later, and decide takes another start time for another engine. Where a list leaves
// the start out, what was told before stays, unless the engine was gone meanwhile. Where a restart was seen and no
// age is told, it is as young as it can be: taken for long ago it would be pushed over while cold. That harms an
// engine that the list had only lost from sight, by a cold one's share of work for as long as engines warm up.
func (k *engineRecord) updateStart(now float64, e *link.EngineEntry) {
	again := k.listed && (e.StartID != k.startID && e.StartID != 0 && k.startID != 0 ||
		e.StartID == 0 && k.phase == decide.Gone)
	if k.listed && !again && (e.StartID == 0 || e.StartID == k.startID) {
		return
	}
	switch k.startID = e.StartID; {
	case e.Age >= 0:
		k.startedAt = now - e.Age
	case again:
		k.startedAt = now
	default:
		k.startedAt = unknownStartSeconds
	}
}

// place has an engine hold the names of where it is.
func (t *engineTable) setLocation(now float64, k *engineRecord, e *link.EngineEntry) error {
	name := e.Zone + "\x00" + e.Cell // a cell is of its zone
	if k.listed && t.cells.slots[k.cell].name == name {
		return nil
	}
	zone, err := t.zones.acquire(now, e.Zone)
	if err != nil {
		return err
	}
	cell, err := t.cells.acquire(now, name)
	if err != nil {
		t.zones.release(now, zone)
		return err
	}
	t.releaseLocation(now, k)
	k.zone, k.cell = zone, cell
	return nil
}

// leave gives up the names that an engine holds, if it was ever listed.
func (t *engineTable) releaseLocation(now float64, k *engineRecord) {
	if k.listed {
		t.zones.release(now, k.zone)
		t.cells.release(now, k.cell)
	}
}

// index is an engine's. Where all are taken, a new one gets that of the one gone for longest: decide takes another
// address for another engine at once, and facts name engines by their address, so nothing of the old one clings to it.
func (t *engineTable) indexOf(now float64, address string) (int, error) {
	if i, found := t.byAddress[address]; found {
		return i, nil
	}
	if len(t.records) < t.maxEngines {
		t.records = append(t.records, engineRecord{address: address, goneSince: now})
		t.byAddress[address] = len(t.records) - 1
		return len(t.records) - 1, nil
	}
	longest := 0
	for i := range t.records {
		if t.records[i].goneSince < t.records[longest].goneSince {
			longest = i
		}
	}
	k := &t.records[longest]
	if math.IsInf(k.goneSince, 1) {
		return 0, fmt.Errorf("more than %d engines (list.max_engines)", t.maxEngines)
	}
	delete(t.byAddress, k.address)
	t.releaseLocation(now, k)
	t.byAddress[address] = longest
	*k = engineRecord{address: address, goneSince: now}
	return longest, nil
}

func (t *engineTable) addressOf(i int) string { return t.records[i].address }
