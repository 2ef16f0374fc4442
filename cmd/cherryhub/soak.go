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

// soakCommand plays seeded faults before router processes of this very program.
func soakCommand() *cobra.Command {
	var o soak.Options
	var faults []string
	var asJSON bool
	c := &cobra.Command{Use: "soak", Short: "Play seeded faults before router processes and judge them, with stand-in engines and clients", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("soak: %w", err)
			}
			if len(o.Program) == 0 {
				o.Program = []string{self}
			}
			o.Program = append(o.Program, "run")
			for _, f := range faults {
				o.Faults = append(o.Faults, soak.Fault(f))
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runSoak(ctx, o, asJSON, os.Stdout)
		}}
	f := c.Flags()
	f.Uint64Var(&o.FirstSeed, "seed", 1, "the first seed")
	f.IntVar(&o.Seeds, "seeds", 1, fmt.Sprintf("how many seeds, up to %d", soak.MaxSeeds))
	f.IntVar(&o.Parallel, "parallel", 1, fmt.Sprintf("seeds at once, up to %d", soak.MaxParallel))
	f.StringSliceVar(&faults, "fault", nil, "classes of fault in place of those that the seeds draw")
	f.StringArrayVar(&o.Program, "program", nil, "the router's program in place of this one")
	f.BoolVar(&asJSON, "json", false, "print the sum as JSON")
	f.StringVar(&o.Dir, "dir", "", "keep the routers' logs in this directory")
	return c
}

// playSoak plays and prints a line a seed, the timeline of a broken rule, and the sum.
func runSoak(ctx context.Context, o soak.Options, asJSON bool, out io.Writer) error {
	var sum soak.Summary
	err := soak.Run(ctx, o, func(v *soak.Result) {
		sum.Add(v)
		fmt.Fprintf(out, "seed %d: %v, %d routers, deadlines to %v: %d requests, %d served, %d attempts, %d breaks\n", v.Scenario.Seed,
			v.Scenario.Faults, v.Scenario.Routers, v.Scenario.ClientTimeout, v.Requests, v.Served, v.Attempts, len(v.Violations))
		for _, b := range v.Violations {
			fmt.Fprintf(out, "  broken: %s: %s: %s\n", b.Rule, b.ID, b.Detail)
		}
		if v.Err != nil {
			fmt.Fprintf(out, "  not played: %v\n", v.Err)
		}
		if v.Err != nil || len(v.Violations) > 0 {
			fmt.Fprintf(out, "%s  again: cherryhub soak --seed %d%s\n", v.Timeline, v.Scenario.Seed, faultFlags(o.Faults))
		}
	})
	if errors.Is(err, soak.ErrUnknownFault) || errors.Is(err, soak.ErrSeedCount) || errors.Is(err, soak.ErrParallel) || errors.Is(err, soak.ErrProgram) {
		return usageError{err}
	}
	if err != nil {
		return err
	}
	if err := printSummary(out, &sum, asJSON); err != nil {
		return err
	}
	if !sum.Passed() {
		return errCheckFailed
	}
	return nil
}

// printSum prints what a run came to, in a line.
func printSummary(out io.Writer, sum *soak.Summary, asJSON bool) error {
	if !asJSON {
		_, err := fmt.Fprintln(out, sum)
		return err
	}
	if err := json.NewEncoder(out).Encode(sum); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}

// faultFlags are the flags that name these classes again.
func faultFlags(faults []soak.Fault) string {
	var flags strings.Builder
	for _, f := range slices.Sorted(slices.Values(faults)) {
		flags.WriteString(" --fault " + string(f))
	}
	return flags.String()
}
