// Package admit decides which connections, calls and completions an edge lets in while everybody comes at once:
// caps in all, for an address and for a known client, a reserve for known clients, shares that shrink as room
// runs out, waits that grow for those who flood. It does no I/O: time, addresses and identities are passed in,
// verdicts come back, and what must be closed is listed by Evicted. Its memory is bounded by its settings,
// whatever number of addresses come. internal/door, which owns the sockets, calls it under one lock.
package admit

import (
	"fmt"
	"math"
	"net/netip"
)

// Settings of a gate. Times are seconds.
type Settings struct {
	Connections int // open at once in all, 3 or more
	Reserve     int // of them kept for known clients, divided among them evenly
	Anteroom    int // of them for those not yet known for whom there is no common room, 0 for none
	Leaving     int // connections told to go that are not closed yet, besides Connections
	PerAddress  int // open connections of one address that is not known
	PerClient   int // of one known client
	Prefix6     int // bits of an IPv6 address that tell one holder, 1 to 128

	Rate, Burst             float64 // new connections a second of one address, and how many may come at once
	ClientRate, ClientBurst float64 // of one known client
	FloodRate               float64 // entries a second to the anteroom of all addresses past their own rate
	MaxWait                 float64 // a flooding address's wait grows to this

	AnteroomTime float64 // until the first header is whole, in the anteroom
	HeaderTime   float64 // the same, in the common room
	IdleTime     float64 // between two calls, until the next header is whole
	Calls        int     // of one connection, then it is closed after the answer

	Completions        int // taken and not over, in all
	ReserveCompletions int // of them kept for known clients
	ClientCompletions  int // of one known client
	AddressCompletions int // of one address
	Returns            int // rate-limited completions that are remembered

	Seed uint64 // of the sketch's hashes, so that nobody can aim at another's cells
}

// Client is one that is known.
type Client struct {
	Name string // tells it from others, over reloads too
}

// Unknown is the client number of one who is not known.
const Unknown = -1

// Conn names a connection that was let in, never 0.
type Conn uint64

// Reason says why something was refused or ended.
type Reason uint8

// The reasons.
const (
	None          Reason = iota
	Rate                 // new connections of the address or client come too fast
	Share                // the address holds its cap, or its share of what is left
	Full                 // no common room
	ClientCap            // the known client holds its cap
	Anteroom             // of those not yet known, its address held the most
	NotKnown             // let in to say who it is, and it is not known
	SlowHeader           // its header did not come in time
	Idle                 // no call for too long
	Room                 // idle while others need room
	Calls                // enough calls on one connection
	Revoked              // its client is known no longer
	Completions          // too many completions are open
	Early                // a rate-limited completion came back before its time
	NoDescriptors        // the process has none left
	Stopping             // this router goes
	reasons
)

var reasonNames = [reasons]string{"none", "rate", "share", "full", "client_cap", "anteroom", "not_known", "slow_header", "idle", "room",
	"calls", "revoked", "completions", "early", "descriptors", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

// Reasons is how many there are.
const Reasons = int(reasons)

// Verdict is whether something may be, and if not, why and when to come again.
type Verdict struct {
	Reason Reason
	Wait   float64 // seconds until coming back is worth it, 0 where that isn't known
}

// OK tells whether it may be.
func (v Verdict) OK() bool { return v.Reason == None }

// Evicted is a connection that must be told to go and closed.
type Evicted struct {
	Conn   Conn
	Reason Reason
}

// The places of a connection.
const (
	free    = iota
	waiting // in the anteroom
	quiet   // let in, its first header not there yet
	calling
	idle
	leaving
)

type conn struct {
	gen     uint32
	place   uint8
	known   bool // by address range, certificate or key
	lobby   bool // counted in the anteroom
	last    bool // to be closed after its call
	why     Reason
	holder  int32
	calls   int // begun
	running int // now
	since   float64
	link    [2]links // in a list of times, in a list of its holder
}

// holder is an address or a known client with something open.
type holder struct {
	address     netip.Addr // masked
	client      int        // Unknown for an address
	name        string
	open        int // its connections outside the anteroom
	common      int // of them in the common room
	waiting     int // in the anteroom
	listed      int // of them on lobby: the others have their refusal and are about to close
	taken       int // its completions
	takenCommon int // of them past its share of the reserve
	tat         float64
	idle        list // its connections that may be closed for room, oldest first
	lobby       list // in the anteroom, oldest first
	place       [2]rankPlace
	gone        bool // a known client that is known no longer
	used        bool
}

// Gate decides. It is not safe for use by many at once.
type Gate struct {
	s       Settings
	conns   []conn
	spare   []int32 // free slots of conns
	holders []holder
	vacant  []int32
	byAddr  map[netip.Addr]int32
	clients []int32 // holders of the known clients
	rates   *sketch
	floods  float64 // theoretical arrival time of FloodRate
	returns returns
	times   [3]list // waiting, quiet, idle; oldest first
	big     ranks   // by common, those with a connection to close
	lobby   ranks   // by listed
	evicted []Evicted

	draining                bool
	common, anteroom, going int
	taken, takenCommon      int
	refused                 [reasons]uint64
	ended                   [reasons]uint64
	let                     uint64
}

// New makes a gate.
func New(s Settings, clients []Client) (*Gate, error) {
	if err := s.check(len(clients)); err != nil {
		return nil, err
	}
	g := &Gate{s: s, byAddr: map[netip.Addr]int32{}, rates: newSketch(s.Seed)}
	g.times = [3]list{newList(0), newList(0), newList(0)}
	g.big, g.lobby = newRanks(0), newRanks(1)
	g.returns = newReturns(s.Returns)
	g.setClients(clients)
	return g, nil
}

// check tells what does not fit together.
func (s *Settings) check(clients int) error {
	switch {
	case s.Connections < 3:
		return fmt.Errorf("connections: %d, wanted 3 or more", s.Connections)
	case s.Reserve+s.Anteroom >= s.Connections:
		return fmt.Errorf("connections: of %d the reserve of %d and the anteroom of %d leave nothing to others", s.Connections, s.Reserve, s.Anteroom)
	case clients > 0 && s.Reserve < clients:
		return fmt.Errorf("reserve: %d connections for %d known clients, wanted one each at least", s.Reserve, clients)
	case clients > 0 && s.Anteroom < 1:
		return fmt.Errorf("anteroom: none, wanted 1 or more where %d clients are to be known by what they send", clients)
	case s.ReserveCompletions >= s.Completions:
		return fmt.Errorf("reserve of completions: %d of %d leave nothing to others", s.ReserveCompletions, s.Completions)
	case s.Prefix6 < 1 || s.Prefix6 > 128:
		return fmt.Errorf("IPv6 prefix: %d, wanted 1 to 128", s.Prefix6)
	case !(s.Rate > 0 && s.Burst >= 1 && s.ClientRate > 0 && s.ClientBurst >= 1 && s.FloodRate > 0 && s.MaxWait >= 0):
		return fmt.Errorf("rates: wanted above 0, bursts 1 or more")
	}
	return nil
}

// commonMost is the common room's size.
func (g *Gate) commonMost() int {
	if len(g.clients) == 0 { // nobody for whom to keep anything
		return g.s.Connections - g.s.Anteroom
	}
	return g.s.Connections - g.s.Reserve - g.s.Anteroom
}

// share is what each known client has of the reserve for itself alone.
func (g *Gate) share() int { return g.s.Reserve / max(1, len(g.clients)) }

func (g *Gate) completionShare() int { return g.s.ReserveCompletions / max(1, len(g.clients)) }

// mask is the address that stands for one holder.
func (g *Gate) mask(a netip.Addr) netip.Addr {
	a = a.Unmap().WithZone("")
	if a.Is4() || !a.IsValid() {
		return a
	}
	p, err := a.Prefix(g.s.Prefix6)
	if err != nil {
		return a
	}
	return p.Addr()
}

// Accept decides on a new connection from an address, client being Unknown or one known by its address. One
// that is let in must be told to Closed when it is closed, whatever comes between.
//
// One for whom there is no common room may still be a known client who hasn't yet said so. It is let into the
// anteroom, where it has AnteroomTime to send a header; if that is full, the oldest there of the address that
// holds the most of it goes. That guards known clients against a flood by others; a known client behind the
// address that floods competes with the flood for the anteroom.
func (g *Gate) Accept(now float64, from netip.Addr, client int) (Conn, Verdict) {
	if g.draining {
		return g.refuse(Verdict{Reason: Stopping})
	}
	address := g.mask(from)
	if client != Unknown {
		h := g.clients[client]
		v := g.clientMay(now, h, true)
		if !v.OK() {
			return g.refuse(v)
		}
		return g.enter(now, h, quiet, true), Verdict{}
	}
	wait := g.rates.arrive(now, address, g.s.Rate, g.s.Burst, g.s.MaxWait)
	v := Verdict{}
	if wait > 0 {
		v = Verdict{Rate, wait}
	} else if v = g.addressMay(address); v.OK() {
		return g.enter(now, g.holderOf(address), quiet, false), Verdict{}
	}
	if len(g.clients) == 0 || g.s.Anteroom == 0 {
		return g.refuse(v)
	}
	if wait > 0 {
		if g.floods > now+floodBurst {
			return g.refuse(v)
		}
		g.floods = math.Max(now, g.floods) + 1/g.s.FloodRate
	}
	h := g.holderOf(address)
	if g.anteroom >= g.s.Anteroom {
		top := g.lobby.top()
		if top < 0 || g.holders[h].waiting >= g.holders[top].waiting || g.going >= g.s.Leaving {
			g.tidy(h)
			return g.refuse(v)
		}
		g.evict(g.holders[top].lobby.head, Anteroom)
	}
	return g.enter(now, h, waiting, false), Verdict{}
}

// floodBurst is how far entries to the anteroom may run ahead of FloodRate, in seconds: a moment's crowd.
const floodBurst = 0.25

func (g *Gate) refuse(v Verdict) (Conn, Verdict) {
	g.refused[v.Reason]++
	if v.Wait <= 0 {
		v.Wait = comeBack
	}
	return 0, v
}

// comeBack is told where nothing better is known, in seconds: idle connections go in about such a time.
const comeBack = 1.0

// addressMay decides on one more connection of an address in the common room, and makes room for it.
func (g *Gate) addressMay(address netip.Addr) Verdict {
	held := 0
	if h, there := g.byAddr[address]; there {
		held = g.holders[h].common
	}
	if held >= g.allowed(held == 0) {
		if held < g.s.PerAddress && g.common <= g.commonMost() && g.swap(held) {
			return Verdict{}
		}
		return Verdict{Reason: Share}
	}
	if !g.makeRoom(held) {
		return Verdict{Reason: Full}
	}
	return Verdict{}
}

// allowed is what an address may hold: PerAddress while there is much room, less and less down to an even
// share as there is none. fresh: the address holds nothing yet.
func (g *Gate) allowed(fresh bool) int {
	most := g.commonMost()
	holders := g.big.holders
	if fresh {
		holders++
	}
	even := max(1, most/max(1, holders))
	if even >= g.s.PerAddress {
		return g.s.PerAddress
	}
	used := float64(g.common) / float64(most)
	if used <= shrinkFrom {
		return g.s.PerAddress
	}
	left := math.Max(0, (1-used)/(1-shrinkFrom))
	return even + int(left*float64(g.s.PerAddress-even))
}

// shrinkFrom is the share of the common room in use past which an address's cap shrinks: half of it is for
// whoever is there, the other half is shared more evenly the less is left.
const shrinkFrom = 0.5

// makeRoom sees to a place in the common room for one who holds so many: a free one, or another's.
func (g *Gate) makeRoom(held int) bool {
	return g.common < g.commonMost() || g.common == g.commonMost() && g.swap(held)
}

// swap ends an idle connection of the one who holds the most, if that is more than one who holds so many would
// have with another. It never ends a call.
func (g *Gate) swap(held int) bool {
	top := g.big.top()
	if top < 0 || g.holders[top].common <= held+1 || g.going >= g.s.Leaving {
		return false
	}
	g.evict(g.holders[top].idle.head, Room)
	return true
}

// clientMay decides on one more connection of a known client. New ones pay its rate; one that the anteroom or
// the common room held already pays too, as it was not known to be this client's.
func (g *Gate) clientMay(now float64, at int32, fresh bool) Verdict {
	h := &g.holders[at]
	if h.open >= g.s.PerClient {
		return Verdict{Reason: ClientCap}
	}
	if fresh {
		next, wait := arrive(now, h.tat, g.s.ClientRate, g.s.ClientBurst, g.s.MaxWait)
		if h.tat = next; wait > 0 {
			return Verdict{Rate, wait}
		}
	}
	if h.open >= g.share() && !g.makeRoom(h.common) {
		return Verdict{Reason: Full}
	}
	return Verdict{}
}

// Call begins a call on a connection whose header came, of the client that it says it is or Unknown. If it may
// not be, the connection must be closed after the refusal. CallOver must follow, refused or not.
func (g *Gate) Call(now float64, id Conn, client int) Verdict {
	c := g.find(id)
	if c == nil {
		return Verdict{Reason: Full}
	}
	if c.place == leaving {
		c.running++
		return Verdict{c.why, comeBack}
	}
	slot := int32(uint32(id)) - 1
	g.unlist(slot)
	c.running++
	c.calls++
	c.place = calling
	v := Verdict{}
	h := &g.holders[c.holder]
	switch {
	case client != Unknown && h.client != client:
		v = g.become(now, slot, g.clients[client])
	case c.lobby:
		v = Verdict{NotKnown, g.rates.wait(now, h.address, g.s.Rate, g.s.Burst)}
	case h.gone:
		v = Verdict{Reason: Revoked}
	}
	if !v.OK() {
		_, v = g.refuse(v)
		c.last, c.why = true, v.Reason
	} else if c.calls >= g.s.Calls {
		c.last, c.why = true, Calls
	}
	return v
}

// Last tells whether a connection is to be closed after its call.
func (g *Gate) Last(id Conn) bool {
	c := g.find(id)
	return c == nil || c.last || c.place == leaving || g.draining || g.holders[c.holder].gone
}

// become makes a connection another holder's. If it may not be, it stays what it was until it has its refusal.
func (g *Gate) become(now float64, slot, to int32) Verdict {
	c := &g.conns[slot]
	from := c.holder
	g.leave(slot)
	v := g.clientMay(now, to, !c.known)
	if !v.OK() {
		g.join(slot)
		return v
	}
	c.holder, c.known, c.lobby = to, true, false
	g.join(slot)
	g.tidy(from)
	return v
}

// CallOver ends a call.
func (g *Gate) CallOver(now float64, id Conn) {
	c := g.find(id)
	if c == nil {
		return
	}
	if c.running--; c.running > 0 || c.place != calling {
		return
	}
	// One that had its last call closes by itself; should it not, it is idle too long in the end.
	slot := int32(uint32(id)) - 1
	c.place, c.since = idle, now
	g.times[2].push(g, slot)
	if !c.lobby {
		g.holders[c.holder].idle.push(g, slot)
		g.holders[c.holder].ranked(g, c.holder)
	}
}

// Closed forgets a connection. Its completions, if any are not over, go on to count.
func (g *Gate) Closed(id Conn) {
	c := g.find(id)
	if c == nil {
		return
	}
	slot := int32(uint32(id)) - 1
	if c.place == leaving {
		g.going--
	} else {
		g.unlist(slot)
		g.leave(slot)
		g.tidy(c.holder)
	}
	c.place = free
	c.gen++
	g.spare = append(g.spare, slot)
}

// Evicted lists the connections to be told to go since it was last called. The list is the caller's until the
// next call.
func (g *Gate) Evicted() []Evicted {
	all := g.evicted
	g.evicted = nil
	return all
}

// Due ends what has waited too long, and tells when it is to be called again at the latest.
func (g *Gate) Due(now float64) (next float64) {
	next = math.Inf(1)
	for i := range g.times {
		for g.draining && g.times[i].head >= 0 && g.going < g.s.Leaving {
			g.evict(g.times[i].head, Stopping)
		}
	}
	for i, most := range [...]float64{g.s.AnteroomTime, g.s.HeaderTime, g.s.IdleTime} {
		for g.times[i].head >= 0 && g.going < g.s.Leaving {
			slot := g.times[i].head
			if until := g.conns[slot].since + most; until > now {
				next = math.Min(next, until)
				break
			}
			why := SlowHeader
			if i == 2 {
				why = Idle
			}
			g.evict(slot, why)
		}
	}
	for g.common > g.commonMost() && g.big.top() >= 0 && g.going < g.s.Leaving { // settings were lowered
		g.evict(g.holders[g.big.top()].idle.head, Room)
	}
	return next
}

// Drain lets nobody in any more. Connections without a call go with the next Due, others after their call.
func (g *Gate) Drain() { g.draining = true }

// enter gives a connection a place.
func (g *Gate) enter(now float64, at int32, place uint8, known bool) Conn {
	var slot int32
	if n := len(g.spare); n > 0 {
		slot, g.spare = g.spare[n-1], g.spare[:n-1]
	} else {
		slot = int32(len(g.conns))
		g.conns = append(g.conns, conn{})
	}
	c := &g.conns[slot]
	*c = conn{gen: c.gen, place: place, known: known, holder: at, since: now}
	h := &g.holders[at]
	if place == waiting {
		c.lobby = true
		g.times[0].push(g, slot)
		h.lobby.push(g, slot)
		h.listed++
		g.lobby.set(g, at, h.listed)
	} else {
		g.times[1].push(g, slot)
		h.idle.push(g, slot)
	}
	g.join(slot)
	g.let++
	return Conn(uint64(c.gen)<<32 | uint64(slot+1))
}

// join counts a connection at its holder.
func (g *Gate) join(slot int32) {
	c := &g.conns[slot]
	h := &g.holders[c.holder]
	if c.lobby {
		h.waiting++
		g.anteroom++
		return
	}
	h.open++
	g.recount(c.holder)
}

// leave counts it no more.
func (g *Gate) leave(slot int32) {
	c := &g.conns[slot]
	h := &g.holders[c.holder]
	if c.lobby {
		h.waiting--
		g.anteroom--
		return
	}
	h.open--
	g.recount(c.holder)
}

// recount finds what a holder has in the common room: a known client only what goes past its share.
func (g *Gate) recount(at int32) {
	h := &g.holders[at]
	common := h.open
	if h.client != Unknown && !h.gone {
		common = max(0, h.open-g.share())
	}
	g.common += common - h.common
	h.common = common
	h.ranked(g, at)
}

// ranked keeps a holder's place among the greatest.
func (h *holder) ranked(g *Gate, at int32) {
	n := h.common
	if h.idle.head < 0 {
		n = 0
	}
	g.big.count(h, h.common)
	g.big.set(g, at, n)
}

// unlist takes a connection off the lists of times and of what may be closed.
func (g *Gate) unlist(slot int32) {
	c := &g.conns[slot]
	h := &g.holders[c.holder]
	switch c.place {
	case waiting:
		g.times[0].remove(g, slot)
		h.lobby.remove(g, slot)
		h.listed--
		g.lobby.set(g, c.holder, h.listed)
	case quiet:
		g.times[1].remove(g, slot)
		h.idle.remove(g, slot)
		h.ranked(g, c.holder)
	case idle:
		g.times[2].remove(g, slot)
		if !c.lobby {
			h.idle.remove(g, slot)
			h.ranked(g, c.holder)
		}
	}
}

// evict has a connection told to go. It is counted as leaving until it is closed.
func (g *Gate) evict(slot int32, why Reason) {
	c := &g.conns[slot]
	g.unlist(slot)
	g.leave(slot)
	c.place, c.why = leaving, why
	g.tidy(c.holder)
	g.going++
	g.ended[why]++
	g.evicted = append(g.evicted, Evicted{Conn(uint64(c.gen)<<32 | uint64(slot+1)), why})
}

// find is a connection by its name, nil if it is closed.
func (g *Gate) find(id Conn) *conn {
	slot := int64(uint32(id)) - 1
	if slot < 0 || slot >= int64(len(g.conns)) {
		return nil
	}
	c := &g.conns[slot]
	if c.place == free || c.gen != uint32(id>>32) {
		return nil
	}
	return c
}

// holderOf is the record of an address, made where there is none.
func (g *Gate) holderOf(address netip.Addr) int32 {
	if at, there := g.byAddr[address]; there {
		return at
	}
	at := g.newHolder()
	g.holders[at].address = address
	g.byAddr[address] = at
	return at
}

func (g *Gate) newHolder() int32 {
	var at int32
	if n := len(g.vacant); n > 0 {
		at, g.vacant = g.vacant[n-1], g.vacant[:n-1]
	} else {
		at = int32(len(g.holders))
		g.holders = append(g.holders, holder{})
	}
	g.holders[at] = holder{client: Unknown, idle: newList(1), lobby: newList(1), used: true}
	return at
}

// tidy forgets a holder that holds nothing.
func (g *Gate) tidy(at int32) {
	h := &g.holders[at]
	if h.open+h.waiting+h.taken > 0 || !h.used || h.client != Unknown && !h.gone {
		return
	}
	if h.client == Unknown {
		delete(g.byAddr, h.address)
	}
	h.used = false
	g.vacant = append(g.vacant, at)
}
