package emulate

// Link models a network link between racks whose capacity is shared evenly by the active transfers (processor sharing,
// which long TCP or RDMA flows of the same kind come close to). Left out: latency, loss, unequal flows.
type Link struct {
	scheduler       Scheduler
	tokensPerSecond float64 // total capacity, in tokens of state
	transfers       []*transfer
	updatedAt       float64
	cancel          func()
}

type transfer struct {
	remainingTokens float64
	done            func()
}

// NewLink returns an idle link with the given capacity.
func NewLink(tokensPerSecond float64, scheduler Scheduler) *Link {
	return &Link{scheduler: scheduler, tokensPerSecond: tokensPerSecond}
}

// Send starts the transfer of a state; done is called when it is complete. Until then the transfer may be cancelled.
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

// ActiveTransfers returns the number of transfers in progress.
func (l *Link) ActiveTransfers() int { return len(l.transfers) }

// update subtracts what was transferred since the last call.
func (l *Link) update() {
	now := l.scheduler.Now()
	if n := len(l.transfers); n > 0 {
		received := (now - l.updatedAt) * l.tokensPerSecond / float64(n)
		for _, t := range l.transfers {
			t.remainingTokens -= received
		}
	}
	l.updatedAt = now
}

// transferToleranceTokens is the rounding error below which a transfer counts as complete.
const transferToleranceTokens = 1e-6

func (l *Link) scheduleNext() {
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	if len(l.transfers) == 0 {
		return
	}
	minRemaining := l.transfers[0].remainingTokens
	for _, t := range l.transfers {
		minRemaining = min(minRemaining, t.remainingTokens)
	}
	l.cancel = l.scheduler.After(max(0, minRemaining)*float64(len(l.transfers))/l.tokensPerSecond, l.finishTransfers)
}

func (l *Link) finishTransfers() {
	l.cancel = nil
	l.update()
	var finished []*transfer
	remaining := l.transfers[:0]
	for _, t := range l.transfers {
		if t.remainingTokens <= transferToleranceTokens {
			finished = append(finished, t)
		} else {
			remaining = append(remaining, t)
		}
	}
	l.transfers = remaining
	l.scheduleNext()
	for _, t := range finished {
		t.done()
	}
}
