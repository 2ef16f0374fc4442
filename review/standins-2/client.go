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

// request is a request of a client and what came of it.
type request struct {
	id, class string
	tokens    int // of the prompt
	deadline  time.Duration

	sent      time.Time // when its last byte was written
	firstByte time.Time // of the answer; zero for none
	ended     time.Time
	status    int
	body      string
	err       error
}

// text returns the request's bytes.
func (q *request) text() string {
	body := `{"model":"chat","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"` + strings.Repeat("word", q.tokens) + `"}]}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\nX-Key: k%s\r\nX-Deadline: %dm\r\n"+
		"X-Extras: prompt_len=%d,max_out=24\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		q.id, q.class, q.id, q.deadline.Milliseconds(), q.tokens, len(body), body)
}

// client sends requests to a router on a connection that it keeps.
type client struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
}

// answerPatience is how long clients wait past a request's deadline, to see whether an answer comes late.
const answerPatience = 8 * time.Second

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
	if err == nil {
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	return err
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads its answer.
func (c *client) do(q *request) {
	if q.err = c.connect(); q.err != nil {
		return
	}
	if _, q.err = io.WriteString(c.conn, q.text()); q.err != nil {
		c.close()
		return
	}
	q.sent = time.Now()
	c.receive(q)
}

// receive reads the answer to a request that was sent.
func (c *client) receive(q *request) {
	defer func() { q.ended = time.Now() }()
	c.conn.SetReadDeadline(q.sent.Add(q.deadline + answerPatience)) //nolint:errcheck // reads fail then
	if _, q.err = c.r.Peek(1); q.err != nil {
		c.close()
		return
	}
	q.firstByte = time.Now()
	resp, err := http.ReadResponse(c.r, nil)
	if q.err = err; err != nil {
		c.close()
		return
	}
	q.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	q.body, q.err = string(body), err
	if err != nil || resp.Close {
		c.close()
	}
}
