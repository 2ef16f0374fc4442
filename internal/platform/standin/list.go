package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cherryhub/internal/loopback"
	"cherryhub/internal/platform/discovery"
)

// Discovery is a stand-in of the platform's list of engines.
type Discovery struct {
	mu     sync.Mutex
	list   discovery.List
	log    []discovery.List // changes, in turn
	news   chan struct{}
	asked  int
	Broken string // in place of each answer, where not empty
	server *http.Server
	ln     net.Listener
}

// StartDiscovery starts one.
func StartDiscovery(hosts []discovery.Host) (*Discovery, error) {
	ln, err := loopback.Listen("127.0.0.1")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{list: discovery.List{Whole: true, Hosts: hosts}, news: make(chan struct{}), ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.hosts)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go d.server.Serve(ln) //nolint:errcheck // ends with Close
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() error { return d.server.Close() }

// Asked is how often it was asked.
func (d *Discovery) Asked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

// Break has it answer with this text from now on, or well again for an empty one.
func (d *Discovery) Break(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Broken = text
}

// Change tells of one engine.
func (d *Discovery) Change(h discovery.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	d.log = append(d.log, discovery.List{Version: d.list.Version, Hosts: []discovery.Host{h}})
	found := false
	for i := range d.list.Hosts {
		if d.list.Hosts[i].Name == h.Name {
			d.list.Hosts[i], found = h, true
		}
	}
	if !found {
		d.list.Hosts = append(d.list.Hosts, h)
	}
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) hosts(w http.ResponseWriter, r *http.Request) {
	from, watch := r.URL.Query()["from"]
	d.mu.Lock()
	d.asked++
	if d.Broken != "" {
		defer d.mu.Unlock()
		w.Write([]byte(d.Broken)) //nolint:errcheck // a stand-in
		return
	}
	answer := d.list
	if watch {
		at, _ := strconv.ParseInt(from[0], 10, 64)
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		if at >= d.list.Version {
			news := d.news
			d.mu.Unlock()
			select {
			case <-news:
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			d.mu.Lock()
		}
		answer = discovery.List{Version: d.list.Version, Hosts: []discovery.Host{}}
		for _, change := range d.log {
			if change.Version > at {
				answer.Hosts = append(answer.Hosts, change.Hosts...)
			}
		}
	}
	text, err := json.Marshal(answer)
	d.mu.Unlock()
	if err == nil {
		w.Write(text) //nolint:errcheck // a stand-in
	}
}
