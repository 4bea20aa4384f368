// Package requestrecord keeps what clients sent and got, and what hosts were sent and made, each by the
// request's id, and compares the two. The comparison is the laboratory's judge: neither side's own
// figures are believed.
//
// The package does no I/O and has no clock; times are those of the run, counted from its start.
package requestrecord

import (
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Attempt is one request as a client sent it. A client's retry is a try of its own, with an id of its own.
type Attempt struct {
	ID      string
	Request int    // the number of the request that it belongs to; retries share it
	Number  int    // 0 for the first try
	Class   string // the class's name
	Unsafe  bool   // the class must not run twice
	Keyed   bool   // repeats may run in one cell only
	Target  string // the gateway's address
	Body    int    // bytes
	Due     time.Duration
	// Patience is how long its client waits from the last byte on.
	Patience time.Duration
	Sent     time.Duration // its last byte was written; with Whole
	Ended    time.Duration // the client's last word on it
	Whole    bool          // its last byte was written to an accepted connection
	Answers  int           // whole answers that came for it
	Status   int           // of the first answer; 0 if none came
	Hash     uint64        // of the first answer's body, see Hash
	TimedOut bool          // the client's time ran out before an answer
	Cause    string        // how it ended without an answer, in words
}

// ClientRecord is the clients' side. Its methods may be called from several goroutines.
type ClientRecord struct {
	mu    sync.Mutex
	byID  map[string]*Attempt
	order []*Attempt
}

// NewClients returns an empty record.
func NewClients() *ClientRecord { return &ClientRecord{byID: make(map[string]*Attempt)} }

// Add enters a try before it is sent. An id in use already is refused: the generator must not reuse ids.
func (c *ClientRecord) Add(a Attempt) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[a.ID] != nil {
		return fmt.Errorf("ledger: id %s sent twice", a.ID)
	}
	c.byID[a.ID] = &a
	c.order = append(c.order, &a)
	return nil
}

// Update changes a try under the record's lock. Unknown ids are ignored.
func (c *ClientRecord) Update(id string, change func(*Attempt)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.byID[id]; a != nil {
		change(a)
	}
}

// Tries returns copies of all tries in the order in which they were entered.
func (c *ClientRecord) Tries() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Attempt, len(c.order))
	for i, t := range c.order {
		all[i] = *t
	}
	return all
}

// Entry is what one host knows of one id.
type Entry struct {
	Arrivals   int      // whole requests with this id
	Begun      int      // attempts begun
	Ended      int      // attempts ended
	TurnedAway int      // arrivals answered that they never ran
	Returned   []uint64 // hashes of the bodies made for it
}

// EndpointRecord is the side of one host. It has no lock: the host's model is used by one goroutine at
// a time.
type EndpointRecord struct {
	Name    string
	Cell    int // of those that drop one another's repeats
	entries map[string]*Entry
}

// NewEndpointRecord returns an empty record.
func NewEndpointRecord(name string) *EndpointRecord {
	return &EndpointRecord{Name: name, entries: make(map[string]*Entry)}
}

// EntryOf returns the entry of an id, made if need be.
func (r *EndpointRecord) EntryOf(id string) *Entry {
	e := r.entries[id]
	if e == nil {
		e = &Entry{}
		r.entries[id] = e
	}
	return e
}

// Find returns the entry of an id, or nil.
func (r *EndpointRecord) Find(id string) *Entry { return r.entries[id] }

// Len is the number of ids known.
func (r *EndpointRecord) Len() int { return len(r.entries) }

// Hash is that of a body.
func Hash(body []byte) uint64 { return xxh3.Hash(body) }

// The rules that a comparison can find broken, as reports name them.
const (
	Unanswered    = "unanswered"         // taken whole by a running gateway and never answered in the client's time
	AnsweredTwice = "answered twice"     // more than one answer for an id
	RanTwice      = "executed twice"     // an unsafe request begun more than once, at whichever hosts
	ForeignBody   = "foreign body"       // served with a body that no host made for it
	RefusedRan    = "refused after run"  // 429 or 503 to an unsafe request that a host began
	InventedID    = "invented id"        // an id at a host that no client sent
	LateToDrained = "sent after drain"   // a request to a host too long after its gateway was told
	PushedOver    = "cold host pushed"   // a cold host was sent more than it survives
	GatewayDied   = "gateway crashed"    // a gateway ended without being told to
	OverMemory    = "memory over limit"  // a gateway's resident memory went over what it was given
	OverSockets   = "sockets over limit" // a gateway held more descriptors than it was given
)

// Rules lists every rule in the order in which reports show them.
func Rules() []string {
	return []string{Unanswered, AnsweredTwice, RanTwice, ForeignBody, RefusedRan, InventedID, LateToDrained,
		PushedOver, GatewayDied, OverMemory, OverSockets}
}
