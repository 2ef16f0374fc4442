package admit

// links are a connection's neighbours in a list, as slots; -1 for none.
type links struct{ prev, next int32 }

// list is a list of connections in the order in which they came to it. Which of their links it uses is fixed.
type list struct {
	head, tail int32
	by         uint8
}

func newList(by uint8) list { return list{-1, -1, by} }

func (l *list) push(g *Gate, slot int32) {
	g.conns[slot].link[l.by] = links{l.tail, -1}
	if l.tail >= 0 {
		g.conns[l.tail].link[l.by].next = slot
	} else {
		l.head = slot
	}
	l.tail = slot
}

func (l *list) remove(g *Gate, slot int32) {
	at := g.conns[slot].link[l.by]
	if at.prev >= 0 {
		g.conns[at.prev].link[l.by].next = at.next
	} else {
		l.head = at.next
	}
	if at.next >= 0 {
		g.conns[at.next].link[l.by].prev = at.prev
	} else {
		l.tail = at.prev
	}
}

// rankPlace is a holder's place in a ranks: its count, and its neighbours of the same count.
type rankPlace struct {
	count      int
	prev, next int32
	counted    bool
}

// ranks finds who holds the most: holders in lists by their count, so that a change by one costs the same
// however many there are. A holder with count 0 is in none. Of several with the same count the one that has had it
// longest comes first: where each address holds one, it is the oldest that goes, not the one that came just now.
type ranks struct {
	ends    [][2]int32 // by count: who came to it first, and last
	most    int        // no holder has more
	by      uint8
	holders int // that hold anything, whether or not they are ranked
}

func newRanks(by uint8) ranks { return ranks{by: by} }

// set moves a holder to a count.
func (r *ranks) set(g *Gate, at int32, count int) {
	p := &g.holders[at].place[r.by]
	if p.count == count {
		return
	}
	if p.count > 0 {
		if p.prev >= 0 {
			g.holders[p.prev].place[r.by].next = p.next
		} else {
			r.ends[p.count][0] = p.next
		}
		if p.next >= 0 {
			g.holders[p.next].place[r.by].prev = p.prev
		} else {
			r.ends[p.count][1] = p.prev
		}
	}
	p.count = count
	if count == 0 {
		return
	}
	for len(r.ends) <= count {
		r.ends = append(r.ends, [2]int32{-1, -1})
	}
	p.prev, p.next = r.ends[count][1], -1
	if p.prev >= 0 {
		g.holders[p.prev].place[r.by].next = at
	} else {
		r.ends[count][0] = at
	}
	r.ends[count][1] = at
	r.most = max(r.most, count)
}

// count keeps how many hold anything.
func (r *ranks) count(h *holder, n int) {
	p := &h.place[r.by]
	if holds := n > 0; holds != p.counted {
		if p.counted = holds; holds {
			r.holders++
		} else {
			r.holders--
		}
	}
}

// top is one of those with the greatest count, -1 if there is none.
func (r *ranks) top() int32 {
	for r.most > 0 {
		if at := r.ends[r.most][0]; at >= 0 {
			return at
		}
		r.most--
	}
	return -1
}
