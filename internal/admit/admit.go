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
	MaxConnections      int // open at once in all, 3 or more
	ReservedConnections int // of them kept for known clients, divided among them evenly
	MaxProvisional      int // of them for those not yet known for whom there is no common room, 0 for none
	MaxClosing          int // connections told to go that are not closed yet, besides Connections
	MaxPerAddress       int // open connections of one address that is not known
	MaxPerClient        int // of one known client
	IPv6PrefixBits      int // bits of an IPv6 address that tell one holder, 1 to 128

	AddressRate, AddressBurst float64 // new connections a second of one address, and how many may come at once
	ClientRate, ClientBurst   float64 // of one known client
	ProvisionalFloodRate      float64 // entries a second to the anteroom of all addresses past their own rate
	MaxRetryAfter             float64 // a flooding address's wait grows to this

	ProvisionalTimeout       float64 // until the first header is whole, in the anteroom
	HeaderTimeout            float64 // the same, in the common room
	IdleTimeout              float64 // between two calls, until the next header is whole
	MaxRequestsPerConnection int     // of one connection, then it is closed after the answer

	MaxCompletions           int // taken and not over, in all
	ReservedCompletions      int // of them kept for known clients
	MaxCompletionsPerClient  int // of one known client
	MaxCompletionsPerAddress int // of one address
	MaxRememberedRateLimits  int // rate-limited completions that are remembered

	HashSeed uint64 // of the sketch's hashes, so that nobody can aim at another's cells
}

// Client is one that is known.
type Client struct {
	Name string // tells it from others, over reloads too
}

// Unknown is the client number of one who is not known.
const UnknownClient = -1

// Conn names a connection that was let in, never 0.
type ConnID uint64

// Reason says why something was refused or ended.
type Reason uint8

// The reasons.
const (
	ReasonNone               Reason = iota
	ReasonConnectionRate            // new connections of the address or client come too fast
	ReasonAddressLimit              // the address holds its cap, or its share of what is left
	ReasonPoolFull                  // no common room
	ReasonClientLimit               // the known client holds its cap
	ReasonProvisionalEvicted        // of those not yet known, its address held the most
	ReasonNotIdentified             // let in to say who it is, and it is not known
	ReasonHeaderTimeout             // its header did not come in time
	ReasonIdleTimeout               // no call for too long
	ReasonPreempted                 // idle while others need room
	ReasonRequestLimit              // enough calls on one connection
	ReasonClientRevoked             // its client is known no longer
	ReasonCompletionLimit           // too many completions are open
	ReasonEarlyRetry                // a rate-limited completion came back before its time
	ReasonNoDescriptors             // the process has none left
	ReasonStopping                  // this router goes
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "rate", "share", "full", "client_cap", "anteroom", "not_known", "slow_header", "idle", "room",
	"calls", "revoked", "completions", "early", "descriptors", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

// Reasons is how many there are.
const NumReasons = int(reasonCount)

// Verdict is whether something may be, and if not, why and when to come again.
type Decision struct {
	Reason     Reason
	RetryAfter float64 // seconds until coming back is worth it, 0 where that isn't known
}

// OK tells whether it may be.
func (v Decision) Admitted() bool { return v.Reason == ReasonNone }

// Evicted is a connection that must be told to go and closed.
type Eviction struct {
	Conn   ConnID
	Reason Reason
}

// The places of a connection.
const (
	stateFree           = iota
	stateProvisional    // in the anteroom
	stateAwaitingHeader // let in, its first header not there yet
	stateInRequest
	stateIdle
	stateClosing
)

type conn struct {
	generation        uint32
	state             uint8
	identified        bool // by address range, certificate or key
	provisional       bool // counted in the anteroom
	closeAfterRequest bool // to be closed after its call
	closeReason       Reason
	holder            int32
	requestsBegun     int // begun
	requestsRunning   int // now
	stateSince        float64
	links             [2]listLinks // in a list of times, in a list of its holder
}

// holder is an address or a known client with something open.
type holder struct {
	address           netip.Addr // masked
	client            int        // Unknown for an address
	name              string
	admittedConns     int // its connections outside the anteroom
	commonConns       int // of them in the common room
	provisionalConns  int // in the anteroom
	queuedProvisional int // of them on lobby: the others have their refusal and are about to close
	openCompletions   int // its completions
	commonCompletions int // of them past its share of the reserve
	tat               float64
	preemptible       list // its connections that may be closed for room, oldest first
	provisionalQueue  list // in the anteroom, oldest first
	rank              [2]rankEntry
	revoked           bool // a known client that is known no longer
	inUse             bool
}

// Gate decides. It is not safe for use by many at once.
type Controller struct {
	settings           Settings
	conns              []conn
	freeSlots          []int32 // free slots of conns
	holders            []holder
	freeHolders        []int32
	holderByAddress    map[netip.Addr]int32
	clientHolders      []int32 // holders of the known clients
	addressRates       *sketch
	floodTAT           float64 // theoretical arrival time of FloodRate
	rateLimits         rateLimitRing
	timeoutQueues      [3]list // waiting, quiet, idle; oldest first
	commonRanking      ranking // by common, those with a connection to close
	provisionalRanking ranking // by listed
	evictions          []Eviction

	draining                                    bool
	commonConns, provisionalConns, closingConns int
	openCompletions, commonCompletions          int
	refused                                     [reasonCount]uint64
	evicted                                     [reasonCount]uint64
	accepted                                    uint64
}

// New makes a gate.
func New(s Settings, clients []Client) (*Controller, error) {
	if err := s.validate(len(clients)); err != nil {
		return nil, err
	}
	g := &Controller{settings: s, holderByAddress: map[netip.Addr]int32{}, addressRates: newSketch(s.HashSeed)}
	g.timeoutQueues = [3]list{newList(0), newList(0), newList(0)}
	g.commonRanking, g.provisionalRanking = newRanking(0), newRanking(1)
	g.rateLimits = newRateLimitRing(s.MaxRememberedRateLimits)
	g.initClients(clients)
	return g, nil
}

// check tells what does not fit together.
func (s *Settings) validate(clients int) error {
	switch {
	case s.MaxConnections < 3:
		return fmt.Errorf("connections: %d, wanted 3 or more", s.MaxConnections)
	case s.ReservedConnections+s.MaxProvisional >= s.MaxConnections:
		return fmt.Errorf("connections: of %d the reserve of %d and the anteroom of %d leave nothing to others", s.MaxConnections, s.ReservedConnections, s.MaxProvisional)
	case clients > 0 && s.ReservedConnections < clients:
		return fmt.Errorf("reserve: %d connections for %d known clients, wanted one each at least", s.ReservedConnections, clients)
	case clients > 0 && s.MaxProvisional < 1:
		return fmt.Errorf("anteroom: none, wanted 1 or more where %d clients are to be known by what they send", clients)
	case s.ReservedCompletions >= s.MaxCompletions:
		return fmt.Errorf("reserve of completions: %d of %d leave nothing to others", s.ReservedCompletions, s.MaxCompletions)
	case s.IPv6PrefixBits < 1 || s.IPv6PrefixBits > 128:
		return fmt.Errorf("IPv6 prefix: %d, wanted 1 to 128", s.IPv6PrefixBits)
	case !(s.AddressRate > 0 && s.AddressBurst >= 1 && s.ClientRate > 0 && s.ClientBurst >= 1 && s.ProvisionalFloodRate > 0 && s.MaxRetryAfter >= 0):
		return fmt.Errorf("rates: wanted above 0, bursts 1 or more")
	}
	return nil
}

// commonMost is the common room's size.
func (g *Controller) maxCommon() int {
	if len(g.clientHolders) == 0 { // nobody for whom to keep anything
		return g.settings.MaxConnections - g.settings.MaxProvisional
	}
	return g.settings.MaxConnections - g.settings.ReservedConnections - g.settings.MaxProvisional
}

// share is what each known client has of the reserve for itself alone.
func (g *Controller) reservedShare() int {
	return g.settings.ReservedConnections / max(1, len(g.clientHolders))
}

func (g *Controller) reservedCompletionShare() int {
	return g.settings.ReservedCompletions / max(1, len(g.clientHolders))
}

// mask is the address that stands for one holder.
func (g *Controller) maskAddress(a netip.Addr) netip.Addr {
	a = a.Unmap().WithZone("")
	if a.Is4() || !a.IsValid() {
		return a
	}
	p, err := a.Prefix(g.settings.IPv6PrefixBits)
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
func (g *Controller) Accept(now float64, from netip.Addr, client int) (ConnID, Decision) {
	if g.draining {
		return g.refuse(Decision{Reason: ReasonStopping})
	}
	address := g.maskAddress(from)
	if client != UnknownClient {
		h := g.clientHolders[client]
		v := g.admitClient(now, h, true)
		if !v.Admitted() {
			return g.refuse(v)
		}
		return g.addConn(now, h, stateAwaitingHeader, true), Decision{}
	}
	wait := g.addressRates.arrive(now, address, g.settings.AddressRate, g.settings.AddressBurst, g.settings.MaxRetryAfter)
	v := Decision{}
	if wait > 0 {
		v = Decision{ReasonConnectionRate, wait}
	} else if v = g.admitAddress(address); v.Admitted() {
		return g.addConn(now, g.addressHolder(address), stateAwaitingHeader, false), Decision{}
	}
	if len(g.clientHolders) == 0 || g.settings.MaxProvisional == 0 {
		return g.refuse(v)
	}
	if wait > 0 {
		if g.floodTAT > now+floodBurstSeconds {
			return g.refuse(v)
		}
		g.floodTAT = math.Max(now, g.floodTAT) + 1/g.settings.ProvisionalFloodRate
	}
	h := g.addressHolder(address)
	if g.provisionalConns >= g.settings.MaxProvisional {
		top := g.provisionalRanking.top()
		if top < 0 || g.holders[h].provisionalConns >= g.holders[top].provisionalConns || g.closingConns >= g.settings.MaxClosing {
			g.freeIfEmpty(h)
			return g.refuse(v)
		}
		g.evict(g.holders[top].provisionalQueue.head, ReasonProvisionalEvicted)
	}
	return g.addConn(now, h, stateProvisional, false), Decision{}
}

// floodBurst is how far entries to the anteroom may run ahead of FloodRate, in seconds: a moment's crowd.
const floodBurstSeconds = 0.25

func (g *Controller) refuse(v Decision) (ConnID, Decision) {
	g.refused[v.Reason]++
	if v.RetryAfter <= 0 {
		v.RetryAfter = defaultRetryAfterSeconds
	}
	return 0, v
}

// comeBack is told where nothing better is known, in seconds: idle connections go in about such a time.
const defaultRetryAfterSeconds = 1.0

// addressMay decides on one more connection of an address in the common room, and makes room for it.
func (g *Controller) admitAddress(address netip.Addr) Decision {
	held := 0
	if h, there := g.holderByAddress[address]; there {
		held = g.holders[h].commonConns
	}
	if held >= g.addressLimit(held == 0) {
		if held < g.settings.MaxPerAddress && g.commonConns <= g.maxCommon() && g.preempt(held) {
			return Decision{}
		}
		return Decision{Reason: ReasonAddressLimit}
	}
	if !g.ensureCommonCapacity(held) {
		return Decision{Reason: ReasonPoolFull}
	}
	return Decision{}
}

// allowed is what an address may hold: PerAddress while there is much room, less and less down to an even
// share as there is none. fresh: the address holds nothing yet.
func (g *Controller) addressLimit(fresh bool) int {
	most := g.maxCommon()
	holders := g.commonRanking.nonEmptyHolders
	if fresh {
		holders++
	}
	even := max(1, most/max(1, holders))
	if even >= g.settings.MaxPerAddress {
		return g.settings.MaxPerAddress
	}
	used := float64(g.commonConns) / float64(most)
	if used <= shrinkAboveUsedFraction {
		return g.settings.MaxPerAddress
	}
	left := math.Max(0, (1-used)/(1-shrinkAboveUsedFraction))
	return even + int(left*float64(g.settings.MaxPerAddress-even))
}

// shrinkFrom is the share of the common room in use past which an address's cap shrinks: half of it is for
// whoever is there, the other half is shared more evenly the less is left.
const shrinkAboveUsedFraction = 0.5

// makeRoom sees to a place in the common room for one who holds so many: a free one, or another's.
func (g *Controller) ensureCommonCapacity(held int) bool {
	return g.commonConns < g.maxCommon() || g.commonConns == g.maxCommon() && g.preempt(held)
}

// swap ends an idle connection of the one who holds the most, if that is more than one who holds so many would
// have with another. It never ends a call.
func (g *Controller) preempt(held int) bool {
	top := g.commonRanking.top()
	if top < 0 || g.holders[top].commonConns <= held+1 || g.closingConns >= g.settings.MaxClosing {
		return false
	}
	g.evict(g.holders[top].preemptible.head, ReasonPreempted)
	return true
}

// clientMay decides on one more connection of a known client. New ones pay its rate; one that the anteroom or
// the common room held already pays too, as it was not known to be this client's.
func (g *Controller) admitClient(now float64, at int32, fresh bool) Decision {
	h := &g.holders[at]
	if h.admittedConns >= g.settings.MaxPerClient {
		return Decision{Reason: ReasonClientLimit}
	}
	if fresh {
		next, wait := gcraArrive(now, h.tat, g.settings.ClientRate, g.settings.ClientBurst, g.settings.MaxRetryAfter)
		if h.tat = next; wait > 0 {
			return Decision{ReasonConnectionRate, wait}
		}
	}
	if h.admittedConns >= g.reservedShare() && !g.ensureCommonCapacity(h.commonConns) {
		return Decision{Reason: ReasonPoolFull}
	}
	return Decision{}
}

// Call begins a call on a connection whose header came, of the client that it says it is or Unknown. If it may
// not be, the connection must be closed after the refusal. CallOver must follow, refused or not.
func (g *Controller) BeginRequest(now float64, id ConnID, client int) Decision {
	c := g.lookup(id)
	if c == nil {
		return Decision{Reason: ReasonPoolFull}
	}
	if c.state == stateClosing {
		c.requestsRunning++
		return Decision{c.closeReason, defaultRetryAfterSeconds}
	}
	slot := int32(uint32(id)) - 1
	g.removeFromLists(slot)
	c.requestsRunning++
	c.requestsBegun++
	c.state = stateInRequest
	v := Decision{}
	h := &g.holders[c.holder]
	switch {
	case client != UnknownClient && h.client != client:
		v = g.reassign(now, slot, g.clientHolders[client])
	case c.provisional:
		v = Decision{ReasonNotIdentified, g.addressRates.waitTime(now, h.address, g.settings.AddressRate, g.settings.AddressBurst)}
	case h.revoked:
		v = Decision{Reason: ReasonClientRevoked}
	}
	if !v.Admitted() {
		_, v = g.refuse(v)
		c.closeAfterRequest, c.closeReason = true, v.Reason
	} else if c.requestsBegun >= g.settings.MaxRequestsPerConnection {
		c.closeAfterRequest, c.closeReason = true, ReasonRequestLimit
	}
	return v
}

// Last tells whether a connection is to be closed after its call.
func (g *Controller) ShouldClose(id ConnID) bool {
	c := g.lookup(id)
	return c == nil || c.closeAfterRequest || c.state == stateClosing || g.draining || g.holders[c.holder].revoked
}

// become makes a connection another holder's. If it may not be, it stays what it was until it has its refusal.
func (g *Controller) reassign(now float64, slot, to int32) Decision {
	c := &g.conns[slot]
	from := c.holder
	g.uncountConn(slot)
	v := g.admitClient(now, to, !c.identified)
	if !v.Admitted() {
		g.countConn(slot)
		return v
	}
	c.holder, c.identified, c.provisional = to, true, false
	g.countConn(slot)
	g.freeIfEmpty(from)
	return v
}

// CallOver ends a call.
func (g *Controller) EndRequest(now float64, id ConnID) {
	c := g.lookup(id)
	if c == nil {
		return
	}
	if c.requestsRunning--; c.requestsRunning > 0 || c.state != stateInRequest {
		return
	}
	// One that had its last call closes by itself; should it not, it is idle too long in the end.
	slot := int32(uint32(id)) - 1
	c.state, c.stateSince = stateIdle, now
	g.timeoutQueues[2].push(g, slot)
	if !c.provisional {
		g.holders[c.holder].preemptible.push(g, slot)
		g.holders[c.holder].updateRank(g, c.holder)
	}
}

// Closed forgets a connection. Its completions, if any are not over, go on to count.
func (g *Controller) ConnClosed(id ConnID) {
	c := g.lookup(id)
	if c == nil {
		return
	}
	slot := int32(uint32(id)) - 1
	if c.state == stateClosing {
		g.closingConns--
	} else {
		g.removeFromLists(slot)
		g.uncountConn(slot)
		g.freeIfEmpty(c.holder)
	}
	c.state = stateFree
	c.generation++
	g.freeSlots = append(g.freeSlots, slot)
}

// Evicted lists the connections to be told to go since it was last called. The list is the caller's until the
// next call.
func (g *Controller) TakeEvictions() []Eviction {
	all := g.evictions
	g.evictions = nil
	return all
}

// Due ends what has waited too long, and tells when it is to be called again at the latest.
func (g *Controller) EvictExpired(now float64) (next float64) {
	next = math.Inf(1)
	for i := range g.timeoutQueues {
		for g.draining && g.timeoutQueues[i].head >= 0 && g.closingConns < g.settings.MaxClosing {
			g.evict(g.timeoutQueues[i].head, ReasonStopping)
		}
	}
	for i, most := range [...]float64{g.settings.ProvisionalTimeout, g.settings.HeaderTimeout, g.settings.IdleTimeout} {
		for g.timeoutQueues[i].head >= 0 && g.closingConns < g.settings.MaxClosing {
			slot := g.timeoutQueues[i].head
			if until := g.conns[slot].stateSince + most; until > now {
				next = math.Min(next, until)
				break
			}
			why := ReasonHeaderTimeout
			if i == 2 {
				why = ReasonIdleTimeout
			}
			g.evict(slot, why)
		}
	}
	for g.commonConns > g.maxCommon() && g.commonRanking.top() >= 0 && g.closingConns < g.settings.MaxClosing { // settings were lowered
		g.evict(g.holders[g.commonRanking.top()].preemptible.head, ReasonPreempted)
	}
	return next
}

// Drain lets nobody in any more. Connections without a call go with the next Due, others after their call.
func (g *Controller) Drain() { g.draining = true }

// enter gives a connection a place.
func (g *Controller) addConn(now float64, at int32, place uint8, known bool) ConnID {
	var slot int32
	if n := len(g.freeSlots); n > 0 {
		slot, g.freeSlots = g.freeSlots[n-1], g.freeSlots[:n-1]
	} else {
		slot = int32(len(g.conns))
		g.conns = append(g.conns, conn{})
	}
	c := &g.conns[slot]
	*c = conn{generation: c.generation, state: place, identified: known, holder: at, stateSince: now}
	h := &g.holders[at]
	if place == stateProvisional {
		c.provisional = true
		g.timeoutQueues[0].push(g, slot)
		h.provisionalQueue.push(g, slot)
		h.queuedProvisional++
		g.provisionalRanking.set(g, at, h.queuedProvisional)
	} else {
		g.timeoutQueues[1].push(g, slot)
		h.preemptible.push(g, slot)
	}
	g.countConn(slot)
	g.accepted++
	return ConnID(uint64(c.generation)<<32 | uint64(slot+1))
}

// join counts a connection at its holder.
func (g *Controller) countConn(slot int32) {
	c := &g.conns[slot]
	h := &g.holders[c.holder]
	if c.provisional {
		h.provisionalConns++
		g.provisionalConns++
		return
	}
	h.admittedConns++
	g.recountCommon(c.holder)
}

// leave counts it no more.
func (g *Controller) uncountConn(slot int32) {
	c := &g.conns[slot]
	h := &g.holders[c.holder]
	if c.provisional {
		h.provisionalConns--
		g.provisionalConns--
		return
	}
	h.admittedConns--
	g.recountCommon(c.holder)
}

// recount finds what a holder has in the common room: a known client only what goes past its share.
func (g *Controller) recountCommon(at int32) {
	h := &g.holders[at]
	common := h.admittedConns
	if h.client != UnknownClient && !h.revoked {
		common = max(0, h.admittedConns-g.reservedShare())
	}
	g.commonConns += common - h.commonConns
	h.commonConns = common
	h.updateRank(g, at)
}

// ranked keeps a holder's place among the greatest.
func (h *holder) updateRank(g *Controller, at int32) {
	n := h.commonConns
	if h.preemptible.head < 0 {
		n = 0
	}
	g.commonRanking.countHolder(h, h.commonConns)
	g.commonRanking.set(g, at, n)
}

// unlist takes a connection off the lists of times and of what may be closed.
func (g *Controller) removeFromLists(slot int32) {
	c := &g.conns[slot]
	h := &g.holders[c.holder]
	switch c.state {
	case stateProvisional:
		g.timeoutQueues[0].remove(g, slot)
		h.provisionalQueue.remove(g, slot)
		h.queuedProvisional--
		g.provisionalRanking.set(g, c.holder, h.queuedProvisional)
	case stateAwaitingHeader:
		g.timeoutQueues[1].remove(g, slot)
		h.preemptible.remove(g, slot)
		h.updateRank(g, c.holder)
	case stateIdle:
		g.timeoutQueues[2].remove(g, slot)
		if !c.provisional {
			h.preemptible.remove(g, slot)
			h.updateRank(g, c.holder)
		}
	}
}

// evict has a connection told to go. It is counted as leaving until it is closed.
func (g *Controller) evict(slot int32, why Reason) {
	c := &g.conns[slot]
	g.removeFromLists(slot)
	g.uncountConn(slot)
	c.state, c.closeReason = stateClosing, why
	g.freeIfEmpty(c.holder)
	g.closingConns++
	g.evicted[why]++
	g.evictions = append(g.evictions, Eviction{ConnID(uint64(c.generation)<<32 | uint64(slot+1)), why})
}

// find is a connection by its name, nil if it is closed.
func (g *Controller) lookup(id ConnID) *conn {
	slot := int64(uint32(id)) - 1
	if slot < 0 || slot >= int64(len(g.conns)) {
		return nil
	}
	c := &g.conns[slot]
	if c.state == stateFree || c.generation != uint32(id>>32) {
		return nil
	}
	return c
}

// holderOf is the record of an address, made where there is none.
func (g *Controller) addressHolder(address netip.Addr) int32 {
	if at, there := g.holderByAddress[address]; there {
		return at
	}
	at := g.newHolder()
	g.holders[at].address = address
	g.holderByAddress[address] = at
	return at
}

func (g *Controller) newHolder() int32 {
	var at int32
	if n := len(g.freeHolders); n > 0 {
		at, g.freeHolders = g.freeHolders[n-1], g.freeHolders[:n-1]
	} else {
		at = int32(len(g.holders))
		g.holders = append(g.holders, holder{})
	}
	g.holders[at] = holder{client: UnknownClient, preemptible: newList(1), provisionalQueue: newList(1), inUse: true}
	return at
}

// tidy forgets a holder that holds nothing.
func (g *Controller) freeIfEmpty(at int32) {
	h := &g.holders[at]
	if h.admittedConns+h.provisionalConns+h.openCompletions > 0 || !h.inUse || h.client != UnknownClient && !h.revoked {
		return
	}
	if h.client == UnknownClient {
		delete(g.holderByAddress, h.address)
	}
	h.inUse = false
	g.freeHolders = append(g.freeHolders, at)
}
