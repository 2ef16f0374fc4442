package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cherryhub/internal/logwriter"
	"cherryhub/internal/platform/service"
)

// runCommand runs a router on the deployment platform, which configures it by environment variables and a file.
func runCommand() *cobra.Command {
	return &cobra.Command{Use: "run", Short: "Run a router on the platform, configured by EDGE_CONFIG, until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := make(chan os.Signal, 8)
			signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
			c, err := service.Load(os.Getenv)
			if err != nil {
				return usageError{err}
			}
			service.ApplyLimits(c)
			// Standard error is a pipe to the platform. A reader that stalls or exits must not block or end the router.
			signal.Ignore(syscall.SIGPIPE)
			log, logs := logwriter.Start(os.Stderr, service.LogHandler)
			defer logs.Close()
			log = log.With("router", c.Name)
			r, err := service.Start(c, log)
			if err != nil {
				return err
			}
			for {
				select {
				case err := <-r.Errors():
					return errors.Join(err, r.Stop(context.Background()))
				case s := <-signals:
					if s != syscall.SIGHUP {
						return r.Stop(context.Background())
					}
					if config, err := service.Load(os.Getenv); err != nil {
						log.Error("reload failed: keeping the current configuration", "err", err)
					} else {
						r.Reload(config)
					}
				}
			}
		}}
}
