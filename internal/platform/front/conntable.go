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
type room struct {
	most   int
	all    map[uint64]*place
	silent *list.List // that brought no call yet, oldest first
	spent  *list.List // between two calls, none of which was taken, oldest first
	idle   *list.List // between two calls, oldest first
}

type place struct {
	id    uint64
	since time.Time  // when it came
	good  bool       // a completion that it brought was taken
	in    *list.List // nil while a call runs
	at    *list.Element
}

// move takes a place out of its list and into another, nil for none.
func (p *place) move(to *list.List) {
	if p.in != nil {
		p.in.Remove(p.at)
	}
	if p.in = to; to != nil {
		p.at = to.PushBack(p)
	}
}

// freshMost is how long a first call takes that is sent at once: a handshake's last packet, the way, and a moment of
// this router's. A flood of connections that is accepted faster than its calls come would else evict the usual ones
// before theirs is read.
const freshMost = 250 * time.Millisecond

func newRoom(most int) *room {
	return &room{most: most, all: map[uint64]*place{}, silent: list.New(), spent: list.New(), idle: list.New()}
}

// enter lets a connection in. evict is one that has to go for it; ok is false where all places have a call.
func (r *room) enter(now time.Time, id uint64) (evict uint64, evicts, ok bool) {
	if len(r.all) >= r.most {
		if evict, evicts = r.worst(now); !evicts {
			return 0, false, false
		}
	}
	p := &place{id: id, since: now}
	p.move(r.silent)
	r.all[id] = p
	return evict, evicts, true
}

// worst takes out the connection that is to go first.
func (r *room) worst(now time.Time) (uint64, bool) {
	if first := r.silent.Front(); first != nil && now.Sub(first.Value.(*place).since) > freshMost { //nolint:forcetypeassert // nothing else is in it
		return r.oldest(r.silent)
	}
	for _, in := range [...]*list.List{r.spent, r.silent, r.idle} {
		if id, found := r.oldest(in); found {
			return id, true
		}
	}
	return 0, false
}

// call books that a connection brings a call; false: it was told to go.
func (r *room) call(id uint64) bool {
	p := r.all[id]
	if p == nil {
		return false
	}
	p.move(nil)
	return true
}

// taken books that the call that a connection brings was taken.
func (r *room) taken(id uint64) {
	if p := r.all[id]; p != nil {
		p.good = true
	}
}

// over books that a call is over.
func (r *room) over(id uint64) {
	if p := r.all[id]; p != nil && p.good {
		p.move(r.idle)
	} else if p != nil {
		p.move(r.spent)
	}
}

// leave forgets a connection.
func (r *room) leave(id uint64) {
	if p := r.all[id]; p != nil {
		p.move(nil)
		delete(r.all, id)
	}
}

// resting takes out a connection that is between two calls.
func (r *room) resting() (uint64, bool) {
	if id, found := r.oldest(r.spent); found {
		return id, true
	}
	return r.oldest(r.idle)
}

// oldest takes out the connection that has been in a list for longest.
func (r *room) oldest(in *list.List) (uint64, bool) {
	first := in.Front()
	if first == nil {
		return 0, false
	}
	id := first.Value.(*place).id //nolint:forcetypeassert // nothing else is in it
	r.leave(id)
	return id, true
}
