package admit

import (
	"crypto/sha256"
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func smallSettings() Settings {
	return Settings{MaxConnections: 20, ReservedConnections: 6, MaxProvisional: 4, MaxClosing: 6, MaxPerAddress: 8, MaxPerClient: 10,
		IPv6PrefixBits: 64, AddressRate: 10, AddressBurst: 20, ClientRate: 10, ClientBurst: 20, ProvisionalFloodRate: 20, MaxRetryAfter: 5,
		ProvisionalTimeout: 0.5, HeaderTimeout: 1, IdleTimeout: 4, MaxRequestsPerConnection: 50,
		MaxCompletions: 12, ReservedCompletions: 4, MaxCompletionsPerClient: 8, MaxCompletionsPerAddress: 5, MaxRememberedRateLimits: 4, HashSeed: 1}
}

// lowLimitSettings reach their limits after a few connections.
func lowLimitSettings() Settings {
	s := smallSettings()
	s.MaxConnections, s.ReservedConnections, s.MaxProvisional, s.MaxClosing, s.MaxPerAddress, s.MaxPerClient = 12, 4, 2, 3, 6, 5
	s.AddressRate, s.ClientRate = 20, 20
	return s
}

var twoClients = []Client{{"a"}, {"b"}}

func addr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

func newController(t require.TestingT, s Settings, clients []Client) *Controller {
	ctl, err := New(s, clients)
	require.NoError(t, err)
	return ctl
}

// model tracks independently what a controller should have counted.
type model struct {
	ctl           *Controller
	now           float64
	settings      Settings
	clients       []string
	limitsLowered bool // by a reload: the limits need not hold until connections and completions above them have ended
	conns         map[ConnID]*modelConn
	permits       []modelPermit
}

type modelConn struct {
	address, client  string // client is empty while unknown
	provisional      bool
	requests         int
	closing, refused bool
}

type modelPermit struct {
	CompletionPermit
	holder      string
	knownClient bool
}

func (m *model) recordEvictions(t *rapid.T) {
	for _, e := range m.ctl.TakeEvictions() {
		c := m.conns[e.Conn]
		if c == nil || c.closing {
			t.Fatalf("evicted twice or after its close: %v", e)
		}
		if c.requests > 0 {
			t.Fatalf("a connection with a request was evicted: %v", e)
		}
		c.closing = true
	}
}

// check compares the controller's counts with the model's and with the limits.
func (m *model) check(t *rapid.T) {
	m.recordEvictions(t)
	byHolder, provisional, closing, known := map[string]int{}, 0, 0, map[string]bool{}
	for _, n := range m.clients {
		known[n] = true
	}
	for _, c := range m.conns {
		switch {
		case c.closing:
			closing++
		case c.provisional:
			provisional++
		case c.client != "":
			byHolder["client "+c.client]++
		default:
			byHolder[c.address]++
		}
	}
	share := m.settings.ReservedConnections / max(1, len(m.clients))
	common, reserved, total := 0, 0, provisional
	for holder, n := range byHolder {
		total += n
		if len(holder) > 7 && holder[:7] == "client " && known[holder[7:]] {
			common += max(0, n-share)
			reserved += min(n, share)
		} else {
			common += n
		}
	}
	stats := m.ctl.Stats()
	if stats.Common != common || stats.Provisional != provisional || stats.Closing != closing || stats.Connections != total {
		t.Fatalf("counts: controller %+v, want common %d provisional %d closing %d total %d", stats, common, provisional, closing, total)
	}
	openByHolder, commonCompletions := map[string]int{}, 0
	for _, permit := range m.permits {
		openByHolder[permit.holder]++
	}
	for holder, n := range openByHolder {
		if len(holder) > 7 && holder[:7] == "client " && known[holder[7:]] {
			n -= m.settings.ReservedCompletions / len(m.clients)
		}
		commonCompletions += max(0, n)
	}
	if m.limitsLowered && total <= m.settings.MaxConnections && common <= stats.MaxCommon && provisional <= m.settings.MaxProvisional &&
		commonCompletions <= m.settings.MaxCompletions-m.settings.ReservedCompletions {
		m.limitsLowered = false
	}
	if !m.limitsLowered && (total > m.settings.MaxConnections || common > stats.MaxCommon || provisional > m.settings.MaxProvisional || reserved > m.settings.ReservedConnections) {
		t.Fatalf("limit exceeded: %+v", stats)
	}
	if closing > m.settings.MaxClosing {
		t.Fatalf("%d closing, want at most %d", closing, m.settings.MaxClosing)
	}
	if stats.Completions != len(m.permits) {
		t.Fatalf("%d completions, want %d", stats.Completions, len(m.permits))
	}
	if !m.limitsLowered && len(m.permits) > m.settings.MaxCompletions {
		t.Fatalf("%d completions exceed the limit", len(m.permits))
	}
}

func (m *model) drawConn(t *rapid.T, matches func(*modelConn) bool) (ConnID, *modelConn) {
	var ids []ConnID
	for id := range m.conns {
		if matches(m.conns[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, nil
	}
	id := ids[0]
	for _, other := range ids { // must not depend on the map's order
		id = min(id, other)
	}
	if n := rapid.IntRange(0, len(ids)-1).Draw(t, "which"); n > 0 {
		sorted := append([]ConnID(nil), ids...)
		for i := range sorted {
			for j := i + 1; j < len(sorted); j++ {
				if sorted[j] < sorted[i] {
					sorted[i], sorted[j] = sorted[j], sorted[i]
				}
			}
		}
		id = sorted[n]
	}
	return id, m.conns[id]
}

func (m *model) preemptibleAbove(n int) bool {
	held := map[string]int{}
	preemptible := map[string]bool{}
	share := m.settings.ReservedConnections / max(1, len(m.clients))
	known := map[string]bool{}
	for _, c := range m.clients {
		known[c] = true
	}
	for _, c := range m.conns {
		if c.closing || c.provisional {
			continue
		}
		holder := c.address
		if c.client != "" {
			holder = "client " + c.client
		}
		held[holder]++
		preemptible[holder] = preemptible[holder] || c.requests == 0
	}
	for holder, common := range held {
		if len(holder) > 7 && holder[:7] == "client " && known[holder[7:]] {
			common -= share
		}
		if common > n+1 && preemptible[holder] {
			return true
		}
	}
	return false
}

func TestControllerRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{settings: lowLimitSettings(), clients: []string{"a", "b"}, conns: map[ConnID]*modelConn{}}
		m.ctl = newController(t, m.settings, twoClients)
		held := func(address string) (n int) {
			for _, c := range m.conns {
				if !c.closing && !c.provisional && c.client == "" && c.address == address {
					n++
				}
			}
			return n
		}
		acceptUnknown := func(t *rapid.T, from netip.Addr) {
			statsBefore := m.ctl.Stats()
			withinRate := m.ctl.addressRates.waitTime(m.now, from, m.settings.AddressRate, m.settings.AddressBurst) == 0
			evenShare := statsBefore.MaxCommon / max(1, m.ctl.commonRanking.nonEmptyHolders+1)
			heldBefore, canPreempt := held(from.String()), m.preemptibleAbove(held(from.String()))
			id, decision := m.ctl.Accept(m.now, from, UnknownClient)
			if decision.Admitted() != (id != 0) || !decision.Admitted() && !(decision.RetryAfter > 0 && decision.RetryAfter < 60) {
				t.Fatalf("%v %v", id, decision)
			}
			if id != 0 {
				c := m.ctl.lookup(id)
				m.conns[id] = &modelConn{address: from.String(), provisional: c.provisional}
			}
			inCommon := id != 0 && !m.conns[id].provisional
			m.recordEvictions(t)
			hasCapacity := statsBefore.Common < statsBefore.MaxCommon || canPreempt && statsBefore.Closing < m.settings.MaxClosing && statsBefore.Common == statsBefore.MaxCommon
			if withinRate && heldBefore < evenShare && hasCapacity && !inCommon {
				t.Fatalf("refused with capacity free: holds %d, even share %d", heldBefore, evenShare)
			}
			if !withinRate && inCommon {
				t.Fatalf("admitted above its rate")
			}
		}
		acceptKnown := func(t *rapid.T, client int) {
			h := &m.ctl.holders[m.ctl.clientHolders[client]]
			withinRate := h.tat <= m.now
			open := h.admittedConns
			id, decision := m.ctl.Accept(m.now, addr(100+client), client)
			m.recordEvictions(t)
			if id != 0 {
				m.conns[id] = &modelConn{address: addr(100 + client).String(), client: m.clients[client]}
			}
			if withinRate && open < m.settings.ReservedConnections/len(m.clients) && !decision.Admitted() {
				t.Fatalf("refused within its reserve: %v with %d open", decision, open)
			}
		}
		beginRequest := func(t *rapid.T, client int) {
			id, c := m.drawConn(t, func(c *modelConn) bool { return !c.refused && c.requests == 0 })
			if c == nil {
				return
			}
			connBefore := *c
			decision := m.ctl.BeginRequest(m.now, id, client)
			c.requests++
			switch {
			case c.closing:
				if decision.Admitted() {
					t.Fatal("request admitted on an evicted connection")
				}
			case decision.Admitted() && client != UnknownClient:
				c.client, c.provisional = m.clients[client], false
			case decision.Admitted() && connBefore.provisional:
				t.Fatal("unidentified connection left the provisional pool")
			}
			if !decision.Admitted() {
				c.refused = true
			}
			if !decision.Admitted() && !m.ctl.ShouldClose(id) {
				t.Fatal("connection stays open after a refusal")
			}
		}
		admitCompletion := func(t *rapid.T) {
			id, c := m.drawConn(t, func(c *modelConn) bool { return c.requests > 0 && !c.closing })
			if c == nil {
				return
			}
			holder := c.address
			if c.client != "" {
				holder = "client " + c.client
			}
			ownPermits := 0
			for _, permit := range m.permits {
				if permit.holder == holder {
					ownPermits++
				}
			}
			permit, decision := m.ctl.AdmitCompletion(id)
			if decision.Admitted() {
				m.permits = append(m.permits, modelPermit{permit, holder, c.client != ""})
			}
			if configured := c.client != "" && m.ctl.holders[m.ctl.lookup(id).holder].revoked == false; configured && !decision.Admitted() && ownPermits < m.settings.ReservedCompletions/len(m.clients) {
				t.Fatalf("completion refused within its reserve: %v, %d open", decision, ownPermits)
			}
		}
		// rapid draws an operation by its index in the sorted names, so a renamed one must keep its position.
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.now += rapid.Float64Range(0, 1.5).Draw(t, "s")
				next := m.ctl.EvictExpired(m.now)
				m.recordEvictions(t)
				if m.ctl.Stats().Closing < m.settings.MaxClosing && next <= m.now {
					t.Fatalf("next eviction due at %v, which is not after %v", next, m.now)
				}
			},
			"unknown clients connect": func(t *rapid.T) {
				from := addr(rapid.IntRange(0, 3).Draw(t, "address"))
				for range rapid.IntRange(1, 6).Draw(t, "how many") {
					acceptUnknown(t, from)
				}
			},
			"known clients connect": func(t *rapid.T) {
				client := rapid.IntRange(0, len(m.clients)-1).Draw(t, "client")
				for range rapid.IntRange(1, 4).Draw(t, "how many") {
					acceptKnown(t, client)
				}
			},
			"a request begins": func(t *rapid.T) { beginRequest(t, rapid.IntRange(UnknownClient, len(m.clients)-1).Draw(t, "client")) },
			"many requests begin": func(t *rapid.T) {
				for range 6 {
					beginRequest(t, UnknownClient)
				}
			},
			"a request ends": func(t *rapid.T) {
				id, c := m.drawConn(t, func(c *modelConn) bool { return c.requests > 0 })
				if c != nil {
					m.ctl.EndRequest(m.now, id)
					c.requests--
				}
			},
			"one connection closes": func(t *rapid.T) {
				id, _ := m.drawConn(t, func(*modelConn) bool { return true })
				m.ctl.ConnClosed(id)
				m.ctl.ConnClosed(id)
				delete(m.conns, id)
			},
			"completions begin": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "how many") {
					admitCompletion(t)
				}
			},
			"a running completion ends": func(t *rapid.T) {
				if n := len(m.permits); n > 0 {
					m.ctl.EndCompletion(m.permits[n-1].CompletionPermit)
					m.permits = m.permits[:n-1]
				}
			},
			"reload": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "seldom") > 0 {
					return
				}
				s := lowLimitSettings()
				if rapid.Bool().Draw(t, "lower") {
					s.MaxConnections, s.MaxCompletions, s.MaxProvisional = 9, 8, 1
				}
				names := [][]string{{"a", "b"}, {"b", "a"}, {"b"}, {"b", "c", "a"}}[rapid.IntRange(0, 3).Draw(t, "clients")]
				var clients []Client
				for _, n := range names {
					clients = append(clients, Client{n})
				}
				removed := map[string]bool{}
				for _, n := range m.clients {
					removed[n] = true
				}
				for _, n := range names {
					delete(removed, n)
				}
				require.NoError(t, m.ctl.Reload(s, clients))
				for _, c := range m.conns {
					if removed[c.client] { // its old holder stays separate from a later client of the same name
						c.client += " removed"
					}
				}
				for i := range m.permits {
					if permit := &m.permits[i]; permit.knownClient && removed[permit.holder[7:]] {
						permit.holder += " removed"
					}
				}
				m.settings, m.clients, m.limitsLowered = s, names, true
			},
			"": m.check,
		})
	})
}

// Guards against a flood from a few addresses locking out a known client that identifies itself by its request. The
// client enters through the provisional pool.
func TestKnownClientConnectsDuringFlood(t *testing.T) {
	s := smallSettings()
	s.ClientBurst = 100
	ctl := newController(t, s, twoClients)
	now := 0.0
	for i := range 5000 {
		now += 0.0002
		id, _ := ctl.Accept(now, addr(i%3), UnknownClient)
		ctl.TakeEvictions()
		_ = id
		if i%100 != 99 {
			continue
		}
		knownConn, decision := ctl.Accept(now, addr(1000+i), UnknownClient)
		require.True(t, decision.Admitted(), "%v at %d", decision, i)
		for j := range 40 { // the header arrives 8 ms after the connection
			now += 0.0002
			ctl.Accept(now, addr(j%3), UnknownClient)
			for _, e := range ctl.TakeEvictions() {
				require.NotEqual(t, knownConn, e.Conn)
				ctl.ConnClosed(e.Conn)
			}
		}
		require.True(t, ctl.BeginRequest(now, knownConn, 0).Admitted())
		ctl.EndRequest(now, knownConn)
		ctl.ConnClosed(knownConn)
	}
	assert.Positive(t, ctl.Stats().Refused[ReasonConnectionRate])
	assert.Positive(t, ctl.Stats().Evicted[ReasonProvisionalEvicted]+ctl.Stats().Refused[ReasonConnectionRate])
}

// In a flood in which every connection has a new address, a known client's provisional connection lasts as long as any
// other: its header must arrive before the flood has refilled the provisional pool.
func TestKnownClientConnectsDuringFloodFromManyAddresses(t *testing.T) {
	s := smallSettings()
	s.MaxProvisional, s.MaxConnections, s.MaxClosing = 64, 100, 200
	ctl := newController(t, s, twoClients)
	for i := range 1000 {
		ctl.Accept(0, addr(i), UnknownClient)
		for _, e := range ctl.TakeEvictions() {
			ctl.ConnClosed(e.Conn)
		}
	}
	knownConn, decision := ctl.Accept(0, addr(5000), UnknownClient)
	require.True(t, decision.Admitted())
	for i := range s.MaxProvisional - 1 {
		ctl.Accept(0, addr(10000+i), UnknownClient)
		for _, e := range ctl.TakeEvictions() {
			require.NotEqual(t, knownConn, e.Conn, "after %d", i)
			ctl.ConnClosed(e.Conn)
		}
	}
	assert.True(t, ctl.BeginRequest(0, knownConn, 1).Admitted())
}

// Guards against a flood by a known client taking connections reserved for other known clients.
func TestKnownClientFloodUsesOwnShareOnly(t *testing.T) {
	s := smallSettings()
	s.ClientBurst = 1000
	ctl := newController(t, s, twoClients)
	open := 0
	for range 100 {
		if id, _ := ctl.Accept(0, addr(1), 0); id != 0 {
			open++
			require.True(t, ctl.BeginRequest(0, id, 0).Admitted())
		}
	}
	assert.Equal(t, s.MaxPerClient, open)
	for i := range s.ReservedConnections / 2 {
		id, decision := ctl.Accept(0, addr(2), 1)
		require.True(t, decision.Admitted(), "%d: %v", i, decision)
		require.True(t, ctl.BeginRequest(0, id, 1).Admitted())
	}
	_, decision := ctl.Accept(0, addr(9), UnknownClient)
	assert.True(t, decision.Admitted(), "the common pool has three connections left")
}

func TestRetryAfterGrowsAndDecays(t *testing.T) {
	s := smallSettings()
	s.MaxProvisional = 1
	ctl := newController(t, s, nil)
	last := 0.0
	for i := range 200 {
		id, decision := ctl.Accept(1, addr(1), UnknownClient)
		if id != 0 {
			ctl.ConnClosed(id)
			require.Less(t, i, int(s.AddressBurst))
			continue
		}
		require.GreaterOrEqual(t, decision.RetryAfter, last)
		require.LessOrEqual(t, decision.RetryAfter, s.MaxRetryAfter+1/s.AddressRate)
		last = decision.RetryAfter
	}
	assert.InDelta(t, s.MaxRetryAfter, last, 0.2)
	id, _ := ctl.Accept(1+last/2, addr(1), UnknownClient)
	assert.Zero(t, id, "half the wait is too early")
	id, decision := ctl.Accept(1+last+0.2, addr(1), UnknownClient)
	assert.NotZero(t, id, "%v", decision)
	id, _ = ctl.Accept(1, addr(2), UnknownClient)
	assert.NotZero(t, id, "another address is not limited")
}

// Many clients behind one address share its limit, which is MaxPerAddress while the common pool has much capacity.
func TestAddressLimitShrinksAsPoolFills(t *testing.T) {
	s := smallSettings()
	s.MaxConnections, s.MaxPerAddress, s.AddressBurst = 600, 256, 300
	ctl := newController(t, s, nil)
	for i := range 200 {
		_, decision := ctl.Accept(0, addr(1), UnknownClient)
		require.True(t, decision.Admitted(), "%d: %v", i, decision)
	}
	for i := range 700 { // with many others, its limit shrinks to an even share
		ctl.Accept(0, addr(2+i%100), UnknownClient)
		for _, e := range ctl.TakeEvictions() {
			ctl.ConnClosed(e.Conn)
		}
	}
	var connections int
	for _, h := range ctl.TopHolders(1000) {
		if h.Name == addr(1).String() {
			connections = h.Connections
		}
	}
	assert.Less(t, connections, 20)
	assert.GreaterOrEqual(t, connections, 5)
}

func TestSketchNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSketch(rapid.Uint64().Draw(t, "seed"))
		ownTAT := map[int]float64{}
		conforming := map[int][]float64{}
		now := 0.0
		rate, burst := rapid.Float64Range(1, 50).Draw(t, "rate"), rapid.Float64Range(1, 20).Draw(t, "burst")
		for range 300 {
			now += rapid.Float64Range(0, 0.1).Draw(t, "dt")
			client := rapid.IntRange(0, 20).Draw(t, "who")
			wait := s.arrive(now, addr(client), rate, burst, 5)
			next, ownWait := gcraArrive(now, ownTAT[client], rate, burst, 5)
			ownTAT[client] = next
			if ownWait > wait+1e-9 {
				t.Fatalf("wait %v, below the %v of an exact limiter", wait, ownWait)
			}
			if wait == 0 {
				conforming[client] = append(conforming[client], now)
			}
		}
		for client, times := range conforming {
			for i := range times {
				for j := i; j < len(times); j++ {
					if count := float64(j - i + 1); count > burst+rate*(times[j]-times[i])+1+1e-6 {
						t.Fatalf("%d: %v in %v s", client, count, times[j]-times[i])
					}
				}
			}
		}
	})
}

// Guards against addresses exceeding their rate when most cells are shared: no wait is below that of an exact limiter.
func TestSketchNeverBelowExactLimiter(t *testing.T) {
	s := newSketch(3)
	ownTAT := make([]float64, 30000)
	now := 0.0
	for round := range 6 {
		for i := range ownTAT {
			if (i*7+round)%(1+i%5) > 0 {
				continue
			}
			now += 1e-5
			wait := s.arrive(now, addr(i), 2, 2, 5)
			next, ownWait := gcraArrive(now, ownTAT[i], 2, 2, 5)
			ownTAT[i] = next
			require.LessOrEqual(t, ownWait, wait+1e-9, "address %d in round %d", i, round)
		}
	}
}

// The probability of limiting an address wrongly is as documented at sketch.
func TestSketchErrorProbability(t *testing.T) {
	for _, n := range []int{3100, 15000} {
		limited, tries := 0, 0
		for seed := range uint64(40) {
			s := newSketch(seed)
			for i := range n {
				s.arrive(0, addr(i), 1, 1, 0)
			}
			for i := range 250 {
				tries++
				if s.arrive(0, addr(1<<20+i), 1, 1, 0) > 0 {
					limited++
				}
			}
		}
		want := math.Pow(1-math.Pow(1-1.0/sketchColumns, float64(n)), sketchRows)
		got := float64(limited) / float64(tries)
		assert.InDelta(t, want, got, 0.25*want+0.002, "%d others", n)
	}
	assert.Equal(t, 1<<sketchColumnBits, sketchColumns)
}

func TestMemoryBoundedOverMillionsOfAddresses(t *testing.T) {
	s := smallSettings()
	s.MaxConnections, s.MaxRememberedRateLimits = 2000, 512
	ctl := newController(t, s, twoClients)
	heap := func() uint64 {
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return mem.HeapAlloc
	}
	flood := func(from, to int) {
		for i := from; i < to; i++ {
			ctl.Accept(float64(i)*1e-5, addr(i), UnknownClient)
			if evicted := ctl.TakeEvictions(); len(evicted) > 0 {
				for _, e := range evicted {
					ctl.ConnClosed(e.Conn)
				}
			}
			if i%1000 == 0 {
				ctl.RecordRateLimit(float64(i)*1e-5, uint64(i), 1)
				ctl.EvictExpired(float64(i) * 1e-5)
			}
		}
	}
	flood(0, 500_000)
	before := heap()
	flood(500_000, floodAddresses)
	after := heap()
	assert.Less(t, int64(after)-int64(before), int64(1<<20), "heap growth in bytes after %d addresses", floodAddresses)
	assert.LessOrEqual(t, len(ctl.holderByAddress), s.MaxConnections+s.MaxProvisional)
	assert.LessOrEqual(t, len(ctl.holders), s.MaxConnections+s.MaxClosing+4)
	assert.LessOrEqual(t, len(ctl.rateLimits.slotByKey), s.MaxRememberedRateLimits)
	runtime.KeepAlive(ctl)
}

func TestEarlyRetryIsRefused(t *testing.T) {
	ctl := newController(t, smallSettings(), nil)
	ctl.RecordRateLimit(10, 7, 0.5)
	decision := ctl.CheckRetry(10.2, 7)
	assert.Equal(t, ReasonEarlyRetry, decision.Reason)
	assert.InDelta(t, 0.3, decision.RetryAfter, 1e-9)
	assert.True(t, ctl.CheckRetry(10.2, 8).Admitted(), "another completion")
	assert.True(t, ctl.CheckRetry(10.5, 7).Admitted(), "its retry-after has passed")
	for i := range uint64(4) {
		ctl.RecordRateLimit(11, 100+i, 5)
	}
	assert.True(t, ctl.CheckRetry(10.2, 7).Admitted(), "overwritten by later ones")
	assert.False(t, ctl.CheckRetry(11, 103).Admitted())
	ctl.RecordRateLimit(11, 103, 0)
	assert.False(t, ctl.CheckRetry(11, 103).Admitted(), "a zero retry-after changes nothing")
}

func TestRevokedClient(t *testing.T) {
	ctl := newController(t, smallSettings(), twoClients)
	id, _ := ctl.Accept(0, addr(1), UnknownClient)
	require.True(t, ctl.BeginRequest(0, id, 0).Admitted())
	permit, decision := ctl.AdmitCompletion(id)
	require.True(t, decision.Admitted())
	require.NoError(t, ctl.Reload(smallSettings(), []Client{{"b"}}))
	assert.Empty(t, ctl.TakeEvictions(), "its request goes on")
	ctl.EndRequest(1, id)
	ctl.EndCompletion(permit)
	assert.Equal(t, ReasonClientRevoked, ctl.BeginRequest(1, id, UnknownClient).Reason)
	assert.True(t, ctl.ShouldClose(id))
	ctl.EndRequest(1, id)
	ctl.ConnClosed(id)
	assert.Zero(t, ctl.Stats().Connections)
}

func TestHeaderAndIdleTimeouts(t *testing.T) {
	s := smallSettings()
	ctl := newController(t, s, twoClients)
	slow, _ := ctl.Accept(0, addr(1), UnknownClient)
	good, _ := ctl.Accept(0, addr(2), UnknownClient)
	require.True(t, ctl.BeginRequest(0.5, good, UnknownClient).Admitted())
	assert.InDelta(t, s.HeaderTimeout, ctl.EvictExpired(0.9), 1e-9)
	ctl.EvictExpired(s.HeaderTimeout)
	assert.Equal(t, []Eviction{{slow, ReasonHeaderTimeout}}, ctl.TakeEvictions())
	ctl.ConnClosed(slow)
	ctl.EvictExpired(100)
	assert.Empty(t, ctl.TakeEvictions(), "a request is never ended")
	ctl.EndRequest(100, good)
	ctl.EvictExpired(100 + s.IdleTimeout)
	assert.Equal(t, []Eviction{{good, ReasonIdleTimeout}}, ctl.TakeEvictions())
	assert.Equal(t, ReasonIdleTimeout, ctl.BeginRequest(105, good, UnknownClient).Reason, "a request sent before the client saw the close is refused")
}

func TestDrain(t *testing.T) {
	s := smallSettings()
	s.MaxClosing = 1
	ctl := newController(t, s, twoClients)
	busy, _ := ctl.Accept(0, addr(1), UnknownClient)
	require.True(t, ctl.BeginRequest(0, busy, 0).Admitted())
	var others []ConnID
	for i := range 3 {
		id, _ := ctl.Accept(0, addr(2+i), UnknownClient)
		others = append(others, id)
	}
	ctl.Drain()
	for _, id := range others { // no more at once than MaxClosing
		ctl.EvictExpired(1)
		require.Equal(t, []Eviction{{id, ReasonStopping}}, ctl.TakeEvictions())
		ctl.ConnClosed(id)
	}
	_, decision := ctl.Accept(1, addr(9), 1)
	assert.Equal(t, ReasonStopping, decision.Reason)
	assert.True(t, ctl.ShouldClose(busy))
	ctl.EndRequest(1, busy)
	ctl.EvictExpired(1)
	assert.Equal(t, []Eviction{{busy, ReasonStopping}}, ctl.TakeEvictions())
}

func TestRequestLimitPerConnection(t *testing.T) {
	s := smallSettings()
	s.MaxRequestsPerConnection = 2
	ctl := newController(t, s, nil)
	id, _ := ctl.Accept(0, addr(1), UnknownClient)
	for i := range 2 {
		require.True(t, ctl.BeginRequest(0, id, UnknownClient).Admitted())
		assert.Equal(t, i == 1, ctl.ShouldClose(id))
		ctl.EndRequest(0, id)
	}
}

func TestIPv6AddressesCountByPrefix(t *testing.T) {
	ctl := newController(t, smallSettings(), nil)
	assert.Equal(t, ctl.maskAddress(netip.MustParseAddr("2001:db8::1")), ctl.maskAddress(netip.MustParseAddr("2001:db8::ffff:1")))
	assert.NotEqual(t, ctl.maskAddress(netip.MustParseAddr("2001:db8::1")), ctl.maskAddress(netip.MustParseAddr("2001:db8:0:1::1")))
	assert.Equal(t, addr(1), ctl.maskAddress(netip.MustParseAddr("::ffff:10.0.0.1")))
}

func TestInvalidSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		change  func(*Settings)
		clients []Client
		want    string
	}{
		"few connections":     {func(s *Settings) { s.MaxConnections = 2 }, nil, "must be 3 or more"},
		"none for others":     {func(s *Settings) { s.ReservedConnections = 16 }, nil, "leave none for other clients"},
		"reserve too small":   {func(s *Settings) { s.ReservedConnections = 1 }, twoClients, "for 2 known clients"},
		"no provisional pool": {func(s *Settings) { s.MaxProvisional = 0 }, twoClients, "anteroom: no connections"},
		"completion reserve":  {func(s *Settings) { s.ReservedCompletions = 12 }, nil, "reserve of completions"},
		"IPv6 prefix":         {func(s *Settings) { s.IPv6PrefixBits = 0 }, nil, "IPv6 prefix"},
		"rate":                {func(s *Settings) { s.AddressRate = math.NaN() }, nil, "rates"},
	} {
		s := smallSettings()
		tc.change(&s)
		_, err := New(s, tc.clients)
		assert.ErrorContains(t, err, tc.want, name)
	}
}

func TestDivideDescriptors(t *testing.T) {
	s := smallSettings()
	budget, err := DivideDescriptors(200, 16, 0, s)
	require.NoError(t, err)
	assert.Equal(t, 200, budget.Process+budget.Admin+budget.Peers+budget.Connections+budget.Closing+budget.Engines)
	assert.Equal(t, s.MaxCompletions, budget.MaxCompletions)
	assert.Contains(t, budget.String(), "200 descriptors = 64 own + 16 admin")
	_, err = DivideDescriptors(107, 16, 0, s)
	assert.ErrorContains(t, err, "nothing is left for engines")
	_, err = DivideDescriptors(112, 16, 0, s)
	assert.ErrorContains(t, err, "reserve of 4 completions")
}

func TestClientDirectory(t *testing.T) {
	key := func(k string) [32]byte { return sha256.Sum256([]byte(k)) }
	dir, err := NewClientDirectory([]ClientConfig{
		{Name: "a", KeyHashes: [][32]byte{key("ka"), key("ka2")}, AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}},
		{Name: "b", AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.1.2.0/24")}, CertificateNames: []string{"b.example"}}}, [16]byte{1})
	require.NoError(t, err)
	assert.Equal(t, 0, dir.ByKey("ka2"))
	assert.Equal(t, UnknownClient, dir.ByKey("kb"))
	assert.Equal(t, UnknownClient, dir.ByKey(""))
	assert.Equal(t, 1, dir.ByAddress(netip.MustParseAddr("::ffff:10.1.2.3")), "narrowest range")
	assert.Equal(t, 0, dir.ByAddress(netip.MustParseAddr("10.1.3.3")))
	assert.Equal(t, UnknownClient, dir.ByAddress(netip.MustParseAddr("10.2.0.1")))
	assert.Equal(t, 1, dir.ByCertificateNames([]string{"x", "b.example"}))
	assert.Equal(t, UnknownClient, dir.ByCertificateNames(nil))
	for want, configs := range map[string][]ClientConfig{
		"must be unique and not empty": {{Name: "a", CertificateNames: []string{"x"}}, {Name: "a", CertificateNames: []string{"y"}}},
		"has no key":                   {{Name: "a"}},
		"has a key of a":               {{Name: "a", KeyHashes: [][32]byte{key("k")}}, {Name: "b", KeyHashes: [][32]byte{key("k")}}},
		"belongs to two clients": {{Name: "a", AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}},
			{Name: "b", AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/8")}}},
		"certificate name \"x\" belongs to a": {{Name: "a", CertificateNames: []string{"x"}}, {Name: "b", CertificateNames: []string{"x"}}},
	} {
		_, err := NewClientDirectory(configs, [16]byte{})
		assert.ErrorContains(t, err, want)
	}
}

// FuzzController runs operations drawn from the input. Nothing may panic, and the limits must hold.
func FuzzController(f *testing.F) {
	f.Add([]byte{0, 1, 0, 2, 1, 0, 2, 0, 3, 0, 4, 9, 5, 0})
	f.Add([]byte(fmt.Sprint("the gate is open, the gate is shut, and everybody comes at once")))
	f.Fuzz(func(t *testing.T, steps []byte) {
		s := smallSettings()
		ctl := newController(t, s, twoClients)
		var open []ConnID
		var permits []CompletionPermit
		now := 0.0
		for i := 0; i+1 < len(steps); i += 2 {
			n := int(steps[i+1])
			var id ConnID
			if len(open) > 0 {
				id = open[n%len(open)]
			}
			switch steps[i] % 8 {
			case 0, 1:
				if id, _ := ctl.Accept(now, addr(n), n%4%3-1); id != 0 {
					open = append(open, id)
				}
			case 2:
				ctl.BeginRequest(now, id, n%3-1)
			case 3:
				if c := ctl.lookup(id); c != nil && c.requestsRunning > 0 {
					ctl.EndRequest(now, id)
				}
			case 4:
				now += float64(n) / 64
				ctl.EvictExpired(now)
			case 5:
				ctl.ConnClosed(id)
			case 6:
				if permit, decision := ctl.AdmitCompletion(id); decision.Admitted() {
					permits = append(permits, permit)
				}
			case 7:
				if len(permits) > 0 {
					ctl.EndCompletion(permits[0])
					permits = permits[1:]
				}
			}
			if stats := ctl.Stats(); stats.Connections > s.MaxConnections || stats.Common > stats.MaxCommon || stats.Closing > s.MaxClosing || stats.Completions > s.MaxCompletions {
				t.Fatalf("%+v", stats)
			}
		}
	})
}
