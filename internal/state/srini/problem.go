package srini

import (
	"fmt"
	"strings"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// MaxProblems is the most problems that are kept; the rest are counted.
const MaxProblems = 100

// Problem is one breach of the rules.
type Problem struct {
	File    string
	Section string
	Key     string
	// Expected says what was expected and what was found.
	Expected string
}

// String returns "file [section] key: expected ...".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	fmt.Fprintf(&b, ": expected %s", p.Expected)
	return b.String()
}

// Problems collects the breaches of a text or of several.
type Problems struct {
	List []Problem
	// More counts the problems above MaxProblems.
	More int
}

// Addf adds a problem; empty section and key leave these out.
func (ps *Problems) Addf(file, section, key, format string, args ...any) {
	if len(ps.List) >= MaxProblems {
		ps.More++
		return
	}
	p := Problem{File: file, Section: section, Key: key, Expected: fmt.Sprintf(format, args...)}
	ps.List = append(ps.List, p)
}

// Append adds the problems of other.
func (ps *Problems) Append(other Problems) {
	for _, p := range other.List {
		ps.Addf(p.File, p.Section, p.Key, "%s", p.Expected)
	}
	ps.More += other.More
}

// Err returns nil without problems, and else a *Report.
func (ps *Problems) Err(context string) error {
	if len(ps.List) == 0 {
		return nil
	}
	return &Report{Context: context, Problems: *ps}
}

// Report is the error that lists every problem; it wraps sr.ErrInvalid.
type Report struct {
	// Context is the name of the package that reports.
	Context  string
	Problems Problems
}

// Error returns a line with the number of problems and one for each of them.
func (r *Report) Error() string {
	ps := r.Problems
	lines := []string{fmt.Sprintf("%s: invalid, problems: %d", r.Context, len(ps.List)+ps.More)}
	for _, p := range ps.List {
		lines = append(lines, p.String())
	}
	if ps.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", ps.More))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns sr.ErrInvalid.
func (r *Report) Unwrap() error { return sr.ErrInvalid }
