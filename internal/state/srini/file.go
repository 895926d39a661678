// Package srini parses INI text strictly. A table describes the allowed sections and
// keys, anything else is a problem, and all problems are reported at once.
//
// # Usage
//
//	var rank int
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

// MaxSize is the maximum size of a text in bytes.
const MaxSize = 1 << 20

// Section is one section of a file with unparsed values.
type Section struct {
	File string
	// Kind is the first word of the section header, Name the rest.
	Kind string
	Name string
	Keys []Entry
}

// Entry is one key of a section with its values. Several values mean that the key is
// repeated, which is a problem.
type Entry struct {
	Name   string
	Values []string
}

// Read parses data into sections in the order of the text.
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
	f.BlockMode = false // no locking, since only this goroutine uses f
	var sections []Section
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			reportKeysOutside(file, s, ps)
			continue
		}
		sections = append(sections, section(file, s))
	}
	return sections
}

// Head returns the section header without its brackets.
func (s Section) Head() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Fill stores the values of the section's keys, and the defaults of keys that are not
// given. All keys of the table have to belong to the section.
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

// fill stores the value of one key.
func (s Section) fill(e Entry, table []Key, ps *Problems) {
	if len(e.Values) > 1 {
		ps.Addf(s.File, s.Head(), e.Name, "the key at most once, found it %d times", len(e.Values))
		return
	}
	for _, k := range table {
		if k.Name != e.Name {
			continue
		}
		if !k.Value.Set(e.Values[0]) {
			ps.Addf(s.File, s.Head(), e.Name, "%s, found %q", k.Expected(), truncate(e.Values[0]))
		}
		return
	}
	ps.Addf(s.File, s.Head(), e.Name, "one of the keys %s", keyNames(table))
}

// reportKeysOutside reports keys before the first section.
func reportKeysOutside(file string, s *ini.Section, ps *Problems) {
	for _, k := range s.Keys() {
		ps.Addf(file, "", k.Name(), "a section before the first key")
	}
}

// section converts a section of the INI parser.
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

// options returns the options of the INI parser. Repeated keys and sections are kept,
// so that they can be reported. A backslash at the end of a line and a dot in a section
// header have no special meaning, and a comment after a value needs a space before it.
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

func keyNames(table []Key) string {
	var names []string
	for _, k := range table {
		names = append(names, k.Name)
	}
	return strings.Join(names, ", ")
}

// maxShownValue is the number of bytes after which a problem truncates an invalid
// value.
const maxShownValue = 64

func truncate(s string) string {
	if len(s) <= maxShownValue {
		return s
	}
	return s[:maxShownValue] + "..."
}
