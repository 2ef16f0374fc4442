package admit

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of random cases, unless flags set them, so that CI results are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
