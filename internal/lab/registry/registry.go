// Package registry is the state of the discovery service without its sockets: the list of hosts, and the
// notifications that each gateway has received. Each change of the list has a version number, so that a client that
// names the version of its list gets only the later changes. The package does no I/O and has no clock.
package registry

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// The states of a host in discovery's list.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Entry is a host in discovery's list.
type Entry struct {
	Host, Site, Kind string
	Cell             int // the hosts of a cell share the keys of the requests that they have executed
	State            string
	StartedMS        int64             // start time, Unix time in milliseconds; 0 means long ago
	Addresses        map[string]string // the host's address by gateway; each gateway may be given a different one
}

// Notification records when a gateway was notified that a host drains or is removed.
type Notification struct {
	At    time.Duration // time of the run
	State string        // Draining or Removed
}

// Registry is the list of hosts with the version of each change. It is not safe for concurrent use.
type Registry struct {
	version      int
	historyStart int // which hosts changed in versions up to this one is unknown
	entries      map[string]Entry
	order        []string                           // names of the hosts in the order in which they were added
	changedIn    map[string]int                     // the version in which a host last changed
	notified     map[string]map[string]Notification // by gateway and host
}

// New returns a Registry with an empty list.
func New() *Registry {
	return &Registry{entries: make(map[string]Entry), changedIn: make(map[string]int),
		notified: make(map[string]map[string]Notification)}
}

// Version returns the current version.
func (r *Registry) Version() int { return r.version }

// Put adds or changes hosts, all in one version.
func (r *Registry) Put(entries ...Entry) {
	r.version++
	for _, e := range entries {
		if _, known := r.entries[e.Host]; !known {
			r.order = append(r.order, e.Host)
		}
		r.entries[e.Host], r.changedIn[e.Host] = e, r.version
	}
}

// LoseHistory increases the version by 1000 and drops the history, as a discovery service that restarts without its
// history does: a client with an older version then gets the whole list.
func (r *Registry) LoseHistory() {
	r.version += 1000
	r.historyStart = r.version
}

// ResetVersions restarts the versions, as a discovery service that was rebuilt from nothing does: the current list
// becomes version 1.
func (r *Registry) ResetVersions() {
	r.version, r.historyStart = 1, 0
	for name := range r.changedIn {
		r.changedIn[name] = 1
	}
}

// Copy returns a copy of the list with its history, without the notifications.
func (r *Registry) Copy() *Registry {
	c := New()
	c.CopyFrom(r)
	return c
}

// CopyFrom replaces the list and its history by those of other. The notifications stay.
func (r *Registry) CopyFrom(other *Registry) {
	r.version, r.historyStart, r.order = other.version, other.historyStart, slices.Clone(other.order)
	r.entries, r.changedIn = maps.Clone(other.entries), maps.Clone(other.changedIn)
}

// Find returns a host's entry.
func (r *Registry) Find(host string) (Entry, bool) { e, ok := r.entries[host]; return e, ok }

// wireEntry is a host in the JSON format in which discovery sends it.
type wireEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// Line returns the list for a gateway in discovery's format: the hosts that changed after the version after. If after
// is 0, does not exist yet or is so old that the later changes are unknown, Line returns the whole list.
func (r *Registry) Line(gateway string, after int) []byte {
	return r.line(gateway, r.changedAfter(after), r.wholeFor(after))
}

// ServingLine returns the whole list without draining hosts, as some discovery services answer a request for it.
func (r *Registry) ServingLine(gateway string) []byte { return r.line(gateway, r.serving(), true) }

// ChangedCount returns the number of hosts in the result of Line.
func (r *Registry) ChangedCount(after int) int { return len(r.changedAfter(after)) }

// ServingCount returns the number of hosts in the result of ServingLine.
func (r *Registry) ServingCount() int { return len(r.serving()) }

// wholeFor reports whether a client whose list has the version after gets the whole list and not only the changes.
func (r *Registry) wholeFor(after int) bool {
	return after <= 0 || after > r.version || after < r.historyStart
}

// changedAfter returns the hosts that are sent to a client whose list has the version after.
func (r *Registry) changedAfter(after int) []Entry {
	wholeList := r.wholeFor(after)
	return r.entriesWhere(func(e Entry) bool {
		return wholeList && e.State != Removed || !wholeList &&
			r.changedIn[e.Host] > after
	})
}

// serving returns the hosts that are up.
func (r *Registry) serving() []Entry {
	return r.entriesWhere(func(e Entry) bool { return e.State == Up })
}

// entriesWhere returns the hosts that wanted accepts, in the order in which they were added.
func (r *Registry) entriesWhere(wanted func(Entry) bool) []Entry {
	var list []Entry
	for _, name := range r.order {
		if e := r.entries[name]; wanted(e) {
			list = append(list, e)
		}
	}
	return list
}

// line returns entries in discovery's format, with the addresses for a gateway.
func (r *Registry) line(gateway string, entries []Entry, whole bool) []byte {
	doc := struct {
		Seq   int         `json:"seq"`
		Whole bool        `json:"whole"`
		Hosts []wireEntry `json:"hosts"`
	}{r.version, whole, []wireEntry{}}
	for _, e := range entries {
		doc.Hosts = append(doc.Hosts, wireEntry{Host: e.Host, Dial: e.Addresses[gateway], Site: e.Site, Class: e.Kind,
			Block: e.Cell, Health: e.State, Share: 1, Born: e.StartedMS})
	}
	line, err := json.Marshal(doc)
	if err != nil {
		panic(err) // a struct of plain values always marshals
	}
	return line
}

// RecordNotification records that a gateway was notified of the current list. For a host that drains or is removed,
// the first notification counts.
func (r *Registry) RecordNotification(gateway string, now time.Duration) {
	notified := r.notified[gateway]
	if notified == nil {
		notified = make(map[string]Notification)
		r.notified[gateway] = notified
	}
	for name, e := range r.entries {
		if _, known := notified[name]; e.State == Up {
			delete(notified, name)
		} else if !known {
			notified[name] = Notification{now, e.State}
		}
	}
}

// Notified returns when a gateway was notified that a host drains or is removed; ok is false if it was not.
func (r *Registry) Notified(gateway, host string) (t Notification, ok bool) {
	t, ok = r.notified[gateway][host]
	return t, ok
}

// Forget drops the notifications of a gateway, as after the gateway's restart.
func (r *Registry) Forget(gateway string) { delete(r.notified, gateway) }

// Names returns the names of the hosts that are not removed, in the order in which they were added.
func (r *Registry) Names() []string {
	return slices.DeleteFunc(slices.Clone(r.order), func(n string) bool { return r.entries[n].State == Removed })
}
