package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/platform/standin"
)

// TestCheckRules checks that each rule's violation is found when it is put into a record without violations.
func TestCheckRules(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	validRecord := func() *Record {
		return &Record{Scenario: &Scenario{}, Started: start, DrainAnnounced: map[RouterEngine]time.Time{{0, "w"}: at(5000)},
			Calls: []standin.Call{
				{ID: "x", Kind: standin.Read, Engine: "r", Received: at(1000), Ended: at(1100)},
				{ID: "x", Kind: standin.Write, Engine: "w", Received: at(1110), Ended: at(1500)},
			},
			Holds:     []standin.Hold{{ID: "x", Engine: "r", From: at(1100), To: at(1400)}},
			Requests:  []ClientRequest{{ID: "x", Class: classSingleShot, Sent: at(990), Timeout: time.Second, Answers: 1, Status: 200, FirstByte: at(1400), Complete: true}},
			Processes: []ProcessRecord{{Started: at(-100), Terminated: at(6000), Ended: at(7000)}}}
	}
	violations, _ := CheckRules(validRecord())
	require.Empty(t, violations)
	for name, tc := range map[string]struct {
		rule   Rule
		modify func(r *Record)
	}{
		"no answer": {RuleAnswer, func(r *Record) { r.Requests[0].Answers = 0 }},
		"second write": {RuleEffect, func(r *Record) {
			r.Calls = append(r.Calls, standin.Call{ID: "x", Kind: standin.Write, Engine: "v", Received: at(1120), Ended: at(1500)})
		}},
		"write after a drain was announced": {RuleDrain, func(r *Record) { r.DrainAnnounced[RouterEngine{0, "w"}] = at(-200) }},
		"write never arrived": {RuleHeld, func(r *Record) {
			r.Calls = r.Calls[:1]
			r.Holds[0].To = at(2100)
		}},
		"write arrived at a hung engine": {RuleHeld, func(r *Record) {
			r.Calls[1].Ended, r.Calls[1].EngineDown, r.Holds[0].To = at(2100), at(1110), at(2150)
		}},
		"engine hung during the write": {RuleHeld, func(r *Record) {
			r.Calls[1].Ended, r.Calls[1].EngineDown, r.Holds[0].To = at(4000), at(1300), at(2400)
		}},
		"state held after the write ended": {RuleHeld, func(r *Record) { r.Holds[0].To = at(2500) }},
		"engine lost a second read": {RuleHeld, func(r *Record) {
			r.Calls[1].Kind, r.Calls[1].Ended, r.Calls[1].EngineDown, r.Holds[0].To = standin.Read, at(4000), at(1300), at(2400)
		}},
		"attempt after the client left": {RuleLeft, func(r *Record) { r.Requests[0].Left = at(700) }},
		"too many descriptors":          {RuleUsage, func(r *Record) { r.Processes[0].Usage.Descriptors = maxSockets + 1 }},
		"exit without a signal":         {RuleCrash, func(r *Record) { r.Processes[0].Terminated = time.Time{} }},
		"stalled client without an error": {RuleStalled, func(r *Record) {
			r.Requests = append(r.Requests, ClientRequest{ID: "y", Sent: at(2000), Left: at(6000), StallWait: stallTimeout + time.Second})
		}},
	} {
		r := validRecord()
		tc.modify(r)
		violations, _ := CheckRules(r)
		require.NotEmpty(t, violations, name)
		require.Equal(t, tc.rule, violations[0].Rule, name)
	}
}

// TestNewScenario checks that a seed always yields the same scenario, with the seed's main class of fault and one or two others.
func TestNewScenario(t *testing.T) {
	for seed := range uint64(60) {
		s := NewScenario(seed)
		require.Equal(t, s, NewScenario(seed))
		require.Equal(t, Faults[seed%uint64(len(Faults))], s.Faults[0])
		require.Contains(t, []int{2, 3}, len(s.Faults))
		require.Len(t, s.Events, eventsPerFault*len(s.Faults))
	}
}
