// Package srview holds what an instance believes of the registry: the
// configuration, the live endpoints and the evacuated failure domains, each at
// a revision, and the time up to which this knowledge is proved to be current.
//
// # Usage
//
//	v := srview.New(srview.Options{Outage: 2400 * time.Millisecond, Return: 2 * time.Second})
//	asked := srclock.Now()
//	changes, err := registry.Changes(ctx, v.Revision(), wait)
//	news := v.Apply(asked, srclock.Now(), changes)
//	st := v.State()
//	st.Routing.Match(host, path)
//	if v.Age(srclock.Now()) < revoke { ... }
//
// A revision never goes back: facts are applied only when they are newer than
// what is known under the same name, from whatever source they come.
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

// keepGone is how long a removal is passed on to other instances; one that was
// out of contact for longer asks for a full listing.
const keepGone = time.Minute

// Options configure a View.
type Options struct {
	// Outage is the time without an answer of the registry after which
	// registrations may have lapsed although the endpoints live.
	Outage time.Duration
	// Return is how long after an outage such registrations may take to be back.
	Return time.Duration
}

// Endpoint is a live endpoint as the view knows it.
type Endpoint struct {
	sr.LiveEndpoint
	Revision uint64
	// ColdUntil is when the endpoint is no longer cold by its own record.
	ColdUntil time.Time
	// GoneAt is when a registration that was missing after an outage is taken
	// as gone, zero for none.
	GoneAt time.Time
}

// State is an immutable snapshot.
type State struct {
	// Routing is nil until a configuration is known.
	Routing  *sr.Routing
	Revision uint64
	// Endpoints by ID, those that leave included.
	Endpoints map[string]Endpoint
	// Services lists the endpoint IDs of a service in order.
	Services map[string][]string
	// Evacuated holds the failure domains that are to get nothing.
	Evacuated map[string]bool
	// workspaces maps a key to its workspace.
	workspaces map[string]string
}

// Workspace returns the workspace that holds a key.
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
	return ok && e.State == sr.EndpointReady && !s.Evacuated[e.Domain] &&
		(e.GoneAt.IsZero() || now.Before(e.GoneAt))
}

// News says what an answer changed, for logs.
type News struct {
	Facts []sr.Fact
	// Regained is the length of the outage that the answer ended, 0 for none.
	Regained time.Duration
}

// View is safe for concurrent use.
type View struct {
	opts  Options
	state atomic.Pointer[State]

	mu    sync.Mutex
	facts map[factKey]known
	// floor is the highest revision whose removal has been forgotten.
	floor    uint64
	revision uint64
	// proved is when the registry is known to have held nothing newer.
	proved time.Time
	// answered is when the last answer came.
	answered time.Time
}

type factKey struct {
	kind sr.FactKind
	name string
}

type known struct {
	fact sr.Fact
	// learned is when the fact became known here.
	learned time.Time
	goneAt  time.Time
}

// New returns an empty View.
func New(o Options) *View {
	v := &View{opts: o, facts: make(map[factKey]known)}
	v.publish()
	return v
}

// State returns the current snapshot.
func (v *View) State() *State { return v.state.Load() }

// Revision returns the registry revision up to which everything is known.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Age returns for how long the view has not been proved to be current.
func (v *View) Age(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.age(now)
}

// AsOf returns the revision with the age of its proof.
func (v *View) AsOf(now time.Time) (uint64, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision, v.age(now)
}

// unproved is the age of a view that was never proved.
const unproved = time.Hour

func (v *View) age(now time.Time) time.Duration {
	if v.proved.IsZero() {
		return unproved
	}
	return now.Sub(v.proved)
}

// Apply takes an answer to a question that was sent at asked.
func (v *View) Apply(asked, now time.Time, c sr.Changes) News {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := News{}
	if !v.answered.IsZero() && now.Sub(v.answered) > v.opts.Outage {
		news.Regained = now.Sub(v.answered)
	}
	if c.Whole && c.AsOf < v.revision {
		// The listing is older than what is known.
		return news
	}
	lapsed := news.Regained > 0
	v.answered = now
	for _, f := range c.Facts {
		if v.learn(f, now, lapsed) {
			news.Facts = append(news.Facts, f)
		}
	}
	if c.Whole {
		news.Facts = append(news.Facts, v.dropMissing(c, now, lapsed)...)
	}
	v.revision = max(v.revision, c.AsOf)
	if proof := asked.Add(-c.Age); proof.After(v.proved) {
		v.proved = proof
	}
	if len(news.Facts) > 0 {
		v.publish()
	}
	return news
}

// Prove takes another instance's word that nothing newer than revision asOf
// existed age before asked.
func (v *View) Prove(asked time.Time, asOf uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.revision < asOf || v.revision == 0 {
		return
	}
	if proof := asked.Add(-age); proof.After(v.proved) {
		v.proved = proof
	}
	if asked.After(v.answered) && age < v.opts.Outage {
		v.answered = asked
	}
}

// Since returns the facts after a revision, or everything when after is 0 or
// too old.
func (v *View) Since(after uint64, now time.Time) sr.Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := sr.Changes{AsOf: v.revision, Age: v.age(now), Whole: after == 0 || after < v.floor}
	for _, k := range v.facts {
		if out.Whole && k.fact.Gone || !out.Whole && k.fact.Revision <= after {
			continue
		}
		out.Facts = append(out.Facts, k.fact)
	}
	slices.SortFunc(out.Facts, func(a, b sr.Fact) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Sweep removes what has expired.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for key, k := range v.facts {
		switch {
		case !k.goneAt.IsZero() && !now.Before(k.goneAt):
			k.fact.Gone, k.goneAt, k.learned = true, time.Time{}, now
			v.facts[key] = k
			changed = true
		case k.fact.Gone && now.Sub(k.learned) > keepGone:
			v.floor = max(v.floor, k.fact.Revision)
			delete(v.facts, key)
		}
	}
	if changed {
		v.publish()
	}
}

// learn stores a fact and reports whether it is news.
func (v *View) learn(f sr.Fact, now time.Time, lapsed bool) bool {
	key := factKey{kind: f.Kind, name: f.Name}
	old, ok := v.facts[key]
	if ok && f.Revision <= old.fact.Revision && (f.Revision < old.fact.Revision || old.goneAt.IsZero()) {
		return false
	}
	if f.Kind == sr.FactRouting && !replaces(f, old.fact) {
		return false
	}
	if f.Kind == sr.FactEndpoint && f.Gone && lapsed && ok && !old.fact.Gone {
		old.goneAt = now.Add(v.opts.Return)
		old.fact.Revision = f.Revision
		v.facts[key] = old
		return true
	}
	if f.Invalid != "" && f.Kind == sr.FactEndpoint {
		f.Gone = true
	}
	v.facts[key] = known{fact: f, learned: now}
	return true
}

// replaces reports whether a configuration may take the place of another: it is
// readable and its version is higher.
func replaces(f, old sr.Fact) bool {
	if f.Routing == nil {
		return false
	}
	return old.Routing == nil || f.Routing.Version > old.Routing.Version
}

// dropMissing marks as gone what a full listing does not name.
func (v *View) dropMissing(c sr.Changes, now time.Time, lapsed bool) []sr.Fact {
	named := make(map[factKey]bool, len(c.Facts))
	for _, f := range c.Facts {
		named[factKey{kind: f.Kind, name: f.Name}] = true
	}
	var news []sr.Fact
	for key, k := range v.facts {
		if named[key] || k.fact.Gone || k.fact.Kind == sr.FactRouting || k.fact.Revision > c.AsOf {
			continue
		}
		gone := sr.Fact{Kind: key.kind, Name: key.name, Revision: c.AsOf, Gone: true}
		if v.learn(gone, now, lapsed) {
			news = append(news, gone)
		}
	}
	return news
}

// publish makes a new snapshot.
func (v *View) publish() {
	st := &State{
		Revision:   v.revision,
		Endpoints:  make(map[string]Endpoint),
		Services:   make(map[string][]string),
		Evacuated:  make(map[string]bool),
		workspaces: make(map[string]string),
	}
	for _, k := range v.facts {
		if k.fact.Gone {
			continue
		}
		switch k.fact.Kind {
		case sr.FactRouting:
			st.Routing = k.fact.Routing
		case sr.FactEvacuation:
			st.Evacuated[k.fact.Name] = true
		case sr.FactEndpoint:
			e := k.fact.Endpoint
			st.Endpoints[e.ID] = Endpoint{
				LiveEndpoint: e,
				Revision:     k.fact.Revision,
				ColdUntil:    k.learned.Add(e.ColdLeft),
				GoneAt:       k.goneAt,
			}
			st.Services[e.Service] = append(st.Services[e.Service], e.ID)
		}
	}
	for _, ids := range st.Services {
		slices.Sort(ids)
	}
	if st.Routing != nil {
		st.index()
	}
	v.state.Store(st)
}

// index maps the keys of the configuration to their workspaces.
func (s *State) index() {
	for _, name := range slices.Sorted(maps.Keys(s.Routing.Workspaces)) {
		for _, key := range s.Routing.Workspaces[name].Keys {
			s.workspaces[key] = name
		}
	}
}
