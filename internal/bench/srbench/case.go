package srbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
)

// Names of the targets of requests: the model and the plain service of every case.
const (
	ModelTarget = "model"
	CallTarget  = "desk"
)

// EndpointSpec is an endpoint of a case.
type EndpointSpec struct {
	Name   string
	Domain string
	Class  string
	Target string
	Kind   sr.Kind
	// Speed is the actual speed relative to the rates of the class.
	Speed float64
}

// Pool returns the ID of the endpoint's pool.
func (e EndpointSpec) Pool() sr.PoolID { return sr.PoolID{Target: e.Target, Domain: e.Domain} }

// WorkspaceSpec is a workspace of a case.
type WorkspaceSpec struct {
	Name string
	// Share is the workspace's weight in fair sharing.
	Share float64
	// LoadShare is the workspace's share of the offered load.
	LoadShare float64
	// Length is the factor by which the median output length is multiplied.
	Length float64
}

// TierLoad is a tier of a case with its share of the offered load.
type TierLoad struct {
	Spec      sr.TierSpec
	LoadShare float64
}

// Case describes a fleet and the composition of its load.
type Case struct {
	Name       string
	Domains    []string
	Classes    map[string]sr.Class
	Endpoints  []EndpointSpec
	Workspaces []WorkspaceSpec
	Tiers      []TierLoad
	// Entries holds the share of the arrivals at each entry instance.
	Entries []float64
	// Hop is the mean delay of a message between an entry, an owner and an endpoint.
	Hop time.Duration
	// Calls is the number of calls of the plain service per second.
	Calls float64
}

// Cases returns the named cases.
func Cases() []Case { return []Case{Rybomlyn(), Dwarsliggers()} }

// CaseByName returns a named case or an error that wraps sr.ErrMissing.
func CaseByName(name string) (Case, error) {
	for _, c := range Cases() {
		if c.Name == name {
			return c, nil
		}
	}
	return Case{}, errors.Wrapf(sr.ErrMissing, "srbench: case %q", name)
}

// Rybomlyn returns four failure domains with 12 model endpoints and 4 endpoints of
// the plain service.
func Rybomlyn() Case {
	return Case{
		Name:    "rybomlyn",
		Domains: []string{"brno-a", "brno-b", "praha-a", "praha-b"},
		Classes: classes(),
		Endpoints: endpointSpecs(
			[]string{"brno-a", "brno-b", "praha-a", "praha-b"},
			[][]string{{"old", "old", "new"}, {"old", "new", "new"}, {"old", "old", "new"}, {"old", "new", "new"}},
		),
		Workspaces: []WorkspaceSpec{
			{Name: "morava", Share: 4, LoadShare: 0.40, Length: 1},
			{Name: "cechy", Share: 3, LoadShare: 0.30, Length: 0.6},
			{Name: "vysocina", Share: 1, LoadShare: 0.15, Length: 2},
			{Name: "slezsko", Share: 1, LoadShare: 0.10, Length: 0.4},
			{Name: "haje", Share: 1, LoadShare: 0.05, Length: 1.5},
		},
		Tiers: []TierLoad{
			tierLoad("report", 1, 20*time.Second, 0.20),
			tierLoad("question", 2, 25*time.Second, 0.30),
			tierLoad("tagging", 3, 40*time.Second, 0.30),
			tierLoad("archive", 4, 90*time.Second, 0.20),
		},
		Entries: entryLoadShares(),
		Hop:     400 * time.Microsecond,
		Calls:   8,
	}
}

// Dwarsliggers returns three failure domains with 18 model endpoints and 3 endpoints
// of the plain service.
func Dwarsliggers() Case {
	return Case{
		Name:    "dwarsliggers",
		Domains: []string{"oost-a", "oost-b", "oost-c"},
		Classes: classes(),
		Endpoints: endpointSpecs(
			[]string{"oost-a", "oost-b", "oost-c"},
			[][]string{
				{"old", "old", "old", "new", "new", "new"},
				{"old", "old", "old", "old", "new", "new"},
				{"old", "old", "new", "new", "new", "new"},
			},
		),
		Workspaces: []WorkspaceSpec{
			{Name: "kwekers", Share: 3, LoadShare: 0.35, Length: 0.8},
			{Name: "hoveniers", Share: 3, LoadShare: 0.35, Length: 0.5},
			{Name: "museumlijn", Share: 1, LoadShare: 0.12, Length: 2.5},
			{Name: "handel", Share: 1, LoadShare: 0.10, Length: 1},
			{Name: "transport", Share: 1, LoadShare: 0.08, Length: 0.4},
		},
		Tiers: []TierLoad{
			tierLoad("counter", 1, 15*time.Second, 0.25),
			tierLoad("enquiry", 2, 25*time.Second, 0.35),
			tierLoad("report", 3, 40*time.Second, 0.25),
			tierLoad("grading", 4, 90*time.Second, 0.15),
		},
		Entries: entryLoadShares(),
		Hop:     500 * time.Microsecond,
		Calls:   10,
	}
}

// WithEqualWorkspaces returns a copy in which all workspaces have the same share,
// load and output lengths.
func (c Case) WithEqualWorkspaces() Case {
	ws := append([]WorkspaceSpec(nil), c.Workspaces...)
	for i := range ws {
		ws[i].Share, ws[i].LoadShare, ws[i].Length = 1, 1/float64(len(ws)), 1
	}
	c.Workspaces = ws
	return c
}

// WithOneTier returns a copy in which all load is of one tier.
func (c Case) WithOneTier(rank sr.Tier) Case {
	tiers := append([]TierLoad(nil), c.Tiers...)
	for i := range tiers {
		tiers[i].LoadShare = 0
		if tiers[i].Spec.Rank == rank {
			tiers[i].LoadShare = 1
		}
	}
	c.Tiers = tiers
	return c
}

// Capacity returns the number of model requests per second that the warm fleet
// completes when no prompt token is cached.
func (c Case) Capacity() float64 {
	prompt, output := c.meanLengths()
	total := 0.0
	for _, e := range c.Endpoints {
		total += c.endpointCapacity(e, prompt, output)
	}
	return total
}

// DomainShare returns a domain's share of the capacity.
func (c Case) DomainShare(domain string) float64 {
	prompt, output := c.meanLengths()
	domainCapacity := 0.0
	for _, e := range c.Endpoints {
		if e.Domain == domain {
			domainCapacity += c.endpointCapacity(e, prompt, output)
		}
	}
	return domainCapacity / c.Capacity()
}

// targets returns the targets in the order of the endpoints.
func (c Case) targets() []string {
	var names []string
	for _, e := range c.Endpoints {
		if !slices.Contains(names, e.Target) {
			names = append(names, e.Target)
		}
	}
	return names
}

// endpointCapacity returns the number of requests per second that an endpoint
// completes: its slots limit it, or the prefill rate that the prompts share.
func (c Case) endpointCapacity(e EndpointSpec, prompt, output float64) float64 {
	if e.Kind != sr.KindModel {
		return 0
	}
	class := c.Classes[e.Class]
	decode := output * (1 + batchSlowdown) / (class.Decode * e.Speed)
	prefill := prompt / (class.Prefill * e.Speed)
	return min(float64(class.Slots)/(decode+prefill), 1/prefill)
}

func classes() map[string]sr.Class {
	return map[string]sr.Class{
		"old":  {Name: "old", Prefill: 6000, Decode: 50, Slots: 8, Cold: 2, Cache: 1500},
		"new":  {Name: "new", Prefill: 18000, Decode: 80, Slots: 16, Cold: 3, Cache: 4000},
		"desk": {Name: "desk", Prefill: 1e6, Decode: 20, Slots: 8, Cold: 2, Cache: 1},
	}
}

// endpointSpecs returns the endpoints of a case: model endpoints of the given
// classes and one endpoint of the plain service in each domain. The actual speeds
// differ from those of the classes, and the first endpoint runs at half the speed
// of the others of its class.
func endpointSpecs(domains []string, modelClasses [][]string) []EndpointSpec {
	speeds := map[string]float64{"old": 0.85, "new": 1.15, "desk": 1}
	var es []EndpointSpec
	for i, domain := range domains {
		for j, class := range modelClasses[i] {
			speed := speeds[class]
			if i == 0 && j == 0 {
				speed /= 2
			}
			es = append(es, EndpointSpec{
				Name:   fmt.Sprintf("%s-%d", domain, j+1),
				Domain: domain, Class: class, Target: ModelTarget, Kind: sr.KindModel, Speed: speed,
			})
		}
		es = append(es, EndpointSpec{
			Name:   domain + "-desk",
			Domain: domain, Class: "desk", Target: CallTarget, Kind: sr.KindCall, Speed: 1,
		})
	}
	return es
}

func tierLoad(name string, rank sr.Tier, budget time.Duration, loadShare float64) TierLoad {
	spec := sr.TierSpec{Name: name, Rank: rank, First: firstTokenTarget, Gap: tokenGapTarget, Budget: budget}
	return TierLoad{Spec: spec, LoadShare: loadShare}
}

func entryLoadShares() []float64 {
	return []float64{0.26, 0.2, 0.16, 0.13, 0.11, 0.08, 0.06}
}
