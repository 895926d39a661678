package srforward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Operators see from counters who is served in time, by rank and by workspace.
func TestOutcomesAreCountedByRankAndWorkspace(t *testing.T) {
	stats := newStats()
	o := newOutcomes(stats)
	stream := sr.Route{Name: "r", Rank: 1, Kind: sr.RouteStream, Target: time.Second}
	plain := sr.Route{Name: "p", Rank: 2, Kind: sr.RouteOnce, Target: time.Second}
	for _, tt := range []struct {
		q      request
		status int
		total  time.Duration
		want   string
	}{
		{request{route: stream, firstByte: time.Second / 2}, 200, time.Minute, outcomeInTime},
		{request{route: stream, firstByte: time.Second / 2, elapsed: time.Second}, 200, time.Minute, outcomeLate},
		{request{route: plain}, 200, 2 * time.Second, outcomeLate},
		{request{route: plain}, 500, time.Millisecond, outcomeFailed},
	} {
		tt.q.workspace.Name = "w"
		got := tt.q.answered(tt.status, tt.total, nil)
		assert.Equal(t, got, tt.want)
		o.record(&tt.q, got, "")
	}
	o.record(&request{route: plain}, outcomeRefused, "full")
	o.record(&request{}, outcomeRefused, reasonNoRoute)
	for i := range maxCountedWorkspaces + 1 {
		o.record(&request{route: plain, workspace: sr.RoutedWorkspace{Name: fmt.Sprint("x", i)}}, outcomeLeft, "")
	}
	var out bytes.Buffer
	stats.write(&out)
	for _, want := range []string{
		"rank.1.in-time 1\n", "rank.1.late 1\n", "rank.2.late 1\n", "rank.2.failed 1\n", "rank.2.refused 1\n", "rank.2.refused.full 1\n",
		"workspace.w.late 2\n", "workspace.others.left 2\n",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s missing in\n%s", want, out.String())
	}
	assert.Assert(t, !strings.Contains(out.String(), reasonNoRoute))
}
