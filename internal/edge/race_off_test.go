//go:build !race

package edge

// propertyChecks is the number of sequences checked per property.
const propertyChecks = "100"
