package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"thymebend/internal/backoff"
	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
	"thymebend/internal/loop"
	"thymebend/internal/starttime"
)

// redialInterval is how soon discovery's new address is asked again after a call that failed, while the old
// watch stands: what discovery has to tell counts as told 4 s after a reload, and the old address is about to
// close.
const redialInterval = 200 * time.Millisecond

// randStream tells the gateway's own random draws from others of the same seed.
const randStream = 0x6c697374

// watchLoss is how the watch was lost.
type watchLoss uint8

const (
	notLost watchLoss = iota
	lostConnected
	lostUnreachable // its connection never came up
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
	loss        watchLoss        // of the current watch; the balancer hears of it once it has returned

	pollNotBefore time.Duration // discovery has asked for no poll until then
	silentSince   time.Duration // the watch ended then, and no poll since was answered or failed; 0 otherwise
	staleSince    time.Duration // the agent has had an older list than this gateway since then; 0 if it has not
	backoff       backoff.Backoff
	rand          *rand.Rand // of the gateway itself; the balancer has its own
}

// dial calls discovery where the configuration now has it.
func (d *discoveryWatch) dial() *discovery.Watch {
	w := discovery.NewWatch(d.attempts.pool.NextID(), d.cfg.Discovery, d.now)
	d.emit(loop.Effect{Op: loop.Dial, Conn: w.Conn, Addr: w.Addr, Urgent: true})
	d.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	return w
}

func (d *discoveryWatch) find(c loop.Conn) *discovery.Watch {
	for _, w := range [...]*discovery.Watch{d.current, d.replacement, d.unanswered} {
		if w != nil && w.Conn == c {
			return w
		}
	}
	return nil
}

// redial asks discovery's address at once. A watch that has answered stands until the new one has: a gap in
// it would be a gap in what drains.
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

// answered makes the call that is answered first the watch in force. A call to a new address goes on beside
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
	d.endSilence()
}

// keepUnanswered deals with a call that was not answered in time. It may still wait in discovery's queue, and
// a call that is given up there costs discovery its turn for nothing: it keeps its place, and another goes
// out beside it, in case it is lost. It reports whether the call was kept; there is one such place.
func (d *discoveryWatch) keepUnanswered(w *discovery.Watch) bool {
	if d.discoveryPushed() || w.Started() || !w.Connected() || d.unanswered != nil {
		return false
	}
	d.log.Info().Stringer(fieldDiscovery, w.Addr).Msg("no answer yet, the poll keeps its place and another is made")
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

// redialLater sets the time of the next call to the new address.
func (d *discoveryWatch) redialLater(failure backoff.Failure) {
	after := redialInterval
	if !d.discoveryPushed() {
		after = max(redialInterval, d.backoff.Failed(failure, d.cfg.Settings.Config.Gateways, 0, d.rand.Float64(), d.rand.Float64()))
	}
	d.setTimer(timerRedial, 0, max(d.now+after, d.pollNotBefore))
}

// watchEnded ends a watch. Where no other is left, the balancer is told and asks again when it sees fit.
func (d *discoveryWatch) watchEnded(w *discovery.Watch, end TerminationReason, err error) {
	var refusal *discovery.StatusError
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		d.pollNotBefore = d.now + refusal.RetryAfter
	}
	failure := backoff.Overloaded
	if !w.Connected() {
		failure = backoff.Unreachable
	}
	if !w.Started() {
		d.endSilence()
	}
	if w == d.unanswered {
		d.drop(w, end, err)
		return // the balancer was told when the call was not answered in time
	}
	moving := w == d.replacement
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
			d.startSilence()
		}
	case moving && d.current.Addr == d.cfg.Discovery && d.discoveryPushed():
		d.setTimer(timerWatch, uint64(d.current.Conn), d.now+redialInterval) // the watch is silent: the agent is asked beside it again
	case moving && d.current.Addr == d.cfg.Discovery:
		// The watch stands, with the time that it has.
	case moving:
		d.redialLater(failure)
	}
}

func (d *discoveryWatch) drop(w *discovery.Watch, end TerminationReason, err error) {
	d.log.Info().Stringer(fieldEnd, end).Stringer(fieldDiscovery, w.Addr).AnErr(fieldCause, err).Msg("watch ended")
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

// isReady reports whether the list in force has an endpoint as up.
func (d *discoveryWatch) isReady(id balancer.EndpointID) bool {
	h := d.endpoints.Find(id)
	return h != nil && h.State == balancer.EndpointReady
}

// heartbeatMissed deals with a watch that has missed its beat. An agent's silence is no news: it has heard
// nothing itself, the list stays in force and the watch stays open. Lest it is the watch that is dead, the
// agent is asked once more beside it; what answers first goes on.
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

func (d *discoveryWatch) timerDue(t loop.Timer) {
	switch t.Kind {
	case timerWatch:
		if w := d.find(loop.Conn(t.ID)); w != nil {
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
		d.silenceDue()
	}
}

// poll has the changes of the list come from now on, as the balancer asks.
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

// reportLoss tells the balancer of a watch that ended while the balancer was busy.
func (d *discoveryWatch) reportLoss() {
	if d.loss == notLost {
		return
	}
	kind := balancer.WatchFailed
	if d.loss == lostUnreachable {
		kind = balancer.WatchUnreachable
	}
	d.loss = notLost
	d.notified = true
	d.balancer.UpdateEndpoints(d.now, kind, nil)
}
