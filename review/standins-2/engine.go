package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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
	service    time.Duration // until the answer begins
	tokenPause time.Duration // between two events
	events     int           // of the answer; 0 for three
	cutReport  bool          // the load report at its end cannot be read: it is cut short
	misfit     bool          // the size of the first chunk does not fit: it takes in the second chunk as well
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

	mu        sync.Mutex
	conns     map[*net.TCPConn]bool
	hungUntil time.Time
}

func (f *fleet) start(name, class string, reads bool) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", name, err)
	}
	e := &engine{fleet: f, name: name, class: class, reads: reads, ln: ln, conns: map[*net.TCPConn]bool{}}
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
	tcp := conn.(*net.TCPConn)
	e.mu.Lock()
	e.conns[tcp] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, tcp)
	}()
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
	e.waitHang()
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
		return e.finish(conn, c, text, "read")
	}
	return e.stream(conn, c, b)
}

// finish writes the last bytes of an answer.
func (e *engine) finish(conn net.Conn, c *call, text, outcome string) bool {
	_, err := io.WriteString(conn, text)
	e.fleet.end(c, outcome)
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

// stream writes the answer to a write.
func (e *engine) stream(conn net.Conn, c *call, b behaviour) bool {
	events := b.events
	if events == 0 {
		events = 3
	}
	first, next := streamHead+chunk(eventText(c, 0)), 1
	if b.misfit {
		second := eventText(c, 1)
		next = 2
		first = streamHead + chunk(eventText(c, 0)+fmt.Sprintf("\r\n%x\r\n", len(second))+second)
	}
	if _, err := io.WriteString(conn, first); err != nil {
		e.fleet.end(c, "cut off")
		return false
	}
	for n := next; n < events; n++ {
		time.Sleep(b.tokenPause)
		if _, err := io.WriteString(conn, chunk(eventText(c, n))); err != nil {
			e.fleet.end(c, "cut off")
			return false
		}
	}
	report := ": X-Load: " + loadReport + "\n\n"
	if b.cutReport {
		report = report[:len(report)/2]
	}
	return e.finish(conn, c, chunk(finalEvents)+chunk(report)+"0\r\n\r\n", "served")
}

// reset resets all connections of the engine.
func (e *engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.SetLinger(0) //nolint:errcheck // best effort
		conn.Close()
	}
}

// hang makes the engine do nothing until the given time.
func (e *engine) hang(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hungUntil = until
}

// waitHang waits until the engine no longer hangs.
func (e *engine) waitHang() {
	e.mu.Lock()
	until := e.hungUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// openWrites returns how many writes wait for their answer at an engine.
func (f *fleet) openWrites(engine string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if c.engine == engine && c.kind == kindWrite && c.ended.IsZero() {
			n++
		}
	}
	return n
}
