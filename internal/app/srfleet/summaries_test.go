package srfleet

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srtier"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmember"
)

// A summary by the instance that owns the pool must not be replaced by one of another
// instance while it is recent. Summaries are dropped after summaryRetentionLapses.
func TestOwnersSummaryIsPreferredAndOldSummariesDropped(t *testing.T) {
	self := sr.InstanceID{Address: "10.0.0.1:7300", Incarnation: 1}
	owner := sr.InstanceID{Address: "10.0.0.2:7300", Incarnation: 2}
	rival := sr.InstanceID{Address: "10.0.0.3:7300", Incarnation: 3}
	pool := sr.PoolID{Target: "m", Domain: "a"}
	f := New(Deps{
		Self:    self,
		Members: srmember.New(self, "a", srmember.Options{}),
		Floors:  srtier.New(self, testLapse),
		Store:   srmanifest.New(),
		Lapse:   testLapse,
		Metrics: metrics.NewRegistry(),
	})
	now := time.Now()
	heartbeat := func(at time.Time, from sr.InstanceID, free int, claims ...sr.Claim) {
		hb := sr.Heartbeat{From: from, Domain: "a", Ownership: claims, Claims: []sr.PoolSummary{{Pool: pool, Owner: from, Free: free}}}
		f.members.HeartbeatReceived(at, hb)
		f.applyHeartbeat(at, hb)
	}
	heartbeat(now, owner, 5, sr.Claim{Pool: pool, Owner: owner, Grants: true, Majority: true})
	heartbeat(now, rival, 9)
	assert.Equal(t, f.latestSummary(pool).Free, 5)
	f.updateOwnership(now.Add(summaryRetentionLapses * testLapse))
	assert.Equal(t, len(f.summaries), 0)
}
