package sassafrasrail

import (
	"strings"
	"time"
)

// RouteKind determines how often a forwarded request may run.
type RouteKind uint8

// Kinds of route.
const (
	// RouteOnce: the request may run at most once.
	RouteOnce RouteKind = iota + 1
	// RouteRepeatable: the request may run more than once.
	RouteRepeatable
	// RouteStream: the answer is a stream of events. The request may run at most
	// once unless Route.Resumable is set.
	RouteStream
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Services are the services that share the route's requests by weight.
	Services []WeightedService
	// Timeout is the maximum time until the end of the answer.
	Timeout time.Duration
	// Target is the latency objective: for the whole answer, or for the first
	// event of a RouteStream.
	Target time.Duration
	// MaxPause is the longest pause between two events with which a RouteStream is in time, 0
	// when unstated.
	MaxPause time.Duration
	// Rank is the priority under overload; 0 is the most important.
	Rank int
	// Attempts is the maximum number of endpoints on which one request may run.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another endpoint after any event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run twice.
func (r Route) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

const (
	// minPatience, patienceTargets and patiencePauses are after how long a gap in a stream its
	// client leaves, also before the first event: the longest of minPatience, of
	// patienceTargets objectives and of patiencePauses pauses, as the platform states.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
)

// Patience returns how long a client of the route waits for the start of an answer, which is up
// to its deadline unless the answer is a stream.
func (r Route) Patience() time.Duration {
	if r.Kind != RouteStream {
		return r.Timeout
	}
	return max(minPatience, patienceTargets*r.Target, patiencePauses*r.MaxPause)
}

// WeightedService is a service with the weight of its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// RoutedService is a service as the operators configure it.
type RoutedService struct {
	Name string
	// ColdRate is the maximum number of requests a second at a cold endpoint, 0 for
	// no limit.
	ColdRate float64
	// Slots is the number of requests that an endpoint of the service runs
	// concurrently, 0 to use the number in the endpoint's registration alone.
	Slots int
}

// Quota limits the total cost of a workspace's requests over all instances.
type Quota struct {
	// Rate is in cost units a second, 0 for no limit.
	Rate float64
	// Burst is the cost that may arrive at once above Rate.
	Burst float64
	// Tokens reports whether a request costs its tokens instead of 1.
	Tokens bool
	// Plain is the cost in tokens of a request that does not state its tokens.
	Plain int
}

// Cost returns the cost of a request with the stated number of tokens, 0 when the
// request states none.
func (q Quota) Cost(tokens int) float64 {
	if !q.Tokens {
		return 1
	}
	if tokens == 0 {
		return float64(q.Plain)
	}
	return float64(tokens)
}

// RoutedWorkspace is a workspace as the operators configure it.
type RoutedWorkspace struct {
	Name      string
	Keys      []string
	Allowance Quota
	// Rank overrides the rank of the route when HasRank is set.
	Rank    int
	HasRank bool
}

// ClientLimits are the limits on a client's requests and connections.
type ClientLimits struct {
	// Header and Body are the largest sizes in bytes.
	Header int
	Body   int
	// HeaderTime is the timeout for receiving the header of a request.
	HeaderTime time.Duration
	// IdleTime is the timeout of an idle connection.
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
