// Package srview holds an instance's copy of the registry: the configuration,
// the live endpoints and the evacuated failure domains, each at a revision, and
// the latest time at which the copy was confirmed to be current.
//
// # Usage
//
//	v := srview.New(srview.Options{Outage: 2400 * time.Millisecond, RenewTimeout: 2 * time.Second})
//	sentAt := srclock.Now()
//	changes, err := registry.Changes(ctx, v.Position().Revision, wait)
//	update := v.Apply(sentAt, srclock.Now(), changes)
//	st := v.State()
//	st.Routing.Match(host, path)
//	if v.Age(srclock.Now()) < revoke { ... }
//
// A position never goes back: an entry is applied only when it is newer than the
// stored one of the same kind and name, whether it comes from the registry or from
// another instance. Revisions order the entries of one era. In a new era, after the registry
// was restored from an older copy, the view begins with a full listing and keeps what it
// knows to be newer (era.go).
package srview

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// tombstoneRetention is how long a removal is kept for other instances. One that
// was out of contact for longer receives a full listing.
const tombstoneRetention = time.Minute

// maxEntries is the maximum number of entries of a view, with removals. The largest fleet has 12,000
// endpoints.
const maxEntries = 20_000

// Options configure a View.
type Options struct {
	// Outage is the time without an answer of the registry, in which a query has failed,
	// after which registrations may have expired although their endpoints are alive.
	Outage time.Duration
	// RenewTimeout is the time after an outage within which live endpoints renew such
	// registrations.
	RenewTimeout time.Duration
	// LapseTimeout is the time after which the registration of an endpoint that has gone
	// has expired.
	LapseTimeout time.Duration
}

// Endpoint is a live endpoint with the state that the view keeps about it.
type Endpoint struct {
	sr.LiveEndpoint
	Revision uint64
	// ColdUntil is the end of the endpoint's cold start according to its
	// registration.
	ColdUntil time.Time
	// RemoveAt is when a registration that was missing after an outage is
	// removed, unless it is renewed before. It is zero for all others.
	RemoveAt time.Time
	// Held is set while an endpoint is not used because the registry was restored from a
	// copy in which it is registered, and it may have gone since.
	Held bool
	// Announced is set once the endpoint has announced in an answer that it leaves.
	Announced bool
}

// State is an immutable snapshot of a View.
type State struct {
	// Routing is nil until a configuration was received.
	Routing  *sr.Routing
	Position sr.Position
	// Endpoints are the live endpoints by ID, including leaving ones.
	Endpoints map[string]Endpoint
	// Services lists the endpoint IDs of each service in order.
	Services map[string][]string
	// Evacuated holds the failure domains that receive no requests.
	Evacuated map[string]bool
	// workspaces maps an API key to the name of its workspace.
	workspaces map[string]string
}

// Workspace returns the workspace to which an API key belongs.
func (s *State) Workspace(key string) (sr.RoutedWorkspace, bool) {
	name, ok := s.workspaces[key]
	if !ok {
		return sr.RoutedWorkspace{}, false
	}
	w, ok := s.Routing.Workspaces[name]
	return w, ok
}

// Usable reports whether an endpoint may receive requests.
func (s *State) Usable(id string, now time.Time) bool {
	e, ok := s.Endpoints[id]
	return ok && e.State == sr.EndpointReady && !s.Evacuated[e.Domain] && !e.Held && !e.Announced &&
		(e.RemoveAt.IsZero() || now.Before(e.RemoveAt))
}

// Update is the change of a View by one answer, for logs.
type Update struct {
	// Facts are the entries that the answer changed, and a new configuration that is
	// invalid and leaves the previous one in force.
	Facts []sr.RegistryEntry
	// Regained is the length of the outage that the answer ended, 0 for none.
	Regained time.Duration
	// Ignored is set if the answer is older than the view, or changes of another era.
	Ignored bool
	// Left is the position that the view left when it began a new era, zero when it did not.
	Left sr.Position
	// Carried is the number of entries that are newer than those of the new era.
	Carried int
	// Dropped is the number of new entries that were not kept, since the view is full.
	Dropped int
}

// View is the copy of the registry. It is safe for concurrent use.
type View struct {
	opts  Options
	state atomic.Pointer[State]

	mu      sync.Mutex
	entries map[entryKey]storedEntry
	// leaving holds the incarnations that have announced that they leave, with the time at
	// which they were last seen to be registered.
	leaving map[incarnation]time.Time
	// forgotten is the highest revision of a removal that is not known or no longer kept.
	forgotten uint64
	position  sr.Position
	// prior has the meaning of sr.Extent.Prior.
	prior sr.Position
	// confirmedAt is the latest time at which the registry is known to have
	// contained nothing newer.
	confirmedAt time.Time
	// answeredAt is when the last answer was received.
	answeredAt time.Time
	// failed is set when a query to the registry has failed since the last answer.
	failed bool
}

type entryKey struct {
	kind sr.EntryKind
	name string
}

type storedEntry struct {
	entry sr.RegistryEntry
	// receivedAt is when the entry was received.
	receivedAt time.Time
	// removeAt is when an endpoint is removed because the registry does not have it, unless
	// it is renewed before.
	removeAt time.Time
	// heldUntil is when the registration of a held endpoint has expired if the endpoint has
	// gone. It is zero for an endpoint that is not held.
	heldUntil time.Time
}

// relay returns the entry as it is passed on to other instances.
func (s storedEntry) relay(now time.Time) sr.RegistryEntry {
	e := s.entry
	if !s.removeAt.IsZero() {
		e.RemoveIn = max(s.removeAt.Sub(now), time.Nanosecond)
	}
	if !s.heldUntil.IsZero() {
		e.UseIn = max(s.heldUntil.Sub(now), time.Nanosecond)
	}
	return e
}

// New returns an empty View.
func New(o Options) *View {
	v := &View{opts: o, entries: make(map[entryKey]storedEntry), leaving: make(map[incarnation]time.Time)}
	v.publish()
	return v
}

// State returns the current snapshot.
func (v *View) State() *State { return v.state.Load() }

// Position returns the position in the registry's history up to which the view is complete.
func (v *View) Position() sr.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position
}

// Extent returns what the view includes.
func (v *View) Extent() sr.Extent {
	v.mu.Lock()
	defer v.mu.Unlock()
	return sr.Extent{Position: v.position, Prior: v.prior}
}

// Age returns the time since the view was last confirmed to be current.
func (v *View) Age(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.age(now)
}

// AsOf returns the position and the age of the view.
func (v *View) AsOf(now time.Time) (sr.Position, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position, v.age(now)
}

// UnconfirmedAge is the age of a view that was never confirmed to be current.
const UnconfirmedAge = time.Hour

func (v *View) age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return UnconfirmedAge
	}
	return now.Sub(v.confirmedAt)
}

// Apply applies the answer to a request that was sent at sentAt.
func (v *View) Apply(sentAt, now time.Time, c sr.Changes) Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	update := Update{}
	if v.outdated(c) {
		if v.lacksPrior(c) {
			update.Facts = v.learnLost(c, now)
			update.Dropped = v.trim()
			v.publish()
		} else {
			update.Ignored = true
		}
		return update
	}
	if v.failed && !c.Relayed && now.Sub(v.answeredAt) > v.opts.Outage && !v.answeredAt.IsZero() {
		update.Regained = now.Sub(v.answeredAt)
	}
	if !c.Relayed || c.Age < v.opts.Outage {
		v.answeredAt, v.failed = now, false
	}
	if update.Regained > 0 {
		v.extendHolds(now)
	}
	if v.position.Revision > 0 && c.Era > v.position.Era {
		update.Left = v.position
		update.Facts = v.beginEra(c, now)
		update.Carried = v.carried()
	} else {
		update.Facts = v.applyEntries(c, now, update.Regained > 0)
	}
	update.Dropped = v.trim()
	if c.Whole && v.prior.Before(c.Prior) {
		v.prior = c.Prior
	}
	v.position.Era, v.position.Revision = c.Era, max(v.position.Revision, c.AsOf)
	if c.Whole {
		// A listing does not contain removals.
		v.forgotten = max(v.forgotten, c.AsOf)
	}
	if confirmed := sentAt.Add(-c.Age); confirmed.After(v.confirmedAt) {
		v.confirmedAt = confirmed
	}
	if len(update.Facts) > 0 || update.Left.Revision > 0 {
		v.publish()
	}
	return update
}

// applyEntries applies the entries of an answer of the view's era, and returns those that
// changed the view.
func (v *View) applyEntries(c sr.Changes, now time.Time, afterOutage bool) []sr.RegistryEntry {
	var changed []sr.RegistryEntry
	for _, e := range c.Facts {
		invalid := e.Kind == sr.EntryRouting && e.Invalid != "" && e.Revision > v.position.Revision
		if v.store(e, now, afterOutage) || invalid {
			changed = append(changed, e)
		}
	}
	if c.Whole {
		changed = append(changed, v.removeUnlisted(c, now, afterOutage)...)
	}
	return changed
}

// ApplyEarly applies entries of an answer whose other entries are still to come. The
// position and the age of the view stay as they are. An answer of another era, or one that is
// older than the view, has to be complete.
func (v *View) ApplyEarly(now time.Time, c sr.Changes) Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	update := Update{}
	if c.Era != v.position.Era || v.outdated(c) {
		return update
	}
	for _, e := range c.Facts {
		if v.store(e, now, false) {
			update.Facts = append(update.Facts, e)
		}
	}
	if len(update.Facts) > 0 {
		update.Dropped = v.trim()
		v.publish()
	}
	return update
}

// trim removes entries beyond maxEntries: the oldest removals first, then the endpoints and
// evacuations that came last. It returns the number of the latter.
func (v *View) trim() (dropped int) {
	over := len(v.entries) - maxEntries
	if over <= 0 {
		return 0
	}
	var removals, others []entryKey
	for key, stored := range v.entries {
		switch {
		case stored.entry.Gone:
			removals = append(removals, key)
		case key.kind != sr.EntryRouting:
			others = append(others, key)
		}
	}
	receivedAt := func(a, b entryKey) int { return v.entries[a].receivedAt.Compare(v.entries[b].receivedAt) }
	slices.SortFunc(removals, receivedAt)
	slices.SortFunc(others, func(a, b entryKey) int {
		// Names order those of one answer, so that instances keep the same ones.
		return cmp.Or(receivedAt(b, a), cmp.Compare(a.kind, b.kind), cmp.Compare(b.name, a.name))
	})
	for _, key := range slices.Concat(removals, others)[:over] {
		if stored := v.entries[key].entry; stored.Gone {
			v.forgotten = max(v.forgotten, stored.Revision)
		} else {
			dropped++
		}
		delete(v.entries, key)
	}
	return dropped
}

// RecordFailure records that a query to the registry got no answer.
func (v *View) RecordFailure() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failed = true
}

// Confirm records the statement of another instance, requested at sentAt, that its
// view at a position was confirmed to be current age ago. It is ignored when this view is
// at an earlier position, or in another era.
func (v *View) Confirm(sentAt time.Time, p sr.Position, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.position.Revision == 0 || v.position.Before(p) || v.position.Era != p.Era {
		return
	}
	if confirmed := sentAt.Add(-age); confirmed.After(v.confirmedAt) {
		v.confirmedAt = confirmed
	}
	if sentAt.After(v.answeredAt) && age < v.opts.Outage {
		v.answeredAt, v.failed = sentAt, false
	}
}

// RoutingEntry returns the entry of the configuration and its era, if there is one.
func (v *View) RoutingEntry() (e sr.RegistryEntry, era uint64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	stored, ok := v.entries[entryKey{kind: sr.EntryRouting}]
	return stored.entry, v.position.Era, ok && stored.entry.Routing != nil
}

// Since returns the entries after a position, or a full listing when its revision is 0 or
// older than the removals that are still kept, or when it is of another era.
func (v *View) Since(after sr.Position, now time.Time) sr.Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := sr.Changes{AsOf: v.position.Revision, Era: v.position.Era, Prior: v.prior, Age: v.age(now), Relayed: true}
	out.Whole = after.Revision == 0 || after.Revision < v.forgotten || after.Era != v.position.Era
	for _, stored := range v.entries {
		if out.Whole && stored.entry.Gone || !out.Whole && stored.entry.Revision <= after.Revision {
			continue
		}
		out.Facts = append(out.Facts, stored.relay(now))
	}
	slices.SortFunc(out.Facts, func(a, b sr.RegistryEntry) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Sweep removes entries that were not renewed after an outage or a restore, and removals
// that have been kept for tombstoneRetention, and outdated announcements of endpoints.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for key, stored := range v.entries {
		switch {
		case !stored.removeAt.IsZero() && !now.Before(stored.removeAt):
			stored.entry.Gone, stored.entry.Carried, stored.removeAt, stored.receivedAt = true, false, time.Time{}, now
			v.entries[key] = stored
			changed = true
		case !stored.heldUntil.IsZero() && !v.confirmedAt.Before(stored.heldUntil):
			// The registry still has the registration.
			stored.entry.Carried, stored.heldUntil = false, time.Time{}
			v.entries[key] = stored
			changed = true
		case stored.entry.Gone && now.Sub(stored.receivedAt) > tombstoneRetention:
			v.forgotten = max(v.forgotten, stored.entry.Revision)
			delete(v.entries, key)
		}
	}
	if changed {
		v.publish()
	}
	v.sweepLeaving(now)
}

// store stores an entry and reports whether it changed the view. The removal of an
// endpoint after an outage is deferred by Options.RenewTimeout, because the
// registration may only have expired. While it is deferred, an entry of the same
// revision is stored too. Other instances receive the rest of that time.
func (v *View) store(e sr.RegistryEntry, now time.Time, afterOutage bool) bool {
	key := entryKey{kind: e.Kind, name: e.Name}
	old, ok := v.entries[key]
	if ok && e.Carried && e.Revision == 0 {
		return v.storeMissing(key, e, old, now)
	}
	if ok && !replaces(e, old) {
		if e.Kind == sr.EntryRouting && e.Routing != nil && e.Routing.Version == old.entry.Routing.Version && !e.Carried {
			// The registry has received the configuration again.
			old.entry.Revision, old.entry.Carried = max(e.Revision, old.entry.Revision), false
			v.entries[key] = old
		}
		return false
	}
	if e.Kind == sr.EntryEndpoint && e.Gone && afterOutage && ok && !old.entry.Gone {
		old.removeAt = now.Add(v.opts.RenewTimeout)
		old.entry.Revision = e.Revision
		v.entries[key] = old
		return true
	}
	v.entries[key] = newStoredEntry(e, old, now)
	return true
}

// newStoredEntry returns an entry as it is stored in place of old.
func newStoredEntry(e sr.RegistryEntry, old storedEntry, now time.Time) storedEntry {
	if e.Invalid != "" && e.Kind == sr.EntryEndpoint {
		e.Gone = true
	}
	if e.Gone && e.Endpoint == (sr.LiveEndpoint{}) {
		// The last registration tells later ones from earlier ones.
		e.Endpoint = old.entry.Endpoint
	}
	stored := storedEntry{entry: e, receivedAt: now}
	if e.RemoveIn > 0 {
		stored.removeAt = now.Add(e.RemoveIn)
	}
	if e.UseIn > 0 {
		stored.heldUntil = now.Add(e.UseIn)
	}
	stored.entry.RemoveIn, stored.entry.UseIn = 0, 0
	return stored
}

// replaces reports whether an entry replaces a stored one of the same era.
func replaces(e sr.RegistryEntry, old storedEntry) bool {
	switch {
	case e.Kind == sr.EntryRouting:
		return supersedes(e, old.entry)
	case old.entry.Carried && !e.Gone && isLaterRegistration(old.entry.Endpoint, e.Endpoint):
		return false
	case e.Revision != old.entry.Revision:
		return e.Revision > old.entry.Revision
	}
	return !old.removeAt.IsZero() || e.Carried && isLaterState(e, old)
}

// supersedes reports whether a configuration replaces another one: it is valid and
// has a higher version.
func supersedes(e, old sr.RegistryEntry) bool {
	if e.Routing == nil {
		return false
	}
	return old.Routing == nil || e.Routing.Version > old.Routing.Version
}

// removeUnlisted removes the endpoints and evacuations that a full listing does not
// contain, and returns the removals.
func (v *View) removeUnlisted(c sr.Changes, now time.Time, afterOutage bool) []sr.RegistryEntry {
	informed := includes(c.Prior, v.prior)
	listed := make(map[entryKey]bool, len(c.Facts))
	for _, e := range c.Facts {
		listed[entryKey{kind: e.Kind, name: e.Name}] = true
	}
	var removals []sr.RegistryEntry
	for key, stored := range v.entries {
		if listed[key] || stored.entry.Gone || stored.entry.Kind == sr.EntryRouting || stored.entry.Revision > c.AsOf ||
			!informed && stored.entry.Carried && (stored.entry.Revision == 0 || !stored.removeAt.IsZero()) {
			continue
		}
		gone := sr.RegistryEntry{Kind: key.kind, Name: key.name, Revision: c.AsOf, Gone: true}
		if v.store(gone, now, afterOutage) {
			removals = append(removals, gone)
		}
	}
	return removals
}

// publish replaces the snapshot.
func (v *View) publish() {
	st := &State{
		Position:   v.position,
		Endpoints:  make(map[string]Endpoint),
		Services:   make(map[string][]string),
		Evacuated:  make(map[string]bool),
		workspaces: make(map[string]string),
	}
	for _, stored := range v.entries {
		if stored.entry.Gone {
			continue
		}
		switch stored.entry.Kind {
		case sr.EntryRouting:
			st.Routing = stored.entry.Routing
		case sr.EntryEvacuation:
			st.Evacuated[stored.entry.Name] = true
		case sr.EntryEndpoint:
			e := stored.entry.Endpoint
			_, announced := v.leaving[incarnation{id: e.ID, born: e.Born}]
			st.Endpoints[e.ID] = Endpoint{
				LiveEndpoint: e,
				Revision:     stored.entry.Revision,
				ColdUntil:    stored.receivedAt.Add(e.ColdLeft),
				RemoveAt:     stored.removeAt,
				Held:         !stored.heldUntil.IsZero(),
				Announced:    announced,
			}
			st.Services[e.Service] = append(st.Services[e.Service], e.ID)
		}
	}
	for _, ids := range st.Services {
		slices.Sort(ids)
	}
	if st.Routing != nil {
		st.indexKeys()
	}
	v.state.Store(st)
}

// indexKeys maps the API keys of the configuration to their workspaces.
func (s *State) indexKeys() {
	for _, name := range slices.Sorted(maps.Keys(s.Routing.Workspaces)) {
		for _, key := range s.Routing.Workspaces[name].Keys {
			s.workspaces[key] = name
		}
	}
}
