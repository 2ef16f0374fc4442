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
type Rules struct {
	Settings admit.Settings
	Clients  []admit.Entry
	Tenants  []int // by client: its tenant for the edge, or -1
}

// Options of a door.
type Options struct {
	Listener *net.TCPListener
	Rules    Rules
	Secret   [16]byte      // chance of the process
	Unread   int           // bytes that a client may send ahead of what is read, then it is cut off
	Linger   time.Duration // a refused connection is read on so long, so that its answer isn't lost to a reset
	TLS      *TLS          // nil: plain
	Log      *slog.Logger
}

// Door lets clients in. It is a netpoll.Listener where there is no TLS; else it is a net.Listener whose
// connections have shaken hands.
type Door struct {
	o     Options
	began time.Time
	file  int // the listener's descriptor
	owner interface{ Close() error }
	spare *spare
	out   *lingering
	tls   *tlsDoor

	mu    sync.Mutex
	gate  *admit.Gate
	rules *known
	conns map[admit.Conn]*Conn

	none   atomic.Uint64 // refused for want of descriptors
	closed atomic.Bool
	end    context.CancelFunc
	parts  sync.WaitGroup
}

// known is the clients in force.
type known struct {
	book    *admit.Book
	tenants []int
}

func newKnown(r Rules, secret [16]byte) (*known, error) {
	book, err := admit.NewBook(r.Clients, secret)
	if err != nil {
		return nil, err
	}
	return &known{book, r.Tenants}, nil
}

// New makes a door at a listener, which becomes its own.
func New(o Options) (*Door, error) {
	k, err := newKnown(o.Rules, o.Secret)
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	gate, err := admit.New(o.Rules.Settings, k.book.Clients())
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	d := &Door{o: o, began: time.Now(), gate: gate, rules: k, conns: map[admit.Conn]*Conn{}}
	if d.spare, err = newSpare(); err != nil {
		return nil, fmt.Errorf("admission: spare descriptor: %w", err)
	}
	if o.TLS != nil {
		if d.tls, err = newTLSDoor(d, o.TLS); err != nil {
			return nil, errors.Join(err, d.spare.close())
		}
		d.owner = o.Listener
	} else {
		// The descriptor is duplicated, as the listener's own belongs to the runtime's poller.
		f, err := o.Listener.File()
		if err != nil {
			return nil, errors.Join(fmt.Errorf("admission: listener: %w", err), d.spare.close())
		}
		d.owner, d.file = f, int(f.Fd())
		if err := unix.SetNonblock(d.file, true); err != nil {
			return nil, errors.Join(fmt.Errorf("admission: listener: %w", err), f.Close(), d.spare.close())
		}
	}
	d.out = newLingering(max(1, o.Rules.Settings.Leaving), o.Linger)
	ctx, end := context.WithCancel(context.Background())
	d.end = end
	d.parts.Go(func() { d.out.run(ctx) })
	d.parts.Go(func() { d.tend(ctx) })
	if d.tls != nil {
		d.parts.Go(func() { d.tls.run(ctx) })
	}
	return d, nil
}

func (d *Door) now() float64 { return time.Since(d.began).Seconds() }

// tendEvery is how often connections are looked at: what waited too long, what sends without being read, who
// left while its answer is made. Refusals and room are decided at once, not here.
const tendEvery = 50 * time.Millisecond

func (d *Door) tend(ctx context.Context) {
	tick := time.NewTicker(tendEvery)
	defer tick.Stop()
	watch := newWatch(d.o.Log)
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d.mu.Lock()
		d.gate.Due(d.now())
		off := d.sendOff()
		var calling []*Conn
		for _, c := range d.conns {
			if c.calling.Load() {
				calling = append(calling, c)
			}
		}
		d.mu.Unlock()
		d.tellOff(off)
		for _, c := range calling {
			if c.unread() > d.o.Unread {
				d.o.Log.Warn("client sends without bound during its call", "address", c.String())
				c.cut()
			}
		}
		if d.tls != nil && round%leftEvery == 0 {
			leftDuringCall(calling)
		}
		d.spare.renew()
		if round%20 == 0 {
			d.mu.Lock()
			f, top := d.gate.Figures(), d.gate.Top(1)
			d.mu.Unlock()
			f.Refused[admit.NoDescriptors] += d.none.Load()
			watch.tell(f, top)
		}
	}
}

// off is a connection to be told to go.
type off struct {
	c      *Conn
	reason admit.Reason
	fresh  bool // it never had a call: it gets an answer
}

// sendOff collects what the gate wants gone; the lock is held.
func (d *Door) sendOff() []off {
	var all []off
	for _, e := range d.gate.Evicted() {
		if c := d.conns[e.Conn]; c != nil {
			all = append(all, off{c, e.Reason, !c.called})
		}
	}
	return all
}

// tellOff tells connections to go, without the lock.
func (d *Door) tellOff(all []off) {
	for _, o := range all {
		o.c.sendOff(o.reason, o.fresh)
	}
}

// Reload puts other rules in force, whole or not at all.
func (d *Door) Reload(r Rules) error {
	k, err := newKnown(r, d.o.Secret)
	if err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	d.mu.Lock()
	if err := d.gate.Reload(r.Settings, k.book.Clients()); err != nil {
		d.mu.Unlock()
		return fmt.Errorf("admission: %w", err)
	}
	d.rules = k
	off := d.sendOff()
	d.mu.Unlock()
	d.tellOff(off)
	return nil
}

// Drain refuses whoever comes, and has connections without a call go at once, others after their call. Without it
// clients would find out that this router stops by a broken connection.
func (d *Door) Drain() {
	d.mu.Lock()
	d.gate.Drain()
	d.gate.Due(d.now())
	off := d.sendOff()
	d.mu.Unlock()
	d.tellOff(off)
}

// Figures tells the totals, and who holds the most.
func (d *Door) Figures(top int) (admit.Figures, []admit.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.gate.Figures()
	f.Refused[admit.NoDescriptors] += d.none.Load()
	return f, d.gate.Top(top)
}

// Secure tells whether clients speak TLS.
func (d *Door) Secure() bool { return d.o.TLS != nil }

// Addr is of net.Listener.
func (d *Door) Addr() net.Addr { return d.o.Listener.Addr() }

// Fd is of netpoll.Listener.
func (d *Door) Fd() int { return d.file }

// Close stops accepting. Connections that were let in go on.
func (d *Door) Close() error {
	if d.closed.Swap(true) {
		return nil
	}
	return errors.Join(d.o.Listener.Close(), d.closeOwn())
}

func (d *Door) closeOwn() error {
	if d.tls != nil {
		return nil
	}
	return d.owner.Close()
}

// End ends the door's own work, after Close and once what it let in is over.
func (d *Door) End() error {
	err := d.Close()
	d.end()
	d.parts.Wait()
	d.out.closeAll()
	return errors.Join(err, d.spare.close())
}

// acceptMost bounds what one wake of the poller refuses, so that a flood doesn't hold up the connections that
// share the poller. The listener stays readable, so the rest comes at its next wake.
const acceptMost = 64

// Accept is of netpoll.Listener: it returns nil and no error where nobody waits who may come in.
func (d *Door) Accept() (net.Conn, error) {
	if d.tls != nil {
		return d.tls.accept()
	}
	for range acceptMost {
		fd, sa, err := unix.Accept(d.file)
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
			if !d.spare.refuse(d.file) {
				return nil, nil //nolint:nilnil // it asks again
			}
			d.none.Add(1)
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
		from := addressOf(sa)
		c, v := d.enter(from)
		if c == nil {
			d.refuse(fd, v)
			continue
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) //nolint:errcheck // slower without
		c.fd = fd
		return &accepted{c: c}, nil
	}
	return nil, nil //nolint:nilnil // as netpoll wants it: it asks again at once
}

// enter asks the gate for a connection that came, and has those go for whose place it is.
func (d *Door) enter(from netip.AddrPort) (*Conn, admit.Verdict) {
	d.mu.Lock()
	client := d.rules.book.ByAddress(from.Addr())
	id, v := d.gate.Accept(d.now(), from.Addr(), client)
	var c *Conn
	if v.OK() {
		c = &Conn{d: d, id: id, from: from, fd: -1}
		d.conns[id] = c
	}
	off := d.sendOff()
	d.mu.Unlock()
	d.tellOff(off)
	return c, v
}

// refuse answers a connection that is not let in and leaves it to linger. Nothing is parsed, no goroutine made.
func (d *Door) refuse(fd int, v admit.Verdict) {
	answer := refusal(v)
	if d.tls != nil {
		answer = alert
	}
	unix.Write(fd, answer)          //nolint:errcheck // a fresh socket's buffer takes it, or the client is gone
	unix.Shutdown(fd, unix.SHUT_WR) //nolint:errcheck // as above
	d.out.add(fd)
}

// Prepared takes a connection that netpoll made of one that was accepted.
func (d *Door) Prepared(conn net.Conn) {
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
				c.over()
				return nil
			})
		}
	}
}

// Call begins a call of a connection whose header was read; key is its API key, empty for none.
// CallOver must follow. A call that is refused must be answered and its connection closed. tenant is the caller's
// for the edge, -1 where it is not known.
func (d *Door) Call(from net.Addr, key string) (tenant int, v admit.Verdict) {
	c, mine := from.(*Conn)
	if !mine {
		return -1, admit.Verdict{}
	}
	d.mu.Lock()
	book := d.rules.book
	d.mu.Unlock()
	client := book.ByKey(key) // hashes; outside the lock
	d.mu.Lock()
	if d.rules.book != book { // reloaded meanwhile
		book = d.rules.book
		client = book.ByKey(key)
	}
	if client == admit.Unknown && len(c.names) > 0 {
		client = book.ByCertificate(c.names)
	}
	if client == admit.Unknown {
		client = book.ByAddress(c.from.Addr())
	}
	v = d.gate.Call(d.now(), c.id, client)
	c.called = true
	tenant = -1
	if client != admit.Unknown && client < len(d.rules.tenants) {
		tenant = d.rules.tenants[client]
	}
	off := d.sendOff()
	d.mu.Unlock()
	c.calling.Store(true)
	d.tellOff(off)
	return tenant, v
}

// Last tells whether a connection is to be closed after its call, which a reload may have changed during it.
func (d *Door) Last(from net.Addr) bool {
	c, mine := from.(*Conn)
	if !mine {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Last(c.id)
}

// CallOver ends a call.
func (d *Door) CallOver(from net.Addr) {
	c, mine := from.(*Conn)
	if !mine {
		return
	}
	c.calling.Store(false)
	c.left.Store(nil)
	d.mu.Lock()
	d.gate.CallOver(d.now(), c.id)
	d.mu.Unlock()
}

// WhenLeft has a function called when the client is seen to have left during its call. Where netpoll sees that
// by itself it is not called.
func (d *Door) WhenLeft(from net.Addr, f func()) {
	if c, mine := from.(*Conn); mine && d.tls != nil {
		c.left.Store(&f)
	}
}

// Take lets a completion in, and gives what ends it.
func (d *Door) Take(from net.Addr) (over func(), v admit.Verdict) { // over may be called again
	c, mine := from.(*Conn)
	if !mine {
		return func() {}, admit.Verdict{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ticket, v := d.gate.Take(c.id)
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.gate.Over(ticket)
	}), v
}

// Early refuses a completion that comes back before it was told to.
func (d *Door) Early(key uint64) admit.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Early(d.now(), key)
}

// RateLimited hears what a completion was told.
func (d *Door) RateLimited(key uint64, comeBack time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.RateLimited(d.now(), key, comeBack.Seconds())
}

// Conn is a connection that was let in. It is the remote address of what is made of it, which is how its calls
// are told apart.
type Conn struct {
	d      *Door
	id     admit.Conn
	from   netip.AddrPort
	names  []string // of a verified certificate
	called bool     // guarded by the door's lock

	calling atomic.Bool
	left    atomic.Pointer[func()]

	mu     sync.Mutex
	fd     int
	conn   network.Conn // of netpoll
	secure *tls.Conn
	raw    net.Conn
	closed bool
	told   bool
}

// Network is of net.Addr.
func (c *Conn) Network() string { return "tcp" }

// String is of net.Addr.
func (c *Conn) String() string { return c.from.String() }

// accepted is a Conn as netpoll.Conn: netpoll takes the descriptor and the addresses from it and nothing else.
type accepted struct {
	net.Conn // none: netpoll calls nothing else
	c        *Conn
}

func (a *accepted) Fd() int              { return a.c.fd }
func (a *accepted) LocalAddr() net.Addr  { return a.c.d.Addr() }
func (a *accepted) RemoteAddr() net.Addr { return a.c }

// over forgets a connection whose descriptor is about to be closed.
func (c *Conn) over() {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return
	}
	d := c.d
	d.mu.Lock()
	delete(d.conns, c.id)
	d.gate.Closed(c.id)
	d.mu.Unlock()
}

// unread is how much the client sent that nobody has read.
func (c *Conn) unread() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.closed {
		return 0
	}
	return c.conn.Len()
}

// cut closes the connection outright.
func (c *Conn) cut() {
	c.mu.Lock()
	conn, raw, closed := c.conn, c.raw, c.closed
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
func (c *Conn) sendOff(reason admit.Reason, fresh bool) {
	c.mu.Lock()
	if c.closed || c.told {
		c.mu.Unlock()
		return
	}
	c.told = true
	if c.raw != nil {
		secure := c.secure
		c.mu.Unlock()
		sendOffTLS(secure, c.raw, reason, fresh)
		time.AfterFunc(c.d.o.Linger, c.cut)
		return
	}
	if fresh {
		unix.Write(c.fd, refusal(admit.Verdict{Reason: reason, Wait: 1})) //nolint:errcheck // nothing else was written, or it is gone
	}
	unix.Shutdown(c.fd, unix.SHUT_WR) //nolint:errcheck // as above
	c.mu.Unlock()
	time.AfterFunc(c.d.o.Linger, c.cut)
}

func addressOf(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// refusal is a whole HTTP answer.
func refusal(v admit.Verdict) []byte {
	a := v.Reason.Answer()
	body := fmt.Sprintf(`{"error":{"message":%q,"type":%q,"param":null,"code":%q}}`, a.Message, a.Kind, a.Code)
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", a.Status, http.StatusText(a.Status), len(body))
	if v.Wait > 0 && a.Status != 408 {
		fmt.Fprintf(&b, "Retry-After: %d\r\nRetry-After-Ms: %d\r\n", int(math.Ceil(v.Wait)), int(math.Ceil(v.Wait*1000)))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return []byte(b.String())
}

// watch logs refusals: a line a second and reason at most, however many there are.
type watch struct {
	log  *slog.Logger
	last admit.Figures
}

func newWatch(log *slog.Logger) *watch { return &watch{log: log} }

func (w *watch) tell(f admit.Figures, top []admit.Holder) {
	var holder string
	if len(top) > 0 {
		holder = fmt.Sprintf("%s (%d)", top[0].Name, top[0].Connections+top[0].Anteroom)
	}
	for r := range admit.Reason(admit.Reasons) {
		if n := f.Refused[r] - w.last.Refused[r]; n > 0 {
			w.log.Info("refused in the last second", "reason", r.String(), "count", n, "holds the most", holder)
		}
		if n := f.Ended[r] - w.last.Ended[r]; n > 0 && !slices.Contains([]admit.Reason{admit.Idle}, r) {
			w.log.Info("connections ended in the last second", "reason", r.String(), "count", n, "holds the most", holder)
		}
	}
	w.last = f
}
