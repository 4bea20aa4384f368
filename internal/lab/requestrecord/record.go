// Package requestrecord records, by request id, what clients sent and received and what hosts received and
// returned, and compares the two. The laboratory's verdict on a run is this comparison; neither side's own
// figures are trusted.
//
// The package does no I/O and has no clock; times are those of the run, counted from its start.
package requestrecord

import (
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Attempt is one attempt of a request, as its client recorded it. A client's retry is a separate Attempt with a
// different id.
type Attempt struct {
	ID      string
	Request int           // number of the request; its retries have the same number
	Number  int           // 0 for the first attempt
	Class   string        // the class's name
	Unsafe  bool          // must not be executed more than once
	Keyed   bool          // must not be executed in more than one cell; the hosts of a cell share keys and drop repeats
	Target  string        // the gateway's address
	Body    int           // bytes
	Due     time.Duration // when the request was due
	// ClientTimeout is the client timeout, from the last byte of the request on.
	ClientTimeout time.Duration
	Sent          time.Duration // when its last byte was written; valid if FullyWritten
	Ended         time.Duration // when the attempt ended: response read, error, or given up
	FullyWritten  bool          // its last byte was written to an accepted connection
	// OpenConnection reports that it was sent on a connection that had carried another attempt.
	OpenConnection bool
	Answers        int    // number of whole responses that the client received
	Status         int    // HTTP status of the first response; 0 if there was none
	Hash           uint64 // hash of the first response's body, by the function Hash
	TimedOut       bool   // the client timeout passed without a response
	Cause          string // why it had no good response, in words
}

// ClientRecord is the record of the clients. Its methods may be called from several goroutines.
type ClientRecord struct {
	mu    sync.Mutex
	byID  map[string]*Attempt
	order []*Attempt
}

// NewClientRecord returns an empty ClientRecord.
func NewClientRecord() *ClientRecord { return &ClientRecord{byID: make(map[string]*Attempt)} }

// Add adds an attempt before it is sent. It returns an error if the id is already in use: the generator must not
// reuse ids.
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

// Update calls change with an attempt under the record's lock. It ignores unknown ids.
func (c *ClientRecord) Update(id string, change func(*Attempt)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.byID[id]; a != nil {
		change(a)
	}
}

// Attempts returns copies of all attempts in the order in which they were added.
func (c *ClientRecord) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Attempt, len(c.order))
	for i, t := range c.order {
		all[i] = *t
	}
	return all
}

// Entry is one host's record of one id.
type Entry struct {
	Arrivals int      // whole requests received with this id
	Started  int      // executions started
	Ended    int      // executions completed
	Rejected int      // arrivals rejected as never executed
	Returned []uint64 // hashes of the bodies that the host returned for the id
}

// EndpointRecord is the record of one host. It has no lock: the host's model is used by one goroutine at a time.
type EndpointRecord struct {
	Name    string
	Cell    int // hosts of the same cell drop repeats of each other's keyed requests
	entries map[string]*Entry
}

// NewEndpointRecord returns an empty EndpointRecord.
func NewEndpointRecord(name string) *EndpointRecord {
	return &EndpointRecord{Name: name, entries: make(map[string]*Entry)}
}

// EntryOf returns the entry of an id, and creates it if it does not exist.
func (r *EndpointRecord) EntryOf(id string) *Entry {
	e := r.entries[id]
	if e == nil {
		e = &Entry{}
		r.entries[id] = e
	}
	return e
}

// Find returns the entry of an id, or nil if it does not exist.
func (r *EndpointRecord) Find(id string) *Entry { return r.entries[id] }

// Len returns the number of ids in the record.
func (r *EndpointRecord) Len() int { return len(r.entries) }

// Hash returns the hash of a body.
func Hash(body []byte) uint64 { return xxh3.Hash(body) }

// The rules that a run can break, with their names in reports.
const (
	Unanswered      = "unanswered"         // received whole by a running gateway, not answered within the client timeout
	AnsweredTwice   = "answered twice"     // more than one response for an id
	RanTwice        = "executed twice"     // an unsafe request ran more than once, or a keyed one in several cells
	ForeignBody     = "foreign body"       // the client got 200 with a body that no host returned for the id
	RefusedAfterRun = "refused after run"  // 429 or 503 for an unsafe or keyed request that a host started
	InventedID      = "invented id"        // a host received an id that no client sent
	SentAfterDrain  = "sent after drain"   // a host got a request too long after the gateway was told that it drains
	ColdHostPushed  = "cold host pushed"   // a host in slow start was sent more work than it survives
	GatewayCrashed  = "gateway crashed"    // a gateway process ended although it was not told to stop
	OverMemory      = "memory over limit"  // a gateway's resident memory exceeded its limit
	OverSockets     = "sockets over limit" // a gateway held more descriptors than its limit
)

// Rules lists every rule in the order in which reports show them.
func Rules() []string {
	return []string{Unanswered, AnsweredTwice, RanTwice, ForeignBody, RefusedAfterRun, InventedID, SentAfterDrain,
		ColdHostPushed, GatewayCrashed, OverMemory, OverSockets}
}
