package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"cherryhub/internal/config"
	"cherryhub/internal/day"
	"cherryhub/internal/record"
	"cherryhub/internal/rules"
	pb "cherryhub/proto"
)

func dayCommand() *cobra.Command {
	var recordFile, logFile string
	var asJSON bool
	c := &cobra.Command{Use: "day FILE", Short: "Run a scripted day on loopback and check the rules", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d := &pb.Day{}
			if err := config.Load(args[0], d); err != nil {
				return usageError{err}
			}
			dir, err := os.MkdirTemp("", "cherryhub-day-")
			if err != nil {
				return fmt.Errorf("day: %w", err)
			}
			defer os.RemoveAll(dir)
			if recordFile == "" {
				recordFile = filepath.Join(dir, "record")
			}
			executable, err := os.Executable()
			if err != nil {
				return fmt.Errorf("day: %w", err)
			}
			o := day.Options{RouterCommand: []string{executable, "serve", "--config"}, WorkDir: dir, RecordPath: recordFile}
			if isTerminal(os.Stderr) {
				o.OnProgress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			}
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return usageError{fmt.Errorf("--logs: %w", err)}
				}
				defer f.Close()
				o.RouterLogs = f
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if err := day.Run(ctx, d, o); err != nil {
				return err
			}
			return checkRecord(os.Stdout, recordFile, asJSON)
		}}
	c.Flags().StringVar(&recordFile, "record", "", "write the record to this file")
	c.Flags().StringVar(&logFile, "logs", "", "write the routers' logs to this file")
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return c
}

func checkCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "check RECORD", Short: "Check the rules on an existing record", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return checkRecord(os.Stdout, args[0], asJSON) }}
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return c
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// checkRecord checks the rules on a record and prints the report. It returns errCheckFailed if a rule is violated.
func checkRecord(w io.Writer, file string, asJSON bool) error {
	entries, err := record.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return usageError{err}
	}
	if err != nil {
		return err
	}
	report, err := rules.Check(entries)
	if err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(report); err != nil {
			return err
		}
	} else if err := printTable(w, report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errCheckFailed
	}
	return nil
}

// maxViolationsShown is how many violations of one rule the table shows; JSON has all.
const maxViolationsShown = 5

func printTable(w io.Writer, r *rules.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "day %s\ttaken\tfinished\trate-limited\taborted\tleft\tlate\tvalue served\n", r.Day)
	for _, workload := range r.Workloads {
		share := "-"
		if workload.OfferedValue > 0 {
			share = fmt.Sprintf("%.1f%% of %.0f", 100*workload.ServedValue/workload.OfferedValue, workload.OfferedValue)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", workload.Name, workload.Accepted, workload.Finished, workload.RateLimited, workload.Aborted, workload.ClientLeft, workload.Late, share)
	}
	fmt.Fprintln(t, strings.Repeat("\t", 1))
	for _, rule := range rules.AllRules() {
		verdict := "kept"
		if !r.Passed(rule) {
			verdict = "BROKEN"
		}
		fmt.Fprintf(t, "rule: %v\t%s\t%d checked\n", rule, verdict, r.Checked[rule])
		shown := 0
		for _, violation := range r.Violations {
			if violation.Rule == rule && shown < maxViolationsShown {
				fmt.Fprintf(t, "  %.3f s, %s:\t%s\n", violation.At, violation.Exchange, violation.Message)
				shown++
			}
		}
	}
	return t.Flush()
}
