// Package standin is stand-ins for the platform: engines and discovery on loopback that speak its protocol, do what
// a test has them do, and keep a record of what crossed the sockets, against which the rules are checked. They are
// simulated servers written by this project; no figure taken with them says how fast a real engine is. Tests of
// internal/platform use it.
package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/http1"
)

// Kind is what a call to an engine is.
type Kind string

// The kinds of call.
const (
	Read    Kind = "read"
	Write   Kind = "write"
	Reserve Kind = "place"
	Release Kind = "release"
	Probe   Kind = "probe"
)

// Call is one call whose last byte came.
type Call struct {
	Received      time.Time
	Engine        string
	Kind          Kind
	ID            string
	Target        string
	Body          []byte
	ConnNumber    int // number of the connection at its engine, from 1
	Fields        []http1.Field
	Ended         time.Time // when its connection ended or its answer was written
	NotRun        bool      // its engine said that it did not run
	AnswerStarted time.Time // when its answer began to be written, zero for never
	RemoteAddr    string    // the other end of its connection
	EngineDown    time.Time // its engine hung, stopped, vanished or was started anew then, as it came or later; zero: it did not
	lost          bool      // its engine never answers it
}

// Ran is the span in which the call was at an engine that runs, by the strictest reading: up to its answer or the end of its
// connection, and no longer than its engine ran. One that came to an engine which did not run has none. The end is zero while it runs.
func (c *Call) RunSpan() (from, to time.Time, ran bool) {
	to = c.Ended
	if !c.EngineDown.IsZero() && (to.IsZero() || c.EngineDown.Before(to)) {
		to = c.EngineDown
	}
	return c.Received, to, to.IsZero() || to.After(c.Received)
}

// Fault is how an engine spoils a call.
type Fault string

// The faults. None is a good answer.
const (
	None                 Fault = ""
	ServerError          Fault = "500"
	Unavailable          Fault = "503 not run"
	Gone                 Fault = "410 not run"
	Silent               Fault = "silent"
	Hung                 Fault = "hung" // as Silent, by an engine that does not run any more as far as this call goes
	CloseBeforeAnswer    Fault = "cut before the answer"
	CloseAfterFirstEvent Fault = "cut after the first event"
	InvalidHead          Fault = "noise for a head"
	EndlessHead          Fault = "a head without end"
	BadChunkSize         Fault = "a chunk whose size can't be read"
	BadChunkLength       Fault = "a chunk that doesn't fit"
	HugeChunk            Fault = "a chunk of 3 GB"
	LaterBadChunkSize    Fault = "a later chunk whose size can't be read"
	MissingFinalEvents   Fault = "a stream that ends without its last events"
	Stall                Fault = "a stream that stops after its first event"
	InterimAnswers       Fault = "1xx ahead"
	BadReport            Fault = "a report that can't be read"
	SecondAnswer         Fault = "a second answer behind"
)

// World is what the engines of a test share.
type Fleet struct {
	mu            sync.Mutex
	calls         []*Call
	held          map[string]map[string]time.Time // by id, by engine: since when
	holds         []Hold                          // that have ended
	EventInterval time.Duration                   // between two events
	EventCount    int                             // of an answer
	InjectFault   func(c *Call, nth int) Fault    // nth call of its id and kind, from 0; nil: none
	ServiceTime   func(c *Call) time.Duration     // what a read or a write takes up to its answer, nil: nothing
	Strict        bool                            // what is held follows the protocol to the letter, see strict.go
	callCounts    map[string]int
	prefilled     map[string]bool      // ids whose prompt was read
	hungUntil     map[string]time.Time // engines that hang, until when
}

// NewWorld makes a world.
func NewFleet() *Fleet {
	return &Fleet{held: map[string]map[string]time.Time{}, callCounts: map[string]int{}, prefilled: map[string]bool{}, hungUntil: map[string]time.Time{}, EventCount: 3}
}

// Calls are a copy of the record, of one kind or of all.
func (w *Fleet) Calls(kind Kind) (all []Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if kind == "" || c.Kind == kind {
			all = append(all, *c)
		}
	}
	return all
}

// Held is how many states and places are held.
func (w *Fleet) HeldCount() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.held {
		n += len(at)
	}
	return n
}

// Hold is a state or a place that was held for an id, until To.
type Hold struct {
	ID, Engine string
	From, To   time.Time
}

// Holds are all that were held, to now where they still are.
func (w *Fleet) Holds() []Hold {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := slices.Clone(w.holds)
	for id, at := range w.held {
		for engine, since := range at {
			all = append(all, Hold{id, engine, since, time.Now()})
		}
	}
	return all
}

// hold books that an engine holds something for an id; it is called with the lock, as is letGo.
func (w *Fleet) addHold(id, engine string) {
	if w.held[id] == nil {
		w.held[id] = map[string]time.Time{}
	}
	if _, already := w.held[id][engine]; !already {
		w.held[id][engine] = time.Now()
	}
}

// letGo books that nothing is held for an id any more.
func (w *Fleet) endHolds(id string) {
	for engine, since := range w.held[id] {
		w.holds = append(w.holds, Hold{id, engine, since, time.Now()})
	}
	delete(w.held, id)
}

// Engine is one engine.
type Engine struct {
	fleet     *Fleet
	Name      string
	isReader  bool
	ln        net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]bool
	connCount int
}

// Start starts an engine; reads: it is a reader.
func (w *Fleet) StartEngine(name string, reads bool) (*Engine, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", name, err)
	}
	e := &Engine{fleet: w, Name: name, isReader: reads, ln: ln, conns: map[net.Conn]bool{}}
	go e.serve()
	return e, nil
}

// Address is where it listens.
func (e *Engine) Address() string { return e.ln.Addr().String() }

// Close ends it and all its connections, as a process that dies.
func (e *Engine) Close() {
	e.ln.Close() //nolint:errcheck // a stand-in
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close() //nolint:errcheck // as above
	}
}

// Conns is how many connections are open.
func (e *Engine) ConnCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

func (e *Engine) serve() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.connCount++
		n := e.connCount
		e.mu.Unlock()
		go func() {
			e.serveConn(conn, n)
			conn.Close() //nolint:errcheck // a stand-in
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

var limits = http1.Limits{HeadBytes: 16 << 10, Fields: 64, BodyBytes: 256 << 10}

const roomsPath = "/bootstrap/rooms/"

// speak answers calls until the connection ends or is of no further use.
func (e *Engine) serveConn(conn net.Conn, n int) {
	r := bufio.NewReader(conn)
	for {
		h, err := http1.ReadRequest(r, limits)
		if err != nil {
			return
		}
		body, err := http1.ReadBody(r, h, limits, nil)
		if err != nil {
			return
		}
		c := &Call{Received: time.Now(), Engine: e.Name, Target: h.Target, Body: body, ConnNumber: n, Fields: h.Fields, RemoteAddr: conn.RemoteAddr().String()}
		switch id, room := strings.CutPrefix(h.Target, roomsPath); {
		case room && h.Method == "POST":
			c.Kind, c.ID = Reserve, id
		case room:
			c.Kind, c.ID = Release, id
		case h.Method == "GET":
			c.Kind = Probe
		default:
			c.ID, _ = h.Get("x-request-id")
			if c.Kind = Write; e.isReader {
				c.Kind = Read
			}
		}
		fault := e.record(c)
		good := e.answer(conn, c, fault)
		e.fleet.mu.Lock()
		c.Ended = time.Now()
		e.fleet.mu.Unlock()
		if !good {
			return
		}
	}
}

// note books a call and what it does to what is held.
func (e *Engine) record(c *Call) Fault {
	w := e.fleet
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
	key := string(c.Kind) + " " + c.ID
	nth := w.callCounts[key]
	w.callCounts[key]++
	fault := None
	if w.InjectFault != nil {
		fault = w.InjectFault(c, nth)
	}
	switch c.Kind {
	case Release:
		if !w.Strict || !w.hasWaitingWrite(c.ID) {
			w.endHolds(c.ID)
		}
	case Reserve:
		if fault == None && !w.Strict {
			w.addHold(c.ID, e.Name)
		}
	case Write:
		if fault != Unavailable && fault != Gone && !w.Strict {
			w.endHolds(c.ID)
		}
	}
	c.NotRun = fault == Unavailable || fault == Gone
	if fault == Hung || c.isAttempt() && c.Received.Before(w.hungUntil[e.Name]) {
		c.EngineDown, c.lost = c.Received, true
	}
	return fault
}

func writeTo(conn net.Conn, format string, a ...any) bool {
	_, err := fmt.Fprintf(conn, format, a...)
	return err == nil
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	loadReport = `{"util":0.5,"queue":1,"x0":0.25}`
)

// Event is the text of an answer's event, as a client must get it.
func EventText(engine, id string, n int) string {
	return fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"%s %s %d"},"finish_reason":null}]}`+"\n\n", engine, id, n)
}

// Last is the text of an answer's last events.
const FinalEvents = `data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}` + "\n\n" +
	`data: {"choices":[],"usage":{"prompt_tokens":512,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":64}}}` + "\n\n" +
	"data: [DONE]\n\n"

// answer answers a call and tells whether the connection can be used on.
func (e *Engine) answer(conn net.Conn, c *Call, fault Fault) bool {
	wait := func() bool { // until the other side closes
		conn.SetReadDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // a stand-in
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		return err == nil || errors.As(err, &timeout) && timeout.Timeout()
	}
	if fault == None && !e.waitServiceTime(conn, c) {
		return false
	}
	if e.fleet.Strict && fault == None && !e.fleet.isLost(c) {
		if fault = e.fleet.admit(c); fault == noOpenRead {
			return writeTo(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
	e.fleet.mu.Lock()
	if c.lost {
		fault = Hung
	} else {
		c.AnswerStarted = time.Now()
	}
	e.fleet.mu.Unlock()
	switch fault {
	case Silent, Hung:
		wait()
		return false
	case CloseBeforeAnswer:
		return false
	case ServerError:
		return writeTo(conn, "HTTP/1.1 500 Internal Server Error\r\nX-Load: %s\r\nContent-Length: 4\r\n\r\noops", loadReport)
	case Unavailable:
		return writeTo(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case Gone:
		return writeTo(conn, "HTTP/1.1 410 Gone\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case InvalidHead:
		writeTo(conn, "\x00\x17\xfe noise\r\n\r\n")
		wait()
		return false
	case EndlessHead:
		writeTo(conn, "HTTP/1.1 200 OK\r\n")
		for writeTo(conn, "X-More: %s\r\n", bytes.Repeat([]byte("m"), 512)) {
		}
		return false
	case InterimAnswers:
		writeTo(conn, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
	}
	text := loadReport
	if fault == BadReport {
		text = `{"util":nonsense`
	}
	switch c.Kind {
	case Read:
		e.fleet.mu.Lock()
		e.fleet.addHold(c.ID, e.Name)
		e.fleet.prefilled[c.ID] = true
		e.fleet.mu.Unlock()
		good := writeTo(conn, "HTTP/1.1 202 Accepted\r\nX-Load: %s\r\nContent-Length: 21\r\n\r\n{\"cached_tokens\":128}", text)
		if fault == SecondAnswer {
			writeTo(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
		return good
	case Reserve:
		return writeTo(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	case Release:
		return writeTo(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	case Probe:
		return writeTo(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	return e.stream(conn, c, fault, text, wait)
}

func (e *Engine) stream(conn net.Conn, c *Call, fault Fault, text string, wait func() bool) bool {
	first := chunk(EventText(e.Name, c.ID, 0))
	switch fault {
	case BadChunkSize:
		first = "zz\r\n" + first
	case BadChunkLength:
		first = strings.Replace(first, "\r\n", "\r\ndata: too much", 1)
	case HugeChunk:
		writeTo(conn, "%sc0000000\r\n", streamHead)
		for writeTo(conn, "%s", bytes.Repeat([]byte("h"), 4096)) {
		}
		return false
	}
	if !writeTo(conn, "%s%s", streamHead, first) {
		return false
	}
	switch fault {
	case BadChunkSize, BadChunkLength:
		wait()
		return false
	case CloseAfterFirstEvent:
		return false
	case Stall:
		wait()
		return false
	}
	for n := 1; n < e.fleet.EventCount; n++ {
		time.Sleep(e.fleet.EventInterval)
		if !writeTo(conn, "%s", chunk(EventText(e.Name, c.ID, n))) {
			return false
		}
	}
	switch fault {
	case LaterBadChunkSize:
		writeTo(conn, "-5\r\nabc\r\n")
		wait()
		return false
	case MissingFinalEvents:
		writeTo(conn, "0\r\n\r\n")
		return true
	}
	good := writeTo(conn, "%s%s0\r\n\r\n", chunk(FinalEvents), chunk(": X-Load: "+text+"\n\n"))
	if fault == SecondAnswer {
		writeTo(conn, "%s%s0\r\n\r\n", streamHead, chunk(EventText("nobody", c.ID, 9)))
	}
	return good
}
