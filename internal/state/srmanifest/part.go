package srmanifest

import (
	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// part is one parsed part of a manifest. It is immutable, so that the next version
// of the manifest can reuse an unchanged part.
type part struct {
	name       string
	digest     sr.Digest
	tiers      []sr.TierSpec
	workspaces []sr.Workspace
	domains    []sr.Domain
	classes    []sr.Class
	endpoints  []sr.Endpoint
	services   []sr.ServiceSpec
	problems   srini.Problems
}

func parsePart(name string, digest sr.Digest, data []byte) *part {
	p := &part{name: name, digest: digest}
	for _, s := range srini.Read(name, data, &p.problems) {
		if !srini.IsWord(s.Name) {
			p.problems.Addf(name, s.Head(), "", "a kind and a name of %s", srini.WordRule)
			continue
		}
		p.add(s)
	}
	return p
}

func (p *part) add(s srini.Section) {
	switch s.Kind {
	case kindTier:
		p.addTier(s)
	case kindWorkspace:
		p.addWorkspace(s)
	case kindDomain:
		d := sr.Domain{Name: s.Name}
		s.Fill(domainKeys(&d), &p.problems)
		p.domains = append(p.domains, d)
	case kindClass:
		p.addClass(s)
	case kindEndpoint:
		p.addEndpoint(s)
	case kindService:
		v := sr.ServiceSpec{Name: s.Name}
		s.Fill(serviceKeys(&v), &p.problems)
		p.services = append(p.services, v)
	default:
		p.problems.Addf(p.name, s.Head(), "", "one of the kinds tier, workspace, domain, class, endpoint, service")
	}
}

func (p *part) addTier(s srini.Section) {
	t := sr.TierSpec{Name: s.Name}
	var rank int
	s.Fill(tierKeys(&t, &rank), &p.problems)
	t.Rank = sr.Tier(rank)
	if t.Budget > 0 && t.Budget < t.First {
		p.problems.Addf(p.name, s.Head(), "budget", "at least first of %v, found %v", t.First, t.Budget)
	}
	p.tiers = append(p.tiers, t)
}

func (p *part) addWorkspace(s srini.Section) {
	w := sr.Workspace{Name: s.Name}
	s.Fill(workspaceKeys(&w), &p.problems)
	if w.Rate > 0 && w.Burst == 0 {
		p.problems.Addf(p.name, s.Head(), "burst", "at least 1 with a rate, found 0")
	}
	p.workspaces = append(p.workspaces, w)
}

func (p *part) addClass(s srini.Section) {
	c := sr.Class{Name: s.Name}
	s.Fill(classKeys(&c), &p.problems)
	if c.Slots > 0 && c.Cold > c.Slots {
		p.problems.Addf(p.name, s.Head(), "cold", "at most slots of %d, found %d", c.Slots, c.Cold)
	}
	p.classes = append(p.classes, c)
}

func (p *part) addEndpoint(s srini.Section) {
	e := sr.Endpoint{Name: s.Name}
	var model, service string
	s.Fill(endpointKeys(&e, &model, &service), &p.problems)
	switch {
	case model != "" && service != "":
		p.problems.Addf(p.name, s.Head(), "service", "either model or service, found both")
	case model != "":
		e.Target, e.Kind = model, sr.KindModel
	case service != "":
		e.Target, e.Kind = service, sr.KindCall
	default:
		p.problems.Addf(p.name, s.Head(), "model", "either model or service, found neither")
	}
	p.endpoints = append(p.endpoints, e)
}
