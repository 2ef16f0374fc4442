package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a class of faults.
type Fault string

// The classes of faults. A silent connection stays open and drops everything that is sent on it, without an error.
const (
	OpenSilent     Fault = "open-silent"     // open connections become silent, new ones work
	IdleSilent     Fault = "idle-silent"     // as open-silent, for connections that have carried nothing for a while
	AnswerSilent   Fault = "answer-silent"   // a connection becomes silent after its first answer
	BytesSilent    Fault = "bytes-silent"    // a connection becomes silent after some bytes
	StartSilent    Fault = "start-silent"    // a connection is silent from the start
	EngineStopped  Fault = "engine-stopped"  // an engine's process stops for a while, its connections stay open
	EngineHung     Fault = "engine-hung"     // an engine never answers the reads and writes that it has or gets for a while
	ZoneOneWay     Fault = "zone-one-way"    // nothing passes in one direction, to or from a zone
	Resets         Fault = "resets"          // connections are reset, before and after a call's last byte
	LateAnswers    Fault = "late-answers"    // answers are delayed by up to 0.5 s
	DiscoveryMute  Fault = "discovery-mute"  // the discovery service does not answer for a while
	EnginesDrain   Fault = "engines-drain"   // engines drain for the rest of the run
	ClientsLeave   Fault = "clients-leave"   // clients close their connections before the answer
	ClientsCrowd   Fault = "clients-crowd"   // idle client connections use up the descriptors
	RouterPauses   Fault = "router-pauses"   // SIGSTOP and SIGCONT, 0.15 s apart
	RoutersRestart Fault = "routers-restart" // SIGTERM to a router, which is then started again
	RoutersReload  Fault = "routers-reload"  // SIGHUP, or SIGHUP followed at once by SIGTERM
	RouterKilled   Fault = "router-killed"   // SIGKILL to a router, which is then started again

	AllSilent      Fault = "all-silent"       // as open-silent, for the connections to all engines at once
	SendSilent     Fault = "send-silent"      // as open-silent, at the moment when a long call is sent
	EngineVanishes Fault = "engine-vanishes"  // an engine's machine disappears and returns: connections are silent, then reset
	LateConns      Fault = "late-connections" // some connections pass nothing for up to a second after they are opened
	HangsAtCall    Fault = "hangs-at-call"    // an engine hangs for a while, some milliseconds after a call arrived
	EngineRestarts Fault = "engine-restarts"  // an engine restarts and loses its calls: connections are reset or silent
	AnswerLost     Fault = "answer-lost"      // a connection becomes silent when an answer arrives
	LateBytes      Fault = "late-bytes"       // what a router sends is delayed by up to 0.5 s
	SlowClients    Fault = "slow-clients"     // clients send their requests in pieces
	FewDescriptors Fault = "few-descriptors"  // a router's process cannot open further descriptors for a while

	ClientsReset    Fault = "clients-reset"    // clients reset their connections: after opening them, within a request, or before the answer
	ClientsStall    Fault = "clients-stall"    // clients stop in the middle of a request and keep the connection open
	ClientsPipeline Fault = "clients-pipeline" // clients send several requests at once

	LogStalls Fault = "log-stalls" // the reader of a router's log pipe stops for a while
	LogCut    Fault = "log-cut"    // the reader closes a router's log pipe, further writes fail
)

// Faults lists all classes. A seed's main class is the one at the index of the seed modulo their number.
var Faults = []Fault{OpenSilent, IdleSilent, EngineStopped, AnswerSilent, ZoneOneWay, EngineHung, BytesSilent, Resets, LateAnswers, StartSilent,
	DiscoveryMute, EnginesDrain, ClientsLeave, ClientsCrowd, RouterPauses, RoutersRestart, RoutersReload, RouterKilled,
	AllSilent, SendSilent, EngineVanishes, LateConns, HangsAtCall, SlowClients, FewDescriptors,
	ClientsReset, ClientsStall, ClientsPipeline, LogStalls, LogCut, EngineRestarts, AnswerLost, LateBytes}

// delayingFaults are the classes in which a call may arrive long after it was sent.
var delayingFaults = []Fault{EngineStopped, ZoneOneWay, LateConns, LateBytes}

// Scenario is the faults and parameters of a run. NewScenario derives it from a seed.
type Scenario struct {
	Seed          uint64
	Faults        []Fault       // the main class and one or two others
	ClientTimeout time.Duration // the longest client timeout for a first token
	Routers       int
	Events        []Event
}

// Event is a fault that begins at a given time after the start of the run.
type Event struct {
	At       time.Duration
	Fault    Fault
	Engine   int           // index of the engine, or of one in the zone concerned
	Router   int           // index of the router
	Duration time.Duration // for faults that end
	Variant  int           // 0 or 1, for faults with two variants
}

// The parameters of scenarios.
const (
	runDuration    = 6 * time.Second
	firstEventAt   = time.Second // leaves time for connections to be opened and used before
	eventsPerFault = 3
	maxRouters     = 3
	longTimeout    = 3 * time.Second
	shortTimeout   = 800 * time.Millisecond
)

// Has reports whether the scenario includes a class of faults.
func (s *Scenario) Has(f Fault) bool { return slices.Contains(s.Faults, f) }

// delaysCalls reports whether a call may arrive long after it was sent.
func (s *Scenario) delaysCalls() bool { return slices.ContainsFunc(delayingFaults, s.Has) }

// limitsDescriptors reports whether a router may lack the descriptors to accept or keep a connection.
func (s *Scenario) limitsDescriptors() bool { return s.Has(ClientsCrowd) || s.Has(FewDescriptors) }

// NewScenario returns the scenario of a seed. If any classes of faults are given, they replace those that the seed selects.
func NewScenario(seed uint64, fixed ...Fault) *Scenario {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // not for secrets
	s := &Scenario{Seed: seed, Faults: []Fault{Faults[seed%uint64(len(Faults))]}, ClientTimeout: longTimeout, Routers: 1 + random.IntN(maxRouters)}
	if random.IntN(4) == 0 {
		s.ClientTimeout = shortTimeout
	}
	extra := 1 + random.IntN(2)
	if len(fixed) > 0 {
		s.Faults, extra = fixed, 0
	}
	for extra > 0 {
		if f := Faults[random.IntN(len(Faults))]; !s.Has(f) {
			s.Faults = append(s.Faults, f)
			extra--
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
