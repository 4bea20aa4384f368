// Package discovery keeps a copy of the endpoint list of the discovery service: it decodes and encodes the list's
// format, applies snapshots and deltas to the copy, and splits the stream of a watch into objects. It does no I/O:
// the caller opens the connections and passes in the received bytes with the time of the read.
//
// Support for another source of endpoint lists would be a separate package beside this one.
package discovery

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"

	"thymebend/internal/balancer"
)

// Endpoint is one endpoint of the list, with its name and address.
type Endpoint struct {
	balancer.Endpoint
	Name string
	Addr netip.AddrPort
	// Capacity is the endpoint's capacity as the list states it, relative to the other endpoints. It is 1 if the
	// list states none, or a value outside 1/maxCapacity to maxCapacity.
	Capacity float64
}

// Endpoints is this gateway's copy of the endpoint list.
type Endpoints struct {
	zones   []string
	byID    map[balancer.EndpointID]*Endpoint
	byAddr  map[netip.AddrPort]balancer.EndpointID // the endpoint that was set last at each address
	version uint64                                 // the field seq of the last object applied; 0 before the first
}

// NewEndpoints returns an empty list. The Zone of an endpoint is the index of its field site in zones.
func NewEndpoints(zones []string) *Endpoints {
	return &Endpoints{
		zones: zones, byID: make(map[balancer.EndpointID]*Endpoint), byAddr: make(map[netip.AddrPort]balancer.EndpointID),
	}
}

// set adds an endpoint to the list, replaces it or, if its state says so, removes it.
func (eps *Endpoints) set(ep *Endpoint) {
	eps.remove(ep.ID)
	if ep.State == balancer.EndpointRemoved {
		return
	}
	eps.byID[ep.ID] = ep
	eps.byAddr[ep.Addr] = ep.ID
}

// remove removes an endpoint from the list.
func (eps *Endpoints) remove(id balancer.EndpointID) {
	ep := eps.byID[id]
	if ep == nil {
		return
	}
	delete(eps.byID, id)
	if eps.byAddr[ep.Addr] == id {
		delete(eps.byAddr, ep.Addr)
	}
}

// Find returns the endpoint with this ID, or nil if the list does not contain it.
func (eps *Endpoints) Find(id balancer.EndpointID) *Endpoint { return eps.byID[id] }

// All returns the endpoints, sorted by ID.
func (eps *Endpoints) All() []*Endpoint {
	return slices.SortedFunc(maps.Values(eps.byID), func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Encode returns the current list as a snapshot in discovery's format, sorted by name. It is passed to another
// process of this gateway at a hot restart.
func (eps *Endpoints) Encode() json.RawMessage {
	byName := func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) }
	doc := document{Seq: &eps.version, Snapshot: true, Hosts: []entry{}}
	for _, ep := range slices.SortedFunc(maps.Values(eps.byID), byName) {
		doc.Hosts = append(doc.Hosts, eps.entryOf(ep))
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil // cannot happen with strings and finite numbers; the other process would keep its present list
	}
	return raw
}

// entryOf returns an endpoint as an entry in discovery's format.
func (eps *Endpoints) entryOf(ep *Endpoint) entry {
	e := entry{
		Host: ep.Name, Dial: ep.Addr.String(), Block: ep.Cell, Health: healthUp,
		BornMS: float64(ep.StartedAt.Microseconds()) / 1000, Share: ep.Capacity,
	}
	if ep.State == balancer.EndpointDraining {
		e.Health = healthDraining
	}
	if ep.Zone < len(eps.zones) {
		e.Site = eps.zones[ep.Zone]
	}
	return e
}

// IsOlder reports whether an object in discovery's format has an earlier version than the list in force. An object
// without a version is not older. The error is that of malformed JSON.
func (eps *Endpoints) IsOlder(raw []byte) (bool, error) {
	seq, err := versionOf(raw)
	return seq != nil && *seq < eps.version, err
}

// IsOutdated reports whether an object received by a watch has an earlier version than the list in force, but not an
// earlier one than the watch requested changes from: another watch has delivered a newer list in the meantime.
func (eps *Endpoints) IsOutdated(w *Watch, raw []byte) bool {
	seq, err := versionOf(raw)
	return err == nil && seq != nil && *seq >= w.sinceVersion && *seq < eps.version
}

// ForgetVersion resets the version of the list in force to 0, so that the next watch requests a snapshot. The endpoints
// stay.
func (eps *Endpoints) ForgetVersion() { eps.version = 0 }

// Len returns the number of endpoints in the list.
func (eps *Endpoints) Len() int { return len(eps.byID) }

// zoneIndex returns the zone of a site: its index in zones, or len(zones) for every unknown site.
func (eps *Endpoints) zoneIndex(site string) int {
	if index := slices.Index(eps.zones, site); index >= 0 {
		return index
	}
	return len(eps.zones)
}
