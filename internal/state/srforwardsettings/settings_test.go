package srforwardsettings

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// minimal contains the required settings only.
const minimal = `
[instance]
name = entry-1
domain = a
clients = 127.0.0.1:8001
ready = 127.0.0.1:8002
peers = 127.0.0.1:8003
operate = 127.0.0.1:8004

[registry]
address = 127.0.0.1:9000
`

func TestMinimalSettingsTakeTheDefaults(t *testing.T) {
	s, err := Parse("minimal.ini", []byte(minimal))
	assert.NilError(t, err)
	assert.Equal(t, s.Grace, 8*time.Second)
	assert.Equal(t, s.RevokeTimeout, time.Duration(0))
	assert.Equal(t, s.Outage(), 2400*time.Millisecond)
	assert.Equal(t, len(s.Seeds), 0)
}

// TestRegistryReadsFitTheBounds checks that reads of the registry leave time within the
// bounds: an answer confirms the view only as of the time of its request, and other
// instances receive it one or two rounds of gossip later.
func TestRegistryReadsFitTheBounds(t *testing.T) {
	for _, revoke := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		for _, drain := range []time.Duration{time.Second, 3 * time.Second} {
			s := Settings{RevokeTimeout: revoke, Drain: drain}
			assert.Assert(t, s.WatchTimeout() <= revoke/4, "%v", revoke)
			assert.Assert(t, s.QueryAfter() <= revoke/2 && s.QueryAfter() < drain, "%v %v", revoke, drain)
		}
	}
	assert.Equal(t, Settings{Drain: 2 * time.Second}.QueryAfter(), 1500*time.Millisecond)
}

func TestEveryProblemIsReportedAtOnce(t *testing.T) {
	_, err := Parse("bad.ini", []byte("[instance]\nname = a b\npeers = somewhere\n[bounds]\ngrace = 8\nlease = 3s\n[other]\n"))
	assert.Assert(t, errors.Is(err, sr.ErrInvalid))
	golden.Assert(t, err.Error()+"\n", "bad.golden")
}

func TestSettingsPage(t *testing.T) {
	golden.Assert(t, page(), filepath.Join("..", "..", "..", "..", "docs", "FORWARD-SETTINGS.md"))
}

func page() string {
	var s Settings
	return "# Settings of a forwarding instance\n\n" +
		"One INI file configures one process: `sassafrasrail forward --settings FILE`. On\n" +
		"the platform it is generated from the template deploy/forward.ini. It is validated\n" +
		"before use, and all problems are reported at once with section and key. Unknown\n" +
		"sections and keys are errors. While a process runs, only `seeds` can change; the\n" +
		"file is read again every two seconds and on SIGHUP.\n" +
		srini.Markdown(keys(&s))
}

// A view must be confirmed within the shortest of the bounds that depend on it.
func TestQueryIsDueWithinEachBound(t *testing.T) {
	s := Settings{Drain: 4 * time.Second, ConfigTimeout: 4 * time.Second}
	assert.Equal(t, s.QueryAfter(), 3*time.Second)
	s.ConfigTimeout = 2 * time.Second
	assert.Equal(t, s.QueryAfter(), 1500*time.Millisecond)
	s.Drain = time.Second
	assert.Equal(t, s.QueryAfter(), 750*time.Millisecond)
	s.RevokeTimeout = time.Second
	assert.Equal(t, s.QueryAfter(), 400*time.Millisecond)
}
