package srends

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// conspicuous is the ratio of the rates near changes and at other times from which an instance
// is marked. The platform's rule about requests that are lost near a change counts from there.
const conspicuous = 3

// Write prints a row for each instance with requests that were cut or failed, and one for all
// instances. The rate of cut requests is in requests per thousand. An instance whose rate near
// changes is conspicuous is marked with an asterisk, and the requests that it cut there are listed.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "instance\tchanges\tnear s\tended\tcut\trate\tother s\tended\tcut\trate\tways near\tways other\tdropped")
	var near, other count
	var list []string
	changes, dropped := 0, 0
	for _, name := range slices.Sorted(maps.Keys(t.instances)) {
		n := t.instances[name]
		a, b, cut := t.counts(n)
		near.add(a)
		other.add(b)
		changes += len(n.changes)
		dropped += n.dropped
		mark := ""
		if a.cut > 0 && a.ratio() > conspicuous*b.ratio() {
			mark = "*"
			for _, e := range cut {
				list = append(list, fmt.Sprintf("%s %s %s %s\n", e.at.Format("15:04:05.000"), name, e.request, e.way))
			}
		}
		if len(a.ways)+len(b.ways) > 0 {
			writeRow(tw, name+mark, len(n.changes), a, b, n.dropped)
		}
	}
	writeRow(tw, fmt.Sprintf("all %d", len(t.instances)), changes, near, other, dropped)
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "srends")
	}
	_, err := io.WriteString(w, strings.Join(list, ""))
	return errors.Wrap(err, "srends")
}

func writeRow(w io.Writer, name string, changes int, near, other count, dropped int) {
	fmt.Fprintf(w, "%s\t%d\t%.1f\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%.1f\t%s\t%s\t%d\n", name, changes,
		near.span.Seconds(), near.all, near.cut, 1000*near.ratio(),
		other.span.Seconds(), other.all, other.cut, 1000*other.ratio(),
		near.text(), other.text(), dropped)
}

// text returns the ways in order, with their numbers.
func (c count) text() string {
	var parts []string
	for _, way := range slices.Sorted(maps.Keys(c.ways)) {
		parts = append(parts, fmt.Sprintf("%s: %d", way, c.ways[way]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
