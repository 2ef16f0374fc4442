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

// asChild has this test program be a router whose descriptors are taken as its standard input says.
const asChild = "CHERRYHUB_TEST_LIMIT"

func TestMain(m *testing.M) {
	if file := os.Getenv(asChild); file != "" {
		if err := child(file); err != nil {
			fmt.Fprintln(os.Stderr, "child:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func child(file string) error {
	r := &pb.Router{}
	if err := config.Load(file, r); err != nil {
		return err
	}
	one, err := Start(r, telemetry.Log(os.Stderr, r.GetLog()))
	if err != nil {
		return err
	}
	var whole unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &whole); err != nil {
		return err
	}
	fmt.Println(one.Address())
	var hogs []*os.File
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		for _, f := range hogs {
			f.Close()
		}
		hogs = nil
		var more int
		if n, _ := fmt.Sscanf(in.Text(), "limit %d", &more); n == 1 {
			// The limit is on a descriptor's number: those free below it are taken, but for so many.
			limit := whole
			limit.Cur = 400
			if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
				return err
			}
			for {
				f, err := os.Open(os.DevNull)
				if err != nil {
					break
				}
				hogs = append(hogs, f)
			}
			for range min(more, len(hogs)) {
				hogs[len(hogs)-1].Close()
				hogs = hogs[:len(hogs)-1]
			}
			if strings.HasSuffix(in.Text(), "and hold") { // what becomes free is taken too
				stop := make(chan struct{})
				time.AfterFunc(1500*time.Millisecond, func() { close(stop) })
				for range 4 {
					go func() {
						var mine []*os.File
						for {
							select {
							case <-stop:
								for _, f := range mine {
									f.Close()
								}
								return
							default:
							}
							if f, err := os.Open(os.DevNull); err == nil {
								mine = append(mine, f)
							}
						}
					}()
				}
			}
		} else if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &whole); err != nil {
			return err
		}
		f, _ := one.listener.Stats(0)
		fmt.Println("done", f.Refused[admit.ReasonNoDescriptors])
	}
	return one.Stop()
}

// limited is a router in a process of its own, whose descriptors can be made to run out.
type limited struct {
	t       *testing.T
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	address string
}

func startLimited(t *testing.T, g *rig, r *pb.Router) *limited {
	file := filepath.Join(t.TempDir(), "router.textproto")
	require.NoError(t, os.WriteFile(file, []byte(config.Text(r)), 0o600))
	self, err := os.Executable()
	require.NoError(t, err)
	l := &limited{t: t, cmd: exec.Command(self)}
	l.cmd.Env = append(os.Environ(), asChild+"="+file)
	l.cmd.Stderr = os.Stderr
	l.in, err = l.cmd.StdinPipe()
	require.NoError(t, err)
	out, err := l.cmd.StdoutPipe()
	require.NoError(t, err)
	l.out = bufio.NewScanner(out)
	require.NoError(t, l.cmd.Start())
	t.Cleanup(func() { l.cmd.Process.Kill(); l.cmd.Wait() })
	require.True(t, l.out.Scan(), "its address")
	l.address = l.out.Text()
	g.url = "http://" + l.address + "/v1/"
	require.Eventually(t, func() bool { return g.finishes(`"x"`) }, 5*time.Second, 10*time.Millisecond)
	return l
}

// say lowers the limit, or lifts it, and tells how many were refused so far for want of descriptors.
func (l *limited) say(what string) (refused int) {
	_, err := io.WriteString(l.in, what+"\n")
	require.NoError(l.t, err)
	require.True(l.t, l.out.Scan())
	_, err = fmt.Sscanf(l.out.Text(), "done %d", &refused)
	require.NoError(l.t, err)
	return refused
}

func (l *limited) end() {
	l.in.Close()
	assert.NoError(l.t, l.cmd.Wait())
}

// streamTo streams a completion to its end, and tells how it ended.
func streamTo(ctx context.Context, g *rig, content string, tokens int) string {
	_, text, err := g.post(ctx, "m", content, fmt.Sprintf(`,"stream":true,"max_tokens":%d`, tokens))
	switch {
	case err != nil:
		return "broken: " + err.Error()
	case strings.HasSuffix(text, "data: [DONE]\n\n"):
		return "finished"
	}
	return text
}

// TestDescriptorsRunOut lowers the limit of a running router far below what its admission counts on: refusals go
// by the spare descriptor, streams go on, and afterwards all is as before.
func TestDescriptorsRunOut(t *testing.T) {
	var settings *pb.Router
	g := start(t, func(r *pb.Router, f *pb.Fleet) {
		f.Engines[1].TokenMs, f.Engines[1].MeanAnswerTokens = proto.Float64(50), proto.Int32(100000)
		f.Engines[1].Slots = proto.Int32(50)
		settings = r
	})
	require.NoError(t, g.Stop()) // the one in this process: a child takes its place
	settings.AdminListen = proto.String("")
	settings.Limits = &pb.Limits{MaxCompletions: proto.Int32(500)}
	settings.Log = &pb.Log{Level: pb.Level_ERROR.Enum()}
	l := startLimited(t, g, settings)

	var streams sync.WaitGroup
	ends := make([]string, 10)
	for i := range ends {
		streams.Go(func() { ends[i] = streamTo(t.Context(), g, fmt.Sprintf(`"stream %d"`, i), 80) })
	}
	time.Sleep(500 * time.Millisecond) // all stream
	before := l.say("limit 6")
	r := crowd.Run(t.Context(), crowd.Options{Target: l.address, Model: "m", From: froms(9, 4), Flood: 60, Length: 2 * time.Second, Patience: 3 * time.Second})
	refused := l.say("no limit") - before
	sum := r.Sum()
	t.Logf("%+v; %d refused for want of descriptors", *sum, refused)
	assert.Greater(t, refused, 100, "descriptors ran out")
	assert.Zero(t, sum.Hung)
	assert.Less(t, float64(sum.Broken+sum.Closed), 0.02*float64(sum.Tried), "told as well as can be: %v", sum.Wrong)
	streams.Wait()
	for _, end := range ends {
		assert.Equal(t, "finished", end, "a stream that was there went on")
	}
	require.Eventually(t, func() bool { return g.finishes(`"y"`) }, 3*time.Second, 20*time.Millisecond)
	l.end()
	g.closeFleet()
}

// TestDescriptorsRunOutAfterTheRead has them run out while a reader reads, so that the write can't be dialled. An
// idle connection makes way for it; where even that descriptor is taken, the completion has its final answer in
// time all the same, and its state is let go.
func TestDescriptorsRunOutAfterTheRead(t *testing.T) {
	var settings *pb.Router
	g := start(t, func(r *pb.Router, f *pb.Fleet) {
		f.Engines[0].ReadTokensPerS = proto.Float64(2500) // a read of 0.9 s
		settings = r
	})
	require.NoError(t, g.Stop())
	settings.AdminListen = proto.String("")
	settings.Limits = &pb.Limits{MaxCompletions: proto.Int32(500)}
	settings.Timing.EngineIdleS = proto.Float64(0.1)
	settings.Log = &pb.Log{Level: pb.Level_ERROR.Enum()}
	l := startLimited(t, g, settings)
	reading := func() (so bool) {
		g.each("reader", func(e *standin.Engine) { so = so || e.Unread() > 0 })
		return so
	}
	read := func(prompt, limit string) (answer string, took time.Duration) {
		time.Sleep(500 * time.Millisecond) // no connection to an engine is left idle
		told := make(chan string, 1)
		began := time.Now()
		go func() {
			status, text, err := g.post(context.Background(), "m", prompt, `,"max_tokens":4`)
			told <- fmt.Sprint(status, " ", err, " ", text)
		}()
		require.Eventually(t, reading, 2*time.Second, 5*time.Millisecond)
		l.say(limit)
		answer = <-told
		took = time.Since(began)
		time.Sleep(1600 * time.Millisecond) // the held ones are given back
		l.say("no limit")
		return answer, took
	}
	answer, _ := read(long, "limit 0")
	assert.Contains(t, answer, "200 <nil>")
	answer, took := read(`"`+strings.Repeat("other text ", 800)+`"`, "limit 0 and hold")
	t.Log(took, answer)
	assert.Less(t, took, 2100*time.Millisecond, "before its client timeout")
	assert.Regexp(t, `^(200|429|503|504) <nil> \{`, answer, "a whole answer, whichever took the spare descriptor")
	require.Eventually(t, func() bool { return g.finishes(`"y"`) }, 3*time.Second, 20*time.Millisecond)
	l.end()
	g.closeFleet()
}
