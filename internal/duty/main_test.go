package duty

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random steps, so that CI results are reproducible. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
