// Package standin provides stand-ins for the platform's servers: engines and a discovery service on loopback that speak its
// protocol, inject faults on request and record the calls they receive, so that tests can check the rules against the record. They
// are simulated servers written by this project; no figure measured with them says how fast a real engine is. The tests of
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

// Kind is the kind of a call to an engine.
type Kind string

// The kinds of call. Reserve asks an engine for a reservation, which it holds for a request whose read is open. Release frees all that
// is held for a request.
const (
	Read    Kind = "read"
	Write   Kind = "write"
	Reserve Kind = "place"
	Release Kind = "release"
	Probe   Kind = "probe"
)

// Call is a call that an engine has received completely.
type Call struct {
	Received      time.Time
	Engine        string
	Kind          Kind
	ID            string
	Target        string
	Body          []byte
	ConnNumber    int // number of the connection at its engine, from 1
	Fields        []http1.Field
	Ended         time.Time // when its answer was written or its connection ended; zero while it is open
	NotRun        bool      // the engine answered that it did not run the call
	AnswerStarted time.Time // when the engine began to write its answer; zero: it did not
	RemoteAddr    string    // of the connection's other end
	EngineDown    time.Time // when the engine hung, stopped, vanished or restarted, on arrival of the call or later; zero: it did not
	lost          bool      // the engine never answers it
}

// RunSpan returns the time span in which the call was at a running engine, by the strictest interpretation: until its answer or the end
// of its connection, and no longer than the engine ran. ran is false if the engine was not running when the call arrived. The end is
// zero while the call runs.
func (c *Call) RunSpan() (from, to time.Time, ran bool) {
	to = c.Ended
	if !c.EngineDown.IsZero() && (to.IsZero() || c.EngineDown.Before(to)) {
		to = c.EngineDown
	}
	return c.Received, to, to.IsZero() || to.After(c.Received)
}

// Fault is a way in which an engine fails a call.
type Fault string

// The faults. None is a normal answer.
const (
	None                 Fault = ""
	ServerError          Fault = "500"
	Unavailable          Fault = "503 not run"
	Gone                 Fault = "410 not run"
	Silent               Fault = "silent"
	Hung                 Fault = "hung" // like Silent, and the engine counts as not running for this call
	CloseBeforeAnswer    Fault = "closed before the answer"
	CloseAfterFirstEvent Fault = "closed after the first event"
	InvalidHead          Fault = "invalid head"
	EndlessHead          Fault = "endless head"
	BadChunkSize         Fault = "invalid chunk size"
	BadChunkLength       Fault = "chunk longer than its size"
	HugeChunk            Fault = "chunk of 3 GB"
	LaterBadChunkSize    Fault = "invalid size of a later chunk"
	MissingFinalEvents   Fault = "stream without its final events"
	Stall                Fault = "stream stalls after its first event"
	InterimAnswers       Fault = "1xx before the answer"
	BadReport            Fault = "invalid load report"
	SecondAnswer         Fault = "second answer after the first"
)

// Fleet is the set of engines of a test, with the held state and the call record that they share.
type Fleet struct {
	mu            sync.Mutex
	calls         []*Call
	held          map[string]map[string]time.Time // by request ID and engine: since when something is held
	holds         []Hold                          // those that have ended
	EventInterval time.Duration                   // between two events of an answer
	EventCount    int                             // of an answer, without the final ones
	InjectFault   func(c *Call, nth int) Fault    // the fault for the nth call of its ID and kind, from 0; nil: none
	ServiceTime   func(c *Call) time.Duration     // time before the answer to a read or a write; nil: none
	Strict        bool                            // held state follows the protocol exactly, see strict.go
	callCounts    map[string]int
	prefilled     map[string]bool      // IDs whose prompt was read
	hungUntil     map[string]time.Time // by engine: until when it hangs
}

// NewFleet returns a fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{held: map[string]map[string]time.Time{}, callCounts: map[string]int{}, prefilled: map[string]bool{}, hungUntil: map[string]time.Time{}, EventCount: 3}
}

// Calls returns a copy of the recorded calls of one kind, or of all kinds if it is empty.
func (f *Fleet) Calls(kind Kind) (all []Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if kind == "" || c.Kind == kind {
			all = append(all, *c)
		}
	}
	return all
}

// HeldCount returns how many states and reservations are held.
func (f *Fleet) HeldCount() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, engines := range f.held {
		n += len(engines)
	}
	return n
}

// Hold is the time for which an engine held a state or a reservation for a request.
type Hold struct {
	ID, Engine string
	From, To   time.Time
}

// Holds returns all holds so far. Those that have not ended last until now.
func (f *Fleet) Holds() []Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.Clone(f.holds)
	for id, engines := range f.held {
		for engine, since := range engines {
			all = append(all, Hold{id, engine, since, time.Now()})
		}
	}
	return all
}

// addHold records that an engine holds something for a request. The caller holds the lock.
func (f *Fleet) addHold(id, engine string) {
	if f.held[id] == nil {
		f.held[id] = map[string]time.Time{}
	}
	if _, held := f.held[id][engine]; !held {
		f.held[id][engine] = time.Now()
	}
}

// endHolds records that nothing is held for a request any more. The caller holds the lock.
func (f *Fleet) endHolds(id string) {
	for engine, since := range f.held[id] {
		f.holds = append(f.holds, Hold{id, engine, since, time.Now()})
	}
	delete(f.held, id)
}

// Engine is a stand-in for an engine.
type Engine struct {
	fleet     *Fleet
	Name      string
	isReader  bool
	ln        net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]bool
	connCount int
}

// StartEngine starts an engine on loopback, a reader or a writer.
func (f *Fleet) StartEngine(name string, isReader bool) (*Engine, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", name, err)
	}
	e := &Engine{fleet: f, Name: name, isReader: isReader, ln: ln, conns: map[net.Conn]bool{}}
	go e.serve()
	return e, nil
}

// Address returns the listening address.
func (e *Engine) Address() string { return e.ln.Addr().String() }

// Close stops the engine and closes all its connections, like a process that dies.
func (e *Engine) Close() {
	e.ln.Close() //nolint:errcheck // best effort
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close() //nolint:errcheck // as above
	}
}

// ConnCount returns how many connections are open.
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
		connNumber := e.connCount
		e.mu.Unlock()
		go func() {
			e.serveConn(conn, connNumber)
			conn.Close() //nolint:errcheck // best effort
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

var limits = http1.Limits{HeadBytes: 16 << 10, Fields: 64, BodyBytes: 256 << 10}

const roomsPath = "/bootstrap/rooms/"

// serveConn answers calls until the connection ends or cannot be reused.
func (e *Engine) serveConn(conn net.Conn, connNumber int) {
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
		c := &Call{Received: time.Now(), Engine: e.Name, Target: h.Target, Body: body, ConnNumber: connNumber, Fields: h.Fields, RemoteAddr: conn.RemoteAddr().String()}
		switch id, isRoomsPath := strings.CutPrefix(h.Target, roomsPath); {
		case isRoomsPath && h.Method == "POST":
			c.Kind, c.ID = Reserve, id
		case isRoomsPath:
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
		reusable := e.answer(conn, c, fault)
		e.fleet.mu.Lock()
		c.Ended = time.Now()
		e.fleet.mu.Unlock()
		if !reusable {
			return
		}
	}
}

// record records a call and its effect on held state, and returns the fault to inject.
func (e *Engine) record(c *Call) Fault {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, c)
	key := string(c.Kind) + " " + c.ID
	nth := f.callCounts[key]
	f.callCounts[key]++
	fault := None
	if f.InjectFault != nil {
		fault = f.InjectFault(c, nth)
	}
	switch c.Kind {
	case Release:
		if !f.Strict || !f.hasWaitingWrite(c.ID) {
			f.endHolds(c.ID)
		}
	case Reserve:
		if fault == None && !f.Strict {
			f.addHold(c.ID, e.Name)
		}
	case Write:
		if fault != Unavailable && fault != Gone && !f.Strict {
			f.endHolds(c.ID)
		}
	}
	c.NotRun = fault == Unavailable || fault == Gone
	if fault == Hung || c.isAttempt() && c.Received.Before(f.hungUntil[e.Name]) {
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

// EventText returns the nth event of an answer, as the client must receive it.
func EventText(engine, id string, n int) string {
	return fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"%s %s %d"},"finish_reason":null}]}`+"\n\n", engine, id, n)
}

// FinalEvents are the events that end an answer: finish reason, usage and the end mark.
const FinalEvents = `data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}` + "\n\n" +
	`data: {"choices":[],"usage":{"prompt_tokens":512,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":64}}}` + "\n\n" +
	"data: [DONE]\n\n"

// answer answers a call, and reports whether the connection can be reused.
func (e *Engine) answer(conn net.Conn, c *Call, fault Fault) bool {
	waitClosed := func() bool { // until the other side closes the connection
		conn.SetReadDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // best effort
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
		waitClosed()
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
		waitClosed()
		return false
	case EndlessHead:
		writeTo(conn, "HTTP/1.1 200 OK\r\n")
		for writeTo(conn, "X-More: %s\r\n", bytes.Repeat([]byte("m"), 512)) {
		}
		return false
	case InterimAnswers:
		writeTo(conn, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
	}
	load := loadReport
	if fault == BadReport {
		load = `{"util":nonsense`
	}
	switch c.Kind {
	case Read:
		e.fleet.mu.Lock()
		e.fleet.addHold(c.ID, e.Name)
		e.fleet.prefilled[c.ID] = true
		e.fleet.mu.Unlock()
		reusable := writeTo(conn, "HTTP/1.1 202 Accepted\r\nX-Load: %s\r\nContent-Length: 21\r\n\r\n{\"cached_tokens\":128}", load)
		if fault == SecondAnswer {
			writeTo(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
		return reusable
	case Reserve:
		return writeTo(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	case Release:
		return writeTo(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	case Probe:
		return writeTo(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(load), load)
	}
	return e.stream(conn, c, fault, load, waitClosed)
}

func (e *Engine) stream(conn net.Conn, c *Call, fault Fault, load string, waitClosed func() bool) bool {
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
		waitClosed()
		return false
	case CloseAfterFirstEvent:
		return false
	case Stall:
		waitClosed()
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
		waitClosed()
		return false
	case MissingFinalEvents:
		writeTo(conn, "0\r\n\r\n")
		return true
	}
	reusable := writeTo(conn, "%s%s0\r\n\r\n", chunk(FinalEvents), chunk(": X-Load: "+load+"\n\n"))
	if fault == SecondAnswer {
		writeTo(conn, "%s%s0\r\n\r\n", streamHead, chunk(EventText("nobody", c.ID, 9)))
	}
	return reusable
}
