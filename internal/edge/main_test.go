package edge

import (
	"flag"
	"os"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// The random steps are the same each time unless -rapid.seed says otherwise, so that CI's verdict is too. Hertz's
// clock of the date header runs for the whole process: it is started outside of any bubble of virtual time.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": sequences} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	protocol.ServerDateOnce.Do(protocol.UpdateServerDate)
	os.Exit(m.Run())
}
