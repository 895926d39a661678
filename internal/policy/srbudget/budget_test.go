package srbudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srbudget"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
)

// TestFleetStaysWithinTheBudget checks seven instances whose requests all fail, before,
// during and after a burst.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	limit := srforwardsettings.RetryLimit{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}
	now := time.Unix(0, 0)
	const fleet = 7
	var budgets [fleet]*srbudget.Budget
	for i := range budgets {
		budgets[i] = srbudget.New(limit, now)
	}
	type second struct{ requests, retries int }
	var seconds []second
	for s := range 40 {
		var cur second
		for i, b := range budgets {
			n := 5 + 3*i
			if s >= 10 && s < 15 {
				n *= 4
			}
			for range n {
				b.AddRequest(now)
				cur.requests++
				if b.AllowRetry(now, fleet) {
					cur.retries++
				}
			}
		}
		seconds = append(seconds, cur)
		now = now.Add(time.Second)
		from := max(0, len(seconds)-10)
		var sum second
		for _, x := range seconds[from:] {
			sum.requests += x.requests
			sum.retries += x.retries
		}
		assert.Assert(t, float64(sum.retries) <= limit.Ratio*float64(sum.requests)+limit.Slack, "second %d: %+v", s, sum)
		assert.Assert(t, sum.retries > 0)
	}
}

// TestIdleInstanceGetsItsShareOfTheSlack checks that an instance without requests may
// still spend its share of the fixed allowance.
func TestIdleInstanceGetsItsShareOfTheSlack(t *testing.T) {
	now := time.Unix(0, 0)
	b := srbudget.New(srforwardsettings.RetryLimit{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}, now)
	n := 0
	for b.AllowRetry(now, 7) {
		n++
	}
	assert.Equal(t, n, 3)
	assert.Assert(t, b.AllowRetry(now.Add(11*time.Second), 7))
}
