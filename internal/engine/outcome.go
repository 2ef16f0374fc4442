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

// errorClass says what is known of a call that ended with an error while its caller still wanted it.
type errorClass uint8

const (
	localError    errorClass = iota // nothing was sent, for want of descriptors, ports or buffers here
	notSent                         // the call's last byte was not written: it did not run
	mayHaveRun                      // the connection broke, or the answer ended early, after that
	invalidAnswer                   // an answer came that the protocol does not allow
	closedLocally                   // it was closed here in the middle
)

// outcomes are the outcomes of the classes.
var outcomeByClass = map[errorClass]decide.Outcome{localError: decide.NotSent, notSent: decide.Unreachable, mayHaveRun: decide.Broken,
	invalidAnswer: decide.Errored, closedLocally: decide.Cancelled}

// shortages are the errors of socket and connect that tell of this machine alone.
var localErrors = []error{errConnLimit, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN}

// breaks are the errors of a connection in use that are no net.OpError and no system call's.
var connErrors = []error{io.EOF, io.ErrUnexpectedEOF, io.ErrShortWrite, net.ErrClosed, ErrTruncated}

// transportBreaks are the ends of net/http's own words for a connection that broke: it exports no error for them.
var transportErrorTexts = []string{"server closed idle connection", "transport connection broken: EOF"}

// classOf is the class of an error. sent: some of the call was written (net/http), or all of it (a client that knows).
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
	case errors.Is(err, context.Canceled): // a stream that was closed here in the middle
		return closedLocally
	}
	return invalidAnswer // such as a header that is too long, or no HTTP at all
}

// OutcomeOf is the outcome of a call that ended with an error. What its caller ended before it was sent has not run.
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

// isLocal tells whether a dial failed for want of something here: no fault of the engine.
func isLocalError(err error) bool { return isAny(err, localErrors) }

func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

func isTransportError(err error) bool {
	return slices.ContainsFunc(transportErrorTexts, func(part string) bool { return strings.Contains(err.Error(), part) })
}

// ErrNotAsked is a probe that was not made: nothing was learnt of the engine.
var ErrProbeSkipped = errors.New("not asked")

// ProbeOutcome is the outcome of a probe that ended with err.
func ProbeOutcome(err error) decide.Outcome {
	switch {
	case err == nil:
		return decide.Finished
	case errors.Is(err, context.DeadlineExceeded):
		return decide.TimedOut
	case isLocalError(err), errors.Is(err, ErrProbeSkipped):
		return decide.Finished // nothing was learnt, and the engine is not to blame
	}
	return decide.Unreachable
}
