package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"cherryhub/deploy"
	"cherryhub/internal/config"
	"cherryhub/internal/memory"
	"cherryhub/internal/router"
	"cherryhub/internal/standin"
	"cherryhub/internal/telemetry"
	pb "cherryhub/proto"
)

// isCobraUsageError reports whether err is a usage error of cobra. These have no type and are recognised by their text.
func isCobraUsageError(err error) bool {
	for _, prefix := range [...]string{"unknown command", "unknown flag", "accepts ", "required flag", "requires "} {
		if strings.HasPrefix(err.Error(), prefix) {
			return true
		}
	}
	return false
}

// loadSettings reads a settings file into m, or the embedded example if file is empty.
func loadSettings(file, example string, m proto.Message) error {
	if file != "" {
		if err := config.Load(file, m); err != nil {
			return usageError{err}
		}
		return nil
	}
	text, err := fs.ReadFile(deploy.Files, example)
	if err != nil {
		return fmt.Errorf("embedded settings: %w", err)
	}
	return config.Parse(example, text, m)
}

// waitForSignal waits for an interrupt, SIGTERM or the error of a component on failed.
func waitForSignal(failed <-chan error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "serve --config FILE", Short: "Run a router until a signal", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			signal.Ignore(syscall.SIGPIPE) // the reader of its log may exit before it
			memory.TuneGC()
			err := router.Serve(ctx, file, os.Stderr)
			var fileErr config.FileError
			if errors.As(err, &fileErr) || errors.Is(err, fs.ErrNotExist) {
				return usageError{err}
			}
			return err
		}}
	c.Flags().StringVar(&file, "config", "", "settings file of the router, in protobuf text format")
	c.MarkFlagRequired("config") //nolint:errcheck // the flag is defined above
	return c
}

func enginesCommand() *cobra.Command {
	var file string
	var workloads []string
	c := &cobra.Command{Use: "engines --config FILE", Short: "Run stand-in engines and their list service until a signal", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			f := &pb.Fleet{}
			if err := loadSettings(file, "", f); err != nil {
				return err
			}
			var served []*pb.Workload
			for _, name := range workloads {
				served = append(served, &pb.Workload{Name: proto.String(name), Effect: pb.Effect_IDEMPOTENT.Enum()})
			}
			fleet, err := standin.Start(f, served, nil)
			if err != nil {
				return err
			}
			fmt.Printf("%v, list at %s\n", fleet, fleet.List.URL())
			return errors.Join(waitForSignal(nil), fleet.Close())
		}}
	c.Flags().StringVar(&file, "config", "", "settings file of the fleet, in protobuf text format")
	c.Flags().StringSliceVar(&workloads, "models", []string{"chat", "notes"}, "models that the engines serve")
	c.MarkFlagRequired("config") //nolint:errcheck // the flag is defined above
	return c
}

func demoCommand() *cobra.Command {
	return &cobra.Command{Use: "demo", Short: "Start stand-in engines and a router on free loopback ports", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, f := &pb.Router{}, &pb.Fleet{}
			if err := errors.Join(loadSettings("", "examples/router.textproto", r), loadSettings("", "examples/fleet.textproto", f)); err != nil {
				return err
			}
			f.ListListen = proto.String("127.0.0.1:0")
			fleet, err := standin.Start(f, r.GetWorkloads(), nil)
			if err != nil {
				return err
			}
			r.Listen, r.AdminListen = proto.String("127.0.0.1:0"), proto.String("")
			r.List = &pb.EngineList{Url: proto.String(fleet.List.URL())}
			started, err := router.Start(r, telemetry.NewLogger(os.Stderr, r.GetLog()))
			if err != nil {
				return errors.Join(err, fleet.Close())
			}
			fmt.Printf("%v and a router at http://%s. Try:\n\n  curl -N http://%s/v1/chat/completions -d "+
				`'{"model":"chat","stream":true,"messages":[{"role":"user","content":"Hello"}]}'`+"\n\n", fleet, started.Address(), started.Address())
			return errors.Join(waitForSignal(started.Errors()), started.Stop(), fleet.Close())
		}}
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check or print settings"}
	var kind string
	load := func(file string) (proto.Message, error) {
		m := map[string]proto.Message{"router": &pb.Router{}, "fleet": &pb.Fleet{}, "day": &pb.Day{}, "admission": &pb.Admission{}, "lab": &pb.Experiment{}}[kind]
		if m == nil {
			return nil, usageError{fmt.Errorf("--kind %q: must be router, fleet, day, admission or lab", kind)}
		}
		return m, loadSettings(file, "", m)
	}
	check := &cobra.Command{Use: "check FILE", Short: "Check a settings file", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := load(args[0]); err != nil {
				return err
			}
			fmt.Println(args[0] + ": good")
			return nil
		}}
	printCommand := &cobra.Command{Use: "print FILE", Short: "Print a settings file with all defaults filled in", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			m, err := load(args[0])
			if err != nil {
				return err
			}
			fmt.Print(config.Format(config.WithDefaults(m)))
			return nil
		}}
	c.PersistentFlags().StringVar(&kind, "kind", "router", "kind of settings in the file: router, fleet, day, admission or lab")
	c.AddCommand(check, printCommand)
	return c
}
