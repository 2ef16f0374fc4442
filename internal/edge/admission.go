package edge

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"cherryhub/internal/admit"
	"cherryhub/internal/engine"
)

// tenantContextKey is the key under which the tenant found by admission is stored in the request context.
const tenantContextKey = "tenant"

// admitRequest asks the admission listener to admit a request when only its header has been read.
func (e *Edge) admitRequest(ctx context.Context, rc *app.RequestContext) {
	remoteAddr := rc.GetConn().RemoteAddr()
	tenant, decision := e.options.AdmissionListener.BeginRequest(remoteAddr, bearerToken(rc))
	defer e.options.AdmissionListener.EndRequest(remoteAddr)
	if !decision.Admitted() {
		setRetryAfter(rc, decision.RetryAfter)
		e.options.Observer.Refused(decision.Reason.Response().Status)
		e.writeErrorAndClose(rc, admissionError(decision), refusedLingerTimeout)
		rc.Abort()
		return
	}
	if e.options.AdmissionListener.ShouldClose(remoteAddr) { // must be set before a stream's header is written
		rc.SetConnectionClose()
	}
	if e.options.AdmissionListener.UsesTLS() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		e.options.AdmissionListener.OnDisconnect(remoteAddr, func() { cancel(engine.ErrCancelled) })
	}
	rc.Set(tenantContextKey, tenant)
	rc.Next(ctx)
	if e.stopping.Load() || e.options.AdmissionListener.ShouldClose(remoteAddr) { // a client with a persistent connection has to reconnect elsewhere
		rc.SetConnectionClose()
	}
}

// refusedLingerTimeout is short because a refused connection still occupies a connection slot.
const refusedLingerTimeout = 100 * time.Millisecond

func admissionError(d admit.Decision) *apiError {
	resp := d.Reason.Response()
	return &apiError{status: resp.Status, errType: resp.Type, code: resp.Code, message: resp.Message}
}

func bearerToken(rc *app.RequestContext) string {
	key, ok := strings.CutPrefix(string(rc.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// requestTenant returns the tenant found by admission, or else the one of the API key.
func (e *Edge) requestTenant(rc *app.RequestContext) (int, *apiError) {
	if e.options.AdmissionListener != nil {
		if t := rc.GetInt(tenantContextKey); t >= 0 {
			return t, nil
		}
	}
	return e.tenantByKey(string(rc.Request.Header.Peek("Authorization")))
}

// checkRetry rejects a rate-limited completion that is retried before its retry-after has passed, without asking
// the planner. It returns a key hashed from the sender and the content, so that other completions of the same
// client are not affected.
func (e *Edge) checkRetry(rc *app.RequestContext, body []byte) (uint64, *apiError) {
	if e.options.AdmissionListener == nil {
		return 0, nil
	}
	var h xxhash.Digest
	h.Reset()
	h.Write(rc.Request.Header.Peek("Authorization"))   //nolint:errcheck // never fails
	h.Write([]byte{0})                                 //nolint:errcheck // as above
	h.Write(rc.Request.Header.Peek("Idempotency-Key")) //nolint:errcheck // as above
	h.Write([]byte{0})                                 //nolint:errcheck // as above
	if host, _, err := net.SplitHostPort(rc.GetConn().RemoteAddr().String()); err == nil {
		h.WriteString(host) //nolint:errcheck // as above
	}
	h.Write(body) //nolint:errcheck // as above
	key := h.Sum64()
	if decision := e.options.AdmissionListener.CheckRetry(key); !decision.Admitted() {
		setRetryAfter(rc, decision.RetryAfter)
		return 0, admissionError(decision)
	}
	return key, nil
}

// recordRateLimit records the retry-after that a completion was given.
func (e *Edge) recordRateLimit(key uint64, retryAfter float64) {
	if e.options.AdmissionListener != nil && retryAfter > 0 {
		e.options.AdmissionListener.RecordRateLimit(key, time.Duration(retryAfter*float64(time.Second)))
	}
}

// admitCompletion asks the admission listener to admit a completion. done has to be called when it ends.
func (e *Edge) admitCompletion(rc *app.RequestContext) (done func(), apiErr *apiError) {
	if e.options.AdmissionListener == nil {
		return func() {}, nil
	}
	done, decision := e.options.AdmissionListener.AdmitCompletion(rc.GetConn().RemoteAddr())
	if !decision.Admitted() {
		setRetryAfter(rc, decision.RetryAfter)
		return nil, admissionError(decision)
	}
	return done, nil
}
