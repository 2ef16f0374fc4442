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
	maxHeadBytes    = 8 << 10
	maxFields       = 48
	maxBodyBytes    = 256 << 10
	readBufferBytes = 2 << 10

	requestReadTimeout = 2500 * time.Millisecond // from a call's first byte to its last; from connecting for the first call
	idleTimeout        = 10 * time.Second        // between two calls
	writeTimeout       = 5 * time.Second         // a client that doesn't read so long has left
	maxFlushBytes      = 16 << 10                // of events that came together
)

var requestLimits = http1.Limits{HeadBytes: maxHeadBytes, Fields: maxFields, BodyBytes: maxBodyBytes}

// Server serves clients.
type Server struct {
	options           Options
	workloads         map[string]int
	tenants           map[string]int
	ready             atomic.Bool
	announceClose     atomic.Bool // answers say that their connection closes, and it does
	refusing          atomic.Bool // nothing is taken
	bufferedBodyBytes atomic.Int64
	activeRequests    atomic.Int64    // calls whose first byte came and that are not answered
	resumeRequests    atomic.Int64    // calls for the rest of a broken stream
	errorsByClass     [6]atomic.Int64 // answers by the hundreds of their status

	stopSchedule atomic.Pointer[StopSchedule] // nil until a stop that takes some more
	baseCtx      context.Context              // of all calls
	cancelBase   context.CancelFunc
	streamsCtx   context.Context // ends when streams are handed over
	cutStreams   context.CancelFunc

	mu         sync.Mutex
	lastConnID uint64
	connTable  *connTable
	conns      map[uint64]net.Conn // of all that are not yet closed
	draining   bool                // every connection is closed after its call
	requestIDs *requestIDs
	readerPool sync.Pool
}

// New makes a server.
func New(o Options) *Server {
	maxOpen := max(1, o.MaxConns-max(minClosingReserve, o.MaxConns/closingReserveDivisor))
	s := &Server{options: o, workloads: map[string]int{}, tenants: map[string]int{}, connTable: newConnTable(maxOpen), conns: map[uint64]net.Conn{}, requestIDs: newRequestIDs()}
	s.baseCtx, s.cancelBase = context.WithCancel(context.Background())
	s.streamsCtx, s.cutStreams = context.WithCancel(context.Background())
	for i, name := range o.Workloads {
		s.workloads[name] = i
	}
	for i, name := range o.Tenants {
		s.tenants[name] = i
	}
	s.readerPool.New = func() any { return bufio.NewReaderSize(nil, readBufferBytes) }
	return s
}

// Ready has GET /up answer 200.
func (s *Server) SetReady() { s.ready.Store(true) }

// Active is how many calls have begun to come and are not answered.
func (s *Server) ActiveRequests() int { return int(s.activeRequests.Load()) }

// Leave has each connection closed after its call, those between two calls at once.
func (s *Server) DrainConns() {
	s.announceClose.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for id, found := s.connTable.takeIdle(); found; id, found = s.connTable.takeIdle() {
		s.evict(id)
	}
}

// Close has all connections closed, each after its call if it has one, and waits until they are or the context ends. The
// listener must be closed before.
func (s *Server) Close(ctx context.Context) error {
	s.DrainConns()
	s.mu.Lock()
	for id, found := s.connTable.takeOldest(s.connTable.noRequestYet); found; id, found = s.connTable.takeOldest(s.connTable.noRequestYet) {
		s.evict(id)
	}
	s.mu.Unlock()
	for s.Conns() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("front: %d connections left: %w", s.Conns(), context.Cause(ctx))
		case <-time.After(closePollInterval):
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
func (s *Server) ScheduleStop(schedule StopSchedule) {
	s.stopSchedule.Store(&schedule)
	time.AfterFunc(time.Until(schedule.CutStreamsAt), s.cutStreams)
	time.AfterFunc(time.Until(schedule.AbortAt), s.cancelBase)
}

// Refuse has every call that comes from now on answered with 503.
func (s *Server) RefuseRequests() { s.refusing.Store(true) }

func (s *Server) retryAfterSeconds() float64 { return s.options.RetryAfter.Seconds() }

// call reads one call and answers it.
func (c *clientConn) handleRequest(arrived time.Time) {
	h, err := http1.ReadRequest(c.reader, requestLimits)
	if err != nil {
		c.writeReadError(err)
		return
	}
	if h.Close {
		c.closeAfter = true
	}
	path, _, _ := strings.Cut(h.Target, "?")
	switch {
	case path == "/up" && h.Method == http.MethodGet && h.Length == 0:
		if c.server.ready.Load() && !c.server.refusing.Load() {
			c.write(append(c.out[:0], "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"...)) //nolint:errcheck // the connection ends if it fails
			return
		}
		c.writeError(&errorResponse{503, "not ready", 0, false})
	case path != chatPath:
		c.writeError(&errorResponse{404, "unknown call", 0, h.Length != 0})
	case h.Method != http.MethodPost:
		c.writeError(&errorResponse{405, "wanted POST", 0, h.Length != 0})
	default:
		c.handleChat(h, arrived)
	}
}

// unread answers a message that could not be read to its end.
func (c *clientConn) writeReadError(err error) {
	if errors.Is(err, http1.ErrMalformed) || errors.Is(err, http1.ErrTooLarge) {
		c.writeError(readErrorResponse(err))
		return
	}
	if isTimeout(err) {
		c.writeError(&errorResponse{408, "the call did not come whole in time", 0, true})
		return
	}
	c.closeAfter, c.disconnected = true, true // it left, or broke off
}

var errBodyMemory = errors.New("no memory for the body")

func (c *clientConn) handleChat(h *http1.Head, arrived time.Time) {
	s := c.server
	req, errResp := s.parseHeader(h)
	if errResp == nil && h.NoLength {
		errResp = errorResponsef(411, "a length is wanted")
	}
	if errResp != nil {
		errResp.closeConn = errResp.closeConn || h.Length != 0 // its body is not read
		c.writeError(errResp)
		return
	}
	if v, count := h.Get("expect"); count > 0 {
		if v != "100-continue" {
			c.writeError(&errorResponse{417, "unknown expectation", 0, true})
			return
		}
		if c.write(append(c.out[:0], "HTTP/1.1 100 Continue\r\n\r\n"...)) != nil {
			return
		}
	}
	if req.prompt.Resumed {
		s.resumeRequests.Add(1)
	}
	reserved := int64(0)
	releaseMemory := func() { s.bufferedBodyBytes.Add(-reserved) }
	body, err := http1.ReadBody(c.reader, h, requestLimits, func(n int) error {
		if s.bufferedBodyBytes.Add(int64(n)) > s.options.MaxBufferedBodyBytes {
			s.bufferedBodyBytes.Add(-int64(n))
			return errBodyMemory
		}
		reserved += int64(n)
		return nil
	})
	if err != nil {
		releaseMemory()
		if errors.Is(err, errBodyMemory) {
			c.writeError(&errorResponse{503, err.Error(), s.retryAfterSeconds(), true})
			return
		}
		c.writeReadError(err)
		return
	}
	if errResp = req.parseBody(body); errResp == nil && s.refusing.Load() {
		errResp = &errorResponse{503, "this router is stopping", s.retryAfterSeconds(), true}
	}
	if errResp == nil {
		s.mu.Lock()
		unused := s.requestIDs.begin(req.id)
		if unused {
			s.connTable.completionAccepted(c.id)
		}
		s.mu.Unlock()
		if !unused {
			errResp = errorResponsef(409, "x-request-id: %.80q is another call's", req.id)
		}
	}
	if errResp != nil {
		releaseMemory()
		c.writeError(errResp)
		return
	}
	if schedule := s.stopSchedule.Load(); schedule != nil && !arrived.Before(schedule.LateFrom) {
		req.clientTimeout = max(time.Millisecond, min(req.clientTimeout, schedule.FirstEventBy.Sub(arrived)))
	}
	onDone := sync.OnceFunc(func() {
		releaseMemory()
		s.mu.Lock()
		s.requestIDs.end(time.Now(), req.id)
		s.mu.Unlock()
	})
	c.handleCompletion(&edge.Request{ID: s.options.Edge.NextID(), ExternalID: req.id, IdempotencyKey: req.idempotencyKey, Target: h.Target, Prompt: req.prompt, ArrivedAt: arrived, FirstTokenTimeout: req.clientTimeout,
		AnswerMargin: min(s.options.AnswerMargin, req.clientTimeout/4), TotalTimeout: s.options.MaxStreamDuration, BuildBody: func(bool, []byte) []byte { return body }, OnDone: onDone})
}

// Relay is of edge.Client, as are the methods below: the events go on as they came, and a stream that broke ends
// the connection without its last chunk.
func (c *clientConn) Relay(ctx, _ context.Context, stream edge.Stream) edge.Answer {
	out := append(c.out[:0], "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"...)
	if c.isLastResponse() {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	events := []byte{}
	for {
		event, err := stream.Next()
		switch {
		case err == nil:
			events = append(events, event.Raw...)
			if stream.HasBufferedEvent() && len(events) < maxFlushBytes {
				continue
			}
			out = strconv.AppendInt(out, int64(len(events)), 16)
			out = append(append(append(out, "\r\n"...), events...), "\r\n"...)
			events = events[:0]
		case errors.Is(err, io.EOF):
			out = append(out, "0\r\n\r\n"...)
		case ctx.Err() != nil:
			c.closeAfter = true
			return edge.ClientLeft
		default:
			c.server.options.Log.Info("answer broke", "err", err)
			c.closeAfter = true
			return edge.Aborted
		}
		first := !c.responseStarted
		if c.write(out) != nil {
			return edge.ClientLeft
		}
		if err != nil {
			return edge.Finished
		}
		if first { // not before: a call whose connection closes without an answer is lost
			defer context.AfterFunc(c.server.streamsCtx, c.cancelRequest)()
		}
		out = c.out[:0]
	}
}

// RateLimit is of edge.Client.
func (c *clientConn) RateLimit(retryAfterSeconds float64) {
	c.writeError(&errorResponse{429, "rate-limited: trying again is harmless", retryAfterSeconds, false})
}

// Abort is of edge.Client.
func (c *clientConn) Abort(timedOut bool) {
	if timedOut {
		c.writeError(&errorResponse{504, "aborted: the client timeout is spent", 0, false})
		return
	}
	c.writeError(&errorResponse{500, "aborted: it is not known what was done", 0, false})
}

// Fault is of edge.Client.
func (c *clientConn) EngineError(status int, body []byte) {
	c.writeError(&errorResponse{status, string(body), 0, false})
}

func (c *clientConn) write(b []byte) error {
	c.out, c.responseStarted = b, true
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // a connection that is closed fails in writing
	_, err := c.conn.Write(b)
	if err != nil {
		c.closeAfter, c.disconnected = true, true
	}
	return err
}

// refuse answers with an error.
func (c *clientConn) writeError(r *errorResponse) {
	c.closeAfter = c.closeAfter || r.closeConn
	r.closeConn = c.isLastResponse()
	if c.server.options.Log.Enabled(context.Background(), slog.LevelDebug) { // floods come by here
		c.server.options.Log.Debug("error answer", "conn", c.id, "status", r.status, "message", r.message, "last", c.closeAfter)
	}
	c.server.errorsByClass[min(5, r.status/100)].Add(1)
	c.write(r.encode()) //nolint:errcheck // the connection ends if it fails
}

func (r *errorResponse) encode() []byte {
	body, err := json.Marshal(map[string]any{"error": map[string]string{"message": r.message}})
	if err != nil { // a string always is
		body = []byte("{}")
	}
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", r.status, http.StatusText(r.status), len(body))
	if r.retryAfterSeconds > 0 {
		b = fmt.Appendf(b, "Retry-After: %.3f\r\n", r.retryAfterSeconds)
	}
	if r.closeConn {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

// Linger has answers say that their connection closes, so that clients go elsewhere. One whose last answer had begun
// before and did not say so stays until Leave: closed at once it would cross the client's next call.
func (s *Server) AnnounceClose() { s.announceClose.Store(true) }

// Counts are the calls for the rest of a stream, the answers of 4xx and those of 5xx so far.
func (s *Server) Counts() (resumed, clientErrors, serverErrors int64) {
	return s.resumeRequests.Load(), s.errorsByClass[4].Load(), s.errorsByClass[5].Load()
}

// Conns is how many connections are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
