// Package link defines the messages between an edge and a planner and the interface that each offers to the other:
// events go to the planner, commands come back. It has no behavior of its own, so that the two could run as separate
// programs without a rewrite. It imports decide for outcomes, prompts, phases and list kinds, and no other package of
// this module.
package link

import (
	"time"

	"cherryhub/decide"
)

// EventKind is the type of an Event. The comment at each kind lists the fields that are set besides Kind.
type EventKind uint8

// Kinds of events. Those of a completion set Completion too.
const (
	CompletionArrived   EventKind = iota // a completion is offered to the planner: Prompt, Deadline
	DispatchStarted                      // a dispatch produced its first token: Dispatch, Elapsed
	ReservationAnswered                  // a reservation was granted or refused: Dispatch, Reserved
	DispatchEnded                        // a dispatch ended: Dispatch, Outcome, Elapsed, Answered, CachedTokens, Report
	ClientLeft                           // the client disconnected, or the edge answered it because the planner had not
	ProbeEnded                           // a probe ended, or an engine's answer carried a load report: Address, Outcome, Report
	EnginesUpdated                       // the engine list changed: EngineList
)

// Event is a message to a planner from an edge or from the engine list. Every dispatch that the planner commands
// leads to exactly one DispatchEnded, whatever happens to it.
type Event struct {
	Kind         EventKind
	Outcome      decide.Outcome
	Answered     bool // the client has its answer
	Reserved     bool
	Dispatch     int    // index among the completion's dispatches, from 0
	Address      string // of the engine; not its index, which may have been reused meanwhile
	Completion   uint64
	Elapsed      float64   // seconds since the dispatch was sent
	CachedTokens float64   // prompt tokens that the engine had in its cache
	Report       []float64 // load report in the order of decide.Settings.ReportColumns, nil for none
	Prompt       *decide.Prompt
	EngineList   *EngineList
	Deadline     time.Time // for the planner's answer
	QueuedAt     time.Time // set by the planner, to measure how long the event waits
}

// EngineList is a snapshot of the engine list or a change to it.
type EngineList struct {
	Kind    decide.ListKind
	Entries []EngineEntry
}

// EngineEntry is one entry of an EngineList.
type EngineEntry struct {
	Address     string // host:port, identifies the engine for its whole life
	Zone        string
	Cell        string
	MachineKind string
	Phase       decide.Phase
	StartID     int64   // differs between two starts of the engine; 0 for unknown
	Age         float64 // seconds from that start until the list was received; below 0 for long ago
}

// CommandKind is the type of a Command. The comment at each kind lists the fields that are set besides Kind.
type CommandKind uint8

// Kinds of commands. All but Probe set Completion.
const (
	Dispatch  CommandKind = iota // send the completion to an engine: Dispatch, Address, IsRead, Timeout, SendBy
	Reserve                      // reserve KV cache space at a writer: Dispatch, Address
	Release                      // release every state and reservation held for the completion
	RateLimit                    // final answer: RetryAfter
	Abort                        // final answer
	Cancel                       // cancel a dispatch: Dispatch
	Probe                        // probe an engine: Address
)

// Command is a message from a planner to its edge.
type Command struct {
	Kind       CommandKind
	IsRead     bool // the dispatch is a read: the engine reads the prompt and holds the state
	Dispatch   int
	Completion uint64
	Address    string    // of the engine
	Timeout    float64   // seconds
	SendBy     time.Time // before which its last byte must be written, zero for no limit
	RetryAfter float64   // seconds until the client may retry, 0 for no advice
}

// Planner receives the events of an edge and of the engine list. Neither method blocks.
type Planner interface {
	// Offer offers a completion (a CompletionArrived event). It returns false if the planner refuses it; no command
	// for the completion follows then.
	Offer(e Event) bool
	// Notify delivers any other event. It is never refused: the events queued are bounded by the completions accepted,
	// the probes commanded and the lists received.
	Notify(e Event)
}

// Edge carries out a planner's commands. Execute must not block, and is called from the planner's goroutine only.
type Edge interface {
	Execute(c Command)
}
