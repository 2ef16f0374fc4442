package admit

// Ticket stands for a completion that was let in; Over gives it back.
type CompletionPermit struct{ holder int32 }

// Take lets a completion in on a connection that has a call, or refuses it. What it answers is whether this
// router has a place and descriptors for one more of this holder; whether it is worth its work now is decide's
// question, asked afterwards, and never about one that was refused here.
func (g *Controller) AdmitCompletion(id ConnID) (CompletionPermit, Decision) {
	c := g.lookup(id)
	if c == nil || c.state != stateInRequest {
		_, v := g.refuse(Decision{Reason: ReasonPoolFull})
		return CompletionPermit{}, v
	}
	h := &g.holders[c.holder]
	most, share := g.settings.MaxCompletionsPerAddress, 0
	if h.client != UnknownClient && !h.revoked {
		most, share = g.settings.MaxCompletionsPerClient, g.reservedCompletionShare()
	}
	if h.openCompletions >= most || h.openCompletions >= share && g.commonCompletions >= g.maxCommonCompletions() {
		_, v := g.refuse(Decision{Reason: ReasonCompletionLimit})
		return CompletionPermit{}, v
	}
	g.addCompletions(c.holder, 1)
	return CompletionPermit{c.holder + 1}, Decision{}
}

// Over ends a completion. Calling it for the zero Ticket does nothing.
func (g *Controller) EndCompletion(t CompletionPermit) {
	if t.holder == 0 {
		return
	}
	g.addCompletions(t.holder-1, -1)
	g.freeIfEmpty(t.holder - 1)
}

func (g *Controller) addCompletions(at int32, n int) {
	g.holders[at].openCompletions += n
	g.openCompletions += n
	g.recountCommonCompletions(at)
}

func (g *Controller) recountCommonCompletions(at int32) {
	h := &g.holders[at]
	common := h.openCompletions
	if h.client != UnknownClient && !h.revoked {
		common = max(0, h.openCompletions-g.reservedCompletionShare())
	}
	g.commonCompletions += common - h.commonCompletions
	h.commonCompletions = common
}

// completionsCommon is how many completions there may be besides those in known clients' shares.
func (g *Controller) maxCommonCompletions() int {
	if len(g.clientHolders) == 0 {
		return g.settings.MaxCompletions
	}
	return g.settings.MaxCompletions - g.settings.ReservedCompletions
}

// returns remembers until when completions that were rate-limited were told to stay away: a ring of the last
// so many, found by their key. A forgotten one is asked of decide again, which harms nothing.
type rateLimitRing struct {
	entries   []rateLimitEntry
	nextSlot  int
	slotByKey map[uint64]int
}

type rateLimitEntry struct {
	key     uint64
	retryAt float64
}

func newRateLimitRing(n int) rateLimitRing {
	return rateLimitRing{entries: make([]rateLimitEntry, n), slotByKey: map[uint64]int{}}
}

// RateLimited hears that a completion was told to come back after some seconds. key tells the completion: its
// holder, workload and content, so that another of the same client is not judged by it.
func (g *Controller) RecordRateLimit(now float64, key uint64, comeBack float64) {
	r := &g.rateLimits
	if len(r.entries) == 0 || comeBack <= 0 {
		return
	}
	if at, there := r.slotByKey[key]; there {
		r.entries[at].retryAt = now + comeBack
		return
	}
	if old := r.entries[r.nextSlot]; old.retryAt > 0 {
		delete(r.slotByKey, old.key)
	}
	r.entries[r.nextSlot] = rateLimitEntry{key, now + comeBack}
	r.slotByKey[key] = r.nextSlot
	r.nextSlot = (r.nextSlot + 1) % len(r.entries)
}

// Early refuses a completion that was told to come back later than now. From its time on it is let through.
func (g *Controller) CheckRetry(now float64, key uint64) Decision {
	if at, there := g.rateLimits.slotByKey[key]; there {
		if left := g.rateLimits.entries[at].retryAt - now; left > 0 {
			_, v := g.refuse(Decision{ReasonEarlyRetry, left})
			return v
		}
	}
	return Decision{}
}
