package planner

import (
	"fmt"
	"log/slog"
	"math"

	"github.com/cespare/xxhash/v2"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// unknownStartSeconds is the start time of an engine of unknown age, on the planner's clock: it counts as warm.
const unknownStartSeconds = -1e9

// engineTable maps the engines, zones, cells and machine kinds of an engine list to the small indices that
// package decide takes, and engine indices back to addresses. Its size is bounded even if lists keep naming new
// engines, zones or cells: indices of engines that are gone, and of names out of use, are reused.
type engineTable struct {
	maxEngines   int
	log          *slog.Logger
	byAddress    map[string]int // index in records, by address
	records      []engineRecord
	zones        nameTable
	cells        nameTable
	machineKinds map[string]int
	roles        []decide.Role
}

type engineRecord struct {
	address     string
	listed      bool
	zone        int // index in engineTable.zones
	cell        int // index in engineTable.cells
	machineKind int
	role        decide.Role
	phase       decide.Phase
	startID     int64   // identifies one start of the engine, 0 for unknown
	startedAt   float64 // on the planner's clock
	goneSince   float64 // when it left the list; +Inf while it is listed
}

// nameTable maps zone or cell names to indices and counts the engines that use each name. An unused name keeps its
// index for nameReuseDelaySeconds, since dispatches to engines that had it may still be running; after that the
// index may be given to another name.
type nameTable struct {
	maxNames int
	byName   map[string]int
	slots    []nameSlot
}

type nameSlot struct {
	name    string
	refs    int
	freedAt float64 // when refs became 0
}

// nameReuseDelaySeconds exceeds the time from a completion's arrival to its last dispatch. Until then its zones and
// cells must stay distinguishable: they determine at which engines a dispatch may be repeated.
const nameReuseDelaySeconds = 600.0

// acquire returns the index of a name and counts another engine that uses it.
func (n *nameTable) acquire(now float64, name string) (int, error) {
	i, found := n.byName[name]
	if !found && len(n.slots) < n.maxNames {
		i, found = len(n.slots), true
		n.slots = append(n.slots, nameSlot{name: name})
	}
	for j := 0; !found && j < len(n.slots); j++ {
		if slot := &n.slots[j]; slot.refs == 0 && now-slot.freedAt > nameReuseDelaySeconds {
			delete(n.byName, slot.name)
			i, found = j, true
			*slot = nameSlot{name: name}
		}
	}
	if !found {
		return 0, fmt.Errorf("%q: more than %d zone or cell names (list.max_engines allows two per engine), and none unused for %v s", name, n.maxNames, nameReuseDelaySeconds)
	}
	n.byName[name] = i
	n.slots[i].refs++
	return i, nil
}

// release records that an engine no longer uses the name with the given index.
func (n *nameTable) release(now float64, i int) {
	n.slots[i].refs--
	n.slots[i].freedAt = now
}

// ownZoneIndex is the index of the router's own zone.
const ownZoneIndex = 0

func newEngineTable(maxEngines int, machineKinds []MachineKind, zone string, log *slog.Logger) *engineTable {
	t := &engineTable{maxEngines: maxEngines, log: log, byAddress: map[string]int{}, zones: nameTable{maxNames: 2*maxEngines + 1, byName: map[string]int{}},
		cells: nameTable{maxNames: 2*maxEngines + 1, byName: map[string]int{}}, machineKinds: map[string]int{}}
	t.zones.acquire(0, zone) //nolint:errcheck // the table is empty, so this gets ownZoneIndex; it is never released
	for i, m := range machineKinds {
		t.machineKinds[m.Name] = i
		t.roles = append(t.roles, m.Role)
	}
	return t
}

// entries translates an engine list for package decide. Engines that exceed the bounds of the table are logged and
// left out.
func (t *engineTable) entries(now float64, l *link.EngineList) []decide.EngineEntry {
	entries := make([]decide.EngineEntry, 0, len(l.Entries))
	if l.Kind == decide.ListSnapshot || l.Kind == decide.ListCachedSnapshot {
		listed := make(map[string]bool, len(l.Entries))
		for _, e := range l.Entries {
			listed[e.Address] = true
		}
		for i := range t.records { // first, so that a new engine can get the index of one that left
			if !listed[t.records[i].address] {
				t.markGone(now, i)
			}
		}
	}
	for _, e := range l.Entries {
		if e.Phase == decide.Gone { // its other fields may be empty
			if i, found := t.byAddress[e.Address]; found {
				entries = append(entries, t.markGone(now, i))
			}
			continue
		}
		i, err := t.indexOf(now, e.Address)
		if err != nil {
			t.log.Error("engine ignored", "engine", e.Address, "err", err)
			continue
		}
		rec := &t.records[i]
		if err := t.setLocation(now, rec, &e); err != nil {
			t.log.Error("engine ignored", "engine", e.Address, "err", err)
			if rec.listed {
				entries = append(entries, t.markGone(now, i))
			}
			continue
		}
		rec.updateStart(now, &e)
		machineKind, configured := t.machineKinds[e.MachineKind]
		if !configured { // package decide assumes the mixed role and a default memory
			t.log.Warn("the engine's machine kind is not in the settings", "engine", e.Address, "machine", e.MachineKind)
			machineKind = len(t.roles)
		}
		rec.listed, rec.phase, rec.goneSince, rec.machineKind, rec.role = true, e.Phase, math.Inf(1), machineKind, decide.Mixed
		if configured {
			rec.role = t.roles[machineKind]
		}
		entries = append(entries, t.entry(i))
	}
	return entries
}

// markGone records that an engine left the list. It keeps its zone and cell names until its index is given to
// another engine.
func (t *engineTable) markGone(now float64, i int) decide.EngineEntry {
	rec := &t.records[i]
	if rec.phase != decide.Gone {
		rec.phase, rec.goneSince = decide.Gone, now
	}
	return t.entry(i)
}

// entry returns an engine's record as package decide takes it.
func (t *engineTable) entry(i int) decide.EngineEntry {
	rec := &t.records[i]
	return decide.EngineEntry{Index: i, Hash: xxhash.Sum64String(rec.address), Zone: rec.zone, MachineKind: rec.machineKind, Cell: rec.cell, Phase: rec.phase, StartedAt: rec.startedAt}
}

// updateStart determines when an engine started. A changed start ID means a restart. The age is read only once per
// start ID, since each list would yield a slightly different start time, and package decide takes another start time
// for another engine. Where a list gives no start ID, the known start stays, unless the engine was gone in between.
// After a restart of unknown age the engine counts as just started, because an engine wrongly taken for warm would be
// overloaded while cold. As a result, an engine that was only missing from the list for a while gets no more than a
// cold engine's share of the work for the warm-up time.
func (rec *engineRecord) updateStart(now float64, e *link.EngineEntry) {
	restarted := rec.listed && (e.StartID != rec.startID && e.StartID != 0 && rec.startID != 0 ||
		e.StartID == 0 && rec.phase == decide.Gone)
	if rec.listed && !restarted && (e.StartID == 0 || e.StartID == rec.startID) {
		return
	}
	switch rec.startID = e.StartID; {
	case e.Age >= 0:
		rec.startedAt = now - e.Age
	case restarted:
		rec.startedAt = now
	default:
		rec.startedAt = unknownStartSeconds
	}
}

// setLocation sets an engine's zone and cell, and counts it as a user of their names.
func (t *engineTable) setLocation(now float64, rec *engineRecord, e *link.EngineEntry) error {
	cellKey := e.Zone + "\x00" + e.Cell // cell names are unique only within a zone
	if rec.listed && t.cells.slots[rec.cell].name == cellKey {
		return nil
	}
	zone, err := t.zones.acquire(now, e.Zone)
	if err != nil {
		return err
	}
	cell, err := t.cells.acquire(now, cellKey)
	if err != nil {
		t.zones.release(now, zone)
		return err
	}
	t.releaseLocation(now, rec)
	rec.zone, rec.cell = zone, cell
	return nil
}

// releaseLocation releases the names of an engine's zone and cell, if it was ever listed.
func (t *engineTable) releaseLocation(now float64, rec *engineRecord) {
	if rec.listed {
		t.zones.release(now, rec.zone)
		t.cells.release(now, rec.cell)
	}
}

// indexOf returns the index of an engine. If all are in use, a new engine gets that of the engine that has been gone
// for longest. It inherits nothing from it: package decide sees by the address hash that it is another engine, and
// events name engines by address.
func (t *engineTable) indexOf(now float64, address string) (int, error) {
	if i, found := t.byAddress[address]; found {
		return i, nil
	}
	if len(t.records) < t.maxEngines {
		t.records = append(t.records, engineRecord{address: address, goneSince: now})
		t.byAddress[address] = len(t.records) - 1
		return len(t.records) - 1, nil
	}
	oldest := 0
	for i := range t.records {
		if t.records[i].goneSince < t.records[oldest].goneSince {
			oldest = i
		}
	}
	rec := &t.records[oldest]
	if math.IsInf(rec.goneSince, 1) {
		return 0, fmt.Errorf("more than %d engines (list.max_engines)", t.maxEngines)
	}
	delete(t.byAddress, rec.address)
	t.releaseLocation(now, rec)
	t.byAddress[address] = oldest
	*rec = engineRecord{address: address, goneSince: now}
	return oldest, nil
}

func (t *engineTable) addressOf(i int) string { return t.records[i].address }
