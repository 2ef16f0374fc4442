// Package engine is a client for the engines' protocol: the two-phase chat call of vLLM (a read with max_tokens 1 and
// kv_transfer_params that request remote decode; a write that passes on the kv_transfer_params of the read's answer and
// streams), and load reports in endpoint-load-metrics headers (ORCA) and from /metrics (Prometheus text format). The calls that
// release state and reserve KV cache space are extensions of this project. The package maps the end of each dispatch to a
// decide.Outcome (docs/outcomes.md) and takes no other decision. It is used by internal/edge.
package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"cherryhub/decide"
	"cherryhub/internal/boundedjson"
)

// Causes with which a caller cancels a dispatch's context.
var (
	ErrCancelled    = errors.New("cancelled")
	ErrTimedOut     = errors.New("timed out")
	ErrStreamIdle   = errors.New("no token within the stream idle timeout")
	ErrNotConnected = errors.New("not sent before the held state is released") // the call was not written in full
)

// ErrMalformed means that an answer violates the protocol.
var ErrMalformed = errors.New("malformed answer")

// ErrTruncated means that a stream ended before its final event.
var ErrTruncated = errors.New("stream ended before [DONE]")

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a client. All fields but SourceAddress, MaxConns and Dial are required.
type Options struct {
	ConnectTimeout    time.Duration
	ProbeTimeout      time.Duration
	IdleConnTimeout   time.Duration // idle connections are closed after this time
	StreamIdleTimeout time.Duration // maximum time between two tokens
	MaxEventBytes     int           // maximum size of a stream event, of the answer to a read and of an error body
	SourceAddress     string        // local address to dial from, empty for any
	MaxConns          int           // maximum number of open connections to all engines together, 0 for no limit
	LoadMetrics       LoadMetrics   // sources of the values in a load report
	Dial              Dial          // replaces TCP from SourceAddress, nil for that
}

// Client dispatches calls to engines. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	dialer  *Dialer // nil if the connections are not limited
	ready   readyEngines
}

// maxHeaderBytes limits the header of an engine's answer.
const maxHeaderBytes = 64 << 10

// NewClient creates a client. It is based on net/http because Hertz's client does not end a call that waits for its header when
// the call's context is cancelled.
func NewClient(options Options) (*Client, error) {
	netDialer := &net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: 15 * time.Second}
	if options.SourceAddress != "" {
		ip := net.ParseIP(options.SourceAddress)
		if ip == nil {
			return nil, fmt.Errorf("engine client: source address %q is not an IP address", options.SourceAddress)
		}
		netDialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	c := &Client{options: options}
	dial := netDialer.DialContext
	if options.Dial != nil {
		dial = options.Dial
	}
	if options.MaxConns > 0 {
		c.dialer = NewDialer(options.MaxConns, dial, func() { c.http.CloseIdleConnections() })
		dial = c.dialer.Dial
	}
	buffers := &sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}
	c.http = &http.Client{
		Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &engineConn{Conn: conn, buffers: buffers}, nil
		}, DisableCompression: true, MaxIdleConnsPerHost: 512,
			IdleConnTimeout: options.IdleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// engineConn is a connection that copies request bodies through pooled buffers. The ReadFrom of net.TCPConn allocates a
// buffer of the body's size for each call.
type engineConn struct {
	net.Conn
	buffers     *sync.Pool
	beforeWrite func() error // called once before the next write, which fails with its error; nil for none
}

// Write implements io.Writer.
func (c *engineConn) Write(b []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *engineConn) check() error {
	check := c.beforeWrite
	if check == nil {
		return nil
	}
	c.beforeWrite = nil
	return check()
}

// copyBufferBytes is the size of a pooled buffer. Most bodies fit into one.
const copyBufferBytes = 32 << 10

// ReadFrom implements io.ReaderFrom.
func (c *engineConn) ReadFrom(r io.Reader) (int64, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	buf := c.buffers.Get().(*[]byte) //nolint:forcetypeassert // the pool holds nothing else
	defer c.buffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c.Conn}, r, *buf)
}

// Close closes idle connections. Running dispatches continue.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	if c.dialer != nil {
		c.dialer.Close()
	}
}

// ConnInfo describes the connection on which a call was sent.
type ConnInfo struct {
	Number     uint64    // counted per client
	LastActive time.Time // when the last answer came; without one, if probes are not allowed, when the connection was established
}

// Call is a dispatch to be made.
type Call struct {
	Address        string        // host:port
	ID             string        // X-Request-Id: identifies the dispatch, and the state that a read leaves
	IdempotencyKey string        // Idempotency-Key, empty for none
	CheckAfter     time.Duration // a connection without an answer for this long is probed before use, 0 for never
	TraceParent    string        // traceparent, empty for none
	Target         string        // request target, empty for the chat call's default
	Body           []byte
	Deadline       time.Time              // when the client stops waiting for the first token; the time left is sent to the engine
	SendBy         time.Time              // before which the last byte must be written, zero for no limit
	OnSent         func(ConnInfo)         // called when the last byte is written, nil for none
	OnReport       func(report []float64) // called with the load report in the answer's header, nil for none
}

// Result describes how a dispatch ended or, for a write, how it failed before its stream began.
type Result struct {
	Outcome      decide.Outcome
	Answered     bool      // the answer is for the client: Status and Body are passed on
	CachedTokens float64   // prompt tokens that were cached; with the outcome Full, 1 if the state to fetch was missing
	Report       []float64 // load report that came at the end
	State        []byte    // of a read: kv_transfer_params
	Status       int       // HTTP status, 0 for none
	Body         []byte    // with Answered: what the engine reports to be wrong with the completion
	Err          error     // nil on success
}

// post sends a chat call. The request has no GetBody, so that net/http cannot replay it: it would retry a call that carries an
// Idempotency-Key when the connection breaks, and retries are the planner's decision.
func (c *Client) post(ctx context.Context, call *Call) (*http.Response, *Result) {
	var wrote atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, c.sendTrace(call, &wrote))
	req, err := http.NewRequestWithContext(traceCtx, http.MethodPost, "http://"+call.Address+"/v1/chat/completions",
		io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return nil, &Result{Outcome: decide.NotSent, Err: fmt.Errorf("dispatch to %s: %w", call.Address, err)}
	}
	req.ContentLength = int64(len(call.Body))
	h := req.Header
	h["Content-Type"] = []string{"application/json"}
	h["X-Request-Id"] = []string{call.ID}
	h["Endpoint-Load-Metrics-Format"] = []string{"TEXT"}
	if call.IdempotencyKey != "" {
		h["Idempotency-Key"] = []string{call.IdempotencyKey}
	}
	if call.TraceParent != "" {
		h["Traceparent"] = []string{call.TraceParent}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r := &Result{Outcome: OutcomeOf(ctx, err, wrote.Load()), Err: fmt.Errorf("dispatch to %s: %w", call.Address, err)}
		if errors.Is(err, errSendTimeOver) || errors.Is(err, errNotReady) {
			r.Outcome = decide.NotSent
		}
		return nil, r
	}
	if call.OnReport != nil {
		if report := c.options.LoadMetrics.parseORCA(resp.Header.Get("Endpoint-Load-Metrics")); report != nil {
			call.OnReport(report)
		}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, int64(c.options.MaxEventBytes)))
	return nil, statusResult(call.Address, resp.StatusCode, body)
}

// statusResult maps an error status to a result. 400, 413 and 422 are passed on to the client: the completion is invalid for
// every engine, and says nothing about this engine's health.
func statusResult(address string, status int, body []byte) *Result {
	r := &Result{Outcome: decide.Errored, Status: status, Err: fmt.Errorf("dispatch to %s: status %d: %.200s", address, status, body)}
	switch status {
	case http.StatusTooManyRequests:
		r.Outcome = decide.Full
	case http.StatusFailedDependency:
		r.Outcome, r.CachedTokens = decide.Full, 1
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		r.Outcome, r.Answered, r.Body = decide.Cancelled, true, body
	}
	return r
}

// Read has a reader run the prefill and hold the resulting state.
func (c *Client) Read(ctx context.Context, call *Call) *Result {
	resp, failed := c.post(ctx, call)
	if failed != nil {
		return failed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.options.MaxEventBytes)+1))
	if err == nil && len(body) > c.options.MaxEventBytes {
		err = fmt.Errorf("%w: answer exceeds %d bytes", ErrMalformed, c.options.MaxEventBytes)
	}
	if err == nil && !boundedjson.Valid(body) {
		err = fmt.Errorf("%w: not JSON of at most %d levels", ErrMalformed, boundedjson.MaxDepth)
	}
	state := gjson.GetBytes(body, "kv_transfer_params")
	if err == nil && !state.IsObject() {
		err = fmt.Errorf("%w: answer to a read has no kv_transfer_params", ErrMalformed)
	}
	if err != nil {
		return &Result{Outcome: OutcomeOf(ctx, err, true), Status: resp.StatusCode, Err: fmt.Errorf("read at %s: %w", call.Address, err)}
	}
	return &Result{Outcome: decide.Read, Status: resp.StatusCode, State: []byte(state.Raw),
		CachedTokens: gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Float()}
}

// Release has an engine drop the state or the reservation that it holds under a dispatch's ID. This call is an extension of
// this project. Releasing what is not held is not an error.
func (c *Client) Release(ctx context.Context, address, id string) error {
	return c.control(ctx, http.MethodDelete, address, "/v1/kv_states/"+id, nil, nil)
}

// Reserve asks a writer to reserve KV cache space for a completion with the given number of prompt tokens. This call is an
// extension of this project. The writer drops the reservation after the lease: a writer that was paused may grant it long after
// the call was given up, when a release sent before has found nothing to drop.
func (c *Client) Reserve(ctx context.Context, address, id string, tokens float64, lease time.Duration) (held bool, err error) {
	body := fmt.Appendf(nil, `{"id":%q,"prompt_tokens":%.0f,"lease_ms":%d}`, id, tokens, lease.Milliseconds())
	err = c.control(ctx, http.MethodPost, address, "/v1/kv_places", body, func(answer []byte) error {
		held = gjson.GetBytes(answer, "held").Bool()
		return nil
	})
	return held, err
}

// Probe fetches an engine's load report.
func (c *Client) Probe(ctx context.Context, address string) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProbeTimeout)
	defer cancel()
	var report []float64
	err := c.control(ctx, http.MethodGet, address, "/metrics", nil, func(answer []byte) (err error) {
		report, err = c.options.LoadMetrics.parsePrometheus(answer)
		return err
	})
	return report, err
}

// maxControlAnswerBytes limits the answer to a call that is not a completion.
const maxControlAnswerBytes = 4 << 20

func (c *Client) control(ctx context.Context, method, address, path string, body []byte, parse func([]byte) error) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	if len(body) > 0 {
		req.Header["Content-Type"] = []string{"application/json"}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxControlAnswerBytes))
	if err == nil && resp.StatusCode/100 != 2 && resp.StatusCode != http.StatusNotFound {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	if err == nil && parse != nil {
		err = parse(answer)
	}
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	return nil
}
