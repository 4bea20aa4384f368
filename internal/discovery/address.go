package discovery

import (
	"net/netip"

	"thymebend/internal/balancer"
)

// One address is one process: an endpoint that has come up at the address of another shows that the other has gone, also
// if discovery has not yet said so. What is meant for the one that has gone must not reach the one that is there.

// currentAtEachAddress returns the endpoints of a snapshot without those that started earlier than another one at the same
// address. Endpoints at one address that started at the same time, as far as is known, all stay.
func currentAtEachAddress(listed []*Endpoint) []*Endpoint {
	latest := make(map[netip.AddrPort]*Endpoint, len(listed))
	for _, ep := range listed {
		if ep.State == balancer.EndpointRemoved {
			continue
		}
		if other := latest[ep.Addr]; other == nil || other.StartedAt < ep.StartedAt {
			latest[ep.Addr] = ep
		}
	}
	current := make([]*Endpoint, 0, len(listed))
	for _, ep := range listed {
		if ep.State == balancer.EndpointRemoved || ep.StartedAt >= latest[ep.Addr].StartedAt {
			current = append(current, ep)
		}
	}
	return current
}

// replaceAtAddress removes the endpoint that was at the address of one that a delta names, and adds this to the update. It
// returns false if the endpoint that the delta names is itself the earlier one: it must not be added.
func (eps *Endpoints) replaceAtAddress(ep *Endpoint, update *Update) bool {
	id, taken := eps.byAddr[ep.Addr]
	if ep.State != balancer.EndpointReady || !taken || id == ep.ID {
		return true
	}
	previous := *eps.byID[id]
	if previous.StartedAt > ep.StartedAt {
		return false
	}
	eps.remove(id)
	previous.State = balancer.EndpointRemoved
	update.Changed = append(update.Changed, id)
	update.Entries = append(update.Entries, previous.Endpoint)
	return true
}
