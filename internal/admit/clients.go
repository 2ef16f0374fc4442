package admit

// setClients makes the first clients' records.
func (g *Gate) setClients(clients []Client) {
	g.clients = g.clients[:0:0]
	for _, c := range clients {
		at := g.newHolder()
		h := &g.holders[at]
		h.client, h.name = len(g.clients), c.Name
		g.clients = append(g.clients, at)
	}
}

// Reload puts other settings and clients in force. A client of a name that was there goes on with what it has,
// at its new number; one that is there no longer counts among those not known, its calls go on, and its
// connections close after them. Where caps are lower than what is open nothing that runs is ended: idle
// connections of the greatest holders go, and nothing new comes until there is room.
func (g *Gate) Reload(s Settings, clients []Client) error {
	if err := s.check(len(clients)); err != nil {
		return err
	}
	old := map[string]int32{}
	for _, at := range g.clients {
		old[g.holders[at].name] = at
	}
	before := g.clients
	g.s = s
	if len(g.returns.ring) != s.Returns {
		g.returns = newReturns(s.Returns)
	}
	g.clients = make([]int32, 0, len(clients))
	for _, c := range clients {
		at, there := old[c.Name]
		if !there {
			at = g.newHolder()
			g.holders[at].name = c.Name
		}
		delete(old, c.Name)
		g.holders[at].client = len(g.clients)
		g.clients = append(g.clients, at)
	}
	for _, at := range before {
		if gone, is := old[g.holders[at].name]; is && gone == at {
			g.holders[at].gone = true
			g.recount(at)
			g.recountTaken(at)
			g.tidy(at)
		}
	}
	for _, at := range g.clients {
		g.recount(at)
		g.recountTaken(at)
	}
	return nil
}
