package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a class of fault that a seed plays.
type Fault string

// The classes of fault.
const (
	OpenSilent     Fault = "open-silent"     // connections that are open fall silent without an error, new ones work
	IdleSilent     Fault = "idle-silent"     // as open-silent, of connections that have carried nothing for a while
	AnswerSilent   Fault = "answer-silent"   // a connection swallows what is sent after its first answer
	BytesSilent    Fault = "bytes-silent"    // a connection swallows what is sent after some bytes
	StartSilent    Fault = "start-silent"    // a connection comes up and swallows all
	EngineStopped  Fault = "engine-stopped"  // an engine's process stops and goes on, its connections open
	EngineHung     Fault = "engine-hung"     // an engine never answers the calls that it has or takes, but probes
	ZoneOneWay     Fault = "zone-one-way"    // nothing passes in one direction to or from a zone
	Resets         Fault = "resets"          // connections are reset before and after a call's last byte
	LateAnswers    Fault = "late-answers"    // answers come up to 0.5 s late
	DiscoveryMute  Fault = "discovery-mute"  // the discovery falls silent
	EnginesDrain   Fault = "engines-drain"   // engines drain, and stay so
	ClientsLeave   Fault = "clients-leave"   // clients close their connections before their answers
	ClientsCrowd   Fault = "clients-crowd"   // idle clients fill the descriptors
	RouterPauses   Fault = "router-pauses"   // SIGSTOP and SIGCONT, 0.15 s apart
	RoutersRestart Fault = "routers-restart" // SIGTERM to one router after another, each started anew
	RoutersReload  Fault = "routers-reload"  // SIGHUP, and SIGHUP with SIGTERM right behind
	RouterKilled   Fault = "router-killed"   // SIGKILL, and a new start

	AllSilent      Fault = "all-silent"       // as open-silent, of the connections to all engines at once
	SendSilent     Fault = "send-silent"      // as open-silent, in the moment in which a long call is sent
	EngineVanishes Fault = "engine-vanishes"  // an engine's machine is gone and comes back: silence, then resets
	LateConns      Fault = "late-connections" // some connections come up, and pass nothing for up to a second
	HangsAtCall    Fault = "hangs-at-call"    // an engine hangs for a while, some milliseconds after it has taken a call
	EngineRestarts Fault = "engine-restarts"  // an engine is started anew without the calls it had: connections are reset or silent
	AnswerLost     Fault = "answer-lost"      // a connection swallows an answer, and all behind it
	LateBytes      Fault = "late-bytes"       // what a router sends comes up to 0.5 s late
	SlowClients    Fault = "slow-clients"     // clients send their requests in pieces
	FewDescriptors Fault = "few-descriptors"  // a router's process can open no further descriptor for a while

	ClientsReset    Fault = "clients-reset"    // clients reset their connections: as they come up, in a request, before its answer
	ClientsStall    Fault = "clients-stall"    // clients stop in the middle of a request, and stay
	ClientsPipeline Fault = "clients-pipeline" // clients send several requests at once

	LogStalls Fault = "log-stalls" // nobody reads what a router writes to its log for a while
	LogCut    Fault = "log-cut"    // the log's reader has gone: what a router writes there fails
)

// Faults are all classes, in the order in which seeds take them as their main one.
var Faults = []Fault{OpenSilent, IdleSilent, EngineStopped, AnswerSilent, ZoneOneWay, EngineHung, BytesSilent, Resets, LateAnswers, StartSilent,
	DiscoveryMute, EnginesDrain, ClientsLeave, ClientsCrowd, RouterPauses, RoutersRestart, RoutersReload, RouterKilled,
	AllSilent, SendSilent, EngineVanishes, LateConns, HangsAtCall, SlowClients, FewDescriptors,
	ClientsReset, ClientsStall, ClientsPipeline, LogStalls, LogCut, EngineRestarts, AnswerLost, LateBytes}

// delaying are the classes in which a call may arrive long after it was sent.
var delayingFaults = []Fault{EngineStopped, ZoneOneWay, LateConns, LateBytes}

// Scenario is what a seed plays. It follows from the seed alone.
type Scenario struct {
	Seed          uint64
	Faults        []Fault       // one main and one or two others
	ClientTimeout time.Duration // the longest that clients wait for a first token
	Routers       int
	Events        []Event
}

// Event is a fault that begins at a time of the play.
type Event struct {
	At       time.Duration
	Fault    Fault
	Engine   int           // its index, or a member of the zone that is meant
	Router   int           // its index
	Duration time.Duration // until it is over, where it ends
	Variant  int           // 0 or 1: one of two forms
}

// The bounds of a scenario.
const (
	runDuration    = 6 * time.Second
	firstEventAt   = time.Second // before it, connections are made and used
	eventsPerFault = 3
	maxRouters     = 3
	longTimeout    = 3 * time.Second
	shortTimeout   = 800 * time.Millisecond
)

// Has tells whether a class is among those that the scenario plays.
func (s *Scenario) Has(f Fault) bool { return slices.Contains(s.Faults, f) }

// delays tells whether a call may arrive long after it was sent.
func (s *Scenario) delaysCalls() bool { return slices.ContainsFunc(delayingFaults, s.Has) }

// shuts tells whether a router may lack the descriptors to accept or keep a connection.
func (s *Scenario) limitsDescriptors() bool { return s.Has(ClientsCrowd) || s.Has(FewDescriptors) }

// Draw draws the scenario of a seed; only: its classes of fault, in place of drawn ones.
func NewScenario(seed uint64, only ...Fault) *Scenario {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // not for secrets
	s := &Scenario{Seed: seed, Faults: []Fault{Faults[seed%uint64(len(Faults))]}, ClientTimeout: longTimeout, Routers: 1 + random.IntN(maxRouters)}
	if random.IntN(4) == 0 {
		s.ClientTimeout = shortTimeout
	}
	others := 1 + random.IntN(2)
	if len(only) > 0 {
		s.Faults, others = only, 0
	}
	for others > 0 {
		if f := Faults[random.IntN(len(Faults))]; !s.Has(f) {
			s.Faults = append(s.Faults, f)
			others--
		}
	}
	for _, f := range s.Faults {
		for range eventsPerFault {
			s.Events = append(s.Events, Event{Fault: f, At: firstEventAt + time.Duration(random.Int64N(int64(runDuration-2*firstEventAt))),
				Engine: random.IntN(len(engines)), Router: random.IntN(s.Routers), Variant: random.IntN(2),
				Duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))})
		}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
	return s
}
