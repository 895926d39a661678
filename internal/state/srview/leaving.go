package srview

import "time"

// leavingRetention is how long an announcement is kept after the registration is gone. A
// registration that expired in an outage of the registry may return.
const leavingRetention = time.Minute

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id   string
	born int64
}

// MarkLeaving records that an incarnation of an endpoint has announced in an answer that it
// leaves. It is not usable from then on, whatever its registration states. It reports
// whether the announcement is the first one.
func (v *View) MarkLeaving(id string, born int64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := incarnation{id: id, born: born}
	if _, ok := v.leaving[key]; ok {
		return false
	}
	v.leaving[key] = now
	v.publish()
	return true
}

// sweepLeaving removes the announcements of incarnations that are no longer registered.
func (v *View) sweepLeaving(now time.Time) {
	st := v.State()
	for key, lastRegistered := range v.leaving {
		switch e, ok := st.Endpoints[key.id]; {
		case ok && e.Born == key.born:
			v.leaving[key] = now
		case now.Sub(lastRegistered) > leavingRetention:
			delete(v.leaving, key)
		}
	}
}
