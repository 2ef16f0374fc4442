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
type TLSOptions struct {
	CertificateFile, KeyFile string        // PEM files, read again when they change
	ClientCAFile             string        // PEM file of who signs clients' certificates, empty: none is asked for
	MinVersion               uint16        // such as tls.VersionTLS12
	PollInterval             time.Duration // how often the files are looked at
	HandshakeTimeout         time.Duration // it must be over within
}

type tlsListener struct {
	listener *Listener
	options  *TLSOptions
	config   atomic.Pointer[tls.Config]
	ready    chan net.Conn
	done     chan struct{}
	files    []string
}

// alert is a TLS record that refuses before any handshake: fatal, access_denied (RFC 8446, 6.2). It costs no
// cryptography, and a client reports it as the server's word.
var accessDeniedAlert = []byte{21, 3, 3, 0, 2, 2, 49}

func newTLSListener(d *Listener, o *TLSOptions) (*tlsListener, error) {
	t := &tlsListener{listener: d, options: o, ready: make(chan net.Conn), done: make(chan struct{}), files: []string{o.CertificateFile, o.KeyFile}}
	if o.ClientCAFile != "" {
		t.files = append(t.files, o.ClientCAFile)
	}
	if err := t.loadConfig(); err != nil {
		return nil, err
	}
	return t, nil
}

// load reads the files, whole or not at all.
func (t *tlsListener) loadConfig() error {
	cert, err := tls.LoadX509KeyPair(t.options.CertificateFile, t.options.KeyFile)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: t.options.MinVersion, NextProtos: []string{"http/1.1"}}
	if t.options.ClientCAFile != "" {
		text, err := os.ReadFile(t.options.ClientCAFile)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		c.ClientCAs = x509.NewCertPool()
		if !c.ClientCAs.AppendCertsFromPEM(text) {
			return fmt.Errorf("tls: %s holds no certificate", t.options.ClientCAFile)
		}
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	t.config.Store(c)
	return nil
}

// run accepts until the door is closed, and looks at the files.
func (t *tlsListener) acceptLoop(ctx context.Context) {
	defer close(t.done)
	go t.watchFiles(ctx)
	for {
		conn, err := t.listener.options.Listener.Accept()
		switch {
		case err == nil:
			t.handleAccepted(ctx, conn.(*net.TCPConn)) //nolint:forcetypeassert // of a TCPListener
		case t.listener.closed.Load() || ctx.Err() != nil:
			return
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
			t.refuseWithSpare()
		default:
			t.listener.options.Log.Warn("accept failed", "err", err)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// spare refuses one in a spare descriptor's place, or waits a moment for one.
func (t *tlsListener) refuseWithSpare() {
	raw, err := t.listener.options.Listener.SyscallConn()
	done := false
	if err == nil {
		raw.Control(func(fd uintptr) { done = t.listener.spare.refuse(int(fd)) }) //nolint:errcheck // done says it
	}
	if done {
		t.listener.noDescriptors.Add(1)
	}
}

func (t *tlsListener) handleAccepted(ctx context.Context, conn *net.TCPConn) {
	from := conn.RemoteAddr().(*net.TCPAddr).AddrPort() //nolint:forcetypeassert // of a TCPConn
	c, v := t.listener.admitConn(from)
	if c == nil {
		f, err := conn.File() // a copy, which may linger
		conn.Close()          //nolint:errcheck // the copy goes on
		if err == nil {
			if fd, err := unix.Dup(int(f.Fd())); err == nil {
				unix.SetNonblock(fd, true) //nolint:errcheck // a socket can
				t.listener.refuse(fd, v)
			}
			f.Close() //nolint:errcheck // as above
		}
		return
	}
	raw := &tlsSocket{TCPConn: conn, conn: c}
	c.mu.Lock()
	c.rawConn = raw
	c.mu.Unlock()
	go t.handshake(ctx, c, raw)
}

// shake has a connection shake hands and gives it to be served.
func (t *tlsListener) handshake(ctx context.Context, c *Conn, raw *tlsSocket) {
	limit, cancel := context.WithTimeout(ctx, t.options.HandshakeTimeout)
	defer cancel()
	secure := tls.Server(raw, t.config.Load())
	if err := secure.HandshakeContext(limit); err != nil {
		t.listener.options.Log.Debug("no handshake", "from", c.String(), "err", err)
		raw.Close() //nolint:errcheck // done with it
		return
	}
	if certs := secure.ConnectionState().PeerCertificates; len(certs) > 0 {
		names := append([]string(nil), certs[0].DNSNames...)
		for _, u := range certs[0].URIs {
			names = append(names, u.String())
		}
		t.listener.mu.Lock()
		c.certificateNames = append(names, certs[0].Subject.CommonName)
		t.listener.mu.Unlock()
	}
	c.mu.Lock()
	c.tlsConn = secure
	c.mu.Unlock()
	select {
	case t.ready <- secure:
	case <-t.done:
		raw.Close() //nolint:errcheck // nobody serves it
	}
}

// accept gives the next connection that has shaken hands.
func (t *tlsListener) accept() (net.Conn, error) {
	select {
	case conn := <-t.ready:
		return conn, nil
	case <-t.done:
		return nil, net.ErrClosed
	}
}

// secured is the socket under TLS.
type tlsSocket struct {
	*net.TCPConn
	conn *Conn
}

func (s *tlsSocket) RemoteAddr() net.Addr { return s.conn }

// Close forgets the connection first: its descriptor may be another's afterwards.
func (s *tlsSocket) Close() error {
	s.conn.forget()
	return s.TCPConn.Close()
}

// sendOffTLS tells a connection under TLS to go: before the handshake by an alert, after it by an answer.
func closeTLSGracefully(secure *tls.Conn, raw net.Conn, reason admit.Reason, fresh bool) {
	raw.SetWriteDeadline(time.Now().Add(tlsCloseWriteTimeout)) //nolint:errcheck // a closed one
	switch {
	case secure == nil:
		raw.Write(accessDeniedAlert) //nolint:errcheck // it is gone, or shakes hands too slowly
	case fresh:
		secure.Write(refusalResponse(admit.Decision{Reason: reason, RetryAfter: 1})) //nolint:errcheck // as above
		secure.CloseWrite()                                                          //nolint:errcheck // as above
	default:
		secure.CloseWrite() //nolint:errcheck // as above
	}
}

// sendOffWait bounds the write of an answer to one that is sent off.
const tlsCloseWriteTimeout = 50 * time.Millisecond

// leftEvery is in which of the door's rounds it is looked who left: each quarter of a second.
const disconnectCheckRounds = 5

// leftDuringCall finds clients that closed their connection while their call runs. The standard transport reads
// nothing then and would see it only with the next write. It is a client's half-close too: no HTTP client of
// note sends one and still reads.
func notifyDisconnects(all []*Conn) {
	for _, c := range all {
		f := c.onDisconnect.Load()
		if f == nil {
			continue
		}
		c.mu.Lock()
		raw, closed := c.rawConn, c.closed
		c.mu.Unlock()
		s, is := raw.(*tlsSocket)
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
func (t *tlsListener) watchFiles(ctx context.Context) {
	WatchFiles(ctx, t.files, t.options.PollInterval, func() {
		if err := t.loadConfig(); err != nil {
			t.listener.options.Log.Error("certificate not reloaded", "err", err)
			return
		}
		t.listener.options.Log.Info("certificate reloaded")
	})
}

// stamp tells a file's state.
type fileStamp struct {
	modTime time.Time
	size    int64
}

func fileStamps(files []string) []fileStamp {
	all := make([]fileStamp, len(files))
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			all[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return all
}

// Follow calls changed once files differ from what they were at the call, and have then stayed the same for one
// more look: they may be written one after the other.
func WatchFiles(ctx context.Context, files []string, poll time.Duration, changed func()) {
	before := fileStamps(files)
	used := before
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := fileStamps(files)
		if sameStamps(now, before) && !sameStamps(now, used) {
			used = now
			changed()
		}
		before = now
	}
}

func sameStamps(a, b []fileStamp) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].modTime.Equal(b[i].modTime) {
			return false
		}
	}
	return true
}
