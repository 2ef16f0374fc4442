// Command cherryhub is the program for operators: it runs a router or stand-in engines, runs scripted days, simulations,
// benchmarks and fault tests, and checks records and settings. It has no routing logic of its own.
//
// Exit codes: 0 success; 1 a rule was violated, a check failed or a component failed; 2 wrong usage or invalid settings.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// usageError marks wrong usage or invalid settings, for exit code 2.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// errCheckFailed is returned after a failed check has been reported in the output. It only sets the exit code.
var errCheckFailed = errors.New("check failed")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	root := &cobra.Command{Use: "cherryhub", Short: "A router for language-model serving, reads and writes on separate engines",
		SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(demoCommand(), serveCommand(), runCommand(), enginesCommand(), dayCommand(), checkCommand(), benchCommand(), floodCommand(), soakCommand(), labCommand(), configCommand(), peersCommand(), dutiesCommand(), admissionCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.SetArgs(args)
	err := root.Execute()
	var usageErr usageError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errCheckFailed):
		return 1
	case errors.As(err, &usageErr):
		fmt.Fprintln(os.Stderr, "cherryhub:", err)
		return 2
	}
	fmt.Fprintln(os.Stderr, "cherryhub:", err)
	if isCobraUsageError(err) {
		return 2
	}
	return 1
}
