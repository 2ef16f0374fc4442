package door

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cherryhub/internal/admit"
)

// TLS is where a door's certificate is. Netpoll has no TLS, so a door with it is served by Hertz's standard
// transport, with a goroutine a connection.
type TLS struct {
	Certificate, Key string        // PEM files, read again when they change
	ClientCA         string        // PEM file of who signs clients' certificates, empty: none is asked for
	MinVersion       uint16        // such as tls.VersionTLS12
	Poll             time.Duration // how often the files are looked at
	Handshake        time.Duration // it must be over within
}

type tlsDoor struct {
	d      *Door
	o      *TLS
	config atomic.Pointer[tls.Config]
	ready  chan net.Conn
	ended  chan struct{}
	files  []string
}

// alert is a TLS record that refuses before any handshake: fatal, access_denied (RFC 8446, 6.2). It costs no
// cryptography, and a client reports it as the server's word.
var alert = []byte{21, 3, 3, 0, 2, 2, 49}

func newTLSDoor(d *Door, o *TLS) (*tlsDoor, error) {
	t := &tlsDoor{d: d, o: o, ready: make(chan net.Conn), ended: make(chan struct{}), files: []string{o.Certificate, o.Key}}
	if o.ClientCA != "" {
		t.files = append(t.files, o.ClientCA)
	}
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// load reads the files, whole or not at all.
func (t *tlsDoor) load() error {
	cert, err := tls.LoadX509KeyPair(t.o.Certificate, t.o.Key)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: t.o.MinVersion, NextProtos: []string{"http/1.1"}}
	if t.o.ClientCA != "" {
		text, err := os.ReadFile(t.o.ClientCA)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		c.ClientCAs = x509.NewCertPool()
		if !c.ClientCAs.AppendCertsFromPEM(text) {
			return fmt.Errorf("tls: %s holds no certificate", t.o.ClientCA)
		}
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	t.config.Store(c)
	return nil
}

// run accepts until the door is closed, and looks at the files.
func (t *tlsDoor) run(ctx context.Context) {
	defer close(t.ended)
	go t.follow(ctx)
	for {
		conn, err := t.d.o.Listener.Accept()
		switch {
		case err == nil:
			t.came(ctx, conn.(*net.TCPConn)) //nolint:forcetypeassert // of a TCPListener
		case t.d.closed.Load() || ctx.Err() != nil:
			return
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
			t.spare()
		default:
			t.d.o.Log.Warn("accept failed", "err", err)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// spare refuses one in a spare descriptor's place, or waits a moment for one.
func (t *tlsDoor) spare() {
	raw, err := t.d.o.Listener.SyscallConn()
	done := false
	if err == nil {
		raw.Control(func(fd uintptr) { done = t.d.spare.refuse(int(fd)) }) //nolint:errcheck // done says it
	}
	if done {
		t.d.none.Add(1)
	}
}

func (t *tlsDoor) came(ctx context.Context, conn *net.TCPConn) {
	from := conn.RemoteAddr().(*net.TCPAddr).AddrPort() //nolint:forcetypeassert // of a TCPConn
	c, v := t.d.enter(from)
	if c == nil {
		f, err := conn.File() // a copy, which may linger
		conn.Close()          //nolint:errcheck // the copy goes on
		if err == nil {
			if fd, err := unix.Dup(int(f.Fd())); err == nil {
				unix.SetNonblock(fd, true) //nolint:errcheck // a socket can
				t.d.refuse(fd, v)
			}
			f.Close() //nolint:errcheck // as above
		}
		return
	}
	raw := &secured{TCPConn: conn, c: c}
	c.mu.Lock()
	c.raw = raw
	c.mu.Unlock()
	go t.shake(ctx, c, raw)
}

// shake has a connection shake hands and gives it to be served.
func (t *tlsDoor) shake(ctx context.Context, c *Conn, raw *secured) {
	limit, cancel := context.WithTimeout(ctx, t.o.Handshake)
	defer cancel()
	secure := tls.Server(raw, t.config.Load())
	if err := secure.HandshakeContext(limit); err != nil {
		t.d.o.Log.Debug("no handshake", "from", c.String(), "err", err)
		raw.Close() //nolint:errcheck // done with it
		return
	}
	if certs := secure.ConnectionState().PeerCertificates; len(certs) > 0 {
		names := append([]string(nil), certs[0].DNSNames...)
		for _, u := range certs[0].URIs {
			names = append(names, u.String())
		}
		t.d.mu.Lock()
		c.names = append(names, certs[0].Subject.CommonName)
		t.d.mu.Unlock()
	}
	c.mu.Lock()
	c.secure = secure
	c.mu.Unlock()
	select {
	case t.ready <- secure:
	case <-t.ended:
		raw.Close() //nolint:errcheck // nobody serves it
	}
}

// accept gives the next connection that has shaken hands.
func (t *tlsDoor) accept() (net.Conn, error) {
	select {
	case conn := <-t.ready:
		return conn, nil
	case <-t.ended:
		return nil, net.ErrClosed
	}
}

// secured is the socket under TLS.
type secured struct {
	*net.TCPConn
	c *Conn
}

func (s *secured) RemoteAddr() net.Addr { return s.c }

// Close forgets the connection first: its descriptor may be another's afterwards.
func (s *secured) Close() error {
	s.c.over()
	return s.TCPConn.Close()
}

// sendOffTLS tells a connection under TLS to go: before the handshake by an alert, after it by an answer.
func sendOffTLS(secure *tls.Conn, raw net.Conn, reason admit.Reason, fresh bool) {
	raw.SetWriteDeadline(time.Now().Add(sendOffWait)) //nolint:errcheck // a closed one
	switch {
	case secure == nil:
		raw.Write(alert) //nolint:errcheck // it is gone, or shakes hands too slowly
	case fresh:
		secure.Write(refusal(admit.Verdict{Reason: reason, Wait: 1})) //nolint:errcheck // as above
		secure.CloseWrite()                                           //nolint:errcheck // as above
	default:
		secure.CloseWrite() //nolint:errcheck // as above
	}
}

// sendOffWait bounds the write of an answer to one that is sent off.
const sendOffWait = 50 * time.Millisecond

// leftEvery is in which of the door's rounds it is looked who left: each quarter of a second.
const leftEvery = 5

// leftDuringCall finds clients that closed their connection while their call runs. The standard transport reads
// nothing then and would see it only with the next write. It is a client's half-close too: no HTTP client of
// note sends one and still reads.
func leftDuringCall(all []*Conn) {
	for _, c := range all {
		f := c.left.Load()
		if f == nil {
			continue
		}
		c.mu.Lock()
		raw, closed := c.raw, c.closed
		c.mu.Unlock()
		s, is := raw.(*secured)
		if !is || closed {
			continue
		}
		sys, err := s.TCPConn.SyscallConn()
		if err != nil {
			continue
		}
		gone := false
		if err := sys.Control(func(fd uintptr) {
			p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(p, 0)
			gone = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}); err == nil && gone {
			(*f)()
		}
	}
}

// follow reads the files again when they change. Files that don't fit leave all as it was.
func (t *tlsDoor) follow(ctx context.Context) {
	Follow(ctx, t.files, t.o.Poll, func() {
		if err := t.load(); err != nil {
			t.d.o.Log.Error("certificate not reloaded", "err", err)
			return
		}
		t.d.o.Log.Info("certificate reloaded")
	})
}

// stamp tells a file's state.
type stamp struct {
	at   time.Time
	size int64
}

func stamps(files []string) []stamp {
	all := make([]stamp, len(files))
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			all[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return all
}

// Follow calls changed once files differ from what they were at the call, and have then stayed the same for one
// more look: they may be written one after the other.
func Follow(ctx context.Context, files []string, poll time.Duration, changed func()) {
	before := stamps(files)
	used := before
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := stamps(files)
		if same(now, before) && !same(now, used) {
			used = now
			changed()
		}
		before = now
	}
}

func same(a, b []stamp) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].at.Equal(b[i].at) {
			return false
		}
	}
	return true
}
