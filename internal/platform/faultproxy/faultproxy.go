// Package faultproxy is a TCP relay on loopback that spoils connections on purpose: it swallows bytes without an error,
// holds them back, delays answers and resets connections. Tests and the soak put one before each stand-in engine; a router
// never uses it.
package faultproxy

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"cherryhub/internal/loopback"
)

// Trigger says when a fault of one connection begins.
type Trigger uint8

// The triggers. A fault with Never does not come.
const (
	Never Trigger = iota
	AtStart
	AfterBytes  // of what the router sends
	AfterAnswer // once the first bytes of an answer have passed
	OnAnswer    // as the bytes of an answer come, once so many have passed
)

// Plan is what happens to one connection.
type Plan struct {
	Silence    Trigger       // from then on no byte passes in either direction, and no error is seen
	Reset      Trigger       // then the connection is reset
	Bytes      int           // for AfterBytes
	Answers    int           // for AtAnswer
	StartDelay time.Duration // for so long after it came up nothing passes
	SendDelay  time.Duration // what the router sends passes so much later
}

// Direction is one way through a proxy.
type Direction uint8

// The directions.
const (
	ToEngine Direction = iota
	ToRouter
	numDirections
)

// Proxy relays connections to one address.
type Proxy struct {
	ln          net.Listener
	target      string
	plan        func(n int) Plan
	answerDelay func() time.Duration

	mu        sync.Mutex
	changed   *sync.Cond // gates, bytes that wait, ends
	paused    [numDirections]bool
	conns     map[*proxyConn]bool
	trigger   sendTrigger // that has connections swallow what is sent
	vanished  bool        // nothing passes, on any connection
	records   map[string]*ConnRecord
	connCount int
	closed    bool
}

// Passage is what one connection carried to the router's side.
type ConnRecord struct {
	AnswerTimes []time.Time // when bytes of answers were passed on
	Closed      time.Time   // when the router closed it, or it was reset; zero: it is open
}

// passagesMost bounds what is remembered; later connections go without.
const maxConnRecords = 1 << 16

// Passage is that of the connection which the engine knows by this address, of its other end; nil where it is unknown.
func (p *Proxy) ConnRecord(peer string) *ConnRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.records[peer]
	if one == nil {
		return nil
	}
	return &ConnRecord{slices.Clone(one.AnswerTimes), one.Closed}
}

// Start starts a proxy before an address. plan gives the plan of its nth connection, from 0; wait is how long each piece of
// an answer is held back. Either may be nil.
func Start(to string, plan func(n int) Plan, wait func() time.Duration) (*Proxy, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := &Proxy{ln: ln, target: to, plan: plan, answerDelay: wait, conns: map[*proxyConn]bool{}, records: map[string]*ConnRecord{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address is where it listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Count is how many connections there were.
func (p *Proxy) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}

// Close ends it and all its connections.
func (p *Proxy) Close() {
	p.ln.Close() //nolint:errcheck // nobody comes any more
	p.mu.Lock()
	p.closed = true
	for l := range p.conns {
		l.close()
	}
	p.changed.Broadcast()
	p.mu.Unlock()
}

// Hold lets no bytes pass in a direction, on connections that are open and new ones alike, until Pass. They are kept and
// pass then.
func (p *Proxy) Pause(d Direction) { p.setPaused(d, true) }

// Pass ends Hold.
func (p *Proxy) Resume(d Direction) { p.setPaused(d, false) }

func (p *Proxy) setPaused(d Direction, shut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused[d] = shut
	p.changed.Broadcast()
}

// SilenceOpen has all connections that are open now swallow what is sent from now on, and tells how many they are. New
// ones work.
func (p *Proxy) SilenceOpen() (n int) { return p.SilenceIdle(0) }

// SilenceIdle is SilenceOpen for those connections that have carried nothing for so long.
func (p *Proxy) SilenceIdle(idle time.Duration) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenceIdleLocked(idle)
}

// silence is SilenceIdle; it is called with the lock.
func (p *Proxy) silenceIdleLocked(idle time.Duration) (n int) {
	for l := range p.conns {
		if time.Since(l.lastActive) >= idle {
			l.silent = true
			n++
		}
	}
	return n
}

// piece is the next one of so many bytes or more that a router sends; 0 for none.
type sendTrigger struct {
	bytes    int
	connOnly bool // its own connection swallows what is sent, and no other
}

// SilenceOpenAt is SilenceOpen in the moment in which a router sends the next piece of so many bytes or more: that piece is the
// first that is swallowed.
func (p *Proxy) SilenceOpenOnSend(bytes int) { p.setSendTrigger(sendTrigger{bytes: bytes}) }

// SwallowPiece is SilenceOpenAt for the connection alone on which the piece is sent.
func (p *Proxy) SilenceConnOnSend(bytes int) {
	p.setSendTrigger(sendTrigger{bytes: bytes, connOnly: true})
}

func (p *Proxy) setSendTrigger(large sendTrigger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trigger = large
}

// Vanish is SilenceOpen, and has new connections come up and swallow all, until Return.
func (p *Proxy) Vanish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vanished = true
	p.silenceIdleLocked(0)
}

// Return ends Vanish: the connections that are silent are reset, and new ones work.
func (p *Proxy) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vanished = false
	for l := range p.conns {
		if l.silent {
			l.reset()
		}
	}
}

// ResetOpen resets all connections that are open now.
func (p *Proxy) ResetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.reset()
	}
}

func (p *Proxy) accept() {
	for {
		router, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.relay(router)
	}
}

// link is one connection through a proxy. The proxy's lock guards it.
type proxyConn struct {
	proxy          *Proxy
	plan           Plan
	router, engine net.Conn
	silent         bool
	starting       bool      // it has come up, and nothing passes yet
	sentBytes      int       // bytes to the engine
	lastActive     time.Time // when bytes came from either side last
	record         *ConnRecord
	buffered       [numDirections][]byte
	readEnded      [numDirections]bool // no more comes from that side
}

func (p *Proxy) relay(router net.Conn) {
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		router.Close() //nolint:errcheck // as the engine would
		return
	}
	l := &proxyConn{proxy: p, router: router, engine: engine, lastActive: time.Now(), record: &ConnRecord{}}
	p.mu.Lock()
	if len(p.records) < maxConnRecords {
		p.records[engine.LocalAddr().String()] = l.record
	}
	if p.plan != nil {
		l.plan = p.plan(p.connCount)
	}
	p.connCount++
	l.silent = l.plan.Silence == AtStart || p.vanished
	if l.starting = l.plan.StartDelay > 0; l.starting {
		time.AfterFunc(l.plan.StartDelay, l.endStartDelay)
	}
	p.conns[l] = true
	if p.closed {
		l.close()
	}
	if l.plan.Reset == AtStart {
		l.reset()
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	for d, from := range [numDirections]net.Conn{router, engine} {
		both.Go(func() { l.read(Direction(d), from) })
		both.Go(func() { l.write(Direction(d)) })
	}
	both.Wait()
	p.mu.Lock()
	delete(p.conns, l)
	l.close()
	p.mu.Unlock()
}

// arrive ends a connection's lateness.
func (l *proxyConn) endStartDelay() {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	l.starting = false
	l.proxy.changed.Broadcast()
}

const bufferBytes = 32 << 10

// read takes what one side sends.
func (l *proxyConn) read(d Direction, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		switch {
		case n == 0:
		case d == ToRouter && l.proxy.answerDelay != nil:
			time.Sleep(l.proxy.answerDelay())
		case d == ToEngine:
			time.Sleep(l.plan.SendDelay)
		}
		l.proxy.mu.Lock()
		l.lastActive = time.Now()
		if large := l.proxy.trigger; d == ToEngine && large.bytes > 0 && n >= large.bytes {
			l.proxy.trigger = sendTrigger{}
			if l.silent = true; !large.connOnly {
				l.proxy.silenceIdleLocked(0)
			}
		}
		l.enqueue(d, buf[:n])
		if err != nil {
			l.readEnded[d] = true
			if d == ToEngine && l.record.Closed.IsZero() {
				l.record.Closed = time.Now()
			}
		}
		l.proxy.changed.Broadcast()
		l.proxy.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// take has bytes wait for their way, and begins the faults that they trigger. It is called with the lock.
func (l *proxyConn) enqueue(d Direction, bytes []byte) {
	if d == ToRouter && l.plan.Silence == OnAnswer && len(l.record.AnswerTimes) >= l.plan.Answers {
		l.silent = true
	}
	if l.silent || len(bytes) == 0 {
		return
	}
	after := len(bytes)
	if d == ToEngine {
		l.sentBytes += len(bytes)
		if over := l.sentBytes - l.plan.Bytes; over >= 0 && (l.plan.Silence == AfterBytes || l.plan.Reset == AfterBytes) {
			after = max(0, len(bytes)-over)
			l.silent = l.plan.Silence == AfterBytes
		}
	}
	l.buffered[d] = append(l.buffered[d], bytes[:after]...)
	if d == ToEngine && after < len(bytes) && l.plan.Reset == AfterBytes {
		l.reset()
	}
}

// write passes on what waits, while the way is open.
func (l *proxyConn) write(d Direction) {
	to := l.engine
	if d == ToRouter {
		to = l.router
	}
	for {
		bytes, last := l.dequeue(d)
		if len(bytes) > 0 {
			if _, err := to.Write(bytes); err != nil {
				last = true
			}
		}
		if d == ToRouter && len(bytes) > 0 {
			l.answerPassed()
		}
		if last {
			l.proxy.mu.Lock()
			l.close()
			l.proxy.mu.Unlock()
			return
		}
	}
}

// next waits for bytes that may pass; last: nothing comes after them.
func (l *proxyConn) dequeue(d Direction) (bytes []byte, last bool) {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	for {
		open := !l.proxy.paused[d] && !l.starting || l.proxy.closed
		switch {
		case len(l.buffered[d]) > 0 && open:
			bytes, l.buffered[d] = l.buffered[d], nil
			if d == ToRouter && l.plan.Silence == AfterAnswer {
				l.silent = true // before the router has them: its next call may come at once
			}
			return bytes, false
		case l.readEnded[d] && (open || d == ToEngine && len(l.buffered[d]) == 0):
			return nil, true
		}
		l.proxy.changed.Wait()
	}
}

// answered books bytes of an answer that have passed, and begins the reset that follows the first.
func (l *proxyConn) answerPassed() {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	l.record.AnswerTimes = append(l.record.AnswerTimes, time.Now())
	if l.plan.Reset == AfterAnswer {
		l.reset()
	}
}

// end closes both sides; it is called with the lock, as is reset.
func (l *proxyConn) close() {
	l.router.Close() //nolint:errcheck // it may be closed
	l.engine.Close() //nolint:errcheck // as above
}

func (l *proxyConn) reset() {
	for _, side := range [...]net.Conn{l.router, l.engine} {
		if tcp, is := side.(*net.TCPConn); is {
			tcp.SetLinger(0) //nolint:errcheck // closed below
		}
	}
	l.close()
}
