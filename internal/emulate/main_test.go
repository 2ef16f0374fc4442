package emulate

import (
	"flag"
	"os"
	"testing"
)

// The random steps are the same each time unless -rapid.seed says otherwise, so that CI's verdict is too.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
