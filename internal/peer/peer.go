// Package peer lets a router share periodic duties with other routers. It passes the live members (internal/member) and
// the other routers' results to internal/duty, carries out the tasks that this router is due, and forwards each fresh
// probe result to the planner as if this router had probed. internal/duty decides what is due when, and decide what a
// report means. internal/router starts it if the settings have peers.
//
// A report received by another router counts like one of this router's own. A failed probe of another router does not:
// a router that cannot reach an engine must not make it count as failed at all others. It only makes this router probe
// the engine itself, within its own probe budget.
package peer

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cherryhub/decide"
	"cherryhub/internal/duty"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
	"cherryhub/internal/member"
	pb "cherryhub/proto"
)

// Kinds of duties: probing an engine for its load report, and fetching the engine list where it is not pushed.
const (
	KindProbe duty.Kind = "probe"
	KindList  duty.Kind = "list"
)

const (
	maxConcurrentProbes = 256                   // tasks and probes that run at once
	sharedProbeWait     = 20 * time.Millisecond // time for which Probe waits for the owner's next result
)

// Options configures a Peer.
type Options struct {
	Duty               duty.Settings
	ProbeInterval      float64 // seconds between two probes of an engine
	Candidates         int
	OwnProbesPerSecond float64 // limit on probes that are not duties
	ReportColumns      []string
	Membership         member.Options // the peer sets OnMembers, OnMessage and Log
	Probe              func(ctx context.Context, address string) ([]float64, error)
	Notify             func(link.Event)
	ListRefresh        *ListRefresh // nil if the engine list is pushed
	Log                *slog.Logger
	Observer           Observer
}

// ListRefresh describes the duty of fetching the engine list: one router fetches it, and all apply what it received.
type ListRefresh struct {
	Subject  string  // URL of the list service
	Interval float64 // seconds
	Fetch    func(ctx context.Context) ([]byte, error)
	Apply    func(text []byte) error
}

// Observer records what a peer does, for metrics. Its methods must not block.
type Observer interface {
	ProbeHandled(reason string)
	DutyTakenOver(cause string)
	ResultReceived(freshness string)
	DutyLate(seconds float64)
}

// Peer is this router's part in the shared duties.
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
	reports   map[string]*sharedReport // by engine address
	members   []duty.Member
}

// sharedReport is the last load report of an engine that any router received.
type sharedReport struct {
	report     []float64
	receivedAt time.Time
	updated    chan struct{} // closed when a newer report arrives
}

// New returns a Peer. Run must be called once.
func New(o Options) (*Peer, error) {
	p := &Peer{options: o, ownProbes: rate.NewLimiter(rate.Limit(o.OwnProbesPerSecond), max(1, int(o.OwnProbesPerSecond))),
		probeSlots: make(chan struct{}, maxConcurrentProbes), startedAt: time.Now(), wakeup: make(chan struct{}, 1),
		engines: map[string]link.EngineEntry{}, reports: map[string]*sharedReport{}}
	var err error
	if p.scheduler, err = duty.New(0, o.Duty); err != nil {
		return nil, err
	}
	p.setDuties()
	return p, nil
}

func (p *Peer) now() float64 { return time.Since(p.startedAt).Seconds() }

// Run joins the group and carries out duties until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	groupOptions := p.options.Membership
	groupOptions.OnMembers, groupOptions.OnMessage, groupOptions.Log = p.setMembers, p.receiveMessage, p.options.Log
	group, err := member.Start(ctx, groupOptions)
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
		tasks, next := p.scheduler.Tick(p.now())
		p.mu.Unlock()
		for _, task := range tasks {
			p.recordTask(task)
			select {
			case p.probeSlots <- struct{}{}:
				probes.Go(func() { p.runTask(ctx, task); <-p.probeSlots })
			default: // ends without a result, so that a standby takes over
				p.mu.Lock()
				p.scheduler.Finish(p.now(), task, nil)
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
	// memberlist reports a member that leaves like one that failed, so the departure is announced by a message.
	if message, err := proto.Marshal(&pb.PeerResults{Leaves: &p.options.Duty.Self.Name}); err == nil {
		if err := group.BroadcastReliably(message); err != nil {
			p.options.Log.Info("departure not sent to all peers", "err", err)
		}
	}
	return group.Stop()
}

// fetchFirstList fetches the engine list at the start: a router cannot serve without one, and duties begin only once
// the other members are known.
func (p *Peer) fetchFirstList(ctx context.Context) {
	for delay := firstFetchRetryDelay; ; delay = min(2*delay, 16*firstFetchRetryDelay) {
		_, err := p.options.ListRefresh.Fetch(ctx)
		if err == nil {
			return
		}
		p.options.Log.Warn("fetching the first engine list failed", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// firstFetchRetryDelay is the delay before the first retry of fetchFirstList; it doubles each time.
const firstFetchRetryDelay = 100 * time.Millisecond

func (p *Peer) recordTask(task duty.Task) {
	if task.Kind == KindProbe {
		p.options.Observer.ProbeHandled(task.Cause.String())
	}
	p.options.Observer.DutyLate(task.Late)
	if task.TakenOver {
		p.options.Observer.DutyTakenOver(task.Cause.String())
		p.options.Log.Info("duty taken over", "duty", task.Kind, "subject", task.Subject, "cause", task.Cause.String(), "epoch", task.Epoch.Number)
	}
}

// runTask carries out a task and sends its result to the other members.
func (p *Peer) runTask(ctx context.Context, task duty.Task) {
	var payload []byte
	var taskErr error
	if task.Kind == KindList {
		payload, taskErr = p.options.ListRefresh.Fetch(ctx)
	} else {
		report, err := p.options.Probe(ctx, task.Subject)
		outcome := engine.ProbeOutcome(err)
		p.storeReport(task.Subject, outcome, report)
		p.options.Notify(link.Event{Kind: link.ProbeEnded, Address: task.Subject, Outcome: outcome, Report: report})
		payload, taskErr = proto.Marshal(&pb.ProbeResult{Outcome: proto.Int32(int32(outcome)), Report: report, Columns: p.options.ReportColumns})
	}
	p.mu.Lock()
	result, send := p.scheduler.Finish(p.now(), task, payload)
	group := p.group
	p.mu.Unlock()
	if taskErr != nil {
		p.options.Log.Info("duty failed", "duty", task.Kind, "subject", task.Subject, "err", taskErr)
	}
	if !send || taskErr != nil || ctx.Err() != nil {
		return // a standby takes over
	}
	message, taskErr := proto.Marshal(&pb.PeerResults{Results: []*pb.PeerResult{{Kind: proto.String(string(result.Kind)), Subject: &result.Subject,
		Epoch: &result.Epoch.Number, Owner: &result.Epoch.Owner, Incarnation: &result.Origin.Incarnation, AgeS: &result.Age, Payload: payload}}})
	if taskErr == nil {
		taskErr = group.Broadcast(message)
	}
	if taskErr != nil {
		p.options.Log.Debug("result not sent to all peers", "err", taskErr)
	}
}

// maxResults is the largest number of results in a message. Routers send one.
const maxResults = 256

// decodeResults decodes a message. The results are counted before memory is used for them: an empty one takes many times the
// memory of its text.
func decodeResults(message []byte) (*pb.PeerResults, error) {
	count := 0
	for rest := message; len(rest) > 0; count++ {
		_, _, size := protowire.ConsumeField(rest)
		if size < 0 {
			return nil, protowire.ParseError(size)
		}
		rest = rest[size:]
	}
	if count > maxResults {
		return nil, fmt.Errorf("%d fields, wanted %d at most", count, maxResults)
	}
	results := &pb.PeerResults{}
	return results, proto.Unmarshal(message, results)
}

// receiveMessage processes a message from another member.
func (p *Peer) receiveMessage(message []byte) {
	results, err := decodeResults(message)
	if err != nil {
		p.options.Log.Warn("peers: malformed message", "err", err)
		return
	}
	if name := results.GetLeaves(); name != "" {
		p.memberLeft(name)
	}
	for _, result := range results.GetResults() {
		p.mu.Lock()
		freshness := p.scheduler.ReceiveResult(p.now(), duty.Result{Key: duty.Key{Kind: duty.Kind(result.GetKind()), Subject: result.GetSubject()},
			Epoch:  duty.Epoch{Number: result.GetEpoch(), Owner: result.GetOwner()},
			Origin: duty.Member{Name: result.GetOwner(), Incarnation: result.GetIncarnation()},
			Age:    result.GetAgeS(), Payload: result.GetPayload()})
		p.mu.Unlock()
		p.options.Observer.ResultReceived(freshness.String())
		if freshness != duty.Fresh {
			continue
		}
		switch duty.Kind(result.GetKind()) {
		case KindProbe:
			p.applyProbeResult(result.GetSubject(), result.GetPayload())
		case KindList:
			if err := p.options.ListRefresh.Apply(result.GetPayload()); err != nil {
				p.options.Log.Warn("engine list of another router rejected", "from", result.GetOwner(), "err", err)
			}
		}
	}
}

// applyProbeResult passes another router's report to the planner, or probes the engine if that router's probe failed.
func (p *Peer) applyProbeResult(address string, payload []byte) {
	result := &pb.ProbeResult{}
	if err := proto.Unmarshal(payload, result); err != nil || !slices.Equal(result.GetColumns(), p.options.ReportColumns) {
		return // another version, or other settings
	}
	if decide.Outcome(result.GetOutcome()) == decide.Finished {
		p.storeReport(address, decide.Finished, result.GetReport())
		p.options.Notify(link.Event{Kind: link.ProbeEnded, Address: address, Outcome: decide.Finished, Report: result.GetReport()})
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

func (p *Peer) storeReport(address string, outcome decide.Outcome, report []float64) {
	if outcome != decide.Finished {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := p.reports[address]
	if shared == nil {
		return // the engine is no longer a duty
	}
	shared.report, shared.receivedAt = report, time.Now()
	close(shared.updated)
	shared.updated = make(chan struct{})
}

// Probe returns a load report for this router's own use: a shared one if it is fresh, the owner's next if it arrives
// within sharedProbeWait, or else one from a probe within the own probe budget.
func (p *Peer) Probe(ctx context.Context, address string) ([]float64, error) {
	p.mu.Lock()
	shared := p.reports[address]
	var updated chan struct{}
	if shared != nil {
		updated = shared.updated
		if time.Since(shared.receivedAt).Seconds() <= p.options.ProbeInterval {
			report := shared.report
			p.mu.Unlock()
			p.options.Observer.ProbeHandled("answered from a shared one")
			return report, nil
		}
	}
	p.mu.Unlock()
	select {
	case <-updated: // nil if the engine is no duty, and then never ready
		p.mu.Lock()
		report := shared.report
		p.mu.Unlock()
		p.options.Observer.ProbeHandled("joined a shared one")
		return report, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(sharedProbeWait):
	}
	if !p.ownProbes.Allow() {
		p.options.Observer.ProbeHandled("own need, not met")
		return nil, fmt.Errorf("probe %s: probe budget exhausted and no shared report received: %w", address, engine.ErrProbeSkipped)
	}
	p.options.Observer.ProbeHandled("own need")
	return p.options.Probe(ctx, address)
}

// UpdateEngines applies an engine list: each engine that is ready is a duty.
func (p *Peer) UpdateEngines(list *link.EngineList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Kind == decide.ListSnapshot || list.Kind == decide.ListCachedSnapshot {
		clear(p.engines)
	}
	for _, e := range list.Entries {
		if e.Phase == decide.Ready {
			p.engines[e.Address] = e
		} else {
			delete(p.engines, e.Address)
		}
	}
	p.setDuties()
	p.wake()
}

// setDuties sets the duties: fetching the engine list, if it is not pushed, and probing each engine that is ready.
func (p *Peer) setDuties() {
	var duties []duty.Duty
	if r := p.options.ListRefresh; r != nil {
		duties = append(duties, duty.Duty{Key: duty.Key{Kind: KindList, Subject: r.Subject}, Interval: r.Interval, Candidates: p.options.Candidates})
	}
	addresses := make([]string, 0, len(p.engines))
	for address := range p.engines { // iteration order does not matter: sorted below
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	reports := make(map[string]*sharedReport, len(addresses))
	for _, address := range addresses {
		duties = append(duties, duty.Duty{Key: duty.Key{Kind: KindProbe, Subject: address}, Zone: p.engines[address].Zone,
			Interval: p.options.ProbeInterval, Candidates: p.options.Candidates})
		if reports[address] = p.reports[address]; reports[address] == nil {
			reports[address] = &sharedReport{updated: make(chan struct{})}
		}
	}
	p.reports = reports
	p.scheduler.SetDuties(p.now(), duties)
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

// Duties returns the state of each duty.
func (p *Peer) Duties() []duty.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Status(p.now())
}

// Members returns this instance, the other live members, and the names on the roster.
func (p *Peer) Members() (self duty.Member, members []duty.Member, roster []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.options.Duty.Self, slices.Clone(p.members), p.scheduler.Roster()
}
