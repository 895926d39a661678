package srslot_test

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// leastLoaded places an ask at the endpoint with the smallest part of its limit in use.
type leastLoaded struct {
	service  time.Duration
	observed int
	forgot   []string
}

func (p *leastLoaded) Place(_ time.Time, _ sr.Ask, free []sr.Candidate) (sr.Placement, bool) {
	best := free[0]
	for _, c := range free[1:] {
		if c.Running*best.Limit < best.Running*c.Limit {
			best = c
		}
	}
	return sr.Placement{Endpoint: best.Endpoint, Expected: p.service, Why: "least loaded"}, true
}

func (p *leastLoaded) Estimate(sr.Ask, string) time.Duration                 { return p.service }
func (p *leastLoaded) Granted(time.Time, sr.Ask, string)                     {}
func (p *leastLoaded) Report(time.Time, string, sr.Load)                     {}
func (p *leastLoaded) Forget(e string)                                       { p.forgot = append(p.forgot, e) }
func (p *leastLoaded) Observe(time.Time, sr.Ask, string, string, sr.Release) { p.observed++ }
