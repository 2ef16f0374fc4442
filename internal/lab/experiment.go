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

// Variant is one change to the settings of a day.
type Variant struct {
	Name  string
	Apply func(*Settings) // nil for the day unchanged
}

// Experiment runs each day with each variant and each seed. The other variants are compared with the first.
type Experiment struct {
	Days     []Settings
	Variants []Variant
	Seeds    []uint64
	Workers  int // days run in parallel, 0 for one per core
}

// ExperimentResults holds the results of an experiment by day, variant and seed.
type ExperimentResults struct {
	Variants []string
	Results  [][][]*Result
}

// Run runs an experiment. The results do not depend on the number of workers. Errors name the day, the variant and the
// seed.
func (x *Experiment) Run(ctx context.Context) (*ExperimentResults, error) {
	if len(x.Days) == 0 || len(x.Variants) == 0 || len(x.Seeds) == 0 {
		return nil, fmt.Errorf("lab: experiment has %d days, %d variants and %d seeds, want at least one of each", len(x.Days), len(x.Variants),
			len(x.Seeds))
	}
	results := &ExperimentResults{}
	type task struct{ day, variant, seed int }
	tasks := make(chan task)
	for _, v := range x.Variants {
		results.Variants = append(results.Variants, v.Name)
	}
	for range x.Days {
		byVariant := make([][]*Result, len(x.Variants))
		for v := range byVariant {
			byVariant[v] = make([]*Result, len(x.Seeds))
		}
		results.Results = append(results.Results, byVariant)
	}
	workers := x.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var workersDone sync.WaitGroup
	for range workers {
		workersDone.Go(func() {
			for t := range tasks {
				s := x.Days[t.day]
				s.Groups, s.Loads = slices.Clone(s.Groups), slices.Clone(s.Loads)
				s.Decide.Workloads = slices.Clone(s.Decide.Workloads)
				if change := x.Variants[t.variant].Apply; change != nil {
					change(&s)
				}
				s.Seed = x.Seeds[t.seed]
				r, err := Run(s)
				if err != nil {
					cancel(fmt.Errorf("lab: day %d, variant %s, seed %d: %w", t.day, x.Variants[t.variant].Name, s.Seed, err))
					return
				}
				results.Results[t.day][t.variant][t.seed] = r // each task has its own element
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
	workersDone.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return results, nil
}

// Difference is the difference in a metric between a variant and the first variant, over pairs of the same day and
// seed.
type Difference struct {
	Variant   string
	Mean      float64
	Low, High float64 // 95% confidence interval, by bootstrap over the pairs
	Pairs     int
	Distinct  bool // the interval does not contain 0; otherwise the difference may be noise
}

// bootstrapSamples is the number of bootstrap resamples.
const bootstrapSamples = 4000

// Compare returns the differences in a metric, such as (*Result).Score, of each variant to the first. The bootstrap has
// a fixed seed, so that the same results give the same intervals.
func (results *ExperimentResults) Compare(metric func(*Result) float64) []Difference {
	var differences []Difference
	for v := 1; v < len(results.Variants); v++ {
		var pairs []float64
		for _, byVariant := range results.Results {
			for s := range byVariant[v] {
				pairs = append(pairs, metric(byVariant[v][s])-metric(byVariant[0][s]))
			}
		}
		differences = append(differences, NewDifference(results.Variants[v], pairs))
	}
	return differences
}

// NewDifference computes the difference from the paired differences of a metric.
func NewDifference(variant string, pairs []float64) Difference {
	d := Difference{Variant: variant, Mean: stat.Mean(pairs, nil), Pairs: len(pairs)}
	d.Low, d.High = confidenceInterval(pairs)
	d.Distinct = len(pairs) >= minPairs && (d.Low > 0 || d.High < 0)
	return d
}

// minPairs is the fewest pairs from which a difference may be distinct: five pairs that differ by chance alone all have
// the same sign once in sixteen times.
const minPairs = 6

// confidenceInterval is the 95% percentile bootstrap interval of the mean (Efron and Tibshirani, 1993).
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
