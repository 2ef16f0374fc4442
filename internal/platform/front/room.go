package front

import "container/list"

// room decides which clients' connections stay. It does no I/O and keeps no clock. All clients come by one front, so
// that no address tells a flood from the usual ones; what does is whether a connection ever brought a call. Where all
// places are taken, the one that has said nothing for longest goes, then the one idle for longest, as both may be
// closed by the protocol. It guards against floods of silent connections and clients that hold theirs for good; it
// harms a client whose first call is slower than the flood, which connects again.
type room struct {
	most   int
	all    map[uint64]*place
	silent *list.List // that brought no call yet, oldest first
	idle   *list.List // between two calls, oldest first
}

type place struct {
	id uint64
	in *list.List // nil while a call runs
	at *list.Element
}

func newRoom(most int) *room {
	return &room{most: most, all: map[uint64]*place{}, silent: list.New(), idle: list.New()}
}

// enter lets a connection in. evict is one that has to go for it; ok is false where all places have a call.
func (r *room) enter(id uint64) (evict uint64, evicts, ok bool) {
	if len(r.all) >= r.most {
		if evict, evicts = r.oldest(r.silent); !evicts {
			evict, evicts = r.oldest(r.idle)
		}
		if !evicts {
			return 0, false, false
		}
	}
	p := &place{id: id, in: r.silent}
	p.at = r.silent.PushBack(p)
	r.all[id] = p
	return evict, evicts, true
}

// call books that a connection brings a call; false: it was told to go.
func (r *room) call(id uint64) bool {
	p := r.all[id]
	if p == nil {
		return false
	}
	if p.in != nil {
		p.in.Remove(p.at)
		p.in = nil
	}
	return true
}

// over books that a call is over.
func (r *room) over(id uint64) {
	if p := r.all[id]; p != nil && p.in == nil {
		p.in = r.idle
		p.at = r.idle.PushBack(p)
	}
}

// leave forgets a connection.
func (r *room) leave(id uint64) {
	p := r.all[id]
	if p == nil {
		return
	}
	if p.in != nil {
		p.in.Remove(p.at)
	}
	delete(r.all, id)
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
