package loopback

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const childEnv = "CHERRYHUB_TEST_PORTS"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	for range 50 {
		fmt.Println(FreeAddress("127.0.0.1"))
	}
	fmt.Scanln() // keeps the port range until standard input is closed
}

// TestProcessesGetDistinctPorts checks that processes that look for ports at the same time never get the same
// port, even though none of them listens yet.
func TestProcessesGetDistinctPorts(t *testing.T) {
	executable, err := os.Executable()
	require.NoError(t, err)
	var outputs []*bufio.Reader
	var stops []func()
	for range 4 {
		cmd := exec.Command(executable)
		cmd.Env = append(os.Environ(), childEnv+"=1")
		stdin, err := cmd.StdinPipe()
		require.NoError(t, err)
		stdout, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		output := bufio.NewReader(stdout)
		outputs = append(outputs, output)
		stops = append(stops, func() {
			stdin.Close()
			rest, err := io.ReadAll(output)
			assert.NoError(t, err)
			assert.Empty(t, rest, "more than 50 lines")
			assert.NoError(t, cmd.Wait())
		})
	}
	seen := map[string]bool{}
	for range 50 {
		a, err := FreeAddress("127.0.0.1")
		require.NoError(t, err)
		assert.False(t, seen[a], "returned twice")
		seen[a] = true
	}
	for _, output := range outputs { // of all, before the first process ends and another one may have its ports
		for range 50 {
			line, err := output.ReadString('\n')
			require.NoError(t, err)
			a, found := strings.CutSuffix(line, " <nil>\n")
			require.True(t, found, line)
			assert.False(t, seen[a], "%s was returned to two processes", a)
			seen[a] = true
		}
	}
	for _, stop := range stops {
		stop()
	}
}
