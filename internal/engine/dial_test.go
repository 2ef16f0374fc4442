package engine

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cherryhub/decide"
)

func TestDialerConnLimit(t *testing.T) {
	closedIdle := 0
	d := NewDialer(2, func(context.Context, string, string) (net.Conn, error) { a, _ := net.Pipe(); return a, nil }, func() { closedIdle++ })
	defer d.Close()
	first, err := d.Dial(t.Context(), "tcp", "x")
	require.NoError(t, err)
	_, err = d.Dial(t.Context(), "tcp", "x")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = d.Dial(ctx, "tcp", "x")
	require.ErrorIs(t, err, errConnLimit)
	assert.Equal(t, 1, closedIdle, "idle connections were closed")
	assert.Equal(t, decide.NotSent, OutcomeOf(t.Context(), err, false), "not the engine's fault")
	assert.Equal(t, decide.Finished, ProbeOutcome(err))
	time.AfterFunc(20*time.Millisecond, func() { first.Close(); first.Close() })
	_, err = d.Dial(t.Context(), "tcp", "x")
	assert.NoError(t, err, "a slot became free")
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = d.Dial(ctx, "tcp", "x")
	assert.ErrorIs(t, err, errConnLimit, "closing twice frees one slot")
}

func TestSpareDescriptorIsUsedForDial(t *testing.T) {
	dials, closedIdle := 0, 0
	var d *Dialer
	d = NewDialer(4, func(context.Context, string, string) (net.Conn, error) {
		dials++
		if d.spare != nil {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		a, _ := net.Pipe()
		return a, nil
	}, func() { closedIdle++ })
	defer d.Close()
	_, err := d.Dial(t.Context(), "tcp", "x")
	require.NoError(t, err)
	assert.Equal(t, 2, dials)
	assert.Zero(t, closedIdle, "connections to engines that hold state stay open")
	assert.NotNil(t, d.spare, "the spare is open again")
}

// A connection that is closed after its client must not open a spare descriptor, which would never be closed.
func TestSpareStaysClosedAfterClose(t *testing.T) {
	d := NewDialer(4, func(context.Context, string, string) (net.Conn, error) { a, _ := net.Pipe(); return a, nil }, func() {})
	conn, err := d.Dial(t.Context(), "tcp", "x")
	require.NoError(t, err)
	d.Close()
	require.NoError(t, conn.Close())
	assert.Nil(t, d.spare)
	_, err = d.Dial(t.Context(), "tcp", "x")
	require.NoError(t, err, "a release at shutdown is still sent")
	assert.Nil(t, d.spare)
}
