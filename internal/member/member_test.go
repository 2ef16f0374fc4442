package member

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/duty"
	"cherryhub/internal/loopback"
)

func startGroup(t *testing.T, name string, seeds ...string) (g *Group, address string) {
	address, err := loopback.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	g, err = Start(t.Context(), Options{Self: duty.Member{Name: name, Incarnation: 1, Zone: "a", Weight: 1}, Listen: address, Seeds: seeds,
		KeyHex: "00112233445566778899aabbccddeeff", OnMembers: func([]duty.Member) {}, OnMessage: func([]byte) {}, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	t.Cleanup(func() { g.list.Shutdown() }) //nolint:errcheck // a test
	return g, address
}

// TestSendDuringUpdates guards against a data race with memberlist, which writes to its nodes when news of them comes, such as that
// a suspected one lives: nodes were read meanwhile to send to them. It needs the race detector.
func TestSendDuringUpdates(t *testing.T) {
	const duration = 500 * time.Millisecond
	first, address := startGroup(t, "first")
	second, _ := startGroup(t, "second", address)
	require.Eventually(t, func() bool { return len(first.liveNodes()) == 2 && len(second.liveNodes()) == 2 }, 5*time.Second, time.Millisecond)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				second.list.UpdateNode(duration) //nolint:errcheck // too little time is no fault
			}
		}
	}()
	for until := time.Now().Add(duration); time.Now().Before(until); {
		require.NoError(t, first.Broadcast([]byte("short")))
		first.missingSeeds()
	}
	close(stop)
	<-stopped
}
