package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cherryhub/internal/platform/standin"
)

// Rule is a rule that the routers must keep in a scenario.
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

// The limits of the rules, including tolerances.
const (
	maxHeld         = holdingLimit + 300*time.Millisecond + timingTolerance
	answerTolerance = 500 * time.Millisecond
	drainTolerance  = time.Second + timingTolerance
	leaveTolerance  = 100*time.Millisecond + timingTolerance
	timingTolerance = 50 * time.Millisecond
	loadTolerance   = 100 * time.Millisecond // routers, engines and clients share one machine
	maxMemoryBytes  = 192 << 20
	maxThreads      = 64
)

// Violation is a rule violation.
type Violation struct {
	Rule   Rule
	ID     string // of the request; empty: it concerns a router
	Detail string
	At     time.Time
}

// CheckRules checks a record against the rules. It returns the violations by time, and the longest time for which something was held while
// no attempt was running.
func CheckRules(r *Record) (violations []Violation, longestHeld time.Duration) {
	ch := &checker{Record: r, calls: map[string][]standin.Call{}, requests: map[string]*ClientRequest{}}
	for _, c := range r.Calls {
		ch.calls[c.ID] = append(ch.calls[c.ID], c)
	}
	for i := range r.Requests {
		req := &r.Requests[i]
		ch.requests[req.ID] = req
		ch.checkAnswer(req)
		ch.checkClientLeft(req)
		ch.checkStalled(req)
		ch.checkSingleEffect(req)
	}
	ch.checkDrain()
	for _, h := range r.Holds {
		ch.checkHold(h)
	}
	for i := range r.Processes {
		ch.checkProcess(&r.Processes[i])
	}
	slices.SortFunc(ch.violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return ch.violations, ch.longestHeld
}

type checker struct {
	*Record
	calls      map[string][]standin.Call // by request ID
	requests   map[string]*ClientRequest
	violations []Violation

	longestHeld time.Duration // for which something was held while no attempt was running
}

func (ch *checker) addViolation(rule Rule, id string, at time.Time, format string, a ...any) {
	ch.violations = append(ch.violations, Violation{rule, id, fmt.Sprintf(format, a...), at})
}

// isAttempt reports whether a call is a read or a write, rather than a reservation, release or probe.
func isAttempt(c *standin.Call) bool { return c.Kind == standin.Read || c.Kind == standin.Write }

// attempts returns the attempts of a request that arrived at an engine.
func (ch *checker) attempts(id string) (all []standin.Call) {
	for _, c := range ch.calls[id] {
		if isAttempt(&c) {
			all = append(all, c)
		}
	}
	return all
}

// processAt returns the router's process at a time, or nil if there was none.
func (ch *checker) processAt(router int, at time.Time) *ProcessRecord {
	for i := range ch.Processes {
		proc := &ch.Processes[i]
		if proc.Router == router && !at.Before(proc.Started) && (proc.Ended.IsZero() || !at.After(proc.Ended)) {
			return proc
		}
	}
	return nil
}

// checkAnswer checks that a request that a router accepted got one final answer in time. A request that was not accepted, as its connection
// ended or was never accepted, must have no attempt.
func (ch *checker) checkAnswer(req *ClientRequest) {
	if !req.Left.IsZero() {
		return
	}
	proc := ch.processAt(req.Router, req.Sent)
	killed := proc != nil && !proc.Killed.IsZero() && proc.Terminated.IsZero()
	switch late := req.FirstByte.Sub(req.Sent) - req.Timeout; {
	case req.Answers > 1:
		ch.addViolation(RuleAnswer, req.ID, req.FirstByte, "%d answers", req.Answers)
	case req.Answers == 0 && len(ch.attempts(req.ID)) > 0 && !killed:
		ch.addViolation(RuleAnswer, req.ID, req.Sent, "no answer, although it was sent to an engine: %v", req.Err)
	case req.Answers == 0 && !killed && proc != nil && proc.Terminated.IsZero() && !ch.Scenario.limitsDescriptors():
		ch.addViolation(RuleAnswer, req.ID, req.Sent, "no answer from a router that had not received SIGTERM: %v", req.Err)
	case req.Answers == 1 && late > answerTolerance+loadTolerance:
		ch.addViolation(RuleAnswer, req.ID, req.FirstByte, "answered %v after its timeout", late)
	}
}

// checkClientLeft checks that no attempt begins after the client closed its connection.
func (ch *checker) checkClientLeft(req *ClientRequest) {
	if req.Left.IsZero() || ch.Scenario.delaysCalls() {
		return
	}
	for _, c := range ch.attempts(req.ID) {
		if delay := c.Received.Sub(req.Left); delay > leaveTolerance+loadTolerance {
			ch.addViolation(RuleLeft, req.ID, c.Received, "%s at %s began %v after the client closed its connection", c.Kind, c.Engine, delay)
		}
	}
}

// checkStalled checks that a client that stops in the middle of its request gets an error response or the connection's end in time, and
// that nothing of the request is sent to an engine.
func (ch *checker) checkStalled(req *ClientRequest) {
	if req.StallWait == 0 {
		return
	}
	if attempts := ch.attempts(req.ID); len(attempts) > 0 {
		ch.addViolation(RuleStalled, req.ID, attempts[0].Received, "sent to %s before the request was complete", attempts[0].Engine)
	}
	if req.StallWait > stallTimeout+timingTolerance+loadTolerance && !ch.Scenario.limitsDescriptors() {
		ch.addViolation(RuleStalled, req.ID, req.Sent, "neither an error response nor a closed connection for %v", req.StallWait.Round(time.Millisecond))
	}
}

// checkSingleEffect checks that a non-idempotent request is written at most once, unless the engine answered that it did not run it, and
// that it is not refused after it was written.
func (ch *checker) checkSingleEffect(req *ClientRequest) {
	if req.Class != classSingleShot {
		return
	}
	var ran []string
	for _, c := range ch.attempts(req.ID) {
		if c.Kind == standin.Write && !c.NotRun {
			ran = append(ran, c.Engine)
		}
	}
	if len(ran) > 1 {
		ch.addViolation(RuleEffect, req.ID, req.Sent, "written at %s", strings.Join(ran, " and "))
	}
	if len(ran) > 0 && (req.Status == 429 || req.Status == 503) {
		ch.addViolation(RuleEffect, req.ID, req.FirstByte, "refused with %d after it was written at %s", req.Status, ran[0])
	}
}

// checkDrain checks that no read, write or reservation is sent to a draining engine once the tolerance after the announcement is over.
func (ch *checker) checkDrain() {
	if ch.Scenario.delaysCalls() {
		return
	}
	for _, c := range ch.Calls {
		req := ch.requests[c.ID]
		if req == nil || !isAttempt(&c) && c.Kind != standin.Reserve {
			continue
		}
		if announced, draining := ch.DrainAnnounced[RouterEngine{req.Router, c.Engine}]; draining {
			if delay := c.Received.Sub(announced); delay > drainTolerance+loadTolerance {
				ch.addViolation(RuleDrain, c.ID, c.Received, "%s at %s, %v after its drain was announced", c.Kind, c.Engine, delay)
			}
		}
	}
}

// checkHold checks that no state or reservation is held past the limit while no attempt is at a running engine, by the strictest
// interpretation (standin.Call.RunSpan). Time after the end of the router's process does not count.
func (ch *checker) checkHold(h standin.Hold) {
	holdEnd := h.To
	if req := ch.requests[h.ID]; req != nil {
		if proc := ch.processAt(req.Router, req.Sent); proc != nil && !proc.Ended.IsZero() && proc.Ended.Before(holdEnd) {
			holdEnd = proc.Ended
		}
	}
	attempts := ch.attempts(h.ID)
	slices.SortFunc(attempts, func(a, b standin.Call) int { return a.Received.Compare(b.Received) })
	idleSince := h.From // no attempt has been running since
	longest, since := time.Duration(0), h.From
	for _, c := range attempts {
		start, end, ok := c.RunSpan()
		if !ok {
			continue
		}
		if span := start.Sub(idleSince); span > longest && start.Before(holdEnd) {
			longest, since = span, idleSince
		}
		if end.IsZero() {
			end = holdEnd
		}
		if end.After(idleSince) {
			idleSince = end
		}
	}
	if span := holdEnd.Sub(idleSince); span > longest {
		longest, since = span, idleSince
	}
	ch.longestHeld = max(ch.longestHeld, longest)
	if longest > maxHeld+loadTolerance {
		ch.addViolation(RuleHeld, h.ID, since, "held at %s for %v while no attempt was running, from %v after the start", h.Engine,
			longest.Round(time.Millisecond), since.Sub(ch.Started).Round(time.Millisecond))
	}
}

// checkProcess checks that a router's process exits only after a signal, without an error after SIGTERM, and keeps its resource limits.
func (ch *checker) checkProcess(proc *ProcessRecord) {
	if !proc.Ended.IsZero() && proc.Terminated.IsZero() && proc.Killed.IsZero() {
		ch.addViolation(RuleCrash, "", proc.Ended, "router %d exited without SIGTERM or SIGKILL: %v", proc.Router, proc.Err)
	}
	if proc.Err != nil && proc.Killed.IsZero() && !proc.Terminated.IsZero() {
		ch.addViolation(RuleCrash, "", proc.Ended, "router %d failed after SIGTERM: %v", proc.Router, proc.Err)
	}
	if u := proc.Usage; u.Descriptors > maxSockets || u.MemoryBytes > maxMemoryBytes || u.Threads > maxThreads {
		ch.addViolation(RuleUsage, "", proc.Ended, "router %d: %d descriptors, %d MB, %d threads", proc.Router, u.Descriptors, u.MemoryBytes>>20, u.Threads)
	}
}
