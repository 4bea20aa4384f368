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

// redialInterval is the least time between two polls of discovery's new address while the old watch stands.
// Short, for changes count as notified 4 s after a reload and the old address is about to close.
const redialInterval = 200 * time.Millisecond

// randStream separates the gateway's own random draws from others of the same seed.
const randStream = 0x6c697374

// watchLoss is how the watch was lost.
type watchLoss uint8

const (
	notLost         watchLoss = iota
	lostConnected             // it ended, or was not answered in time
	lostUnreachable           // its connection never came up
)

// discoveryWatch keeps a watch on discovery and the endpoint list that it brings.
type discoveryWatch struct {
	*core
	assignment *subsetAssignment
	attempts   *attemptTable

	endpoints   *discovery.Endpoints
	startTimes  starttime.StartTimes // of endpoints, on this process's clock
	current     *discovery.Watch
	replacement *discovery.Watch // polls the new address while the current watch stands
	unanswered  *discovery.Watch // an older poll that may still wait in discovery's queue beside a younger one
	loss        watchLoss        // of the current watch, until the balancer is notified at the end of the Step

	pollNotBefore time.Duration // discovery has asked for no poll until then
	silentSince   time.Duration // the watch ended then, and no poll was answered or failed since; 0 otherwise
	staleSince    time.Duration // the agent has had an older list than this gateway since then; 0 if not
	backoff       backoff.Backoff
	rand          *rand.Rand // of the gateway itself; the balancer has its own
}

// dial opens a watch at the address that the configuration gives now.
func (d *discoveryWatch) dial() *discovery.Watch {
	w := discovery.NewWatch(d.attempts.pool.NextID(), d.cfg.Discovery, d.now)
	d.emit(loop.Effect{Op: loop.Dial, Conn: w.Conn, Addr: w.Addr, Urgent: true})
	d.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	return w
}

// find returns the watch on a connection, or nil.
func (d *discoveryWatch) find(c loop.Conn) *discovery.Watch {
	for _, w := range [...]*discovery.Watch{d.current, d.replacement, d.unanswered} {
		if w != nil && w.Conn == c {
			return w
		}
	}
	return nil
}

// redial polls discovery's address at once. A watch that has answered stands until the new one has. Guards
// against a gap in which draining endpoints go unnoticed.
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

// reload goes to the address of a new configuration. An agent that is not watched is dialled again in any
// case.
func (d *discoveryWatch) reload(addr netip.AddrPort) {
	if d.cfg.Discovery == addr && (!d.discoveryPushed() || d.current != nil) {
		return
	}
	d.cfg.Discovery = addr
	d.backoff.Succeeded()
	d.pollNotBefore = 0 // the old address asked for that
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

// answered makes the poll that is answered first the current watch. A poll of a new address goes on beside
// the old address's watch.
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
	d.pollSettled()
}

// keepUnanswered deals with a poll that was not answered in time, and reports whether it was kept. It may
// still wait in discovery's queue, where giving up wastes its place: one such poll is kept, and another goes
// out beside it in case the first is lost.
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

// redialLater sets the time of the next poll of the new address.
func (d *discoveryWatch) redialLater(failure backoff.Failure) {
	after := redialInterval
	if !d.discoveryPushed() {
		gateways := d.cfg.Settings.Config.Gateways
		after = max(after, d.backoff.Failed(failure, gateways, 0, d.rand.Float64(), d.rand.Float64()))
	}
	d.setTimer(timerRedial, 0, max(d.now+after, d.pollNotBefore))
}

// watchEnded ends a watch. Where no other is left the balancer is notified, and polls again when it sees fit.
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
		d.pollSettled()
	}
	if w == d.unanswered {
		d.drop(w, end, err)
		return // the balancer was notified when the poll was not answered in time
	}
	wasReplacement := w == d.replacement
	d.drop(w, end, err)
	switch {
	case d.current == nil && d.replacement != nil:
		d.current, d.replacement = d.replacement, nil // the old address has closed before the new one answered
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
		// The current watch is silent: the agent is polled beside it again.
		d.setTimer(timerWatch, uint64(d.current.Conn), d.now+redialInterval)
	case wasReplacement && d.current.Addr == d.cfg.Discovery:
		// The current watch stands, with the timer that it has.
	case wasReplacement:
		d.redialLater(failure)
	}
}

// drop closes a watch, and forgets it.
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

// isReady reports whether the list in force says that an endpoint takes new requests.
func (d *discoveryWatch) isReady(id balancer.EndpointID) bool {
	found := d.endpoints.Find(id)
	return found != nil && found.State == balancer.EndpointReady
}

// heartbeatMissed deals with a watch whose heartbeat is late. An agent is silent when it has heard nothing
// itself: the list stays in force and the watch open. In case the watch is dead the agent is polled beside
// it, and the first to be answered goes on.
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

// timerDue handles the timers of the watch.
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

// poll starts a watch for the balancer.
func (d *discoveryWatch) poll() {
	if d.replacement != nil || d.current != nil && !d.current.Started() {
		return // the poll under way answers this one
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

// reportLoss notifies the balancer of a watch that was lost during this Step.
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
