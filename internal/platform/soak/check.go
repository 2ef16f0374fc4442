package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cherryhub/internal/platform/standin"
)

// Rule is one of those that a play is held to.
type Rule string

// The rules.
const (
	RuleAnswer  Rule = "one final answer in time"
	RuleEffect  Rule = "no effect twice"
	RuleDrain   Rule = "nothing new to a draining engine"
	RuleHeld    Rule = "nothing held past its limit"
	RuleLeft    Rule = "no attempt after its client left"
	RuleUsage   Rule = "limits of the process"
	RuleStalled Rule = "an error or an end for a client that stops in its request"
	RuleCrash   Rule = "no crash"
)

// The limits of the rules, with their slack.
const (
	maxHeld         = holdingLimit + 300*time.Millisecond + timingTolerance
	answerTolerance = 500 * time.Millisecond
	drainTolerance  = time.Second + timingTolerance
	leaveTolerance  = 100*time.Millisecond + timingTolerance
	timingTolerance = 50 * time.Millisecond
	loadTolerance   = 100 * time.Millisecond // of this machine, which plays routers, engines and clients at once
	maxMemoryBytes  = 192 << 20
	maxThreads      = 64
)

// Break is one broken rule.
type Violation struct {
	Rule   Rule
	ID     string // of the request, empty where none is meant
	Detail string
	At     time.Time
}

// Judge holds a record to the rules, and tells the longest time for which something was held while nothing was out.
func CheckRules(r *Record) (breaks []Violation, longest time.Duration) {
	j := &checker{Record: r, calls: map[string][]standin.Call{}, requests: map[string]*ClientRequest{}}
	for _, c := range r.Calls {
		j.calls[c.ID] = append(j.calls[c.ID], c)
	}
	for i := range r.Requests {
		one := &r.Requests[i]
		j.requests[one.ID] = one
		j.checkAnswer(one)
		j.checkClientLeft(one)
		j.checkStalled(one)
		j.checkSingleEffect(one)
	}
	j.checkDrain()
	for _, h := range r.Holds {
		j.checkHold(h)
	}
	for i := range r.Processes {
		j.checkProcess(&r.Processes[i])
	}
	slices.SortFunc(j.violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return j.violations, j.longestHeld
}

type checker struct {
	*Record
	calls      map[string][]standin.Call // by request
	requests   map[string]*ClientRequest
	violations []Violation

	longestHeld time.Duration // that something was held while nothing was out
}

func (j *checker) addViolation(rule Rule, id string, at time.Time, format string, a ...any) {
	j.violations = append(j.violations, Violation{rule, id, fmt.Sprintf(format, a...), at})
}

// isAttempt tells whether a call is one at a request, and no place, release or probe.
func isAttempt(c *standin.Call) bool { return c.Kind == standin.Read || c.Kind == standin.Write }

// attempts are a request's, which arrived at a running engine.
func (j *checker) attempts(id string) (all []standin.Call) {
	for _, c := range j.calls[id] {
		if isAttempt(&c) {
			all = append(all, c)
		}
	}
	return all
}

// life is the process that had a request, nil for none.
func (j *checker) processAt(router int, at time.Time) *ProcessRecord {
	for i := range j.Processes {
		l := &j.Processes[i]
		if l.Router == router && !at.Before(l.Started) && (l.Ended.IsZero() || !at.After(l.Ended)) {
			return l
		}
	}
	return nil
}

// answer: each request that a router took has one final answer in time. What was not taken has no attempt: its connection
// ended, or was never accepted.
func (j *checker) checkAnswer(one *ClientRequest) {
	if !one.Left.IsZero() {
		return
	}
	life := j.processAt(one.Router, one.Sent)
	killed := life != nil && !life.Killed.IsZero() && life.Terminated.IsZero()
	switch late := one.FirstByte.Sub(one.Sent) - one.Timeout; {
	case one.Answers > 1:
		j.addViolation(RuleAnswer, one.ID, one.FirstByte, "%d answers", one.Answers)
	case one.Answers == 0 && len(j.attempts(one.ID)) > 0 && !killed:
		j.addViolation(RuleAnswer, one.ID, one.Sent, "no answer, though it was sent on: %v", one.Err)
	case one.Answers == 0 && !killed && life != nil && life.Terminated.IsZero() && !j.Scenario.limitsDescriptors():
		j.addViolation(RuleAnswer, one.ID, one.Sent, "no answer, from a router that was not told to end: %v", one.Err)
	case one.Answers == 1 && late > answerTolerance+loadTolerance:
		j.addViolation(RuleAnswer, one.ID, one.FirstByte, "answered %v after its deadline", late)
	}
}

// left: no attempt begins after the client closed its connection.
func (j *checker) checkClientLeft(one *ClientRequest) {
	if one.Left.IsZero() || j.Scenario.delaysCalls() {
		return
	}
	for _, c := range j.attempts(one.ID) {
		if after := c.Received.Sub(one.Left); after > leaveTolerance+loadTolerance {
			j.addViolation(RuleLeft, one.ID, c.Received, "%s at %s begins %v after its client left", c.Kind, c.Engine, after)
		}
	}
}

// stalled: a client that stops in the middle of its request gets an error or the connection's end in time, and nothing of it is sent
// on.
func (j *checker) checkStalled(one *ClientRequest) {
	if one.StallWait == 0 {
		return
	}
	if attempts := j.attempts(one.ID); len(attempts) > 0 {
		j.addViolation(RuleStalled, one.ID, attempts[0].Received, "sent to %s, though it was not whole", attempts[0].Engine)
	}
	if one.StallWait > stallTimeout+timingTolerance+loadTolerance && !j.Scenario.limitsDescriptors() {
		j.addViolation(RuleStalled, one.ID, one.Sent, "neither an error nor an end for %v", one.StallWait.Round(time.Millisecond))
	}
}

// effect: a request that must not be repeated is written once, unless the engine said that it did not run.
func (j *checker) checkSingleEffect(one *ClientRequest) {
	if one.Class != classSingleShot {
		return
	}
	var ran []string
	for _, c := range j.attempts(one.ID) {
		if c.Kind == standin.Write && !c.NotRun {
			ran = append(ran, c.Engine)
		}
	}
	if len(ran) > 1 {
		j.addViolation(RuleEffect, one.ID, one.Sent, "written at %s", strings.Join(ran, " and "))
	}
	if len(ran) > 0 && (one.Status == 429 || one.Status == 503) {
		j.addViolation(RuleEffect, one.ID, one.FirstByte, "refused with %d after it was written at %s", one.Status, ran[0])
	}
}

// drain: nothing new is sent to an engine past the grace after the routers were told.
func (j *checker) checkDrain() {
	if j.Scenario.delaysCalls() {
		return
	}
	for _, c := range j.Calls {
		one := j.requests[c.ID]
		if one == nil || !isAttempt(&c) && c.Kind != standin.Reserve {
			continue
		}
		if told, drains := j.DrainAnnounced[RouterEngine{one.Router, c.Engine}]; drains {
			if after := c.Received.Sub(told); after > drainTolerance+loadTolerance {
				j.addViolation(RuleDrain, c.ID, c.Received, "%s at %s, %v after it was told to drain", c.Kind, c.Engine, after)
			}
		}
	}
}

// held: no state or place is held past its limit in one stretch in which no attempt is at an engine that runs, by the strictest
// reading (standin.Call.Ran). What the router's process left behind when it ended is not counted.
func (j *checker) checkHold(h standin.Hold) {
	to := h.To
	if one := j.requests[h.ID]; one != nil {
		if life := j.processAt(one.Router, one.Sent); life != nil && !life.Ended.IsZero() && life.Ended.Before(to) {
			to = life.Ended
		}
	}
	attempts := j.attempts(h.ID)
	slices.SortFunc(attempts, func(a, b standin.Call) int { return a.Received.Compare(b.Received) })
	free := h.From // nothing is out since then
	longest, since := time.Duration(0), h.From
	for _, c := range attempts {
		from, over, ran := c.RunSpan()
		if !ran {
			continue
		}
		if span := from.Sub(free); span > longest && from.Before(to) {
			longest, since = span, free
		}
		if over.IsZero() {
			over = to
		}
		if over.After(free) {
			free = over
		}
	}
	if span := to.Sub(free); span > longest {
		longest, since = span, free
	}
	j.longestHeld = max(j.longestHeld, longest)
	if longest > maxHeld+loadTolerance {
		j.addViolation(RuleHeld, h.ID, since, "held at %s for %v while nothing was out, from %v of the play on", h.Engine,
			longest.Round(time.Millisecond), since.Sub(j.Started).Round(time.Millisecond))
	}
}

// process: a router's process does not end by itself but after SIGTERM, and keeps its limits.
func (j *checker) checkProcess(l *ProcessRecord) {
	if !l.Ended.IsZero() && l.Terminated.IsZero() && l.Killed.IsZero() {
		j.addViolation(RuleCrash, "", l.Ended, "router %d ended by itself: %v", l.Router, l.Err)
	}
	if l.Err != nil && l.Killed.IsZero() && !l.Terminated.IsZero() {
		j.addViolation(RuleCrash, "", l.Ended, "router %d ended badly after SIGTERM: %v", l.Router, l.Err)
	}
	if u := l.Usage; u.Descriptors > maxSockets || u.MemoryBytes > maxMemoryBytes || u.Threads > maxThreads {
		j.addViolation(RuleUsage, "", l.Ended, "router %d: %d descriptors, %d MB, %d threads", l.Router, u.Descriptors, u.MemoryBytes>>20, u.Threads)
	}
}
