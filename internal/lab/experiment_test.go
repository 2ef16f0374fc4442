package lab

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func seeds(n int) (all []uint64) {
	for i := range n {
		all = append(all, uint64(i+1))
	}
	return all
}

func TestExperimentTellsADifferenceFromNoise(t *testing.T) {
	d := day(40)
	d.Duration = 10
	x := &Experiment{Days: []Settings{d}, Seeds: seeds(8), Variants: []Variant{{Name: "as it is"}, {Name: "the same"},
		{Name: "half of the readers", Apply: func(s *Settings) { s.Groups[0].Count /= 2 }}}}
	o, err := x.Run(t.Context())
	require.NoError(t, err)
	all := o.Compare((*Result).Score)
	require.Len(t, all, 2)
	t.Logf("%+v", all)
	assert.False(t, all[0].Distinct)
	assert.Zero(t, all[0].Mean, "paired: the same seeds")
	assert.True(t, all[1].Distinct)
	assert.Negative(t, all[1].High)
	assert.Equal(t, 2, x.Days[0].Groups[0].Count/2, "the day itself is left as it is")

	x.Workers = 1
	again, err := x.Run(t.Context())
	require.NoError(t, err)
	assert.Equal(t, o, again, "however many days are played at once")
}

func TestIntervalHoldsTheMeanAsOftenAsItSays(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	held := 0
	const tries = 200
	for range tries {
		pairs := make([]float64, 30)
		for i := range pairs {
			pairs[i] = 1 + r.NormFloat64()
		}
		if low, high := confidenceInterval(pairs); low <= 1 && 1 <= high {
			held++
		}
	}
	assert.InDelta(t, 0.95, float64(held)/tries, 0.05)
}

func TestExperimentsThatCannotBe(t *testing.T) {
	_, err := (&Experiment{}).Run(t.Context())
	assert.ErrorContains(t, err, "wanted one of each")
	bad := day(1)
	bad.Groups[0].Model.Slots = 0
	_, err = (&Experiment{Days: []Settings{bad}, Variants: []Variant{{Name: "v"}}, Seeds: seeds(2)}).Run(t.Context())
	assert.ErrorContains(t, err, "variant v, seed")
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_, err = (&Experiment{Days: []Settings{day(1)}, Variants: []Variant{{Name: "v"}}, Seeds: seeds(50)}).Run(ctx)
	assert.ErrorIs(t, err, context.Canceled)
}

// The program's decisions against the baselines, on a troubled day near its engines' capacity.
func TestBaselines(t *testing.T) {
	d := day(40)
	d.Duration, d.ListDelay = 15, 0.2
	d.Troubles = []Trouble{{Kind: Pause, At: 3, Duration: 3, Group: 1, EngineCount: 1}, {Kind: Die, At: 6, Duration: 4, Group: 0, EngineCount: 1},
		{Kind: Slow, At: 8, Duration: 4, Group: 1, FirstEngine: 2, EngineCount: 1, Slowdown: 6}}
	x := &Experiment{Days: []Settings{d}, Seeds: seeds(6), Variants: []Variant{{Name: "decide"}}}
	for b := Random; int(b) < baselineCount; b++ {
		x.Variants = append(x.Variants, Variant{b.String(), func(s *Settings) { s.Baseline = b }})
	}
	o, err := x.Run(t.Context())
	require.NoError(t, err)
	for v, name := range o.Variants {
		for _, r := range o.Results[0][v] {
			assert.Equal(t, r.Completions, r.Finished+r.RateLimited+r.Aborted, name)
			assert.Zero(t, r.Unanswered+r.DuplicateAnswers+r.LateAnswers, name)
		}
	}
	for _, c := range o.Compare((*Result).Score) {
		t.Logf("%+v", c)
		assert.Negative(t, c.High, "%s is worse than decide", c.Variant)
	}
}
