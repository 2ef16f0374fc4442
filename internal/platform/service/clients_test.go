package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/platform/standin"
)

// TestBadClients: malformed and invalid requests get an error or a close within 3 s, and never reach an engine.
func TestBadClients(t *testing.T) {
	s := newCluster(t)
	body := promptBody(50)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: h\r\nX-Class: chat\r\nX-Tenant: acme\r\nX-Deadline: 4000m\r\n"
	innerRequest := chatRequest("inner", body)
	for name, tc := range map[string]struct {
		bytes  string
		status int // 0: a close is enough
	}{
		"noise":                  {"\x16\x03\x01\x02\x00\r\n\r\n", 400},
		"a head without end":     {head + strings.Repeat("A: bbbbbbbbbbbbbbbbbbbb\r\n", 2000), 413},
		"a head that stops":      {head, 408},
		"half a body":            {head + "Content-Length: 100\r\n\r\n{", 408},
		"negative length":        {head + "Content-Length: -1\r\n\r\n" + body, 400},
		"huge length":            {head + "Content-Length: 62914560\r\n\r\n" + body, 413},
		"length too short":       {strings.Replace(chatRequest("l1", body), fmt.Sprintf("Length: %d", len(body)), "Length: 20", 1), 400},
		"length and chunks":      {head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(innerRequest)+5, innerRequest), 400},
		"unknown workload":       {chatRequest("w1", body, "X-Class: nobody"), 400},
		"unknown tenant":         {chatRequest("w2", body, "X-Tenant: nobody"), 400},
		"deadline of letters":    {chatRequest("d1", body, "X-Deadline: soonm"), 400},
		"deadline without unit":  {chatRequest("d2", body, "X-Deadline: 4000"), 400},
		"negative deadline":      {chatRequest("d3", body, "X-Deadline: -5m"), 400},
		"deadline not a number":  {chatRequest("d4", body, "X-Deadline: NaNm"), 400},
		"endless deadline":       {chatRequest("d5", body, "X-Deadline: 1e99m"), 400},
		"no deadline":            {chatRequest("d6", body, "X-Deadline: "), 400},
		"no id":                  {chatRequest("", body), 400},
		"an id that is a path":   {chatRequest("../x", body), 400},
		"lengths that are wrong": {chatRequest("e1", body, "X-Extras: prompt_len=-4"), 400},
		"a key without end":      {chatRequest("i1", body, "Idempotency-Key: "+strings.Repeat("k", 256)), 400},
		"two keys":               {chatRequest("i2", body, "Idempotency-Key: a\r\nIdempotency-Key: b"), 400},
		"a body that is no JSON": {chatRequest("j1", strings.Repeat("x", 60)), 400},
		"a body nested too deep": {chatRequest("j3", `{"messages":`+nestedArrays(65)+`}`), 400}, // each level costs the parser stack
		"no messages":            {chatRequest("j2", `{"model":"chat"}`), 400},
		"other call":             {"DELETE /bootstrap/rooms/x HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		"other method":           {"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			status, _, err := s.send(tc.bytes)
			require.Less(t, time.Since(start), 3*time.Second)
			require.NoError(t, err)
			require.Equal(t, tc.status, status)
		})
	}
	require.Empty(t, s.fleet.Calls(""), "a request reached an engine")
	status, _, err := s.send(chatRequest("fine", body))
	require.NoError(t, err)
	require.Equal(t, 200, status, "valid requests are still served")
}

// TestRepeatedRequestID: a request with the id of an open or recent request is refused, and the original one is served.
func TestRepeatedRequestID(t *testing.T) {
	t.Parallel()
	s := newCluster(t)
	s.fleet.EventInterval = 100 * time.Millisecond
	_, r := s.dial(chatRequest("mine", promptBody(50)))
	require.Eventually(t, func() bool { return len(s.fleet.Calls(standin.Write)) == 1 }, 2*time.Second, time.Millisecond)
	for range 2 { // while it is open, and after
		status, _, err := s.send(chatRequest("mine", promptBody(50)))
		require.NoError(t, err)
		require.Equal(t, 409, status)
		status, _, err = readResponse(r)
		if err == nil {
			require.Equal(t, 200, status)
		}
	}
	require.Len(t, s.fleet.Calls(standin.Write), 1)
}

// TestSilentConnectionFlood: connections without a request neither keep regular clients out nor stay open longer than
// their time limit.
func TestSilentConnectionFlood(t *testing.T) {
	t.Parallel()
	s := newCluster(t)
	var conns []net.Conn
	for range 300 { // more than the available descriptors
		c, _ := s.dial("")
		conns = append(conns, c)
	}
	status, _, err := s.send(chatRequest("usual", promptBody(50)))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	until := time.Now().Add(3 * time.Second)
	for _, c := range conns {
		c.SetReadDeadline(until.Add(50 * time.Millisecond)) //nolint:errcheck // a test
		_, err := c.Read(make([]byte, 256))
		var timeout net.Error
		require.False(t, err != nil && isTimeoutError(err, &timeout), "a silent connection stays open")
	}
}

// TestUselessRequestFlood: while hundreds of connections send requests but no accepted completion, a regular client's idle
// connection stays open and a new client is served.
func TestUselessRequestFlood(t *testing.T) {
	t.Parallel()
	s := newCluster(t)
	complete := func(c net.Conn, r *bufio.Reader, id string) {
		_, err := io.WriteString(c, chatRequest(id, promptBody(50)))
		require.NoError(t, err)
		status, _, err := readResponse(r)
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	idleConn, idleReader := s.dial("")
	complete(idleConn, idleReader, "idle-1")
	flood := func() {
		for range 200 { // twice the limit, each answered and kept open
			_, r := s.dial(upRequest)
			status, _, err := readResponse(r)
			require.NoError(t, err)
			require.Equal(t, 200, status)
		}
	}
	flood()
	start := time.Now()
	newConn, newReader := s.dial("")
	flood()
	if time.Since(start) < 200*time.Millisecond { // otherwise the test itself was too slow
		complete(newConn, newReader, "new")
	}
	complete(idleConn, idleReader, "idle-2")
}

func isTimeoutError(err error, to *net.Error) bool {
	e, ok := err.(net.Error)
	*to = e
	return ok && e.Timeout()
}

// TestClientDisconnects: when a client disconnects, its dispatch is cancelled, also at the engine, and no state stays held.
func TestClientDisconnects(t *testing.T) {
	for _, kind := range []standin.Kind{standin.Read, standin.Write} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			s := newCluster(t)
			s.fleet.InjectFault = func(c *standin.Call, _ int) standin.Fault {
				if c.Kind == kind {
					return standin.Silent
				}
				return standin.None
			}
			conn, _ := s.dial(chatRequest("gone", promptBody(2000)))
			require.Eventually(t, func() bool { return len(s.fleet.Calls(kind)) == 1 }, 2*time.Second, time.Millisecond)
			require.NoError(t, conn.Close())
			s.awaitIdle()
			require.Eventually(t, func() bool { return !s.fleet.Calls(kind)[0].Ended.IsZero() }, time.Second, time.Millisecond,
				"the engine connection stays open")
			require.Len(t, s.fleet.Calls(kind), 1)
		})
	}
}

// TestPipelinedRequests: pipelined requests on one connection are answered in order, once each.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	s := newCluster(t)
	conn, r := s.dial(chatRequest("p1", promptBody(20)) + chatRequest("p2", promptBody(20)) + chatRequest("p3", promptBody(20)))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // a test
	for n := 1; n <= 3; n++ {
		status, got, err := readResponse(r)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Contains(t, got, fmt.Sprintf("p%d 0", n))
	}
}
