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

// TLSOptions configure TLS for clients. Netpoll has no TLS, so Hertz's standard transport serves a listener with TLS,
// with a goroutine per connection.
type TLSOptions struct {
	CertificateFile, KeyFile string        // PEM files, reloaded when they change
	ClientCAFile             string        // PEM file of the CA of client certificates; empty: none are requested
	MinVersion               uint16        // such as tls.VersionTLS12
	PollInterval             time.Duration // for changes of the files
	HandshakeTimeout         time.Duration
}

type tlsListener struct {
	listener *Listener
	options  *TLSOptions
	config   atomic.Pointer[tls.Config]
	ready    chan net.Conn
	done     chan struct{}
	files    []string
}

// accessDeniedAlert is a TLS record that refuses a connection before the handshake: fatal, access_denied (RFC 8446,
// 6.2). It needs no cryptography, and clients report it as the server's error.
var accessDeniedAlert = []byte{21, 3, 3, 0, 2, 2, 49}

func newTLSListener(listener *Listener, options *TLSOptions) (*tlsListener, error) {
	l := &tlsListener{listener: listener, options: options, ready: make(chan net.Conn), done: make(chan struct{}),
		files: []string{options.CertificateFile, options.KeyFile}}
	if options.ClientCAFile != "" {
		l.files = append(l.files, options.ClientCAFile)
	}
	if err := l.loadConfig(); err != nil {
		return nil, err
	}
	return l, nil
}

// loadConfig loads the files. On an error the previous configuration remains.
func (l *tlsListener) loadConfig() error {
	cert, err := tls.LoadX509KeyPair(l.options.CertificateFile, l.options.KeyFile)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: l.options.MinVersion, NextProtos: []string{"http/1.1"}}
	if l.options.ClientCAFile != "" {
		pem, err := os.ReadFile(l.options.ClientCAFile)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		config.ClientCAs = x509.NewCertPool()
		if !config.ClientCAs.AppendCertsFromPEM(pem) {
			return fmt.Errorf("tls: %s contains no certificate", l.options.ClientCAFile)
		}
		config.ClientAuth = tls.VerifyClientCertIfGiven
	}
	l.config.Store(config)
	return nil
}

// acceptLoop accepts connections until the listener is closed, and watches the files.
func (l *tlsListener) acceptLoop(ctx context.Context) {
	defer close(l.done)
	go l.watchFiles(ctx)
	for {
		conn, err := l.listener.options.Listener.Accept()
		switch {
		case err == nil:
			l.handleAccepted(ctx, conn.(*net.TCPConn)) //nolint:forcetypeassert // from a TCPListener
		case l.listener.closed.Load() || ctx.Err() != nil:
			return
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
			l.refuseWithSpare()
		default:
			l.listener.options.Log.Warn("accept failed", "err", err)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// refuseWithSpare refuses a connection with a spare descriptor, or waits briefly if there is none.
func (l *tlsListener) refuseWithSpare() {
	rawConn, err := l.listener.options.Listener.SyscallConn()
	refused := false
	if err == nil {
		rawConn.Control(func(fd uintptr) { refused = l.listener.spare.refuse(int(fd)) }) //nolint:errcheck // then refused is false
	}
	if refused {
		l.listener.noDescriptors.Add(1)
	}
}

func (l *tlsListener) handleAccepted(ctx context.Context, conn *net.TCPConn) {
	remote := conn.RemoteAddr().(*net.TCPAddr).AddrPort() //nolint:forcetypeassert // from a TCPConn
	c, decision := l.listener.admitConn(remote)
	if c == nil {
		file, err := conn.File() // a duplicate, which may linger
		conn.Close()             //nolint:errcheck // the duplicate stays open
		if err == nil {
			if fd, err := unix.Dup(int(file.Fd())); err == nil {
				unix.SetNonblock(fd, true) //nolint:errcheck // does not fail for a socket
				l.listener.refuse(fd, decision)
			}
			file.Close() //nolint:errcheck // as above
		}
		return
	}
	sock := &tlsSocket{TCPConn: conn, conn: c}
	c.mu.Lock()
	c.rawConn = sock
	c.mu.Unlock()
	go l.handshake(ctx, c, sock)
}

// handshake performs the TLS handshake and passes the connection to accept.
func (l *tlsListener) handshake(ctx context.Context, c *Conn, sock *tlsSocket) {
	handshakeCtx, cancel := context.WithTimeout(ctx, l.options.HandshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(sock, l.config.Load())
	if err := tlsConn.HandshakeContext(handshakeCtx); err != nil {
		l.listener.options.Log.Debug("TLS handshake failed", "from", c.String(), "err", err)
		sock.Close() //nolint:errcheck // not used again
		return
	}
	if certs := tlsConn.ConnectionState().PeerCertificates; len(certs) > 0 {
		names := append([]string(nil), certs[0].DNSNames...)
		for _, u := range certs[0].URIs {
			names = append(names, u.String())
		}
		l.listener.mu.Lock()
		c.certificateNames = append(names, certs[0].Subject.CommonName)
		l.listener.mu.Unlock()
	}
	c.mu.Lock()
	c.tlsConn = tlsConn
	c.mu.Unlock()
	select {
	case l.ready <- tlsConn:
	case <-l.done:
		sock.Close() //nolint:errcheck // no longer accepting
	}
}

// accept returns the next connection that has completed its handshake.
func (l *tlsListener) accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// tlsSocket is the TCP connection below TLS.
type tlsSocket struct {
	*net.TCPConn
	conn *Conn
}

func (s *tlsSocket) RemoteAddr() net.Addr { return s.conn }

// Close removes the connection from its listener first, as its descriptor may be reused after the close.
func (s *tlsSocket) Close() error {
	s.conn.forget()
	return s.TCPConn.Close()
}

// closeTLSGracefully tells the client that the connection closes: before the end of the handshake by an alert, after it
// by a response if there was no request yet, and by close_notify.
func closeTLSGracefully(tlsConn *tls.Conn, rawConn net.Conn, reason admit.Reason, noRequestYet bool) {
	rawConn.SetWriteDeadline(time.Now().Add(tlsCloseWriteTimeout)) //nolint:errcheck // fails only if it is closed
	switch {
	case tlsConn == nil:
		rawConn.Write(accessDeniedAlert) //nolint:errcheck // the client has closed, or the handshake is too slow
	case noRequestYet:
		tlsConn.Write(refusalResponse(admit.Decision{Reason: reason, RetryAfter: 1})) //nolint:errcheck // as above
		tlsConn.CloseWrite()                                                          //nolint:errcheck // as above
	default:
		tlsConn.CloseWrite() //nolint:errcheck // as above
	}
}

// tlsCloseWriteTimeout bounds the write of the last response.
const tlsCloseWriteTimeout = 50 * time.Millisecond

// disconnectCheckRounds is the number of maintenance rounds between checks for disconnected clients: 250 ms.
const disconnectCheckRounds = 5

// notifyDisconnects calls the OnDisconnect functions of clients that closed their connection during their request. The
// standard transport does not read then and would notice only at the next write. A client's half-close counts as a
// disconnect too: no common HTTP client half-closes and then still reads.
func notifyDisconnects(conns []*Conn) {
	for _, c := range conns {
		callback := c.onDisconnect.Load()
		if callback == nil {
			continue
		}
		c.mu.Lock()
		rawConn, closed := c.rawConn, c.closed
		c.mu.Unlock()
		sock, ok := rawConn.(*tlsSocket)
		if !ok || closed {
			continue
		}
		syscallConn, err := sock.TCPConn.SyscallConn()
		if err != nil {
			continue
		}
		hungUp := false
		if err := syscallConn.Control(func(fd uintptr) {
			pollFds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(pollFds, 0)
			hungUp = err == nil && n > 0 && pollFds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}); err == nil && hungUp {
			(*callback)()
		}
	}
}

// watchFiles reloads the files when they change. If they are invalid the previous configuration remains.
func (l *tlsListener) watchFiles(ctx context.Context) {
	WatchFiles(ctx, l.files, l.options.PollInterval, func() {
		if err := l.loadConfig(); err != nil {
			l.listener.options.Log.Error("certificate not reloaded", "err", err)
			return
		}
		l.listener.options.Log.Info("certificate reloaded")
	})
}

// fileStamp is a file's modification time and size, zero if the file does not exist.
type fileStamp struct {
	modTime time.Time
	size    int64
}

func fileStamps(files []string) []fileStamp {
	stamps := make([]fileStamp, len(files))
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			stamps[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// WatchFiles calls onChange when files have changed since its start or the last call of onChange, and then have stayed
// the same for one interval, as several files may be written one after the other.
func WatchFiles(ctx context.Context, files []string, interval time.Duration, onChange func()) {
	previous := fileStamps(files)
	applied := previous
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := fileStamps(files)
		if sameStamps(current, previous) && !sameStamps(current, applied) {
			applied = current
			onChange()
		}
		previous = current
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
