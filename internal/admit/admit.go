// Package admit is the admission control of client connections, HTTP requests and completions under overload. It
// enforces limits in total, per address and per known client, reserves capacity for known clients, lowers the limit
// of an address as capacity runs out, and lengthens the retry-after of clients that connect too fast.
//
// A known client is one listed in the configuration, identified by its address, its certificate or an API key.
// Connections are counted in three pools: the reserve of the known clients, the common pool, and the provisional
// pool (the setting "anteroom") for connections that the common pool has no capacity for and that may yet turn out
// to be a known client's.
//
// The package does no I/O: time, addresses and identities are passed in, decisions are returned, and connections to
// close are returned by TakeEvictions. Its memory is bounded by its settings, however many addresses connect.
// internal/door, which owns the sockets, calls it under one lock.
package admit

import (
	"fmt"
	"math"
	"net/netip"
)

// Settings of a controller. Times are in seconds.
type Settings struct {
	MaxConnections      int // open at once in total, 3 or more
	ReservedConnections int // of these, reserved for known clients and divided evenly among them
	MaxProvisional      int // of these, for the provisional pool; 0 disables it
	MaxClosing          int // evicted connections that are not closed yet, in addition to MaxConnections
	MaxPerAddress       int // open connections of one address outside the clients' ranges
	MaxPerClient        int // open connections of one known client
	IPv6PrefixBits      int // IPv6 addresses with the same prefix of this length count as one address, 1 to 128

	AddressRate, AddressBurst float64 // new connections per second of one address, and how many may arrive at once
	ClientRate, ClientBurst   float64 // the same for one known client
	ProvisionalFloodRate      float64 // connections per second into the provisional pool from all addresses above their own rate
	MaxRetryAfter             float64 // the longest retry-after for connecting too fast

	ProvisionalTimeout       float64 // from accept until the first request header is complete, in the provisional pool
	HeaderTimeout            float64 // the same for other connections
	IdleTimeout              float64 // from the end of a request until the next header is complete
	MaxRequestsPerConnection int     // then the connection is closed after the response

	MaxCompletions           int // admitted and not ended, in total
	ReservedCompletions      int // of these, reserved for known clients
	MaxCompletionsPerClient  int // open completions of one known client
	MaxCompletionsPerAddress int // open completions of one address
	MaxRememberedRateLimits  int // rate-limited completions whose retry time is remembered

	HashSeed uint64 // of the sketch's hashes; random, so that no client can aim at another's cells
}

// Client is a known client.
type Client struct {
	Name string // identifies the client, also across reloads
}

// UnknownClient is the client index for clients that are not known.
const UnknownClient = -1

// ConnID identifies an accepted connection. It is never 0.
type ConnID uint64

// Reason says why a connection, request or completion was refused, or a connection evicted.
type Reason uint8

// Reasons.
const (
	ReasonNone               Reason = iota
	ReasonConnectionRate            // the address or client opens connections too fast
	ReasonAddressLimit              // the address is at its connection limit
	ReasonPoolFull                  // the common pool is full
	ReasonClientLimit               // the known client is at its connection limit
	ReasonProvisionalEvicted        // the provisional pool was full and the connection's address held the most of it
	ReasonNotIdentified             // a request on a provisional connection identified no known client
	ReasonHeaderTimeout             // the request header did not arrive in time
	ReasonIdleTimeout               // no request arrived in time
	ReasonPreempted                 // a connection without a request was closed in favour of another
	ReasonRequestLimit              // the connection had its maximum number of requests
	ReasonClientRevoked             // the client is no longer configured
	ReasonCompletionLimit           // too many completions are open
	ReasonEarlyRetry                // a rate-limited completion was retried before its retry-after
	ReasonNoDescriptors             // the process is out of file descriptors
	ReasonStopping                  // the router is shutting down
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "rate", "share", "full", "client_cap", "anteroom", "not_known", "slow_header", "idle", "room",
	"calls", "revoked", "completions", "early", "descriptors", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

// NumReasons is the number of reasons.
const NumReasons = int(reasonCount)

// Decision says whether a connection, request or completion is admitted.
type Decision struct {
	Reason     Reason
	RetryAfter float64 // seconds after which to retry, 0 if unknown
}

// Admitted reports whether the decision is to admit.
func (d Decision) Admitted() bool { return d.Reason == ReasonNone }

// Eviction is a connection that the caller must close, and the reason to give to the client.
type Eviction struct {
	Conn   ConnID
	Reason Reason
}

// States of a connection.
const (
	stateFree           = iota
	stateProvisional    // in the provisional pool, first header not received yet
	stateAwaitingHeader // in the common pool or the reserve, first header not received yet
	stateInRequest
	stateIdle
	stateClosing // evicted, not closed yet
)

type conn struct {
	generation        uint32
	state             uint8
	identified        bool // as a known client's, by address range, certificate or key
	provisional       bool // counted in the provisional pool
	closeAfterRequest bool
	closeReason       Reason
	holder            int32
	requestsBegun     int
	requestsRunning   int
	waitingSince      float64      // when the wait for a header began
	links             [2]listLinks // in a timeout queue, in a list of its holder
}

// holder is an address or a known client that has connections or completions open.
type holder struct {
	address           netip.Addr // masked by maskAddress
	client            int        // UnknownClient for an address
	name              string
	admittedConns     int // connections outside the provisional pool
	commonConns       int // of these, in the common pool
	provisionalConns  int // connections in the provisional pool
	queuedProvisional int // of these, in provisionalQueue; the others were refused a request and are about to close
	openCompletions   int
	commonCompletions int     // of these, beyond its share of the reserve
	tat               float64 // theoretical arrival time of a known client's connections, see gcraArrive
	preemptible       list    // connections outside the provisional pool that have no request, oldest first
	provisionalQueue  list    // provisional connections whose first header has not arrived, oldest first
	rank              [2]rankEntry
	revoked           bool // a known client that is no longer configured
	inUse             bool
}

// Controller decides on admission. It is not safe for concurrent use.
type Controller struct {
	settings           Settings
	conns              []conn
	freeSlots          []int32 // indexes of unused entries of conns
	holders            []holder
	freeHolders        []int32 // indexes of unused entries of holders
	holderByAddress    map[netip.Addr]int32
	clientHolders      []int32 // by client index
	addressRates       *sketch
	floodTAT           float64 // theoretical arrival time for ProvisionalFloodRate
	rateLimits         rateLimitRing
	timeoutQueues      [3]list // of stateProvisional, stateAwaitingHeader and stateIdle, oldest first
	commonRanking      ranking // by commonConns, of holders with a preemptible connection
	provisionalRanking ranking // by queuedProvisional
	evictions          []Eviction

	draining                                    bool
	commonConns, provisionalConns, closingConns int
	openCompletions, commonCompletions          int
	refused                                     [reasonCount]uint64
	evicted                                     [reasonCount]uint64
	accepted                                    uint64
}

// New returns a controller.
func New(s Settings, clients []Client) (*Controller, error) {
	if err := s.validate(len(clients)); err != nil {
		return nil, err
	}
	ctl := &Controller{settings: s, holderByAddress: map[netip.Addr]int32{}, addressRates: newSketch(s.HashSeed)}
	ctl.timeoutQueues = [3]list{newList(0), newList(0), newList(0)}
	ctl.commonRanking, ctl.provisionalRanking = newRanking(0), newRanking(1)
	ctl.rateLimits = newRateLimitRing(s.MaxRememberedRateLimits)
	ctl.initClients(clients)
	return ctl, nil
}

// validate reports settings that are out of range or contradict each other.
func (s *Settings) validate(clients int) error {
	switch {
	case s.MaxConnections < 3:
		return fmt.Errorf("connections: %d, must be 3 or more", s.MaxConnections)
	case s.ReservedConnections+s.MaxProvisional >= s.MaxConnections:
		return fmt.Errorf("connections: of %d, the reserve of %d and the anteroom of %d leave none for other clients", s.MaxConnections, s.ReservedConnections, s.MaxProvisional)
	case clients > 0 && s.ReservedConnections < clients:
		return fmt.Errorf("reserve: %d connections for %d known clients, must be at least one for each", s.ReservedConnections, clients)
	case clients > 0 && s.MaxProvisional < 1:
		return fmt.Errorf("anteroom: no connections, must be 1 or more as %d clients may identify themselves by their requests", clients)
	case s.ReservedCompletions >= s.MaxCompletions:
		return fmt.Errorf("reserve of completions: %d of %d leave none for other clients", s.ReservedCompletions, s.MaxCompletions)
	case s.IPv6PrefixBits < 1 || s.IPv6PrefixBits > 128:
		return fmt.Errorf("IPv6 prefix: %d, must be 1 to 128", s.IPv6PrefixBits)
	case !(s.AddressRate > 0 && s.AddressBurst >= 1 && s.ClientRate > 0 && s.ClientBurst >= 1 && s.ProvisionalFloodRate > 0 && s.MaxRetryAfter >= 0):
		return fmt.Errorf("rates: must be above 0, bursts 1 or more")
	}
	return nil
}

// maxCommon returns the size of the common pool.
func (ctl *Controller) maxCommon() int {
	if len(ctl.clientHolders) == 0 { // the reserve has no users
		return ctl.settings.MaxConnections - ctl.settings.MaxProvisional
	}
	return ctl.settings.MaxConnections - ctl.settings.ReservedConnections - ctl.settings.MaxProvisional
}

// reservedShare returns the number of connections reserved for each known client.
func (ctl *Controller) reservedShare() int {
	return ctl.settings.ReservedConnections / max(1, len(ctl.clientHolders))
}

func (ctl *Controller) reservedCompletionShare() int {
	return ctl.settings.ReservedCompletions / max(1, len(ctl.clientHolders))
}

// maskAddress returns the address under which the connections from an address are counted.
func (ctl *Controller) maskAddress(a netip.Addr) netip.Addr {
	a = a.Unmap().WithZone("")
	if a.Is4() || !a.IsValid() {
		return a
	}
	prefix, err := a.Prefix(ctl.settings.IPv6PrefixBits)
	if err != nil {
		return a
	}
	return prefix.Addr()
}

// Accept decides on a new connection from an address. client is the client that the address identifies, or
// UnknownClient. ConnClosed must be called when an accepted connection has closed, also if it was evicted.
//
// A connection that the common pool has no capacity for may still be a known client's that has not identified itself
// yet. It enters the provisional pool and has ProvisionalTimeout to send a header. If that pool is full, the oldest
// connection of the address that holds the most of it is evicted. This keeps a flood from other addresses from
// locking known clients out; a known client behind a flooding address competes with the flood for the pool.
func (ctl *Controller) Accept(now float64, from netip.Addr, client int) (ConnID, Decision) {
	if ctl.draining {
		return ctl.refuse(Decision{Reason: ReasonStopping})
	}
	address := ctl.maskAddress(from)
	if client != UnknownClient {
		holderIndex := ctl.clientHolders[client]
		decision := ctl.admitClient(now, holderIndex, true)
		if !decision.Admitted() {
			return ctl.refuse(decision)
		}
		return ctl.addConn(now, holderIndex, stateAwaitingHeader, true), Decision{}
	}
	wait := ctl.addressRates.arrive(now, address, ctl.settings.AddressRate, ctl.settings.AddressBurst, ctl.settings.MaxRetryAfter)
	decision := Decision{}
	if wait > 0 {
		decision = Decision{ReasonConnectionRate, wait}
	} else if decision = ctl.admitAddress(address); decision.Admitted() {
		return ctl.addConn(now, ctl.addressHolder(address), stateAwaitingHeader, false), Decision{}
	}
	if len(ctl.clientHolders) == 0 || ctl.settings.MaxProvisional == 0 {
		return ctl.refuse(decision)
	}
	if wait > 0 {
		if ctl.floodTAT > now+floodBurstSeconds {
			return ctl.refuse(decision)
		}
		ctl.floodTAT = math.Max(now, ctl.floodTAT) + 1/ctl.settings.ProvisionalFloodRate
	}
	holderIndex := ctl.addressHolder(address)
	if ctl.provisionalConns >= ctl.settings.MaxProvisional {
		top := ctl.provisionalRanking.top()
		if top < 0 || ctl.holders[holderIndex].provisionalConns >= ctl.holders[top].provisionalConns || ctl.closingConns >= ctl.settings.MaxClosing {
			ctl.freeIfEmpty(holderIndex)
			return ctl.refuse(decision)
		}
		ctl.evict(ctl.holders[top].provisionalQueue.head, ReasonProvisionalEvicted)
	}
	return ctl.addConn(now, holderIndex, stateProvisional, false), Decision{}
}

// floodBurstSeconds is how far entries to the provisional pool may run ahead of ProvisionalFloodRate, to allow bursts.
const floodBurstSeconds = 0.25

func (ctl *Controller) refuse(decision Decision) (ConnID, Decision) {
	ctl.refused[decision.Reason]++
	if decision.RetryAfter <= 0 {
		decision.RetryAfter = defaultRetryAfterSeconds
	}
	return 0, decision
}

// defaultRetryAfterSeconds is the retry-after if no better estimate exists: idle connections close within about this
// time.
const defaultRetryAfterSeconds = 1.0

// admitAddress decides on one more connection of an address in the common pool. It may preempt another for it.
func (ctl *Controller) admitAddress(address netip.Addr) Decision {
	held := 0
	if holderIndex, found := ctl.holderByAddress[address]; found {
		held = ctl.holders[holderIndex].commonConns
	}
	if held >= ctl.addressLimit(held == 0) {
		if held < ctl.settings.MaxPerAddress && ctl.commonConns <= ctl.maxCommon() && ctl.preempt(held) {
			return Decision{}
		}
		return Decision{Reason: ReasonAddressLimit}
	}
	if !ctl.ensureCommonCapacity(held) {
		return Decision{Reason: ReasonPoolFull}
	}
	return Decision{}
}

// addressLimit returns how many connections of the common pool an address may hold: MaxPerAddress while the pool has
// much free capacity, falling to an even share as the pool fills. newAddress says that the address holds none yet.
func (ctl *Controller) addressLimit(newAddress bool) int {
	maxConns := ctl.maxCommon()
	holders := ctl.commonRanking.nonEmptyHolders
	if newAddress {
		holders++
	}
	evenShare := max(1, maxConns/max(1, holders))
	if evenShare >= ctl.settings.MaxPerAddress {
		return ctl.settings.MaxPerAddress
	}
	usedFraction := float64(ctl.commonConns) / float64(maxConns)
	if usedFraction <= shrinkAboveUsedFraction {
		return ctl.settings.MaxPerAddress
	}
	remaining := math.Max(0, (1-usedFraction)/(1-shrinkAboveUsedFraction))
	return evenShare + int(remaining*float64(ctl.settings.MaxPerAddress-evenShare))
}

// shrinkAboveUsedFraction is the used fraction of the common pool above which the limit of an address shrinks. The
// first half of the pool goes to any address; the second half is shared the more evenly, the less of it is free.
const shrinkAboveUsedFraction = 0.5

// ensureCommonCapacity reports whether a holder of the given number of common connections may have one more. If the
// pool is full, it preempts another holder's.
func (ctl *Controller) ensureCommonCapacity(held int) bool {
	return ctl.commonConns < ctl.maxCommon() || ctl.commonConns == ctl.maxCommon() && ctl.preempt(held)
}

// preempt evicts a connection without a request of the holder with the most common connections, if that holder has
// more than one with the given number would have after gaining a connection. It never ends a request.
func (ctl *Controller) preempt(held int) bool {
	top := ctl.commonRanking.top()
	if top < 0 || ctl.holders[top].commonConns <= held+1 || ctl.closingConns >= ctl.settings.MaxClosing {
		return false
	}
	ctl.evict(ctl.holders[top].preemptible.head, ReasonPreempted)
	return true
}

// admitClient decides on one more connection of a known client. chargeRate counts it against the client's connection
// rate: for a new connection, and for one that was accepted before it was identified as this client's.
func (ctl *Controller) admitClient(now float64, holderIndex int32, chargeRate bool) Decision {
	h := &ctl.holders[holderIndex]
	if h.admittedConns >= ctl.settings.MaxPerClient {
		return Decision{Reason: ReasonClientLimit}
	}
	if chargeRate {
		next, wait := gcraArrive(now, h.tat, ctl.settings.ClientRate, ctl.settings.ClientBurst, ctl.settings.MaxRetryAfter)
		if h.tat = next; wait > 0 {
			return Decision{ReasonConnectionRate, wait}
		}
	}
	if h.admittedConns >= ctl.reservedShare() && !ctl.ensureCommonCapacity(h.commonConns) {
		return Decision{Reason: ReasonPoolFull}
	}
	return Decision{}
}

// BeginRequest decides on a request whose header was read. client is the client that the request identifies, or
// UnknownClient. After a refusal the connection must be closed. EndRequest must follow in either case.
func (ctl *Controller) BeginRequest(now float64, id ConnID, client int) Decision {
	c := ctl.lookup(id)
	if c == nil {
		return Decision{Reason: ReasonPoolFull}
	}
	if c.state == stateClosing {
		c.requestsRunning++
		return Decision{c.closeReason, defaultRetryAfterSeconds}
	}
	slot := int32(uint32(id)) - 1
	ctl.removeFromLists(slot)
	c.requestsRunning++
	c.requestsBegun++
	c.state = stateInRequest
	decision := Decision{}
	h := &ctl.holders[c.holder]
	switch {
	case client != UnknownClient && h.client != client:
		decision = ctl.reassign(now, slot, ctl.clientHolders[client])
	case c.provisional:
		decision = Decision{ReasonNotIdentified, ctl.addressRates.waitTime(now, h.address, ctl.settings.AddressRate, ctl.settings.AddressBurst)}
	case h.revoked:
		decision = Decision{Reason: ReasonClientRevoked}
	}
	if !decision.Admitted() {
		_, decision = ctl.refuse(decision)
		c.closeAfterRequest, c.closeReason = true, decision.Reason
	} else if c.requestsBegun >= ctl.settings.MaxRequestsPerConnection {
		c.closeAfterRequest, c.closeReason = true, ReasonRequestLimit
	}
	return decision
}

// ShouldClose reports whether a connection is to be closed after its current request.
func (ctl *Controller) ShouldClose(id ConnID) bool {
	c := ctl.lookup(id)
	return c == nil || c.closeAfterRequest || c.state == stateClosing || ctl.draining || ctl.holders[c.holder].revoked
}

// reassign moves a connection to another holder. If that holder may not have it, the connection remains with the old
// one until it has been refused.
func (ctl *Controller) reassign(now float64, slot, toHolder int32) Decision {
	c := &ctl.conns[slot]
	fromHolder := c.holder
	ctl.uncountConn(slot)
	decision := ctl.admitClient(now, toHolder, !c.identified)
	if !decision.Admitted() {
		ctl.countConn(slot)
		return decision
	}
	c.holder, c.identified, c.provisional = toHolder, true, false
	ctl.countConn(slot)
	ctl.freeIfEmpty(fromHolder)
	return decision
}

// EndRequest records the end of a request.
func (ctl *Controller) EndRequest(now float64, id ConnID) {
	c := ctl.lookup(id)
	if c == nil {
		return
	}
	if c.requestsRunning--; c.requestsRunning > 0 || c.state != stateInRequest {
		return
	}
	// The caller closes a connection after its last request. If it does not, the idle timeout applies.
	slot := int32(uint32(id)) - 1
	c.state, c.waitingSince = stateIdle, now
	ctl.timeoutQueues[2].push(ctl, slot)
	if !c.provisional {
		ctl.holders[c.holder].preemptible.push(ctl, slot)
		ctl.holders[c.holder].updateRank(ctl, c.holder)
	}
}

// ConnClosed records that a connection has closed. Its open completions still count until EndCompletion.
func (ctl *Controller) ConnClosed(id ConnID) {
	c := ctl.lookup(id)
	if c == nil {
		return
	}
	slot := int32(uint32(id)) - 1
	if c.state == stateClosing {
		ctl.closingConns--
	} else {
		ctl.removeFromLists(slot)
		ctl.uncountConn(slot)
		ctl.freeIfEmpty(c.holder)
	}
	c.state = stateFree
	c.generation++
	ctl.freeSlots = append(ctl.freeSlots, slot)
}

// TakeEvictions returns the connections evicted since its last call. The caller must close them.
func (ctl *Controller) TakeEvictions() []Eviction {
	evictions := ctl.evictions
	ctl.evictions = nil
	return evictions
}

// EvictExpired evicts connections whose timeout has passed, connections without a request while draining, and those
// above a limit that a reload lowered. It returns when it has to be called again at the latest.
func (ctl *Controller) EvictExpired(now float64) (next float64) {
	next = math.Inf(1)
	for i := range ctl.timeoutQueues {
		for ctl.draining && ctl.timeoutQueues[i].head >= 0 && ctl.closingConns < ctl.settings.MaxClosing {
			ctl.evict(ctl.timeoutQueues[i].head, ReasonStopping)
		}
	}
	for i, timeout := range [...]float64{ctl.settings.ProvisionalTimeout, ctl.settings.HeaderTimeout, ctl.settings.IdleTimeout} {
		for ctl.timeoutQueues[i].head >= 0 && ctl.closingConns < ctl.settings.MaxClosing {
			slot := ctl.timeoutQueues[i].head
			if deadline := ctl.conns[slot].waitingSince + timeout; deadline > now {
				next = math.Min(next, deadline)
				break
			}
			reason := ReasonHeaderTimeout
			if i == 2 {
				reason = ReasonIdleTimeout
			}
			ctl.evict(slot, reason)
		}
	}
	for ctl.commonConns > ctl.maxCommon() && ctl.commonRanking.top() >= 0 && ctl.closingConns < ctl.settings.MaxClosing { // after a reload with lower limits
		ctl.evict(ctl.holders[ctl.commonRanking.top()].preemptible.head, ReasonPreempted)
	}
	return next
}

// Drain refuses all new connections. Connections without a request are evicted by the next EvictExpired, the others
// close after their request.
func (ctl *Controller) Drain() { ctl.draining = true }

// addConn adds a connection in the given state.
func (ctl *Controller) addConn(now float64, holderIndex int32, state uint8, identified bool) ConnID {
	var slot int32
	if n := len(ctl.freeSlots); n > 0 {
		slot, ctl.freeSlots = ctl.freeSlots[n-1], ctl.freeSlots[:n-1]
	} else {
		slot = int32(len(ctl.conns))
		ctl.conns = append(ctl.conns, conn{})
	}
	c := &ctl.conns[slot]
	*c = conn{generation: c.generation, state: state, identified: identified, holder: holderIndex, waitingSince: now}
	h := &ctl.holders[holderIndex]
	if state == stateProvisional {
		c.provisional = true
		ctl.timeoutQueues[0].push(ctl, slot)
		h.provisionalQueue.push(ctl, slot)
		h.queuedProvisional++
		ctl.provisionalRanking.set(ctl, holderIndex, h.queuedProvisional)
	} else {
		ctl.timeoutQueues[1].push(ctl, slot)
		h.preemptible.push(ctl, slot)
	}
	ctl.countConn(slot)
	ctl.accepted++
	return ConnID(uint64(c.generation)<<32 | uint64(slot+1))
}

// countConn adds a connection to the counts of its holder.
func (ctl *Controller) countConn(slot int32) {
	c := &ctl.conns[slot]
	h := &ctl.holders[c.holder]
	if c.provisional {
		h.provisionalConns++
		ctl.provisionalConns++
		return
	}
	h.admittedConns++
	ctl.recountCommon(c.holder)
}

// uncountConn removes a connection from the counts of its holder.
func (ctl *Controller) uncountConn(slot int32) {
	c := &ctl.conns[slot]
	h := &ctl.holders[c.holder]
	if c.provisional {
		h.provisionalConns--
		ctl.provisionalConns--
		return
	}
	h.admittedConns--
	ctl.recountCommon(c.holder)
}

// recountCommon updates the number of a holder's connections in the common pool. Of a known client only those beyond
// its share of the reserve count.
func (ctl *Controller) recountCommon(holderIndex int32) {
	h := &ctl.holders[holderIndex]
	common := h.admittedConns
	if h.client != UnknownClient && !h.revoked {
		common = max(0, h.admittedConns-ctl.reservedShare())
	}
	ctl.commonConns += common - h.commonConns
	h.commonConns = common
	h.updateRank(ctl, holderIndex)
}

// updateRank updates a holder's position in commonRanking.
func (h *holder) updateRank(ctl *Controller, holderIndex int32) {
	count := h.commonConns
	if h.preemptible.head < 0 {
		count = 0
	}
	ctl.commonRanking.countHolder(h, h.commonConns)
	ctl.commonRanking.set(ctl, holderIndex, count)
}

// removeFromLists removes a connection from its timeout queue and its holder's list.
func (ctl *Controller) removeFromLists(slot int32) {
	c := &ctl.conns[slot]
	h := &ctl.holders[c.holder]
	switch c.state {
	case stateProvisional:
		ctl.timeoutQueues[0].remove(ctl, slot)
		h.provisionalQueue.remove(ctl, slot)
		h.queuedProvisional--
		ctl.provisionalRanking.set(ctl, c.holder, h.queuedProvisional)
	case stateAwaitingHeader:
		ctl.timeoutQueues[1].remove(ctl, slot)
		h.preemptible.remove(ctl, slot)
		h.updateRank(ctl, c.holder)
	case stateIdle:
		ctl.timeoutQueues[2].remove(ctl, slot)
		if !c.provisional {
			h.preemptible.remove(ctl, slot)
			h.updateRank(ctl, c.holder)
		}
	}
}

// evict adds a connection to the evictions. It counts as closing until ConnClosed.
func (ctl *Controller) evict(slot int32, reason Reason) {
	c := &ctl.conns[slot]
	ctl.removeFromLists(slot)
	ctl.uncountConn(slot)
	c.state, c.closeReason = stateClosing, reason
	ctl.freeIfEmpty(c.holder)
	ctl.closingConns++
	ctl.evicted[reason]++
	ctl.evictions = append(ctl.evictions, Eviction{ConnID(uint64(c.generation)<<32 | uint64(slot+1)), reason})
}

// lookup returns a connection, nil if it has closed.
func (ctl *Controller) lookup(id ConnID) *conn {
	slot := int64(uint32(id)) - 1
	if slot < 0 || slot >= int64(len(ctl.conns)) {
		return nil
	}
	c := &ctl.conns[slot]
	if c.state == stateFree || c.generation != uint32(id>>32) {
		return nil
	}
	return c
}

// addressHolder returns the index of the holder of an address, adding one if there is none.
func (ctl *Controller) addressHolder(address netip.Addr) int32 {
	if holderIndex, found := ctl.holderByAddress[address]; found {
		return holderIndex
	}
	holderIndex := ctl.newHolder()
	ctl.holders[holderIndex].address = address
	ctl.holderByAddress[address] = holderIndex
	return holderIndex
}

func (ctl *Controller) newHolder() int32 {
	var holderIndex int32
	if n := len(ctl.freeHolders); n > 0 {
		holderIndex, ctl.freeHolders = ctl.freeHolders[n-1], ctl.freeHolders[:n-1]
	} else {
		holderIndex = int32(len(ctl.holders))
		ctl.holders = append(ctl.holders, holder{})
	}
	ctl.holders[holderIndex] = holder{client: UnknownClient, preemptible: newList(1), provisionalQueue: newList(1), inUse: true}
	return holderIndex
}

// freeIfEmpty frees a holder that has nothing open, unless it is a configured client.
func (ctl *Controller) freeIfEmpty(holderIndex int32) {
	h := &ctl.holders[holderIndex]
	if h.admittedConns+h.provisionalConns+h.openCompletions > 0 || !h.inUse || h.client != UnknownClient && !h.revoked {
		return
	}
	if h.client == UnknownClient {
		delete(ctl.holderByAddress, h.address)
	}
	h.inUse = false
	ctl.freeHolders = append(ctl.freeHolders, holderIndex)
}
