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

// hookedListener accepts from a socket. Before it does, it gives the errors that are left; what it accepts calls the
// hooks.
type hookedListener struct {
	net.Listener
	mu      sync.Mutex
	errors  []error
	accepts int
	hooks   hooks
}

// hooks are called on the server's side of a connection: before its sending side is shut or it is closed, whichever is
// first, with each read deadline, which may be replaced, and with what was read.
type hooks struct {
	closing   func()
	closingOf func(remote string)
	deadline  func(time.Time) time.Time
	read      func() // after bytes were read, before they are handed on
}

func (l *hookedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.accepts++
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
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

func (c *hookedConn) closes() {
	c.once.Do(func() {
		if c.hooks.closing != nil {
			c.hooks.closing()
		}
		if c.hooks.closingOf != nil {
			c.hooks.closingOf(c.RemoteAddr().String())
		}
	})
}

func (c *hookedConn) CloseWrite() error { c.closes(); return c.TCPConn.CloseWrite() }
func (c *hookedConn) Close() error      { c.closes(); return c.TCPConn.Close() }

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.hooks.read != nil {
		c.hooks.read()
	}
	return n, err
}

func (c *hookedConn) SetReadDeadline(t time.Time) error {
	if c.hooks.deadline != nil {
		t = c.hooks.deadline(t)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// shedding is a planner that sheds each call, unless it has to hold them; it counts what it was offered and what left.
type shedding struct {
	e             *edge.Edge
	mu            sync.Mutex
	holds         bool
	held          []uint64
	offered, left atomic.Int64
}

func (p *shedding) Offer(f link.Event) bool {
	p.offered.Add(1)
	p.mu.Lock()
	holds := p.holds
	if holds {
		p.held = append(p.held, f.Completion)
	}
	p.mu.Unlock()
	if !holds {
		p.e.Execute(link.Command{Kind: link.RateLimit, Completion: f.Completion})
	}
	return true
}

// shed has it hold calls no longer, and shed those that it holds.
func (p *shedding) shed() {
	p.mu.Lock()
	held := p.held
	p.holds, p.held = false, nil
	p.mu.Unlock()
	for _, id := range held {
		p.e.Execute(link.Command{Kind: link.RateLimit, Completion: id})
	}
}

func (p *shedding) Notify(f link.Event) {
	if f.Kind == link.ClientLeft {
		p.left.Add(1)
	}
}

// noEngines are never called.
type noEngines struct{ edge.Engines }

type quiet struct{}

func (quiet) CompletionAccepted(int)                             {}
func (quiet) CompletionAnswered(int, edge.Answer, time.Duration) {}
func (quiet) FirstToken(int, time.Duration)                      {}
func (quiet) DispatchEnded(bool, decide.Outcome, time.Duration)  {}
func (quiet) Refused(int)                                        {}
func (quiet) StateReleased(time.Duration)                        {}
func (quiet) ReleaseStarted(string)                              {}

// rig is a server on a real socket before a planner that sheds.
type rig struct {
	t       *testing.T
	s       *Server
	planner *shedding
	ln      *hookedListener
	served  chan error
}

func newRig(t *testing.T, h hooks, faults ...error) *rig {
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	r := &rig{t: t, planner: &shedding{}, ln: &hookedListener{Listener: ln, errors: faults, hooks: h}, served: make(chan error, 1)}
	log := slog.New(slog.DiscardHandler)
	e := edge.New(edge.Options{Engines: noEngines{}, ReleaseByCompletion: true, HoldLimit: time.Second, Log: log, Observer: quiet{}, Probe: func(context.Context, string) ([]float64, error) {
		return nil, engine.ErrProbeSkipped
	}})
	r.planner.e = e
	e.SetPlanner(r.planner)
	r.s = New(Options{Listener: r.ln, Edge: e, Workloads: []string{"chat"}, MaxConns: 64, MaxBufferedBodyBytes: 1 << 20, AnswerMargin: 10 * time.Millisecond, MaxStreamDuration: time.Minute, Log: log})
	r.s.SetReady()
	go func() { r.served <- r.s.Serve() }()
	t.Cleanup(func() {
		ln.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, r.s.Close(ctx))
	})
	return r
}

// awaitResting waits until a connection is between two calls.
func (r *rig) awaitResting() {
	require.Eventually(r.t, func() bool {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		return r.s.room.idle.Len()+r.s.room.spent.Len() == 1
	}, 5*time.Second, time.Millisecond)
}

func (r *rig) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.ln.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a test
	return conn, bufio.NewReader(conn)
}

func chatCall(id string) string {
	const body = `{"messages":[]}`
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: chat\r\nX-Deadline: 5000m\r\nContent-Length: 15\r\n\r\n" + body
}

func status(t *testing.T, r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// TestRequestCrossesTheEnd: a request that arrives in the moment in which its connection ends is never served, and the
// connection ends in order: its client reads the answer before, which it had not read yet, and then the end, no reset.
func TestRequestCrossesTheEnd(t *testing.T) {
	shorter := func(at time.Time) time.Time { // the idle time is over soon
		if time.Until(at) > callMost {
			return time.Now().Add(20 * time.Millisecond)
		}
		return at
	}
	for name, one := range map[string]struct {
		first string
		want  int
		hooks hooks
		ends  func(r *rig)
	}{
		"it leaves":               {chatCall("a"), 429, hooks{}, func(r *rig) { r.s.DrainConns() }},
		"it stops":                {chatCall("a"), 429, hooks{}, func(r *rig) { r.s.RefuseRequests(); require.NoError(r.t, r.s.Close(r.t.Context())) }},
		"it stops, nothing said":  {"", 0, hooks{}, func(r *rig) { require.NoError(r.t, r.s.Close(r.t.Context())) }},
		"the idle time is over":   {chatCall("a"), 429, hooks{deadline: shorter}, func(*rig) {}},
		"the answer said so":      {strings.Replace(chatCall("a"), "Host", "Connection: close\r\nHost", 1), 429, hooks{}, func(*rig) {}},
		"a call that can't be":    {"GARBAGE\r\n\r\n", 400, hooks{}, func(*rig) {}},
		"a body that is not read": {strings.Replace(chatCall("a"), "Class: chat", "Class: none", 1), 400, hooks{}, func(*rig) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conn net.Conn
			dialed, crossed := make(chan struct{}), make(chan struct{})
			one.hooks.closing = func() {
				<-dialed
				io.WriteString(conn, chatCall("crossing")) //nolint:errcheck // a reset shows below
				close(crossed)
			}
			r := newRig(t, one.hooks)
			conn, in := r.dial()
			close(dialed)
			_, err := io.WriteString(conn, one.first)
			require.NoError(t, err)
			resting := func() bool {
				r.s.mu.Lock()
				defer r.s.mu.Unlock()
				return r.s.room.idle.Len()+r.s.room.spent.Len() == 1 || one.first == "" && r.s.room.silent.Len() == 1
			}
			for range 1000 {
				if resting() || ended(crossed) {
					break
				}
				time.Sleep(time.Millisecond)
			}
			offered := r.planner.offered.Load()
			one.ends(r)
			<-crossed
			if one.want != 0 {
				require.Equal(t, one.want, status(t, in))
			}
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection was reset")
			require.LessOrEqual(t, r.planner.offered.Load(), max(offered, 1), "the crossing call was served")
			require.Eventually(t, func() bool { return r.s.Conns() == 0 }, time.Second, time.Millisecond)
		})
	}
}

func ended(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestAllEndInOrder: where a router leaves, all of its resting connections end in order, however many there are: the
// answers that their clients have not read yet come whole, though a call crosses each end.
func TestAllEndInOrder(t *testing.T) {
	var r *rig
	var conns sync.Map // of clients, by their addresses
	r = newRig(t, hooks{closingOf: func(remote string) {
		if conn, known := conns.Load(remote); known {
			io.WriteString(conn.(net.Conn), chatCall("crossing")) //nolint:errcheck // a reset shows below
		}
	}})
	var readers []*bufio.Reader
	for range r.s.room.most {
		conn, in := r.dial()
		conns.Store(conn.LocalAddr().String(), conn)
		_, err := io.WriteString(conn, chatCall("a"+conn.LocalAddr().String()[len("127.0.0.1:"):]))
		require.NoError(t, err)
		readers = append(readers, in)
	}
	require.Eventually(t, func() bool {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		return r.s.room.idle.Len() == len(readers)
	}, 2*time.Second, time.Millisecond)
	r.s.DrainConns()
	for _, in := range readers {
		require.Equal(t, 429, status(t, in))
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection was reset")
	}
}

// TestEvictedAsItRests: a connection that is told to go in the moment in which its call is over and its idle time begins
// goes at once, and does not rest.
func TestEvictedAsItRests(t *testing.T) {
	var r *rig
	left := make(chan struct{})
	var once sync.Once
	started := make(chan struct{})
	r = newRig(t, hooks{deadline: func(at time.Time) time.Time {
		if time.Until(at) > callMost { // the idle time begins
			once.Do(func() {
				<-started
				go func() { r.s.DrainConns(); close(left) }()
				select { // it comes in between, if it can
				case <-left:
				case <-time.After(50 * time.Millisecond):
				}
			})
		}
		return at
	}})
	close(started)
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatCall("a"))
	require.NoError(t, err)
	require.Equal(t, 429, status(t, in))
	<-left
	conn.SetReadDeadline(time.Now().Add(2 * time.Second)) //nolint:errcheck // a test
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestEvictedAsACallComes: a call of which something was read before its connection is told to go gets its answer, which
// says that the connection closes: what was read and not answered would be lost.
func TestEvictedAsACallComes(t *testing.T) {
	whole := chatCall("crossing")
	for _, first := range []int{1, len(whole) / 2, len(whole)} { // bytes that are read before
		t.Run(whole[:first], func(t *testing.T) {
			var r *rig
			var reads atomic.Int64
			r = newRig(t, hooks{read: func() {
				if reads.Add(1) == 2 {
					r.s.DrainConns()
				}
			}})
			conn, in := r.dial()
			_, err := io.WriteString(conn, chatCall("a"))
			require.NoError(t, err)
			require.Equal(t, 429, status(t, in))
			_, err = io.WriteString(conn, whole[:first])
			require.NoError(t, err)
			require.Eventually(t, func() bool { return reads.Load() > 1 }, time.Second, time.Millisecond)
			_, err = io.WriteString(conn, whole[first:])
			require.NoError(t, err)
			require.Equal(t, 429, status(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.EqualValues(t, 2, r.planner.offered.Load())
		})
	}
}

// TestEvictedWithCallsRead: of calls that were read together before their connection is told to go each gets its answer.
func TestEvictedWithCallsRead(t *testing.T) {
	var r *rig
	var reads atomic.Int64
	slowToRest := func(at time.Time) time.Time { // the call's end comes late, behind its answer
		if at.Equal(longAgo) && reads.Load() == 1 {
			time.Sleep(20 * time.Millisecond)
		}
		return at
	}
	r = newRig(t, hooks{deadline: slowToRest, read: func() {
		if reads.Add(1) != 2 {
			return
		}
		r.s.mu.Lock() // as for another connection that needs the place
		defer r.s.mu.Unlock()
		id, found := r.s.room.resting()
		require.True(t, found)
		r.s.evict(id)
	}})
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatCall("a"))
	require.NoError(t, err)
	require.Equal(t, 429, status(t, in))
	r.awaitResting() // its client has the answer before: what is read in between is read ahead, and no place is free
	_, err = io.WriteString(conn, chatCall("b")+chatCall("c")+chatCall("d"))
	require.NoError(t, err)
	for n := range 3 {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "call %d got no answer", n)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, n == 2, resp.Close, "answer %d", n)
	}
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 4, r.planner.offered.Load())
}

// TestReadAheadIsAnswered: calls that were read ahead behind one that runs are answered, each once, though the router
// begins to leave meanwhile; only the last answer says that the connection closes.
func TestReadAheadIsAnswered(t *testing.T) {
	const behind = 3
	r := newRig(t, hooks{})
	r.planner.holds = true
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatCall("c0"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.planner.offered.Load() == 1 }, time.Second, time.Millisecond)
	for n := 1; n <= behind; n++ {
		_, err = io.WriteString(conn, chatCall("c"+string(rune('0'+n))))
		require.NoError(t, err)
	}
	time.Sleep(20 * time.Millisecond) // they are read ahead
	r.s.DrainConns()
	r.planner.shed()
	for n := range behind + 1 {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "call %d got no answer", n)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, 429, resp.StatusCode)
		require.Equal(t, n == behind, resp.Close, "answer %d", n)
	}
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, behind+1, r.planner.offered.Load())
}

// lateness measures by how much this machine is late with timers, until the function that it returns is called, which tells
// that of all timers of the time: on a crowded one a goroutine may wait for its turn several times in a row.
func lateness() func() time.Duration {
	const pause = 5 * time.Millisecond
	end, sum := make(chan struct{}), make(chan time.Duration)
	go func() {
		late := time.Duration(0)
		for {
			began := time.Now()
			select {
			case <-end:
				sum <- late
				return
			case <-time.After(pause):
				late += time.Since(began) - pause
			}
		}
	}()
	return func() time.Duration { close(end); return <-sum }
}

// TestLeavesBehindItsCalls: a client that has sent more calls than are read ahead, and closes, has left: the call that
// runs for it is told so at once.
func TestLeavesBehindItsCalls(t *testing.T) {
	for name, behind := range map[string]int{"no call": 0, "a few calls": 3, "more than the buffer": 40} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, hooks{})
			r.planner.holds = true
			conn, _ := r.dial()
			_, err := io.WriteString(conn, chatCall("first")+strings.Repeat(chatCall("behind"), behind))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return r.planner.offered.Load() == 1 }, time.Second, time.Millisecond)
			late := lateness()
			closed := time.Now()
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool { return r.planner.left.Load() == 1 }, 5*time.Second, time.Millisecond)
			took := time.Since(closed)
			require.Less(t, took, 100*time.Millisecond+late(), "the rule's time, and what this machine was late by itself")
			require.Eventually(t, func() bool { return r.s.Conns() == 0 }, time.Second, time.Millisecond)
			require.EqualValues(t, 1, r.planner.offered.Load(), "a call behind it was taken")
		})
	}
}

// TestHalfACall: a client that stops in the middle of a call and stays gets an error, and its connection's end, in time.
func TestHalfACall(t *testing.T) {
	whole := chatCall("half")
	for _, sent := range []int{1, len(whole) / 2, len(whole) - 1} {
		t.Run(whole[:sent], func(t *testing.T) {
			t.Parallel()
			r := newRig(t, hooks{})
			conn, in := r.dial()
			began := time.Now()
			_, err := io.WriteString(conn, whole[:sent])
			require.NoError(t, err)
			require.Equal(t, 408, status(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Less(t, time.Since(began), 3*time.Second)
			require.Zero(t, r.planner.offered.Load())
		})
	}
}

// TestAcceptFails: whatever an accept fails with, the listener lives on, waits longer each time, and serves what comes.
func TestAcceptFails(t *testing.T) {
	var faults []error
	for range 3 {
		for _, number := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
			faults = append(faults, &net.OpError{Op: "accept", Net: "tcp", Err: number})
		}
	}
	began := time.Now()
	r := newRig(t, hooks{}, faults...)
	conn, in := r.dial()
	_, err := io.WriteString(conn, chatCall("a"))
	require.NoError(t, err)
	require.Equal(t, 429, status(t, in))
	require.Greater(t, time.Since(began), time.Second, "it asked again at once")
	require.NoError(t, r.ln.Close())
	require.NoError(t, <-r.served)
}
