package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/admit"
	"cherryhub/internal/config"
	"cherryhub/internal/crowd"
	"cherryhub/internal/standin"
	"cherryhub/internal/telemetry"
	pb "cherryhub/proto"
)

// childSettingsEnv names the settings file with which this test program runs a router instead of the tests. The lines
// of its standard input say how many descriptors it has left.
const childSettingsEnv = "CHERRYHUB_TEST_LIMIT"

func TestMain(m *testing.M) {
	if file := os.Getenv(childSettingsEnv); file != "" {
		if err := runChild(file); err != nil {
			fmt.Fprintln(os.Stderr, "child:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func runChild(file string) error {
	r := &pb.Router{}
	if err := config.Load(file, r); err != nil {
		return err
	}
	router, err := Start(r, telemetry.NewLogger(os.Stderr, r.GetLog()))
	if err != nil {
		return err
	}
	var original unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &original); err != nil {
		return err
	}
	fmt.Println(router.Address())
	var fillers []*os.File
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		for _, f := range fillers {
			f.Close()
		}
		fillers = nil
		var free int
		if n, _ := fmt.Sscanf(in.Text(), "limit %d", &free); n == 1 {
			// The limit applies to descriptor numbers: all free ones below it are opened, but for the given number.
			limit := original
			limit.Cur = 400
			if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
				return err
			}
			for {
				f, err := os.Open(os.DevNull)
				if err != nil {
					break
				}
				fillers = append(fillers, f)
			}
			for range min(free, len(fillers)) {
				fillers[len(fillers)-1].Close()
				fillers = fillers[:len(fillers)-1]
			}
			if strings.HasSuffix(in.Text(), "and hold") { // descriptors that become free are opened too
				stop := make(chan struct{})
				time.AfterFunc(1500*time.Millisecond, func() { close(stop) })
				for range 4 {
					go func() {
						var opened []*os.File
						for {
							select {
							case <-stop:
								for _, f := range opened {
									f.Close()
								}
								return
							default:
							}
							if f, err := os.Open(os.DevNull); err == nil {
								opened = append(opened, f)
							}
						}
					}()
				}
			}
		} else if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &original); err != nil {
			return err
		}
		stats, _ := router.listener.Stats(0)
		fmt.Println("done", stats.Refused[admit.ReasonNoDescriptors])
	}
	return router.Stop()
}

// limitedRouter is a router in a process of its own, whose descriptors can be made to run out.
type limitedRouter struct {
	t       *testing.T
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	address string
}

func startLimitedRouter(t *testing.T, h *harness, r *pb.Router) *limitedRouter {
	file := filepath.Join(t.TempDir(), "router.textproto")
	require.NoError(t, os.WriteFile(file, []byte(config.Format(r)), 0o600))
	self, err := os.Executable()
	require.NoError(t, err)
	l := &limitedRouter{t: t, cmd: exec.Command(self)}
	l.cmd.Env = append(os.Environ(), childSettingsEnv+"="+file)
	l.cmd.Stderr = os.Stderr
	l.in, err = l.cmd.StdinPipe()
	require.NoError(t, err)
	out, err := l.cmd.StdoutPipe()
	require.NoError(t, err)
	l.out = bufio.NewScanner(out)
	require.NoError(t, l.cmd.Start())
	t.Cleanup(func() { l.cmd.Process.Kill(); l.cmd.Wait() })
	require.True(t, l.out.Scan(), "the child prints its address")
	l.address = l.out.Text()
	h.url = "http://" + l.address + "/v1/"
	require.Eventually(t, func() bool { return h.finishes(`"x"`) }, 5*time.Second, 10*time.Millisecond)
	return l
}

// command sends a line to the child, which lowers the limit or lifts it. It returns how many connections were refused so
// far for lack of descriptors.
func (l *limitedRouter) command(line string) (refused int) {
	_, err := io.WriteString(l.in, line+"\n")
	require.NoError(l.t, err)
	require.True(l.t, l.out.Scan())
	_, err = fmt.Sscanf(l.out.Text(), "done %d", &refused)
	require.NoError(l.t, err)
	return refused
}

func (l *limitedRouter) stop() {
	l.in.Close()
	assert.NoError(l.t, l.cmd.Wait())
}

// streamOutcome streams a completion to its end and returns how it ended.
func streamOutcome(ctx context.Context, h *harness, content string, tokens int) string {
	_, text, err := h.post(ctx, "m", content, fmt.Sprintf(`,"stream":true,"max_tokens":%d`, tokens))
	switch {
	case err != nil:
		return "broken: " + err.Error()
	case strings.HasSuffix(text, "data: [DONE]\n\n"):
		return "finished"
	}
	return text
}

// TestDescriptorsRunOut lowers the descriptor limit of a running router far below what its admission control relies on.
// Connections are refused with the help of the spare descriptor, open streams go on, and afterwards the router serves
// as before.
func TestDescriptorsRunOut(t *testing.T) {
	var settings *pb.Router
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
		f.Engines[1].Slots = proto.Int32(50)
		settings = r
	})
	require.NoError(t, h.Stop()) // a child process replaces the router of this process
	settings.AdminListen = proto.String("")
	settings.Limits = &pb.Limits{MaxCompletions: proto.Int32(500)}
	settings.Log = &pb.Log{Level: pb.Level_ERROR.Enum()}
	l := startLimitedRouter(t, h, settings)

	var streams sync.WaitGroup
	outcomes := make([]string, 10)
	for i := range outcomes {
		streams.Go(func() { outcomes[i] = streamOutcome(t.Context(), h, fmt.Sprintf(`"stream %d"`, i), 80) })
	}
	time.Sleep(500 * time.Millisecond) // until all stream
	before := l.command("limit 6")
	r := crowd.Run(t.Context(), crowd.Options{Target: l.address, Model: "m", FloodAddresses: sourceAddresses(9, 4), FloodConns: 60, Duration: 2 * time.Second, HangTimeout: 3 * time.Second})
	refused := l.command("no limit") - before
	sum := r.Total()
	t.Logf("%+v; %d refused for lack of descriptors", *sum, refused)
	assert.Greater(t, refused, 100, "descriptors ran out")
	assert.Zero(t, sum.Hung)
	assert.Less(t, float64(sum.Broken+sum.Closed), 0.02*float64(sum.Tried), "nearly all get a proper refusal: %v", sum.Wrong)
	streams.Wait()
	for _, end := range outcomes {
		assert.Equal(t, "finished", end, "an open stream went on")
	}
	require.Eventually(t, func() bool { return h.finishes(`"y"`) }, 3*time.Second, 20*time.Millisecond)
	l.stop()
	h.closeFleet()
}

// TestDescriptorsRunOutAfterTheRead has the descriptors run out while a reader reads, so that the write cannot be
// dialled. An idle connection is closed for it; where even that descriptor is taken by others, the completion still
// gets its final answer in time, and its state is released.
func TestDescriptorsRunOutAfterTheRead(t *testing.T) {
	var settings *pb.Router
	h := startHarness(t, func(r *pb.Router, f *pb.Fleet) {
		f.Engines[0].ReadTokensPerS = proto.Float64(2500) // a read takes 0.9 s
		settings = r
	})
	require.NoError(t, h.Stop())
	settings.AdminListen = proto.String("")
	settings.Limits = &pb.Limits{MaxCompletions: proto.Int32(500)}
	settings.Timing.EngineIdleS = proto.Float64(0.1)
	settings.Log = &pb.Log{Level: pb.Level_ERROR.Enum()}
	l := startLimitedRouter(t, h, settings)
	reading := func() (unread bool) {
		h.forEachEngine("reader", func(e *standin.Engine) { unread = unread || e.UnreadTokens() > 0 })
		return unread
	}
	read := func(prompt, limit string) (answer string, took time.Duration) {
		time.Sleep(500 * time.Millisecond) // until no idle connection to an engine is left
		result := make(chan string, 1)
		began := time.Now()
		go func() {
			status, text, err := h.post(context.Background(), "m", prompt, `,"max_tokens":4`)
			result <- fmt.Sprint(status, " ", err, " ", text)
		}()
		require.Eventually(t, reading, 2*time.Second, 5*time.Millisecond)
		l.command(limit)
		answer = <-result
		took = time.Since(began)
		time.Sleep(1600 * time.Millisecond) // until the child closes the descriptors that it opened
		l.command("no limit")
		return answer, took
	}
	answer, _ := read(longPrompt, "limit 0")
	assert.Contains(t, answer, "200 <nil>")
	answer, took := read(`"`+strings.Repeat("other text ", 800)+`"`, "limit 0 and hold")
	t.Log(took, answer)
	assert.Less(t, took, 2100*time.Millisecond, "before its client timeout")
	assert.Regexp(t, `^(200|429|503|504) <nil> \{`, answer, "a complete response, whichever side got the spare descriptor")
	require.Eventually(t, func() bool { return h.finishes(`"y"`) }, 3*time.Second, 20*time.Millisecond)
	l.stop()
	h.closeFleet()
}
