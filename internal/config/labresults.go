package config

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"google.golang.org/protobuf/proto"

	"cherryhub/internal/lab"
	pb "cherryhub/proto"
)

// Results are an experiment's, to be kept.
func LabResults(x *pb.Experiment, o *lab.ExperimentResults) *pb.LabResults {
	all := &pb.LabResults{Experiment: x, Revision: proto.String(buildRevision())}
	for d, by := range o.Results {
		for v, seeds := range by {
			for s, r := range seeds {
				all.Results = append(all.Results, &pb.LabResult{Day: proto.String(x.GetDays()[d].GetName()), Variant: proto.String(o.Variants[v]),
					Seed: proto.Uint64(uint64(s + 1)), Score: proto.Float64(r.Score()), Completions: proto.Int64(int64(r.Completions)),
					Finished: proto.Int64(int64(r.Finished)), RateLimited: proto.Int64(int64(r.RateLimited)), Aborted: proto.Int64(int64(r.Aborted)),
					Lost: proto.Int64(int64(r.Lost)), TtftP50S: proto.Float64(float64(r.TTFT.ValueAtQuantile(50)) / 1e6),
					TtftP99S: proto.Float64(float64(r.TTFT.ValueAtQuantile(99)) / 1e6)})
			}
		}
	}
	return all
}

// revision is the commit that this program was built from, with a mark where files differed.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	found, changed := "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			found = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				changed = "+changes"
			}
		}
	}
	return found + changed
}

// SaveResults writes results to a file, whole or not at all.
func SaveResults(file string, all *pb.LabResults) error {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(all)
	if err != nil {
		return fmt.Errorf("save %s: %w", file, err)
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(text); err != nil {
		return fmt.Errorf("save %s: %w", file, err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("save %s: %w", file, err)
	}
	if err := os.WriteFile(file+".new", packed.Bytes(), 0o644); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

// resultsMost bounds a file of results once it is unpacked, in bytes.
const maxResultsBytes = 256 << 20

// LoadResults reads a file that SaveResults wrote.
func LoadResults(file string) (*pb.LabResults, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer f.Close()
	r, err := gzip.NewReader(f)
	if err != nil {
		return nil, FileError{File: file, Message: "no results of lab run --save: " + err.Error()}
	}
	text, err := io.ReadAll(io.LimitReader(r, maxResultsBytes+1))
	if err == nil && len(text) > maxResultsBytes {
		err = fmt.Errorf("longer than %d bytes unpacked", maxResultsBytes)
	}
	all := &pb.LabResults{}
	if err = errors.Join(err, proto.Unmarshal(text, all)); err != nil {
		return nil, FileError{File: file, Message: "no results of lab run --save: " + err.Error()}
	}
	return all, nil
}

// CompareResults tells how scores in b differ from those in a: for each variant that both have, over the days and
// seeds that both have.
func CompareResults(a, b *pb.LabResults) ([]lab.Difference, error) {
	type key struct {
		day, variant string
		seed         uint64
	}
	before := map[key]float64{}
	for _, r := range a.GetResults() {
		before[key{r.GetDay(), r.GetVariant(), r.GetSeed()}] = r.GetScore()
	}
	var variants []string
	pairs := map[string][]float64{}
	for _, r := range b.GetResults() {
		if was, there := before[key{r.GetDay(), r.GetVariant(), r.GetSeed()}]; there {
			if pairs[r.GetVariant()] == nil {
				variants = append(variants, r.GetVariant())
			}
			pairs[r.GetVariant()] = append(pairs[r.GetVariant()], r.GetScore()-was)
		}
	}
	if len(variants) == 0 {
		return nil, errors.New("the results have no day, variant and seed in common")
	}
	var all []lab.Difference
	for _, v := range variants {
		all = append(all, lab.NewDifference(v, pairs[v]))
	}
	return all, nil
}
