package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"thymebend/internal/balancer"
)

// maxBornMS bounds a start time, in milliseconds of Unix time: some 139 years.
const maxBornMS = 1 << 42

// Update is the change of the list that one object from discovery made.
type Update struct {
	Snapshot bool
	Entries  []balancer.Endpoint
	Changed  []balancer.EndpointID // endpoints whose idle connections must not be reused
}

// Apply applies one object in discovery's format. The entries of a delta are applied in order: the last one for
// an endpoint decides, whichever start of it they name. A snapshot has no order: an endpoint that it names twice
// is up only if both entries say so.
//
// A faulty object is an error and has only one effect: endpoints of the list that it reports as draining or
// removed become so, and the update is returned beside the error. Discovery has sent these changes, so they count
// as notified. The version in force stays, so that the next watch asks for the whole object again.
//
// A delta with an earlier version than the one in force is an older state of the list: the endpoints that it
// reports as draining or removed become so, and it marks none as up. The version goes back with it, because
// discovery continues from there. An earlier snapshot is applied.
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
	slices.Sort(gone) // map order is random; the same events must have the same effects
	return gone
}

// Removals applies only part of an object that is older than the list in force: the endpoints that it reports as
// draining or removed, where it names the same start as the list. It returns the update; the version stays.
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

// applyRemovals marks the endpoints of the list that the entries report as draining or removed, and returns the
// update.
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

// parseAll reads the entries of an object. For a snapshot it returns one for each endpoint.
func (eps *Endpoints) parseAll(doc *document) ([]*Endpoint, error) {
	fresh := make([]*Endpoint, 0, len(doc.Hosts))
	indexes := make(map[balancer.EndpointID]int) // in fresh
	for i := range doc.Hosts {
		ep, err := eps.parse(&doc.Hosts[i])
		if err != nil {
			return nil, err
		}
		if !doc.Snapshot {
			fresh = append(fresh, ep)
			continue
		}
		at, twice := indexes[ep.ID]
		switch {
		case !twice:
			indexes[ep.ID] = len(fresh)
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
	if !(e.BornMS >= 0 && e.BornMS < maxBornMS) {
		return nil, &EntryError{Host: e.Host, Problem: fmt.Sprintf("born_ms %v", e.BornMS)}
	}
	return ep, nil
}
