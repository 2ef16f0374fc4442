package front

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
	"cherryhub/internal/loopback"
)

// hookedListener returns acceptErrors from its first accepts and then accepts connections, which call the hooks.
type hookedListener struct {
	net.Listener
	mu           sync.Mutex
	acceptErrors []error
	accepts      int
	hooks        hooks
}

// hooks are called on the server's side of a connection: before the sending side is shut down or the connection closed,
// whichever comes first; with each read deadline, which they may replace; and after a read.
type hooks struct {
	beforeClose    func()
	beforeCloseOf  func(remote string)
	onReadDeadline func(time.Time) time.Time
	afterRead      func() // after bytes were read, before they are returned
}

func (l *hookedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.accepts++
	if len(l.acceptErrors) > 0 {
		err := l.acceptErrors[0]
		l.acceptErrors = l.acceptErrors[1:]
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Unlock()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{TCPConn: conn.(*net.TCPConn), hooks: l.hooks}, nil
}

type hookedConn struct {
	*net.TCPConn
	hooks hooks
	once  sync.Once
}

func (c *hookedConn) runCloseHooks() {
	c.once.Do(func() {
		if c.hooks.beforeClose != nil {
			c.hooks.beforeClose()
		}
		if c.hooks.beforeCloseOf != nil {
			c.hooks.beforeCloseOf(c.RemoteAddr().String())
		}
	})
}

func (c *hookedConn) CloseWrite() error { c.runCloseHooks(); return c.TCPConn.CloseWrite() }
func (c *hookedConn) Close() error      { c.runCloseHooks(); return c.TCPConn.Close() }

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.hooks.afterRead != nil {
		c.hooks.afterRead()
	}
	return n, err
}

func (c *hookedConn) SetReadDeadline(t time.Time) error {
	if c.hooks.onReadDeadline != nil {
		t = c.hooks.onReadDeadline(t)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// rateLimitingPlanner is a planner that rate-limits each completion, unless it holds them. It counts the completions
// offered and the clients that disconnected.
type rateLimitingPlanner struct {
	edge                 *edge.Edge
	mu                   sync.Mutex
	holding              bool
	heldIDs              []uint64
	offered, clientsLeft atomic.Int64
	command              link.Command // for each completion; its zero value stands for a rate limit
}

func (p *rateLimitingPlanner) Offer(ev link.Event) bool {
	p.offered.Add(1)
	p.mu.Lock()
	holding := p.holding
	if holding {
		p.heldIDs = append(p.heldIDs, ev.Completion)
	}
	p.mu.Unlock()
	if !holding {
		cmd := p.command
		if cmd == (link.Command{}) {
			cmd.Kind = link.RateLimit
		}
		cmd.Completion = ev.Completion
		p.edge.Execute(cmd)
	}
	return true
}

// rateLimitHeld stops holding and rate-limits the completions that are held.
func (p *rateLimitingPlanner) rateLimitHeld() {
	p.mu.Lock()
	ids := p.heldIDs
	p.holding, p.heldIDs = false, nil
	p.mu.Unlock()
	for _, id := range ids {
		p.edge.Execute(link.Command{Kind: link.RateLimit, Completion: id})
	}
}

func (p *rateLimitingPlanner) Notify(ev link.Event) {
	if ev.Kind == link.ClientLeft {
		p.clientsLeft.Add(1)
	}
}

// noEngines stands in for engines in tests that must not call any.
type noEngines struct{ edge.Engines }

type nopObserver struct{}

func (nopObserver) CompletionAccepted(int)                             {}
func (nopObserver) CompletionAnswered(int, edge.Answer, time.Duration) {}
func (nopObserver) FirstToken(int, time.Duration)                      {}
func (nopObserver) DispatchEnded(bool, decide.Outcome, time.Duration)  {}
func (nopObserver) Refused(int)                                        {}
func (nopObserver) StateReleased(time.Duration)                        {}
func (nopObserver) ReleaseStarted(string)                              {}

// testServer is a server on a real socket with a rateLimitingPlanner.
type testServer struct {
	t        *testing.T
	server   *Server
	planner  *rateLimitingPlanner
	listener *hookedListener
	served   chan error
}

func newTestServer(t *testing.T, h hooks, acceptErrors ...error) *testServer {
	return newTestServerWith(t, h, noEngines{}, acceptErrors...)
}

func newTestServerWith(t *testing.T, h hooks, engines edge.Engines, acceptErrors ...error) *testServer {
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	r := &testServer{t: t, planner: &rateLimitingPlanner{}, listener: &hookedListener{Listener: ln, acceptErrors: acceptErrors, hooks: h}, served: make(chan error, 1)}
	log := slog.New(slog.DiscardHandler)
	e := edge.New(edge.Options{Engines: engines, ReleaseByCompletion: true, HoldLimit: time.Second, Log: log, Observer: nopObserver{}, Probe: func(context.Context, string) ([]float64, error) {
		return nil, engine.ErrProbeSkipped
	}})
	r.planner.edge = e
	e.SetPlanner(r.planner)
	r.server = New(Options{Listener: r.listener, Edge: e, Workloads: []string{"chat"}, MaxConns: 64, MaxBufferedBodyBytes: 1 << 20, AnswerMargin: 10 * time.Millisecond, MaxStreamDuration: time.Minute, Log: log})
	r.server.SetReady()
	go func() { r.served <- r.server.Serve() }()
	t.Cleanup(func() {
		ln.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, r.server.Close(ctx))
	})
	return r
}

// awaitIdle waits until the only connection is between two requests.
func (r *testServer) awaitIdle() {
	require.Eventually(r.t, func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.connTable.idleProven.Len()+r.server.connTable.idleUnproven.Len() == 1
	}, 5*time.Second, time.Millisecond)
}

func (r *testServer) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.listener.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a test
	return conn, bufio.NewReader(conn)
}

func chatRequest(id string) string {
	const body = `{"messages":[]}`
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: chat\r\nX-Deadline: 5000m\r\nContent-Length: 15\r\n\r\n" + body
}

func readStatus(t *testing.T, r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// TestRequestRacesWithClose: a request that arrives just as its connection is closed is never served, and the connection
// is closed in order: the client can still read the previous response, then the end of the stream, and no reset.
func TestRequestRacesWithClose(t *testing.T) {
	shortIdle := func(at time.Time) time.Time { // shortens the idle timeout
		if time.Until(at) > requestReadTimeout {
			return time.Now().Add(20 * time.Millisecond)
		}
		return at
	}
	for name, tc := range map[string]struct {
		first string
		want  int
		hooks hooks
		end   func(r *testServer)
	}{
		"drained":                   {chatRequest("a"), 429, hooks{}, func(r *testServer) { r.server.DrainConns() }},
		"stopped":                   {chatRequest("a"), 429, hooks{}, func(r *testServer) { r.server.RefuseRequests(); require.NoError(r.t, r.server.Close(r.t.Context())) }},
		"stopped without a request": {"", 0, hooks{}, func(r *testServer) { require.NoError(r.t, r.server.Close(r.t.Context())) }},
		"idle timeout":              {chatRequest("a"), 429, hooks{onReadDeadline: shortIdle}, func(*testServer) {}},
		"client asked to close":     {strings.Replace(chatRequest("a"), "Host", "Connection: close\r\nHost", 1), 429, hooks{}, func(*testServer) {}},
		"malformed request":         {"GARBAGE\r\n\r\n", 400, hooks{}, func(*testServer) {}},
		"body not read":             {strings.Replace(chatRequest("a"), "Class: chat", "Class: none", 1), 400, hooks{}, func(*testServer) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conn net.Conn
			dialed, sent := make(chan struct{}), make(chan struct{})
			tc.hooks.beforeClose = func() {
				<-dialed
				io.WriteString(conn, chatRequest("crossing")) //nolint:errcheck // a reset is detected below
				close(sent)
			}
			r := newTestServer(t, tc.hooks)
			conn, in := r.dial()
			close(dialed)
			_, err := io.WriteString(conn, tc.first)
			require.NoError(t, err)
			isIdle := func() bool {
				r.server.mu.Lock()
				defer r.server.mu.Unlock()
				return r.server.connTable.idleProven.Len()+r.server.connTable.idleUnproven.Len() == 1 || tc.first == "" && r.server.connTable.noRequestYet.Len() == 1
			}
			for range 1000 {
				if isIdle() || isClosed(sent) {
					break
				}
				time.Sleep(time.Millisecond)
			}
			offered := r.planner.offered.Load()
			tc.end(r)
			<-sent
			if tc.want != 0 {
				require.Equal(t, tc.want, readStatus(t, in))
			}
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection was reset")
			require.LessOrEqual(t, r.planner.offered.Load(), max(offered, 1), "the racing request was served")
			require.Eventually(t, func() bool { return r.server.Conns() == 0 }, time.Second, time.Millisecond)
		})
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestDrainClosesAllInOrder: when a router drains, all of its idle connections are closed in order, however many there
// are. Responses that clients have not read yet arrive completely, even if another request races with each close.
func TestDrainClosesAllInOrder(t *testing.T) {
	var r *testServer
	var conns sync.Map // client connections by local address
	r = newTestServer(t, hooks{beforeCloseOf: func(remote string) {
		if conn, known := conns.Load(remote); known {
			io.WriteString(conn.(net.Conn), chatRequest("crossing")) //nolint:errcheck // a reset is detected below
		}
	}})
	var readers []*bufio.Reader
	for range r.server.connTable.maxConns {
		conn, in := r.dial()
		conns.Store(conn.LocalAddr().String(), conn)
		_, err := io.WriteString(conn, chatRequest("a"+conn.LocalAddr().String()[len("127.0.0.1:"):]))
		require.NoError(t, err)
		readers = append(readers, in)
	}
	require.Eventually(t, func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.connTable.idleProven.Len() == len(readers)
	}, 2*time.Second, time.Millisecond)
	r.server.DrainConns()
	for _, in := range readers {
		require.Equal(t, 429, readStatus(t, in))
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection was reset")
	}
}

// TestEvictedWhileGoingIdle: a connection that is evicted just as its request ends and its idle timeout begins is closed at
// once, not after the idle timeout.
func TestEvictedWhileGoingIdle(t *testing.T) {
	var r *testServer
	drained := make(chan struct{})
	var once sync.Once
	started := make(chan struct{})
	r = newTestServer(t, hooks{onReadDeadline: func(at time.Time) time.Time {
		if time.Until(at) > requestReadTimeout { // the idle timeout begins
			once.Do(func() {
				<-started
				go func() { r.server.DrainConns(); close(drained) }()
				select { // drains in between, unless the server's lock prevents it
				case <-drained:
				case <-time.After(50 * time.Millisecond):
				}
			})
		}
		return at
	}})
	close(started)
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatRequest("a"))
	require.NoError(t, err)
	require.Equal(t, 429, readStatus(t, in))
	<-drained
	conn.SetReadDeadline(time.Now().Add(2 * time.Second)) //nolint:errcheck // a test
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestEvictedWhileRequestArrives: a request that was partly read before its connection is evicted is answered, and the
// response announces the close. Without an answer the request would be lost.
func TestEvictedWhileRequestArrives(t *testing.T) {
	request := chatRequest("crossing")
	for _, first := range []int{1, len(request) / 2, len(request)} { // bytes read before the eviction
		t.Run(request[:first], func(t *testing.T) {
			var r *testServer
			var reads atomic.Int64
			r = newTestServer(t, hooks{afterRead: func() {
				if reads.Add(1) == 2 {
					r.server.DrainConns()
				}
			}})
			conn, in := r.dial()
			_, err := io.WriteString(conn, chatRequest("a"))
			require.NoError(t, err)
			require.Equal(t, 429, readStatus(t, in))
			_, err = io.WriteString(conn, request[:first])
			require.NoError(t, err)
			require.Eventually(t, func() bool { return reads.Load() > 1 }, time.Second, time.Millisecond)
			_, err = io.WriteString(conn, request[first:])
			require.NoError(t, err)
			require.Equal(t, 429, readStatus(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.EqualValues(t, 2, r.planner.offered.Load())
		})
	}
}

// TestEvictedWithRequestsReadAhead: requests that were read together before their connection is evicted are all answered.
func TestEvictedWithRequestsReadAhead(t *testing.T) {
	var r *testServer
	var reads atomic.Int64
	delayEndOfRequest := func(at time.Time) time.Time { // the request ends well after its response is sent
		if at.Equal(pastDeadline) && reads.Load() == 1 {
			time.Sleep(20 * time.Millisecond)
		}
		return at
	}
	r = newTestServer(t, hooks{onReadDeadline: delayEndOfRequest, afterRead: func() {
		if reads.Add(1) != 2 {
			return
		}
		r.server.mu.Lock() // as if for a new connection in a full table
		defer r.server.mu.Unlock()
		id, found := r.server.connTable.takeIdle()
		require.True(t, found)
		r.server.evict(id)
	}})
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatRequest("a"))
	require.NoError(t, err)
	require.Equal(t, 429, readStatus(t, in))
	r.awaitIdle() // the response arrives before the request's end: until then input is read ahead and the connection can't be evicted
	_, err = io.WriteString(conn, chatRequest("b")+chatRequest("c")+chatRequest("d"))
	require.NoError(t, err)
	for n := range 3 {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "request %d got no response", n)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, n == 2, resp.Close, "response %d", n)
	}
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 4, r.planner.offered.Load())
}

// TestReadAheadIsAnswered: requests that were read ahead behind a running one are answered once each, even if the router
// starts to drain meanwhile. Only the last response announces the close.
func TestReadAheadIsAnswered(t *testing.T) {
	const pipelined = 3
	r := newTestServer(t, hooks{})
	r.planner.holding = true
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatRequest("c0"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.planner.offered.Load() == 1 }, time.Second, time.Millisecond)
	for n := 1; n <= pipelined; n++ {
		_, err = io.WriteString(conn, chatRequest("c"+string(rune('0'+n))))
		require.NoError(t, err)
	}
	time.Sleep(20 * time.Millisecond) // until they are read ahead
	r.server.DrainConns()
	r.planner.rateLimitHeld()
	for n := range pipelined + 1 {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "request %d got no response", n)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, 429, resp.StatusCode)
		require.Equal(t, n == pipelined, resp.Close, "response %d", n)
	}
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, pipelined+1, r.planner.offered.Load())
}

// measureTimerDelay measures how late timers fire on this machine until the returned function is called, which returns the
// sum over that time: on a busy machine a goroutine may be delayed several times in a row.
func measureTimerDelay() func() time.Duration {
	const pause = 5 * time.Millisecond
	end, total := make(chan struct{}), make(chan time.Duration)
	go func() {
		late := time.Duration(0)
		for {
			start := time.Now()
			select {
			case <-end:
				total <- late
				return
			case <-time.After(pause):
				late += time.Since(start) - pause
			}
		}
	}()
	return func() time.Duration { close(end); return <-total }
}

// TestDisconnectBehindPipelinedRequests: if a client sends more requests than are read ahead and then closes the
// connection, the disconnect is noticed at once for the running completion.
func TestDisconnectBehindPipelinedRequests(t *testing.T) {
	for name, pipelined := range map[string]int{"no request": 0, "a few requests": 3, "more than the buffer": 40} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestServer(t, hooks{})
			r.planner.holding = true
			conn, _ := r.dial()
			_, err := io.WriteString(conn, chatRequest("first")+strings.Repeat(chatRequest("behind"), pipelined))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return r.planner.offered.Load() == 1 }, time.Second, time.Millisecond)
			timerDelay := measureTimerDelay()
			closed := time.Now()
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool { return r.planner.clientsLeft.Load() == 1 }, 5*time.Second, time.Millisecond)
			elapsed := time.Since(closed)
			require.Less(t, elapsed, 100*time.Millisecond+timerDelay(), "more than the limit plus this machine's timer delay")
			require.Eventually(t, func() bool { return r.server.Conns() == 0 }, time.Second, time.Millisecond)
			require.EqualValues(t, 1, r.planner.offered.Load(), "a pipelined request was accepted")
		})
	}
}

// TestIncompleteRequest: a client that stops in the middle of a request without closing gets an error and the end of the
// connection within the time limit.
func TestIncompleteRequest(t *testing.T) {
	request := chatRequest("half")
	for _, sent := range []int{1, len(request) / 2, len(request) - 1} {
		t.Run(request[:sent], func(t *testing.T) {
			t.Parallel()
			r := newTestServer(t, hooks{})
			conn, in := r.dial()
			start := time.Now()
			_, err := io.WriteString(conn, request[:sent])
			require.NoError(t, err)
			require.Equal(t, 408, readStatus(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Less(t, time.Since(start), 3*time.Second)
			require.Zero(t, r.planner.offered.Load())
		})
	}
}

// TestAcceptFails: after any accept error the listener stays open, waits longer each time and serves later connections.
func TestAcceptFails(t *testing.T) {
	var acceptErrors []error
	for range 3 {
		for _, number := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
			acceptErrors = append(acceptErrors, &net.OpError{Op: "accept", Net: "tcp", Err: number})
		}
	}
	start := time.Now()
	r := newTestServer(t, hooks{}, acceptErrors...)
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatRequest("a"))
	require.NoError(t, err)
	require.Equal(t, 429, readStatus(t, in))
	require.Greater(t, time.Since(start), time.Second, "it retried without a delay")
	require.NoError(t, r.listener.Close())
	require.NoError(t, <-r.served)
}
