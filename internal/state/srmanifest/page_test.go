package srmanifest

import (
	"slices"
	"strings"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

const intro = `# Manifest

The manifest is the operators' statement of intent. It consists of a root value
in the configuration service, and of parts at the keys ROOT/PART; each is an INI
text of at most 1 MiB. In a directory, root.ini holds the root value and
PART.ini a part.

A manifest is accepted whole or not at all, and only with a greater version than
the accepted one. Every problem is reported at once with part, section and key.
Another manifest with the same version is kept out and counted as a conflict.

Section heads in parts are ` + "`[KIND NAME]`" + `. A name stands once for each kind over
all parts. Unknown sections and keys are errors. The parts in [parts] have any
name. Durations are like 35ms, 1.5s or 10m.
`

func page() string {
	var b strings.Builder
	b.WriteString(intro)
	b.WriteString(srini.Markdown(allKeys()))
	b.WriteString("\nName is " + srini.WordRule + ".\n")
	return b.String()
}

func allKeys() []srini.Key {
	var version uint64
	var rank int
	var text string
	return slices.Concat(
		rootKeys(&version), []srini.Key{partKey("PART", &text)},
		tierKeys(&sr.TierSpec{}, &rank), workspaceKeys(&sr.Workspace{}), domainKeys(&sr.Domain{}),
		classKeys(&sr.Class{}), endpointKeys(&sr.Endpoint{}, &text, &text), serviceKeys(&sr.ServiceSpec{}),
	)
}
