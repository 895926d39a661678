package srbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	sr "github.com/sassafrasrail/sassafrasrail"
)

// Target names of the cases.
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
	// Speed is the true speed relative to the manifest's rates.
	Speed float64
}

// Pool returns the endpoint's pool.
func (e EndpointSpec) Pool() sr.PoolID { return sr.PoolID{Target: e.Target, Domain: e.Domain} }

// WorkspaceSpec is a workspace of a case.
type WorkspaceSpec struct {
	Name string
	// Share is the weight in the fair division.
	Share float64
	// Part is the workspace's part of the offered load.
	Part float64
	// Length scales its outputs.
	Length float64
}

// TierPart is a tier of a case with its part of the offered load.
type TierPart struct {
	Spec sr.TierSpec
	Part float64
}

// Case is a fleet and the make-up of its load.
type Case struct {
	Name       string
	Domains    []string
	Classes    map[string]sr.Class
	Endpoints  []EndpointSpec
	Workspaces []WorkspaceSpec
	Tiers      []TierPart
	// Entries are the parts of the arrivals that each entry instance gets.
	Entries []float64
	// Hop is the delay of one message between an entry, an owner or an endpoint.
	Hop time.Duration
	// Calls is the rate of calls of the plain service per second.
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

// Rybomlyn returns four failure domains with 12 model runners and 4 booking runners.
func Rybomlyn() Case {
	return Case{
		Name:    "rybomlyn",
		Domains: []string{"brno-a", "brno-b", "praha-a", "praha-b"},
		Classes: classes(),
		Endpoints: fleet(
			[]string{"brno-a", "brno-b", "praha-a", "praha-b"},
			[][]string{{"old", "old", "new"}, {"old", "new", "new"}, {"old", "old", "new"}, {"old", "new", "new"}},
		),
		Workspaces: []WorkspaceSpec{
			{Name: "morava", Share: 4, Part: 0.40, Length: 1},
			{Name: "cechy", Share: 3, Part: 0.30, Length: 0.6},
			{Name: "vysocina", Share: 1, Part: 0.15, Length: 2},
			{Name: "slezsko", Share: 1, Part: 0.10, Length: 0.4},
			{Name: "haje", Share: 1, Part: 0.05, Length: 1.5},
		},
		Tiers: []TierPart{
			tier("report", 1, 20*time.Second, 0.20),
			tier("question", 2, 25*time.Second, 0.30),
			tier("tagging", 3, 40*time.Second, 0.30),
			tier("archive", 4, 90*time.Second, 0.20),
		},
		Entries: entryParts(),
		Hop:     400 * time.Microsecond,
		Calls:   8,
	}
}

// Dwarsliggers returns three failure domains with 18 model runners and 3 desk runners.
func Dwarsliggers() Case {
	return Case{
		Name:    "dwarsliggers",
		Domains: []string{"oost-a", "oost-b", "oost-c"},
		Classes: classes(),
		Endpoints: fleet(
			[]string{"oost-a", "oost-b", "oost-c"},
			[][]string{
				{"old", "old", "old", "new", "new", "new"},
				{"old", "old", "old", "old", "new", "new"},
				{"old", "old", "new", "new", "new", "new"},
			},
		),
		Workspaces: []WorkspaceSpec{
			{Name: "kwekers", Share: 3, Part: 0.35, Length: 0.8},
			{Name: "hoveniers", Share: 3, Part: 0.35, Length: 0.5},
			{Name: "museumlijn", Share: 1, Part: 0.12, Length: 2.5},
			{Name: "handel", Share: 1, Part: 0.10, Length: 1},
			{Name: "transport", Share: 1, Part: 0.08, Length: 0.4},
		},
		Tiers: []TierPart{
			tier("counter", 1, 15*time.Second, 0.25),
			tier("enquiry", 2, 25*time.Second, 0.35),
			tier("report", 3, 40*time.Second, 0.25),
			tier("grading", 4, 90*time.Second, 0.15),
		},
		Entries: entryParts(),
		Hop:     500 * time.Microsecond,
		Calls:   10,
	}
}

// WithEqualWorkspaces returns a copy in which all workspaces have the same
// share, part and lengths.
func (c Case) WithEqualWorkspaces() Case {
	ws := append([]WorkspaceSpec(nil), c.Workspaces...)
	for i := range ws {
		ws[i].Share, ws[i].Part, ws[i].Length = 1, 1/float64(len(ws)), 1
	}
	c.Workspaces = ws
	return c
}

// WithOneTier returns a copy in which all load is of one tier.
func (c Case) WithOneTier(rank sr.Tier) Case {
	tiers := append([]TierPart(nil), c.Tiers...)
	for i := range tiers {
		tiers[i].Part = 0
		if tiers[i].Spec.Rank == rank {
			tiers[i].Part = 1
		}
	}
	c.Tiers = tiers
	return c
}

// Capacity returns the model requests a second that the warm fleet completes
// when no prompt token is cached.
func (c Case) Capacity() float64 {
	prompt, output := c.meanLengths()
	total := 0.0
	for _, e := range c.Endpoints {
		total += c.capacity(e, prompt, output)
	}
	return total
}

// DomainShare returns a domain's share of the capacity.
func (c Case) DomainShare(domain string) float64 {
	prompt, output := c.meanLengths()
	part := 0.0
	for _, e := range c.Endpoints {
		if e.Domain == domain {
			part += c.capacity(e, prompt, output)
		}
	}
	return part / c.Capacity()
}

// targets returns the targets in order of their endpoints.
func (c Case) targets() []string {
	var names []string
	for _, e := range c.Endpoints {
		if !slices.Contains(names, e.Target) {
			names = append(names, e.Target)
		}
	}
	return names
}

func (c Case) capacity(e EndpointSpec, prompt, output float64) float64 {
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

// fleet returns the endpoints of a case: model runners of the given classes and
// one runner of the plain service in each domain. The true speeds differ from
// the manifest's, and the first runner is far slower than its class.
func fleet(domains []string, runners [][]string) []EndpointSpec {
	speeds := map[string]float64{"old": 0.85, "new": 1.15, "desk": 1}
	var es []EndpointSpec
	for i, domain := range domains {
		for j, class := range runners[i] {
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

func tier(name string, rank sr.Tier, budget time.Duration, part float64) TierPart {
	spec := sr.TierSpec{Name: name, Rank: rank, First: firstTarget, Gap: gapTarget, Budget: budget}
	return TierPart{Spec: spec, Part: part}
}

func entryParts() []float64 {
	return []float64{0.26, 0.2, 0.16, 0.13, 0.11, 0.08, 0.06}
}
