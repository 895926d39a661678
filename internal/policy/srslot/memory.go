package srslot

import sr "github.com/sassafrasrail/sassafrasrail"

// memory maps granted asks to their leases, so that a repeated ask gets the
// same answer. Asks of running leases are kept, of ended ones the last few.
type memory struct {
	byAsk map[string]sr.LeaseID
	ended []string
	next  int
}

func newMemory(capacity int) memory {
	return memory{byAsk: make(map[string]sr.LeaseID), ended: make([]string, capacity)}
}

func (m *memory) granted(ask string, id sr.LeaseID) { m.byAsk[ask] = id }

func (m *memory) lease(ask string) (sr.LeaseID, bool) {
	id, ok := m.byAsk[ask]
	return id, ok
}

// end lets an ask be forgotten once as many others have ended.
func (m *memory) end(ask string) {
	if _, ok := m.byAsk[ask]; !ok {
		return
	}
	delete(m.byAsk, m.ended[m.next])
	m.ended[m.next] = ask
	m.next = (m.next + 1) % len(m.ended)
}
