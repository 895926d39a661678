// Package srfair divides what is served between workspaces in proportion to their weights, by
// start-time fair queueing. It does no input or output: the time is an argument.
//
// # Usage
//
//	s := srfair.New()
//	tag := s.Start(workspace)                // of its first waiting request
//	tag += s.Span(weight, work)              // of the one after it
//	s.Serve(now, workspace, weight, work)    // when a request is served
//
// The request with the lowest tag is served next.
//
// Load patterns and how they are handled:
//
//   - One workspace with many times its usual load. Its tags grow with each request, so the
//     next request of each other workspace goes before its backlog.
//   - A workspace alone. It gets everything, and owes at most one request to those that come
//     later: their tags begin at the virtual time.
//   - Long requests among short ones. A tag grows by the work divided by the weight, so a
//     workspace with long requests gets fewer of them. It is served all the same, because the
//     tags of the others grow past its own.
//   - Very many workspaces. At most maxFlows are remembered, and idle ones are forgotten.
package srfair

import "time"

const (
	// maxFlows bounds the remembered workspaces, several times those of a large deployment.
	maxFlows = 1024
	// idleTimeout is the time after which a workspace that was not served is forgotten. It is
	// longer than any wait in a queue.
	idleTimeout = 30 * time.Second
	// minWeight and maxWeight bound the weights, which other instances state: tags must neither
	// overflow nor lose the work of a usual request to rounding. Allowances are far from both.
	minWeight = 1e-3
	maxWeight = 1e9
)

// Shares is the account of the workspaces that share one queue. It is not safe for concurrent
// use.
type Shares struct {
	// virtualTime is the highest start tag that was served.
	virtualTime float64
	flows       map[string]*flow
	// weights is the sum of the known weights, weighted the number of flows that have one.
	weights  float64
	weighted int
	sweptAt  time.Time
}

// flow is the account of one workspace.
type flow struct {
	// finish is the virtual time at which its last request ends.
	finish   float64
	weight   float64
	servedAt time.Time
}

// New returns Shares without workspaces.
func New() *Shares { return &Shares{flows: make(map[string]*flow)} }

// Clone returns a copy that changes on its own.
func (s *Shares) Clone() *Shares {
	c := *s
	c.flows = make(map[string]*flow, len(s.flows))
	for name, f := range s.flows {
		copied := *f
		c.flows[name] = &copied
	}
	return &c
}

// Start returns the start tag of the next request of a workspace.
func (s *Shares) Start(workspace string) float64 {
	if f, ok := s.flows[workspace]; ok {
		return max(f.finish, s.virtualTime)
	}
	return s.virtualTime
}

// Span returns the virtual time that work takes. A weight of 0 counts as the mean of the known
// ones.
func (s *Shares) Span(weight, work float64) float64 {
	weight = bounded(weight)
	switch {
	case weight > 0:
		return work / weight
	case s.weighted > 0:
		return work * float64(s.weighted) / s.weights
	}
	return work
}

// bounded returns a weight within its bounds, 0 when it is unknown or no weight.
func bounded(weight float64) float64 {
	if !(weight > 0) {
		return 0
	}
	return min(max(weight, minWeight), maxWeight)
}

// Serve charges work to a workspace.
func (s *Shares) Serve(now time.Time, workspace string, weight, work float64) {
	s.forgetIdle(now)
	start := s.Start(workspace)
	f, ok := s.flows[workspace]
	if !ok {
		if len(s.flows) >= maxFlows {
			s.forgetOldest()
		}
		f = &flow{}
		s.flows[workspace] = f
	}
	s.setWeight(f, weight)
	f.finish, f.servedAt = start+s.Span(weight, work), now
	s.virtualTime = max(s.virtualTime, start)
}

func (s *Shares) setWeight(f *flow, weight float64) {
	weight = bounded(weight)
	if f.weight > 0 {
		s.weights -= f.weight
		s.weighted--
	}
	f.weight = weight
	if weight > 0 {
		s.weights += weight
		s.weighted++
	}
	if s.weighted == 0 {
		// Rounding errors do not add up.
		s.weights = 0
	}
}

// forgetIdle forgets the idle workspaces, once per idleTimeout.
func (s *Shares) forgetIdle(now time.Time) {
	if now.Sub(s.sweptAt) < idleTimeout {
		return
	}
	s.sweptAt = now
	for name, f := range s.flows {
		if now.Sub(f.servedAt) >= idleTimeout {
			s.forget(name)
		}
	}
}

// forgetOldest forgets the workspace that was not served for longest.
func (s *Shares) forgetOldest() {
	oldest := ""
	for name, f := range s.flows {
		if o, ok := s.flows[oldest]; !ok || f.servedAt.Before(o.servedAt) {
			oldest = name
		}
	}
	s.forget(oldest)
}

func (s *Shares) forget(name string) {
	s.setWeight(s.flows[name], 0)
	delete(s.flows, name)
}

// Len returns the number of remembered workspaces.
func (s *Shares) Len() int { return len(s.flows) }
