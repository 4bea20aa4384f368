package balancer

import (
	"time"

	"thymebend/internal/backoff"
)

// endpointWatch follows the calls for changes of the endpoint list. Both flags may be set at once: new
// settings ask for a watch though changes come without one.
type endpointWatch struct {
	calling  bool // a call is unanswered
	active   bool // changes come
	calledAt time.Duration
	backoff  backoff.Backoff
}

// start notes a call.
func (w *endpointWatch) start(now time.Duration) { w.calling, w.calledAt = true, now }

// answered notes that the list came.
func (w *endpointWatch) answered() {
	w.calling, w.active = false, true
	w.backoff.Succeeded()
}

// ended notes that a call failed or that the changes come no longer, and returns what that tells of
// discovery.
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

// overdue reports whether a call was not answered for half of the time that may pass without one.
func (w *endpointWatch) overdue(now, pollInterval time.Duration) bool {
	return w.calling && now-w.calledAt > pollInterval/2
}

// UpdateEndpoints takes what discovery sent: a snapshot or delta of the endpoint list, or that a watch
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

// WatchStarted tells that the call that WatchEndpoints asked for begins only now, as discovery has asked to
// be called later.
func (b *Balancer) WatchStarted(now time.Duration) {
	b.now = now
	b.watch.calledAt = now
}

// watchEndpoints asks for the list's changes.
func (b *Balancer) watchEndpoints() {
	b.watch.start(b.now)
	b.out.WatchEndpoints()
}

// retryWatch asks again, never in step with other gateways, and the later the more often calls fail.
func (b *Balancer) retryWatch(failure backoff.Failure) {
	if !b.cfg.PollDiscovery {
		return
	}
	spread, jitter := b.rng.Float64(), b.rng.Float64()
	elapsed := b.now - b.watch.calledAt
	b.out.SetTimer(b.watch.backoff.Failed(failure, b.cfg.Gateways, elapsed, spread, jitter), watchTimer)
}
