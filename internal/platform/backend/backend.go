// Package backend is a client for the platform's engine protocol. It works directly on net.Conn: each connection carries one
// call at a time, no call is ever resent automatically, and for every dispatch that ends it is known whether it may have run.
// It implements edge.Engines. Engines are identified by their discovery names and reached at the addresses last passed to
// UpdateEngines. The package takes no routing decisions. It is used by internal/platform/service.
package backend

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// Options configures a client.
type Options struct {
	ReportColumns     []string // names of the values in a load report
	ProbesAllowed     bool     // probes may be sent
	ConnectTimeout    time.Duration
	EngineIdleTimeout time.Duration // an engine closes a connection that was idle this long
	MaxConns          int           // maximum number of open connections to all engines together
	Dial              engine.Dial   // replaces TCP, nil for TCP
}

// Client dispatches calls to engines. It is safe for concurrent use.
type Client struct {
	options     Options
	dialer      *engine.Dialer
	parseReport func([]byte) []float64

	hedgedReleases atomic.Int64 // calls made in parallel to another one for the same release

	mu        sync.Mutex
	endpoints map[string]*endpoint // by engine name
	names     []string             // of all engines, in the order in which they were added
	idle      *list.List           // of *conn, longest idle first
	connsMade uint64               // number of connections made so far
}

// Limits on what an engine may send. The protocol allows bodies of up to 256 KiB.
const (
	maxHeadBytes          = 16 << 10
	maxBodyBytes          = 256 << 10
	maxFields             = 64
	readBufferBytes       = 4 << 10
	maxIdleConnsPerEngine = 32
)

var limits = http1.Limits{HeadBytes: maxHeadBytes, Fields: maxFields, BodyBytes: maxBodyBytes}

// Connection times. A connection is reused for half of the engine's own idle timeout, which leaves a margin for timers that
// fire late.
const (
	idleTimeoutDivisor  = 2
	probeTimeout        = 250 * time.Millisecond
	checkTimeout        = 150 * time.Millisecond
	discardTimeout      = 100 * time.Millisecond // for reading the body of an answer of which only the status matters
	goneEngineRetention = 2 * time.Minute        // an engine that left the list can still be sent releases for this long
)

// New creates a client.
func New(o Options) *Client {
	c := &Client{options: o, endpoints: map[string]*endpoint{}, idle: list.New()}
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	c.dialer = engine.NewDialer(o.MaxConns, dial, c.closeLongestIdle)
	c.parseReport = func(text []byte) []float64 { return parseReport(o.ReportColumns, text) }
	return c
}

// Errors of calls of which nothing was written. The first four say nothing about the engine.
var (
	errUnknownEngine  = errors.New("engine is not on the list")
	errEngineDraining = errors.New("engine is draining or gone")
	errNoTimeLeft     = errors.New("deadline has passed")
	errSendTimeOver   = errors.New("time within which it may be sent is over")
	errConnSilent     = errors.New("no answer on an open connection")
	errConnEnding     = errors.New("connection is closed or closing")
)

var _ edge.Engines = (*Client)(nil)
