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

// echo answers each line with itself and tells what lines came.
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
					io.WriteString(conn, in.Text()+"\n") //nolint:errcheck // a test
				}
			}()
		}
	}()
	return ln.Addr().String(), lines
}

// ask writes a line and reads one back; empty: nothing came, "reset": an error.
func ask(conn net.Conn, line string) string {
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "reset"
	}
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) //nolint:errcheck // a test
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

// TestPlans: each plan spoils its connection when it says, without an error where it swallows, and the next is whole.
func TestPlans(t *testing.T) {
	for name, one := range map[string]struct {
		plan   Plan
		first  string // what two lines on the spoilt connection come to
		second string
	}{
		"none":                  {Plan{}, "one", "two"},
		"silent at once":        {Plan{Silence: AtStart}, "", ""},
		"silent after bytes":    {Plan{Silence: AfterBytes, Bytes: 6}, "one", ""},
		"silent after answer":   {Plan{Silence: AfterAnswer}, "one", ""},
		"an answer lost":        {Plan{Silence: OnAnswer, Answers: 1}, "one", ""},
		"the first answer lost": {Plan{Silence: OnAnswer}, "", ""},
		"reset in the middle":   {Plan{Reset: AfterBytes, Bytes: 2}, "reset", "reset"},
		"reset after an answer": {Plan{Reset: AfterAnswer}, "one", "reset"},
	} {
		t.Run(name, func(t *testing.T) {
			to, _ := echo(t)
			p, err := Start(to, func(n int) Plan {
				if n == 0 {
					return one.plan
				}
				return Plan{}
			}, nil)
			require.NoError(t, err)
			defer p.Close()
			for n, want := range [][2]string{{one.first, one.second}, {"one", "two"}} {
				conn, err := net.Dial("tcp", p.Address())
				require.NoError(t, err, n)
				require.Equal(t, want[0], ask(conn, "one"), n)
				time.Sleep(10 * time.Millisecond)
				require.Equal(t, want[1], ask(conn, "two"), n)
				conn.Close()
			}
		})
	}
}

// TestGates: what is held passes later; silenced connections stay so; new ones work.
func TestGates(t *testing.T) {
	to, lines := echo(t)
	p, err := Start(to, nil, nil)
	require.NoError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "one", ask(conn, "one"))
	<-lines
	p.Pause(ToEngine)
	require.Empty(t, ask(conn, "two"))
	require.Empty(t, lines)
	p.Resume(ToEngine)
	require.Equal(t, "two", <-lines)
	require.Equal(t, "two\nthree", ask2(conn))
	require.Equal(t, 1, p.SilenceOpen())
	require.Empty(t, ask(conn, "four"))
	other, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "five", ask(other, "five"))
	p.SilenceOpenOnSend(len("a long line"))
	require.Equal(t, "short", ask(other, "short"))
	require.Empty(t, ask(other, "a long line"))
	require.Empty(t, ask(other, "short"))
	last, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "another long line", ask(last, "another long line"), "it comes once")
	p.SilenceConnOnSend(len("a long line"))
	beside, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Empty(t, ask(beside, "a long line"))
	require.Equal(t, "short", ask(last, "short"), "the others work")
	p.ResetOpen()
	require.Equal(t, "reset", ask(last, "six"))
}

// TestLate: a connection that comes up late passes nothing until then, and all after it.
func TestLate(t *testing.T) {
	to, lines := echo(t)
	p, err := Start(to, func(int) Plan { return Plan{StartDelay: 150 * time.Millisecond} }, nil)
	require.NoError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Empty(t, ask(conn, "one"))
	require.Empty(t, lines)
	require.Equal(t, "one", <-lines)
}

// TestBehind: what a router sends passes so much later, and the answer at once.
func TestBehind(t *testing.T) {
	const behind = 50 * time.Millisecond
	to, lines := echo(t)
	p, err := Start(to, func(int) Plan { return Plan{SendDelay: behind} }, nil)
	require.NoError(t, err)
	defer p.Close()
	conn, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	for _, line := range []string{"one", "two"} {
		sent := time.Now()
		require.Equal(t, line, ask(conn, line))
		require.Equal(t, line, <-lines)
		require.GreaterOrEqual(t, time.Since(sent), behind)
	}
}

// TestVanish: nothing passes while an engine's machine is gone; at its return the silent connections are reset.
func TestVanish(t *testing.T) {
	to, lines := echo(t)
	p, err := Start(to, nil, nil)
	require.NoError(t, err)
	defer p.Close()
	before, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "one", ask(before, "one"))
	<-lines
	p.Vanish()
	require.Empty(t, ask(before, "two"))
	meanwhile, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Empty(t, ask(meanwhile, "three"))
	p.Restore()
	require.Equal(t, "reset", ask(before, "four"))
	require.Equal(t, "reset", ask(meanwhile, "five"))
	after, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	require.Equal(t, "six", ask(after, "six"))
	require.Equal(t, "six", <-lines, "nothing of before has come")
}

// ask2 asks once more, with the answer of before still on its way.
func ask2(conn net.Conn) string {
	time.Sleep(20 * time.Millisecond)
	io.WriteString(conn, "three\n") //nolint:errcheck // a test
	time.Sleep(50 * time.Millisecond)
	return ask(conn, "")[:len("two\nthree")]
}
