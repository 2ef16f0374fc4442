package edge_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/decide"
	"cherryhub/internal/config"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/fleet"
	"cherryhub/internal/link"
	"cherryhub/internal/planner"
	"cherryhub/internal/record"
	"cherryhub/internal/rules"
	"cherryhub/internal/standin"
	pb "cherryhub/proto"
)

// A world is several routers (edge, planner and decide as they are, engine client and list follower too) before
// stand-in engines with their list service, in virtual time (testing/synctest): what lies between them are pipes in
// memory. The record is what stand-ins and clients saw of it, with no word from a router.

// pipes is a network in memory.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	port      int
}

type pipeListener struct {
	n       *pipes
	address pipeAddr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type pipeAddr string

func (a pipeAddr) Network() string { return "tcp" }
func (a pipeAddr) String() string  { return string(a) }

type pipeConn struct {
	net.Conn
	from, to pipeAddr
}

func (c *pipeConn) LocalAddr() net.Addr  { return c.from }
func (c *pipeConn) RemoteAddr() net.Addr { return c.to }

func (n *pipes) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.port++
		address = net.JoinHostPort(host, strconv.Itoa(20000+n.port))
	}
	l := &pipeListener{n: n, address: pipeAddr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr { return l.address }

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		if l.n.listeners[string(l.address)] == l {
			delete(l.n.listeners, string(l.address))
		}
		l.n.mu.Unlock()
	})
	return nil
}

// caller dials from one address until it is killed.
type caller struct {
	n    *pipes
	from string
	mu   sync.Mutex
	dead bool
	open []net.Conn
}

func (c *caller) dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	c.n.mu.Lock()
	l := c.n.listeners[address]
	c.n.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == nil || c.dead {
		return nil, refused
	}
	here, there := net.Pipe()
	mine, its := &pipeConn{here, pipeAddr(c.from + ":1"), l.address}, &pipeConn{there, l.address, pipeAddr(c.from + ":1")}
	select {
	case l.conns <- its:
		c.open = append(c.open, mine)
		return mine, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *caller) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
	for _, conn := range c.open {
		conn.Close()
	}
}

// faults are planted, to show that a property can fail.
type faults struct {
	router func(*pb.Router)
	orders func(edge link.Edge, o link.Command) // in place of edge.Order
	news   func(f link.Event) link.Event        // of the list
}

// one is a router of a world.
type one struct {
	w       *world
	at      int
	name    string
	edge    *edge.Edge
	planner *planner.Planner
	client  *engine.Client
	caller  *caller
	stop    context.CancelCauseFunc
	ctx     context.Context
	deaf    atomic.Bool
}

type world struct {
	t       require.TestingT
	set     *pb.Router // as engines and clients know it
	own     *pb.Router // as routers do
	net     *pipes
	fleet   *standin.Fleet
	rec     *record.Writer
	buf     bytes.Buffer
	entries []*pb.Entry // once it is over
	routers [3]atomic.Pointer[one]
	faults  faults
	calls   sync.WaitGroup
	parts   sync.WaitGroup
	next    int64
}

var errKilled = errors.New("killed")

const worldRouter = `listen: "127.0.0.1:0" zone: "a" routers: 3 seed: 5
machines { name: "read" role: READER memory_tokens: 60000 }
machines { name: "write" role: WRITER memory_tokens: 60000 }
machines { name: "both" role: MIXED memory_tokens: 60000 }
workloads { name: "chat" latency_target_s: 1.5 client_timeout_s: 3 value: 3 effect: IDEMPOTENT }
workloads { name: "order" latency_target_s: 2 client_timeout_s: 3 value: 2 effect: TOKENED group: CELL remembered_s: 2 }
workloads { name: "booking" latency_target_s: 2 client_timeout_s: 3 value: 1 }
workloads { name: "zoned" latency_target_s: 2 client_timeout_s: 3 value: 2 effect: TOKENED group: ZONE remembered_s: 1 }
workloads { name: "known" latency_target_s: 2 client_timeout_s: 3 value: 2 effect: TOKENED group: ALL remembered_s: 4 }
drain_grace_s: 0.25 let_go_s: 0.5
cold { start_share: 0.3 warm_s: 8 fall_multiple: 2.5 fall_window_s: 2 }
allowed { max_come_back_s: 0.5 max_dispatches: 5 places: true }
timing { answer_margin_ms: 200 stream_idle_s: 2 stop_s: 3 }
list { url: "http://127.0.0.1:1/" }`

const worldFleet = `list_listen: "127.0.0.1:0" list_delay_s: 0.2 cold { start_share: 0.3 warm_s: 8 fall_multiple: 2.5 fall_window_s: 2 }
engines { name: "reader" count: 2 machine: "read" role: READER zone: "a" cells: "a1" cells: "a2" slots: 4 memory_tokens: 60000 }
engines { name: "writer" count: 3 machine: "write" role: WRITER zone: "b" cells: "a1" cells: "a2" slots: 6 queue: 6 memory_tokens: 60000 token_ms: 15 mean_answer_tokens: 8 }
engines { name: "mixed" count: 1 machine: "both" role: MIXED zone: "a" cells: "a1" slots: 6 queue: 6 memory_tokens: 60000 token_ms: 15 mean_answer_tokens: 8 }`

// newWorld starts one; it must be called in a bubble.
func newWorld(t require.TestingT, f faults) *world {
	set, fl := &pb.Router{}, &pb.Fleet{}
	require.NoError(t, config.Parse("router", []byte(worldRouter), set))
	require.NoError(t, config.Parse("fleet", []byte(worldFleet), fl))
	w := &world{t: t, set: set, net: &pipes{listeners: map[string]*pipeListener{}}, faults: f}
	w.rec = record.New(&w.buf, io.NopCloser(nil), &pb.Head{Workloads: set.GetWorkloads(), LetGoS: proto.Float64(set.GetLetGoS()),
		DrainGraceS: proto.Float64(set.GetDrainGraceS()), Cold: set.GetCold(), ValueUnitTokens: proto.Float64(1000)})
	w.own = proto.CloneOf(set)
	if f.router != nil {
		f.router(w.own)
	}
	var err error
	w.fleet, err = standin.StartOn(w.net.Listen, fl, set.GetWorkloads(), w.rec)
	require.NoError(t, err)
	for i := range w.routers {
		w.routers[i].Store(w.start(i))
	}
	return w
}

type quiet struct{}

func (quiet) CompletionAccepted(int)                             {}
func (quiet) CompletionAnswered(int, edge.Answer, time.Duration) {}
func (quiet) FirstToken(int, time.Duration)                      {}
func (quiet) DispatchEnded(bool, decide.Outcome, time.Duration)  {}
func (quiet) Refused(int)                                        {}
func (quiet) StateReleased(time.Duration)                        {}
func (quiet) ReleaseStarted(string)                              {}

// orders is what a planner sees of the edge, with a planted fault between them.
type orders struct {
	e *edge.Edge
	f func(link.Edge, link.Command)
}

func (o *orders) Execute(order link.Command) {
	if o.f != nil {
		o.f(o.e, order)
		return
	}
	o.e.Execute(order)
}

// start starts a router, as internal/router does but for what needs sockets.
func (w *world) start(i int) *one {
	name := fmt.Sprint("r", i)
	r := &one{w: w, at: i, name: name, caller: &caller{n: w.net, from: fmt.Sprint("10.1.0.", i+1)}}
	w.fleet.Router(r.caller.from, name, w.own.GetZone())
	log := slog.New(slog.DiscardHandler)
	co := config.Engine(w.own)
	co.Dial = r.caller.dial
	var err error
	r.client, err = engine.NewClient(co)
	require.NoError(w.t, err)
	eo := config.Edge(w.own, w.own.GetAdmission())
	eo.Listener, err = w.net.Listen(net.JoinHostPort(r.caller.from, "0"))
	require.NoError(w.t, err)
	eo.Engines, eo.Log, eo.Observer = edge.VLLMEngines(r.client), log, quiet{}
	r.edge = edge.New(eo)
	po := config.Planner(w.own)
	po.Log = log
	po.ObserveDelay = func(float64) { // the planner's goroutine stands still while it is deaf
		for r.deaf.Load() {
			time.Sleep(time.Millisecond)
		}
	}
	s := config.Decide(w.own)
	s.Seed += uint64(i)
	r.planner, err = planner.New(s, po, &orders{r.edge, w.faults.orders})
	require.NoError(w.t, err)
	r.edge.SetPlanner(r.planner)
	r.ctx, r.stop = context.WithCancelCause(context.Background())
	follower := fleet.New(fleet.Options{URL: w.fleet.List.URL(), Poll: time.Second, Retry: 100 * time.Millisecond, MaxEngines: 100, Dial: r.caller.dial, Log: log,
		Tell: func(f link.Event) {
			if w.faults.news != nil {
				f = w.faults.news(f)
			}
			r.planner.Notify(f)
		}})
	w.parts.Go(func() { r.planner.Run(r.ctx) })
	w.parts.Go(func() { follower.Run(r.ctx) })
	return r
}

func (w *world) told(r *one, up bool) {
	w.rec.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: &r.name, Address: &r.caller.from, Up: &up}}})
}

// kill ends a router outright and has it come back with nothing.
func (w *world) kill(i int, down time.Duration) {
	r := w.routers[i].Load()
	w.told(r, false)
	r.stop(errKilled)
	r.caller.kill()
	r.deaf.Store(false)
	w.parts.Go(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		r.edge.Stop(ctx) //nolint:errcheck // it can reach nobody
		r.client.Close()
	})
	time.Sleep(down)
	again := w.start(i)
	w.routers[i].Store(again)
	w.told(again, true)
}

// end heals everything, waits until all is over and judges.
func (w *world) end() *rules.Report {
	w.calls.Wait()
	w.fleet.Heal()
	w.fleet.SlowLinks(1)
	w.fleet.List.Late(0)
	w.fleet.List.Empty(false)
	w.fleet.List.Gone(false)
	for _, e := range w.fleet.Engines {
		e.Fails(0)
		e.Slow(1)
		e.Silent(false)
		e.Paused(false)
		e.Breaks(0)
		e.Loses(0)
	}
	for i := range w.routers {
		w.routers[i].Load().deaf.Store(false)
	}
	time.Sleep(5 * time.Second)
	for i := range w.routers {
		r := w.routers[i].Load()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		require.NoError(w.t, r.edge.Stop(ctx))
		cancel()
		r.stop(nil)
		r.client.Close()
	}
	time.Sleep(time.Second)
	require.NoError(w.t, w.fleet.Close())
	w.parts.Wait()
	require.NoError(w.t, w.rec.Close())
	var err error
	w.entries, err = record.Read(&w.buf)
	require.NoError(w.t, err)
	report, err := rules.Check(w.entries)
	require.NoError(w.t, err)
	return report
}

// call is one completion as a client makes it.
type call struct {
	Router, Work, Tokens, Session int
	Stream                        bool
	Timeout                       float64 // seconds that the client states, 0 for none
	Leave                         float64 // seconds after which it leaves, 0 for never
}

func (w *world) call(c call) {
	w.next++
	id, r, set := w.next, w.routers[c.Router%len(w.routers)].Load(), w.set.GetWorkloads()[c.Work]
	w.calls.Go(func() {
		timeout := set.GetClientTimeoutS()
		if c.Timeout > 0 {
			timeout = min(timeout, c.Timeout)
		}
		key := fmt.Sprint("key-", id)
		note := func(kind pb.ClientEvent_Kind, detail string) {
			w.rec.Write(&pb.Entry{What: &pb.Entry_Client{Client: &pb.ClientEvent{Kind: &kind, Completion: &id, FirstTry: &id, Router: &r.name, Key: &key,
				Workload: proto.Int32(int32(c.Work)), TimeoutS: &timeout, Streamed: &c.Stream, PromptTokens: proto.Int32(int32(c.Tokens)), Detail: &detail}}})
		}
		ctx, cancel := context.WithCancel(r.ctx)
		defer cancel()
		var over atomic.Bool
		conn := &clientConn{said: func(event string) {
			switch {
			case over.Load():
				note(pb.ClientEvent_AFTER, event)
			case event == "[DONE]":
				over.Store(true)
				note(pb.ClientEvent_FINISHED, "")
			case strings.Contains(event, `"error"`):
				over.Store(true)
				note(pb.ClientEvent_ABORTED, "")
			}
		}, first: func() { note(pb.ClientEvent_FIRST, "") }}
		go func() { // the client's own end of it
			leaves, gives := make(<-chan time.Time), time.After(time.Duration(timeout*float64(time.Second)))
			if c.Leave > 0 {
				leaves = time.After(time.Duration(c.Leave * float64(time.Second)))
			}
			for {
				select {
				case <-ctx.Done():
					return
				case <-leaves:
					if !over.Swap(true) {
						note(pb.ClientEvent_LEFT, "")
						cancel()
					}
				case <-gives:
					if !conn.began.Load() && !over.Swap(true) {
						note(pb.ClientEvent_GAVE_UP, "")
						cancel()
					}
				}
			}
		}()
		rc := app.NewContext(0)
		rc.SetConn(conn)
		rc.Request.SetMethod("POST")
		rc.Request.SetRequestURI("/v1/chat/completions")
		rc.Request.Header.Set("Idempotency-Key", key)
		if c.Timeout > 0 {
			rc.Request.Header.Set("Cherryhub-Timeout", strconv.FormatFloat(timeout, 'f', 3, 64))
		}
		rc.Request.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":20,"user":"s%d","messages":[{"role":"system","content":"shared %s"},{"role":"user","content":"%d %s"}]}`,
			set.GetName(), c.Stream, c.Session, strings.Repeat("abc ", min(c.Tokens, 400)), c.Session, strings.Repeat("xyz ", c.Tokens)))
		note(pb.ClientEvent_SENT, "")
		r.edge.Complete(ctx, rc)
		if over.Load() {
			return
		}
		name := string(rc.Response.Header.Peek("X-Request-Id"))
		switch status := rc.Response.StatusCode(); {
		case ctx.Err() != nil:
			note(pb.ClientEvent_CUT, name)
		case conn.began.Load():
			note(pb.ClientEvent_CUT, "the stream ended without a last event")
		case status == 200:
			note(pb.ClientEvent_FINISHED, name)
		case status == 429:
			note(pb.ClientEvent_RATE_LIMITED, name)
		case status >= 500:
			note(pb.ClientEvent_ABORTED, name)
		default:
			note(pb.ClientEvent_REFUSED, string(rc.Response.Body()))
		}
	})
}

// clientConn is the client's side of a connection: it reads the events of a stream as they are flushed.
type clientConn struct {
	network.Conn // nothing else of it is called
	buf          bytes.Buffer
	began        atomic.Bool
	said         func(event string)
	first        func()
}

func (c *clientConn) Malloc(n int) ([]byte, error) {
	b := slices.Grow(c.buf.AvailableBuffer(), n)[:n]
	c.buf.Write(b)
	return c.buf.Bytes()[c.buf.Len()-n:], nil
}

func (c *clientConn) WriteBinary(b []byte) (int, error) { return c.buf.Write(b) }
func (c *clientConn) Write(b []byte) (int, error)       { return c.buf.Write(b) }

func (c *clientConn) Flush() error {
	for _, line := range strings.Split(c.buf.String(), "\n") {
		if event, is := strings.CutPrefix(line, "data: "); is {
			if !c.began.Load() && strings.Contains(event, `"content":"tok`) {
				c.began.Store(true)
				c.first()
			}
			c.said(event)
		}
	}
	c.buf.Reset()
	return nil
}

// TestVirtualDay: the rig itself, on a quiet day: all is finished, all is recorded, at the same times each time.
func TestVirtualDay(t *testing.T) {
	var reports [2]*rules.Report
	for i := range reports {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, faults{})
			time.Sleep(time.Second)
			for n := range 60 {
				w.call(call{Router: n, Work: n % 3, Tokens: 10 + 37*n, Stream: n%2 == 0, Session: n % 7})
				time.Sleep(100 * time.Millisecond)
			}
			reports[i] = w.end()
		})
		require.Empty(t, reports[i].Breaches)
		finished := 0
		for _, work := range reports[i].Works {
			finished += work.Finished
		}
		require.Equal(t, 60, finished)
	}
	require.Equal(t, reports[0].Works, reports[1].Works)
}
