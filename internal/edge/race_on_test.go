//go:build race

package edge

// propertyChecks is the number of sequences checked per property. It is lower under the race detector, where a sequence takes ten times
// as long; these runs look for data races.
const propertyChecks = "12"
