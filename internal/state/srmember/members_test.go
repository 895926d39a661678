package srmember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAloneInstanceOwnsItsPoolAfterTheQuietTime(t *testing.T) {
	self := sr.InstanceID{Address: "127.0.0.1:1", Incarnation: 1}
	m := New(self, "a", Options{})
	pool := sr.PoolID{Target: "m", Domain: "a"}
	var owned time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += DefaultHeartbeat {
		now := start.Add(at)
		m.Listed(now, []sr.Instance{{Address: self.Address, Domain: "a"}})
		turns := m.Takeover(now, []sr.PoolID{pool})
		if turns[0].Mode.Majority && owned == 0 {
			owned = at
		}
	}
	assert.Equal(t, owned, m.opts.Quiet()+DefaultHeartbeat)
	assert.DeepEqual(t, m.Mode(start.Add(20*time.Second), pool), sr.PoolMode{Own: true, Majority: true})
}
