package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cherryhub/internal/edge"
)

// Limits of closing a connection. Closing a socket with unread input sends a reset, which destroys data that the client
// has not read yet. So the sending side is shut down first, and input is read and discarded for a while.
const (
	drainTimeout          = 100 * time.Millisecond
	maxDrainBytes         = 256 << 10
	closingReserveDivisor = 8 // one in 8 of the descriptors for clients, but at least 4, is kept for connections being closed
	minClosingReserve     = 4
	closePollInterval     = 2 * time.Millisecond
)

// Delays after a failed accept. The listener stays open whatever the error was.
const (
	minAcceptRetryDelay = 2 * time.Millisecond
	maxAcceptRetryDelay = 200 * time.Millisecond
)

// hangUpPollInterval is how often a connection is polled for a hang-up once no more is read ahead from it.
const hangUpPollInterval = 25 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() error {
	delay := minAcceptRetryDelay
	for {
		conn, err := s.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors or memory, or the client has already closed the connection
			s.options.Log.Warn("accept failed", "err", err, "pause", delay)
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptRetryDelay)
			continue
		}
		delay = minAcceptRetryDelay
		s.admitConn(conn)
	}
}

// admitConn adds a connection, evicting another one if the table is full. If every connection has a request, it answers
// the new one with 503 and closes it.
func (s *Server) admitConn(conn net.Conn) {
	now := time.Now()
	s.mu.Lock()
	s.lastConnID++
	id := s.lastConnID
	victim, hasVictim, ok := s.connTable.add(now, id)
	if hasVictim {
		s.evict(victim)
	}
	if s.conns[id] = conn; ok {
		conn.SetReadDeadline(now.Add(requestReadTimeout)) //nolint:errcheck // on a closed connection the read fails
	}
	s.mu.Unlock()
	if ok {
		go s.serveConn(id, conn, now)
		return
	}
	conn.SetWriteDeadline(now.Add(time.Millisecond))                                                      //nolint:errcheck // the connection is closed next
	conn.Write((&errorResponse{503, "all connections are in use", s.retryAfterSeconds(), true}).encode()) //nolint:errcheck // as above
	go s.closeConn(id, conn, false)
}

// evict ends a connection that has no request and is no longer in the table, so that no request can begin on it. Its own
// goroutine, woken by the deadline, closes it. The caller holds s.mu, under which that goroutine sets its deadlines.
func (s *Server) evict(id uint64) {
	if conn := s.conns[id]; conn != nil {
		conn.SetReadDeadline(pastDeadline) //nolint:errcheck // as in admitConn
	}
}

// pastDeadline makes pending reads time out at once.
var pastDeadline = time.Unix(1, 0)

// closeConn closes a connection and forgets it. Input after the shutdown of the sending side is discarded, never served.
// If the client has disconnected, no response can be lost and the connection is closed directly.
func (s *Server) closeConn(id uint64, conn net.Conn, disconnected bool) {
	if !disconnected {
		s.drainConn(conn)
	}
	conn.Close() //nolint:errcheck // the connection is no longer used
	s.mu.Lock()
	delete(s.conns, id)
	s.connTable.remove(id)
	s.mu.Unlock()
}

// drainConn shuts down the sending side and discards further input, up to maxDrainBytes and drainTimeout.
func (s *Server) drainConn(conn net.Conn) {
	closer, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	s.mu.Lock()
	overLimit := len(s.conns) > s.options.MaxConns // in a flood, descriptors are needed more than orderly closes
	s.mu.Unlock()
	if overLimit || closer.CloseWrite() != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(drainTimeout))                   //nolint:errcheck // on a closed connection the read fails
	io.Copy(io.Discard, io.LimitReader(onlyReader{conn}, maxDrainBytes)) //nolint:errcheck // the connection is closed next
}

// onlyReader hides all methods of a connection but Read, among them its own ways of copying.
type onlyReader struct{ io.Reader }

// clientConn is one client connection.
type clientConn struct {
	server          *Server
	id              uint64
	conn            net.Conn
	reader          *bufio.Reader
	out             []byte
	closeAfter      bool               // no further request is served
	disconnected    bool               // the client has closed the connection
	evicted         bool               // no longer in the table: only requests already read ahead are still served
	responseStarted bool               // the current request's response has begun
	cancelRequest   context.CancelFunc // cancels the current request

	readAheadDone chan struct{} // closed once reading ahead has stopped for the current completion; nil if there is none
}

// serveConn serves a connection's requests one after another.
func (s *Server) serveConn(id uint64, conn net.Conn, connectedAt time.Time) {
	r := s.readerPool.Get().(*bufio.Reader) //nolint:forcetypeassert // New sets the pool's type
	r.Reset(conn)
	c := &clientConn{server: s, id: id, conn: conn, reader: r}
	defer func() {
		s.closeConn(id, conn, c.disconnected)
		r.Reset(nil)
		s.readerPool.Put(r)
	}()
	for first := true; !c.closeAfter; first = false {
		if _, err := r.Peek(1); err != nil {
			c.disconnected = !isTimeout(err)
			return
		}
		arrivedAt := time.Now()
		deadline := arrivedAt.Add(requestReadTimeout)
		if first {
			deadline = connectedAt.Add(requestReadTimeout)
		}
		c.beginRequest(deadline)
		c.handleRequest(arrivedAt)
		if !c.endRequest() {
			return
		}
	}
}

// beginRequest records that a request has begun to arrive, which must be complete by the deadline. Part of it has been
// read, so it is answered even if the connection was evicted meanwhile, and so are requests that were read with it.
func (c *clientConn) beginRequest(deadline time.Time) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.evicted = !s.connTable.beginRequest(c.id)
	s.activeRequests.Add(1)
	c.conn.SetReadDeadline(deadline) //nolint:errcheck // on a closed connection the read fails
}

// endRequest records that a request is finished and reports whether the connection may serve another one. After an
// eviction it may do so only if at least part of the next request has been read ahead.
func (c *clientConn) endRequest() bool {
	s := c.server
	s.activeRequests.Add(-1)
	if len(c.out) > 4*maxFlushBytes {
		c.out = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closeAfter || (c.evicted || s.draining) && c.reader.Buffered() == 0 {
		return false
	}
	s.connTable.endRequest(c.id)
	c.conn.SetReadDeadline(time.Now().Add(idleTimeout)) //nolint:errcheck // as in beginRequest
	return true
}

// isLastResponse reports whether the response about to begin is the connection's last and has to say so. That is the
// case if the router announces closes or the connection was evicted, unless another request has been read ahead; to
// decide it, reading ahead is stopped.
func (c *clientConn) isLastResponse() bool {
	if c.closeAfter || !c.evicted && !c.server.announceClose.Load() {
		return c.closeAfter
	}
	if c.readAheadDone != nil {
		c.conn.SetReadDeadline(pastDeadline) //nolint:errcheck // as in beginRequest
		<-c.readAheadDone
	}
	c.closeAfter = c.reader.Buffered() == 0
	return c.closeAfter
}

// handleCompletion passes a completion to the edge and watches meanwhile whether the client disconnects. The request may have waited long
// to be accepted or read, so a client that has already left is noticed first.
func (c *clientConn) handleCompletion(r *edge.Request) {
	ctx, cancel := context.WithCancel(c.server.baseCtx)
	if peerHungUp(c.conn) {
		c.disconnected = true
		cancel()
	}
	c.responseStarted, c.cancelRequest = false, cancel
	c.conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as in beginRequest
	watchResult, done := make(chan bool), make(chan struct{})
	c.readAheadDone = make(chan struct{})
	go func() {
		disconnected := c.watchDisconnect(c.readAheadDone, done)
		if disconnected {
			cancel()
		}
		watchResult <- disconnected
	}()
	_, accepted := c.server.options.Edge.Handle(ctx, r, c)
	close(done)
	c.conn.SetReadDeadline(pastDeadline) //nolint:errcheck // ends the watch's read
	if <-watchResult {
		c.disconnected = true
	}
	c.readAheadDone = nil
	if ctx.Err() != nil {
		c.closeAfter = true
	}
	cancel()
	if accepted && !c.responseStarted && c.server.baseCtx.Err() != nil { // cancelled by this router's stop, not by the client
		c.Abort(false)
	}
	if !accepted {
		c.writeError(&errorResponse{503, "this router has too many calls open", c.server.retryAfterSeconds(), false})
	}
}

// watchDisconnect reports whether the client disconnects before done is closed. Meanwhile it reads ahead what the client
// sends, until the buffer is full or a read deadline passes, then closes readAheadDone and polls the connection for a
// hang-up.
func (c *clientConn) watchDisconnect(readAheadDone chan<- struct{}, done <-chan struct{}) (disconnected bool) {
	disconnected = c.readAhead()
	close(readAheadDone)
	if disconnected {
		return true
	}
	tick := time.NewTicker(hangUpPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return false
		case <-tick.C:
			if peerHungUp(c.conn) {
				return true
			}
		}
	}
}

// readAhead fills the buffer with input. It reports whether the client disconnected before the buffer was full and before
// the read deadline.
func (c *clientConn) readAhead() (disconnected bool) {
	for n := c.reader.Buffered() + 1; n <= readBufferBytes; n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return !isTimeout(err)
		}
	}
	return false
}

// peerHungUp reports whether the peer has shut down its sending side, even if bytes that it sent before are still unread.
func peerHungUp(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hungUp
}

// isTimeout reports whether a read ended by its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
