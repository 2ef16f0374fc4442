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
	return Settings{Connections: 20, Reserve: 6, Anteroom: 4, Leaving: 6, PerAddress: 8, PerClient: 10, Prefix6: 64, Rate: 10, Burst: 20,
		ClientRate: 10, ClientBurst: 20, FloodRate: 20, MaxWait: 5, AnteroomTime: 0.5, HeaderTime: 1, IdleTime: 4, Calls: 50,
		Completions: 12, ReserveCompletions: 4, ClientCompletions: 8, AddressCompletions: 5, Returns: 4, Seed: 1}
}

// crowded is full after a few.
func crowded() Settings {
	s := small()
	s.Connections, s.Reserve, s.Anteroom, s.Leaving, s.PerAddress, s.PerClient = 12, 4, 2, 3, 6, 5
	s.Rate, s.ClientRate = 20, 20
	return s
}

var two = []Client{{"a"}, {"b"}}

func addr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

func gate(t require.TestingT, s Settings, clients []Client) *Gate {
	g, err := New(s, clients)
	require.NoError(t, err)
	return g
}

// model is what a gate should hold, kept apart from it.
type model struct {
	g       *Gate
	now     float64
	s       Settings
	clients []string
	lowered bool // by a reload: what is over the caps has to go first
	open    map[Conn]*modelConn
	tickets []modelTicket
}

type modelConn struct {
	address, client string // client "" while not known
	anteroom        bool
	running         int
	leaving, ended  bool
}

type modelTicket struct {
	Ticket
	holder string
	client bool
}

func (m *model) collect(t *rapid.T) {
	for _, e := range m.g.Evicted() {
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
	share := m.s.Reserve / max(1, len(m.clients))
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
	f := m.g.Figures()
	if f.Common != common || f.Anteroom != anteroom || f.Leaving != leaving || f.Connections != total {
		t.Fatalf("counts: gate %+v, wanted common %d anteroom %d leaving %d in all %d", f, common, anteroom, leaving, total)
	}
	takenBy, takenCommon := map[string]int{}, 0
	for _, x := range m.tickets {
		takenBy[x.holder]++
	}
	for h, n := range takenBy {
		if len(h) > 7 && h[:7] == "client " && known[h[7:]] {
			n -= m.s.ReserveCompletions / len(m.clients)
		}
		takenCommon += max(0, n)
	}
	if m.lowered && total <= m.s.Connections && common <= f.CommonMost && anteroom <= m.s.Anteroom &&
		takenCommon <= m.s.Completions-m.s.ReserveCompletions {
		m.lowered = false
	}
	if !m.lowered && (total > m.s.Connections || common > f.CommonMost || anteroom > m.s.Anteroom || reserved > m.s.Reserve) {
		t.Fatalf("a cap is passed: %+v", f)
	}
	if leaving > m.s.Leaving {
		t.Fatalf("%d leave, allowed are %d", leaving, m.s.Leaving)
	}
	if f.Completions != len(m.tickets) {
		t.Fatalf("%d completions, wanted %d", f.Completions, len(m.tickets))
	}
	if !m.lowered && len(m.tickets) > m.s.Completions {
		t.Fatalf("%d completions past the cap", len(m.tickets))
	}
}

func (m *model) some(t *rapid.T, so func(*modelConn) bool) (Conn, *modelConn) {
	var ids []Conn
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
		sorted := append([]Conn(nil), ids...)
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
	share := m.s.Reserve / max(1, len(m.clients))
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
		m := &model{s: crowded(), clients: []string{"a", "b"}, open: map[Conn]*modelConn{}}
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
			before := m.g.Figures()
			calm := m.g.rates.wait(m.now, from, m.s.Rate, m.s.Burst) == 0
			even := before.CommonMost / max(1, m.g.big.holders+1)
			had, aboveMe := held(from.String()), m.idleAbove(held(from.String()))
			id, v := m.g.Accept(m.now, from, Unknown)
			if v.OK() != (id != 0) || !v.OK() && !(v.Wait > 0 && v.Wait < 60) {
				t.Fatalf("%v %v", id, v)
			}
			if id != 0 {
				c := m.g.find(id)
				m.open[id] = &modelConn{address: from.String(), anteroom: c.lobby}
			}
			into := id != 0 && !m.open[id].anteroom
			m.collect(t)
			room := before.Common < before.CommonMost || aboveMe && before.Leaving < m.s.Leaving && before.Common == before.CommonMost
			if calm && had < even && room && !into {
				t.Fatalf("starved: holds %d, an even share is %d, there was room", had, even)
			}
			if !calm && into {
				t.Fatalf("let in past its rate")
			}
		}
		knownOne := func(t *rapid.T, k int) {
			h := &m.g.holders[m.g.clients[k]]
			calm := h.tat <= m.now
			open := h.open
			id, v := m.g.Accept(m.now, addr(100+k), k)
			m.collect(t)
			if id != 0 {
				m.open[id] = &modelConn{address: addr(100 + k).String(), client: m.clients[k]}
			}
			if calm && open < m.s.Reserve/len(m.clients) && !v.OK() {
				t.Fatalf("its reserve is not there: %v with %d open", v, open)
			}
		}
		call := func(t *rapid.T, as int) {
			id, c := m.some(t, func(c *modelConn) bool { return !c.ended && c.running == 0 })
			if c == nil {
				return
			}
			was := *c
			v := m.g.Call(m.now, id, as)
			c.running++
			switch {
			case c.leaving:
				if v.OK() {
					t.Fatal("a call on a connection that was told to go")
				}
			case v.OK() && as != Unknown:
				c.client, c.anteroom = m.clients[as], false
			case v.OK() && was.anteroom:
				t.Fatal("one that is not known left the anteroom")
			}
			if !v.OK() {
				c.ended = true
			}
			if !v.OK() && !m.g.Last(id) {
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
			ticket, v := m.g.Take(id)
			if v.OK() {
				m.tickets = append(m.tickets, modelTicket{ticket, holder, c.client != ""})
			}
			if current := c.client != "" && m.g.holders[m.g.find(id).holder].gone == false; current && !v.OK() && mine < m.s.ReserveCompletions/len(m.clients) {
				t.Fatalf("its reserve of completions is not there: %v, %d open", v, mine)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				m.now += rapid.Float64Range(0, 1.5).Draw(t, "s")
				next := m.g.Due(m.now)
				m.collect(t)
				if m.g.Figures().Leaving < m.s.Leaving && next <= m.now {
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
			"a call begins": func(t *rapid.T) { call(t, rapid.IntRange(Unknown, len(m.clients)-1).Draw(t, "client")) },
			"many call": func(t *rapid.T) {
				for range 6 {
					call(t, Unknown)
				}
			},
			"a call ends": func(t *rapid.T) {
				id, c := m.some(t, func(c *modelConn) bool { return c.running > 0 })
				if c != nil {
					m.g.CallOver(m.now, id)
					c.running--
				}
			},
			"one closes": func(t *rapid.T) {
				id, _ := m.some(t, func(*modelConn) bool { return true })
				m.g.Closed(id)
				m.g.Closed(id)
				delete(m.open, id)
			},
			"completions": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "how many") {
					take(t)
				}
			},
			"a completion ends": func(t *rapid.T) {
				if n := len(m.tickets); n > 0 {
					m.g.Over(m.tickets[n-1].Ticket)
					m.tickets = m.tickets[:n-1]
				}
			},
			"reload": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "seldom") > 0 {
					return
				}
				s := crowded()
				if rapid.Bool().Draw(t, "lower") {
					s.Connections, s.Completions, s.Anteroom = 9, 8, 1
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
		id, _ := g.Accept(now, addr(i%3), Unknown)
		g.Evicted()
		_ = id
		if i%100 != 99 {
			continue
		}
		mine, v := g.Accept(now, addr(1000+i), Unknown)
		require.True(t, v.OK(), "%v at %d", v, i)
		for j := range 40 { // its header is 8 ms on its way
			now += 0.0002
			g.Accept(now, addr(j%3), Unknown)
			for _, e := range g.Evicted() {
				require.NotEqual(t, mine, e.Conn)
				g.Closed(e.Conn)
			}
		}
		require.True(t, g.Call(now, mine, 0).OK())
		g.CallOver(now, mine)
		g.Closed(mine)
	}
	assert.Positive(t, g.Figures().Refused[Rate])
	assert.Positive(t, g.Figures().Ended[Anteroom]+g.Figures().Refused[Rate])
}

// A flood from ever new addresses holds each place in the anteroom as long as a known client's: that has as long
// for its header as the anteroom takes to be filled anew.
func TestKnownOneGetsThroughAFloodOfAddresses(t *testing.T) {
	s := small()
	s.Anteroom, s.Connections, s.Leaving = 64, 100, 200
	g := gate(t, s, two)
	for i := range 1000 {
		g.Accept(0, addr(i), Unknown)
		for _, e := range g.Evicted() {
			g.Closed(e.Conn)
		}
	}
	mine, v := g.Accept(0, addr(5000), Unknown)
	require.True(t, v.OK())
	for i := range s.Anteroom - 1 {
		g.Accept(0, addr(10000+i), Unknown)
		for _, e := range g.Evicted() {
			require.NotEqual(t, mine, e.Conn, "after %d", i)
			g.Closed(e.Conn)
		}
	}
	assert.True(t, g.Call(0, mine, 1).OK())
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
			require.True(t, g.Call(0, id, 0).OK())
		}
	}
	assert.Equal(t, s.PerClient, open)
	for i := range s.Reserve / 2 {
		id, v := g.Accept(0, addr(2), 1)
		require.True(t, v.OK(), "%d: %v", i, v)
		require.True(t, g.Call(0, id, 1).OK())
	}
	_, v := g.Accept(0, addr(9), Unknown)
	assert.True(t, v.OK(), "three places are left in the common room")
}

func TestWaitsGrowAndAreForgotten(t *testing.T) {
	s := small()
	s.Anteroom = 1
	g := gate(t, s, nil)
	last := 0.0
	for i := range 200 {
		id, v := g.Accept(1, addr(1), Unknown)
		if id != 0 {
			g.Closed(id)
			require.Less(t, i, int(s.Burst))
			continue
		}
		require.GreaterOrEqual(t, v.Wait, last)
		require.LessOrEqual(t, v.Wait, s.MaxWait+1/s.Rate)
		last = v.Wait
	}
	assert.InDelta(t, s.MaxWait, last, 0.2)
	id, _ := g.Accept(1+last/2, addr(1), Unknown)
	assert.Zero(t, id, "too early by half")
	id, v := g.Accept(1+last+0.2, addr(1), Unknown)
	assert.NotZero(t, id, "%v", v)
	id, _ = g.Accept(1, addr(2), Unknown)
	assert.NotZero(t, id, "another address is not held back")
}

// Many honest ones behind one address share its cap; PerAddress is theirs while there is room.
func TestOneAddressOfMany(t *testing.T) {
	s := small()
	s.Connections, s.PerAddress, s.Burst = 600, 256, 300
	g := gate(t, s, nil)
	for i := range 200 {
		_, v := g.Accept(0, addr(1), Unknown)
		require.True(t, v.OK(), "%d: %v", i, v)
	}
	for i := range 700 { // others come: its share shrinks to an even one of what they leave
		g.Accept(0, addr(2+i%100), Unknown)
		for _, e := range g.Evicted() {
			g.Closed(e.Conn)
		}
	}
	var its int
	for _, h := range g.Top(1000) {
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
			next, mine := arrive(now, own[n], rate, burst, 5)
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
			next, mine := arrive(now, own[i], 2, 2, 5)
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
		want := math.Pow(1-math.Pow(1-1.0/sketchWide, float64(n)), sketchRows)
		got := float64(held) / float64(tries)
		assert.InDelta(t, want, got, 0.25*want+0.002, "%d others", n)
	}
	assert.Equal(t, 1<<sketchBits, sketchWide)
}

func TestMemoryStaysBoundedOverMillionsOfAddresses(t *testing.T) {
	s := small()
	s.Connections, s.Returns = 2000, 512
	g := gate(t, s, two)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	flood := func(from, to int) {
		for i := from; i < to; i++ {
			g.Accept(float64(i)*1e-5, addr(i), Unknown)
			if evicted := g.Evicted(); len(evicted) > 0 {
				for _, e := range evicted {
					g.Closed(e.Conn)
				}
			}
			if i%1000 == 0 {
				g.RateLimited(float64(i)*1e-5, uint64(i), 1)
				g.Due(float64(i) * 1e-5)
			}
		}
	}
	flood(0, 500_000)
	before := heap()
	flood(500_000, floodSize)
	after := heap()
	assert.Less(t, int64(after)-int64(before), int64(1<<20), "bytes more after %d addresses", floodSize)
	assert.LessOrEqual(t, len(g.byAddr), s.Connections+s.Anteroom)
	assert.LessOrEqual(t, len(g.holders), s.Connections+s.Leaving+4)
	assert.LessOrEqual(t, len(g.returns.byKey), s.Returns)
	runtime.KeepAlive(g)
}

func TestRateLimitedOnesComeBackEarly(t *testing.T) {
	g := gate(t, small(), nil)
	g.RateLimited(10, 7, 0.5)
	v := g.Early(10.2, 7)
	assert.Equal(t, Early, v.Reason)
	assert.InDelta(t, 0.3, v.Wait, 1e-9)
	assert.True(t, g.Early(10.2, 8).OK(), "another completion")
	assert.True(t, g.Early(10.5, 7).OK(), "its time has come")
	for i := range uint64(4) {
		g.RateLimited(11, 100+i, 5)
	}
	assert.True(t, g.Early(10.2, 7).OK(), "forgotten")
	assert.False(t, g.Early(11, 103).OK())
	g.RateLimited(11, 103, 0)
	assert.False(t, g.Early(11, 103).OK(), "no advice changes nothing")
}

func TestRevokedClient(t *testing.T) {
	g := gate(t, small(), two)
	id, _ := g.Accept(0, addr(1), Unknown)
	require.True(t, g.Call(0, id, 0).OK())
	ticket, v := g.Take(id)
	require.True(t, v.OK())
	require.NoError(t, g.Reload(small(), []Client{{"b"}}))
	assert.Empty(t, g.Evicted(), "its stream goes on")
	g.CallOver(1, id)
	g.Over(ticket)
	assert.Equal(t, Revoked, g.Call(1, id, Unknown).Reason)
	assert.True(t, g.Last(id))
	g.CallOver(1, id)
	g.Closed(id)
	assert.Zero(t, g.Figures().Connections)
}

func TestSlowHeadersAndIdleOnesGo(t *testing.T) {
	s := small()
	g := gate(t, s, two)
	slow, _ := g.Accept(0, addr(1), Unknown)
	good, _ := g.Accept(0, addr(2), Unknown)
	require.True(t, g.Call(0.5, good, Unknown).OK())
	assert.InDelta(t, s.HeaderTime, g.Due(0.9), 1e-9)
	g.Due(s.HeaderTime)
	assert.Equal(t, []Evicted{{slow, SlowHeader}}, g.Evicted())
	g.Closed(slow)
	g.Due(100)
	assert.Empty(t, g.Evicted(), "a call is never ended")
	g.CallOver(100, good)
	g.Due(100 + s.IdleTime)
	assert.Equal(t, []Evicted{{good, Idle}}, g.Evicted())
	assert.Equal(t, Idle, g.Call(105, good, Unknown).Reason, "a call that crossed is refused, not taken")
}

func TestDrain(t *testing.T) {
	s := small()
	s.Leaving = 1
	g := gate(t, s, two)
	busy, _ := g.Accept(0, addr(1), Unknown)
	require.True(t, g.Call(0, busy, 0).OK())
	var others []Conn
	for i := range 3 {
		id, _ := g.Accept(0, addr(2+i), Unknown)
		others = append(others, id)
	}
	g.Drain()
	for _, id := range others { // no more at once than may leave
		g.Due(1)
		require.Equal(t, []Evicted{{id, Stopping}}, g.Evicted())
		g.Closed(id)
	}
	_, v := g.Accept(1, addr(9), 1)
	assert.Equal(t, Stopping, v.Reason)
	assert.True(t, g.Last(busy))
	g.CallOver(1, busy)
	g.Due(1)
	assert.Equal(t, []Evicted{{busy, Stopping}}, g.Evicted())
}

func TestCallsOfAConnection(t *testing.T) {
	s := small()
	s.Calls = 2
	g := gate(t, s, nil)
	id, _ := g.Accept(0, addr(1), Unknown)
	for i := range 2 {
		require.True(t, g.Call(0, id, Unknown).OK())
		assert.Equal(t, i == 1, g.Last(id))
		g.CallOver(0, id)
	}
}

func TestIPv6IsHeldByPrefix(t *testing.T) {
	g := gate(t, small(), nil)
	assert.Equal(t, g.mask(netip.MustParseAddr("2001:db8::1")), g.mask(netip.MustParseAddr("2001:db8::ffff:1")))
	assert.NotEqual(t, g.mask(netip.MustParseAddr("2001:db8::1")), g.mask(netip.MustParseAddr("2001:db8:0:1::1")))
	assert.Equal(t, addr(1), g.mask(netip.MustParseAddr("::ffff:10.0.0.1")))
}

func TestSettingsThatDoNotFit(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*Settings)
		clients []Client
		want    string
	}{
		"few":        {func(s *Settings) { s.Connections = 2 }, nil, "wanted 3 or more"},
		"no room":    {func(s *Settings) { s.Reserve = 16 }, nil, "leave nothing to others"},
		"no share":   {func(s *Settings) { s.Reserve = 1 }, two, "for 2 known clients"},
		"no way in":  {func(s *Settings) { s.Anteroom = 0 }, two, "anteroom: none"},
		"completion": {func(s *Settings) { s.ReserveCompletions = 12 }, nil, "reserve of completions"},
		"prefix":     {func(s *Settings) { s.Prefix6 = 0 }, nil, "IPv6 prefix"},
		"rate":       {func(s *Settings) { s.Rate = math.NaN() }, nil, "rates"},
	} {
		s := small()
		c.change(&s)
		_, err := New(s, c.clients)
		assert.ErrorContains(t, err, c.want, name)
	}
}

func TestDivide(t *testing.T) {
	s := small()
	d, err := Divide(200, 16, 0, s)
	require.NoError(t, err)
	assert.Equal(t, 200, d.Own+d.Admin+d.Peers+d.Connections+d.Leaving+d.Engines)
	assert.Equal(t, s.Completions, d.Completions)
	assert.Contains(t, d.String(), "200 descriptors = 64 own + 16 admin")
	_, err = Divide(107, 16, 0, s)
	assert.ErrorContains(t, err, "nothing is left for engines")
	_, err = Divide(112, 16, 0, s)
	assert.ErrorContains(t, err, "reserve of 4 completions")
}

func TestBook(t *testing.T) {
	key := func(k string) [32]byte { return sha256.Sum256([]byte(k)) }
	b, err := NewBook([]Entry{
		{Name: "a", Keys: [][32]byte{key("ka"), key("ka2")}, Ranges: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}},
		{Name: "b", Ranges: []netip.Prefix{netip.MustParsePrefix("10.1.2.0/24")}, Certificates: []string{"b.example"}}}, [16]byte{1})
	require.NoError(t, err)
	assert.Equal(t, 0, b.ByKey("ka2"))
	assert.Equal(t, Unknown, b.ByKey("kb"))
	assert.Equal(t, Unknown, b.ByKey(""))
	assert.Equal(t, 1, b.ByAddress(netip.MustParseAddr("::ffff:10.1.2.3")), "the narrowest")
	assert.Equal(t, 0, b.ByAddress(netip.MustParseAddr("10.1.3.3")))
	assert.Equal(t, Unknown, b.ByAddress(netip.MustParseAddr("10.2.0.1")))
	assert.Equal(t, 1, b.ByCertificate([]string{"x", "b.example"}))
	assert.Equal(t, Unknown, b.ByCertificate(nil))
	for want, entries := range map[string][]Entry{
		"wanted one that no other has": {{Name: "a", Certificates: []string{"x"}}, {Name: "a", Certificates: []string{"y"}}},
		"wanted a key":                 {{Name: "a"}},
		"a key that a has too":         {{Name: "a", Keys: [][32]byte{key("k")}}, {Name: "b", Keys: [][32]byte{key("k")}}},
		"of two clients": {{Name: "a", Ranges: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}},
			{Name: "b", Ranges: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/8")}}},
		"is a's too": {{Name: "a", Certificates: []string{"x"}}, {Name: "b", Certificates: []string{"x"}}},
	} {
		_, err := NewBook(entries, [16]byte{})
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
		var open []Conn
		var tickets []Ticket
		now := 0.0
		for i := 0; i+1 < len(steps); i += 2 {
			n := int(steps[i+1])
			var id Conn
			if len(open) > 0 {
				id = open[n%len(open)]
			}
			switch steps[i] % 8 {
			case 0, 1:
				if id, _ := g.Accept(now, addr(n), n%4%3-1); id != 0 {
					open = append(open, id)
				}
			case 2:
				g.Call(now, id, n%3-1)
			case 3:
				if c := g.find(id); c != nil && c.running > 0 {
					g.CallOver(now, id)
				}
			case 4:
				now += float64(n) / 64
				g.Due(now)
			case 5:
				g.Closed(id)
			case 6:
				if ticket, v := g.Take(id); v.OK() {
					tickets = append(tickets, ticket)
				}
			case 7:
				if len(tickets) > 0 {
					g.Over(tickets[0])
					tickets = tickets[1:]
				}
			}
			if f := g.Figures(); f.Connections > s.Connections || f.Common > f.CommonMost || f.Leaving > s.Leaving || f.Completions > s.Completions {
				t.Fatalf("%+v", f)
			}
		}
	})
}
