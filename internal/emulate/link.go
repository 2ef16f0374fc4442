package emulate

// Link is a way between racks whose capacity is shared evenly by the transfers on it at each moment (processor
// sharing, as long TCP or RDMA flows of equal kind come near to). Left out: latency, loss, unequal flows.
type Link struct {
	scheduler       Scheduler
	tokensPerSecond float64 // tokens of state a second, in all
	transfers       []*transfer
	updatedAt       float64
	cancel          func()
}

type transfer struct {
	remainingTokens float64
	done            func()
}

// NewLink makes a link of so many tokens a second.
func NewLink(rate float64, at Scheduler) *Link { return &Link{scheduler: at, tokensPerSecond: rate} }

// Send sends a state; done is called when all of it has come. The transfer may be cancelled until then.
func (l *Link) Send(tokens float64, done func()) (cancel func()) {
	l.update()
	t := &transfer{remainingTokens: tokens, done: done}
	l.transfers = append(l.transfers, t)
	l.scheduleNext()
	return func() {
		l.update()
		for i, other := range l.transfers {
			if other == t {
				l.transfers = append(l.transfers[:i], l.transfers[i+1:]...)
				break
			}
		}
		l.scheduleNext()
	}
}

// Busy is how many transfers there are.
func (l *Link) ActiveTransfers() int { return len(l.transfers) }

// book counts what came since it was last called.
func (l *Link) update() {
	now := l.scheduler.Now()
	if n := len(l.transfers); n > 0 {
		each := (now - l.updatedAt) * l.tokensPerSecond / float64(n)
		for _, t := range l.transfers {
			t.remainingTokens -= each
		}
	}
	l.updatedAt = now
}

// nearly is what rounding leaves of a transfer that has come, in tokens.
const transferToleranceTokens = 1e-6

func (l *Link) scheduleNext() {
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	if len(l.transfers) == 0 {
		return
	}
	least := l.transfers[0].remainingTokens
	for _, t := range l.transfers {
		least = min(least, t.remainingTokens)
	}
	l.cancel = l.scheduler.After(max(0, least)*float64(len(l.transfers))/l.tokensPerSecond, l.finishTransfers)
}

func (l *Link) finishTransfers() {
	l.cancel = nil
	l.update()
	var over []*transfer
	kept := l.transfers[:0]
	for _, t := range l.transfers {
		if t.remainingTokens <= transferToleranceTokens {
			over = append(over, t)
		} else {
			kept = append(kept, t)
		}
	}
	l.transfers = kept
	l.scheduleNext()
	for _, t := range over {
		t.done()
	}
}
