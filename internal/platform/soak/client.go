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

// The classes of requests.
const (
	classChat       = "chat" // may be repeated
	classSingleShot = "once" // must not
)

// client sends one request after another on connections that it keeps as long as they stay open.
type client struct {
	run    *scenarioRun
	router int
	name   string
	random *rand.Rand
	conn   net.Conn
	in     *bufio.Reader
}

const (
	longPromptTokens  = 3000 // tokens: is read first
	shortPromptTokens = 30   // is read where it is written
	maxThinkTime      = 60 * time.Millisecond
	connectTimeout    = 300 * time.Millisecond
	answerGrace       = 2 * time.Second // past its deadline a client waits so long for an answer
	meanSlowPieces    = 5               // of a slow client's request, in the mean
	maxSlowPause      = 80 * time.Millisecond
)

// run sends requests until the play's clients stop.
func (c *client) loop() {
	defer c.disconnect()
	for n := 0; !c.run.clientsStopped(c.router); n++ {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
		if c.conn == nil && !c.connect() {
			time.Sleep(maxThinkTime)
			continue
		}
		for _, one := range c.sendNext(n) {
			if !one.Sent.IsZero() {
				c.run.addRequest(one)
			}
		}
	}
}

// turn makes a client's next request, or several at once, and gives what came of them.
func (c *client) sendNext(n int) []*ClientRequest {
	one, tokens := c.newRequest(n, 0)
	switch s := c.run.scenario; {
	case s.Has(ClientsReset) && c.random.IntN(misbehaveOneIn) == 0:
		c.resetConnection(one, tokens)
	case s.Has(ClientsStall) && c.random.IntN(stallOneIn) == 0:
		c.stall(one, tokens)
	case s.Has(ClientsPipeline) && c.random.IntN(misbehaveOneIn) == 0:
		return c.pipeline(n)
	default:
		leaves := time.Duration(0)
		if s.Has(ClientsLeave) && c.random.IntN(misbehaveOneIn) == 0 {
			leaves = c.leaveDelay()
		}
		c.send(one, tokens, leaves)
		c.sendAgain(one, tokens)
	}
	return []*ClientRequest{one}
}

// draw draws a request, the part'th of a turn.
func (c *client) newRequest(n, part int) (one *ClientRequest, tokens int) {
	one = &ClientRequest{ID: fmt.Sprintf("%s-%d-%d", c.name, n, part), Router: c.router, Class: classChat, Timeout: c.run.scenario.ClientTimeout}
	if c.random.IntN(5) == 0 {
		one.Class = classSingleShot
	}
	if c.random.IntN(4) == 0 {
		one.Timeout /= 2
	}
	tokens = longPromptTokens
	if c.random.IntN(4) == 0 {
		tokens = shortPromptTokens
	}
	return one, tokens
}

// patience is how long a client waits that leaves.
func (c *client) leaveDelay() time.Duration {
	return time.Duration(1+c.random.IntN(150)) * time.Millisecond
}

// sendAgain makes a request once more, on a new connection, whose connection ended before its answer: the router closed between
// two requests.
func (c *client) sendAgain(one *ClientRequest, tokens int) {
	if one.Answers > 0 || !one.Left.IsZero() || !errors.Is(one.Err, io.EOF) || c.run.clientsStopped(c.router) || !c.connect() {
		return
	}
	one.Resent, one.Err = true, nil
	c.send(one, tokens, 0)
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
		c.conn.Close() //nolint:errcheck // done with it
		c.conn = nil
	}
}

// send makes one request and notes what comes of it.
func (c *client) send(one *ClientRequest, tokens int, leaves time.Duration) {
	c.conn.SetDeadline(time.Now().Add(one.Timeout + answerGrace)) //nolint:errcheck // shows in reading
	if one.Err = c.write(requestText(one, tokens)); one.Err != nil {
		c.disconnect()
		return
	}
	one.Sent = time.Now()
	c.receive(one, leaves, true)
}

// receive waits for the answer to a request that was sent and notes what comes of it. leaves: the client does so after that time, 0
// for not; last: no other request was sent behind it.
func (c *client) receive(one *ClientRequest, leaves time.Duration, last bool) {
	if leaves > 0 {
		c.conn.SetReadDeadline(one.Sent.Add(leaves)) //nolint:errcheck // as above
	}
	if _, one.Err = c.in.Peek(1); one.Err != nil {
		if leaves > 0 && time.Since(one.Sent) >= leaves {
			one.Left = time.Now()
		}
		c.disconnect()
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(answerGrace * 2)) //nolint:errcheck // as above
	one.FirstByte = time.Now()
	resp, err := http.ReadResponse(c.in, nil)
	if one.Err = err; err != nil {
		c.disconnect()
		return
	}
	one.Answers, one.Status = 1, resp.StatusCode
	_, one.Err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close() //nolint:errcheck // read whole
	one.Complete = one.Err == nil
	if last && c.in.Buffered() > 0 {
		one.Answers++ // something after the final answer
	}
	if !one.Complete || resp.Close {
		c.disconnect()
	}
}

// write sends a request, in pieces where clients are slow.
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

// requestText is a request with a prompt of about so many tokens.
func requestText(one *ClientRequest, tokens int) string {
	body := `{"model":"chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"` + strings.Repeat("word", tokens) + `"}]}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\n"+
		"X-Key: k-%s\r\nX-Deadline: %dm\r\nX-Extras: prompt_len=%d,max_out=20\r\nContent-Length: %d\r\n\r\n%s",
		one.ID, one.Class, one.ID, one.Timeout.Milliseconds(), len(body)/4, len(body), body)
}
