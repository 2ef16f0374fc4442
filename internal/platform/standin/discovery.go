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

// Discovery is a stand-in of the platform's list of engines.
type Discovery struct {
	mu             sync.Mutex
	list           discovery.List
	changes        []discovery.List // changes, in turn
	changed        chan struct{}
	requestCount   int
	FixedAnswer    string               // in place of each answer, where not empty
	drainAnnounced map[string]time.Time // when an answer that has an engine as draining was first written, by engine
	silent         chan struct{}        // no call is answered until it is closed, nil for none
	server         *http.Server
	ln             net.Listener
}

// StartDiscovery starts one.
func StartDiscovery(hosts []discovery.Host) (*Discovery, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{list: discovery.List{Snapshot: true, Hosts: hosts}, changed: make(chan struct{}), drainAnnounced: map[string]time.Time{}, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serveHosts)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go d.server.Serve(ln) //nolint:errcheck // ends with Close
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() error { return d.server.Close() }

// Asked is how often it was asked.
func (d *Discovery) RequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestCount
}

// Break has it answer with this text from now on, or well again for an empty one.
func (d *Discovery) SetFixedAnswer(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FixedAnswer = text
}

// Silence has it answer nothing, calls that wait already included, until the function that it returns is called; those
// calls are never answered.
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

// mute waits for the caller to give up where it is silent.
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

// Told is when a router was first told that an engine drains, the zero time for never.
func (d *Discovery) DrainAnnounced(engine string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainAnnounced[engine]
}

// Hosts are the engines as they are.
func (d *Discovery) Hosts() []discovery.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list.Hosts)
}

// Change tells of one engine.
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
		w.Write([]byte(d.FixedAnswer)) //nolint:errcheck // a stand-in
		return
	}
	answer := d.list
	if watch {
		at, _ := strconv.ParseInt(from[0], 10, 64)
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		if at >= d.list.Version {
			news := d.changed
			d.mu.Unlock()
			select {
			case <-news:
			case <-time.After(time.Duration(hold) * time.Millisecond):
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
			if change.Version > at {
				answer.Hosts = append(answer.Hosts, change.Hosts...)
			}
		}
	}
	text, err := json.Marshal(answer)
	for _, h := range answer.Hosts {
		if _, before := d.drainAnnounced[h.Name]; !before && h.Health == "Terminating" {
			d.drainAnnounced[h.Name] = time.Now()
		}
	}
	d.mu.Unlock()
	if err == nil {
		w.Write(text) //nolint:errcheck // a stand-in
	}
}
