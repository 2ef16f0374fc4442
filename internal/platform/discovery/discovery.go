// Package discovery follows the platform's engine list: it fetches a snapshot, then watches for changes by long
// polling, at an address that may change while it runs. After a timeout or an answer that is truncated or invalid, the
// list stays in force and the request is repeated. internal/platform/service creates the follower and applies its lists;
// this package takes no decisions.
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
	"cherryhub/internal/boundedjson"
)

// EngineEntry is one entry of the engine list.
type EngineEntry struct {
	Name        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineKind string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Share       float64 `json:"share"`
	StartUnixMS int64   `json:"born_ms"` // Unix time, 0 if the engine started long ago
}

// EngineList is one answer of the engine list service: a snapshot, or the entries changed since the requested version.
type EngineList struct {
	Version  int64         `json:"seq"`
	Snapshot bool          `json:"whole"`
	Entries  EngineEntries `json:"hosts"`
}

// EngineEntries are the entries of an engine list, at most maxEntries.
type EngineEntries []EngineEntry

// maxEntries is the largest number of entries of an answer: over twice the 3,200 engines of the largest fleets.
const maxEntries = 8192

// UnmarshalJSON implements json.Unmarshaler. The entries are counted before memory is used for them: an entry takes many times
// the memory of its shortest text.
func (e *EngineEntries) UnmarshalJSON(text []byte) error {
	if count := boundedjson.CountElements(text); count > maxEntries {
		return fmt.Errorf("%d hosts, wanted %d at most", count, maxEntries)
	}
	return json.Unmarshal(text, (*[]EngineEntry)(e))
}

// phaseByHealth maps the values of EngineEntry.Health.
var phaseByHealth = map[string]decide.Phase{"Ready": decide.Ready, "Terminating": decide.Draining, "Gone": decide.Gone}

// Phase returns the engine's phase, and false if Health has an unknown value.
func (e *EngineEntry) Phase() (decide.Phase, bool) {
	p, known := phaseByHealth[e.Health]
	return p, known
}

// ParseList parses and validates an answer. Invalid entries are logged and skipped; the others are returned.
func ParseList(text []byte, log *slog.Logger) (*EngineList, error) {
	l := &EngineList{Version: -1}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if l.Version < 0 || l.Entries == nil {
		return nil, fmt.Errorf("list: no seq or no hosts")
	}
	valid := l.Entries[:0]
	for _, e := range l.Entries {
		p, known := e.Phase()
		if e.Name == "" || !known || p != decide.Gone && e.Address == "" {
			log.Warn("skipped invalid engine list entry", "host", e.Name, "health", e.Health, "dial", e.Address)
			continue
		}
		valid = append(valid, e)
	}
	l.Entries = valid
	return l, nil
}

// watchHold is how long discovery may hold back its answer to a watch. It is short because a change counts as delivered
// two seconds after the hold ends, whether or not the answer arrived.
const watchHold = 2 * time.Second

// maxListBytes is the maximum size of an answer: 3,200 engines take about 200 bytes each, more if the JSON is indented.
const maxListBytes = 2 << 20

// Follower follows the engine list.
type Follower struct {
	onList    func(*EngineList)
	log       *slog.Logger
	client    *http.Client
	transport *http.Transport

	mu      sync.Mutex
	address string
	cancel  context.CancelFunc // of the running request or retry delay
}

// New returns a follower that calls onList with each snapshot and each set of changes.
func New(address string, onList func(*EngineList), log *slog.Logger) *Follower {
	t := &http.Transport{MaxConnsPerHost: 3, MaxIdleConns: 1, ResponseHeaderTimeout: watchHold + maxExtraTimeout, MaxResponseHeaderBytes: 8 << 10,
		DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10, Proxy: nil}
	return &Follower{address: address, onList: onList, log: log, transport: t, client: &http.Client{Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// SetAddress changes the address of the list service. It takes effect at once, also during a request.
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

// Run follows the list until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var address string
	version := int64(-1)
	p := newRetryPolicy()
	for ctx.Err() == nil {
		f.mu.Lock()
		if f.address != address { // versions and response times of the old address don't apply to the new one
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
		if res.list.Snapshot || len(res.list.Entries) > 0 {
			f.onList(res.list)
		}
	}
}

// query requests the changes since a version, or a snapshot if version is negative.
type query struct {
	address string
	version int64
}

// result is the outcome of a request.
type result struct {
	list     *EngineList
	err      error
	lateness time.Duration // time from the end of the requested hold to the answer; negative if it came earlier
}

// fetch makes one request. After a failure it makes several in parallel and returns the first answer: one with a long
// timeout, for a slow discovery, and a series with short timeouts, for a discovery that recovers after not answering
// and never answers the requests made before.
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

// fetchOnce makes one request, which may take extra longer than the requested hold.
func (f *Follower) fetchOnce(ctx context.Context, q query, hold, extra time.Duration) result {
	ctx, cancel := context.WithTimeout(ctx, hold+extra)
	defer cancel()
	start := time.Now()
	l, err := f.get(ctx, q, hold)
	return result{l, err, time.Since(start) - hold}
}

var errNotSnapshot = errors.New("list: got changes instead of the requested snapshot")

// delay waits after a failure, until the delay is over or the address changes.
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

// get sends the request. With a version, discovery holds its answer until there is a change or hold is over.
func (f *Follower) get(ctx context.Context, q query, hold time.Duration) (*EngineList, error) {
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
