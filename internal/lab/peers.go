package lab

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"cherryhub/decide"
	"cherryhub/internal/duty"
)

// Peers has the routers of a day talk: they split the probing of engines with internal/duty as it is. In place of
// memberlist and UDP stand a time until a death or a start is seen and a message's way; none is lost.
type Peers struct {
	Interval   float64 // each engine is probed so often
	Candidates int
	Settle     float64
	Lease      float64
	HandOver   float64
	Seen       float64 // seconds until the others see that one died or came
}

func (p *Peers) check() error {
	if !(p.Interval > 0 && p.Candidates >= 1 && p.Settle > 0 && p.Lease > p.Settle && p.HandOver > 0 && p.Seen >= 0) {
		return fmt.Errorf("lab: peers: wanted times above 0, a lease above settle, 1 candidate or more: %+v", *p)
	}
	return nil
}

// shared is a router's part in it.
type shared struct {
	r      *router
	life   int
	table  *duty.Scheduler
	report []timed // by engine: the newest that was shared
}

type timed struct {
	at     float64
	report []float64
}

// join has a router take part, from now on.
func (r *router) join() error {
	p := r.w.s.Peers
	if p == nil {
		return nil
	}
	table, err := duty.New(r.w.clock.Now(), duty.Settings{Self: r.member(), SettleTime: p.Settle, LeaseTime: p.Lease, HandoverDelay: p.HandOver, MaxJoins: math.MaxInt32})
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	r.shared = &shared{r: r, life: r.life, table: table, report: make([]timed, len(r.w.engines))}
	var all []duty.Duty
	for _, e := range r.w.engines {
		all = append(all, duty.Duty{Key: duty.Key{Kind: "probe", Subject: strconv.Itoa(e.index)}, Zone: strconv.Itoa(e.group.Zone),
			Interval: p.Interval, Candidates: p.Candidates})
		r.shared.report[e.index].at = math.Inf(-1)
	}
	table.SetDuties(r.w.clock.Now(), all)
	r.w.clock.After(0, r.shared.tick)
	r.w.clock.After(p.Seen, r.w.sight)
	return nil
}

func (r *router) member() duty.Member {
	return duty.Member{Name: fmt.Sprintf("router-%04d", r.index), Incarnation: uint64(r.life + 1), Zone: strconv.Itoa(r.zone), Weight: 1}
}

// sight tells all who is up.
func (w *world) sight() {
	var up []duty.Member
	for _, r := range w.routers {
		if !r.isDown {
			up = append(up, r.member())
		}
	}
	for _, r := range w.routers {
		if !r.isDown && r.shared != nil {
			r.shared.table.SetMembers(w.clock.Now(), up)
		}
	}
}

func (s *shared) gone() bool {
	return s.life != s.r.life || s.r.w.clock.Now() > s.r.w.s.Length+wakesAfter
}

func (s *shared) tick() {
	if s.gone() {
		return
	}
	w := s.r.w
	acts, next := s.table.Tick(w.clock.Now())
	for _, a := range acts {
		s.act(a)
	}
	w.clock.After(math.Max(next-w.clock.Now(), leastTick), s.tick)
}

// leastTick keeps ticks apart, in seconds.
const leastTick = 0.001

// act probes an engine and tells the others.
func (s *shared) act(a duty.Task) {
	w := s.r.w
	at, err := strconv.Atoi(a.Subject)
	if err != nil {
		panic(err) // join wrote it
	}
	w.result.Probes++
	s.r.probe(at, s.life, func(o decide.Outcome, report []float64) {
		s.keep(at, o, report)
		result, ok := s.table.Finish(w.clock.Now(), a, pack(o, report))
		if !ok {
			return
		}
		for _, other := range w.routers {
			if other != s.r && !other.isDown {
				to := other.shared
				w.clock.After(w.s.Way, func() { to.heard(result, at) })
			}
		}
	})
}

// heard takes another's result. A failure that another met has this router look for itself.
func (s *shared) heard(result duty.Result, at int) {
	if s.gone() || s.table.ReceiveResult(s.r.w.clock.Now(), result) != duty.Fresh {
		return
	}
	o, report := unpack(result.Payload)
	if o != decide.Finished {
		s.r.w.result.Probes++
		s.r.probe(at, s.life, func(decide.Outcome, []float64) {})
		return
	}
	s.keep(at, o, report)
	s.r.call(func() { s.r.decide.ProbeEnded(at, o, report) })
}

func (s *shared) keep(at int, o decide.Outcome, report []float64) {
	if o == decide.Finished {
		s.report[at] = timed{s.r.w.clock.Now(), report}
	}
}

// fresh is a shared report that answers an own need, nil if there is none.
func (s *shared) fresh(at int) []float64 {
	if s == nil || s.r.w.clock.Now()-s.report[at].at > s.r.w.s.Peers.Interval {
		return nil
	}
	return s.report[at].report
}

func pack(o decide.Outcome, report []float64) []byte {
	b := []byte{byte(o)}
	for _, x := range report {
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(x))
	}
	return b
}

func unpack(b []byte) (o decide.Outcome, report []float64) {
	o = decide.Outcome(b[0])
	for b = b[1:]; len(b) >= 8; b = b[8:] {
		report = append(report, math.Float64frombits(binary.LittleEndian.Uint64(b)))
	}
	return o, report
}
