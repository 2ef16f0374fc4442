package service

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherryhub/internal/platform/discovery"
	"cherryhub/internal/platform/standin"
)

// The bounds of a run: what its clients wait for a first token, and what the rules allow beside.
const (
	runLength    = 2 * time.Second
	runCalls     = 60
	runDeadline  = 1500 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	drainGrace   = time.Second
	toldWithin   = 6 * time.Second
	letGoMost    = 500*time.Millisecond + 300*time.Millisecond
	leavesWithin = 250 * time.Millisecond // the rule has 100; TestLeavesBehindItsCalls holds to that, here the machine is crowded
)

// run is a site with troubles on it, and what its clients saw.
type run struct {
	*site
	router   *Router
	random   *rand.Rand
	mu       sync.Mutex
	faults   map[string]bool      // calls that are spoilt
	hung     string               // an engine that answers nothing
	lists    []*standin.Discovery // all that there were; the last one is followed
	drained  []string
	stopping bool
	seen     map[string]*seen
}

// seen is one call as its client saw it.
type seen struct {
	class    string
	sent     time.Time
	leftAt   time.Time // zero: it did not leave
	answers  int
	status   int
	firstAt  time.Time
	whole    bool
	err      error
	dialed   bool
	stopping bool // the router was told to stop before the call was sent
}

// troubles by name; each begins at its time and ends by itself. They are those that meet on the platform's days.
var troubles = map[string]func(r *run){
	"clients leave":  func(*run) {}, // in calls
	"reload":         (*run).reload,
	"SIGTERM":        (*run).terminate,
	"silent watch":   (*run).silenceWatch,
	"reset":          (*run).resets,
	"hung engine":    func(r *run) { r.hangs("writer-0") },
	"cold engine":    (*run).restart,
	"draining":       (*run).drains,
	"hung prefiller": func(r *run) { r.hangs("reader-0") },
}

// reload moves the router to another discovery, which knows what the one before did.
func (r *run) reload() {
	r.mu.Lock()
	next, err := standin.StartDiscovery(r.lists[len(r.lists)-1].Hosts())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { next.Close() })
	before := r.lists[len(r.lists)-1]
	r.lists = append(r.lists, next)
	r.mu.Unlock()
	c := *r.c
	c.Discovery = next.Address()
	r.router.Reload(&c)
	time.Sleep(300 * time.Millisecond)
	before.Close() //nolint:errcheck // a stand-in
}

// change tells of an engine, by whichever discovery is asked.
func (r *run) change(h discovery.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lists {
		l.Update(h)
	}
}

func (r *run) terminate() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	require.NoError(r.t, r.stop())
}

func (r *run) silenceWatch() {
	r.mu.Lock()
	end := r.lists[len(r.lists)-1].Silence()
	r.mu.Unlock()
	time.Sleep(700 * time.Millisecond)
	end()
}

func (r *run) resets() {
	for range 8 {
		r.mu.Lock()
		r.faults[fmt.Sprint("c", r.random.Intn(runCalls))] = true
		r.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *run) hangs(engine string) {
	r.mu.Lock()
	r.hung = engine
	r.mu.Unlock()
	time.Sleep(800 * time.Millisecond)
	r.mu.Lock()
	r.hung = ""
	r.mu.Unlock()
}

// restart has an engine come back cold, at its own address's successor, as an engine of another name.
func (r *run) restart() {
	e, err := r.w.StartEngine("writer-2", false)
	require.NoError(r.t, err)
	r.t.Cleanup(e.Close)
	h := host(e, "writes")
	h.StartUnixMS = time.Now().UnixMilli()
	r.change(h)
}

func (r *run) drains() {
	h := host(r.engines["writer-1"], "writes")
	h.Health = "Terminating"
	r.change(h)
	r.mu.Lock()
	r.drained = append(r.drained, h.Name)
	r.mu.Unlock()
}

// told is when the router was told that an engine drains, by any discovery; the zero time for never.
func (r *run) told(engine string) (first time.Time) {
	for _, l := range r.lists {
		if at := l.DrainAnnounced(engine); !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// spoil is what the engines do to a call.
func (r *run) spoil(c *standin.Call, nth int) standin.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case c.Engine == r.hung && c.Kind != standin.Release:
		return standin.Silent
	case r.faults[c.ID] && nth == 0 && c.Kind == standin.Read:
		return standin.CloseBeforeAnswer
	case r.faults[c.ID] && nth == 0 && c.Kind == standin.Write:
		return []standin.Fault{standin.CloseBeforeAnswer, standin.CloseAfterFirstEvent}[len(c.ID)%2]
	}
	return standin.None
}

// client makes one call.
func (r *run) client(id string, tokens int, class string, leaves time.Duration) {
	r.mu.Lock()
	one := &seen{class: class, sent: time.Now(), stopping: r.stopping}
	r.seen[id] = one
	r.mu.Unlock()
	conn, err := net.Dial("tcp", r.c.Listen)
	if err != nil {
		one.err = err
		return
	}
	defer conn.Close()
	one.dialed = true
	conn.SetDeadline(time.Now().Add(8 * time.Second)) //nolint:errcheck // a test
	text := call(id, prompt(tokens), "X-Class: "+class, fmt.Sprintf("X-Deadline: %dm", runDeadline.Milliseconds()))
	if _, one.err = io.WriteString(conn, text); one.err != nil {
		return
	}
	if leaves > 0 {
		time.Sleep(leaves)
		one.leftAt = time.Now()
		return
	}
	in := bufio.NewReader(conn)
	if _, one.err = in.Peek(1); one.err != nil {
		return
	}
	one.firstAt = time.Now()
	resp, err := http.ReadResponse(in, nil)
	if one.err = err; err != nil {
		return
	}
	one.answers++
	one.status = resp.StatusCode
	_, one.err = io.ReadAll(resp.Body)
	one.whole = one.err == nil
	if !one.whole || resp.Close {
		return
	}
	conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) //nolint:errcheck // a test
	if n, _ := in.Read(make([]byte, 1)); n > 0 {
		one.answers++ // something after the final answer
	}
}

// playTroubles plays calls beside troubles, which begin within the run's first half.
func playTroubles(t *testing.T, seed int64, names ...string) *run {
	s := newSite(t, `"probes":false`, `"probes":true`)
	r := &run{site: s, router: s.r, random: rand.New(rand.NewSource(seed)), faults: map[string]bool{}, lists: []*standin.Discovery{s.list}, seen: map[string]*seen{}}
	s.w.InjectFault = r.spoil
	s.w.EventInterval = 20 * time.Millisecond
	var all sync.WaitGroup
	leaves := false
	for _, name := range names {
		leaves = leaves || name == "clients leave"
		at := time.Duration(r.random.Int63n(int64(runLength / 2)))
		all.Go(func() {
			time.Sleep(at)
			troubles[name](r)
		})
	}
	for n := range runCalls {
		r.mu.Lock()
		tokens, class, leave := []int{30, 30, 2000}[r.random.Intn(3)], []string{"chat", "once"}[r.random.Intn(2)], time.Duration(0)
		if leaves && r.random.Intn(3) == 0 {
			leave = time.Millisecond * time.Duration(1+r.random.Intn(60))
		}
		r.mu.Unlock()
		all.Go(func() { r.client(fmt.Sprint("c", n), tokens, class, leave) })
		time.Sleep(runLength / runCalls)
	}
	all.Wait()
	return r
}

// check holds a run to the rules, by what clients saw and what the engines recorded.
func (r *run) check(t *testing.T) {
	if !r.stopping {
		for _, engine := range r.drained {
			require.Eventually(t, func() bool { return !r.told(engine).IsZero() }, toldWithin, 10*time.Millisecond, "%s: never told that it drains", engine)
		}
		r.quiet()
	}
	calls := map[string][]standin.Call{} // attempts by id
	for _, c := range r.w.Calls("") {
		if c.Kind == standin.Read || c.Kind == standin.Write {
			calls[c.ID] = append(calls[c.ID], c)
		}
		if told := r.told(c.Engine); !told.IsZero() && c.Kind != standin.Release && c.Kind != standin.Probe {
			require.False(t, c.Received.After(told.Add(drainGrace)), "%s %s at %s, %v after it was told to drain", c.Kind, c.ID, c.Engine, c.Received.Sub(told))
		}
	}
	for id, one := range r.seen {
		r.checkCall(t, id, one, calls[id])
	}
	for _, h := range r.w.Holds() {
		require.LessOrEqual(t, unusedFor(h, calls[h.ID]), letGoMost, "%s is held at %s", h.ID, h.Engine)
	}
}

// unusedFor is the longest that something was held while none of the attempts at its request ran.
func unusedFor(h standin.Hold, attempts []standin.Call) (longest time.Duration) {
	slices.SortFunc(attempts, func(a, b standin.Call) int { return a.Received.Compare(b.Received) })
	free := h.From
	for _, c := range attempts {
		from, to, ran := c.RunSpan()
		if !ran || !from.Before(h.To) {
			continue
		}
		longest = max(longest, from.Sub(free))
		if to.IsZero() {
			to = h.To
		}
		if to.After(free) {
			free = to
		}
	}
	return max(longest, h.To.Sub(free))
}

func (r *run) checkCall(t *testing.T, id string, one *seen, attempts []standin.Call) {
	writes := 0
	for _, c := range attempts {
		if c.Kind == standin.Write {
			writes++
		}
		if !one.leftAt.IsZero() {
			require.False(t, c.Received.After(one.leftAt.Add(leavesWithin)), "%s: an attempt began %v after its client left", id, c.Received.Sub(one.leftAt))
		}
	}
	if one.class == "once" {
		require.LessOrEqual(t, writes, 1, "%s ran more than once", id)
	}
	if !one.leftAt.IsZero() {
		return
	}
	if one.answers == 0 { // no answer: only on a connection that a stopping router did not take, or did not read
		require.True(t, r.stopping, "%s: no answer: %v", id, one.err)
		require.Empty(t, attempts, "%s was sent on and got no answer: %v", id, one.err)
		return
	}
	require.Equal(t, 1, one.answers, "%s: something came after its final answer", id)
	require.Contains(t, []int{200, 429, 500, 503, 504}, one.status, id)
	require.LessOrEqual(t, one.firstAt.Sub(one.sent), runDeadline+answerSlack, "%s: its answer is late", id)
	if one.status == 429 || one.status == 503 {
		require.True(t, one.class != "once" || writes == 0, "%s: trying again is not harmless", id)
	}
}

// TestTroublesTogether: the rules hold whichever of the platform's troubles meet, in pairs and in threes.
func TestTroublesTogether(t *testing.T) {
	names := []string{"clients leave", "reload", "SIGTERM", "silent watch", "reset", "hung engine", "cold engine", "draining", "hung prefiller"}
	var sets [][]string
	for i := range names {
		for j := range i {
			sets = append(sets, []string{names[j], names[i]})
			for k := range j {
				sets = append(sets, []string{names[k], names[j], names[i]})
			}
		}
	}
	slots := make(chan struct{}, 16) // of real time: the runs mostly wait
	for n, set := range sets {
		t.Run(strings.Join(set, ", "), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			playTroubles(t, int64(n), set...).check(t)
		})
	}
}
