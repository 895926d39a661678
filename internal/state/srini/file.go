// Package srini reads INI text strictly: sections and keys are described by a
// table, everything else is a problem, and all problems are reported at once.
//
// # Usage
//
//	var tier sr.TierSpec
//	table := []srini.Key{
//		{Section: "tier", Name: "rank", Value: srini.Int(&rank, "", 1, 16), Required: true},
//	}
//	var ps srini.Problems
//	for _, s := range srini.Read("fleet.ini", data, &ps) {
//		s.Fill(table, &ps)
//	}
//	return ps.Err("srmanifest")
package srini

import (
	"strings"

	"gopkg.in/ini.v1"
)

// MaxSize is the largest text in bytes.
const MaxSize = 1 << 20

// Section is one section of a file as it was written.
type Section struct {
	File string
	// Kind is the first word of the section's head, Name the rest.
	Kind string
	Name string
	Keys []Entry
}

// Entry is one key of a section with its values; more than one is a problem.
type Entry struct {
	Name   string
	Values []string
}

// Read splits data into sections in the order of the text.
func Read(file string, data []byte, ps *Problems) []Section {
	if len(data) > MaxSize {
		ps.Addf(file, "", "", "at most %d bytes, found %d", MaxSize, len(data))
		return nil
	}
	f, err := ini.LoadSources(options(), data)
	if err != nil {
		ps.Addf(file, "", "", "INI text: %s", strings.TrimSpace(err.Error()))
		return nil
	}
	f.BlockMode = false
	var sections []Section
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			checkOutside(file, s, ps)
			continue
		}
		sections = append(sections, section(file, s))
	}
	return sections
}

// Head returns the section's head as it stands between the brackets.
func (s Section) Head() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Fill sets the values of the table's keys, which all belong to the section,
// and leaves defaults where a key is not given.
func (s Section) Fill(table []Key, ps *Problems) {
	seen := make(map[string]bool, len(s.Keys))
	for _, e := range s.Keys {
		seen[e.Name] = true
		s.fill(e, table, ps)
	}
	for _, k := range table {
		if seen[k.Name] {
			continue
		}
		if k.Required {
			ps.Addf(s.File, s.Head(), k.Name, "%s, found nothing", k.Expected())
			continue
		}
		k.setDefault()
	}
}

func (s Section) fill(e Entry, table []Key, ps *Problems) {
	if len(e.Values) > 1 {
		ps.Addf(s.File, s.Head(), e.Name, "the key once, found it %d times", len(e.Values))
		return
	}
	for _, k := range table {
		if k.Name != e.Name {
			continue
		}
		if !k.Value.Set(e.Values[0]) {
			ps.Addf(s.File, s.Head(), e.Name, "%s, found %q", k.Expected(), shorten(e.Values[0]))
		}
		return
	}
	ps.Addf(s.File, s.Head(), e.Name, "one of the keys %s", names(table))
}

// checkOutside reports keys that stand before the first section.
func checkOutside(file string, s *ini.Section, ps *Problems) {
	for _, k := range s.Keys() {
		ps.Addf(file, "", k.Name(), "a section before the first key")
	}
}

func section(file string, s *ini.Section) Section {
	kind, name, _ := strings.Cut(strings.TrimSpace(s.Name()), " ")
	out := Section{File: file, Kind: kind, Name: strings.TrimSpace(name)}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		if len(values) == 0 {
			values = []string{""}
		}
		out.Keys = append(out.Keys, Entry{Name: k.Name(), Values: values})
	}
	return out
}

func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00",
	}
}

func names(table []Key) string {
	var words []string
	for _, k := range table {
		words = append(words, k.Name)
	}
	return strings.Join(words, ", ")
}

// maxShown is the longest part of a wrong value in bytes that a problem shows.
const maxShown = 64

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return s[:maxShown] + "..."
}
