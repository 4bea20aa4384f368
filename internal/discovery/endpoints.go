// Package discovery follows the endpoint list that the discovery service keeps: its format, the list as this
// gateway has it, and the watch that brings its changes. It does no I/O: the caller feeds it what a connection
// brought, with the time of the read.
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

// Endpoint is one endpoint as the gateway reaches it.
type Endpoint struct {
	balancer.Endpoint
	Name string
	Addr netip.AddrPort
	// Capacity is what the list says it can do, in any unit that all endpoints have; 1 where it says
	// nothing usable.
	Capacity float64
}

// Endpoints is the list as this gateway has it.
type Endpoints struct {
	zones   []string
	byID    map[balancer.EndpointID]*Endpoint
	version uint64
}

// NewEndpoints returns an empty group. An endpoint's zone is the place of its site among zones.
func NewEndpoints(zones []string) *Endpoints {
	return &Endpoints{zones: zones, byID: make(map[balancer.EndpointID]*Endpoint)}
}

// Find returns an endpoint of the list, or nil.
func (eps *Endpoints) Find(id balancer.EndpointID) *Endpoint { return eps.byID[id] }

// All lists the endpoints by number.
func (eps *Endpoints) All() []*Endpoint {
	return slices.SortedFunc(maps.Values(eps.byID), func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Encode returns the list as it is now, in discovery's form and sorted by name.
func (eps *Endpoints) Encode() json.RawMessage {
	byName := func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) }
	doc := document{Seq: &eps.version, Snapshot: true, Hosts: []entry{}}
	for _, ep := range slices.SortedFunc(maps.Values(eps.byID), byName) {
		doc.Hosts = append(doc.Hosts, eps.entryOf(ep))
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil // texts and numbers: cannot be; the other process goes on with the list that it knows
	}
	return raw
}

// entryOf is an endpoint in discovery's form.
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

// Older reports whether an object in discovery's form is of an earlier version than the list in force.
func (eps *Endpoints) Older(raw []byte) (bool, error) {
	seq, err := versionOf(raw)
	return seq != nil && *seq < eps.version, err
}

// Outdated reports whether an object that answers a call is of an earlier version than the list in
// force, though not than that of the call: another call has brought newer ones since.
func (eps *Endpoints) Outdated(w *Watch, raw []byte) bool {
	seq, err := versionOf(raw)
	return err == nil && seq != nil && *seq >= w.sinceVersion && *seq < eps.version
}

// Renumber forgets the version of the list in force: the next call asks for the snapshot.
func (eps *Endpoints) Renumber() { eps.version = 0 }

// Len is the number of endpoints listed.
func (eps *Endpoints) Len() int { return len(eps.byID) }

// zone is the place of a site among the zones; an unknown one lies in a zone of its own.
func (eps *Endpoints) zone(site string) int {
	if at := slices.Index(eps.zones, site); at >= 0 {
		return at
	}
	return len(eps.zones)
}
