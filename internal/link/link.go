// Package link is all that an edge and a planner know of each other: facts go to the planner, orders come
// back. It holds the messages and the two interfaces and does nothing by itself, so that the two can become
// two programs without either being rewritten. internal/edge and internal/planner use it; it imports decide
// for outcomes and prompts and nothing else of the program.
package link

import (
	"time"

	"cherryhub/decide"
)

// FactKind says what a Fact tells.
type EventKind uint8

// The kinds of fact.
const (
	CompletionArrived   EventKind = iota // a completion was taken: Prompt, Deadline
	DispatchStarted                      // a dispatch gave its first token: Dispatch, Took
	ReservationAnswered                  // a place was asked for: Dispatch, Held
	DispatchEnded                        // a dispatch ended: Dispatch, Outcome, Took, Done, Found, Report
	ClientLeft                           // the client left, or the edge had to answer for the planner
	ProbeEnded                           // a probe ended, or a report came in an answer: Address, Outcome, Report
	EnginesUpdated                       // news of the engines: List
)

// Fact is what an edge, or the engine list, tells a planner. Every dispatch that was ordered has exactly one
// Ended, whatever happens to it.
type Event struct {
	Kind         EventKind
	Outcome      decide.Outcome
	Answered     bool // the completion has its answer
	Reserved     bool
	Dispatch     int    // number of the completion's dispatch, from 0
	Address      string // of the engine; its index may be another's by now
	Completion   uint64
	Elapsed      float64   // seconds since the dispatch was sent
	CachedTokens float64   // prompt tokens found kept
	Report       []float64 // as decide.Settings.ReportColumns says, nil for none
	Prompt       *decide.Prompt
	EngineList   *EngineList
	Deadline     time.Time // by which the planner must have answered
	QueuedAt     time.Time // when it was told, for the planner's delay
}

// List is news of the engines.
type EngineList struct {
	Kind    decide.ListKind
	Entries []EngineEntry
}

// Entry is one engine of a list.
type EngineEntry struct {
	Address     string // host:port, an engine's name for its whole life
	Zone        string
	Cell        string
	MachineKind string
	Phase       decide.Phase
	StartID     int64   // tells one start of the engine from another; 0 for unknown
	Age         float64 // seconds since that start, when the list was heard; below 0 for long ago
}

// OrderKind says what an Order asks for.
type CommandKind uint8

// The kinds of order.
const (
	Dispatch  CommandKind = iota // Dispatch, Engine, Reads, Timeout
	Reserve                      // Engine
	Release                      // every state and place held for the completion
	RateLimit                    // the final answer: ComeBack
	Abort                        // the final answer
	Cancel                       // Dispatch
	Probe                        // Engine
)

// Order is what a planner has its edge do.
type Command struct {
	Kind       CommandKind
	IsRead     bool // the engine is a reader: it is to read the prompt and hold the state
	Dispatch   int
	Completion uint64
	Address    string  // its address
	Timeout    float64 // seconds
	RetryAfter float64 // seconds until a client may try again, 0 for no advice
}

// Planner is what an edge sees of a planner. Neither call blocks.
type Planner interface {
	// Offer offers a completion to be taken (a Take). False: it is not taken, and nothing will come of it.
	Offer(f Event) bool
	// Tell tells what became of something taken, or of the engines. It is never refused: what it holds is
	// bounded by the completions taken, the probes ordered and the lists heard.
	Notify(f Event)
}

// Edge is what a planner sees of an edge. Order must not block and may be called from the planner's
// goroutine only.
type Edge interface {
	Execute(o Command)
}
