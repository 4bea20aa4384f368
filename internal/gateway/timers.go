package gateway

import "thymebend/internal/loop"

// timerKind distinguishes the timers of a gateway.
type timerKind uint8

// Kinds of timers; the comments say what a timer's id identifies. The order is part of the hash that `thymelab
// replay` prints.
const (
	timerBalancer   timerKind = iota // the token passed to balancerActions.SetTimer, preceded by a sequence number
	timerDownstream                  // a downstream connection
	timerUpstream                    // an upstream connection
	timerAttempt                     // an attempt
	timerWatch                       // the connection of a watch
	timerAccept
	timerStop
	timerRedial
	timerPoll
	timerSilence
	timerAdmin // a connection to the admin endpoint
	timerPredecessor
	timerSuccessor
	timerListenerPause // a listener
	timerCluster
	timerLastAnswer
)

// timerDue routes a timer to the machine that set it.
func (g *Gateway) timerDue(t loop.Timer) {
	switch kind := timerKind(t.Kind); kind {
	case timerBalancer:
		g.dispatchNeeded = true
		g.balancer.TimerFired(g.now, uint32(t.ID))
		g.assignment.update()
	case timerDownstream:
		g.downstream.timerDue(loop.Conn(t.ID))
	case timerUpstream:
		if r := g.relays.byConn[loop.Conn(t.ID)]; r != nil {
			g.relays.timerDue(r)
		} else {
			g.attempts.connTimerDue(loop.Conn(t.ID))
		}
	case timerAttempt:
		g.attempts.timerDue(t.ID)
	case timerWatch, timerRedial, timerPoll, timerSilence:
		g.discovery.timerDue(kind, loop.Conn(t.ID))
	case timerPredecessor, timerSuccessor:
		g.restart.timerDue(kind)
	case timerAdmin:
		g.admin.timerDue(loop.Conn(t.ID))
	case timerCluster:
		g.cluster.timerDue()
	case timerListenerPause:
		g.emit(loop.Effect{Op: loop.ResumeReading, Conn: loop.Conn(t.ID)})
	case timerAccept:
		g.listener.resume()
	case timerStop:
		g.shutdown.timerDue()
	case timerLastAnswer:
		g.requests.answerAll()
	}
}
