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
	// kickPause is the shortest time between two rounds.
	kickPause = 20 * time.Millisecond
	// newsLapses is the number of lapses for which a pool's summary is kept.
	newsLapses = 3
	// listInterval is the interval at which the instance list is read.
	listInterval = time.Second
)

// Run exchanges heartbeats until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.readList(ctx) })
	defer wg.Wait()
	ticker := time.NewTicker(f.deps.Heartbeat)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.round(ctx, &wg)
		select {
		case <-ticker.C:
		case <-f.kick:
			_ = srtimer.Wait(ctx, kickPause)
		case <-ctx.Done():
		}
	}
}

// round notices pauses and losses, sends heartbeats and moves ownership on.
func (f *Fleet) round(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	f.noticePause(now)
	f.sendAll(ctx, now, wg)
	turns, lost := f.takeover(now)
	for _, id := range lost {
		f.count("instances.lost")
		f.deps.Log.Info("instance lost", "instance", id.Address)
		f.deps.Owners.HolderLost(id)
	}
	for _, t := range turns {
		f.carryOut(ctx, t, wg)
	}
	f.deps.Owners.SetFloors(f.FloorState)
}

func (f *Fleet) noticePause(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lastTick.IsZero() && now.Sub(f.lastTick) > f.deps.Lapse {
		f.members.Woke(now)
		clear(f.ended)
		f.count("pauses")
		f.deps.Log.Info("process was paused", "for", now.Sub(f.lastTick).String())
	}
	f.lastTick = now
}

// sendAll sends a heartbeat to each target that has none on its way.
func (f *Fleet) sendAll(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	hb := f.compose(now)
	targets, all := f.takeTargets(now)
	if f.deps.Keep != nil {
		f.deps.Keep(all)
	}
	for _, address := range targets {
		wg.Go(func() { f.exchange(ctx, address, hb, now) })
	}
}

// takeTargets returns the targets without a heartbeat on its way, which it
// marks, and all targets. Exchanges with what is no target any longer are forgotten.
func (f *Fleet) takeTargets(now time.Time) (targets, all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all = f.members.Targets(now)
	maps.DeleteFunc(f.ended, func(address string, _ time.Time) bool { return !slices.Contains(all, address) })
	for _, address := range all {
		if f.busy[address] {
			continue
		}
		f.busy[address] = true
		targets = append(targets, address)
	}
	return targets, all
}

// exchange sends one heartbeat, composed at sent, and takes its answer.
func (f *Fleet) exchange(ctx context.Context, address string, hb sr.Heartbeat, sent time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, f.deps.Lapse/4)
	defer cancel()
	answer, err := f.deps.Peers.Peer(address).Heartbeat(callCtx, hb)
	now := time.Now()
	f.mu.Lock()
	delete(f.busy, address)
	f.ended[address] = sent
	if err != nil {
		f.members.Failed(now, address)
		f.mu.Unlock()
		f.count("heartbeats.failed")
		return
	}
	f.members.Heard(now, sent, answer)
	f.floors.Ack(now, answer.From, sent)
	f.mu.Unlock()
	f.count("heartbeats")
	f.deps.Owners.Held(sent, answer.From, answer.Held)
	f.take(now, answer)
}

// Heartbeat answers another instance's heartbeat.
func (f *Fleet) Heartbeat(_ context.Context, hb sr.Heartbeat) (sr.Heartbeat, error) {
	now := time.Now()
	f.mu.Lock()
	f.members.Received(now, hb)
	f.mu.Unlock()
	f.take(now, hb)
	answer := f.compose(now)
	answer.Held = f.deps.Held(hb.Claims)
	return answer, nil
}

// take notes the news, floors and version of a heartbeat.
func (f *Fleet) take(now time.Time, hb sr.Heartbeat) {
	f.mu.Lock()
	f.floors.Hear(now, hb.From, hb.Floors)
	for _, n := range hb.Claims {
		f.hearNews(now, n)
	}
	f.mu.Unlock()
	if v, _ := f.deps.Store.Version(); hb.Version.Number > v.Number {
		f.deps.Behind(hb.From.Address, hb.Version)
	}
	if len(hb.Floors) > 0 {
		f.deps.Owners.SetFloors(f.FloorState)
	}
}

// hearNews keeps a pool's summary unless it comes from another than the
// pool's holder and the holder's own is still of use.
func (f *Fleet) hearNews(now time.Time, n sr.PoolNews) {
	old, ok := f.news[n.Pool]
	holder, known := f.members.Holder(now, n.Pool)
	if ok && known && old.news.Owner == holder && n.Owner != holder && now.Sub(old.at) < f.keepNews() {
		return
	}
	f.news[n.Pool] = heardNews{news: n, at: now}
}

// keepNews is how long a summary is of use.
func (f *Fleet) keepNews() time.Duration { return newsLapses * f.deps.Lapse }

// compose returns a heartbeat of this instance.
func (f *Fleet) compose(now time.Time) sr.Heartbeat {
	news := f.deps.Owners.News()
	version, _ := f.deps.Store.Version()
	f.mu.Lock()
	defer f.mu.Unlock()
	hb := f.members.Heartbeat(now)
	hb.Version = version
	hb.Floors = f.floors.Floors(now)
	for _, n := range news {
		if f.members.Mode(now, n.Pool).Own {
			hb.Claims = append(hb.Claims, n)
		}
	}
	return hb
}

// takeover returns what to do about the pools, and who was lost.
func (f *Fleet) takeover(now time.Time) ([]srmember.Turn, []sr.InstanceID) {
	m, ok := f.deps.Store.Current()
	f.mu.Lock()
	defer f.mu.Unlock()
	var turns []srmember.Turn
	if ok {
		turns = f.members.Takeover(now, m.Pools())
	}
	f.floors.SetLive(now, liveIDs(f.members.Live(now)))
	f.noteMajority(f.members.Majority(now))
	for pool, h := range f.handovers {
		if now.Sub(h.at) > keepHandover {
			delete(f.handovers, pool)
		}
	}
	maps.DeleteFunc(f.news, func(_ sr.PoolID, h heardNews) bool { return now.Sub(h.at) >= f.keepNews() })
	return turns, f.members.Lost(now)
}

func (f *Fleet) noteMajority(majority bool) {
	if majority == f.majority {
		return
	}
	f.majority = majority
	f.count("majority.changes")
	f.deps.Log.Info("majority", "heard", majority)
}

// readList reads the platform's list of instances until ctx ends.
func (f *Fleet) readList(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, listInterval)
		instances, err := f.deps.Platform.Instances(callCtx)
		cancel()
		if err != nil {
			f.count("list.failed")
		} else {
			f.mu.Lock()
			f.members.Listed(time.Now(), instances)
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
