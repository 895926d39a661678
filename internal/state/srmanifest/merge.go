package srmanifest

import (
	"maps"
	"slices"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// parse checks a manifest and returns its parsed parts by hash; parts found in
// known are not parsed again.
func parse(t sr.ManifestText, known map[sr.Digest]*part) (sr.Manifest, map[sr.Digest]*part, error) {
	var ps srini.Problems
	root := parseRoot(t.Root, &ps)
	parsed := make(map[sr.Digest]*part)
	g := newMerge(&ps)
	for _, name := range slices.Sorted(maps.Keys(root.Parts)) {
		data, ok := t.Parts[name]
		if !ok {
			ps.Addf(RootName, kindParts, name, "the part with this hash, found nothing")
			continue
		}
		digest := Hash(data)
		if digest != root.Parts[name] {
			ps.Addf(RootName, kindParts, name, "the hash of the part, %s", digest)
		}
		p := known[digest]
		if p == nil || p.name != name {
			p = parsePart(name, digest, data)
		}
		parsed[digest] = p
		g.add(p)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Parts)) {
		if _, ok := root.Parts[name]; !ok {
			ps.Addf(name, "", "", "parts that the root lists only")
		}
	}
	g.check()
	if err := ps.Err("srmanifest"); err != nil {
		return sr.Manifest{}, nil, err
	}
	return g.m.WithVersion(root.Version), parsed, nil
}

// merge puts parts together and checks what spans them.
type merge struct {
	m        sr.Manifest
	problems *srini.Problems
	// places says in which part a section stands.
	places map[place]string
	ranks  map[sr.Tier]string
	hosts  map[string]string
	keys   map[string]string
}

type place struct{ kind, name string }

func newMerge(ps *srini.Problems) *merge {
	return &merge{
		problems: ps,
		places:   make(map[place]string),
		ranks:    make(map[sr.Tier]string),
		hosts:    make(map[string]string),
		keys:     make(map[string]string),
		m: sr.Manifest{
			Tiers:      make(map[string]sr.TierSpec),
			Workspaces: make(map[string]sr.Workspace),
			Domains:    make(map[string]sr.Domain),
			Classes:    make(map[string]sr.Class),
			Endpoints:  make(map[string]sr.Endpoint),
			Services:   make(map[string]sr.ServiceSpec),
		},
	}
}

func (g *merge) add(p *part) {
	g.problems.Append(p.problems)
	for _, t := range p.tiers {
		if g.first(kindTier, t.Name, p.name) {
			g.m.Tiers[t.Name] = t
		}
	}
	for _, w := range p.workspaces {
		if g.first(kindWorkspace, w.Name, p.name) {
			g.m.Workspaces[w.Name] = w
		}
	}
	for _, d := range p.domains {
		if g.first(kindDomain, d.Name, p.name) {
			g.m.Domains[d.Name] = d
		}
	}
	for _, c := range p.classes {
		if g.first(kindClass, c.Name, p.name) {
			g.m.Classes[c.Name] = c
		}
	}
	for _, e := range p.endpoints {
		if g.first(kindEndpoint, e.Name, p.name) {
			g.m.Endpoints[e.Name] = e
		}
	}
	for _, s := range p.services {
		if g.first(kindService, s.Name, p.name) {
			g.m.Services[s.Name] = s
		}
	}
}

// first records the place of a section and reports whether it is the first of
// its kind and name.
func (g *merge) first(kind, name, part string) bool {
	at := place{kind, name}
	if other, ok := g.places[at]; ok {
		g.problems.Addf(part, kind+" "+name, "", "the section once, found it in part %s before", other)
		return false
	}
	g.places[at] = part
	return true
}

// check reports what spans sections, in order of kinds and names.
func (g *merge) check() {
	g.checkTiers()
	for _, name := range slices.Sorted(maps.Keys(g.m.Workspaces)) {
		g.checkWorkspace(g.m.Workspaces[name])
	}
	for _, name := range slices.Sorted(maps.Keys(g.m.Endpoints)) {
		g.checkEndpoint(g.m.Endpoints[name])
	}
}

func (g *merge) checkTiers() {
	if len(g.m.Tiers) == 0 && len(g.problems.List) == 0 {
		g.problems.Addf(RootName, kindParts, "", "a part with a tier, found none")
	}
	for _, name := range slices.Sorted(maps.Keys(g.m.Tiers)) {
		t := g.m.Tiers[name]
		if t.Rank == 0 {
			continue
		}
		if other, ok := g.ranks[t.Rank]; ok {
			g.addf(kindTier, name, "rank", "another rank than tier %s, found %d", other, t.Rank)
			continue
		}
		g.ranks[t.Rank] = name
		if int(t.Rank) > len(g.m.Tiers) {
			g.addf(kindTier, name, "rank", "ranks without gaps, 1 to %d for %d tiers, found %d", len(g.m.Tiers), len(g.m.Tiers), t.Rank)
		}
	}
}

func (g *merge) checkWorkspace(w sr.Workspace) {
	if _, ok := g.m.Tiers[w.Tier]; !ok && w.Tier != "" {
		g.addf(kindWorkspace, w.Name, "tier", "the name of a tier, found %q", w.Tier)
	}
	for _, key := range w.Keys {
		if other, ok := g.keys[key]; ok {
			g.addf(kindWorkspace, w.Name, "keys", "other keys than workspace %s, found %s in both", other, key)
		}
		g.keys[key] = w.Name
	}
}

func (g *merge) checkEndpoint(e sr.Endpoint) {
	if other, ok := g.hosts[e.Address]; ok && e.Address != "" {
		g.addf(kindEndpoint, e.Name, "address", "another address than endpoint %s, found %s", other, e.Address)
	}
	g.hosts[e.Address] = e.Name
	if _, ok := g.m.Domains[e.Domain]; !ok && e.Domain != "" {
		g.addf(kindEndpoint, e.Name, "domain", "the name of a domain, found %q", e.Domain)
	}
	c, ok := g.m.Classes[e.Class]
	if !ok && e.Class != "" {
		g.addf(kindEndpoint, e.Name, "class", "the name of a class, found %q", e.Class)
	}
	if ok && e.Kind == sr.KindModel && (c.Prefill == 0 || c.Decode == 0) {
		g.addf(kindEndpoint, e.Name, "class", "a class with prefill and decode above 0 for a model, found %q", e.Class)
	}
	if _, ok := g.m.Services[e.Target]; e.Kind == sr.KindCall && !ok {
		g.addf(kindEndpoint, e.Name, "service", "the name of a service, found %q", e.Target)
	}
	if _, ok := g.m.Services[e.Target]; e.Kind == sr.KindModel && ok {
		g.addf(kindEndpoint, e.Name, "model", "another name than that of a service, found %q", e.Target)
	}
}

func (g *merge) addf(kind, name, key, format string, args ...any) {
	g.problems.Addf(g.places[place{kind, name}], kind+" "+name, key, format, args...)
}
