package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"thymebend/internal/balancer"
)

// maxBornMS is the exclusive upper bound of a start time, in milliseconds of Unix time: about 139 years after 1970.
const maxBornMS = 1 << 42

// Update is the change that one object from discovery made to the list.
type Update struct {
	Snapshot bool                  // Entries are the whole list; otherwise they are changes to it
	Entries  []balancer.Endpoint   // for the balancer, in the order of the object
	Changed  []balancer.EndpointID // endpoints whose idle connections must not be reused
}

// Apply applies one object in discovery's format and returns the resulting change. The entries of a delta are
// applied in order: the last entry for an endpoint decides, even if the entries state different start times. A
// snapshot has no order: if it names an endpoint twice, the endpoint is up only if both entries say so.
//
// A faulty object has only one effect: endpoints of the list that it reports as draining or removed change to that
// state. Apply then returns both that update and the error. Discovery has sent these changes, so the gateway counts
// as notified of them. The version in force stays, so that the next watch requests the whole object again.
//
// A delta with an earlier version than the one in force describes an older state of the list: endpoints that it
// reports as draining or removed change to that state, and none becomes up. The version is set back to that of the
// delta, because discovery continues from there. A snapshot with an earlier version is applied like any other.
func (eps *Endpoints) Apply(raw []byte) (Update, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return eps.applyRemovals(doc.Hosts), fmt.Errorf("host list: %w", err)
	}
	if doc.Seq == nil {
		return eps.applyRemovals(doc.Hosts), ErrNoVersion
	}
	listed, err := eps.parseEntries(&doc)
	if err != nil {
		return eps.applyRemovals(doc.Hosts), err
	}
	if !doc.Snapshot && *doc.Seq < eps.version {
		eps.version = *doc.Seq
		return eps.applyRemovals(doc.Hosts), nil
	}
	update := Update{Snapshot: doc.Snapshot, Entries: make([]balancer.Endpoint, 0, len(listed))}
	if doc.Snapshot {
		listed = currentAtEachAddress(listed)
		update.Changed = eps.removeUnlisted(listed)
	}
	for _, ep := range listed {
		if !doc.Snapshot && !eps.replaceAtAddress(ep, &update) {
			continue
		}
		old := eps.byID[ep.ID]
		if old != nil && (old.StartedAt != ep.StartedAt || old.Addr != ep.Addr || ep.State != balancer.EndpointReady) {
			update.Changed = append(update.Changed, ep.ID)
		}
		eps.set(ep)
		update.Entries = append(update.Entries, ep.Endpoint)
	}
	eps.version = *doc.Seq
	return update, nil
}

// removeUnlisted removes the endpoints that a snapshot does not name, and returns their IDs in ascending order.
func (eps *Endpoints) removeUnlisted(listed []*Endpoint) (removed []balancer.EndpointID) {
	named := make(map[balancer.EndpointID]bool, len(listed))
	for _, ep := range listed {
		named[ep.ID] = true
	}
	for id := range eps.byID {
		if !named[id] {
			removed = append(removed, id)
			eps.remove(id)
		}
	}
	slices.Sort(removed) // map order is random, but equal events must have equal effects
	return removed
}

// ApplyStaleRemovals applies only part of an object that is older than the list in force: endpoints that the object
// reports as draining or removed change to that state if the object states the same start time as the list. It returns
// the update. The version in force stays.
func (eps *Endpoints) ApplyStaleRemovals(raw []byte) Update {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Update{}
	}
	return eps.applyRemovals(slices.DeleteFunc(doc.Hosts, func(e entry) bool {
		ep := eps.byID[EndpointIDFromName(e.Host)]
		return ep == nil || ep.StartedAt != e.startedAt()
	}))
}

// applyRemovals changes those endpoints of the list to draining or removed for which the last entry says so, and
// returns the update. Entries with an unknown state are ignored.
func (eps *Endpoints) applyRemovals(entries []entry) (update Update) {
	states := make(map[balancer.EndpointID]balancer.EndpointState)
	for i := range entries {
		id := EndpointIDFromName(entries[i].Host)
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
		eps.set(&ep)
		update.Changed = append(update.Changed, id)
		update.Entries = append(update.Entries, ep.Endpoint)
	}
	return update
}

// parseEntries decodes the entries of an object. For a snapshot it returns one endpoint for each ID, see Apply.
func (eps *Endpoints) parseEntries(doc *document) ([]*Endpoint, error) {
	listed := make([]*Endpoint, 0, len(doc.Hosts))
	indexes := make(map[balancer.EndpointID]int) // positions in listed, by ID; for snapshots only
	for i := range doc.Hosts {
		ep, err := eps.parseEntry(&doc.Hosts[i])
		if err != nil {
			return nil, err
		}
		if !doc.Snapshot {
			listed = append(listed, ep)
			continue
		}
		index, duplicate := indexes[ep.ID]
		switch {
		case !duplicate:
			indexes[ep.ID] = len(listed)
			listed = append(listed, ep)
		case listed[index].State == balancer.EndpointReady:
			listed[index] = ep
		}
	}
	return listed, nil
}

// parseEntry decodes one entry. For a removed endpoint, only the name, zone, cell and start time are read.
func (eps *Endpoints) parseEntry(e *entry) (*Endpoint, error) {
	if e.Host == "" {
		return nil, &EntryError{}
	}
	ep := &Endpoint{Name: e.Host, Capacity: 1, Endpoint: balancer.Endpoint{
		ID: EndpointIDFromName(e.Host), Zone: eps.zoneIndex(e.Site), Cell: e.Block, StartedAt: e.startedAt(),
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
		return nil, &EntryError{Host: e.Host, Problem: fmt.Sprintf("dial %q, which is not an address and port", e.Dial)}
	}
	if !(e.BornMS >= 0 && e.BornMS < maxBornMS) {
		return nil, &EntryError{Host: e.Host, Problem: fmt.Sprintf(
			"born_ms %v, outside 0 to %d", e.BornMS, int64(maxBornMS))}
	}
	return ep, nil
}
