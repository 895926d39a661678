package srsite

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

const smallest = `
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

func TestSmallestSettingsTakeTheDefaults(t *testing.T) {
	s, err := Parse("small.ini", []byte(smallest))
	assert.NilError(t, err)
	assert.Equal(t, s.Grace, 8*time.Second)
	assert.Equal(t, s.Revoke, time.Duration(0))
	assert.Equal(t, s.Outage(), 2400*time.Millisecond)
	assert.Equal(t, len(s.Seeds), 0)
}

// TestQuestionsFitTheBounds: a proof is as old as the question that brought it,
// and other instances learn of it a gossip or two later.
func TestQuestionsFitTheBounds(t *testing.T) {
	for _, revoke := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		for _, drain := range []time.Duration{time.Second, 3 * time.Second} {
			s := Settings{Revoke: revoke, Drain: drain}
			assert.Assert(t, s.Watch() <= revoke/4, "%v", revoke)
			assert.Assert(t, s.AskAfter() <= revoke/2 && s.AskAfter() < drain, "%v %v", revoke, drain)
		}
	}
	assert.Equal(t, Settings{Drain: 2 * time.Second}.AskAfter(), 1500*time.Millisecond)
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
		"One INI file describes one process: `sassafrasrail forward --settings FILE`. On\n" +
		"the platform it is filled in from the template deploy/forward.ini. It is checked\n" +
		"in full before use, and every problem is reported at once with section and key.\n" +
		"Unknown sections and keys are errors. While a process runs, only `seeds` can\n" +
		"change; the file is read again every two seconds and on SIGHUP.\n" +
		srini.Markdown(keys(&s))
}
