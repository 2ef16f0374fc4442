// Package edge serves the clients: an OpenAI-compatible chat completions API on Hertz over netpoll, streaming
// and non-streaming. It reports each event to a planner (link.Event) and executes the planner's commands
// (link.Command): dispatches, releases and final answers. It does not choose engines. Some guarantees hold
// without the planner, so that a stalled planner does no damage: an accepted completion is answered before its
// client timeout, a running stream continues, and state that no dispatch uses is released within the hold
// limit. cmd/cherryhub starts it.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"cherryhub/decide"
	"cherryhub/internal/door"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// Workload is a class of completions, selected by the requested model.
type Workload struct {
	Name             string
	Models           []string
	ClientTimeout    time.Duration // to the first token, or to the complete answer if not streamed
	Idempotency      decide.Idempotency
	DefaultMaxTokens int // output token limit if the client sets none
}

// Tenant is one of the parties that share the engines.
type Tenant struct {
	Name      string
	KeyHashes [][32]byte // SHA-256 of its API keys
	Anonymous bool       // clients without an API key belong to this tenant
}

// Limits bounds the size of requests and answers.
type Limits struct {
	MaxBodyBytes, MaxHeaderBytes, MaxDepth, MaxMessages, MaxAnswerBytes int
}

// Identity configures how a prompt's session, shared prefix and length are derived from the request body.
type Identity struct {
	SessionFields         []string // body fields that may name the session, the first non-empty one is used
	LeadingMessagesShared bool
	BytesPerToken         float64
}

// Options configures an Edge.
type Options struct {
	Listener            net.Listener   // or AdmissionListener; with neither, another front end calls Handle
	AdmissionListener   *door.Listener // admission control for connections and requests, nil for none
	Workloads           []Workload
	Tenants             []Tenant // empty: no API keys are required
	Limits              Limits
	Identity            Identity
	AnswerMargin        time.Duration // part of the client timeout reserved for delivering the final answer
	HoldLimit           time.Duration // longest time that state may be held while no dispatch uses it
	MaxStreamDuration   time.Duration
	ClientWriteTimeout  time.Duration // a write that blocks longer counts as a disconnect
	IdleTimeout         time.Duration // of a client connection between two requests
	MaxBodyLag          time.Duration // how far a request body may fall behind MinBodyRate, 0 for no limit
	MinBodyRate         float64       // bytes per second
	MinClientReadRate   float64       // bytes per second that a client must read of a stream while writes block, 0 for no limit
	RetryAfter          time.Duration // sent with a completion that was not accepted, 0 for none
	Engines             Engines
	ReleaseByCompletion bool                                                         // a release at any engine frees all state held for the completion, under one id
	Probe               func(ctx context.Context, address string) ([]float64, error) // nil for Engines.Probe
	Log                 *slog.Logger
	Observer            Observer
}

// Observer receives measurements from an Edge. Its methods must not block.
type Observer interface {
	CompletionAccepted(workload int)
	CompletionAnswered(workload int, answer Answer, elapsed time.Duration)
	FirstToken(workload int, elapsed time.Duration)
	DispatchEnded(isRead bool, outcome decide.Outcome, elapsed time.Duration)
	Refused(status int)
	ReleaseStarted(reason string)
	StateReleased(held time.Duration) // time since its last known use
}

// Answer says how a completion ended for its client.
type Answer uint8

// Answers. ClientLeft means that none was delivered because the client disconnected.
const (
	Finished Answer = iota
	RateLimited
	Aborted
	ClientLeft
)

func (a Answer) String() string {
	return [...]string{"finished", "rate-limited", "aborted", "left"}[a]
}

// Edge serves client requests and carries out the planner's commands.
type Edge struct {
	options         Options
	planner         link.Planner
	server          *server.Hertz
	callsCtx        context.Context // parent of every dispatch and probe
	startedAt       time.Time       // zero of the lease clock
	cancelCalls     context.CancelCauseFunc
	workloadByModel map[string]int
	tenantByKeyHash map[[32]byte]int
	anonymousTenant int // tenant of clients without an API key, -1 for none
	instanceID      string
	lastID          atomic.Uint64
	activeRequests  atomic.Int64 // chat requests whose body is read, accepted or not
	activeCalls     atomic.Int64 // running dispatches, probes, reservations and releases
	stopping        atomic.Bool
	activeReleases  atomic.Int64
	releaseQueue    releaseQueue
	lingering       lingeringLeases
	serveMu         sync.Mutex
	serveDone       chan struct{} // closed when Serve returns; nil before Serve starts
	shards          [64]shard
}

type shard struct {
	mu          sync.Mutex
	completions map[uint64]*completion
}

// Hertz logs through a process-wide logger. Relevant failures are also returned as errors.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// New creates an Edge. SetPlanner must be called before Serve.
func New(o Options) *Edge {
	if o.Probe == nil {
		o.Probe = o.Engines.Probe
	}
	e := &Edge{options: o, workloadByModel: map[string]int{}, tenantByKeyHash: map[[32]byte]int{}, anonymousTenant: -1, startedAt: time.Now()}
	e.callsCtx, e.cancelCalls = context.WithCancelCause(context.Background())
	var nonce [4]byte
	rand.Read(nonce[:]) //nolint:errcheck // never fails
	e.instanceID = hex.EncodeToString(nonce[:])
	for i := range e.shards {
		e.shards[i].completions = map[uint64]*completion{}
	}
	for i, w := range o.Workloads {
		for _, m := range w.Models {
			e.workloadByModel[m] = i
		}
	}
	if len(o.Tenants) == 0 {
		e.anonymousTenant = 0
	}
	for i, t := range o.Tenants {
		for _, hash := range t.KeyHashes {
			e.tenantByKeyHash[hash] = i
		}
		if t.Anonymous {
			e.anonymousTenant = i
		}
	}
	if o.Listener == nil && o.AdmissionListener == nil { // another front end calls Handle
		return e
	}
	serverOpts := []config.Option{server.WithListener(o.Listener), server.WithTransport(netpoll.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithStreamBody(true), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(o.Limits.MaxBodyBytes), server.WithMaxHeaderBytes(o.Limits.MaxHeaderBytes),
		server.WithReadTimeout(o.IdleTimeout), server.WithIdleTimeout(o.IdleTimeout), server.WithKeepAliveTimeout(o.IdleTimeout),
		server.WithWriteTimeout(o.ClientWriteTimeout), server.WithExitWaitTime(time.Second), server.WithRedirectTrailingSlash(false), server.WithHandleMethodNotAllowed(true)}
	if o.AdmissionListener != nil {
		serverOpts = append(serverOpts, server.WithListener(o.AdmissionListener))
		if o.AdmissionListener.UsesTLS() {
			// Hertz would detect disconnects with a read of its own, concurrent with the one in writeErrorAndClose.
			// The admission listener detects them instead.
			serverOpts = append(serverOpts, server.WithTransport(standard.NewTransporter), server.WithSenseClientDisconnection(false))
		} else {
			serverOpts = append(serverOpts, server.WithOnAccept(func(conn net.Conn) context.Context {
				o.AdmissionListener.AttachConn(conn)
				return context.Background()
			}))
		}
	}
	e.server = server.New(serverOpts...)
	if o.AdmissionListener != nil {
		e.server.Use(e.admitRequest)
	}
	e.server.POST("/v1/chat/completions", e.handleChatCompletion)
	e.server.GET("/v1/models", e.listModels)
	e.server.NoRoute(func(_ context.Context, rc *app.RequestContext) {
		e.writeError(rc, &apiError{status: 404, errType: "invalid_request_error", code: "unknown_url",
			message: fmt.Sprintf("unknown call: %s %s", rc.Method(), rc.Path())})
	})
	e.server.NoMethod(func(_ context.Context, rc *app.RequestContext) {
		e.writeError(rc, &apiError{status: 405, errType: "invalid_request_error", code: "method_not_allowed",
			message: fmt.Sprintf("%s is not allowed at %s", rc.Method(), rc.Path())})
	})
	return e
}

// debugEnabled reports whether debug messages are logged, so that their attributes are computed only if needed.
func (e *Edge) debugEnabled() bool { return e.options.Log.Enabled(e.callsCtx, slog.LevelDebug) }

// SetPlanner sets the planner.
func (e *Edge) SetPlanner(p link.Planner) { e.planner = p }

// Serve serves clients until Stop. It returns at once if Stop was called before.
func (e *Edge) Serve() error {
	e.serveMu.Lock()
	if e.stopping.Load() {
		e.serveMu.Unlock()
		return nil
	}
	served := make(chan struct{})
	defer close(served)
	e.serveDone = served
	e.serveMu.Unlock()
	if err := e.server.Run(); err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

// Active returns the number of requests whose body is read and that have no final answer yet, and the number of running calls to
// engines (dispatches, probes, reservations and releases).
func (e *Edge) Active() (requests, engineCalls int) {
	return int(e.activeRequests.Load()), int(e.activeCalls.Load())
}

// Stop rejects new completions, lets accepted ones finish until the context ends, aborts the rest, and waits for
// held state to be released.
func (e *Edge) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	if e.options.AdmissionListener != nil {
		e.options.AdmissionListener.Drain()
	}
	e.waitUntil(ctx, func() bool { return e.activeRequests.Load() == 0 })
	e.cancelCalls(engine.ErrCancelled)
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalStopTimeout)
	defer cancel()
	drained := e.waitUntil(finalCtx, func() bool { return e.activeRequests.Load() == 0 && e.activeCalls.Load() == 0 })
	// No stream is left. The remaining connections are idle, and a plain Shutdown would wait for them.
	err := e.shutdownServer(finalCtx)
	if !drained {
		return fmt.Errorf("edge stopped with %d requests and %d engine calls left", e.activeRequests.Load(), e.activeCalls.Load())
	}
	return err
}

// shutdownServer shuts the server down and waits until it has ended. A server that is still starting ignores a
// shutdown, so the call is repeated until Serve returns: otherwise the server would keep serving, or panic on a
// listener that was closed in the meantime.
func (e *Edge) shutdownServer(ctx context.Context) error {
	e.serveMu.Lock()
	served := e.serveDone
	e.serveMu.Unlock()
	if served == nil { // Serve was not called and will return at once
		return nil
	}
	for {
		idleCtx, cancelIdle := context.WithTimeout(ctx, time.Millisecond)
		var err error
		if e.server.IsRunning() {
			err = e.server.Shutdown(idleCtx)
		} else {
			err = e.server.Close()
		}
		cancelIdle()
		select {
		case <-served:
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				return fmt.Errorf("edge: stop server: %w", err)
			}
			return nil
		case <-time.After(2 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("edge: server did not shut down: %w", context.Cause(ctx))
		}
	}
}

// finalStopTimeout is the time for the last aborts and releases during Stop.
const finalStopTimeout = 2 * time.Second

func (e *Edge) waitUntil(ctx context.Context, cond func() bool) bool {
	for !cond() {
		select {
		case <-ctx.Done():
			return cond()
		case <-time.After(2 * time.Millisecond):
		}
	}
	return true
}

func (e *Edge) shardFor(id uint64) *shard { return &e.shards[id%uint64(len(e.shards))] }

func (e *Edge) lookup(id uint64) *completion {
	s := e.shardFor(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completions[id]
}

func (e *Edge) add(c *completion) {
	s := e.shardFor(c.id)
	s.mu.Lock()
	s.completions[c.id] = c
	s.mu.Unlock()
}

func (e *Edge) remove(id uint64) {
	s := e.shardFor(id)
	s.mu.Lock()
	delete(s.completions, id)
	s.mu.Unlock()
}

// externalID returns the id of a completion outside this process: the instance id, which distinguishes routers and their restarts, and
// its number.
func (e *Edge) externalID(id uint64) string {
	return "ch-" + e.instanceID + "-" + strconv.FormatUint(id, 10)
}
