// Package registry is discovery's state without its sockets: the list in its versions, and what each
// gateway has been told. It does no I/O and has no clock.
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

// Entry is a host as discovery lists it. Dial gives the address for a gateway, which may differ from one to
// the next.
type Entry struct {
	Host, Site, Kind string
	Cell             int // whose hosts share what keys they have seen
	State            string
	Born             int64 // Unix time in milliseconds; 0 means long ago
	Dial             map[string]string
}

// Notification is when a gateway was told that a host drains or is gone.
type Notification struct {
	At    time.Duration
	State string
}

// Registry is the list and its history.
type Registry struct {
	version      int
	historyStart int // changes up to this version are known no more
	entries      map[string]Entry
	order        []string
	changedIn    map[string]int                     // the version in which a host last changed
	notified     map[string]map[string]Notification // by gateway, by host
}

// New returns a roster that lists nothing.
func New() *Registry {
	return &Registry{entries: make(map[string]Entry), changedIn: make(map[string]int),
		notified: make(map[string]map[string]Notification)}
}

// Seq is the present version.
func (r *Registry) Seq() int { return r.version }

// Put enters or changes hosts, all in one version.
func (r *Registry) Put(entries ...Entry) {
	r.version++
	for _, e := range entries {
		if _, known := r.entries[e.Host]; !known {
			r.order = append(r.order, e.Host)
		}
		r.entries[e.Host], r.changedIn[e.Host] = e, r.version
	}
}

// Flap goes on in a version far ahead without the history, as a discovery does that restarts without
// its memory: whoever has an older version gets the whole list.
func (r *Registry) Flap() {
	r.version += 1000
	r.historyStart = r.version
}

// Anew begins the versions anew, as a discovery does that was restored from nothing: the list as it
// stands is version 1.
func (r *Registry) Anew() {
	r.version, r.historyStart = 1, 0
	for name := range r.changedIn {
		r.changedIn[name] = 1
	}
}

// Copy returns the list with its history, without what gateways were told.
func (r *Registry) Copy() *Registry {
	c := New()
	c.Follow(r)
	return c
}

// Follow takes over another's list with its history; what gateways were told stays.
func (r *Registry) Follow(other *Registry) {
	r.version, r.historyStart, r.order = other.version, other.historyStart, slices.Clone(other.order)
	r.entries, r.changedIn = maps.Clone(other.entries), maps.Clone(other.changedIn)
}

// Find returns a host's entry.
func (r *Registry) Find(host string) (Entry, bool) { e, ok := r.entries[host]; return e, ok }

// wireEntry is a host on the wire.
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

// Line is the list for a gateway in discovery's form: what changed after a version, or all of it for
// version 0 and for versions that never were or whose changes are forgotten.
func (r *Registry) Line(gateway string, after int) []byte {
	return r.line(gateway, r.changedAfter(after), r.wholeFor(after))
}

// ServingLine is the whole list without the hosts that drain, as some registries answer a call.
func (r *Registry) ServingLine(gateway string) []byte { return r.line(gateway, r.serving(), true) }

// ChangedCount is how many hosts Line names.
func (r *Registry) ChangedCount(after int) int { return len(r.changedAfter(after)) }

// ServingCount is how many hosts ServingLine names.
func (r *Registry) ServingCount() int { return len(r.serving()) }

// wholeFor tells whether who has a version is sent the whole list.
func (r *Registry) wholeFor(after int) bool {
	return after <= 0 || after > r.version || after < r.historyStart
}

// changedAfter is the hosts that who has a version is sent.
func (r *Registry) changedAfter(after int) []Entry {
	wholeList := r.wholeFor(after)
	return r.entriesWhere(func(e Entry) bool {
		return wholeList && e.State != Removed || !wholeList &&
			r.changedIn[e.Host] > after
	})
}

func (r *Registry) serving() []Entry {
	return r.entriesWhere(func(e Entry) bool { return e.State == Up })
}

func (r *Registry) entriesWhere(wanted func(Entry) bool) []Entry {
	var list []Entry
	for _, name := range r.order {
		if e := r.entries[name]; wanted(e) {
			list = append(list, e)
		}
	}
	return list
}

func (r *Registry) line(gateway string, entries []Entry, whole bool) []byte {
	doc := struct {
		Seq   int         `json:"seq"`
		Whole bool        `json:"whole"`
		Hosts []wireEntry `json:"hosts"`
	}{r.version, whole, []wireEntry{}}
	for _, e := range entries {
		doc.Hosts = append(doc.Hosts, wireEntry{Host: e.Host, Dial: e.Dial[gateway], Site: e.Site, Class: e.Kind,
			Block: e.Cell, Health: e.State, Share: 1, Born: e.Born})
	}
	line, err := json.Marshal(doc)
	if err != nil {
		panic(err) // plain values cannot fail
	}
	return line
}

// Note keeps that a gateway has been told the list as it stands. The first notice of a host's leaving counts.
func (r *Registry) Note(gateway string, now time.Duration) {
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

// Told returns when a gateway was told that a host drains or is gone; ok is false if it was not.
func (r *Registry) Told(gateway, host string) (t Notification, ok bool) {
	t, ok = r.notified[gateway][host]
	return t, ok
}

// Forget drops what a gateway was told, as one that has restarted knows it no more.
func (r *Registry) Forget(gateway string) { delete(r.notified, gateway) }

// Names lists the hosts that are not removed, in the order in which they came.
func (r *Registry) Names() []string {
	return slices.DeleteFunc(slices.Clone(r.order), func(n string) bool { return r.entries[n].State == Removed })
}
