// Package peer is a router among others: it feeds internal/duty with who is in sight (internal/member) and with
// the others' results, does the duties that fall to it, and hands every fresh result to the planner as a probe's.
// What is to be done when is internal/duty's; what a report means is decide's. internal/router starts it where
// the settings have peers.
//
// A report that another router got is taken as one's own would be. A failure that another met is not: one that
// can't reach an engine must not make it ill at all others. It only has this router look for itself, within its
// own budget of probes.
package peer

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"cherryhub/decide"
	"cherryhub/internal/duty"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
	"cherryhub/internal/member"
	pb "cherryhub/proto"
)

// The kinds of duty: asking an engine for its figures, and asking for the engine list where it is not pushed.
const (
	KindProbe duty.Kind = "probe"
	KindList  duty.Kind = "list"
)

const (
	probesMost = 256                   // that run at once
	joinMost   = 20 * time.Millisecond // an own need waits so long for the owner's next probe
)

// Options of a peer.
type Options struct {
	Duty       duty.Settings
	Interval   float64 // seconds, of probing each engine
	Candidates int
	OwnRate    float64 // probes a second besides duties
	Columns    []string
	Member     member.Options // all but what the peer itself fills in
	Probe      func(ctx context.Context, address string) ([]float64, error)
	Tell       func(link.Fact)
	Refresh    *Refresh // nil where the engine list is pushed
	Log        *slog.Logger
	Observe    Observer
}

// Refresh is the duty of asking for the engine list: one asks, and all take what came.
type Refresh struct {
	Subject string  // the service
	Every   float64 // seconds
	Ask     func(ctx context.Context) ([]byte, error)
	Take    func(text []byte) error
}

// Observer hears what a peer does; calls must not block.
type Observer interface {
	Probed(reason string)
	TookOver(cause string)
	Heard(standing string)
	Late(seconds float64)
}

// Peer is this router among others.
type Peer struct {
	o     Options
	group *member.Group
	own   *rate.Limiter
	slots chan struct{}
	start time.Time
	ring  chan struct{}

	mu      sync.Mutex
	table   *duty.Table
	engines map[string]link.Entry
	known   map[string]*known // by address
	sight   []duty.Member
}

// known is the last report of an engine, by any router.
type known struct {
	report []float64
	at     time.Time
	next   chan struct{} // closed when a newer one comes
}

// New makes a peer. Run must be called once.
func New(o Options) (*Peer, error) {
	p := &Peer{o: o, own: rate.NewLimiter(rate.Limit(o.OwnRate), max(1, int(o.OwnRate))), slots: make(chan struct{}, probesMost),
		start: time.Now(), ring: make(chan struct{}, 1), engines: map[string]link.Entry{}, known: map[string]*known{}}
	var err error
	if p.table, err = duty.New(0, o.Duty); err != nil {
		return nil, err
	}
	p.setDuties()
	return p, nil
}

func (p *Peer) now() float64 { return time.Since(p.start).Seconds() }

// Run joins the group and does duties until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	o := p.o.Member
	o.Sight, o.Heard, o.Log = p.sees, p.heard, p.o.Log
	group, err := member.Start(ctx, o)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.group = group
	p.mu.Unlock()
	var probes sync.WaitGroup
	if p.o.Refresh != nil {
		probes.Go(func() { p.first(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		p.mu.Lock()
		acts, next := p.table.Tick(p.now())
		p.mu.Unlock()
		for _, a := range acts {
			p.took(a)
			select {
			case p.slots <- struct{}{}:
				probes.Go(func() { p.act(ctx, a); <-p.slots })
			default: // it ends without a result, and others step in
				p.mu.Lock()
				p.table.Done(p.now(), a, nil)
				p.mu.Unlock()
			}
		}
		timer.Reset(time.Duration(max(0.001, next-p.now()) * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-p.ring:
		}
	}
	probes.Wait()
	// memberlist's event of one who goes looks like that of one who died: it is said here.
	if message, err := proto.Marshal(&pb.PeerResults{Leaves: &p.o.Duty.Self.Name}); err == nil {
		if err := group.TellSurely(message); err != nil {
			p.o.Log.Info("not all know that this router goes", "err", err)
		}
	}
	return group.Stop()
}

// first asks for the engine list at the start: a router without one can serve nobody, and duties begin only once
// the others are known.
func (p *Peer) first(ctx context.Context) {
	for wait := firstAgain; ; wait = min(2*wait, 16*firstAgain) {
		_, err := p.o.Refresh.Ask(ctx)
		if err == nil {
			return
		}
		p.o.Log.Warn("no engine list yet", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// firstAgain is the first wait between tries for the first list; it doubles.
const firstAgain = 100 * time.Millisecond

func (p *Peer) took(a duty.Act) {
	if a.Kind == KindProbe {
		p.o.Observe.Probed(a.Cause.String())
	}
	p.o.Observe.Late(a.Late)
	if a.TakeOver {
		p.o.Observe.TookOver(a.Cause.String())
		p.o.Log.Info("duty taken over", "duty", a.Kind, "subject", a.Subject, "cause", a.Cause.String(), "epoch", a.Epoch.N)
	}
}

// act does a duty and tells of it.
func (p *Peer) act(ctx context.Context, a duty.Act) {
	var payload []byte
	var bad error
	if a.Kind == KindList {
		payload, bad = p.o.Refresh.Ask(ctx)
	} else {
		report, err := p.o.Probe(ctx, a.Subject)
		outcome := engine.ProbeOutcome(err)
		p.keep(a.Subject, outcome, report)
		p.o.Tell(link.Fact{Kind: link.Probed, Address: a.Subject, Outcome: outcome, Report: report})
		payload, bad = proto.Marshal(&pb.ProbeResult{Outcome: proto.Int32(int32(outcome)), Report: report, Columns: p.o.Columns})
	}
	p.mu.Lock()
	result, tell := p.table.Done(p.now(), a, payload)
	group := p.group
	p.mu.Unlock()
	if bad != nil {
		p.o.Log.Info("duty failed", "duty", a.Kind, "subject", a.Subject, "err", bad)
	}
	if !tell || bad != nil || ctx.Err() != nil {
		return // those who stand by step in
	}
	message, bad := proto.Marshal(&pb.PeerResults{Results: []*pb.PeerResult{{Kind: proto.String(string(result.Kind)), Subject: &result.Subject,
		Epoch: &result.Epoch.N, Owner: &result.Epoch.Owner, Incarnation: &result.Origin.Incarnation, AgeS: &result.Age, Payload: payload}}})
	if bad == nil {
		bad = group.Tell(message)
	}
	if bad != nil {
		p.o.Log.Debug("result not told to all", "err", bad)
	}
}

// heard takes others' results.
func (p *Peer) heard(message []byte) {
	all := &pb.PeerResults{}
	if err := proto.Unmarshal(message, all); err != nil {
		p.o.Log.Warn("peers: a message that is not understood", "err", err)
		return
	}
	if name := all.GetLeaves(); name != "" {
		p.left(name)
	}
	for _, r := range all.GetResults() {
		p.mu.Lock()
		standing := p.table.Heard(p.now(), duty.Result{Key: duty.Key{Kind: duty.Kind(r.GetKind()), Subject: r.GetSubject()},
			Epoch: duty.Epoch{N: r.GetEpoch(), Owner: r.GetOwner()}, Origin: duty.Member{Name: r.GetOwner(), Incarnation: r.GetIncarnation()},
			Age: r.GetAgeS(), Payload: r.GetPayload()})
		p.mu.Unlock()
		p.o.Observe.Heard(standing.String())
		if standing != duty.Fresh {
			continue
		}
		switch duty.Kind(r.GetKind()) {
		case KindProbe:
			p.use(r.GetSubject(), r.GetPayload())
		case KindList:
			if err := p.o.Refresh.Take(r.GetPayload()); err != nil {
				p.o.Log.Warn("another's engine list is not taken", "from", r.GetOwner(), "err", err)
			}
		}
	}
}

// use hands another's probe to the planner, or looks for itself where the other failed.
func (p *Peer) use(address string, payload []byte) {
	probe := &pb.ProbeResult{}
	if err := proto.Unmarshal(payload, probe); err != nil || !slices.Equal(probe.GetColumns(), p.o.Columns) {
		return // another release, or other settings
	}
	if decide.Outcome(probe.GetOutcome()) == decide.Finished {
		p.keep(address, decide.Finished, probe.GetReport())
		p.o.Tell(link.Fact{Kind: link.Probed, Address: address, Outcome: decide.Finished, Report: probe.GetReport()})
		return
	}
	if !p.own.Allow() {
		return
	}
	select {
	case p.slots <- struct{}{}:
		go func() {
			defer func() { <-p.slots }()
			p.o.Observe.Probed("another's failed")
			report, err := p.o.Probe(context.Background(), address)
			p.o.Tell(link.Fact{Kind: link.Probed, Address: address, Outcome: engine.ProbeOutcome(err), Report: report})
		}()
	default:
	}
}

func (p *Peer) keep(address string, o decide.Outcome, report []float64) {
	if o != decide.Finished {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[address]
	if k == nil {
		return // no duty any more
	}
	k.report, k.at = report, time.Now()
	close(k.next)
	k.next = make(chan struct{})
}

// Probe meets an own need: by a shared report that is fresh enough, by the owner's next if it comes at once,
// else by a probe within the own budget.
func (p *Peer) Probe(ctx context.Context, address string) ([]float64, error) {
	p.mu.Lock()
	k := p.known[address]
	var next chan struct{}
	if k != nil {
		next = k.next
		if time.Since(k.at).Seconds() <= p.o.Interval {
			report := k.report
			p.mu.Unlock()
			p.o.Observe.Probed("answered from a shared one")
			return report, nil
		}
	}
	p.mu.Unlock()
	select {
	case <-next: // nil where there is no duty: it never comes
		p.mu.Lock()
		report := k.report
		p.mu.Unlock()
		p.o.Observe.Probed("joined a shared one")
		return report, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(joinMost):
	}
	if !p.own.Allow() {
		p.o.Observe.Probed("own need, not met")
		return nil, fmt.Errorf("probe %s: own probes are used up, and no shared one came: %w", address, engine.ErrNotAsked)
	}
	p.o.Observe.Probed("own need")
	return p.o.Probe(ctx, address)
}

// List takes news of the engines: each that is ready is a duty.
func (p *Peer) List(l *link.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Kind == decide.ListSnapshot || l.Kind == decide.ListCachedSnapshot {
		clear(p.engines)
	}
	for _, e := range l.Entries {
		if e.Phase == decide.Ready {
			p.engines[e.Address] = e
		} else {
			delete(p.engines, e.Address)
		}
	}
	p.setDuties()
	p.wake()
}

// setDuties makes the duties of the engines that are ready, and of the list.
func (p *Peer) setDuties() {
	var all []duty.Duty
	if r := p.o.Refresh; r != nil {
		all = append(all, duty.Duty{Key: duty.Key{Kind: KindList, Subject: r.Subject}, Interval: r.Every, Candidates: p.o.Candidates})
	}
	addresses := make([]string, 0, len(p.engines))
	for a := range p.engines { // sorted below
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	fresh := make(map[string]*known, len(addresses))
	for _, a := range addresses {
		all = append(all, duty.Duty{Key: duty.Key{Kind: KindProbe, Subject: a}, Zone: p.engines[a].Zone, Interval: p.o.Interval, Candidates: p.o.Candidates})
		if fresh[a] = p.known[a]; fresh[a] == nil {
			fresh[a] = &known{next: make(chan struct{})}
		}
	}
	p.known = fresh
	p.table.SetDuties(p.now(), all)
}

func (p *Peer) wake() {
	select {
	case p.ring <- struct{}{}:
	default:
	}
}

func (p *Peer) sees(members []duty.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sight = members
	p.table.Sight(p.now(), members)
	p.wake()
}

func (p *Peer) left(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Left(p.now(), name)
	p.wake()
}

// Duties is what is known of each duty.
func (p *Peer) Duties() []duty.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Status(p.now())
}

// Members are this instance, those in sight, and the names on the roster.
func (p *Peer) Members() (self duty.Member, sight []duty.Member, roster []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.o.Duty.Self, slices.Clone(p.sight), p.table.Roster()
}
