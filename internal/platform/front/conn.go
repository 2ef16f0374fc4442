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

// The bounds of a connection's end. Closed over unread bytes a connection is reset, and with it goes what its client has
// not read yet; so its sending side is shut first, and what still comes is read and dropped for a while.
const (
	drainTimeout          = 100 * time.Millisecond
	maxDrainBytes         = 256 << 10
	closingReserveDivisor = 8 // of the descriptors for clients, so many are kept for connections that end, but 4 at the least
	minClosingReserve     = 4
	closePollInterval     = 2 * time.Millisecond
)

// The pauses after an accept that failed: the listener lives on, whatever it was.
const (
	minAcceptRetryDelay = 2 * time.Millisecond
	maxAcceptRetryDelay = 200 * time.Millisecond
)

// hangUpPoll is how often a client that has sent more than is read ahead is asked whether it has left.
const hangUpPollInterval = 25 * time.Millisecond

// Serve accepts clients until the listener is closed.
func (s *Server) Serve() error {
	delay := minAcceptRetryDelay
	for {
		conn, err := s.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors or of memory, or the client was gone at once
			s.options.Log.Warn("accept failed", "err", err, "pause", delay)
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptRetryDelay)
			continue
		}
		delay = minAcceptRetryDelay
		s.admitConn(conn)
	}
}

// enter lets a connection in, for which another may have to go; where every place has a call it is refused.
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
		conn.SetReadDeadline(now.Add(requestReadTimeout)) //nolint:errcheck // a connection that is closed fails in reading
	}
	s.mu.Unlock()
	if ok {
		go s.serveConn(id, conn, now)
		return
	}
	conn.SetWriteDeadline(now.Add(time.Millisecond))                                                      //nolint:errcheck // it is closed next
	conn.Write((&errorResponse{503, "all connections are in use", s.retryAfterSeconds(), true}).encode()) //nolint:errcheck // as above
	go s.closeConn(id, conn, false)
}

// evict has a connection that is between two calls end: the room has let it go, so that no call on it begins, and its own
// goroutine, woken by the deadline, closes it. It is called with the lock, under which the goroutine sets its deadlines.
func (s *Server) evict(id uint64) {
	if conn := s.conns[id]; conn != nil {
		conn.SetReadDeadline(pastDeadline) //nolint:errcheck // as in enter
	}
}

// longAgo is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// finish closes a connection and forgets it. What comes after the sending side is shut is dropped, never served. gone: the
// client has left, and nothing of ours can be lost.
func (s *Server) closeConn(id uint64, conn net.Conn, disconnected bool) {
	if !disconnected {
		s.drainConn(conn)
	}
	conn.Close() //nolint:errcheck // done with it
	s.mu.Lock()
	delete(s.conns, id)
	s.connTable.remove(id)
	s.mu.Unlock()
}

// drain shuts the sending side and drops what still comes, within its bounds.
func (s *Server) drainConn(conn net.Conn) {
	closer, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	s.mu.Lock()
	overLimit := len(s.conns) > s.options.MaxConns // its connections are not worth the descriptors
	s.mu.Unlock()
	if overLimit || closer.CloseWrite() != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(drainTimeout))                   //nolint:errcheck // a connection that is closed fails in reading
	io.Copy(io.Discard, io.LimitReader(onlyReader{conn}, maxDrainBytes)) //nolint:errcheck // it is closed next
}

// onlyReader hides a connection's own ways of copying.
type onlyReader struct{ io.Reader }

// client is one connection.
type clientConn struct {
	server          *Server
	id              uint64
	conn            net.Conn
	reader          *bufio.Reader
	out             []byte
	closeAfter      bool               // no call follows
	disconnected    bool               // the client has left
	evicted         bool               // it was told to go: no call follows but those that were read
	responseStarted bool               // the call that runs has an answer, or its beginning
	cancelRequest   context.CancelFunc // ends the call that runs

	readAheadDone chan struct{} // of the call that runs: is closed once nothing is read ahead; nil where none runs
}

// serve serves a connection's calls, one after the other.
func (s *Server) serveConn(id uint64, conn net.Conn, connectedAt time.Time) {
	r := s.readerPool.Get().(*bufio.Reader) //nolint:forcetypeassert // of New
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

// begin books that a call comes, whose last byte is awaited until then. Some of it was read, so it gets its answer even
// where the connection was told to go in the meantime, and so do those that were read with it.
func (c *clientConn) beginRequest(deadline time.Time) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.evicted = !s.connTable.beginRequest(c.id)
	s.activeRequests.Add(1)
	c.conn.SetReadDeadline(deadline) //nolint:errcheck // a connection that is closed fails in reading
}

// rest books that a call is over; false: no other follows. One that has been read ahead does, if only in part.
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
	c.conn.SetReadDeadline(time.Now().Add(idleTimeout)) //nolint:errcheck // as in begin
	return true
}

// lastAnswer tells whether the answer that begins is the connection's last, as it then says. It is where the router
// leaves or the connection was told to go, unless another call has been read ahead; from then on none is.
func (c *clientConn) isLastResponse() bool {
	if c.closeAfter || !c.evicted && !c.server.announceClose.Load() {
		return c.closeAfter
	}
	if c.readAheadDone != nil {
		c.conn.SetReadDeadline(pastDeadline) //nolint:errcheck // as in begin
		<-c.readAheadDone
	}
	c.closeAfter = c.reader.Buffered() == 0
	return c.closeAfter
}

// take has the edge take a call, and watches meanwhile whether the client leaves.
func (c *clientConn) handleCompletion(r *edge.Request) {
	ctx, cancel := context.WithCancel(c.server.baseCtx)
	c.responseStarted, c.cancelRequest = false, cancel
	c.conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as in begin
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
	c.conn.SetReadDeadline(pastDeadline) //nolint:errcheck // ends the watch
	if <-watchResult {
		c.disconnected = true
	}
	c.readAheadDone = nil
	if ctx.Err() != nil {
		c.closeAfter = true
	}
	cancel()
	if accepted && !c.responseStarted && c.server.baseCtx.Err() != nil { // it did not leave: this router does
		c.Abort(false)
	}
	if !accepted {
		c.writeError(&errorResponse{503, "this router has too many calls open", c.server.retryAfterSeconds(), false})
	}
}

// watch tells whether the client leaves before the call is over. What it sends meanwhile is read ahead as far as the
// buffer goes, or until a read deadline ends that; past that the connection is asked for its end. parked is closed once
// nothing is read ahead any more.
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

// readAhead fills the buffer with what comes; it tells whether the client left before it was full and before the read
// deadline.
func (c *clientConn) readAhead() (disconnected bool) {
	for n := c.reader.Buffered() + 1; n <= readBufferBytes; n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return !isTimeout(err)
		}
	}
	return false
}

// hungUp tells whether the other side has shut its sending side, though bytes that it sent before may be unread.
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

// isTimeout tells whether a read ended by its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
