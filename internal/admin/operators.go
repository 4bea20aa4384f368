// Package operators speaks to the operators at the second address: calls, one a connection, and their answers.
package admin

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Limits of an operator's link.
const (
	// MostLinks is how many calls are heard at once. Each has a descriptor that clients cannot take.
	MostLinks = 10
	// CallWithin is how long a call may take to come whole, and its answer to be taken.
	CallWithin = time.Second
	// LingerFor is how long the end of a link waits for the caller's own.
	LingerFor = 200 * time.Millisecond
)

// Link is one operator's link. It carries one call.
type Link struct {
	Conn     loop.Conn
	Answered bool
	Ended    bool // our sending has ended
	reader   http1.Reader
}

// Call is what an operator asks.
type Call uint8

// The calls. None is not yet whole, Faulty has its answer already.
const (
	None Call = iota
	Readiness
	Stats
	FleetView
	Faulty
)

// Feed takes what has come and returns the call, and for a faulty one its answer.
func (l *Link) Feed(data []byte) (Call, []byte) {
	l.reader.Feed(data)
	m, fault := l.reader.Next()
	switch {
	case fault != nil:
		return Faulty, text(fault.Status, fault.Text)
	case m == nil:
		return None, nil
	}
	path, _, _ := strings.Cut(m.Target, "?")
	call := map[string]Call{"/ops/readiness": Readiness, "/ops/stats": Stats, "/ops/fleet": FleetView}[path]
	switch {
	case call == None:
		return Faulty, text(404, "no such path: /ops/readiness, /ops/stats and /ops/fleet are there")
	case m.Method != "GET":
		return Faulty, http1.AppendResponse(nil, 405, []http1.Field{{Name: "Allow", Value: "GET"}}, []byte("GET only\n"), false)
	}
	return call, nil
}

func text(status int, words string) []byte {
	return http1.AppendResponse(nil, status, nil, []byte(words+"\n"), false)
}

// Ready words whether this process takes clients.
func Ready(yes bool, why string) []byte {
	if yes {
		return text(200, "ready")
	}
	return text(503, why)
}

// Figures are what the operators read. Counts are by class and run from the start of the process.
type Figures struct {
	Fulfilled     map[string]int64 `json:"fulfilled"`
	Throttled     map[string]int64 `json:"throttled"`
	Faulted       map[string]int64 `json:"faulted"`
	Relayed       int64            `json:"relayed"`
	Open          int              `json:"open_requests"`
	Entries       int              `json:"registry_entries"`
	OutOfRotation int              `json:"out_of_rotation"`
	Accepted      int              `json:"cfg_accepted"`
	Invalid       int              `json:"cfg_invalid"`
	// Ends counts how attempts and client connections ended, Refusals why requests were refused, by reason; Retries counts
	// attempts beyond a request's first.
	Ends     map[string]uint64 `json:"ends"`
	Refusals map[string]uint64 `json:"refusals"`
	Retries  uint64            `json:"retries"`
	// Violations counts effects that would have broken a rule, and were held back, by the rule.
	Violations map[string]uint64 `json:"violations"`
}

// Fleet is this gateway's view of the others. Counts run from the start of the process.
type Fleet struct {
	Fleet         string            `json:"fleet"`
	Name          string            `json:"name"`
	Speaking      bool              `json:"speaking"` // its socket is open and no other process speaks for this gateway
	Joined        int               `json:"joined"`   // how often this process began a view: again after an upgrade that came to nothing
	Settled       bool              `json:"settled"`
	Majority      bool              `json:"majority"`
	Twin          bool              `json:"twin"`
	Alive         int               `json:"alive"`
	Known         int               `json:"known"`
	Answering     float64           `json:"answering"` // of those asked lately
	Health        int               `json:"health"`    // 0 is well, 8 is worst
	QuietMS       int64             `json:"quiet_ms"`
	Sent          uint64            `json:"sent"`
	SentBytes     uint64            `json:"sent_bytes"`
	Received      uint64            `json:"received"`
	ReceivedBytes uint64            `json:"received_bytes"`
	Refused       map[string]uint64 `json:"refused"`
	Members       []FleetMember     `json:"members"`
	Portion       *Portion          `json:"portion,omitempty"`
}

// Portion is what this gateway has of the fleet's hosts, and why.
type Portion struct {
	Stage    string        `json:"stage"`    // waiting, settled, kept, changing
	Gateways int           `json:"gateways"` // that the division in force counts
	Agreed   bool          `json:"agreed"`   // most of the living have the same file: turns are taken
	Crowd    float64       `json:"crowd"`    // largest load of a host for what it can do, over the mean; 1 is perfect
	Demand   float64       `json:"demand"`   // requests a second of the average class, as told to the others
	Turns    uint64        `json:"turns"`    // at cold hosts, taken by this process
	Spares   int           `json:"spares"`
	Hosts    []PortionHost `json:"hosts"`
}

// PortionHost is one host in it.
type PortionHost struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"` // among this gateway's
	Part    float64 `json:"part"`   // of the host that is this gateway's
	Cold    bool    `json:"cold"`
	Doubted bool    `json:"doubted"` // several others found it bad
}

// FleetMember is one gateway in it.
type FleetMember struct {
	Name        string  `json:"name"`
	State       string  `json:"state"`
	Start       uint64  `json:"start_ms"` // Unix time
	Incarnation uint64  `json:"incarnation"`
	SinceMS     int64   `json:"since_ms"`               // in this state
	Previous    string  `json:"previous"`               // state before it
	SuspectedBy string  `json:"suspected_by,omitempty"` // who raised the last suspicion, where that was told
	RTTMS       float64 `json:"rtt_ms"`
	Addr        string  `json:"addr,omitempty"`
}

// Words is the answer with the view.
func (f Fleet) Words() []byte { return words(f) }

// NoFleet answers where there is no fleet file.
func NoFleet() []byte { return text(404, "no fleet: LB_FLEET names no file") }

// Words is the answer with the figures.
func (f Figures) Words() []byte { return words(f) }

func words(f any) []byte {
	body, err := json.Marshal(f)
	if err != nil { // maps of numbers: cannot be
		return text(500, err.Error())
	}
	return http1.AppendResponse(nil, 200, []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: "Cache-Control", Value: "no-store"}}, append(body, '\n'), false)
}

// Links are the operators' links, the oldest first.
type Links struct {
	list []*Link
}

// Find returns the link of a connection, or nil.
func (s *Links) Find(c loop.Conn) *Link {
	for _, l := range s.list {
		if l.Conn == c {
			return l
		}
	}
	return nil
}

// Len is how many there are.
func (s *Links) Len() int { return len(s.list) }

// Add takes a new link. Where that makes too many, the one that gives way is returned: the oldest that has asked
// nothing, so that those who say nothing never keep out one who asks, else the oldest.
func (s *Links) Add(c loop.Conn) (out *Link) {
	if len(s.list) >= MostLinks {
		at := max(0, slices.IndexFunc(s.list, func(l *Link) bool { return !l.Answered }))
		out = s.list[at]
	}
	s.list = append(s.list, &Link{Conn: c})
	return out
}

// Remove forgets a link.
func (s *Links) Remove(l *Link) {
	s.list = slices.DeleteFunc(s.list, func(m *Link) bool { return m == l })
}
