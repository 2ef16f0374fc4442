package admit

// listLinks are a connection's neighbours in a list, as indexes of Controller.conns; -1 for none.
type listLinks struct{ prev, next int32 }

// list is a doubly linked list of connections in order of insertion. linkIndex says which of conn.links it uses.
type list struct {
	head, tail int32
	linkIndex  uint8
}

func newList(linkIndex uint8) list { return list{-1, -1, linkIndex} }

func (l *list) push(ctl *Controller, slot int32) {
	ctl.conns[slot].links[l.linkIndex] = listLinks{l.tail, -1}
	if l.tail >= 0 {
		ctl.conns[l.tail].links[l.linkIndex].next = slot
	} else {
		l.head = slot
	}
	l.tail = slot
}

func (l *list) remove(ctl *Controller, slot int32) {
	neighbours := ctl.conns[slot].links[l.linkIndex]
	if neighbours.prev >= 0 {
		ctl.conns[neighbours.prev].links[l.linkIndex].next = neighbours.next
	} else {
		l.head = neighbours.next
	}
	if neighbours.next >= 0 {
		ctl.conns[neighbours.next].links[l.linkIndex].prev = neighbours.prev
	} else {
		l.tail = neighbours.prev
	}
}

// rankEntry is a holder's position in a ranking: its count, and its neighbours among the holders with the same count.
type rankEntry struct {
	count      int
	prev, next int32
	counted    bool // in nonEmptyHolders
}

// ranking finds the holder with the highest count. It keeps holders in one list per count, so that the cost of a change
// by one does not depend on their number. A holder with count 0 is in no list. Among holders with the same count the
// one that has had it longest comes first: where each address holds one connection, the oldest is evicted, not the
// newest.
type ranking struct {
	buckets         [][2]int32 // by count: the first and the last holder, -1 for none
	maxCount        int        // upper bound of the counts
	rankIndex       uint8
	nonEmptyHolders int // holders with a common connection, whether or not they are ranked
}

func newRanking(rankIndex uint8) ranking { return ranking{rankIndex: rankIndex} }

// set changes a holder's count.
func (rk *ranking) set(ctl *Controller, holderIndex int32, count int) {
	entry := &ctl.holders[holderIndex].rank[rk.rankIndex]
	if entry.count == count {
		return
	}
	if entry.count > 0 {
		if entry.prev >= 0 {
			ctl.holders[entry.prev].rank[rk.rankIndex].next = entry.next
		} else {
			rk.buckets[entry.count][0] = entry.next
		}
		if entry.next >= 0 {
			ctl.holders[entry.next].rank[rk.rankIndex].prev = entry.prev
		} else {
			rk.buckets[entry.count][1] = entry.prev
		}
	}
	entry.count = count
	if count == 0 {
		return
	}
	for len(rk.buckets) <= count {
		rk.buckets = append(rk.buckets, [2]int32{-1, -1})
	}
	entry.prev, entry.next = rk.buckets[count][1], -1
	if entry.prev >= 0 {
		ctl.holders[entry.prev].rank[rk.rankIndex].next = holderIndex
	} else {
		rk.buckets[count][0] = holderIndex
	}
	rk.buckets[count][1] = holderIndex
	rk.maxCount = max(rk.maxCount, count)
}

// countHolder updates nonEmptyHolders for a holder that now has the given number of connections.
func (rk *ranking) countHolder(h *holder, count int) {
	entry := &h.rank[rk.rankIndex]
	if nonEmpty := count > 0; nonEmpty != entry.counted {
		if entry.counted = nonEmpty; nonEmpty {
			rk.nonEmptyHolders++
		} else {
			rk.nonEmptyHolders--
		}
	}
}

// top returns the first holder with the highest count, -1 if there is none.
func (rk *ranking) top() int32 {
	for rk.maxCount > 0 {
		if holderIndex := rk.buckets[rk.maxCount][0]; holderIndex >= 0 {
			return holderIndex
		}
		rk.maxCount--
	}
	return -1
}
