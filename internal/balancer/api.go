package balancer

import "time"

// RequestID names a request at this gateway. An id is never used twice.
type RequestID uint32

// EndpointID names an endpoint. It tells nothing about it; a replaced machine has a new one.
type EndpointID uint64

// Request is one client request that this gateway has taken and must answer exactly once.
type Request struct {
	ID     RequestID
	Class  int // index into Config.Classes, see Reload
	Tenant int // index into Config.Tenants
	// ClientTimeout is the time until the client gives up on this try. A client's retry was first tried
	// Deadline-ClientTimeout ago. Where retries are not marked, first tries of a class should share one
	// value (to a few parts in a hundred); another value is taken for a retry.
	ClientTimeout time.Duration
	Retry         bool // marked by the client as a retry
	// Elapsed is how much of the client timeout had passed before the gateway could take the request.
	Elapsed time.Duration
}

// Outcome says how an attempt ended.
type Outcome uint8

// OutcomeRejected, OutcomeConnectFailed and OutcomeNotStarted prove that the request did not run; all
// others but OutcomeOK leave it open.
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

// AttemptEnd is the end of one attempt. Each StartAttempt gets exactly one.
type AttemptEnd struct {
	Request      RequestID
	Attempt      int // numbered from 0 in the order of the request's attempts
	Endpoint     EndpointID
	Outcome      Outcome
	Latency      time.Duration // since the attempt started
	RequestDone  bool          // the request is concluded, by this outcome or before it
	BodyConsumed bool          // the request cannot be sent again: a part of its body is gone
	// Reported is set if the answer carried a load report with the requests waiting at the endpoint,
	// QueueLength.
	Reported    bool
	QueueLength float64
}

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState uint8

// An EndpointRemoved is off the list; an EndpointDraining finishes its work and gets nothing new.
const (
	EndpointRemoved EndpointState = iota
	EndpointReady
	EndpointDraining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int
	State     EndpointState
	StartedAt time.Duration // its latest start, on the gateway's clock; 0 is long ago
}

// AssignedEndpoint is an endpoint that a cluster of gateways assigns to this one.
type AssignedEndpoint struct {
	ID               EndpointID
	Weight           float64 // of the endpoint among those that are in use, above 0
	Share            float64 // share of the endpoint's capacity that is this gateway's; 0 for a spare
	SuspectedByPeers bool    // several other gateways found it bad
}

// EndpointUpdate says what UpdateEndpoints carries.
type EndpointUpdate uint8

// CachedSnapshot is the list as this gateway last had it, perhaps old; WatchFailed says that a watch failed
// or was broken and carries no entries; Delta has changed entries only; Snapshot is all there are;
// WatchUnreachable is a WatchFailed of which it is known that the call reached nobody.
const (
	CachedSnapshot EndpointUpdate = iota
	WatchFailed
	Delta
	Snapshot
	WatchUnreachable
)

// Actions is implemented by the gateway and carries out what the balancer decides.
type Actions interface {
	// StartAttempt starts an attempt. A timeout of 0 lasts until the client gives up.
	StartAttempt(id RequestID, to EndpointID, timeout time.Duration)
	// Reject is a final answer that promises the client that trying again is harmless. after is the
	// Retry-After, or 0.
	Reject(id RequestID, after time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// CancelAttempt ends the wait for one attempt, whose end is still reported.
	CancelAttempt(id RequestID, attempt int)
	// CloseIdle drops the idle connections to an endpoint that this gateway uses no longer.
	CloseIdle(to EndpointID)
	// SetTimer asks for one TimerFired event with this token, after the delay at the earliest.
	SetTimer(after time.Duration, token uint32)
	// WatchEndpoints asks for the changes of the endpoint list from now on. One UpdateEndpoints answers it.
	WatchEndpoints()
	// Log records a line for the engineers on call.
	Log(line string)
}
