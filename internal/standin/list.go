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

// List is a list service: it pushes full lists and changes to routers, late where it is told so.
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
	generation  int              // grows when watchers are to come again
	knownStarts map[string]int64 // the start that a router heard of last, by router and engine
}

type change struct {
	at      time.Time
	engine  fleet.Engine
	started time.Time // zero for long ago
	name    string
}

func startListService(f *Fleet, address string, delay time.Duration) (*ListService, error) {
	ln, err := f.listen(address)
	if err != nil {
		return nil, fmt.Errorf("list service: %w", err)
	}
	l := &ListService{fleet: f, ln: ln, epoch: time.Now().UnixMilli(), delay: delay, knownStarts: map[string]int64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/engines", l.serve)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go l.server.Serve(ln) //nolint:errcheck // ends with Close
	return l, nil
}

// URL is where a router finds the list.
func (l *ListService) URL() string { return "http://" + l.ln.Addr().String() + "/v1/engines" }

// Close stops the service.
func (l *ListService) Close() error { return l.server.Close() }

// Late makes news so much later; 0 is as usual.
func (l *ListService) SetExtraDelay(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = time.Duration(l.fleet.settings.GetListDelayS()*float64(time.Second)) + by
}

// Empty has the service answer an empty list, or no longer.
func (l *ListService) SetEmpty(so bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = so
	l.generation++
}

// Gone has the service refuse everybody, or no longer.
func (l *ListService) SetUnavailable(so bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = so
	l.generation++
}

// publish tells of an engine's phase.
func (l *ListService) publish(e *Engine, phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendChange(e, phase, time.Now())
}

// publishAll tells of all engines at once, without delay: they were there before the day.
func (l *ListService) publishAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.fleet.Engines {
		l.appendChange(e, "ready", time.Time{})
	}
}

func (l *ListService) appendChange(e *Engine, phase string, at time.Time) {
	c := change{at: at, started: e.startedAt(), name: e.name, engine: fleet.Engine{Address: e.address, Zone: e.settings.GetZone(),
		Cell: e.cell, MachineKind: e.settings.GetMachine(), Phase: phase}}
	if !c.started.IsZero() {
		c.engine.StartID = c.started.UnixMilli()
	}
	l.changes = append(l.changes, c)
}

// visible is the version that routers may see now.
func (l *ListService) visibleVersion() int {
	v := 0
	for v < len(l.changes) && (l.changes[v].at.IsZero() || time.Since(l.changes[v].at) >= l.delay) {
		v++
	}
	return v
}

func (l *ListService) serve(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	peer := l.fleet.peerAt(host).name
	l.mu.Lock()
	gone, round := l.unavailable, l.generation
	l.mu.Unlock()
	if gone {
		http.Error(w, "gone", http.StatusServiceUnavailable)
		return
	}
	sent, whole := 0, false
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	alive := time.Now()
	for {
		lines, told, again := l.nextLines(peer, round, &sent, !whole, &alive)
		whole = true
		for _, c := range told { // before they are written: from here on the router may know
			l.fleet.writeEntry(&pb.Entry{What: &pb.Entry_List{List: &pb.ListEvent{Router: proto.String(peer), Engine: proto.String(c.name),
				Phase: proto.Int32(map[string]int32{"gone": 0, "ready": 1, "draining": 2}[c.engine.Phase]), StartedS: proto.Float64(ageSeconds(c.started))}}})
		}
		for _, line := range lines {
			b, err := json.Marshal(line)
			if err != nil {
				return
			}
			if _, err := w.Write(append(b, '\n')); err != nil {
				return
			}
		}
		if len(lines) > 0 {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
		if again || r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

// age is how long ago an engine started, in seconds, below 0 for long ago.
func ageSeconds(started time.Time) float64 {
	if started.IsZero() {
		return -1
	}
	return time.Since(started).Seconds()
}

// news is what a watcher is to be told now.
func (l *ListService) nextLines(peer string, round int, sent *int, first bool, alive *time.Time) (lines []fleet.Line, told []change, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generation != round {
		return nil, nil, true
	}
	version := max(l.visibleVersion(), *sent) // told is told, though news is late from now on
	entry := func(c change) fleet.Engine {
		e := c.engine
		if a := ageSeconds(c.started); a >= 0 {
			e.AgeSeconds = &a
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
			if last[c.name] == i && c.engine.Phase != "gone" && !l.empty {
				line.Engines = append(line.Engines, entry(c))
			}
			if last[c.name] == i && !l.empty {
				told = append(told, c)
			}
		}
		lines = append(lines, line)
	case version > *sent:
		for i := *sent; i < version; i++ {
			lines = append(lines, fleet.Line{Kind: "delta", Epoch: l.epoch, Version: int64(i + 1), Engines: []fleet.Engine{entry(l.changes[i])}})
			told = append(told, l.changes[i])
		}
	case time.Since(*alive) > time.Second:
		lines = append(lines, fleet.Line{Kind: "alive", Epoch: l.epoch, Version: int64(version)})
	}
	if len(lines) > 0 {
		*alive = time.Now()
	}
	for _, c := range told {
		l.knownStarts[peer+"/"+c.name] = c.engine.StartID
	}
	*sent = version
	return lines, told, false
}

var errDown = errors.New("engine is down")

// told tells whether a router has heard of an engine's start.
func (l *ListService) knowsStart(router, engine string, started time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownStarts[router+"/"+engine] == started.UnixMilli()
}
