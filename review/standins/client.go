package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of an ordinary client, and what came of it.
type request struct {
	id, class string
	tokens    int
	deadline  time.Duration

	sent      time.Time
	firstByte time.Time
	ended     time.Time
	status    int
	body      string
	err       error // the connection ended before the end of the answer, or the client stopped waiting
}

// text is the request as it is sent, in the form of the protocol page.
func (q *request) text() string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("word", q.tokens))
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: sales-desk\r\nX-Key: k%s\r\n"+
		"X-Deadline: %dm\r\nX-Extras: prompt_len=%d,max_out=100\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		q.id, q.class, q.id, q.deadline.Milliseconds(), q.tokens, len(body), body)
}

// client is an ordinary client: it sends one request at a time on a connection that it keeps.
type client struct {
	run     *run
	address string
	conn    net.Conn
	in      *bufio.Reader
}

// do sends a request and reads its answer. It waits until patience after the request's deadline, and for each later byte as long.
func (c *client) do(q *request, patience time.Duration) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			q.err = err
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(q.deadline + patience)) //nolint:errcheck // reads fail then
	if _, q.err = io.WriteString(c.conn, q.text()); q.err != nil {
		c.close()
		return
	}
	q.sent = time.Now()
	if _, q.err = c.in.Peek(1); q.err == nil {
		q.firstByte = time.Now()
		var resp *http.Response
		if resp, q.err = http.ReadResponse(c.in, nil); q.err == nil {
			q.status = resp.StatusCode
			c.conn.SetDeadline(time.Now().Add(patience)) //nolint:errcheck // reads fail then
			var body []byte
			body, q.err = io.ReadAll(resp.Body)
			q.body = string(body)
			if resp.Close {
				defer c.close()
			}
		}
	}
	q.ended = time.Now()
	if q.err != nil {
		c.close()
	}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
