package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// The request classes.
const (
	classChat       = "chat" // idempotent
	classSingleShot = "once" // not idempotent
)

// client sends one request after another, on a connection that it reuses while it stays open.
type client struct {
	run    *scenarioRun
	router int
	name   string
	random *rand.Rand
	conn   net.Conn
	in     *bufio.Reader
}

const (
	longPromptTokens  = 3000 // is prefilled by a reader before it is written
	shortPromptTokens = 30   // is prefilled by its writer
	maxThinkTime      = 60 * time.Millisecond
	connectTimeout    = 300 * time.Millisecond
	answerGrace       = 2 * time.Second // how long a client waits for an answer past its timeout
	meanSlowPieces    = 5               // mean number of pieces of a slow client's request
	maxSlowPause      = 80 * time.Millisecond
)

// loop sends requests until the clients of its router are stopped.
func (c *client) loop() {
	defer c.disconnect()
	for turn := 0; !c.run.clientsStopped(c.router); turn++ {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
		if c.conn == nil && !c.connect() {
			time.Sleep(maxThinkTime)
			continue
		}
		for _, req := range c.sendNext(turn) {
			if !req.Sent.IsZero() {
				c.run.addRequest(req)
			}
		}
	}
}

// sendNext sends the next request, or several at once, and returns their records.
func (c *client) sendNext(turn int) []*ClientRequest {
	req, tokens := c.newRequest(turn, 0)
	switch s := c.run.scenario; {
	case s.Has(ClientsReset) && c.random.IntN(misbehaveOneIn) == 0:
		c.resetConnection(req, tokens)
	case s.Has(ClientsStall) && c.random.IntN(stallOneIn) == 0:
		c.stall(req, tokens)
	case s.Has(ClientsPipeline) && c.random.IntN(misbehaveOneIn) == 0:
		return c.pipeline(turn)
	default:
		leaveAfter := time.Duration(0)
		if s.Has(ClientsLeave) && c.random.IntN(misbehaveOneIn) == 0 {
			leaveAfter = c.leaveDelay()
		}
		c.send(req, tokens, leaveAfter)
		c.sendAgain(req, tokens)
	}
	return []*ClientRequest{req}
}

// newRequest draws a request. turn counts the client's turns, part the requests of one turn.
func (c *client) newRequest(turn, part int) (req *ClientRequest, tokens int) {
	req = &ClientRequest{ID: fmt.Sprintf("%s-%d-%d", c.name, turn, part), Router: c.router, Class: classChat, Timeout: c.run.scenario.ClientTimeout}
	if c.random.IntN(5) == 0 {
		req.Class = classSingleShot
	}
	if c.random.IntN(4) == 0 {
		req.Timeout /= 2
	}
	tokens = longPromptTokens
	if c.random.IntN(4) == 0 {
		tokens = shortPromptTokens
	}
	return req, tokens
}

// leaveDelay returns how long a client that leaves waits before it does.
func (c *client) leaveDelay() time.Duration {
	return time.Duration(1+c.random.IntN(150)) * time.Millisecond
}

// sendAgain sends a request once more on a new connection if its connection ended before an answer: the router may have closed it between
// two requests.
func (c *client) sendAgain(req *ClientRequest, tokens int) {
	if req.Answers > 0 || !req.Left.IsZero() || !errors.Is(req.Err, io.EOF) || c.run.clientsStopped(c.router) || !c.connect() {
		return
	}
	req.Resent, req.Err = true, nil
	c.send(req, tokens, 0)
}

func (c *client) connect() bool {
	conn, err := net.DialTimeout("tcp", c.run.routers[c.router].listen, connectTimeout)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close() //nolint:errcheck // the connection is no longer used
		c.conn = nil
	}
}

// send sends a request and records its outcome.
func (c *client) send(req *ClientRequest, tokens int, leaveAfter time.Duration) {
	c.conn.SetDeadline(time.Now().Add(req.Timeout + answerGrace)) //nolint:errcheck // reads fail then
	if req.Err = c.write(requestText(req, tokens)); req.Err != nil {
		c.disconnect()
		return
	}
	req.Sent = time.Now()
	c.receive(req, leaveAfter, true)
}

// receive waits for the answer to a request that was sent and records its outcome. If leaveAfter is not 0, the client closes the connection
// after that time. last says that no other request was sent after this one.
func (c *client) receive(req *ClientRequest, leaveAfter time.Duration, last bool) {
	if leaveAfter > 0 {
		c.conn.SetReadDeadline(req.Sent.Add(leaveAfter)) //nolint:errcheck // reads fail then
	}
	if _, req.Err = c.in.Peek(1); req.Err != nil {
		if leaveAfter > 0 && time.Since(req.Sent) >= leaveAfter {
			req.Left = time.Now()
		}
		c.disconnect()
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(answerGrace * 2)) //nolint:errcheck // reads fail then
	req.FirstByte = time.Now()
	resp, err := http.ReadResponse(c.in, nil)
	if req.Err = err; err != nil {
		c.disconnect()
		return
	}
	req.Answers, req.Status = 1, resp.StatusCode
	_, req.Err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close() //nolint:errcheck // the body has been read
	req.Complete = req.Err == nil
	if last && c.in.Buffered() > 0 {
		req.Answers++ // more bytes follow the final answer
	}
	if !req.Complete || resp.Close {
		c.disconnect()
	}
}

// write sends the text of a request, in several pieces if clients are slow.
func (c *client) write(text string) error {
	for c.run.scenario.Has(SlowClients) && len(text) > 1 && c.random.IntN(meanSlowPieces) > 0 {
		n := 1 + c.random.IntN(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(time.Duration(c.random.Int64N(int64(maxSlowPause))))
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// requestText returns an HTTP request with a prompt of about this many tokens.
func requestText(req *ClientRequest, tokens int) string {
	body := `{"model":"chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"` + strings.Repeat("word", tokens) + `"}]}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\n"+
		"X-Key: k-%s\r\nX-Deadline: %dm\r\nX-Extras: prompt_len=%d,max_out=20\r\nContent-Length: %d\r\n\r\n%s",
		req.ID, req.Class, req.ID, req.Timeout.Milliseconds(), len(body)/4, len(body), body)
}
