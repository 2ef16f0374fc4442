package lab

import (
	"flag"
	"math"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"

	"cherryhub/decide"
	"cherryhub/internal/emulate"
)

func testDay(rate float64) Settings {
	model := emulate.Model{Slots: 16, Queue: 32, BlockTokens: 16, Blocks: 6000, StepTokens: 1024, StepBase: 0.006, ReadToken: 0.00005,
		WriteToken: 0.0004, ContextToken: 1e-7, StartShare: 1}
	return Settings{Seed: 1, Duration: 20, Routers: 4, OneWayDelay: 0.0005, LinkTokensPerSecond: 300000,
		Groups: []EngineGroup{{Role: decide.Reader, Count: 4, Model: model}, {Role: decide.Writer, Count: 6, Model: model}},
		Loads: []Load{
			{Rate: rate, Workload: 0, MeanPromptTokens: 1500, SharedPrefixTokens: 512, MeanOutputTokens: 60, ClientTimeout: 6,
				MaxOutputTokens: 400, Turns: 3, MeanTurnGap: 3, ValuePerToken: 3},
			{Rate: rate, Workload: 1, MeanPromptTokens: 200, SharedPrefixTokens: 128, MeanOutputTokens: 40, ClientTimeout: 8,
				MaxOutputTokens: 200, Turns: 1, ValuePerToken: 1}},
		Decide: decide.Settings{Workloads: []decide.Workload{
			{LatencyTarget: 1, LatencyTargetPerToken: 0.0001, InterTokenTarget: 0.06, Value: 3, Idempotency: decide.Idempotent},
			{LatencyTarget: 1, LatencyTargetPerToken: 0.0001, InterTokenTarget: 0.06, Value: 1, Idempotency: decide.NonIdempotent}},
			OverShareValue: 0.2, ProbesAllowed: true, WriterReadsAllowed: true, CancelAllowed: true, MaxDispatches: 4, MaxRetryAfter: 1,
			ColdStartShare: 0.3, WarmUpTime: 12, OverloadMultiple: 2.5, Tick: 0.005, CrossCellPrice: 0.05, CrossZonePrice: 0.01}}
}

func TestEveryCompletionHasOneFinalAnswer(t *testing.T) {
	for _, rate := range []float64{5, 25, 100} {
		r, err := Run(testDay(rate))
		require.NoError(t, err)
		t.Logf("rate %v: %+v, ttft p50 %v p99 %v µs, score %.3f", rate, *r, r.TTFT.ValueAtQuantile(50), r.TTFT.ValueAtQuantile(99), r.Score())
		assert.Equal(t, r.Completions, r.Finished+r.RateLimited+r.Aborted)
		assert.Zero(t, r.Unanswered)
		assert.Zero(t, r.DuplicateAnswers+r.LateAnswers)
	}
}

// TestAtSize logs the run time of a day; flags set its size.
func TestAtSize(t *testing.T) {
	s := testDay(2 * float64(*engines))
	s.Routers, s.Duration = *routers, *seconds
	readers, writers := s.Groups[0], s.Groups[1]
	s.Groups = nil
	for cell := range *engines / 10 { // each cell of ten engines has its own link
		readers.Cell, writers.Cell = cell, cell
		s.Groups = append(s.Groups, readers, writers)
	}
	start := time.Now()
	r, err := Run(s)
	require.NoError(t, err)
	elapsed := time.Since(start).Seconds()
	t.Logf("%d routers, %d engines, %v s: %.1f s, %d completions, %d events, %.0f events a second, score %.3f", *routers, *engines, *seconds, elapsed,
		r.Completions, r.Events, float64(r.Events)/elapsed, r.Score())
	assert.Zero(t, r.Unanswered)
}

var (
	routers = flag.Int("lab.routers", 10, "routers in TestAtSize")
	engines = flag.Int("lab.engines", 20, "engines in TestAtSize")
	seconds = flag.Float64("lab.seconds", 10, "length of the day in TestAtSize, in seconds")
)

func TestScoreFallsWithLoad(t *testing.T) {
	lowLoad, err := Run(testDay(5))
	require.NoError(t, err)
	highLoad, err := Run(testDay(100))
	require.NoError(t, err)
	assert.Greater(t, lowLoad.Score(), 0.95)
	assert.Less(t, highLoad.Score(), 0.8)
	assert.Greater(t, highLoad.TTFT.ValueAtQuantile(50), lowLoad.TTFT.ValueAtQuantile(50))
}

func TestSameSeedGivesSameResult(t *testing.T) {
	first, err := Run(testDay(60))
	require.NoError(t, err)
	again, err := Run(testDay(60))
	require.NoError(t, err)
	assert.Equal(t, first, again)
	other := testDay(60)
	other.Seed = 2
	otherResult, err := Run(other)
	require.NoError(t, err)
	assert.NotEqual(t, first.Events, otherResult.Events)
}

// A day with engines that pause without failing, a group that slows down until it dies and returns cold, and a zone
// that drops out with its routers.
func TestTroubledDay(t *testing.T) {
	s := testDay(25)
	s.Duration, s.Zones, s.ListDelay = 40, 2, 0.2
	for i := range s.Groups {
		s.Groups[i].Model.StartShare, s.Groups[i].Model.Warm = 0.3, 5
	}
	secondZone := slices.Clone(s.Groups)
	for i := range secondZone {
		secondZone[i].Zone, secondZone[i].Cell = 1, 1
	}
	s.Groups = append(s.Groups, secondZone...)
	undisturbed, err := Run(s)
	require.NoError(t, err)
	assert.Zero(t, undisturbed.Lost)
	s.Troubles = []Trouble{{Kind: Pause, At: 3, Duration: 4, Group: 1, EngineCount: 2},
		{Kind: Creep, At: 8, Duration: 8, Group: 3, EngineCount: 3, Slowdown: 20},
		{Kind: Die, At: 10, Duration: 5, Group: 0, FirstEngine: 1, EngineCount: 2},
		{Kind: Drained, At: 12, Duration: 6, Group: 1, FirstEngine: 3, EngineCount: 1},
		{Kind: Slow, At: 14, Duration: 4, Group: 2, EngineCount: 2, Slowdown: 5}, {Kind: SiteOut, At: 22, Duration: 8, Zone: 1}}
	r, err := Run(s)
	require.NoError(t, err)
	t.Logf("undisturbed %.3f, troubled %.3f: %+v", undisturbed.Score(), r.Score(), *r)
	assert.Equal(t, r.Completions, r.Finished+r.RateLimited+r.Aborted+r.Lost)
	assert.Zero(t, r.Unanswered)
	assert.Zero(t, r.DuplicateAnswers+r.LateAnswers)
	assert.Positive(t, r.Lost, "lost with the routers of the zone")
	assert.Less(t, r.Score(), undisturbed.Score())
	assert.Greater(t, r.Score(), 0.5)
	again, err := Run(s)
	require.NoError(t, err)
	assert.Equal(t, r, again)
}

func TestInvalidTroubles(t *testing.T) {
	for want, trouble := range map[string]Trouble{
		"unknown kind 77": {Kind: 77, Duration: 1}, "group 9 of 2": {Duration: 1, Group: 9},
		"engines 3 to 5 of 4": {Duration: 1, FirstEngine: 3, EngineCount: 3},
		"times 0":             {Kind: Slow, Duration: 1, EngineCount: 1}, "for 0": {Kind: Die, EngineCount: 1},
	} {
		s := testDay(1)
		s.Troubles = []Trouble{trouble}
		_, err := Run(s)
		assert.ErrorContains(t, err, want)
	}
}

// sharedProbingDay is a day with thirty routers on which one engine pauses and one dies.
func sharedProbingDay(seed uint64, peers *Peers) Settings {
	s := testDay(30)
	s.Seed, s.Routers, s.Duration, s.ListDelay = seed, 30, 15, 0.2
	s.Troubles = []Trouble{{Kind: Pause, At: 3, Duration: 5, Group: 1, EngineCount: 1}, {Kind: Die, At: 9, Duration: 3, Group: 0, EngineCount: 1}}
	s.Peers = peers
	return s
}

// TestSharedProbing compares routers that share probes with routers that don't, on the same days: they probe more, and
// the mean score falls by no more than the allowed cost. Scores of one day differ by about 0.02 either way, so the
// standard error of the mean over the seeds must be a fraction of that cost: the result must not depend on a few seeds.
func TestSharedProbing(t *testing.T) {
	const seeds, allowedCost, maxErrorFraction = 24, 0.03, 0.2
	peers := Peers{Interval: 0.25, Candidates: 2, Settle: 1, Lease: 30, HandOver: 0.1, Seen: 0.7}
	type pair struct{ alone, shared *Result }
	var pairs [seeds]pair
	var runs sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range pairs {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			var err error
			pairs[i].alone, err = Run(sharedProbingDay(uint64(i)+1, nil))
			assert.NoError(t, err)
			pairs[i].shared, err = Run(sharedProbingDay(uint64(i)+1, &peers))
			assert.NoError(t, err)
		})
	}
	runs.Wait()
	require.False(t, t.Failed())
	var gains []float64
	for _, p := range pairs {
		assert.Zero(t, p.shared.Unanswered+p.shared.DuplicateAnswers+p.shared.LateAnswers)
		assert.Equal(t, p.shared.Completions, p.shared.Finished+p.shared.RateLimited+p.shared.Aborted)
		assert.Greater(t, p.shared.Probes, p.alone.Probes)
		gains = append(gains, p.shared.Score()-p.alone.Score())
	}
	mean, deviation := stat.MeanStdDev(gains, nil)
	standardError := deviation / math.Sqrt(seeds)
	t.Logf("gain of shared probing %.4f, standard error %.4f, %d seeds", mean, standardError, seeds)
	assert.Greater(t, mean, -allowedCost)
	assert.Less(t, standardError, maxErrorFraction*allowedCost)
}

func TestSharedProbingIsDeterministic(t *testing.T) {
	peers := Peers{Interval: 0.25, Candidates: 2, Settle: 1, Lease: 30, HandOver: 0.1, Seen: 0.7}
	first, err := Run(sharedProbingDay(1, &peers))
	require.NoError(t, err)
	again, err := Run(sharedProbingDay(1, &peers))
	require.NoError(t, err)
	assert.Equal(t, first, again)
	peers.Lease = 0
	_, err = Run(sharedProbingDay(1, &peers))
	assert.ErrorContains(t, err, "a lease above settle")
}
