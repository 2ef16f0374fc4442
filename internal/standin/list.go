package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cherryhub/internal/fleet"
	pb "cherryhub/proto"
)

// ListService pushes full engine lists and changes to routers, with a delay where one is set.
type ListService struct {
	fleet  *Fleet
	server *http.Server
	ln     net.Listener
	epoch  int64

	mu          sync.Mutex
	changes     []change // version is the index plus 1
	delay       time.Duration
	empty       bool
	unavailable bool
	generation  int              // grows when watchers have to reconnect
	knownStarts map[string]int64 // start ID last sent, by router and engine
}

// change is a change of an engine's phase.
type change struct {
	at      time.Time
	entry   fleet.EngineEntry
	started time.Time // zero: long ago
	name    string
}

func startListService(fleet *Fleet, address string, delay time.Duration) (*ListService, error) {
	ln, err := fleet.listen(address)
	if err != nil {
		return nil, fmt.Errorf("list service: %w", err)
	}
	l := &ListService{fleet: fleet, ln: ln, epoch: time.Now().UnixMilli(), delay: delay, knownStarts: map[string]int64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/engines", l.serve)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go l.server.Serve(ln) //nolint:errcheck // ends with Close
	return l, nil
}

// URL returns the URL of the list.
func (l *ListService) URL() string { return "http://" + l.ln.Addr().String() + "/v1/engines" }

// Close stops the service.
func (l *ListService) Close() error { return l.server.Close() }

// SetExtraDelay delays changes by more than the configured delay; 0 is normal.
func (l *ListService) SetExtraDelay(extra time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = time.Duration(l.fleet.settings.GetListDelayS()*float64(time.Second)) + extra
}

// SetEmpty makes the service answer with an empty list, or no longer.
func (l *ListService) SetEmpty(empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = empty
	l.generation++
}

// SetUnavailable makes the service refuse all requests, or no longer.
func (l *ListService) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.generation++
}

// publish announces an engine's phase.
func (l *ListService) publish(e *Engine, phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendChange(e, phase, time.Now())
}

// publishAll announces all engines at once, without delay, as they exist from the beginning.
func (l *ListService) publishAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.fleet.Engines {
		l.appendChange(e, "ready", time.Time{})
	}
}

func (l *ListService) appendChange(e *Engine, phase string, at time.Time) {
	c := change{at: at, started: e.startedAt(), name: e.name, entry: fleet.EngineEntry{Address: e.address, Zone: e.settings.GetZone(),
		Cell: e.cell, MachineKind: e.settings.GetMachine(), Phase: phase}}
	if !c.started.IsZero() {
		c.entry.StartID = c.started.UnixMilli()
	}
	l.changes = append(l.changes, c)
}

// visibleVersion returns the version that routers may see now.
func (l *ListService) visibleVersion() int {
	version := 0
	for version < len(l.changes) && (l.changes[version].at.IsZero() || time.Since(l.changes[version].at) >= l.delay) {
		version++
	}
	return version
}

func (l *ListService) serve(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	peer := l.fleet.peerAt(host).name
	l.mu.Lock()
	unavailable, generation := l.unavailable, l.generation
	l.mu.Unlock()
	if unavailable {
		http.Error(w, "gone", http.StatusServiceUnavailable)
		return
	}
	sent, sentSnapshot := 0, false
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	lastSent := time.Now()
	for {
		lines, announced, ended := l.nextLines(peer, generation, &sent, !sentSnapshot, &lastSent)
		sentSnapshot = true
		for _, c := range announced { // recorded before they are written: from here on the router may know
			l.fleet.writeEntry(&pb.Entry{What: &pb.Entry_List{List: &pb.ListEvent{Router: proto.String(peer), Engine: proto.String(c.name),
				Phase: proto.Int32(map[string]int32{"gone": 0, "ready": 1, "draining": 2}[c.entry.Phase]), StartedS: proto.Float64(ageSeconds(c.started))}}})
		}
		for _, line := range lines {
			text, err := json.Marshal(line)
			if err != nil {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
		}
		if len(lines) > 0 {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
		if ended || r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

// ageSeconds returns how long ago an engine started, below 0 for long ago.
func ageSeconds(started time.Time) float64 {
	if started.IsZero() {
		return -1
	}
	return time.Since(started).Seconds()
}

// nextLines returns the lines to send to a watcher now, the changes that they announce, and whether the watch ends.
func (l *ListService) nextLines(peer string, generation int, sent *int, first bool, lastSent *time.Time) (lines []fleet.Line, announced []change, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generation != generation {
		return nil, nil, true
	}
	version := max(l.visibleVersion(), *sent) // what was sent stays sent, even if the delay has grown since
	entry := func(c change) fleet.EngineEntry {
		e := c.entry
		if seconds := ageSeconds(c.started); seconds >= 0 {
			e.AgeSeconds = &seconds
		}
		return e
	}
	switch {
	case first:
		line := fleet.Line{Kind: "full", Epoch: l.epoch, Version: int64(version)}
		last := map[string]int{}
		for i, c := range l.changes[:version] {
			last[c.name] = i
		}
		for i, c := range l.changes[:version] {
			if last[c.name] == i && c.entry.Phase != "gone" && !l.empty {
				line.Entries = append(line.Entries, entry(c))
			}
			if last[c.name] == i && !l.empty {
				announced = append(announced, c)
			}
		}
		lines = append(lines, line)
	case version > *sent:
		for i := *sent; i < version; i++ {
			lines = append(lines, fleet.Line{Kind: "delta", Epoch: l.epoch, Version: int64(i + 1), Entries: []fleet.EngineEntry{entry(l.changes[i])}})
			announced = append(announced, l.changes[i])
		}
	case time.Since(*lastSent) > time.Second:
		lines = append(lines, fleet.Line{Kind: "alive", Epoch: l.epoch, Version: int64(version)})
	}
	if len(lines) > 0 {
		*lastSent = time.Now()
	}
	for _, c := range announced {
		l.knownStarts[peer+"/"+c.name] = c.entry.StartID
	}
	*sent = version
	return lines, announced, false
}

var errDown = errors.New("engine is down")

// knowsStart reports whether a router has been notified of an engine's start.
func (l *ListService) knowsStart(router, engine string, started time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownStarts[router+"/"+engine] == started.UnixMilli()
}
