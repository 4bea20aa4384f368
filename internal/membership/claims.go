package membership

import (
	"cmp"
	"time"

	"thymebend/internal/gossipcodec"
)

// maxClockLead is the maximum by which the clock of another machine may be ahead of this machine's. A claim with a
// start later than that is rejected: no process could refute it, since none starts later.
const maxClockLead = 24 * time.Hour

// claim returns this gateway's view of the member as a claim. by names the gateway that suspects it, or is empty.
func (p *member) claim(by string) gossipcodec.Claim {
	c := gossipcodec.Claim{Name: p.Name, Start: p.Start, Incarnation: p.Incarnation, State: p.State, SuspectedBy: by}
	if p.State == gossipcodec.Alive {
		c.Payload = p.Payload
	}
	return c
}

// supersedes reports whether claim c takes precedence over the known state p of the same name: the later start wins,
// then the higher incarnation, then the stronger state.
func supersedes(c *gossipcodec.Claim, p *member) bool {
	return cmp.Or(cmp.Compare(c.Start, p.Start), cmp.Compare(c.Incarnation, p.Incarnation),
		cmp.Compare(c.State, p.State)) > 0
}

// latestPlausibleStart returns the latest process start that is accepted, in ms of Unix time.
func (m *Membership) latestPlausibleStart() uint64 {
	return uint64((m.now + maxClockLead).Milliseconds())
}

// raiseIncarnation sets this gateway's incarnation and broadcasts a new claim about itself, which supersedes the
// claims with a lower incarnation.
func (m *Membership) raiseIncarnation(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.table.updateDigest(&m.self)
	m.version++
	m.broadcast(m.self.claim(""))
}

// applySelfClaim handles a claim of another gateway about this one and refutes it if it is wrong.
func (m *Membership) applySelfClaim(c *gossipcodec.Claim) {
	switch {
	case m.leaving:
	case c.Start > m.self.Start && c.State >= gossipcodec.Gone:
		// A dead process with this name has a later start than this one: this machine's clock was set back.
		m.self.Start = c.Start + 1
		m.raiseIncarnation(1)
		m.lastChange = m.now
	case c.Start > m.self.Start:
		m.duplicateSeen = m.now
	case c.Start < m.self.Start:
		m.broadcast(m.self.claim("")) // the sender does not know of the restart
	case c.Incarnation >= m.self.Incarnation && c.State != gossipcodec.Alive:
		m.counts.FalseAlarms++
		m.awareness.degrade(1)
		m.raiseIncarnation(c.Incarnation + 1)
		m.lastChange = m.now
		m.next.gossip = m.now // send the refutation without delay
	case c.Incarnation > m.self.Incarnation:
		m.raiseIncarnation(c.Incarnation + 1)
		m.lastChange = m.now
	}
}

// applyClaim handles one claim from a datagram of the member named from.
func (m *Membership) applyClaim(c *gossipcodec.Claim, from string) {
	if c.Start > m.latestPlausibleStart() || c.Incarnation == gossipcodec.MaxIncarnation { // no process could refute it
		m.counts.Malformed++
		return
	}
	if c.Name == m.cfg.Name {
		m.applySelfClaim(c)
		return
	}
	peer := m.table.byName[c.Name]
	if peer == nil {
		if peer = m.addMember(c); peer != nil {
			m.acceptClaim(peer, c)
		}
		return
	}
	if c.Addr.IsValid() && m.cfg.Flat && !peer.Addr.IsValid() {
		peer.Addr = c.Addr
	}
	sameProcess := c.Start == peer.Start && c.Incarnation == peer.Incarnation
	if c.State == gossipcodec.Suspect && sameProcess && peer.State == gossipcodec.Suspect {
		m.confirmSuspicion(peer, c.SuspectedBy)
		return
	}
	if !supersedes(c, peer) {
		return
	}
	if c.State == gossipcodec.Gone && peer.State <= gossipcodec.Suspect && !m.disabled.includes(Verification) {
		m.verifyReportedGone(peer, c, from)
		return
	}
	m.acceptClaim(peer, c)
}

// verifyReportedGone handles the claim of another gateway that peer is gone: this gateway suspects peer and probes it
// itself. Accepting the claim at once would remove a member that came back at that moment, and would let one half of
// a partitioned cluster remove members that the other half still sees alive.
func (m *Membership) verifyReportedGone(peer *member, c *gossipcodec.Claim, from string) {
	suspect := *c
	suspect.State, suspect.SuspectedBy = gossipcodec.Suspect, from
	if supersedes(&suspect, peer) {
		m.acceptClaim(peer, &suspect)
	}
	if peer.suspicion != nil && peer.suspicion.verifyingUntil == 0 {
		m.verifySuspect(peer)
	}
}

// acceptClaim updates peer from a claim, broadcasts the claim, and starts or ends the suspicion of peer.
func (m *Membership) acceptClaim(peer *member, c *gossipcodec.Claim) {
	changed := peer.State != c.State || peer.Start != c.Start
	if changed {
		peer.StateSince, peer.PreviousState = m.now, peer.State
	}
	peer.State, peer.Start, peer.Incarnation = c.State, c.Start, c.Incarnation
	if c.State == gossipcodec.Alive {
		peer.Payload = c.Payload
	}
	m.endSuspicion(peer)
	if c.State == gossipcodec.Suspect {
		m.beginSuspicion(peer, c.SuspectedBy)
	}
	m.table.updateDigest(peer)
	m.version++
	if changed { // a new payload alone does not count: a cluster whose members report load would never converge
		m.lastChange = m.now
	}
	m.broadcast(*c)
}
