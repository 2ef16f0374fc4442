package admit

// CompletionPermit is held by an admitted completion and returned with EndCompletion.
type CompletionPermit struct{ holder int32 } // index of its holder plus 1, 0 for none

// AdmitCompletion decides on a completion of a connection that has a request. It checks only this router's limits and
// descriptors. Whether the completion is worth its work is decided afterwards by package decide, which never sees a
// completion that was refused here.
func (ctl *Controller) AdmitCompletion(id ConnID) (CompletionPermit, Decision) {
	c := ctl.lookup(id)
	if c == nil || c.state != stateInRequest {
		_, decision := ctl.refuse(Decision{Reason: ReasonPoolFull})
		return CompletionPermit{}, decision
	}
	h := &ctl.holders[c.holder]
	limit, share := ctl.settings.MaxCompletionsPerAddress, 0
	if h.client != UnknownClient && !h.revoked {
		limit, share = ctl.settings.MaxCompletionsPerClient, ctl.reservedCompletionShare()
	}
	if h.openCompletions >= limit || h.openCompletions >= share && ctl.commonCompletions >= ctl.maxCommonCompletions() {
		_, decision := ctl.refuse(Decision{Reason: ReasonCompletionLimit})
		return CompletionPermit{}, decision
	}
	ctl.addCompletions(c.holder, 1)
	return CompletionPermit{c.holder + 1}, Decision{}
}

// EndCompletion records the end of a completion. It does nothing for the zero CompletionPermit.
func (ctl *Controller) EndCompletion(permit CompletionPermit) {
	if permit.holder == 0 {
		return
	}
	ctl.addCompletions(permit.holder-1, -1)
	ctl.freeIfEmpty(permit.holder - 1)
}

func (ctl *Controller) addCompletions(holderIndex int32, delta int) {
	ctl.holders[holderIndex].openCompletions += delta
	ctl.openCompletions += delta
	ctl.recountCommonCompletions(holderIndex)
}

func (ctl *Controller) recountCommonCompletions(holderIndex int32) {
	h := &ctl.holders[holderIndex]
	common := h.openCompletions
	if h.client != UnknownClient && !h.revoked {
		common = max(0, h.openCompletions-ctl.reservedCompletionShare())
	}
	ctl.commonCompletions += common - h.commonCompletions
	h.commonCompletions = common
}

// maxCommonCompletions returns how many completions may be open beyond the known clients' shares of the reserve.
func (ctl *Controller) maxCommonCompletions() int {
	if len(ctl.clientHolders) == 0 {
		return ctl.settings.MaxCompletions
	}
	return ctl.settings.MaxCompletions - ctl.settings.ReservedCompletions
}

// rateLimitRing remembers the retry times of the last rate-limited completions by their keys. A completion that has
// been overwritten is decided on again by package decide when it is retried early, which does no harm.
type rateLimitRing struct {
	entries   []rateLimitEntry
	nextSlot  int
	slotByKey map[uint64]int
}

type rateLimitEntry struct {
	key     uint64
	retryAt float64
}

func newRateLimitRing(size int) rateLimitRing {
	return rateLimitRing{entries: make([]rateLimitEntry, size), slotByKey: map[uint64]int{}}
}

// RecordRateLimit records that a completion was rate-limited with a retry-after in seconds. key identifies the
// completion by its holder, workload and content, so that other completions of the client are not affected.
func (ctl *Controller) RecordRateLimit(now float64, key uint64, retryAfter float64) {
	ring := &ctl.rateLimits
	if len(ring.entries) == 0 || retryAfter <= 0 {
		return
	}
	if slot, found := ring.slotByKey[key]; found {
		ring.entries[slot].retryAt = now + retryAfter
		return
	}
	if oldest := ring.entries[ring.nextSlot]; oldest.retryAt > 0 {
		delete(ring.slotByKey, oldest.key)
	}
	ring.entries[ring.nextSlot] = rateLimitEntry{key, now + retryAfter}
	ring.slotByKey[key] = ring.nextSlot
	ring.nextSlot = (ring.nextSlot + 1) % len(ring.entries)
}

// CheckRetry refuses a rate-limited completion that is retried before its retry-after has passed.
func (ctl *Controller) CheckRetry(now float64, key uint64) Decision {
	if slot, found := ctl.rateLimits.slotByKey[key]; found {
		if wait := ctl.rateLimits.entries[slot].retryAt - now; wait > 0 {
			_, decision := ctl.refuse(Decision{ReasonEarlyRetry, wait})
			return decision
		}
	}
	return Decision{}
}
