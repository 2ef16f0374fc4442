package emulate

// memory is an engine's KV memory in blocks of a fixed number of tokens, after paged attention (Kwon et al., "Efficient
// Memory Management for Large Language Model Serving with PagedAttention", SOSP 2023). A sequence has a list of blocks
// at any positions. Full prompt blocks are identified by a hash of all the text up to their end and shared by sequences
// with the same prefix. An unused block stays cached until its space is needed, and the least recently used block is
// evicted first. Left out: sharing of output blocks, swapping of blocks to the host.
type memory struct {
	blocks       []block
	free         []int32
	byHash       map[uint64]int32
	oldestUnused int32 // of the cached blocks that no sequence uses, -1 for none
	newestUnused int32
	unusedCount  int
}

type block struct {
	hash       uint64 // 0: not a full prompt block
	refs       int
	prev, next int32 // in the list of unused blocks, if refs is 0 and hash is not
}

func newMemory(count int) *memory {
	m := &memory{blocks: make([]block, count), byHash: map[uint64]int32{}, oldestUnused: -1, newestUnused: -1}
	for i := count - 1; i >= 0; i-- {
		m.free = append(m.free, int32(i))
	}
	return m
}

// available returns the number of blocks that can be allocated without preempting a sequence.
func (m *memory) available() int { return len(m.free) + m.unusedCount }

// usedShare returns the share of blocks that sequences and held states use.
func (m *memory) usedShare() float64 { return 1 - float64(m.available())/float64(len(m.blocks)) }

// countCached returns how many of the leading blocks are cached.
func (m *memory) countCached(hashes []uint64) int {
	for i, h := range hashes {
		if _, cached := m.byHash[h]; !cached {
			return i
		}
	}
	return len(hashes)
}

// countCachedUnused returns how many of these cached blocks are unused: acquiring them reduces the available blocks.
func (m *memory) countCachedUnused(hashes []uint64) (n int) {
	for _, h := range hashes {
		if index, cached := m.byHash[h]; cached && m.blocks[index].refs == 0 {
			n++
		}
	}
	return n
}

// acquireCached adds a reference to a cached block.
func (m *memory) acquireCached(hash uint64) int32 {
	index := m.byHash[hash]
	if m.blocks[index].refs == 0 {
		m.removeUnused(index)
	}
	m.blocks[index].refs++
	return index
}

// allocate returns a block for new content, evicting a cached one if necessary, or -1 if there is none.
func (m *memory) allocate() int32 {
	var index int32
	switch n := len(m.free); {
	case n > 0:
		index, m.free = m.free[n-1], m.free[:n-1]
	case m.oldestUnused >= 0:
		index = m.oldestUnused
		m.removeUnused(index)
		delete(m.byHash, m.blocks[index].hash)
	default:
		return -1
	}
	m.blocks[index] = block{refs: 1, prev: -1, next: -1}
	return index
}

// setHash registers a block under the hash of its content, unless another block has that hash already.
func (m *memory) setHash(index int32, hash uint64) {
	if _, known := m.byHash[hash]; known || m.blocks[index].hash != 0 {
		return
	}
	m.blocks[index].hash = hash
	m.byHash[hash] = index
}

// release removes a reference to a block. A block with a hash stays cached until its space is needed.
func (m *memory) release(index int32) {
	b := &m.blocks[index]
	if b.refs--; b.refs > 0 {
		return
	}
	if b.hash == 0 {
		m.free = append(m.free, index)
		return
	}
	b.prev, b.next = m.newestUnused, -1
	if m.newestUnused >= 0 {
		m.blocks[m.newestUnused].next = index
	} else {
		m.oldestUnused = index
	}
	m.newestUnused = index
	m.unusedCount++
}

func (m *memory) removeUnused(index int32) {
	b := &m.blocks[index]
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
