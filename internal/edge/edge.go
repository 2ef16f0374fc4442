// Package edge holds the clients' connections: an OpenAI-style chat API on Hertz over netpoll, streamed and
// not. It tells a planner each event (link.Fact) and does what the planner orders (link.Order): dispatches,
// releases, final answers. It chooses no engine. What it guards by itself, so that a stalled planner harms no
// one: a taken completion is answered before its client timeout, a running stream goes on, and a state that no
// dispatch uses is let go in time. cmd/cherryhub starts it.
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

// Workload is a kind of completion as the edge needs to know it.
type Workload struct {
	Name             string
	Models           []string
	ClientTimeout    time.Duration // client timeout: to the first token, or the whole if not streamed
	Idempotency      decide.Idempotency
	DefaultMaxTokens int // tokens of an answer where the client doesn't say
}

// Tenant is one of those who share the engines.
type Tenant struct {
	Name      string
	KeyHashes [][32]byte // SHA-256 of its API keys
	Anonymous bool       // clients without a key are this one
}

// Limits bound what is taken.
type Limits struct {
	MaxBodyBytes, MaxHeaderBytes, MaxDepth, MaxMessages, MaxAnswerBytes int
}

// Identity says how a completion's parts are known.
type Identity struct {
	SessionFields         []string // body fields in order
	LeadingMessagesShared bool
	BytesPerToken         float64
}

// Options of an edge.
type Options struct {
	Listener            net.Listener   // or Door; neither: another front calls Take
	AdmissionListener   *door.Listener // lets clients in, nil: everybody is
	Workloads           []Workload
	Tenants             []Tenant // none: no keys are asked for
	Limits              Limits
	Identity            Identity
	AnswerMargin        time.Duration // kept for the way of the final answer
	HoldLimit           time.Duration // a state is held no longer while no dispatch is out
	MaxStreamDuration   time.Duration
	ClientWriteTimeout  time.Duration // a client that doesn't read so long has left
	IdleTimeout         time.Duration // a client's connection between two completions
	MaxBodyLag          time.Duration // a body may fall so far behind BodyRate, 0 for no such limit
	MinBodyRate         float64       // bytes a second
	MinClientReadRate   float64       // bytes a second at which a client reads at least while an answer waits, 0 for no such limit
	RetryAfter          time.Duration // the advice to one who was not taken, 0 for none
	Engines             Engines
	ReleaseByCompletion bool                                                         // engines hold all of a completion under one name, and any of them lets go of all
	Probe               func(ctx context.Context, address string) ([]float64, error) // nil: Engines does it
	Log                 *slog.Logger
	Observer            Observer
}

// Observer hears what an edge does; calls must not block.
type Observer interface {
	CompletionAccepted(workload int)
	CompletionAnswered(workload int, how Answer, took time.Duration)
	FirstToken(workload int, took time.Duration)
	DispatchEnded(reads bool, o decide.Outcome, took time.Duration)
	Refused(status int)
	ReleaseStarted(reason string)
	StateReleased(held time.Duration) // what was held has been let go, so long after the last that is known of its use
}

// Answer is how a completion ended for its client.
type Answer uint8

// The answers. Gone is none: the client left.
const (
	Finished Answer = iota
	RateLimited
	Aborted
	ClientLeft
)

func (a Answer) String() string {
	return [...]string{"finished", "rate-limited", "aborted", "left"}[a]
}

// Edge serves clients.
type Edge struct {
	o        Options
	planner  link.Planner
	server   *server.Hertz
	base     context.Context // of all dispatches
	began    time.Time       // the clock of leases starts then
	end      context.CancelCauseFunc
	models   map[string]int
	tenants  map[[32]byte]int
	nobody   int // the tenant of clients without a key, -1 for none
	start    string
	next     atomic.Uint64
	active   atomic.Int64 // handlers of calls, of which some are taken completions
	runs     atomic.Int64 // dispatches and releases
	ending   atomic.Bool
	releases atomic.Int64
	begins   sync.Mutex
	served   chan struct{} // is closed when Serve returns; nil before it has begun
	shards   [64]shard
}

type shard struct {
	mu   sync.Mutex
	open map[uint64]*completion
}

// Hertz logs to a logger of the whole process; what matters of it comes back as errors.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// New makes an edge. Its planner must be set with Plan before Serve.
func New(o Options) *Edge {
	if o.Probe == nil {
		o.Probe = o.Engines.Probe
	}
	e := &Edge{o: o, models: map[string]int{}, tenants: map[[32]byte]int{}, nobody: -1, began: time.Now()}
	e.base, e.end = context.WithCancelCause(context.Background())
	var nonce [4]byte
	rand.Read(nonce[:]) //nolint:errcheck // never fails
	e.start = hex.EncodeToString(nonce[:])
	for i := range e.shards {
		e.shards[i].open = map[uint64]*completion{}
	}
	for i, w := range o.Workloads {
		for _, m := range w.Models {
			e.models[m] = i
		}
	}
	if len(o.Tenants) == 0 {
		e.nobody = 0
	}
	for i, t := range o.Tenants {
		for _, key := range t.KeyHashes {
			e.tenants[key] = i
		}
		if t.Anonymous {
			e.nobody = i
		}
	}
	if o.Listener == nil && o.AdmissionListener == nil { // another front calls Take
		return e
	}
	options := []config.Option{server.WithListener(o.Listener), server.WithTransport(netpoll.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithStreamBody(true), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(o.Limits.MaxBodyBytes), server.WithMaxHeaderBytes(o.Limits.MaxHeaderBytes),
		server.WithReadTimeout(o.IdleTimeout), server.WithIdleTimeout(o.IdleTimeout), server.WithKeepAliveTimeout(o.IdleTimeout),
		server.WithWriteTimeout(o.ClientWriteTimeout), server.WithExitWaitTime(time.Second), server.WithRedirectTrailingSlash(false), server.WithHandleMethodNotAllowed(true)}
	if o.AdmissionListener != nil {
		options = append(options, server.WithListener(o.AdmissionListener))
		if o.AdmissionListener.UsesTLS() {
			// Hertz would sense a client's leaving by a read of its own, beside that of hangUp; the door senses it here.
			options = append(options, server.WithTransport(standard.NewTransporter), server.WithSenseClientDisconnection(false))
		} else {
			options = append(options, server.WithOnAccept(func(conn net.Conn) context.Context {
				o.AdmissionListener.AttachConn(conn)
				return context.Background()
			}))
		}
	}
	e.server = server.New(options...)
	if o.AdmissionListener != nil {
		e.server.Use(e.guard)
	}
	e.server.POST("/v1/chat/completions", e.complete)
	e.server.GET("/v1/models", e.listModels)
	e.server.NoRoute(func(_ context.Context, rc *app.RequestContext) {
		e.refuse(rc, &apiError{status: 404, kind: "invalid_request_error", code: "unknown_url",
			message: fmt.Sprintf("unknown call: %s %s", rc.Method(), rc.Path())})
	})
	e.server.NoMethod(func(_ context.Context, rc *app.RequestContext) {
		e.refuse(rc, &apiError{status: 405, kind: "invalid_request_error", code: "method_not_allowed",
			message: fmt.Sprintf("%s is not allowed at %s", rc.Method(), rc.Path())})
	})
	return e
}

// debugs tells whether debug lines are logged: what they hold is not worked out for nothing.
func (e *Edge) debugs() bool { return e.o.Log.Enabled(e.base, slog.LevelDebug) }

// Plan sets the planner.
func (e *Edge) SetPlanner(p link.Planner) { e.planner = p }

// Serve serves clients until Stop. Where Stop came first it serves nobody.
func (e *Edge) Serve() error {
	e.begins.Lock()
	if e.ending.Load() {
		e.begins.Unlock()
		return nil
	}
	served := make(chan struct{})
	defer close(served)
	e.served = served
	e.begins.Unlock()
	if err := e.server.Run(); err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

// Active is how many calls whose body is read have no final answer yet, and how many dispatches and releases run.
func (e *Edge) Active() (completions, dispatches int) {
	return int(e.active.Load()), int(e.runs.Load())
}

// Stop takes nothing new, lets what is taken end until the context does, ends the rest with an abort, and
// waits for states to be released.
func (e *Edge) Stop(ctx context.Context) error {
	e.ending.Store(true)
	if e.o.AdmissionListener != nil {
		e.o.AdmissionListener.Drain()
	}
	e.await(ctx, func() bool { return e.active.Load() == 0 })
	e.end(engine.ErrCancelled)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLast)
	defer cancel()
	clean := e.await(last, func() bool { return e.active.Load() == 0 && e.runs.Load() == 0 })
	// No stream is left: what connections there are wait for a next call. Shutdown would wait with them.
	err := e.endServer(last)
	if !clean {
		return fmt.Errorf("edge stopped with %d completions and %d dispatches left", e.active.Load(), e.runs.Load())
	}
	return err
}

// endServer has the server end and waits until it has. One that is still starting hears of no end: it is told
// until it has, since it would otherwise serve on, or panic at a listener that was closed meanwhile.
func (e *Edge) endServer(ctx context.Context) error {
	e.begins.Lock()
	served := e.served
	e.begins.Unlock()
	if served == nil { // it never began, and won't
		return nil
	}
	for {
		idle, off := context.WithTimeout(ctx, time.Millisecond)
		var err error
		if e.server.IsRunning() {
			err = e.server.Shutdown(idle)
		} else {
			err = e.server.Close()
		}
		off()
		select {
		case <-served:
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				return fmt.Errorf("edge: stop server: %w", err)
			}
			return nil
		case <-time.After(2 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("edge: the server does not end: %w", context.Cause(ctx))
		}
	}
}

// stopLast is the time for the last aborts and releases at a stop.
const stopLast = 2 * time.Second

func (e *Edge) await(ctx context.Context, so func() bool) bool {
	for !so() {
		select {
		case <-ctx.Done():
			return so()
		case <-time.After(2 * time.Millisecond):
		}
	}
	return true
}

func (e *Edge) shard(id uint64) *shard { return &e.shards[id%uint64(len(e.shards))] }

func (e *Edge) find(id uint64) *completion {
	s := e.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id]
}

func (e *Edge) add(c *completion) {
	s := e.shard(c.id)
	s.mu.Lock()
	s.open[c.id] = c
	s.mu.Unlock()
}

func (e *Edge) forget(id uint64) {
	s := e.shard(id)
	s.mu.Lock()
	delete(s.open, id)
	s.mu.Unlock()
}

// name is a completion's name outside: the router's start, which tells routers and restarts apart, and its number.
func (e *Edge) name(id uint64) string { return "ch-" + e.start + "-" + strconv.FormatUint(id, 10) }
