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

// known makes so many tenants with a key each, besides the anonymous one.
func known(r *pb.Router, n int) (keys []string) {
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

func froms(net, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("127.%d.%d.1", net, i))
	}
	return all
}

// TestKnownClientsGetInDuringAFlood has a flood of 50 times the cap from eight addresses, a third of it silent, a
// third with half a header, while 100 known clients connect and stream.
func TestKnownClientsGetInDuringAFlood(t *testing.T) {
	const connections, clients = 240, 100
	var keys []string
	g := start(t, func(r *pb.Router, f *pb.Fleet) {
		keys = known(r, clients)
		f.Engines[1].Count, f.Engines[1].Slots, f.Engines[1].TokenMs = proto.Int32(4), proto.Int32(200), proto.Float64(1)
		r.Admission = &pb.Admission{MaxConnections: proto.Int32(connections), ReserveConnections: proto.Int32(clients), Anteroom: proto.Int32(64),
			Leaving: proto.Int32(600), AddressNewPerS: proto.Float64(20), AddressBurst: proto.Float64(40), AnteroomS: proto.Float64(0.5),
			HeaderS: proto.Float64(0.5), MaxWaitS: proto.Float64(2)}
	})
	done := make(chan int)
	go func() { // the cap, all the while
		most := 0
		for {
			select {
			case done <- most:
				return
			case <-time.After(time.Millisecond):
				f, _ := g.listener.Stats(0)
				most = max(most, f.Connections)
			}
		}
	}()
	r := crowd.Run(t.Context(), crowd.Options{Target: g.Address(), Model: "m", From: froms(9, 8), Flood: 160, Length: 3 * time.Second, Least: 50 * connections,
		Patience: 3 * time.Second, Known: keys, KnownFrom: froms(10, clients), Before: 500 * time.Millisecond, Pause: 300 * time.Millisecond})
	sum := r.Sum()
	times, failed := r.KnownTimes()
	f, _ := g.listener.Stats(0)
	t.Logf("flood %+v, waits p50 %v p99 %v µs; known: %d entries, %d failed, p50 %v p99 %v most %v µs; ended %v refused %v", *sum, sum.Waits.ValueAtQuantile(50),
		sum.Waits.ValueAtQuantile(99), len(r.Known), failed, times.ValueAtQuantile(50), times.ValueAtQuantile(99), times.Max(), f.Evicted, f.Refused)
	assert.LessOrEqual(t, <-done, connections)
	assert.GreaterOrEqual(t, sum.Tried, 50*connections, "the flood was one")
	assert.Zero(t, failed)
	assert.Less(t, times.Max(), int64(2_000_000), "µs until a known client streams")
	assert.GreaterOrEqual(t, len(r.Known), clients)
	assert.Empty(t, sum.Wrong, "every refusal is whole")
	assert.Zero(t, sum.Hung)
	assert.Zero(t, sum.Broken)
	waits := r.Flood[crowd.Calls].Waits
	assert.Less(t, waits.ValueAtQuantile(50), int64(100_000), "µs to a refusal")
	assert.Less(t, waits.ValueAtQuantile(99), int64(1_000_000), "the same, with the flood and the race detector on the same cores")
	require.True(t, g.finishes(`"afterwards"`))
	g.end()
}

// The flood's checker finds fault where admission is off: the same known clients without any reserve.
func TestWithoutAdmissionAllAreLetIn(t *testing.T) {
	g := start(t, func(r *pb.Router, _ *pb.Fleet) { r.Admission = &pb.Admission{Off: proto.Bool(true)} })
	assert.Nil(t, g.listener)
	assert.False(t, g.admissionStatus().On)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	r := crowd.Run(ctx, crowd.Options{Target: g.Address(), Model: "m", From: froms(9, 2), Flood: 20, Manners: []crowd.Manner{crowd.Silent},
		Length: time.Second, Patience: 300 * time.Millisecond})
	assert.Positive(t, r.Sum().Hung, "nobody ends silent ones")
	g.end()
}

// talk sends text on a connection of its own and gives what came back until its end, or until the patience is over.
func (g *rig) talk(patience time.Duration, parts ...string) (text string, took time.Duration, err error) {
	conn, err := net.Dial("tcp", g.Address())
	require.NoError(g.t, err)
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
	conn.SetReadDeadline(began.Add(patience))
	all, err := io.ReadAll(conn)
	return string(all), time.Since(began), err
}

const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"

func TestSlowClients(t *testing.T) {
	g := start(t, func(r *pb.Router, f *pb.Fleet) {
		r.Admission = &pb.Admission{HeaderS: proto.Float64(0.4), BodyWaitS: proto.Float64(0.3), BodyBytesPerS: proto.Float64(10000),
			CallsPerConnection: proto.Int32(2), ReadBytesPerS: proto.Float64(8 << 20)}
		r.Timing.ClientWriteS = proto.Float64(0.3)
		r.Timing.IdleS = proto.Float64(1)
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(0), proto.Int32(100000)
	})
	t.Run("header", func(t *testing.T) {
		text, took, err := g.talk(3*time.Second, head, "X-One: 1\r\n", "X-Two: 2\r\n")
		assert.NoError(t, err)
		assert.Contains(t, text, "HTTP/1.1 408 ")
		assert.Contains(t, text, `"header_timeout"`)
		assert.Less(t, took, 900*time.Millisecond)
	})
	t.Run("body", func(t *testing.T) {
		parts := []string{head + "Content-Length: 40000\r\n\r\n{" + strings.Repeat(" ", 8<<10)} // Hertz reads 8 KiB ahead
		for range 100 {                                                                         // 20 bytes a second, never long silent
			parts = append(parts, " ")
		}
		text, took, err := g.talk(4*time.Second, parts...)
		if err == nil { // else what it still sent met a closed connection
			assert.Contains(t, text, "HTTP/1.1 408 ")
		}
		assert.Contains(t, text, `"body_timeout"`)
		assert.Less(t, took, 3*time.Second)
	})
	t.Run("calls on a connection", func(t *testing.T) {
		const models = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"
		text, _, err := g.talk(900*time.Millisecond, models, models, models)
		assert.NoError(t, err)
		assert.Equal(t, 2, strings.Count(text, "HTTP/1.1 200 OK"))
		assert.Equal(t, 1, strings.Count(text, "Connection: close"))
	})
	t.Run("idle", func(t *testing.T) {
		_, took, err := g.talk(4*time.Second, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NoError(t, err)
		assert.Less(t, took, 2*time.Second)
	})
	t.Run("reads now and then", func(t *testing.T) {
		conn, err := net.Dial("tcp", g.Address())
		require.NoError(t, err)
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		body := `{"model":"m","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"x"}]}`
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		buf := make([]byte, 64<<10)
		require.Eventually(t, func() bool {
			conn.Read(buf) //nolint:errcheck // what counts is that its completion ends
			f, _ := g.listener.Stats(0)
			return f.Completions == 0 && g.answers("left") > 0
		}, 8*time.Second, 200*time.Millisecond, "it holds an engine no longer")
	})
	g.end()
}

// answers is how many completions were answered so.
func (g *rig) answers(how string) float64 {
	all, err := g.Metrics.Registry.Gather()
	require.NoError(g.t, err)
	sum := 0.0
	for _, f := range all {
		if f.GetName() != "cherryhub_completions_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "answer" && l.GetValue() == how {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}

// A client that sends without end during its own stream is cut off before it fills the memory.
func TestClientThatSendsWithoutEnd(t *testing.T) {
	g := start(t, func(r *pb.Router, f *pb.Fleet) {
		r.Limits = &pb.Limits{MaxBodyBytes: proto.Int32(4096), MaxHeaderBytes: proto.Int32(4096)}
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
	})
	conn, err := net.Dial("tcp", g.Address())
	require.NoError(t, err)
	defer conn.Close()
	body := `{"model":"m","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"x"}]}`
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	go io.Copy(io.Discard, conn) //nolint:errcheck // until it is cut
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
	require.Eventually(t, func() bool { f, _ := g.listener.Stats(0); return f.Completions == 0 }, 2*time.Second, 10*time.Millisecond)
	g.end()
}

// A rate-limited completion that comes back at once is answered without the planner, another is not, and neither
// is the same one once its time has come.
func TestRateLimitedOneComesBackEarly(t *testing.T) {
	g := start(t, func(r *pb.Router, f *pb.Fleet) {
		r.Allowed.MaxComeBackS = proto.Float64(1)
		for _, e := range f.Engines {
			e.Slots, e.Queue = proto.Int32(1), proto.Int32(0)
		}
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
	})
	var wait time.Duration
	try := func(content string) (status int, code string) {
		req, err := http.NewRequest("POST", g.url+"chat/completions", strings.NewReader(`{"model":"m","max_tokens":60,"messages":[{"role":"user","content":"`+content+`"}]}`))
		require.NoError(t, err)
		resp, err := g.http.Do(req)
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
					g.post(t.Context(), "m", fmt.Sprintf(`"busy %d %d"`, i, n), `,"max_tokens":60`) //nolint:errcheck // it fills the engines
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
	told, at := wait, time.Now()
	early := func() uint64 { f, _ := g.listener.Stats(0); return f.Refused[admit.ReasonEarlyRetry] }
	before := early()
	status, text := try(limited)
	assert.Equal(t, 429, status)
	assert.Contains(t, text, "not before its time")
	assert.Equal(t, before+1, early())
	assert.LessOrEqual(t, wait, told, "never past what it was told")
	try(limited + " another")
	assert.Equal(t, before+1, early(), "another completion is the planner's")
	time.Sleep(time.Until(at.Add(told + 5*time.Millisecond)))
	_, text = try(limited)
	assert.NotContains(t, text, "not before its time")
	close(stop)
	busy.Wait()
	figures, _ := g.listener.Stats(0)
	assert.Zero(t, figures.Refused[admit.ReasonConnectionRate], "no connection was refused: every 429 was a completion's")
	g.end()
}

// The file of the admission is put in force whole or not at all; lower caps end idle connections only, and a
// revoked key's stream runs to its end.
func TestAdmissionFileIsReadAgain(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	client := fmt.Sprintf("clients { name: \"one\" tenant: \"t\" key_sha256: %q }\n", hex.EncodeToString(sum[:]))
	file := filepath.Join(t.TempDir(), "admission.textproto")
	put := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	put("max_connections: 60 reserve_connections: 10 anteroom: 10\n" + client)
	g := start(t, func(r *pb.Router, f *pb.Fleet) {
		r.AdmissionFile = proto.String(file)
		r.Tenants = []*pb.Tenant{{Name: proto.String("t"), Anonymous: proto.Bool(true), SharePerS: proto.Float64(1e5)}}
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(100), proto.Int32(100000)
	})
	var idle []net.Conn
	for range 30 {
		conn, err := net.Dial("tcp", g.Address())
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
		text, _, _ := g.talk(20*time.Second, fmt.Sprintf("%sAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body))
		stream <- text
	}()
	common := func() (int, int) { f, _ := g.listener.Stats(0); return f.Common, f.MaxCommon }
	holders := func() string { return fmt.Sprint(g.admissionStatus().Holders) }
	require.Eventually(t, func() bool { return strings.Contains(holders(), "one true") }, 2*time.Second, 10*time.Millisecond)

	put("max_connections: 60 no_such_field: 1\n")
	time.Sleep(2500 * time.Millisecond)
	used, most := common()
	assert.Equal(t, 40, most, "as it was")
	assert.GreaterOrEqual(t, used, 30)
	put("max_connections: 20 reserve_connections: 4 anteroom: 4\nclients { name: \"other\" ranges: \"10.0.0.0/8\" }")
	require.Eventually(t, func() bool { used, most := common(); return most == 12 && used <= 12 }, 5*time.Second, 20*time.Millisecond)
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
	assert.Contains(t, text, "data: [DONE]", "its stream ran to the end")
	assert.Less(t, time.Since(ended), 10*time.Second, "and its connection was closed then")
	g.end()
}

// At a stop a client that keeps its connection is told to go elsewhere.
func TestStopTellsConnectionsToClose(t *testing.T) {
	g := start(t, func(_ *pb.Router, f *pb.Fleet) {
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
	})
	answer := make(chan *http.Response, 1)
	go func() {
		resp, err := http.Post(g.url+"chat/completions", "application/json", strings.NewReader(`{"model":"m","max_tokens":20,"messages":[{"role":"user","content":"x"}]}`))
		if assert.NoError(t, err) {
			resp.Body.Close()
			answer <- resp
		}
	}()
	require.Eventually(t, func() bool { n, _ := g.Edge.Active(); return n == 1 }, 2*time.Second, time.Millisecond)
	idle, err := net.Dial("tcp", g.Address())
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
	g.end()
	assert.NoError(t, <-ended, "an idle connection goes at once")
	resp := <-answer
	assert.Equal(t, 200, resp.StatusCode)
	assert.True(t, resp.Close)
}

// Two hundred honest clients behind one address that nobody knows are all served by the defaults.
func TestManyBehindOneAddress(t *testing.T) {
	g := start(t, func(_ *pb.Router, f *pb.Fleet) {
		f.Engines[1].Count, f.Engines[1].Slots, f.Engines[1].TokenMs = proto.Int32(4), proto.Int32(200), proto.Float64(1)
	})
	r := crowd.Run(t.Context(), crowd.Options{Target: g.Address(), Model: "m", Length: 10 * time.Second, Known: make([]string, 200), KnownFrom: froms(11, 1)})
	times, failed := r.KnownTimes()
	assert.Zero(t, failed)
	assert.Len(t, r.Known, 200)
	assert.Less(t, times.Max(), int64(2_000_000), "µs")
	f, _ := g.listener.Stats(0)
	assert.Zero(t, f.Refused[admit.ReasonConnectionRate]+f.Refused[admit.ReasonAddressLimit]+f.Refused[admit.ReasonPoolFull])
	g.end()
}
