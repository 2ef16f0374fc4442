package lab

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"
)

// Variant is one way to set a day.
type Variant struct {
	Name  string
	Apply func(*Settings) // nil: the day as it is
}

// Experiment plays variants of days with seeds. The first variant is what the others are compared to.
type Experiment struct {
	Days     []Settings
	Variants []Variant
	Seeds    []uint64
	Workers  int // days at once, 0 for one a core
}

// Outcome is the results of an experiment, by day, variant and seed.
type ExperimentResults struct {
	Variants []string
	Results  [][][]*Result
}

// Run plays an experiment. The result does not depend on how many days are played at once. Errors tell the day.
func (x *Experiment) Run(ctx context.Context) (*ExperimentResults, error) {
	if len(x.Days) == 0 || len(x.Variants) == 0 || len(x.Seeds) == 0 {
		return nil, fmt.Errorf("lab: an experiment of %d days, %d variants, %d seeds: wanted one of each at least", len(x.Days), len(x.Variants), len(x.Seeds))
	}
	o := &ExperimentResults{}
	type task struct{ day, variant, seed int }
	tasks := make(chan task)
	for _, v := range x.Variants {
		o.Variants = append(o.Variants, v.Name)
	}
	for range x.Days {
		by := make([][]*Result, len(x.Variants))
		for v := range by {
			by[v] = make([]*Result, len(x.Seeds))
		}
		o.Results = append(o.Results, by)
	}
	workers := x.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for k := range tasks {
				s := x.Days[k.day]
				s.Groups, s.Loads = slices.Clone(s.Groups), slices.Clone(s.Loads)
				s.Decide.Workloads = slices.Clone(s.Decide.Workloads)
				if change := x.Variants[k.variant].Apply; change != nil {
					change(&s)
				}
				s.Seed = x.Seeds[k.seed]
				r, err := Run(s)
				if err != nil {
					stop(fmt.Errorf("lab: day %d, variant %s, seed %d: %w", k.day, x.Variants[k.variant].Name, s.Seed, err))
					return
				}
				o.Results[k.day][k.variant][k.seed] = r // each task has its own place
			}
		})
	}
send:
	for d := range x.Days {
		for v := range x.Variants {
			for s := range x.Seeds {
				select {
				case tasks <- task{d, v, s}:
				case <-ctx.Done():
					break send
				}
			}
		}
	}
	close(tasks)
	all.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return o, nil
}

// Difference is how a figure of a variant differs from that of the first, over days and seeds in pairs.
type Difference struct {
	Variant   string
	Mean      float64
	Low, High float64 // 95% interval, by bootstrap over pairs
	Pairs     int
	Distinct  bool // the interval has no 0 in it: else it may be noise
}

// bootstraps is how many times pairs are drawn anew.
const bootstrapSamples = 4000

// Compare tells the differences of a figure, such as (*Result).Score. Chance for the bootstrap is of a fixed seed,
// so that the same results give the same intervals.
func (o *ExperimentResults) Compare(figure func(*Result) float64) []Difference {
	var all []Difference
	for v := 1; v < len(o.Variants); v++ {
		var pairs []float64
		for _, by := range o.Results {
			for s := range by[v] {
				pairs = append(pairs, figure(by[v][s])-figure(by[0][s]))
			}
		}
		all = append(all, NewDifference(o.Variants[v], pairs))
	}
	return all
}

// Differ is the difference that pairs tell.
func NewDifference(variant string, pairs []float64) Difference {
	d := Difference{Variant: variant, Mean: stat.Mean(pairs, nil), Pairs: len(pairs)}
	d.Low, d.High = confidenceInterval(pairs)
	d.Distinct = len(pairs) >= minPairs && (d.Low > 0 || d.High < 0)
	return d
}

// fewest pairs from which anything may be told: of five that differ by chance alone, all do in the same direction
// once in sixteen times.
const minPairs = 6

// interval is the 95% percentile bootstrap interval of the mean (Efron and Tibshirani, 1993).
func confidenceInterval(pairs []float64) (low, high float64) {
	if len(pairs) < 2 {
		return math.Inf(-1), math.Inf(1)
	}
	r := rand.New(rand.NewPCG(1, 95))
	means := make([]float64, bootstrapSamples)
	for i := range means {
		sum := 0.0
		for range pairs {
			sum += pairs[r.IntN(len(pairs))]
		}
		means[i] = sum / float64(len(pairs))
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
