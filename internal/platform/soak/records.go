package soak

import (
	"time"

	"cherryhub/internal/platform/standin"
)

// ClientRequest is the record that a client keeps of a request.
type ClientRequest struct {
	ID        string
	Router    int
	Class     string
	Sent      time.Time // when its last byte was written
	Timeout   time.Duration
	Answers   int
	Status    int
	FirstByte time.Time // when the first byte of the answer arrived
	Left      time.Time // when the client closed its connection before the answer; zero: it did not
	Complete  bool
	Resent    bool // sent again on a new connection, as the first one was closed before an answer
	Err       error
	StallWait time.Duration // how long a client that stopped in the middle of the request waited for an answer or the end; 0: it did not stop
}

// ProcessRecord is the record of one process of a router.
type ProcessRecord struct {
	Router     int
	Started    time.Time
	Terminated time.Time // when SIGTERM was sent; zero: it was not
	Killed     time.Time // when SIGKILL was sent; zero: it was not
	Ended      time.Time
	Err        error // from waiting for the process; nil: it exited with status 0
	Usage      Usage // the highest values sampled
}

// Usage is the resource usage of a process.
type Usage struct {
	Descriptors int
	MemoryBytes int64
	Threads     int
}

// Record is what stand-ins, clients and processes recorded in the run of a scenario. Nothing in it is reported by a router.
type Record struct {
	Scenario       *Scenario
	Started        time.Time
	Calls          []standin.Call
	Holds          []standin.Hold
	Requests       []ClientRequest
	Processes      []ProcessRecord
	DrainAnnounced map[RouterEngine]time.Time // when a router was first notified that an engine is draining
}

// RouterEngine identifies an engine as seen by a router.
type RouterEngine struct {
	Router int
	Engine string
}
