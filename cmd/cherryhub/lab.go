package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"cherryhub/internal/config"
	"cherryhub/internal/lab"
	pb "cherryhub/proto"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Run simulated experiments in virtual time"}
	var asJSON bool
	var workers int
	var saveFile string
	run := &cobra.Command{Use: "run EXPERIMENT", Short: "Run all combinations of days, variants and seeds, and compare each variant with the first", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			x := &pb.Experiment{}
			if err := loadSettings(args[0], "", x); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			experiment := config.LabExperiment(x)
			experiment.Workers = workers
			results, err := experiment.Run(ctx)
			if err != nil {
				return err
			}
			if saveFile != "" {
				if err := config.SaveResults(saveFile, config.LabResults(x, results)); err != nil {
					return err
				}
			}
			return printExperiment(os.Stdout, results, asJSON)
		}}
	run.Flags().StringVar(&saveFile, "save", "", "save the results to this file, for lab compare")
	run.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	run.Flags().IntVar(&workers, "workers", 0, "parallel simulations, 0 for one per core")
	compare := &cobra.Command{Use: "compare A B", Short: "Compare saved results: the same days, variants and seeds in B with those in A", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var saved [2]*pb.LabResults
			for i, file := range args {
				var err error
				if saved[i], err = config.LoadResults(file); err != nil {
					return usageError{err}
				}
			}
			differences, err := config.CompareResults(saved[0], saved[1])
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintf(w, "A was made by %s, B by %s\nvariant\tscore, B to A\t95%%\tpairs\t\n", orUnknown(saved[0].GetRevision()), orUnknown(saved[1].GetRevision()))
			for _, d := range differences {
				note := ""
				if !d.Distinct {
					note = "may be noise"
				}
				fmt.Fprintf(w, "%s\t%+.3f\t%+.3f to %+.3f\t%d\t%s\n", d.Variant, d.Mean, d.Low, d.High, d.Pairs, note)
			}
			return w.Flush()
		}}
	c.AddCommand(run, compare)
	return c
}

func orUnknown(revision string) string {
	if revision == "" {
		return "an unknown revision"
	}
	return revision
}

// labRow has the totals of one variant over all days and seeds.
type labRow struct {
	Variant     string          `json:"variant"`
	Score       float64         `json:"score"`
	TTFTP50     float64         `json:"ttft_p50_s"`
	TTFTP99     float64         `json:"ttft_p99_s"`
	Completions int             `json:"completions"`
	Finished    int             `json:"finished"`
	RateLimited int             `json:"rate_limited"`
	Aborted     int             `json:"aborted"`
	Lost        int             `json:"lost"`
	Compared    *lab.Difference `json:"score_compared_to_first,omitempty"`
}

func printExperiment(out io.Writer, results *lab.ExperimentResults, asJSON bool) error {
	differences := results.Compare((*lab.Result).Score)
	var rows []labRow
	for v, name := range results.Variants {
		row := labRow{Variant: name}
		ttft := hdrhistogram.New(1, 3_600_000_000, 3)
		runs := 0
		for _, day := range results.Results {
			for _, r := range day[v] {
				if r.Unanswered+r.DuplicateAnswers+r.LateAnswers > 0 {
					return fmt.Errorf("lab: variant %s violates a rule: %d completions have no final answer, %d have two, %d have a late one", name, r.Unanswered, r.DuplicateAnswers, r.LateAnswers)
				}
				runs++
				row.Score += r.Score()
				row.Completions += r.Completions
				row.Finished += r.Finished
				row.RateLimited += r.RateLimited
				row.Aborted += r.Aborted
				row.Lost += r.Lost
				ttft.Merge(r.TTFT)
			}
		}
		row.Score /= float64(runs)
		row.TTFTP50, row.TTFTP99 = float64(ttft.ValueAtQuantile(50))/1e6, float64(ttft.ValueAtQuantile(99))/1e6
		if v > 0 {
			row.Compared = &differences[v-1]
		}
		rows = append(rows, row)
	}
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(rows)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tscore\tcompared to the first (95%)\tttft p50\tp99\tcompletions\tfinished\trate-limited\taborted\tlost")
	for _, r := range rows {
		compared := "-"
		if d := r.Compared; d != nil {
			compared = fmt.Sprintf("%+.3f (%+.3f to %+.3f)", d.Mean, d.Low, d.High)
			if !d.Distinct {
				compared += ", may be noise"
			}
		}
		fmt.Fprintf(w, "%s\t%.3f\t%s\t%.3f s\t%.3f s\t%d\t%d\t%d\t%d\t%d\n", r.Variant, r.Score, compared, r.TTFTP50, r.TTFTP99,
			r.Completions, r.Finished, r.RateLimited, r.Aborted, r.Lost)
	}
	fmt.Fprintln(w, "\nSimulated in virtual time, without engines: see docs/emulator.md.")
	return w.Flush()
}
