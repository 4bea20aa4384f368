// Package discovery follows the endpoint list of the discovery service: its format, this gateway's copy of the
// list, and the watch that receives its changes. It does no I/O: the caller feeds it the bytes received on a
// connection, with the time of the read.
//
// A second source of endpoint lists would be a package beside this one.
package discovery

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"

	"thymebend/internal/balancer"
)

// Endpoint is one endpoint of the list, with its address.
type Endpoint struct {
	balancer.Endpoint
	Name string
	Addr netip.AddrPort
	// Capacity is the capacity that the list states, in a unit common to all endpoints; 1 where it states
	// nothing usable.
	Capacity float64
}

// Endpoints is this gateway's copy of the list.
type Endpoints struct {
	zones   []string
	byID    map[balancer.EndpointID]*Endpoint
	version uint64
}

// NewEndpoints returns an empty list. An endpoint's zone is the index of its site in zones.
func NewEndpoints(zones []string) *Endpoints {
	return &Endpoints{zones: zones, byID: make(map[balancer.EndpointID]*Endpoint)}
}

// Find returns an endpoint of the list, or nil.
func (eps *Endpoints) Find(id balancer.EndpointID) *Endpoint { return eps.byID[id] }

// All returns the endpoints, sorted by number.
func (eps *Endpoints) All() []*Endpoint {
	return slices.SortedFunc(maps.Values(eps.byID), func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Encode returns the current list in discovery's format, sorted by name.
func (eps *Endpoints) Encode() json.RawMessage {
	byName := func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) }
	doc := document{Seq: &eps.version, Snapshot: true, Hosts: []entry{}}
	for _, ep := range slices.SortedFunc(maps.Values(eps.byID), byName) {
		doc.Hosts = append(doc.Hosts, eps.entryOf(ep))
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil // strings and numbers always encode; else the other process keeps the list that it has
	}
	return raw
}

// entryOf returns an endpoint in discovery's format.
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

// Older reports whether an object in discovery's format has an earlier version than the list in force.
func (eps *Endpoints) Older(raw []byte) (bool, error) {
	seq, err := versionOf(raw)
	return seq != nil && *seq < eps.version, err
}

// Outdated reports whether an object that answers a watch has an earlier version than the list in force, but
// not an earlier one than the watch asked for: another watch has brought a newer list since.
func (eps *Endpoints) Outdated(w *Watch, raw []byte) bool {
	seq, err := versionOf(raw)
	return err == nil && seq != nil && *seq >= w.sinceVersion && *seq < eps.version
}

// Renumber forgets the version of the list in force: the next watch asks for a snapshot.
func (eps *Endpoints) Renumber() { eps.version = 0 }

// Len returns the number of endpoints in the list.
func (eps *Endpoints) Len() int { return len(eps.byID) }

// zone returns the index of a site in the zones; unknown sites share one further zone.
func (eps *Endpoints) zone(site string) int {
	if index := slices.Index(eps.zones, site); index >= 0 {
		return index
	}
	return len(eps.zones)
}
