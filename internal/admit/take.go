package admit

// Ticket stands for a completion that was let in; Over gives it back.
type Ticket struct{ holder int32 }

// Take lets a completion in on a connection that has a call, or refuses it. What it answers is whether this
// router has a place and descriptors for one more of this holder; whether it is worth its work now is decide's
// question, asked afterwards, and never about one that was refused here.
func (g *Gate) Take(id Conn) (Ticket, Verdict) {
	c := g.find(id)
	if c == nil || c.place != calling {
		_, v := g.refuse(Verdict{Reason: Full})
		return Ticket{}, v
	}
	h := &g.holders[c.holder]
	most, share := g.s.AddressCompletions, 0
	if h.client != Unknown && !h.gone {
		most, share = g.s.ClientCompletions, g.completionShare()
	}
	if h.taken >= most || h.taken >= share && g.takenCommon >= g.completionsCommon() {
		_, v := g.refuse(Verdict{Reason: Completions})
		return Ticket{}, v
	}
	g.take(c.holder, 1)
	return Ticket{c.holder + 1}, Verdict{}
}

// Over ends a completion. Calling it for the zero Ticket does nothing.
func (g *Gate) Over(t Ticket) {
	if t.holder == 0 {
		return
	}
	g.take(t.holder-1, -1)
	g.tidy(t.holder - 1)
}

func (g *Gate) take(at int32, n int) {
	g.holders[at].taken += n
	g.taken += n
	g.recountTaken(at)
}

func (g *Gate) recountTaken(at int32) {
	h := &g.holders[at]
	common := h.taken
	if h.client != Unknown && !h.gone {
		common = max(0, h.taken-g.completionShare())
	}
	g.takenCommon += common - h.takenCommon
	h.takenCommon = common
}

// completionsCommon is how many completions there may be besides those in known clients' shares.
func (g *Gate) completionsCommon() int {
	if len(g.clients) == 0 {
		return g.s.Completions
	}
	return g.s.Completions - g.s.ReserveCompletions
}

// returns remembers until when completions that were rate-limited were told to stay away: a ring of the last
// so many, found by their key. A forgotten one is asked of decide again, which harms nothing.
type returns struct {
	ring  []comeBackAt
	next  int
	byKey map[uint64]int
}

type comeBackAt struct {
	key   uint64
	until float64
}

func newReturns(n int) returns { return returns{ring: make([]comeBackAt, n), byKey: map[uint64]int{}} }

// RateLimited hears that a completion was told to come back after some seconds. key tells the completion: its
// holder, workload and content, so that another of the same client is not judged by it.
func (g *Gate) RateLimited(now float64, key uint64, comeBack float64) {
	r := &g.returns
	if len(r.ring) == 0 || comeBack <= 0 {
		return
	}
	if at, there := r.byKey[key]; there {
		r.ring[at].until = now + comeBack
		return
	}
	if old := r.ring[r.next]; old.until > 0 {
		delete(r.byKey, old.key)
	}
	r.ring[r.next] = comeBackAt{key, now + comeBack}
	r.byKey[key] = r.next
	r.next = (r.next + 1) % len(r.ring)
}

// Early refuses a completion that was told to come back later than now. From its time on it is let through.
func (g *Gate) Early(now float64, key uint64) Verdict {
	if at, there := g.returns.byKey[key]; there {
		if left := g.returns.ring[at].until - now; left > 0 {
			_, v := g.refuse(Verdict{Early, left})
			return v
		}
	}
	return Verdict{}
}
