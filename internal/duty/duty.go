// Package duty splits periodic duties, such as probing an engine, among instances that can talk, and picks them
// up again when one dies. It does no I/O: time, the members in sight and the others' results are passed in; what
// is to be done now comes back. docs/duties.md has the design and what is promised when. internal/peer feeds
// it and acts for it.
//
// Each duty has a fixed order of members, by weighted rendezvous hashing over the roster (the members on which
// instances agree), those of its subject's zone first. Only the first few, its candidates, may ever do it. The
// first of them that is in sight does it each interval; the next ones stand by, each a little later, and need no
// one's word to step in: they act when no result has come. A candidate does a duty once an interval at most,
// whatever it hears. So a subject meets no more than so many candidates an interval, in splits too.
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
	maxClockDrift           = 0.02 // share by which two clocks may differ: an own interval is kept longer by it
	pauseThresholdHandovers = 2.0  // hand-over times; a longer gap between two ticks means that this instance stood still
	maxResultAgeIntervals   = 3.0  // intervals; a result older than this tells nothing and is not passed on
)

// Member is an instance. Its name and incarnation together are unique for one life.
type Member struct {
	Name        string
	Incarnation uint64 // grows with each start
	Zone        string
	Weight      float64 // of its share of duties, above 0; 1 is usual
}

// Kind says what a duty is, such as "probe".
type Kind string

// Key names a duty.
type Key struct {
	Kind    Kind
	Subject string
}

// Duty is one periodic duty. Times are seconds.
type Duty struct {
	Key
	Zone       string  // of its subject
	Interval   float64 // it is wanted so often
	Candidates int     // that may do it: the greatest rate at its subject is so many an interval
}

// Epoch orders the owners of a duty. Two owners never have the same one.
type Epoch struct {
	Number uint64
	Owner  string
}

// Less tells whether e comes before f.
func (e Epoch) Less(f Epoch) bool {
	return e.Number < f.Number || e.Number == f.Number && e.Owner < f.Owner
}

// Result is what an instance tells the others of a duty that it did.
type Result struct {
	Key
	Epoch   Epoch
	Origin  Member
	Age     float64 // since it was done, when it is told
	Payload []byte  // what came of it, for the kind to read
}

// Standing is what a Result that was heard is worth.
type Freshness uint8

// The standings.
const (
	Fresh   Freshness = iota // the newest of its duty
	Late                     // of an owner whose epoch is over, or older than what is known
	Unknown                  // of no duty here, or of no use any more
)

func (s Freshness) String() string { return [...]string{"fresh", "late", "unknown"}[s] }

// Settings of a table. All are seconds but Moves.
type Settings struct {
	Self          Member
	SettleTime    float64 // a member is on the roster once it was in sight for so long
	LeaseTime     float64 // a member out of sight stays on the roster for so long
	HandoverDelay float64 // a candidate waits so much longer than the one before it
	MaxJoins      int     // members that come onto the roster at once, at most; the rest a Settle later each time
}

// Cause says why an instance does a duty.
type Cause uint8

// The causes.
const (
	CauseOwner     Cause = iota // it is the first candidate in sight
	CauseNoResult               // no result came from the one before it
	CauseOwnerLost              // those before it are out of sight
)

func (c Cause) String() string {
	return [...]string{"own", "no result came", "the owner is out of sight"}[c]
}

// Act is a duty that is to be done now. Its result goes to Done.
type Task struct {
	Duty
	Epoch     Epoch
	Cause     Cause
	TakenOver bool    // the last result was another's
	Late      float64 // seconds past its interval since it was done last, 0 where it never was
}

// Table holds an instance's duties. Calls must not overlap, and time must not go back.
type Scheduler struct {
	settings    Settings
	now         float64
	createdAt   float64 // time of New
	lastTick    float64 // time of the last tick
	listenUntil float64 // nothing is done until then: after the start, and after having stood still
	members     map[string]*memberState
	roster      []*memberState // by name
	duties      []*dutyState
	byKey       map[Key]*dutyState
}

// seen is a member that is or was in sight.
type memberState struct {
	Member
	aliveSince float64 // in sight without a break since
	lostAt     float64 // out of sight since; +Inf while in sight
	onRoster   bool    // on the roster
	hash       uint64  // of its name
}

// state is a duty and what is known of it.
type dutyState struct {
	Duty
	candidates []*memberState
	doneAt     float64 // when it was done last, by anyone
	epoch      Epoch
	startedAt  float64 // when this instance began it last
	running    bool    // this instance is at it
}

// New makes a table. The instance listens for two Settles and a HandOver before it does anything: by then it has
// seen the others, they have seen it, and all have each other on their rosters. Settle must be longer than
// membership takes to tell of one who joins.
func New(now float64, s Settings) (*Scheduler, error) {
	if s.Self.Name == "" || !(s.Self.Weight > 0) {
		return nil, fmt.Errorf("duty: self %q of weight %v: a name and a weight above 0 are wanted", s.Self.Name, s.Self.Weight)
	}
	if !(s.SettleTime >= 0) || !(s.HandoverDelay > 0) || !(s.LeaseTime > s.SettleTime) || s.MaxJoins < 1 {
		return nil, errors.New("duty: settle from 0, hand-over above 0, lease above settle and moves from 1 are wanted")
	}
	t := &Scheduler{settings: s, now: now, createdAt: now, lastTick: now, listenUntil: now + 2*s.SettleTime + s.HandoverDelay, members: map[string]*memberState{}, byKey: map[Key]*dutyState{}}
	t.members[s.Self.Name] = &memberState{Member: s.Self, aliveSince: now, lostAt: math.Inf(1), hash: nameHash(s.Self.Name)}
	return t, nil
}

// SetDuties sets what is to be done. What is known of a duty that stays is kept; a new one is due at once.
func (t *Scheduler) SetDuties(now float64, all []Duty) {
	t.now = now
	byKey, kept := map[Key]*dutyState{}, make([]*dutyState, 0, len(all))
	for _, d := range all {
		if byKey[d.Key] != nil || d.Interval <= 0 {
			continue
		}
		st := t.byKey[d.Key]
		if st == nil {
			st = &dutyState{doneAt: math.Inf(-1), startedAt: math.Inf(-1)}
		}
		st.Duty = d
		st.Candidates = max(1, d.Candidates)
		byKey[d.Key] = st
		kept = append(kept, st)
	}
	t.byKey, t.duties = byKey, kept
	t.rankCandidates()
}

// Sight sets the members in sight, as membership tells them; the instance itself need not be among them.
func (t *Scheduler) SetMembers(now float64, members []Member) {
	t.now = now
	there := map[string]bool{t.settings.Self.Name: true}
	for _, m := range members {
		if m.Name == t.settings.Self.Name {
			continue
		}
		there[m.Name] = true
		s := t.members[m.Name]
		if s == nil {
			s = &memberState{aliveSince: now, lostAt: math.Inf(1), hash: nameHash(m.Name)}
			t.members[m.Name] = s
		}
		if !math.IsInf(s.lostAt, 1) || s.Incarnation != m.Incarnation {
			s.aliveSince, s.lostAt = now, math.Inf(1)
		}
		s.Member = m
	}
	for name, s := range t.members { // the order does not matter: each is its own
		if !there[name] && math.IsInf(s.lostAt, 1) {
			s.lostAt = now
		}
	}
	t.updateRoster()
}

// Left takes a member off the roster at once: it has said that it goes.
func (t *Scheduler) MemberLeft(now float64, name string) {
	t.now = now
	if s := t.members[name]; s != nil && name != t.settings.Self.Name {
		delete(t.members, name)
		t.updateRoster()
	}
}

// list brings the roster up to date: who was in sight for a Settle comes on, a few at a time; who is out of
// sight for a Lease goes off. Flapping moves nobody. A candidate that is gone longer than the Lease makes room
// for the next in order: until then, at most, a duty all of whose candidates died is not done.
func (t *Scheduler) updateRoster() {
	for name, s := range t.members { // the order does not matter: each is its own
		if t.now-s.lostAt >= t.settings.LeaseTime {
			delete(t.members, name)
		}
	}
	var wait []*memberState
	for _, s := range t.members { // sorted below
		if !s.onRoster && t.now-s.aliveSince >= t.settings.SettleTime && math.IsInf(s.lostAt, 1) {
			wait = append(wait, s)
		}
	}
	slices.SortFunc(wait, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(a.aliveSince, b.aliveSince), cmp.Compare(a.Name, b.Name))
	})
	for i, s := range wait {
		if i >= t.settings.MaxJoins && len(t.roster) > 1 {
			s.aliveSince = t.now // its turn comes with the next
			continue
		}
		s.onRoster = true
	}
	var roster []*memberState
	for _, s := range t.members { // sorted below
		if s.onRoster {
			roster = append(roster, s)
		}
	}
	slices.SortFunc(roster, func(a, b *memberState) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(roster, t.roster) {
		t.roster = roster
		t.rankCandidates()
	}
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) * 0x9e3779b97f4a7c15 }

// lot is a member's place in the order for a duty.
type rankedMember struct {
	member    *memberState
	otherZone bool // out of the subject's zone
	score     float64
}

func (a rankedMember) before(b rankedMember) bool {
	if a.otherZone != b.otherZone {
		return b.otherZone
	}
	return a.score < b.score || a.score == b.score && a.member.Name < b.member.Name
}

// rank finds every duty's candidates: the first few in its order.
func (t *Scheduler) rankCandidates() {
	var first []rankedMember
	for _, d := range t.duties {
		first = first[:0]
		key := xxhash.Sum64String(string(d.Kind) + "\x00" + d.Subject)
		for _, s := range t.roster {
			h := (key ^ s.hash) * 0xbf58476d1ce4e5b9
			h ^= h >> 31
			u := (float64(h*0x94d049bb133111eb>>11) + 0.5) / (1 << 53)
			l := rankedMember{s, s.Zone != d.Zone, -math.Log(u) / s.Weight}
			at := len(first)
			for at > 0 && l.before(first[at-1]) {
				at--
			}
			if at < d.Candidates {
				first = slices.Insert(first[:min(len(first), d.Candidates-1)], at, l)
			}
		}
		d.candidates = d.candidates[:0]
		for _, l := range first {
			d.candidates = append(d.candidates, l.member)
		}
	}
}

// turn is when this instance is to do a duty, and why; never if it is no candidate. It waits a hand-over for
// each candidate in sight before it.
func (t *Scheduler) dueTime(d *dutyState) (at float64, why Cause) {
	before := 0
	for i, c := range d.candidates {
		if c.Name != t.settings.Self.Name {
			if math.IsInf(c.lostAt, 1) {
				before++
			}
			continue
		}
		switch {
		case before > 0:
			why = CauseNoResult
		case i > 0:
			why = CauseOwnerLost
		}
		// Where nobody is known to have done it, an earlier life of this instance may have, an interval ago.
		at = math.Max(d.doneAt+d.Interval, math.Max(t.listenUntil, t.createdAt+d.Interval))
		if d.doneAt > t.createdAt {
			at = d.doneAt + d.Interval
		}
		at += float64(before) * t.settings.HandoverDelay
		return math.Max(at, d.startedAt+d.Interval*(1+maxClockDrift)), why
	}
	return math.Inf(1), CauseOwner
}

// Tick tells what is to be done now, and when to tick again at the latest. After a gap between ticks the
// instance has stood still: others may have stepped in, so it listens first and does nothing.
func (t *Scheduler) Tick(now float64) (acts []Task, next float64) {
	t.now = now
	if now-t.lastTick > pauseThresholdHandovers*t.settings.HandoverDelay {
		t.listenUntil = math.Max(t.listenUntil, now+t.settings.HandoverDelay)
	}
	t.lastTick = now
	t.updateRoster()
	next = now + t.settings.HandoverDelay
	if now < t.listenUntil {
		return nil, math.Min(next, t.listenUntil)
	}
	for _, d := range t.duties {
		if d.running {
			continue
		}
		at, why := t.dueTime(d)
		if at > now {
			next = math.Min(next, at)
			continue
		}
		over := d.epoch.Owner != t.settings.Self.Name
		epoch := d.epoch
		if over {
			epoch = Epoch{d.epoch.Number + 1, t.settings.Self.Name}
		}
		d.running, d.startedAt = true, now
		late := 0.0
		if !math.IsInf(d.doneAt, -1) {
			late = math.Max(0, now-d.doneAt-d.Interval)
		}
		acts = append(acts, Task{d.Duty, epoch, why, over && d.epoch.Number > 0, late})
	}
	return acts, next
}

// Done takes the end of an Act and gives the result to tell the others. ok is false where it is to be told to
// nobody: the duty is gone, or the instance stood still meanwhile and another has it now.
func (t *Scheduler) Finish(now float64, a Task, payload []byte) (r Result, ok bool) {
	t.now = now
	d := t.byKey[a.Key]
	if d == nil || !d.running {
		return Result{}, false
	}
	d.running = false
	if a.Epoch.Less(d.epoch) {
		return Result{}, false
	}
	d.epoch = a.Epoch
	d.doneAt = math.Max(d.doneAt, d.startedAt)
	return Result{Key: a.Key, Epoch: a.Epoch, Origin: t.settings.Self, Age: now - d.startedAt, Payload: payload}, true
}

// Heard takes another's result and says what it is worth. One that is late still counts as done when it was
// done: the subject met it.
func (t *Scheduler) ReceiveResult(now float64, r Result) Freshness {
	t.now = now
	d := t.byKey[r.Key]
	if d == nil || !(r.Age >= 0) || r.Age > maxResultAgeIntervals*d.Interval || r.Origin.Name == t.settings.Self.Name {
		return Unknown
	}
	done := now - r.Age
	newer := done > d.doneAt
	d.doneAt = math.Max(d.doneAt, done)
	if r.Epoch.Less(d.epoch) || !newer {
		return Late
	}
	d.epoch = r.Epoch
	return Fresh
}

// Status is what an instance knows of a duty.
type Status struct {
	Duty
	Owner      string  // of the last result, empty for none
	Epoch      uint64  //
	Since      float64 // seconds since it was done last, +Inf for never
	Late       float64 // seconds past its interval, 0 if it is in time
	Candidates []string
}

// Status lists all duties in the order in which they were set.
func (t *Scheduler) Status(now float64) []Status {
	all := make([]Status, 0, len(t.duties))
	for _, d := range t.duties {
		s := Status{Duty: d.Duty, Owner: d.epoch.Owner, Epoch: d.epoch.Number, Since: now - d.doneAt,
			Late: math.Max(0, now-d.doneAt-d.Interval)}
		for _, c := range d.candidates {
			s.Candidates = append(s.Candidates, c.Name)
		}
		all = append(all, s)
	}
	return all
}

// Roster is the names of those on it.
func (t *Scheduler) Roster() (names []string) {
	for _, s := range t.roster {
		names = append(names, s.Name)
	}
	return names
}
