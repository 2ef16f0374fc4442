package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"cherryhub/internal/bench"
	"cherryhub/internal/door"
)

func benchCommand() *cobra.Command {
	var o bench.Options
	var asEngines, list, asProxy string
	var engines []string
	c := &cobra.Command{Use: "bench", Short: "Measure a router beside a plain reverse proxy, with stand-in engines", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			switch {
			case asEngines != "":
				return bench.ServeEngines(asEngines, list)
			case asProxy != "":
				return bench.ServeProxy(asProxy, engines)
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			var err error
			if o.Executable, err = os.Executable(); err != nil {
				return fmt.Errorf("bench: %w", err)
			}
			o.Logf = func(format string, a ...any) { fmt.Fprintf(os.Stderr, format+"\n", a...) }
			sides, err := bench.Run(ctx, o)
			if err != nil {
				return err
			}
			bench.Print(os.Stdout, sides)
			return nil
		}}
	f := c.Flags()
	f.IntVar(&o.Rounds, "rounds", 3, "rounds of router and proxy in turn")
	f.DurationVar(&o.Duration, "length", 5*time.Second, "length of one measurement")
	f.IntVar(&o.Clients, "clients", 64, "clients at saturation")
	f.IntVar(&o.OpenStreams, "streams", 10000, "streams open at once for memory, 0 for none")
	f.StringVar(&asEngines, "as-engines", "", "")
	f.StringVar(&list, "list", "", "")
	f.StringVar(&asProxy, "as-proxy", "", "")
	f.StringSliceVar(&engines, "engines", nil, "")
	for _, hidden := range []string{"as-engines", "list", "as-proxy", "engines"} {
		f.MarkHidden(hidden) //nolint:errcheck // the flag is there
	}
	return c
}

func floodCommand() *cobra.Command {
	var o bench.FloodOptions
	c := &cobra.Command{Use: "crowd", Short: "Measure admission while everybody connects at once, with stand-in engines and clients", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			var err error
			if o.Executable, err = os.Executable(); err != nil {
				return fmt.Errorf("crowd: %w", err)
			}
			if _, err := door.RaiseDescriptorLimit(); err != nil { // the flood's own
				return err
			}
			o.Logf = func(format string, a ...any) { fmt.Fprintf(os.Stderr, format+"\n", a...) }
			report, err := bench.RunFlood(ctx, o)
			if err != nil {
				return err
			}
			bench.PrintFlood(os.Stdout, report)
			return nil
		}}
	f := c.Flags()
	f.DurationVar(&o.Duration, "length", 5*time.Second, "length of one measurement")
	f.IntVar(&o.MaxDescriptors, "limit", 4096, "of the router's descriptors")
	f.IntVar(&o.FloodConns, "flood", 8000, "connections that the flood has under way at once")
	f.IntVar(&o.KnownClients, "known", 100, "known clients")
	f.IntVar(&o.IdleConns, "idle", 15000, "idle connections for memory, 0 for none")
	return c
}
