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

// EndpointID names a server. It tells nothing about the server; a replaced machine has a new one.
type EndpointID uint64

// Idempotency says what a repeat of a request would do.
type Idempotency uint8

// A Idempotent request may be repeated freely. A Keyed one may be repeated within its group and window, where
// servers drop repeats. An Unsafe one must never run twice.
const (
	Idempotent Idempotency = iota
	KeyedIdempotent
	NonIdempotent
)

// DedupScope says which servers drop the repeats of a keyed request.
type DedupScope uint8

// All servers, those of the same zone, or those of the same cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one kind of request.
type Class struct {
	Name             string        // for log lines only
	LatencyObjective time.Duration // an answer within it earns the full worth
	Deadline         time.Duration // the longest a client waits
	Weight           float64       // the worth of one request
	// LateWeight is the share of the worth that an answer after the aim still earns.
	LateWeight  float64
	Idempotency Idempotency
	DedupScope  DedupScope // for Keyed
	// DedupWindow, for Keyed, is how long repeats are dropped, from the first send that may have run.
	DedupWindow time.Duration
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

	OverQuotaWeight      float64 // worth of a request beyond its tenant's quota, as a share of its class's
	WeightByWork         bool    // worth is counted by work done rather than by request
	TotalGoalWeight      float64 // weight of all worth served in what the operators want
	WorstClassGoalWeight float64 // and that of the class served worst; both 0 is all worth alone
	CrossZoneCost        float64 // price of one attempt in another zone, as a share of a request's worth

	PollDiscovery     bool          // the list comes only when watched
	PollInterval      time.Duration // with AskForList: how long a gateway may go without asking
	SlowStartFraction float64       // the least share of its capacity that a starting server has
	SlowStartDuration time.Duration // and the longest until it has all of it
	OverloadMultiple  float64       // sent more than this multiple of its capacity
	OverloadWindow    time.Duration // for this long, a cold server falls over

	ClientsMarkRetries bool          // clients mark their repeats
	MaxAttempts        int           // attempts for one request, at least 1
	CancelAllowed      bool          // Cancel may be used
	RetryAfter         bool          // a refusal may carry advice
	MaxRetryAfter      time.Duration // the longest advice that clients observe
	DispatchInterval   time.Duration // the least time between two Dispatch calls; 0 is taken as 1 ms
}

// Request is one client request that this gateway has taken and must answer exactly once.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	// ClientTimeout is the time until the client gives up on this try. A repeat was begun Deadline-Patience
	// ago. Where repeats are not marked, first tries of a class should share one value (to a few parts in a
	// hundred); another value is taken for a repeat.
	ClientTimeout time.Duration
	Retry         bool // marked by the client as a repeat
	// Elapsed is how much of the patience had passed before the gateway could take the request.
	Elapsed time.Duration
}

// Outcome says how an attempt ended.
type Outcome uint8

// OutcomeRejected, ConnectFailed and Moot prove that the request did not run; all others but OK leave it
// open.
const (
	OutcomeOK Outcome = iota
	OutcomeError
	OutcomeRejected
	OutcomeTimeout
	OutcomeConnectFailed
	OutcomeReset
	OutcomeCancelled
	OutcomeNotStarted
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotStarted
}

// AttemptEnd tells the end of one attempt. Each Send gets exactly one.
type AttemptEnd struct {
	Request      RequestID
	Attempt      int // numbered from 0 in the order of the request's Sends
	Endpoint     EndpointID
	Outcome      Outcome
	Latency      time.Duration // since the Send
	RequestDone  bool          // the request is concluded, by this outcome or before it
	BodyConsumed bool          // the request cannot be sent again: a part of its body is gone
	// Reported is set if the answer carried a load report with the requests waiting at the server, Waiting.
	Reported    bool
	QueueLength float64
}

// EndpointState is what the list says of a server.
type EndpointState uint8

// A EndpointRemoved server is off the list; a Draining one finishes its work and gets nothing new.
const (
	EndpointRemoved EndpointState = iota
	EndpointReady
	EndpointDraining
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int
	State     EndpointState
	StartedAt time.Duration // its latest start, on the gateway's clock; 0 is long ago
}

// AssignedEndpoint is what a fleet whose gateways speak with each other gives this one of a server.
type AssignedEndpoint struct {
	ID               EndpointID
	Weight           float64 // of the server among those that are in use, above 0
	Share            float64 // share of the server's capacity that is this gateway's; 0 for a spare
	SuspectedByPeers bool    // several other gateways found it bad
}

// EndpointUpdate says what a List event carries.
type EndpointUpdate uint8

// CachedSnapshot is the list as this gateway last had it, perhaps old; ListFailed says that a Watch failed or
// was broken and carries no entries; ListDelta has changed entries only; ListFull is all there are;
// ListUnreachable is a ListFailed of which it is known that the call met nobody.
const (
	CachedSnapshot EndpointUpdate = iota
	WatchFailed
	Delta
	Snapshot
	WatchUnreachable
)

// Actions is implemented by the gateway and carries out what the module decides.
type Actions interface {
	// StartAttempt starts an attempt. A timeout of 0 lasts until the client gives up.
	StartAttempt(id RequestID, to EndpointID, timeout time.Duration)
	// Reject is a final answer that promises the client that trying again is harmless. after is the time
	// it is asked to stay away, or 0.
	Reject(id RequestID, after time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// CancelAttempt ends the wait for one attempt, whose end is still told.
	CancelAttempt(id RequestID, attempt int)
	// CloseIdle drops the idle connections to a server that this gateway uses no longer.
	CloseIdle(to EndpointID)
	// SetTimer asks for one Timer event with this token, after the delay at the earliest.
	SetTimer(after time.Duration, token uint32)
	// WatchEndpoints asks for the changes of the list from now on. One List event answers it.
	WatchEndpoints()
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
	case c.SlowStartFraction < 0 || c.SlowStartFraction > 1:
		return fmt.Errorf("thymebend: ColdFrom is %v, must be from 0 to 1", c.SlowStartFraction)
	case c.SlowStartDuration < 0 || c.OverloadWindow < 0 || c.DispatchInterval < 0:
		return fmt.Errorf("thymebend: WarmAfter, OverloadFor and Tick must not be negative")
	case c.PollDiscovery && c.PollInterval <= 0:
		return fmt.Errorf("thymebend: AskWithin must be positive where AskForList is set")
	}
	for i, k := range c.Classes {
		switch {
		case k.LatencyObjective <= 0:
			return fmt.Errorf("thymebend: Classes[%d].Aim is %v, must be positive", i, k.LatencyObjective)
		case k.Deadline <= 0:
			return fmt.Errorf("thymebend: Classes[%d].Deadline is %v, must be positive", i, k.Deadline)
		case k.Idempotency > NonIdempotent:
			return fmt.Errorf("thymebend: Classes[%d].Effect is %d, not a known effect", i, k.Idempotency)
		case k.Weight < 0:
			return fmt.Errorf("thymebend: Classes[%d].Worth is %v, must not be negative", i, k.Weight)
		}
	}
	return nil
}
