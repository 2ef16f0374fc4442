//go:build race

package edge

// sequences of each property are fewer where each costs ten times as much: here it is for what goroutines share.
const sequences = "12"
