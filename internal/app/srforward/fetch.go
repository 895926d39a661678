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
	// requested holds a signal when another instance has stated a newer revision.
	requested chan struct{}

	mu sync.Mutex
	// behindSince is when another instance first stated a newer revision than that of
	// the view, zero when none has.
	behindSince time.Time
	// active holds the time of the last request of each instance to which the
	// configuration is being transferred, by address.
	active map[string]time.Time
	// revision is the revision of the configuration in encoded.
	revision uint64
	encoded  []byte
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

// caughtUp records that no other instance has a newer revision.
func (t *transfers) caughtUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behindSince = time.Time{}
}

// behindFor returns for how long another instance has had a newer revision.
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
	if t.encoded != nil && t.revision == e.Revision {
		return t.encoded, nil
	}
	data, err := srinstance.EncodeRouting(e.Routing)
	if err != nil {
		return nil, err
	}
	t.revision, t.encoded = e.Revision, data
	return data, nil
}

// Pull implements sr.FleetHandler.
func (n *Instance) Pull(_ context.Context, after uint64) (sr.Changes, error) {
	return n.view.Since(after, n.Clock()), nil
}

// Entries implements sr.FleetHandler. A configuration that is longer than one part is
// left out, so that it does not delay the other entries.
func (n *Instance) Entries(_ context.Context, after uint64) (sr.Changes, error) {
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
			c.RoutingAt = e.Revision
		}
		break
	}
	return c, nil
}

// RoutingPart implements sr.FleetHandler.
func (n *Instance) RoutingPart(_ context.Context, r sr.RoutingRequest) (sr.RoutingPart, error) {
	e, ok := n.view.RoutingEntry()
	if !ok || e.Revision < r.Revision {
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
	if e.Revision != r.Revision {
		offset = 0
	}
	offset = min(max(offset, 0), len(data))
	end := min(offset+routingPartBytes, len(data))
	if end == len(data) {
		n.transfers.end(r.From)
	}
	return sr.RoutingPart{Revision: e.Revision, Size: len(data), Data: data[offset:end]}, nil
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
			revision := n.view.Revision()
			list, newest := n.members.ahead(time.Now(), revision, n.random)
			if len(list) == 0 {
				n.transfers.caughtUp()
				break
			}
			n.pull(ctx, list[:min(len(list), maxTransferSources)], newest)
			if n.view.Revision() > revision {
				delay = minTransferRetryDelay
				continue
			}
			_ = srtimer.Wait(ctx, delay/2+time.Duration(n.random.intN(int(delay))))
			delay = min(2*delay, maxTransferRetryDelay)
		}
	}
}

// pull fetches the entries after the own revision from the first of several instances
// that answers. The parts of a long configuration may come from another one of them. The
// other entries are applied before the parts are fetched.
func (n *Instance) pull(ctx context.Context, from []string, newest uint64) {
	requestedAt := n.Clock()
	revision, age := n.view.AsOf(requestedAt)
	c, address, err := n.pullEntries(ctx, from, revision)
	if err == nil && c.RoutingAt > 0 {
		n.reportUpdate(n.view.ApplyEarly(n.Clock(), c.Facts), address)
		var e sr.RegistryEntry
		e, address, err = n.pullRouting(ctx, from, c.RoutingAt)
		c.Facts = append(c.Facts, e)
	}
	n.Log.State("pull", srlog.Peer, address, srlog.Revision, revision, srlog.Newest, newest, srlog.Age, age,
		srlog.Count, len(c.Facts), srlog.Total, n.Clock().Sub(requestedAt), srlog.Error, errorText(err))
	if err == nil {
		n.applyChanges(requestedAt, c, address)
	}
}

// pullEntries returns the entries after a revision from the first instance that answers,
// with its address.
func (n *Instance) pullEntries(ctx context.Context, from []string, after uint64) (c sr.Changes, address string, err error) {
	for _, address = range from {
		if c, err = n.callEntries(ctx, address, after); err == nil {
			return c, address, nil
		}
		n.stats.count("fleet.failed")
	}
	return c, address, err
}

// pullRouting returns the configuration at a revision, or a newer one, from the first
// instance that has capacity, with its address.
func (n *Instance) pullRouting(ctx context.Context, from []string, revision uint64) (e sr.RegistryEntry, address string, err error) {
	for _, address = range from {
		e, err = n.pullParts(ctx, address, revision)
		switch {
		case err == nil:
			return e, address, nil
		case errors.Is(err, sr.ErrOverloaded):
			n.stats.count("fleet.busy")
		default:
			n.stats.count("fleet.failed")
		}
	}
	return e, address, err
}

func (n *Instance) callEntries(ctx context.Context, address string, after uint64) (sr.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return n.Fleet.FleetPeer(address).Entries(ctx, after)
}

// pullParts fetches the parts of a configuration from one instance.
func (n *Instance) pullParts(ctx context.Context, address string, revision uint64) (sr.RegistryEntry, error) {
	var data []byte
	for {
		p, err := n.callRoutingPart(ctx, address, sr.RoutingRequest{From: n.Self.Address, Revision: revision, Offset: len(data)})
		if err != nil {
			return sr.RegistryEntry{}, err
		}
		if p.Revision != revision {
			// The instance has received a newer configuration meanwhile.
			revision, data = p.Revision, nil
		}
		data = append(data, p.Data...)
		if len(data) >= p.Size {
			c, err := srinstance.DecodeRouting(data)
			return sr.RegistryEntry{Kind: sr.EntryRouting, Revision: revision, Routing: c}, err
		}
		if len(p.Data) == 0 {
			return sr.RegistryEntry{}, errors.Wrap(sr.ErrInvalid, "srforward: empty part of a configuration")
		}
	}
}

func (n *Instance) callRoutingPart(ctx context.Context, address string, r sr.RoutingRequest) (sr.RoutingPart, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return n.Fleet.FleetPeer(address).RoutingPart(ctx, r)
}
