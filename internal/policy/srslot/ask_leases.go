package srslot

import sr "github.com/sassafrasrail/sassafrasrail"

// askLeases maps granted asks to their leases, so that a repeated ask gets the
// same answer. It keeps all asks of current leases and the last few ended ones.
type askLeases struct {
	byAsk map[string]sr.LeaseID
	// ended is a ring of asks whose leases have ended.
	ended []string
	next  int
}

func newAskLeases(capacity int) askLeases {
	return askLeases{byAsk: make(map[string]sr.LeaseID), ended: make([]string, capacity)}
}

func (m *askLeases) record(ask string, id sr.LeaseID) { m.byAsk[ask] = id }

func (m *askLeases) lease(ask string) (sr.LeaseID, bool) {
	id, ok := m.byAsk[ask]
	return id, ok
}

// markEnded puts an ask into the ring of ended asks, in place of the oldest one there.
func (m *askLeases) markEnded(ask string) {
	if _, ok := m.byAsk[ask]; !ok {
		return
	}
	delete(m.byAsk, m.ended[m.next])
	m.ended[m.next] = ask
	m.next = (m.next + 1) % len(m.ended)
}
