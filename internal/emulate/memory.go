package emulate

// memory is an engine's KV memory in blocks of a fixed number of tokens, after paged attention (Kwon et al.,
// "Efficient Memory Management for Large Language Model Serving with PagedAttention", SOSP 2023): a sequence has a
// list of blocks anywhere; whole blocks of prompts are known by a hash of all the text up to their end, and are
// shared by sequences that begin alike. A block that no sequence uses stays until its room is wanted, the one
// unused longest first. Left out: blocks of answers are not shared; blocks are not swapped to the host.
type memory struct {
	blocks       []block
	free         []int32
	byHash       map[uint64]int32
	oldestUnused int32 // of those kept and unused, -1 for none
	newestUnused int32
	unusedCount  int
}

type block struct {
	hash       uint64 // 0: of no whole prompt block
	refs       int
	prev, next int32 // among the unused, while refs is 0 and hash is not
}

func newMemory(n int) *memory {
	m := &memory{blocks: make([]block, n), byHash: map[uint64]int32{}, oldestUnused: -1, newestUnused: -1}
	for i := n - 1; i >= 0; i-- {
		m.free = append(m.free, int32(i))
	}
	return m
}

// room is how many blocks a sequence could have now without anyone's preemption.
func (m *memory) available() int { return len(m.free) + m.unusedCount }

// used is the share of blocks that sequences and held states use.
func (m *memory) usedShare() float64 { return 1 - float64(m.available())/float64(len(m.blocks)) }

// kept is how many of the first blocks are there.
func (m *memory) countCached(hashes []uint64) int {
	for i, h := range hashes {
		if _, there := m.byHash[h]; !there {
			return i
		}
	}
	return len(hashes)
}

// keptUnused is how many of those are used by nobody: taking them lessens the room.
func (m *memory) countCachedUnused(hashes []uint64) (n int) {
	for _, h := range hashes {
		if at, there := m.byHash[h]; there && m.blocks[at].refs == 0 {
			n++
		}
	}
	return n
}

// share takes a block that is kept.
func (m *memory) acquireCached(hash uint64) int32 {
	at := m.byHash[hash]
	if m.blocks[at].refs == 0 {
		m.removeUnused(at)
	}
	m.blocks[at].refs++
	return at
}

// take takes a block for something new, -1 if there is none.
func (m *memory) allocate() int32 {
	var at int32
	switch n := len(m.free); {
	case n > 0:
		at, m.free = m.free[n-1], m.free[:n-1]
	case m.oldestUnused >= 0:
		at = m.oldestUnused
		m.removeUnused(at)
		delete(m.byHash, m.blocks[at].hash)
	default:
		return -1
	}
	m.blocks[at] = block{refs: 1, prev: -1, next: -1}
	return at
}

// name gives a block the hash of what was read into it, unless another has it already.
func (m *memory) setHash(at int32, hash uint64) {
	if _, there := m.byHash[hash]; there || m.blocks[at].hash != 0 {
		return
	}
	m.blocks[at].hash = hash
	m.byHash[hash] = at
}

// drop gives a block back. One with a name stays until its room is wanted.
func (m *memory) release(at int32) {
	b := &m.blocks[at]
	if b.refs--; b.refs > 0 {
		return
	}
	if b.hash == 0 {
		m.free = append(m.free, at)
		return
	}
	b.prev, b.next = m.newestUnused, -1
	if m.newestUnused >= 0 {
		m.blocks[m.newestUnused].next = at
	} else {
		m.oldestUnused = at
	}
	m.newestUnused = at
	m.unusedCount++
}

func (m *memory) removeUnused(at int32) {
	b := &m.blocks[at]
	if b.prev >= 0 {
		m.blocks[b.prev].next = b.next
	} else {
		m.oldestUnused = b.next
	}
	if b.next >= 0 {
		m.blocks[b.next].prev = b.prev
	} else {
		m.newestUnused = b.prev
	}
	b.prev, b.next = -1, -1
	m.unusedCount--
}
