package membership

import (
	"math"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// suspicionMax is how long a member stays suspect if only one gateway suspects it, and suspicionMin how long if
	// expectedConfirmers more gateways suspect it independently.
	suspicionMax       = 5400 * time.Millisecond
	suspicionMin       = 1800 * time.Millisecond
	expectedConfirmers = 3
	// verificationTimeout is the timeout of the last probe before a member is considered gone.
	verificationTimeout = 250 * time.Millisecond
)

// suspicion is the state of a suspect member's suspicion (Lifeguard's LHA-Suspicion).
type suspicion struct {
	startedAt      time.Duration
	expiresAt      time.Duration
	suspectors     []string
	verifyingUntil time.Duration // deadline of the last probe; 0 before that probe starts
}

// deadline returns when the suspicion enters its next stage: the last probe, or the removal of the member.
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

// addSuspector adds an independent suspector and reports whether it counts. An empty or known name does not count,
// nor does any name beyond expectedConfirmers+1.
func (s *suspicion) addSuspector(name string) bool {
	if name == "" || len(s.suspectors) > expectedConfirmers || slices.Contains(s.suspectors, name) {
		return false
	}
	s.suspectors = append(s.suspectors, name)
	return true
}

// timeout returns the duration of the suspicion. It falls with the logarithm of the number of suspectors from
// maxTimeout to suspicionMin, by Lifeguard's equation max(Min, Max - (Max-Min)*log(C+1)/log(K+1)), where C is the
// number of suspectors after the first one, and K is expectedConfirmers.
func (s *suspicion) timeout(maxTimeout time.Duration) time.Duration {
	fraction := math.Log(float64(max(1, len(s.suspectors)))) / math.Log(expectedConfirmers+1)
	return max(suspicionMin, maxTimeout-time.Duration(fraction*float64(suspicionMax-suspicionMin)))
}

// setTimeout sets when the suspicion expires, as a duration since its start.
func (s *suspicion) setTimeout(timeout time.Duration) { s.expiresAt = s.startedAt + timeout }

// restart gives a suspect that answered a probe another full timeout to refute the suspicion.
func (s *suspicion) restart(now, timeout time.Duration) {
	s.startedAt, s.verifyingUntil, s.suspectors = now, 0, nil
	s.expiresAt = now + timeout
}

// beginSuspicion starts the suspicion of a member that the gateway named by suspects.
func (m *Membership) beginSuspicion(peer *member, by string) {
	peer.suspicion, peer.SuspectedBy = &suspicion{startedAt: m.now}, by
	m.suspects = append(m.suspects, peer)
	m.confirmSuspicion(peer, by)
	m.maybeProbeSuspect(peer)
}

// endSuspicion removes a member's suspicion, if there is one.
func (m *Membership) endSuspicion(peer *member) {
	if peer.suspicion == nil {
		return
	}
	peer.suspicion = nil
	m.suspects = slices.DeleteFunc(m.suspects, func(other *member) bool { return other == peer })
}

// confirmSuspicion adds a suspector of a member and updates the expiry of the suspicion.
func (m *Membership) confirmSuspicion(peer *member, by string) {
	s := peer.suspicion
	if s.addSuspector(by) && len(s.suspectors) > 1 {
		m.broadcast(peer.claim(by))
		// A confirmation is sent less often: the members that probe the suspect themselves suspect it already.
		m.queue.setTransmits(peer.Name, m.transmitLimit(gossipcodec.Suspect)*3/4)
	}
	maxTimeout := suspicionMax
	if m.disabled.includes(Confirmation) {
		maxTimeout = suspicionMin
	}
	s.setTimeout(m.stretch(s.timeout(maxTimeout)))
}

// maybeProbeSuspect probes a new suspect with a probability of 2*expectedConfirmers over the number of members. Thus
// enough of the members that receive the suspicion probe the suspect to make expectedConfirmers confirmations likely.
func (m *Membership) maybeProbeSuspect(peer *member) {
	if m.rng.Float64()*float64(len(m.table.sorted)+1) < 2*expectedConfirmers {
		m.startProbe(peer, verificationProbe, m.now+m.stretch(protocolPeriod), m.now+m.answerTimeout())
	}
}

// expireSuspicions starts the last probe of each suspect whose suspicion has expired, and declares a suspect gone
// when that probe has timed out. An answer to the probe restarts the suspicion instead.
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

// verifySuspect starts the last probe of a suspect, which is sent directly and then through helpers too.
func (m *Membership) verifySuspect(peer *member) {
	s := peer.suspicion
	s.verifyingUntil = m.now + m.stretch(verificationTimeout)
	m.startProbe(peer, verificationProbe, s.verifyingUntil+time.Millisecond, m.now+minAnswerTimeout)
}
