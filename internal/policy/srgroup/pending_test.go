package srgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// TestPromptsDoNotStayPending: an endpoint has a request whose answer has started, so no prompt
// tokens are pending there, whatever became of the messages.
func TestPromptsDoNotStayPending(t *testing.T) {
	ask := func(p *pair, h *Holder, id uint64) {
		h.Ask(p.now, id, srdispatch.Ask{Prompt: 500, Target: p.now.Add(time.Second), Deadline: p.now.Add(5 * time.Second)})
	}
	start := sr.SlotStart{Endpoint: "a", Prompt: 500, First: 10 * time.Millisecond}
	check := func(t *testing.T, p *pair) {
		t.Helper()
		load := make(map[string]srdispatch.Load)
		p.group.dispatcher.AddLoad(load)
		assert.Equal(t, load["a"], srdispatch.Load{Running: 1})
	}
	t.Run("ask is withdrawn before its slot arrives", func(t *testing.T) {
		p := newPair(t, "a")
		h := p.holder("h")
		ask(p, h, 1)
		p.report(h, nil)
		h.Started(start)
		ask(p, h, 2)
		r, ok := h.Next(p.now, map[string]int{"a": 1})
		assert.Assert(t, ok)
		reply, _, err := p.group.Report(p.now, r)
		assert.NilError(t, err)
		h.Withdraw(2)
		h.Reply(p.now, reply)
		p.now = p.now.Add(minReleaseInterval)
		p.report(h, nil)
		check(t, p)
	})
	t.Run("report with the start is lost", func(t *testing.T) {
		p := newPair(t, "a")
		h := p.holder("h")
		ask(p, h, 1)
		p.report(h, nil)
		h.Started(start)
		p.now = p.now.Add(waitInterval)
		_, ok := h.Next(p.now, map[string]int{"a": 1})
		assert.Assert(t, ok)
		h.Fail(p.now)
		p.now = p.now.Add(silentDelay + silentSpread)
		p.report(h, nil)
		check(t, p)
	})
}
