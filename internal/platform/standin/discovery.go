package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/discovery"
)

// Discovery is a stand-in for the platform's discovery service, which lists the engines.
type Discovery struct {
	mu             sync.Mutex
	list           discovery.EngineList
	changes        []discovery.EngineList // one entry for each update, oldest first
	changed        chan struct{}          // closed and replaced at each update
	requestCount   int
	FixedAnswer    string               // sent in place of every answer if not empty
	drainAnnounced map[string]time.Time // by engine: when the first answer that lists it as draining was sent
	silent         chan struct{}        // not nil: no request is answered until it is closed
	server         *http.Server
	ln             net.Listener
}

// StartDiscovery starts a discovery service on loopback that lists the given engines.
func StartDiscovery(entries []discovery.EngineEntry) (*Discovery, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{list: discovery.EngineList{Snapshot: true, Entries: entries}, changed: make(chan struct{}), drainAnnounced: map[string]time.Time{}, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serveList)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go d.server.Serve(ln) //nolint:errcheck // returns when Close is called
	return d, nil
}

// Address returns the listening address.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Close stops the service and closes its connections.
func (d *Discovery) Close() error { return d.server.Close() }

// RequestCount returns how many requests the service has received, apart from those that Silence left unanswered from the start.
func (d *Discovery) RequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestCount
}

// SetFixedAnswer makes the service answer every request with the given text, or normally again if it is empty.
func (d *Discovery) SetFixedAnswer(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FixedAnswer = text
}

// Silence makes the service answer nothing, including requests that are already waiting, until the returned function is called. The
// requests it affects are never answered.
func (d *Discovery) Silence() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	silent := make(chan struct{})
	d.silent = silent
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.silent == silent {
			d.silent = nil
		}
		close(silent)
	}
}

// waitSilent reports whether the service is silent. If so, it first waits until the client gives up.
func (d *Discovery) waitSilent(r *http.Request) bool {
	d.mu.Lock()
	silent := d.silent
	d.mu.Unlock()
	if silent == nil {
		return false
	}
	<-r.Context().Done()
	return true
}

// DrainAnnounced returns when a client was first notified that an engine is draining, or the zero time if none was.
func (d *Discovery) DrainAnnounced(engine string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainAnnounced[engine]
}

// Entries returns the entries of the current engine list.
func (d *Discovery) Entries() []discovery.EngineEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list.Entries)
}

// Update adds an engine to the list or replaces its entry, and notifies the waiting clients.
func (d *Discovery) Update(entry discovery.EngineEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	d.changes = append(d.changes, discovery.EngineList{Version: d.list.Version, Entries: []discovery.EngineEntry{entry}})
	found := false
	for i := range d.list.Entries {
		if d.list.Entries[i].Name == entry.Name {
			d.list.Entries[i], found = entry, true
		}
	}
	if !found {
		d.list.Entries = append(d.list.Entries, entry)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	if d.waitSilent(r) {
		return
	}
	from, watch := r.URL.Query()["from"]
	d.mu.Lock()
	d.requestCount++
	if d.FixedAnswer != "" {
		defer d.mu.Unlock()
		w.Write([]byte(d.FixedAnswer)) //nolint:errcheck // the client sees the failure
		return
	}
	answer := d.list
	if watch {
		version, _ := strconv.ParseInt(from[0], 10, 64)
		holdMillis, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		if version >= d.list.Version {
			changed := d.changed
			d.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(holdMillis) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			if d.waitSilent(r) {
				return
			}
			d.mu.Lock()
		}
		answer = discovery.EngineList{Version: d.list.Version, Entries: []discovery.EngineEntry{}}
		for _, change := range d.changes {
			if change.Version > version {
				answer.Entries = append(answer.Entries, change.Entries...)
			}
		}
	}
	text, err := json.Marshal(answer)
	for _, entry := range answer.Entries {
		if _, known := d.drainAnnounced[entry.Name]; !known && entry.Health == "Terminating" {
			d.drainAnnounced[entry.Name] = time.Now()
		}
	}
	d.mu.Unlock()
	if err == nil {
		w.Write(text) //nolint:errcheck // the client sees the failure
	}
}
