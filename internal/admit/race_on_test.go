//go:build race

package admit

// floodSize is smaller where each step costs ten times as much.
const floodSize = 1_000_000
