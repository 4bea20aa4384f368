package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// acceptAfterStop is how long new connections are taken after SIGTERM: the front goes on bringing them for 0.4 s.
// What comes later than 0.7 s would have to be answered before a SIGKILL that may come too soon.
const acceptAfterStop = 550 * time.Millisecond

// What the platform promises of a planned end: SIGKILL comes no sooner after SIGTERM than the longest deadline, taken
// as mostGrace where it is longer, and killAfter more. Requests that come within killAfter of SIGTERM count as lost to
// nobody where SIGKILL finds them in work.
const (
	mostGrace = 3 * time.Second
	killAfter = 700 * time.Millisecond
)

// endBeforeKill is what the end of a connection takes before SIGKILL: the answer to half a request, and the wait for its client's close.
const endBeforeKill = 300 * time.Millisecond

// killMargin is what a final answer and its way to the client take, on a busy processor.
const killMargin = 100 * time.Millisecond

// drainWithin is how long after that what waits at the listener may take to be accepted, where links are short.
const drainWithin = 700 * time.Millisecond

// stop begins a planned end. Every answer from now on ends its link; idle links stay open while the front may
// still bring new ones, for a client whose link closes would only come back here.
func (g *Gateway) stop() {
	if g.stopping {
		return
	}
	g.log.Info().Int("queries", len(g.queries)).Msg("stopping")
	g.stopping = true
	g.killAt = g.now + min(mostGrace, g.longest()) + killAfter - killMargin
	g.quitFleet(true)
	for _, l := range g.links.InOrder() {
		if l.Incomplete() {
			g.timeClient(l, g.waitUntil(l))
		}
	}
	if g.heirTakes {
		// The next process takes clients, and the links after their answers: there is no one to wait for.
		g.closed, g.restless = true, true
		g.endListener()
		return
	}
	for _, l := range g.links.ByConn {
		l.Closing = l.Closing || l.Busy
	}
	g.resume()
	g.setTimer(timerStop, 0, g.now+acceptAfterStop)
}

// tooLate reports whether a request that comes during a planned end might still be in work at SIGKILL, which would lose
// it: a half request that is completed once the listener is closed, or one on a connection that has stood until then. It is
// refused at once. What comes before counts as lost to nobody.
func (g *Gateway) tooLate(patience time.Duration) bool {
	return g.closed && !g.heirTakes && g.now+patience > g.killAt
}

// waitUntil is the time by which the request that is coming must be whole, or go on. In a planned end half a request is answered
// before SIGKILL, so that the process can end by itself.
func (g *Gateway) waitUntil(l *downstream.Conn) time.Duration {
	until := l.RequestDeadline()
	if g.stopping {
		until = min(until, g.killAt-endBeforeKill)
	}
	return g.guard.AllowWait(until, lastWord(l), downstream.ErrorDeadline)
}

// lingerUntil is the time until which the end of a connection waits for its client's own.
func (g *Gateway) lingerUntil() time.Duration {
	if g.stopping {
		return min(g.now+downstream.LingerTimeout, max(g.now, g.killAt))
	}
	return g.now + downstream.LingerTimeout
}

// closeListener takes what still waits at the listener, then closes it and the idle client links.
func (g *Gateway) closeListener() {
	g.closed = true
	if g.heirTakes || !g.listening {
		g.endListener() // the queue is the next process's, or there is none
		return
	}
	g.accept()
	g.setTimer(timerStop, 0, g.now+drainWithin)
	for _, l := range g.links.InOrder() {
		switch {
		case l.Busy:
			l.Closing = true
		case l.Pending(): // it has its time
		default:
			g.lookAndClose(l)
		}
	}
}

// endListener closes the listener for good.
func (g *Gateway) endListener() {
	g.drained = true
	g.stopTimer(timerStop, 0)
	g.close(loop.Listener)
}

// exitIfDone ends the program once all that was taken is answered and every client has its answer.
func (g *Gateway) exitIfDone() {
	if g.drained && len(g.queries) == 0 && len(g.links.ByConn) == 0 && len(g.passing) == 0 && g.guard.AllowExit(len(g.open)) {
		g.log.Info().Msg("stopped")
		g.ask(loop.Effect{Op: loop.Exit})
	}
}
