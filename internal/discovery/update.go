package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"thymebend/internal/balancer"
)

// Update is one object that discovery wrote, applied to the list.
type Update struct {
	Snapshot bool
	Entries  []balancer.Endpoint
	Changed  []balancer.EndpointID // endpoints whose idle connections must not be used again
}

// Apply takes one object in discovery's form. Entries of a delta hold in their order, so that the last
// one on an endpoint decides, whatever start of it they name. A snapshot has no order: an endpoint that
// it names twice is up only if both entries say so.
//
// A faulty object is an error and changes nothing but this: endpoints of the list that it says drain or
// are removed do so, as Update tells beside the error. Discovery has written it, so they counts as
// notified. The version in force stays, so that the next call asks for all of it again.
//
// A delta of an earlier version than the one in force tells what this gateway knew before: its
// endpoints that leave do so, and none comes up by it. The version goes back with it, for discovery
// goes on from there. An earlier snapshot is taken.
func (eps *Endpoints) Apply(raw []byte) (Update, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return eps.applyRemovals(doc.Hosts), fmt.Errorf("host list: %w", err)
	}
	if doc.Seq == nil {
		return eps.applyRemovals(doc.Hosts), ErrNoVersion
	}
	fresh, err := eps.parseAll(&doc)
	if err != nil {
		return eps.applyRemovals(doc.Hosts), err
	}
	if !doc.Snapshot && *doc.Seq < eps.version {
		eps.version = *doc.Seq
		return eps.applyRemovals(doc.Hosts), nil
	}
	update := Update{Snapshot: doc.Snapshot, Entries: make([]balancer.Endpoint, 0, len(fresh))}
	if doc.Snapshot {
		update.Changed = eps.removeUnlisted(fresh)
	}
	for _, ep := range fresh {
		old := eps.byID[ep.ID]
		if old != nil && (old.StartedAt != ep.StartedAt || old.Addr != ep.Addr || ep.State != balancer.EndpointReady) {
			update.Changed = append(update.Changed, ep.ID)
		}
		eps.byID[ep.ID] = ep
		if ep.State == balancer.EndpointRemoved {
			delete(eps.byID, ep.ID)
		}
		update.Entries = append(update.Entries, ep.Endpoint)
	}
	eps.version = *doc.Seq
	return update, nil
}

// removeUnlisted drops the endpoints that a snapshot does not name, and returns them by number.
func (eps *Endpoints) removeUnlisted(fresh []*Endpoint) (gone []balancer.EndpointID) {
	named := make(map[balancer.EndpointID]bool, len(fresh))
	for _, ep := range fresh {
		named[ep.ID] = true
	}
	for id := range eps.byID {
		if !named[id] {
			gone = append(gone, id)
			delete(eps.byID, id)
		}
	}
	slices.Sort(gone) // maps are walked in no order; the same news must have the same effects
	return gone
}

// Removals takes from an object that is not believed otherwise, for it is older than the list in force,
// which endpoints drain or are removed in the start that the list has. It returns the update; the
// version stays.
func (eps *Endpoints) Removals(raw []byte) Update {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Update{}
	}
	return eps.applyRemovals(slices.DeleteFunc(doc.Hosts, func(e entry) bool {
		ep := eps.byID[Identity(e.Host)]
		return ep == nil || ep.StartedAt != e.startedAt()
	}))
}

// applyRemovals has those endpoints of the list leave that some entries say drain or are removed, and
// returns the update.
func (eps *Endpoints) applyRemovals(entries []entry) (update Update) {
	states := make(map[balancer.EndpointID]balancer.EndpointState)
	for i := range entries {
		id := Identity(entries[i].Host)
		if state, known := stateOf(entries[i].Health); known && eps.byID[id] != nil {
			states[id] = state
		}
	}
	for _, id := range slices.Sorted(maps.Keys(states)) {
		if states[id] == balancer.EndpointReady {
			continue
		}
		ep := *eps.byID[id]
		ep.State = states[id]
		if eps.byID[id] = &ep; ep.State == balancer.EndpointRemoved {
			delete(eps.byID, id)
		}
		update.Changed = append(update.Changed, id)
		update.Entries = append(update.Entries, ep.Endpoint)
	}
	return update
}

// parseAll reads the entries of an object. Of a snapshot it returns one for each endpoint.
func (eps *Endpoints) parseAll(doc *document) ([]*Endpoint, error) {
	fresh := make([]*Endpoint, 0, len(doc.Hosts))
	places := make(map[balancer.EndpointID]int)
	for i := range doc.Hosts {
		ep, err := eps.parse(&doc.Hosts[i])
		if err != nil {
			return nil, err
		}
		if !doc.Snapshot {
			fresh = append(fresh, ep)
			continue
		}
		at, twice := places[ep.ID]
		switch {
		case !twice:
			places[ep.ID] = len(fresh)
			fresh = append(fresh, ep)
		case fresh[at].State == balancer.EndpointReady:
			fresh[at] = ep
		}
	}
	return fresh, nil
}

func (eps *Endpoints) parse(e *entry) (*Endpoint, error) {
	if e.Host == "" {
		return nil, &EntryError{}
	}
	ep := &Endpoint{Name: e.Host, Capacity: 1, Endpoint: balancer.Endpoint{
		ID: Identity(e.Host), Zone: eps.zone(e.Site), Cell: e.Block, StartedAt: e.startedAt(),
	}}
	var known bool
	if ep.State, known = stateOf(e.Health); !known {
		return nil, &EntryError{Host: e.Host, Problem: fmt.Sprintf("unknown health %q", e.Health)}
	}
	if ep.State == balancer.EndpointRemoved {
		return ep, nil
	}
	if e.Share >= 1/maxCapacity && e.Share <= maxCapacity {
		ep.Capacity = e.Share
	}
	var err error
	if ep.Addr, err = netip.ParseAddrPort(e.Dial); err != nil {
		return nil, &EntryError{Host: e.Host, Problem: fmt.Sprintf("dial %q", e.Dial)}
	}
	if !(e.BornMS >= 0 && e.BornMS < 1<<42) { // some 139 years of milliseconds
		return nil, &EntryError{Host: e.Host, Problem: fmt.Sprintf("born_ms %v", e.BornMS)}
	}
	return ep, nil
}
