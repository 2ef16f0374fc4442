package emulate

import (
	"flag"
	"os"
	"testing"
)

// The random operations are the same in each run unless -rapid.seed is given, so that CI results are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
