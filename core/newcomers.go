package core

import (
	"cmp"
	"maps"
	"slices"
)

// welcomers is the number of entry hosts that tell one which has started what it has missed.
const welcomers = 3

// hostBoot identifies a start of a host.
type hostBoot struct {
	host HostID
	boot uint64
}

// Newcomers finds the entry hosts that have started, or were away. The zero value knows no host.
type Newcomers struct{ present map[hostBoot]bool }

// Update returns the entry hosts that were not there at the last update, sorted by name and without the host itself. Unless
// all is true, it returns only those that self is one of the few hosts to tell: it follows them in the order of names.
func (n *Newcomers) Update(members []Member, self HostID, all bool) []HostID {
	present := map[hostBoot]bool{}
	var hosts []HostID
	for i := range members {
		if members[i].Entry {
			present[hostBoot{members[i].Host, members[i].Boot}] = true
			hosts = append(hosts, members[i].Host)
		}
	}
	slices.Sort(hosts)
	var arrived []HostID
	for _, h := range slices.SortedFunc(maps.Keys(present), compareHostBoots) {
		if !n.present[h] && h.host != self && (all || follows(hosts, self, h.host)) {
			arrived = append(arrived, h.host)
		}
	}
	n.present = present
	return arrived
}

func compareHostBoots(a, b hostBoot) int { return cmp.Compare(a.host, b.host) }

// follows reports whether self is one of the few hosts after another in the order of names.
func follows(hosts []HostID, self, other HostID) bool {
	i, j := slices.Index(hosts, self), slices.Index(hosts, other)
	return i >= 0 && (i-j+len(hosts))%len(hosts) <= welcomers
}
