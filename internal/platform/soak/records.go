package soak

import (
	"time"

	"cherryhub/internal/platform/standin"
)

// Seen is one request as its client saw it.
type ClientRequest struct {
	ID        string
	Router    int
	Class     string
	Sent      time.Time // its last byte was written
	Timeout   time.Duration
	Answers   int
	Status    int
	FirstByte time.Time // the answer's first byte
	Left      time.Time // the client closed its connection before the answer; zero: it did not
	Complete  bool
	Resent    bool // sent once more on a new connection, as the first was closed between two requests
	Err       error
	StallWait time.Duration // of one that stopped in the middle of its request: how long it waited for an error or the end; else 0
}

// Life is one process of a router.
type ProcessRecord struct {
	Router     int
	Started    time.Time
	Terminated time.Time // SIGTERM was sent; zero: it was not
	Killed     time.Time // SIGKILL was sent; zero: it was not
	Ended      time.Time
	Err        error // of a process that ended by itself
	Usage      Usage // the largest that was seen
}

// Usage is what a process holds.
type Usage struct {
	Descriptors int
	MemoryBytes int64 // bytes
	Threads     int
}

// Record is all that a play left behind, from stand-ins, clients and processes. No word of a router is in it.
type Record struct {
	Scenario       *Scenario
	Started        time.Time
	Calls          []standin.Call
	Holds          []standin.Hold
	Requests       []ClientRequest
	Processes      []ProcessRecord
	DrainAnnounced map[RouterEngine]time.Time // when a router was first told that an engine drains
}

// Notice is a router's news of an engine.
type RouterEngine struct {
	Router int
	Engine string
}
