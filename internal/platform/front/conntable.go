package front

import (
	"container/list"
	"time"
)

// connTable decides which client connections stay open. It does no I/O and reads no clock.
//
// All clients connect through the same front end, so addresses can't tell a flood from regular clients. Instead, a
// connection counts as proven once a completion on it was accepted. When the table is full, a new connection evicts one
// that the protocol allows to close, in this order:
//   - one without a request for longer than firstRequestGrace,
//   - an idle one that is not proven,
//   - one that has not sent a request yet,
//   - an idle one that is proven;
//
// within each group, the one that has been in it longest. This guards against floods of silent connections, against
// floods of useless requests and against clients that keep connections forever. Its cost: during a flood, a client whose
// first request is slower than the flood is evicted and has to connect again.
type connTable struct {
	maxConns     int
	entries      map[uint64]*connEntry
	noRequestYet *list.List // no request received yet, oldest first
	idleUnproven *list.List // between two requests, no completion accepted yet, oldest first
	idleProven   *list.List // between two requests, after an accepted completion, oldest first
}

type connEntry struct {
	id          uint64
	connectedAt time.Time  // time of the accept
	proven      bool       // a completion on it was accepted
	list        *list.List // nil during a request
	element     *list.Element
}

// moveTo moves an entry from its list to another one, or to none if l is nil.
func (e *connEntry) moveTo(l *list.List) {
	if e.list != nil {
		e.list.Remove(e.element)
	}
	if e.list = l; l != nil {
		e.element = l.PushBack(e)
	}
}

// firstRequestGrace covers the time from the accept until a request sent at once has been read: the handshake's last
// packet, the network and scheduling. Without it, a flood of connections that are accepted faster than they send requests
// would evict regular clients before their first request is read.
const firstRequestGrace = 250 * time.Millisecond

func newConnTable(maxConns int) *connTable {
	return &connTable{maxConns: maxConns, entries: map[uint64]*connEntry{}, noRequestYet: list.New(), idleUnproven: list.New(), idleProven: list.New()}
}

// add adds a connection. If hasVictim, victim has been removed for it and must be closed. ok is false if the table is
// full and all its connections have requests.
func (t *connTable) add(now time.Time, id uint64) (victim uint64, hasVictim, ok bool) {
	if len(t.entries) >= t.maxConns {
		if victim, hasVictim = t.takeVictim(now); !hasVictim {
			return 0, false, false
		}
	}
	e := &connEntry{id: id, connectedAt: now}
	e.moveTo(t.noRequestYet)
	t.entries[id] = e
	return victim, hasVictim, true
}

// takeVictim removes the connection to evict first, if there is one.
func (t *connTable) takeVictim(now time.Time) (uint64, bool) {
	if first := t.noRequestYet.Front(); first != nil && now.Sub(first.Value.(*connEntry).connectedAt) > firstRequestGrace { //nolint:forcetypeassert // nothing else is in it
		return t.takeOldest(t.noRequestYet)
	}
	for _, l := range [...]*list.List{t.idleUnproven, t.noRequestYet, t.idleProven} {
		if id, found := t.takeOldest(l); found {
			return id, true
		}
	}
	return 0, false
}

// beginRequest records that a request has begun on a connection. It returns false if the connection has been evicted.
func (t *connTable) beginRequest(id uint64) bool {
	e := t.entries[id]
	if e == nil {
		return false
	}
	e.moveTo(nil)
	return true
}

// completionAccepted marks a connection as proven.
func (t *connTable) completionAccepted(id uint64) {
	if e := t.entries[id]; e != nil {
		e.proven = true
	}
}

// endRequest records that a connection is idle again.
func (t *connTable) endRequest(id uint64) {
	if e := t.entries[id]; e != nil && e.proven {
		e.moveTo(t.idleProven)
	} else if e != nil {
		e.moveTo(t.idleUnproven)
	}
}

// remove removes a connection.
func (t *connTable) remove(id uint64) {
	if e := t.entries[id]; e != nil {
		e.moveTo(nil)
		delete(t.entries, id)
	}
}

// takeIdle removes an idle connection, unproven ones first.
func (t *connTable) takeIdle() (uint64, bool) {
	if id, found := t.takeOldest(t.idleUnproven); found {
		return id, true
	}
	return t.takeOldest(t.idleProven)
}

// takeOldest removes the connection that has been in a list longest.
func (t *connTable) takeOldest(l *list.List) (uint64, bool) {
	first := l.Front()
	if first == nil {
		return 0, false
	}
	id := first.Value.(*connEntry).id //nolint:forcetypeassert // nothing else is in it
	t.remove(id)
	return id, true
}
