// Package discovery follows the host group, discovery's list: its format, what the gateway has of it, and the
// watch that brings its changes. A second source of lists would be a package beside this one.
package discovery

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/balancer"
)

// Endpoint is one host as the gateway reaches it.
type Endpoint struct {
	balancer.Endpoint
	Name string
	Addr netip.AddrPort
	// Capacity is what the list says it can do, in any unit that all hosts have; 1 where it says nothing usable.
	Capacity float64
}

// Endpoints is the list as this gateway has it.
type Endpoints struct {
	zones []string
	hosts map[balancer.EndpointID]*Endpoint
	seq   uint64
}

// NewEndpoints returns an empty group. A host's zone is the place of its site among zones.
func NewEndpoints(zones []string) *Endpoints {
	return &Endpoints{zones: zones, hosts: make(map[balancer.EndpointID]*Endpoint)}
}

// Find returns a host of the list, or nil.
func (g *Endpoints) Find(id balancer.EndpointID) *Endpoint { return g.hosts[id] }

// All lists the hosts by number.
func (g *Endpoints) All() []*Endpoint {
	return slices.SortedFunc(maps.Values(g.hosts), func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Encode is the list as it is now, in discovery's form.
func (g *Endpoints) Encode() json.RawMessage {
	doc := document{Seq: &g.seq, Whole: true, Hosts: []entry{}}
	for _, h := range slices.SortedFunc(maps.Values(g.hosts), func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) }) {
		e := entry{Host: h.Name, Dial: h.Addr.String(), Block: h.Cell, Health: "up", Born: float64(h.StartedAt.Microseconds()) / 1000, Share: h.Capacity}
		if h.State == balancer.EndpointDraining {
			e.Health = "draining"
		}
		if h.Zone < len(g.zones) {
			e.Site = g.zones[h.Zone]
		}
		doc.Hosts = append(doc.Hosts, e)
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil // texts and numbers: cannot be; the other process goes on with the list that it knows
	}
	return raw
}

// Older reports whether an object in discovery's form is of an earlier version than the list in force.
func (g *Endpoints) Older(raw []byte) (bool, error) {
	seq, err := version(raw)
	return seq != nil && *seq < g.seq, err
}

// Outdated reports whether an object that answers a call is of an earlier version than the list in force, though not than
// that of the call: another call has brought newer ones since.
func (g *Endpoints) Outdated(w *Watch, raw []byte) bool {
	seq, err := version(raw)
	return err == nil && seq != nil && *seq >= w.asked && *seq < g.seq
}

// version is that of an object in discovery's form, nil where it has none.
func version(raw []byte) (*uint64, error) {
	var doc struct {
		Seq *uint64 `json:"seq"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return doc.Seq, nil
}

// Renumber forgets the version of the list in force: the next call asks for the whole list.
func (g *Endpoints) Renumber() { g.seq = 0 }

// Len is the number of hosts listed.
func (g *Endpoints) Len() int { return len(g.hosts) }

// Update is one object that discovery wrote, applied to the group.
type Update struct {
	Snapshot bool
	Entries  []balancer.Endpoint
	Changed  []balancer.EndpointID // hosts whose idle links must not be used again
}

type document struct {
	Seq   *uint64 `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Born   float64 `json:"born_ms"`
	Share  float64 `json:"share"`
}

// mostShare bounds what a list may say that a host can do, both ways: beyond it the figure is none.
const mostShare = 1000.0

// Apply takes one object in discovery's form. Entries of a delta hold in their order, so that the last one on a host decides,
// whatever start of it they name. A whole list has no order: a host that it names twice is up only if both entries say so.
//
// A faulty object is an error and changes nothing but this: hosts of the group that it says drain or are removed do so, as
// News tells beside the error. Discovery has written it, so they count as told. The version in force stays, so that the next
// call asks for all of it again.
//
// A delta of an earlier version than the one in force tells what this gateway knew before: its hosts that leave do so, and
// none comes up by it. The version goes back with it, for discovery goes on from there. An earlier whole list is taken.
func (g *Endpoints) Apply(raw []byte) (Update, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return g.departures(doc.Hosts), fmt.Errorf("host list: %w", err)
	}
	if doc.Seq == nil {
		return g.departures(doc.Hosts), fmt.Errorf("host list: seq is missing")
	}
	fresh, err := g.readAll(&doc)
	if err != nil {
		return g.departures(doc.Hosts), err
	}
	if !doc.Whole && *doc.Seq < g.seq {
		g.seq = *doc.Seq
		return g.departures(doc.Hosts), nil
	}
	news := Update{Snapshot: doc.Whole, Entries: make([]balancer.Endpoint, 0, len(fresh))}
	if doc.Whole {
		news.Changed = g.omit(fresh)
	}
	for _, h := range fresh {
		old := g.hosts[h.ID]
		if old != nil && (old.StartedAt != h.StartedAt || old.Addr != h.Addr || h.State != balancer.EndpointReady) {
			news.Changed = append(news.Changed, h.ID)
		}
		g.hosts[h.ID] = h
		if h.State == balancer.EndpointRemoved {
			delete(g.hosts, h.ID)
		}
		news.Entries = append(news.Entries, h.Endpoint)
	}
	g.seq = *doc.Seq
	return news, nil
}

// omit drops the hosts that a whole list does not name, and returns them by number.
func (g *Endpoints) omit(fresh []*Endpoint) (gone []balancer.EndpointID) {
	named := make(map[balancer.EndpointID]bool, len(fresh))
	for _, h := range fresh {
		named[h.ID] = true
	}
	for id := range g.hosts {
		if !named[id] {
			gone = append(gone, id)
			delete(g.hosts, id)
		}
	}
	slices.Sort(gone) // maps are walked in no order; the same news must have the same effects
	return gone
}

// Removals takes from an object that is not believed otherwise, for it is older than the list in force, which hosts drain or are
// removed in the start that the list has. It returns the news of it; the version stays.
func (g *Endpoints) Removals(raw []byte) Update {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Update{}
	}
	return g.departures(slices.DeleteFunc(doc.Hosts, func(e entry) bool {
		h := g.hosts[Identity(e.Host)]
		return h == nil || h.StartedAt != e.born()
	}))
}

// departures has those hosts of the group leave that some entries say drain or are removed, and returns the news of it.
func (g *Endpoints) departures(entries []entry) (news Update) {
	states := make(map[balancer.EndpointID]balancer.EndpointState)
	for i := range entries {
		id := Identity(entries[i].Host)
		if state, known := stateOf(entries[i].Health); known && g.hosts[id] != nil {
			states[id] = state
		}
	}
	for _, id := range slices.Sorted(maps.Keys(states)) {
		if states[id] == balancer.EndpointReady {
			continue
		}
		h := *g.hosts[id]
		h.State = states[id]
		if g.hosts[id] = &h; h.State == balancer.EndpointRemoved {
			delete(g.hosts, id)
		}
		news.Changed = append(news.Changed, id)
		news.Entries = append(news.Entries, h.Endpoint)
	}
	return news
}

// readAll reads the entries of an object. Of a whole list it returns one for each host.
func (g *Endpoints) readAll(doc *document) ([]*Endpoint, error) {
	fresh := make([]*Endpoint, 0, len(doc.Hosts))
	places := make(map[balancer.EndpointID]int)
	for i := range doc.Hosts {
		h, err := g.read(&doc.Hosts[i])
		if err != nil {
			return nil, err
		}
		if !doc.Whole {
			fresh = append(fresh, h)
			continue
		}
		at, twice := places[h.ID]
		switch {
		case !twice:
			places[h.ID] = len(fresh)
			fresh = append(fresh, h)
		case fresh[at].State == balancer.EndpointReady:
			fresh[at] = h
		}
	}
	return fresh, nil
}

// stateOf reads what an entry says of its host's health.
func stateOf(health string) (state balancer.EndpointState, known bool) {
	switch health {
	case "up":
		return balancer.EndpointReady, true
	case "draining":
		return balancer.EndpointDraining, true
	case "removed":
		return balancer.EndpointRemoved, true
	}
	return 0, false
}

// born is when the host last started.
func (e *entry) born() time.Duration {
	return time.Duration(math.Round(e.Born*1000)) * time.Microsecond
}

func (g *Endpoints) read(e *entry) (*Endpoint, error) {
	if e.Host == "" {
		return nil, fmt.Errorf("host list: an entry without host")
	}
	h := &Endpoint{Name: e.Host, Capacity: 1,
		Endpoint: balancer.Endpoint{ID: Identity(e.Host), Zone: g.zone(e.Site), Cell: e.Block, StartedAt: e.born()}}
	var known bool
	if h.State, known = stateOf(e.Health); !known {
		return nil, fmt.Errorf("host list: %s has unknown health %q", e.Host, e.Health)
	}
	if h.State == balancer.EndpointRemoved {
		return h, nil
	}
	if e.Share >= 1/mostShare && e.Share <= mostShare {
		h.Capacity = e.Share
	}
	var err error
	if h.Addr, err = netip.ParseAddrPort(e.Dial); err != nil {
		return nil, fmt.Errorf("host list: %s has dial %q", e.Host, e.Dial)
	}
	if !(e.Born >= 0 && e.Born < 1<<42) { // some 139 years of milliseconds
		return nil, fmt.Errorf("host list: %s has born_ms %v", e.Host, e.Born)
	}
	return h, nil
}

// Identity derives a host's number from its name alone, so that it is the same at every gateway: gateways
// pick their servers by it.
func Identity(name string) balancer.EndpointID {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name)) // a hash never fails
	return balancer.EndpointID(sum.Sum64())
}

// zone is the place of a site among the zones; an unknown one lies in a zone of its own.
func (g *Endpoints) zone(site string) int {
	if at := slices.Index(g.zones, site); at >= 0 {
		return at
	}
	return len(g.zones)
}
