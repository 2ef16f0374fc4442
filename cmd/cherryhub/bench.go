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
	c := &cobra.Command{Use: "bench", Short: "Benchmark a router against a plain reverse proxy, with stand-in engines", Args: cobra.NoArgs,
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
			targets, err := bench.Run(ctx, o)
			if err != nil {
				return err
			}
			bench.Print(os.Stdout, targets)
			return nil
		}}
	f := c.Flags()
	f.IntVar(&o.Rounds, "rounds", 3, "rounds, each measuring the router and the proxy")
	f.DurationVar(&o.Duration, "length", 5*time.Second, "duration of one measurement")
	f.IntVar(&o.Clients, "clients", 64, "concurrent clients in the saturation measurement")
	f.IntVar(&o.OpenStreams, "streams", 10000, "open streams in the memory measurement, 0 to skip it")
	f.StringVar(&asEngines, "as-engines", "", "")
	f.StringVar(&list, "list", "", "")
	f.StringVar(&asProxy, "as-proxy", "", "")
	f.StringSliceVar(&engines, "engines", nil, "")
	for _, name := range []string{"as-engines", "list", "as-proxy", "engines"} {
		f.MarkHidden(name) //nolint:errcheck // the flag is defined above
	}
	return c
}

func floodCommand() *cobra.Command {
	var o bench.FloodOptions
	c := &cobra.Command{Use: "crowd", Short: "Benchmark admission control under a flood of connections, with stand-in engines and clients", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			var err error
			if o.Executable, err = os.Executable(); err != nil {
				return fmt.Errorf("crowd: %w", err)
			}
			if _, err := door.RaiseDescriptorLimit(); err != nil { // for the flood's connections
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
	f.DurationVar(&o.Duration, "length", 5*time.Second, "duration of one measurement")
	f.IntVar(&o.MaxDescriptors, "limit", 4096, "descriptor limit of the router")
	f.IntVar(&o.FloodConns, "flood", 8000, "concurrent connections of the flood")
	f.IntVar(&o.KnownClients, "known", 100, "known clients")
	f.IntVar(&o.IdleConns, "idle", 15000, "idle connections in the memory measurement, 0 to skip it")
	return c
}
