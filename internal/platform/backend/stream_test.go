package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/edge"
	"cherryhub/internal/engine"
	"cherryhub/internal/platform/http1"
)

const (
	streamHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	contentEvent = `data: {"choices":[{"index":0,"delta":{"content":"a"}}]}` + "\n\n"
)

const dispatchTimeout = time.Second // until the first event of a stream

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// nestedArrays returns JSON that nests this many levels deep.
func nestedArrays(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// newScriptedEngine returns a client of an engine "e" that reads one call and then runs the script on its connection.
func newScriptedEngine(t *testing.T, script func(conn net.Conn)) *Client {
	clientSide, engineSide := net.Pipe()
	c := New(Options{ReportColumns: []string{"util"}, ConnectTimeout: dispatchTimeout, EngineIdleTimeout: dispatchTimeout, MaxConns: 1,
		Dial: func(context.Context, string, string) (net.Conn, error) { return clientSide, nil }})
	c.UpdateEngines(true, []EngineEntry{{Name: "e", Address: "any"}}, nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r := bufio.NewReader(engineSide)
		if h, err := http1.ReadRequest(r, limits); err == nil {
			http1.ReadBody(r, h, limits, nil) //nolint:errcheck // a stand-in
			script(engineSide)
		}
	}()
	t.Cleanup(func() { clientSide.Close(); engineSide.Close(); c.Close(); <-ended })
	return c
}

// write dispatches a write to the engine "e" and returns its stream, or its result if it ended before the first event.
func write(t *testing.T, c *Client) (edge.Stream, *engine.Result) {
	ctx, cancel := context.WithCancelCause(context.Background())
	t.Cleanup(func() { cancel(engine.ErrCancelled) })
	call := &engine.Call{Address: "e", ID: "x", Target: "/", Body: []byte("{}"), Deadline: time.Now().Add(dispatchTimeout)}
	return c.Write(ctx, cancel, call, dispatchTimeout)
}

// TestNestedAnswers guards against answers that nest so deep that validating them takes a router over its memory.
func TestNestedAnswers(t *testing.T) {
	send := func(text string) func(net.Conn) {
		return func(conn net.Conn) { io.WriteString(conn, text) } //nolint:errcheck // the client closes the connection
	}
	tooDeep := `{"cached_tokens":7,"choices":[],"x":` + nestedArrays(64) + "}"
	t.Run("read", func(t *testing.T) {
		r := read(newScriptedEngine(t, send(fmt.Sprintf("HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%s", len(tooDeep), tooDeep))), "e")
		require.Equal(t, decide.Errored, r.Outcome)
		require.ErrorIs(t, r.Err, engine.ErrMalformed)
	})
	t.Run("event", func(t *testing.T) {
		_, r := write(t, newScriptedEngine(t, send(streamHead+chunk("data: "+tooDeep+"\n\n"))))
		require.NotNil(t, r, "the event was passed on")
		require.Equal(t, decide.Errored, r.Outcome)
		require.ErrorIs(t, r.Err, engine.ErrMalformed)
	})
}

const (
	doneEvent    = "data: [DONE]\n\n"
	reportBlock  = ": X-Load: {\"util\":0.5}\n\n"
	lastChunk    = "0\r\n\r\n"
	chunkSpacing = 200 * time.Millisecond
)

// sendEvery sends the text as a chunk again and again, until the client closes the connection.
func sendEvery(conn net.Conn, text string) {
	for {
		time.Sleep(chunkSpacing)
		if _, err := io.WriteString(conn, chunk(text)); err != nil {
			return
		}
	}
}

// TestUnreadableReports guards against whole streams that are cut off because of a part that is not owed: a load report that can't be read, or
// whose line no empty line follows, and a trailer.
func TestUnreadableReports(t *testing.T) {
	const readable, cut, broken = `: X-Load: {"util":0.5}`, `: X-Load: {"ut`, ": X-Load: {\"util\":\n0.5}"
	answer := contentEvent + contentEvent + doneEvent
	for name, tc := range map[string]struct {
		chunks []string
		end    string
		events int
		report []float64
	}{
		"readable":                         {[]string{answer, readable + "\n\n"}, lastChunk, 3, []float64{0.5}},
		"one line break":                   {[]string{answer, readable + "\n"}, lastChunk, 3, []float64{0.5}},
		"no line break":                    {[]string{answer, readable}, lastChunk, 3, []float64{0.5}},
		"cut short":                        {[]string{answer, cut}, lastChunk, 3, nil},
		"cut short, in the same chunk":     {[]string{answer + cut}, lastChunk, 3, nil},
		"cut short, behind a readable one": {[]string{answer, readable + "\n\n" + cut}, lastChunk, 3, []float64{0.5}},
		"with a line break":                {[]string{answer, broken + "\n\n"}, lastChunk, 3, nil},
		"with a line break, before [DONE]": {[]string{contentEvent, broken + "\n\n" + contentEvent + doneEvent}, lastChunk, 3, nil},
		"with a line break, in [DONE]":     {[]string{contentEvent + contentEvent, "data: [DONE]\n" + broken + "\n\n"}, lastChunk, 3, nil},
		"with an empty line":               {[]string{answer, ": X-Load: {\"util\":\n\n0.5}\n\n"}, lastChunk, 3, nil},
		"noise":                            {[]string{answer, "\x00\xff{\n\n\n"}, lastChunk, 3, nil},
		"in a trailer":                     {[]string{answer}, "0\r\nX-Load: {\"util\":\r\n0.5}\r\n\r\n", 3, nil},
	} {
		t.Run(name, func(t *testing.T) {
			text := streamHead
			for _, c := range tc.chunks {
				text += chunk(c)
			}
			s, failed := write(t, newScriptedEngine(t, func(conn net.Conn) { io.WriteString(conn, text+tc.end) })) //nolint:errcheck // the test notices
			require.Nil(t, failed)
			events, err := readEvents(s)
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, tc.events, events)
			r := s.Close()
			require.Equal(t, decide.Finished, r.Outcome)
			require.Equal(t, tc.report, r.Report)
		})
	}
}

// TestSpoiltStreams: what is unreadable before [DONE], or keeps a stream from its end, does not pass for a whole answer.
func TestSpoiltStreams(t *testing.T) {
	for name, text := range map[string]string{
		"no [DONE]":              chunk(contentEvent) + lastChunk,
		"a part of an event":     chunk(contentEvent+"data: {") + lastChunk,
		"a report, no [DONE]":    chunk(contentEvent+reportBlock) + lastChunk,
		"noise before [DONE]":    chunk(contentEvent+"noise\n\n"+doneEvent) + lastChunk,
		"noise in an event":      chunk(contentEvent+"data: {}\nnoise\n\n"+doneEvent) + lastChunk,
		"trailer without [DONE]": chunk(contentEvent) + "0\r\nnoise\r\n\r\n",
		"no last chunk":          chunk(contentEvent + doneEvent),
	} {
		t.Run(name, func(t *testing.T) {
			s, failed := write(t, newScriptedEngine(t, func(conn net.Conn) {
				io.WriteString(conn, streamHead+text) //nolint:errcheck // the test notices
				conn.Close()
			}))
			require.Nil(t, failed)
			_, err := readEvents(s)
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			require.NotEqual(t, decide.Finished, s.Close().Outcome)
		})
	}
}

// TestUnreadableReportInHead: a load report in the head that can't be read does not spoil the answer.
func TestUnreadableReportInHead(t *testing.T) {
	for name, report := range map[string]string{"cut short": `{"ut`, "a control character": "{\x01}", "no text": "\xff\x7f"} {
		t.Run(name, func(t *testing.T) {
			c := newScriptedEngine(t, func(conn net.Conn) {
				io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nX-Load: "+report+"\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}") //nolint:errcheck // the test notices
			})
			r := read(c, "e")
			require.Equal(t, decide.Read, r.Outcome, "%v", r.Err)
			require.Nil(t, r.Report)
		})
	}
}

// readEvents reads a stream to its end and returns the number of its events and how it ended.
func readEvents(s edge.Stream) (events int, err error) {
	for {
		if _, err = s.Next(); err != nil {
			return events, err
		}
		events++
	}
}

// TestStreamWithoutProgress guards against a stream that never ends: chunks that bring no event kept its client waiting for
// ever. A client may wait for 5 s after its engine's last event.
func TestStreamWithoutProgress(t *testing.T) {
	const maxClientWait = 5 * time.Second
	for name, tc := range map[string]struct {
		begin string // the events
		then  func(conn net.Conn)
	}{
		"part of an event": {contentEvent, func(conn net.Conn) {
			io.WriteString(conn, chunk("data: {\"choices\":[{\"delta\":{\"content\":\"")) //nolint:errcheck // sendEvery notices
			sendEvery(conn, "abcd ")
		}},
		"load reports":            {contentEvent, func(conn net.Conn) { sendEvery(conn, reportBlock) }},
		"blocks of comments":      {contentEvent, func(conn net.Conn) { sendEvery(conn, ": a\n: b\n\n") }},
		"[DONE] again":            {contentEvent + doneEvent, func(conn net.Conn) { sendEvery(conn, doneEvent) }},
		"load reports at the end": {contentEvent + doneEvent, func(conn net.Conn) { sendEvery(conn, reportBlock) }},
		"a late chunk, byte by byte": {contentEvent, func(conn net.Conn) {
			time.Sleep(maxEventWait - 100*time.Millisecond)
			for _, b := range []byte(chunk(contentEvent)) {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}},
		"nothing": {contentEvent, func(net.Conn) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lastEventAt := make(chan time.Time, 1)
				s, failed := write(t, newScriptedEngine(t, func(conn net.Conn) {
					io.WriteString(conn, streamHead+chunk(tc.begin)) //nolint:errcheck // as above
					lastEventAt <- time.Now()
					tc.then(conn)
				}))
				require.Nil(t, failed)
				_, err := readEvents(s)
				require.ErrorIs(t, err, engine.ErrTruncated)
				require.Less(t, time.Since(<-lastEventAt), maxClientWait)
				require.Equal(t, decide.Broken, s.Close().Outcome)
			})
		})
	}
}

// TestPauseWithinStream: an engine that pauses for 4 s between events is waited for, each time anew, whether or not load reports
// come meanwhile.
func TestPauseWithinStream(t *testing.T) {
	const pause = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s, failed := write(t, newScriptedEngine(t, func(conn net.Conn) {
			for _, text := range []string{streamHead + chunk(contentEvent), chunk(contentEvent), chunk(contentEvent+doneEvent) + chunk(reportBlock) + lastChunk} {
				io.WriteString(conn, text) //nolint:errcheck // the test notices
				time.Sleep(pause / 2)
				io.WriteString(conn, chunk(reportBlock)) //nolint:errcheck // as above
				time.Sleep(pause / 2)
			}
		}))
		require.Nil(t, failed)
		events, err := readEvents(s)
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 4, events)
		require.Equal(t, decide.Finished, s.Close().Outcome)
	})
}
