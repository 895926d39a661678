package srsettings

import (
	"strings"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

type parser struct {
	file     string
	table    []srini.Key
	problems *srini.Problems
}

// fill sets the keys of every section of the table, those that the text
// leaves out too.
func (p parser) fill(sections []srini.Section) {
	seen := make(map[string]bool)
	for _, s := range sections {
		p.fillSection(s, seen)
	}
	for _, kind := range p.sections() {
		if !seen[kind] {
			srini.Section{File: p.file, Kind: kind}.Fill(p.keys(kind), p.problems)
		}
	}
}

func (p parser) fillSection(s srini.Section, seen map[string]bool) {
	table := p.keys(s.Kind)
	if len(table) == 0 || s.Name != "" {
		p.problems.Addf(p.file, s.Head(), "", "one of the sections %s", strings.Join(p.sections(), ", "))
		return
	}
	if seen[s.Kind] {
		p.problems.Addf(p.file, s.Head(), "", "the section once")
		return
	}
	seen[s.Kind] = true
	s.Fill(table, p.problems)
}

func (p parser) keys(section string) []srini.Key {
	var table []srini.Key
	for _, k := range p.table {
		if k.Section == section {
			table = append(table, k)
		}
	}
	return table
}

func (p parser) sections() []string {
	var kinds []string
	for _, k := range p.table {
		if len(kinds) == 0 || kinds[len(kinds)-1] != k.Section {
			kinds = append(kinds, k.Section)
		}
	}
	return kinds
}
