package srmember

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSingleInstanceOwnsItsPoolAfterTheTakeoverDelay(t *testing.T) {
	self := sr.InstanceID{Address: "127.0.0.1:1", Incarnation: 1}
	m := New(self, "a", Options{})
	pool := sr.PoolID{Target: "m", Domain: "a"}
	var owned time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += DefaultHeartbeat {
		now := start.Add(at)
		m.UpdateList(now, []sr.Instance{{Address: self.Address, Domain: "a"}})
		actions := m.Takeover(now, []sr.PoolID{pool})
		if actions[0].Mode.Majority && owned == 0 {
			owned = at
		}
	}
	assert.Equal(t, owned, m.opts.TakeoverDelay()+DefaultHeartbeat)
	assert.DeepEqual(t, m.Mode(start.Add(20*time.Second), pool), sr.PoolMode{Own: true, Majority: true})
}

func instances(n int) []sr.Instance {
	var in []sr.Instance
	for i := range n {
		in = append(in, sr.Instance{Address: address(i), Domain: domainName(i)})
	}
	return in
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1) }

func answer(i int, hb sr.Heartbeat) sr.Heartbeat {
	hb.From = sr.InstanceID{Address: address(i), Incarnation: 7}
	hb.Domain = domainName(i)
	return hb
}

// fleet returns the first of n instances after it exchanged heartbeats with all
// others for twice the takeover delay.
func fleet(n int) (*Members, time.Time) {
	m := New(sr.InstanceID{Address: address(0), Incarnation: 7}, domainName(0), Options{})
	now := start
	for now.Sub(start) < 2*m.opts.TakeoverDelay() {
		m.UpdateList(now, instances(n))
		for i := 1; i < n; i++ {
			m.HeartbeatAnswered(now, now, answer(i, sr.Heartbeat{}))
		}
		now = now.Add(m.opts.Heartbeat)
	}
	return m, now
}

func TestMajorityCountsAnswersNotMessages(t *testing.T) {
	m, now := fleet(5)
	assert.Assert(t, m.Majority(now))
	last := now.Add(-m.opts.Heartbeat)
	assert.Assert(t, m.Majority(last.Add(m.opts.Lapse-1)))
	for i := 1; i < 5; i++ {
		m.HeartbeatReceived(last.Add(m.opts.Lapse-1), answer(i, sr.Heartbeat{}))
	}
	assert.Assert(t, !m.Majority(last.Add(m.opts.Lapse)))
	assert.Equal(t, len(m.Live(last.Add(m.opts.Lapse))), 5)
}

func TestAnswersCountFromWhenTheHeartbeatWasSent(t *testing.T) {
	m, now := fleet(3)
	sent := now
	now = now.Add(m.opts.Lapse - 1)
	m.HeartbeatAnswered(now, sent, answer(1, sr.Heartbeat{}))
	assert.Assert(t, m.Majority(now))
	assert.Assert(t, !m.Majority(now.Add(1)))
}

// TestAnswerToAHeartbeatFromBeforeAPauseDoesNotCount checks that an answer to a
// heartbeat that was sent before the process was paused gives no majority after it.
func TestAnswerToAHeartbeatFromBeforeAPauseDoesNotCount(t *testing.T) {
	m, now := fleet(3)
	m.Resumed(now)
	assert.Assert(t, !m.Majority(now))
	m.HeartbeatAnswered(now, now.Add(-1), answer(1, sr.Heartbeat{}))
	assert.Assert(t, !m.Majority(now))
	m.HeartbeatAnswered(now, now, answer(1, sr.Heartbeat{}))
	assert.Assert(t, m.Majority(now))
}

func TestATakeoverNeedsAnswersToHeartbeatsWithTheClaim(t *testing.T) {
	m, now := fleet(3)
	pool := sr.PoolID{Target: "m", Domain: "d0"}
	exchange := func(sentAt time.Time) Act {
		for i := 1; i < 3; i++ {
			m.HeartbeatAnswered(now, sentAt, answer(i, sr.Heartbeat{}))
		}
		return m.Takeover(now, []sr.PoolID{pool})[0].Act
	}
	beforeClaim := now
	assert.Equal(t, exchange(now), ActWait, "the claim starts")
	now = now.Add(1)
	assert.Equal(t, exchange(beforeClaim), ActWait, "composed before the claim")
	assert.Equal(t, exchange(now), ActOwn)
}

func TestTimeDoesNotGoBack(t *testing.T) {
	m, now := fleet(3)
	assert.Assert(t, m.Majority(now))
	assert.Assert(t, !m.Majority(now.Add(m.opts.Lapse)))
	assert.Assert(t, !m.Majority(now))
}

// TestARestartedInstanceHasNoVoteForTheTakeoverDelay checks that a restarted instance
// does not count toward a majority before it can have received all claims.
func TestARestartedInstanceHasNoVoteForTheTakeoverDelay(t *testing.T) {
	m, now := fleet(3)
	restarted := answer(1, sr.Heartbeat{})
	restarted.From.Incarnation = 8
	for end := now.Add(m.opts.TakeoverDelay()); now.Before(end); now = now.Add(m.opts.Heartbeat) {
		m.HeartbeatAnswered(now, now, restarted)
	}
	assert.Assert(t, !m.Majority(now.Add(-1)))
	assert.DeepEqual(t, m.Lost(now), []sr.InstanceID{
		{Address: address(1), Incarnation: 7},
		{Address: address(2), Incarnation: 7},
	})
	m.HeartbeatAnswered(now, now, restarted)
	assert.Assert(t, m.Majority(now))
	m.HeartbeatAnswered(now, now, answer(1, sr.Heartbeat{}))
	assert.Equal(t, m.peers[address(1)].id.Incarnation, uint64(8), "the old incarnation answers late")
}

func TestLeavingInstancesCountUntilTheyAreOffTheList(t *testing.T) {
	m, now := fleet(3)
	list := instances(3)
	list[1].Leaving = true
	list[2].Leaving = true
	m.UpdateList(now, list)
	now = now.Add(m.opts.Lapse)
	assert.Assert(t, !m.Majority(now))
	m.UpdateList(now, list[:1])
	assert.Assert(t, !m.Majority(now.Add(m.opts.Linger-1)))
	assert.Assert(t, m.Majority(now.Add(m.opts.Linger)))
}

func TestHeartbeatAddressesAreSeedsUntilAListIsReceived(t *testing.T) {
	m := New(sr.InstanceID{Address: address(0), Incarnation: 7}, "d0", Options{Seeds: []string{address(0), address(4)}})
	assert.DeepEqual(t, m.HeartbeatAddresses(start), []string{address(4)})
	assert.Assert(t, !m.ContactedAll(start))
	m.HeartbeatAnswered(start, start, answer(4, sr.Heartbeat{Heard: []sr.InstanceID{{Address: address(3), Incarnation: 7}}}))
	assert.DeepEqual(t, m.HeartbeatAddresses(start), []string{address(3), address(4)})
	m.HeartbeatFailed(start, address(3))
	assert.Assert(t, m.ContactedAll(start))
	m.UpdateList(start, instances(2))
	later := start.Add(m.opts.Forget)
	assert.DeepEqual(t, m.HeartbeatAddresses(later), []string{address(1)})
	m.Lost(later)
	m.UpdateList(later, instances(2))
	assert.Equal(t, len(m.peers), 1)
}

func TestPeersAreBounded(t *testing.T) {
	m := New(sr.InstanceID{Address: address(0), Incarnation: 7}, "d0", Options{MaxPeers: 10})
	for i := range 50 {
		m.HeartbeatReceived(start, answer(i+1, sr.Heartbeat{}))
	}
	assert.Equal(t, len(m.peers), 10)
}

// TestNoGrantsStartWhileClaimsAreDropped checks that an instance that receives more
// claims than MaxClaims starts no grants, since the claim of the pool's owner may be
// among the dropped ones.
func TestNoGrantsStartWhileClaimsAreDropped(t *testing.T) {
	m, now := fleet(3)
	pool := sr.PoolID{Target: "m", Domain: "d0"}
	m.opts.MaxClaims = 2
	m.peerClaims.limit = 2
	flood := sr.Heartbeat{}
	for i := range 5 {
		flood.Ownership = append(flood.Ownership, sr.Claim{
			Pool: sr.PoolID{Target: fmt.Sprint(i)}, Owner: answer(1, flood).From, Majority: true,
		})
	}
	for range 40 {
		m.HeartbeatAnswered(now, now, answer(1, flood))
		m.HeartbeatAnswered(now, now, answer(2, sr.Heartbeat{}))
		assert.Equal(t, m.Takeover(now, []sr.PoolID{pool})[0].Mode, sr.PoolMode{})
		now = now.Add(m.opts.Heartbeat)
	}
	assert.Equal(t, m.peerClaims.count, 2)
}

func TestReadersOfARegionAreReplaced(t *testing.T) {
	region := func(domain string) string { return domain }
	watching := func(n int, dead map[int]bool) []int {
		var readers []int
		for i := range n {
			if dead[i] {
				continue
			}
			m := New(sr.InstanceID{Address: address(i), Incarnation: 7}, domainName(i), Options{})
			for j := range n {
				if j != i && !dead[j] {
					m.HeartbeatReceived(start, answer(j, sr.Heartbeat{}))
				}
			}
			if m.Watches(start, region, 2) {
				readers = append(readers, i)
			}
		}
		return readers
	}
	before := watching(30, nil)
	assert.Equal(t, len(before), 2*simDomains)
	after := watching(30, map[int]bool{before[0]: true})
	assert.Equal(t, len(after), 2*simDomains)
	assert.Assert(t, !slices.Contains(after, before[0]))
}

func BenchmarkHeartbeatInterval(b *testing.B) {
	for _, n := range []int{7, 80, 320} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, now := fleet(n)
			var pools []sr.PoolID
			for i := range 12 {
				pools = append(pools, sr.PoolID{Target: fmt.Sprint(i % 4), Domain: domainName(i)})
			}
			hb := m.Heartbeat(now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(m.opts.Heartbeat)
				for i := 1; i < n; i++ {
					m.HeartbeatAnswered(now, now, answer(i, hb))
				}
				m.Takeover(now, pools)
				hb = m.Heartbeat(now)
			}
			b.ReportMetric(encodedSize(b, hb), "B/heartbeat")
		})
	}
}

// encodedSize returns the size of a heartbeat on a connection that has carried
// one before.
func encodedSize(b *testing.B, hb sr.Heartbeat) float64 {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	assert.NilError(b, enc.Encode(hb))
	first := buf.Len()
	assert.NilError(b, enc.Encode(hb))
	return float64(buf.Len() - first)
}
