package srfleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmember"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

const (
	// triggerPause delays a triggered round. It is the shortest time between two
	// rounds; triggers that arrive meanwhile share one round.
	triggerPause = 20 * time.Millisecond
	// summaryRetentionLapses is how long a received summary is kept, in lapses.
	summaryRetentionLapses = 3
	// listInterval is the interval at which the platform's instance list is read.
	listInterval = time.Second
	// peerCallDivisor sets the timeout of a call to another instance: the lapse divided
	// by it.
	peerCallDivisor = 4
)

// Run exchanges heartbeats until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.pollInstances(ctx) })
	defer wg.Wait()
	ticker := time.NewTicker(f.deps.Heartbeat)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.runRound(ctx, &wg)
		select {
		case <-ticker.C:
		case <-f.trigger:
			_ = srtimer.Wait(ctx, triggerPause)
		case <-ctx.Done():
		}
	}
}

// runRound detects a pause of the process, sends heartbeats, handles lost instances
// and updates the ownership of pools and the floors.
func (f *Fleet) runRound(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	f.detectPause(now)
	f.sendHeartbeats(ctx, now, wg)
	actions, lost := f.updateOwnership(now)
	for _, id := range lost {
		f.count("instances.lost")
		f.deps.Log.Info("instance lost", "instance", id.Address)
		f.deps.Owners.HolderLost(id)
	}
	for _, a := range actions {
		f.applyAction(ctx, a, wg)
	}
	f.deps.Owners.SetFloors(f.FloorState)
}

// detectPause detects that the process did not run for longer than a lapse. What was
// learned from earlier exchanges is then out of date.
func (f *Fleet) detectPause(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lastRound.IsZero() && now.Sub(f.lastRound) > f.deps.Lapse {
		f.members.Resumed(now)
		clear(f.lastExchange)
		f.count("pauses")
		f.deps.Log.Info("process was paused", "for", now.Sub(f.lastRound).String())
	}
	f.lastRound = now
}

// sendHeartbeats sends a heartbeat to each peer that has none in flight.
func (f *Fleet) sendHeartbeats(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	hb := f.newHeartbeat(now)
	due, all := f.reservePeers(now)
	if f.deps.KeepPeers != nil {
		f.deps.KeepPeers(all)
	}
	for _, address := range due {
		wg.Go(func() { f.exchange(ctx, address, hb, now) })
	}
}

// reservePeers returns the addresses of the peers without a heartbeat in flight, which
// it marks as in flight, and those of all peers. It drops the exchange times of former
// peers.
func (f *Fleet) reservePeers(now time.Time) (due, all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all = f.members.HeartbeatAddresses(now)
	maps.DeleteFunc(f.lastExchange, func(address string, _ time.Time) bool { return !slices.Contains(all, address) })
	for _, address := range all {
		if f.inFlight[address] {
			continue
		}
		f.inFlight[address] = true
		due = append(due, address)
	}
	return due, all
}

// exchange sends one heartbeat, composed at sent, and applies its answer.
func (f *Fleet) exchange(ctx context.Context, address string, hb sr.Heartbeat, sent time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, f.deps.Lapse/peerCallDivisor)
	defer cancel()
	answer, err := f.deps.Peers.Peer(address).Heartbeat(callCtx, hb)
	now := time.Now()
	f.mu.Lock()
	delete(f.inFlight, address)
	f.lastExchange[address] = sent
	if err != nil {
		f.members.HeartbeatFailed(now, address)
		f.mu.Unlock()
		f.count("heartbeats.failed")
		return
	}
	f.members.HeartbeatAnswered(now, sent, answer)
	f.floors.Ack(now, answer.From, sent)
	f.mu.Unlock()
	f.count("heartbeats")
	f.deps.Owners.ReconcileLeases(sent, answer.From, answer.Held)
	f.applyHeartbeat(now, answer)
}

// Heartbeat answers another instance's heartbeat.
func (f *Fleet) Heartbeat(_ context.Context, hb sr.Heartbeat) (sr.Heartbeat, error) {
	now := time.Now()
	f.mu.Lock()
	f.members.HeartbeatReceived(now, hb)
	f.mu.Unlock()
	f.applyHeartbeat(now, hb)
	answer := f.newHeartbeat(now)
	answer.Held = f.deps.HeldLeases(hb.Claims)
	return answer, nil
}

// applyHeartbeat applies the pool summaries, floors and manifest version of a
// heartbeat.
func (f *Fleet) applyHeartbeat(now time.Time, hb sr.Heartbeat) {
	f.mu.Lock()
	f.floors.Receive(now, hb.From, hb.Floors)
	for _, n := range hb.Claims {
		f.storeSummary(now, n)
	}
	f.mu.Unlock()
	if v, _ := f.deps.Store.Version(); hb.Version.Number > v.Number {
		f.deps.OnNewerManifest(hb.From.Address, hb.Version)
	}
	if len(hb.Floors) > 0 {
		f.deps.Owners.SetFloors(f.FloorState)
	}
}

// storeSummary stores a pool's summary, unless it comes from an instance other than the
// owner and the owner's own summary has not expired.
func (f *Fleet) storeSummary(now time.Time, n sr.PoolSummary) {
	old, ok := f.summaries[n.Pool]
	owner, known := f.members.CurrentOwner(now, n.Pool)
	if ok && known && old.summary.Owner == owner && n.Owner != owner && now.Sub(old.at) < f.summaryRetention() {
		return
	}
	f.summaries[n.Pool] = receivedSummary{summary: n, at: now}
}

// summaryRetention returns how long a received summary is kept.
func (f *Fleet) summaryRetention() time.Duration { return summaryRetentionLapses * f.deps.Lapse }

// newHeartbeat returns the heartbeat to send or to answer with at now. The lists of
// held leases are added to answers by the caller.
func (f *Fleet) newHeartbeat(now time.Time) sr.Heartbeat {
	summaries := f.deps.Owners.PoolSummaries()
	version, _ := f.deps.Store.Version()
	f.mu.Lock()
	defer f.mu.Unlock()
	hb := f.members.Heartbeat(now)
	hb.Version = version
	hb.Floors = f.floors.Announced(now)
	for _, n := range summaries {
		if f.members.Mode(now, n.Pool).Own {
			hb.Claims = append(hb.Claims, n)
		}
	}
	return hb
}

// updateOwnership updates the ownership of pools and the majority, and drops expired
// state. It returns the ownership decisions and the instances lost since the last
// call.
func (f *Fleet) updateOwnership(now time.Time) ([]srmember.OwnershipAction, []sr.InstanceID) {
	m, ok := f.deps.Store.Current()
	f.mu.Lock()
	defer f.mu.Unlock()
	var actions []srmember.OwnershipAction
	if ok {
		actions = f.members.Takeover(now, m.Pools())
	}
	f.floors.SetLive(now, liveIDs(f.members.Live(now)))
	f.logMajorityChange(f.members.Majority(now))
	for pool, h := range f.handovers {
		if now.Sub(h.at) > handoverRetention {
			delete(f.handovers, pool)
		}
	}
	maps.DeleteFunc(f.summaries, func(_ sr.PoolID, h receivedSummary) bool { return now.Sub(h.at) >= f.summaryRetention() })
	return actions, f.members.Lost(now)
}

func (f *Fleet) logMajorityChange(majority bool) {
	if majority == f.majority {
		return
	}
	f.majority = majority
	f.count("majority.changes")
	f.deps.Log.Info("majority changed", "heard", majority)
}

// pollInstances periodically reads the platform's list of instances until ctx ends.
func (f *Fleet) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, listInterval)
		instances, err := f.deps.Platform.Instances(callCtx)
		cancel()
		if err != nil {
			f.count("list.failed")
		} else {
			f.mu.Lock()
			f.members.UpdateList(time.Now(), instances)
			f.mu.Unlock()
		}
		_ = srtimer.Wait(ctx, listInterval)
	}
}

func liveIDs(live []srmember.Member) []sr.InstanceID {
	ids := make([]sr.InstanceID, 0, len(live))
	for _, l := range live {
		ids = append(ids, l.ID)
	}
	return ids
}
