package srini

import (
	"fmt"
	"strings"
)

// Markdown returns the documentation of the keys: a table for each section in order.
func Markdown(table []Key) string {
	var b strings.Builder
	last := ""
	for _, k := range table {
		if k.Section != last {
			last = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n", k.Section)
			b.WriteString("| key | type | unit | default | bounds | meaning |\n")
			b.WriteString("|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", k.Name, k.Value.Type(),
			dash(k.Value.Unit()), k.shownDefault(), dash(k.Value.Bounds()), k.Description)
	}
	return b.String()
}

func (k Key) shownDefault() string {
	if k.Required {
		return "required"
	}
	return dash(k.Default)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
