package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/loopback"
)

// echo starts a server that echoes each line, and returns its address and the lines it receives.
func echo(t *testing.T) (address string, lines chan string) {
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	lines = make(chan string, 16)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewScanner(conn)
				for in.Scan() {
					lines <- in.Text()
					io.WriteString(conn, in.Text()+"\n") //nolint:errcheck // a failure shows in the answers
				}
			}()
		}
	}()
	return ln.Addr().String(), lines
}

// roundTrip writes a line and returns the one received in reply: empty if none does within 100 ms, "reset" after an error.
func roundTrip(conn net.Conn, line string) string {
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "reset"
	}
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) //nolint:errcheck // a failure shows in the answers
	buf := make([]byte, 64)
	n, err := conn.Read(buf)
	switch {
	case n > 0:
		return string(buf[:n-1])
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ""
	}
	return "reset"
}

// TestPlans checks that each plan's fault begins at its trigger, that a silent connection shows no error, and that the next connection
// works.
func TestPlans(t *testing.T) {
	for name, tc := range map[string]struct {
		plan   Plan
		first  string // the answers to two lines on the first connection
		second string
	}{
		"none":                  {Plan{}, "one", "two"},
		"silent from the start": {Plan{Silence: AtStart}, "", ""},
		"silent after bytes":    {Plan{Silence: AfterBytes, Bytes: 6}, "one", ""},
		"silent after answer":   {Plan{Silence: AfterAnswer}, "one", ""},
		"second answer lost":    {Plan{Silence: OnAnswer, Answers: 1}, "one", ""},
		"first answer lost":     {Plan{Silence: OnAnswer}, "", ""},
		"reset in the middle":   {Plan{Reset: AfterBytes, Bytes: 2}, "reset", "reset"},
		"reset after an answer": {Plan{Reset: AfterAnswer}, "one", "reset"},
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := echo(t)
			p, err := Start(target, func(n int) Plan {
				if n == 0 {
					return tc.plan
				}
				return Plan{}
			}, nil)
			require.NoError(t, err)
			defer p.Close()
			for n, want := range [][2]string{{tc.first, tc.second}, {"one", "two"}} {
				conn, err := net.Dial("tcp", p.Address())
				require.NoError(t, err, n)
				require.Equal(t, want[0], roundTrip(conn, "one"), n)
				time.Sleep(10 * time.Millisecond)
				require.Equal(t, want[1], roundTrip(conn, "two"), n)
				conn.Close()
			}
		})
	}
}

// TestPauseAndSilence checks that paused traffic is passed on later, that silent connections stay silent, and that new ones work.
func TestPauseAndSilence(t *testing.T) {
	target, lines := echo(t)
	p, err := Start(target, nil, nil)
	require.NoError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "one", roundTrip(conn, "one"))
	<-lines
	p.Pause(ToEngine)
	require.Empty(t, roundTrip(conn, "two"))
	require.Empty(t, lines)
	p.Resume(ToEngine)
	require.Equal(t, "two", <-lines)
	require.Equal(t, "two\nthree", askAfterPending(conn))
	require.Equal(t, 1, p.SilenceOpen())
	require.Empty(t, roundTrip(conn, "four"))
	other, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "five", roundTrip(other, "five"))
	p.SilenceOpenOnSend(len("a long line"))
	require.Equal(t, "short", roundTrip(other, "short"))
	require.Empty(t, roundTrip(other, "a long line"))
	require.Empty(t, roundTrip(other, "short"))
	last, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "another long line", roundTrip(last, "another long line"), "the trigger fires once")
	p.SilenceConnOnSend(len("a long line"))
	third, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Empty(t, roundTrip(third, "a long line"))
	require.Equal(t, "short", roundTrip(last, "short"), "other connections work")
	p.ResetOpen()
	require.Equal(t, "reset", roundTrip(last, "six"))
}

// TestStartDelay checks that a connection passes nothing on during its start delay, and everything afterwards.
func TestStartDelay(t *testing.T) {
	target, lines := echo(t)
	p, err := Start(target, func(int) Plan { return Plan{StartDelay: 150 * time.Millisecond} }, nil)
	require.NoError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Empty(t, roundTrip(conn, "one"))
	require.Empty(t, lines)
	require.Equal(t, "one", <-lines)
}

// TestSendDelay checks that what a router sends is delayed, and that the answers are not.
func TestSendDelay(t *testing.T) {
	const delay = 50 * time.Millisecond
	target, lines := echo(t)
	p, err := Start(target, func(int) Plan { return Plan{SendDelay: delay} }, nil)
	require.NoError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	for _, line := range []string{"one", "two"} {
		sent := time.Now()
		require.Equal(t, line, roundTrip(conn, line))
		require.Equal(t, line, <-lines)
		require.GreaterOrEqual(t, time.Since(sent), delay)
	}
}

// TestVanish checks that nothing passes between Vanish and Restore, and that Restore resets the silent connections.
func TestVanish(t *testing.T) {
	target, lines := echo(t)
	p, err := Start(target, nil, nil)
	require.NoError(t, err)
	defer p.Close()
	before, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "one", roundTrip(before, "one"))
	<-lines
	p.Vanish()
	require.Empty(t, roundTrip(before, "two"))
	meanwhile, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Empty(t, roundTrip(meanwhile, "three"))
	p.Restore()
	require.Equal(t, "reset", roundTrip(before, "four"))
	require.Equal(t, "reset", roundTrip(meanwhile, "five"))
	after, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "six", roundTrip(after, "six"))
	require.Equal(t, "six", <-lines, "no earlier line has arrived")
}

// askAfterPending sends one more line while the answer to an earlier one is still to be read, and returns both answers.
func askAfterPending(conn net.Conn) string {
	time.Sleep(20 * time.Millisecond)
	io.WriteString(conn, "three\n") //nolint:errcheck // a failure shows in the answers
	time.Sleep(50 * time.Millisecond)
	return roundTrip(conn, "")[:len("two\nthree")]
}
