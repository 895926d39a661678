package srcapacity

import (
	"fmt"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmember"
)

const (
	leaseTTL          = time.Second
	heartbeatInterval = 250 * time.Millisecond
	tierCount         = 4
	// modelCount is the number of models, each with one pool per failure domain.
	modelCount = 6
)

func instanceID(n int) sr.InstanceID {
	return sr.InstanceID{
		Address:     fmt.Sprintf("10.0.%d.%d:7300", n/250, n%250+1),
		Incarnation: 1<<62 + uint64(n)*0x9e3779b97f4a7c15>>2,
	}
}

func poolID(n int) sr.PoolID {
	return sr.PoolID{Target: fmt.Sprintf("model-%d", n%modelCount), Domain: fmt.Sprintf("domain-%02d", n/modelCount)}
}

// fleet is a set of instances that exchange heartbeats without a network.
type fleet struct {
	now     time.Time
	members []*srmember.Members
	pools   []sr.PoolID
}

func newFleet(instances, pools int) *fleet {
	f := &fleet{now: time.Unix(0, 0)}
	for i := range pools {
		f.pools = append(f.pools, poolID(i))
	}
	// The instances are spread over the failure domains of the pools.
	var list []sr.Instance
	for i := range instances {
		list = append(list, sr.Instance{Address: instanceID(i).Address, Domain: poolID(i * modelCount % max(pools, modelCount)).Domain})
	}
	for i := range instances {
		m := srmember.New(instanceID(i), list[i].Domain, srmember.Options{Heartbeat: heartbeatInterval})
		m.UpdateList(f.now, list)
		f.members = append(f.members, m)
	}
	return f
}

// runUntilStable runs enough heartbeat rounds for every pool to have an owner that may
// grant its slots.
func (f *fleet) runUntilStable() {
	const rounds = 60
	for range rounds {
		f.exchangeHeartbeats()
	}
}

// exchangeHeartbeats lets each instance exchange one heartbeat with each other one.
func (f *fleet) exchangeHeartbeats() {
	for i, m := range f.members {
		hb := f.heartbeat(i)
		for j, other := range f.members {
			if i == j {
				continue
			}
			other.HeartbeatReceived(f.now, hb)
			m.HeartbeatAnswered(f.now, f.now, f.heartbeat(j))
		}
		m.Takeover(f.now, f.pools)
	}
	f.now = f.now.Add(heartbeatInterval)
}

// heartbeat returns the complete heartbeat of instance i, with summaries of its pools.
func (f *fleet) heartbeat(i int) sr.Heartbeat {
	hb := f.members[i].Heartbeat(f.now)
	for _, p := range f.pools {
		if f.members[i].Mode(f.now, p).Own {
			hb.Claims = append(hb.Claims, summary(p, instanceID(i)))
		}
	}
	hb.Version = sr.Version{Number: 8600, Digest: "1692d28550ca12129f29e51fea13a963ba14e277ff1a3e35f6457abd60777440"}
	return hb
}

// summary returns a pool summary with fixed values.
func summary(p sr.PoolID, owner sr.InstanceID) sr.PoolSummary {
	s := sr.PoolSummary{Pool: p, Owner: owner, Age: time.Millisecond, Free: 40, Slots: 700}
	for range tierCount + 1 {
		s.Waiting = append(s.Waiting, 3)
		s.Wait = append(s.Wait, 40*time.Millisecond)
		s.Running = append(s.Running, 120)
	}
	return s
}

// heartbeatBytes returns the size of one heartbeat exchange in a stable fleet, as the
// mean over the instances.
func heartbeatBytes(instances, pools int) float64 {
	f := newFleet(instances, pools)
	f.runUntilStable()
	total := 0
	for i := range f.members {
		hb := f.heartbeat(i)
		answer := f.heartbeat((i + 1) % len(f.members))
		total += sizeOf("Instance.Heartbeat", hb, answer)
	}
	return float64(total) / float64(instances)
}
