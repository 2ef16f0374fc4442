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

func small() Settings {
	return Settings{MaxConnections: 20, ReservedConnections: 6, MaxProvisional: 4, MaxClosing: 6, MaxPerAddress: 8, MaxPerClient: 10, IPv6PrefixBits: 64, AddressRate: 10, AddressBurst: 20,
		ClientRate: 10, ClientBurst: 20, ProvisionalFloodRate: 20, MaxRetryAfter: 5, ProvisionalTimeout: 0.5, HeaderTimeout: 1, IdleTimeout: 4, MaxRequestsPerConnection: 50,
		MaxCompletions: 12, ReservedCompletions: 4, MaxCompletionsPerClient: 8, MaxCompletionsPerAddress: 5, MaxRememberedRateLimits: 4, HashSeed: 1}
}

// crowded is full after a few.
func crowded() Settings {
	s := small()
	s.MaxConnections, s.ReservedConnections, s.MaxProvisional, s.MaxClosing, s.MaxPerAddress, s.MaxPerClient = 12, 4, 2, 3, 6, 5
	s.AddressRate, s.ClientRate = 20, 20
	return s
}

var two = []Client{{"a"}, {"b"}}

func addr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

func gate(t require.TestingT, s Settings, clients []Client) *Controller {
	g, err := New(s, clients)
	require.NoError(t, err)
	return g
}

// model is what a gate should hold, kept apart from it.
type model struct {
	g       *Controller
	now     float64
	s       Settings
	clients []string
	lowered bool // by a reload: what is over the caps has to go first
	open    map[ConnID]*modelConn
	tickets []modelTicket
}

type modelConn struct {
	address, client string // client "" while not known
	anteroom        bool
	running         int
	leaving, ended  bool
}

type modelTicket struct {
	CompletionPermit
	holder string
	client bool
}

func (m *model) collect(t *rapid.T) {
	for _, e := range m.g.TakeEvictions() {
		c := m.open[e.Conn]
		if c == nil || c.leaving {
			t.Fatalf("told twice, or of one that is closed, to go: %v", e)
		}
		if c.running > 0 {
			t.Fatalf("a connection with a call was ended: %v", e)
		}
		c.leaving = true
	}
}

// check compares the gate's counts with the model's and the caps.
func (m *model) check(t *rapid.T) {
	m.collect(t)
	byHolder, anteroom, leaving, known := map[string]int{}, 0, 0, map[string]bool{}
	for _, n := range m.clients {
		known[n] = true
	}
	for _, c := range m.open {
		switch {
		case c.leaving:
			leaving++
		case c.anteroom:
			anteroom++
		case c.client != "":
			byHolder["client "+c.client]++
		default:
			byHolder[c.address]++
		}
	}
	share := m.s.ReservedConnections / max(1, len(m.clients))
	common, reserved, total := 0, 0, anteroom
	for h, n := range byHolder {
		total += n
		if len(h) > 7 && h[:7] == "client " && known[h[7:]] {
			common += max(0, n-share)
			reserved += min(n, share)
		} else {
			common += n
		}
	}
	f := m.g.Stats()
	if f.Common != common || f.Provisional != anteroom || f.Closing != leaving || f.Connections != total {
		t.Fatalf("counts: gate %+v, wanted common %d anteroom %d leaving %d in all %d", f, common, anteroom, leaving, total)
	}
	takenBy, takenCommon := map[string]int{}, 0
	for _, x := range m.tickets {
		takenBy[x.holder]++
	}
	for h, n := range takenBy {
		if len(h) > 7 && h[:7] == "client " && known[h[7:]] {
			n -= m.s.ReservedCompletions / len(m.clients)
		}
		takenCommon += max(0, n)
	}
	if m.lowered && total <= m.s.MaxConnections && common <= f.MaxCommon && anteroom <= m.s.MaxProvisional &&
		takenCommon <= m.s.MaxCompletions-m.s.ReservedCompletions {
		m.lowered = false
	}
	if !m.lowered && (total > m.s.MaxConnections || common > f.MaxCommon || anteroom > m.s.MaxProvisional || reserved > m.s.ReservedConnections) {
		t.Fatalf("a cap is passed: %+v", f)
	}
	if leaving > m.s.MaxClosing {
		t.Fatalf("%d leave, allowed are %d", leaving, m.s.MaxClosing)
	}
	if f.Completions != len(m.tickets) {
		t.Fatalf("%d completions, wanted %d", f.Completions, len(m.tickets))
	}
	if !m.lowered && len(m.tickets) > m.s.MaxCompletions {
		t.Fatalf("%d completions past the cap", len(m.tickets))
	}
}

func (m *model) some(t *rapid.T, so func(*modelConn) bool) (ConnID, *modelConn) {
	var ids []ConnID
	for id := range m.open {
		if so(m.open[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, nil
	}
	id := ids[0]
	for _, other := range ids { // the map's order must not count
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
	return id, m.open[id]
}

func (m *model) idleAbove(n int) bool {
	held := map[string]int{}
	mayGo := map[string]bool{}
	share := m.s.ReservedConnections / max(1, len(m.clients))
	known := map[string]bool{}
	for _, c := range m.clients {
		known[c] = true
	}
	for _, c := range m.open {
		if c.leaving || c.anteroom {
			continue
		}
		h := c.address
		if c.client != "" {
			h = "client " + c.client
		}
		held[h]++
		mayGo[h] = mayGo[h] || c.running == 0
	}
	for h, k := range held {
		if len(h) > 7 && h[:7] == "client " && known[h[7:]] {
			k -= share
		}
		if k > n+1 && mayGo[h] {
			return true
		}
	}
	return false
}

func TestGateOverRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{s: crowded(), clients: []string{"a", "b"}, open: map[ConnID]*modelConn{}}
		m.g = gate(t, m.s, two)
		held := func(address string) (n int) {
			for _, c := range m.open {
				if !c.leaving && !c.anteroom && c.client == "" && c.address == address {
					n++
				}
			}
			return n
		}
		stranger := func(t *rapid.T, from netip.Addr) {
			before := m.g.Stats()
			calm := m.g.addressRates.waitTime(m.now, from, m.s.AddressRate, m.s.AddressBurst) == 0
			even := before.MaxCommon / max(1, m.g.commonRanking.nonEmptyHolders+1)
			had, aboveMe := held(from.String()), m.idleAbove(held(from.String()))
			id, v := m.g.Accept(m.now, from, UnknownClient)
			if v.Admitted() != (id != 0) || !v.Admitted() && !(v.RetryAfter > 0 && v.RetryAfter < 60) {
				t.Fatalf("%v %v", id, v)
			}
			if id != 0 {
				c := m.g.lookup(id)
				m.open[id] = &modelConn{address: from.String(), anteroom: c.provisional}
			}
			into := id != 0 && !m.open[id].anteroom
			m.collect(t)
			room := before.Common < before.MaxCommon || aboveMe && before.Closing < m.s.MaxClosing && before.Common == before.MaxCommon
			if calm && had < even && room && !into {
				t.Fatalf("starved: holds %d, an even share is %d, there was room", had, even)
			}
			if !calm && into {
				t.Fatalf("let in past its rate")
			}
		}
		knownOne := func(t *rapid.T, k int) {
			h := &m.g.holders[m.g.clientHolders[k]]
			calm := h.tat <= m.now
			open := h.admittedConns
			id, v := m.g.Accept(m.now, addr(100+k), k)
			m.collect(t)
			if id != 0 {
				m.open[id] = &modelConn{address: addr(100 + k).String(), client: m.clients[k]}
			}
			if calm && open < m.s.ReservedConnections/len(m.clients) && !v.Admitted() {
				t.Fatalf("its reserve is not there: %v with %d open", v, open)
			}
		}
		call := func(t *rapid.T, as int) {
			id, c := m.some(t, func(c *modelConn) bool { return !c.ended && c.running == 0 })
			if c == nil {
				return
			}
			was := *c
			v := m.g.BeginRequest(m.now, id, as)
			c.running++
			switch {
			case c.leaving:
				if v.Admitted() {
					t.Fatal("a call on a connection that was told to go")
				}
			case v.Admitted() && as != UnknownClient:
				c.client, c.anteroom = m.clients[as], false
			case v.Admitted() && was.anteroom:
				t.Fatal("one that is not known left the anteroom")
			}
			if !v.Admitted() {
				c.ended = true
			}
			if !v.Admitted() && !m.g.ShouldClose(id) {
				t.Fatal("refused, and not to be closed")
			}
		}
		take := func(t *rapid.T) {
			id, c := m.some(t, func(c *modelConn) bool { return c.running > 0 && !c.leaving })
			if c == nil {
				return
			}
			holder := c.address
			if c.client != "" {
				holder = "client " + c.client
			}
			mine := 0
			for _, x := range m.tickets {
				if x.holder == holder {
					mine++
				}
			}
			ticket, v := m.g.AdmitCompletion(id)
			if v.Admitted() {
				m.tickets = append(m.tickets, modelTicket{ticket, holder, c.client != ""})
			}
			if current := c.client != "" && m.g.holders[m.g.lookup(id).holder].revoked == false; current && !v.Admitted() && mine < m.s.ReservedCompletions/len(m.clients) {
				t.Fatalf("its reserve of completions is not there: %v, %d open", v, mine)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				m.now += rapid.Float64Range(0, 1.5).Draw(t, "s")
				next := m.g.EvictExpired(m.now)
				m.collect(t)
				if m.g.Stats().Closing < m.s.MaxClosing && next <= m.now {
					t.Fatalf("due at %v, now it is %v", next, m.now)
				}
			},
			"strangers come": func(t *rapid.T) {
				from := addr(rapid.IntRange(0, 3).Draw(t, "address"))
				for range rapid.IntRange(1, 6).Draw(t, "how many") {
					stranger(t, from)
				}
			},
			"known ones come": func(t *rapid.T) {
				k := rapid.IntRange(0, len(m.clients)-1).Draw(t, "client")
				for range rapid.IntRange(1, 4).Draw(t, "how many") {
					knownOne(t, k)
				}
			},
			"a call begins": func(t *rapid.T) { call(t, rapid.IntRange(UnknownClient, len(m.clients)-1).Draw(t, "client")) },
			"many call": func(t *rapid.T) {
				for range 6 {
					call(t, UnknownClient)
				}
			},
			"a call ends": func(t *rapid.T) {
				id, c := m.some(t, func(c *modelConn) bool { return c.running > 0 })
				if c != nil {
					m.g.EndRequest(m.now, id)
					c.running--
				}
			},
			"one closes": func(t *rapid.T) {
				id, _ := m.some(t, func(*modelConn) bool { return true })
				m.g.ConnClosed(id)
				m.g.ConnClosed(id)
				delete(m.open, id)
			},
			"completions": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "how many") {
					take(t)
				}
			},
			"a completion ends": func(t *rapid.T) {
				if n := len(m.tickets); n > 0 {
					m.g.EndCompletion(m.tickets[n-1].CompletionPermit)
					m.tickets = m.tickets[:n-1]
				}
			},
			"reload": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "seldom") > 0 {
					return
				}
				s := crowded()
				if rapid.Bool().Draw(t, "lower") {
					s.MaxConnections, s.MaxCompletions, s.MaxProvisional = 9, 8, 1
				}
				names := [][]string{{"a", "b"}, {"b", "a"}, {"b"}, {"b", "c", "a"}}[rapid.IntRange(0, 3).Draw(t, "clients")]
				var clients []Client
				for _, n := range names {
					clients = append(clients, Client{n})
				}
				gone := map[string]bool{}
				for _, n := range m.clients {
					gone[n] = true
				}
				for _, n := range names {
					delete(gone, n)
				}
				require.NoError(t, m.g.Reload(s, clients))
				for _, c := range m.open {
					if gone[c.client] { // its old record stays apart from a later client of that name
						c.client += " gone"
					}
				}
				for i := range m.tickets {
					if x := &m.tickets[i]; x.client && gone[x.holder[7:]] {
						x.holder += " gone"
					}
				}
				m.s, m.clients, m.lowered = s, names, true
			},
			"": m.check,
		})
	})
}

// The anteroom's way in: a flood from few addresses can't keep a known client out.
func TestKnownOneGetsThroughAFlood(t *testing.T) {
	s := small()
	s.ClientBurst = 100
	g := gate(t, s, two)
	now := 0.0
	for i := range 5000 {
		now += 0.0002
		id, _ := g.Accept(now, addr(i%3), UnknownClient)
		g.TakeEvictions()
		_ = id
		if i%100 != 99 {
			continue
		}
		mine, v := g.Accept(now, addr(1000+i), UnknownClient)
		require.True(t, v.Admitted(), "%v at %d", v, i)
		for j := range 40 { // its header is 8 ms on its way
			now += 0.0002
			g.Accept(now, addr(j%3), UnknownClient)
			for _, e := range g.TakeEvictions() {
				require.NotEqual(t, mine, e.Conn)
				g.ConnClosed(e.Conn)
			}
		}
		require.True(t, g.BeginRequest(now, mine, 0).Admitted())
		g.EndRequest(now, mine)
		g.ConnClosed(mine)
	}
	assert.Positive(t, g.Stats().Refused[ReasonConnectionRate])
	assert.Positive(t, g.Stats().Evicted[ReasonProvisionalEvicted]+g.Stats().Refused[ReasonConnectionRate])
}

// A flood from ever new addresses holds each place in the anteroom as long as a known client's: that has as long
// for its header as the anteroom takes to be filled anew.
func TestKnownOneGetsThroughAFloodOfAddresses(t *testing.T) {
	s := small()
	s.MaxProvisional, s.MaxConnections, s.MaxClosing = 64, 100, 200
	g := gate(t, s, two)
	for i := range 1000 {
		g.Accept(0, addr(i), UnknownClient)
		for _, e := range g.TakeEvictions() {
			g.ConnClosed(e.Conn)
		}
	}
	mine, v := g.Accept(0, addr(5000), UnknownClient)
	require.True(t, v.Admitted())
	for i := range s.MaxProvisional - 1 {
		g.Accept(0, addr(10000+i), UnknownClient)
		for _, e := range g.TakeEvictions() {
			require.NotEqual(t, mine, e.Conn, "after %d", i)
			g.ConnClosed(e.Conn)
		}
	}
	assert.True(t, g.BeginRequest(0, mine, 1).Admitted())
}

// A known client that floods eats its own share and no other's.
func TestKnownOneFloods(t *testing.T) {
	s := small()
	s.ClientBurst = 1000
	g := gate(t, s, two)
	open := 0
	for range 100 {
		if id, _ := g.Accept(0, addr(1), 0); id != 0 {
			open++
			require.True(t, g.BeginRequest(0, id, 0).Admitted())
		}
	}
	assert.Equal(t, s.MaxPerClient, open)
	for i := range s.ReservedConnections / 2 {
		id, v := g.Accept(0, addr(2), 1)
		require.True(t, v.Admitted(), "%d: %v", i, v)
		require.True(t, g.BeginRequest(0, id, 1).Admitted())
	}
	_, v := g.Accept(0, addr(9), UnknownClient)
	assert.True(t, v.Admitted(), "three places are left in the common room")
}

func TestWaitsGrowAndAreForgotten(t *testing.T) {
	s := small()
	s.MaxProvisional = 1
	g := gate(t, s, nil)
	last := 0.0
	for i := range 200 {
		id, v := g.Accept(1, addr(1), UnknownClient)
		if id != 0 {
			g.ConnClosed(id)
			require.Less(t, i, int(s.AddressBurst))
			continue
		}
		require.GreaterOrEqual(t, v.RetryAfter, last)
		require.LessOrEqual(t, v.RetryAfter, s.MaxRetryAfter+1/s.AddressRate)
		last = v.RetryAfter
	}
	assert.InDelta(t, s.MaxRetryAfter, last, 0.2)
	id, _ := g.Accept(1+last/2, addr(1), UnknownClient)
	assert.Zero(t, id, "too early by half")
	id, v := g.Accept(1+last+0.2, addr(1), UnknownClient)
	assert.NotZero(t, id, "%v", v)
	id, _ = g.Accept(1, addr(2), UnknownClient)
	assert.NotZero(t, id, "another address is not held back")
}

// Many honest ones behind one address share its cap; PerAddress is theirs while there is room.
func TestOneAddressOfMany(t *testing.T) {
	s := small()
	s.MaxConnections, s.MaxPerAddress, s.AddressBurst = 600, 256, 300
	g := gate(t, s, nil)
	for i := range 200 {
		_, v := g.Accept(0, addr(1), UnknownClient)
		require.True(t, v.Admitted(), "%d: %v", i, v)
	}
	for i := range 700 { // others come: its share shrinks to an even one of what they leave
		g.Accept(0, addr(2+i%100), UnknownClient)
		for _, e := range g.TakeEvictions() {
			g.ConnClosed(e.Conn)
		}
	}
	var its int
	for _, h := range g.TopHolders(1000) {
		if h.Name == addr(1).String() {
			its = h.Connections
		}
	}
	assert.Less(t, its, 20)
	assert.GreaterOrEqual(t, its, 5)
}

func TestSketchNeverLetsPastTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSketch(rapid.Uint64().Draw(t, "seed"))
		own := map[int]float64{}
		let := map[int][]float64{}
		now := 0.0
		rate, burst := rapid.Float64Range(1, 50).Draw(t, "rate"), rapid.Float64Range(1, 20).Draw(t, "burst")
		for range 300 {
			now += rapid.Float64Range(0, 0.1).Draw(t, "dt")
			n := rapid.IntRange(0, 20).Draw(t, "who")
			wait := s.arrive(now, addr(n), rate, burst, 5)
			next, mine := gcraArrive(now, own[n], rate, burst, 5)
			own[n] = next
			if mine > wait+1e-9 {
				t.Fatalf("held back %v where a limiter of its own has %v", wait, mine)
			}
			if wait == 0 {
				let[n] = append(let[n], now)
			}
		}
		for n, at := range let {
			for i := range at {
				for j := i; j < len(at); j++ {
					if got := float64(j - i + 1); got > burst+rate*(at[j]-at[i])+1+1e-6 {
						t.Fatalf("%d: %v in %v s", n, got, at[j]-at[i])
					}
				}
			}
		}
	})
}

// With so many that cells are shared by most, none is let past what a limiter of its own would.
func TestSketchIsNeverBelowALimiterOfItsOwn(t *testing.T) {
	s := newSketch(3)
	own := make([]float64, 30000)
	now := 0.0
	for round := range 6 {
		for i := range own {
			if (i*7+round)%(1+i%5) > 0 {
				continue
			}
			now += 1e-5
			wait := s.arrive(now, addr(i), 2, 2, 5)
			next, mine := gcraArrive(now, own[i], 2, 2, 5)
			own[i] = next
			require.LessOrEqual(t, mine, wait+1e-9, "address %d in round %d", i, round)
		}
	}
}

// The likelihood of being held back without fault is what the sketch's comment says.
func TestSketchErrorIsAsStated(t *testing.T) {
	for _, n := range []int{3100, 15000} {
		held, tries := 0, 0
		for seed := range uint64(40) {
			s := newSketch(seed)
			for i := range n {
				s.arrive(0, addr(i), 1, 1, 0)
			}
			for i := range 250 {
				tries++
				if s.arrive(0, addr(1<<20+i), 1, 1, 0) > 0 {
					held++
				}
			}
		}
		want := math.Pow(1-math.Pow(1-1.0/sketchColumns, float64(n)), sketchRows)
		got := float64(held) / float64(tries)
		assert.InDelta(t, want, got, 0.25*want+0.002, "%d others", n)
	}
	assert.Equal(t, 1<<sketchColumnBits, sketchColumns)
}

func TestMemoryStaysBoundedOverMillionsOfAddresses(t *testing.T) {
	s := small()
	s.MaxConnections, s.MaxRememberedRateLimits = 2000, 512
	g := gate(t, s, two)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	flood := func(from, to int) {
		for i := from; i < to; i++ {
			g.Accept(float64(i)*1e-5, addr(i), UnknownClient)
			if evicted := g.TakeEvictions(); len(evicted) > 0 {
				for _, e := range evicted {
					g.ConnClosed(e.Conn)
				}
			}
			if i%1000 == 0 {
				g.RecordRateLimit(float64(i)*1e-5, uint64(i), 1)
				g.EvictExpired(float64(i) * 1e-5)
			}
		}
	}
	flood(0, 500_000)
	before := heap()
	flood(500_000, floodSize)
	after := heap()
	assert.Less(t, int64(after)-int64(before), int64(1<<20), "bytes more after %d addresses", floodSize)
	assert.LessOrEqual(t, len(g.holderByAddress), s.MaxConnections+s.MaxProvisional)
	assert.LessOrEqual(t, len(g.holders), s.MaxConnections+s.MaxClosing+4)
	assert.LessOrEqual(t, len(g.rateLimits.slotByKey), s.MaxRememberedRateLimits)
	runtime.KeepAlive(g)
}

func TestRateLimitedOnesComeBackEarly(t *testing.T) {
	g := gate(t, small(), nil)
	g.RecordRateLimit(10, 7, 0.5)
	v := g.CheckRetry(10.2, 7)
	assert.Equal(t, ReasonEarlyRetry, v.Reason)
	assert.InDelta(t, 0.3, v.RetryAfter, 1e-9)
	assert.True(t, g.CheckRetry(10.2, 8).Admitted(), "another completion")
	assert.True(t, g.CheckRetry(10.5, 7).Admitted(), "its time has come")
	for i := range uint64(4) {
		g.RecordRateLimit(11, 100+i, 5)
	}
	assert.True(t, g.CheckRetry(10.2, 7).Admitted(), "forgotten")
	assert.False(t, g.CheckRetry(11, 103).Admitted())
	g.RecordRateLimit(11, 103, 0)
	assert.False(t, g.CheckRetry(11, 103).Admitted(), "no advice changes nothing")
}

func TestRevokedClient(t *testing.T) {
	g := gate(t, small(), two)
	id, _ := g.Accept(0, addr(1), UnknownClient)
	require.True(t, g.BeginRequest(0, id, 0).Admitted())
	ticket, v := g.AdmitCompletion(id)
	require.True(t, v.Admitted())
	require.NoError(t, g.Reload(small(), []Client{{"b"}}))
	assert.Empty(t, g.TakeEvictions(), "its stream goes on")
	g.EndRequest(1, id)
	g.EndCompletion(ticket)
	assert.Equal(t, ReasonClientRevoked, g.BeginRequest(1, id, UnknownClient).Reason)
	assert.True(t, g.ShouldClose(id))
	g.EndRequest(1, id)
	g.ConnClosed(id)
	assert.Zero(t, g.Stats().Connections)
}

func TestSlowHeadersAndIdleOnesGo(t *testing.T) {
	s := small()
	g := gate(t, s, two)
	slow, _ := g.Accept(0, addr(1), UnknownClient)
	good, _ := g.Accept(0, addr(2), UnknownClient)
	require.True(t, g.BeginRequest(0.5, good, UnknownClient).Admitted())
	assert.InDelta(t, s.HeaderTimeout, g.EvictExpired(0.9), 1e-9)
	g.EvictExpired(s.HeaderTimeout)
	assert.Equal(t, []Eviction{{slow, ReasonHeaderTimeout}}, g.TakeEvictions())
	g.ConnClosed(slow)
	g.EvictExpired(100)
	assert.Empty(t, g.TakeEvictions(), "a call is never ended")
	g.EndRequest(100, good)
	g.EvictExpired(100 + s.IdleTimeout)
	assert.Equal(t, []Eviction{{good, ReasonIdleTimeout}}, g.TakeEvictions())
	assert.Equal(t, ReasonIdleTimeout, g.BeginRequest(105, good, UnknownClient).Reason, "a call that crossed is refused, not taken")
}

func TestDrain(t *testing.T) {
	s := small()
	s.MaxClosing = 1
	g := gate(t, s, two)
	busy, _ := g.Accept(0, addr(1), UnknownClient)
	require.True(t, g.BeginRequest(0, busy, 0).Admitted())
	var others []ConnID
	for i := range 3 {
		id, _ := g.Accept(0, addr(2+i), UnknownClient)
		others = append(others, id)
	}
	g.Drain()
	for _, id := range others { // no more at once than may leave
		g.EvictExpired(1)
		require.Equal(t, []Eviction{{id, ReasonStopping}}, g.TakeEvictions())
		g.ConnClosed(id)
	}
	_, v := g.Accept(1, addr(9), 1)
	assert.Equal(t, ReasonStopping, v.Reason)
	assert.True(t, g.ShouldClose(busy))
	g.EndRequest(1, busy)
	g.EvictExpired(1)
	assert.Equal(t, []Eviction{{busy, ReasonStopping}}, g.TakeEvictions())
}

func TestCallsOfAConnection(t *testing.T) {
	s := small()
	s.MaxRequestsPerConnection = 2
	g := gate(t, s, nil)
	id, _ := g.Accept(0, addr(1), UnknownClient)
	for i := range 2 {
		require.True(t, g.BeginRequest(0, id, UnknownClient).Admitted())
		assert.Equal(t, i == 1, g.ShouldClose(id))
		g.EndRequest(0, id)
	}
}

func TestIPv6IsHeldByPrefix(t *testing.T) {
	g := gate(t, small(), nil)
	assert.Equal(t, g.maskAddress(netip.MustParseAddr("2001:db8::1")), g.maskAddress(netip.MustParseAddr("2001:db8::ffff:1")))
	assert.NotEqual(t, g.maskAddress(netip.MustParseAddr("2001:db8::1")), g.maskAddress(netip.MustParseAddr("2001:db8:0:1::1")))
	assert.Equal(t, addr(1), g.maskAddress(netip.MustParseAddr("::ffff:10.0.0.1")))
}

func TestSettingsThatDoNotFit(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*Settings)
		clients []Client
		want    string
	}{
		"few":        {func(s *Settings) { s.MaxConnections = 2 }, nil, "wanted 3 or more"},
		"no room":    {func(s *Settings) { s.ReservedConnections = 16 }, nil, "leave nothing to others"},
		"no share":   {func(s *Settings) { s.ReservedConnections = 1 }, two, "for 2 known clients"},
		"no way in":  {func(s *Settings) { s.MaxProvisional = 0 }, two, "anteroom: none"},
		"completion": {func(s *Settings) { s.ReservedCompletions = 12 }, nil, "reserve of completions"},
		"prefix":     {func(s *Settings) { s.IPv6PrefixBits = 0 }, nil, "IPv6 prefix"},
		"rate":       {func(s *Settings) { s.AddressRate = math.NaN() }, nil, "rates"},
	} {
		s := small()
		c.change(&s)
		_, err := New(s, c.clients)
		assert.ErrorContains(t, err, c.want, name)
	}
}

func TestDivide(t *testing.T) {
	s := small()
	d, err := DivideDescriptors(200, 16, 0, s)
	require.NoError(t, err)
	assert.Equal(t, 200, d.Process+d.Admin+d.Peers+d.Connections+d.Closing+d.Engines)
	assert.Equal(t, s.MaxCompletions, d.MaxCompletions)
	assert.Contains(t, d.String(), "200 descriptors = 64 own + 16 admin")
	_, err = DivideDescriptors(107, 16, 0, s)
	assert.ErrorContains(t, err, "nothing is left for engines")
	_, err = DivideDescriptors(112, 16, 0, s)
	assert.ErrorContains(t, err, "reserve of 4 completions")
}

func TestBook(t *testing.T) {
	key := func(k string) [32]byte { return sha256.Sum256([]byte(k)) }
	b, err := NewClientDirectory([]ClientConfig{
		{Name: "a", KeyHashes: [][32]byte{key("ka"), key("ka2")}, AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}},
		{Name: "b", AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.1.2.0/24")}, CertificateNames: []string{"b.example"}}}, [16]byte{1})
	require.NoError(t, err)
	assert.Equal(t, 0, b.ByKey("ka2"))
	assert.Equal(t, UnknownClient, b.ByKey("kb"))
	assert.Equal(t, UnknownClient, b.ByKey(""))
	assert.Equal(t, 1, b.ByAddress(netip.MustParseAddr("::ffff:10.1.2.3")), "the narrowest")
	assert.Equal(t, 0, b.ByAddress(netip.MustParseAddr("10.1.3.3")))
	assert.Equal(t, UnknownClient, b.ByAddress(netip.MustParseAddr("10.2.0.1")))
	assert.Equal(t, 1, b.ByCertificateNames([]string{"x", "b.example"}))
	assert.Equal(t, UnknownClient, b.ByCertificateNames(nil))
	for want, entries := range map[string][]ClientConfig{
		"wanted one that no other has": {{Name: "a", CertificateNames: []string{"x"}}, {Name: "a", CertificateNames: []string{"y"}}},
		"wanted a key":                 {{Name: "a"}},
		"a key that a has too":         {{Name: "a", KeyHashes: [][32]byte{key("k")}}, {Name: "b", KeyHashes: [][32]byte{key("k")}}},
		"of two clients": {{Name: "a", AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}},
			{Name: "b", AddressRanges: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/8")}}},
		"is a's too": {{Name: "a", CertificateNames: []string{"x"}}, {Name: "b", CertificateNames: []string{"x"}}},
	} {
		_, err := NewClientDirectory(entries, [16]byte{})
		assert.ErrorContains(t, err, want)
	}
}

// FuzzGate plays bytes as steps; nothing may panic and the caps hold.
func FuzzGate(f *testing.F) {
	f.Add([]byte{0, 1, 0, 2, 1, 0, 2, 0, 3, 0, 4, 9, 5, 0})
	f.Add([]byte(fmt.Sprint("the gate is open, the gate is shut, and everybody comes at once")))
	f.Fuzz(func(t *testing.T, steps []byte) {
		s := small()
		g := gate(t, s, two)
		var open []ConnID
		var tickets []CompletionPermit
		now := 0.0
		for i := 0; i+1 < len(steps); i += 2 {
			n := int(steps[i+1])
			var id ConnID
			if len(open) > 0 {
				id = open[n%len(open)]
			}
			switch steps[i] % 8 {
			case 0, 1:
				if id, _ := g.Accept(now, addr(n), n%4%3-1); id != 0 {
					open = append(open, id)
				}
			case 2:
				g.BeginRequest(now, id, n%3-1)
			case 3:
				if c := g.lookup(id); c != nil && c.requestsRunning > 0 {
					g.EndRequest(now, id)
				}
			case 4:
				now += float64(n) / 64
				g.EvictExpired(now)
			case 5:
				g.ConnClosed(id)
			case 6:
				if ticket, v := g.AdmitCompletion(id); v.Admitted() {
					tickets = append(tickets, ticket)
				}
			case 7:
				if len(tickets) > 0 {
					g.EndCompletion(tickets[0])
					tickets = tickets[1:]
				}
			}
			if f := g.Stats(); f.Connections > s.MaxConnections || f.Common > f.MaxCommon || f.Closing > s.MaxClosing || f.Completions > s.MaxCompletions {
				t.Fatalf("%+v", f)
			}
		}
	})
}
