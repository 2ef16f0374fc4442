package admit

// links are a connection's neighbours in a list, as slots; -1 for none.
type listLinks struct{ prev, next int32 }

// list is a list of connections in the order in which they came to it. Which of their links it uses is fixed.
type list struct {
	head, tail int32
	linkIndex  uint8
}

func newList(by uint8) list { return list{-1, -1, by} }

func (l *list) push(g *Controller, slot int32) {
	g.conns[slot].links[l.linkIndex] = listLinks{l.tail, -1}
	if l.tail >= 0 {
		g.conns[l.tail].links[l.linkIndex].next = slot
	} else {
		l.head = slot
	}
	l.tail = slot
}

func (l *list) remove(g *Controller, slot int32) {
	at := g.conns[slot].links[l.linkIndex]
	if at.prev >= 0 {
		g.conns[at.prev].links[l.linkIndex].next = at.next
	} else {
		l.head = at.next
	}
	if at.next >= 0 {
		g.conns[at.next].links[l.linkIndex].prev = at.prev
	} else {
		l.tail = at.prev
	}
}

// rankPlace is a holder's place in a ranks: its count, and its neighbours of the same count.
type rankEntry struct {
	count      int
	prev, next int32
	counted    bool
}

// ranks finds who holds the most: holders in lists by their count, so that a change by one costs the same
// however many there are. A holder with count 0 is in none. Of several with the same count the one that has had it
// longest comes first: where each address holds one, it is the oldest that goes, not the one that came just now.
type ranking struct {
	buckets         [][2]int32 // by count: who came to it first, and last
	maxCount        int        // no holder has more
	rankIndex       uint8
	nonEmptyHolders int // that hold anything, whether or not they are ranked
}

func newRanking(by uint8) ranking { return ranking{rankIndex: by} }

// set moves a holder to a count.
func (r *ranking) set(g *Controller, at int32, count int) {
	p := &g.holders[at].rank[r.rankIndex]
	if p.count == count {
		return
	}
	if p.count > 0 {
		if p.prev >= 0 {
			g.holders[p.prev].rank[r.rankIndex].next = p.next
		} else {
			r.buckets[p.count][0] = p.next
		}
		if p.next >= 0 {
			g.holders[p.next].rank[r.rankIndex].prev = p.prev
		} else {
			r.buckets[p.count][1] = p.prev
		}
	}
	p.count = count
	if count == 0 {
		return
	}
	for len(r.buckets) <= count {
		r.buckets = append(r.buckets, [2]int32{-1, -1})
	}
	p.prev, p.next = r.buckets[count][1], -1
	if p.prev >= 0 {
		g.holders[p.prev].rank[r.rankIndex].next = at
	} else {
		r.buckets[count][0] = at
	}
	r.buckets[count][1] = at
	r.maxCount = max(r.maxCount, count)
}

// count keeps how many hold anything.
func (r *ranking) countHolder(h *holder, n int) {
	p := &h.rank[r.rankIndex]
	if holds := n > 0; holds != p.counted {
		if p.counted = holds; holds {
			r.nonEmptyHolders++
		} else {
			r.nonEmptyHolders--
		}
	}
}

// top is one of those with the greatest count, -1 if there is none.
func (r *ranking) top() int32 {
	for r.maxCount > 0 {
		if at := r.buckets[r.maxCount][0]; at >= 0 {
			return at
		}
		r.maxCount--
	}
	return -1
}
