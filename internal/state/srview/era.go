package srview

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// outdated reports whether an answer is older than the view, or has the changes of another
// era, which do not continue the view.
func (v *View) outdated(c sr.Changes) bool {
	switch {
	case v.position.Revision == 0:
		return false
	case c.Era != v.position.Era:
		return c.Era < v.position.Era || !c.Whole
	}
	return c.Whole && c.AsOf < v.position.Revision
}

// beginEra replaces the entries by those of a full listing of a new era, and returns those
// that changed the view. The registry was restored from a copy that may be older than the
// view, so revisions do not tell which of two entries is newer. What the view knows to be
// newer is carried over until the registry has it again.
func (v *View) beginEra(c sr.Changes, now time.Time) []sr.RegistryEntry {
	informed := includes(c.Prior, v.position)
	old := v.entries
	v.entries = make(map[entryKey]storedEntry, len(old))
	v.prior, v.position, v.forgotten = v.position, sr.Position{}, 0
	for _, e := range c.Facts {
		key := entryKey{kind: e.Kind, name: e.Name}
		switch before, ok := old[key]; {
		case ok:
			v.entries[key] = v.merge(e, before, now)
		case informed:
			v.entries[key] = newStoredEntry(e, before, now)
		default:
			v.entries[key] = v.storeUnknown(e, now)
		}
	}
	for key, stored := range old {
		if _, listed := v.entries[key]; listed {
			continue
		}
		if informed && key.kind != sr.EntryRouting {
			stored.entry.Gone = true
		}
		v.entries[key] = v.carry(stored, c.AsOf, now)
	}
	var changed []sr.RegistryEntry
	for key, stored := range v.entries {
		before, ok := old[key]
		if !ok || stored.entry.Gone != before.entry.Gone || stored.entry.Endpoint != before.entry.Endpoint ||
			stored.entry.Routing != before.entry.Routing || stored.heldUntil != before.heldUntil {
			changed = append(changed, stored.relay(now))
		}
	}
	return changed
}

// storeUnknown returns what is stored for an entry of a new era that the view does not have.
// An endpoint may have gone long ago, so it is held until its registration would have expired.
func (v *View) storeUnknown(e sr.RegistryEntry, now time.Time) storedEntry {
	stored := newStoredEntry(e, storedEntry{}, now)
	if e.Kind == sr.EntryEndpoint && !stored.entry.Gone {
		stored.entry.Carried = true
		stored.heldUntil = now.Add(v.opts.LapseTimeout)
	}
	return stored
}

// carry returns what is stored for an entry that the registry does not have in a new era. An
// endpoint registers again soon, unless it has gone. The order to evacuate a failure domain is no
// registration and does not expire. An event of the registry replaces the entry, whatever its
// revision.
func (v *View) carry(old storedEntry, asOf uint64, now time.Time) storedEntry {
	if old.entry.Gone || !old.heldUntil.IsZero() {
		// The removal is kept, since another copy may have the entry.
		old.entry.Revision, old.entry.Gone, old.entry.Carried = 0, true, false
		old.removeAt, old.heldUntil = time.Time{}, time.Time{}
		return old
	}
	old.entry.Revision, old.entry.Carried = 0, true
	switch old.entry.Kind {
	case sr.EntryEndpoint:
		old.removeAt = now.Add(v.opts.RenewTimeout)
	case sr.EntryRouting:
		old.entry.Revision = asOf
	}
	return old
}

// merge returns what is stored for an entry of a new era that the view has.
func (v *View) merge(e sr.RegistryEntry, old storedEntry, now time.Time) storedEntry {
	next := newStoredEntry(e, old, now)
	kept := old
	kept.entry.Revision, kept.entry.Carried = e.Revision, true
	kept.removeAt, kept.heldUntil = next.removeAt, next.heldUntil
	switch {
	case e.Kind == sr.EntryRouting && supersedes(e, old.entry):
		return next
	case e.Kind == sr.EntryRouting:
		kept.entry.Carried = e.Carried || e.Routing == nil || e.Routing.Version < old.entry.Routing.Version
		return kept
	case e.Kind != sr.EntryEndpoint || next.entry.Gone:
		return next
	case old.entry.Gone || !old.heldUntil.IsZero():
		if isLaterRegistration(old.entry.Endpoint, e.Endpoint) {
			next.entry.Endpoint = old.entry.Endpoint
		}
		next.entry.Carried, next.heldUntil = true, now.Add(v.opts.LapseTimeout)
		return next
	case isLaterRegistration(e.Endpoint, old.entry.Endpoint):
		return next
	case old.entry.Endpoint.Born > e.Endpoint.Born:
		// The copy has an earlier lifetime of the endpoint.
		kept.removeAt = now.Add(v.opts.RenewTimeout)
		return kept
	case isLaterRegistration(old.entry.Endpoint, e.Endpoint),
		old.entry.Endpoint.State == sr.EndpointLeaving && e.Endpoint.State != sr.EndpointLeaving:
		return kept
	}
	// The same registration: its cold start began when it was received first.
	next.receivedAt = old.receivedAt
	return next
}

// isLaterRegistration reports whether an endpoint registered a after b, by what the
// endpoint itself counts.
func isLaterRegistration(a, b sr.LiveEndpoint) bool {
	return a.Born > b.Born || a.Born == b.Born && a.Sequence > b.Sequence
}

// storeMissing stores what another instance carries and the registry does not have, in place
// of an entry of this era, and reports whether it changed the view. A removal that this view
// knows is of this era and stays.
func (v *View) storeMissing(key entryKey, e sr.RegistryEntry, old storedEntry, now time.Time) bool {
	if old.entry.Gone {
		return false
	}
	next := newStoredEntry(e, old, now)
	if isLaterRegistration(old.entry.Endpoint, e.Endpoint) {
		next.entry.Endpoint = old.entry.Endpoint
	}
	v.entries[key] = next
	return true
}

// lacksPrior reports whether an answer that is older than the view includes more of an earlier
// era.
func (v *View) lacksPrior(c sr.Changes) bool {
	return c.Whole && c.Era == v.position.Era && v.prior.Before(c.Prior)
}

// Settle ends the evacuations that the registry lost and has not received again. They are over by
// the statement of another instance at the same position: its view included all that the registry
// lost after the position settled of an earlier era, and has nothing of it left that the registry
// does not have. It returns the removals.
func (v *View) Settle(now time.Time, position, settled sr.Position) []sr.RegistryEntry {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.State().Evacuated) == 0 || position != v.position || !includes(settled, v.prior) {
		return nil
	}
	var removals []sr.RegistryEntry
	for key, stored := range v.entries {
		if key.kind == sr.EntryEvacuation && stored.entry.Carried && stored.entry.Revision == 0 {
			stored.entry.Gone, stored.entry.Carried, stored.receivedAt = true, false, now
			v.entries[key] = stored
			removals = append(removals, stored.entry)
		}
	}
	if len(removals) > 0 {
		v.publish()
	}
	return removals
}

// learnLost applies what the registry lost when it was restored, from a listing of another
// instance that is otherwise older than the view, and returns what changed the view.
func (v *View) learnLost(c sr.Changes, now time.Time) []sr.RegistryEntry {
	v.prior = c.Prior
	var changed []sr.RegistryEntry
	for _, e := range c.Facts {
		// An entry that has another revision here, or was removed, has changed since the listing.
		same := v.entries[entryKey{kind: e.Kind, name: e.Name}].entry.Revision == e.Revision
		if (e.Kind == sr.EntryRouting || e.Carried && same) && v.store(e, now, false) {
			changed = append(changed, e)
		}
	}
	return changed
}

// isLaterState reports whether an entry of another instance has a later state of an endpoint
// than a stored one of the same revision.
func isLaterState(e sr.RegistryEntry, old storedEntry) bool {
	if isLaterRegistration(e.Endpoint, old.entry.Endpoint) || isLaterRegistration(old.entry.Endpoint, e.Endpoint) {
		return isLaterRegistration(e.Endpoint, old.entry.Endpoint)
	}
	return e.UseIn > 0 && old.heldUntil.IsZero() ||
		e.Endpoint.State == sr.EndpointLeaving && old.entry.Endpoint.State != sr.EndpointLeaving
}

// includes reports whether a view of which prior is the latest position of an earlier era
// included another one at a position. Views that skipped an era are not compared.
func includes(prior, position sr.Position) bool {
	return prior.Revision > 0 && prior.Era == position.Era && !prior.Before(position)
}

// extendHolds holds endpoints for longer after an outage of the registry, in which no
// registrations may have expired.
func (v *View) extendHolds(now time.Time) {
	for key, stored := range v.entries {
		if !stored.heldUntil.IsZero() {
			stored.heldUntil = now.Add(v.opts.LapseTimeout)
			v.entries[key] = stored
		}
	}
}

// Carries reports whether the view has entries that the registry lost when it was restored,
// and that it has not received again.
func (v *View) Carries() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.prior.Revision > 0 && v.carried() > 0
}

// carried returns the number of entries that the registry lost when it was restored, and that
// it has not received again.
func (v *View) carried() int {
	n := 0
	for _, stored := range v.entries {
		if stored.entry.Carried {
			n++
		}
	}
	return n
}
