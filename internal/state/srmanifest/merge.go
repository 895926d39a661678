package srmanifest

import (
	"maps"
	"slices"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// parse parses and validates a manifest. It also returns the parsed parts by hash.
// Parts in previous are not parsed again.
func parse(t sr.ManifestText, previous map[sr.Digest]*part) (sr.Manifest, map[sr.Digest]*part, error) {
	var ps srini.Problems
	root := parseRoot(t.Root, &ps)
	parsed := make(map[sr.Digest]*part)
	m := newMerger(&ps)
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
		p := previous[digest]
		if p == nil || p.name != name {
			p = parsePart(name, digest, data)
		}
		parsed[digest] = p
		m.add(p)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Parts)) {
		if _, ok := root.Parts[name]; !ok {
			ps.Addf(name, "", "", "only parts that the root value lists")
		}
	}
	m.check()
	if err := ps.Err("srmanifest"); err != nil {
		return sr.Manifest{}, nil, err
	}
	return m.manifest.WithVersion(root.Version), parsed, nil
}

// merger merges the parsed parts into a manifest and checks the rules that span
// several sections.
type merger struct {
	manifest sr.Manifest
	problems *srini.Problems
	// partOf is the name of the part that contains a section.
	partOf map[sectionID]string
	// tierOf, endpointOf and workspaceOf find a rank, an address or a key that is
	// used twice.
	tierOf      map[sr.Tier]string
	endpointOf  map[string]string
	workspaceOf map[string]string
}

type sectionID struct{ kind, name string }

func newMerger(ps *srini.Problems) *merger {
	return &merger{
		problems:    ps,
		partOf:      make(map[sectionID]string),
		tierOf:      make(map[sr.Tier]string),
		endpointOf:  make(map[string]string),
		workspaceOf: make(map[string]string),
		manifest: sr.Manifest{
			Tiers:      make(map[string]sr.TierSpec),
			Workspaces: make(map[string]sr.Workspace),
			Domains:    make(map[string]sr.Domain),
			Classes:    make(map[string]sr.Class),
			Endpoints:  make(map[string]sr.Endpoint),
			Services:   make(map[string]sr.ServiceSpec),
		},
	}
}

// add adds the sections of a part.
func (m *merger) add(p *part) {
	m.problems.Append(p.problems)
	for _, t := range p.tiers {
		if m.isFirst(kindTier, t.Name, p.name) {
			m.manifest.Tiers[t.Name] = t
		}
	}
	for _, w := range p.workspaces {
		if m.isFirst(kindWorkspace, w.Name, p.name) {
			m.manifest.Workspaces[w.Name] = w
		}
	}
	for _, d := range p.domains {
		if m.isFirst(kindDomain, d.Name, p.name) {
			m.manifest.Domains[d.Name] = d
		}
	}
	for _, c := range p.classes {
		if m.isFirst(kindClass, c.Name, p.name) {
			m.manifest.Classes[c.Name] = c
		}
	}
	for _, e := range p.endpoints {
		if m.isFirst(kindEndpoint, e.Name, p.name) {
			m.manifest.Endpoints[e.Name] = e
		}
	}
	for _, s := range p.services {
		if m.isFirst(kindService, s.Name, p.name) {
			m.manifest.Services[s.Name] = s
		}
	}
}

// isFirst records the part of a section and reports whether it is the first section
// of its kind and name.
func (m *merger) isFirst(kind, name, part string) bool {
	id := sectionID{kind, name}
	if other, ok := m.partOf[id]; ok {
		m.problems.Addf(part, kind+" "+name, "", "the section at most once, found it in part %s before", other)
		return false
	}
	m.partOf[id] = part
	return true
}

// check reports the violated rules that span several sections, in order of kinds
// and names.
func (m *merger) check() {
	m.checkTiers()
	for _, name := range slices.Sorted(maps.Keys(m.manifest.Workspaces)) {
		m.checkWorkspace(m.manifest.Workspaces[name])
	}
	for _, name := range slices.Sorted(maps.Keys(m.manifest.Endpoints)) {
		m.checkEndpoint(m.manifest.Endpoints[name])
	}
}

func (m *merger) checkTiers() {
	if len(m.manifest.Tiers) == 0 && len(m.problems.List) == 0 {
		m.problems.Addf(RootName, kindParts, "", "a part with a tier, found none")
	}
	for _, name := range slices.Sorted(maps.Keys(m.manifest.Tiers)) {
		t := m.manifest.Tiers[name]
		if t.Rank == 0 {
			continue
		}
		if other, ok := m.tierOf[t.Rank]; ok {
			m.addf(kindTier, name, "rank", "another rank than tier %s, found %d", other, t.Rank)
			continue
		}
		m.tierOf[t.Rank] = name
		if int(t.Rank) > len(m.manifest.Tiers) {
			m.addf(kindTier, name, "rank", "ranks without gaps, 1 to %d for %d tiers, found %d", len(m.manifest.Tiers), len(m.manifest.Tiers), t.Rank)
		}
	}
}

func (m *merger) checkWorkspace(w sr.Workspace) {
	if _, ok := m.manifest.Tiers[w.Tier]; !ok && w.Tier != "" {
		m.addf(kindWorkspace, w.Name, "tier", "the name of a tier, found %q", w.Tier)
	}
	for _, key := range w.Keys {
		if other, ok := m.workspaceOf[key]; ok {
			m.addf(kindWorkspace, w.Name, "keys", "other keys than workspace %s, found %s in both", other, key)
		}
		m.workspaceOf[key] = w.Name
	}
}

func (m *merger) checkEndpoint(e sr.Endpoint) {
	if other, ok := m.endpointOf[e.Address]; ok && e.Address != "" {
		m.addf(kindEndpoint, e.Name, "address", "another address than endpoint %s, found %s", other, e.Address)
	}
	m.endpointOf[e.Address] = e.Name
	if _, ok := m.manifest.Domains[e.Domain]; !ok && e.Domain != "" {
		m.addf(kindEndpoint, e.Name, "domain", "the name of a domain, found %q", e.Domain)
	}
	c, ok := m.manifest.Classes[e.Class]
	if !ok && e.Class != "" {
		m.addf(kindEndpoint, e.Name, "class", "the name of a class, found %q", e.Class)
	}
	if ok && e.Kind == sr.KindModel && (c.Prefill == 0 || c.Decode == 0) {
		m.addf(kindEndpoint, e.Name, "class", "a class with prefill and decode above 0 for a model, found %q", e.Class)
	}
	if _, ok := m.manifest.Services[e.Target]; e.Kind == sr.KindCall && !ok {
		m.addf(kindEndpoint, e.Name, "service", "the name of a service, found %q", e.Target)
	}
	if _, ok := m.manifest.Services[e.Target]; e.Kind == sr.KindModel && ok {
		m.addf(kindEndpoint, e.Name, "model", "another name than that of a service, found %q", e.Target)
	}
}

// addf adds a problem of a section that was added before.
func (m *merger) addf(kind, name, key, format string, args ...any) {
	m.problems.Addf(m.partOf[sectionID{kind, name}], kind+" "+name, key, format, args...)
}
