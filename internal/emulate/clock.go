// Package emulate models engines in virtual time: batches that go step by step, prompts read in chunks between
// tokens written, KV memory in blocks shared by beginnings, preemption when blocks run out, states sent over
// links that share their capacity. It is deterministic: same inputs, same events, in the same order. It decides
// nothing of a router and does no I/O; time comes from a Scheduler, virtual here, real where sockets are in front.
// The laboratory and its tests call it. docs/emulator.md names each part's model and what it leaves out.
package emulate

import "container/heap"

// Scheduler is time. Calls and what it calls come one after the other.
type Scheduler interface {
	Now() float64                              // seconds from its start
	After(d float64, f func()) (cancel func()) // f is called once d seconds are over; cancelling it twice is harmless
}

// Clock is virtual time: it stands still while something is done, and jumps to what is due next. What is due at
// the same time comes in the order in which it was asked for.
type Clock struct {
	now        float64
	events     eventHeap
	lastSeq    uint64
	eventCount uint64
}

type event struct {
	at        float64
	seq       uint64
	run       func()
	cancelled bool
}

// Now is of Scheduler.
func (c *Clock) Now() float64 { return c.now }

// After is of Scheduler.
func (c *Clock) After(d float64, f func()) func() {
	c.lastSeq++
	e := &event{at: c.now + max(0, d), seq: c.lastSeq, run: f}
	heap.Push(&c.events, e)
	return func() { e.cancelled, e.run = true, nil }
}

// Run plays all that is due until a time, and stands there.
func (c *Clock) Run(until float64) {
	for len(c.events) > 0 && c.events[0].at <= until {
		c.runNext()
	}
	c.now = max(c.now, until)
}

// Drain plays until nothing is due any more, or so many events were played; it tells whether nothing is left.
func (c *Clock) Drain(most uint64) bool {
	for end := c.eventCount + most; len(c.events) > 0 && c.eventCount < end; {
		c.runNext()
	}
	return len(c.events) == 0
}

// Played is how many events there were.
func (c *Clock) EventCount() uint64 { return c.eventCount }

func (c *Clock) runNext() {
	e := heap.Pop(&c.events).(*event) //nolint:forcetypeassert // it holds nothing else
	if e.cancelled {
		return
	}
	c.now = e.at
	c.eventCount++
	e.run()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) } //nolint:forcetypeassert // as in next
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
