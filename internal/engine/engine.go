// Package engine speaks the engines' protocol: the two-phase chat call of vLLM (a read with max_tokens 1 and
// kv_transfer_params that ask for remote decode; a write that carries the answer's kv_transfer_params and
// streams), load reports in endpoint-load-metrics headers (ORCA) and in /metrics (Prometheus text). Calls for
// releasing a state and holding a place are cherryhub's own. It gives each end of a dispatch its
// decide.Outcome (docs/outcomes.md) and decides nothing else. internal/edge calls it.
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
)

// Causes with which a caller ends a dispatch's context.
var (
	ErrCancelled    = errors.New("cancelled")
	ErrTimedOut     = errors.New("timed out")
	ErrStreamIdle   = errors.New("no token within the stream's idle time")
	ErrNotConnected = errors.New("not connected while the state may be held") // of one whose last byte was not written
)

// ErrMalformed is an answer that the protocol doesn't allow.
var ErrMalformed = errors.New("malformed answer")

// ErrTruncated is a stream that ended before its final event.
var ErrTruncated = errors.New("stream ended before [DONE]")

// Dial makes a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Options of a client. All must be given but SourceAddress, MaxConns and Dial.
type Options struct {
	ConnectTimeout    time.Duration
	ProbeTimeout      time.Duration
	IdleConnTimeout   time.Duration // an unused connection is kept so long
	StreamIdleTimeout time.Duration // the longest time between two tokens
	MaxEventBytes     int           // of one event of a stream, of a read's answer and of an error's body
	SourceAddress     string        // dial from this address, empty for any
	MaxConns          int           // open at once to all engines, 0 for no bound
	LoadMetrics       LoadMetrics   // where load reports are found
	Dial              Dial          // in place of TCP from SourceAddress, nil for that
}

// Client makes dispatches. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	dialer  *Dialer // nil where there is no bound
}

// maxHeaderBytes bounds an engine's answer header.
const maxHeaderBytes = 64 << 10

// NewClient makes a client of net/http's transport and not of Hertz's client, which can't end a call that
// waits for its header when the context ends.
func NewClient(options Options) (*Client, error) {
	netDialer := &net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: 15 * time.Second}
	if options.SourceAddress != "" {
		ip := net.ParseIP(options.SourceAddress)
		if ip == nil {
			return nil, fmt.Errorf("engine client: source address %q is no IP address", options.SourceAddress)
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
			return &pooledCopyConn{conn, buffers}, nil
		}, DisableCompression: true, MaxIdleConnsPerHost: 512,
			IdleConnTimeout: options.IdleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// bodyConn is a connection that copies a call's body by a buffer of its client's: TCP's own way takes a new one of the body's
// size for each call.
type pooledCopyConn struct {
	net.Conn
	buffers *sync.Pool
}

// copyBytes is the size of such a buffer: most bodies go in one piece.
const copyBufferBytes = 32 << 10

// ReadFrom is of io.ReaderFrom.
func (c *pooledCopyConn) ReadFrom(r io.Reader) (int64, error) {
	buf := c.buffers.Get().(*[]byte) //nolint:forcetypeassert // of New
	defer c.buffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c.Conn}, r, *buf)
}

// Close drops idle connections. Dispatches that run go on.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	if c.dialer != nil {
		c.dialer.Close()
	}
}

// Sent tells how a call was written.
type ConnInfo struct {
	Number     uint64    // the connection's number at its client
	LastActive time.Time // when the connection was last seen to work: an answer came on it, or it came up where the engine must not be probed
}

// Call is one dispatch.
type Call struct {
	Address        string        // host:port
	ID             string        // X-Request-Id: names the dispatch, and the state that a read leaves
	IdempotencyKey string        // Idempotency-Key, empty for none
	CheckAfter     time.Duration // a connection on which no answer came within this time is checked first, 0 for never
	TraceParent    string        // traceparent, empty for none
	Target         string        // of the call, empty for the chat call's own
	Body           []byte
	Deadline       time.Time              // the client waits no longer for the first token; what is told of it is told when it is written
	OnSent         func(ConnInfo)         // is called once the last byte is written, nil for none
	OnReport       func(report []float64) // is called with a report in the header, nil for none
}

// Result is how a dispatch, or its beginning, ended.
type Result struct {
	Outcome      decide.Outcome
	Answered     bool      // the completion has its answer: Status and Body are the client's
	CachedTokens float64   // prompt tokens found kept; with Full, 1 if there was no state to fetch
	Report       []float64 // a load report that came at the end
	State        []byte    // of a read: kv_transfer_params
	Status       int       // HTTP status, 0 for none
	Body         []byte    // with Done: the engine's word for what is wrong with the completion
	Err          error     // what happened, nil if all went well
}

// post sends a chat call. The body can't be read again (no GetBody): net/http would otherwise repeat a call
// that carries an Idempotency-Key by itself when the connection breaks, which is for the planner to decide.
func (c *Client) post(ctx context.Context, call *Call) (*http.Response, *Result) {
	var wrote atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
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
		return nil, &Result{Outcome: OutcomeOf(ctx, err, wrote.Load()), Err: fmt.Errorf("dispatch to %s: %w", call.Address, err)}
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

// statusResult is what an error status means. A 400, 413 or 422 is an answer to the client: the completion is
// at fault, no engine would take it, and it says nothing of the engine's health.
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

// Read has a reader read the prompt and hold its state.
func (c *Client) Read(ctx context.Context, call *Call) *Result {
	resp, failed := c.post(ctx, call)
	if failed != nil {
		return failed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.options.MaxEventBytes)+1))
	if err == nil && len(body) > c.options.MaxEventBytes {
		err = fmt.Errorf("%w: over %d bytes", ErrMalformed, c.options.MaxEventBytes)
	}
	if err == nil && !gjson.ValidBytes(body) {
		err = fmt.Errorf("%w: no JSON", ErrMalformed)
	}
	state := gjson.GetBytes(body, "kv_transfer_params")
	if err == nil && !state.IsObject() {
		err = fmt.Errorf("%w: a read without kv_transfer_params", ErrMalformed)
	}
	if err != nil {
		return &Result{Outcome: OutcomeOf(ctx, err, true), Status: resp.StatusCode, Err: fmt.Errorf("read at %s: %w", call.Address, err)}
	}
	return &Result{Outcome: decide.Read, Status: resp.StatusCode, State: []byte(state.Raw),
		CachedTokens: gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Float()}
}

// Release has an engine drop the state, or the place, that it holds under a dispatch's id. The call is
// cherryhub's own. Dropping what isn't held is no error.
func (c *Client) Release(ctx context.Context, address, id string) error {
	return c.control(ctx, http.MethodDelete, address, "/v1/kv_states/"+id, nil, nil)
}

// Hold asks a writer for a place for a completion of so many prompt tokens; the call is cherryhub's own. The
// writer drops the place by itself after the lease: it may grant it long after the call was given up, when it had
// stood still, and no release that came before would find it.
func (c *Client) Reserve(ctx context.Context, address, id string, tokens float64, lease time.Duration) (held bool, err error) {
	body := fmt.Appendf(nil, `{"id":%q,"prompt_tokens":%.0f,"lease_ms":%d}`, id, tokens, lease.Milliseconds())
	err = c.control(ctx, http.MethodPost, address, "/v1/kv_places", body, func(answer []byte) error {
		held = gjson.GetBytes(answer, "held").Bool()
		return nil
	})
	return held, err
}

// Probe asks an engine for its figures.
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

// maxSmall bounds the answer of a call that is no completion.
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
