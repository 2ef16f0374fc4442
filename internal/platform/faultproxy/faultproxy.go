// Package faultproxy is a TCP relay on loopback that injects connection faults: it drops bytes without an error, pauses and delays
// traffic, and resets connections. Tests and the soak test put one in front of each stand-in engine; a router never uses it.
//
// A silent connection stays open on both sides, but all bytes that arrive on it from then on are dropped.
package faultproxy

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"cherryhub/internal/loopback"
)

// Trigger says when a fault of a connection begins.
type Trigger uint8

// The triggers. A fault with Never does not occur.
const (
	Never Trigger = iota
	AtStart
	AfterBytes  // once the router has sent Plan.Bytes bytes
	AfterAnswer // once the first bytes of an answer have been passed on
	OnAnswer    // when bytes of an answer arrive after Plan.Answers pieces have been passed on
)

// Plan lists the faults of one connection.
type Plan struct {
	Silence    Trigger       // the connection becomes silent
	Reset      Trigger       // the connection is reset
	Bytes      int           // for AfterBytes
	Answers    int           // for OnAnswer
	StartDelay time.Duration // nothing is passed on for this time after the connection is accepted
	SendDelay  time.Duration // delay of all that the router sends
}

// Direction is a direction through a proxy.
type Direction uint8

// The directions.
const (
	ToEngine Direction = iota
	ToRouter
	numDirections
)

// Proxy relays connections to an address.
type Proxy struct {
	ln          net.Listener
	target      string
	plan        func(n int) Plan
	answerDelay func() time.Duration

	mu        sync.Mutex
	changed   *sync.Cond // signals changes of paused, starting, buffered, readEnded and closed
	paused    [numDirections]bool
	conns     map[*proxyConn]bool
	trigger   sendTrigger // makes connections silent at a large piece
	vanished  bool        // all connections are silent, new ones too
	records   map[string]*ConnRecord
	connCount int
	closed    bool
}

// ConnRecord records what a connection carried to the router.
type ConnRecord struct {
	AnswerTimes []time.Time // when pieces of answers were passed on
	Closed      time.Time   // when the router closed the connection or it was reset; zero while it is open
}

// maxConnRecords bounds the records of a proxy. Later connections have none.
const maxConnRecords = 1 << 16

// ConnRecord returns the record of the connection that the engine sees under this remote address, or nil if there is none.
func (p *Proxy) ConnRecord(remoteAddr string) *ConnRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.records[remoteAddr]
	if rec == nil {
		return nil
	}
	return &ConnRecord{slices.Clone(rec.AnswerTimes), rec.Closed}
}

// Start starts a proxy in front of an address. plan returns the plan of the nth connection, from 0, and answerDelay the delay of the next
// piece of an answer. Either may be nil.
func Start(target string, plan func(n int) Plan, answerDelay func() time.Duration) (*Proxy, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := &Proxy{ln: ln, target: target, plan: plan, answerDelay: answerDelay, conns: map[*proxyConn]bool{}, records: map[string]*ConnRecord{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address returns the listening address.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// ConnCount returns how many connections have been relayed.
func (p *Proxy) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	p.ln.Close() //nolint:errcheck // no further connections are expected
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.close()
	}
	p.changed.Broadcast()
	p.mu.Unlock()
}

// Pause stops traffic in a direction, on open and on new connections, until Resume. What arrives meanwhile is buffered and passed on
// then.
func (p *Proxy) Pause(d Direction) { p.setPaused(d, true) }

// Resume ends Pause.
func (p *Proxy) Resume(d Direction) { p.setPaused(d, false) }

func (p *Proxy) setPaused(d Direction, paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused[d] = paused
	p.changed.Broadcast()
}

// SilenceOpen makes all connections that are open now silent and returns how many they are. New connections work.
func (p *Proxy) SilenceOpen() (n int) { return p.SilenceIdle(0) }

// SilenceIdle is SilenceOpen for the connections that have carried nothing for the given time.
func (p *Proxy) SilenceIdle(idle time.Duration) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenceIdleLocked(idle)
}

// silenceIdleLocked is SilenceIdle for callers that hold the lock.
func (p *Proxy) silenceIdleLocked(idle time.Duration) (n int) {
	for c := range p.conns {
		if time.Since(c.lastActive) >= idle {
			c.silent = true
			n++
		}
	}
	return n
}

// sendTrigger makes connections silent when a router next sends a piece of this size or more. Zero bytes: it is not set.
type sendTrigger struct {
	bytes    int
	connOnly bool // only the connection that carries the piece becomes silent
}

// SilenceOpenOnSend is SilenceOpen at the moment when a router next sends a piece of at least this many bytes. That piece is the first
// to be dropped.
func (p *Proxy) SilenceOpenOnSend(bytes int) { p.setSendTrigger(sendTrigger{bytes: bytes}) }

// SilenceConnOnSend is SilenceOpenOnSend for only the connection that carries the piece.
func (p *Proxy) SilenceConnOnSend(bytes int) {
	p.setSendTrigger(sendTrigger{bytes: bytes, connOnly: true})
}

func (p *Proxy) setSendTrigger(trigger sendTrigger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trigger = trigger
}

// Vanish makes all connections silent, including those that are opened before Restore is called.
func (p *Proxy) Vanish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vanished = true
	p.silenceIdleLocked(0)
}

// Restore ends Vanish: silent connections are reset, and new ones work.
func (p *Proxy) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vanished = false
	for c := range p.conns {
		if c.silent {
			c.reset()
		}
	}
}

// ResetOpen resets all connections that are open now.
func (p *Proxy) ResetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
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

// proxyConn is a connection through a proxy. The proxy's lock guards it.
type proxyConn struct {
	proxy          *Proxy
	plan           Plan
	router, engine net.Conn
	silent         bool
	starting       bool      // the connection is accepted, but its start delay is not over
	sentBytes      int       // bytes that the router has sent
	lastActive     time.Time // when either side last sent bytes
	record         *ConnRecord
	buffered       [numDirections][]byte
	readEnded      [numDirections]bool // the sender of that direction has closed
}

func (p *Proxy) relay(router net.Conn) {
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		router.Close() //nolint:errcheck // the engine refused the connection
		return
	}
	c := &proxyConn{proxy: p, router: router, engine: engine, lastActive: time.Now(), record: &ConnRecord{}}
	p.mu.Lock()
	if len(p.records) < maxConnRecords {
		p.records[engine.LocalAddr().String()] = c.record
	}
	if p.plan != nil {
		c.plan = p.plan(p.connCount)
	}
	p.connCount++
	c.silent = c.plan.Silence == AtStart || p.vanished
	if c.starting = c.plan.StartDelay > 0; c.starting {
		time.AfterFunc(c.plan.StartDelay, c.endStartDelay)
	}
	p.conns[c] = true
	if p.closed {
		c.close()
	}
	if c.plan.Reset == AtStart {
		c.reset()
	}
	p.mu.Unlock()
	var wg sync.WaitGroup
	for d, from := range [numDirections]net.Conn{router, engine} {
		wg.Go(func() { c.read(Direction(d), from) })
		wg.Go(func() { c.write(Direction(d)) })
	}
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	c.close()
	p.mu.Unlock()
}

// endStartDelay ends the connection's start delay.
func (c *proxyConn) endStartDelay() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.starting = false
	c.proxy.changed.Broadcast()
}

const bufferBytes = 32 << 10

// read reads what the sender of a direction sends.
func (c *proxyConn) read(d Direction, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		switch {
		case n == 0:
		case d == ToRouter && c.proxy.answerDelay != nil:
			time.Sleep(c.proxy.answerDelay())
		case d == ToEngine:
			time.Sleep(c.plan.SendDelay)
		}
		c.proxy.mu.Lock()
		c.lastActive = time.Now()
		if trigger := c.proxy.trigger; d == ToEngine && trigger.bytes > 0 && n >= trigger.bytes {
			c.proxy.trigger = sendTrigger{}
			if c.silent = true; !trigger.connOnly {
				c.proxy.silenceIdleLocked(0)
			}
		}
		c.enqueue(d, buf[:n])
		if err != nil {
			c.readEnded[d] = true
			if d == ToEngine && c.record.Closed.IsZero() {
				c.record.Closed = time.Now()
			}
		}
		c.proxy.changed.Broadcast()
		c.proxy.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// enqueue buffers bytes for a direction, and begins the faults that they trigger. The caller holds the lock.
func (c *proxyConn) enqueue(d Direction, bytes []byte) {
	if d == ToRouter && c.plan.Silence == OnAnswer && len(c.record.AnswerTimes) >= c.plan.Answers {
		c.silent = true
	}
	if c.silent || len(bytes) == 0 {
		return
	}
	keep := len(bytes)
	if d == ToEngine {
		c.sentBytes += len(bytes)
		if excess := c.sentBytes - c.plan.Bytes; excess >= 0 && (c.plan.Silence == AfterBytes || c.plan.Reset == AfterBytes) {
			keep = max(0, len(bytes)-excess)
			c.silent = c.plan.Silence == AfterBytes
		}
	}
	c.buffered[d] = append(c.buffered[d], bytes[:keep]...)
	if d == ToEngine && keep < len(bytes) && c.plan.Reset == AfterBytes {
		c.reset()
	}
}

// write passes on the buffered bytes of a direction while it is not paused.
func (c *proxyConn) write(d Direction) {
	to := c.engine
	if d == ToRouter {
		to = c.router
	}
	for {
		bytes, last := c.dequeue(d)
		if len(bytes) > 0 {
			if _, err := to.Write(bytes); err != nil {
				last = true
			}
		}
		if d == ToRouter && len(bytes) > 0 {
			c.answerPassed()
		}
		if last {
			c.proxy.mu.Lock()
			c.close()
			c.proxy.mu.Unlock()
			return
		}
	}
}

// dequeue waits for bytes that may be passed on. last reports that the direction has ended and there are none.
func (c *proxyConn) dequeue(d Direction) (bytes []byte, last bool) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	for {
		open := !c.proxy.paused[d] && !c.starting || c.proxy.closed
		switch {
		case len(c.buffered[d]) > 0 && open:
			bytes, c.buffered[d] = c.buffered[d], nil
			if d == ToRouter && c.plan.Silence == AfterAnswer {
				c.silent = true // set before the router has the bytes, as it may send its next call at once
			}
			return bytes, false
		case c.readEnded[d] && (open || d == ToEngine && len(c.buffered[d]) == 0):
			return nil, true
		}
		c.proxy.changed.Wait()
	}
}

// answerPassed records that bytes of an answer were passed on, and resets the connection if its plan says so.
func (c *proxyConn) answerPassed() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.record.AnswerTimes = append(c.record.AnswerTimes, time.Now())
	if c.plan.Reset == AfterAnswer {
		c.reset()
	}
}

// close closes both sides. The caller holds the lock, as for reset.
func (c *proxyConn) close() {
	c.router.Close() //nolint:errcheck // it may be closed already
	c.engine.Close() //nolint:errcheck // as above
}

func (c *proxyConn) reset() {
	for _, side := range [...]net.Conn{c.router, c.engine} {
		if tcp, ok := side.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // the connection is closed without a reset then
		}
	}
	c.close()
}
