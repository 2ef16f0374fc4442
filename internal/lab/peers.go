package lab

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"cherryhub/decide"
	"cherryhub/internal/duty"
)

// Peers has the routers of a day share the probing of engines, with the scheduler of internal/duty. A fixed delay until
// a start or a death is noticed stands for memberlist, and the one-way delay of a message stands for UDP; no message is
// lost. Times are in seconds; Settle, Lease and HandOver are SettleTime, LeaseTime and HandoverDelay of
// duty.Settings.
type Peers struct {
	Interval   float64 // between two probes of an engine
	Candidates int     // of each probe, as in duty.Duty
	Settle     float64
	Lease      float64
	HandOver   float64
	Seen       float64 // until the other routers notice a start or a death
}

func (peers *Peers) validate() error {
	if !(peers.Interval > 0 && peers.Candidates >= 1 && peers.Settle > 0 && peers.Lease > peers.Settle && peers.HandOver > 0 && peers.Seen >= 0) {
		return fmt.Errorf("lab: peers: want times above 0, a lease above settle and at least 1 candidate: %+v", *peers)
	}
	return nil
}

// peer is a router's part in shared probing.
type peer struct {
	router    *router
	lifetime  int
	scheduler *duty.Scheduler
	reports   []timedReport // by engine: the newest shared report
}

type timedReport struct {
	receivedAt float64
	report     []float64
}

// joinPeers starts a router's part in shared probing.
func (r *router) joinPeers() error {
	peers := r.world.settings.Peers
	if peers == nil {
		return nil
	}
	scheduler, err := duty.New(r.world.clock.Now(), duty.Settings{Self: r.member(), SettleTime: peers.Settle, LeaseTime: peers.Lease,
		HandoverDelay: peers.HandOver, MaxJoins: math.MaxInt32})
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	r.peer = &peer{router: r, lifetime: r.lifetime, scheduler: scheduler, reports: make([]timedReport, len(r.world.engines))}
	var duties []duty.Duty
	for _, e := range r.world.engines {
		duties = append(duties, duty.Duty{Key: duty.Key{Kind: "probe", Subject: strconv.Itoa(e.index)}, Zone: strconv.Itoa(e.group.Zone),
			Interval: peers.Interval, Candidates: peers.Candidates})
		r.peer.reports[e.index].receivedAt = math.Inf(-1)
	}
	scheduler.SetDuties(r.world.clock.Now(), duties)
	r.world.clock.After(0, r.peer.tick)
	r.world.clock.After(peers.Seen, r.world.updateMembers)
	return nil
}

func (r *router) member() duty.Member {
	return duty.Member{Name: fmt.Sprintf("router-%04d", r.index), Incarnation: uint64(r.lifetime + 1), Zone: strconv.Itoa(r.zone), Weight: 1}
}

// updateMembers gives each router the list of routers that are up.
func (w *world) updateMembers() {
	var members []duty.Member
	for _, r := range w.routers {
		if !r.down {
			members = append(members, r.member())
		}
	}
	for _, r := range w.routers {
		if !r.down && r.peer != nil {
			r.peer.scheduler.SetMembers(w.clock.Now(), members)
		}
	}
}

func (p *peer) stopped() bool {
	return p.lifetime != p.router.lifetime || p.router.world.clock.Now() > p.router.world.settings.Duration+timerGraceSeconds
}

func (p *peer) tick() {
	if p.stopped() {
		return
	}
	w := p.router.world
	tasks, nextTick := p.scheduler.Tick(w.clock.Now())
	for _, task := range tasks {
		p.runTask(task)
	}
	w.clock.After(math.Max(nextTick-w.clock.Now(), minTickSeconds), p.tick)
}

// minTickSeconds is the shortest time between two ticks.
const minTickSeconds = 0.001

// runTask probes an engine and sends the result to the other routers.
func (p *peer) runTask(task duty.Task) {
	w := p.router.world
	engine, err := strconv.Atoi(task.Subject)
	if err != nil {
		panic(err) // the subject was written by joinPeers
	}
	w.result.Probes++
	p.router.probeEngine(engine, p.lifetime, func(outcome decide.Outcome, report []float64) {
		p.storeReport(engine, outcome, report)
		result, ok := p.scheduler.Finish(w.clock.Now(), task, encodeResult(outcome, report))
		if !ok {
			return
		}
		for _, r := range w.routers {
			if r != p.router && !r.down {
				target := r.peer
				w.clock.After(w.settings.OneWayDelay, func() { target.receiveResult(result, engine) })
			}
		}
	})
}

// receiveResult handles another router's result. After a failed probe of another router, this router probes the engine
// itself.
func (p *peer) receiveResult(result duty.Result, engine int) {
	if p.stopped() || p.scheduler.ReceiveResult(p.router.world.clock.Now(), result) != duty.Fresh {
		return
	}
	outcome, report := decodeResult(result.Payload)
	if outcome != decide.Finished {
		p.router.world.result.Probes++
		p.router.probeEngine(engine, p.lifetime, func(decide.Outcome, []float64) {})
		return
	}
	p.storeReport(engine, outcome, report)
	p.router.callPolicy(func() { p.router.policy.ProbeEnded(engine, outcome, report) })
}

func (p *peer) storeReport(engine int, outcome decide.Outcome, report []float64) {
	if outcome == decide.Finished {
		p.reports[engine] = timedReport{p.router.world.clock.Now(), report}
	}
}

// freshReport returns a shared report that is recent enough to replace a probe, nil if there is none.
func (p *peer) freshReport(engine int) []float64 {
	if p == nil || p.router.world.clock.Now()-p.reports[engine].receivedAt > p.router.world.settings.Peers.Interval {
		return nil
	}
	return p.reports[engine].report
}

func encodeResult(outcome decide.Outcome, report []float64) []byte {
	payload := []byte{byte(outcome)}
	for _, value := range report {
		payload = binary.LittleEndian.AppendUint64(payload, math.Float64bits(value))
	}
	return payload
}

func decodeResult(payload []byte) (outcome decide.Outcome, report []float64) {
	outcome = decide.Outcome(payload[0])
	for payload = payload[1:]; len(payload) >= 8; payload = payload[8:] {
		report = append(report, math.Float64frombits(binary.LittleEndian.Uint64(payload)))
	}
	return outcome, report
}
