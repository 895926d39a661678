package srforward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srinstance"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srtimer"
)

// transfers is the state of transfers of registry entries between instances.
type transfers struct {
	// requested holds a signal when another instance has entries that the view lacks.
	requested chan struct{}

	mu sync.Mutex
	// behindSince is when another instance first had entries that the view lacks, zero
	// when none has.
	behindSince time.Time
	// active holds the time of the last request of each instance to which the
	// configuration is being transferred, by address.
	active map[string]time.Time
	// routing is the configuration in encoded.
	routing *sr.Routing
	encoded []byte
}

func newTransfers() *transfers {
	return &transfers{requested: make(chan struct{}, 1), active: make(map[string]time.Time)}
}

// request orders a pull, unless one is ordered already.
func (t *transfers) request(now time.Time) {
	t.mu.Lock()
	if t.behindSince.IsZero() {
		t.behindSince = now
	}
	t.mu.Unlock()
	select {
	case t.requested <- struct{}{}:
	default:
	}
}

// caughtUp records that no other instance has entries that the view lacks.
func (t *transfers) caughtUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behindSince = time.Time{}
}

// behindFor returns for how long another instance has had entries that the view lacks.
func (t *transfers) behindFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behindSince.IsZero() {
		return 0
	}
	return now.Sub(t.behindSince)
}

// admit reports whether the configuration may be transferred to an instance now.
func (t *transfers) admit(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, last := range t.active {
		if now.Sub(last) > transferIdle {
			delete(t.active, a)
		}
	}
	if _, ok := t.active[address]; !ok && len(t.active) >= maxTransfers {
		return false
	}
	t.active[address] = now
	return true
}

// end records that the transfer to an instance is complete.
func (t *transfers) end(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active, address)
}

// encode returns the encoded configuration of a registry entry. The last one is kept.
func (t *transfers) encode(e sr.RegistryEntry) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.encoded != nil && t.routing == e.Routing {
		return t.encoded, nil
	}
	data, err := srinstance.EncodeRouting(e.Routing)
	if err != nil {
		return nil, err
	}
	t.routing, t.encoded = e.Routing, data
	return data, nil
}

// Pull implements sr.FleetHandler.
func (n *Instance) Pull(_ context.Context, after uint64) (sr.Changes, error) {
	return n.view.Since(n.inOwnEra(after), n.Clock()), nil
}

// inOwnEra returns the position of a revision that an instance of an earlier version stated.
func (n *Instance) inOwnEra(revision uint64) sr.Position {
	return sr.Position{Era: n.view.Position().Era, Revision: revision}
}

// Entries implements sr.FleetHandler.
func (n *Instance) Entries(ctx context.Context, after uint64) (sr.Changes, error) {
	return n.EntriesSince(ctx, n.inOwnEra(after))
}

// EntriesSince implements sr.FleetHandler. A configuration that is longer than one part is
// left out, so that it does not delay the other entries.
func (n *Instance) EntriesSince(_ context.Context, after sr.Position) (sr.Changes, error) {
	c := n.view.Since(after, n.Clock())
	for i, e := range c.Facts {
		if e.Kind != sr.EntryRouting || e.Routing == nil {
			continue
		}
		data, err := n.transfers.encode(e)
		if err != nil {
			return sr.Changes{}, err
		}
		if len(data) > routingPartBytes {
			c.Facts = append(c.Facts[:i:i], c.Facts[i+1:]...)
			c.RoutingAt, c.RoutingVersion = e.Revision, e.Routing.Version
		}
		break
	}
	return c, nil
}

// RoutingPart implements sr.FleetHandler.
func (n *Instance) RoutingPart(_ context.Context, r sr.RoutingRequest) (sr.RoutingPart, error) {
	e, era, ok := n.view.RoutingEntry()
	own, requested := sr.Position{Era: era, Revision: e.Revision}, sr.Position{Era: r.Era, Revision: r.Revision}
	if r.Era == 0 {
		// An instance that does not know the era.
		requested.Era = era
	}
	if !ok || own.Before(requested) {
		return sr.RoutingPart{}, errors.Wrap(sr.ErrMissing, "srforward: configuration")
	}
	if !n.transfers.admit(time.Now(), r.From) {
		return sr.RoutingPart{}, errors.Wrap(sr.ErrOverloaded, "srforward: configuration is being transferred to other instances")
	}
	data, err := n.transfers.encode(e)
	if err != nil {
		return sr.RoutingPart{}, err
	}
	offset := r.Offset
	if own != requested {
		offset = 0
	}
	offset = min(max(offset, 0), len(data))
	end := min(offset+routingPartBytes, len(data))
	if end == len(data) {
		n.transfers.end(r.From)
	}
	return sr.RoutingPart{Revision: e.Revision, Era: era, Size: len(data), Data: data[offset:end]}, nil
}

// fetch pulls the registry entries that other instances have and this one has not, from
// one instance at a time, until ctx ends. Concurrent pulls would share the link and
// could all time out.
func (n *Instance) fetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.transfers.requested:
		}
		delay := minTransferRetryDelay
		for ctx.Err() == nil {
			extent := n.view.Extent()
			list, newest := n.members.ahead(time.Now(), extent, n.random)
			if len(list) == 0 {
				n.transfers.caughtUp()
				break
			}
			n.pull(ctx, list[:min(len(list), maxTransferSources)], newest)
			if extent.Lacks(n.view.Extent()) {
				delay = minTransferRetryDelay
				continue
			}
			_ = srtimer.Wait(ctx, delay/2+time.Duration(n.random.intN(int(delay))))
			delay = min(2*delay, maxTransferRetryDelay)
		}
	}
}

// pull fetches the entries after the own position from the first of several instances
// that answers. The parts of a long configuration may come from another one of them. The
// other entries are applied before the parts are fetched.
func (n *Instance) pull(ctx context.Context, from []string, newest sr.Position) {
	requestedAt := n.Clock()
	position, age := n.view.AsOf(requestedAt)
	c, address, err := n.pullEntries(ctx, from, position)
	if err == nil && c.RoutingAt > 0 {
		n.reportUpdate(n.view.ApplyEarly(n.Clock(), c), address)
		e, ok := n.ownRouting(c)
		if !ok {
			e, address, err = n.pullRouting(ctx, from, sr.Position{Era: c.Era, Revision: c.RoutingAt})
		}
		c.Facts = append(c.Facts, e)
	}
	n.Log.State("pull", srlog.Peer, address, srlog.Era, position.Era, srlog.Revision, position.Revision, srlog.NewestEra, newest.Era, srlog.Newest, newest.Revision, srlog.Age, age,
		srlog.Count, len(c.Facts), srlog.Total, n.Clock().Sub(requestedAt), srlog.Error, errorText(err))
	if err == nil {
		n.applyChanges(requestedAt, c, address)
	}
}

// ownRouting returns the entry of a configuration that is transferred apart, if the view has
// that configuration or a newer one, as after a restore of the registry.
func (n *Instance) ownRouting(c sr.Changes) (e sr.RegistryEntry, ok bool) {
	e, _, ok = n.view.RoutingEntry()
	if !ok || c.RoutingVersion == 0 || e.Routing.Version < c.RoutingVersion {
		return sr.RegistryEntry{}, false
	}
	return sr.RegistryEntry{Kind: sr.EntryRouting, Revision: c.RoutingAt, Routing: e.Routing, Carried: e.Routing.Version > c.RoutingVersion}, true
}

// pullEntries returns the entries after a position from the first instance that answers,
// with its address.
func (n *Instance) pullEntries(ctx context.Context, from []string, after sr.Position) (c sr.Changes, address string, err error) {
	for _, address = range from {
		if c, err = n.callEntries(ctx, address, after); err == nil {
			err = checkEntries(c)
		}
		if err == nil {
			return c, address, nil
		}
		n.countFailure(err)
	}
	return c, address, err
}

// pullRouting returns the configuration at a position, or a newer one, from the first
// instance that has capacity, with its address.
func (n *Instance) pullRouting(ctx context.Context, from []string, at sr.Position) (e sr.RegistryEntry, address string, err error) {
	for _, address = range from {
		if e, err = n.pullParts(ctx, address, at); err == nil {
			return e, address, nil
		}
		n.countFailure(err)
	}
	return e, address, err
}

// countFailure counts a pull that failed.
func (n *Instance) countFailure(err error) {
	if errors.Is(err, sr.ErrOverloaded) {
		n.stats.count("fleet.busy")
		return
	}
	n.stats.count("fleet.failed")
}

func (n *Instance) callEntries(ctx context.Context, address string, after sr.Position) (sr.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	peer := n.Fleet.FleetPeer(address)
	extent := n.members.extentOf(address)
	if extent.Position.Era == 0 {
		// The instance may be of an earlier version.
		return peer.Entries(ctx, after.Revision)
	}
	if n.view.Extent().Prior.Before(extent.Prior) {
		// Entries that the registry lost are part of a full listing only.
		after.Revision = 0
	}
	return peer.EntriesSince(ctx, after)
}

// pullParts fetches the parts of a configuration from one instance.
func (n *Instance) pullParts(ctx context.Context, address string, at sr.Position) (sr.RegistryEntry, error) {
	var data []byte
	for restarts := 0; restarts <= maxTransferRestarts; {
		p, err := n.callRoutingPart(ctx, address, sr.RoutingRequest{From: n.Self.Address, Revision: at.Revision, Era: at.Era, Offset: len(data)})
		if err != nil {
			return sr.RegistryEntry{}, err
		}
		if p.Era != at.Era {
			return sr.RegistryEntry{}, errors.Wrapf(sr.ErrHistoryLost, "srforward: configuration of era %d instead of %d", p.Era, at.Era)
		}
		if p.Revision != at.Revision {
			// The instance has received a newer configuration meanwhile.
			at, data = sr.Position{Era: p.Era, Revision: p.Revision}, nil
			restarts++
		}
		if p.Size > srinstance.MaxRoutingBytes {
			return sr.RegistryEntry{}, errors.Wrapf(sr.ErrInvalid, "srforward: configuration of %d bytes", p.Size)
		}
		data = append(data, p.Data...)
		if len(data) >= p.Size {
			c, err := srinstance.DecodeRouting(data)
			return sr.RegistryEntry{Kind: sr.EntryRouting, Revision: at.Revision, Routing: c}, err
		}
		if len(p.Data) == 0 {
			return sr.RegistryEntry{}, errors.Wrap(sr.ErrInvalid, "srforward: empty part of a configuration")
		}
	}
	return sr.RegistryEntry{}, errors.Wrapf(sr.ErrInvalid, "srforward: configuration changed %d times during its transfer", maxTransferRestarts+1)
}

func (n *Instance) callRoutingPart(ctx context.Context, address string, r sr.RoutingRequest) (sr.RoutingPart, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return n.Fleet.FleetPeer(address).RoutingPart(ctx, r)
}
