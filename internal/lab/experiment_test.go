package lab

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func firstSeeds(n int) (seeds []uint64) {
	for i := range n {
		seeds = append(seeds, uint64(i+1))
	}
	return seeds
}

func TestCompareTellsDifferenceFromNoise(t *testing.T) {
	d := testDay(40)
	d.Duration = 10
	x := &Experiment{Days: []Settings{d}, Seeds: firstSeeds(8), Variants: []Variant{{Name: "as it is"}, {Name: "the same"},
		{Name: "half of the readers", Apply: func(s *Settings) { s.Groups[0].Count /= 2 }}}}
	results, err := x.Run(t.Context())
	require.NoError(t, err)
	differences := results.Compare((*Result).Score)
	require.Len(t, differences, 2)
	t.Logf("%+v", differences)
	assert.False(t, differences[0].Distinct)
	assert.Zero(t, differences[0].Mean, "paired: the same seeds")
	assert.True(t, differences[1].Distinct)
	assert.Negative(t, differences[1].High)
	assert.Equal(t, 2, x.Days[0].Groups[0].Count/2, "variants do not change the day itself")

	x.Workers = 1
	again, err := x.Run(t.Context())
	require.NoError(t, err)
	assert.Equal(t, results, again, "the results do not depend on the number of workers")
}

func TestConfidenceIntervalCoverage(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	covered := 0
	const samples = 200
	for range samples {
		pairs := make([]float64, 30)
		for i := range pairs {
			pairs[i] = 1 + r.NormFloat64()
		}
		if low, high := confidenceInterval(pairs); low <= 1 && 1 <= high {
			covered++
		}
	}
	assert.InDelta(t, 0.95, float64(covered)/samples, 0.05)
}

func TestInvalidExperiments(t *testing.T) {
	_, err := (&Experiment{}).Run(t.Context())
	assert.ErrorContains(t, err, "at least one of each")
	invalid := testDay(1)
	invalid.Groups[0].Model.Slots = 0
	_, err = (&Experiment{Days: []Settings{invalid}, Variants: []Variant{{Name: "v"}}, Seeds: firstSeeds(2)}).Run(t.Context())
	assert.ErrorContains(t, err, "variant v, seed")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = (&Experiment{Days: []Settings{testDay(1)}, Variants: []Variant{{Name: "v"}}, Seeds: firstSeeds(50)}).Run(ctx)
	assert.ErrorIs(t, err, context.Canceled)
}

// Compares the program's decisions with the baselines, on a day with troubles and a load close to the engines'
// capacity.
func TestBaselines(t *testing.T) {
	d := testDay(40)
	d.Duration, d.ListDelay = 15, 0.2
	d.Troubles = []Trouble{{Kind: Pause, At: 3, Duration: 3, Group: 1, EngineCount: 1}, {Kind: Die, At: 6, Duration: 4, Group: 0, EngineCount: 1},
		{Kind: Slow, At: 8, Duration: 4, Group: 1, FirstEngine: 2, EngineCount: 1, Slowdown: 6}}
	x := &Experiment{Days: []Settings{d}, Seeds: firstSeeds(6), Variants: []Variant{{Name: "decide"}}}
	for b := Random; int(b) < baselineCount; b++ {
		x.Variants = append(x.Variants, Variant{b.String(), func(s *Settings) { s.Baseline = b }})
	}
	results, err := x.Run(t.Context())
	require.NoError(t, err)
	for v, name := range results.Variants {
		for _, r := range results.Results[0][v] {
			assert.Equal(t, r.Completions, r.Finished+r.RateLimited+r.Aborted, name)
			assert.Zero(t, r.Unanswered+r.DuplicateAnswers+r.LateAnswers, name)
		}
	}
	for _, difference := range results.Compare((*Result).Score) {
		t.Logf("%+v", difference)
		assert.Negative(t, difference.High, "%s is worse than decide", difference.Variant)
	}
}
