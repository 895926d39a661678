package sassafrasrail

import (
	"maps"
	"slices"
	"time"
)

// Digest is the hexadecimal hash of a manifest's text.
type Digest string

// Version identifies an accepted manifest.
type Version struct {
	Number uint64
	Digest Digest
}

// TierSpec is a class of requests.
type TierSpec struct {
	Name string
	Rank Tier
	// First is the target for the first token, Gap the target between tokens.
	First time.Duration
	Gap   time.Duration
	// Budget is the default time in which an answer is of use.
	Budget time.Duration
}

// Workspace is one customer unit.
type Workspace struct {
	Name string
	// Tier is the name of the best tier the workspace may use, and its default.
	Tier string
	// Keys are the SHA-256 hashes of the keys that callers present, hexadecimal.
	Keys []string
	// Share is the weight in the fair division of capacity.
	Share float64
	// Rate is the most requests a second over the whole fleet, 0 for no limit.
	Rate float64
	// Burst is how many requests may come at once above Rate.
	Burst int
	// Queue is the most requests that wait at one instance.
	Queue int
	// Ticketed reports whether model requests without a ticket get one on arrival.
	Ticketed bool
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// Out reports whether operators have taken the domain out.
	Out bool
}

// Class is a hardware generation with its seed rates.
type Class struct {
	Name string
	// Prefill is in tokens a second per endpoint, Decode per stream.
	Prefill float64
	Decode  float64
	// Slots is how many requests an endpoint of the class runs at once.
	Slots int
	// Cold is how many requests a cold endpoint bears at once.
	Cold int
	// Warm is how many requests a cold endpoint completes, and Settle how long
	// it takes from the first of them on, before it bears more than Cold.
	Warm   int
	Settle time.Duration
	// Cache is the number of prefix blocks that fit.
	Cache int
}

// Endpoint is one back end.
type Endpoint struct {
	Name    string
	Address string
	Domain  string
	Class   string
	// Target is the model or the service that it serves.
	Target string
	Kind   Kind
	// Leaving reports whether operators are taking the endpoint away.
	Leaving bool
	// Fenced reports whether the endpoint refuses orders with an old fencing number.
	Fenced bool
}

// ServiceSpec is a plain service.
type ServiceSpec struct {
	Name string
	// Repeatable lists the operations that may be called twice without harm.
	Repeatable []string
}

// Manifest is the operators' statement of intent. It is immutable: the maps
// are read only, and With methods return changed copies.
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

// Usable reports whether e may receive new work.
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
