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

func (p *Peers) validate() error {
	if !(p.Interval > 0 && p.Candidates >= 1 && p.Settle > 0 && p.Lease > p.Settle && p.HandOver > 0 && p.Seen >= 0) {
		return fmt.Errorf("lab: peers: wanted times above 0, a lease above settle, 1 candidate or more: %+v", *p)
	}
	return nil
}

// shared is a router's part in it.
type peer struct {
	router    *router
	lifetime  int
	scheduler *duty.Scheduler
	reports   []timedReport // by engine: the newest that was shared
}

type timedReport struct {
	receivedAt float64
	report     []float64
}

// join has a router take part, from now on.
func (r *router) joinPeers() error {
	p := r.world.settings.Peers
	if p == nil {
		return nil
	}
	table, err := duty.New(r.world.clock.Now(), duty.Settings{Self: r.member(), SettleTime: p.Settle, LeaseTime: p.Lease, HandoverDelay: p.HandOver, MaxJoins: math.MaxInt32})
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	r.peer = &peer{router: r, lifetime: r.lifetime, scheduler: table, reports: make([]timedReport, len(r.world.engines))}
	var all []duty.Duty
	for _, e := range r.world.engines {
		all = append(all, duty.Duty{Key: duty.Key{Kind: "probe", Subject: strconv.Itoa(e.index)}, Zone: strconv.Itoa(e.group.Zone),
			Interval: p.Interval, Candidates: p.Candidates})
		r.peer.reports[e.index].receivedAt = math.Inf(-1)
	}
	table.SetDuties(r.world.clock.Now(), all)
	r.world.clock.After(0, r.peer.tick)
	r.world.clock.After(p.Seen, r.world.updateMembers)
	return nil
}

func (r *router) member() duty.Member {
	return duty.Member{Name: fmt.Sprintf("router-%04d", r.index), Incarnation: uint64(r.lifetime + 1), Zone: strconv.Itoa(r.zone), Weight: 1}
}

// sight tells all who is up.
func (w *world) updateMembers() {
	var up []duty.Member
	for _, r := range w.routers {
		if !r.down {
			up = append(up, r.member())
		}
	}
	for _, r := range w.routers {
		if !r.down && r.peer != nil {
			r.peer.scheduler.SetMembers(w.clock.Now(), up)
		}
	}
}

func (s *peer) stopped() bool {
	return s.lifetime != s.router.lifetime || s.router.world.clock.Now() > s.router.world.settings.Duration+timerGraceSeconds
}

func (s *peer) tick() {
	if s.stopped() {
		return
	}
	w := s.router.world
	acts, next := s.scheduler.Tick(w.clock.Now())
	for _, a := range acts {
		s.runTask(a)
	}
	w.clock.After(math.Max(next-w.clock.Now(), minTickSeconds), s.tick)
}

// leastTick keeps ticks apart, in seconds.
const minTickSeconds = 0.001

// act probes an engine and tells the others.
func (s *peer) runTask(a duty.Task) {
	w := s.router.world
	at, err := strconv.Atoi(a.Subject)
	if err != nil {
		panic(err) // join wrote it
	}
	w.result.Probes++
	s.router.probeEngine(at, s.lifetime, func(o decide.Outcome, report []float64) {
		s.storeReport(at, o, report)
		result, ok := s.scheduler.Finish(w.clock.Now(), a, encodeResult(o, report))
		if !ok {
			return
		}
		for _, other := range w.routers {
			if other != s.router && !other.down {
				to := other.peer
				w.clock.After(w.settings.OneWayDelay, func() { to.receiveResult(result, at) })
			}
		}
	})
}

// heard takes another's result. A failure that another met has this router look for itself.
func (s *peer) receiveResult(result duty.Result, at int) {
	if s.stopped() || s.scheduler.ReceiveResult(s.router.world.clock.Now(), result) != duty.Fresh {
		return
	}
	o, report := decodeResult(result.Payload)
	if o != decide.Finished {
		s.router.world.result.Probes++
		s.router.probeEngine(at, s.lifetime, func(decide.Outcome, []float64) {})
		return
	}
	s.storeReport(at, o, report)
	s.router.callPolicy(func() { s.router.policy.ProbeEnded(at, o, report) })
}

func (s *peer) storeReport(at int, o decide.Outcome, report []float64) {
	if o == decide.Finished {
		s.reports[at] = timedReport{s.router.world.clock.Now(), report}
	}
}

// fresh is a shared report that answers an own need, nil if there is none.
func (s *peer) freshReport(at int) []float64 {
	if s == nil || s.router.world.clock.Now()-s.reports[at].receivedAt > s.router.world.settings.Peers.Interval {
		return nil
	}
	return s.reports[at].report
}

func encodeResult(o decide.Outcome, report []float64) []byte {
	b := []byte{byte(o)}
	for _, x := range report {
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(x))
	}
	return b
}

func decodeResult(b []byte) (o decide.Outcome, report []float64) {
	o = decide.Outcome(b[0])
	for b = b[1:]; len(b) >= 8; b = b[8:] {
		report = append(report, math.Float64frombits(binary.LittleEndian.Uint64(b)))
	}
	return o, report
}
