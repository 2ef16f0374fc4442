// Package emulate models engines in virtual time: continuous batching in discrete steps, chunked prefill between output
// tokens, KV memory in blocks shared by common prefixes, preemption when blocks run out, and state transfers over
// shared links. It is deterministic: the same inputs give the same events in the same order. It makes no routing
// decisions and does no I/O; time comes from a Scheduler, which is virtual in package lab and real where sockets are in
// front. docs/emulator.md describes each part's model and what it leaves out.
package emulate

import "container/heap"

// Scheduler provides time and timers. Its callbacks run one after another, never concurrently.
type Scheduler interface {
	Now() float64                                  // seconds since its start
	After(delay float64, f func()) (cancel func()) // runs f after delay seconds; cancel may be called twice
}

// Clock is a Scheduler in virtual time. Time stands still while a callback runs and then jumps to the next event.
// Events of the same time run in the order in which they were scheduled.
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

// Now implements Scheduler.
func (c *Clock) Now() float64 { return c.now }

// After implements Scheduler.
func (c *Clock) After(delay float64, f func()) func() {
	c.lastSeq++
	e := &event{at: c.now + max(0, delay), seq: c.lastSeq, run: f}
	heap.Push(&c.events, e)
	return func() { e.cancelled, e.run = true, nil }
}

// Run executes all events up to a time and sets the clock to it.
func (c *Clock) Run(until float64) {
	for len(c.events) > 0 && c.events[0].at <= until {
		c.runNext()
	}
	c.now = max(c.now, until)
}

// Drain executes events until none is left or maxEvents were executed, and reports whether none is left.
func (c *Clock) Drain(maxEvents uint64) bool {
	for limit := c.eventCount + maxEvents; len(c.events) > 0 && c.eventCount < limit; {
		c.runNext()
	}
	return len(c.events) == 0
}

// EventCount returns the number of events executed so far.
func (c *Clock) EventCount() uint64 { return c.eventCount }

func (c *Clock) runNext() {
	e := heap.Pop(&c.events).(*event) //nolint:forcetypeassert // the heap holds only events
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
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) } //nolint:forcetypeassert // the heap holds only events
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
