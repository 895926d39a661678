package sassafrasrail

import "time"

// Candidate is an endpoint at which a Placer may place an ask now.
type Candidate struct {
	Endpoint string
	Class    string
	// Limit is the number of slots that the endpoint offers now.
	Limit int
	// Running is the number of leases counted against Limit.
	Running int
	// Pending is the remaining work of these leases.
	Pending Work
	// Cold reports whether the endpoint is in a cold start.
	Cold bool
}

// Placement is a Placer's choice.
type Placement struct {
	Endpoint string
	// Cached is the expected number of prompt tokens in the endpoint's cache.
	Cached int
	// Expected is the expected time from dispatch to the end.
	Expected time.Duration
	// First is the expected time from dispatch to the first token.
	First time.Duration
	// Why is the reason for the choice, for explanations.
	Why string
}

// Placer chooses endpoints. Its results depend only on the arguments and on
// the earlier calls. It must not be used concurrently.
type Placer interface {
	// Place chooses among candidates with a free slot. ok is false when waiting
	// for another endpoint is better.
	Place(now time.Time, a Ask, free []Candidate) (p Placement, ok bool)
	// Estimate returns the expected service time of an ask at an endpoint of a class.
	Estimate(a Ask, class string) time.Duration
	// Granted records that an ask was granted a slot at an endpoint.
	Granted(now time.Time, a Ask, endpoint string)
	// Observe updates the estimates from a finished request.
	Observe(now time.Time, a Ask, endpoint, class string, r Release)
	// Report updates the estimates from a load report.
	Report(now time.Time, endpoint string, l Load)
	// Forget drops the assumed contents of an endpoint's cache.
	Forget(endpoint string)
}

// Picker chooses the pool to which a request's ask is sent. Its results depend
// only on the arguments and on the earlier calls. It must not be used
// concurrently.
type Picker interface {
	// Pick returns the pools from best to worst, judged by the owners' summaries.
	Pick(now time.Time, a Ask, summaries []PoolSummary) []PoolID
	// Asked records that an ask was sent to a pool.
	Asked(now time.Time, a Ask, pool PoolID)
	// Refused records that a pool refused an ask.
	Refused(now time.Time, pool PoolID)
	// Ended records how a request that ran in a pool ended.
	Ended(now time.Time, pool PoolID, r Release)
}
