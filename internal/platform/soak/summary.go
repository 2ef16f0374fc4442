package soak

import (
	"fmt"
	"time"
)

// Summary is what a run came to.
type Summary struct {
	Seeds              int          `json:"seeds"`
	ViolatingSeeds     int          `json:"broken_seeds"`   // with a broken rule
	FailedSeeds        int          `json:"unplayed_seeds"` // that could not be played
	Violations         map[Rule]int `json:"breaks"`         // by rule
	LongestHeldSeconds float64      `json:"held_longest_s"` // in seconds, while no attempt was out
	Requests           int          `json:"requests"`
	Served             int          `json:"served"`
}

// Add books a verdict.
func (s *Summary) Add(v *Result) {
	s.Seeds++
	if v.Err != nil {
		s.FailedSeeds++
	}
	if len(v.Violations) > 0 {
		s.ViolatingSeeds++
	}
	if s.Violations == nil {
		s.Violations = map[Rule]int{}
	}
	for _, b := range v.Violations {
		s.Violations[b.Rule]++
	}
	s.LongestHeldSeconds = max(s.LongestHeldSeconds, v.LongestHeld.Seconds())
	s.Requests += v.Requests
	s.Served += v.Served
}

// Good tells whether every seed was played and kept all rules.
func (s *Summary) Passed() bool { return s.ViolatingSeeds == 0 && s.FailedSeeds == 0 }

// String is the summary in a line.
func (s *Summary) String() string {
	share := 0.0
	if s.Requests > 0 {
		share = float64(s.Served) / float64(s.Requests)
	}
	return fmt.Sprintf("%d seeds, %d with a broken rule, %d not played; breaks %v; held for %v at most while nothing was out; %.3f of %d requests served",
		s.Seeds, s.ViolatingSeeds, s.FailedSeeds, s.Violations, time.Duration(s.LongestHeldSeconds*float64(time.Second)).Round(time.Millisecond), share, s.Requests)
}
