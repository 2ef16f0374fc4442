// Package door owns the clients' sockets until a request is read from them. It accepts connections, has internal/admit
// decide on them, refuses them cheaply, closes the connections that admit evicts, handles file descriptor exhaustion,
// terminates TLS, and reloads certificates and known clients. It makes no decisions and reads no requests.
// internal/edge serves the accepted connections; internal/router creates the listener.
package door

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	hertz "github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cherryhub/internal/admit"
)

// AdmissionConfig is the part of the configuration that a reload replaces as a whole.
type AdmissionConfig struct {
	Settings      admit.Settings
	Clients       []admit.ClientConfig
	ClientTenants []int // by client index: the client's tenant, or -1
}

// Options of a listener.
type Options struct {
	Listener       *net.TCPListener
	Admission      AdmissionConfig
	KeyHashSecret  [16]byte      // random; see admit.NewClientDirectory
	MaxUnreadBytes int           // a client that sends more than this ahead of what is read is disconnected
	LingerTimeout  time.Duration // a refused or evicted connection is still read for this time, so that a reset does not discard the response
	TLS            *TLSOptions   // nil for plain TCP
	Log            *slog.Logger
}

// Listener accepts clients' connections subject to admission. Without TLS it is a netpoll.Listener. With TLS it is a
// net.Listener whose connections have completed the handshake.
type Listener struct {
	options   Options
	startedAt time.Time
	fd        int // of the listening socket, without TLS
	closer    interface{ Close() error }
	spare     *spareDescriptors
	lingering *lingerQueue
	tls       *tlsListener

	mu         sync.Mutex
	controller *admit.Controller
	clients    *clientTable
	conns      map[admit.ConnID]*Conn

	noDescriptors atomic.Uint64 // connections refused because descriptors ran out
	closed        atomic.Bool
	cancel        context.CancelFunc
	running       sync.WaitGroup
}

// clientTable holds the configured clients.
type clientTable struct {
	directory     *admit.ClientDirectory
	clientTenants []int
}

func newClientTable(config AdmissionConfig, secret [16]byte) (*clientTable, error) {
	directory, err := admit.NewClientDirectory(config.Clients, secret)
	if err != nil {
		return nil, err
	}
	return &clientTable{directory, config.ClientTenants}, nil
}

// New returns a Listener that takes ownership of options.Listener.
func New(options Options) (*Listener, error) {
	clients, err := newClientTable(options.Admission, options.KeyHashSecret)
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	ctl, err := admit.New(options.Admission.Settings, clients.directory.Clients())
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	l := &Listener{options: options, startedAt: time.Now(), controller: ctl, clients: clients, conns: map[admit.ConnID]*Conn{}}
	if l.spare, err = newSpareDescriptors(); err != nil {
		return nil, fmt.Errorf("admission: spare descriptor: %w", err)
	}
	if options.TLS != nil {
		if l.tls, err = newTLSListener(l, options.TLS); err != nil {
			return nil, errors.Join(err, l.spare.close())
		}
		l.closer = options.Listener
	} else {
		// The descriptor is duplicated, as the original belongs to the runtime's poller.
		file, err := options.Listener.File()
		if err != nil {
			return nil, errors.Join(fmt.Errorf("admission: listener: %w", err), l.spare.close())
		}
		l.closer, l.fd = file, int(file.Fd())
		if err := unix.SetNonblock(l.fd, true); err != nil {
			return nil, errors.Join(fmt.Errorf("admission: listener: %w", err), file.Close(), l.spare.close())
		}
	}
	l.lingering = newLingerQueue(max(1, options.Admission.Settings.MaxClosing), options.LingerTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() { l.lingering.run(ctx) })
	l.running.Go(func() { l.maintain(ctx) })
	if l.tls != nil {
		l.running.Go(func() { l.tls.acceptLoop(ctx) })
	}
	return l, nil
}

func (l *Listener) now() float64 { return time.Since(l.startedAt).Seconds() }

// maintenanceInterval is how often connections are checked for timeouts, for too many unread bytes, and for clients
// that disconnected during their request. Admission does not wait for it.
const maintenanceInterval = 50 * time.Millisecond

func (l *Listener) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	refusalLog := newRefusalLogger(l.options.Log)
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		l.controller.EvictExpired(l.now())
		closes := l.takePendingCloses()
		var requestConns []*Conn
		for _, c := range l.conns {
			if c.inRequest.Load() {
				requestConns = append(requestConns, c)
			}
		}
		l.mu.Unlock()
		l.closeConns(closes)
		for _, c := range requestConns {
			if c.unreadBytes() > l.options.MaxUnreadBytes {
				l.options.Log.Warn("client sent too much during its request; connection closed", "address", c.String())
				c.closeNow()
			}
		}
		if l.tls != nil && round%disconnectCheckRounds == 0 {
			notifyDisconnects(requestConns)
		}
		l.spare.refill()
		if round%20 == 0 {
			l.mu.Lock()
			stats, top := l.controller.Stats(), l.controller.TopHolders(1)
			l.mu.Unlock()
			stats.Refused[admit.ReasonNoDescriptors] += l.noDescriptors.Load()
			refusalLog.logChanges(stats, top)
		}
	}
}

// pendingClose is an evicted connection that has to be closed.
type pendingClose struct {
	conn         *Conn
	reason       admit.Reason
	noRequestYet bool // then it gets a response before it is closed
}

// takePendingCloses returns the connections evicted since its last call. The caller holds the lock.
func (l *Listener) takePendingCloses() []pendingClose {
	var pending []pendingClose
	for _, eviction := range l.controller.TakeEvictions() {
		if c := l.conns[eviction.Conn]; c != nil {
			pending = append(pending, pendingClose{c, eviction.Reason, !c.hadRequest})
		}
	}
	return pending
}

// closeConns closes connections gracefully. The caller does not hold the lock.
func (l *Listener) closeConns(pending []pendingClose) {
	for _, p := range pending {
		p.conn.closeGracefully(p.reason, p.noRequestYet)
	}
}

// Reload replaces the admission configuration as a whole, or changes nothing and returns an error.
func (l *Listener) Reload(config AdmissionConfig) error {
	clients, err := newClientTable(config, l.options.KeyHashSecret)
	if err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	l.mu.Lock()
	if err := l.controller.Reload(config.Settings, clients.directory.Clients()); err != nil {
		l.mu.Unlock()
		return fmt.Errorf("admission: %w", err)
	}
	l.clients = clients
	closes := l.takePendingCloses()
	l.mu.Unlock()
	l.closeConns(closes)
	return nil
}

// Drain refuses new connections and closes connections without a request at once, the others after their request.
// Without it clients would learn of the shutdown from a broken connection.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.controller.Drain()
	l.controller.EvictExpired(l.now())
	closes := l.takePendingCloses()
	l.mu.Unlock()
	l.closeConns(closes)
}

// Stats returns the totals and the given number of holders with the most connections.
func (l *Listener) Stats(top int) (admit.Stats, []admit.Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.controller.Stats()
	stats.Refused[admit.ReasonNoDescriptors] += l.noDescriptors.Load()
	return stats, l.controller.TopHolders(top)
}

// UsesTLS reports whether clients connect with TLS.
func (l *Listener) UsesTLS() bool { return l.options.TLS != nil }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.options.Listener.Addr() }

// Fd implements netpoll.Listener.
func (l *Listener) Fd() int { return l.fd }

// Close stops accepting. Accepted connections stay open.
func (l *Listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return errors.Join(l.options.Listener.Close(), l.closeDuplicate())
}

func (l *Listener) closeDuplicate() error {
	if l.tls != nil {
		return nil
	}
	return l.closer.Close()
}

// Shutdown closes the listener and stops its goroutines. It is called when the accepted connections have closed.
func (l *Listener) Shutdown() error {
	err := l.Close()
	l.cancel()
	l.running.Wait()
	l.lingering.closeAll()
	return errors.Join(err, l.spare.close())
}

// maxAcceptsPerWake bounds the connections refused in one wake of the poller, so that a flood does not delay the
// connections that share the poller. The listener stays readable, so the rest is accepted at the next wake.
const maxAcceptsPerWake = 64

// Accept implements netpoll.Listener: it returns nil and no error if no admitted connection is waiting.
func (l *Listener) Accept() (net.Conn, error) {
	if l.tls != nil {
		return l.tls.accept()
	}
	for range maxAcceptsPerWake {
		fd, sockaddr, err := unix.Accept(l.fd)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return nil, nil //nolint:nilnil // netpoll's convention
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
			// Out of descriptors. A spare one accepts the connection, refuses and closes it, so that the client gets a
			// response and the poller does not spin on a listener that stays readable. Netpoll's own handling, to
			// retry after up to a second, would leave clients waiting.
			if !l.spare.refuse(l.fd) {
				return nil, nil //nolint:nilnil // netpoll calls again
			}
			l.noDescriptors.Add(1)
			continue
		default:
			if l.closed.Load() {
				return nil, net.ErrClosed
			}
			return nil, fmt.Errorf("accept: %w", err)
		}
		unix.CloseOnExec(fd)
		if err := unix.SetNonblock(fd, true); err != nil {
			unix.Close(fd) //nolint:errcheck // unused
			continue
		}
		remote := addrPortOf(sockaddr)
		c, decision := l.admitConn(remote)
		if c == nil {
			l.refuse(fd, decision)
			continue
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) //nolint:errcheck // only slower without
		c.fd = fd
		return &netpollConn{conn: c}, nil
	}
	return nil, nil //nolint:nilnil // netpoll's convention: it calls again at once
}

// admitConn has the controller decide on a new connection, and closes the connections evicted for it.
func (l *Listener) admitConn(remote netip.AddrPort) (*Conn, admit.Decision) {
	l.mu.Lock()
	client := l.clients.directory.ByAddress(remote.Addr())
	id, decision := l.controller.Accept(l.now(), remote.Addr(), client)
	var c *Conn
	if decision.Admitted() {
		c = &Conn{listener: l, id: id, remote: remote, fd: -1}
		l.conns[id] = c
	}
	closes := l.takePendingCloses()
	l.mu.Unlock()
	l.closeConns(closes)
	return c, decision
}

// refuse writes the refusal to a connection and lets it linger. It parses nothing and starts no goroutine.
func (l *Listener) refuse(fd int, decision admit.Decision) {
	response := refusalResponse(decision)
	if l.tls != nil {
		response = accessDeniedAlert
	}
	unix.Write(fd, response)        //nolint:errcheck // a new socket's buffer holds it, or the client has closed
	unix.Shutdown(fd, unix.SHUT_WR) //nolint:errcheck // as above
	l.lingering.add(fd)
}

// AttachConn attaches netpoll's connection to the Conn that it was accepted as.
func (l *Listener) AttachConn(conn net.Conn) {
	c, ok := conn.RemoteAddr().(*Conn)
	if !ok {
		return
	}
	if hertzConn, ok := conn.(*hertz.Conn); ok {
		c.mu.Lock()
		c.conn = hertzConn
		c.mu.Unlock()
		if pollConn, ok := hertzConn.Conn.(netpoll.Connection); ok {
			pollConn.AddCloseCallback(func(netpoll.Connection) error { //nolint:errcheck // never fails
				c.forget()
				return nil
			})
		}
	}
}

// BeginRequest decides on a request whose header was read. apiKey is its API key, empty for none. EndRequest must
// follow. After a refusal the caller must respond and close the connection. tenant is the client's tenant, -1 if
// unknown.
func (l *Listener) BeginRequest(remote net.Addr, apiKey string) (tenant int, decision admit.Decision) {
	c, ok := remote.(*Conn)
	if !ok {
		return -1, admit.Decision{}
	}
	l.mu.Lock()
	directory := l.clients.directory
	l.mu.Unlock()
	client := directory.ByKey(apiKey) // outside the lock, as it hashes
	l.mu.Lock()
	if l.clients.directory != directory { // reloaded in between
		directory = l.clients.directory
		client = directory.ByKey(apiKey)
	}
	if client == admit.UnknownClient && len(c.certificateNames) > 0 {
		client = directory.ByCertificateNames(c.certificateNames)
	}
	if client == admit.UnknownClient {
		client = directory.ByAddress(c.remote.Addr())
	}
	decision = l.controller.BeginRequest(l.now(), c.id, client)
	c.hadRequest = true
	tenant = -1
	if client != admit.UnknownClient && client < len(l.clients.clientTenants) {
		tenant = l.clients.clientTenants[client]
	}
	closes := l.takePendingCloses()
	l.mu.Unlock()
	c.inRequest.Store(true)
	l.closeConns(closes)
	return tenant, decision
}

// ShouldClose reports whether a connection is to be closed after its current request. A reload during the request may
// change that.
func (l *Listener) ShouldClose(remote net.Addr) bool {
	c, ok := remote.(*Conn)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.ShouldClose(c.id)
}

// EndRequest records the end of a request.
func (l *Listener) EndRequest(remote net.Addr) {
	c, ok := remote.(*Conn)
	if !ok {
		return
	}
	c.inRequest.Store(false)
	c.onDisconnect.Store(nil)
	l.mu.Lock()
	l.controller.EndRequest(l.now(), c.id)
	l.mu.Unlock()
}

// OnDisconnect sets a function to call when the client disconnects during its request. It has no effect without TLS,
// where netpoll detects that itself.
func (l *Listener) OnDisconnect(remote net.Addr, callback func()) {
	if c, ok := remote.(*Conn); ok && l.tls != nil {
		c.onDisconnect.Store(&callback)
	}
}

// AdmitCompletion decides on a completion. done ends an admitted one and may be called more than once.
func (l *Listener) AdmitCompletion(remote net.Addr) (done func(), decision admit.Decision) {
	c, ok := remote.(*Conn)
	if !ok {
		return func() {}, admit.Decision{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	permit, decision := l.controller.AdmitCompletion(c.id)
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.controller.EndCompletion(permit)
	}), decision
}

// CheckRetry refuses a rate-limited completion that is retried before its retry-after has passed.
func (l *Listener) CheckRetry(key uint64) admit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.CheckRetry(l.now(), key)
}

// RecordRateLimit records the retry-after of a rate-limited completion.
func (l *Listener) RecordRateLimit(key uint64, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controller.RecordRateLimit(l.now(), key, retryAfter.Seconds())
}

// Conn is an accepted connection. It is also the remote address of the connection that the server makes of it, by which
// requests are matched to their Conn.
type Conn struct {
	listener         *Listener
	id               admit.ConnID
	remote           netip.AddrPort
	certificateNames []string // of a verified client certificate
	hadRequest       bool     // guarded by Listener.mu

	inRequest    atomic.Bool
	onDisconnect atomic.Pointer[func()]

	mu      sync.Mutex
	fd      int
	conn    network.Conn // attached by AttachConn, without TLS
	tlsConn *tls.Conn
	rawConn net.Conn
	closed  bool
	closing bool
}

// Network implements net.Addr.
func (c *Conn) Network() string { return "tcp" }

// String implements net.Addr.
func (c *Conn) String() string { return c.remote.String() }

// netpollConn passes a Conn to netpoll as netpoll.Conn. Netpoll takes only the descriptor and the addresses from it.
type netpollConn struct {
	net.Conn // nil; its methods are not called
	conn     *Conn
}

func (n *netpollConn) Fd() int              { return n.conn.fd }
func (n *netpollConn) LocalAddr() net.Addr  { return n.conn.listener.Addr() }
func (n *netpollConn) RemoteAddr() net.Addr { return n.conn }

// forget removes a connection whose descriptor is about to be closed.
func (c *Conn) forget() {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if alreadyClosed {
		return
	}
	l := c.listener
	l.mu.Lock()
	delete(l.conns, c.id)
	l.controller.ConnClosed(c.id)
	l.mu.Unlock()
}

// unreadBytes returns the number of bytes received and not read yet.
func (c *Conn) unreadBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.closed {
		return 0
	}
	return c.conn.Len()
}

// closeNow closes the connection without a response.
func (c *Conn) closeNow() {
	c.mu.Lock()
	conn, rawConn, closed := c.conn, c.rawConn, c.closed
	c.mu.Unlock()
	switch {
	case closed:
	case conn != nil:
		conn.Close() //nolint:errcheck // not used again
	case rawConn != nil:
		rawConn.Close() //nolint:errcheck // not used again
	}
}

// closeGracefully closes a connection that has no request. A connection that never had a request gets a response; one
// between two requests is closed without, as HTTP allows at any time. It is still read for LingerTimeout, so that a
// reset does not discard the response. The lock keeps the descriptor from being closed and reused meanwhile.
func (c *Conn) closeGracefully(reason admit.Reason, noRequestYet bool) {
	c.mu.Lock()
	if c.closed || c.closing {
		c.mu.Unlock()
		return
	}
	c.closing = true
	if c.rawConn != nil {
		tlsConn := c.tlsConn
		c.mu.Unlock()
		closeTLSGracefully(tlsConn, c.rawConn, reason, noRequestYet)
		time.AfterFunc(c.listener.options.LingerTimeout, c.closeNow)
		return
	}
	if noRequestYet {
		unix.Write(c.fd, refusalResponse(admit.Decision{Reason: reason, RetryAfter: 1})) //nolint:errcheck // nothing else was written, or the client has closed
	}
	unix.Shutdown(c.fd, unix.SHUT_WR) //nolint:errcheck // as above
	c.mu.Unlock()
	time.AfterFunc(c.listener.options.LingerTimeout, c.closeNow)
}

func addrPortOf(sockaddr unix.Sockaddr) netip.AddrPort {
	switch addr := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), uint16(addr.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(addr.Addr).Unmap(), uint16(addr.Port))
	}
	return netip.AddrPort{}
}

// refusalResponse returns the complete HTTP response to a refusal.
func refusalResponse(decision admit.Decision) []byte {
	response := decision.Reason.Response()
	body := fmt.Sprintf(`{"error":{"message":%q,"type":%q,"param":null,"code":%q}}`, response.Message, response.Type, response.Code)
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", response.Status, http.StatusText(response.Status), len(body))
	if decision.RetryAfter > 0 && response.Status != 408 {
		fmt.Fprintf(&b, "Retry-After: %d\r\nRetry-After-Ms: %d\r\n", int(math.Ceil(decision.RetryAfter)), int(math.Ceil(decision.RetryAfter*1000)))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return []byte(b.String())
}

// refusalLogger logs refusals and evictions, at most one line per second and reason.
type refusalLogger struct {
	log  *slog.Logger
	last admit.Stats
}

func newRefusalLogger(log *slog.Logger) *refusalLogger { return &refusalLogger{log: log} }

func (logger *refusalLogger) logChanges(stats admit.Stats, top []admit.Holder) {
	var holder string
	if len(top) > 0 {
		holder = fmt.Sprintf("%s (%d)", top[0].Name, top[0].Connections+top[0].Provisional)
	}
	for reason := range admit.Reason(admit.NumReasons) {
		if count := stats.Refused[reason] - logger.last.Refused[reason]; count > 0 {
			logger.log.Info("refused in the last second", "reason", reason.String(), "count", count, "holds the most", holder)
		}
		if count := stats.Evicted[reason] - logger.last.Evicted[reason]; count > 0 && !slices.Contains([]admit.Reason{admit.ReasonIdleTimeout}, reason) {
			logger.log.Info("connections ended in the last second", "reason", reason.String(), "count", count, "holds the most", holder)
		}
	}
	logger.last = stats
}
