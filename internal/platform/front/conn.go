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
	drainFor   = 100 * time.Millisecond
	drainBytes = 256 << 10
	drainPart  = 8 // of the descriptors for clients, so many are kept for connections that end, but 4 at the least
	drainLeast = 4
	closePoll  = 2 * time.Millisecond
)

// The pauses after an accept that failed: the listener lives on, whatever it was.
const (
	acceptPause     = 2 * time.Millisecond
	acceptPauseMost = 200 * time.Millisecond
)

// hangUpPoll is how often a client that has sent more than is read ahead is asked whether it has left.
const hangUpPoll = 25 * time.Millisecond

// Serve accepts clients until the listener is closed.
func (s *Server) Serve() error {
	pause := acceptPause
	for {
		conn, err := s.o.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors or of memory, or the client was gone at once
			s.o.Log.Warn("accept failed", "err", err, "pause", pause)
			time.Sleep(pause)
			pause = min(2*pause, acceptPauseMost)
			continue
		}
		pause = acceptPause
		s.enter(conn)
	}
}

// enter lets a connection in, for which another may have to go; where every place has a call it is refused.
func (s *Server) enter(conn net.Conn) {
	now := time.Now()
	s.mu.Lock()
	s.next++
	id := s.next
	evict, evicts, ok := s.room.enter(now, id)
	if evicts {
		s.evict(evict)
	}
	if s.conns[id] = conn; ok {
		conn.SetReadDeadline(now.Add(callMost)) //nolint:errcheck // a connection that is closed fails in reading
	}
	s.mu.Unlock()
	if ok {
		go s.serve(id, conn, now)
		return
	}
	conn.SetWriteDeadline(now.Add(time.Millisecond))                                   //nolint:errcheck // it is closed next
	conn.Write((&refusal{503, "all connections are in use", s.after(), true}).bytes()) //nolint:errcheck // as above
	go s.finish(id, conn, false)
}

// evict has a connection that is between two calls end: the room has let it go, so that no call on it begins, and its own
// goroutine, woken by the deadline, closes it. It is called with the lock, under which the goroutine sets its deadlines.
func (s *Server) evict(id uint64) {
	if conn := s.conns[id]; conn != nil {
		conn.SetReadDeadline(longAgo) //nolint:errcheck // as in enter
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// finish closes a connection and forgets it. What comes after the sending side is shut is dropped, never served. gone: the
// client has left, and nothing of ours can be lost.
func (s *Server) finish(id uint64, conn net.Conn, gone bool) {
	if !gone {
		s.drain(conn)
	}
	conn.Close() //nolint:errcheck // done with it
	s.mu.Lock()
	delete(s.conns, id)
	s.room.leave(id)
	s.mu.Unlock()
}

// drain shuts the sending side and drops what still comes, within its bounds.
func (s *Server) drain(conn net.Conn) {
	half, can := conn.(interface{ CloseWrite() error })
	if !can {
		return
	}
	s.mu.Lock()
	flood := len(s.conns) > s.o.MaxConns // its connections are not worth the descriptors
	s.mu.Unlock()
	if flood || half.CloseWrite() != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(drainFor))                    //nolint:errcheck // a connection that is closed fails in reading
	io.Copy(io.Discard, io.LimitReader(onlyReader{conn}, drainBytes)) //nolint:errcheck // it is closed next
}

// onlyReader hides a connection's own ways of copying.
type onlyReader struct{ io.Reader }

// client is one connection.
type client struct {
	s    *Server
	id   uint64
	conn net.Conn
	r    *bufio.Reader
	out  []byte
	last bool               // no call follows
	gone bool               // the client has left
	goes bool               // it was told to go: no call follows but those that were read
	told bool               // the call that runs has an answer, or its beginning
	cut  context.CancelFunc // ends the call that runs

	parked chan struct{} // of the call that runs: is closed once nothing is read ahead; nil where none runs
}

// serve serves a connection's calls, one after the other.
func (s *Server) serve(id uint64, conn net.Conn, connected time.Time) {
	r := s.buf.Get().(*bufio.Reader) //nolint:forcetypeassert // of New
	r.Reset(conn)
	c := &client{s: s, id: id, conn: conn, r: r}
	defer func() {
		s.finish(id, conn, c.gone)
		r.Reset(nil)
		s.buf.Put(r)
	}()
	for first := true; !c.last; first = false {
		if _, err := r.Peek(1); err != nil {
			c.gone = !isTimeout(err)
			return
		}
		arrived := time.Now()
		until := arrived.Add(callMost)
		if first {
			until = connected.Add(callMost)
		}
		c.begin(until)
		c.call(arrived)
		if !c.rest() {
			return
		}
	}
}

// begin books that a call comes, whose last byte is awaited until then. Some of it was read, so it gets its answer even
// where the connection was told to go in the meantime, and so do those that were read with it.
func (c *client) begin(until time.Time) {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	c.goes = !s.room.call(c.id)
	s.active.Add(1)
	c.conn.SetReadDeadline(until) //nolint:errcheck // a connection that is closed fails in reading
}

// rest books that a call is over; false: no other follows. One that has been read ahead does, if only in part.
func (c *client) rest() bool {
	s := c.s
	s.active.Add(-1)
	if len(c.out) > 4*flushMost {
		c.out = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.last || (c.goes || s.left) && c.r.Buffered() == 0 {
		return false
	}
	s.room.over(c.id)
	c.conn.SetReadDeadline(time.Now().Add(idleMost)) //nolint:errcheck // as in begin
	return true
}

// lastAnswer tells whether the answer that begins is the connection's last, as it then says. It is where the router
// leaves or the connection was told to go, unless another call has been read ahead; from then on none is.
func (c *client) lastAnswer() bool {
	if c.last || !c.goes && !c.s.leaving.Load() {
		return c.last
	}
	if c.parked != nil {
		c.conn.SetReadDeadline(longAgo) //nolint:errcheck // as in begin
		<-c.parked
	}
	c.last = c.r.Buffered() == 0
	return c.last
}

// take has the edge take a call, and watches meanwhile whether the client leaves.
func (c *client) take(r *edge.Request) {
	ctx, cancel := context.WithCancel(c.s.base)
	c.told, c.cut = false, cancel
	c.conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as in begin
	watched, over := make(chan bool), make(chan struct{})
	c.parked = make(chan struct{})
	go func() {
		left := c.watch(c.parked, over)
		if left {
			cancel()
		}
		watched <- left
	}()
	_, taken := c.s.o.Edge.Handle(ctx, r, c)
	close(over)
	c.conn.SetReadDeadline(longAgo) //nolint:errcheck // ends the watch
	if <-watched {
		c.gone = true
	}
	c.parked = nil
	if ctx.Err() != nil {
		c.last = true
	}
	cancel()
	if taken && !c.told && c.s.base.Err() != nil { // it did not leave: this router does
		c.Abort(false)
	}
	if !taken {
		c.refuse(&refusal{503, "this router has too many calls open", c.s.after(), false})
	}
}

// watch tells whether the client leaves before the call is over. What it sends meanwhile is read ahead as far as the
// buffer goes, or until a read deadline ends that; past that the connection is asked for its end. parked is closed once
// nothing is read ahead any more.
func (c *client) watch(parked chan<- struct{}, over <-chan struct{}) (left bool) {
	left = c.readAhead()
	close(parked)
	if left {
		return true
	}
	tick := time.NewTicker(hangUpPoll)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return false
		case <-tick.C:
			if hungUp(c.conn) {
				return true
			}
		}
	}
}

// readAhead fills the buffer with what comes; it tells whether the client left before it was full and before the read
// deadline.
func (c *client) readAhead() (left bool) {
	for n := c.r.Buffered() + 1; n <= bufferSize; n = c.r.Buffered() + 1 {
		if _, err := c.r.Peek(n); err != nil {
			return !isTimeout(err)
		}
	}
	return false
}

// hungUp tells whether the other side has shut its sending side, though bytes that it sent before may be unread.
func hungUp(conn net.Conn) bool {
	s, has := conn.(syscall.Conn)
	if !has {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	hung := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		hung = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hung
}

// isTimeout tells whether a read ended by its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
