package sassafrasrail

import (
	"strings"
	"time"
)

// RouteKind says how often a forwarded request may run.
type RouteKind uint8

// Kinds of route.
const (
	// RouteOnce: the request may run at most once.
	RouteOnce RouteKind = iota + 1
	// RouteRepeatable: the request may run more than once.
	RouteRepeatable
	// RouteStream: the answer is a series of events. The request may run at most
	// once unless Route.Resumable is set.
	RouteStream
)

// Route leads the requests of one host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Services are the services of the route with their weights.
	Services []WeightedService
	// Timeout is the most time until an answer has ended.
	Timeout time.Duration
	// Target is the latency objective: the whole answer, or the first event.
	Target time.Duration
	// Rank orders requests under overload, 0 is the most urgent.
	Rank int
	// Attempts is the most endpoints on which one request may run.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after an event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run twice.
func (r Route) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// RoutedService is a service as the operators configure it.
type RoutedService struct {
	Name string
	// ColdRate is the most requests a second that a cold endpoint bears, 0 for no limit.
	ColdRate float64
	// Slots is the number of requests that an endpoint of the service runs at
	// once, 0 when only the endpoint's own record says so.
	Slots int
}

// Allowance is the most cost of a workspace over all instances.
type Allowance struct {
	// Rate is in cost units a second, 0 for no limit.
	Rate float64
	// Burst is the cost that may come at once above Rate.
	Burst float64
	// Tokens reports whether a request costs its tokens instead of 1.
	Tokens bool
	// Plain is the cost in tokens of a request that does not state its usage.
	Plain int
}

// Cost returns what a request of so many tokens takes from the allowance; 0
// tokens stand for a request that states none.
func (a Allowance) Cost(tokens int) float64 {
	if !a.Tokens {
		return 1
	}
	if tokens == 0 {
		return float64(a.Plain)
	}
	return float64(tokens)
}

// RoutedWorkspace is a workspace as the operators configure it.
type RoutedWorkspace struct {
	Name      string
	Keys      []string
	Allowance Allowance
	// Rank goes before the rank of the route when HasRank is set.
	Rank    int
	HasRank bool
}

// ClientLimits bound what a client may send.
type ClientLimits struct {
	// Header and Body are in bytes.
	Header int
	Body   int
	// HeaderTime is how long the header of a request may take to arrive.
	HeaderTime time.Duration
	// IdleTime is how long a connection may be unused.
	IdleTime time.Duration
}

// Routing is one version of the operators' configuration. It is immutable.
type Routing struct {
	Version    uint64
	Routes     []Route
	Services   map[string]RoutedService
	Workspaces map[string]RoutedWorkspace
	Limits     ClientLimits
	// Keyed reports whether requests need a key.
	Keyed bool
}

// Match returns the route with the longest prefix of path at host.
func (c *Routing) Match(host, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}
