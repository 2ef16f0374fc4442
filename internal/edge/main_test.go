package edge

import (
	"flag"
	"os"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// The random sequences are the same in each run unless -rapid.seed is given, so that CI results are reproducible.
// Hertz's clock for the Date header runs for the whole process, so it is started outside of any synctest bubble.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": propertyChecks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	protocol.ServerDateOnce.Do(protocol.UpdateServerDate)
	os.Exit(m.Run())
}
