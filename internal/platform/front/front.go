// Package front is the HTTP/1.1 server for clients on the operators' platform. It owns the listener and the client
// connections, parses requests strictly, passes completions to the edge and writes the responses. A request is passed
// on only after it has been read and validated completely. The package decides which connections to close when they
// run out (conntable.go) and which request ids to refuse (requestids.go); it takes no routing decisions.
// internal/platform/service creates the server.
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

// Options configure a Server.
type Options struct {
	Listener             net.Listener
	Edge                 *edge.Edge
	Workloads            []string // names, in the order of their numbers in decide
	Tenants              []string // likewise; if empty, requests need no tenant
	MaxConns             int
	MaxBufferedBodyBytes int64         // bytes of all request bodies in memory together
	RetryAfter           time.Duration // Retry-After of refused requests, 0 to send none
	AnswerMargin         time.Duration // part of the client timeout reserved for sending the final answer
	MaxStreamDuration    time.Duration
	Log                  *slog.Logger
}

// Limits of a request and of a client connection.
const (
	maxHeadBytes    = 8 << 10
	maxFields       = 48
	maxBodyBytes    = 256 << 10
	readBufferBytes = 2 << 10

	requestReadTimeout = 2500 * time.Millisecond // from a request's first byte to its last; for a connection's first request, from the accept
	idleTimeout        = 10 * time.Second        // between two requests
	writeTimeout       = 5 * time.Second         // a client that accepts no data for so long counts as disconnected
	maxFlushBytes      = 16 << 10                // of events that arrived together, in bytes
)

var requestLimits = http1.Limits{HeadBytes: maxHeadBytes, Fields: maxFields, BodyBytes: maxBodyBytes}

// Server serves client connections.
type Server struct {
	options           Options
	workloads         map[string]int
	tenants           map[string]int
	ready             atomic.Bool
	announceClose     atomic.Bool // responses carry Connection: close
	refusing          atomic.Bool // all further requests are answered with 503
	bufferedBodyBytes atomic.Int64
	activeRequests    atomic.Int64    // first byte received, not yet answered
	resumeRequests    atomic.Int64    // requests for the rest of a broken stream
	errorsByClass     [6]atomic.Int64 // error responses by the first digit of their status

	stopSchedule atomic.Pointer[StopSchedule] // nil until ScheduleStop
	baseCtx      context.Context              // parent of all request contexts
	cancelBase   context.CancelFunc
	streamsCtx   context.Context // cancelled when running streams are cut so that clients resume them at another router
	cutStreams   context.CancelFunc

	mu         sync.Mutex
	lastConnID uint64
	connTable  *connTable
	conns      map[uint64]net.Conn // all connections not yet closed, by id
	draining   bool                // connections are closed after their current request
	requestIDs *requestIDs
	readerPool sync.Pool
}

// New returns a server; Serve starts it.
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

// SetReady makes GET /up answer 200.
func (s *Server) SetReady() { s.ready.Store(true) }

// ActiveRequests returns the number of requests whose first byte was received and that are not yet answered.
func (s *Server) ActiveRequests() int { return int(s.activeRequests.Load()) }

// DrainConns closes idle connections at once and every other connection after its current request.
func (s *Server) DrainConns() {
	s.announceClose.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for id, found := s.connTable.takeIdle(); found; id, found = s.connTable.takeIdle() {
		s.evict(id)
	}
}

// Close closes all connections, busy ones after their current request, and waits until all are closed or ctx is done.
// The listener must be closed first.
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

// StopSchedule sets the times of a router's stop for clients that resume broken streams at another router.
type StopSchedule struct {
	LateFrom     time.Time // requests that arrive later get their first event or an error by FirstEventBy
	FirstEventBy time.Time
	CutStreamsAt time.Time // all streams are cut off then; those that start later, after their first write
	AbortAt      time.Time // requests without an event by then are aborted
}

// ScheduleStop keeps accepting requests until RefuseRequests and ends all running ones at the given times.
func (s *Server) ScheduleStop(schedule StopSchedule) {
	s.stopSchedule.Store(&schedule)
	time.AfterFunc(time.Until(schedule.CutStreamsAt), s.cutStreams)
	time.AfterFunc(time.Until(schedule.AbortAt), s.cancelBase)
}

// RefuseRequests answers all further requests with 503.
func (s *Server) RefuseRequests() { s.refusing.Store(true) }

func (s *Server) retryAfterSeconds() float64 { return s.options.RetryAfter.Seconds() }

// handleRequest reads one request and answers it.
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
			c.write(append(c.out[:0], "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"...)) //nolint:errcheck // a failed write closes the connection
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

// writeReadError answers a request that could not be read completely.
func (c *clientConn) writeReadError(err error) {
	if errors.Is(err, http1.ErrMalformed) || errors.Is(err, http1.ErrTooLarge) {
		c.writeError(readErrorResponse(err))
		return
	}
	if isTimeout(err) {
		c.writeError(&errorResponse{408, "the call did not come whole in time", 0, true})
		return
	}
	c.closeAfter, c.disconnected = true, true // the client disconnected
}

var errBodyMemory = errors.New("no memory for the body")

func (c *clientConn) handleChat(h *http1.Head, arrived time.Time) {
	s := c.server
	req, errResp := s.parseHeader(h)
	if errResp == nil && h.NoLength {
		errResp = errorResponsef(411, "a length is wanted")
	}
	if errResp != nil {
		errResp.closeConn = errResp.closeConn || h.Length != 0 // its body has not been read
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
	releaseMemory := sync.OnceFunc(func() { s.bufferedBodyBytes.Add(-reserved) })
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
		AnswerMargin: min(s.options.AnswerMargin, req.clientTimeout/4), TotalTimeout: s.options.MaxStreamDuration, BuildBody: func(bool, []byte) []byte { return body }, OnBodyDone: releaseMemory, OnDone: onDone})
}

// Relay implements edge.Client, as do the methods below. Events are passed on unchanged. If the stream breaks, the
// events before that are passed on and the connection is closed without the last chunk, so that the client sees an
// incomplete response.
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
			out = appendChunk(out, events)
			events = events[:0]
		case errors.Is(err, io.EOF):
			out = append(out, "0\r\n\r\n"...)
		default:
			c.closeAfter = true
			if len(events) > 0 {
				c.write(appendChunk(out, events)) //nolint:errcheck // the connection is closed in any case
			}
			if ctx.Err() != nil {
				return edge.ClientLeft
			}
			c.server.options.Log.Info("answer stream broke", "err", err)
			return edge.Aborted
		}
		first := !c.responseStarted
		if c.write(out) != nil {
			return edge.ClientLeft
		}
		if err != nil {
			return edge.Finished
		}
		if first { // only after the first write: a connection closed without a response loses the request
			defer context.AfterFunc(c.server.streamsCtx, c.cancelRequest)()
		}
		out = c.out[:0]
	}
}

// appendChunk appends a chunk of a chunked body.
func appendChunk(out, data []byte) []byte {
	out = strconv.AppendInt(out, int64(len(data)), 16)
	return append(append(append(out, "\r\n"...), data...), "\r\n"...)
}

// RateLimit implements edge.Client.
func (c *clientConn) RateLimit(retryAfterSeconds float64) {
	c.writeError(&errorResponse{429, "rate-limited: trying again is harmless", retryAfterSeconds, false})
}

// Abort implements edge.Client.
func (c *clientConn) Abort(timedOut bool) {
	if timedOut {
		c.writeError(&errorResponse{504, "aborted: the client timeout is spent", 0, false})
		return
	}
	c.writeError(&errorResponse{500, "aborted: it is not known what was done", 0, false})
}

// EngineError implements edge.Client.
func (c *clientConn) EngineError(status int, body []byte) {
	c.writeError(&errorResponse{status, string(body), 0, false})
}

func (c *clientConn) write(b []byte) error {
	c.out, c.responseStarted = b, true
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // on a closed connection the write fails
	_, err := c.conn.Write(b)
	if err != nil {
		c.closeAfter, c.disconnected = true, true
	}
	return err
}

// writeError sends an error response.
func (c *clientConn) writeError(r *errorResponse) {
	c.closeAfter = c.closeAfter || r.closeConn
	r.closeConn = c.isLastResponse()
	if c.server.options.Log.Enabled(context.Background(), slog.LevelDebug) { // errors may come in floods
		c.server.options.Log.Debug("error answer", "conn", c.id, "status", r.status, "message", r.message, "last", c.closeAfter)
	}
	c.server.errorsByClass[min(5, r.status/100)].Add(1)
	c.write(r.encode()) //nolint:errcheck // a failed write closes the connection
}

func (r *errorResponse) encode() []byte {
	body, err := json.Marshal(map[string]any{"error": map[string]string{"message": r.message}})
	if err != nil { // cannot happen: the value holds only strings
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

// AnnounceClose makes responses carry Connection: close, so that clients go to other routers. A connection whose last
// response began earlier, without that header, stays open until DrainConns: closing it at once could race with the
// client's next request.
func (s *Server) AnnounceClose() { s.announceClose.Store(true) }

// Counts returns how many requests were for the rest of a stream and how many responses were 4xx and 5xx.
func (s *Server) Counts() (resumed, clientErrors, serverErrors int64) {
	return s.resumeRequests.Load(), s.errorsByClass[4].Load(), s.errorsByClass[5].Load()
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
