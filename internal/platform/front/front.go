// Package front is the platform's clients' HTTP: it owns the listener and the clients' connections, reads calls
// strictly, has the edge take them and writes what becomes of them. Nothing of a call that was not wholly read and
// checked goes further. It decides who keeps a connection (room.go, ids.go) and nothing of routing.
// internal/platform/service makes it.
package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherryhub/internal/edge"
	"cherryhub/internal/platform/http1"
)

// Options of a server.
type Options struct {
	Listener             net.Listener
	Edge                 *edge.Edge
	Workloads            []string // names, in decide's order
	Tenants              []string // as above; none: no tenant is asked for
	MaxConns             int
	MaxBufferedBodyBytes int64         // bytes of all bodies in memory
	RetryAfter           time.Duration // the advice to one who was not taken, 0 for none
	AnswerMargin         time.Duration // of a client timeout, kept for the way of the final answer
	MaxStreamDuration    time.Duration
	Log                  *slog.Logger
}

// The bounds of a client's call, and of its connection.
const (
	headMost   = 8 << 10
	fieldsMost = 48
	bodyMost   = 256 << 10
	bufferSize = 2 << 10

	callMost  = 2500 * time.Millisecond // from a call's first byte to its last; from connecting for the first call
	idleMost  = 10 * time.Second        // between two calls
	writeMost = 5 * time.Second         // a client that doesn't read so long has left
	flushMost = 16 << 10                // of events that came together
)

var limits = http1.Limits{HeadBytes: headMost, Fields: fieldsMost, BodyBytes: bodyMost}

// Server serves clients.
type Server struct {
	o       Options
	works   map[string]int
	tenants map[string]int
	ready   atomic.Bool
	leaving atomic.Bool // answers say that their connection closes, and it does
	closing atomic.Bool // nothing is taken
	bodies  atomic.Int64
	active  atomic.Int64    // calls whose first byte came and that are not answered
	again   atomic.Int64    // calls for the rest of a broken stream
	refused [6]atomic.Int64 // answers by the hundreds of their status

	last     atomic.Pointer[StopSchedule] // nil until a stop that takes some more
	base     context.Context              // of all calls
	end      context.CancelFunc
	streams  context.Context // ends when streams are handed over
	handOver context.CancelFunc

	mu    sync.Mutex
	next  uint64
	room  *room
	conns map[uint64]net.Conn // of all that are not yet closed
	left  bool                // every connection is closed after its call
	ids   *ids
	buf   sync.Pool
}

// New makes a server.
func New(o Options) *Server {
	places := max(1, o.MaxConns-max(drainLeast, o.MaxConns/drainPart))
	s := &Server{o: o, works: map[string]int{}, tenants: map[string]int{}, room: newRoom(places), conns: map[uint64]net.Conn{}, ids: newIDs()}
	s.base, s.end = context.WithCancel(context.Background())
	s.streams, s.handOver = context.WithCancel(context.Background())
	for i, name := range o.Workloads {
		s.works[name] = i
	}
	for i, name := range o.Tenants {
		s.tenants[name] = i
	}
	s.buf.New = func() any { return bufio.NewReaderSize(nil, bufferSize) }
	return s
}

// Ready has GET /up answer 200.
func (s *Server) SetReady() { s.ready.Store(true) }

// Active is how many calls have begun to come and are not answered.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// Leave has each connection closed after its call, those between two calls at once.
func (s *Server) DrainConns() {
	s.leaving.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	for id, more := s.room.resting(); more; id, more = s.room.resting() {
		s.evict(id)
	}
}

// Close has all connections closed, each after its call if it has one, and waits until they are or the context ends. The
// listener must be closed before.
func (s *Server) Close(ctx context.Context) error {
	s.DrainConns()
	s.mu.Lock()
	for id, more := s.room.oldest(s.room.silent); more; id, more = s.room.oldest(s.room.silent) {
		s.evict(id)
	}
	s.mu.Unlock()
	for s.Conns() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("front: %d connections left: %w", s.Conns(), context.Cause(ctx))
		case <-time.After(closePoll):
		}
	}
	return nil
}

// LastCalls is what holds while a router stops whose clients ask another one for the rest of a stream.
type StopSchedule struct {
	LateFrom     time.Time // calls that come later have their first event by FirstBy, or an error
	FirstEventBy time.Time
	CutStreamsAt time.Time // all streams are cut off then, those that begin later after their first events
	AbortAt      time.Time // what has no event by then is aborted
}

// TakeLast has calls be taken until Refuse, and all that runs be ended, by these times.
func (s *Server) ScheduleStop(l StopSchedule) {
	s.last.Store(&l)
	time.AfterFunc(time.Until(l.CutStreamsAt), s.handOver)
	time.AfterFunc(time.Until(l.AbortAt), s.end)
}

// Refuse has every call that comes from now on answered with 503.
func (s *Server) RefuseRequests() { s.closing.Store(true) }

func (s *Server) after() float64 { return s.o.RetryAfter.Seconds() }

// call reads one call and answers it.
func (c *client) call(arrived time.Time) {
	h, err := http1.ReadRequest(c.r, limits)
	if err != nil {
		c.unread(err)
		return
	}
	if h.Close {
		c.last = true
	}
	path, _, _ := strings.Cut(h.Target, "?")
	switch {
	case path == "/up" && h.Method == http.MethodGet && h.Length == 0:
		if c.s.ready.Load() && !c.s.closing.Load() {
			c.write(append(c.out[:0], "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"...)) //nolint:errcheck // the connection ends if it fails
			return
		}
		c.refuse(&refusal{503, "not ready", 0, false})
	case path != chatPath:
		c.refuse(&refusal{404, "unknown call", 0, h.Length != 0})
	case h.Method != http.MethodPost:
		c.refuse(&refusal{405, "wanted POST", 0, h.Length != 0})
	default:
		c.chat(h, arrived)
	}
}

// unread answers a message that could not be read to its end.
func (c *client) unread(err error) {
	if errors.Is(err, http1.ErrMalformed) || errors.Is(err, http1.ErrTooLarge) {
		c.refuse(unreadable(err))
		return
	}
	if isTimeout(err) {
		c.refuse(&refusal{408, "the call did not come whole in time", 0, true})
		return
	}
	c.last, c.gone = true, true // it left, or broke off
}

var errNoRoom = errors.New("no memory for the body")

func (c *client) chat(h *http1.Head, arrived time.Time) {
	s := c.s
	w, fault := s.parse(h)
	if fault == nil && h.NoLength {
		fault = bad(411, "a length is wanted")
	}
	if fault != nil {
		fault.last = fault.last || h.Length != 0 // its body is not read
		c.refuse(fault)
		return
	}
	if v, times := h.Get("expect"); times > 0 {
		if v != "100-continue" {
			c.refuse(&refusal{417, "unknown expectation", 0, true})
			return
		}
		if c.write(append(c.out[:0], "HTTP/1.1 100 Continue\r\n\r\n"...)) != nil {
			return
		}
	}
	if w.prompt.Resumed {
		s.again.Add(1)
	}
	held := int64(0)
	giveBack := func() { s.bodies.Add(-held) }
	body, err := http1.ReadBody(c.r, h, limits, func(n int) error {
		if s.bodies.Add(int64(n)) > s.o.MaxBufferedBodyBytes {
			s.bodies.Add(-int64(n))
			return errNoRoom
		}
		held += int64(n)
		return nil
	})
	if err != nil {
		giveBack()
		if errors.Is(err, errNoRoom) {
			c.refuse(&refusal{503, err.Error(), s.after(), true})
			return
		}
		c.unread(err)
		return
	}
	if fault = w.read(body); fault == nil && s.closing.Load() {
		fault = &refusal{503, "this router is stopping", s.after(), true}
	}
	if fault == nil {
		s.mu.Lock()
		fresh := s.ids.begin(w.id)
		if fresh {
			s.room.taken(c.id)
		}
		s.mu.Unlock()
		if !fresh {
			fault = bad(409, "x-request-id: %.80q is another call's", w.id)
		}
	}
	if fault != nil {
		giveBack()
		c.refuse(fault)
		return
	}
	if last := s.last.Load(); last != nil && !arrived.Before(last.LateFrom) {
		w.timeout = max(time.Millisecond, min(w.timeout, last.FirstEventBy.Sub(arrived)))
	}
	over := sync.OnceFunc(func() {
		giveBack()
		s.mu.Lock()
		s.ids.end(time.Now(), w.id)
		s.mu.Unlock()
	})
	c.take(&edge.Request{ID: s.o.Edge.NextID(), ExternalID: w.id, IdempotencyKey: w.key, Target: h.Target, Prompt: w.prompt, ArrivedAt: arrived, FirstTokenTimeout: w.timeout,
		AnswerMargin: min(s.o.AnswerMargin, w.timeout/4), TotalTimeout: s.o.MaxStreamDuration, BuildBody: func(bool, []byte) []byte { return body }, OnDone: over})
}

// Relay is of edge.Client, as are the methods below: the events go on as they came, and a stream that broke ends
// the connection without its last chunk.
func (c *client) Relay(ctx, _ context.Context, stream edge.Stream) edge.Answer {
	out := append(c.out[:0], "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"...)
	if c.lastAnswer() {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	events := []byte{}
	for {
		event, err := stream.Next()
		switch {
		case err == nil:
			events = append(events, event.Raw...)
			if stream.HasBufferedEvent() && len(events) < flushMost {
				continue
			}
			out = strconv.AppendInt(out, int64(len(events)), 16)
			out = append(append(append(out, "\r\n"...), events...), "\r\n"...)
			events = events[:0]
		case errors.Is(err, io.EOF):
			out = append(out, "0\r\n\r\n"...)
		case ctx.Err() != nil:
			c.last = true
			return edge.ClientLeft
		default:
			c.s.o.Log.Info("answer broke", "err", err)
			c.last = true
			return edge.Aborted
		}
		first := !c.told
		if c.write(out) != nil {
			return edge.ClientLeft
		}
		if err != nil {
			return edge.Finished
		}
		if first { // not before: a call whose connection closes without an answer is lost
			defer context.AfterFunc(c.s.streams, c.cut)()
		}
		out = c.out[:0]
	}
}

// RateLimit is of edge.Client.
func (c *client) RateLimit(comeBack float64) {
	c.refuse(&refusal{429, "rate-limited: trying again is harmless", comeBack, false})
}

// Abort is of edge.Client.
func (c *client) Abort(late bool) {
	if late {
		c.refuse(&refusal{504, "aborted: the client timeout is spent", 0, false})
		return
	}
	c.refuse(&refusal{500, "aborted: it is not known what was done", 0, false})
}

// Fault is of edge.Client.
func (c *client) EngineError(status int, body []byte) {
	c.refuse(&refusal{status, string(body), 0, false})
}

func (c *client) write(b []byte) error {
	c.out, c.told = b, true
	c.conn.SetWriteDeadline(time.Now().Add(writeMost)) //nolint:errcheck // a connection that is closed fails in writing
	_, err := c.conn.Write(b)
	if err != nil {
		c.last, c.gone = true, true
	}
	return err
}

// refuse answers with an error.
func (c *client) refuse(r *refusal) {
	c.last = c.last || r.last
	r.last = c.lastAnswer()
	if c.s.o.Log.Enabled(context.Background(), slog.LevelDebug) { // floods come by here
		c.s.o.Log.Debug("error answer", "conn", c.id, "status", r.status, "message", r.message, "last", c.last)
	}
	c.s.refused[min(5, r.status/100)].Add(1)
	c.write(r.bytes()) //nolint:errcheck // the connection ends if it fails
}

func (r *refusal) bytes() []byte {
	body, err := json.Marshal(map[string]any{"error": map[string]string{"message": r.message}})
	if err != nil { // a string always is
		body = []byte("{}")
	}
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", r.status, http.StatusText(r.status), len(body))
	if r.after > 0 {
		b = fmt.Appendf(b, "Retry-After: %.3f\r\n", r.after)
	}
	if r.last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

// Linger has answers say that their connection closes, so that clients go elsewhere. One whose last answer had begun
// before and did not say so stays until Leave: closed at once it would cross the client's next call.
func (s *Server) AnnounceClose() { s.leaving.Store(true) }

// Counts are the calls for the rest of a stream, the answers of 4xx and those of 5xx so far.
func (s *Server) Counts() (again, faulty, failed int64) {
	return s.again.Load(), s.refused[4].Load(), s.refused[5].Load()
}

// Conns is how many connections are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
