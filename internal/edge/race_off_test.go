//go:build !race

package edge

// sequences that are played for each property.
const sequences = "100"
