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

func TestEveryRefusalIsWhole(t *testing.T) {
	for r := admit.Reason(1); int(r) < admit.NumReasons; r++ {
		a := r.Response()
		require.NotZero(t, a.Status, r.String())
		status, wrong := crowd.Judge(refusalResponse(admit.Decision{Reason: r, RetryAfter: 0.2}))
		assert.Equal(t, a.Status, status)
		assert.Empty(t, wrong, r.String())
	}
}

// pair is a client's connection and the descriptor of its other end.
func pair(t *testing.T) (client net.Conn, fd int) {
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

// A refused client that is still sending gets its answer: without lingering the close would be a reset.
func TestLingeringKeepsTheAnswer(t *testing.T) {
	l := newLingerQueue(4, 500*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go l.run(ctx)
	client, fd := pair(t)
	text := refusalResponse(admit.Decision{Reason: admit.ReasonPoolFull, RetryAfter: 1})
	unix.Write(fd, text)
	unix.Shutdown(fd, unix.SHUT_WR)
	l.add(fd)
	for range 20 {
		_, err := client.Write(make([]byte, 10000))
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	all, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(all))
	client.Close()
	require.Eventually(t, func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.count == 0 }, 400*time.Millisecond, time.Millisecond, "its client closed")
}

func TestLingeringIsBounded(t *testing.T) {
	l := newLingerQueue(3, time.Hour)
	var clients []net.Conn
	for range 5 {
		client, fd := pair(t)
		clients = append(clients, client)
		l.add(fd)
	}
	assert.Equal(t, 3, l.count)
	for i, c := range clients {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		if i < 2 {
			assert.ErrorIs(t, err, io.EOF, "the oldest went")
		} else {
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
	}
	l.poll(time.Now().Add(2 * time.Hour))
	assert.Zero(t, l.count)
	l.closeAll()
}

func TestFollow(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	put := func(file, text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	put(one, "1")
	put(two, "1")
	var changed atomic.Int32
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go WatchFiles(ctx, []string{one, two}, 20*time.Millisecond, func() { changed.Add(1) })
	time.Sleep(100 * time.Millisecond)
	assert.Zero(t, changed.Load())
	put(one, "22")
	time.Sleep(5 * time.Millisecond)
	put(two, "22")
	require.Eventually(t, func() bool { return changed.Load() > 0 }, time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	assert.LessOrEqual(t, changed.Load(), int32(2), "seldom more than once for both")
	require.NoError(t, os.Remove(one))
	require.Eventually(t, func() bool { return changed.Load() > 1 }, time.Second, time.Millisecond, "one that is gone is a change too")
}

func TestSpareOnesComeBack(t *testing.T) {
	s, err := newSpareDescriptors()
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
	require.Eventually(t, func() bool { return s.refuse(int(f.Fd())) }, time.Second, time.Millisecond)
	all, err := io.ReadAll(client)
	require.NoError(t, err)
	status, wrong := crowd.Judge(all)
	assert.Equal(t, 503, status)
	assert.Empty(t, wrong)
	assert.Len(t, s.files, spareDescriptorCount)
	assert.NoError(t, s.close())
}
