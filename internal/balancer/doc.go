// Package balancer makes the decisions of a load-balancing HTTP gateway: which endpoint gets which request
// and when, which requests are retried, and which are rejected. It does no I/O and reads no clock.
//
// # Events and actions
//
// A gateway creates one Balancer with New and calls one method for each event:
//
//   - of requests: RequestArrived, RequestWriting, ResponseStarted, AttemptEnded, RequestAbandoned;
//   - of the endpoint list: UpdateEndpoints, WatchStarted, PauseAttempts;
//   - of the cluster of gateways: AssignEndpoints, GrantSlowStartToken;
//   - of the process: TimerFired, Reload, State and Restore, YieldSlowStart.
//
// The gateway passes events that arrive together one after another and then calls Dispatch once. The Balancer
// issues its decisions by calling the methods of Actions during New, an event or Dispatch. The gateway
// carries them out in the order of these calls and must not call back into the Balancer meanwhile. Just
// before the gateway writes the request of an attempt it calls MayStartAttempt, because time may have passed
// until the connection was established. Every request that arrived gets exactly one final answer: an
// endpoint's response, Reject or Fail; an abandoned request gets none.
//
// A Balancer is not safe for concurrent use and has no state outside itself. After a call returns it keeps no
// reference to the caller's memory, except to the slices of its Config. The same calls with the same seed
// give the same actions.
//
// # Units
//
// Points in time are a monotonic time.Duration since a fixed moment that is the same for all calls; they
// never decrease. Intervals are a time.Duration too. Averaged service times are float64 milliseconds; their
// names end in MS or their comments say so. Queue and response times that the control loops compare are
// multiples of the latency objective. Rates are requests per second. Shares and fractions range from 0 to 1.
//
// # Algorithm
//
// The basic algorithm is ILAC-0.9: requests wait at the gateway in a first-come queue, and each is dispatched
// to the endpoint of the subset that has the most free capacity under its concurrency limit. An integral loop
// adjusts that limit by service time. A threshold bounds the queue time, and a slower loop splits the latency
// objective between queueing and service. Outlier detection, slow start, subsetting, retries, quotas and load
// shedding are added to it. Comments say where the code deviates from the paper.
//
// # Files
//
//   - api.go, config.go: events, actions, settings and their errors.
//   - balancer.go: the Balancer's state, the arrival of requests, timers.
//   - dispatch.go: dispatch of queued requests, the choice of an endpoint.
//   - attempts.go: attempts in flight, and what is recorded of their outcomes.
//   - retry.go: whether and where a request is retried.
//   - rejection.go: final answers, deadlines.
//   - sampling.go: the sampling period of the control loops.
//   - classes.go: statistics of request classes and of client timeouts.
//   - loadshedding.go: how long requests are queued before they are shed.
//   - cooldown.go, ejection.go, slowstart.go: when an endpoint gets no requests, only probes, or few
//     requests.
//   - endpoints.go, subsetting.go, watch.go: the endpoint list, the subset in use, discovery calls.
//   - requests.go, log.go: requests in progress and their queue, log lines.
//   - state.go, reload.go, report.go: state for the next process, new settings, the load report for other
//     gateways.
//
// # Packages
//
//   - concurrency: the paper's control loops: concurrency limits, queue-time threshold, response setpoint.
//   - outlierdetection: ejection, probes, silent endpoints, stalled classes.
//   - slowstart: how many requests an endpoint gets while it warms up.
//   - retrybudget, quota: retries of requests that may have run; requests beyond a tenant's quota.
//   - stats: running means and conversions.
//   - thymebend/internal/subset, thymebend/internal/backoff: which endpoints a gateway uses, and when it
//     calls discovery again.
package balancer
