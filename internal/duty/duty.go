// Package duty divides periodic duties, such as probing an engine, among instances that can communicate, and
// reassigns them when an instance dies. It does no I/O: the time, the live members and the results of other instances
// are passed in, and the tasks that are due are returned. docs/duties.md describes the design and its guarantees.
// internal/peer supplies the input and carries out the tasks.
//
// The members are ranked for each duty by weighted rendezvous hashing over the roster (the set of members on which the
// instances agree), members of the subject's zone first. Only the first few, the duty's candidates, may carry it out.
// The first live candidate does so each interval. The others are standbys, each with a slightly longer delay than the
// one before it, and take over without coordination when no result arrives. A candidate carries out a duty at most
// once per interval, whatever results it receives. So the subject of a duty is accessed at most once per candidate and
// interval, also during network partitions.
package duty

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxClockDrift           = 0.02 // maximum relative difference between two clocks; an instance lengthens the interval between its own runs by it
	pauseThresholdHandovers = 2.0  // a gap between two ticks of more handover delays means that this instance was paused
	maxResultAgeIntervals   = 3.0  // older results are ignored
)

// Member is an instance. Its name and incarnation together identify one run of its process.
type Member struct {
	Name        string
	Incarnation uint64 // increases with each start
	Zone        string
	Weight      float64 // relative share of the duties, above 0; usually 1
}

// Kind is the kind of a duty, such as "probe".
type Kind string

// Key identifies a duty.
type Key struct {
	Kind    Kind
	Subject string
}

// Duty is a periodic duty. Times are in seconds.
type Duty struct {
	Key
	Zone       string  // of the subject
	Interval   float64 // between two runs
	Candidates int     // number of candidates, and so the maximum number of runs per interval
}

// Epoch orders the ownerships of a duty. Two owners never have equal epochs.
type Epoch struct {
	Number uint64
	Owner  string
}

// Less reports whether e precedes f.
func (e Epoch) Less(f Epoch) bool {
	return e.Number < f.Number || e.Number == f.Number && e.Owner < f.Owner
}

// Result is the message about a completed task that its instance sends to the others.
type Result struct {
	Key
	Epoch   Epoch
	Origin  Member
	Age     float64 // seconds from the start of the task until the result is sent
	Payload []byte  // outcome of the task, in a format of the duty's kind
}

// Freshness says whether a received Result is to be used.
type Freshness uint8

// Values of Freshness.
const (
	Fresh   Freshness = iota // the newest result of its duty
	Late                     // of an epoch that is over, or not newer than the last result
	Unknown                  // of a duty that is not known here, too old, or this instance's own
)

func (f Freshness) String() string { return [...]string{"fresh", "late", "unknown"}[f] }

// Settings configures a Scheduler. Times are in seconds.
type Settings struct {
	Self          Member
	SettleTime    float64 // time for which a member must be alive before it joins the roster
	LeaseTime     float64 // time for which a member that is not alive stays on the roster
	HandoverDelay float64 // additional delay of a candidate over the live candidate before it
	MaxJoins      int     // maximum number of members that join the roster at once; the others wait for another SettleTime
}

// Cause says why an instance carries out a duty.
type Cause uint8

// Causes.
const (
	CauseOwner     Cause = iota // the instance is the first candidate
	CauseNoResult               // no result arrived from the live candidates before it
	CauseOwnerLost              // no candidate before it is alive
)

func (c Cause) String() string {
	return [...]string{"own", "no result came", "the owner is out of sight"}[c]
}

// Task is one run of a duty that is due now. The caller reports its end to Scheduler.Finish.
type Task struct {
	Duty
	Epoch     Epoch
	Cause     Cause
	TakenOver bool    // the last result came from another instance
	Late      float64 // seconds since the end of the interval that began with the last run, 0 if there was none
}

// Scheduler tells one instance when to carry out which duty. Calls must not overlap, and time must not go back.
type Scheduler struct {
	settings    Settings
	now         float64
	createdAt   float64 // time of the call to New
	lastTick    float64 // time of the last call to Tick
	listenUntil float64 // no task is returned before this time; set at the start and after a pause of the instance
	members     map[string]*memberState
	roster      []*memberState // sorted by name
	duties      []*dutyState
	byKey       map[Key]*dutyState
}

// memberState is a member that is or was alive.
type memberState struct {
	Member
	aliveSince float64 // start of the current uninterrupted time alive
	lostAt     float64 // when it ceased to be alive; +Inf while it is
	onRoster   bool
	hash       uint64 // of the name
}

// dutyState is a duty with its progress.
type dutyState struct {
	Duty
	candidates []*memberState
	doneAt     float64 // start of the last finished run, at any instance
	epoch      Epoch
	startedAt  float64 // start of this instance's last run
	running    bool    // this instance is running it
}

// New returns a Scheduler that hands out no task during two SettleTimes and a HandoverDelay: after that time the
// instance and the others know of each other and are on each other's rosters. SettleTime must be longer than
// membership takes to report a new member.
func New(now float64, s Settings) (*Scheduler, error) {
	if s.Self.Name == "" || !(s.Self.Weight > 0) {
		return nil, fmt.Errorf("duty: self %q has weight %v: a name and a weight above 0 are required", s.Self.Name, s.Self.Weight)
	}
	if !(s.SettleTime >= 0) || !(s.HandoverDelay > 0) || !(s.LeaseTime > s.SettleTime) || s.MaxJoins < 1 {
		return nil, errors.New("duty: settle must be at least 0, hand-over above 0, lease above settle, and moves at least 1")
	}
	scheduler := &Scheduler{settings: s, now: now, createdAt: now, lastTick: now, listenUntil: now + 2*s.SettleTime + s.HandoverDelay,
		members: map[string]*memberState{}, byKey: map[Key]*dutyState{}}
	scheduler.members[s.Self.Name] = &memberState{Member: s.Self, aliveSince: now, lostAt: math.Inf(1), hash: nameHash(s.Self.Name)}
	return scheduler, nil
}

// SetDuties replaces the duties. A duty that was there before keeps its progress; a new one is due at once.
func (s *Scheduler) SetDuties(now float64, duties []Duty) {
	s.now = now
	byKey, kept := map[Key]*dutyState{}, make([]*dutyState, 0, len(duties))
	for _, d := range duties {
		if byKey[d.Key] != nil || d.Interval <= 0 {
			continue
		}
		st := s.byKey[d.Key]
		if st == nil {
			st = &dutyState{doneAt: math.Inf(-1), startedAt: math.Inf(-1)}
		}
		st.Duty = d
		st.Candidates = max(1, d.Candidates)
		byKey[d.Key] = st
		kept = append(kept, st)
	}
	s.byKey, s.duties = byKey, kept
	s.rankCandidates()
}

// SetMembers sets the members that are alive according to membership. The instance itself need not be included.
func (s *Scheduler) SetMembers(now float64, members []Member) {
	s.now = now
	alive := map[string]bool{s.settings.Self.Name: true}
	for _, m := range members {
		if m.Name == s.settings.Self.Name {
			continue
		}
		alive[m.Name] = true
		state := s.members[m.Name]
		if state == nil {
			state = &memberState{aliveSince: now, lostAt: math.Inf(1), hash: nameHash(m.Name)}
			s.members[m.Name] = state
		}
		if !math.IsInf(state.lostAt, 1) || state.Incarnation != m.Incarnation {
			state.aliveSince, state.lostAt = now, math.Inf(1)
		}
		state.Member = m
	}
	for name, state := range s.members { // iteration order does not matter: entries are independent
		if !alive[name] && math.IsInf(state.lostAt, 1) {
			state.lostAt = now
		}
	}
	s.updateRoster()
}

// MemberLeft removes a member that announced its departure from the roster at once.
func (s *Scheduler) MemberLeft(now float64, name string) {
	s.now = now
	if state := s.members[name]; state != nil && name != s.settings.Self.Name {
		delete(s.members, name)
		s.updateRoster()
	}
}

// updateRoster adds members that have been alive for SettleTime, at most MaxJoins at once, and removes those that have
// not been alive for LeaseTime, so that flapping members do not move duties. A removed member's place among the
// candidates goes to the next in rank. So a duty whose candidates have all died is not carried out for LeaseTime at
// most.
func (s *Scheduler) updateRoster() {
	for name, m := range s.members { // iteration order does not matter: entries are independent
		if s.now-m.lostAt >= s.settings.LeaseTime {
			delete(s.members, name)
		}
	}
	var joining []*memberState
	for _, m := range s.members { // sorted below
		if !m.onRoster && s.now-m.aliveSince >= s.settings.SettleTime && math.IsInf(m.lostAt, 1) {
			joining = append(joining, m)
		}
	}
	slices.SortFunc(joining, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(a.aliveSince, b.aliveSince), cmp.Compare(a.Name, b.Name))
	})
	for i, m := range joining {
		if i >= s.settings.MaxJoins && len(s.roster) > 1 {
			m.aliveSince = s.now // waits for another SettleTime
			continue
		}
		m.onRoster = true
	}
	var roster []*memberState
	for _, m := range s.members { // sorted below
		if m.onRoster {
			roster = append(roster, m)
		}
	}
	slices.SortFunc(roster, func(a, b *memberState) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(roster, s.roster) {
		s.roster = roster
		s.rankCandidates()
	}
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) * 0x9e3779b97f4a7c15 }

// rankedMember is a member with what determines its rank for a duty.
type rankedMember struct {
	member    *memberState
	otherZone bool // not in the zone of the subject
	score     float64
}

func (a rankedMember) before(b rankedMember) bool {
	if a.otherZone != b.otherZone {
		return b.otherZone
	}
	return a.score < b.score || a.score == b.score && a.member.Name < b.member.Name
}

// rankCandidates determines the candidates of every duty: the members that rank first for it.
func (s *Scheduler) rankCandidates() {
	var ranked []rankedMember
	for _, d := range s.duties {
		ranked = ranked[:0]
		key := xxhash.Sum64String(string(d.Kind) + "\x00" + d.Subject)
		for _, m := range s.roster {
			h := (key ^ m.hash) * 0xbf58476d1ce4e5b9
			h ^= h >> 31
			u := (float64(h*0x94d049bb133111eb>>11) + 0.5) / (1 << 53)
			candidate := rankedMember{m, m.Zone != d.Zone, -math.Log(u) / m.Weight}
			position := len(ranked)
			for position > 0 && candidate.before(ranked[position-1]) {
				position--
			}
			if position < d.Candidates {
				ranked = slices.Insert(ranked[:min(len(ranked), d.Candidates-1)], position, candidate)
			}
		}
		d.candidates = d.candidates[:0]
		for _, candidate := range ranked {
			d.candidates = append(d.candidates, candidate.member)
		}
	}
}

// dueTime returns when this instance is to carry out a duty, and why; +Inf if it is no candidate. It waits for a
// HandoverDelay per live candidate before it.
func (s *Scheduler) dueTime(d *dutyState) (at float64, cause Cause) {
	liveBefore := 0
	for i, c := range d.candidates {
		if c.Name != s.settings.Self.Name {
			if math.IsInf(c.lostAt, 1) {
				liveBefore++
			}
			continue
		}
		switch {
		case liveBefore > 0:
			cause = CauseNoResult
		case i > 0:
			cause = CauseOwnerLost
		}
		// Without a known run, an earlier process of this instance may have carried it out just before this one started.
		at = math.Max(d.doneAt+d.Interval, math.Max(s.listenUntil, s.createdAt+d.Interval))
		if d.doneAt > s.createdAt {
			at = d.doneAt + d.Interval
		}
		at += float64(liveBefore) * s.settings.HandoverDelay
		return math.Max(at, d.startedAt+d.Interval*(1+maxClockDrift)), cause
	}
	return math.Inf(1), CauseOwner
}

// Tick returns the tasks that are due, and the time by which to call it again. After a long gap between two calls the
// instance must have been paused, and others may have taken over: it then hands out no task for a HandoverDelay, to
// receive their results first.
func (s *Scheduler) Tick(now float64) (tasks []Task, next float64) {
	s.now = now
	if now-s.lastTick > pauseThresholdHandovers*s.settings.HandoverDelay {
		s.listenUntil = math.Max(s.listenUntil, now+s.settings.HandoverDelay)
	}
	s.lastTick = now
	s.updateRoster()
	next = now + s.settings.HandoverDelay
	if now < s.listenUntil {
		return nil, math.Min(next, s.listenUntil)
	}
	for _, d := range s.duties {
		if d.running {
			continue
		}
		dueAt, cause := s.dueTime(d)
		if dueAt > now {
			next = math.Min(next, dueAt)
			continue
		}
		takeover := d.epoch.Owner != s.settings.Self.Name
		epoch := d.epoch
		if takeover {
			epoch = Epoch{d.epoch.Number + 1, s.settings.Self.Name}
		}
		d.running, d.startedAt = true, now
		late := 0.0
		if !math.IsInf(d.doneAt, -1) {
			late = math.Max(0, now-d.doneAt-d.Interval)
		}
		tasks = append(tasks, Task{d.Duty, epoch, cause, takeover && d.epoch.Number > 0, late})
	}
	return tasks, next
}

// Finish records the end of a task and returns the result to send to the others. ok is false if it must not be sent:
// the duty no longer exists, or another instance took it over meanwhile because this one was paused.
func (s *Scheduler) Finish(now float64, task Task, payload []byte) (r Result, ok bool) {
	s.now = now
	d := s.byKey[task.Key]
	if d == nil || !d.running {
		return Result{}, false
	}
	d.running = false
	if task.Epoch.Less(d.epoch) {
		return Result{}, false
	}
	d.epoch = task.Epoch
	d.doneAt = math.Max(d.doneAt, d.startedAt)
	return Result{Key: task.Key, Epoch: task.Epoch, Origin: s.settings.Self, Age: now - d.startedAt, Payload: payload}, true
}

// ReceiveResult records the result of another instance and returns its freshness. A late result also updates the time
// of the last run, because the subject was accessed then.
func (s *Scheduler) ReceiveResult(now float64, r Result) Freshness {
	s.now = now
	d := s.byKey[r.Key]
	if d == nil || !(r.Age >= 0) || r.Age > maxResultAgeIntervals*d.Interval || r.Origin.Name == s.settings.Self.Name {
		return Unknown
	}
	doneAt := now - r.Age
	newer := doneAt > d.doneAt
	d.doneAt = math.Max(d.doneAt, doneAt)
	if r.Epoch.Less(d.epoch) || !newer {
		return Late
	}
	d.epoch = r.Epoch
	return Fresh
}

// Status is the state of a duty as this instance knows it.
type Status struct {
	Duty
	Owner      string // of the last result, empty if there is none
	Epoch      uint64
	Since      float64 // seconds since the last run, +Inf if there was none
	Late       float64 // seconds since the end of the interval, 0 if it is not over
	Candidates []string
}

// Status returns the state of all duties in the order in which they were set.
func (s *Scheduler) Status(now float64) []Status {
	statuses := make([]Status, 0, len(s.duties))
	for _, d := range s.duties {
		status := Status{Duty: d.Duty, Owner: d.epoch.Owner, Epoch: d.epoch.Number, Since: now - d.doneAt,
			Late: math.Max(0, now-d.doneAt-d.Interval)}
		for _, c := range d.candidates {
			status.Candidates = append(status.Candidates, c.Name)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Roster returns the names of the members on the roster, sorted.
func (s *Scheduler) Roster() (names []string) {
	for _, m := range s.roster {
		names = append(names, m.Name)
	}
	return names
}
