package srforward

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srgroup"
)

// division keeps how the endpoints are divided among the instances. configure derives it several
// times a second, and members and endpoints seldom change in between. configuring protects it.
type division struct {
	self     string
	sharings map[string]*srdispatch.Sharing
	splits   map[string]*srgroup.Splitter
	// members are those of the last call in order, coordinators what they make of the groups.
	members []srgroup.Member
	// assigned are the groups of the last call in order.
	assigned     []string
	coordinators map[string]string
}

func newDivision(self string) *division {
	return &division{self: self, sharings: make(map[string]*srdispatch.Sharing), splits: make(map[string]*srgroup.Splitter)}
}

// setShares sets the shares of this instance in the endpoints of each service.
func (d *division) setShares(usable map[string][]srdispatch.Endpoint, others []string) {
	for service, list := range usable {
		s, ok := d.sharings[service]
		if !ok {
			s = srdispatch.NewSharing(d.self)
			d.sharings[service] = s
		}
		s.SetShares(list, others)
	}
	maps.DeleteFunc(d.sharings, func(service string, _ *srdispatch.Sharing) bool { return usable[service] == nil })
	maps.DeleteFunc(d.splits, func(service string, _ *srgroup.Splitter) bool { return usable[service] == nil })
}

// groups returns the groups of a service's endpoints, by name.
func (d *division) groups(service string, list []srdispatch.Endpoint) map[string][]string {
	ids := make([]string, len(list))
	for i, e := range list {
		ids[i] = e.ID
	}
	s, ok := d.splits[service]
	if !ok {
		s = &srgroup.Splitter{}
		d.splits[service] = s
	}
	return s.Split(service, ids)
}

// setMembers sets the instances that may coordinate groups.
func (d *division) setMembers(members []srgroup.Member) {
	slices.SortFunc(members, func(a, b srgroup.Member) int { return cmp.Compare(a.Address, b.Address) })
	if !slices.Equal(members, d.members) {
		d.members = members
		d.coordinators = nil
	}
}

// assign returns the addresses of the instances that coordinate groups, by group.
func (d *division) assign(groups []string) map[string]string {
	slices.Sort(groups)
	if d.coordinators == nil || !slices.Equal(groups, d.assigned) {
		d.assigned, d.coordinators = groups, srgroup.Coordinators(groups, d.members)
	}
	return d.coordinators
}
