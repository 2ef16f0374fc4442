// Package soak runs router processes under seeded faults and checks rules against what stand-in engines and clients recorded.
//
// A seed determines a scenario: a main class of faults, one or two other classes, the number of routers, the client timeouts and the
// times of the faults. Routers are processes of our own program; each engine is a stand-in behind a fault proxy. The checks use nothing
// that a router reports about itself. All servers are simulated: nothing here says how fast a real engine is. The command cherryhub soak
// runs it.
package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Options are the options of a run.
type Options struct {
	RouterCommand []string // command that starts a router configured by EDGE_CONFIG
	FirstSeed     uint64
	Seeds         int
	Faults        []Fault // replace those that the seeds select; empty: none are replaced
	Parallel      int     // scenarios that run at once
	LogDir        string  // for logs; empty: a temporary directory that is removed at the end
}

// The limits of a run.
const (
	MaxSeeds    = 1000
	MaxParallel = 8
)

// Errors of Options.Validate.
var (
	ErrUnknownFault = errors.New("unknown fault")
	ErrSeedCount    = fmt.Errorf("number of seeds must be from 1 to %d", MaxSeeds)
	ErrParallel     = fmt.Errorf("number of parallel scenarios must be from 1 to %d (each has up to %d routers)", MaxParallel, maxRouters)
	ErrProgram      = errors.New("router program is not executable")
)

// Validate returns an error if an option is invalid.
func (o *Options) Validate() error {
	if o.Seeds < 1 || o.Seeds > MaxSeeds {
		return fmt.Errorf("%w, not %d", ErrSeedCount, o.Seeds)
	}
	if o.Parallel < 1 || o.Parallel > MaxParallel {
		return fmt.Errorf("%w, not %d", ErrParallel, o.Parallel)
	}
	for _, f := range o.Faults {
		if !slices.Contains(Faults, f) {
			return fmt.Errorf("%w %q: must be one of %v", ErrUnknownFault, f, Faults)
		}
	}
	if len(o.RouterCommand) == 0 {
		return fmt.Errorf("%w: no program is given", ErrProgram)
	}
	if info, err := os.Stat(o.RouterCommand[0]); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("%w: %s", ErrProgram, o.RouterCommand[0])
	}
	return nil
}

// Result is the outcome of a scenario.
type Result struct {
	Scenario *Scenario
	Requests int
	Served   int
	Attempts int

	LongestHeld time.Duration // of something held while no attempt was running
	Violations  []Violation
	Timeline    string // of the first violation's request
	Err         error  // the scenario could not be run
}

// Run runs scenarios and calls onResult with each result, one at a time and in any order.
func Run(ctx context.Context, o Options, onResult func(*Result)) error {
	if err := o.Validate(); err != nil {
		return err
	}
	dir := o.LogDir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "cherryhub-soak-")
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		defer os.RemoveAll(tempDir)
		dir = tempDir
	}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var resultLock sync.Mutex // serializes calls of onResult
	for range o.Parallel {
		workers.Go(func() {
			for seed := range seeds {
				res := runSeed(ctx, &o, dir, seed)
				resultLock.Lock()
				onResult(res)
				resultLock.Unlock()
			}
		})
	}
	for n := range o.Seeds {
		select {
		case seeds <- o.FirstSeed + uint64(n):
		case <-ctx.Done():
		}
	}
	close(seeds)
	workers.Wait()
	return ctx.Err()
}

// runSeed runs the scenario of a seed and checks its record.
func runSeed(ctx context.Context, o *Options, dir string, seed uint64) *Result {
	s := NewScenario(seed, o.Faults...)
	res := &Result{Scenario: s}
	seedDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if res.Err = errors.Join(os.RemoveAll(seedDir), os.MkdirAll(seedDir, 0o700)); res.Err != nil {
		return res
	}
	rec, err := RunScenario(ctx, o.RouterCommand, seedDir, s)
	if res.Err = err; err != nil {
		return res
	}
	res.Requests = len(rec.Requests)
	for i := range rec.Requests {
		if rec.Requests[i].Complete && rec.Requests[i].Status == 200 {
			res.Served++
		}
	}
	for i := range rec.Calls {
		if isAttempt(&rec.Calls[i]) {
			res.Attempts++
		}
	}
	if res.Violations, res.LongestHeld = CheckRules(rec); len(res.Violations) > 0 {
		res.Timeline = timeline(rec, &res.Violations[0], seedDir)
	}
	return res
}

// maxTimelineLines limits the lines of each router's log in a timeline.
const maxTimelineLines = 60

// timeline describes the events of a run and everything recorded about the request of a violation.
func timeline(rec *Record, v *Violation, dir string) string {
	var out strings.Builder
	seconds := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(rec.Started).Seconds())
	}
	for _, e := range rec.Scenario.Events {
		fmt.Fprintf(&out, "  event %.3f %s engine %s router %d for %.3f variant %d\n", e.At.Seconds(), e.Fault, engines[e.Engine].name, e.Router, e.Duration.Seconds(), e.Variant)
	}
	for _, proc := range rec.Processes {
		fmt.Fprintf(&out, "  router %d started %s SIGTERM %s SIGKILL %s ended %s\n", proc.Router, seconds(proc.Started), seconds(proc.Terminated), seconds(proc.Killed), seconds(proc.Ended))
	}
	for _, req := range rec.Requests {
		if req.ID == v.ID {
			fmt.Fprintf(&out, "  client of router %d: %s sent %s, timeout %v, first byte %s, left %s, status %d, complete %v, resent %v, err %v\n",
				req.Router, req.Class, seconds(req.Sent), req.Timeout, seconds(req.FirstByte), seconds(req.Left), req.Status, req.Complete, req.Resent, req.Err)
		}
	}
	for _, c := range rec.Calls {
		if c.ID == v.ID {
			fmt.Fprintf(&out, "  %s at %s, connection %d: received %s, ended %s, not run %v\n", c.Kind, c.Engine, c.ConnNumber, seconds(c.Received), seconds(c.Ended), c.NotRun)
		}
	}
	for _, h := range rec.Holds {
		if h.ID == v.ID {
			fmt.Fprintf(&out, "  held at %s from %s to %s\n", h.Engine, seconds(h.From), seconds(h.To))
		}
	}
	for n := range rec.Scenario.Routers {
		for _, line := range logLines(filepath.Join(dir, fmt.Sprintf("r%d.log", n)), v.ID) {
			fmt.Fprintf(&out, "  r%d %s\n", n, line)
		}
	}
	return out.String()
}

// logLines returns the lines of a router's log with an attribute whose value is the request ID.
func logLines(file, id string) (lines []string) {
	f, err := os.Open(file)
	if err != nil || id == "" {
		return nil
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan() && len(lines) < maxTimelineLines; {
		if line := in.Text(); strings.Contains(line+" ", "="+id+" ") {
			lines = append(lines, line)
		}
	}
	return lines
}
