package door

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cherryhub/internal/admit"
	"cherryhub/internal/crowd"
)

func TestRefusalResponsesAreComplete(t *testing.T) {
	for reason := admit.Reason(1); int(reason) < admit.NumReasons; reason++ {
		response := reason.Response()
		require.NotZero(t, response.Status, reason.String())
		status, problem := crowd.CheckResponse(refusalResponse(admit.Decision{Reason: reason, RetryAfter: 0.2}))
		assert.Equal(t, response.Status, status)
		assert.Empty(t, problem, reason.String())
	}
}

// tcpPair returns a client's connection and the descriptor of its other end.
func tcpPair(t *testing.T) (client net.Conn, fd int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err := ln.Accept()
	require.NoError(t, err)
	f, err := server.(*net.TCPConn).File()
	require.NoError(t, err)
	server.Close()
	fd, err = unix.Dup(int(f.Fd()))
	require.NoError(t, err)
	f.Close()
	require.NoError(t, unix.SetNonblock(fd, true))
	return client, fd
}

// Guards against a refused client that is still sending losing the response: without lingering, the close causes a
// reset.
func TestLingeringDeliversResponse(t *testing.T) {
	queue := newLingerQueue(4, 500*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go queue.run(ctx)
	client, fd := tcpPair(t)
	response := refusalResponse(admit.Decision{Reason: admit.ReasonPoolFull, RetryAfter: 1})
	unix.Write(fd, response)
	unix.Shutdown(fd, unix.SHUT_WR)
	queue.add(fd)
	for range 20 {
		_, err := client.Write(make([]byte, 10000))
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	received, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Equal(t, string(response), string(received))
	client.Close()
	require.Eventually(t, func() bool { queue.mu.Lock(); defer queue.mu.Unlock(); return queue.count == 0 }, 400*time.Millisecond, time.Millisecond, "removed when its client closes")
}

func TestLingeringIsBounded(t *testing.T) {
	queue := newLingerQueue(3, time.Hour)
	var clients []net.Conn
	for range 5 {
		client, fd := tcpPair(t)
		clients = append(clients, client)
		queue.add(fd)
	}
	assert.Equal(t, 3, queue.count)
	for i, c := range clients {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		if i < 2 {
			assert.ErrorIs(t, err, io.EOF, "the oldest are closed")
		} else {
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
	}
	queue.poll(time.Now().Add(2 * time.Hour))
	assert.Zero(t, queue.count)
	queue.closeAll()
}

func TestWatchFiles(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	write := func(file, text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(first, "1")
	write(second, "1")
	var changed atomic.Int32
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go WatchFiles(ctx, []string{first, second}, 20*time.Millisecond, func() { changed.Add(1) })
	time.Sleep(100 * time.Millisecond)
	assert.Zero(t, changed.Load())
	write(first, "22")
	time.Sleep(5 * time.Millisecond)
	write(second, "22")
	require.Eventually(t, func() bool { return changed.Load() > 0 }, time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	assert.LessOrEqual(t, changed.Load(), int32(2), "at most two calls for both changes")
	require.NoError(t, os.Remove(first))
	require.Eventually(t, func() bool { return changed.Load() > 1 }, time.Second, time.Millisecond, "a removed file is a change too")
}

func TestSpareDescriptorsAreReopened(t *testing.T) {
	spares, err := newSpareDescriptors()
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	defer f.Close()
	require.NoError(t, unix.SetNonblock(int(f.Fd()), true))
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.Eventually(t, func() bool { return spares.refuse(int(f.Fd())) }, time.Second, time.Millisecond)
	received, err := io.ReadAll(client)
	require.NoError(t, err)
	status, problem := crowd.CheckResponse(received)
	assert.Equal(t, 503, status)
	assert.Empty(t, problem)
	assert.Len(t, spares.files, spareDescriptorCount)
	assert.NoError(t, spares.close())
}
