package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// call is a call that an engine received completely.
type call struct {
	engine   string
	conn     int // number of the connection at its engine, from 1
	kind     string
	id       string
	deadline string // X-Deadline as it came
	received time.Time
	nth      int // of this id and kind, from 0

	ended   time.Time
	outcome string // how it ended; empty while it is open
}

// The kinds of calls.
const (
	kindRead    = "read"
	kindWrite   = "write"
	kindReserve = "reserve"
	kindRelease = "release"
	kindProbe   = "probe"
)

// behaviour says how an engine answers a read or a write. The zero value is an immediate, ordinary answer.
type behaviour struct {
	service     time.Duration // until the answer begins
	tokenPause  time.Duration // between two events
	events      int           // of the answer; 0 for three
	secondAfter time.Duration // a second answer follows so long after the first one; 0 for none
}

// fleet is a set of engines with the calls that they received and the states that they hold.
type fleet struct {
	mu     sync.Mutex
	calls  []*call
	counts map[string]int
	state  map[string]string // by id: "held", or "gone" once a write took it or a release freed it
	behave func(c *call) behaviour
}

func newFleet() *fleet {
	return &fleet{counts: map[string]int{}, state: map[string]string{}, behave: func(*call) behaviour { return behaviour{} }}
}

// list returns copies of all calls so far.
func (f *fleet) list() (all []call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		all = append(all, *c)
	}
	return all
}

func (f *fleet) end(c *call, outcome string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.ended, c.outcome = time.Now(), outcome
}

// engine is a stand-in for an engine that reads prompts or writes answers.
type engine struct {
	fleet *fleet
	name  string
	class string // its kind of machine in the list
	reads bool
	ln    net.Listener
}

func (f *fleet) start(name, class string, reads bool) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", name, err)
	}
	e := &engine{fleet: f, name: name, class: class, reads: reads, ln: ln}
	go func() {
		for n := 1; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, n)
		}
	}()
	return e, nil
}

func (e *engine) address() string { return e.ln.Addr().String() }

// serve answers the calls of a connection, one after another. gone is closed once the other side has ended it.
func (e *engine) serve(conn net.Conn, number int) {
	defer conn.Close()
	calls, gone := make(chan *call, 4), make(chan struct{})
	go func() {
		defer close(gone)
		r := bufio.NewReader(conn)
		for {
			c, err := e.receive(r, number)
			if err != nil {
				return
			}
			calls <- c
		}
	}()
	for {
		select {
		case c := <-calls:
			if !e.answer(conn, c, gone) {
				return
			}
		case <-gone:
			return
		}
	}
}

func (e *engine) receive(r *bufio.Reader, number int) (*call, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, err
	}
	c := &call{engine: e.name, conn: number, received: time.Now(), id: req.Header.Get("X-Request-Id"), deadline: req.Header.Get("X-Deadline")}
	room, isRoom := strings.CutPrefix(req.URL.Path, "/bootstrap/rooms/")
	switch {
	case isRoom && req.Method == http.MethodDelete:
		c.kind, c.id = kindRelease, room
	case isRoom:
		c.kind, c.id = kindReserve, room
	case req.Method == http.MethodGet:
		c.kind = kindProbe
	case e.reads:
		c.kind = kindRead
	default:
		c.kind = kindWrite
	}
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	key := c.kind + " " + c.id
	c.nth = f.counts[key]
	f.counts[key]++
	f.calls = append(f.calls, c)
	return c, nil
}

const loadReport = `{"inflight":1,"util":0.2,"queue":0,"x0":0.1,"x1":0}`

// answer answers a call and reports whether the connection serves further calls.
func (e *engine) answer(conn net.Conn, c *call, gone <-chan struct{}) bool {
	f := e.fleet
	switch c.kind {
	case kindProbe:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(loadReport), loadReport)
		f.end(c, "answered")
		return true
	case kindReserve:
		fmt.Fprint(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
		f.end(c, "not held")
		return true
	case kindRelease:
		f.mu.Lock()
		if f.state[c.id] == "held" {
			f.state[c.id] = "gone"
		}
		f.mu.Unlock()
		fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		f.end(c, "released")
		return true
	}
	if c.id == "" {
		fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		f.end(c, "no id")
		return true
	}
	if c.kind == kindWrite { // it takes the state that waits for it
		f.mu.Lock()
		lost := f.state[c.id] == "gone"
		delete(f.state, c.id)
		f.mu.Unlock()
		if lost {
			fmt.Fprint(conn, "HTTP/1.1 410 Gone\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			f.end(c, "state gone, not run")
			return true
		}
	}
	b := f.behave(c)
	if b.service > 0 {
		select {
		case <-time.After(b.service):
		case <-gone:
			f.end(c, "connection ended")
			return false
		}
	}
	if c.kind == kindRead {
		f.mu.Lock()
		f.state[c.id] = "held"
		f.mu.Unlock()
		text := fmt.Sprintf("HTTP/1.1 202 Accepted\r\nX-Load: %s\r\nContent-Type: application/json\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}", loadReport)
		return e.finish(conn, c, b, text, "read")
	}
	return e.stream(conn, c, b)
}

// finish writes the last bytes of an answer, and a second one behind it if the behaviour says so.
func (e *engine) finish(conn net.Conn, c *call, b behaviour, text, outcome string) bool {
	_, err := io.WriteString(conn, text)
	e.fleet.end(c, outcome)
	if err != nil {
		return false
	}
	if b.secondAfter > 0 {
		time.Sleep(b.secondAfter)
		second := text
		if c.kind == kindWrite {
			second = e.streamText(c, 3)
		}
		_, err = io.WriteString(conn, second)
	}
	return err == nil
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventText returns the nth event of a call's answer. It names the request, so that a client sees whose answer it got.
func eventText(c *call, n int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s %s %d.%d\"},\"finish_reason\":null}]}\n\n", c.id, c.engine, c.nth, n)
}

const finalEvents = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n" +
	"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":12,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n" +
	"data: [DONE]\n\n"

// streamText returns a whole answer.
func (e *engine) streamText(c *call, events int) string {
	text := streamHead
	for n := range events {
		text += chunk(eventText(c, n))
	}
	return text + chunk(finalEvents) + "0\r\n\r\n"
}

func (e *engine) stream(conn net.Conn, c *call, b behaviour) bool {
	events := b.events
	if events == 0 {
		events = 3
	}
	if _, err := io.WriteString(conn, streamHead+chunk(eventText(c, 0))); err != nil {
		e.fleet.end(c, "cut off")
		return false
	}
	for n := 1; n < events; n++ {
		time.Sleep(b.tokenPause)
		if _, err := io.WriteString(conn, chunk(eventText(c, n))); err != nil {
			e.fleet.end(c, "cut off")
			return false
		}
	}
	return e.finish(conn, c, b, chunk(finalEvents)+"0\r\n\r\n", "served")
}

// relay passes connections on to an engine. late says how long a new connection takes to come up: until then nothing is passed on.
type relay struct {
	ln     net.Listener
	target string
	late   func() time.Duration

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

func startRelay(target string, late func() time.Duration) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &relay{ln: ln, target: target, late: late, conns: map[*net.TCPConn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *relay) address() string { return p.ln.Addr().String() }

// pass relays a connection. The end or the reset of one side is passed on to the other.
func (p *relay) pass(router *net.TCPConn) {
	defer router.Close()
	time.Sleep(p.late())
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		router.SetLinger(0) //nolint:errcheck // best effort
		return
	}
	engine := conn.(*net.TCPConn)
	defer engine.Close()
	p.mu.Lock()
	p.conns[router], p.conns[engine] = true, true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, router)
		delete(p.conns, engine)
	}()
	var wg sync.WaitGroup
	wg.Go(func() { pump(engine, router) })
	wg.Go(func() { pump(router, engine) })
	wg.Wait()
}

func pump(to, from *net.TCPConn) {
	_, err := io.Copy(to, from)
	if errors.Is(err, syscall.ECONNRESET) {
		to.SetLinger(0) //nolint:errcheck // best effort
	}
	to.Close()
	from.Close()
}

// reset resets all connections, on both sides.
func (p *relay) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.SetLinger(0) //nolint:errcheck // best effort
		conn.Close()
	}
}
