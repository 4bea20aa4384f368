package balancer

import (
	"fmt"
	"time"
)

// This file is the interface of the module: what a gateway tells it and what it answers.
//
// A gateway creates one Balancer with New and calls one method for each event. Events that arrive
// together are told one after another, then Dispatch is called once. Decisions go out through Actions,
// during New, during an event or during Dispatch; the gateway carries them out in the order given and
// must not call back into the Balancer while one is being given.
//
// Time is a monotonic duration since any fixed moment, the same for all calls; it never goes back.
// A Balancer is not for concurrent use, keeps nothing outside itself, and owns no memory of the caller
// after a call returns. The same calls with the same seed give the same actions.

// RequestID names a request at this gateway. An id is never used twice.
type RequestID uint32

// ServerID names a server. It tells nothing about the server; a replaced machine has a new one.
type ServerID uint64

// Effect says what a repeat of a request would do.
type Effect uint8

// A Safe request may be repeated freely. A Keyed one may be repeated within its group and window, where
// servers drop repeats. An Unsafe one must never run twice.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Group says which servers drop the repeats of a keyed request.
type Group uint8

// All servers, those of the same zone, or those of the same cell.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one kind of request.
type Class struct {
	Name     string        // for log lines only
	Aim      time.Duration // an answer within it earns the full worth
	Deadline time.Duration // the longest a client waits
	Worth    float64       // the worth of one request
	// LateWorth is the share of the worth that an answer after the aim still earns.
	LateWorth float64
	Effect    Effect
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: how long repeats are dropped, from the first send that may have run
}

// Tenant describes one of those who share the fleet.
type Tenant struct {
	Name  string  // for log lines only
	Quota float64 // requests a second over all gateways within its share; 0 is no quota
}

// Config is what a gateway knows at its start.
type Config struct {
	Gateways int // how many gateways there are, at least 1
	Rank     int // the number of this gateway among them, from 0
	Zone     int // the zone of this gateway
	Classes  []Class
	Tenants  []Tenant // may be empty

	OverShareWorth float64 // worth of a request beyond its tenant's quota, as a share of its class's
	WorthByWork    bool    // worth is counted by work done rather than by request
	WholeWeight    float64 // weight of all worth served in what the operators want
	WorstWeight    float64 // and that of the class served worst; both 0 is all worth alone
	CrossZonePrice float64 // price of one attempt in another zone, as a share of a request's worth

	AskForList   bool          // the list comes only when watched
	AskWithin    time.Duration // with AskForList: how long a gateway may go without asking
	ColdFrom     float64       // the least share of its capacity that a starting server has
	WarmAfter    time.Duration // and the longest until it has all of it
	FallMultiple float64       // sent more than this multiple of its capacity
	OverloadFor  time.Duration // for this long, a cold server falls over

	MarksRepeats  bool          // clients mark their repeats
	MaxAttempts   int           // attempts for one request, at least 1
	CancelAllowed bool          // Cancel may be used
	RetryAfter    bool          // a refusal may carry advice
	MaxRetryAfter time.Duration // the longest advice that clients observe
	Tick          time.Duration // the least time between two Dispatch calls; 0 is taken as 1 ms
}

// Request is one client request that this gateway has taken and must answer exactly once.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	// Patience is the time until the client gives up on this try. A repeat was begun Deadline-Patience ago.
	// Where repeats are not marked, first tries of a class should share one value (to a few parts in a
	// hundred); another value is taken for a repeat.
	Patience time.Duration
	Repeat   bool // marked by the client as a repeat
	// Waited is how much of the patience had passed before the gateway could take the request.
	Waited time.Duration
}

// Outcome says how an attempt ended.
type Outcome uint8

// Full, ConnectFailed and Moot prove that the request did not run; all others but OK leave it open.
const (
	OK Outcome = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Unrun reports whether the outcome proves that the attempt never ran.
func (o Outcome) Unrun() bool { return o == Full || o == ConnectFailed || o == Moot }

// AttemptEnd tells the end of one attempt. Each Send gets exactly one.
type AttemptEnd struct {
	Request RequestID
	Attempt int // numbered from 0 in the order of the request's Sends
	Server  ServerID
	Outcome Outcome
	Latency time.Duration // since the Send
	Closed  bool          // the request is concluded, by this outcome or before it
	Spent   bool          // the request cannot be sent again: a part of its body is gone
	// Reported is set if the answer carried a load report with the requests waiting at the server, Waiting.
	Reported bool
	Waiting  float64
}

// State is what the list says of a server.
type State uint8

// A Gone server is off the list; a Draining one finishes its work and gets nothing new.
const (
	Gone State = iota
	Ready
	Draining
)

// Server is one entry of the list.
type Server struct {
	ID    ServerID
	Zone  int
	Cell  int
	State State
	Born  time.Duration // its latest start, on the gateway's clock; 0 is long ago
}

// FleetServer is what a fleet whose gateways speak with each other gives this one of a server.
type FleetServer struct {
	ID      ServerID
	Weight  float64 // of the server among those that are in use, above 0
	Part    float64 // share of what the server can do that is this gateway's, above 0 to 1; 0 for a spare
	Doubted bool    // several other gateways found it bad
}

// ListKind says what a List event carries.
type ListKind uint8

// ListCached is the list as this gateway last had it, perhaps old; ListFailed says that a Watch failed or
// was broken and carries no entries; ListDelta has changed entries only; ListFull is all there are;
// ListUnreachable is a ListFailed of which it is known that the call met nobody.
const (
	ListCached ListKind = iota
	ListFailed
	ListDelta
	ListFull
	ListUnreachable
)

// Actions is implemented by the gateway and carries out what the module decides.
type Actions interface {
	// Send starts an attempt. A timeout of 0 lasts until the client gives up.
	Send(id RequestID, to ServerID, timeout time.Duration)
	// Refuse is a final answer that promises the client that trying again is harmless. after is the time
	// it is asked to stay away, or 0.
	Refuse(id RequestID, after time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Cancel ends the wait for one attempt, whose end is still told.
	Cancel(id RequestID, attempt int)
	// Close drops the idle connections to a server that this gateway uses no longer.
	Close(to ServerID)
	// Wake asks for one Timer event with this token, after the delay at the earliest.
	Wake(after time.Duration, token uint32)
	// Watch asks for the changes of the list from now on. One List event answers it.
	Watch()
	// Log records a line for the people on call.
	Log(line string)
}

// Validate names the first field that cannot work.
func (c *Config) Validate() error {
	switch {
	case c.Gateways < 1:
		return fmt.Errorf("thymebend: Gateways is %d, must be at least 1", c.Gateways)
	case c.Rank < 0 || c.Rank >= c.Gateways:
		return fmt.Errorf("thymebend: Rank is %d, must be from 0 to %d", c.Rank, c.Gateways-1)
	case len(c.Classes) == 0:
		return fmt.Errorf("thymebend: Classes is empty")
	case c.MaxAttempts < 1:
		return fmt.Errorf("thymebend: MaxAttempts is %d, must be at least 1", c.MaxAttempts)
	case c.ColdFrom < 0 || c.ColdFrom > 1:
		return fmt.Errorf("thymebend: ColdFrom is %v, must be from 0 to 1", c.ColdFrom)
	case c.WarmAfter < 0 || c.OverloadFor < 0 || c.Tick < 0:
		return fmt.Errorf("thymebend: WarmAfter, OverloadFor and Tick must not be negative")
	case c.AskForList && c.AskWithin <= 0:
		return fmt.Errorf("thymebend: AskWithin must be positive where AskForList is set")
	}
	for i, k := range c.Classes {
		switch {
		case k.Aim <= 0:
			return fmt.Errorf("thymebend: Classes[%d].Aim is %v, must be positive", i, k.Aim)
		case k.Deadline <= 0:
			return fmt.Errorf("thymebend: Classes[%d].Deadline is %v, must be positive", i, k.Deadline)
		case k.Effect > Unsafe:
			return fmt.Errorf("thymebend: Classes[%d].Effect is %d, not a known effect", i, k.Effect)
		case k.Worth < 0:
			return fmt.Errorf("thymebend: Classes[%d].Worth is %v, must not be negative", i, k.Worth)
		}
	}
	return nil
}
