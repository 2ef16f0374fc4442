package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/http1"
)

// call is a request that an engine has received completely.
type call struct {
	engine   *engine
	conn     int // number of its connection
	id       string
	deadline string
	received time.Time
}

// plan says how an engine answers a call.
type plan struct {
	first, interval time.Duration // before the first event or the end of a read; between two events
	events          int
	secondAfter     time.Duration  // a second answer follows this long after the end of the answer; 0: none
	tail            func(net.Conn) // replaces the rest of the stream after half of its events
}

// engine is a stand-in for an engine that follows the protocol page.
type engine struct {
	run  *run
	name string
	kind string
	ln   net.Listener
	plan func(*call) plan

	mu    sync.Mutex
	conns map[net.Conn]bool
	count int
}

func startEngine(r *run, name, kind string, p func(*call) plan) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{run: r, name: name, kind: kind, ln: ln, plan: p, conns: map[net.Conn]bool{}}
	go e.serve()
	return e, nil
}

func (e *engine) entry() discovery.EngineEntry {
	return discovery.EngineEntry{Name: e.name, Address: e.ln.Addr().String(), Zone: "west", MachineKind: e.kind, Cell: 1, Health: "Ready", Share: 1}
}

func (e *engine) close() {
	e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close()
	}
}

func (e *engine) serve() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.count++
		number := e.count
		e.mu.Unlock()
		go func() {
			e.serveConn(&engineConn{Conn: conn}, number)
			conn.Close()
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

// engineConn is a connection whose answers are written as a whole.
type engineConn struct {
	net.Conn
	answer sync.Mutex // held while an answer is written
}

var engineLimits = http1.Limits{HeadBytes: 16 << 10, Fields: 64, BodyBytes: 256 << 10}

const load = `{"util":0.3,"queue":0,"x0":0.2}`

func (e *engine) serveConn(conn *engineConn, number int) {
	in := bufio.NewReader(conn)
	for {
		h, err := http1.ReadRequest(in, engineLimits)
		if err != nil {
			return
		}
		if _, err := http1.ReadBody(in, h, engineLimits, nil); err != nil {
			return
		}
		c := &call{engine: e, conn: number, received: time.Now()}
		c.id, _ = h.Get("x-request-id")
		c.deadline, _ = h.Get("x-deadline")
		isRoom := strings.HasPrefix(h.Target, "/bootstrap/rooms/")
		switch {
		case isRoom && h.Method == "DELETE":
			err = conn.send("HTTP/1.1 204 No Content\r\n\r\n")
		case isRoom:
			err = conn.send("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
		case h.Method == "GET" && (h.Target == "/metrics/load" || h.Target == "/alive"):
			err = conn.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(load), load))
		case c.id == "":
			err = conn.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		default:
			e.run.note("engine %s conn %d: received %s deadline %s", e.name, number, c.id, c.deadline)
			err = e.answer(conn, c)
		}
		if err != nil {
			return
		}
	}
}

// send writes a whole answer.
func (c *engineConn) send(text string) error {
	c.answer.Lock()
	defer c.answer.Unlock()
	_, err := c.Write([]byte(text))
	return err
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// event is the nth event of the stream that an engine makes for a request. Its content names both.
func event(engine, id string, n int) string {
	return fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"[%s %s %d]"},"finish_reason":null}]}`, engine, id, n) + "\n\n"
}

func lastEvents() string {
	return `data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}` + "\n\n" +
		`data: {"choices":[],"usage":{"prompt_tokens":200,"completion_tokens":50,"prompt_tokens_details":{"cached_tokens":0}}}` + "\n\n" +
		"data: [DONE]\n\n"
}

// answer answers a read with 202 and any other call with a stream.
func (e *engine) answer(conn *engineConn, c *call) error {
	p := e.plan(c)
	time.Sleep(p.first)
	conn.answer.Lock()
	defer conn.answer.Unlock()
	if e.kind == "prefill" {
		body := `{"cached_tokens":0}`
		_, err := fmt.Fprintf(conn, "HTTP/1.1 202 Accepted\r\nX-Load: %s\r\nContent-Length: %d\r\n\r\n%s", load, len(body), body)
		return err
	}
	if _, err := fmt.Fprint(conn, streamHead+chunk(event(e.name, c.id, 0))); err != nil {
		return err
	}
	for n := 1; n < p.events; n++ {
		if p.tail != nil && n == p.events/2 {
			p.tail(conn)
			return net.ErrClosed
		}
		time.Sleep(p.interval)
		if _, err := fmt.Fprint(conn, chunk(event(e.name, c.id, n))); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprint(conn, chunk(lastEvents())+chunk(": X-Load: "+load+"\n\n")+"0\r\n\r\n"); err != nil {
		return err
	}
	e.run.note("engine %s conn %d: answered %s", e.name, c.conn, c.id)
	if p.secondAfter > 0 {
		time.AfterFunc(p.secondAfter, func() {
			e.run.note("engine %s conn %d: a second answer for %s, %v after the first", e.name, c.conn, c.id, p.secondAfter)
			conn.send(streamHead + chunk(event(e.name, c.id, 0)) + chunk(lastEvents()) + "0\r\n\r\n") //nolint:errcheck // the router may have closed it
		})
	}
	return nil
}
