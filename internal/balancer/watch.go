package balancer

import (
	"time"

	"thymebend/internal/backoff"
)

// endpointWatch tracks the calls to discovery for changes of the endpoint list. Both flags may be set at
// once: a reload that turns PollDiscovery on starts a call although changes already arrive.
type endpointWatch struct {
	calling  bool // a call has not been answered yet
	active   bool // changes of the list arrive
	calledAt time.Duration
	backoff  backoff.Backoff
}

// callStarted records the start of a call.
func (w *endpointWatch) callStarted(now time.Duration) { w.calling, w.calledAt = true, now }

// answered records that discovery sent the list or changes of it.
func (w *endpointWatch) answered() {
	w.calling, w.active = false, true
	w.backoff.Succeeded()
}

// ended records that a call failed or that no more changes will arrive, and classifies the failure for the
// backoff.
func (w *endpointWatch) ended(unreachable bool) backoff.Failure {
	failure := backoff.Overloaded
	switch {
	case unreachable:
		failure = backoff.Unreachable
	case w.active:
		failure = backoff.Ended
	}
	w.calling, w.active = false, false
	return failure
}

// overdue reports whether a call has been unanswered for more than half of the poll interval.
func (w *endpointWatch) overdue(now, pollInterval time.Duration) bool {
	return w.calling && now-w.calledAt > pollInterval/2
}

// UpdateEndpoints applies a snapshot or delta of the endpoint list from discovery, or reports that a watch
// failed.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind EndpointUpdate, entries []Endpoint) {
	b.now = now
	if kind == WatchFailed || kind == WatchUnreachable {
		b.retryWatch(b.watch.ended(kind == WatchUnreachable))
		return
	}
	if kind != CachedSnapshot {
		b.watch.answered()
	}
	b.endpoints.update(now, kind, entries, b.cfg.Zone, len(b.classes.entries))
}

// WatchStarted reports that the call requested by WatchEndpoints starts only now, because discovery's
// previous answer had a Retry-After.
func (b *Balancer) WatchStarted(now time.Duration) {
	b.now = now
	b.watch.calledAt = now
}

// watchEndpoints requests the changes of the endpoint list.
func (b *Balancer) watchEndpoints() {
	b.watch.callStarted(b.now)
	b.actions.WatchEndpoints()
}

// retryWatch schedules the next call to discovery. The delay is random, so that gateways do not call at the
// same time, and increases with the number of failed calls.
func (b *Balancer) retryWatch(failure backoff.Failure) {
	if !b.cfg.PollDiscovery {
		return
	}
	delayDraw, intervalDraw := b.rng.Float64(), b.rng.Float64()
	elapsed := b.now - b.watch.calledAt
	b.actions.SetTimer(
		b.watch.backoff.Failed(failure, b.cfg.Gateways, elapsed, delayDraw, intervalDraw), watchTimer)
}
