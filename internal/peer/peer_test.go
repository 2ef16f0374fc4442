package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cherryhub/decide"
	"cherryhub/internal/duty"
	"cherryhub/internal/engine"
	"cherryhub/internal/link"
	"cherryhub/internal/loopback"
	"cherryhub/internal/member"
)

// one is a peer with a scripted engine client, and what it told its planner.
type one struct {
	*Peer
	mu     sync.Mutex
	probes map[string]int
	told   []link.Event
	fails  bool
	end    context.CancelFunc
	done   chan error
}

type quiet struct{}

func (quiet) ProbeHandled(string)   {}
func (quiet) DutyTakenOver(string)  {}
func (quiet) ResultReceived(string) {}
func (quiet) DutyLate(float64)      {}

const key = "00112233445566778899aabbccddeeff"

func start(t *testing.T, name, address, keyHex string, seeds []string, ownRate float64) *one {
	o := &one{probes: map[string]int{}, done: make(chan error, 1)}
	self := duty.Member{Name: name, Incarnation: 1, Zone: "a", Weight: 1}
	p, err := New(Options{Duty: duty.Settings{Self: self, SettleTime: 0.6, LeaseTime: 5, HandoverDelay: 0.1, MaxJoins: 10}, ProbeInterval: 0.3, Candidates: 2,
		OwnProbesPerSecond: ownRate, ReportColumns: []string{"queue", "x0"}, Membership: member.Options{Self: self, Listen: address, Seeds: seeds, KeyHex: keyHex},
		Probe: func(_ context.Context, address string) ([]float64, error) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.probes[address]++
			if o.fails {
				return nil, errors.New("no way")
			}
			return []float64{math.NaN(), 0.5}, nil
		},
		Notify: func(f link.Event) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.told = append(o.told, f)
		},
		Log: slog.New(slog.DiscardHandler), Observer: quiet{}})
	require.NoError(t, err)
	o.Peer = p
	ctx, end := context.WithCancel(context.Background())
	o.end = sync.OnceFunc(func() { end(); assert.NoError(t, <-o.done) })
	go func() { o.done <- p.Run(ctx) }()
	t.Cleanup(o.end)
	p.UpdateEngines(list(4))
	return o
}

func list(n int) *link.EngineList {
	l := &link.EngineList{Kind: decide.ListSnapshot}
	for i := range n {
		l.Entries = append(l.Entries, link.EngineEntry{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Phase: decide.Ready})
	}
	return l
}

func (o *one) count() (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.probes {
		n += c
	}
	return n
}

// heardOf are the engines of which the planner was told so by a probe of any router.
func (o *one) heardOf(outcome decide.Outcome) map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := map[string]int{}
	for _, f := range o.told {
		if f.Outcome == outcome {
			all[f.Address]++
		}
	}
	return all
}

// addresses are those of n peers to come.
func addresses(t *testing.T, n int) (all []string) {
	for range n {
		a, err := loopback.Address("127.0.0.1")
		require.NoError(t, err)
		all = append(all, a)
	}
	return all
}

func group(t *testing.T, n int, ownRate float64) []*one {
	at := addresses(t, n)
	var all []*one
	for i, a := range at {
		all = append(all, start(t, fmt.Sprint("router-", i), a, key, at[:i], ownRate))
	}
	requireAllInSight(t, all)
	return all
}

// requireAllInSight waits until each peer sees all others.
func requireAllInSight(t *testing.T, all []*one) {
	require.Eventually(t, func() bool {
		for _, o := range all {
			if _, sight, roster := o.Members(); len(sight) != len(all)-1 || len(roster) != len(all) {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

// TestSeedStartsLast: two routers that were first to start see each other, and the one that is their seed joins them when it
// starts, though it knows no other.
func TestSeedStartsLast(t *testing.T) {
	at := addresses(t, 3)
	first := start(t, "router-1", at[1], key, at[:1], 0)
	second := start(t, "router-2", at[2], key, at[:2], 0)
	requireAllInSight(t, []*one{first, second})
	requireAllInSight(t, []*one{start(t, "router-0", at[0], key, nil, 0), first, second})
}

// TestShared: probing is split, each result reaches all, and a peer that goes is replaced at once.
func TestShared(t *testing.T) {
	all := group(t, 3, 0)
	time.Sleep(1500 * time.Millisecond)
	before := 0
	for _, o := range all {
		before += o.count()
	}
	time.Sleep(3 * time.Second)
	made := -before
	for _, o := range all {
		made += o.count()
	}
	assert.InDelta(t, 4*3/0.3, made, 10, "each engine once an interval, by all together")
	for _, o := range all {
		assert.Len(t, o.heardOf(decide.Finished), 4, "each hears of all")
	}
	all[0].end()
	assert.Eventually(t, func() bool {
		for _, o := range all[1:] {
			if _, sight, roster := o.Members(); len(sight) != 1 || len(roster) != 2 {
				return false
			}
		}
		return true
	}, 3*time.Second, 10*time.Millisecond, "who says that it goes is off the roster at once")
	time.Sleep(600 * time.Millisecond)
	for _, d := range all[1].Duties() {
		assert.Less(t, d.Since, 0.6, "%+v", d)
	}
}

// TestAnothersFailure: a router that can't reach an engine does not make it ill at the others. They look for
// themselves, as far as their own budget goes.
func TestAnothersFailure(t *testing.T) {
	for _, budget := range []float64{0, 50} {
		all := group(t, 2, budget)
		all[0].mu.Lock()
		all[0].fails = true
		all[0].mu.Unlock()
		was := all[1].heardOf(decide.Unreachable)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, was, all[1].heardOf(decide.Unreachable))
		assert.NotEmpty(t, all[0].heardOf(decide.Unreachable), "it tells its own planner")
		for _, o := range all {
			o.end()
		}
	}
}

// TestOwnNeed: a shared report answers it, then the own budget, then nothing is learnt.
func TestOwnNeed(t *testing.T) {
	address, err := loopback.Address("127.0.0.1")
	require.NoError(t, err)
	o := start(t, "alone", address, key, nil, 1)
	require.Eventually(t, func() bool { return o.count() >= 4 }, 5*time.Second, time.Millisecond)
	n := o.count()
	report, err := o.Probe(t.Context(), "10.0.0.1:1")
	require.NoError(t, err)
	assert.Equal(t, 0.5, report[1])
	assert.LessOrEqual(t, o.count(), n+4, "the duty's own, at most")
	_, err = o.Probe(t.Context(), "10.9.9.9:1") // no duty: an own probe
	require.NoError(t, err)
	_, err = o.Probe(t.Context(), "10.9.9.9:1")
	assert.ErrorIs(t, err, engine.ErrNotAsked)
	assert.Equal(t, decide.Finished, engine.ProbeOutcome(err), "the engine is not to blame")
}

// TestStranger: one with another key is not let in.
func TestStranger(t *testing.T) {
	all := group(t, 2, 0)
	address, err := loopback.Address("127.0.0.1")
	require.NoError(t, err)
	stranger := start(t, "stranger", address, "ff112233445566778899aabbccddeeff", []string{all[0].options.Membership.Listen}, 0)
	time.Sleep(1500 * time.Millisecond)
	_, sight, _ := stranger.Members()
	assert.Empty(t, sight)
	_, sight, _ = all[0].Members()
	assert.Len(t, sight, 1)
}

// TestBadMessages: what is not understood changes nothing.
func TestBadMessages(t *testing.T) {
	address, err := loopback.Address("127.0.0.1")
	require.NoError(t, err)
	o := start(t, "alone", address, key, nil, 1)
	for _, m := range []string{"", "garbage", "\x0a\xff\xff\xff\xff\xff", "\x0a\x02\x08\x01"} {
		o.receiveMessage([]byte(m))
	}
	o.applyProbeResult("10.0.0.1:1", []byte("garbage"))
	assert.Empty(t, o.heardOf(decide.Finished))
	for _, bad := range []member.Options{{KeyHex: "12"}, {KeyHex: key, Listen: "nowhere"}, {KeyHex: key, Listen: "127.0.0.1:x"}} {
		_, err := member.Start(t.Context(), bad)
		assert.Error(t, err)
	}
}
