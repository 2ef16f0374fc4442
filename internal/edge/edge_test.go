package edge

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
)

// scriptedPlanner is a planner that records events and reacts as the test defines.
type scriptedPlanner struct {
	mu        sync.Mutex
	edge      *Edge
	events    []link.Event
	onEvent   func(s *scriptedPlanner, ev link.Event) // nil for a stalled planner
	rejectAll bool
}

func (s *scriptedPlanner) Offer(ev link.Event) bool {
	if !s.rejectAll {
		s.Notify(ev)
	}
	return !s.rejectAll
}

func (s *scriptedPlanner) Notify(ev link.Event) {
	s.mu.Lock()
	s.events = append(s.events, ev)
	s.mu.Unlock()
	if s.onEvent != nil {
		go s.onEvent(s, ev)
	}
}

func (s *scriptedPlanner) count(kind link.EventKind) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ev := range s.events {
		if ev.Kind == kind {
			n++
		}
	}
	return n
}

func (s *scriptedPlanner) command(kind link.CommandKind, ev link.Event, dispatch int, address string) {
	s.edge.Execute(link.Command{Kind: kind, Completion: ev.Completion, Dispatch: dispatch, Address: address, Timeout: 5})
}

type noopObserver struct{}

func (noopObserver) CompletionAccepted(int)                            {}
func (noopObserver) CompletionAnswered(int, Answer, time.Duration)     {}
func (noopObserver) FirstToken(int, time.Duration)                     {}
func (noopObserver) DispatchEnded(bool, decide.Outcome, time.Duration) {}
func (noopObserver) Refused(int)                                       {}
func (noopObserver) StateReleased(time.Duration)                       {}
func (noopObserver) ReleaseStarted(string)                             {}

// startEdge starts an edge with a scripted planner and returns its URL.
func startEdge(t *testing.T, s *scriptedPlanner, change func(*Options)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client, err := engine.NewClient(engine.Options{ConnectTimeout: time.Second, ProbeTimeout: time.Second, IdleConnTimeout: time.Second,
		StreamIdleTimeout: 2 * time.Second, MaxEventBytes: 1 << 16})
	require.NoError(t, err)
	o := Options{Listener: ln, Workloads: []Workload{{Name: "m", Models: []string{"m"}, ClientTimeout: 600 * time.Millisecond, DefaultMaxTokens: 9},
		{Name: "once", Models: []string{"once"}, ClientTimeout: 600 * time.Millisecond, Idempotency: decide.NonIdempotent, DefaultMaxTokens: 9}},
		Limits:       Limits{MaxBodyBytes: 1 << 16, MaxHeaderBytes: 1 << 14, MaxDepth: 20, MaxMessages: 10, MaxAnswerBytes: 1 << 20},
		Identity:     Identity{SessionFields: []string{"prompt_cache_key"}, LeadingMessagesShared: true, BytesPerToken: 4},
		AnswerMargin: 100 * time.Millisecond, HoldLimit: 300 * time.Millisecond, MaxStreamDuration: 20 * time.Second, ClientWriteTimeout: 500 * time.Millisecond,
		IdleTimeout: 5 * time.Second, RetryAfter: time.Second, Engines: VLLMEngines(client), Log: slog.New(slog.DiscardHandler), Observer: noopObserver{}}
	if change != nil {
		change(&o)
	}
	s.edge = New(o)
	s.edge.SetPlanner(s)
	go s.edge.Serve() //nolint:errcheck // ends with Stop
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		assert.NoError(t, s.edge.Stop(ctx))
		client.Close()
	})
	return "http://" + ln.Addr().String()
}

// startWriter starts an engine that streams tokens, with a pause before each.
func startWriter(t *testing.T, tokens int, pause time.Duration, text string) (address string, calls *atomic.Int64) {
	calls = &atomic.Int64{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		for range tokens {
			time.Sleep(pause)
			if r.Context().Err() != nil {
				return
			}
			fmt.Fprintf(w, "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
			w.(http.Flusher).Flush()
		}
		io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n") //nolint:errcheck // the test notices a failure
	})}
	go server.Serve(ln) //nolint:errcheck // ends with Close
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String(), calls
}

func post(t *testing.T, url, body string) (*http.Response, string) {
	resp, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

const streamingBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`
const plainBody = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

// TestInvalidRequests checks that invalid requests are answered at once in OpenAI's error format and do not reach the planner.
func TestInvalidRequests(t *testing.T) {
	s := &scriptedPlanner{}
	url := startEdge(t, s, func(o *Options) { o.Limits.MaxBodyBytes = 4 << 10 })
	msg := func(m string) string { return `{"model":"m","messages":` + m + `}` }
	for name, tc := range map[string]struct {
		body    string
		status  int
		message string
	}{
		"empty":                 {"", 400, "not JSON"},
		"not JSON":              {"{", 400, "not JSON"},
		"no object":             {"[1]", 400, "no JSON object"},
		"huge":                  {msg(`"` + strings.Repeat("x", 5000) + `"`), 413, "longer than 4096 bytes"},
		"deep":                  {msg(strings.Repeat("[", 1000) + strings.Repeat("]", 1000)), 400, "nested more than 20 deep"},
		"brackets in a string":  {`{"model":"m","messages":[],"user":"[[[[[[[[[[[[[[[[[[[[[[[[[["}`, 400, "must not be empty"},
		"no model":              {`{"messages":[{"role":"user","content":"x"}]}`, 400, "model is missing"},
		"model of a wrong type": {`{"model":3,"messages":[{"role":"user"}]}`, 400, "model must be a string"},
		"unknown model":         {`{"model":"z","messages":[{"role":"user","content":"x"}]}`, 404, "does not exist"},
		"no messages":           {`{"model":"m"}`, 400, "messages are missing"},
		"null messages":         {msg("null"), 400, "messages are missing"},
		"messages no array":     {msg("{}"), 400, "must be an array"},
		"no message":            {msg("[]"), 400, "must not be empty"},
		"a message no object":   {msg("[1]"), 400, "messages[0]"},
		"no role":               {msg(`[{"content":"x"}]`), 400, "messages[0].role"},
		"content a number":      {msg(`[{"role":"user","content":5}]`), 400, "messages[0].content"},
		"a part no object":      {msg(`[{"role":"user","content":["x"]}]`), 400, "a part of content"},
		"too many messages":     {msg("[" + strings.Repeat(`{"role":"user"},`, 10) + `{"role":"user"}]`), 400, "more than 10 messages"},
		"stream a string":       {`{"model":"m","stream":"yes","messages":[{"role":"user"}]}`, 400, "stream must be"},
		"usage without stream":  {`{"model":"m","stream_options":{"include_usage":true},"messages":[{"role":"user"}]}`, 400, "only allowed with stream"},
		"n of 2":                {`{"model":"m","n":2,"messages":[{"role":"user"}]}`, 400, "n must be 1"},
		"max_tokens 0":          {`{"model":"m","max_tokens":0,"messages":[{"role":"user"}]}`, 400, "max_tokens must be"},
		"max_tokens a half":     {`{"model":"m","max_tokens":1.5,"messages":[{"role":"user"}]}`, 400, "max_tokens must be"},
		"a field twice":         {`{"model":"m","model":"z","messages":[{"role":"user"}]}`, 400, "given twice"},
		"too many fields":       {"{" + strings.Repeat(`"a`, 1) + `":1` + fields(200) + "}", 400, "more than 128 fields"},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			resp, text := post(t, url, tc.body)
			assert.Equal(t, tc.status, resp.StatusCode)
			var shape struct {
				Error struct{ Message, Type, Param string }
			}
			require.NoError(t, json.Unmarshal([]byte(text), &shape), text)
			assert.Contains(t, shape.Error.Param+": "+shape.Error.Message, tc.message)
			assert.Equal(t, "invalid_request_error", shape.Error.Type)
			assert.Less(t, time.Since(start), 300*time.Millisecond)
		})
	}
	for _, call := range []struct {
		method, path string
		status       int
	}{{"GET", "/v1/chat/completions", 405}, {"GET", "/v1/nothing", 404}, {"GET", "/v1/models", 200}} {
		req, err := http.NewRequest(call.method, url+call.path, nil)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, call.status, resp.StatusCode, call.path)
	}
	assert.Empty(t, s.events)
}

func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `,"f%d":1`, i)
	}
	return b.String()
}

// TestHugeBody checks that a body that declares a gigabyte, or that is sent in endless chunks, is rejected at once and its connection closed.
func TestHugeBody(t *testing.T) {
	url := startEdge(t, &scriptedPlanner{}, nil)
	for name, head := range map[string]string{"length": "Content-Length: 1000000000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n%s", head)
			go func() {
				for {
					text := strings.Repeat("x", 1000)
					if name == "chunks" {
						text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
					}
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
				}
			}()
			conn.SetReadDeadline(time.Now().Add(3 * time.Second)) //nolint:errcheck // of an open connection
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			assert.Equal(t, 413, resp.StatusCode)
			assert.True(t, resp.Close)
		})
	}
}

// TestStalledPlanner checks that with a stalled planner the edge answers before the client timeout and notifies the planner.
func TestStalledPlanner(t *testing.T) {
	s := &scriptedPlanner{}
	url := startEdge(t, s, nil)
	for body, retry := range map[string]string{streamingBody: "", strings.Replace(plainBody, `"m"`, `"once"`, 1): "false"} {
		start := time.Now()
		resp, text := post(t, url, body)
		assert.Equal(t, 504, resp.StatusCode, text)
		assert.Equal(t, retry, resp.Header.Get("X-Should-Retry"))
		assert.Less(t, time.Since(start), 600*time.Millisecond)
	}
	assert.Equal(t, 2, s.count(link.ClientLeft))
}

// TestRequestedTimeout checks that a shorter timeout given by the client is respected.
func TestRequestedTimeout(t *testing.T) {
	url := startEdge(t, &scriptedPlanner{}, nil)
	for _, name := range timeoutHeaders {
		req, err := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(plainBody))
		require.NoError(t, err)
		req.Header.Set(name, "0.2")
		start := time.Now()
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, 504, resp.StatusCode)
		assert.Less(t, time.Since(start), 200*time.Millisecond)
	}
}

// TestPlannerRejects checks that a completion the planner does not accept is rejected at once with a retry-after.
func TestPlannerRejects(t *testing.T) {
	s := &scriptedPlanner{rejectAll: true}
	resp, text := post(t, startEdge(t, s, nil), plainBody)
	assert.Equal(t, 429, resp.StatusCode)
	assert.Equal(t, "1000", resp.Header.Get("Retry-After-Ms"))
	assert.Contains(t, text, "not taken")
}

// TestParallelDispatches checks that one of two answering dispatches wins and no token of the other reaches the client.
func TestParallelDispatches(t *testing.T) {
	a, _ := startWriter(t, 5, 2*time.Millisecond, "a")
	b, _ := startWriter(t, 5, 2*time.Millisecond, "b")
	s := &scriptedPlanner{onEvent: func(s *scriptedPlanner, ev link.Event) {
		if ev.Kind == link.CompletionArrived {
			s.command(link.Dispatch, ev, 0, a)
			s.command(link.Dispatch, ev, 1, b)
		}
	}}
	url := startEdge(t, s, nil)
	for range 30 {
		_, text := post(t, url, streamingBody)
		hasA, hasB := strings.Count(text, `"a"`), strings.Count(text, `"b"`)
		assert.True(t, hasA == 5 && hasB == 0 || hasA == 0 && hasB == 5, text)
		assert.Equal(t, 1, strings.Count(text, "[DONE]"))
	}
	assert.Eventually(t, func() bool { return s.count(link.DispatchEnded) == 60 }, 2*time.Second, 5*time.Millisecond, "each dispatch ends")
	assert.Equal(t, 30, s.count(link.DispatchStarted))
}

// TestFinalAnswerRacesFirstToken checks that the client gets exactly one complete answer when the planner's final
// answer and an engine's first token arrive at the same time.
func TestFinalAnswerRacesFirstToken(t *testing.T) {
	a, _ := startWriter(t, 2, 5*time.Millisecond, "a")
	s := &scriptedPlanner{onEvent: func(s *scriptedPlanner, ev link.Event) {
		if ev.Kind == link.CompletionArrived {
			s.command(link.Dispatch, ev, 0, a)
			time.Sleep(5*time.Millisecond + time.Duration(ev.Completion%40)*50*time.Microsecond)
			s.command(link.RateLimit, ev, 0, "")
			s.command(link.Cancel, ev, 0, "")
		}
	}}
	url := startEdge(t, s, nil)
	kinds := map[int]int{}
	for range 80 {
		resp, text := post(t, url, streamingBody)
		kinds[resp.StatusCode]++
		if resp.StatusCode == 200 {
			assert.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
			assert.Equal(t, 2, strings.Count(text, `"a"`))
		} else {
			assert.Equal(t, 429, resp.StatusCode)
			assert.NotContains(t, text, `"a"`)
		}
	}
	assert.Equal(t, 80, kinds[200]+kinds[429])
	assert.Eventually(t, func() bool { return s.count(link.DispatchEnded) == 80 }, 2*time.Second, 5*time.Millisecond)
}

// TestClientLeaves checks that a disconnect, before the first token or during the stream, ends the dispatch within 50 ms.
func TestClientLeaves(t *testing.T) {
	for name, wait := range map[string]time.Duration{"before the first token": 300 * time.Millisecond, "in the stream": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			ended, arrived := make(chan time.Time, 1), make(chan struct{}, 1)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.ReadAll(r.Body) //nolint:errcheck // so that the server detects the disconnect
				arrived <- struct{}{}
				w.Header().Set("Content-Type", "text/event-stream")
				for r.Context().Err() == nil {
					select {
					case <-r.Context().Done():
						continue
					case <-time.After(wait):
					}
					fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n")
					w.(http.Flusher).Flush()
				}
				ended <- time.Now()
			})}
			go server.Serve(ln) //nolint:errcheck // ends with Close
			defer server.Close()
			s := &scriptedPlanner{onEvent: func(s *scriptedPlanner, ev link.Event) {
				if ev.Kind == link.CompletionArrived {
					s.command(link.Dispatch, ev, 0, ln.Addr().String())
				}
			}}
			url := startEdge(t, s, nil)
			ctx, leave := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/chat/completions", strings.NewReader(streamingBody))
			require.NoError(t, err)
			go http.DefaultClient.Do(req) //nolint:errcheck,bodyclose // the client disconnects
			<-arrived
			time.Sleep(60 * time.Millisecond)
			at := time.Now()
			leave()
			assert.Less(t, (<-ended).Sub(at), 50*time.Millisecond)
			assert.Eventually(t, func() bool { return s.count(link.ClientLeft) == 1 && s.count(link.DispatchEnded) == 1 }, time.Second, time.Millisecond)
		})
	}
}

// TestStateReleasedWhenPlannerStalls checks that the edge releases state within the hold limit if no command uses or releases it.
func TestStateReleasedWhenPlannerStalls(t *testing.T) {
	held, released := make(chan time.Time, 1), make(chan time.Time, 4)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "DELETE" {
			released <- time.Now()
			return
		}
		held <- time.Now()
		io.WriteString(w, `{"kv_transfer_params":{"a":1}}`) //nolint:errcheck // the test notices a failure
	})}
	go server.Serve(ln) //nolint:errcheck // ends with Close
	defer server.Close()
	s := &scriptedPlanner{onEvent: func(s *scriptedPlanner, ev link.Event) {
		if ev.Kind == link.CompletionArrived {
			s.edge.Execute(link.Command{Kind: link.Dispatch, Completion: ev.Completion, IsRead: true, Address: ln.Addr().String(), Timeout: 5})
		}
	}}
	url := startEdge(t, s, nil)
	resp, _ := post(t, url, plainBody)
	assert.Equal(t, 504, resp.StatusCode)
	assert.Less(t, (<-released).Sub(<-held), 300*time.Millisecond)
}

// TestSlowClient checks that a client that reads nothing does not delay other streams and is disconnected.
func TestSlowClient(t *testing.T) {
	a, calls := startWriter(t, 4000, 0, strings.Repeat("a", 4000)) // 16 MB
	b, _ := startWriter(t, 20, 5*time.Millisecond, "b")
	s := &scriptedPlanner{onEvent: func(s *scriptedPlanner, ev link.Event) {
		if ev.Kind == link.CompletionArrived && ev.Completion == 1 {
			s.command(link.Dispatch, ev, 0, a)
		} else if ev.Kind == link.CompletionArrived {
			s.command(link.Dispatch, ev, 0, b)
		}
	}}
	url := startEdge(t, s, nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10) //nolint:errcheck // of an open connection
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(streamingBody), streamingBody)
	assert.Eventually(t, func() bool { return calls.Load() == 1 }, time.Second, time.Millisecond)
	for range 3 {
		start := time.Now()
		_, text := post(t, url, streamingBody)
		assert.Equal(t, 20, strings.Count(text, `"b"`))
		assert.Less(t, time.Since(start), 600*time.Millisecond)
	}
	assert.Eventually(t, func() bool { return s.count(link.ClientLeft) == 1 }, 3*time.Second, 10*time.Millisecond, "the slow client is disconnected")
	assert.Eventually(t, func() bool { return s.count(link.DispatchEnded) == 4 }, time.Second, 10*time.Millisecond)
}

func TestAPIKeys(t *testing.T) {
	url := startEdge(t, &scriptedPlanner{rejectAll: true}, func(o *Options) {
		o.Tenants = []Tenant{{Name: "a", KeyHashes: [][32]byte{sha("key-a")}}}
	})
	for header, status := range map[string]int{"": 401, "Bearer key-b": 401, "Bearer key-a": 429, "key-a": 401} {
		req, err := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(plainBody))
		require.NoError(t, err)
		req.Header.Set("Authorization", header)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, status, resp.StatusCode, header)
	}
}

func TestPromptIdentity(t *testing.T) {
	l, id := Limits{MaxDepth: 20, MaxMessages: 100}, Identity{SessionFields: []string{"prompt_cache_key", "user"}, LeadingMessagesShared: true, BytesPerToken: 4}
	parse := func(body string) *chatRequest {
		c, apiErr := parseChat([]byte(body), l, id)
		require.Nil(t, apiErr)
		return c
	}
	a := parse(`{"model":"m","prompt_cache_key":"s","messages":[{"role":"system","content":"aaaaaaaa"},{"role":"user","content":"bbbb"}]}`)
	b := parse(`{"messages":[{"role":"system","content":"aaaaaaaa"},{"role":"user","content":"c"},{"role":"system","content":"z"}],"user":"s","model":"m"}`)
	assert.Equal(t, a.sharedPrefix, b.sharedPrefix)
	assert.Equal(t, a.session, b.session)
	assert.NotZero(t, a.session)
	assert.Equal(t, 6.0, a.sharedPrefixTokens)
	assert.Equal(t, 11.0, a.promptTokens)
	c := parse(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"abcd"},{"type":"image_url"}]}],"odd":{"x":[1]}}`)
	assert.Zero(t, c.sharedPrefix)
	assert.Zero(t, c.session)
	assert.Equal(t, 5.0, c.promptTokens)
	assert.Len(t, c.fields, 3)
}

// FuzzParseChat checks that any body gives a request or an error, and that the bodies sent to engines are valid JSON.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(streamingBody))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"\ud800"}]}],"max_tokens":1e3,"n":1.0}`))
	f.Add([]byte(`{"a\"\\":{"b":[{}]},"model":"m","messages":[{"role":"\u0000","content":null}],"stream":true,"stream_options":{"include_usage":true}}`))
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, apiErr := parseChat(body, Limits{MaxDepth: 20, MaxMessages: 10}, Identity{SessionFields: []string{"user"}, LeadingMessagesShared: true, BytesPerToken: 4})
		if (c == nil) == (apiErr == nil) {
			t.Fatal("want a request or an error")
		}
		if apiErr != nil {
			require.Equal(t, 400, apiErr.status)
			require.True(t, json.Valid(apiErr.encode()))
			return
		}
		require.True(t, json.Valid(engine.WriteBody(c.fields, nil, 5)))
		require.True(t, json.Valid(engine.ReadBody(c.fields)))
		require.GreaterOrEqual(t, c.promptTokens, c.sharedPrefixTokens)
	})
}

func sha(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// TestStopRacesNewRequest checks that a request that is being read during Stop is rejected or waited for, so that no
// completion is offered to the planner after Stop has returned.
func TestStopRacesNewRequest(t *testing.T) {
	body := `{"model":"m","user":"` + strings.Repeat("x", 3<<20) + `","messages":[{"role":"user","content":"x"}]}`
	late, refused := 0, 0
	ln, err := net.Listen("tcp", "127.0.0.1:0") // nothing connects to it
	require.NoError(t, err)
	defer ln.Close()
	for i := range 60 {
		e := New(Options{Listener: ln, Workloads: []Workload{{Name: "m", Models: []string{"m"}, ClientTimeout: 50 * time.Millisecond, DefaultMaxTokens: 9}},
			Limits:             Limits{MaxBodyBytes: 1 << 23, MaxHeaderBytes: 1 << 14, MaxDepth: 20, MaxMessages: 10},
			Identity:           Identity{SessionFields: []string{"user"}, BytesPerToken: 4},
			ClientWriteTimeout: time.Second, IdleTimeout: time.Second, Log: slog.New(slog.DiscardHandler), Observer: noopObserver{}, Probe: func(context.Context, string) ([]float64, error) { return nil, nil }})
		var stopped atomic.Bool
		e.SetPlanner(plannerFunc(func(ev link.Event) bool {
			if ev.Kind == link.CompletionArrived && stopped.Load() {
				late++
			}
			return false
		}))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			rc := app.NewContext(0)
			rc.Request.SetBodyString(body)
			e.handleChatCompletion(context.Background(), rc)
			if rc.Response.StatusCode() == 503 {
				refused++
			}
		}()
		time.Sleep(time.Duration(i) * 100 * time.Microsecond)
		require.NoError(t, e.Stop(t.Context()))
		stopped.Store(true)
		<-ended
	}
	t.Logf("%d of 60 refused", refused)
	assert.Zero(t, late)
}

// plannerFunc is a planner made of a function that receives all events.
type plannerFunc func(ev link.Event) bool

func (p plannerFunc) Offer(ev link.Event) bool { return p(ev) }
func (p plannerFunc) Notify(ev link.Event)     { p(ev) }

// TestReleasesAreBounded checks that a release beyond maxPendingReleases is given up with an error that names the state.
func TestReleasesAreBounded(t *testing.T) {
	s, logs := &scriptedPlanner{}, &bytes.Buffer{}
	startEdge(t, s, func(o *Options) { o.Log = slog.New(slog.NewTextHandler(logs, nil)) })
	s.edge.activeReleases.Store(maxPendingReleases)
	s.edge.release(&heldResource{address: "127.0.0.1:1", id: "ch-x-1"}, "planner")
	assert.Equal(t, int64(maxPendingReleases), s.edge.activeReleases.Load())
	assert.Contains(t, logs.String(), "too many releases run")
	assert.Contains(t, logs.String(), "ch-x-1")
	_, dispatches := s.edge.Active()
	assert.Zero(t, dispatches)
}

// TestReportsCarryEngineAddress checks that a load report names its engine by address. An index may belong to another engine by the time
// the report is processed.
func TestReportsCarryEngineAddress(t *testing.T) {
	s := &scriptedPlanner{}
	startEdge(t, s, nil)
	s.edge.Execute(link.Command{Kind: link.Probe, Address: "127.0.0.1:1"})
	require.Eventually(t, func() bool { return s.count(link.ProbeEnded) == 1 }, 2*time.Second, time.Millisecond)
	assert.Equal(t, "127.0.0.1:1", s.events[0].Address)
}
