package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"

	"cherryhub/decide"
)

// errorClass classifies the error of a call that its caller did not cancel.
type errorClass uint8

const (
	localError    errorClass = iota // nothing was sent: this machine lacked descriptors, ports or buffers
	notSent                         // the last byte of the call was not written, so it did not run
	mayHaveRun                      // the connection broke or the answer ended early after the call was written
	invalidAnswer                   // the answer violates the protocol
	closedLocally                   // the stream was closed by the router before its end
)

// outcomeByClass maps each error class to an outcome.
var outcomeByClass = map[errorClass]decide.Outcome{localError: decide.NotSent, notSent: decide.Unreachable, mayHaveRun: decide.Broken,
	invalidAnswer: decide.Errored, closedLocally: decide.Cancelled}

// localErrors are errors of socket and connect whose cause is on this machine.
var localErrors = []error{errConnLimit, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN}

// connErrors are errors of an open connection that are neither net.OpError nor syscall.Errno.
var connErrors = []error{io.EOF, io.ErrUnexpectedEOF, io.ErrShortWrite, net.ErrClosed, ErrTruncated}

// transportErrorTexts are parts of net/http's messages for a broken connection, for which it exports no error values.
var transportErrorTexts = []string{"server closed idle connection", "transport connection broken: EOF"}

// classify returns the class of an error. sent says that the call was written: at least in part with net/http, in full with a
// client that can tell.
func classify(err error, sent bool) errorClass {
	var op *net.OpError
	var errno syscall.Errno
	isOp, isErrno := errors.As(err, &op), errors.As(err, &errno)
	dialed := isOp && op.Op == "dial" || errors.Is(err, errConnLimit)
	switch {
	case errors.Is(err, ErrMalformed):
		return invalidAnswer
	case dialed && isLocalError(err):
		return localError
	case dialed, !sent:
		return notSent
	case isAny(err, connErrors), isOp, isErrno, isTransportError(err):
		return mayHaveRun
	case errors.Is(err, context.Canceled): // a stream that the router closed before its end
		return closedLocally
	}
	return invalidAnswer // such as a header that is too long, or an answer that is not HTTP
}

// OutcomeOf returns the outcome of a call that ended with an error. A call that its caller cancelled before it was sent did not
// run.
func OutcomeOf(ctx context.Context, err error, sent bool) decide.Outcome {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return outcomeByClass[classify(err, sent)]
	case !sent && errors.Is(cause, ErrNotConnected):
		return decide.Unreachable
	case !sent:
		return decide.NotSent
	case errors.Is(cause, ErrTimedOut), errors.Is(cause, ErrStreamIdle), errors.Is(cause, context.DeadlineExceeded):
		return decide.TimedOut
	}
	return decide.Cancelled
}

// isLocalError reports whether a dial failed for lack of resources on this machine, which is no fault of the engine.
func isLocalError(err error) bool { return isAny(err, localErrors) }

func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

func isTransportError(err error) bool {
	return slices.ContainsFunc(transportErrorTexts, func(part string) bool { return strings.Contains(err.Error(), part) })
}

// ErrProbeSkipped means that no probe was made, so nothing is known about the engine.
var ErrProbeSkipped = errors.New("probe skipped")

// ProbeOutcome returns the outcome of a probe that ended with err.
func ProbeOutcome(err error) decide.Outcome {
	switch {
	case err == nil:
		return decide.Finished
	case errors.Is(err, context.DeadlineExceeded):
		return decide.TimedOut
	case isLocalError(err), errors.Is(err, ErrProbeSkipped):
		return decide.Finished // nothing is known about the engine, and it is not at fault
	}
	return decide.Unreachable
}
