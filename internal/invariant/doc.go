// Package invariant is the last check before an effect that a rule of the platform restricts: an attempt is written to
// an endpoint, a client is answered, a downstream connection waits or is closed, or the process exits. It records the
// attempts and the answer of each request independently, so that a fault in the balancer or in the tracking of
// connections is detected here before it affects a client. An effect that would violate an invariant is counted,
// reported and suppressed.
//
// The package performs no effects and reads no clock: the caller passes the time and acts on the results. It is not
// safe for concurrent use.
package invariant
