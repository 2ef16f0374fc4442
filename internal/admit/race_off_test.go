//go:build !race

package admit

// floodAddresses is the number of addresses in TestMemoryBoundedOverMillionsOfAddresses.
const floodAddresses = 10_000_000
