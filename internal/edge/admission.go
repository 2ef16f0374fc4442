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

// knownTenant is the key of a call's tenant in its context, as the door knows it.
const knownTenant = "tenant"

// guard has the door let a call in, before anything of it is read but its header.
func (e *Edge) guard(ctx context.Context, rc *app.RequestContext) {
	from := rc.GetConn().RemoteAddr()
	tenant, v := e.o.AdmissionListener.BeginRequest(from, bearer(rc))
	defer e.o.AdmissionListener.EndRequest(from)
	if !v.Admitted() {
		setComeBack(rc, v.RetryAfter)
		e.o.Observer.Refused(v.Reason.Response().Status)
		e.hangUp(rc, refusedBy(v), lingerRefused)
		rc.Abort()
		return
	}
	if e.o.AdmissionListener.ShouldClose(from) { // before a stream's header is written
		rc.SetConnectionClose()
	}
	if e.o.AdmissionListener.UsesTLS() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		e.o.AdmissionListener.OnDisconnect(from, func() { cancel(engine.ErrCancelled) })
	}
	rc.Set(knownTenant, tenant)
	rc.Next(ctx)
	if e.ending.Load() || e.o.AdmissionListener.ShouldClose(from) { // so that a client that keeps its connection goes elsewhere
		rc.SetConnectionClose()
	}
}

// lingerRefused is short: the place is wanted.
const lingerRefused = 100 * time.Millisecond

func refusedBy(v admit.Decision) *apiError {
	a := v.Reason.Response()
	return &apiError{status: a.Status, kind: a.Type, code: a.Code, message: a.Message}
}

func bearer(rc *app.RequestContext) string {
	key, given := strings.CutPrefix(string(rc.Request.Header.Peek("Authorization")), "Bearer ")
	if !given {
		return ""
	}
	return key
}

// tenant is who calls: as admission knows it, else by its key.
func (e *Edge) tenant(rc *app.RequestContext) (int, *apiError) {
	if e.o.AdmissionListener != nil {
		if t := rc.GetInt(knownTenant); t >= 0 {
			return t, nil
		}
	}
	return e.tenantOf(string(rc.Request.Header.Peek("Authorization")))
}

// early answers a completion that was rate-limited and comes back before its time, without asking the planner.
// It is known by who sends it and by its content, so another completion of the same client is not judged by it.
func (e *Edge) early(rc *app.RequestContext, body []byte) (uint64, *apiError) {
	if e.o.AdmissionListener == nil {
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
	if v := e.o.AdmissionListener.CheckRetry(key); !v.Admitted() {
		setComeBack(rc, v.RetryAfter)
		return 0, refusedBy(v)
	}
	return key, nil
}

// rateLimited remembers what a completion was told.
func (e *Edge) rateLimited(key uint64, comeBack float64) {
	if e.o.AdmissionListener != nil && comeBack > 0 {
		e.o.AdmissionListener.RecordRateLimit(key, time.Duration(comeBack*float64(time.Second)))
	}
}

// take has the door let a completion in.
func (e *Edge) take(rc *app.RequestContext) (over func(), bad *apiError) {
	if e.o.AdmissionListener == nil {
		return func() {}, nil
	}
	over, v := e.o.AdmissionListener.AdmitCompletion(rc.GetConn().RemoteAddr())
	if !v.Admitted() {
		setComeBack(rc, v.RetryAfter)
		return nil, refusedBy(v)
	}
	return over, nil
}
