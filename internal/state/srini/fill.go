package srini

import "strings"

// Table fills a whole file of settings. Keys of one section stand together.
type Table struct {
	file     string
	table    []Key
	problems *Problems
}

// NewTable returns a Table that reports the problems of a file to ps.
func NewTable(file string, keys []Key, ps *Problems) Table {
	return Table{file: file, table: keys, problems: ps}
}

// Parse reads data and sets the keys. It reports whether there was a text to read.
func (t Table) Parse(data []byte) bool {
	sections := Read(t.file, data, t.problems)
	if sections == nil && len(t.problems.List) > 0 {
		return false
	}
	t.Fill(sections)
	return true
}

// Fill sets the keys of every section of the table, those that the text
// leaves out too.
func (t Table) Fill(sections []Section) {
	seen := make(map[string]bool)
	for _, s := range sections {
		t.fillSection(s, seen)
	}
	for _, kind := range t.sections() {
		if !seen[kind] {
			Section{File: t.file, Kind: kind}.Fill(t.keys(kind), t.problems)
		}
	}
}

func (t Table) fillSection(s Section, seen map[string]bool) {
	keys := t.keys(s.Kind)
	if len(keys) == 0 || s.Name != "" {
		t.problems.Addf(t.file, s.Head(), "", "one of the sections %s", strings.Join(t.sections(), ", "))
		return
	}
	if seen[s.Kind] {
		t.problems.Addf(t.file, s.Head(), "", "the section once")
		return
	}
	seen[s.Kind] = true
	s.Fill(keys, t.problems)
}

func (t Table) keys(section string) []Key {
	var keys []Key
	for _, k := range t.table {
		if k.Section == section {
			keys = append(keys, k)
		}
	}
	return keys
}

func (t Table) sections() []string {
	var kinds []string
	for _, k := range t.table {
		if len(kinds) == 0 || kinds[len(kinds)-1] != k.Section {
			kinds = append(kinds, k.Section)
		}
	}
	return kinds
}
