// Package crowd simulates many clients that connect at once: a flood of unknown clients, some of which send nothing, some part of a
// header and some a request, and known clients that stream completions meanwhile. From the bytes received on each socket it checks
// whether refusals are complete and in time. Tests of internal/router and the command "cherryhub crowd" use it; a router never does.
package crowd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Behavior is what a connection of the flood does.
type Behavior int

// Behaviors of the flood's connections.
const (
	SendsRequest Behavior = iota // sends a complete request and reads the answer
	SendsNothing
	SendsPartialHeader // sends the beginning of a header
	behaviorCount
)

func (b Behavior) String() string { return [...]string{"calls", "silent", "half a header"}[b] }

// Options configures a run.
type Options struct {
	Target         string        // host:port
	Model          string        // named in the requests
	FloodAddresses []string      // source addresses of the flood
	FloodConns     int           // concurrent connections of the flood
	Behaviors      []Behavior    // in rotation; empty: all
	Duration       time.Duration // of the flood
	MinConns       int           // the flood goes on until it has tried this many connections, for at most five times Duration
	HangTimeout    time.Duration // after which a connection of the flood counts as hung

	KnownKeys      []string      // API keys of the known clients
	KnownAddresses []string      // their source addresses, in rotation
	KnownDelay     time.Duration // from the start of the flood to their first connections
	KnownPause     time.Duration // between two connections of a known client; 0: one connection each
}

// Outcomes counts how the connections of one behavior ended.
type Outcomes struct {
	Tried    int
	Served   int // with a complete answer other than a refusal
	Refused  int // with a complete refusal: status, Retry-After, Connection: close, OpenAI's error format, then closed
	Closed   int // closed or reset without an answer
	Broken   int // with an answer that is incomplete or invalid
	Hung     int // still open after HangTimeout
	NoDial   int // no connection: no local port, or the listener's queue was full
	ByStatus map[int]int
	Wrong    map[string]int          // number of faults by description, see CheckResponse
	Waits    *hdrhistogram.Histogram // of refused connections, from connected to the first byte, in µs
}

func newOutcomes() *Outcomes {
	return &Outcomes{ByStatus: map[int]int{}, Wrong: map[string]int{}, Waits: hdrhistogram.New(1, 60_000_000, 3)}
}

// KnownClientResult is the result of a known client's attempts to stream one completion.
type KnownClientResult struct {
	Client         int
	Attempts       int           // connections made
	FirstTokenTime time.Duration // from the first dial to the first token
	Err            error         // of the last attempt, nil if it streamed to [DONE]
}

// Report is the result of a run.
type Report struct {
	Flood        map[Behavior]*Outcomes
	KnownClients []KnownClientResult
	Elapsed      time.Duration
}

// Total returns the sum over all behaviors.
func (r *Report) Total() *Outcomes {
	total := newOutcomes()
	for behavior := range behaviorCount {
		outcomes := r.Flood[behavior]
		if outcomes == nil {
			continue
		}
		total.Tried += outcomes.Tried
		total.Served += outcomes.Served
		total.Refused += outcomes.Refused
		total.Closed += outcomes.Closed
		total.Broken += outcomes.Broken
		total.Hung += outcomes.Hung
		total.NoDial += outcomes.NoDial
		for status, n := range outcomes.ByStatus {
			total.ByStatus[status] += n
		}
		for fault, n := range outcomes.Wrong {
			total.Wrong[fault] += n
		}
		total.Waits.Merge(outcomes.Waits)
	}
	return total
}

// KnownFirstTokenTimes returns the times to the first token of the known clients that were served, in µs, and how many were not.
func (r *Report) KnownFirstTokenTimes() (times *hdrhistogram.Histogram, failed int) {
	times = hdrhistogram.New(1, 600_000_000, 3)
	for _, result := range r.KnownClients {
		if result.Err != nil {
			failed++
			continue
		}
		times.RecordValue(result.FirstTokenTime.Microseconds()) //nolint:errcheck // within its range
	}
	return times, failed
}

// Run runs the flood and the known clients until the flood's duration is over.
func Run(ctx context.Context, o Options) *Report {
	if len(o.Behaviors) == 0 {
		o.Behaviors = []Behavior{SendsRequest, SendsNothing, SendsPartialHeader}
	}
	report := &Report{Flood: map[Behavior]*Outcomes{}}
	for behavior := range behaviorCount {
		report.Flood[behavior] = newOutcomes()
	}
	started := time.Now()
	ctx, stop := context.WithTimeout(ctx, 5*o.Duration)
	defer stop()
	var attempted atomic.Int64
	go func() {
		for time.Since(started) < o.Duration || attempted.Load() < int64(o.MinConns) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Millisecond):
			}
		}
		stop()
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range o.FloodConns {
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n += o.FloodConns {
				behavior := o.Behaviors[(n/max(1, len(o.FloodAddresses)))%len(o.Behaviors)]
				result := runFloodConn(ctx, &o, o.FloodAddresses[n%len(o.FloodAddresses)], behavior)
				if ctx.Err() != nil && result.cancelled {
					return // cancelled with the flood: its outcome is unknown
				}
				attempted.Add(1)
				mu.Lock()
				result.addTo(report.Flood[behavior])
				mu.Unlock()
				if result.dialFailed {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-time.After(o.KnownDelay):
	}
	for i, key := range o.KnownKeys {
		wg.Go(func() {
			localAddress := ""
			if len(o.KnownAddresses) > 0 {
				localAddress = o.KnownAddresses[i%len(o.KnownAddresses)]
			}
			for first := true; first || ctx.Err() == nil; first = false {
				result := streamUntilServed(context.WithoutCancel(ctx), &o, i, key, localAddress)
				mu.Lock()
				report.KnownClients = append(report.KnownClients, result)
				mu.Unlock()
				if o.KnownPause == 0 {
					return
				}
				select {
				case <-ctx.Done():
				case <-time.After(o.KnownPause):
				}
			}
		})
	}
	wg.Wait()
	report.Elapsed = time.Since(started)
	return report
}

// connResult is how one connection of the flood ended.
type connResult struct {
	dialFailed, cancelled, hung, reset bool
	response                           []byte
	firstByteTime                      time.Duration
}

const maxResponseBytes = 1 << 20

func newDialer(localAddress string) *net.Dialer {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	if localAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localAddress)}
	}
	return dialer
}

func chatRequest(model, key string) string {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Hello"}]}`, model)
	header := "POST /v1/chat/completions HTTP/1.1\r\nHost: crowd\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if key != "" {
		header += "Authorization: Bearer " + key + "\r\n"
	}
	return header + "\r\n" + body
}

func runFloodConn(ctx context.Context, o *Options, localAddress string, behavior Behavior) (result connResult) {
	conn, err := newDialer(localAddress).DialContext(ctx, "tcp", o.Target)
	if err != nil {
		return connResult{dialFailed: true, cancelled: ctx.Err() != nil}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) }) //nolint:errcheck // the connection is open
	defer stop()
	connectedAt := time.Now()
	conn.SetDeadline(connectedAt.Add(o.HangTimeout)) //nolint:errcheck // as above
	request := chatRequest(o.Model, "")
	switch behavior {
	case SendsRequest:
		io.WriteString(conn, strings.Replace(request, "\r\nHost", "\r\nConnection: close\r\nHost", 1)) //nolint:errcheck // it may have been refused already
	case SendsPartialHeader:
		io.WriteString(conn, request[:20]) //nolint:errcheck // as above
	}
	var buf [4096]byte
	for len(result.response) < maxResponseBytes {
		n, err := conn.Read(buf[:])
		if n > 0 && len(result.response) == 0 {
			result.firstByteTime = time.Since(connectedAt)
		}
		result.response = append(result.response, buf[:n]...)
		var netErr net.Error
		switch {
		case err == nil:
			continue
		case errors.As(err, &netErr) && netErr.Timeout():
			result.cancelled = ctx.Err() != nil
			result.hung = !result.cancelled
		case !errors.Is(err, io.EOF):
			result.reset = true
		}
		return result
	}
	return result
}

func (r connResult) addTo(outcomes *Outcomes) {
	outcomes.Tried++
	switch {
	case r.dialFailed:
		outcomes.NoDial++
		return
	case r.hung:
		outcomes.Hung++
		return
	case len(r.response) == 0:
		outcomes.Closed++ // closed or reset without an answer
		if r.reset {
			outcomes.Wrong["reset without an answer"]++
		}
		return
	}
	status, fault := CheckResponse(r.response)
	outcomes.ByStatus[status]++
	switch {
	case fault != "":
		outcomes.Broken++
		outcomes.Wrong[fault]++
	case status == http.StatusOK:
		outcomes.Served++
	default:
		outcomes.Refused++
		outcomes.Waits.RecordValue(max(1, r.firstByteTime.Microseconds())) //nolint:errcheck // within its range
	}
}

// CheckResponse checks all bytes received on a socket and describes what is wrong with them. It returns "" for exactly one complete answer: a
// stream up to [DONE], or a refusal in OpenAI's error format with Retry-After and Connection: close.
func CheckResponse(response []byte) (status int, fault string) {
	reader := bufio.NewReader(strings.NewReader(string(response)))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "incomplete header"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return resp.StatusCode, "incomplete body"
	case reader.Buffered() > 0:
		return resp.StatusCode, "data after the answer"
	case resp.StatusCode == http.StatusOK:
		if !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
			return resp.StatusCode, "no [DONE]"
		}
		return resp.StatusCode, ""
	}
	var errorBody struct {
		Error *struct {
			Message string  `json:"message"`
			Type    string  `json:"type"`
			Code    *string `json:"code"`
		} `json:"error"`
	}
	retryAfter := resp.Header.Get("Retry-After")
	_, retryAfterErr := strconv.Atoi(retryAfter)
	switch {
	case json.Unmarshal(body, &errorBody) != nil || errorBody.Error == nil || errorBody.Error.Message == "" || errorBody.Error.Type == "" || errorBody.Error.Code == nil:
		return resp.StatusCode, "not OpenAI's error format"
	case (resp.StatusCode == 429 || resp.StatusCode == 503) && retryAfterErr != nil:
		return resp.StatusCode, "no Retry-After"
	case !resp.Close:
		return resp.StatusCode, "no Connection: close"
	}
	return resp.StatusCode, ""
}

// knownClientTimeout limits how long a known client retries.
const knownClientTimeout = 10 * time.Second

// streamUntilServed makes a known client connect and stream, and retry until it is served.
func streamUntilServed(ctx context.Context, o *Options, client int, key, localAddress string) KnownClientResult {
	result := KnownClientResult{Client: client}
	started := time.Now()
	for time.Since(started) < knownClientTimeout {
		result.Attempts++
		var retryAfter time.Duration
		if result.FirstTokenTime, retryAfter, result.Err = streamOnce(ctx, o, key, localAddress, started); result.Err == nil {
			return result
		}
		time.Sleep(max(retryAfter, 5*time.Millisecond))
	}
	return result
}

// streamOnce makes one attempt. For a refusal it returns the wait that the router advised.
func streamOnce(ctx context.Context, o *Options, key, localAddress string, started time.Time) (firstTokenTime, retryAfter time.Duration, err error) {
	conn, err := newDialer(localAddress).DialContext(ctx, "tcp", o.Target)
	if err != nil {
		return 0, 0, fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(knownClientTimeout)) //nolint:errcheck // the connection is open
	if _, err := io.WriteString(conn, chatRequest(o.Model, key)); err != nil {
		return 0, 0, fmt.Errorf("send: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, fmt.Errorf("header: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		ms, _ := strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
		return 0, time.Duration(ms) * time.Millisecond, fmt.Errorf("status %d: %.200s", resp.StatusCode, text)
	}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data: ") && firstTokenTime == 0 {
			firstTokenTime = time.Since(started)
		}
		if scanner.Text() == "data: [DONE]" {
			return firstTokenTime, 0, nil
		}
	}
	return firstTokenTime, 0, fmt.Errorf("the stream ended before [DONE]: %w", errors.Join(scanner.Err(), io.ErrUnexpectedEOF))
}
