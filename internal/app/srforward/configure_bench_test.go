package srforward

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
)

// benchInstance returns an instance of a fleet of that size with 10 endpoints for each instance,
// in 6 services. Each member has requests in flight at 20 endpoints.
func benchInstance(b *testing.B, fleet int) *Instance {
	f := &testFleet{cfg: srforwardsettings.Settings{Memory: 184}, seeds: []string{"10.0.0.0:1"}}
	f.log = srlog.New(io.Discard, srlog.Options{Name: "test", Quiet: true})
	b.Cleanup(f.log.Close)
	n := f.newInstance("10.0.0.0:1", 1)
	routing := &sr.Routing{Version: 1, Services: map[string]sr.RoutedService{}}
	c := sr.Changes{AsOf: 1, Era: 1, Whole: true, Facts: []sr.RegistryEntry{{Kind: sr.EntryRouting, Revision: 1, Routing: routing}}}
	for i := range 10 * fleet {
		e := sr.LiveEndpoint{ID: fmt.Sprintf("endpoint-%d", i), Service: fmt.Sprintf("service-%d", i%6), State: sr.EndpointReady, Slots: 8, Domain: "d"}
		c.Facts = append(c.Facts, sr.RegistryEntry{Kind: sr.EntryEndpoint, Name: e.ID, Revision: 1, Endpoint: e})
	}
	for i := range fleet - 1 {
		_, err := n.members.receive(time.Now(), benchGossip(fleet, i+1))
		assert.NilError(b, err)
	}
	n.view.Apply(n.Clock(), n.Clock(), c)
	n.configure()
	return n
}

func benchGossip(fleet, i int) sr.Gossip {
	running := make(map[string]int)
	for k := range 20 {
		running[fmt.Sprintf("endpoint-%d", (i*17+k)%(10*fleet))] = 1 + k%3
	}
	return sr.Gossip{From: sr.InstanceID{Address: fmt.Sprintf("10.0.%d.%d:7300", i%4, i), Incarnation: 1}, Domain: "d", Usage: sr.Usage{Running: running}}
}

// BenchmarkConfigure measures what the sweep does every sweepInterval.
func BenchmarkConfigure(b *testing.B) {
	for _, fleet := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			n := benchInstance(b, fleet)
			for b.Loop() {
				n.configure()
			}
		})
	}
}

// BenchmarkPeerLoad measures what the gossip loop does every gossipTick, with as many messages
// as arrive in it.
func BenchmarkPeerLoad(b *testing.B) {
	for _, fleet := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			n := benchInstance(b, fleet)
			for i := 0; b.Loop(); i++ {
				for k := range 5 {
					_, err := n.members.receive(time.Now(), benchGossip(fleet, 1+(5*i+k)%(fleet-1)))
					assert.NilError(b, err)
				}
				n.queues.setPeerLoad(n.members.load(time.Now()))
			}
		})
	}
}
