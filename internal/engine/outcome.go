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
	localShortage errorClass = iota // nothing was sent, for want of descriptors, ports or buffers here
	nothingSent                     // the call's last byte was not written: it did not run
	mayHaveRun                      // the connection broke, or the answer ended early, after that
	badAnswer                       // an answer came that the protocol does not allow
	givenUp                         // it was closed here in the middle
)

// outcomes are the outcomes of the classes.
var outcomes = map[errorClass]decide.Outcome{localShortage: decide.NotSent, nothingSent: decide.Unreachable, mayHaveRun: decide.Broken,
	badAnswer: decide.Errored, givenUp: decide.Cancelled}

// shortages are the errors of socket and connect that tell of this machine alone.
var shortages = []error{errNoConns, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN}

// breaks are the errors of a connection in use that are no net.OpError and no system call's.
var breaks = []error{io.EOF, io.ErrUnexpectedEOF, io.ErrShortWrite, net.ErrClosed, ErrTruncated}

// transportBreaks are the ends of net/http's own words for a connection that broke: it exports no error for them.
var transportBreaks = []string{"server closed idle connection", "transport connection broken: EOF"}

// classOf is the class of an error. sent: some of the call was written (net/http), or all of it (a client that knows).
func classOf(err error, sent bool) errorClass {
	var op *net.OpError
	var number syscall.Errno
	isOp, isNumber := errors.As(err, &op), errors.As(err, &number)
	dialed := isOp && op.Op == "dial" || errors.Is(err, errNoConns)
	switch {
	case errors.Is(err, ErrMalformed):
		return badAnswer
	case dialed && isLocal(err):
		return localShortage
	case dialed, !sent:
		return nothingSent
	case isAny(err, breaks), isOp, isNumber, endsAsTransport(err):
		return mayHaveRun
	case errors.Is(err, context.Canceled): // a stream that was closed here in the middle
		return givenUp
	}
	return badAnswer // such as a header that is too long, or no HTTP at all
}

// OutcomeOf is the outcome of a call that ended with an error. What its caller ended before it was sent has not run.
func OutcomeOf(ctx context.Context, err error, sent bool) decide.Outcome {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return outcomes[classOf(err, sent)]
	case !sent && errors.Is(cause, ErrHeld):
		return decide.Unreachable
	case !sent:
		return decide.NotSent
	case errors.Is(cause, ErrTimedOut), errors.Is(cause, ErrIdle), errors.Is(cause, context.DeadlineExceeded):
		return decide.TimedOut
	}
	return decide.Cancelled
}

// isLocal tells whether a dial failed for want of something here: no fault of the engine.
func isLocal(err error) bool { return isAny(err, shortages) }

func isAny(err error, of []error) bool {
	return slices.ContainsFunc(of, func(one error) bool { return errors.Is(err, one) })
}

func endsAsTransport(err error) bool {
	return slices.ContainsFunc(transportBreaks, func(words string) bool { return strings.Contains(err.Error(), words) })
}

// ErrNotAsked is a probe that was not made: nothing was learnt of the engine.
var ErrNotAsked = errors.New("not asked")

// ProbeOutcome is the outcome of a probe that ended with err.
func ProbeOutcome(err error) decide.Outcome {
	switch {
	case err == nil:
		return decide.Finished
	case errors.Is(err, context.DeadlineExceeded):
		return decide.TimedOut
	case isLocal(err), errors.Is(err, ErrNotAsked):
		return decide.Finished // nothing was learnt, and the engine is not to blame
	}
	return decide.Unreachable
}
