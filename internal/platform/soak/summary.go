package soak

import (
	"fmt"
	"time"
)

// Summary sums up the results of a run.
type Summary struct {
	Seeds              int          `json:"seeds"`
	ViolatingSeeds     int          `json:"broken_seeds"`   // with violations
	FailedSeeds        int          `json:"unplayed_seeds"` // whose scenario could not be run
	Violations         map[Rule]int `json:"breaks"`         // by rule
	LongestHeldSeconds float64      `json:"held_longest_s"` // of something held while no attempt was running
	Requests           int          `json:"requests"`
	Served             int          `json:"served"`
}

// Add adds a result.
func (s *Summary) Add(r *Result) {
	s.Seeds++
	if r.Err != nil {
		s.FailedSeeds++
	}
	if len(r.Violations) > 0 {
		s.ViolatingSeeds++
	}
	if s.Violations == nil {
		s.Violations = map[Rule]int{}
	}
	for _, v := range r.Violations {
		s.Violations[v.Rule]++
	}
	s.LongestHeldSeconds = max(s.LongestHeldSeconds, r.LongestHeld.Seconds())
	s.Requests += r.Requests
	s.Served += r.Served
}

// Passed reports whether every seed's scenario was run without a violation.
func (s *Summary) Passed() bool { return s.ViolatingSeeds == 0 && s.FailedSeeds == 0 }

// String returns the summary in one line.
func (s *Summary) String() string {
	servedFraction := 0.0
	if s.Requests > 0 {
		servedFraction = float64(s.Served) / float64(s.Requests)
	}
	return fmt.Sprintf("%d seeds, %d with violations, %d not run; violations %v; held for at most %v while no attempt was running; %.3f of %d requests served",
		s.Seeds, s.ViolatingSeeds, s.FailedSeeds, s.Violations, time.Duration(s.LongestHeldSeconds*float64(time.Second)).Round(time.Millisecond), servedFraction, s.Requests)
}
