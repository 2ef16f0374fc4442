package emulate

// Link is a way between racks whose capacity is shared evenly by the transfers on it at each moment (processor
// sharing, as long TCP or RDMA flows of equal kind come near to). Left out: latency, loss, unequal flows.
type Link struct {
	at        Scheduler
	rate      float64 // tokens of state a second, in all
	transfers []*transfer
	since     float64
	cancel    func()
}

type transfer struct {
	left float64
	done func()
}

// NewLink makes a link of so many tokens a second.
func NewLink(rate float64, at Scheduler) *Link { return &Link{at: at, rate: rate} }

// Send sends a state; done is called when all of it has come. The transfer may be cancelled until then.
func (l *Link) Send(tokens float64, done func()) (cancel func()) {
	l.book()
	t := &transfer{left: tokens, done: done}
	l.transfers = append(l.transfers, t)
	l.plan()
	return func() {
		l.book()
		for i, other := range l.transfers {
			if other == t {
				l.transfers = append(l.transfers[:i], l.transfers[i+1:]...)
				break
			}
		}
		l.plan()
	}
}

// Busy is how many transfers there are.
func (l *Link) Busy() int { return len(l.transfers) }

// book counts what came since it was last called.
func (l *Link) book() {
	now := l.at.Now()
	if n := len(l.transfers); n > 0 {
		each := (now - l.since) * l.rate / float64(n)
		for _, t := range l.transfers {
			t.left -= each
		}
	}
	l.since = now
}

// nearly is what rounding leaves of a transfer that has come, in tokens.
const nearly = 1e-6

func (l *Link) plan() {
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	if len(l.transfers) == 0 {
		return
	}
	least := l.transfers[0].left
	for _, t := range l.transfers {
		least = min(least, t.left)
	}
	l.cancel = l.at.After(max(0, least)*float64(len(l.transfers))/l.rate, l.due)
}

func (l *Link) due() {
	l.cancel = nil
	l.book()
	var over []*transfer
	kept := l.transfers[:0]
	for _, t := range l.transfers {
		if t.left <= nearly {
			over = append(over, t)
		} else {
			kept = append(kept, t)
		}
	}
	l.transfers = kept
	l.plan()
	for _, t := range over {
		t.done()
	}
}
