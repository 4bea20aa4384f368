// Package balancer decides for a load-balancing HTTP gateway: which endpoint gets which request and when,
// what is retried, and what is rejected. It does no I/O and has no clock.
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
// Events that arrive together are passed one after another, then Dispatch is called once. Decisions go out
// through Actions, during New, an event or Dispatch. The gateway carries them out in the order given and
// must not call back into the Balancer meanwhile. It asks MayStartAttempt just before it writes an attempt
// whose connection came up late. Every request that arrived gets one final answer: that of an endpoint,
// Reject, Fail, or none if it was abandoned.
//
// A Balancer is not safe for concurrent use, keeps nothing outside itself, and holds no memory of the
// caller after a call returns. The same calls with the same seed give the same actions.
//
// # Units
//
// Moments are a monotonic time.Duration since any fixed moment, the same for all calls; they never go
// back. Spans are a time.Duration. Service times that are averaged are float64 milliseconds, and their
// names end in MS or their comments say so. Queue and response times that the loops compare are
// multiples of the latency objective. Rates are requests a second. Shares and fractions are from 0 to
// 1.
//
// # Algorithm
//
// The ordinary path is ILAC-0.9: requests queue first-come at the gateway, and each is released to the
// endpoint of the subset with most room under its concurrency limit, which an integral loop steers by
// service time. A threshold bounds the queue time, and a slower loop splits the latency objective between
// queue and service. Around it stand outlier detection, slow start, subsetting, retries, quotas and load
// shedding. What departs from the paper is marked as an exception where it stands.
//
// # Files
//
//   - api.go, config.go: events, actions, settings and their errors.
//   - balancer.go: the Balancer's state, the arrival of requests, timers.
//   - dispatch.go: the queue is worked off, the choice of an endpoint.
//   - attempts.go: attempts in flight, and what their ends tell.
//   - retry.go: whether and where a request is retried.
//   - rejection.go: final answers, deadlines.
//   - sampling.go: the sampling period of the loops.
//   - classes.go: what is learnt of classes and of client timeouts.
//   - loadshedding.go: how long requests are queued.
//   - cooldown.go, ejection.go, slowstart.go: when an endpoint gets nothing, probes only, or little.
//   - endpoints.go, subsetting.go, watch.go: the endpoint list, the subset in use, calls for the list.
//   - requests.go, log.go: requests under way and their queue, log lines.
//   - state.go, reload.go, report.go: what goes to the next process, new settings, what other gateways hear.
//
// # Packages
//
//   - concurrency: limits, queue-time threshold and response setpoint, the loops of the paper.
//   - outlierdetection: ejection, probes, silence, stalled classes.
//   - slowstart: what an endpoint gets that is warming up.
//   - retrybudget, quota: retries of requests that may have run; requests beyond a tenant's quota.
//   - stats: running means and conversions.
//   - thymebend/internal/subset, thymebend/internal/backoff: which endpoints a gateway uses, and when it
//     calls discovery again.
package balancer
