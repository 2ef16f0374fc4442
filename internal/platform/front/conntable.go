package front

import (
	"container/list"
	"time"
)

// room decides which clients' connections stay. It does no I/O and keeps no clock. All clients come by one front, so
// that no address tells a flood from the usual ones; what does is whether a connection ever brought a completion that
// was taken. Where all places are taken, one goes that may be closed by the protocol, in this order: a connection that
// has said nothing for freshMost; one that brought nothing that was taken; one that has said nothing yet; one between
// two calls that did; of each kind the one that is so for longest. It guards against floods of silent connections, of
// calls that nobody needs and against clients that hold theirs for good; it harms a client whose first call is slower
// than the flood, which connects again.
type connTable struct {
	maxConns     int
	entries      map[uint64]*connEntry
	noRequestYet *list.List // that brought no call yet, oldest first
	idleUnproven *list.List // between two calls, none of which was taken, oldest first
	idleProven   *list.List // between two calls, oldest first
}

type connEntry struct {
	id          uint64
	connectedAt time.Time  // when it came
	proven      bool       // a completion that it brought was taken
	list        *list.List // nil while a call runs
	element     *list.Element
}

// move takes a place out of its list and into another, nil for none.
func (e *connEntry) moveTo(l *list.List) {
	if e.list != nil {
		e.list.Remove(e.element)
	}
	if e.list = l; l != nil {
		e.element = l.PushBack(e)
	}
}

// freshMost is how long a first call takes that is sent at once: a handshake's last packet, the way, and a moment of
// this router's. A flood of connections that is accepted faster than its calls come would else evict the usual ones
// before theirs is read.
const firstRequestGrace = 250 * time.Millisecond

func newConnTable(maxConns int) *connTable {
	return &connTable{maxConns: maxConns, entries: map[uint64]*connEntry{}, noRequestYet: list.New(), idleUnproven: list.New(), idleProven: list.New()}
}

// enter lets a connection in. evict is one that has to go for it; ok is false where all places have a call.
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

// worst takes out the connection that is to go first.
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

// call books that a connection brings a call; false: it was told to go.
func (t *connTable) beginRequest(id uint64) bool {
	e := t.entries[id]
	if e == nil {
		return false
	}
	e.moveTo(nil)
	return true
}

// taken books that the call that a connection brings was taken.
func (t *connTable) completionAccepted(id uint64) {
	if e := t.entries[id]; e != nil {
		e.proven = true
	}
}

// over books that a call is over.
func (t *connTable) endRequest(id uint64) {
	if e := t.entries[id]; e != nil && e.proven {
		e.moveTo(t.idleProven)
	} else if e != nil {
		e.moveTo(t.idleUnproven)
	}
}

// leave forgets a connection.
func (t *connTable) remove(id uint64) {
	if e := t.entries[id]; e != nil {
		e.moveTo(nil)
		delete(t.entries, id)
	}
}

// resting takes out a connection that is between two calls.
func (t *connTable) takeIdle() (uint64, bool) {
	if id, found := t.takeOldest(t.idleUnproven); found {
		return id, true
	}
	return t.takeOldest(t.idleProven)
}

// oldest takes out the connection that has been in a list for longest.
func (t *connTable) takeOldest(l *list.List) (uint64, bool) {
	first := l.Front()
	if first == nil {
		return 0, false
	}
	id := first.Value.(*connEntry).id //nolint:forcetypeassert // nothing else is in it
	t.remove(id)
	return id, true
}
