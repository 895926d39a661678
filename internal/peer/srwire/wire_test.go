package srwire_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

func TestBodiesMatchTheProtocol(t *testing.T) {
	load := sr.Load{
		Age:     1500 * time.Microsecond,
		Start:   "s1",
		Running: 2,
		Waiting: 1,
		Cached:  3,
		Events:  []sr.CacheEvent{{Seq: 7, Block: 1<<64 - 1, Added: true}, {Seq: 9, Block: 1}},
	}
	var text strings.Builder
	enc := json.NewEncoder(&text)
	for _, body := range []any{
		srwire.Dispatch{Stream: "s", Workspace: "mill", Model: "m", Prompt: "p", Tokens: 8},
		srwire.NewToken(sr.Token{Seq: 1, Text: "a"}),
		srwire.NewToken(sr.Token{Seq: 2, End: true, Cut: "cancelled"}),
		srwire.NotTaken(),
		srwire.NewLoad(load),
		srwire.Instance{Address: "10.0.0.1:1", Domain: "brno-a", Leaving: true},
	} {
		assert.NilError(t, enc.Encode(body))
	}
	golden.Assert(t, text.String(), "bodies.golden")
	assert.DeepEqual(t, srwire.NewLoad(load).Load(), load)
}
