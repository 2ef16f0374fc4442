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

// testCluster runs several routers (the real edge, planner, decide, engine client and list follower) with stand-in
// engines and their list service in virtual time (testing/synctest), connected by in-memory pipes. The record
// contains what the stand-ins and the clients observed, and nothing reported by a router.

// pipeNetwork is an in-memory network.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	port      int
}

type pipeListener struct {
	network *pipeNetwork
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

func (n *pipeNetwork) Listen(address string) (net.Listener, error) {
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
	l := &pipeListener{network: n, address: pipeAddr(address), conns: make(chan net.Conn), closed: make(chan struct{})}
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
		l.network.mu.Lock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
		l.network.mu.Unlock()
	})
	return nil
}

// dialer dials from one address until it is killed.
type dialer struct {
	network      *pipeNetwork
	localAddress string
	mu           sync.Mutex
	killed       bool
	conns        []net.Conn
}

func (d *dialer) dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	d.network.mu.Lock()
	l := d.network.listeners[address]
	d.network.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if l == nil || d.killed {
		return nil, refused
	}
	local, remote := net.Pipe()
	clientConn, serverConn := &pipeConn{local, pipeAddr(d.localAddress + ":1"), l.address}, &pipeConn{remote, l.address, pipeAddr(d.localAddress + ":1")}
	select {
	case l.conns <- serverConn:
		d.conns = append(d.conns, clientConn)
		return clientConn, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (d *dialer) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = true
	for _, conn := range d.conns {
		conn.Close()
	}
}

// faults are planted to show that a property can fail.
type faults struct {
	routerConfig func(*pb.Router)
	command      func(edge link.Edge, cmd link.Command) // replaces edge.Execute
	engineList   func(ev link.Event) link.Event         // changes an update of the engine list
}

// testRouter is a router of a testCluster.
type testRouter struct {
	cluster        *testCluster
	index          int
	name           string
	edge           *edge.Edge
	planner        *planner.Planner
	client         *engine.Client
	caller         *dialer
	stop           context.CancelCauseFunc
	ctx            context.Context
	plannerStalled atomic.Bool
}

type testCluster struct {
	t              require.TestingT
	settings       *pb.Router // as used by engines and clients
	routerSettings *pb.Router // as used by the routers, with planted faults
	network        *pipeNetwork
	fleet          *standin.Fleet
	recorder       *record.Writer
	buf            bytes.Buffer
	entries        []*pb.Entry // set by finish
	routers        [3]atomic.Pointer[testRouter]
	faults         faults
	calls          sync.WaitGroup
	background     sync.WaitGroup
	lastCompletion int64
}

var errKilled = errors.New("killed")

const clusterRouterConfig = `listen: "127.0.0.1:0" zone: "a" routers: 3 seed: 5
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

const clusterFleetConfig = `list_listen: "127.0.0.1:0" list_delay_s: 0.2 cold { start_share: 0.3 warm_s: 8 fall_multiple: 2.5 fall_window_s: 2 }
engines { name: "reader" count: 2 machine: "read" role: READER zone: "a" cells: "a1" cells: "a2" slots: 4 memory_tokens: 60000 }
engines { name: "writer" count: 3 machine: "write" role: WRITER zone: "b" cells: "a1" cells: "a2" slots: 6 queue: 6 memory_tokens: 60000 token_ms: 15 mean_answer_tokens: 8 }
engines { name: "mixed" count: 1 machine: "both" role: MIXED zone: "a" cells: "a1" slots: 6 queue: 6 memory_tokens: 60000 token_ms: 15 mean_answer_tokens: 8 }`

// newTestCluster starts a cluster. It must be called in a synctest bubble.
func newTestCluster(t require.TestingT, f faults) *testCluster {
	settings, fleetSettings := &pb.Router{}, &pb.Fleet{}
	require.NoError(t, config.Parse("router", []byte(clusterRouterConfig), settings))
	require.NoError(t, config.Parse("fleet", []byte(clusterFleetConfig), fleetSettings))
	tc := &testCluster{t: t, settings: settings, network: &pipeNetwork{listeners: map[string]*pipeListener{}}, faults: f}
	tc.recorder = record.NewWriter(&tc.buf, io.NopCloser(nil), &pb.Head{Workloads: settings.GetWorkloads(), LetGoS: proto.Float64(settings.GetLetGoS()),
		DrainGraceS: proto.Float64(settings.GetDrainGraceS()), Cold: settings.GetCold(), ValueUnitTokens: proto.Float64(1000)})
	tc.routerSettings = proto.CloneOf(settings)
	if f.routerConfig != nil {
		f.routerConfig(tc.routerSettings)
	}
	var err error
	tc.fleet, err = standin.StartWithListener(tc.network.Listen, fleetSettings, settings.GetWorkloads(), tc.recorder)
	require.NoError(t, err)
	for i := range tc.routers {
		tc.routers[i].Store(tc.startRouter(i))
	}
	return tc
}

type noopObserver struct{}

func (noopObserver) CompletionAccepted(int)                             {}
func (noopObserver) CompletionAnswered(int, edge.Answer, time.Duration) {}
func (noopObserver) FirstToken(int, time.Duration)                      {}
func (noopObserver) DispatchEnded(bool, decide.Outcome, time.Duration)  {}
func (noopObserver) Refused(int)                                        {}
func (noopObserver) StateReleased(time.Duration)                        {}
func (noopObserver) ReleaseStarted(string)                              {}

// commandInterceptor passes the planner's commands to the edge, through a planted fault if there is one.
type commandInterceptor struct {
	edge      *edge.Edge
	intercept func(link.Edge, link.Command)
}

func (i *commandInterceptor) Execute(cmd link.Command) {
	if i.intercept != nil {
		i.intercept(i.edge, cmd)
		return
	}
	i.edge.Execute(cmd)
}

// startRouter starts a router as internal/router does, except for the parts that need sockets.
func (tc *testCluster) startRouter(i int) *testRouter {
	name := fmt.Sprint("r", i)
	r := &testRouter{cluster: tc, index: i, name: name, caller: &dialer{network: tc.network, localAddress: fmt.Sprint("10.1.0.", i+1)}}
	tc.fleet.RegisterRouter(r.caller.localAddress, name, tc.routerSettings.GetZone())
	log := slog.New(slog.DiscardHandler)
	co := config.EngineOptions(tc.routerSettings)
	co.Dial = r.caller.dial
	var err error
	r.client, err = engine.NewClient(co)
	require.NoError(tc.t, err)
	eo := config.EdgeOptions(tc.routerSettings, tc.routerSettings.GetAdmission())
	eo.Listener, err = tc.network.Listen(net.JoinHostPort(r.caller.localAddress, "0"))
	require.NoError(tc.t, err)
	eo.Engines, eo.Log, eo.Observer = edge.VLLMEngines(r.client), log, noopObserver{}
	r.edge = edge.New(eo)
	po := config.PlannerOptions(tc.routerSettings)
	po.Log = log
	po.ObserveDelay = func(float64) { // blocks the planner's goroutine while it is stalled
		for r.plannerStalled.Load() {
			time.Sleep(time.Millisecond)
		}
	}
	s := config.DecideSettings(tc.routerSettings)
	s.Seed += uint64(i)
	r.planner, err = planner.New(s, po, &commandInterceptor{r.edge, tc.faults.command})
	require.NoError(tc.t, err)
	r.edge.SetPlanner(r.planner)
	r.ctx, r.stop = context.WithCancelCause(context.Background())
	follower := fleet.New(fleet.Options{URL: tc.fleet.List.URL(), PollInterval: time.Second, RetryDelay: 100 * time.Millisecond, MaxEngines: 100, Dial: r.caller.dial, Log: log,
		Notify: func(ev link.Event) {
			if tc.faults.engineList != nil {
				ev = tc.faults.engineList(ev)
			}
			r.planner.Notify(ev)
		}})
	tc.background.Go(func() { r.planner.Run(r.ctx) })
	tc.background.Go(func() { follower.Run(r.ctx) })
	return r
}

func (tc *testCluster) recordRouterState(r *testRouter, up bool) {
	tc.recorder.Write(&pb.Entry{What: &pb.Entry_Router{Router: &pb.RouterEvent{Router: &r.name, Address: &r.caller.localAddress, Up: &up}}})
}

// kill ends a router abruptly and restarts it without its state.
func (tc *testCluster) kill(i int, down time.Duration) {
	r := tc.routers[i].Load()
	tc.recordRouterState(r, false)
	r.stop(errKilled)
	r.caller.kill()
	r.plannerStalled.Store(false)
	tc.background.Go(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		r.edge.Stop(ctx) //nolint:errcheck // it can reach no engine or client
		r.client.Close()
	})
	time.Sleep(down)
	restarted := tc.startRouter(i)
	tc.routers[i].Store(restarted)
	tc.recordRouterState(restarted, true)
}

// finish reverts all disturbances, waits until everything has ended, and checks the rules.
func (tc *testCluster) finish() *rules.Report {
	tc.calls.Wait()
	tc.fleet.EndIsolation()
	tc.fleet.SetTransferSlowdown(1)
	tc.fleet.List.SetExtraDelay(0)
	tc.fleet.List.SetEmpty(false)
	tc.fleet.List.SetUnavailable(false)
	for _, e := range tc.fleet.Engines {
		e.SetFailureShare(0)
		e.SetSlowdown(1)
		e.SetSilent(false)
		e.SetPaused(false)
		e.SetBrokenShare(0)
		e.SetLostShare(0)
	}
	for i := range tc.routers {
		tc.routers[i].Load().plannerStalled.Store(false)
	}
	time.Sleep(5 * time.Second)
	for i := range tc.routers {
		r := tc.routers[i].Load()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		require.NoError(tc.t, r.edge.Stop(ctx))
		cancel()
		r.stop(nil)
		r.client.Close()
	}
	time.Sleep(time.Second)
	require.NoError(tc.t, tc.fleet.Close())
	tc.background.Wait()
	require.NoError(tc.t, tc.recorder.Close())
	var err error
	tc.entries, err = record.Read(&tc.buf)
	require.NoError(tc.t, err)
	report, err := rules.Check(tc.entries)
	require.NoError(tc.t, err)
	return report
}

// clientCall is a completion as sent by a client.
type clientCall struct {
	Router, Workload, PromptTokens, Session int
	Stream                                  bool
	TimeoutSeconds                          float64 // timeout given by the client, 0 for none
	LeaveAfterSeconds                       float64 // disconnects after that time, 0 for never
}

func (tc *testCluster) call(c clientCall) {
	tc.lastCompletion++
	id, r, workload := tc.lastCompletion, tc.routers[c.Router%len(tc.routers)].Load(), tc.settings.GetWorkloads()[c.Workload]
	tc.calls.Go(func() {
		timeout := workload.GetClientTimeoutS()
		if c.TimeoutSeconds > 0 {
			timeout = min(timeout, c.TimeoutSeconds)
		}
		key := fmt.Sprint("key-", id)
		recordEvent := func(kind pb.ClientEvent_Kind, detail string) {
			tc.recorder.Write(&pb.Entry{What: &pb.Entry_Client{Client: &pb.ClientEvent{Kind: &kind, Completion: &id, FirstTry: &id, Router: &r.name, Key: &key,
				Workload: proto.Int32(int32(c.Workload)), TimeoutS: &timeout, Streamed: &c.Stream, PromptTokens: proto.Int32(int32(c.PromptTokens)), Detail: &detail}}})
		}
		ctx, cancel := context.WithCancel(r.ctx)
		defer cancel()
		var ended atomic.Bool
		conn := &clientConn{onEvent: func(event string) {
			switch {
			case ended.Load():
				recordEvent(pb.ClientEvent_AFTER, event)
			case event == "[DONE]":
				ended.Store(true)
				recordEvent(pb.ClientEvent_FINISHED, "")
			case strings.Contains(event, `"error"`):
				ended.Store(true)
				recordEvent(pb.ClientEvent_ABORTED, "")
			}
		}, onFirstToken: func() { recordEvent(pb.ClientEvent_FIRST, "") }}
		go func() { // the client disconnects or times out
			leave, giveUp := make(<-chan time.Time), time.After(time.Duration(timeout*float64(time.Second)))
			if c.LeaveAfterSeconds > 0 {
				leave = time.After(time.Duration(c.LeaveAfterSeconds * float64(time.Second)))
			}
			for {
				select {
				case <-ctx.Done():
					return
				case <-leave:
					if !ended.Swap(true) {
						recordEvent(pb.ClientEvent_LEFT, "")
						cancel()
					}
				case <-giveUp:
					if !conn.streaming.Load() && !ended.Swap(true) {
						recordEvent(pb.ClientEvent_GAVE_UP, "")
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
		if c.TimeoutSeconds > 0 {
			rc.Request.Header.Set("Cherryhub-Timeout", strconv.FormatFloat(timeout, 'f', 3, 64))
		}
		rc.Request.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":20,"user":"s%d","messages":[{"role":"system","content":"shared %s"},{"role":"user","content":"%d %s"}]}`,
			workload.GetName(), c.Stream, c.Session, strings.Repeat("abc ", min(c.PromptTokens, 400)), c.Session, strings.Repeat("xyz ", c.PromptTokens)))
		recordEvent(pb.ClientEvent_SENT, "")
		r.edge.HandleChatCompletion(ctx, rc)
		if ended.Load() {
			return
		}
		name := string(rc.Response.Header.Peek("X-Request-Id"))
		switch status := rc.Response.StatusCode(); {
		case ctx.Err() != nil:
			recordEvent(pb.ClientEvent_CUT, name)
		case conn.streaming.Load():
			recordEvent(pb.ClientEvent_CUT, "the stream ended without a last event")
		case status == 200:
			recordEvent(pb.ClientEvent_FINISHED, name)
		case status == 429:
			recordEvent(pb.ClientEvent_RATE_LIMITED, name)
		case status >= 500:
			recordEvent(pb.ClientEvent_ABORTED, name)
		default:
			recordEvent(pb.ClientEvent_REFUSED, string(rc.Response.Body()))
		}
	})
}

// clientConn is the client's end of a connection. It parses the events of a stream as they are flushed.
type clientConn struct {
	network.Conn // no other methods are called
	buf          bytes.Buffer
	streaming    atomic.Bool
	onEvent      func(event string)
	onFirstToken func()
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
		if event, ok := strings.CutPrefix(line, "data: "); ok {
			if !c.streaming.Load() && strings.Contains(event, `"content":"tok`) {
				c.streaming.Store(true)
				c.onFirstToken()
			}
			c.onEvent(event)
		}
	}
	c.buf.Reset()
	return nil
}

// TestVirtualClusterDeterministic checks the test cluster itself: without disturbances all completions finish, and two runs give the same
// results.
func TestVirtualClusterDeterministic(t *testing.T) {
	var reports [2]*rules.Report
	for i := range reports {
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t, faults{})
			time.Sleep(time.Second)
			for n := range 60 {
				tc.call(clientCall{Router: n, Workload: n % 3, PromptTokens: 10 + 37*n, Stream: n%2 == 0, Session: n % 7})
				time.Sleep(100 * time.Millisecond)
			}
			reports[i] = tc.finish()
		})
		require.Empty(t, reports[i].Violations)
		finished := 0
		for _, work := range reports[i].Workloads {
			finished += work.Finished
		}
		require.Equal(t, 60, finished)
	}
	require.Equal(t, reports[0].Workloads, reports[1].Workloads)
}
