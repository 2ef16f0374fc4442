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

// LabResults converts the results of an experiment to the form in which they are saved.
func LabResults(x *pb.Experiment, results *lab.ExperimentResults) *pb.LabResults {
	saved := &pb.LabResults{Experiment: x, Revision: proto.String(buildRevision())}
	for d, byVariant := range results.Results {
		for v, seeds := range byVariant {
			for s, r := range seeds {
				saved.Results = append(saved.Results, &pb.LabResult{Day: proto.String(x.GetDays()[d].GetName()), Variant: proto.String(results.Variants[v]),
					Seed: proto.Uint64(uint64(s + 1)), Score: proto.Float64(r.Score()), Completions: proto.Int64(int64(r.Completions)),
					Finished: proto.Int64(int64(r.Finished)), RateLimited: proto.Int64(int64(r.RateLimited)), Aborted: proto.Int64(int64(r.Aborted)),
					Lost: proto.Int64(int64(r.Lost)), TtftP50S: proto.Float64(float64(r.TTFT.ValueAtQuantile(50)) / 1e6),
					TtftP99S: proto.Float64(float64(r.TTFT.ValueAtQuantile(99)) / 1e6)})
			}
		}
	}
	return saved
}

// buildRevision returns the commit that this program was built from, with the suffix +changes if the working tree was
// modified.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	commit, suffix := "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			commit = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				suffix = "+changes"
			}
		}
	}
	return commit + suffix
}

// SaveResults writes results to a file atomically.
func SaveResults(file string, results *pb.LabResults) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(results)
	if err != nil {
		return fmt.Errorf("save results %s: %w", file, err)
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("save results %s: %w", file, err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("save results %s: %w", file, err)
	}
	if err := os.WriteFile(file+".new", compressed.Bytes(), 0o644); err != nil {
		return fmt.Errorf("save results: %w", err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		return fmt.Errorf("save results: %w", err)
	}
	return nil
}

// maxResultsBytes limits the decompressed size of a results file.
const maxResultsBytes = 256 << 20

// LoadResults reads a file written by SaveResults.
func LoadResults(file string) (*pb.LabResults, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("load results: %w", err)
	}
	defer f.Close()
	r, err := gzip.NewReader(f)
	if err != nil {
		return nil, FileError{File: file, Message: "not a results file written by lab run --save: " + err.Error()}
	}
	data, err := io.ReadAll(io.LimitReader(r, maxResultsBytes+1))
	if err == nil && len(data) > maxResultsBytes {
		err = fmt.Errorf("larger than %d bytes when decompressed", maxResultsBytes)
	}
	results := &pb.LabResults{}
	if err = errors.Join(err, proto.Unmarshal(data, results)); err != nil {
		return nil, FileError{File: file, Message: "not a results file written by lab run --save: " + err.Error()}
	}
	return results, nil
}

// CompareResults compares the scores in b with those in a, for each variant that both contain, over the days and seeds
// that both contain.
func CompareResults(a, b *pb.LabResults) ([]lab.Difference, error) {
	type key struct {
		day, variant string
		seed         uint64
	}
	scores := map[key]float64{}
	for _, r := range a.GetResults() {
		scores[key{r.GetDay(), r.GetVariant(), r.GetSeed()}] = r.GetScore()
	}
	var variants []string
	differences := map[string][]float64{}
	for _, r := range b.GetResults() {
		if score, ok := scores[key{r.GetDay(), r.GetVariant(), r.GetSeed()}]; ok {
			if differences[r.GetVariant()] == nil {
				variants = append(variants, r.GetVariant())
			}
			differences[r.GetVariant()] = append(differences[r.GetVariant()], r.GetScore()-score)
		}
	}
	if len(variants) == 0 {
		return nil, errors.New("the results have no day, variant and seed in common")
	}
	var compared []lab.Difference
	for _, v := range variants {
		compared = append(compared, lab.NewDifference(v, differences[v]))
	}
	return compared, nil
}
