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
	maxConcurrentProbes = 256                   // that run at once
	sharedProbeWait     = 20 * time.Millisecond // an own need waits so long for the owner's next probe
)

// Options of a peer.
type Options struct {
	Duty               duty.Settings
	ProbeInterval      float64 // seconds, of probing each engine
	Candidates         int
	OwnProbesPerSecond float64 // probes a second besides duties
	ReportColumns      []string
	Membership         member.Options // all but what the peer itself fills in
	Probe              func(ctx context.Context, address string) ([]float64, error)
	Notify             func(link.Event)
	ListRefresh        *ListRefresh // nil where the engine list is pushed
	Log                *slog.Logger
	Observer           Observer
}

// Refresh is the duty of asking for the engine list: one asks, and all take what came.
type ListRefresh struct {
	Subject  string  // the service
	Interval float64 // seconds
	Fetch    func(ctx context.Context) ([]byte, error)
	Apply    func(text []byte) error
}

// Observer hears what a peer does; calls must not block.
type Observer interface {
	ProbeHandled(reason string)
	DutyTakenOver(cause string)
	ResultReceived(standing string)
	DutyLate(seconds float64)
}

// Peer is this router among others.
type Peer struct {
	options    Options
	group      *member.Group
	ownProbes  *rate.Limiter
	probeSlots chan struct{}
	startedAt  time.Time
	wakeup     chan struct{}

	mu        sync.Mutex
	scheduler *duty.Scheduler
	engines   map[string]link.EngineEntry
	reports   map[string]*sharedReport // by address
	members   []duty.Member
}

// known is the last report of an engine, by any router.
type sharedReport struct {
	report     []float64
	receivedAt time.Time
	updated    chan struct{} // closed when a newer one comes
}

// New makes a peer. Run must be called once.
func New(o Options) (*Peer, error) {
	p := &Peer{options: o, ownProbes: rate.NewLimiter(rate.Limit(o.OwnProbesPerSecond), max(1, int(o.OwnProbesPerSecond))), probeSlots: make(chan struct{}, maxConcurrentProbes),
		startedAt: time.Now(), wakeup: make(chan struct{}, 1), engines: map[string]link.EngineEntry{}, reports: map[string]*sharedReport{}}
	var err error
	if p.scheduler, err = duty.New(0, o.Duty); err != nil {
		return nil, err
	}
	p.setDuties()
	return p, nil
}

func (p *Peer) now() float64 { return time.Since(p.startedAt).Seconds() }

// Run joins the group and does duties until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	o := p.options.Membership
	o.OnMembers, o.OnMessage, o.Log = p.setMembers, p.receiveMessage, p.options.Log
	group, err := member.Start(ctx, o)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.group = group
	p.mu.Unlock()
	var probes sync.WaitGroup
	if p.options.ListRefresh != nil {
		probes.Go(func() { p.fetchFirstList(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		p.mu.Lock()
		acts, next := p.scheduler.Tick(p.now())
		p.mu.Unlock()
		for _, a := range acts {
			p.recordTask(a)
			select {
			case p.probeSlots <- struct{}{}:
				probes.Go(func() { p.runTask(ctx, a); <-p.probeSlots })
			default: // it ends without a result, and others step in
				p.mu.Lock()
				p.scheduler.Finish(p.now(), a, nil)
				p.mu.Unlock()
			}
		}
		timer.Reset(time.Duration(max(0.001, next-p.now()) * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-p.wakeup:
		}
	}
	probes.Wait()
	// memberlist's event of one who goes looks like that of one who died: it is said here.
	if message, err := proto.Marshal(&pb.PeerResults{Leaves: &p.options.Duty.Self.Name}); err == nil {
		if err := group.BroadcastReliably(message); err != nil {
			p.options.Log.Info("not all know that this router goes", "err", err)
		}
	}
	return group.Stop()
}

// first asks for the engine list at the start: a router without one can serve nobody, and duties begin only once
// the others are known.
func (p *Peer) fetchFirstList(ctx context.Context) {
	for wait := firstFetchRetryDelay; ; wait = min(2*wait, 16*firstFetchRetryDelay) {
		_, err := p.options.ListRefresh.Fetch(ctx)
		if err == nil {
			return
		}
		p.options.Log.Warn("no engine list yet", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// firstAgain is the first wait between tries for the first list; it doubles.
const firstFetchRetryDelay = 100 * time.Millisecond

func (p *Peer) recordTask(a duty.Task) {
	if a.Kind == KindProbe {
		p.options.Observer.ProbeHandled(a.Cause.String())
	}
	p.options.Observer.DutyLate(a.Late)
	if a.TakenOver {
		p.options.Observer.DutyTakenOver(a.Cause.String())
		p.options.Log.Info("duty taken over", "duty", a.Kind, "subject", a.Subject, "cause", a.Cause.String(), "epoch", a.Epoch.Number)
	}
}

// act does a duty and tells of it.
func (p *Peer) runTask(ctx context.Context, a duty.Task) {
	var payload []byte
	var bad error
	if a.Kind == KindList {
		payload, bad = p.options.ListRefresh.Fetch(ctx)
	} else {
		report, err := p.options.Probe(ctx, a.Subject)
		outcome := engine.ProbeOutcome(err)
		p.storeReport(a.Subject, outcome, report)
		p.options.Notify(link.Event{Kind: link.ProbeEnded, Address: a.Subject, Outcome: outcome, Report: report})
		payload, bad = proto.Marshal(&pb.ProbeResult{Outcome: proto.Int32(int32(outcome)), Report: report, Columns: p.options.ReportColumns})
	}
	p.mu.Lock()
	result, tell := p.scheduler.Finish(p.now(), a, payload)
	group := p.group
	p.mu.Unlock()
	if bad != nil {
		p.options.Log.Info("duty failed", "duty", a.Kind, "subject", a.Subject, "err", bad)
	}
	if !tell || bad != nil || ctx.Err() != nil {
		return // those who stand by step in
	}
	message, bad := proto.Marshal(&pb.PeerResults{Results: []*pb.PeerResult{{Kind: proto.String(string(result.Kind)), Subject: &result.Subject,
		Epoch: &result.Epoch.Number, Owner: &result.Epoch.Owner, Incarnation: &result.Origin.Incarnation, AgeS: &result.Age, Payload: payload}}})
	if bad == nil {
		bad = group.Broadcast(message)
	}
	if bad != nil {
		p.options.Log.Debug("result not told to all", "err", bad)
	}
}

// heard takes others' results.
func (p *Peer) receiveMessage(message []byte) {
	all := &pb.PeerResults{}
	if err := proto.Unmarshal(message, all); err != nil {
		p.options.Log.Warn("peers: a message that is not understood", "err", err)
		return
	}
	if name := all.GetLeaves(); name != "" {
		p.memberLeft(name)
	}
	for _, r := range all.GetResults() {
		p.mu.Lock()
		standing := p.scheduler.ReceiveResult(p.now(), duty.Result{Key: duty.Key{Kind: duty.Kind(r.GetKind()), Subject: r.GetSubject()},
			Epoch: duty.Epoch{Number: r.GetEpoch(), Owner: r.GetOwner()}, Origin: duty.Member{Name: r.GetOwner(), Incarnation: r.GetIncarnation()},
			Age: r.GetAgeS(), Payload: r.GetPayload()})
		p.mu.Unlock()
		p.options.Observer.ResultReceived(standing.String())
		if standing != duty.Fresh {
			continue
		}
		switch duty.Kind(r.GetKind()) {
		case KindProbe:
			p.applyProbeResult(r.GetSubject(), r.GetPayload())
		case KindList:
			if err := p.options.ListRefresh.Apply(r.GetPayload()); err != nil {
				p.options.Log.Warn("another's engine list is not taken", "from", r.GetOwner(), "err", err)
			}
		}
	}
}

// use hands another's probe to the planner, or looks for itself where the other failed.
func (p *Peer) applyProbeResult(address string, payload []byte) {
	probe := &pb.ProbeResult{}
	if err := proto.Unmarshal(payload, probe); err != nil || !slices.Equal(probe.GetColumns(), p.options.ReportColumns) {
		return // another release, or other settings
	}
	if decide.Outcome(probe.GetOutcome()) == decide.Finished {
		p.storeReport(address, decide.Finished, probe.GetReport())
		p.options.Notify(link.Event{Kind: link.ProbeEnded, Address: address, Outcome: decide.Finished, Report: probe.GetReport()})
		return
	}
	if !p.ownProbes.Allow() {
		return
	}
	select {
	case p.probeSlots <- struct{}{}:
		go func() {
			defer func() { <-p.probeSlots }()
			p.options.Observer.ProbeHandled("another's failed")
			report, err := p.options.Probe(context.Background(), address)
			p.options.Notify(link.Event{Kind: link.ProbeEnded, Address: address, Outcome: engine.ProbeOutcome(err), Report: report})
		}()
	default:
	}
}

func (p *Peer) storeReport(address string, o decide.Outcome, report []float64) {
	if o != decide.Finished {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.reports[address]
	if k == nil {
		return // no duty any more
	}
	k.report, k.receivedAt = report, time.Now()
	close(k.updated)
	k.updated = make(chan struct{})
}

// Probe meets an own need: by a shared report that is fresh enough, by the owner's next if it comes at once,
// else by a probe within the own budget.
func (p *Peer) Probe(ctx context.Context, address string) ([]float64, error) {
	p.mu.Lock()
	k := p.reports[address]
	var next chan struct{}
	if k != nil {
		next = k.updated
		if time.Since(k.receivedAt).Seconds() <= p.options.ProbeInterval {
			report := k.report
			p.mu.Unlock()
			p.options.Observer.ProbeHandled("answered from a shared one")
			return report, nil
		}
	}
	p.mu.Unlock()
	select {
	case <-next: // nil where there is no duty: it never comes
		p.mu.Lock()
		report := k.report
		p.mu.Unlock()
		p.options.Observer.ProbeHandled("joined a shared one")
		return report, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(sharedProbeWait):
	}
	if !p.ownProbes.Allow() {
		p.options.Observer.ProbeHandled("own need, not met")
		return nil, fmt.Errorf("probe %s: own probes are used up, and no shared one came: %w", address, engine.ErrNotAsked)
	}
	p.options.Observer.ProbeHandled("own need")
	return p.options.Probe(ctx, address)
}

// List takes news of the engines: each that is ready is a duty.
func (p *Peer) UpdateEngines(l *link.EngineList) {
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
	if r := p.options.ListRefresh; r != nil {
		all = append(all, duty.Duty{Key: duty.Key{Kind: KindList, Subject: r.Subject}, Interval: r.Interval, Candidates: p.options.Candidates})
	}
	addresses := make([]string, 0, len(p.engines))
	for a := range p.engines { // sorted below
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	fresh := make(map[string]*sharedReport, len(addresses))
	for _, a := range addresses {
		all = append(all, duty.Duty{Key: duty.Key{Kind: KindProbe, Subject: a}, Zone: p.engines[a].Zone, Interval: p.options.ProbeInterval, Candidates: p.options.Candidates})
		if fresh[a] = p.reports[a]; fresh[a] == nil {
			fresh[a] = &sharedReport{updated: make(chan struct{})}
		}
	}
	p.reports = fresh
	p.scheduler.SetDuties(p.now(), all)
}

func (p *Peer) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

func (p *Peer) setMembers(members []duty.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	p.scheduler.SetMembers(p.now(), members)
	p.wake()
}

func (p *Peer) memberLeft(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.MemberLeft(p.now(), name)
	p.wake()
}

// Duties is what is known of each duty.
func (p *Peer) Duties() []duty.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Status(p.now())
}

// Members are this instance, those in sight, and the names on the roster.
func (p *Peer) Members() (self duty.Member, sight []duty.Member, roster []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.options.Duty.Self, slices.Clone(p.members), p.scheduler.Roster()
}
