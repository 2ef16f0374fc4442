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

// TestBadClients: what can't be read or is not allowed gets an error or a close within 3 s, and no engine hears of it.
func TestBadClients(t *testing.T) {
	s := newSite(t)
	good := prompt(50)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: h\r\nX-Class: chat\r\nX-Tenant: acme\r\nX-Deadline: 4000m\r\n"
	hidden := call("inner", good)
	for name, one := range map[string]struct {
		bytes  string
		status int // 0: a close will do
	}{
		"noise":                  {"\x16\x03\x01\x02\x00\r\n\r\n", 400},
		"a head without end":     {head + strings.Repeat("A: bbbbbbbbbbbbbbbbbbbb\r\n", 2000), 413},
		"a head that stops":      {head, 408},
		"half a body":            {head + "Content-Length: 100\r\n\r\n{", 408},
		"negative length":        {head + "Content-Length: -1\r\n\r\n" + good, 400},
		"huge length":            {head + "Content-Length: 62914560\r\n\r\n" + good, 413},
		"length too short":       {strings.Replace(call("l1", good), fmt.Sprintf("Length: %d", len(good)), "Length: 20", 1), 400},
		"length and chunks":      {head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden), 400},
		"unknown workload":       {call("w1", good, "X-Class: nobody"), 400},
		"unknown tenant":         {call("w2", good, "X-Tenant: nobody"), 400},
		"deadline of letters":    {call("d1", good, "X-Deadline: soonm"), 400},
		"deadline without unit":  {call("d2", good, "X-Deadline: 4000"), 400},
		"negative deadline":      {call("d3", good, "X-Deadline: -5m"), 400},
		"deadline not a number":  {call("d4", good, "X-Deadline: NaNm"), 400},
		"endless deadline":       {call("d5", good, "X-Deadline: 1e99m"), 400},
		"no deadline":            {call("d6", good, "X-Deadline: "), 400},
		"no id":                  {call("", good), 400},
		"an id that is a path":   {call("../x", good), 400},
		"lengths that are wrong": {call("e1", good, "X-Extras: prompt_len=-4"), 400},
		"a key without end":      {call("i1", good, "Idempotency-Key: "+strings.Repeat("k", 256)), 400},
		"two keys":               {call("i2", good, "Idempotency-Key: a\r\nIdempotency-Key: b"), 400},
		"a body that is no JSON": {call("j1", strings.Repeat("x", 60)), 400},
		"no messages":            {call("j2", `{"model":"chat"}`), 400},
		"other call":             {"DELETE /bootstrap/rooms/x HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		"other method":           {"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			status, _, err := s.send(one.bytes)
			require.Less(t, time.Since(began), 3*time.Second)
			require.NoError(t, err)
			require.Equal(t, one.status, status)
		})
	}
	require.Empty(t, s.w.Calls(""), "an engine heard of it")
	status, _, err := s.send(call("fine", good))
	require.NoError(t, err)
	require.Equal(t, 200, status, "the usual clients are served on")
}

// TestOtherClientsID: an id that is open, or was lately, is refused, and the one whose it is is served.
func TestOtherClientsID(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.w.EventInterval = 100 * time.Millisecond
	_, r := s.open(call("mine", prompt(50)))
	require.Eventually(t, func() bool { return len(s.w.Calls(standin.Write)) == 1 }, 2*time.Second, time.Millisecond)
	for range 2 { // while it is open, and after
		status, _, err := s.send(call("mine", prompt(50)))
		require.NoError(t, err)
		require.Equal(t, 409, status)
		status, _, err = answerOf(r)
		if err == nil {
			require.Equal(t, 200, status)
		}
	}
	require.Len(t, s.w.Calls(standin.Write), 1)
}

// TestFlood: connections that say nothing neither keep the usual clients out nor stay longer than their bound.
func TestFlood(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	var conns []net.Conn
	for range 300 { // more than there are descriptors
		c, _ := s.open("")
		conns = append(conns, c)
	}
	status, _, err := s.send(call("usual", prompt(50)))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	until := time.Now().Add(3 * time.Second)
	for _, c := range conns {
		c.SetReadDeadline(until.Add(50 * time.Millisecond)) //nolint:errcheck // a test
		_, err := c.Read(make([]byte, 256))
		var timeout net.Error
		require.False(t, err != nil && asTimeout(err, &timeout), "a silent connection stays")
	}
}

// TestCrowd: while hundreds connect and ask for nothing that is taken, a client's kept connection stays, and one that
// has just connected is heard.
func TestCrowd(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	usual := func(c net.Conn, r *bufio.Reader, id string) {
		_, err := io.WriteString(c, call(id, prompt(50)))
		require.NoError(t, err)
		status, _, err := answerOf(r)
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	kept, keptR := s.open("")
	usual(kept, keptR, "kept-1")
	crowd := func() {
		for range 200 { // twice the places, each answered and kept open
			_, r := s.open(up)
			status, _, err := answerOf(r)
			require.NoError(t, err)
			require.Equal(t, 200, status)
		}
	}
	crowd()
	began := time.Now()
	fresh, freshR := s.open("")
	crowd()
	if time.Since(began) < 200*time.Millisecond { // else it was slow itself
		usual(fresh, freshR, "fresh")
	}
	usual(kept, keptR, "kept-2")
}

func asTimeout(err error, to *net.Error) bool {
	e, is := err.(net.Error)
	*to = e
	return is && e.Timeout()
}

// TestLeaves: a client that closes ends its dispatch, at the engine too, and nothing stays held.
func TestLeaves(t *testing.T) {
	for _, kind := range []standin.Kind{standin.Read, standin.Write} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.w.InjectFault = func(c *standin.Call, _ int) standin.Fault {
				if c.Kind == kind {
					return standin.Silent
				}
				return standin.None
			}
			conn, _ := s.open(call("gone", prompt(2000)))
			require.Eventually(t, func() bool { return len(s.w.Calls(kind)) == 1 }, 2*time.Second, time.Millisecond)
			require.NoError(t, conn.Close())
			s.quiet()
			require.Eventually(t, func() bool { return !s.w.Calls(kind)[0].Ended.IsZero() }, time.Second, time.Millisecond,
				"the engine's connection stays open")
			require.Len(t, s.w.Calls(kind), 1)
		})
	}
}

// TestPipelined: calls that come ahead on one connection are answered in turn, each once.
func TestPipelined(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	conn, r := s.open(call("p1", prompt(20)) + call("p2", prompt(20)) + call("p3", prompt(20)))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // a test
	for n := 1; n <= 3; n++ {
		status, got, err := answerOf(r)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Contains(t, got, fmt.Sprintf("p%d 0", n))
	}
}
