package planner

import (
	"flag"
	"os"
	"testing"
)

// The random steps are the same each time unless -rapid.seed says otherwise, so that CI's verdict is too.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
