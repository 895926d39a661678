package srfleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srtier"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmember"
)

const (
	testHeartbeat = 250 * time.Millisecond
	testLapse     = 2 * time.Second
)

// silentPeer is a peer that never answers.
type silentPeer struct{ sr.Handler }

func (p silentPeer) Peer(string) sr.Handler { return p }

func (silentPeer) Heartbeat(ctx context.Context, _ sr.Heartbeat) (sr.Heartbeat, error) {
	<-ctx.Done()
	return sr.Heartbeat{}, sr.ErrUnreachable
}

// noPools owns no pool.
type noPools struct{ Owners }

func (noPools) PoolSummaries() []sr.PoolSummary             { return nil }
func (noPools) SetFloors(func(target string) sr.FloorState) {}

// singleInstancePlatform is a platform that lists only the silent peer.
type singleInstancePlatform struct{ sr.Platform }

func (singleInstancePlatform) Instances(context.Context) ([]sr.Instance, error) {
	return []sr.Instance{{Address: "10.0.0.2:7300"}}, nil
}

// A view must not count as fresh before the first exchange with each peer has ended.
// Here the only peer never answers, so that its exchange ends by the timeout of a
// quarter of the lapse.
func TestViewIsNotFreshBeforeAnExchangeWithEachPeerHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := srmanifest.New()
		_, err := store.Offer(srmanifest.Bundle(1, map[string][]byte{
			"tiers": []byte("[tier dawn]\nrank = 1\nfirst = 1s\ngap = 100ms\nbudget = 30s\n"),
		}))
		assert.NilError(t, err)
		self := sr.InstanceID{Address: "10.0.0.1:7300", Incarnation: 1}
		var kept []string
		f := New(Deps{
			Self:      self,
			Members:   srmember.New(self, "brno-a", srmember.Options{Seeds: []string{"10.0.0.2:7300"}}),
			Floors:    srtier.New(self, testLapse),
			Store:     store,
			Owners:    noPools{},
			Peers:     silentPeer{},
			Platform:  singleInstancePlatform{},
			KeepPeers: func(addresses []string) { kept = addresses },
			Heartbeat: testHeartbeat,
			Lapse:     testLapse,
			Log:       logr.Discard(),
			Metrics:   metrics.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		start := time.Now()
		assert.NilError(t, f.AwaitFreshView(ctx))
		assert.Check(t, time.Since(start) >= testLapse/4, "fresh after %v", time.Since(start))
		cancel()
		<-done
		assert.DeepEqual(t, kept, []string{"10.0.0.2:7300"})
	})
}
