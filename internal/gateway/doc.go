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
// [Gateway] routes each event to one state machine. A machine owns its state: other machines may read it, but
// change it only through its methods. A request, its attempts and the connections that carry them are records
// that one machine passes to the next.
//
//	downstreamConns   connections of clients and the requests read on them   downstream*.go, eviction.go
//	requestTable      requests accepted and not yet finished                 requests.go
//	attemptTable      attempts and the upstream connections that carry them  attempts.go, upstream.go
//	uploads           request bodies too large to be buffered                upload.go
//	relayTable        responses too large to be buffered                     relay.go
//	balancerActions   execution of the balancer's decisions                  actions.go
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
// All machines share core (core.go): configuration, log, balancer, the time of the current event and the effects
// collected for it.
//
// # The balancer
//
// The balancer (internal/balancer) decides; this package notifies it of what happened and carries out its
// actions. The balancer must not be called from one of its own actions. Notifications that arise during an
// action are therefore stored (attemptTable.ended and progress, discoveryWatch.loss) and delivered at the end
// of the Step. Each notification sets core.dispatchNeeded; at the end of each turn of the loop, loop.TurnEnd,
// the balancer dispatches if it is set.
//
// # Invariants
//
// Each effect that a rule of the platform restricts (an attempt, an answer, a close, the exit) is first checked by
// internal/invariant. An effect that would break a rule is suppressed, counted and logged.
//
// # Concurrency and time
//
// A Gateway is used by one goroutine only, that of the loop, and needs no locks. Time is the Unix time at the
// start of the process plus the monotonic time that has passed since then, and does not change within one Step. It
// does not follow steps of the wall clock. Membership and slow-start tokens rely on it being counted from the Unix
// epoch.
package gateway
