package soak

import (
	"io"
	"net"
	"strings"
	"time"
)

const (
	misbehaveOneIn = 3 // one in so many requests of a class of such clients
	stallOneIn     = 8 // fewer, as each holds its client up for seconds
	maxPipelined   = 4 // requests that are sent at once
	stallTimeout   = 3 * time.Second
)

// reset has a client reset its connection: a new one that says nothing, one with a part of a request, or one with a whole request
// whose answer it does not await. A part is no request: it is not noted as sent.
func (c *client) resetConnection(one *ClientRequest, tokens int) {
	switch c.random.IntN(3) {
	case 0:
		c.disconnect()
		if !c.connect() {
			return
		}
	case 1:
		text := requestText(one, tokens)
		one.Err = c.write(text[:c.random.IntN(len(text))])
	default:
		if one.Err = c.write(requestText(one, tokens)); one.Err == nil {
			one.Sent = time.Now()
			time.Sleep(c.leaveDelay())
			one.Left = time.Now()
		}
	}
	if plain, isTCP := c.conn.(*net.TCPConn); isTCP {
		plain.SetLinger(0) //nolint:errcheck // it is closed without a reset then
	}
	c.disconnect()
}

// stall has a client stop in the middle of a request, and notes how long it waited for an error or the connection's end.
func (c *client) stall(one *ClientRequest, tokens int) {
	text := requestText(one, tokens)
	if one.Err = c.write(text[:1+c.random.IntN(len(text)-1)]); one.Err != nil {
		c.disconnect()
		return
	}
	one.Sent = time.Now()
	c.conn.SetReadDeadline(one.Sent.Add(stallTimeout + answerGrace)) //nolint:errcheck // shows in reading
	c.in.Peek(1)                                                     //nolint:errcheck // either is an end of the wait
	one.Left = time.Now()
	one.StallWait = one.Left.Sub(one.Sent)
	c.disconnect()
}

// pipeline has a client send several requests at once, and read their answers one after another. Those that a closed connection left
// without an answer it sends again.
func (c *client) pipeline(n int) (all []*ClientRequest) {
	var text strings.Builder
	var sizes []int
	for part := range 2 + c.random.IntN(maxPipelined-1) {
		one, tokens := c.newRequest(n, part)
		all, sizes = append(all, one), append(sizes, tokens)
		text.WriteString(requestText(one, tokens))
	}
	c.conn.SetDeadline(time.Now().Add(c.run.scenario.ClientTimeout + answerGrace)) //nolint:errcheck // shows in reading
	if err := c.write(text.String()); err != nil {
		c.disconnect()
		return nil
	}
	for i, one := range all {
		one.Sent = time.Now() // its turn comes with the end of the one before
		goes := c.conn != nil
		if goes {
			c.conn.SetDeadline(one.Sent.Add(one.Timeout + answerGrace)) //nolint:errcheck // shows in reading
			c.receive(one, 0, i == len(all)-1)
		} else {
			one.Err = io.EOF
		}
		c.sendAgain(one, sizes[i])
		if !goes && !one.Resent {
			one.Sent = time.Time{} // no router has it
		}
	}
	return all
}
