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

// recordingEdge is an edge that only records the commands it gets.
type recordingEdge struct {
	mu       sync.Mutex
	commands []link.Command
}

func (e *recordingEdge) Execute(c link.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, c)
}

func (e *recordingEdge) ofKind(kind link.CommandKind) (all []link.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.commands {
		if c.Kind == kind {
			all = append(all, c)
		}
	}
	return all
}

func settings() decide.Settings {
	return decide.Settings{Seed: 7, Routers: 1, Roles: []decide.Role{decide.Reader, decide.Writer}, Memory: []float64{2e5, 2e5},
		Workloads:          []decide.Workload{{LatencyTarget: 1.5, InterTokenTarget: 0.06, Value: 3}, {LatencyTarget: 1, Value: 1, Idempotency: decide.NonIdempotent}},
		WriterReadsAllowed: true, CancelAllowed: true, MaxDispatches: 4, MaxRetryAfter: 1, ColdStartShare: 0.3, WarmUpTime: 10, OverloadMultiple: 2, OverloadWindow: 2, Tick: 0.002}
}

func newTestPlanner(t require.TestingT, change func(*decide.Settings, *Options)) (*Planner, *recordingEdge) {
	s, o, edge := settings(), Options{MachineKinds: []MachineKind{{"read", decide.Reader}, {"write", decide.Writer}}, MaxEngines: 8, MaxQueuedCompletions: 16,
		MaxOpenCompletions: 64, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, &recordingEdge{}
	if change != nil {
		change(&s, &o)
	}
	p, err := New(s, o, edge)
	require.NoError(t, err)
	return p, edge
}

func engineEntry(n int, machine string, phase decide.Phase) link.EngineEntry {
	return link.EngineEntry{Address: fmt.Sprintf("10.0.0.%d:8000", n), Zone: "a", Cell: "a1", MachineKind: machine, Phase: phase, Age: -1}
}

func listEvent(kind decide.ListKind, entries ...link.EngineEntry) link.Event {
	return link.Event{Kind: link.EnginesUpdated, EngineList: &link.EngineList{Kind: kind, Entries: entries}}
}

func arrival(id uint64, workload int, tokens float64, timeLeft time.Duration) link.Event {
	return link.Event{Kind: link.CompletionArrived, Completion: id, Deadline: time.Now().Add(timeLeft),
		Prompt: &decide.Prompt{Workload: workload, Session: id, Tokens: tokens, MaxOutputTokens: 50}}
}

// step processes all queued events and due timers once, as Run does.
func (p *Planner) step() {
	for _, e := range p.mailbox.drain(nil) {
		p.process(&e)
	}
	p.runTimers()
}

// TestOwnZone checks that the engines of the router's zone are preferred, whatever number the settings give that zone.
func TestOwnZone(t *testing.T) {
	for number, own := range []string{"a", "b", "c"} {
		p, edge := newTestPlanner(t, func(s *decide.Settings, o *Options) { s.Zone, s.CrossZonePrice, o.Zone = number, 0.1, own })
		var entries []link.EngineEntry
		for i, zone := range []string{"c", "a", "b"} { // not in the order of the numbers
			e := engineEntry(i+1, "write", decide.Ready)
			e.Zone, e.Cell = zone, zone+"1"
			entries = append(entries, e)
		}
		p.Notify(listEvent(decide.ListSnapshot, entries...))
		for id := range uint64(5) {
			p.Offer(arrival(id+1, 0, 100, time.Second))
		}
		p.step()
		sent := edge.ofKind(link.Dispatch)
		require.Len(t, sent, 5)
		for _, o := range sent {
			assert.Equal(t, own, map[string]string{"10.0.0.1:8000": "c", "10.0.0.2:8000": "a", "10.0.0.3:8000": "b"}[o.Address])
		}
	}
}

// TestSendBy checks that the edge learns by when a repeat has to be sent, counted from the dispatch before it.
func TestSendBy(t *testing.T) {
	const window = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		p, edge := newTestPlanner(t, func(s *decide.Settings, _ *Options) {
			s.Workloads[1].Idempotency, s.Workloads[1].DedupWindow = decide.Tokened, window.Seconds()
		})
		time.Sleep(time.Second)
		p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready)))
		p.Offer(arrival(1, 1, 100, 5*time.Second))
		p.step()
		first := time.Now()
		time.Sleep(window / 2)
		p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Outcome: decide.Broken, Elapsed: 1})
		p.step()
		sent := edge.ofKind(link.Dispatch)
		require.Len(t, sent, 2)
		require.Zero(t, sent[0].SendBy)
		require.WithinDuration(t, first.Add(window), sent[1].SendBy, 5*time.Millisecond)
		require.False(t, sent[1].SendBy.After(first.Add(window)))
	})
}

func TestMailbox(t *testing.T) {
	p, _ := newTestPlanner(t, func(_ *decide.Settings, o *Options) { o.MaxQueuedCompletions, o.MaxOpenCompletions = 3, 5 })
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready)))
	offered := 0
	for id := range uint64(9) {
		if p.Offer(arrival(id+1, 0, 100, time.Second)) {
			offered++
		}
	}
	assert.Equal(t, 3, offered, "no more than MaxQueuedCompletions")
	for range 100 {
		p.Notify(link.Event{Kind: link.ClientLeft, Completion: 99})
	}
	queued, open := p.mailbox.counts()
	assert.Equal(t, 104, queued, "no event of an accepted completion is refused")
	assert.Equal(t, 3, open)
	p.step()
	assert.True(t, p.Offer(arrival(21, 0, 100, time.Second)))
	assert.True(t, p.Offer(arrival(22, 0, 100, time.Second)))
	assert.False(t, p.Offer(arrival(23, 0, 100, time.Second)), "no more than MaxOpenCompletions")
	p.step()
	p.Notify(link.Event{Kind: link.ClientLeft, Completion: 1})
	p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Outcome: decide.Cancelled})
	p.step()
	assert.True(t, p.Offer(arrival(24, 0, 100, time.Second)), "one is closed")
}

// TestRunAnswersInTime checks that the final answer comes before the client timeout when the engine never answers. It
// runs in virtual time, as the margin is only two ticks.
func TestRunAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, edge := newTestPlanner(t, nil)
		ctx, end := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { p.Run(ctx); close(ended) }()
		p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready)))
		p.Offer(arrival(1, 0, 100, 300*time.Millisecond))
		time.Sleep(290 * time.Millisecond)
		synctest.Wait()
		assert.Empty(t, edge.ofKind(link.RateLimit), "not long before")
		time.Sleep(9 * time.Millisecond)
		synctest.Wait()
		assert.Len(t, edge.ofKind(link.RateLimit), 1)
		require.Len(t, edge.ofKind(link.Dispatch), 1)
		assert.Len(t, edge.ofKind(link.Cancel), 1)
		p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Outcome: decide.Cancelled})
		synctest.Wait()
		assert.Equal(t, Stats{DecideTime: p.Stats().DecideTime}, p.Stats())
		end()
		<-ended
	})
}

// TestReadThenWrite checks that a long prompt is read by a reader, and that the write then goes to a writer.
func TestReadThenWrite(t *testing.T) {
	p, edge := newTestPlanner(t, nil)
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "read", decide.Ready), engineEntry(2, "write", decide.Ready)))
	p.Offer(arrival(1, 0, 5000, time.Second))
	p.step()
	p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Outcome: decide.Read, Elapsed: 0.1})
	p.step()
	sent := edge.ofKind(link.Dispatch)
	require.Len(t, sent, 2)
	assert.Equal(t, []any{true, "10.0.0.1:8000", 0}, []any{sent[0].IsRead, sent[0].Address, sent[0].Dispatch})
	assert.Equal(t, []any{false, "10.0.0.2:8000", 1}, []any{sent[1].IsRead, sent[1].Address, sent[1].Dispatch})
	p.Notify(link.Event{Kind: link.DispatchStarted, Completion: 1, Dispatch: 1, Elapsed: 0.1})
	p.Notify(link.Event{Kind: link.DispatchEnded, Completion: 1, Dispatch: 1, Outcome: decide.Finished, Answered: true})
	p.step()
	assert.Empty(t, p.open)
}

// TestPanic checks that a panic in package decide aborts the completion concerned and no other.
func TestPanic(t *testing.T) {
	p, edge := newTestPlanner(t, nil)
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready)))
	p.Offer(arrival(1, 99, 100, time.Second)) // a workload index out of range
	p.Offer(arrival(2, 0, 100, time.Second))
	p.step()
	assert.Len(t, edge.ofKind(link.Abort), 1)
	assert.Len(t, edge.ofKind(link.Dispatch), 1)
	assert.Equal(t, int64(1), p.Stats().Panics)
	assert.Equal(t, 1, p.Stats().OpenCompletions)
}

// TestTimersBounded checks that timers of closed completions do not accumulate.
func TestTimersBounded(t *testing.T) {
	p, _ := newTestPlanner(t, func(_ *decide.Settings, o *Options) { o.MaxQueuedCompletions = 1 << 20 })
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready)))
	for id := range uint64(20000) {
		p.Offer(arrival(id, 0, 10, time.Hour))
		p.Notify(link.Event{Kind: link.DispatchStarted, Completion: id})
		p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Outcome: decide.Finished, Answered: true})
		p.step()
	}
	assert.Empty(t, p.open)
	assert.Less(t, len(p.timers), 2500)
}

func TestEngineTable(t *testing.T) {
	table := newEngineTable(2, []MachineKind{{"read", decide.Reader}}, "home", slog.New(slog.DiscardHandler))
	list := func(kind decide.ListKind, entries ...link.EngineEntry) *link.EngineList {
		return &link.EngineList{Kind: kind, Entries: entries}
	}
	engine := engineEntry(1, "read", decide.Ready)
	engine.StartID, engine.Age = 77, 3
	entries := table.entries(10, list(decide.ListSnapshot, engine, engineEntry(2, "odd", decide.Ready), engineEntry(3, "read", decide.Ready)))
	require.Len(t, entries, 2, "the third engine exceeds maxEngines")
	assert.Equal(t, 7.0, entries[0].StartedAt)
	assert.Equal(t, decide.Reader, table.records[0].role)
	assert.Equal(t, 1, entries[0].Zone, "the router's own zone is 0")
	assert.Equal(t, 1, entries[1].MachineKind, "an unknown machine kind gets the index after the known ones")
	assert.Equal(t, decide.Mixed, table.records[1].role)
	engine.Age = 5.5
	assert.Equal(t, 7.0, table.entries(12, list(decide.ListDelta, engine))[0].StartedAt, "the age is read once per start")
	engine.StartID, engine.Age = 78, 0.5
	assert.Equal(t, 11.5, table.entries(12, list(decide.ListDelta, engine))[0].StartedAt, "a restart")
	table.entries(20, list(decide.ListSnapshot, engine)) // 2 is gone
	again := table.entries(100, list(decide.ListDelta, engineEntry(3, "read", decide.Ready)))
	require.Len(t, again, 1)
	assert.Equal(t, 1, again[0].Index, "the index of the engine that left")
	assert.Equal(t, "10.0.0.3:8000", table.addressOf(1))
}

// TestNamesBounded checks that zone and cell names are dropped with the engines that had them, so that lists with ever
// new names take bounded memory. A name in use keeps its index, and the index of an unused name is not reused before
// the delay.
func TestNamesBounded(t *testing.T) {
	table := newEngineTable(4, nil, "home", slog.New(slog.DiscardHandler))
	stable := engineEntry(1, "read", decide.Ready)
	stable.Zone, stable.Cell = "home", "h1"
	last, maxIndex := -1, 0
	for i := range 5000 {
		other := engineEntry(2+i%3, "read", decide.Ready)
		other.Zone, other.Cell = fmt.Sprint("zone", i), fmt.Sprint("cell", i)
		for _, entry := range table.entries(float64(i*100), &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{stable, other}}) {
			maxIndex = max(maxIndex, entry.Zone, entry.Cell)
			if entry.Index == 0 {
				require.Zero(t, entry.Zone, "the own zone")
				require.Zero(t, entry.Cell)
				continue
			}
			require.NotEqual(t, last, entry.Cell, "the index of a name that just went out of use is not reused yet")
			require.Equal(t, entry, table.entries(float64(i*100), &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{other}})[0], "a name keeps its index")
			last = entry.Cell
		}
	}
	assert.LessOrEqual(t, maxIndex, 2*4)
	// An engine whose names change faster than indices may be reused is ignored; the other engines are not affected.
	for i := range 50 {
		other := engineEntry(2, "read", decide.Ready)
		other.Cell = fmt.Sprint("hasty", i)
		entries := table.entries(1e6, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{stable, other}})
		if i >= 20 {
			require.Equal(t, decide.Gone, entries[1].Phase, "it counts as gone, not as still in its old cell")
		}
		require.LessOrEqual(t, len(table.cells.slots), 2*4+1)
		require.Zero(t, entries[0].Index)
	}
}

// TestIndexReuse checks that a new engine gets the index of the engine gone for longest when all indices are in use,
// and that a listed engine never loses its index.
func TestIndexReuse(t *testing.T) {
	table := newEngineTable(4, []MachineKind{{"read", decide.Reader}}, "home", slog.New(slog.DiscardHandler))
	for i := range 100 {
		l := &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{engineEntry(0, "read", decide.Ready), engineEntry(i+1, "read", decide.Ready), engineEntry(i+2, "read", decide.Ready)}}
		entries := table.entries(float64(i), l)
		require.Len(t, entries, 3, "all listed engines")
		require.Zero(t, entries[0].Index)
		require.NotEqual(t, entries[1].Index, entries[2].Index)
		for k, entry := range entries {
			require.Equal(t, l.Entries[k].Address, table.addressOf(entry.Index))
		}
	}
	l := &link.EngineList{Kind: decide.ListSnapshot}
	for i := range 5 {
		l.Entries = append(l.Entries, engineEntry(200+i, "read", decide.Ready))
	}
	assert.Len(t, table.entries(100, l), 4, "no more than maxEngines")
}

// TestMissingStart checks which start time an engine gets when the list gives no start ID or no age.
func TestMissingStart(t *testing.T) {
	withStart := func(start int64, age float64, phase decide.Phase) link.EngineEntry {
		entry := engineEntry(1, "read", phase)
		entry.StartID, entry.Age = start, age
		return entry
	}
	for name, tc := range map[string]struct {
		first, next link.EngineEntry
		want        float64 // StartedAt after the second list, at 100 s; the first comes at 10 s
	}{
		"start no longer given":                {withStart(77, 3, decide.Ready), withStart(0, -1, decide.Ready), 7},
		"start given for the first time":       {withStart(0, -1, decide.Ready), withStart(77, 200, decide.Ready), -100},
		"restart of unknown age":               {withStart(77, 3, decide.Ready), withStart(78, -1, decide.Ready), 100},
		"older process at the same address":    {withStart(77, 3, decide.Ready), withStart(70, 500, decide.Ready), -400},
		"back after being gone, start unknown": {withStart(0, -1, decide.Gone), withStart(0, -1, decide.Ready), 100},
		"back after being gone, age given":     {withStart(0, -1, decide.Gone), withStart(0, 2, decide.Ready), 98},
		"ready after draining, start unknown":  {withStart(0, -1, decide.Draining), withStart(0, -1, decide.Ready), unknownStartSeconds},
		"started at time 0 of the planner":     {withStart(77, 10, decide.Ready), withStart(77, 200, decide.Ready), 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := newEngineTable(4, nil, "home", slog.New(slog.DiscardHandler))
			ready := tc.first
			ready.Phase = decide.Ready
			table.entries(10, &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{ready}})
			table.entries(50, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{tc.first}})
			assert.Equal(t, tc.want, table.entries(100, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{tc.next}})[0].StartedAt)
		})
	}
}

// TestGoneEntry checks that a list entry for an engine that is gone may leave all other fields empty: it keeps what is
// known of the engine, and gives no index to an engine that was never listed.
func TestGoneEntry(t *testing.T) {
	table := newEngineTable(4, []MachineKind{{"read", decide.Reader}}, "home", slog.New(slog.DiscardHandler))
	listed := engineEntry(1, "read", decide.Ready)
	listed.StartID, listed.Age = 77, 3
	first := table.entries(10, &link.EngineList{Kind: decide.ListSnapshot, Entries: []link.EngineEntry{listed}})[0]
	goneEntry := func(n int) link.EngineEntry {
		return link.EngineEntry{Address: engineEntry(n, "", 0).Address, Phase: decide.Gone, Age: -1}
	}
	gone := table.entries(20, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{goneEntry(1), goneEntry(2)}})
	want := first
	want.Phase = decide.Gone
	assert.Equal(t, []decide.EngineEntry{want}, gone)
	assert.Len(t, table.records, 1)
	assert.Equal(t, first, table.entries(30, &link.EngineList{Kind: decide.ListDelta, Entries: []link.EngineEntry{listed}})[0], "the same start of the same engine")
}

// TestReusedIndex checks that a late probe result is not credited to the engine that has the probed engine's index by
// now, and that the new engine inherits nothing from the old one, though the start of neither is known.
func TestReusedIndex(t *testing.T) {
	p, edge := newTestPlanner(t, func(s *decide.Settings, o *Options) { o.MaxEngines = 2; s.ReportColumns = []string{"x0", "x1"} })
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready), engineEntry(2, "write", decide.Ready)))
	p.step()
	late := link.Event{Kind: link.ProbeEnded, Address: engineEntry(2, "", 0).Address, Outcome: decide.Finished, Report: []float64{1, 900}}
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready)))
	p.step()
	p.start = p.start.Add(-time.Minute)
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready), engineEntry(3, "write", decide.Ready)))
	p.Notify(late)
	for range 4 {
		p.Notify(link.Event{Kind: link.ProbeEnded, Address: engineEntry(1, "", 0).Address, Outcome: decide.Finished, Report: []float64{0.9, 1}})
	}
	p.Offer(arrival(1, 0, 100, time.Second))
	p.step()
	require.Len(t, edge.ofKind(link.Dispatch), 1)
	assert.Equal(t, engineEntry(3, "", 0).Address, edge.ofKind(link.Dispatch)[0].Address, "the late report of engine 2 does not count for engine 3")
}

// TestStalledMailbox checks that thousands of list changes and probe results leave the mailbox of a stalled planner
// bounded, and that the planner has the last of each when it resumes.
func TestStalledMailbox(t *testing.T) {
	p, edge := newTestPlanner(t, func(s *decide.Settings, _ *Options) { s.ReportColumns = []string{"x0", "x1"} })
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready), engineEntry(2, "write", decide.Ready), engineEntry(3, "write", decide.Ready)))
	for i := range 50000 {
		n := 1 + i%3
		p.Notify(link.Event{Kind: link.ProbeEnded, Address: engineEntry(n, "", 0).Address, Outcome: decide.Finished, Report: []float64{float64(n) / 4, 1}})
		phase := []decide.Phase{decide.Ready, decide.Draining, decide.Gone}[n-1]
		p.Notify(listEvent(decide.ListDelta, engineEntry(n, "write", phase)))
	}
	queued, _ := p.mailbox.counts()
	assert.Less(t, queued, 100)
	p.step()
	for id := range uint64(20) {
		p.Offer(arrival(id+1, 0, 100, time.Second))
	}
	p.step()
	for _, o := range edge.ofKind(link.Dispatch) {
		assert.Equal(t, engineEntry(1, "", 0).Address, o.Address, "the only engine that is ready by the last list")
	}
	require.Len(t, edge.ofKind(link.Dispatch), 16, "MaxQueuedCompletions")
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(2, "write", decide.Ready)))
	for range 100 {
		p.Notify(listEvent(decide.ListDelta, engineEntry(3, "write", decide.Ready)))
		p.Notify(listEvent(decide.ListDelta, engineEntry(3, "write", decide.Gone)))
	}
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(4, "write", decide.Ready)))
	p.step()
	p.Offer(arrival(99, 0, 100, time.Second))
	p.step()
	sent := edge.ofKind(link.Dispatch)
	assert.Equal(t, engineEntry(4, "", 0).Address, sent[len(sent)-1].Address, "a snapshot replaces all earlier lists")
}

// TestListBeforeEvents checks that a planner that had stalled sends nothing to an engine known to be draining, neither
// for completions that were offered before that change nor for timers.
func TestListBeforeEvents(t *testing.T) {
	p, edge := newTestPlanner(t, nil)
	p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "write", decide.Ready)))
	p.step()
	p.Offer(arrival(1, 0, 100, time.Second))
	batch := p.mailbox.drain(nil) // the planner stalls after taking it
	p.Offer(arrival(2, 0, 100, time.Second))
	p.Notify(listEvent(decide.ListDelta, engineEntry(1, "write", decide.Draining)))
	for i := range batch {
		p.process(&batch[i])
	}
	p.step()
	assert.Empty(t, edge.ofKind(link.Dispatch))
	assert.Len(t, edge.ofKind(link.RateLimit), 2)
}

// TestRunEnds checks that Run ends with its context even while events keep coming.
func TestRunEnds(t *testing.T) {
	p, _ := newTestPlanner(t, nil)
	ctx, end := context.WithCancel(context.Background())
	p.observeDelay = func(float64) { p.Notify(link.Event{Kind: link.ClientLeft, Completion: 99}) } // each event causes the next
	p.Notify(link.Event{Kind: link.ClientLeft, Completion: 99})
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	end()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not end")
	}
}

// TestRandomEvents generates arbitrary valid sequences of events and checks the commands for the guarantees that an
// edge relies on.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, edge := newTestPlanner(t, func(s *decide.Settings, o *Options) {
			s.ReservationsAllowed = rapid.Bool().Draw(t, "places")
			o.MaxQueuedCompletions = 1000
		})
		now := 0.0
		p.start = time.Now().Add(-time.Hour) // the "time" step below advances it
		type state struct {
			out          map[int]bool
			sent         int
			finalAnswers int
			started      bool
			done         bool
			deadline     float64
		}
		all, next, seen := map[uint64]*state{}, uint64(0), 0
		machines := []string{"read", "write"}
		checkCommands := func() {
			p.step()
			for ; seen < len(edge.commands); seen++ {
				command := edge.commands[seen]
				c := all[command.Completion]
				switch command.Kind {
				case link.Dispatch:
					require.Equal(t, c.sent, command.Dispatch, "numbered in order")
					require.Zero(t, c.finalAnswers, "no dispatch after the final answer")
					require.False(t, c.done)
					c.out[command.Dispatch] = true
					c.sent++
				case link.RateLimit, link.Abort:
					c.finalAnswers++
					require.Equal(t, 1, c.finalAnswers, "one final answer")
					require.False(t, c.started, "no other final answer once an answer has started")
				case link.Cancel:
					require.Less(t, command.Dispatch, c.sent, "only a dispatch that was sent is cancelled")
				}
			}
		}
		p.Notify(listEvent(decide.ListSnapshot, engineEntry(1, "read", decide.Ready), engineEntry(2, "write", decide.Ready), engineEntry(3, "write", decide.Ready)))
		checkCommands()
		pickRunning := func() (uint64, *state, int) {
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
				p.Offer(arrival(next, rapid.IntRange(0, 1).Draw(t, "work"), rapid.Float64Range(1, 9000).Draw(t, "tokens"), time.Second))
			},
			"start": func(t *rapid.T) {
				if id, c, n := pickRunning(); c != nil && !c.started && c.finalAnswers == 0 && !c.done {
					c.started = true
					p.Notify(link.Event{Kind: link.DispatchStarted, Completion: id, Dispatch: n, Elapsed: 0.1})
				}
			},
			"end": func(t *rapid.T) {
				if id, c, n := pickRunning(); c != nil {
					o := decide.Outcome(rapid.IntRange(int(decide.Finished), int(decide.NotSent)).Draw(t, "outcome"))
					delete(c.out, n)
					c.done = c.done || o == decide.Finished || c.started
					p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Dispatch: n, Outcome: o, Elapsed: 0.1, Answered: c.done})
				}
			},
			"leave": func(t *rapid.T) {
				if id, c, _ := pickRunning(); c != nil {
					c.done = true
					p.Notify(link.Event{Kind: link.ClientLeft, Completion: id})
				}
			},
			"list": func(t *rapid.T) {
				n := rapid.IntRange(1, 4).Draw(t, "engine")
				p.Notify(listEvent(decide.ListDelta, engineEntry(n, machines[min(n-1, 1)], decide.Phase(rapid.IntRange(0, 2).Draw(t, "phase")))))
			},
			"probe": func(t *rapid.T) {
				p.Notify(link.Event{Kind: link.ProbeEnded, Address: engineEntry(rapid.IntRange(0, 9).Draw(t, "engine"), "", 0).Address, Outcome: decide.Finished,
					Report: []float64{math.NaN()}})
			},
			"time": func(t *rapid.T) {
				d := rapid.Float64Range(0.001, 0.5).Draw(t, "seconds")
				now += d
				p.start = p.start.Add(-time.Duration(d * float64(time.Second)))
			},
			"": func(t *rapid.T) {
				checkCommands()
				for id, c := range all {
					if now > c.deadline && !c.started && !c.done {
						require.Equal(t, 1, c.finalAnswers, "completion %d is answered in time", id)
					}
				}
			},
		})
		for id, c := range all { // after all dispatches have ended, no completion is left open
			for n := range c.out {
				p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Dispatch: n, Outcome: decide.Broken, Answered: c.done || c.started})
			}
			c.out = map[int]bool{}
			checkCommands()
		}
		p.start = p.start.Add(-time.Minute)
		for range 9 {
			for id, c := range all {
				for n := range c.out {
					delete(c.out, n)
					p.Notify(link.Event{Kind: link.DispatchEnded, Completion: id, Dispatch: n, Outcome: decide.TimedOut})
				}
			}
			checkCommands()
		}
		require.Empty(t, p.open)
	})
}
