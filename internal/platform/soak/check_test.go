package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/platform/standin"
)

// TestJudge: each rule is seen broken where a fault is planted in a record that keeps them all.
func TestJudge(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	good := func() *Record {
		return &Record{Scenario: &Scenario{}, Started: began, DrainAnnounced: map[RouterEngine]time.Time{{0, "w"}: at(5000)},
			Calls: []standin.Call{
				{ID: "x", Kind: standin.Read, Engine: "r", Received: at(1000), Ended: at(1100)},
				{ID: "x", Kind: standin.Write, Engine: "w", Received: at(1110), Ended: at(1500)},
			},
			Holds:     []standin.Hold{{ID: "x", Engine: "r", From: at(1100), To: at(1400)}},
			Requests:  []ClientRequest{{ID: "x", Class: classSingleShot, Sent: at(990), Timeout: time.Second, Answers: 1, Status: 200, FirstByte: at(1400), Complete: true}},
			Processes: []ProcessRecord{{Started: at(-100), Terminated: at(6000), Ended: at(7000)}}}
	}
	breaks, _ := CheckRules(good())
	require.Empty(t, breaks)
	for name, one := range map[string]struct {
		rule  Rule
		plant func(r *Record)
	}{
		"no answer": {RuleAnswer, func(r *Record) { r.Requests[0].Answers = 0 }},
		"a second write": {RuleEffect, func(r *Record) {
			r.Calls = append(r.Calls, standin.Call{ID: "x", Kind: standin.Write, Engine: "v", Received: at(1120), Ended: at(1500)})
		}},
		"a write behind the news of a drain": {RuleDrain, func(r *Record) { r.DrainAnnounced[RouterEngine{0, "w"}] = at(-200) }},
		"a write that never arrived": {RuleHeld, func(r *Record) {
			r.Calls = r.Calls[:1]
			r.Holds[0].To = at(2100)
		}},
		"a write that arrived at an engine that hung": {RuleHeld, func(r *Record) {
			r.Calls[1].Ended, r.Calls[1].EngineDown, r.Holds[0].To = at(2100), at(1110), at(2150)
		}},
		"a write that was at its engine as that hung": {RuleHeld, func(r *Record) {
			r.Calls[1].Ended, r.Calls[1].EngineDown, r.Holds[0].To = at(4000), at(1300), at(2400)
		}},
		"a write that the router gave up": {RuleHeld, func(r *Record) { r.Holds[0].To = at(2500) }},
		"a read whose engine lost it, behind an earlier one": {RuleHeld, func(r *Record) {
			r.Calls[1].Kind, r.Calls[1].Ended, r.Calls[1].EngineDown, r.Holds[0].To = standin.Read, at(4000), at(1300), at(2400)
		}},
		"an attempt behind a client that left": {RuleLeft, func(r *Record) { r.Requests[0].Left = at(700) }},
		"too many descriptors":                 {RuleUsage, func(r *Record) { r.Processes[0].Usage.Descriptors = maxSockets + 1 }},
		"an end that nobody asked for":         {RuleCrash, func(r *Record) { r.Processes[0].Terminated = time.Time{} }},
		"a client that stalls, and is left so": {RuleStalled, func(r *Record) {
			r.Requests = append(r.Requests, ClientRequest{ID: "y", Sent: at(2000), Left: at(6000), StallWait: stallTimeout + time.Second})
		}},
	} {
		r := good()
		one.plant(r)
		breaks, _ := CheckRules(r)
		require.NotEmpty(t, breaks, name)
		require.Equal(t, one.rule, breaks[0].Rule, name)
	}
}

// TestDraw: a seed always draws the same, its own class and one or two others.
func TestDraw(t *testing.T) {
	for seed := range uint64(60) {
		s := NewScenario(seed)
		require.Equal(t, s, NewScenario(seed))
		require.Equal(t, Faults[seed%uint64(len(Faults))], s.Faults[0])
		require.Contains(t, []int{2, 3}, len(s.Faults))
		require.Len(t, s.Events, eventsPerFault*len(s.Faults))
	}
}
