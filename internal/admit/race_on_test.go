//go:build race

package admit

// floodAddresses is smaller under the race detector, where each step costs ten times as much.
const floodAddresses = 1_000_000
