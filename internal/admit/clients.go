package admit

// initClients adds the holders of the initial clients.
func (ctl *Controller) initClients(clients []Client) {
	ctl.clientHolders = ctl.clientHolders[:0:0]
	for _, c := range clients {
		holderIndex := ctl.newHolder()
		h := &ctl.holders[holderIndex]
		h.client, h.name = len(ctl.clientHolders), c.Name
		ctl.clientHolders = append(ctl.clientHolders, holderIndex)
	}
}

// Reload replaces the settings and the clients. A client whose name remains keeps its connections and completions
// under its new index. A client that was removed counts as unknown: its requests go on, and its connections close
// after them. If a new limit is below what is open, no request or completion is ended: connections without a request of
// the largest holders are evicted, and nothing new is admitted until the limit is met.
func (ctl *Controller) Reload(s Settings, clients []Client) error {
	if err := s.validate(len(clients)); err != nil {
		return err
	}
	unmatched := map[string]int32{}
	for _, holderIndex := range ctl.clientHolders {
		unmatched[ctl.holders[holderIndex].name] = holderIndex
	}
	previous := ctl.clientHolders
	ctl.settings = s
	if len(ctl.rateLimits.entries) != s.MaxRememberedRateLimits {
		ctl.rateLimits = newRateLimitRing(s.MaxRememberedRateLimits)
	}
	ctl.clientHolders = make([]int32, 0, len(clients))
	for _, c := range clients {
		holderIndex, found := unmatched[c.Name]
		if !found {
			holderIndex = ctl.newHolder()
			ctl.holders[holderIndex].name = c.Name
		}
		delete(unmatched, c.Name)
		ctl.holders[holderIndex].client = len(ctl.clientHolders)
		ctl.clientHolders = append(ctl.clientHolders, holderIndex)
	}
	for _, holderIndex := range previous {
		if unmatchedIndex, ok := unmatched[ctl.holders[holderIndex].name]; ok && unmatchedIndex == holderIndex {
			ctl.holders[holderIndex].revoked = true
			ctl.recountCommon(holderIndex)
			ctl.recountCommonCompletions(holderIndex)
			ctl.freeIfEmpty(holderIndex)
		}
	}
	for _, holderIndex := range ctl.clientHolders {
		ctl.recountCommon(holderIndex)
		ctl.recountCommonCompletions(holderIndex)
	}
	return nil
}
