package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cherryhub/decide"
	"cherryhub/internal/duty"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
	"cherryhub/internal/loopback"
	"cherryhub/internal/member"
	pb "cherryhub/proto"
)

// testPeer is a Peer with a scripted engine client that records the events sent to its planner.
type testPeer struct {
	*Peer
	mu          sync.Mutex
	probeCounts map[string]int
	events      []link.Event
	probesFail  bool
	stop        context.CancelFunc
	done        chan error
}

type nopObserver struct{}

func (nopObserver) ProbeHandled(string)   {}
func (nopObserver) DutyTakenOver(string)  {}
func (nopObserver) ResultReceived(string) {}
func (nopObserver) DutyLate(float64)      {}

const key = "00112233445566778899aabbccddeeff"

func startPeer(t *testing.T, name, address, keyHex string, seeds []string, ownRate float64) *testPeer {
	tp := &testPeer{probeCounts: map[string]int{}, done: make(chan error, 1)}
	self := duty.Member{Name: name, Incarnation: 1, Zone: "a", Weight: 1}
	p, err := New(Options{Duty: duty.Settings{Self: self, SettleTime: 0.6, LeaseTime: 5, HandoverDelay: 0.1, MaxJoins: 10}, ProbeInterval: 0.3, Candidates: 2,
		OwnProbesPerSecond: ownRate, ReportColumns: []string{"queue", "x0"}, Membership: member.Options{Self: self, Listen: address, Seeds: seeds, KeyHex: keyHex},
		Probe: func(_ context.Context, address string) ([]float64, error) {
			tp.mu.Lock()
			defer tp.mu.Unlock()
			tp.probeCounts[address]++
			if tp.probesFail {
				return nil, errors.New("connection refused")
			}
			return []float64{math.NaN(), 0.5}, nil
		},
		Notify: func(e link.Event) {
			tp.mu.Lock()
			defer tp.mu.Unlock()
			tp.events = append(tp.events, e)
		},
		Log: slog.New(slog.DiscardHandler), Observer: nopObserver{}})
	require.NoError(t, err)
	tp.Peer = p
	ctx, cancel := context.WithCancel(context.Background())
	tp.stop = sync.OnceFunc(func() { cancel(); assert.NoError(t, <-tp.done) })
	go func() { tp.done <- p.Run(ctx) }()
	t.Cleanup(tp.stop)
	p.UpdateEngines(readyEngines(4))
	return tp
}

func readyEngines(n int) *link.EngineList {
	list := &link.EngineList{Kind: decide.ListSnapshot}
	for i := range n {
		list.Entries = append(list.Entries, link.EngineEntry{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Phase: decide.Ready})
	}
	return list
}

func (p *testPeer) probeCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.probeCounts {
		n += c
	}
	return n
}

// eventsByEngine counts, by engine, the events to the planner with the given outcome, whichever router probed.
func (p *testPeer) eventsByEngine(outcome decide.Outcome) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for _, e := range p.events {
		if e.Outcome == outcome {
			counts[e.Address]++
		}
	}
	return counts
}

// freeAddresses returns the addresses for n peers.
func freeAddresses(t *testing.T, n int) (addresses []string) {
	for range n {
		a, err := loopback.FreeAddress("127.0.0.1")
		require.NoError(t, err)
		addresses = append(addresses, a)
	}
	return addresses
}

func startGroup(t *testing.T, n int, ownRate float64) []*testPeer {
	addresses := freeAddresses(t, n)
	var peers []*testPeer
	for i, a := range addresses {
		peers = append(peers, startPeer(t, fmt.Sprint("router-", i), a, key, addresses[:i], ownRate))
	}
	requireAllAlive(t, peers)
	return peers
}

// requireAllAlive waits until each peer has all others as live members and on its roster.
func requireAllAlive(t *testing.T, peers []*testPeer) {
	require.Eventually(t, func() bool {
		for _, p := range peers {
			if _, alive, roster := p.Members(); len(alive) != len(peers)-1 || len(roster) != len(peers) {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

// TestSeedStartsLast checks that two routers that have found each other join their common seed when it starts later,
// although the seed itself knows no other router.
func TestSeedStartsLast(t *testing.T) {
	addresses := freeAddresses(t, 3)
	first := startPeer(t, "router-1", addresses[1], key, addresses[:1], 0)
	second := startPeer(t, "router-2", addresses[2], key, addresses[:2], 0)
	requireAllAlive(t, []*testPeer{first, second})
	requireAllAlive(t, []*testPeer{startPeer(t, "router-0", addresses[0], key, nil, 0), first, second})
}

// TestSharedProbing checks that probing is divided, that each result reaches all peers, and that a peer that leaves is
// replaced at once.
func TestSharedProbing(t *testing.T) {
	peers := startGroup(t, 3, 0)
	time.Sleep(1500 * time.Millisecond)
	before := 0
	for _, p := range peers {
		before += p.probeCount()
	}
	time.Sleep(3 * time.Second)
	probes := -before
	for _, p := range peers {
		probes += p.probeCount()
	}
	assert.InDelta(t, 4*3/0.3, probes, 10, "each engine once per interval, by all peers together")
	for _, p := range peers {
		assert.Len(t, p.eventsByEngine(decide.Finished), 4, "each peer learns about all engines")
	}
	peers[0].stop()
	assert.Eventually(t, func() bool {
		for _, p := range peers[1:] {
			if _, alive, roster := p.Members(); len(alive) != 1 || len(roster) != 2 {
				return false
			}
		}
		return true
	}, 3*time.Second, 10*time.Millisecond, "a peer that announces its departure is removed from the roster at once")
	time.Sleep(600 * time.Millisecond)
	for _, d := range peers[1].Duties() {
		assert.Less(t, d.Since, 0.6, "%+v", d)
	}
}

// TestFailureAtAnotherRouter checks that an engine that one router cannot reach does not count as failed at the others.
// They probe it themselves, within their own probe budget.
func TestFailureAtAnotherRouter(t *testing.T) {
	for _, budget := range []float64{0, 50} {
		peers := startGroup(t, 2, budget)
		peers[0].mu.Lock()
		peers[0].probesFail = true
		peers[0].mu.Unlock()
		before := peers[1].eventsByEngine(decide.Unreachable)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, before, peers[1].eventsByEngine(decide.Unreachable))
		assert.NotEmpty(t, peers[0].eventsByEngine(decide.Unreachable), "its own planner is notified")
		for _, p := range peers {
			p.stop()
		}
	}
}

// TestProbe checks that Probe returns a fresh shared report if there is one, else probes within the own budget, and
// fails once the budget is exhausted.
func TestProbe(t *testing.T) {
	address, err := loopback.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	p := startPeer(t, "alone", address, key, nil, 1)
	require.Eventually(t, func() bool { return p.probeCount() >= 4 }, 5*time.Second, time.Millisecond)
	before := p.probeCount()
	report, err := p.Probe(t.Context(), "10.0.0.1:1")
	require.NoError(t, err)
	assert.Equal(t, 0.5, report[1])
	assert.LessOrEqual(t, p.probeCount(), before+4, "at most the probes of the duty")
	_, err = p.Probe(t.Context(), "10.9.9.9:1") // not a duty: needs a probe of its own
	require.NoError(t, err)
	_, err = p.Probe(t.Context(), "10.9.9.9:1")
	assert.ErrorIs(t, err, engine.ErrProbeSkipped)
	assert.Equal(t, decide.Finished, engine.ProbeOutcome(err), "does not count as a failure of the engine")
}

// TestWrongKey checks that a router with another key is not admitted to the group.
func TestWrongKey(t *testing.T) {
	peers := startGroup(t, 2, 0)
	address, err := loopback.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	stranger := startPeer(t, "stranger", address, "ff112233445566778899aabbccddeeff", []string{peers[0].options.Membership.Listen}, 0)
	time.Sleep(1500 * time.Millisecond)
	_, alive, _ := stranger.Members()
	assert.Empty(t, alive)
	_, alive, _ = peers[0].Members()
	assert.Len(t, alive, 1)
}

// TestInvalidInput checks that malformed messages are ignored and invalid options rejected.
func TestInvalidInput(t *testing.T) {
	address, err := loopback.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	p := startPeer(t, "alone", address, key, nil, 1)
	for _, m := range []string{"", "garbage", "\x0a\xff\xff\xff\xff\xff", "\x0a\x02\x08\x01"} {
		p.receiveMessage([]byte(m))
	}
	p.applyProbeResult("10.0.0.1:1", []byte("garbage"))
	assert.Empty(t, p.eventsByEngine(decide.Finished))
	for _, bad := range []member.Options{{KeyHex: "12"}, {KeyHex: key, Listen: "nowhere"}, {KeyHex: key, Listen: "127.0.0.1:x"}} {
		_, err := member.Start(t.Context(), bad)
		assert.Error(t, err)
	}
}

// TestMessageMemory guards against a message whose empty results take hundreds of megabytes once they are decoded.
func TestMessageMemory(t *testing.T) {
	const (
		messageBytes = 4 << 20 // the longest message that a router sends
		maxBytes     = 2 * messageBytes
	)
	message, err := proto.Marshal(&pb.PeerResults{Results: slices.Repeat([]*pb.PeerResult{{}}, messageBytes/2)})
	require.NoError(t, err)
	p, err := New(Options{Duty: duty.Settings{Self: duty.Member{Name: "a", Weight: 1}, SettleTime: 0.6, LeaseTime: 5, HandoverDelay: 0.1, MaxJoins: 10}, ProbeInterval: 1, Candidates: 2,
		Observer: nopObserver{}, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	p.receiveMessage(message)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxBytes))
}
