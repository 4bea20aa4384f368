package gateway

import (
	"time"

	"thymebend/internal/loop"
)

// The times of a graceful shutdown, from SIGTERM on: until 0.55 s new connections are accepted; until 1.25 s the
// listener's backlog is drained, then the listener is closed; at the shorter of 3 s and the longest deadline, plus
// 0.6 s, the last answer is due; 0.1 s later SIGKILL may come.

// acceptAfterSIGTERM is how long new connections are accepted after SIGTERM: the load balancer in front goes
// on bringing them for 0.4 s. What comes after 0.7 s would have to be answered before a SIGKILL that may come
// too soon.
const acceptAfterSIGTERM = 550 * time.Millisecond

// What the platform promises of a graceful shutdown: SIGKILL comes no sooner after SIGTERM than the longest
// deadline, taken as maxGrace where it is longer, and killAfter more. Requests that come within killAfter of
// SIGTERM count as lost to nobody where SIGKILL finds them in work.
const (
	maxGrace  = 3 * time.Second
	killAfter = 700 * time.Millisecond
)

// endBeforeKill is what ending a connection takes before SIGKILL: to answer half a request and wait for the
// close.
const endBeforeKill = 300 * time.Millisecond

// killMargin is what a final answer and its way to the client take, on a busy processor.
const killMargin = 100 * time.Millisecond

// backlogDrainTimeout is how long after acceptAfterSIGTERM the listener's backlog may take to be accepted.
const backlogDrainTimeout = 700 * time.Millisecond

// shutdownPhase is how far the end of this process has come. Phases only grow.
type shutdownPhase uint8

const (
	phaseServing  shutdownPhase = iota
	phaseStopping               // SIGTERM has come, new connections are still taken
	phaseClosing                // nothing new is taken but what waits at the listener
	phaseDrained                // the listener is closed
)

// shutdown ends the process gracefully.
type shutdown struct {
	*core
	cluster    *cluster
	downstream *downstreamConns
	listener   *listener
	requests   *requestTable
	restart    *hotRestart

	phase    shutdownPhase
	answerBy time.Duration // once stopping: the last moment for a final answer, killMargin before SIGKILL may come
}

// stopping reports whether SIGTERM has come.
func (s *shutdown) stopping() bool { return s.phase >= phaseStopping }

// closing reports whether nothing new is taken but what waits at the listener.
func (s *shutdown) closing() bool { return s.phase >= phaseClosing }

// begin begins a graceful shutdown. Every answer from now on ends its connection; idle ones stay open while
// the load balancer in front may still bring new ones, for a client that is closed would only come back here.
func (s *shutdown) begin() {
	if s.stopping() {
		return
	}
	s.log.Info().Int(fieldRequests, len(s.requests.byID)).Msg("stopping")
	s.phase = phaseStopping
	s.answerBy = s.now + min(maxGrace, s.longestDeadline()) + killAfter - killMargin
	s.cluster.quit(true)
	s.downstream.beginShutdown()
	if s.restart.handedOver() {
		// The successor takes clients, and connections after their answers: there is no one to wait for.
		s.phase = phaseClosing
		s.restart.connIdle()
		s.endListener()
		return
	}
	s.downstream.closeAfterAnswers()
	s.listener.resume()
	s.setTimer(timerStop, 0, s.now+acceptAfterSIGTERM)
}

// tooLate reports whether a request might still be in progress at SIGKILL, which would lose it. Guards
// against half a request that is completed once the listener is closed, and against one on a connection that
// stood until then.
func (s *shutdown) tooLate(timeout time.Duration) bool {
	return s.closing() && !s.restart.handedOver() && s.now+timeout > s.answerBy
}

// closeListener accepts the listener's backlog, then closes it and the idle downstream connections.
func (s *shutdown) closeListener() {
	s.phase = max(s.phase, phaseClosing)
	if s.restart.handedOver() || s.listener.phase == notListening {
		s.endListener() // the queue is the successor's, or there is none
		return
	}
	s.listener.accept()
	s.setTimer(timerStop, 0, s.now+backlogDrainTimeout)
	s.downstream.closeIdle()
}

// endListener closes the listener for good.
func (s *shutdown) endListener() {
	s.phase = phaseDrained
	s.stopTimer(timerStop, 0)
	s.closeConn(loop.Listener)
}

// exitIfDone ends the process once all requests are finished and every client has its answer.
func (s *shutdown) exitIfDone() {
	if s.phase == phaseDrained && len(s.requests.byID) == 0 && len(s.downstream.conns.ByConn) == 0 &&
		len(s.restart.passing) == 0 && s.invariants.AllowExit(len(s.requests.openIDs)) {
		s.log.Info().Msg("stopped")
		s.emit(loop.Effect{Op: loop.Exit})
	}
}

// timerDue closes the listener for new connections, then for those that wait.
func (s *shutdown) timerDue() {
	if s.closing() {
		s.endListener()
	} else {
		s.closeListener()
	}
}
