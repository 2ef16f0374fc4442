package edge

import (
	"container/list"
	"sync"

	"cherryhub/decide"
)

// lingeringLeases is the bounded set of completions that are over and kept only for a lease that lingers (decide.Lease.Lingers).
type lingeringLeases struct {
	mu          sync.Mutex
	completions list.List // of *completion, oldest first
}

// add adds a completion, unless it is in the set. If the set is full, it removes the oldest one and returns it. The completion's mutex must
// be held, as for remove.
func (l *lingeringLeases) add(c *completion) (excess *completion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.lingeringElement != nil {
		return nil
	}
	c.lingeringElement = l.completions.PushBack(c)
	if l.completions.Len() <= decide.MaxLingeringLeases {
		return nil
	}
	oldest := l.completions.Front()
	excess = l.completions.Remove(oldest).(*completion) //nolint:forcetypeassert // the list holds nothing else
	excess.lingeringElement = nil
	return excess
}

// remove removes a completion, if it is in the set.
func (l *lingeringLeases) remove(c *completion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.lingeringElement != nil {
		l.completions.Remove(c.lingeringElement)
		c.lingeringElement = nil
	}
}
