// Package gateway holds the state of the gateway and changes it in one reducer.
//
// # Events and effects
//
// [Gateway.Step] takes one event of internal/loop (a socket, a timer, a file, a signal) and returns the
// effects to carry out, in order: connect, write, close, set a timer, exit. It does nothing else: no sockets,
// no files, no clock, no goroutines. The same events at the same times give the same effects, which is what
// the simulation and `thymelab replay` rely on.
//
// # State machines
//
// [Gateway] routes events to machines. Each owns its state: the others may read it, and change it by its
// methods. A request, its attempts and the connections that carry them are records that machines pass on.
//
//	downstreamConns   connections of clients and the requests read on them   downstream*.go, eviction.go
//	requestTable      requests taken and not yet finished                    requests.go
//	attemptTable      attempts and the upstream connections that carry them  attempts.go, upstream.go
//	uploads           request bodies too large to be held                    upload.go
//	relayTable        responses too large to be held                         relay.go
//	balancerActions   what the balancer decides, carried out                 actions.go
//	classTable        request classes, before and after a reload             classes.go
//	discoveryWatch    the watch on discovery and the endpoint list           discovery*.go
//	cluster           membership of the cluster of gateways                  cluster.go
//	subsetAssignment  subset of endpoints, slow-start tokens, load reports   assignment.go, tokens.go,
//	                                                                         loadreports.go
//	hotRestart        handover between processes, descriptor limits          hotrestart*.go, limits.go
//	listener          accepting connections                                  listener.go
//	shutdown          from SIGTERM to exit                                   shutdown.go
//	adminEndpoint     answers under /ops                                     admin.go
//	reloader          configuration files that change                        reload.go
//
// What they share is in core (core.go): configuration, log, balancer, the time of the event and the effects
// so far.
//
// # The balancer
//
// The balancer (internal/balancer) decides; this package tells it what happened and carries out its actions.
// It must not be called from one of its own actions, so what it has to hear of then is kept
// (attemptTable.ended and progress, discoveryWatch.loss) and reported at the end of the Step. Notifications
// set core.dispatchNeeded; at the end of each round of events, loop.Turn, the balancer dispatches if it is set.
//
// # Invariants
//
// Each effect that a rule of the platform bounds (an attempt, an answer, a close, the exit) is allowed by
// internal/invariant first. What would break a rule is suppressed, counted and logged.
//
// # Concurrency and time
//
// A Gateway belongs to one goroutine, that of the loop, and needs no locks. Time is the
// Unix time at the start of the process plus what has passed since on the monotonic clock, and is the same
// within one Step. It does not follow steps of the wall clock; membership and slow-start tokens rely on its
// origin.
package gateway
