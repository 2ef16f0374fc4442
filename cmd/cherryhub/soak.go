package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"cherryhub/internal/platform/soak"
)

// soakCommand injects seeded faults around router processes, which run this executable by default.
func soakCommand() *cobra.Command {
	var o soak.Options
	var faults []string
	var asJSON bool
	c := &cobra.Command{Use: "soak", Short: "Inject seeded faults around router processes and check the rules, with stand-in engines and clients", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			executable, err := os.Executable()
			if err != nil {
				return fmt.Errorf("soak: %w", err)
			}
			if len(o.RouterCommand) == 0 {
				o.RouterCommand = []string{executable}
			}
			o.RouterCommand = append(o.RouterCommand, "run")
			for _, f := range faults {
				o.Faults = append(o.Faults, soak.Fault(f))
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runSoak(ctx, o, asJSON, os.Stdout)
		}}
	f := c.Flags()
	f.Uint64Var(&o.FirstSeed, "seed", 1, "first seed")
	f.IntVar(&o.Seeds, "seeds", 1, fmt.Sprintf("number of seeds, up to %d", soak.MaxSeeds))
	f.IntVar(&o.Parallel, "parallel", 1, fmt.Sprintf("seeds run in parallel, up to %d", soak.MaxParallel))
	f.StringSliceVar(&faults, "fault", nil, "fault classes to use instead of those drawn from the seeds")
	f.StringArrayVar(&o.RouterCommand, "program", nil, "router program to run instead of this one")
	f.BoolVar(&asJSON, "json", false, "print the summary as JSON")
	f.StringVar(&o.LogDir, "dir", "", "write the routers' logs to this directory")
	return c
}

// runSoak runs the seeds and prints one line per seed, the timeline of each run that failed, and the summary.
func runSoak(ctx context.Context, o soak.Options, asJSON bool, out io.Writer) error {
	var summary soak.Summary
	err := soak.Run(ctx, o, func(result *soak.Result) {
		summary.Add(result)
		fmt.Fprintf(out, "seed %d: %v, %d routers, deadlines to %v: %d requests, %d served, %d attempts, %d breaks\n", result.Scenario.Seed,
			result.Scenario.Faults, result.Scenario.Routers, result.Scenario.ClientTimeout, result.Requests, result.Served, result.Attempts, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Fprintf(out, "  broken: %s: %s: %s\n", violation.Rule, violation.ID, violation.Detail)
		}
		if result.Err != nil {
			fmt.Fprintf(out, "  not played: %v\n", result.Err)
		}
		if result.Err != nil || len(result.Violations) > 0 {
			fmt.Fprintf(out, "%s  again: cherryhub soak --seed %d%s\n", result.Timeline, result.Scenario.Seed, faultFlags(o.Faults))
		}
	})
	if errors.Is(err, soak.ErrUnknownFault) || errors.Is(err, soak.ErrSeedCount) || errors.Is(err, soak.ErrParallel) || errors.Is(err, soak.ErrProgram) {
		return usageError{err}
	}
	if err != nil {
		return err
	}
	if err := printSummary(out, &summary, asJSON); err != nil {
		return err
	}
	if !summary.Passed() {
		return errCheckFailed
	}
	return nil
}

// printSummary prints the summary of all seeds in one line.
func printSummary(out io.Writer, summary *soak.Summary, asJSON bool) error {
	if !asJSON {
		_, err := fmt.Fprintln(out, summary)
		return err
	}
	if err := json.NewEncoder(out).Encode(summary); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}

// faultFlags returns the command-line flags that select these fault classes.
func faultFlags(faults []soak.Fault) string {
	var flags strings.Builder
	for _, f := range slices.Sorted(slices.Values(faults)) {
		flags.WriteString(" --fault " + string(f))
	}
	return flags.String()
}
