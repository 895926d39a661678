package srwarm_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srwarm"
)

var class = sr.Class{Name: "a", Slots: 6, Cold: 2}

var now = time.Unix(0, 0)

func warm(r *srwarm.Ramp) {
	for r.Cold() {
		r.Completed(now, r.Generation(), 0, 0)
	}
}

func TestLimitRisesOnlyWithCompletedRequests(t *testing.T) {
	r := srwarm.New(srwarm.Options{}, class)
	r.Report("s1")
	var limits []int
	for range 6 {
		limits = append(limits, r.Limit())
		r.Report("s1")
		r.Completed(now, r.Generation(), 0, 0)
	}
	assert.DeepEqual(t, limits, []int{2, 2, 3, 3, 3, 4})
}

func TestLimitStaysColdUntilTheClassIsWarm(t *testing.T) {
	slow := class
	slow.Warm = 4
	slow.Settle = 5 * time.Second
	r := srwarm.New(srwarm.Options{}, slow)
	r.Report("s1")
	for i := range 20 {
		r.Completed(now.Add(time.Duration(i)*100*time.Millisecond), r.Generation(), 0, 0)
	}
	assert.Equal(t, r.Limit(), 2, "enough requests, but the settle time has not passed")
	r.Report("s2")
	r.Completed(now, r.Generation(), 0, 0)
	r.Completed(now.Add(6*time.Second), r.Generation(), 0, 0)
	r.Completed(now.Add(6*time.Second), r.Generation(), 0, 0)
	assert.Equal(t, r.Limit(), 2, "the settle time has passed, but too few requests have completed")
	r.Completed(now.Add(6*time.Second), r.Generation(), 0, 0)
	r.Completed(now.Add(6*time.Second), r.Generation(), 0, 0)
	assert.Equal(t, r.Limit(), 3)
}

func TestLimitDoesNotRiseBeforeTheFirstReport(t *testing.T) {
	r := srwarm.New(srwarm.Options{}, class)
	for range 20 {
		r.Completed(now, r.Generation(), 0, 0)
	}
	assert.Equal(t, r.Limit(), 2)
}

func TestEachSignOfAColdEndpointResetsTheRamp(t *testing.T) {
	signs := map[string]func(*srwarm.Ramp){
		"another start":  func(r *srwarm.Ramp) { assert.Assert(t, r.Report("s2")) },
		"no start":       func(r *srwarm.Ramp) { r.Report("") },
		"refused":        func(r *srwarm.Ramp) { r.Refused() },
		"missing report": func(r *srwarm.Ramp) { r.ReportMissing(); r.ReportMissing() },
		"slow first":     func(r *srwarm.Ramp) { r.Completed(now, r.Generation(), 2*time.Second, 100*time.Millisecond) },
		"another class":  func(r *srwarm.Ramp) { r.SetClass(sr.Class{Name: "b", Slots: 6, Cold: 2}) },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			r := srwarm.New(srwarm.Options{}, class)
			r.Report("s1")
			warm(r)
			before := r.Generation()
			sign(r)
			assert.Equal(t, r.Limit(), 2)
			for range 20 {
				r.Completed(now, before, 0, 0)
			}
			assert.Equal(t, r.Limit(), 2, "requests of the previous generation do not count")
		})
	}
}

func TestStateMovesToTheNextOwner(t *testing.T) {
	old := srwarm.New(srwarm.Options{}, class)
	old.Report("s1")
	warm(old)
	next := srwarm.New(srwarm.Options{}, class)
	next.Import(old.Export("r1"))
	assert.Assert(t, !next.Report("s1"))
	assert.Assert(t, !next.Cold())
	assert.Assert(t, next.Report("s2"))
	assert.Assert(t, next.Cold())

	next.Import(old.Export("r1"))
	assert.Assert(t, next.Cold(), "the state of another process is ignored")
}

func TestLimitStaysBetweenColdAndSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := srwarm.New(srwarm.Options{Step: rapid.IntRange(1, 5).Draw(t, "step")}, class)
		t.Repeat(map[string]func(*rapid.T){
			"report":   func(t *rapid.T) { r.Report(rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "start")) },
			"missing":  func(*rapid.T) { r.ReportMissing() },
			"refused":  func(*rapid.T) { r.Refused() },
			"complete": func(*rapid.T) { r.Completed(now, r.Generation(), 0, 0) },
			"class": func(t *rapid.T) {
				c := class
				c.Slots = rapid.IntRange(1, 9).Draw(t, "slots")
				r.SetClass(c)
			},
			"import": func(t *rapid.T) {
				r.Import(sr.WarmState{Start: "s1", Limit: rapid.IntRange(-1, 20).Draw(t, "limit")})
			},
			"": func(t *rapid.T) {
				assert.Assert(t, r.Limit() >= 1 && r.Limit() <= r.Class().Slots, "limit %d", r.Limit())
			},
		})
	})
}
