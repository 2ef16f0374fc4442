package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"

	"cherryhub/decide"
)

// TestErrorClasses checks the outcome for each system call error during dial, before and after the last byte of the call.
func TestErrorClasses(t *testing.T) {
	syscallError := func(op, call string, errno syscall.Errno) error {
		return fmt.Errorf("dispatch: %w", &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(call, errno)})
	}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		for _, call := range []string{"socket", "connect"} {
			err := syscallError("dial", call, errno)
			assert.Equal(t, decide.NotSent, OutcomeOf(t.Context(), err, false), "%v", err)
			assert.Equal(t, decide.Finished, ProbeOutcome(err), "%v: says nothing about the engine", err)
		}
	}
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET} {
		err := syscallError("dial", "connect", errno)
		assert.Equal(t, decide.Unreachable, OutcomeOf(t.Context(), err, false), "%v", err)
		assert.Equal(t, decide.Unreachable, ProbeOutcome(err), "%v", err)
	}
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENOBUFS, syscall.EIO} {
		for op, call := range map[string]string{"read": "read", "write": "write"} {
			err := syscallError(op, call, errno)
			assert.Equal(t, decide.Broken, OutcomeOf(t.Context(), err, true), "%v after the last byte", err)
			assert.Equal(t, decide.Unreachable, OutcomeOf(t.Context(), err, false), "%v before the last byte", err)
		}
		assert.Equal(t, decide.Broken, OutcomeOf(t.Context(), errno, true), "%v without a net.OpError", errno)
	}
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, ErrTruncated} {
		assert.Equal(t, decide.Broken, OutcomeOf(t.Context(), err, true), "%v", err)
		assert.Equal(t, decide.Unreachable, OutcomeOf(t.Context(), err, false), "%v", err)
	}
	assert.Equal(t, decide.Errored, OutcomeOf(t.Context(), fmt.Errorf("x: %w", ErrMalformed), true))
}

// A call that its caller cancelled before it was sent did not run, whatever the cause. After that it may have run.
func TestCancelledByCaller(t *testing.T) {
	for cause, want := range map[error]struct{ before, after decide.Outcome }{
		ErrCancelled: {decide.NotSent, decide.Cancelled}, ErrTimedOut: {decide.NotSent, decide.TimedOut}, ErrStreamIdle: {decide.NotSent, decide.TimedOut},
		ErrNotConnected: {decide.Unreachable, decide.Cancelled}, errors.New("other"): {decide.NotSent, decide.Cancelled},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		assert.Equal(t, want.before, OutcomeOf(ctx, net.ErrClosed, false), "%v", cause)
		assert.Equal(t, want.after, OutcomeOf(ctx, net.ErrClosed, true), "%v", cause)
	}
}
