package srini

import "strings"

// Table describes the keys of a whole file of settings. The keys of a section have to
// be adjacent.
type Table struct {
	file     string
	keys     []Key
	problems *Problems
}

// NewTable returns a Table that reports the problems of a file to ps.
func NewTable(file string, keys []Key, ps *Problems) Table {
	return Table{file: file, keys: keys, problems: ps}
}

// Parse parses data and stores the values of the keys. It returns false when data is
// not an INI text. Invalid keys and values are reported as problems only.
func (t Table) Parse(data []byte) bool {
	sections := Read(t.file, data, t.problems)
	if sections == nil && len(t.problems.List) > 0 {
		return false
	}
	t.Fill(sections)
	return true
}

// Fill stores the values of the keys of every section of the table, and the defaults
// of sections that the text does not contain.
func (t Table) Fill(sections []Section) {
	seen := make(map[string]bool)
	for _, s := range sections {
		t.fillSection(s, seen)
	}
	for _, kind := range t.sections() {
		if !seen[kind] {
			Section{File: t.file, Kind: kind}.Fill(t.keysOf(kind), t.problems)
		}
	}
}

// fillSection stores the values of one section. seen holds the kinds of the sections
// before it.
func (t Table) fillSection(s Section, seen map[string]bool) {
	keys := t.keysOf(s.Kind)
	if len(keys) == 0 || s.Name != "" {
		t.problems.Addf(t.file, s.Head(), "", "one of the sections %s", strings.Join(t.sections(), ", "))
		return
	}
	if seen[s.Kind] {
		t.problems.Addf(t.file, s.Head(), "", "the section at most once")
		return
	}
	seen[s.Kind] = true
	s.Fill(keys, t.problems)
}

func (t Table) keysOf(section string) []Key {
	var keys []Key
	for _, k := range t.keys {
		if k.Section == section {
			keys = append(keys, k)
		}
	}
	return keys
}

// sections returns the sections of the table in order.
func (t Table) sections() []string {
	var kinds []string
	for _, k := range t.keys {
		if len(kinds) == 0 || kinds[len(kinds)-1] != k.Section {
			kinds = append(kinds, k.Section)
		}
	}
	return kinds
}
