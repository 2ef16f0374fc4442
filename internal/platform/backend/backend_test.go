package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/standin"
)

func newClient(t *testing.T, engines ...EngineEntry) *Client {
	c := New(Options{ReportColumns: []string{"queue", "util"}, ProbesAllowed: true, ConnectTimeout: 250 * time.Millisecond, EngineIdleTimeout: 10 * time.Second, MaxConns: 16})
	t.Cleanup(c.Close)
	c.UpdateEngines(true, engines, nil)
	return c
}

func read(c *Client, name string) *engine.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Read(ctx, &engine.Call{Address: name, ID: "x", Target: "/v1/chat/completions", Body: []byte("{}"),
		Deadline: time.Now().Add(time.Second)})
}

// A connection is reused unless the engine has closed it, and no call is sent twice.
func TestConnectionReuse(t *testing.T) {
	fleet := standin.NewFleet()
	e, err := fleet.StartEngine("e", true)
	require.NoError(t, err)
	c := newClient(t, EngineEntry{Name: "e", Address: e.Address()})
	for range 3 {
		r := read(c, "e")
		require.Equal(t, decide.Read, r.Outcome)
		require.Equal(t, []float64{1, 0.5}, r.Report)
		require.Equal(t, 128.0, r.CachedTokens)
	}
	for _, call := range fleet.Calls(standin.Read) {
		require.Equal(t, 1, call.ConnNumber)
	}
	e.Close()
	require.Eventually(t, func() bool { return e.ConnCount() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, decide.Unreachable, read(c, "e").Outcome, "a call that reached no engine must not count as run")
	require.Len(t, fleet.Calls(standin.Read), 3)
}

// A call whose connection was never established did not run. A call to an engine that is not listed is not sent.
func TestUnreachable(t *testing.T) {
	ln, err := loopback.Listen("127.0.0.1")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	c := newClient(t, EngineEntry{Name: "refuses", Address: address})
	require.Equal(t, decide.Unreachable, read(c, "refuses").Outcome)
	require.Equal(t, decide.NotSent, read(c, "nobody").Outcome)
}

// A call whose connection breaks while it is written did not run.
func TestBrokenWrite(t *testing.T) {
	clientSide, engineSide := net.Pipe()
	go func() {
		engineSide.Read(make([]byte, 64)) //nolint:errcheck // a part of the request
		engineSide.Close()                //nolint:errcheck // breaks the connection
	}()
	c := New(Options{ConnectTimeout: time.Second, EngineIdleTimeout: time.Second, MaxConns: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) { return clientSide, nil }})
	t.Cleanup(c.Close)
	c.UpdateEngines(true, []EngineEntry{{Name: "e", Address: "any"}}, nil)
	require.Equal(t, decide.Unreachable, read(c, "e").Outcome)
}

// Any engine accepts a release for all of them, so that an engine that is gone or silent does not keep state held.
func TestReleaseAtOtherEngine(t *testing.T) {
	fleet := standin.NewFleet()
	var all []EngineEntry
	for _, name := range [...]string{"silent", "well"} {
		e, err := fleet.StartEngine(name, true)
		require.NoError(t, err)
		t.Cleanup(e.Close)
		all = append(all, EngineEntry{Name: name, Address: e.Address()})
	}
	fleet.InjectFault = func(c *standin.Call, _ int) standin.Fault {
		if c.Engine == "silent" && c.Kind == standin.Release {
			return standin.Silent
		}
		return standin.None
	}
	c := newClient(t, all...)
	require.Equal(t, decide.Read, read(c, "silent").Outcome)
	require.Equal(t, 1, fleet.HeldCount())
	began := time.Now()
	require.NoError(t, c.Release(context.Background(), "silent", "x"))
	require.Less(t, time.Since(began), 300*time.Millisecond)
	require.Zero(t, fleet.HeldCount())
}

// A comment inside an event belongs to the event. A comment on its own is not an event.
func TestCommentInEvent(t *testing.T) {
	clientSide, engineSide := net.Pipe()
	event := ": X-Load: {\"queue\":7}\ndata: {\"choices\":[]}\n\n"
	chunks := event + ": X-Load: {\"util\":0.25}\n\ndata: [DONE]\n\n"
	go func() {
		engineSide.Read(make([]byte, 4096)) //nolint:errcheck // the head
		engineSide.Read(make([]byte, 4096)) //nolint:errcheck // the body
		fmt.Fprintf(engineSide, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(chunks), chunks)
	}()
	c := New(Options{ReportColumns: []string{"util"}, ConnectTimeout: time.Second, EngineIdleTimeout: time.Second, MaxConns: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) { return clientSide, nil }})
	t.Cleanup(c.Close)
	c.UpdateEngines(true, []EngineEntry{{Name: "e", Address: "any"}}, nil)
	ctx, cancel := context.WithCancelCause(context.Background())
	s, failed := c.Write(ctx, cancel, &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)}, time.Second)
	require.Nil(t, failed)
	var got []string
	for {
		e, err := s.Next()
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			break
		}
		got = append(got, string(e.Raw))
	}
	require.Equal(t, []string{event, "data: [DONE]\n\n"}, got)
	r := s.Close()
	require.Equal(t, decide.Finished, r.Outcome)
	require.Equal(t, []float64{0.25}, r.Report)
}

// An invalid report has no values. A report that lacks one value has the others.
func TestParseReport(t *testing.T) {
	for text, want := range map[string][]float64{`{"util":0.5,"queue":2}`: {2, 0.5}, `{"util":1e999}`: nil, `[1]`: nil, `{"util":`: nil,
		`{"queue":-1}`: nil, `{"queue":"many"}`: nil, ``: nil} {
		require.Equal(t, want, parseReport([]string{"queue", "util"}, []byte(text)), text)
	}
	require.Nil(t, parseReport([]string{"queue"}, []byte(`{"queue":3,"x":`+nestedArrays(64)+`}`)), "nested too deep")
	report := parseReport([]string{"queue", "util"}, []byte(`{"queue":3}`))
	require.Len(t, report, 2)
	require.Equal(t, 3.0, report[0])
	require.NotEqual(t, report[1], report[1], "a missing value is NaN") //nolint:testifylint // NaN
}
