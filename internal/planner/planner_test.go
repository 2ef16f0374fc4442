package planner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// book is an edge that keeps what is ordered.
type book struct {
	mu     sync.Mutex
	orders []link.Command
}

func (b *book) Execute(o link.Command) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, o)
}

func (b *book) of(kind link.CommandKind) (all []link.Command) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.orders {
		if o.Kind == kind {
			all = append(all, o)
		}
	}
	return all
}

func settings() decide.Settings {
	return decide.Settings{Seed: 7, Routers: 1, Roles: []decide.Role{decide.Reader, decide.Writer}, Memory: []float64{2e5, 2e5},
		Workloads:          []decide.Workload{{LatencyTarget: 1.5, InterTokenTarget: 0.06, Value: 3}, {LatencyTarget: 1, Value: 1, Idempotency: decide.NonIdempotent}},
		WriterReadsAllowed: true, CancelAllowed: true, MaxDispatches: 4, MaxRetryAfter: 1, ColdStartShare: 0.3, WarmUpTime: 10, OverloadMultiple: 2, OverloadWindow: 2, Tick: 0.002}
}

func planner(t require.TestingT, change func(*decide.Settings, *Options)) (*Planner, *book) {
	s, o, b := settings(), Options{MachineKinds: []MachineKind{{"read", decide.Reader}, {"write", decide.Writer}}, MaxEngines: 8, MaxQueuedCompletions: 16,
		MaxOpenCompletions: 64, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, &book{}
	if change != nil {
		change(&s, &o)
	}
	p, err := New(s, o, b)
	require.NoError(t, err)
	return p, b
}

func entry(n int, machine string, phase decide.Phase) link.EngineEntry {
	return link.EngineEntry{Address: fmt.Sprintf("10.0.0.%d:8000", n), Zone: "a", Cell: "a1", MachineKind: machine, Phase: phase, Age: -1}
}

func fleet(kind decide.ListKind, entries ...link.EngineEntry) link.Event {
	return link.Event{Kind: link.EnginesUpdated, EngineList: &link.EngineList{Kind: kind, Entries: entries}}
}

func take(id uint64, work int, tokens float64, left time.Duration) link.Event {
	return link.Event{Kind: link.CompletionArrived, Completion: id, Deadline: time.Now().Add(left),
		Prompt: &decide.Prompt{Workload: work, Session: id, Tokens: tokens, MaxOutputTokens: 50}}
}

// step reads what is in the mailbox, as Run does.
func (p *Planner) step() {
	for _, f := range p.mailbox.drain(nil) {
		p.process(&f)
	}
	p.runTimers()
}

// TestOwnZone: whichever number the settings give the router's zone, its own engines are the near ones.
func TestOwnZone(t *testing.T) {
	for number, own := range []string{"a", "b", "c"} {
		p, b := planner(t, func(s *decide.Settings, o *Options) { s.Zone, s.CrossZonePrice, o.Zone = number, 0.1, own })
		var entries []link.EngineEntry
		for i, zone := range []string{"c", "a", "b"} { // in any order
			e := entry(i+1, "write", decide.Ready)
			e.Zone, e.Cell = zone, zone+"1"
			entries = append(entries, e)
		}
		p.Notify(fleet(decide.ListSnapshot, entries...))
		for id := range uint64(5) {
			p.Offer(take(id+1, 0, 100, time.Second))
		}
		p.step()
		sent := b.of(link.Dispatch)
		require.Len(t, sent, 5)
		for _, o := range sent {
			assert.Equal(t, own, map[string]string{"10.0.0.1:8000": "c", "10.0.0.2:8000": "a", "10.0.0.3:8000": "b"}[o.Address])
		}
	}
}

func TestMailbox(t *testing.T) {
	p, _ := planner(t, func(_ *decide.Settings, o *Options) { o.MaxQueuedCompletions, o.MaxOpenCompletions = 3, 5 })
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready)))
	offered := 0
	for id := range uint64(9) {
		if p.Offer(take(id+1, 0, 100, time.Second)) {
			offered++
		}
	}
	assert.Equal(t, 3, offered, "the offers that may wait")
	for range 100 {
		p.Notify(link.Event{Kind: link.ClientLeft, Completion: 99})
	}
	waiting, open := p.mailbox.counts()
	assert.Equal(t, 104, waiting, "what is told is never refused")
	assert.Equal(t, 3, open)
	p.step()
	assert.True(t, p.Offer(take(21, 0, 100, time.Second)))
	assert.True(t, p.Offer(take(22, 0, 100, time.Second)))
	assert.False(t, p.Offer(take(23, 0, 100, time.Second)), "the completions that may be open")
	p.step()
	p.Notify(link.Event{Kind: link.ClientLeft, Completion: 1})
	p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Outcome: decide.Cancelled})
	p.step()
	assert.True(t, p.Offer(take(24, 0, 100, time.Second)), "one is over")
}

// TestRunAnswersInTime: with an engine that never answers, the final answer comes before the client timeout. In virtual
// time, as the margin is two ticks.
func TestRunAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, b := planner(t, nil)
		ctx, end := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { p.Run(ctx); close(ended) }()
		p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready)))
		p.Offer(take(1, 0, 100, 300*time.Millisecond))
		time.Sleep(290 * time.Millisecond)
		synctest.Wait()
		assert.Empty(t, b.of(link.RateLimit), "not long before")
		time.Sleep(9 * time.Millisecond)
		synctest.Wait()
		assert.Len(t, b.of(link.RateLimit), 1)
		require.Len(t, b.of(link.Dispatch), 1)
		assert.Len(t, b.of(link.Cancel), 1)
		p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Outcome: decide.Cancelled})
		synctest.Wait()
		assert.Equal(t, Stats{DecideTime: p.Stats().DecideTime}, p.Stats())
		end()
		<-ended
	})
}

// TestReads: a long prompt goes to a reader as a read, and its state to a writer.
func TestReads(t *testing.T) {
	p, b := planner(t, nil)
	p.Notify(fleet(decide.ListSnapshot, entry(1, "read", decide.Ready), entry(2, "write", decide.Ready)))
	p.Offer(take(1, 0, 5000, time.Second))
	p.step()
	p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Outcome: decide.Read, Elapsed: 0.1})
	p.step()
	sent := b.of(link.Dispatch)
	require.Len(t, sent, 2)
	assert.Equal(t, []any{true, "10.0.0.1:8000", 0}, []any{sent[0].IsRead, sent[0].Address, sent[0].Dispatch})
	assert.Equal(t, []any{false, "10.0.0.2:8000", 1}, []any{sent[1].IsRead, sent[1].Address, sent[1].Dispatch})
	p.Notify(link.Event{Kind: link.DispatchStarted, Completion: 1, Dispatch: 1, Elapsed: 0.1})
	p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Dispatch: 1, Outcome: decide.Finished, Answered: true})
	p.step()
	assert.Empty(t, p.open)
}

// TestPanic: a panic in decide costs its completion an abort and no more.
func TestPanic(t *testing.T) {
	p, b := planner(t, nil)
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready)))
	p.Offer(take(1, 99, 100, time.Second)) // a workload that is not there
	p.Offer(take(2, 0, 100, time.Second))
	p.step()
	assert.Len(t, b.of(link.Abort), 1)
	assert.Len(t, b.of(link.Dispatch), 1)
	assert.Equal(t, int64(1), p.Stats().Panics)
	assert.Equal(t, 1, p.Stats().OpenCompletions)
}

// TestTimersBounded: timers of completions that are over don't pile up.
func TestTimersBounded(t *testing.T) {
	p, _ := planner(t, func(_ *decide.Settings, o *Options) { o.MaxQueuedCompletions = 1 << 20 })
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready)))
	for id := range uint64(20000) {
		p.Offer(take(id, 0, 10, time.Hour))
		p.Notify(link.Event{Kind: link.DispatchStarted, Completion: id})
		p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Outcome: decide.Finished, Answered: true})
		p.step()
	}
	assert.Empty(t, p.open)
	assert.Less(t, len(p.timers), 2500)
}

func TestEngines(t *testing.T) {
	e := newEngineTable(2, []MachineKind{{"read", decide.Reader}}, "home", slog.New(slog.DiscardHandler))
	list := func(kind decide.ListKind, entries ...link.EngineEntry) *link.EngineList {
		return &link.EngineList{Kind: kind, Entries: entries}
	}
	young := entry(1, "read", decide.Ready)
	young.StartID, young.Age = 77, 3
	facts := e.entries(10, list(decide.ListSnapshot, young, entry(2, "odd", decide.Ready), entry(3, "read", decide.Ready)))
	require.Len(t, facts, 2, "no more than may be known")
	assert.Equal(t, 7.0, facts[0].StartedAt)
	assert.Equal(t, decide.Reader, e.records[0].role)
	assert.Equal(t, 1, facts[0].Zone, "the router's own zone is 0")
	assert.Equal(t, 1, facts[1].MachineKind, "an unknown machine is a kind of its own")
	assert.Equal(t, decide.Mixed, e.records[1].role)
	young.Age = 5.5
	assert.Equal(t, 7.0, e.entries(12, list(decide.ListDelta, young))[0].StartedAt, "one start has one age")
	young.StartID, young.Age = 78, 0.5
	assert.Equal(t, 11.5, e.entries(12, list(decide.ListDelta, young))[0].StartedAt, "a restart")
	e.entries(20, list(decide.ListSnapshot, young)) // 2 is gone
	again := e.entries(100, list(decide.ListDelta, entry(3, "read", decide.Ready)))
	require.Len(t, again, 1)
	assert.Equal(t, 1, again[0].Index, "and serves another")
	assert.Equal(t, "10.0.0.3:8000", e.addressOf(1))
}

// TestNamesBounded: names of zones and cells go with the engines that had them, so a list that names ever new ones
// stays bounded; a name in use keeps its index, and one given up rests before it means something else.
func TestNamesBounded(t *testing.T) {
	e := newEngineTable(4, nil, "home", slog.New(slog.DiscardHandler))
	stays := entry(1, "read", decide.Ready)
	stays.Zone, stays.Cell = "home", "h1"
	last, most := -1, 0
	for i := range 5000 {
		other := entry(2+i%3, "read", decide.Ready)
		other.Zone, other.Cell = fmt.Sprint("zone", i), fmt.Sprint("cell", i)
		for _, f := range e.entries(float64(i*100), &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{stays, other}}) {
			most = max(most, f.Zone, f.Cell)
			if f.Index == 0 {
				require.Zero(t, f.Zone, "the own zone")
				require.Zero(t, f.Cell)
				continue
			}
			require.NotEqual(t, last, f.Cell, "an index that was just given up rests")
			require.Equal(t, f, e.entries(float64(i*100), &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{other}})[0], "a name has one index")
			last = f.Cell
		}
	}
	assert.LessOrEqual(t, most, 2*4)
	// Names that change faster than they rest have the engine left out, and all who stay go on.
	for i := range 50 {
		other := entry(2, "read", decide.Ready)
		other.Cell = fmt.Sprint("hasty", i)
		facts := e.entries(1e6, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{stays, other}})
		if i >= 20 {
			require.Equal(t, decide.Gone, facts[1].Phase, "not where it was")
		}
		require.LessOrEqual(t, len(e.cells.slots), 2*4+1)
		require.Zero(t, facts[0].Index)
	}
}

// TestIndicesUnderPressure: where all indices are taken, a new engine gets that of the one gone for longest; one that is
// there is never put out.
func TestIndicesUnderPressure(t *testing.T) {
	e := newEngineTable(4, []MachineKind{{"read", decide.Reader}}, "home", slog.New(slog.DiscardHandler))
	for i := range 100 {
		l := &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{entry(0, "read", decide.Ready), entry(i+1, "read", decide.Ready), entry(i+2, "read", decide.Ready)}}
		facts := e.entries(float64(i), l)
		require.Len(t, facts, 3, "all who are there")
		require.Zero(t, facts[0].Index)
		require.NotEqual(t, facts[1].Index, facts[2].Index)
		for k, f := range facts {
			require.Equal(t, l.Entries[k].Address, e.addressOf(f.Index))
		}
	}
	l := &link.EngineList{Kind: decide.ListSnapshot}
	for i := range 5 {
		l.Entries = append(l.Entries, entry(200+i, "read", decide.Ready))
	}
	assert.Len(t, e.entries(100, l), 4, "no more than may be known")
}

// TestMissingStart: what a list doesn't tell of an engine's start has a stated stand-in.
func TestMissingStart(t *testing.T) {
	with := func(start int64, age float64, phase decide.Phase) link.EngineEntry {
		one := entry(1, "read", phase)
		one.StartID, one.Age = start, age
		return one
	}
	for name, c := range map[string]struct {
		first, next link.EngineEntry
		want        float64 // started, as the second list at 100 s tells it; the first comes at 10 s
	}{
		"no start any more, same engine":         {with(77, 3, decide.Ready), with(0, -1, decide.Ready), 7},
		"a start told for the first time":        {with(0, -1, decide.Ready), with(77, 200, decide.Ready), -100},
		"a restart, its age not told":            {with(77, 3, decide.Ready), with(78, -1, decide.Ready), 100},
		"an older process at the address":        {with(77, 3, decide.Ready), with(70, 500, decide.Ready), -400},
		"gone and back, nothing told":            {with(0, -1, decide.Gone), with(0, -1, decide.Ready), 100},
		"gone and back, its age told":            {with(0, -1, decide.Gone), with(0, 2, decide.Ready), 98},
		"drains, and is back, nothing told":      {with(0, -1, decide.Draining), with(0, -1, decide.Ready), unknownStartSeconds},
		"started when the planner's clock began": {with(77, 10, decide.Ready), with(77, 200, decide.Ready), 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngineTable(4, nil, "home", slog.New(slog.DiscardHandler))
			ready := c.first
			ready.Phase = decide.Ready
			e.entries(10, &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{ready}})
			e.entries(50, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{c.first}})
			assert.Equal(t, c.want, e.entries(100, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{c.next}})[0].StartedAt)
		})
	}
}

// TestGoneLine: a line that an engine is gone may tell nothing else. It takes nothing from what is known, and gives
// no index to an engine that was never there.
func TestGoneLine(t *testing.T) {
	e := newEngineTable(4, []MachineKind{{"read", decide.Reader}}, "home", slog.New(slog.DiscardHandler))
	there := entry(1, "read", decide.Ready)
	there.StartID, there.Age = 77, 3
	first := e.entries(10, &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{there}})[0]
	bare := func(n int) link.EngineEntry {
		return link.EngineEntry{Address: entry(n, "", 0).Address, Phase: decide.Gone, Age: -1}
	}
	gone := e.entries(20, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{bare(1), bare(2)}})
	want := first
	want.Phase = decide.Gone
	assert.Equal(t, []decide.EngineEntry{want}, gone)
	assert.Len(t, e.records, 1)
	assert.Equal(t, first, e.entries(30, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{there}})[0], "the same life of it")
}

// TestReusedIndex: a probe's result goes to the engine that was asked, not to the one that has its index now; and the
// new one inherits nothing, though neither's start is told.
func TestReusedIndex(t *testing.T) {
	p, b := planner(t, func(s *decide.Settings, o *Options) { o.MaxEngines = 2; s.ReportColumns = []string{"x0", "x1"} })
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready), entry(2, "write", decide.Ready)))
	p.step()
	full := link.Event{Kind: link.ProbeEnded, Address: entry(2, "", 0).Address, Outcome: decide.Finished, Report: []float64{1, 900}}
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready)))
	p.step()
	p.start = p.start.Add(-time.Minute)
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready), entry(3, "write", decide.Ready)))
	p.Notify(full)
	for range 4 {
		p.Notify(link.Event{Kind: link.ProbeEnded, Address: entry(1, "", 0).Address, Outcome: decide.Finished, Report: []float64{0.9, 1}})
	}
	p.Offer(take(1, 0, 100, time.Second))
	p.step()
	require.Len(t, b.of(link.Dispatch), 1)
	assert.Equal(t, entry(3, "", 0).Address, b.of(link.Dispatch)[0].Address, "the late report of 2 is not 3's")
}

// TestStalledMailbox: while the planner stands still, news and reports come by the thousand and what waits stays
// bounded; when it goes on it knows the last of each.
func TestStalledMailbox(t *testing.T) {
	p, b := planner(t, func(s *decide.Settings, _ *Options) { s.ReportColumns = []string{"x0", "x1"} })
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready), entry(2, "write", decide.Ready), entry(3, "write", decide.Ready)))
	for i := range 50000 {
		n := 1 + i%3
		p.Notify(link.Event{Kind: link.ProbeEnded, Address: entry(n, "", 0).Address, Outcome: decide.Finished, Report: []float64{float64(n) / 4, 1}})
		phase := []decide.Phase{decide.Ready, decide.Draining, decide.Gone}[n-1]
		p.Notify(fleet(decide.ListDelta, entry(n, "write", phase)))
	}
	waiting, _ := p.mailbox.counts()
	assert.Less(t, waiting, 100)
	p.step()
	for id := range uint64(20) {
		p.Offer(take(id+1, 0, 100, time.Second))
	}
	p.step()
	for _, o := range b.of(link.Dispatch) {
		assert.Equal(t, entry(1, "", 0).Address, o.Address, "the one that is ready by the last news")
	}
	require.Len(t, b.of(link.Dispatch), 16, "as many as may wait")
	p.Notify(fleet(decide.ListSnapshot, entry(2, "write", decide.Ready)))
	for range 100 {
		p.Notify(fleet(decide.ListDelta, entry(3, "write", decide.Ready)))
		p.Notify(fleet(decide.ListDelta, entry(3, "write", decide.Gone)))
	}
	p.Notify(fleet(decide.ListSnapshot, entry(4, "write", decide.Ready)))
	p.step()
	p.Offer(take(99, 0, 100, time.Second))
	p.step()
	sent := b.of(link.Dispatch)
	assert.Equal(t, entry(4, "", 0).Address, sent[len(sent)-1].Address, "a whole list replaces all before it")
}

// TestNewsFirst: what was offered, and timers that came due, before the news of a drain send nothing there once the
// planner that stood still goes on.
func TestNewsFirst(t *testing.T) {
	p, b := planner(t, nil)
	p.Notify(fleet(decide.ListSnapshot, entry(1, "write", decide.Ready)))
	p.step()
	p.Offer(take(1, 0, 100, time.Second))
	batch := p.mailbox.drain(nil) // the planner stands still with it
	p.Offer(take(2, 0, 100, time.Second))
	p.Notify(fleet(decide.ListDelta, entry(1, "write", decide.Draining)))
	for i := range batch {
		p.process(&batch[i])
	}
	p.step()
	assert.Empty(t, b.of(link.Dispatch))
	assert.Len(t, b.of(link.RateLimit), 2)
}

// TestRunEnds though facts never cease.
func TestRunEnds(t *testing.T) {
	p, _ := planner(t, nil)
	ctx, end := context.WithCancel(context.Background())
	p.observeDelay = func(float64) { p.Notify(link.Event{Kind: link.ClientLeft, Completion: 99}) } // each fact brings the next
	p.Notify(link.Event{Kind: link.ClientLeft, Completion: 99})
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	end()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("it goes on")
	}
}

// TestAnyOrder plays any legal course of facts and holds what is ordered to what every edge relies on.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, b := planner(t, func(s *decide.Settings, o *Options) {
			s.ReservationsAllowed = rapid.Bool().Draw(t, "places")
			o.MaxQueuedCompletions = 1000
		})
		now := 0.0
		p.start = time.Now().Add(-time.Hour) // time is moved by hand below
		type state struct {
			out      map[int]bool
			sent     int
			finals   int
			began    bool
			done     bool
			deadline float64
		}
		all, next, seen := map[uint64]*state{}, uint64(0), 0
		machines := []string{"read", "write"}
		settle := func() {
			p.step()
			for ; seen < len(b.orders); seen++ {
				o := b.orders[seen]
				c := all[o.Completion]
				switch o.Kind {
				case link.Dispatch:
					require.Equal(t, c.sent, o.Dispatch, "numbered in order")
					require.Zero(t, c.finals, "nothing is sent after the final answer")
					require.False(t, c.done)
					c.out[o.Dispatch] = true
					c.sent++
				case link.RateLimit, link.Abort:
					c.finals++
					require.Equal(t, 1, c.finals, "one final answer")
					require.False(t, c.began, "an answer that began is the final one")
				case link.Cancel:
					require.Less(t, o.Dispatch, c.sent, "only what was sent is cancelled")
				}
			}
		}
		p.Notify(fleet(decide.ListSnapshot, entry(1, "read", decide.Ready), entry(2, "write", decide.Ready), entry(3, "write", decide.Ready)))
		settle()
		pick := func() (uint64, *state, int) {
			for id := uint64(1); id <= next; id++ {
				for n := range all[id].sent {
					if all[id].out[n] && rapid.Bool().Draw(t, "this") {
						return id, all[id], n
					}
				}
			}
			return 0, nil, 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				next++
				all[next] = &state{out: map[int]bool{}, deadline: now + 1}
				p.Offer(take(next, rapid.IntRange(0, 1).Draw(t, "work"), rapid.Float64Range(1, 9000).Draw(t, "tokens"), time.Second))
			},
			"start": func(t *rapid.T) {
				if id, c, n := pick(); c != nil && !c.began && c.finals == 0 && !c.done {
					c.began = true
					p.Notify(link.Event{Kind: link.DispatchStarted, Completion: id, Dispatch: n, Elapsed: 0.1})
				}
			},
			"end": func(t *rapid.T) {
				if id, c, n := pick(); c != nil {
					o := decide.Outcome(rapid.IntRange(int(decide.Finished), int(decide.NotSent)).Draw(t, "outcome"))
					delete(c.out, n)
					c.done = c.done || o == decide.Finished || c.began
					p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Dispatch: n, Outcome: o, Elapsed: 0.1, Answered: c.done})
				}
			},
			"leave": func(t *rapid.T) {
				if id, c, _ := pick(); c != nil {
					c.done = true
					p.Notify(link.Event{Kind: link.ClientLeft, Completion: id})
				}
			},
			"list": func(t *rapid.T) {
				n := rapid.IntRange(1, 4).Draw(t, "engine")
				p.Notify(fleet(decide.ListDelta, entry(n, machines[min(n-1, 1)], decide.Phase(rapid.IntRange(0, 2).Draw(t, "phase")))))
			},
			"probe": func(t *rapid.T) {
				p.Notify(link.Event{Kind: link.ProbeEnded, Address: entry(rapid.IntRange(0, 9).Draw(t, "engine"), "", 0).Address, Outcome: decide.Finished,
					Report: []float64{math.NaN()}})
			},
			"time": func(t *rapid.T) {
				d := rapid.Float64Range(0.001, 0.5).Draw(t, "seconds")
				now += d
				p.start = p.start.Add(-time.Duration(d * float64(time.Second)))
			},
			"": func(t *rapid.T) {
				settle()
				for id, c := range all {
					if now > c.deadline && !c.began && !c.done {
						require.Equal(t, 1, c.finals, "%d is answered in time", id)
					}
				}
			},
		})
		for id, c := range all { // all end, and nothing is left
			for n := range c.out {
				p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Dispatch: n, Outcome: decide.Broken, Answered: c.done || c.began})
			}
			c.out = map[int]bool{}
			settle()
		}
		p.start = p.start.Add(-time.Minute)
		for range 9 {
			for id, c := range all {
				for n := range c.out {
					delete(c.out, n)
					p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Dispatch: n, Outcome: decide.TimedOut})
				}
			}
			settle()
		}
		require.Empty(t, p.open)
	})
}
