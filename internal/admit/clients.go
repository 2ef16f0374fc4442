package admit

// setClients makes the first clients' records.
func (g *Controller) initClients(clients []Client) {
	g.clientHolders = g.clientHolders[:0:0]
	for _, c := range clients {
		at := g.newHolder()
		h := &g.holders[at]
		h.client, h.name = len(g.clientHolders), c.Name
		g.clientHolders = append(g.clientHolders, at)
	}
}

// Reload puts other settings and clients in force. A client of a name that was there goes on with what it has,
// at its new number; one that is there no longer counts among those not known, its calls go on, and its
// connections close after them. Where caps are lower than what is open nothing that runs is ended: idle
// connections of the greatest holders go, and nothing new comes until there is room.
func (g *Controller) Reload(s Settings, clients []Client) error {
	if err := s.validate(len(clients)); err != nil {
		return err
	}
	old := map[string]int32{}
	for _, at := range g.clientHolders {
		old[g.holders[at].name] = at
	}
	before := g.clientHolders
	g.settings = s
	if len(g.rateLimits.entries) != s.MaxRememberedRateLimits {
		g.rateLimits = newRateLimitRing(s.MaxRememberedRateLimits)
	}
	g.clientHolders = make([]int32, 0, len(clients))
	for _, c := range clients {
		at, there := old[c.Name]
		if !there {
			at = g.newHolder()
			g.holders[at].name = c.Name
		}
		delete(old, c.Name)
		g.holders[at].client = len(g.clientHolders)
		g.clientHolders = append(g.clientHolders, at)
	}
	for _, at := range before {
		if gone, is := old[g.holders[at].name]; is && gone == at {
			g.holders[at].revoked = true
			g.recountCommon(at)
			g.recountCommonCompletions(at)
			g.freeIfEmpty(at)
		}
	}
	for _, at := range g.clientHolders {
		g.recountCommon(at)
		g.recountCommonCompletions(at)
	}
	return nil
}
