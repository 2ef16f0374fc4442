// Package rules checks the five rules from a record alone: from what engines, the list service and clients
// saw on their sockets, with no word from a router. It does no I/O. cmd/cherryhub and internal/day's tests
// call it.
package rules

import (
	"fmt"
	"math"
	"slices"
	"sort"

	pb "cherryhub/proto"
)

// Rule is one of the five.
type Rule int

// The rules, in the order of docs/rules.md.
const (
	OneAnswer Rule = iota
	NoEffectTwice
	DrainsRespected
	ColdNotOverloaded
	NothingHeldPastLimit
	ruleCount
)

func (r Rule) String() string {
	return [...]string{"one final answer in time", "no effect twice", "drains kept", "no cold engine pushed over", "nothing left pinned"}[r]
}

// Breach is a broken rule, with the exchange that broke it.
type Violation struct {
	Rule     Rule    `json:"-"`
	Name     string  `json:"rule"`
	At       float64 `json:"at_s"`
	Exchange string  `json:"exchange"`
	Message  string  `json:"text"`
}

// Work is what became of a workload's completions. A client's tries count one by one, its value once.
type WorkloadStats struct {
	Name         string  `json:"workload"`
	Accepted     int     `json:"taken"` // tries that a router answered or owed an answer
	Finished     int     `json:"finished"`
	RateLimited  int     `json:"rate_limited"`
	Aborted      int     `json:"aborted"`
	ClientLeft   int     `json:"left"`
	Late         int     `json:"late"` // finished with the first token past the latency target
	OfferedValue float64 `json:"value_asked"`
	ServedValue  float64 `json:"value_served"` // finished within the latency target, by any try
}

// Report is the verdict on a record.
type Report struct {
	Day             string          `json:"day"`
	Workloads       []WorkloadStats `json:"workloads"`
	Violations      []Violation     `json:"breaches"`
	Checked         [ruleCount]int  `json:"checked"` // exchanges that each rule was held to
	entries         []*pb.Entry
	head            *pb.Head
	endAt           float64
	routerDowntimes map[string][]span // when a router was down
}

// span is a time from, to; To is +Inf while it goes on.
type span struct{ from, to float64 }

// Kept tells whether a rule was kept.
func (r *Report) Passed(rule Rule) bool {
	for _, b := range r.Violations {
		if b.Rule == rule {
			return false
		}
	}
	return true
}

// Rules are all of them.
func AllRules() (all []Rule) {
	for r := range ruleCount {
		all = append(all, r)
	}
	return all
}

// Check checks a whole record, as record.Read gives it.
func Check(entries []*pb.Entry) (*Report, error) {
	if len(entries) < 2 || entries[0].GetHead() == nil {
		return nil, fmt.Errorf("rules: a record of %d entries without a head", len(entries))
	}
	r := &Report{Day: entries[0].GetHead().GetDay(), entries: entries, head: entries[0].GetHead(),
		endAt: entries[len(entries)-1].GetAtS(), routerDowntimes: map[string][]span{}, Violations: []Violation{}}
	last := 0.0
	for i, e := range entries {
		if e.GetAtS() < last || math.IsNaN(e.GetAtS()) {
			return nil, fmt.Errorf("rules: entry %d at %v s comes after one at %v s", i, e.GetAtS(), last)
		}
		last = e.GetAtS()
		if ev := e.GetRouter(); ev != nil {
			spans := r.routerDowntimes[ev.GetRouter()]
			if ev.GetUp() && len(spans) > 0 {
				spans[len(spans)-1].to = e.GetAtS()
			} else if !ev.GetUp() {
				spans = append(spans, span{e.GetAtS(), math.Inf(1)})
			}
			r.routerDowntimes[ev.GetRouter()] = spans
		}
	}
	clients := r.collectAttempts()
	r.checkAnswers(clients)
	r.checkEffects(clients)
	r.checkDrains()
	r.checkColdEngines()
	r.checkHeldResources()
	sort.SliceStable(r.Violations, func(i, j int) bool { return r.Violations[i].At < r.Violations[j].At })
	return r, nil
}

func (r *Report) addViolation(rule Rule, at float64, exchange, format string, a ...any) {
	r.Violations = append(r.Violations, Violation{rule, rule.String(), at, exchange, fmt.Sprintf(format, a...)})
}

// killed tells whether a router was down at any time from, to.
func (r *Report) routerWasDown(router string, from, to float64) bool {
	for _, s := range r.routerDowntimes[router] {
		if s.from <= to && s.to >= from {
			return true
		}
	}
	return false
}

// try is one completion as its client saw it.
type attempt struct {
	id, firstID    int64
	router         string
	key            string
	workload       int
	timeout        float64
	streamed       bool
	promptTokens   float64
	sentAt         float64
	firstTokenAt   float64 // of its first token, +Inf
	lastEventAt    float64 // of the last thing that happened
	finalAnswers   []finalAnswer
	clientLeft     bool
	clientTimedOut bool
	connectionCut  bool
	dataAfterFinal string
	noConnection   bool // nothing was taken
	outputTokens   float64
}

type finalAnswer struct {
	kind       pb.ClientEvent_Kind
	at         float64
	status     int32
	completion string // the completion's, as the router gave it
}

// clients gathers the tries in the order of their sending.
func (r *Report) collectAttempts() []*attempt {
	byID, all := map[int64]*attempt{}, []*attempt(nil)
	for _, e := range r.entries {
		c := e.GetClient()
		if c == nil {
			continue
		}
		t := byID[c.GetCompletion()]
		if t == nil {
			t = &attempt{id: c.GetCompletion(), firstTokenAt: math.Inf(1), sentAt: e.GetAtS()}
			byID[t.id] = t
			all = append(all, t)
		}
		t.lastEventAt = e.GetAtS()
		switch c.GetKind() {
		case pb.ClientEvent_SENT:
			t.firstID, t.router, t.key, t.workload = c.GetFirstTry(), c.GetRouter(), c.GetKey(), int(c.GetWorkload())
			t.timeout, t.streamed, t.promptTokens = c.GetTimeoutS(), c.GetStreamed(), float64(c.GetPromptTokens())
		case pb.ClientEvent_FIRST:
			t.firstTokenAt = e.GetAtS()
		case pb.ClientEvent_FINISHED, pb.ClientEvent_RATE_LIMITED, pb.ClientEvent_ABORTED, pb.ClientEvent_REFUSED:
			t.finalAnswers = append(t.finalAnswers, finalAnswer{c.GetKind(), e.GetAtS(), c.GetStatus(), c.GetDetail()})
			t.outputTokens = float64(c.GetAnswerTokens())
		case pb.ClientEvent_LEFT:
			t.clientLeft = true
		case pb.ClientEvent_GAVE_UP:
			t.clientTimedOut = true
		case pb.ClientEvent_CUT:
			t.connectionCut = true
		case pb.ClientEvent_AFTER:
			t.dataAfterFinal = c.GetDetail()
		case pb.ClientEvent_NO_CONNECTION:
			t.noConnection = true
		}
	}
	return all
}

// answers checks that each try that was taken has one final answer before its client timeout, and counts.
func (r *Report) checkAnswers(tries []*attempt) {
	r.Workloads = make([]WorkloadStats, len(r.head.GetWorkloads()))
	for i, w := range r.head.GetWorkloads() {
		r.Workloads[i].Name = w.GetName()
	}
	served, asked := map[int64]float64{}, map[int64]float64{}
	var order []*attempt
	for _, t := range tries {
		if t.workload < 0 || t.workload >= len(r.Workloads) {
			r.addViolation(OneAnswer, t.sentAt, exchangeName(t), "of a workload that is not in the head")
			continue
		}
		w, set := &r.Workloads[t.workload], r.head.GetWorkloads()[t.workload]
		value := set.GetValue() * (t.promptTokens + t.outputTokens) / r.head.GetValueUnitTokens()
		if t.firstID == t.id {
			order = append(order, t)
		}
		asked[t.firstID] = max(asked[t.firstID], value)
		if t.noConnection {
			continue
		}
		w.Accepted++
		r.Checked[OneAnswer]++
		r.checkAnswer(t)
		if t.clientLeft {
			w.ClientLeft++
		}
		if len(t.finalAnswers) == 0 {
			continue
		}
		switch t.finalAnswers[0].kind {
		case pb.ClientEvent_FINISHED:
			w.Finished++
			first := t.firstTokenAt
			if !t.streamed {
				first = t.finalAnswers[0].at
			}
			if first-t.sentAt > set.GetLatencyTargetS()+set.GetLatencyTargetSPer_1000Tokens()*t.promptTokens/1000 {
				w.Late++
			} else {
				served[t.firstID] = value
			}
		case pb.ClientEvent_RATE_LIMITED:
			w.RateLimited++
		case pb.ClientEvent_ABORTED:
			w.Aborted++
		}
	}
	for _, t := range order {
		r.Workloads[t.workload].OfferedValue += asked[t.id]
		r.Workloads[t.workload].ServedValue += served[t.id]
	}
}

func exchangeName(t *attempt) string {
	return fmt.Sprintf("client's completion %d at %s", t.id, t.router)
}

func (r *Report) checkAnswer(t *attempt) {
	began := t.streamed && t.firstTokenAt-t.sentAt <= t.timeout
	dead := r.routerWasDown(t.router, t.sentAt, t.lastEventAt)
	switch n := len(t.finalAnswers); {
	case n > 1:
		r.addViolation(OneAnswer, t.finalAnswers[1].at, exchangeName(t), "%d final answers: %v, then %v", n, t.finalAnswers[0].kind, t.finalAnswers[1].kind)
	case t.dataAfterFinal != "":
		r.addViolation(OneAnswer, t.lastEventAt, exchangeName(t), "after the final answer came %q", t.dataAfterFinal)
	case n == 1 && !began && t.finalAnswers[0].at-t.sentAt > t.timeout:
		r.addViolation(OneAnswer, t.finalAnswers[0].at, exchangeName(t), "%v after %.3f s, the client timeout is %.3f s", t.finalAnswers[0].kind, t.finalAnswers[0].at-t.sentAt, t.timeout)
	case n == 1, t.clientLeft, dead:
	case t.clientTimedOut:
		r.addViolation(OneAnswer, t.lastEventAt, exchangeName(t), "no final answer within the client timeout of %.3f s", t.timeout)
	case t.connectionCut:
		r.addViolation(OneAnswer, t.lastEventAt, exchangeName(t), "the connection ended without a final answer")
	default:
		r.addViolation(OneAnswer, r.endAt, exchangeName(t), "no final answer until the record's end")
	}
}

// effects checks that nothing ran twice that must not, and that nobody was told to try again what had run.
func (r *Report) checkEffects(tries []*attempt) {
	type effect struct {
		runs []*pb.Entry
	}
	byKey, byName, keys := map[string]*effect{}, map[string]*pb.Entry{}, []string(nil)
	for _, e := range r.entries {
		ev := e.GetEngine()
		if ev.GetKind() != pb.EngineEvent_RAN {
			continue
		}
		byName[ev.GetCompletion()] = e
		if r.effectOf(int(ev.GetWorkload())) == pb.Effect_IDEMPOTENT {
			continue
		}
		if byKey[ev.GetKey()] == nil {
			byKey[ev.GetKey()] = &effect{}
			keys = append(keys, ev.GetKey())
		}
		byKey[ev.GetKey()].runs = append(byKey[ev.GetKey()].runs, e)
	}
	for _, key := range keys {
		r.Checked[NoEffectTwice]++
		if runs := byKey[key].runs; len(runs) > 1 {
			r.addViolation(NoEffectTwice, runs[1].GetAtS(), "key "+key, "ran at %s (dispatch %s) and at %s (dispatch %s)",
				runs[0].GetEngine().GetEngine(), runs[0].GetEngine().GetDispatch(), runs[1].GetEngine().GetEngine(), runs[1].GetEngine().GetDispatch())
		}
	}
	for _, t := range tries {
		for _, f := range t.finalAnswers {
			ran := byName[f.completion]
			if f.kind == pb.ClientEvent_RATE_LIMITED && f.completion != "" && ran != nil && r.effectOf(t.workload) == pb.Effect_NON_IDEMPOTENT {
				r.addViolation(NoEffectTwice, f.at, exchangeName(t), "rate-limited, but dispatch %s ran", ran.GetEngine().GetDispatch())
			}
		}
	}
}

func (r *Report) effectOf(work int) pb.Effect {
	if work < 0 || work >= len(r.head.GetWorkloads()) {
		return pb.Effect_NON_IDEMPOTENT
	}
	return r.head.GetWorkloads()[work].GetEffect()
}

// drains checks that nothing new came to an engine past the grace after its router was told that it drains
// or is gone.
func (r *Report) checkDrains() {
	since := map[string]float64{} // when the present run of not-ready news began, by router and engine
	for _, e := range r.entries {
		if l := e.GetList(); l != nil {
			pair := l.GetRouter() + " " + l.GetEngine()
			if l.GetPhase() == 1 {
				delete(since, pair)
			} else if _, told := since[pair]; !told {
				since[pair] = e.GetAtS()
			}
		}
		if ev := e.GetEngine(); ev.GetKind() == pb.EngineEvent_ARRIVED {
			r.Checked[DrainsRespected]++
			if at, told := since[ev.GetPeer()+" "+ev.GetEngine()]; told && e.GetAtS()-at > r.head.GetDrainGraceS() {
				r.addViolation(DrainsRespected, e.GetAtS(), "dispatch "+ev.GetDispatch(), "%s sent it to %s %.3f s after being told, the grace is %.3f s",
					ev.GetPeer(), ev.GetEngine(), e.GetAtS()-at, r.head.GetDrainGraceS())
			}
		}
	}
}

// cold checks that no cold engine was sent more than it can bear by routers that knew of its start.
func (r *Report) checkColdEngines() {
	c := r.head.GetCold()
	type arrival struct {
		at, work float64
		told     bool
	}
	type life struct {
		start float64
		sent  []arrival
	}
	lives, heard := map[string]*life{}, map[string]bool{}
	if c.GetFallWindowS() <= 0 {
		return
	}
	for _, e := range r.entries {
		at := e.GetAtS()
		if l := e.GetList(); l != nil && l.GetPhase() == 1 {
			// A start that is told counts for the present life if it is younger than it, give or take a tick.
			if now := lives[l.GetEngine()]; now != nil && l.GetStartedS() >= 0 && at-l.GetStartedS() >= now.start-0.05 {
				heard[l.GetRouter()+" "+l.GetEngine()] = true
			}
		}
		ev := e.GetEngine()
		switch ev.GetKind() {
		case pb.EngineEvent_UP:
			delete(lives, ev.GetEngine())
			if ev.GetCold() {
				lives[ev.GetEngine()] = &life{start: at}
				for pair := range heard { // order does not matter: all of the engine's go
					if len(pair) > len(ev.GetEngine()) && pair[len(pair)-len(ev.GetEngine())-1:] == " "+ev.GetEngine() {
						delete(heard, pair)
					}
				}
			}
		case pb.EngineEvent_ARRIVED:
			l := lives[ev.GetEngine()]
			if l == nil {
				continue
			}
			share := 1.0
			if c.GetWarmS() > 0 {
				share = min(1, c.GetStartShare()+(1-c.GetStartShare())*(at-l.start)/c.GetWarmS())
			}
			if share >= 1 {
				continue
			}
			r.Checked[ColdNotOverloaded]++
			l.sent = append(l.sent, arrival{at, ev.GetWorkS(), heard[ev.GetPeer()+" "+ev.GetEngine()]})
			sum, known := 0.0, 0.0
			for _, a := range l.sent {
				if at-a.at <= c.GetFallWindowS() {
					sum += a.work
					if a.told {
						known += a.work
					}
				}
			}
			if limit := c.GetFallMultiple() * share * c.GetFallWindowS(); sum > limit && known >= 2*sum/3 {
				r.addViolation(ColdNotOverloaded, at, "dispatch "+ev.GetDispatch(), "%s got %.2f s of work in %.1f s, %.2f s is the most at its age of %.1f s",
					ev.GetEngine(), sum, c.GetFallWindowS(), limit, at-l.start)
				l.sent = nil
			}
		}
	}
}

// pinned checks that no state and no place stays held past the limit while no dispatch of its completion is
// out. Time in which the engine is deaf does not count: nobody could tell it; nor what a router held that was
// killed.
func (r *Report) checkHeldResources() {
	type held struct {
		at                           float64
		engine, dispatch, completion string
	}
	open, done := map[string]held{}, []held(nil)
	ends := map[string]float64{}                             // by engine and dispatch of a done one, in done's order
	out := map[string][]span{}                               // dispatches by completion
	running := map[string]int{}                              // index into out, by engine and dispatch
	off, routers := map[string][]span{}, map[string]string{} // off: by engine and why, since it may be down and deaf at once
	var order []string
	for _, e := range r.entries {
		ev, at := e.GetEngine(), e.GetAtS()
		id := ev.GetEngine() + " " + ev.GetDispatch()
		switch ev.GetKind() {
		case pb.EngineEvent_ARRIVED:
			running[id] = len(out[ev.GetCompletion()])
			out[ev.GetCompletion()] = append(out[ev.GetCompletion()], span{at, math.Inf(1)})
			routers[ev.GetCompletion()] = ev.GetPeer()
		case pb.EngineEvent_ENDED:
			if i, known := running[id]; known {
				out[ev.GetCompletion()][i].to = at
			}
		case pb.EngineEvent_STATE_HELD, pb.EngineEvent_PLACE_HELD:
			open[id] = held{at, ev.GetEngine(), ev.GetDispatch(), ev.GetCompletion()}
			order = append(order, id)
		case pb.EngineEvent_STATE_TAKEN, pb.EngineEvent_STATE_RELEASED, pb.EngineEvent_STATE_LOST, pb.EngineEvent_STATE_EXPIRED,
			pb.EngineEvent_PLACE_TAKEN, pb.EngineEvent_PLACE_RELEASED:
			if _, known := open[id]; known {
				ends[id] = at
			}
		case pb.EngineEvent_DEAF, pb.EngineEvent_DOWN:
			key := ev.GetEngine() + unreachableReason(ev)
			off[key] = append(off[key], span{at, math.Inf(1)})
		case pb.EngineEvent_HEARS, pb.EngineEvent_UP:
			spans := off[ev.GetEngine()+unreachableReason(ev)]
			for i := range spans {
				spans[i].to = min(spans[i].to, at)
			}
		}
	}
	for _, id := range order {
		done = append(done, open[id])
	}
	for i, h := range done {
		end, ended := ends[order[i]]
		if !ended {
			end = r.endAt
		}
		r.Checked[NothingHeldPastLimit]++
		if r.routerWasDown(routers[h.completion], h.at, end) {
			continue
		}
		busy := slices.Concat(out[h.completion], off[h.engine+reasonDown], off[h.engine+reasonDeafTo], off[h.engine+reasonDeafTo+routers[h.completion]])
		if from, gap := longestGap(h.at, end, busy); gap > r.head.GetLetGoS() {
			r.addViolation(NothingHeldPastLimit, from, "dispatch "+h.dispatch, "held at %s for %.3f s while nothing was out, the limit is %.3f s",
				h.engine, gap, r.head.GetLetGoS())
		}
	}
}

// longestGap is the longest stretch from, to that no span covers.
func longestGap(from, to float64, spans []span) (at, gap float64) {
	sort.Slice(spans, func(i, j int) bool { return spans[i].from < spans[j].from })
	free := from
	for _, s := range spans {
		if s.from > free {
			if g := min(s.from, to) - free; g > gap {
				at, gap = free, g
			}
		}
		free = max(free, s.to)
	}
	if to-free > gap {
		at, gap = free, to-free
	}
	return at, gap
}
