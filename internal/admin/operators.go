// Package admin speaks to the operators at the second address: calls, one a connection, and their answers.
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
	// MaxConns is how many calls are heard at once. Each has a descriptor that clients cannot take.
	MaxConns = 10
	// RequestTimeout is how long a call may take to come whole, and its answer to be taken.
	RequestTimeout = time.Second
	// LingerTimeout is how long the end of a link waits for the caller's own.
	LingerTimeout = 200 * time.Millisecond
)

// Conn is one operator's link. It carries one call.
type Conn struct {
	ID       loop.Conn
	Answered bool
	Ended    bool // our sending has ended
	reader   http1.Reader
}

// Call is what an operator asks.
type Call uint8

// The calls. None is not yet whole, Faulty has its answer already.
const (
	NoRequest Call = iota
	ReadinessRequest
	StatsRequest
	ClusterRequest
	BadRequest
)

// Feed takes what has come and returns the call, and for a faulty one its answer.
func (l *Conn) Feed(data []byte) (Call, []byte) {
	l.reader.Feed(data)
	m, fault := l.reader.Next()
	switch {
	case fault != nil:
		return BadRequest, text(fault.Status, fault.Text)
	case m == nil:
		return NoRequest, nil
	}
	path, _, _ := strings.Cut(m.Target, "?")
	call := map[string]Call{"/ops/readiness": ReadinessRequest, "/ops/stats": StatsRequest, "/ops/fleet": ClusterRequest}[path]
	switch {
	case call == NoRequest:
		return BadRequest, text(404, "no such path: /ops/readiness, /ops/stats and /ops/fleet are there")
	case m.Method != "GET":
		return BadRequest, http1.AppendResponse(nil, 405, []http1.Field{{Name: "Allow", Value: "GET"}}, []byte("GET only\n"), false)
	}
	return call, nil
}

func text(status int, words string) []byte {
	return http1.AppendResponse(nil, status, nil, []byte(words+"\n"), false)
}

// AppendReadiness words whether this process takes clients.
func AppendReadiness(yes bool, why string) []byte {
	if yes {
		return text(200, "ready")
	}
	return text(503, why)
}

// Stats are what the operators read. Counts are by class and run from the start of the process.
type Stats struct {
	Fulfilled       map[string]int64 `json:"fulfilled"`
	Throttled       map[string]int64 `json:"throttled"`
	Faulted         map[string]int64 `json:"faulted"`
	Forwarded       int64            `json:"relayed"`
	Open            int              `json:"open_requests"`
	Endpoints       int              `json:"registry_entries"`
	Unavailable     int              `json:"out_of_rotation"`
	ConfigsAccepted int              `json:"cfg_accepted"`
	ConfigsRejected int              `json:"cfg_invalid"`
	// Ends counts how attempts and client connections ended, Refusals why requests were refused, by reason; Retries counts
	// attempts beyond a request's first.
	Ends       map[string]uint64 `json:"ends"`
	Rejections map[string]uint64 `json:"refusals"`
	Retries    uint64            `json:"retries"`
	// Violations counts effects that would have broken a rule, and were held back, by the rule.
	Violations map[string]uint64 `json:"violations"`
}

// Cluster is this gateway's view of the others. Counts run from the start of the process.
type Cluster struct {
	Cluster       string            `json:"fleet"`
	Name          string            `json:"name"`
	Active        bool              `json:"speaking"` // its socket is open and no other process speaks for this gateway
	Joined        int               `json:"joined"`   // how often this process began a view: again after an upgrade that came to nothing
	Settled       bool              `json:"settled"`
	Majority      bool              `json:"majority"`
	DuplicateName bool              `json:"twin"`
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
	Members       []Member          `json:"members"`
	Assignment    *Assignment       `json:"portion,omitempty"`
}

// Assignment is what this gateway has of the fleet's hosts, and why.
type Assignment struct {
	Stage        string             `json:"stage"`    // waiting, settled, kept, changing
	Gateways     int                `json:"gateways"` // that the division in force counts
	TokensActive bool               `json:"agreed"`   // most of the living have the same file: turns are taken
	RelativeLoad float64            `json:"crowd"`    // largest load of a host for what it can do, over the mean; 1 is perfect
	Demand       float64            `json:"demand"`   // requests a second of the average class, as told to the others
	Tokens       uint64             `json:"turns"`    // at cold hosts, taken by this process
	Spares       int                `json:"spares"`
	Hosts        []AssignedEndpoint `json:"hosts"`
}

// AssignedEndpoint is one host in it.
type AssignedEndpoint struct {
	Name             string  `json:"name"`
	Weight           float64 `json:"weight"` // among this gateway's
	Share            float64 `json:"part"`   // of the host that is this gateway's
	SlowStart        bool    `json:"cold"`
	SuspectedByPeers bool    `json:"doubted"` // several others found it bad
}

// Member is one gateway in it.
type Member struct {
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

// Encode is the answer with the view.
func (f Cluster) Encode() []byte { return words(f) }

// NoCluster answers where there is no fleet file.
func NoCluster() []byte { return text(404, "no fleet: LB_FLEET names no file") }

// Encode is the answer with the figures.
func (f Stats) Encode() []byte { return words(f) }

func words(f any) []byte {
	body, err := json.Marshal(f)
	if err != nil { // maps of numbers: cannot be
		return text(500, err.Error())
	}
	return http1.AppendResponse(nil, 200, []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: "Cache-Control", Value: "no-store"}}, append(body, '\n'), false)
}

// Conns are the operators' links, the oldest first.
type Conns struct {
	list []*Conn
}

// Find returns the link of a connection, or nil.
func (s *Conns) Find(c loop.Conn) *Conn {
	for _, l := range s.list {
		if l.ID == c {
			return l
		}
	}
	return nil
}

// Len is how many there are.
func (s *Conns) Len() int { return len(s.list) }

// Add takes a new link. Where that makes too many, the one that gives way is returned: the oldest that has asked
// nothing, so that those who say nothing never keep out one who asks, else the oldest.
func (s *Conns) Add(c loop.Conn) (out *Conn) {
	if len(s.list) >= MaxConns {
		at := max(0, slices.IndexFunc(s.list, func(l *Conn) bool { return !l.Answered }))
		out = s.list[at]
	}
	s.list = append(s.list, &Conn{ID: c})
	return out
}

// Remove forgets a link.
func (s *Conns) Remove(l *Conn) {
	s.list = slices.DeleteFunc(s.list, func(m *Conn) bool { return m == l })
}
