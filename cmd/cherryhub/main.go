// Command cherryhub is the operators' program: it serves as a router, starts stand-in engines, plays scripted
// days and checks records and settings. It decides nothing.
//
// Exit codes: 0 good; 1 a rule is broken, a check failed or a part failed; 2 bad use or bad settings.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// usage marks an error of use or settings.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// errBroken is told already: only the exit code is left to say.
var errCheckFailed = errors.New("broken")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	root := &cobra.Command{Use: "cherryhub", Short: "A router for language-model serving, reads and writes on separate engines",
		SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(demoCommand(), serveCommand(), runCommand(), enginesCommand(), dayCommand(), checkCommand(), benchCommand(), floodCommand(), soakCommand(), labCommand(), configCommand(), peersCommand(), dutiesCommand(), admissionCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.SetArgs(args)
	err := root.Execute()
	var bad usageError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errCheckFailed):
		return 1
	case errors.As(err, &bad):
		fmt.Fprintln(os.Stderr, "cherryhub:", err)
		return 2
	}
	fmt.Fprintln(os.Stderr, "cherryhub:", err)
	if isCobraUsageError(err) {
		return 2
	}
	return 1
}
