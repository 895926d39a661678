package srclient

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const completeAnswer = `id: 1
event: receipt
data: {"ticket":"t","receipt":"r","endpoint":"r1"}

id: 2
event: text
data: {"ticket":"t","text":"one"}

id: 3
event: end
data: {"outcome":"complete","tokens":1}

`

func TestEventsAreHandledOnceAndInOrder(t *testing.T) {
	a := &answerReader{}
	assert.NilError(t, a.readEvents(strings.NewReader(completeAnswer)))
	assert.NilError(t, a.readEvents(strings.NewReader(completeAnswer)), "repeated events are dropped")
	result, err := a.finish(nil)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, sr.OutcomeComplete)
	assert.Equal(t, result.Text, "one")
	assert.Equal(t, result.Tokens, 1)
}

func TestMissingEventIsAnError(t *testing.T) {
	a := &answerReader{}
	gap := strings.Replace(completeAnswer, "id: 2", "id: 3", 1)
	assert.Assert(t, errors.Is(a.readEvents(strings.NewReader(gap)), errIncomplete))
	assert.Equal(t, a.lastSeq, 1)
}

func FuzzEvents(f *testing.F) {
	f.Add(completeAnswer)
	f.Add("id: 1\nevent: text\ndata: {}\n\nid: 9\n\n")
	f.Add("data: {\n\n")
	f.Add(": comment\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		lastSeq := 0
		a := &answerReader{onEvent: func(e sr.Event) {
			assert.Equal(t, e.Seq, lastSeq+1)
			lastSeq = e.Seq
		}}
		_ = a.readEvents(strings.NewReader(text))
		assert.Equal(t, a.lastSeq, lastSeq)
	})
}
