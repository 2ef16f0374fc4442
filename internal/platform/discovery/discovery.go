// Package discovery follows the platform's list of engines: the whole list first, then a watch of its changes, at an
// address that may be replaced while it runs. A call that stays silent, an answer that is cut off or can't be read
// leaves the list in force, and it is asked again. internal/platform/service makes it and hands on what it tells; it
// decides nothing.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cherryhub/decide"
)

// Host is one engine as discovery tells it.
type Host struct {
	Name        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineKind string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Share       float64 `json:"share"`
	StartUnixMS int64   `json:"born_ms"` // Unix time, 0 for long ago
}

// List is one answer.
type List struct {
	Version  int64  `json:"seq"`
	Snapshot bool   `json:"whole"`
	Hosts    []Host `json:"hosts"`
}

// phases are the words for an engine's phase.
var phaseByHealth = map[string]decide.Phase{"Ready": decide.Ready, "Terminating": decide.Draining, "Gone": decide.Gone}

// Phase is an entry's, and whether its word is known.
func (h *Host) Phase() (decide.Phase, bool) {
	p, known := phaseByHealth[h.Health]
	return p, known
}

// Read reads an answer strictly. Entries that can't be used are left out with a word; the others hold.
func ParseList(text []byte, log *slog.Logger) (*List, error) {
	l := &List{Version: -1}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if l.Version < 0 || l.Hosts == nil {
		return nil, fmt.Errorf("list: no seq or no hosts")
	}
	valid := l.Hosts[:0]
	for _, h := range l.Hosts {
		p, known := h.Phase()
		if h.Name == "" || !known || p != decide.Gone && h.Address == "" {
			log.Warn("entry of the list left out", "host", h.Name, "health", h.Health, "dial", h.Address)
			continue
		}
		valid = append(valid, h)
	}
	l.Hosts = valid
	return l, nil
}

// A watch is held so briefly because what discovery would have told counts as told two seconds after the hold is over,
// whether it arrived or not.
const watchHold = 2 * time.Second

// listMost bounds an answer, in bytes: 3,200 engines take some 200 each, more where the list is indented.
const maxListBytes = 2 << 20

// Follower follows the list.
type Follower struct {
	onList    func(*List)
	log       *slog.Logger
	client    *http.Client
	transport *http.Transport

	mu      sync.Mutex
	address string
	cancel  context.CancelFunc // of the call that runs
}

// New makes a follower; tell is called with each answer.
func New(address string, onList func(*List), log *slog.Logger) *Follower {
	t := &http.Transport{MaxConnsPerHost: 3, MaxIdleConns: 1, ResponseHeaderTimeout: watchHold + maxExtraTimeout, MaxResponseHeaderBytes: 8 << 10,
		DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10, Proxy: nil}
	return &Follower{address: address, onList: onList, log: log, transport: t, client: &http.Client{Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// Move has the list come from another address from now on.
func (f *Follower) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address == address {
		return
	}
	f.address = address
	if f.cancel != nil {
		f.cancel()
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var address string
	version := int64(-1)
	p := newRetryPolicy()
	for ctx.Err() == nil {
		f.mu.Lock()
		if f.address != address { // the new one may count in its own way, and answer at its own pace
			address, version, p = f.address, -1, newRetryPolicy()
			f.transport.CloseIdleConnections()
		}
		callCtx, cancel := context.WithCancel(ctx)
		f.cancel = cancel
		f.mu.Unlock()
		res := f.fetch(callCtx, query{address, version}, &p)
		cancel()
		f.mu.Lock()
		addressChanged := f.address != address
		f.mu.Unlock()
		if addressChanged || ctx.Err() != nil {
			continue
		}
		if res.err == nil && version < 0 && !res.list.Snapshot {
			res.err = errNotSnapshot
		}
		if res.err != nil {
			delay := p.failed(rand.Float64())
			f.log.Warn("discovery", "address", address, "err", res.err, "pause", delay)
			f.transport.CloseIdleConnections()
			f.delay(ctx, address, delay)
			continue
		}
		p.answered(res.lateness)
		version = res.list.Version
		if res.list.Snapshot || len(res.list.Hosts) > 0 {
			f.onList(res.list)
		}
	}
}

// question is what is asked: for the whole list, or for what is newer than a version, where it is not below 0.
type query struct {
	address string
	version int64
}

// answer is how a call ended.
type result struct {
	list     *List
	err      error
	lateness time.Duration // it came so long after the time that it was asked to be held
}

// attempt asks once; after a failure by several calls, of which the first answer counts: one that waits for a slow
// discovery, and beside it short ones for one that returns from silence, which answers none of the calls from before.
func (f *Follower) fetch(ctx context.Context, q query, p *retryPolicy) result {
	if !p.failing {
		hold := time.Duration(0)
		if q.version >= 0 {
			hold = watchHold
		}
		return f.fetchOnce(ctx, q, hold, p.extraTimeout)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slow := make(chan result, 1)
	go func() { slow <- f.fetchOnce(ctx, q, 0, maxExtraTimeout) }()
	quick := make(chan result, maxExtraTimeout/minExtraTimeout+1)
	retry := time.NewTimer(minExtraTimeout)
	defer retry.Stop()
	for {
		select {
		case res := <-slow:
			return res
		case res := <-quick:
			if res.err == nil {
				return res
			}
		case <-retry.C:
			go func() { quick <- f.fetchOnce(ctx, q, 0, minExtraTimeout) }()
			retry.Reset(minExtraTimeout)
		}
	}
}

// call makes one call, which may take so long beyond the time that it asks to be held.
func (f *Follower) fetchOnce(ctx context.Context, q query, hold, extra time.Duration) result {
	ctx, cancel := context.WithTimeout(ctx, hold+extra)
	defer cancel()
	start := time.Now()
	l, err := f.get(ctx, q, hold)
	return result{l, err, time.Since(start) - hold}
}

var errNotSnapshot = errors.New("list: changes where the whole list was asked for")

// rest pauses after a failure, no longer than the address stays.
func (f *Follower) delay(ctx context.Context, address string, delay time.Duration) {
	f.mu.Lock()
	if f.address != address {
		f.mu.Unlock()
		return
	}
	delayCtx, cancel := context.WithTimeout(ctx, delay)
	f.cancel = cancel
	f.mu.Unlock()
	<-delayCtx.Done()
	cancel()
}

// ask asks, and lets discovery hold its answer until there is one that is new.
func (f *Follower) get(ctx context.Context, q query, hold time.Duration) (*List, error) {
	u := url.URL{Scheme: "http", Host: q.address, Path: "/discovery/hosts"}
	if q.version >= 0 {
		u.RawQuery = "from=" + strconv.FormatInt(q.version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if resp.StatusCode != http.StatusOK || len(text) > maxListBytes {
		return nil, fmt.Errorf("list: status %d, %d bytes", resp.StatusCode, len(text))
	}
	return ParseList(text, f.log)
}
