package bench

import (
	"fmt"
	"io"
	"slices"
)

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Print writes the results of a router and a proxy as ratios and medians.
func Print(w io.Writer, targets []*Target) {
	router, proxy := targets[0], targets[1]
	ratio := func(x, y []float64) float64 {
		var ratios []float64
		for i := range min(len(x), len(y)) {
			ratios = append(ratios, x[i]/y[i])
		}
		return median(ratios)
	}
	fmt.Fprintf(w, "throughput, router over proxy: %.2f (%.0f and %.0f completions/s)\n", ratio(router.Throughput, proxy.Throughput), median(router.Throughput), median(proxy.Throughput))
	fmt.Fprintf(w, "CPU per completion, router over proxy: %.2f (%.0f and %.0f µs; %.0f µs of the router's in decide)\n", ratio(router.CPUSeconds, proxy.CPUSeconds),
		1e6*median(router.CPUSeconds), 1e6*median(proxy.CPUSeconds), 1e6*median(router.DecideSeconds))
	fmt.Fprintf(w, "first token at half that throughput: p50 %+.2f ms, p99 %+.2f ms over the proxy's %.2f and %.2f ms\n", 1e3*(median(router.FirstTokenP50)-median(proxy.FirstTokenP50)),
		1e3*(median(router.FirstTokenP99)-median(proxy.FirstTokenP99)), 1e3*median(proxy.FirstTokenP50), 1e3*median(proxy.FirstTokenP99))
	fmt.Fprintf(w, "memory per open stream: %.1f and %.1f KiB\n", router.BytesPerStream/1024, proxy.BytesPerStream/1024)
	fmt.Fprintf(w, "failed: %d and %d\n", router.Failed, proxy.Failed)
}
