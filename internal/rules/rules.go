// Package rules checks the record of a day against the five rules. It relies only on what engines, the list
// service and clients observed on their own sockets, never on what a router reports. It does no I/O. cmd/cherryhub
// and tests of several packages use it.
package rules

import (
	"fmt"
	"math"
	"slices"
	"sort"

	pb "cherryhub/proto"
)

// Rule is one of the five rules.
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

// Violation is a violation of a rule, with the exchange that caused it.
type Violation struct {
	Rule     Rule    `json:"-"`
	Name     string  `json:"rule"`
	At       float64 `json:"at_s"`
	Exchange string  `json:"exchange"`
	Message  string  `json:"text"`
}

// WorkloadStats counts the outcomes of a workload's completions. Each attempt of a client is counted, but the
// value of its completion only once.
type WorkloadStats struct {
	Name         string  `json:"workload"`
	Accepted     int     `json:"taken"` // attempts that a router answered or had to answer
	Finished     int     `json:"finished"`
	RateLimited  int     `json:"rate_limited"`
	Aborted      int     `json:"aborted"`
	ClientLeft   int     `json:"left"`
	Late         int     `json:"late"` // finished with the first token past the latency target
	OfferedValue float64 `json:"value_asked"`
	ServedValue  float64 `json:"value_served"` // finished within the latency target, by any attempt
}

// Report is the result of checking a record.
type Report struct {
	Day             string          `json:"day"`
	Workloads       []WorkloadStats `json:"workloads"`
	Violations      []Violation     `json:"breaches"`
	Checked         [ruleCount]int  `json:"checked"` // number of exchanges checked against each rule
	entries         []*pb.Entry
	head            *pb.Head
	endAt           float64
	routerDowntimes map[string][]span // by router
}

// span is a period of time. Its end is +Inf while it lasts.
type span struct{ from, to float64 }

// Passed reports whether the record has no violation of the rule.
func (r *Report) Passed(rule Rule) bool {
	for _, v := range r.Violations {
		if v.Rule == rule {
			return false
		}
	}
	return true
}

// AllRules returns all rules.
func AllRules() (all []Rule) {
	for r := range ruleCount {
		all = append(all, r)
	}
	return all
}

// Check checks a complete record, as returned by record.Read.
func Check(entries []*pb.Entry) (*Report, error) {
	if len(entries) < 2 || entries[0].GetHead() == nil {
		return nil, fmt.Errorf("rules: record of %d entries has no head", len(entries))
	}
	r := &Report{Day: entries[0].GetHead().GetDay(), entries: entries, head: entries[0].GetHead(),
		endAt: entries[len(entries)-1].GetAtS(), routerDowntimes: map[string][]span{}, Violations: []Violation{}}
	last := 0.0
	for i, e := range entries {
		if e.GetAtS() < last || math.IsNaN(e.GetAtS()) {
			return nil, fmt.Errorf("rules: entry %d at %v s follows an entry at %v s", i, e.GetAtS(), last)
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
	attempts := r.collectAttempts()
	r.checkAnswers(attempts)
	r.checkEffects(attempts)
	r.checkDrains()
	r.checkColdEngines()
	r.checkHeldResources()
	sort.SliceStable(r.Violations, func(i, j int) bool { return r.Violations[i].At < r.Violations[j].At })
	return r, nil
}

func (r *Report) addViolation(rule Rule, at float64, exchange, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{rule, rule.String(), at, exchange, fmt.Sprintf(format, args...)})
}

// routerWasDown reports whether a router was down at any time between from and to.
func (r *Report) routerWasDown(router string, from, to float64) bool {
	for _, s := range r.routerDowntimes[router] {
		if s.from <= to && s.to >= from {
			return true
		}
	}
	return false
}

// attempt is one attempt at a completion as its client observed it.
type attempt struct {
	id, firstID    int64
	router         string
	key            string
	workload       int
	timeout        float64
	streamed       bool
	promptTokens   float64
	sentAt         float64
	firstTokenAt   float64 // +Inf if no token was received
	lastEventAt    float64
	finalAnswers   []finalAnswer
	clientLeft     bool
	clientTimedOut bool
	connectionCut  bool
	dataAfterFinal string
	noConnection   bool // no router accepted the attempt
	outputTokens   float64
}

type finalAnswer struct {
	kind       pb.ClientEvent_Kind
	at         float64
	status     int32
	completion string // the router's name for the completion, empty if unknown
}

// collectAttempts returns the attempts in the order in which they were sent.
func (r *Report) collectAttempts() []*attempt {
	byID, all := map[int64]*attempt{}, []*attempt(nil)
	for _, e := range r.entries {
		ev := e.GetClient()
		if ev == nil {
			continue
		}
		a := byID[ev.GetCompletion()]
		if a == nil {
			a = &attempt{id: ev.GetCompletion(), firstTokenAt: math.Inf(1), sentAt: e.GetAtS()}
			byID[a.id] = a
			all = append(all, a)
		}
		a.lastEventAt = e.GetAtS()
		switch ev.GetKind() {
		case pb.ClientEvent_SENT:
			a.firstID, a.router, a.key, a.workload = ev.GetFirstTry(), ev.GetRouter(), ev.GetKey(), int(ev.GetWorkload())
			a.timeout, a.streamed, a.promptTokens = ev.GetTimeoutS(), ev.GetStreamed(), float64(ev.GetPromptTokens())
		case pb.ClientEvent_FIRST:
			a.firstTokenAt = e.GetAtS()
		case pb.ClientEvent_FINISHED, pb.ClientEvent_RATE_LIMITED, pb.ClientEvent_ABORTED, pb.ClientEvent_REFUSED:
			a.finalAnswers = append(a.finalAnswers, finalAnswer{ev.GetKind(), e.GetAtS(), ev.GetStatus(), ev.GetDetail()})
			a.outputTokens = float64(ev.GetAnswerTokens())
		case pb.ClientEvent_LEFT:
			a.clientLeft = true
		case pb.ClientEvent_GAVE_UP:
			a.clientTimedOut = true
		case pb.ClientEvent_CUT:
			a.connectionCut = true
		case pb.ClientEvent_AFTER:
			a.dataAfterFinal = ev.GetDetail()
		case pb.ClientEvent_NO_CONNECTION:
			a.noConnection = true
		}
	}
	return all
}

// checkAnswers checks that each accepted attempt has exactly one final answer before its client timeout, and fills
// in the workload statistics.
func (r *Report) checkAnswers(attempts []*attempt) {
	r.Workloads = make([]WorkloadStats, len(r.head.GetWorkloads()))
	for i, w := range r.head.GetWorkloads() {
		r.Workloads[i].Name = w.GetName()
	}
	servedValues, offeredValues := map[int64]float64{}, map[int64]float64{}
	var firstAttempts []*attempt
	for _, a := range attempts {
		if a.workload < 0 || a.workload >= len(r.Workloads) {
			r.addViolation(OneAnswer, a.sentAt, exchangeName(a), "its workload is not in the head of the record")
			continue
		}
		stats, workload := &r.Workloads[a.workload], r.head.GetWorkloads()[a.workload]
		value := workload.GetValue() * (a.promptTokens + a.outputTokens) / r.head.GetValueUnitTokens()
		if a.firstID == a.id {
			firstAttempts = append(firstAttempts, a)
		}
		offeredValues[a.firstID] = max(offeredValues[a.firstID], value)
		if a.noConnection {
			continue
		}
		stats.Accepted++
		r.Checked[OneAnswer]++
		r.checkAnswer(a)
		if a.clientLeft {
			stats.ClientLeft++
		}
		if len(a.finalAnswers) == 0 {
			continue
		}
		switch a.finalAnswers[0].kind {
		case pb.ClientEvent_FINISHED:
			stats.Finished++
			firstTokenAt := a.firstTokenAt
			if !a.streamed {
				firstTokenAt = a.finalAnswers[0].at
			}
			if firstTokenAt-a.sentAt > workload.GetLatencyTargetS()+workload.GetLatencyTargetSPer_1000Tokens()*a.promptTokens/1000 {
				stats.Late++
			} else {
				servedValues[a.firstID] = value
			}
		case pb.ClientEvent_RATE_LIMITED:
			stats.RateLimited++
		case pb.ClientEvent_ABORTED:
			stats.Aborted++
		}
	}
	for _, a := range firstAttempts {
		r.Workloads[a.workload].OfferedValue += offeredValues[a.id]
		r.Workloads[a.workload].ServedValue += servedValues[a.id]
	}
}

func exchangeName(a *attempt) string {
	return fmt.Sprintf("client's completion %d at %s", a.id, a.router)
}

func (r *Report) checkAnswer(a *attempt) {
	startedInTime := a.streamed && a.firstTokenAt-a.sentAt <= a.timeout
	routerDown := r.routerWasDown(a.router, a.sentAt, a.lastEventAt)
	switch n := len(a.finalAnswers); {
	case n > 1:
		r.addViolation(OneAnswer, a.finalAnswers[1].at, exchangeName(a), "%d final answers: %v, then %v", n, a.finalAnswers[0].kind, a.finalAnswers[1].kind)
	case a.dataAfterFinal != "":
		r.addViolation(OneAnswer, a.lastEventAt, exchangeName(a), "data after the final answer: %q", a.dataAfterFinal)
	case n == 1 && !startedInTime && a.finalAnswers[0].at-a.sentAt > a.timeout:
		r.addViolation(OneAnswer, a.finalAnswers[0].at, exchangeName(a), "%v after %.3f s, the client timeout is %.3f s", a.finalAnswers[0].kind, a.finalAnswers[0].at-a.sentAt, a.timeout)
	case n == 1, a.clientLeft, routerDown:
	case a.clientTimedOut:
		r.addViolation(OneAnswer, a.lastEventAt, exchangeName(a), "no final answer within the client timeout of %.3f s", a.timeout)
	case a.connectionCut:
		r.addViolation(OneAnswer, a.lastEventAt, exchangeName(a), "the connection ended without a final answer")
	default:
		r.addViolation(OneAnswer, r.endAt, exchangeName(a), "no final answer by the end of the record")
	}
}

// checkEffects checks that no completion with side effects ran twice, and that no client was rate-limited, and so
// invited to retry, after its non-idempotent completion had run.
func (r *Report) checkEffects(attempts []*attempt) {
	type effect struct {
		runs []*pb.Entry
	}
	effectsByKey, runsByCompletion, keys := map[string]*effect{}, map[string]*pb.Entry{}, []string(nil)
	for _, e := range r.entries {
		ev := e.GetEngine()
		if ev.GetKind() != pb.EngineEvent_RAN {
			continue
		}
		runsByCompletion[ev.GetCompletion()] = e
		if r.effectOf(int(ev.GetWorkload())) == pb.Effect_IDEMPOTENT {
			continue
		}
		if effectsByKey[ev.GetKey()] == nil {
			effectsByKey[ev.GetKey()] = &effect{}
			keys = append(keys, ev.GetKey())
		}
		effectsByKey[ev.GetKey()].runs = append(effectsByKey[ev.GetKey()].runs, e)
	}
	for _, key := range keys {
		r.Checked[NoEffectTwice]++
		if runs := effectsByKey[key].runs; len(runs) > 1 {
			r.addViolation(NoEffectTwice, runs[1].GetAtS(), "key "+key, "ran at %s (dispatch %s) and at %s (dispatch %s)",
				runs[0].GetEngine().GetEngine(), runs[0].GetEngine().GetDispatch(), runs[1].GetEngine().GetEngine(), runs[1].GetEngine().GetDispatch())
		}
	}
	for _, a := range attempts {
		for _, answer := range a.finalAnswers {
			run := runsByCompletion[answer.completion]
			if answer.kind == pb.ClientEvent_RATE_LIMITED && answer.completion != "" && run != nil && r.effectOf(a.workload) == pb.Effect_NON_IDEMPOTENT {
				r.addViolation(NoEffectTwice, answer.at, exchangeName(a), "rate-limited, but dispatch %s ran", run.GetEngine().GetDispatch())
			}
		}
	}
}

func (r *Report) effectOf(workload int) pb.Effect {
	if workload < 0 || workload >= len(r.head.GetWorkloads()) {
		return pb.Effect_NON_IDEMPOTENT
	}
	return r.head.GetWorkloads()[workload].GetEffect()
}

// checkDrains checks that no router sent a dispatch to an engine later than the grace period after the list
// service notified that router that the engine is draining or gone.
func (r *Report) checkDrains() {
	notReadySince := map[string]float64{} // since when the list has said that the engine is not ready, by router and engine
	for _, e := range r.entries {
		if l := e.GetList(); l != nil {
			key := l.GetRouter() + " " + l.GetEngine()
			if l.GetPhase() == 1 {
				delete(notReadySince, key)
			} else if _, notReady := notReadySince[key]; !notReady {
				notReadySince[key] = e.GetAtS()
			}
		}
		if ev := e.GetEngine(); ev.GetKind() == pb.EngineEvent_ARRIVED {
			r.Checked[DrainsRespected]++
			if since, notReady := notReadySince[ev.GetPeer()+" "+ev.GetEngine()]; notReady && e.GetAtS()-since > r.head.GetDrainGraceS() {
				r.addViolation(DrainsRespected, e.GetAtS(), "dispatch "+ev.GetDispatch(), "%s sent it to %s %.3f s after learning that the engine is not ready, the grace period is %.3f s",
					ev.GetPeer(), ev.GetEngine(), e.GetAtS()-since, r.head.GetDrainGraceS())
			}
		}
	}
}

// checkColdEngines checks that no cold engine was overloaded by routers that knew of its start. An overload is a
// violation only if at least two thirds of the work came from routers that had been notified of the start.
func (r *Report) checkColdEngines() {
	cold := r.head.GetCold()
	type arrival struct {
		at, work   float64
		startKnown bool
	}
	type lifetime struct {
		startedAt float64
		arrivals  []arrival
	}
	lifetimes, startsKnown := map[string]*lifetime{}, map[string]bool{}
	if cold.GetFallWindowS() <= 0 {
		return
	}
	for _, e := range r.entries {
		at := e.GetAtS()
		if l := e.GetList(); l != nil && l.GetPhase() == 1 {
			// The reported age is that of the current lifetime if it implies no earlier start, within a tolerance of one
			// tick (0.05 s).
			if current := lifetimes[l.GetEngine()]; current != nil && l.GetStartedS() >= 0 && at-l.GetStartedS() >= current.startedAt-0.05 {
				startsKnown[l.GetRouter()+" "+l.GetEngine()] = true
			}
		}
		ev := e.GetEngine()
		switch ev.GetKind() {
		case pb.EngineEvent_UP:
			delete(lifetimes, ev.GetEngine())
			if ev.GetCold() {
				lifetimes[ev.GetEngine()] = &lifetime{startedAt: at}
				for key := range startsKnown { // the order does not matter: every entry of this engine is deleted
					if len(key) > len(ev.GetEngine()) && key[len(key)-len(ev.GetEngine())-1:] == " "+ev.GetEngine() {
						delete(startsKnown, key)
					}
				}
			}
		case pb.EngineEvent_ARRIVED:
			current := lifetimes[ev.GetEngine()]
			if current == nil {
				continue
			}
			capacityShare := 1.0
			if cold.GetWarmS() > 0 {
				capacityShare = min(1, cold.GetStartShare()+(1-cold.GetStartShare())*(at-current.startedAt)/cold.GetWarmS())
			}
			if capacityShare >= 1 {
				continue
			}
			r.Checked[ColdNotOverloaded]++
			current.arrivals = append(current.arrivals, arrival{at, ev.GetWorkS(), startsKnown[ev.GetPeer()+" "+ev.GetEngine()]})
			totalWork, knownWork := 0.0, 0.0
			for _, previous := range current.arrivals {
				if at-previous.at <= cold.GetFallWindowS() {
					totalWork += previous.work
					if previous.startKnown {
						knownWork += previous.work
					}
				}
			}
			if limit := cold.GetFallMultiple() * capacityShare * cold.GetFallWindowS(); totalWork > limit && knownWork >= 2*totalWork/3 {
				r.addViolation(ColdNotOverloaded, at, "dispatch "+ev.GetDispatch(), "%s received %.2f s of work within %.1f s, the limit is %.2f s at an age of %.1f s",
					ev.GetEngine(), totalWork, cold.GetFallWindowS(), limit, at-current.startedAt)
				current.arrivals = nil
			}
		}
	}
}

// checkHeldResources checks that no state and no reservation of KV cache space is held longer than the limit while
// no dispatch of its completion is running. Time in which the engine is unreachable does not count, because no
// release can arrive. Resources of a router that was killed meanwhile do not count either.
func (r *Report) checkHeldResources() {
	type held struct {
		since                        float64
		engine, dispatch, completion string
	}
	byID, all := map[string]held{}, []held(nil)
	endedAt := map[string]float64{}                                             // by engine and dispatch
	dispatches := map[string][]span{}                                           // by completion
	dispatchIndexes := map[string]int{}                                         // index into the completion's dispatches, by engine and dispatch
	unreachable, routerByCompletion := map[string][]span{}, map[string]string{} // unreachable: by engine and reason, since both reasons may hold at once
	var ids []string
	for _, e := range r.entries {
		ev, at := e.GetEngine(), e.GetAtS()
		id := ev.GetEngine() + " " + ev.GetDispatch()
		switch ev.GetKind() {
		case pb.EngineEvent_ARRIVED:
			dispatchIndexes[id] = len(dispatches[ev.GetCompletion()])
			dispatches[ev.GetCompletion()] = append(dispatches[ev.GetCompletion()], span{at, math.Inf(1)})
			routerByCompletion[ev.GetCompletion()] = ev.GetPeer()
		case pb.EngineEvent_ENDED:
			if index, known := dispatchIndexes[id]; known {
				dispatches[ev.GetCompletion()][index].to = at
			}
		case pb.EngineEvent_STATE_HELD, pb.EngineEvent_PLACE_HELD:
			byID[id] = held{at, ev.GetEngine(), ev.GetDispatch(), ev.GetCompletion()}
			ids = append(ids, id)
		case pb.EngineEvent_STATE_TAKEN, pb.EngineEvent_STATE_RELEASED, pb.EngineEvent_STATE_LOST, pb.EngineEvent_STATE_EXPIRED,
			pb.EngineEvent_PLACE_TAKEN, pb.EngineEvent_PLACE_RELEASED:
			if _, known := byID[id]; known {
				endedAt[id] = at
			}
		case pb.EngineEvent_DEAF, pb.EngineEvent_DOWN:
			key := ev.GetEngine() + unreachableReason(ev)
			unreachable[key] = append(unreachable[key], span{at, math.Inf(1)})
		case pb.EngineEvent_HEARS, pb.EngineEvent_UP:
			spans := unreachable[ev.GetEngine()+unreachableReason(ev)]
			for i := range spans {
				spans[i].to = min(spans[i].to, at)
			}
		}
	}
	for _, id := range ids {
		all = append(all, byID[id])
	}
	for i, hold := range all {
		end, ended := endedAt[ids[i]]
		if !ended {
			end = r.endAt
		}
		r.Checked[NothingHeldPastLimit]++
		if r.routerWasDown(routerByCompletion[hold.completion], hold.since, end) {
			continue
		}
		covered := slices.Concat(dispatches[hold.completion], unreachable[hold.engine+reasonDown], unreachable[hold.engine+reasonDeafTo], unreachable[hold.engine+reasonDeafTo+routerByCompletion[hold.completion]])
		if from, gap := longestGap(hold.since, end, covered); gap > r.head.GetLetGoS() {
			r.addViolation(NothingHeldPastLimit, from, "dispatch "+hold.dispatch, "held at %s for %.3f s without a running dispatch, the limit is %.3f s",
				hold.engine, gap, r.head.GetLetGoS())
		}
	}
}

// longestGap returns the start and length of the longest period between from and to that no span covers.
func longestGap(from, to float64, spans []span) (at, gap float64) {
	sort.Slice(spans, func(i, j int) bool { return spans[i].from < spans[j].from })
	uncoveredFrom := from
	for _, s := range spans {
		if s.from > uncoveredFrom {
			if length := min(s.from, to) - uncoveredFrom; length > gap {
				at, gap = uncoveredFrom, length
			}
		}
		uncoveredFrom = max(uncoveredFrom, s.to)
	}
	if to-uncoveredFrom > gap {
		at, gap = uncoveredFrom, to-uncoveredFrom
	}
	return at, gap
}
