//go:build !race

package admit

// floodSize is how many addresses come in the test of memory.
const floodSize = 10_000_000
