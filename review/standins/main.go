// Command standins plays the cases of the review: it starts a router process by the run line of the deploy file, takes the place of
// its clients, engines and discovery on loopback, and judges one rule from what crossed the sockets. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. It is started from the repository's root by a case's run.sh:
//
//	standins CASE RECORD
//
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// The router is killed when the thread that started it ends (Pdeathsig), so main, which starts it, keeps the main thread.
func init() { runtime.LockOSThread() }

// run is one run of a case.
type run struct {
	dir     string // temporary folder
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	broken int
}

// note writes a line to the record.
func (r *run) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.record, format+"\n", a...)
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, a ...any) {
	r.note("RULE BROKEN: "+format, a...)
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
}

var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordFile string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	r := &run{dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	r.note("case %s, trouble %v", name, r.trouble)
	if err := cases[name](r); err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.note("rule broken %d times", r.broken)
	fmt.Printf("case %s, trouble %v: rule broken %d times\n", name, r.trouble, r.broken)
	if r.broken > 0 {
		return 1
	}
	return 0
}
