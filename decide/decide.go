// Package decide is the skeleton: it rate-limits every completion at once.
package decide

import "errors"

// Router is one instance.
type Router struct{ do Actions }

// Completion is the handle of one completion.
type Completion struct{}

// New makes a router.
func New(s Settings, do Actions) (*Router, error) {
	if len(s.Workloads) == 0 || len(s.Roles) == 0 {
		return nil, errors.New("settings: no workloads or no roles of machine kinds")
	}
	return &Router{do: do}, nil
}

// At sets the time.
func (r *Router) At(float64) {}

// Due is the router's timer.
func (r *Router) Due() {}

// Listed takes the list of engines.
func (r *Router) Listed(List, []Fact) {}

// Probed takes a probe's result.
func (r *Router) Probed(int, Outcome, float64, []float64) {}

// Take rate-limits: the skeleton does nothing else.
func (r *Router) Take(id uint64, _ Prompt) *Completion {
	r.do.RateLimit(id, 0)
	return &Completion{}
}

// Over is always true here.
func (c *Completion) Over() bool { return true }

// Started is not reached.
func (c *Completion) Started(int, float64) {}

// Ended is not reached.
func (c *Completion) Ended(int, Outcome, float64, bool, float64, []float64) {}

// Placed is not reached.
func (c *Completion) Placed(int, bool) {}

// Left is not reached.
func (c *Completion) Left() {}

// Due is not reached.
func (c *Completion) Due() {}
