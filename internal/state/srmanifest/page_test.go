package srmanifest

import (
	"slices"
	"strings"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

const intro = `# Manifest

The manifest is the configuration that the operators publish. It consists of a root
value in the configuration service, and of parts at the keys ROOT/PART. Each is an
INI text of at most 1 MiB. In a directory, root.ini contains the root value and
PART.ini a part.

A manifest is accepted as a whole or not at all, and only with a greater version than
the accepted one. All problems are reported at once with part, section and key. A
different manifest with the same version is rejected and counted as a conflict.

Section headers in parts are ` + "`[KIND NAME]`" + `. A name is unique for each kind over
all parts. Unknown sections and keys are errors. A part may have any name but root.
Durations are written like 35ms, 1.5s or 10m.
`

func page() string {
	var b strings.Builder
	b.WriteString(intro)
	b.WriteString(srini.Markdown(allKeys()))
	b.WriteString("\nA name consists of " + srini.WordRule + ".\n")
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
