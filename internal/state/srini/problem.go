package srini

import (
	"fmt"
	"strings"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// MaxProblems is the maximum number of problems that are kept. Further ones are only
// counted.
const MaxProblems = 100

// Problem is one violated rule.
type Problem struct {
	File    string
	Section string
	Key     string
	// Expected is the expected value and, after a comma, the value found.
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

// Problems collects the problems of one or more texts.
type Problems struct {
	List []Problem
	// Omitted counts the problems above MaxProblems.
	Omitted int
}

// Addf adds a problem. section and key are empty when the problem belongs to none.
// The formatted text states what was expected and what was found.
func (ps *Problems) Addf(file, section, key, format string, args ...any) {
	if len(ps.List) >= MaxProblems {
		ps.Omitted++
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
	ps.Omitted += other.Omitted
}

// Err returns nil when there are no problems, otherwise a *Report.
func (ps *Problems) Err(context string) error {
	if len(ps.List) == 0 {
		return nil
	}
	return &Report{Context: context, Problems: *ps}
}

// Report is an error that lists all problems. It wraps sr.ErrInvalid.
type Report struct {
	// Context is the name of the reporting package.
	Context  string
	Problems Problems
}

// Error returns a line with the number of problems, and one line for each problem.
func (r *Report) Error() string {
	ps := r.Problems
	lines := []string{fmt.Sprintf("%s: invalid, problems: %d", r.Context, len(ps.List)+ps.Omitted)}
	for _, p := range ps.List {
		lines = append(lines, p.String())
	}
	if ps.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", ps.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns sr.ErrInvalid.
func (r *Report) Unwrap() error { return sr.ErrInvalid }
