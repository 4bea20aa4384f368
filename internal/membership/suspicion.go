package membership

import (
	"math"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// suspicionMax is how long a member stays suspect by one gateway's claim, and suspicionMin once expectedConfirmers
	// more suspect it independently.
	suspicionMax       = 5400 * time.Millisecond
	suspicionMin       = 1800 * time.Millisecond
	expectedConfirmers = 3
	// verificationTimeout is for the last probe before a member is taken for gone.
	verificationTimeout = 250 * time.Millisecond
)

// suspicion runs while a member is suspect (Lifeguard's LHA-Suspicion).
type suspicion struct {
	startedAt      time.Duration
	expiresAt      time.Duration
	suspectors     []string
	verifyingUntil time.Duration // 0 while no last probe runs
}

// deadline is when the suspicion goes on to its next stage.
func (s *suspicion) deadline() time.Duration {
	if s.verifyingUntil > 0 {
		return s.verifyingUntil
	}
	return s.expiresAt
}

func (s *suspicion) postpone(by time.Duration) {
	s.expiresAt += by
	if s.verifyingUntil > 0 {
		s.verifyingUntil += by
	}
}

// addSuspector notes one more independent suspector and reports whether it counts.
func (s *suspicion) addSuspector(name string) bool {
	if name == "" || len(s.suspectors) > expectedConfirmers || slices.Contains(s.suspectors, name) {
		return false
	}
	s.suspectors = append(s.suspectors, name)
	return true
}

// timeout falls with the logarithm of the suspectors, from longest to suspicionMin, by Lifeguard's equation
// max(Min, Max - (Max-Min)*log(C+1)/log(K+1)), where C is how many confirmed the first and K is expectedConfirmers.
func (s *suspicion) timeout(maxTimeout time.Duration) time.Duration {
	fraction := math.Log(float64(max(1, len(s.suspectors)))) / math.Log(expectedConfirmers+1)
	return max(suspicionMin, maxTimeout-time.Duration(fraction*float64(suspicionMax-suspicionMin)))
}

// setTimeout sets the end of the suspicion, counted from its begin.
func (s *suspicion) setTimeout(timeout time.Duration) { s.expiresAt = s.startedAt + timeout }

// restart gives a suspect that answered another full term to refute.
func (s *suspicion) restart(now, timeout time.Duration) {
	s.startedAt, s.verifyingUntil, s.suspectors = now, 0, nil
	s.expiresAt = now + timeout
}

// beginSuspicion makes a member suspect by the claim of one gateway.
func (m *Membership) beginSuspicion(peer *member, by string) {
	peer.suspicion, peer.SuspectedBy = &suspicion{startedAt: m.now}, by
	m.suspects = append(m.suspects, peer)
	m.confirmSuspicion(peer, by)
	m.maybeProbeSuspect(peer)
}

// endSuspicion forgets a member's suspicion, if there is one.
func (m *Membership) endSuspicion(peer *member) {
	if peer.suspicion == nil {
		return
	}
	peer.suspicion = nil
	m.suspects = slices.DeleteFunc(m.suspects, func(other *member) bool { return other == peer })
}

// confirmSuspicion counts who suspects a member, and shortens the suspicion.
func (m *Membership) confirmSuspicion(peer *member, by string) {
	s := peer.suspicion
	if s.addSuspector(by) && len(s.suspectors) > 1 {
		m.broadcast(peer.claim(by))
		// Those who probe too suspect it already.
		m.queue.setTransmits(peer.Name, m.transmitLimit(gossipcodec.Suspect)*3/4)
	}
	maxTimeout := suspicionMax
	if m.disabled.includes(Confirmation) {
		maxTimeout = suspicionMin
	}
	s.setTimeout(m.stretch(s.timeout(maxTimeout)))
}

// maybeProbeSuspect has some of those that hear of a suspicion probe the suspect themselves: so many that the expected
// number of confirmers is likely.
func (m *Membership) maybeProbeSuspect(peer *member) {
	if m.rng.Float64()*float64(len(m.table.sorted)+1) < 2*expectedConfirmers {
		m.startProbe(peer, verificationProbe, m.now+m.stretch(protocolPeriod), m.now+m.answerTimeout())
	}
}

// expireSuspicions ends each suspicion that is over by a last probe, and that by the member's removal. An answer
// restarts the suspicion instead.
func (m *Membership) expireSuspicions() {
	for _, peer := range slices.Clone(m.suspects) {
		s := peer.suspicion
		switch {
		case m.now < s.deadline():
		case s.verifyingUntil == 0 && !m.disabled.includes(Verification):
			m.verifySuspect(peer)
		default:
			c := peer.claim("")
			c.State = gossipcodec.Gone
			m.acceptClaim(peer, &c)
		}
	}
}

// verifySuspect probes a suspect for the last time, directly and through others.
func (m *Membership) verifySuspect(peer *member) {
	s := peer.suspicion
	s.verifyingUntil = m.now + m.stretch(verificationTimeout)
	m.startProbe(peer, verificationProbe, s.verifyingUntil+time.Millisecond, m.now+minAnswerTimeout)
}
