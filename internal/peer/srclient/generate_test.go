package srclient

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const wholeAnswer = `id: 1
event: receipt
data: {"ticket":"t","receipt":"r","endpoint":"r1"}

id: 2
event: text
data: {"ticket":"t","text":"one"}

id: 3
event: end
data: {"outcome":"complete","tokens":1}

`

func TestEventsAreTakenOnceAndInOrder(t *testing.T) {
	a := &reception{}
	assert.NilError(t, a.takeEvents(strings.NewReader(wholeAnswer)))
	assert.NilError(t, a.takeEvents(strings.NewReader(wholeAnswer)), "repeated events are dropped")
	result, err := a.finish(nil)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, sr.OutcomeComplete)
	assert.Equal(t, result.Text, "one")
	assert.Equal(t, result.Tokens, 1)
}

func TestGapBreaksTheAnswer(t *testing.T) {
	a := &reception{}
	gap := strings.Replace(wholeAnswer, "id: 2", "id: 3", 1)
	assert.Assert(t, errors.Is(a.takeEvents(strings.NewReader(gap)), errNoEnd))
	assert.Equal(t, a.last, 1)
}

func FuzzEvents(f *testing.F) {
	f.Add(wholeAnswer)
	f.Add("id: 1\nevent: text\ndata: {}\n\nid: 9\n\n")
	f.Add("data: {\n\n")
	f.Add(": comment\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		seen := 0
		a := &reception{on: func(e sr.Event) {
			assert.Equal(t, e.Seq, seen+1)
			seen = e.Seq
		}}
		_ = a.takeEvents(strings.NewReader(text))
		assert.Equal(t, a.last, seen)
	})
}
