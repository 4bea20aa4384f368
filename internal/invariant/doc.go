// Package invariant is the last check before an effect that a rule of the platform bounds: an attempt is
// written to an endpoint, a client is answered, a downstream connection waits or is closed, the process
// exits. It keeps its own record of each request, so that a fault in the balancer or in the bookkeeping of
// connections shows here instead of at a client. What would break an invariant is counted, reported and
// suppressed.
//
// The package is pure: the caller passes the time and does what the verdicts say. It is not safe for
// concurrent use.
package invariant
