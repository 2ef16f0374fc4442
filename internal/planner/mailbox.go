package planner

import (
	"slices"
	"sync"
	"sync/atomic"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// mailbox holds the facts that the planner has not yet read. Offers are bounded by a limit of their own and
// by the completions that are open; all other facts are never refused. What tells of a completion is bounded with
// the completions, and of each engine's reports the last one waits. News of the engines waits as one list, and is
// read ahead of all else: a planner that stood still would otherwise send what was offered before the news to
// engines of which this router has been told long since that they drain or are gone.
//
// Its guard: a stalled planner must neither block those who tell it something nor let memory grow. It would harm if
// a burst within a healthy planner's few milliseconds passed the limit: then completions are refused that could be
// served.
type mailbox struct {
	mu           sync.Mutex
	events       []link.Event
	reportIndex  map[string]int                  // where an engine's report waits, by address
	pendingList  atomic.Pointer[link.EngineList] // news that waits, nil for none; changed under the lock
	queuedOffers int                             // that wait
	open         int                             // completions taken, and not yet closed by the planner
	maxOffers    int                             // offers that may wait
	maxOpen      int                             // completions that may be open
	wakeup       chan struct{}
}

func newMailbox(most, mostIn int) *mailbox {
	return &mailbox{maxOffers: most, maxOpen: mostIn, reportIndex: map[string]int{}, wakeup: make(chan struct{}, 1)}
}

func (m *mailbox) offer(f link.Event) bool {
	m.mu.Lock()
	full := m.queuedOffers >= m.maxOffers || m.open >= m.maxOpen
	if !full {
		m.queuedOffers++
		m.open++
		m.events = append(m.events, f)
	}
	m.mu.Unlock()
	m.signal()
	return !full
}

func (m *mailbox) notify(f link.Event) {
	m.mu.Lock()
	switch at, waits := m.reportIndex[f.Address]; {
	case f.Kind == link.EnginesUpdated:
		m.pendingList.Store(mergeLists(m.pendingList.Load(), f.EngineList))
	case f.Kind == link.ProbeEnded && waits:
		m.events[at] = f
	default:
		if f.Kind == link.ProbeEnded {
			m.reportIndex[f.Address] = len(m.events)
		}
		m.events = append(m.events, f)
	}
	m.mu.Unlock()
	m.signal()
}

// merged is two lists as one: the later word on an engine counts. An engine that was gone in between is told as
// just started where its start is not told, since nothing else would show that it was gone.
func mergeLists(before, after *link.EngineList) *link.EngineList {
	if before == nil {
		return after
	}
	at, all := map[string]int{}, &link.EngineList{Kind: after.Kind}
	if after.Kind == decide.ListDelta {
		all.Kind = before.Kind
		all.Entries = slices.Clone(before.Entries)
	}
	for i, e := range before.Entries {
		at[e.Address] = i
	}
	for _, e := range after.Entries {
		i, there := at[e.Address]
		if there && before.Entries[i].Phase == decide.Gone && e.Phase != decide.Gone && e.StartID == 0 && e.Age < 0 {
			e.Age = 0
		}
		if there && after.Kind == decide.ListDelta {
			all.Entries[i] = e
		} else {
			all.Entries = append(all.Entries, e)
		}
	}
	return all
}

func (m *mailbox) signal() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// take empties the box into a batch, giving the last batch's memory back for the next facts.
func (m *mailbox) drain(used []link.Event) []link.Event {
	clear(used)
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.events
	m.events, m.queuedOffers = used[:0], 0
	clear(m.reportIndex)
	return batch
}

// news is what the list told since it was last asked, nil for nothing.
func (m *mailbox) takeList() *link.EngineList {
	if m.pendingList.Load() == nil { // as before most facts
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pendingList.Swap(nil)
}

func (m *mailbox) completionsClosed(n int) {
	m.mu.Lock()
	m.open -= n
	m.mu.Unlock()
}

// sizes are the facts that wait and the completions that are open.
func (m *mailbox) counts() (waiting, open int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting = len(m.events)
	if m.pendingList.Load() != nil {
		waiting++
	}
	return waiting, m.open
}
