// Package soak plays seeded faults before real router processes and judges them by what stand-in engines and clients saw.
//
// A seed draws a scenario: one class of fault in turn with one or two others, the number of routers, the deadlines and the
// times. Routers are processes of our own program; each engine is a stand-in behind a fault proxy. The verdict uses no word of
// a router. All servers are simulated: nothing here says how fast a real engine is. cmd/cherryhub soak calls it.
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

// Options of a run.
type Options struct {
	Program   []string // starts a router by EDGE_CONFIG
	FirstSeed uint64   // the first seed
	Seeds     int
	Faults    []Fault // beside the first, in place of those that seeds draw; empty: as drawn
	Parallel  int     // scenarios at once
	Dir       string  // for logs; empty: a temporary one, removed at the end
}

// The bounds of a run.
const (
	MaxSeeds    = 1000
	MaxParallel = 8
)

// Errors of options.
var (
	ErrUnknownFault = errors.New("unknown fault")
	ErrSeedCount    = fmt.Errorf("seeds: wanted from 1 to %d", MaxSeeds)
	ErrParallel     = fmt.Errorf("scenarios at once: wanted from 1 to %d, each of which has up to %d routers", MaxParallel, maxRouters)
	ErrProgram      = errors.New("the router's program can't be run")
)

// Check tells what is wrong with the options.
func (o *Options) Validate() error {
	if o.Seeds < 1 || o.Seeds > MaxSeeds {
		return fmt.Errorf("%w, not %d", ErrSeedCount, o.Seeds)
	}
	if o.Parallel < 1 || o.Parallel > MaxParallel {
		return fmt.Errorf("%w, not %d", ErrParallel, o.Parallel)
	}
	for _, f := range o.Faults {
		if !slices.Contains(Faults, f) {
			return fmt.Errorf("%w %q: wanted some of %v", ErrUnknownFault, f, Faults)
		}
	}
	if len(o.Program) == 0 {
		return fmt.Errorf("%w: no program", ErrProgram)
	}
	if info, err := os.Stat(o.Program[0]); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("%w: %s", ErrProgram, o.Program[0])
	}
	return nil
}

// Verdict is what a scenario came to.
type Result struct {
	Scenario *Scenario
	Requests int
	Served   int
	Attempts int

	LongestHeld time.Duration // while nothing was out
	Violations  []Violation
	Timeline    string // of the worst broken request
	Err         error  // it could not be played
}

// Run plays scenarios and hands on each verdict as it comes, in any order.
func Run(ctx context.Context, o Options, verdict func(*Result)) error {
	if err := o.Validate(); err != nil {
		return err
	}
	dir := o.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "cherryhub-soak-")
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		defer os.RemoveAll(made)
		dir = made
	}
	seeds := make(chan uint64)
	var players sync.WaitGroup
	var one sync.Mutex // verdicts come one at a time
	for range o.Parallel {
		players.Go(func() {
			for seed := range seeds {
				v := runSeed(ctx, &o, dir, seed)
				one.Lock()
				verdict(v)
				one.Unlock()
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
	players.Wait()
	return ctx.Err()
}

// playSeed plays and judges one scenario.
func runSeed(ctx context.Context, o *Options, dir string, seed uint64) *Result {
	s := NewScenario(seed, o.Faults...)
	v := &Result{Scenario: s}
	own := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if v.Err = errors.Join(os.RemoveAll(own), os.MkdirAll(own, 0o700)); v.Err != nil {
		return v
	}
	r, err := RunScenario(ctx, o.Program, own, s)
	if v.Err = err; err != nil {
		return v
	}
	v.Requests = len(r.Requests)
	for i := range r.Requests {
		if r.Requests[i].Complete && r.Requests[i].Status == 200 {
			v.Served++
		}
	}
	for i := range r.Calls {
		if isAttempt(&r.Calls[i]) {
			v.Attempts++
		}
	}
	if v.Violations, v.LongestHeld = CheckRules(r); len(v.Violations) > 0 {
		v.Timeline = timeline(r, &v.Violations[0], own)
	}
	return v
}

// timelineMost bounds the log lines of a timeline.
const maxTimelineLines = 60

// timeline tells all that is known of the request of a break.
func timeline(r *Record, b *Violation, dir string) string {
	var out strings.Builder
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(r.Started).Seconds())
	}
	for _, e := range r.Scenario.Events {
		fmt.Fprintf(&out, "  event %.3f %s engine %s router %d for %.3f way %d\n", e.At.Seconds(), e.Fault, engines[e.Engine].name, e.Router, e.Duration.Seconds(), e.Variant)
	}
	for _, l := range r.Processes {
		fmt.Fprintf(&out, "  router %d started %s SIGTERM %s SIGKILL %s ended %s\n", l.Router, at(l.Started), at(l.Terminated), at(l.Killed), at(l.Ended))
	}
	for _, one := range r.Requests {
		if one.ID == b.ID {
			fmt.Fprintf(&out, "  client of router %d: %s sent %s, would wait %v, first byte %s, left %s, status %d, whole %v, again %v, err %v\n",
				one.Router, one.Class, at(one.Sent), one.Timeout, at(one.FirstByte), at(one.Left), one.Status, one.Complete, one.Resent, one.Err)
		}
	}
	for _, c := range r.Calls {
		if c.ID == b.ID {
			fmt.Fprintf(&out, "  %s at %s, connection %d: arrived %s, over %s, not run %v\n", c.Kind, c.Engine, c.ConnNumber, at(c.Received), at(c.Ended), c.NotRun)
		}
	}
	for _, h := range r.Holds {
		if h.ID == b.ID {
			fmt.Fprintf(&out, "  held at %s from %s to %s\n", h.Engine, at(h.From), at(h.To))
		}
	}
	for n := range r.Scenario.Routers {
		for _, line := range logLines(filepath.Join(dir, fmt.Sprintf("r%d.log", n)), b.ID) {
			fmt.Fprintf(&out, "  r%d %s\n", n, line)
		}
	}
	return out.String()
}

// logLines are the lines of a router's log that name a request, as words of their own.
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
