// Package crowd is stand-in clients that all connect at once: a flood of those nobody knows, some silent, some
// with half a header, some with a call, and known clients who stream in its midst. It judges from what came over
// each socket whether a refusal was whole and in time. Tests of internal/router and cherryhub crowd use it; a
// router never does.
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

// Manner is how one of the flood behaves.
type Behavior int

// The manners.
const (
	SendsRequest       Behavior = iota // sends a whole call and reads the answer
	SendsNothing                       // sends nothing
	SendsPartialHeader                 // sends half a header
	behaviorCount
)

func (m Behavior) String() string { return [...]string{"calls", "silent", "half a header"}[m] }

// Options of a crowd.
type Options struct {
	Target         string        // host:port
	Model          string        // that the calls name
	FloodAddresses []string      // the flood's own addresses
	FloodConns     int           // connections that the flood has under way at once
	Behaviors      []Behavior    // in turn; none: all three
	Duration       time.Duration // of the flood
	MinConns       int           // connections that it tries, however long that takes, up to five times Length
	HangTimeout    time.Duration // a connection of the flood with no end by then hung

	KnownKeys      []string      // keys of the known clients
	KnownAddresses []string      // their addresses, in turn
	KnownDelay     time.Duration // the flood runs so long before they come
	KnownPause     time.Duration // of a known client between two connections
}

// Ends are how connections of one manner ended.
type Outcomes struct {
	Tried    int
	Served   int // with a whole answer that is no refusal
	Refused  int // with a whole refusal: status, Retry-After, Connection: close, OpenAI's shape, then the end
	Closed   int // without a word, by its own end or the other's
	Broken   int // with part of an answer, or reset before it was whole
	Hung     int // with no end in time
	NoDial   int // this side could not connect: ports, or the listener's queue
	ByStatus map[int]int
	Wrong    map[string]int          // what was wrong with a refusal
	Waits    *hdrhistogram.Histogram // of refused ones, from connected to the first byte, µs
}

func newOutcomes() *Outcomes {
	return &Outcomes{ByStatus: map[int]int{}, Wrong: map[string]int{}, Waits: hdrhistogram.New(1, 60_000_000, 3)}
}

// Entry is one known client's way in.
type KnownClientResult struct {
	Client         int
	Attempts       int           // connections until it was in
	FirstTokenTime time.Duration // from its first dial to its first token
	Err            error         // of the last try, nil if it streamed to [DONE]
}

// Report is what came of a crowd.
type Report struct {
	Flood        map[Behavior]*Outcomes
	KnownClients []KnownClientResult
	Elapsed      time.Duration
}

// Sum adds the manners up.
func (r *Report) Total() *Outcomes {
	all := newOutcomes()
	for m := range behaviorCount {
		e := r.Flood[m]
		if e == nil {
			continue
		}
		all.Tried += e.Tried
		all.Served += e.Served
		all.Refused += e.Refused
		all.Closed += e.Closed
		all.Broken += e.Broken
		all.Hung += e.Hung
		all.NoDial += e.NoDial
		for s, n := range e.ByStatus {
			all.ByStatus[s] += n
		}
		for w, n := range e.Wrong {
			all.Wrong[w] += n
		}
		all.Waits.Merge(e.Waits)
	}
	return all
}

// KnownTimes are the times of those who got in, in seconds, and how many never did.
func (r *Report) KnownFirstTokenTimes() (h *hdrhistogram.Histogram, failed int) {
	h = hdrhistogram.New(1, 600_000_000, 3)
	for _, e := range r.KnownClients {
		if e.Err != nil {
			failed++
			continue
		}
		h.RecordValue(e.FirstTokenTime.Microseconds()) //nolint:errcheck // within its range
	}
	return h, failed
}

// Run lets a crowd loose until its length is over.
func Run(ctx context.Context, o Options) *Report {
	if len(o.Behaviors) == 0 {
		o.Behaviors = []Behavior{SendsRequest, SendsNothing, SendsPartialHeader}
	}
	r := &Report{Flood: map[Behavior]*Outcomes{}}
	for m := range behaviorCount {
		r.Flood[m] = newOutcomes()
	}
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, 5*o.Duration)
	defer stop()
	var tried atomic.Int64
	go func() {
		for time.Since(began) < o.Duration || tried.Load() < int64(o.MinConns) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Millisecond):
			}
		}
		stop()
	}()
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range o.FloodConns {
		all.Go(func() {
			for n := i; ctx.Err() == nil; n += o.FloodConns {
				m := o.Behaviors[(n/max(1, len(o.FloodAddresses)))%len(o.Behaviors)]
				one := runFloodConn(ctx, &o, o.FloodAddresses[n%len(o.FloodAddresses)], m)
				if ctx.Err() != nil && one.cancelled {
					return // it was ended with the flood: nothing is known of it
				}
				tried.Add(1)
				mu.Lock()
				one.addTo(r.Flood[m])
				mu.Unlock()
				if one.dialFailed {
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
		all.Go(func() {
			from := ""
			if len(o.KnownAddresses) > 0 {
				from = o.KnownAddresses[i%len(o.KnownAddresses)]
			}
			for first := true; first || ctx.Err() == nil; first = false {
				e := streamUntilServed(context.WithoutCancel(ctx), &o, i, key, from)
				mu.Lock()
				r.KnownClients = append(r.KnownClients, e)
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
	all.Wait()
	r.Elapsed = time.Since(began)
	return r
}

// one is how one connection of the flood ended.
type connResult struct {
	dialFailed, cancelled, hung, reset bool
	response                           []byte
	firstByteTime                      time.Duration
}

const maxResponseBytes = 1 << 20

func newDialer(from string) *net.Dialer {
	d := &net.Dialer{Timeout: 2 * time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return d
}

func chatRequest(model, key string) string {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Hello"}]}`, model)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: crowd\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	return head + "\r\n" + body
}

func runFloodConn(ctx context.Context, o *Options, from string, m Behavior) (e connResult) {
	conn, err := newDialer(from).DialContext(ctx, "tcp", o.Target)
	if err != nil {
		return connResult{dialFailed: true, cancelled: ctx.Err() != nil}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) }) //nolint:errcheck // of an open one
	defer stop()
	began := time.Now()
	conn.SetDeadline(began.Add(o.HangTimeout)) //nolint:errcheck // as above
	text := chatRequest(o.Model, "")
	switch m {
	case SendsRequest:
		io.WriteString(conn, strings.Replace(text, "\r\nHost", "\r\nConnection: close\r\nHost", 1)) //nolint:errcheck // refused meanwhile
	case SendsPartialHeader:
		io.WriteString(conn, text[:20]) //nolint:errcheck // as above
	}
	var buf [4096]byte
	for len(e.response) < maxResponseBytes {
		n, err := conn.Read(buf[:])
		if n > 0 && len(e.response) == 0 {
			e.firstByteTime = time.Since(began)
		}
		e.response = append(e.response, buf[:n]...)
		var slow net.Error
		switch {
		case err == nil:
			continue
		case errors.As(err, &slow) && slow.Timeout():
			e.cancelled = ctx.Err() != nil
			e.hung = !e.cancelled
		case !errors.Is(err, io.EOF):
			e.reset = true
		}
		return e
	}
	return e
}

func (e connResult) addTo(to *Outcomes) {
	to.Tried++
	switch {
	case e.dialFailed:
		to.NoDial++
		return
	case e.hung:
		to.Hung++
		return
	case len(e.response) == 0:
		to.Closed++ // or reset; it was told nothing
		if e.reset {
			to.Wrong["reset without an answer"]++
		}
		return
	}
	status, wrong := CheckResponse(e.response)
	to.ByStatus[status]++
	switch {
	case wrong != "":
		to.Broken++
		to.Wrong[wrong]++
	case status == http.StatusOK:
		to.Served++
	default:
		to.Refused++
		to.Waits.RecordValue(max(1, e.firstByteTime.Microseconds())) //nolint:errcheck // within its range
	}
}

// Judge reads all that came over a socket and tells what is wrong with it, "" if it is one whole answer: a stream
// to [DONE], or a refusal in OpenAI's shape that says when to come back and that the connection ends.
func CheckResponse(text []byte) (status int, wrong string) {
	r := bufio.NewReader(strings.NewReader(string(text)))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "no whole header"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return resp.StatusCode, "no whole body"
	case r.Buffered() > 0:
		return resp.StatusCode, "more after the answer"
	case resp.StatusCode == http.StatusOK:
		if !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
			return resp.StatusCode, "no [DONE]"
		}
		return resp.StatusCode, ""
	}
	var shape struct {
		Error *struct {
			Message string  `json:"message"`
			Type    string  `json:"type"`
			Code    *string `json:"code"`
		} `json:"error"`
	}
	again := resp.Header.Get("Retry-After")
	_, noNumber := strconv.Atoi(again)
	switch {
	case json.Unmarshal(body, &shape) != nil || shape.Error == nil || shape.Error.Message == "" || shape.Error.Type == "" || shape.Error.Code == nil:
		return resp.StatusCode, "not OpenAI's error shape"
	case (resp.StatusCode == 429 || resp.StatusCode == 503) && noNumber != nil:
		return resp.StatusCode, "no Retry-After"
	case !resp.Close:
		return resp.StatusCode, "no Connection: close"
	}
	return resp.StatusCode, ""
}

// enterMost is how long a known client tries.
const knownClientTimeout = 10 * time.Second

// enter has a known client connect and stream, again and again until it is in.
func streamUntilServed(ctx context.Context, o *Options, client int, key, from string) KnownClientResult {
	e := KnownClientResult{Client: client}
	began := time.Now()
	for time.Since(began) < knownClientTimeout {
		e.Attempts++
		var wait time.Duration
		if e.FirstTokenTime, wait, e.Err = streamOnce(ctx, o, key, from, began); e.Err == nil {
			return e
		}
		time.Sleep(max(wait, 5*time.Millisecond))
	}
	return e
}

// stream is one try. Where it is refused it tells for how long.
func streamOnce(ctx context.Context, o *Options, key, from string, began time.Time) (took, wait time.Duration, err error) {
	conn, err := newDialer(from).DialContext(ctx, "tcp", o.Target)
	if err != nil {
		return 0, 0, fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(knownClientTimeout)) //nolint:errcheck // of an open one
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
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") && took == 0 {
			took = time.Since(began)
		}
		if lines.Text() == "data: [DONE]" {
			return took, 0, nil
		}
	}
	return took, 0, fmt.Errorf("the stream ended before [DONE]: %w", errors.Join(lines.Err(), io.ErrUnexpectedEOF))
}
