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
type Manner int

// The manners.
const (
	Calls  Manner = iota // sends a whole call and reads the answer
	Silent               // sends nothing
	Half                 // sends half a header
	manners
)

func (m Manner) String() string { return [...]string{"calls", "silent", "half a header"}[m] }

// Options of a crowd.
type Options struct {
	Target   string        // host:port
	Model    string        // that the calls name
	From     []string      // the flood's own addresses
	Flood    int           // connections that the flood has under way at once
	Manners  []Manner      // in turn; none: all three
	Length   time.Duration // of the flood
	Least    int           // connections that it tries, however long that takes, up to five times Length
	Patience time.Duration // a connection of the flood with no end by then hung

	Known     []string      // keys of the known clients
	KnownFrom []string      // their addresses, in turn
	Before    time.Duration // the flood runs so long before they come
	Pause     time.Duration // of a known client between two connections
}

// Ends are how connections of one manner ended.
type Ends struct {
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

func newEnds() *Ends {
	return &Ends{ByStatus: map[int]int{}, Wrong: map[string]int{}, Waits: hdrhistogram.New(1, 60_000_000, 3)}
}

// Entry is one known client's way in.
type Entry struct {
	Client int
	Tries  int           // connections until it was in
	Took   time.Duration // from its first dial to its first token
	Err    error         // of the last try, nil if it streamed to [DONE]
}

// Report is what came of a crowd.
type Report struct {
	Flood map[Manner]*Ends
	Known []Entry
	Took  time.Duration
}

// Sum adds the manners up.
func (r *Report) Sum() *Ends {
	all := newEnds()
	for m := range manners {
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
func (r *Report) KnownTimes() (h *hdrhistogram.Histogram, failed int) {
	h = hdrhistogram.New(1, 600_000_000, 3)
	for _, e := range r.Known {
		if e.Err != nil {
			failed++
			continue
		}
		h.RecordValue(e.Took.Microseconds()) //nolint:errcheck // within its range
	}
	return h, failed
}

// Run lets a crowd loose until its length is over.
func Run(ctx context.Context, o Options) *Report {
	if len(o.Manners) == 0 {
		o.Manners = []Manner{Calls, Silent, Half}
	}
	r := &Report{Flood: map[Manner]*Ends{}}
	for m := range manners {
		r.Flood[m] = newEnds()
	}
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, 5*o.Length)
	defer stop()
	var tried atomic.Int64
	go func() {
		for time.Since(began) < o.Length || tried.Load() < int64(o.Least) {
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
	for i := range o.Flood {
		all.Go(func() {
			for n := i; ctx.Err() == nil; n += o.Flood {
				m := o.Manners[(n/max(1, len(o.From)))%len(o.Manners)]
				one := flood(ctx, &o, o.From[n%len(o.From)], m)
				if ctx.Err() != nil && one.cut {
					return // it was ended with the flood: nothing is known of it
				}
				tried.Add(1)
				mu.Lock()
				one.count(r.Flood[m])
				mu.Unlock()
				if one.noDial {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-time.After(o.Before):
	}
	for i, key := range o.Known {
		all.Go(func() {
			from := ""
			if len(o.KnownFrom) > 0 {
				from = o.KnownFrom[i%len(o.KnownFrom)]
			}
			for first := true; first || ctx.Err() == nil; first = false {
				e := enter(context.WithoutCancel(ctx), &o, i, key, from)
				mu.Lock()
				r.Known = append(r.Known, e)
				mu.Unlock()
				if o.Pause == 0 {
					return
				}
				select {
				case <-ctx.Done():
				case <-time.After(o.Pause):
				}
			}
		})
	}
	all.Wait()
	r.Took = time.Since(began)
	return r
}

// one is how one connection of the flood ended.
type one struct {
	noDial, cut, hung, reset bool
	text                     []byte
	wait                     time.Duration
}

const answerMost = 1 << 20

func dialer(from string) *net.Dialer {
	d := &net.Dialer{Timeout: 2 * time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return d
}

func call(model, key string) string {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Hello"}]}`, model)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: crowd\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	return head + "\r\n" + body
}

func flood(ctx context.Context, o *Options, from string, m Manner) (e one) {
	conn, err := dialer(from).DialContext(ctx, "tcp", o.Target)
	if err != nil {
		return one{noDial: true, cut: ctx.Err() != nil}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) }) //nolint:errcheck // of an open one
	defer stop()
	began := time.Now()
	conn.SetDeadline(began.Add(o.Patience)) //nolint:errcheck // as above
	text := call(o.Model, "")
	switch m {
	case Calls:
		io.WriteString(conn, strings.Replace(text, "\r\nHost", "\r\nConnection: close\r\nHost", 1)) //nolint:errcheck // refused meanwhile
	case Half:
		io.WriteString(conn, text[:20]) //nolint:errcheck // as above
	}
	var buf [4096]byte
	for len(e.text) < answerMost {
		n, err := conn.Read(buf[:])
		if n > 0 && len(e.text) == 0 {
			e.wait = time.Since(began)
		}
		e.text = append(e.text, buf[:n]...)
		var slow net.Error
		switch {
		case err == nil:
			continue
		case errors.As(err, &slow) && slow.Timeout():
			e.cut = ctx.Err() != nil
			e.hung = !e.cut
		case !errors.Is(err, io.EOF):
			e.reset = true
		}
		return e
	}
	return e
}

func (e one) count(to *Ends) {
	to.Tried++
	switch {
	case e.noDial:
		to.NoDial++
		return
	case e.hung:
		to.Hung++
		return
	case len(e.text) == 0:
		to.Closed++ // or reset; it was told nothing
		if e.reset {
			to.Wrong["reset without an answer"]++
		}
		return
	}
	status, wrong := Judge(e.text)
	to.ByStatus[status]++
	switch {
	case wrong != "":
		to.Broken++
		to.Wrong[wrong]++
	case status == http.StatusOK:
		to.Served++
	default:
		to.Refused++
		to.Waits.RecordValue(max(1, e.wait.Microseconds())) //nolint:errcheck // within its range
	}
}

// Judge reads all that came over a socket and tells what is wrong with it, "" if it is one whole answer: a stream
// to [DONE], or a refusal in OpenAI's shape that says when to come back and that the connection ends.
func Judge(text []byte) (status int, wrong string) {
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
const enterMost = 10 * time.Second

// enter has a known client connect and stream, again and again until it is in.
func enter(ctx context.Context, o *Options, client int, key, from string) Entry {
	e := Entry{Client: client}
	began := time.Now()
	for time.Since(began) < enterMost {
		e.Tries++
		var wait time.Duration
		if e.Took, wait, e.Err = stream(ctx, o, key, from, began); e.Err == nil {
			return e
		}
		time.Sleep(max(wait, 5*time.Millisecond))
	}
	return e
}

// stream is one try. Where it is refused it tells for how long.
func stream(ctx context.Context, o *Options, key, from string, began time.Time) (took, wait time.Duration, err error) {
	conn, err := dialer(from).DialContext(ctx, "tcp", o.Target)
	if err != nil {
		return 0, 0, fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(enterMost)) //nolint:errcheck // of an open one
	if _, err := io.WriteString(conn, call(o.Model, key)); err != nil {
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
