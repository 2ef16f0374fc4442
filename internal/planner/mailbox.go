package planner

import (
	"sync"

	"cherryhub/internal/link"
)

// mailbox holds the facts that the planner has not yet read. Offers are bounded by a limit of their own and
// by the completions that are open; all other facts are told of something that was already let in (a
// completion, a probe, a list) and never refused, so that their number is bounded with it. Its guard: a stalled planner
// must neither block those who tell it something nor let memory grow. It would harm if a burst within a
// healthy planner's few milliseconds passed the limit: then completions are refused that could be served.
type mailbox struct {
	mu     sync.Mutex
	facts  []link.Fact
	offers int // among them
	open   int // completions taken, and not yet closed by the planner
	most   int // offers that may wait
	mostIn int // completions that may be open
	ring   chan struct{}
}

func newMailbox(most, mostIn int) *mailbox {
	return &mailbox{most: most, mostIn: mostIn, ring: make(chan struct{}, 1)}
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
	m.facts = append(m.facts, f)
	m.mu.Unlock()
	m.wake()
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
	return batch
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
	return len(m.facts), m.open
}
