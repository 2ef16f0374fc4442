// Package fleet follows the list of engines: a list service that pushes it over HTTP, or a file. It tells a
// planner full lists and changes (link.Listed) and decides nothing. A list that is gone, empty, malformed or
// stale changes nothing: the last good one stays in force. internal/router starts it.
//
// The protocol is cherryhub's own. GET of the list's URL with watch=1 answers with lines of JSON: first the
// whole list, then changes, and at least each second a line of the kind "alive":
//
//	{"kind":"full","epoch":3,"version":41,"engines":[{"address":"10.0.0.7:8000","zone":"a","cell":"a1",
//	 "machine":"prefill","phase":"ready","start":1764590000123,"age_s":86400}]}
//	{"kind":"delta","epoch":3,"version":42,"engines":[{"address":"10.0.0.7:8000","phase":"gone"}]}
//	{"kind":"alive","epoch":3,"version":42}
//
// epoch grows with each start of the service, version with each change; a delta's is the one before it plus
// one. start tells two starts of an engine apart; age_s is its age when the line is sent, left out for long ago;
// below 0 it counts as 0. Where start is left out what was told before stays. Where an engine has another start, or is
// back after it was gone and none is told, and age_s is left out, it counts as started when the line came.
// A file holds one line of the kind "full", as does the answer to a GET without watch=1: where the settings say
// that the service is to be asked, it is, each poll.
package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// Line is one line of a list service.
type Line struct {
	Kind    string   `json:"kind"` // full, delta or alive
	Epoch   int64    `json:"epoch"`
	Version int64    `json:"version"`
	Engines []Engine `json:"engines,omitempty"`
}

// Engine is one entry of a list.
type Engine struct {
	Address     string   `json:"address"` // host:port
	Zone        string   `json:"zone,omitempty"`
	Cell        string   `json:"cell,omitempty"`
	MachineKind string   `json:"machine,omitempty"`
	Phase       string   `json:"phase"` // ready, draining or gone
	StartID     int64    `json:"start,omitempty"`
	AgeSeconds  *float64 `json:"age_s,omitempty"` // seconds
}

// Limits of what a list may hold and of how long a service may say nothing.
const (
	maxLineBytes = 16 << 20 // bytes
	idleTimeout  = 4 * time.Second
)

var phases = map[string]decide.Phase{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

var errStale = errors.New("older than the list in force")

// Follower follows one list.
type Follower struct {
	url, file                string
	pollInterval, retryDelay time.Duration
	maxEngines               int
	notify                   func(link.Event)
	log                      *slog.Logger
	client                   *http.Client
	lastFile                 []byte // of a file
	pollService              bool

	mu      sync.Mutex
	epoch   int64 // of the list in force
	version int64
	hasList bool
}

// Options of a follower: one of URL and File.
type Options struct {
	URL, File                string
	PollInterval, RetryDelay time.Duration
	MaxEngines               int
	PollService              bool                                                                 // the service pushes nothing
	SourceAddress            string                                                               // dial from this address, empty for any
	Dial                     func(ctx context.Context, network, address string) (net.Conn, error) // in place of that, nil for TCP
	Notify                   func(link.Event)
	Log                      *slog.Logger
}

// New makes a follower.
func New(o Options) *Follower {
	d := &net.Dialer{Timeout: time.Second}
	if ip := net.ParseIP(o.SourceAddress); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	dial := d.DialContext
	if o.Dial != nil {
		dial = o.Dial
	}
	return &Follower{url: o.URL, file: o.File, pollInterval: o.PollInterval, retryDelay: o.RetryDelay, maxEngines: o.MaxEngines, pollService: o.PollService, notify: o.Notify, log: o.Log,
		client: &http.Client{Transport: &http.Transport{DialContext: dial, ResponseHeaderTimeout: idleTimeout}}}
}

// Run follows the list until the context ends.
func (f *Follower) Run(ctx context.Context) {
	trouble := false
	for ctx.Err() == nil {
		wait := f.pollInterval
		var err error
		switch {
		case f.file != "":
			err = f.readFile()
		case f.pollService:
			_, err = f.Fetch(ctx)
		default:
			err = f.watch(ctx)
			wait = time.Duration(float64(f.retryDelay) * (0.5 + rand.Float64()))
		}
		if err != nil && ctx.Err() == nil && !trouble {
			f.log.Warn("engine list: the last good one stays in force", "err", err)
		}
		trouble = err != nil
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Ask gets the whole list from the service, puts it in force and returns its text, for others to Take.
func (f *Follower) Fetch(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url, nil)
	if err != nil {
		return nil, fmt.Errorf("list service: %w", err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("list service: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list service %s: status %d", f.url, resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes+1))
	if err != nil {
		return nil, fmt.Errorf("list service %s: %w", f.url, err)
	}
	if err := f.Apply(text); err != nil {
		return nil, err
	}
	return text, nil
}

// Take puts a whole list in force that this or another router got, unless it is malformed, empty or stale.
func (f *Follower) Apply(text []byte) error {
	if err := f.applySnapshot(text); err != nil {
		return fmt.Errorf("list service %s: %w", f.url, err)
	}
	return nil
}

// whole puts a text in force that must be a whole list.
func (f *Follower) applySnapshot(text []byte) error {
	line, err := parseLine(text, f.maxEngines)
	if err != nil {
		return err
	}
	if line.Kind != "full" {
		return fmt.Errorf("kind %q, wanted full", line.Kind)
	}
	return f.applyLine(line)
}

// read reads the file if it has changed.
func (f *Follower) readFile() error {
	file, err := os.Open(f.file)
	if err != nil {
		return fmt.Errorf("list file: %w", err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxLineBytes+1))
	if err != nil {
		return fmt.Errorf("list file: %w", err)
	}
	if bytes.Equal(text, f.lastFile) {
		return nil
	}
	if err := f.applySnapshot(text); err != nil {
		return fmt.Errorf("list file %s: %w", f.file, err)
	}
	f.lastFile = text
	return nil
}

// watch reads a list service's lines until it breaks.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(idleTimeout, cancel)
	defer quiet.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"?watch=1", nil)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("list service %s: status %d", f.url, resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for first := true; lines.Scan(); first = false {
		quiet.Reset(idleTimeout)
		line, err := parseLine(lines.Bytes(), f.maxEngines)
		if err == nil && first && line.Kind != "full" {
			err = fmt.Errorf("begins with kind %q, wanted full", line.Kind)
		}
		if err == nil {
			err = f.applyLine(line)
		}
		if err != nil {
			return fmt.Errorf("list service %s: %w", f.url, err)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("list service %s: %w", f.url, err)
	}
	return fmt.Errorf("list service %s: closed", f.url)
}

// parse reads a line and checks all of it.
func parseLine(text []byte, most int) (*Line, error) {
	line := &Line{}
	if err := json.Unmarshal(text, line); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	switch line.Kind {
	case "alive", "delta":
	case "full":
		if len(line.Engines) == 0 {
			return nil, errors.New("a full list of no engines is not believed")
		}
	default:
		return nil, fmt.Errorf("kind %q, wanted full, delta or alive", line.Kind)
	}
	if len(line.Engines) > most {
		return nil, fmt.Errorf("%d engines, over the %d of list.max_engines", len(line.Engines), most)
	}
	seen := map[string]bool{}
	for i, e := range line.Engines {
		host, port, err := net.SplitHostPort(e.Address)
		n, bad := strconv.Atoi(port)
		_, phase := phases[e.Phase]
		switch {
		case err != nil || host == "" || bad != nil || n < 1 || n > 65535:
			return nil, fmt.Errorf("engines[%d]: address %q is no host:port", i, e.Address)
		case !phase:
			return nil, fmt.Errorf("engines[%d]: phase %q, wanted ready, draining or gone", i, e.Phase)
		case seen[e.Address]:
			return nil, fmt.Errorf("engines[%d]: %q is there twice", i, e.Address)
		}
		seen[e.Address] = true
	}
	return line, nil
}

// apply takes a line that is whole, unless it is stale or leaves a gap.
func (f *Follower) applyLine(l *Line) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Kind == "alive" {
		if l.Epoch != f.epoch || l.Version != f.version {
			return fmt.Errorf("alive at version %d.%d, but %d.%d is in force", l.Epoch, l.Version, f.epoch, f.version)
		}
		return nil
	}
	older := l.Epoch < f.epoch || l.Epoch == f.epoch && l.Version < f.version
	switch {
	case f.hasList && older:
		return fmt.Errorf("version %d.%d: %w (%d.%d)", l.Epoch, l.Version, errStale, f.epoch, f.version)
	case l.Kind == "delta" && (l.Epoch != f.epoch || l.Version != f.version+1):
		return fmt.Errorf("a change to version %d.%d, but %d.%d is in force", l.Epoch, l.Version, f.epoch, f.version)
	}
	if f.pollService && f.hasList && l.Epoch == f.epoch && l.Version == f.version {
		return nil // asked again, and nothing is new
	}
	f.epoch, f.version, f.hasList = l.Epoch, l.Version, true
	list := &link.EngineList{Kind: decide.ListSnapshot}
	if l.Kind == "delta" {
		list.Kind = decide.ListDelta
	}
	for _, e := range l.Engines {
		age := -1.0
		if e.AgeSeconds != nil {
			age = max(0, *e.AgeSeconds) // an engine's clock may run ahead: it has only just started
		}
		list.Entries = append(list.Entries, link.EngineEntry{Address: e.Address, Zone: e.Zone, Cell: e.Cell, MachineKind: e.MachineKind,
			Phase: phases[e.Phase], StartID: e.StartID, Age: age})
	}
	f.notify(link.Event{Kind: link.EnginesUpdated, EngineList: list})
	return nil
}
