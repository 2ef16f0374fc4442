package bench

import (
	"fmt"
	"io"
	"slices"
)

func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}

// Print writes the figures of a router and a proxy as ratios and medians.
func Print(w io.Writer, sides []*Target) {
	a, b := sides[0], sides[1]
	ratio := func(x, y []float64) float64 {
		var all []float64
		for i := range min(len(x), len(y)) {
			all = append(all, x[i]/y[i])
		}
		return median(all)
	}
	fmt.Fprintf(w, "throughput, router over proxy: %.2f (%.0f and %.0f completions/s)\n", ratio(a.Throughput, b.Throughput), median(a.Throughput), median(b.Throughput))
	fmt.Fprintf(w, "CPU a completion, router over proxy: %.2f (%.0f and %.0f µs; %.0f µs of the router's in decide)\n", ratio(a.CPUSeconds, b.CPUSeconds),
		1e6*median(a.CPUSeconds), 1e6*median(b.CPUSeconds), 1e6*median(a.DecideSeconds))
	fmt.Fprintf(w, "first token at half of it: p50 %+.2f ms, p99 %+.2f ms over the proxy's %.2f and %.2f ms\n", 1e3*(median(a.FirstTokenP50)-median(b.FirstTokenP50)),
		1e3*(median(a.FirstTokenP99)-median(b.FirstTokenP99)), 1e3*median(b.FirstTokenP50), 1e3*median(b.FirstTokenP99))
	fmt.Fprintf(w, "memory an open stream: %.1f and %.1f KiB\n", a.BytesPerStream/1024, b.BytesPerStream/1024)
	fmt.Fprintf(w, "failed: %d and %d\n", a.Failed, b.Failed)
}
