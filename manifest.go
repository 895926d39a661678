package sassafrasrail

import (
	"maps"
	"slices"
	"time"
)

// Digest is the SHA-256 hash of a manifest's root value or part, hexadecimal.
type Digest string

// Version identifies an accepted manifest.
type Version struct {
	Number uint64
	Digest Digest
}

// TierSpec configures a tier, a group of requests with a common priority.
type TierSpec struct {
	Name string
	Rank Tier
	// First is the target time to the first token, Gap the target time between
	// tokens.
	First time.Duration
	Gap   time.Duration
	// Budget is the default time from arrival to the deadline of a request.
	Budget time.Duration
}

// Workspace is a tenant: a customer's unit with its own keys, limits and share.
type Workspace struct {
	Name string
	// Tier is the name of the most important tier that the workspace may use,
	// and its default.
	Tier string
	// Keys are the hexadecimal SHA-256 hashes of the keys that its callers present.
	Keys []string
	// Share is the workspace's weight when capacity is divided fairly.
	Share float64
	// Rate is the maximum number of requests a second over all instances, 0 for
	// no limit.
	Rate float64
	// Burst is how many requests may arrive at once above Rate.
	Burst int
	// Queue is the maximum number of requests that wait at one instance.
	Queue int
	// Ticketed reports whether a model request that arrives without a ticket is
	// issued one.
	Ticketed bool
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// Out reports whether operators have taken the domain out of service.
	Out bool
}

// Class is a hardware generation of endpoints with its initial rate estimates.
type Class struct {
	Name string
	// Prefill is the prompt rate in tokens a second per endpoint, Decode the
	// answer rate in tokens a second per stream.
	Prefill float64
	Decode  float64
	// Slots is how many requests an endpoint of the class runs concurrently.
	Slots int
	// Cold is how many requests an endpoint in a cold start runs concurrently.
	Cold int
	// Warm is how many requests a cold endpoint has to complete, and Settle how
	// long after the first of them it stays at Cold, before it runs more.
	Warm   int
	Settle time.Duration
	// Cache is the capacity of the prefix cache in blocks.
	Cache int
}

// Endpoint is one back end: a model engine or a server of a plain service.
type Endpoint struct {
	Name    string
	Address string
	Domain  string
	Class   string
	// Target is the name of the model or the service that it serves.
	Target string
	Kind   Kind
	// Leaving reports whether operators are removing the endpoint.
	Leaving bool
	// Fenced reports whether the endpoint refuses requests with an outdated fencing
	// token.
	Fenced bool
}

// ServiceSpec configures a plain service.
type ServiceSpec struct {
	Name string
	// Repeatable lists the idempotent operations, which may be retried.
	Repeatable []string
}

// Manifest is the configuration that the operators publish. It is immutable:
// the maps are read only, and the With methods return changed copies.
type Manifest struct {
	Version    Version
	Tiers      map[string]TierSpec
	Workspaces map[string]Workspace
	Domains    map[string]Domain
	Classes    map[string]Class
	Endpoints  map[string]Endpoint
	Services   map[string]ServiceSpec
}

// WithVersion returns a copy with another version.
func (m Manifest) WithVersion(v Version) Manifest {
	m.Version = v
	return m
}

// WithDomain returns a copy in which d is added or replaced.
func (m Manifest) WithDomain(d Domain) Manifest {
	m.Domains = maps.Clone(m.Domains)
	m.Domains[d.Name] = d
	return m
}

// WithEndpoint returns a copy in which e is added or replaced.
func (m Manifest) WithEndpoint(e Endpoint) Manifest {
	m.Endpoints = maps.Clone(m.Endpoints)
	m.Endpoints[e.Name] = e
	return m
}

// WithWorkspace returns a copy in which w is added or replaced.
func (m Manifest) WithWorkspace(w Workspace) Manifest {
	m.Workspaces = maps.Clone(m.Workspaces)
	m.Workspaces[w.Name] = w
	return m
}

// Usable reports whether e may receive new requests.
func (m Manifest) Usable(e Endpoint) bool {
	return !e.Leaving && !m.Domains[e.Domain].Out
}

// LowestTier returns the least important tier.
func (m Manifest) LowestTier() Tier {
	lowest := TopTier
	for _, t := range m.Tiers {
		lowest = max(lowest, t.Rank)
	}
	return lowest
}

// Pools returns the pools of the manifest in order.
func (m Manifest) Pools() []PoolID {
	seen := make(map[PoolID]struct{})
	for _, e := range m.Endpoints {
		seen[PoolID{Target: e.Target, Domain: e.Domain}] = struct{}{}
	}
	return slices.SortedFunc(maps.Keys(seen), PoolID.Compare)
}

// PoolEndpoints returns the endpoints of a pool in order of their names.
func (m Manifest) PoolEndpoints(id PoolID) []Endpoint {
	var es []Endpoint
	for _, name := range slices.Sorted(maps.Keys(m.Endpoints)) {
		e := m.Endpoints[name]
		if e.Target == id.Target && e.Domain == id.Domain {
			es = append(es, e)
		}
	}
	return es
}
