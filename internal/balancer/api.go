package balancer

import "time"

// RequestID identifies a request at this gateway. An id is never used twice.
type RequestID uint32

// EndpointID identifies an endpoint. It encodes nothing about the endpoint; a replacement machine has a new
// id.
type EndpointID uint64

// Request is one client request that this gateway has accepted and must answer exactly once.
type Request struct {
	ID     RequestID
	Class  int // index into Config.Classes, see Reload
	Tenant int // index into Config.Tenants
	// ClientTimeout is how long the client waits before it abandons this try. A client's retry is assumed to
	// have been first tried Deadline-ClientTimeout ago, with the Deadline of its class. If clients do not
	// mark retries, the first tries of a class should share one value, within a few percent; a request with
	// another value counts as a retry.
	ClientTimeout time.Duration
	Retry         bool // marked by the client as a retry
	// Elapsed is the part of the client timeout that had passed before the gateway could accept the request.
	Elapsed time.Duration
	// AcceptWait is a further part, before Elapsed, in which the client's connection waited to be accepted.
	// It counts against the client's timeout alone: the requests of a crowd would otherwise all be shed for
	// the wait that they share.
	AcceptWait time.Duration
}

// Outcome is the result of an attempt.
type Outcome uint8

// OutcomeRejected, OutcomeConnectFailed and OutcomeNotStarted prove that the request did not run. OutcomeOK
// means that it ran; after any other outcome it may have run.
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

// NeverRan reports whether the outcome proves that the endpoint did not execute the request.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotStarted
}

// AttemptEnd describes the end of one attempt. The gateway reports exactly one for each StartAttempt.
type AttemptEnd struct {
	Request      RequestID
	Attempt      int // numbered from 0 in the order of the request's attempts
	Endpoint     EndpointID
	Outcome      Outcome
	Latency      time.Duration // since the attempt started
	RequestDone  bool          // the request has its final answer, by this outcome or earlier
	BodyConsumed bool          // the request cannot be sent again: part of its body is no longer available
	// Reported is set if the response carried a load report. QueueLength is the reported number of requests
	// that wait at the endpoint.
	Reported    bool
	QueueLength float64
}

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState uint8

// An endpoint in state EndpointRemoved is not on the list; one in state EndpointDraining finishes its
// requests and gets no new ones.
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
	StartedAt time.Duration // its latest start, on the gateway's clock; 0 means long ago
}

// AssignedEndpoint is an endpoint that the cluster of gateways assigns to this gateway.
type AssignedEndpoint struct {
	ID               EndpointID
	Weight           float64 // relative to the weights of the other assigned endpoints, above 0
	Share            float64 // share of the endpoint's capacity that this gateway may use; 0 for a spare
	SuspectedByPeers bool    // several other gateways consider it faulty
}

// EndpointUpdate is the kind of an update that is passed to UpdateEndpoints.
type EndpointUpdate uint8

// CachedSnapshot is the list that this gateway last had, possibly outdated. WatchFailed reports that a watch
// failed or was interrupted, and has no entries. Delta has only the entries that changed, Snapshot has all.
// WatchUnreachable is a WatchFailed whose call is known not to have reached discovery.
const (
	CachedSnapshot EndpointUpdate = iota
	WatchFailed
	Delta
	Snapshot
	WatchUnreachable
)

// Actions is implemented by the gateway. The balancer calls its methods to have its decisions carried out.
type Actions interface {
	// StartAttempt sends a request to an endpoint. With a timeout of 0 the attempt may last until the
	// client's deadline.
	StartAttempt(id RequestID, to EndpointID, timeout time.Duration)
	// Reject gives the request a final answer which promises the client that a retry is safe. after is the
	// Retry-After; 0 means none.
	Reject(id RequestID, after time.Duration)
	// Fail gives the request a final answer that makes no such promise.
	Fail(id RequestID)
	// CancelAttempt stops waiting for one attempt. The gateway still reports the end of the attempt.
	CancelAttempt(id RequestID, attempt int)
	// CloseIdle closes the idle connections to an endpoint that this gateway no longer uses.
	CloseIdle(to EndpointID)
	// SetTimer requests one TimerFired event with this token, no earlier than after the delay.
	SetTimer(after time.Duration, token uint32)
	// WatchEndpoints requests the changes of the endpoint list from now on. The gateway calls UpdateEndpoints
	// for the answer and for each later change, or with WatchFailed or WatchUnreachable.
	WatchEndpoints()
	// Log writes a line for the engineers on call.
	Log(line string)
}
