package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const asOther = "CHERRYHUB_TEST_PORTS"

func TestMain(m *testing.M) {
	if os.Getenv(asOther) == "" {
		os.Exit(m.Run())
	}
	for range 50 {
		fmt.Println(FreeAddress("127.0.0.1"))
	}
	fmt.Scanln() // it keeps its stretch until it is told to end
}

// Two processes that look for ports at once are never given the same, though neither listens yet.
func TestNoTwoProcessesGetThePort(t *testing.T) {
	self, err := os.Executable()
	require.NoError(t, err)
	var outs []*strings.Builder
	var ends []func()
	for range 4 {
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), asOther+"=1")
		in, err := cmd.StdinPipe()
		require.NoError(t, err)
		out := &strings.Builder{}
		cmd.Stdout = out
		require.NoError(t, cmd.Start())
		outs, ends = append(outs, out), append(ends, func() { in.Close(); assert.NoError(t, cmd.Wait()) })
	}
	seen := map[string]bool{}
	for range 50 {
		a, err := FreeAddress("127.0.0.1")
		require.NoError(t, err)
		assert.False(t, seen[a], "handed out twice")
		seen[a] = true
	}
	for i, end := range ends {
		end()
		lines := strings.Fields(strings.ReplaceAll(outs[i].String(), "<nil>", ""))
		require.Len(t, lines, 50)
		for _, a := range lines {
			assert.False(t, seen[a], "%s is another's", a)
			seen[a] = true
		}
	}
}
