package soak

import (
	"io"
	"net"
	"strings"
	"time"
)

const (
	misbehaveOneIn = 3 // one in this many requests of clients that misbehave
	stallOneIn     = 8 // rarer, as a stall blocks its client for seconds
	maxPipelined   = 4 // requests that are sent at once
	stallTimeout   = 3 * time.Second
)

// resetConnection resets the client's connection: before it has sent anything, after a part of a request, or after a complete request and
// before its answer. A part of a request is not recorded as sent.
func (c *client) resetConnection(req *ClientRequest, tokens int) {
	switch c.random.IntN(3) {
	case 0:
		c.disconnect()
		if !c.connect() {
			return
		}
	case 1:
		text := requestText(req, tokens)
		req.Err = c.write(text[:c.random.IntN(len(text))])
	default:
		if req.Err = c.write(requestText(req, tokens)); req.Err == nil {
			req.Sent = time.Now()
			time.Sleep(c.leaveDelay())
			req.Left = time.Now()
		}
	}
	if tcp, isTCP := c.conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0) //nolint:errcheck // the connection is closed without a reset then
	}
	c.disconnect()
}

// stall stops in the middle of a request, and records how long the client waited for an error response or the connection's end.
func (c *client) stall(req *ClientRequest, tokens int) {
	text := requestText(req, tokens)
	if req.Err = c.write(text[:1+c.random.IntN(len(text)-1)]); req.Err != nil {
		c.disconnect()
		return
	}
	req.Sent = time.Now()
	c.conn.SetReadDeadline(req.Sent.Add(stallTimeout + answerGrace)) //nolint:errcheck // reads fail then
	c.in.Peek(1)                                                     //nolint:errcheck // both a byte and an error end the wait
	req.Left = time.Now()
	req.StallWait = req.Left.Sub(req.Sent)
	c.disconnect()
}

// pipeline sends several requests at once and reads their answers one after another. Requests that a closed connection left without an
// answer are sent again.
func (c *client) pipeline(turn int) (reqs []*ClientRequest) {
	var text strings.Builder
	var tokenCounts []int
	for part := range 2 + c.random.IntN(maxPipelined-1) {
		req, tokens := c.newRequest(turn, part)
		reqs, tokenCounts = append(reqs, req), append(tokenCounts, tokens)
		text.WriteString(requestText(req, tokens))
	}
	c.conn.SetDeadline(time.Now().Add(c.run.scenario.ClientTimeout + answerGrace)) //nolint:errcheck // reads fail then
	if err := c.write(text.String()); err != nil {
		c.disconnect()
		return nil
	}
	for i, req := range reqs {
		req.Sent = time.Now() // the router takes it once the request before has ended
		open := c.conn != nil
		if open {
			c.conn.SetDeadline(req.Sent.Add(req.Timeout + answerGrace)) //nolint:errcheck // reads fail then
			c.receive(req, 0, i == len(reqs)-1)
		} else {
			req.Err = io.EOF
		}
		c.sendAgain(req, tokenCounts[i])
		if !open && !req.Resent {
			req.Sent = time.Time{} // it reached no router
		}
	}
	return reqs
}
