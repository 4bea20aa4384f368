package gateway

import (
	"time"

	"thymebend/internal/loop"
)

// The schedule of a graceful shutdown, counted from SIGTERM: until 0.55 s new connections are accepted; until 1.25 s
// the listener's backlog is drained, then the listener is closed; the last answer is due at the shorter of 3 s and
// the longest deadline, plus 0.6 s, when every request that is still open gets its answer; SIGKILL may follow 0.1 s later.

// acceptAfterSIGTERM is how long new connections are accepted after SIGTERM: the load balancer in front keeps
// sending them for 0.4 s. A request that arrives after 0.7 s would have to be answered before SIGKILL, which
// may follow too soon.
const acceptAfterSIGTERM = 550 * time.Millisecond

// The platform's guarantees for a graceful shutdown: the time from SIGTERM to SIGKILL is at least the longest
// deadline or maxGrace, whichever is shorter, plus killAfter. A request that arrives within killAfter of SIGTERM does
// not count as lost if it is still in progress at SIGKILL.
const (
	maxGrace  = 3 * time.Second
	killAfter = 700 * time.Millisecond
)

// endBeforeKill is the time before SIGKILL that is reserved for ending a connection: answering a partly
// received request and waiting for the client's close.
const endBeforeKill = 300 * time.Millisecond

// killMargin is the time that a final answer may take to reach the client on a busy processor.
const killMargin = 100 * time.Millisecond

// backlogDrainTimeout is the time, after acceptAfterSIGTERM, in which the connections in the listener's backlog
// are accepted.
const backlogDrainTimeout = 700 * time.Millisecond

// shutdownPhase is how far the shutdown of this process has advanced. Phases never go back.
type shutdownPhase uint8

const (
	phaseServing  shutdownPhase = iota
	phaseStopping               // SIGTERM was received; new connections are still accepted
	phaseClosing                // only connections in the listener's backlog are still accepted
	phaseDrained                // the listener is closed
)

// shutdown ends the process gracefully after SIGTERM.
type shutdown struct {
	*core
	cluster    *cluster
	downstream *downstreamConns
	listener   *listener
	requests   *requestTable
	restart    *hotRestart

	phase    shutdownPhase
	answerBy time.Duration // once stopping: latest time for a final answer, killMargin before SIGKILL may come
}

// stopping reports whether SIGTERM was received.
func (s *shutdown) stopping() bool { return s.phase >= phaseStopping }

// closing reports whether new connections are no longer accepted, except for those in the listener's backlog.
func (s *shutdown) closing() bool { return s.phase >= phaseClosing }

// begin starts a graceful shutdown. From now on every answer closes its connection. Idle connections stay open
// while the load balancer in front may still send new ones, because a client whose connection is closed would
// only connect to this process again.
func (s *shutdown) begin() {
	if s.stopping() {
		return
	}
	s.log.Info().Int(fieldRequests, len(s.requests.byID)).Msg("stopping")
	s.phase = phaseStopping
	s.answerBy = s.now + min(maxGrace, s.longestDeadline()) + killAfter - killMargin
	s.setTimer(timerLastAnswer, 0, s.answerBy)
	s.cluster.quit(true)
	s.downstream.beginShutdown()
	if s.restart.handedOver() {
		// The successor accepts clients, and receives connections after their answers: there are no new clients
		// to wait for.
		s.phase = phaseClosing
		s.restart.connIdle()
		s.endListener()
		return
	}
	s.downstream.closeAfterAnswers()
	s.listener.resume()
	s.setTimer(timerStop, 0, s.now+acceptAfterSIGTERM)
}

// tooLate reports whether a request with this timeout and latency objective arrives too late to be tried: whatever is not
// answered at answerBy gets its final answer then. It is checked only for requests that are parsed after new connections
// are no longer accepted: they were incomplete until then, or arrive on a connection that was already open. With a
// successor they are tried as long as their latency objective fits.
func (s *shutdown) tooLate(timeout, objective time.Duration) bool {
	if s.restart.handedOver() {
		timeout = min(timeout, objective)
	}
	return s.closing() && s.now+timeout > s.answerBy
}

// closeListener accepts the connections in the listener's backlog, closes the idle downstream connections and
// sets the timer that closes the listener.
func (s *shutdown) closeListener() {
	s.phase = max(s.phase, phaseClosing)
	if s.restart.handedOver() || s.listener.phase == notListening {
		s.endListener() // the backlog belongs to the successor, or there is none
		return
	}
	s.listener.accept()
	s.setTimer(timerStop, 0, s.now+backlogDrainTimeout)
	s.downstream.closeIdle()
}

// endListener closes the listener; from now on no connection is accepted.
func (s *shutdown) endListener() {
	s.phase = phaseDrained
	s.stopTimer(timerStop, 0)
	s.closeConn(loop.Listener)
}

// exitIfDone ends the process once all requests are finished and all downstream connections are closed.
func (s *shutdown) exitIfDone() {
	if s.phase == phaseDrained && len(s.requests.byID) == 0 && len(s.downstream.conns.ByConn) == 0 &&
		len(s.restart.unacknowledged) == 0 && s.invariants.AllowExit(len(s.requests.openIDs)) {
		s.log.Info().Msg("stopped")
		s.emit(loop.Effect{Op: loop.Exit})
	}
}

// timerDue advances the shutdown: it stops accepting new connections, then, when the backlog is drained, closes
// the listener.
func (s *shutdown) timerDue() {
	if s.closing() {
		s.endListener()
	} else {
		s.closeListener()
	}
}
