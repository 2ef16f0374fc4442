// Package door owns the clients' sockets until a call is read from them: it accepts, lets internal/admit decide,
// refuses at the least cost, ends connections that admit wants gone, watches descriptors, speaks TLS and reloads
// certificates and known clients. It decides nothing by itself and reads no call. internal/edge serves what it
// lets in; internal/router makes it.
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

// Rules are what is in force, and is replaced whole at a reload.
type AdmissionConfig struct {
	Settings      admit.Settings
	Clients       []admit.ClientConfig
	ClientTenants []int // by client: its tenant for the edge, or -1
}

// Options of a door.
type Options struct {
	Listener       *net.TCPListener
	Admission      AdmissionConfig
	KeyHashSecret  [16]byte      // chance of the process
	MaxUnreadBytes int           // bytes that a client may send ahead of what is read, then it is cut off
	LingerTimeout  time.Duration // a refused connection is read on so long, so that its answer isn't lost to a reset
	TLS            *TLSOptions   // nil: plain
	Log            *slog.Logger
}

// Door lets clients in. It is a netpoll.Listener where there is no TLS; else it is a net.Listener whose
// connections have shaken hands.
type Listener struct {
	options   Options
	startedAt time.Time
	fd        int // the listener's descriptor
	closer    interface{ Close() error }
	spare     *spareDescriptors
	lingering *lingerQueue
	tls       *tlsListener

	mu         sync.Mutex
	controller *admit.Controller
	clients    *clientTable
	conns      map[admit.ConnID]*Conn

	noDescriptors atomic.Uint64 // refused for want of descriptors
	closed        atomic.Bool
	cancel        context.CancelFunc
	running       sync.WaitGroup
}

// known is the clients in force.
type clientTable struct {
	directory     *admit.ClientDirectory
	clientTenants []int
}

func newClientTable(r AdmissionConfig, secret [16]byte) (*clientTable, error) {
	book, err := admit.NewClientDirectory(r.Clients, secret)
	if err != nil {
		return nil, err
	}
	return &clientTable{book, r.ClientTenants}, nil
}

// New makes a door at a listener, which becomes its own.
func New(o Options) (*Listener, error) {
	k, err := newClientTable(o.Admission, o.KeyHashSecret)
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	gate, err := admit.New(o.Admission.Settings, k.directory.Clients())
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	d := &Listener{options: o, startedAt: time.Now(), controller: gate, clients: k, conns: map[admit.ConnID]*Conn{}}
	if d.spare, err = newSpareDescriptors(); err != nil {
		return nil, fmt.Errorf("admission: spare descriptor: %w", err)
	}
	if o.TLS != nil {
		if d.tls, err = newTLSListener(d, o.TLS); err != nil {
			return nil, errors.Join(err, d.spare.close())
		}
		d.closer = o.Listener
	} else {
		// The descriptor is duplicated, as the listener's own belongs to the runtime's poller.
		f, err := o.Listener.File()
		if err != nil {
			return nil, errors.Join(fmt.Errorf("admission: listener: %w", err), d.spare.close())
		}
		d.closer, d.fd = f, int(f.Fd())
		if err := unix.SetNonblock(d.fd, true); err != nil {
			return nil, errors.Join(fmt.Errorf("admission: listener: %w", err), f.Close(), d.spare.close())
		}
	}
	d.lingering = newLingerQueue(max(1, o.Admission.Settings.MaxClosing), o.LingerTimeout)
	ctx, end := context.WithCancel(context.Background())
	d.cancel = end
	d.running.Go(func() { d.lingering.run(ctx) })
	d.running.Go(func() { d.maintain(ctx) })
	if d.tls != nil {
		d.running.Go(func() { d.tls.acceptLoop(ctx) })
	}
	return d, nil
}

func (d *Listener) now() float64 { return time.Since(d.startedAt).Seconds() }

// tendEvery is how often connections are looked at: what waited too long, what sends without being read, who
// left while its answer is made. Refusals and room are decided at once, not here.
const maintenanceInterval = 50 * time.Millisecond

func (d *Listener) maintain(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	watch := newRefusalLogger(d.options.Log)
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d.mu.Lock()
		d.controller.EvictExpired(d.now())
		off := d.pendingCloses()
		var calling []*Conn
		for _, c := range d.conns {
			if c.inRequest.Load() {
				calling = append(calling, c)
			}
		}
		d.mu.Unlock()
		d.closeConns(off)
		for _, c := range calling {
			if c.unreadBytes() > d.options.MaxUnreadBytes {
				d.options.Log.Warn("client sends without bound during its call", "address", c.String())
				c.closeNow()
			}
		}
		if d.tls != nil && round%disconnectCheckRounds == 0 {
			notifyDisconnects(calling)
		}
		d.spare.refill()
		if round%20 == 0 {
			d.mu.Lock()
			f, top := d.controller.Stats(), d.controller.TopHolders(1)
			d.mu.Unlock()
			f.Refused[admit.ReasonNoDescriptors] += d.noDescriptors.Load()
			watch.logChanges(f, top)
		}
	}
}

// off is a connection to be told to go.
type closeRequest struct {
	conn         *Conn
	reason       admit.Reason
	noRequestYet bool // it never had a call: it gets an answer
}

// sendOff collects what the gate wants gone; the lock is held.
func (d *Listener) pendingCloses() []closeRequest {
	var all []closeRequest
	for _, e := range d.controller.TakeEvictions() {
		if c := d.conns[e.Conn]; c != nil {
			all = append(all, closeRequest{c, e.Reason, !c.hadRequest})
		}
	}
	return all
}

// tellOff tells connections to go, without the lock.
func (d *Listener) closeConns(all []closeRequest) {
	for _, o := range all {
		o.conn.closeGracefully(o.reason, o.noRequestYet)
	}
}

// Reload puts other rules in force, whole or not at all.
func (d *Listener) Reload(r AdmissionConfig) error {
	k, err := newClientTable(r, d.options.KeyHashSecret)
	if err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	d.mu.Lock()
	if err := d.controller.Reload(r.Settings, k.directory.Clients()); err != nil {
		d.mu.Unlock()
		return fmt.Errorf("admission: %w", err)
	}
	d.clients = k
	off := d.pendingCloses()
	d.mu.Unlock()
	d.closeConns(off)
	return nil
}

// Drain refuses whoever comes, and has connections without a call go at once, others after their call. Without it
// clients would find out that this router stops by a broken connection.
func (d *Listener) Drain() {
	d.mu.Lock()
	d.controller.Drain()
	d.controller.EvictExpired(d.now())
	off := d.pendingCloses()
	d.mu.Unlock()
	d.closeConns(off)
}

// Figures tells the totals, and who holds the most.
func (d *Listener) Stats(top int) (admit.Stats, []admit.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.controller.Stats()
	f.Refused[admit.ReasonNoDescriptors] += d.noDescriptors.Load()
	return f, d.controller.TopHolders(top)
}

// Secure tells whether clients speak TLS.
func (d *Listener) UsesTLS() bool { return d.options.TLS != nil }

// Addr is of net.Listener.
func (d *Listener) Addr() net.Addr { return d.options.Listener.Addr() }

// Fd is of netpoll.Listener.
func (d *Listener) Fd() int { return d.fd }

// Close stops accepting. Connections that were let in go on.
func (d *Listener) Close() error {
	if d.closed.Swap(true) {
		return nil
	}
	return errors.Join(d.options.Listener.Close(), d.closeDuplicate())
}

func (d *Listener) closeDuplicate() error {
	if d.tls != nil {
		return nil
	}
	return d.closer.Close()
}

// End ends the door's own work, after Close and once what it let in is over.
func (d *Listener) Shutdown() error {
	err := d.Close()
	d.cancel()
	d.running.Wait()
	d.lingering.closeAll()
	return errors.Join(err, d.spare.close())
}

// acceptMost bounds what one wake of the poller refuses, so that a flood doesn't hold up the connections that
// share the poller. The listener stays readable, so the rest comes at its next wake.
const maxAcceptsPerWake = 64

// Accept is of netpoll.Listener: it returns nil and no error where nobody waits who may come in.
func (d *Listener) Accept() (net.Conn, error) {
	if d.tls != nil {
		return d.tls.accept()
	}
	for range maxAcceptsPerWake {
		fd, sa, err := unix.Accept(d.fd)
		switch {
		case err == nil:
		case errors.Is(err, unix.EAGAIN):
			return nil, nil //nolint:nilnil // as netpoll wants it
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
			// Out of descriptors, whoever took them. A spare one takes the connection, refuses and closes it, so
			// that the client is told and the poller doesn't spin on a listener that stays readable. Netpoll's own
			// way, to try again after up to a second, would leave clients hanging.
			if !d.spare.refuse(d.fd) {
				return nil, nil //nolint:nilnil // it asks again
			}
			d.noDescriptors.Add(1)
			continue
		default:
			if d.closed.Load() {
				return nil, net.ErrClosed
			}
			return nil, fmt.Errorf("accept: %w", err)
		}
		unix.CloseOnExec(fd)
		if err := unix.SetNonblock(fd, true); err != nil {
			unix.Close(fd) //nolint:errcheck // of no use
			continue
		}
		from := addrPortOf(sa)
		c, v := d.admitConn(from)
		if c == nil {
			d.refuse(fd, v)
			continue
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) //nolint:errcheck // slower without
		c.fd = fd
		return &netpollConn{conn: c}, nil
	}
	return nil, nil //nolint:nilnil // as netpoll wants it: it asks again at once
}

// enter asks the gate for a connection that came, and has those go for whose place it is.
func (d *Listener) admitConn(from netip.AddrPort) (*Conn, admit.Decision) {
	d.mu.Lock()
	client := d.clients.directory.ByAddress(from.Addr())
	id, v := d.controller.Accept(d.now(), from.Addr(), client)
	var c *Conn
	if v.Admitted() {
		c = &Conn{listener: d, id: id, remote: from, fd: -1}
		d.conns[id] = c
	}
	off := d.pendingCloses()
	d.mu.Unlock()
	d.closeConns(off)
	return c, v
}

// refuse answers a connection that is not let in and leaves it to linger. Nothing is parsed, no goroutine made.
func (d *Listener) refuse(fd int, v admit.Decision) {
	answer := refusalResponse(v)
	if d.tls != nil {
		answer = accessDeniedAlert
	}
	unix.Write(fd, answer)          //nolint:errcheck // a fresh socket's buffer takes it, or the client is gone
	unix.Shutdown(fd, unix.SHUT_WR) //nolint:errcheck // as above
	d.lingering.add(fd)
}

// Prepared takes a connection that netpoll made of one that was accepted.
func (d *Listener) AttachConn(conn net.Conn) {
	c, mine := conn.RemoteAddr().(*Conn)
	if !mine {
		return
	}
	if h, is := conn.(*hertz.Conn); is {
		c.mu.Lock()
		c.conn = h
		c.mu.Unlock()
		if n, is := h.Conn.(netpoll.Connection); is {
			n.AddCloseCallback(func(netpoll.Connection) error { //nolint:errcheck // never fails
				c.forget()
				return nil
			})
		}
	}
}

// Call begins a call of a connection whose header was read; key is its API key, empty for none.
// CallOver must follow. A call that is refused must be answered and its connection closed. tenant is the caller's
// for the edge, -1 where it is not known.
func (d *Listener) BeginRequest(from net.Addr, key string) (tenant int, v admit.Decision) {
	c, mine := from.(*Conn)
	if !mine {
		return -1, admit.Decision{}
	}
	d.mu.Lock()
	book := d.clients.directory
	d.mu.Unlock()
	client := book.ByKey(key) // hashes; outside the lock
	d.mu.Lock()
	if d.clients.directory != book { // reloaded meanwhile
		book = d.clients.directory
		client = book.ByKey(key)
	}
	if client == admit.UnknownClient && len(c.certificateNames) > 0 {
		client = book.ByCertificateNames(c.certificateNames)
	}
	if client == admit.UnknownClient {
		client = book.ByAddress(c.remote.Addr())
	}
	v = d.controller.BeginRequest(d.now(), c.id, client)
	c.hadRequest = true
	tenant = -1
	if client != admit.UnknownClient && client < len(d.clients.clientTenants) {
		tenant = d.clients.clientTenants[client]
	}
	off := d.pendingCloses()
	d.mu.Unlock()
	c.inRequest.Store(true)
	d.closeConns(off)
	return tenant, v
}

// Last tells whether a connection is to be closed after its call, which a reload may have changed during it.
func (d *Listener) ShouldClose(from net.Addr) bool {
	c, mine := from.(*Conn)
	if !mine {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.ShouldClose(c.id)
}

// CallOver ends a call.
func (d *Listener) EndRequest(from net.Addr) {
	c, mine := from.(*Conn)
	if !mine {
		return
	}
	c.inRequest.Store(false)
	c.onDisconnect.Store(nil)
	d.mu.Lock()
	d.controller.EndRequest(d.now(), c.id)
	d.mu.Unlock()
}

// WhenLeft has a function called when the client is seen to have left during its call. Where netpoll sees that
// by itself it is not called.
func (d *Listener) OnDisconnect(from net.Addr, f func()) {
	if c, mine := from.(*Conn); mine && d.tls != nil {
		c.onDisconnect.Store(&f)
	}
}

// Take lets a completion in, and gives what ends it.
func (d *Listener) AdmitCompletion(from net.Addr) (over func(), v admit.Decision) { // over may be called again
	c, mine := from.(*Conn)
	if !mine {
		return func() {}, admit.Decision{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ticket, v := d.controller.AdmitCompletion(c.id)
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.controller.EndCompletion(ticket)
	}), v
}

// Early refuses a completion that comes back before it was told to.
func (d *Listener) CheckRetry(key uint64) admit.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.CheckRetry(d.now(), key)
}

// RateLimited hears what a completion was told.
func (d *Listener) RecordRateLimit(key uint64, comeBack time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.controller.RecordRateLimit(d.now(), key, comeBack.Seconds())
}

// Conn is a connection that was let in. It is the remote address of what is made of it, which is how its calls
// are told apart.
type Conn struct {
	listener         *Listener
	id               admit.ConnID
	remote           netip.AddrPort
	certificateNames []string // of a verified certificate
	hadRequest       bool     // guarded by the door's lock

	inRequest    atomic.Bool
	onDisconnect atomic.Pointer[func()]

	mu        sync.Mutex
	fd        int
	conn      network.Conn // of netpoll
	tlsConn   *tls.Conn
	rawConn   net.Conn
	closed    bool
	closeSent bool
}

// Network is of net.Addr.
func (c *Conn) Network() string { return "tcp" }

// String is of net.Addr.
func (c *Conn) String() string { return c.remote.String() }

// accepted is a Conn as netpoll.Conn: netpoll takes the descriptor and the addresses from it and nothing else.
type netpollConn struct {
	net.Conn // none: netpoll calls nothing else
	conn     *Conn
}

func (a *netpollConn) Fd() int              { return a.conn.fd }
func (a *netpollConn) LocalAddr() net.Addr  { return a.conn.listener.Addr() }
func (a *netpollConn) RemoteAddr() net.Addr { return a.conn }

// over forgets a connection whose descriptor is about to be closed.
func (c *Conn) forget() {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return
	}
	d := c.listener
	d.mu.Lock()
	delete(d.conns, c.id)
	d.controller.ConnClosed(c.id)
	d.mu.Unlock()
}

// unread is how much the client sent that nobody has read.
func (c *Conn) unreadBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.closed {
		return 0
	}
	return c.conn.Len()
}

// cut closes the connection outright.
func (c *Conn) closeNow() {
	c.mu.Lock()
	conn, raw, closed := c.conn, c.rawConn, c.closed
	c.mu.Unlock()
	switch {
	case closed:
	case conn != nil:
		conn.Close() //nolint:errcheck // done with it
	case raw != nil:
		raw.Close() //nolint:errcheck // done with it
	}
}

// sendOff tells a connection that has no call to go. One that never had one gets an answer; one between two
// calls is closed as HTTP allows at any time. What it sends now is read on for a moment, so that the answer
// isn't lost to a reset. The lock keeps the descriptor from being closed, and so from being another's.
func (c *Conn) closeGracefully(reason admit.Reason, fresh bool) {
	c.mu.Lock()
	if c.closed || c.closeSent {
		c.mu.Unlock()
		return
	}
	c.closeSent = true
	if c.rawConn != nil {
		secure := c.tlsConn
		c.mu.Unlock()
		closeTLSGracefully(secure, c.rawConn, reason, fresh)
		time.AfterFunc(c.listener.options.LingerTimeout, c.closeNow)
		return
	}
	if fresh {
		unix.Write(c.fd, refusalResponse(admit.Decision{Reason: reason, RetryAfter: 1})) //nolint:errcheck // nothing else was written, or it is gone
	}
	unix.Shutdown(c.fd, unix.SHUT_WR) //nolint:errcheck // as above
	c.mu.Unlock()
	time.AfterFunc(c.listener.options.LingerTimeout, c.closeNow)
}

func addrPortOf(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// refusal is a whole HTTP answer.
func refusalResponse(v admit.Decision) []byte {
	a := v.Reason.Response()
	body := fmt.Sprintf(`{"error":{"message":%q,"type":%q,"param":null,"code":%q}}`, a.Message, a.Type, a.Code)
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", a.Status, http.StatusText(a.Status), len(body))
	if v.RetryAfter > 0 && a.Status != 408 {
		fmt.Fprintf(&b, "Retry-After: %d\r\nRetry-After-Ms: %d\r\n", int(math.Ceil(v.RetryAfter)), int(math.Ceil(v.RetryAfter*1000)))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return []byte(b.String())
}

// watch logs refusals: a line a second and reason at most, however many there are.
type refusalLogger struct {
	log  *slog.Logger
	last admit.Stats
}

func newRefusalLogger(log *slog.Logger) *refusalLogger { return &refusalLogger{log: log} }

func (w *refusalLogger) logChanges(f admit.Stats, top []admit.Holder) {
	var holder string
	if len(top) > 0 {
		holder = fmt.Sprintf("%s (%d)", top[0].Name, top[0].Connections+top[0].Provisional)
	}
	for r := range admit.Reason(admit.NumReasons) {
		if n := f.Refused[r] - w.last.Refused[r]; n > 0 {
			w.log.Info("refused in the last second", "reason", r.String(), "count", n, "holds the most", holder)
		}
		if n := f.Evicted[r] - w.last.Evicted[r]; n > 0 && !slices.Contains([]admit.Reason{admit.ReasonIdleTimeout}, r) {
			w.log.Info("connections ended in the last second", "reason", r.String(), "count", n, "holds the most", holder)
		}
	}
	w.last = f
}
