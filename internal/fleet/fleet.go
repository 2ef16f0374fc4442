// Package fleet follows the engine list: from a list service that pushes it over HTTP, or from a file. It passes full lists and changes
// to a planner (link.EnginesUpdated) and makes no decisions. A list that is missing, empty, malformed or stale changes nothing: the last
// valid one stays in use. internal/router starts it.
//
// The protocol is cherryhub's own. GET of the list's URL with watch=1 answers with lines of JSON: first the full list, then changes, and
// at least once a second a line of the kind "alive":
//
//	{"kind":"full","epoch":3,"version":41,"engines":[{"address":"10.0.0.7:8000","zone":"a","cell":"a1",
//	 "machine":"prefill","phase":"ready","start":1764590000123,"age_s":86400}]}
//	{"kind":"delta","epoch":3,"version":42,"engines":[{"address":"10.0.0.7:8000","phase":"gone"}]}
//	{"kind":"alive","epoch":3,"version":42}
//
// epoch grows with each start of the service, version by one with each change: a delta's version is the one before it plus one. start
// identifies a start of an engine. age_s is the time since that start when the line is sent; it is left out for an engine that started
// long ago, and counts as 0 if it is below 0. Where start is left out, the one sent before stays valid. If age_s is left out, and the
// engine has another start, or is back after it was gone and has no start, it counts as started when the line arrived.
//
// A file holds one line of the kind "full", as does the answer to a GET without watch=1, which is sent once per poll interval where the
// settings say that the service is polled.
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
	"cherryhub/internal/boundedjson"
	"cherryhub/internal/link"
)

// Line is one line from a list service or list file.
type Line struct {
	Kind    string        `json:"kind"` // full, delta or alive
	Epoch   int64         `json:"epoch"`
	Version int64         `json:"version"`
	Entries []EngineEntry `json:"engines,omitempty"`
}

// EngineEntry is one entry of an engine list.
type EngineEntry struct {
	Address     string   `json:"address"` // host:port
	Zone        string   `json:"zone,omitempty"`
	Cell        string   `json:"cell,omitempty"`
	MachineKind string   `json:"machine,omitempty"`
	Phase       string   `json:"phase"`           // ready, draining or gone
	StartID     int64    `json:"start,omitempty"` // identifies a start of the engine
	AgeSeconds  *float64 `json:"age_s,omitempty"` // time since that start, nil for long ago
}

const (
	maxLineBytes = 16 << 20
	idleTimeout  = 4 * time.Second // for an answer, and between two lines
)

var phases = map[string]decide.Phase{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

var errStale = errors.New("older than the current list")

// Follower follows one engine list.
type Follower struct {
	url, file                string
	pollInterval, retryDelay time.Duration
	maxEngines               int
	notify                   func(link.Event)
	log                      *slog.Logger
	client                   *http.Client
	lastFile                 []byte // content of the file that was applied last
	pollService              bool

	mu      sync.Mutex
	epoch   int64 // of the current list
	version int64
	hasList bool
}

// Options configures a Follower. Either URL or File is set.
type Options struct {
	URL, File                string
	PollInterval, RetryDelay time.Duration
	MaxEngines               int
	PollService              bool                                                                 // poll the service, which does not push the list
	SourceAddress            string                                                               // local address for connections, empty for any
	Dial                     func(ctx context.Context, network, address string) (net.Conn, error) // replaces the TCP dialer if not nil
	Notify                   func(link.Event)
	Log                      *slog.Logger
}

// New returns a Follower.
func New(o Options) *Follower {
	dialer := &net.Dialer{Timeout: time.Second}
	if ip := net.ParseIP(o.SourceAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	dial := dialer.DialContext
	if o.Dial != nil {
		dial = o.Dial
	}
	return &Follower{url: o.URL, file: o.File, pollInterval: o.PollInterval, retryDelay: o.RetryDelay, maxEngines: o.MaxEngines, pollService: o.PollService, notify: o.Notify, log: o.Log,
		client: &http.Client{Transport: &http.Transport{DialContext: dial, ResponseHeaderTimeout: idleTimeout}}}
}

// Run follows the list until the context is cancelled.
func (f *Follower) Run(ctx context.Context) {
	failing := false
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
		if err != nil && ctx.Err() == nil && !failing {
			f.log.Warn("engine list update failed; the last valid list stays in use", "err", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Fetch gets the full list from the service, applies it, and returns its text for other routers to Apply.
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

// Apply applies a full list that this or another router fetched, unless it is malformed, empty or stale.
func (f *Follower) Apply(text []byte) error {
	if err := f.applySnapshot(text); err != nil {
		return fmt.Errorf("list service %s: %w", f.url, err)
	}
	return nil
}

// applySnapshot applies a text that must be a full list.
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

// readFile reads the list file and applies it if it has changed.
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

// watch applies a list service's lines until the connection ends or a line is invalid.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
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
		idleTimer.Reset(idleTimeout)
		line, err := parseLine(lines.Bytes(), f.maxEngines)
		if err == nil && first && line.Kind != "full" {
			err = fmt.Errorf("first line has kind %q, wanted full", line.Kind)
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

// lineMessage is a line whose entries are not decoded yet: they may take many times the memory of their text.
type lineMessage struct {
	Line
	Entries json.RawMessage `json:"engines"` // in place of those of Line
}

// decodeLine decodes a line of at most maxEngines entries.
func decodeLine(text []byte, maxEngines int) (*Line, error) {
	message := &lineMessage{}
	if err := json.Unmarshal(text, message); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	if count := boundedjson.CountElements(message.Entries); count > maxEngines {
		return nil, fmt.Errorf("%d engines exceed list.max_engines %d", count, maxEngines)
	}
	if message.Entries == nil {
		return &message.Line, nil
	}
	if err := json.Unmarshal(message.Entries, &message.Line.Entries); err != nil {
		return nil, fmt.Errorf("malformed: engines: %w", err)
	}
	return &message.Line, nil
}

// parseLine decodes and validates a line.
func parseLine(text []byte, maxEngines int) (*Line, error) {
	line, err := decodeLine(text, maxEngines)
	if err != nil {
		return nil, err
	}
	switch line.Kind {
	case "alive", "delta":
	case "full":
		if len(line.Entries) == 0 {
			return nil, errors.New("full list contains no engines")
		}
	default:
		return nil, fmt.Errorf("kind %q, wanted full, delta or alive", line.Kind)
	}
	seen := map[string]bool{}
	for i, e := range line.Entries {
		host, port, err := net.SplitHostPort(e.Address)
		portNumber, portErr := strconv.Atoi(port)
		_, validPhase := phases[e.Phase]
		switch {
		case err != nil || host == "" || portErr != nil || portNumber < 1 || portNumber > 65535:
			return nil, fmt.Errorf("engines[%d]: address %q is not host:port", i, e.Address)
		case !validPhase:
			return nil, fmt.Errorf("engines[%d]: phase %q, wanted ready, draining or gone", i, e.Phase)
		case seen[e.Address]:
			return nil, fmt.Errorf("engines[%d]: duplicate address %q", i, e.Address)
		}
		seen[e.Address] = true
	}
	return line, nil
}

// applyLine applies a valid line, unless it is stale or skips a version.
func (f *Follower) applyLine(line *Line) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if line.Kind == "alive" {
		if line.Epoch != f.epoch || line.Version != f.version {
			return fmt.Errorf("alive line for version %d.%d, but the current list has version %d.%d", line.Epoch, line.Version, f.epoch, f.version)
		}
		return nil
	}
	older := line.Epoch < f.epoch || line.Epoch == f.epoch && line.Version < f.version
	switch {
	case f.hasList && older:
		return fmt.Errorf("version %d.%d: %w (%d.%d)", line.Epoch, line.Version, errStale, f.epoch, f.version)
	case line.Kind == "delta" && (line.Epoch != f.epoch || line.Version != f.version+1):
		return fmt.Errorf("delta to version %d.%d does not follow the current version %d.%d", line.Epoch, line.Version, f.epoch, f.version)
	}
	if f.pollService && f.hasList && line.Epoch == f.epoch && line.Version == f.version {
		return nil // the polled list has not changed
	}
	f.epoch, f.version, f.hasList = line.Epoch, line.Version, true
	list := &link.EngineList{Kind: decide.ListSnapshot}
	if line.Kind == "delta" {
		list.Kind = decide.ListDelta
	}
	for _, e := range line.Entries {
		age := -1.0
		if e.AgeSeconds != nil {
			age = max(0, *e.AgeSeconds) // negative if the engine's clock runs ahead: it has only just started
		}
		list.Entries = append(list.Entries, link.EngineEntry{Address: e.Address, Zone: e.Zone, Cell: e.Cell, MachineKind: e.MachineKind,
			Phase: phases[e.Phase], StartID: e.StartID, Age: age})
	}
	f.notify(link.Event{Kind: link.EnginesUpdated, EngineList: list})
	return nil
}
