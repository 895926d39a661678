package sassafrasrail

import "time"

// Candidate is an endpoint that could take an ask now, as a Placer sees it.
type Candidate struct {
	Endpoint string
	Class    string
	// Limit is the number of slots it bears now.
	Limit int
	// Running is the number of leases counted against it.
	Running int
	// Pending is the work of these leases that is not yet done.
	Pending Work
	Cold    bool
}

// Placement is a Placer's choice.
type Placement struct {
	Endpoint string
	// Cached is the number of prompt tokens expected in the cache.
	Cached int
	// Expected is the expected time from dispatch to the end.
	Expected time.Duration
	// First is the expected time from dispatch to the first token.
	First time.Duration
	Why   string
}

// Placer chooses endpoints. It is pure but for what it has learned, and is
// used by one goroutine.
type Placer interface {
	// Place chooses among candidates with a free slot; ok is false when it
	// would rather wait for another endpoint.
	Place(now time.Time, a Ask, free []Candidate) (p Placement, ok bool)
	// Estimate returns the expected service time of an ask at a class.
	Estimate(a Ask, class string) time.Duration
	// Granted tells the placer that an ask will run at an endpoint.
	Granted(now time.Time, a Ask, endpoint string)
	// Observe learns from a finished request.
	Observe(now time.Time, a Ask, endpoint, class string, r Release)
	// Report learns from a load report.
	Report(now time.Time, endpoint string, l Load)
	// Forget drops what was learned about an endpoint's cache.
	Forget(endpoint string)
}

// Picker chooses the pool that a request asks for a slot. It is pure but for
// what it has learned, and is used by one goroutine at a time.
type Picker interface {
	// Pick returns the pools from best to worst by the owners' news.
	Pick(now time.Time, a Ask, news []PoolNews) []PoolID
	// Asked tells the picker that an ask was sent to a pool.
	Asked(now time.Time, a Ask, pool PoolID)
	// Refused tells the picker that a pool refused an ask.
	Refused(now time.Time, pool PoolID)
	// Ended tells the picker how a request of a pool ended.
	Ended(now time.Time, pool PoolID, r Release)
}
