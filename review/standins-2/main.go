// Command standins-2 plays the cases of the second review: it starts routers by the run line of the deploy file, with stand-ins for clients,
// engines, discovery and the network around them, written after the operators' pages. It is run from the root of the repository, and exits
// with 1 if the case's rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// scene is one run of a case.
type scene struct {
	trouble bool
	start   time.Time
	folder  string // temporary

	memoryMB, sockets int // limits of a router

	mu     sync.Mutex
	lines  []string
	broken []string
}

func (s *scene) at(t time.Time) float64 { return t.Sub(s.start).Seconds() }

// note adds a line to the record.
func (s *scene) note(t time.Time, format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf("%8.3f %s", s.at(t), fmt.Sprintf(format, a...)))
}

// breaks records a break of the rule.
func (s *scene) breaks(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, a...))
}

// noteCalls records the calls that engines received.
func (s *scene) noteCalls(f *fleet) {
	for _, c := range f.list() {
		if c.kind == kindProbe {
			continue
		}
		end := "open"
		if !c.ended.IsZero() {
			end = fmt.Sprintf("%s at %.3f", c.outcome, s.at(c.ended))
		}
		s.note(c.received, "engine %s conn %d: %s of %s (no. %d, X-Deadline %q): %s", c.engine, c.conn, c.kind, c.id, c.nth, c.deadline, end)
	}
}

// noteRequests records the requests of the clients.
func (s *scene) noteRequests(all []*request) {
	for _, q := range all {
		answer := "no answer"
		if !q.firstByte.IsZero() {
			answer = fmt.Sprintf("answered %d at %.3f, ended at %.3f", q.status, s.at(q.firstByte), s.at(q.ended))
		}
		s.note(q.sent, "client sends %s, class %s, %d tokens, deadline %v: %s, err %v", q.id, q.class, q.tokens, q.deadline, answer, q.err)
	}
}

// collector gathers the requests of several clients.
type collector struct {
	mu  sync.Mutex
	all []*request
}

func (l *collector) add(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, q)
}

var cases = map[string]func(*scene) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), folder: folder, memoryMB: 192, sockets: 1024}
	err = cases[os.Args[1]](s)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
		for _, name := range logs {
			if text, err := os.ReadFile(name); err == nil {
				os.WriteFile(filepath.Join(keep, filepath.Base(name)), text, 0o600) //nolint:errcheck // a help for debugging
			}
		}
	}
	os.RemoveAll(folder) //nolint:errcheck // temporary
	code, verdict := 0, "the rule held"
	switch {
	case err != nil:
		code, verdict = 2, "could not run: "+err.Error()
	case len(s.broken) > 0:
		code, verdict = 1, fmt.Sprintf("the rule was broken %d times", len(s.broken))
	}
	slices.SortStableFunc(s.lines, func(a, b string) int { return strings.Compare(a[:8], b[:8]) })
	text := fmt.Sprintf("case %s, trouble %v: %s\n", os.Args[1], s.trouble, verdict)
	for _, b := range s.broken {
		text += "broken: " + b + "\n"
	}
	text += "\nseconds from the start\n" + strings.Join(s.lines, "\n") + "\n"
	if err := os.WriteFile(os.Args[2], []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(verdict)
	for i, b := range s.broken {
		if i == 5 {
			fmt.Println("...")
			break
		}
		fmt.Println(b)
	}
	os.Exit(code)
}
