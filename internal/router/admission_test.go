package router

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/admit"
	"cherryhub/internal/crowd"
	pb "cherryhub/proto"
)

// addKnownTenants adds n tenants with a key each, besides the anonymous one.
func addKnownTenants(r *pb.Router, n int) (keys []string) {
	r.Tenants = []*pb.Tenant{{Name: proto.String("everybody"), Anonymous: proto.Bool(true), SharePerS: proto.Float64(1e5)}}
	for i := range n {
		key := fmt.Sprintf("key-%d", i)
		sum := sha256.Sum256([]byte(key))
		r.Tenants = append(r.Tenants, &pb.Tenant{Name: proto.String(fmt.Sprintf("known-%d", i)), KeySha256: []string{hex.EncodeToString(sum[:])},
			SharePerS: proto.Float64(1e5)})
		keys = append(keys, key)
	}
	return keys
}

func sourceAddresses(net, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("127.%d.%d.1", net, i))
	}
	return all
}

// TestKnownClientsDuringFlood has 100 known clients connect and stream during a flood of 50 times the connection limit
// from eight addresses. A third of the flood's connections send nothing, and a third send half a header.
func TestKnownClientsDuringFlood(t *testing.T) {
	const connections, clients = 240, 100
	var keys []string
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		keys = addKnownTenants(r, clients)
		f.Engines[1].Count, f.Engines[1].Slots, f.Engines[1].TokenMs = proto.Int32(4), proto.Int32(200), proto.Float64(1)
		r.Admission = &pb.Admission{MaxConnections: proto.Int32(connections), ReserveConnections: proto.Int32(clients), Anteroom: proto.Int32(64),
			Leaving: proto.Int32(600), AddressNewPerS: proto.Float64(20), AddressBurst: proto.Float64(40), AnteroomS: proto.Float64(0.5),
			HeaderS: proto.Float64(0.5), MaxWaitS: proto.Float64(2)}
	})
	done := make(chan int)
	go func() { // samples the open connections all the while
		maxOpen := 0
		for {
			select {
			case done <- maxOpen:
				return
			case <-time.After(time.Millisecond):
				stats, _ := h.listener.Stats(0)
				maxOpen = max(maxOpen, stats.Connections)
			}
		}
	}()
	r := crowd.Run(t.Context(), crowd.Options{Target: h.Address(), Model: "m", FloodAddresses: sourceAddresses(9, 8), FloodConns: 160, Duration: 3 * time.Second, MinConns: 50 * connections,
		HangTimeout: 3 * time.Second, KnownKeys: keys, KnownAddresses: sourceAddresses(10, clients), KnownDelay: 500 * time.Millisecond, KnownPause: 300 * time.Millisecond})
	sum := r.Total()
	times, failed := r.KnownFirstTokenTimes()
	stats, _ := h.listener.Stats(0)
	t.Logf("flood %+v, waits p50 %v p99 %v µs; known: %d streams, %d failed, p50 %v p99 %v max %v µs; ended %v refused %v", *sum, sum.Waits.ValueAtQuantile(50),
		sum.Waits.ValueAtQuantile(99), len(r.KnownClients), failed, times.ValueAtQuantile(50), times.ValueAtQuantile(99), times.Max(), stats.Evicted, stats.Refused)
	assert.LessOrEqual(t, <-done, connections)
	assert.GreaterOrEqual(t, sum.Tried, 50*connections, "the flood made enough attempts")
	assert.Zero(t, failed)
	assert.Less(t, times.Max(), int64(2_000_000), "µs until the first token of a known client")
	assert.GreaterOrEqual(t, len(r.KnownClients), clients)
	assert.Empty(t, sum.Wrong, "every refusal is a complete response")
	assert.Zero(t, sum.Hung)
	assert.Zero(t, sum.Broken)
	waits := r.Flood[crowd.SendsRequest].Waits
	assert.Less(t, waits.ValueAtQuantile(50), int64(100_000), "µs to a refusal")
	assert.Less(t, waits.ValueAtQuantile(99), int64(1_000_000), "µs to a refusal, with the flood and the race detector on the same cores")
	require.True(t, h.finishes(`"afterwards"`))
	h.stopAndCheck()
}

// TestAdmissionOff checks that the flood check above can fail: without admission control, silent connections stay open.
func TestAdmissionOff(t *testing.T) {
	h := startHarness(t, func(r *pb.Router, _ *pb.Fleet) { r.Admission = &pb.Admission{Off: proto.Bool(true)} })
	assert.Nil(t, h.listener)
	assert.False(t, h.admissionStatus().On)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	r := crowd.Run(ctx, crowd.Options{Target: h.Address(), Model: "m", FloodAddresses: sourceAddresses(9, 2), FloodConns: 20, Behaviors: []crowd.Behavior{crowd.SendsNothing},
		Duration: time.Second, HangTimeout: 300 * time.Millisecond})
	assert.Positive(t, r.Total().Hung, "silent connections are not closed")
	h.stopAndCheck()
}

// exchange sends the parts, 50 ms apart, on a new connection and returns what came back until it was closed or until the
// timeout.
func (h *harness) exchange(timeout time.Duration, parts ...string) (text string, took time.Duration, err error) {
	conn, err := net.Dial("tcp", h.Address())
	require.NoError(h.t, err)
	defer conn.Close()
	began := time.Now()
	go func() {
		for i, p := range parts {
			if i > 0 {
				time.Sleep(50 * time.Millisecond)
			}
			if _, err := io.WriteString(conn, p); err != nil {
				return
			}
		}
	}()
	conn.SetReadDeadline(began.Add(timeout))
	all, err := io.ReadAll(conn)
	return string(all), time.Since(began), err
}

const requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"

func TestSlowClients(t *testing.T) {
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		r.Admission = &pb.Admission{HeaderS: proto.Float64(0.4), BodyWaitS: proto.Float64(0.3), BodyBytesPerS: proto.Float64(10000),
			CallsPerConnection: proto.Int32(2), ReadBytesPerS: proto.Float64(8 << 20)}
		r.Timing.ClientWriteS = proto.Float64(0.3)
		r.Timing.IdleS = proto.Float64(1)
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(0), proto.Int32(100000)
	})
	t.Run("header", func(t *testing.T) {
		text, took, err := h.exchange(3*time.Second, requestHead, "X-One: 1\r\n", "X-Two: 2\r\n")
		assert.NoError(t, err)
		assert.Contains(t, text, "HTTP/1.1 408 ")
		assert.Contains(t, text, `"header_timeout"`)
		assert.Less(t, took, 900*time.Millisecond)
	})
	t.Run("body", func(t *testing.T) {
		parts := []string{requestHead + "Content-Length: 40000\r\n\r\n{" + strings.Repeat(" ", 8<<10)} // Hertz reads 8 KiB ahead
		for range 100 {                                                                                // 20 bytes per second without a long pause
			parts = append(parts, " ")
		}
		text, took, err := h.exchange(4*time.Second, parts...)
		if err == nil { // otherwise data sent later reset the closed connection
			assert.Contains(t, text, "HTTP/1.1 408 ")
		}
		assert.Contains(t, text, `"body_timeout"`)
		assert.Less(t, took, 3*time.Second)
	})
	t.Run("request limit per connection", func(t *testing.T) {
		const models = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"
		text, _, err := h.exchange(900*time.Millisecond, models, models, models)
		assert.NoError(t, err)
		assert.Equal(t, 2, strings.Count(text, "HTTP/1.1 200 OK"))
		assert.Equal(t, 1, strings.Count(text, "Connection: close"))
	})
	t.Run("idle", func(t *testing.T) {
		_, took, err := h.exchange(4*time.Second, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NoError(t, err)
		assert.Less(t, took, 2*time.Second)
	})
	t.Run("slow reads", func(t *testing.T) {
		conn, err := net.Dial("tcp", h.Address())
		require.NoError(t, err)
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		body := `{"model":"m","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"x"}]}`
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", requestHead, len(body), body)
		buf := make([]byte, 64<<10)
		require.Eventually(t, func() bool {
			conn.Read(buf) //nolint:errcheck // only the end of the completion matters
			stats, _ := h.listener.Stats(0)
			return stats.Completions == 0 && h.answerCount("left") > 0
		}, 8*time.Second, 200*time.Millisecond, "the completion no longer occupies an engine")
	})
	h.stopAndCheck()
}

// answerCount returns how many completions had the given answer.
func (h *harness) answerCount(answer string) float64 {
	all, err := h.Metrics.Registry.Gather()
	require.NoError(h.t, err)
	sum := 0.0
	for _, f := range all {
		if f.GetName() != "cherryhub_completions_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "answer" && l.GetValue() == answer {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}

// TestEndlessSenderCutOff checks that a client that keeps sending during its own stream is disconnected before the data
// fills the memory.
func TestEndlessSenderCutOff(t *testing.T) {
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		r.Limits = &pb.Limits{MaxBodyBytes: proto.Int32(4096), MaxHeaderBytes: proto.Int32(4096)}
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
	})
	conn, err := net.Dial("tcp", h.Address())
	require.NoError(t, err)
	defer conn.Close()
	body := `{"model":"m","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"x"}]}`
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", requestHead, len(body), body)
	go io.Copy(io.Discard, conn) //nolint:errcheck // until the connection is closed
	sent := 0
	conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	for more := make([]byte, 64<<10); sent < 1<<30; sent += len(more) {
		if _, err = conn.Write(more); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Error(t, err)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Less(t, sent, 64<<20)
	require.Eventually(t, func() bool { stats, _ := h.listener.Stats(0); return stats.Completions == 0 }, 2*time.Second, 10*time.Millisecond)
	h.stopAndCheck()
}

// TestEarlyRetry checks that a rate-limited completion that is retried too early is answered without the planner. A
// different completion is not, and neither is the same one after its retry time.
func TestEarlyRetry(t *testing.T) {
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		r.Allowed.MaxComeBackS = proto.Float64(1)
		for _, e := range f.Engines {
			e.Slots, e.Queue = proto.Int32(1), proto.Int32(0)
		}
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
	})
	var wait time.Duration
	try := func(content string) (status int, code string) {
		req, err := http.NewRequest("POST", h.url+"chat/completions", strings.NewReader(`{"model":"m","max_tokens":60,"messages":[{"role":"user","content":"`+content+`"}]}`))
		require.NoError(t, err)
		resp, err := h.http.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		ms, _ := strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
		wait = time.Duration(ms) * time.Millisecond
		return resp.StatusCode, string(text)
	}
	var busy sync.WaitGroup
	stop := make(chan struct{})
	for i := range 12 {
		busy.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					h.post(t.Context(), "m", fmt.Sprintf(`"busy %d %d"`, i, n), `,"max_tokens":60`) //nolint:errcheck // it only keeps the engines busy
				}
			}
		})
	}
	limited := ""
	require.Eventually(t, func() bool {
		content := fmt.Sprintf("one %d", time.Now().UnixNano())
		if status, _ := try(content); status == 429 && wait > 100*time.Millisecond {
			limited = content
		}
		return limited != ""
	}, 10*time.Second, time.Millisecond)
	retryAfter, answeredAt := wait, time.Now()
	earlyRetries := func() uint64 { stats, _ := h.listener.Stats(0); return stats.Refused[admit.ReasonEarlyRetry] }
	before := earlyRetries()
	status, text := try(limited)
	assert.Equal(t, 429, status)
	assert.Contains(t, text, "not before its time")
	assert.Equal(t, before+1, earlyRetries())
	assert.LessOrEqual(t, wait, retryAfter, "no later than the first answer said")
	try(limited + " another")
	assert.Equal(t, before+1, earlyRetries(), "another completion goes to the planner")
	time.Sleep(time.Until(answeredAt.Add(retryAfter + 5*time.Millisecond)))
	_, text = try(limited)
	assert.NotContains(t, text, "not before its time")
	close(stop)
	busy.Wait()
	stats, _ := h.listener.Stats(0)
	assert.Zero(t, stats.Refused[admit.ReasonConnectionRate], "no connection was refused: every 429 was for a completion")
	h.stopAndCheck()
}

// TestAdmissionReload checks that an invalid admission file changes nothing, that lower limits close idle connections
// only, and that the stream of a client whose key is revoked runs to its end.
func TestAdmissionReload(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	client := fmt.Sprintf("clients { name: \"one\" tenant: \"t\" key_sha256: %q }\n", hex.EncodeToString(sum[:]))
	file := filepath.Join(t.TempDir(), "admission.textproto")
	writeFile := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	writeFile("max_connections: 60 reserve_connections: 10 anteroom: 10\n" + client)
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		r.AdmissionFile = proto.String(file)
		r.Tenants = []*pb.Tenant{{Name: proto.String("t"), Anonymous: proto.Bool(true), SharePerS: proto.Float64(1e5)}}
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(100), proto.Int32(100000)
	})
	var idle []net.Conn
	for range 30 {
		conn, err := net.Dial("tcp", h.Address())
		require.NoError(t, err)
		defer conn.Close()
		fmt.Fprint(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		idle = append(idle, conn)
	}
	stream := make(chan string)
	go func() {
		body := `{"model":"m","stream":true,"max_tokens":70,"messages":[{"role":"user","content":"x"}]}`
		text, _, _ := h.exchange(20*time.Second, fmt.Sprintf("%sAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", requestHead, len(body), body))
		stream <- text
	}()
	common := func() (int, int) { stats, _ := h.listener.Stats(0); return stats.Common, stats.MaxCommon }
	holders := func() string { return fmt.Sprint(h.admissionStatus().Holders) }
	require.Eventually(t, func() bool { return strings.Contains(holders(), "one true") }, 2*time.Second, 10*time.Millisecond)

	writeFile("max_connections: 60 no_such_field: 1\n")
	time.Sleep(2500 * time.Millisecond)
	used, maxCommon := common()
	assert.Equal(t, 40, maxCommon, "unchanged")
	assert.GreaterOrEqual(t, used, 30)
	writeFile("max_connections: 20 reserve_connections: 4 anteroom: 4\nclients { name: \"other\" ranges: \"10.0.0.0/8\" }")
	require.Eventually(t, func() bool { used, maxCommon := common(); return maxCommon == 12 && used <= 12 }, 5*time.Second, 20*time.Millisecond)
	assert.NotContains(t, holders(), "one true", "revoked")
	closed := 0
	for _, conn := range idle {
		conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := io.ReadAll(conn); err == nil {
			closed++
		}
	}
	assert.GreaterOrEqual(t, closed, 18)
	ended := time.Now()
	text := <-stream
	assert.Contains(t, text, "data: [DONE]", "the stream of the revoked client finished")
	assert.Less(t, time.Since(ended), 10*time.Second, "its connection was closed after the stream")
	h.stopAndCheck()
}

// TestStopClosesConnections checks that at a stop idle connections are closed at once, and that a response that is still
// sent asks its client to close the connection.
func TestStopClosesConnections(t *testing.T) {
	h := startHarness(t, func(_ *pb.Router, f *pb.Fleet) {
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
	})
	answer := make(chan *http.Response, 1)
	go func() {
		resp, err := http.Post(h.url+"chat/completions", "application/json", strings.NewReader(`{"model":"m","max_tokens":20,"messages":[{"role":"user","content":"x"}]}`))
		if assert.NoError(t, err) {
			resp.Body.Close()
			answer <- resp
		}
	}()
	require.Eventually(t, func() bool { n, _ := h.Edge.Active(); return n == 1 }, 2*time.Second, time.Millisecond)
	idle, err := net.Dial("tcp", h.Address())
	require.NoError(t, err)
	defer idle.Close()
	fmt.Fprint(idle, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = http.ReadResponse(bufio.NewReader(idle), nil)
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		idle.SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // the completion takes a second
		_, err := io.ReadAll(idle)
		ended <- err
	}()
	h.stopAndCheck()
	assert.NoError(t, <-ended, "an idle connection is closed at once")
	resp := <-answer
	assert.Equal(t, 200, resp.StatusCode)
	assert.True(t, resp.Close)
}

// TestManyClientsBehindOneAddress checks that 200 unknown clients behind one address are all served with the default
// limits.
func TestManyClientsBehindOneAddress(t *testing.T) {
	h := startHarness(t, func(_ *pb.Router, f *pb.Fleet) {
		f.Engines[1].Count, f.Engines[1].Slots, f.Engines[1].TokenMs = proto.Int32(4), proto.Int32(200), proto.Float64(1)
	})
	r := crowd.Run(t.Context(), crowd.Options{Target: h.Address(), Model: "m", Duration: 10 * time.Second, KnownKeys: make([]string, 200), KnownAddresses: sourceAddresses(11, 1)})
	times, failed := r.KnownFirstTokenTimes()
	assert.Zero(t, failed)
	assert.Len(t, r.KnownClients, 200)
	assert.Less(t, times.Max(), int64(2_000_000), "µs")
	stats, _ := h.listener.Stats(0)
	assert.Zero(t, stats.Refused[admit.ReasonConnectionRate]+stats.Refused[admit.ReasonAddressLimit]+stats.Refused[admit.ReasonPoolFull])
	h.stopAndCheck()
}
