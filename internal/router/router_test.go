package router

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/prometheus/common/expfmt"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/config"
	"cherryhub/internal/record"
	"cherryhub/internal/rules"
	"cherryhub/internal/standin"
	pb "cherryhub/proto"
)

const routerSettings = `listen: "127.0.0.1:0" admin_listen: "127.0.0.1:0" zone: "a"
machines { name: "read" role: READER }
machines { name: "write" role: WRITER }
workloads { name: "m" client_timeout_s: 2 effect: IDEMPOTENT }
workloads { name: "once" client_timeout_s: 2 }
cold { fall_window_s: 0 }
allowed { max_come_back_s: 0.3 probes: false }
timing { stop_s: 3 }
list { url: "http://127.0.0.1:1/" }`

const fleetSettings = `list_listen: "127.0.0.1:0" list_delay_s: 0
engines { name: "reader" machine: "read" role: READER zone: "a" }
engines { name: "writer" machine: "write" role: WRITER zone: "a" count: 2 token_ms: 10 mean_answer_tokens: 8 }`

// harness is a router in front of stand-in engines, whose events are recorded.
type harness struct {
	*Router
	t        *testing.T
	fleet    *standin.Fleet
	recorder *record.Writer
	recorded bytes.Buffer
	url      string
	http     *http.Client
}

func startHarness(t *testing.T, change func(*pb.Router, *pb.Fleet)) *harness {
	r, f := &pb.Router{}, &pb.Fleet{}
	require.NoError(t, config.Parse("router", []byte(routerSettings), r))
	require.NoError(t, config.Parse("fleet", []byte(fleetSettings), f))
	if change != nil {
		change(r, f)
	}
	// With the default of two idle connections per host, each further response would close its connection, and a dozen
	// busy callers would exceed the rate of new connections per address.
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	h := &harness{t: t, http: &http.Client{Transport: transport}}
	h.recorder = record.NewWriter(&h.recorded, io.NopCloser(nil), &pb.Head{Workloads: r.GetWorkloads(), LetGoS: proto.Float64(r.GetLetGoS()),
		DrainGraceS: proto.Float64(r.GetDrainGraceS()), Cold: r.GetCold(), ValueUnitTokens: proto.Float64(1000)})
	var err error
	h.fleet, err = standin.Start(f, r.GetWorkloads(), h.recorder)
	require.NoError(t, err)
	r.List.Url = proto.String(h.fleet.List.URL())
	h.Router, err = Start(r, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	h.url = "http://" + h.Address() + "/v1/"
	if r.GetTls() != nil { // clients trust the CA of the certificates
		h.url = "https://" + h.Address() + "/v1/"
		text, err := os.ReadFile(r.GetTls().GetClientCaFile())
		require.NoError(t, err)
		pool := x509.NewCertPool()
		require.True(t, pool.AppendCertsFromPEM(text))
		transport.TLSClientConfig = &tls.Config{RootCAs: pool}
	}
	require.Eventually(t, func() bool { return h.finishes(`"x"`) }, 5*time.Second, 10*time.Millisecond, "the engine list has arrived")
	return h
}

// stopAndCheck stops the router and the engines, checks the recorded events against the rules and returns them.
func (h *harness) stopAndCheck() []*pb.Entry {
	require.NoError(h.t, h.Stop())
	return h.closeFleet()
}

// closeFleet is stopAndCheck for a router that has already stopped.
func (h *harness) closeFleet() []*pb.Entry {
	time.Sleep(600 * time.Millisecond) // past the hold limit
	require.NoError(h.t, h.fleet.Close())
	require.NoError(h.t, h.recorder.Close())
	entries, err := record.Read(&h.recorded)
	require.NoError(h.t, err)
	report, err := rules.Check(entries)
	require.NoError(h.t, err)
	assert.Empty(h.t, report.Violations)
	return entries
}

func countEvents(entries []*pb.Entry, kind pb.EngineEvent_Kind) (n int) {
	for _, e := range entries {
		if e.GetEngine().GetKind() == kind {
			n++
		}
	}
	return n
}

func (h *harness) post(ctx context.Context, model, content, extraFields string) (status int, text string, err error) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%s}]%s}`, model, content, extraFields)
	req, err := http.NewRequestWithContext(ctx, "POST", h.url+"chat/completions", strings.NewReader(body))
	require.NoError(h.t, err)
	resp, err := h.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func (h *harness) finishes(content string) bool {
	status, _, err := h.post(context.Background(), "m", content, `,"max_tokens":4`)
	return err == nil && status == 200
}

func (h *harness) forEachEngine(name string, do func(*standin.Engine)) {
	for _, e := range h.fleet.FindEngines(name) {
		do(e)
	}
}

var longPrompt = `"` + strings.Repeat("long text ", 900) + `"`

func TestOpenAIClient(t *testing.T) {
	h := startHarness(t, nil)
	client := openai.NewClient(option.WithBaseURL(h.url), option.WithAPIKey("any"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{
		openai.SystemMessage(strings.Repeat("a shared beginning ", 400)), openai.UserMessage("hello")}}

	t.Run("not streamed", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		assert.True(t, strings.HasPrefix(answer.Choices[0].Message.Content, "tok0 "))
		assert.Equal(t, "stop", answer.Choices[0].FinishReason)
		assert.Positive(t, answer.Usage.CompletionTokens)
	})
	t.Run("streamed", func(t *testing.T) {
		params := params
		params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		accumulated := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			require.True(t, accumulated.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		assert.True(t, strings.HasPrefix(accumulated.Choices[0].Message.Content, "tok0 "))
		assert.Positive(t, accumulated.Usage.PromptTokensDetails.CachedTokens, "the shared prefix is cached")
	})
	t.Run("models", func(t *testing.T) {
		models, err := client.Models.List(t.Context())
		require.NoError(t, err)
		assert.Len(t, models.Data, 2)
	})
	t.Run("times out", func(t *testing.T) {
		h.forEachEngine("writer", func(e *standin.Engine) { e.SetSilent(true) })
		began := time.Now()
		_, err := client.Chat.Completions.New(t.Context(), params, option.WithRequestTimeout(time.Second))
		var answer *openai.Error
		require.ErrorAs(t, err, &answer, "an error response of the router, not the client's own timeout")
		assert.Contains(t, []int{429, 504}, answer.StatusCode)
		assert.Less(t, time.Since(began), time.Second)
		h.forEachEngine("writer", func(e *standin.Engine) { e.SetSilent(false) })
	})
	t.Run("cancels", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		require.True(t, stream.Next())
		cancel()
		for stream.Next() {
		}
		assert.ErrorIs(t, stream.Err(), context.Canceled)
		assert.Eventually(t, func() bool { c, d := h.Edge.Active(); return c == 0 && d == 0 }, time.Second, time.Millisecond)
	})
	t.Run("retries", func(t *testing.T) {
		h.forEachEngine("writer", func(e *standin.Engine) { require.NoError(t, e.SetUnreachable(true)) })
		_, err := client.Chat.Completions.New(t.Context(), params)
		var answer *openai.Error
		require.ErrorAs(t, err, &answer)
		require.Equal(t, 429, answer.StatusCode)
		assert.NotEmpty(t, answer.Response.Header.Get("Retry-After-Ms"))
		time.AfterFunc(100*time.Millisecond, func() {
			h.forEachEngine("writer", func(e *standin.Engine) { assert.NoError(t, e.SetUnreachable(false)) })
		})
		_, err = client.Chat.Completions.New(t.Context(), params, option.WithMaxRetries(20))
		assert.NoError(t, err)
	})
	h.stopAndCheck()
}

// TestWriterDiesMidStream checks that a stream that breaks after a separate read gets one error event and no [DONE].
func TestWriterDiesMidStream(t *testing.T) {
	h := startHarness(t, nil)
	h.forEachEngine("writer", func(e *standin.Engine) { e.SetBrokenShare(1) })
	aborted := 0
	for range 10 {
		status, text, err := h.post(t.Context(), "m", longPrompt, `,"stream":true,"max_tokens":30`)
		require.NoError(t, err)
		if status == 200 && strings.Contains(text, "tok0") {
			aborted++
			assert.Equal(t, 1, strings.Count(text, `"error"`), text)
			assert.NotContains(t, text, "[DONE]")
		}
	}
	assert.Positive(t, aborted)
	entries := h.stopAndCheck()
	assert.Positive(t, countEvents(entries, pb.EngineEvent_STATE_TAKEN))
}

// TestFailureNearTimeout checks that the answer comes before the client timeout when the first dispatch fails shortly
// before it.
func TestFailureNearTimeout(t *testing.T) {
	for _, model := range []string{"m", "once"} {
		h := startHarness(t, func(_ *pb.Router, f *pb.Fleet) { f.Engines[0].ReadTokensPerS = proto.Float64(1300) })
		h.forEachEngine("writer", func(e *standin.Engine) { e.SetFailureShare(1) })
		began := time.Now()
		status, text, err := h.post(t.Context(), model, longPrompt, "") // the read takes nearly two seconds
		require.NoError(t, err)
		assert.Less(t, time.Since(began), 2*time.Second)
		assert.Contains(t, []int{429, 503, 504}, status, text)
		h.stopAndCheck()
	}
}

// TestClientLeavesBetweenReadAndWrite checks that the state is released. That this is within the hold limit is one of
// the rules checked at the end.
func TestClientLeavesBetweenReadAndWrite(t *testing.T) {
	h := startHarness(t, nil)
	h.forEachEngine("writer", func(e *standin.Engine) { e.SetPaused(true) })
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		_, _, err := h.post(ctx, "m", longPrompt, "")
		assert.Error(t, err)
		cancel()
	}
	time.Sleep(400 * time.Millisecond)
	h.forEachEngine("writer", func(e *standin.Engine) { e.SetPaused(false) })
	entries := h.stopAndCheck()
	assert.Equal(t, 5, countEvents(entries, pb.EngineEvent_STATE_HELD))
	assert.Equal(t, 5, countEvents(entries, pb.EngineEvent_STATE_RELEASED))
}

// TestNonIdempotentRunsOnce checks that a non-idempotent completion that may have run is not sent again, and that its
// client is not asked to retry.
func TestNonIdempotentRunsOnce(t *testing.T) {
	h := startHarness(t, nil)
	h.forEachEngine("writer", func(e *standin.Engine) { e.SetLostShare(1) })
	began := time.Now()
	status, _, err := h.post(t.Context(), "once", `"x"`, "")
	require.NoError(t, err)
	assert.Contains(t, []int{503, 504}, status)
	assert.Less(t, time.Since(began), 2*time.Second)
	h.forEachEngine("writer", func(e *standin.Engine) { e.SetLostShare(0) })
	entries := h.stopAndCheck()
	runs := 0
	for _, e := range entries {
		if ev := e.GetEngine(); ev.GetKind() == pb.EngineEvent_RAN && ev.GetWorkload() == 1 {
			runs++
		}
	}
	assert.Equal(t, 1, runs)
}

// TestStop checks that open completions get their answer, that no new one is accepted, and that no state stays held.
func TestStop(t *testing.T) {
	h := startHarness(t, func(_ *pb.Router, f *pb.Fleet) {
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(60), proto.Int32(30)
	})
	answers := make(chan string, 20)
	for i := range 20 {
		go func() {
			prompt := []string{`"x"`, `"y"`, `"z"`, longPrompt}[i%4]
			_, text, _ := h.post(context.Background(), "m", prompt, `,"stream":true,"max_tokens":40`)
			answers <- text
		}()
	}
	require.Eventually(t, func() bool { c, _ := h.Edge.Active(); return c >= 10 }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	done := make(chan []*pb.Entry)
	go func() { done <- h.stopAndCheck() }()
	for range 20 {
		text := <-answers
		assert.True(t, strings.HasSuffix(text, "[DONE]\n\n") || strings.Contains(text, "error"), text)
	}
	<-done
	status, _, err := h.post(context.Background(), "m", `"x"`, "")
	assert.True(t, err != nil || status == 503, "the router has stopped")
}

// TestMetrics checks the metrics of a completion.
func TestMetrics(t *testing.T) {
	h := startHarness(t, nil)
	require.True(t, h.finishes(longPrompt))
	text := h.metricsText()
	for _, want := range []string{`cherryhub_completions_total{answer="finished",workload="m"}`, `cherryhub_dispatches_total{outcome="read",stage="read"} 1`,
		"cherryhub_ttft_seconds_bucket", "cherryhub_planner_delay_seconds_count", "cherryhub_mailbox_facts 0"} {
		assert.Contains(t, text, want)
	}
	h.stopAndCheck()
}

func (h *harness) metricsText() string {
	families, err := h.Metrics.Registry.Gather()
	require.NoError(h.t, err)
	var b strings.Builder
	for _, f := range families {
		_, err := expfmt.MetricFamilyToText(&b, f)
		require.NoError(h.t, err)
	}
	return b.String()
}

func TestStartErrors(t *testing.T) {
	for name, change := range map[string]func(*pb.Router){
		"source":  func(r *pb.Router) { r.SourceAddress = proto.String("nowhere") },
		"address": func(r *pb.Router) { r.Listen = proto.String("203.0.113.1:1") },
		"admin":   func(r *pb.Router) { r.AdminListen = proto.String("203.0.113.1:1") },
	} {
		r := &pb.Router{}
		require.NoError(t, config.Parse("router", []byte(routerSettings), r))
		change(r)
		_, err := Start(r, slog.New(slog.DiscardHandler))
		assert.Error(t, err, name)
	}
	assert.ErrorIs(t, Serve(t.Context(), "/nowhere/at/all", io.Discard), fs.ErrNotExist)
}

// TestReaderUnreachable checks a writer that cannot reach the reader and so reports that there is no state: the state
// is still released once the reader can be reached again.
func TestReaderUnreachable(t *testing.T) {
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) { f.FetchTokensPerS = proto.Float64(3000) })
	h.forEachEngine("writer", func(e *standin.Engine) { e.SetPaused(true) })
	done := make(chan int)
	go func() {
		status, _, _ := h.post(context.Background(), "m", longPrompt, "")
		done <- status
	}()
	time.Sleep(250 * time.Millisecond) // the prompt is read, and the write waits at a paused writer
	h.forEachEngine("reader", func(e *standin.Engine) { require.NoError(t, e.SetUnreachable(true)) })
	h.forEachEngine("writer", func(e *standin.Engine) { e.SetPaused(false) })
	assert.Equal(t, 200, <-done, "a writer reads the prompt itself")
	h.forEachEngine("reader", func(e *standin.Engine) { require.NoError(t, e.SetUnreachable(false)) })
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, 1, countEvents(h.stopAndCheck(), pb.EngineEvent_STATE_RELEASED))
}

// TestReservationOfPausedWriter checks that a reservation is released even if a paused writer grants it long after the
// write was sent, or after the client has left and the release was sent. The rules checked at the end include this.
func TestReservationOfPausedWriter(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"after its write": 3 * time.Second, "after its release": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
				r.Allowed.Places = proto.Bool(true)
				f.Engines[1].Count = proto.Int32(1)
			})
			h.forEachEngine("writer", func(e *standin.Engine) { e.SetPaused(true) })
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				h.post(ctx, "m", longPrompt, "") //nolint:errcheck // the outcome does not matter here
			}()
			time.Sleep(500 * time.Millisecond)
			if timeout < time.Second {
				time.Sleep(800 * time.Millisecond) // the reservation call has been given up too
			}
			h.forEachEngine("writer", func(e *standin.Engine) { e.SetPaused(false) })
			<-done
			time.Sleep(400 * time.Millisecond)
			entries := h.stopAndCheck()
			assert.Equal(t, countEvents(entries, pb.EngineEvent_PLACE_HELD),
				countEvents(entries, pb.EngineEvent_PLACE_RELEASED)+countEvents(entries, pb.EngineEvent_PLACE_TAKEN))
		})
	}
}
