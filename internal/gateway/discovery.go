package gateway

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"thymebend/internal/backoff"
	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
	"thymebend/internal/loop"
	"thymebend/internal/starttime"
)

// redialInterval is the minimum time between two polls of discovery's new address while the watch of the old
// address is still open. It is short because this gateway is held responsible for knowing every change 4 s
// after a reload, and the old address is about to close.
const redialInterval = 200 * time.Millisecond

// randStream is the second seed value of the gateway's random source, so that its draws differ from those of
// other sources with the same seed.
const randStream = 0x6c697374

// watchLoss is how the current watch was lost.
type watchLoss uint8

const (
	notLost         watchLoss = iota
	lostConnected             // the watch ended, or its poll was not answered in time
	lostUnreachable           // its connection was never established
)

// discoveryWatch maintains the watch on discovery and the endpoint list that it delivers.
type discoveryWatch struct {
	*core
	assignment *subsetAssignment
	attempts   *attemptTable
	restart    *hotRestart

	endpoints   *discovery.Endpoints
	startTimes  starttime.StartTimes // start times of endpoints, on this process's clock
	current     *discovery.Watch
	replacement *discovery.Watch // polls the new address, or a silent agent again, while the current watch stays open
	unanswered  *discovery.Watch // an older poll that may still wait in discovery's queue, in addition to a newer one
	loss        watchLoss        // how the current watch was lost, until the balancer is notified at the end of the Step

	pollNotBefore time.Duration // time before which discovery must not be polled, from its Retry-After
	silentSince   time.Duration // when the watch ended; 0 once a poll was answered or failed
	staleSince    time.Duration // since when the agent has had an older list than this gateway; 0 if it has not
	backoff       backoff.Backoff
	rand          *rand.Rand // random source of the gateway; the balancer has a separate one
}

// dial opens a watch to the discovery address of the present configuration.
func (d *discoveryWatch) dial() *discovery.Watch {
	w := discovery.NewWatch(d.attempts.pool.NextID(), d.cfg.Discovery, d.now)
	d.emit(loop.Effect{Op: loop.Dial, Conn: w.Conn, Addr: w.Addr, Urgent: true})
	d.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	return w
}

// find returns the watch that uses a connection, or nil.
func (d *discoveryWatch) find(c loop.Conn) *discovery.Watch {
	for _, w := range [...]*discovery.Watch{d.current, d.replacement, d.unanswered} {
		if w != nil && w.Conn == c {
			return w
		}
	}
	return nil
}

// redial polls discovery's address at once. A watch that has been answered stays open until the new poll is
// answered, so that there is no gap in which draining endpoints go unnoticed.
func (d *discoveryWatch) redial() {
	d.stopTimer(timerRedial, 0)
	if d.replacement != nil {
		d.drop(d.replacement, ReasonWatchReplaced, nil)
	}
	if d.current != nil && !d.current.Started() {
		d.drop(d.current, ReasonWatchReplaced, nil)
	}
	if w := d.dial(); d.current == nil {
		d.current = w
	} else {
		d.replacement = w
	}
}

// reload switches to the discovery address of a new configuration. An agent without an open watch is dialled
// again even if the address is unchanged.
func (d *discoveryWatch) reload(addr netip.AddrPort) {
	if d.cfg.Discovery == addr && (!d.discoveryPushed() || d.current != nil) {
		return
	}
	d.cfg.Discovery = addr
	d.backoff.Succeeded()
	d.pollNotBefore = 0 // the old address requested this wait
	if d.unanswered != nil {
		d.drop(d.unanswered, ReasonWatchReplaced, nil)
	}
	d.redial()
}

func (d *discoveryWatch) handleEvent(w *discovery.Watch, e loop.Event) {
	switch e.Kind {
	case loop.Connected:
		d.write(e.Conn, d.endpoints.Request(w, d.now))
		d.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	case loop.Readable:
		d.emit(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		d.handleData(w, e.Data)
	case loop.EOF, loop.Broken:
		d.watchEnded(w, ReasonWatchBroken, e.Err)
	}
}

// answered makes w, a watch whose poll was just answered, the current watch and drops the other watches. The one
// exception is a replacement that polls another address than w: it is kept, because after a reload the new address
// may answer later than the old one.
func (d *discoveryWatch) answered(w *discovery.Watch) {
	if d.current != nil && d.current != w {
		d.drop(d.current, ReasonWatchReplaced, nil)
	}
	if d.replacement != nil && d.replacement != w && d.replacement.Addr == w.Addr {
		d.drop(d.replacement, ReasonWatchReplaced, nil)
	}
	if d.unanswered != nil && d.unanswered != w {
		d.drop(d.unanswered, ReasonWatchReplaced, nil)
	}
	if w == d.replacement {
		d.replacement = nil
	}
	d.current, d.unanswered = w, nil
	d.backoff.Succeeded()
	d.endPause()
}

// keepUnanswered handles a poll that was not answered in time, and reports whether it was kept. The poll may
// still wait in discovery's queue, and would lose its position there if its connection were closed. One such poll is
// therefore kept, and another poll is sent in addition in case the first is lost.
func (d *discoveryWatch) keepUnanswered(w *discovery.Watch) bool {
	if d.discoveryPushed() || w.Started() || !w.Connected() || d.unanswered != nil {
		return false
	}
	d.log.Info().Stringer(fieldDiscovery, w.Addr).
		Msg("no answer yet, the poll keeps its place and another is made")
	d.unanswered = w
	d.setTimer(timerWatch, uint64(w.Conn), d.now+discovery.AbandonTimeout)
	switch {
	case w == d.replacement:
		d.replacement = nil
		d.redialLater(backoff.Overloaded)
	case w == d.current:
		d.current, d.loss = nil, lostConnected
	}
	return true
}

// redialLater schedules the next poll of the new address.
func (d *discoveryWatch) redialLater(failure backoff.Failure) {
	after := redialInterval
	if !d.discoveryPushed() {
		gateways := d.cfg.Settings.Config.Gateways
		after = max(after, d.backoff.Failed(failure, gateways, 0, d.rand.Float64(), d.rand.Float64()))
	}
	d.setTimer(timerRedial, 0, max(d.now+after, d.pollNotBefore))
}

// watchEnded handles the end of a watch. If no other watch remains, the balancer is notified and decides when
// to poll again; an agent is dialled again after redialInterval.
func (d *discoveryWatch) watchEnded(w *discovery.Watch, end TerminationReason, err error) {
	var status *discovery.StatusError
	if errors.As(err, &status) && status.RetryAfter > 0 {
		d.pollNotBefore = d.now + status.RetryAfter
	}
	failure := backoff.Overloaded
	if !w.Connected() {
		failure = backoff.Unreachable
	}
	if !w.Started() {
		d.endPause()
	}
	if w == d.unanswered {
		d.drop(w, end, err)
		return // the balancer was notified earlier, when the poll was not answered in time
	}
	wasReplacement := w == d.replacement
	d.drop(w, end, err)
	switch {
	case d.current == nil && d.replacement != nil:
		d.current, d.replacement = d.replacement, nil // the old address closed before the new one answered
	case d.current == nil && d.discoveryPushed():
		d.setTimer(timerRedial, 0, d.now+redialInterval)
	case d.current == nil:
		d.loss = lostConnected
		if failure == backoff.Unreachable {
			d.loss = lostUnreachable
		}
		if w.Started() && end != ReasonWatchSilent {
			d.watchLost()
		}
	case wasReplacement && d.current.Addr == d.cfg.Discovery && d.discoveryPushed():
		// The current watch is silent: poll the agent again in addition to it.
		d.setTimer(timerWatch, uint64(d.current.Conn), d.now+redialInterval)
	case wasReplacement && d.current.Addr == d.cfg.Discovery:
		// The current watch stays open; its timer is already set.
	case wasReplacement:
		d.redialLater(failure)
	}
}

// drop closes and forgets a watch, and logs the reason.
func (d *discoveryWatch) drop(w *discovery.Watch, end TerminationReason, err error) {
	d.log.Info().Stringer(fieldEnd, end).Stringer(fieldDiscovery, w.Addr).AnErr(fieldCause, err).
		Msg("watch ended")
	d.stopTimer(timerWatch, uint64(w.Conn))
	d.closeConn(w.Conn)
	switch w {
	case d.current:
		d.current = nil
	case d.replacement:
		d.replacement = nil
	case d.unanswered:
		d.unanswered = nil
	}
}

// isReady reports whether an endpoint accepts new requests according to the current endpoint list.
func (d *discoveryWatch) isReady(id balancer.EndpointID) bool {
	found := d.endpoints.Find(id)
	return found != nil && found.State == balancer.EndpointReady
}

// heartbeatMissed handles a watch whose answer or heartbeat is overdue. An agent sends nothing while it
// receives nothing itself, so its list stays in force and the watch stays open. In case the watch is dead, the
// agent is polled again in addition to it; the first of the two to be answered becomes the current watch.
func (d *discoveryWatch) heartbeatMissed(w *discovery.Watch) {
	if d.keepUnanswered(w) {
		return
	}
	if !d.discoveryPushed() || w != d.current || !w.Started() {
		d.watchEnded(w, ReasonWatchSilent, nil)
		return
	}
	if d.replacement == nil {
		d.replacement = d.dial()
	}
}

// timerDue handles the timers of the watch and the polls. c is the connection of the watch for timerWatch.
func (d *discoveryWatch) timerDue(kind timerKind, c loop.Conn) {
	switch kind {
	case timerWatch:
		if w := d.find(c); w != nil {
			d.heartbeatMissed(w)
		}
	case timerRedial:
		if d.current == nil || d.current.Addr != d.cfg.Discovery {
			d.redial()
		}
	case timerPoll:
		if d.current == nil && d.replacement == nil {
			d.current = d.dial()
			d.balancer.WatchStarted(d.now)
		}
	case timerSilence:
		d.pauseDue()
	}
}

// poll starts a watch on behalf of the balancer.
func (d *discoveryWatch) poll() {
	if d.replacement != nil || d.current != nil && !d.current.Started() {
		return // the answer of the poll in progress serves this request too
	}
	if d.current != nil {
		d.drop(d.current, ReasonWatchReplaced, nil)
	}
	if d.now < d.pollNotBefore {
		d.setTimer(timerPoll, 0, d.pollNotBefore)
		return
	}
	d.current = d.dial()
}

// reportLoss notifies the balancer if the watch was lost during this Step.
func (d *discoveryWatch) reportLoss() {
	if d.loss == notLost {
		return
	}
	kind := balancer.WatchFailed
	if d.loss == lostUnreachable {
		kind = balancer.WatchUnreachable
	}
	d.loss = notLost
	d.dispatchNeeded = true
	d.balancer.UpdateEndpoints(d.now, kind, nil)
}
