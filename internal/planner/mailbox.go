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
	mu     sync.Mutex
	facts  []link.Fact
	probed map[string]int            // where an engine's report waits, by address
	list   atomic.Pointer[link.List] // news that waits, nil for none; changed under the lock
	offers int                       // that wait
	open   int                       // completions taken, and not yet closed by the planner
	most   int                       // offers that may wait
	mostIn int                       // completions that may be open
	ring   chan struct{}
}

func newMailbox(most, mostIn int) *mailbox {
	return &mailbox{most: most, mostIn: mostIn, probed: map[string]int{}, ring: make(chan struct{}, 1)}
}

func (m *mailbox) offer(f link.Fact) bool {
	m.mu.Lock()
	full := m.offers >= m.most || m.open >= m.mostIn
	if !full {
		m.offers++
		m.open++
		m.facts = append(m.facts, f)
	}
	m.mu.Unlock()
	m.wake()
	return !full
}

func (m *mailbox) tell(f link.Fact) {
	m.mu.Lock()
	switch at, waits := m.probed[f.Address]; {
	case f.Kind == link.Listed:
		m.list.Store(merged(m.list.Load(), f.List))
	case f.Kind == link.Probed && waits:
		m.facts[at] = f
	default:
		if f.Kind == link.Probed {
			m.probed[f.Address] = len(m.facts)
		}
		m.facts = append(m.facts, f)
	}
	m.mu.Unlock()
	m.wake()
}

// merged is two lists as one: the later word on an engine counts. An engine that was gone in between is told as
// just started where its start is not told, since nothing else would show that it was gone.
func merged(before, after *link.List) *link.List {
	if before == nil {
		return after
	}
	at, all := map[string]int{}, &link.List{Kind: after.Kind}
	if after.Kind == decide.ListDelta {
		all.Kind = before.Kind
		all.Entries = slices.Clone(before.Entries)
	}
	for i, e := range before.Entries {
		at[e.Address] = i
	}
	for _, e := range after.Entries {
		i, there := at[e.Address]
		if there && before.Entries[i].Phase == decide.Gone && e.Phase != decide.Gone && e.Start == 0 && e.Age < 0 {
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

func (m *mailbox) wake() {
	select {
	case m.ring <- struct{}{}:
	default:
	}
}

// take empties the box into a batch, giving the last batch's memory back for the next facts.
func (m *mailbox) take(used []link.Fact) []link.Fact {
	clear(used)
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.facts
	m.facts, m.offers = used[:0], 0
	clear(m.probed)
	return batch
}

// news is what the list told since it was last asked, nil for nothing.
func (m *mailbox) news() *link.List {
	if m.list.Load() == nil { // as before most facts
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Swap(nil)
}

func (m *mailbox) closed(n int) {
	m.mu.Lock()
	m.open -= n
	m.mu.Unlock()
}

// sizes are the facts that wait and the completions that are open.
func (m *mailbox) sizes() (waiting, open int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting = len(m.facts)
	if m.list.Load() != nil {
		waiting++
	}
	return waiting, m.open
}
