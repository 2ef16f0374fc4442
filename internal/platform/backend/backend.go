// Package backend speaks the platform's engines' protocol over net.Conn: one call at a time on a connection, nothing
// ever written twice by itself, and for every end of a dispatch what is known of whether it ran. It is
// edge.Engines, knows engines by the name that discovery gives and finds their addresses in what it was last told
// (Listed). It decides nothing. internal/platform/service makes it.
package backend

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"

	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

// Options of a client.
type Options struct {
	ReportColumns     []string // of a load report, in decide's order
	ProbesAllowed     bool     // probes are allowed
	ConnectTimeout    time.Duration
	EngineIdleTimeout time.Duration // an engine closes a connection that was idle so long
	MaxConns          int           // open at once to all engines
	Dial              engine.Dial   // in place of TCP, nil for that
}

// Client makes dispatches. It is safe for concurrent use.
type Client struct {
	options     Options
	dialer      *engine.Dialer
	parseReport func([]byte) []float64

	mu        sync.Mutex
	endpoints map[string]*endpoint // by name
	names     []string             // of all, in the list's order
	idle      *list.List           // of *conn, those unused for longest first
	connsMade uint64               // connections made
}

// The bounds of what an engine sends. No body exceeds 256 KiB.
const (
	maxHeadBytes          = 16 << 10
	maxBodyBytes          = 256 << 10
	maxFields             = 64
	readBufferBytes       = 4 << 10
	maxIdleConnsPerEngine = 32 // idle connections to one engine
)

var limits = http1.Limits{HeadBytes: maxHeadBytes, Fields: maxFields, BodyBytes: maxBodyBytes}

// Times of a connection. An engine's own idle time is its limit: half of it leaves room for a clock that runs late.
const (
	idleTimeoutDivisor  = 2
	probeTimeout        = 250 * time.Millisecond
	checkTimeout        = 150 * time.Millisecond
	discardTimeout      = 100 * time.Millisecond // for the body of an answer whose status says all
	goneEngineRetention = 2 * time.Minute        // an engine that left the list is still reached for releases
)

// New makes a client.
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

// Errors of calls of which nothing was written, and which tell nothing of the engine.
var (
	errUnknownEngine  = errors.New("an engine that is not on the list")
	errEngineDraining = errors.New("an engine that drains or is gone")
	errNoTimeLeft     = errors.New("no time left")
	errConnSilent     = errors.New("no answer on a connection that is open")
	errConnEnding     = errors.New("a connection that ends after its answer")
)

var _ edge.Engines = (*Client)(nil)
