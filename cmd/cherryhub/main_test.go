package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/record"
	pb "cherryhub/proto"
)

// writeRecord writes a record of one completion with the given final event and returns the file's path.
func writeRecord(t *testing.T, kind pb.ClientEvent_Kind) string {
	file := filepath.Join(t.TempDir(), "record")
	w, err := record.Create(file, &pb.Head{Day: proto.String("d"), ValueUnitTokens: proto.Float64(1000), Workloads: []*pb.Workload{{Name: proto.String("w")}}})
	require.NoError(t, err)
	for _, k := range []pb.ClientEvent_Kind{pb.ClientEvent_SENT, kind} {
		w.Write(&pb.Entry{What: &pb.Entry_Client{Client: &pb.ClientEvent{Kind: k.Enum(), Completion: proto.Int64(1), FirstTry: proto.Int64(1), TimeoutS: proto.Float64(5)}}})
	}
	require.NoError(t, w.Close())
	return file
}

// TestExitCodes checks the exit codes: 0 success, 1 a violated rule or a failed check, 2 wrong usage or invalid settings.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad")
	require.NoError(t, os.WriteFile(bad, []byte("odd: 1"), 0o600))
	small := filepath.Join(t.TempDir(), "small")
	require.NoError(t, os.WriteFile(small, []byte(`seeds: 2 variants { name: "a" } variants { name: "b" policy: RANDOM }
days { name: "d" length_s: 5 groups { role: READER } groups { role: WRITER count: 2 } loads { workload: "w" turns: 2 }
router { machines { name: "m" role: MIXED } workloads { name: "w" } list {} } }`), 0o600))
	notRecord := filepath.Join(t.TempDir(), "cut")
	require.NoError(t, os.WriteFile(notRecord, []byte("not a record"), 0o600))
	for line, want := range map[string]int{
		"config check ../../deploy/examples/router.textproto":             0,
		"config print ../../deploy/examples/router.textproto":             0,
		"config check --kind day ../../deploy/days/every.textproto":       0,
		"config check --kind fleet ../../deploy/examples/fleet.textproto": 0,
		"check " + writeRecord(t, pb.ClientEvent_FINISHED):                0,
		"check --json " + writeRecord(t, pb.ClientEvent_FINISHED):         0,
		"check " + writeRecord(t, pb.ClientEvent_GAVE_UP):                 1,
		"check --json " + writeRecord(t, pb.ClientEvent_GAVE_UP):          1,
		"config check --kind lab ../../deploy/labs/policies.textproto":    0,
		"lab run " + small:               0,
		"lab run --json " + small:        0,
		"lab run " + bad:                 2,
		"check " + notRecord:             1,
		"check /nowhere/at/all":          2,
		"config check " + bad:            2,
		"config check --kind odd " + bad: 2,
		"config check":                   2,
		"day " + bad:                     2,
		"serve":                          2,
		"serve --config " + bad:          2,
		"serve --config /nowhere/at/all": 2,
		"engines --config " + bad:        2,
		"nothing":                        2,
		"day --odd":                      2,
	} {
		assert.Equal(t, want, run(strings.Fields(line)), line)
	}
}

func TestCheckRecordTable(t *testing.T) {
	var out bytes.Buffer
	assert.ErrorIs(t, checkRecord(&out, writeRecord(t, pb.ClientEvent_GAVE_UP), false), errCheckFailed)
	for _, want := range []string{"day d", "taken", "finished", "rate-limited", "aborted", "late", "value served",
		"one final answer in time", "BROKEN", "client's completion 1", "no final answer within the client timeout of 5.000 s",
		"nothing left pinned", "kept"} {
		assert.Contains(t, out.String(), want)
	}
}

// TestDemo runs the demo and sends the request of the curl command that it prints.
func TestDemo(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = w
	code := make(chan int, 1)
	go func() { code <- run([]string{"demo"}) }()
	buf := make([]byte, 4096)
	n, err := r.Read(buf)
	os.Stdout = stdout
	require.NoError(t, err)
	_, curl, found := strings.Cut(string(buf[:n]), "curl -N ")
	require.True(t, found, string(buf[:n]))
	url, rest, _ := strings.Cut(curl, " -d '")
	body, _, _ := strings.Cut(rest, "'")
	var text string
	require.Eventually(t, func() bool {
		resp, err := http.Post(url, "application/x-www-form-urlencoded", strings.NewReader(body))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		text = string(b)
		return err == nil && resp.StatusCode == 200
	}, 5*time.Second, 20*time.Millisecond)
	assert.Contains(t, text, "tok0")
	assert.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
	self, err := os.FindProcess(os.Getpid())
	require.NoError(t, err)
	require.NoError(t, self.Signal(os.Interrupt))
	assert.Equal(t, 0, <-code)
}

// TestAdmin checks the output of the peers and duties commands, as tables and JSON, and that an admin address on which
// nothing listens gives an error.
func TestAdmin(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/peers":
			io.WriteString(w, `[{"name":"router-a","zone":"z","weight":1,"self":true,"in_sight":true},{"name":"gone","on_roster":true}]`) //nolint:errcheck // a failed write fails the assertions below
		case "/duties":
			io.WriteString(w, `[{"kind":"probe","subject":"e:1","owner":"router-a","epoch":3,"done_s_ago":1.5,"late_s":0.5,"candidates":["router-a","b"]},{"done_s_ago":-1}]`) //nolint:errcheck // a failed write fails the assertions below
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for line, want := range map[string][]string{
		"peers --admin " + address:         {"router-a", "gone", "on the roster", "yes"},
		"peers --json --admin " + address:  {`"name": "gone"`},
		"duties --admin " + address:        {"probe", "e:1", "1.50 s ago", "0.50 s", "router-a b", "never"},
		"duties --json --admin " + address: {`"epoch": 3`},
	} {
		r, w, err := os.Pipe()
		require.NoError(t, err)
		stdout := os.Stdout
		os.Stdout = w
		code := run(strings.Fields(line))
		os.Stdout = stdout
		w.Close()
		text, err := io.ReadAll(r)
		require.NoError(t, err)
		assert.Equal(t, 0, code)
		for _, part := range want {
			assert.Contains(t, string(text), part, line)
		}
	}
	assert.Equal(t, 1, run([]string{"peers", "--admin", "127.0.0.1:1"}))
}
