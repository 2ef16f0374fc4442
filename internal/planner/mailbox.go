package planner

import (
	"slices"
	"sync"
	"sync/atomic"

	"cherryhub/decide"
	"cherryhub/internal/link"
)

// mailbox holds the events that the planner has not yet read. Offered completions are refused beyond maxOffers
// queued or maxOpen open ones; no other event is refused. The events of completions are bounded by the number of
// open completions, and only the last probe result of each engine is kept. Changes of the engine list are merged
// into one list, which is read before all events: otherwise a planner that had stalled would send completions
// offered before a change to engines that this router already knows to be draining or gone.
//
// The limits keep a stalled planner from blocking its callers and from taking unbounded memory. They would also
// refuse completions that could be served if a burst exceeded maxOffers within the few milliseconds that a healthy
// planner takes to read the mailbox.
type mailbox struct {
	mu           sync.Mutex
	events       []link.Event
	reportIndex  map[string]int                  // position in events of an engine's probe result, by address
	pendingList  atomic.Pointer[link.EngineList] // not yet read, nil for none; changed under the lock
	queuedOffers int                             // in events
	open         int                             // completions accepted and not yet closed by the planner
	maxOffers    int                             // limit of queuedOffers
	maxOpen      int                             // limit of open
	wakeup       chan struct{}                   // signalled on each event; Run waits for it
}

func newMailbox(maxOffers, maxOpen int) *mailbox {
	return &mailbox{maxOffers: maxOffers, maxOpen: maxOpen, reportIndex: map[string]int{}, wakeup: make(chan struct{}, 1)}
}

func (m *mailbox) offer(e link.Event) bool {
	m.mu.Lock()
	full := m.queuedOffers >= m.maxOffers || m.open >= m.maxOpen
	if !full {
		m.queuedOffers++
		m.open++
		m.events = append(m.events, e)
	}
	m.mu.Unlock()
	m.signal()
	return !full
}

func (m *mailbox) notify(e link.Event) {
	m.mu.Lock()
	switch index, queued := m.reportIndex[e.Address]; {
	case e.Kind == link.EnginesUpdated:
		m.pendingList.Store(mergeLists(m.pendingList.Load(), e.EngineList))
	case e.Kind == link.ProbeEnded && queued:
		m.events[index] = e
	default:
		if e.Kind == link.ProbeEnded {
			m.reportIndex[e.Address] = len(m.events)
		}
		m.events = append(m.events, e)
	}
	m.mu.Unlock()
	m.signal()
}

// mergeLists combines two lists: the later entry of an engine counts. An engine that was gone in between and whose
// start is unknown gets age 0, since nothing else would show that it was gone.
func mergeLists(before, after *link.EngineList) *link.EngineList {
	if before == nil {
		return after
	}
	index, merged := map[string]int{}, &link.EngineList{Kind: after.Kind}
	if after.Kind == decide.ListDelta {
		merged.Kind = before.Kind
		merged.Entries = slices.Clone(before.Entries)
	}
	for i, e := range before.Entries {
		index[e.Address] = i
	}
	for _, e := range after.Entries {
		i, found := index[e.Address]
		if found && before.Entries[i].Phase == decide.Gone && e.Phase != decide.Gone && e.StartID == 0 && e.Age < 0 {
			e.Age = 0
		}
		if found && after.Kind == decide.ListDelta {
			merged.Entries[i] = e
		} else {
			merged.Entries = append(merged.Entries, e)
		}
	}
	return merged
}

func (m *mailbox) signal() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// drain removes and returns all events. The memory of the last batch is reused for the next events.
func (m *mailbox) drain(reuse []link.Event) []link.Event {
	clear(reuse)
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.events
	m.events, m.queuedOffers = reuse[:0], 0
	clear(m.reportIndex)
	return batch
}

// takeList removes and returns the changes of the engine list, nil if there are none.
func (m *mailbox) takeList() *link.EngineList {
	if m.pendingList.Load() == nil { // the usual case, checked without the lock
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

// counts returns the number of queued events, a pending list included, and of open completions.
func (m *mailbox) counts() (queued, open int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	queued = len(m.events)
	if m.pendingList.Load() != nil {
		queued++
	}
	return queued, m.open
}
