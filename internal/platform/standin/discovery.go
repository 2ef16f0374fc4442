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
	list           discovery.List
	changes        []discovery.List // one entry for each update, oldest first
	changed        chan struct{}    // closed and replaced at each update
	requestCount   int
	FixedAnswer    string               // sent in place of every answer if not empty
	drainAnnounced map[string]time.Time // by engine: when the first answer that lists it as draining was sent
	silent         chan struct{}        // not nil: no request is answered until it is closed
	server         *http.Server
	ln             net.Listener
}

// StartDiscovery starts a discovery service on loopback that lists the given engines.
func StartDiscovery(hosts []discovery.Host) (*Discovery, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{list: discovery.List{Snapshot: true, Hosts: hosts}, changed: make(chan struct{}), drainAnnounced: map[string]time.Time{}, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serveHosts)
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

// DrainAnnounced returns when a client was first told that an engine is draining, or the zero time if none was.
func (d *Discovery) DrainAnnounced(engine string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainAnnounced[engine]
}

// Hosts returns the current list of engines.
func (d *Discovery) Hosts() []discovery.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list.Hosts)
}

// Update adds an engine to the list or replaces its entry, and notifies the waiting clients.
func (d *Discovery) Update(h discovery.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	d.changes = append(d.changes, discovery.List{Version: d.list.Version, Hosts: []discovery.Host{h}})
	found := false
	for i := range d.list.Hosts {
		if d.list.Hosts[i].Name == h.Name {
			d.list.Hosts[i], found = h, true
		}
	}
	if !found {
		d.list.Hosts = append(d.list.Hosts, h)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serveHosts(w http.ResponseWriter, r *http.Request) {
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
		answer = discovery.List{Version: d.list.Version, Hosts: []discovery.Host{}}
		for _, change := range d.changes {
			if change.Version > version {
				answer.Hosts = append(answer.Hosts, change.Hosts...)
			}
		}
	}
	text, err := json.Marshal(answer)
	for _, h := range answer.Hosts {
		if _, known := d.drainAnnounced[h.Name]; !known && h.Health == "Terminating" {
			d.drainAnnounced[h.Name] = time.Now()
		}
	}
	d.mu.Unlock()
	if err == nil {
		w.Write(text) //nolint:errcheck // the client sees the failure
	}
}
