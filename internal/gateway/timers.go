package gateway

import "thymebend/internal/loop"

// Timers by kind, with what their ids are. The order is in the hash that same-behaviour compares.
const (
	timerBalancer uint8 = iota // a token of the balancer
	timerDownstream
	timerUpstream
	timerAttempt
	timerWatch
	timerAccept
	timerStop
	timerRedial
	timerPoll
	timerSilence
	timerAdmin
	timerPredecessor
	timerSuccessor
	timerListenerPause
	timerCluster
)

// timerDue hands a timer to the machine that set it.
func (g *Gateway) timerDue(t loop.Timer) {
	switch t.Kind {
	case timerBalancer:
		g.notified = true
		g.balancer.TimerFired(g.now, uint32(t.ID))
		g.assignment.update()
	case timerDownstream:
		g.downstream.timerDue(loop.Conn(t.ID))
	case timerUpstream:
		if r := g.relays.byConn[loop.Conn(t.ID)]; r != nil {
			g.relays.timerDue(r)
		} else {
			g.attempts.idleTimerDue(loop.Conn(t.ID))
		}
	case timerAttempt:
		g.attempts.timerDue(t.ID)
	case timerWatch, timerRedial, timerPoll, timerSilence:
		g.discovery.timerDue(t)
	case timerPredecessor, timerSuccessor:
		g.restart.timerDue(t.Kind)
	case timerAdmin:
		g.admin.timerDue(loop.Conn(t.ID))
	case timerCluster:
		g.cluster.timerDue()
	case timerListenerPause:
		g.emit(loop.Effect{Op: loop.Unmute, Conn: loop.Conn(t.ID)})
	case timerAccept:
		g.listener.resume()
	case timerStop:
		g.shutdown.timerDue()
	}
}
