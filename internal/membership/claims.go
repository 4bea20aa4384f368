package membership

import (
	"cmp"
	"time"

	"thymebend/internal/gossipcodec"
)

// maxClockLead is how far the clock of another machine may be ahead of this one. A claim of a later start could not be
// refuted, as no process begins later.
const maxClockLead = 24 * time.Hour

// claim is what this gateway believes of the member; by is who suspects it, or empty.
func (p *member) claim(by string) gossipcodec.Claim {
	c := gossipcodec.Claim{Name: p.Name, Start: p.Start, Incarnation: p.Incarnation, State: p.State, SuspectedBy: by}
	if p.State == gossipcodec.Alive {
		c.Payload = p.Payload
	}
	return c
}

// supersedes orders claims about one name: the later start, then the higher incarnation, then the stronger state.
func supersedes(c *gossipcodec.Claim, p *member) bool {
	return cmp.Or(cmp.Compare(c.Start, p.Start), cmp.Compare(c.Incarnation, p.Incarnation),
		cmp.Compare(c.State, p.State)) > 0
}

// latestPlausibleStart is the latest start of a process that is believed, in ms of Unix time.
func (m *Membership) latestPlausibleStart() uint64 {
	return uint64((m.now + maxClockLead).Milliseconds())
}

// raiseIncarnation makes a new claim about this gateway itself, stronger than any before.
func (m *Membership) raiseIncarnation(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.table.updateDigest(&m.self)
	m.version++
	m.broadcast(m.self.claim(""))
}

// applySelfClaim answers what others say of this gateway: it refutes whatever is not so.
func (m *Membership) applySelfClaim(c *gossipcodec.Claim) {
	switch {
	case m.leaving:
	case c.Start > m.self.Start && c.State >= gossipcodec.Gone:
		// A process of this name that is dead began later by its clock: this machine's clock went back.
		m.self.Start = c.Start + 1
		m.raiseIncarnation(1)
		m.lastChange = m.now
	case c.Start > m.self.Start:
		m.duplicateSeen = m.now
	case c.Start < m.self.Start:
		m.broadcast(m.self.claim("")) // they have not heard of the restart
	case c.Incarnation >= m.self.Incarnation && c.State != gossipcodec.Alive:
		m.counts.FalseAlarms++
		m.awareness.degrade(1)
		m.raiseIncarnation(c.Incarnation + 1)
		m.lastChange = m.now
		m.next.gossip = m.now // a refutation does not wait
	case c.Incarnation > m.self.Incarnation:
		m.raiseIncarnation(c.Incarnation + 1)
		m.lastChange = m.now
	}
}

// applyClaim takes one claim from a datagram of a member.
func (m *Membership) applyClaim(c *gossipcodec.Claim, from string) {
	if c.Start > m.latestPlausibleStart() || c.Incarnation == gossipcodec.MaxIncarnation { // it could not be refuted
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

// verifyReportedGone has this gateway probe a member itself that another says is gone. To believe the other would remove
// members that came back at that moment, and let a cut-off half remove those whom the other half sees alive.
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

// acceptClaim believes a claim, spreads it, and begins or ends a suspicion.
func (m *Membership) acceptClaim(peer *member, c *gossipcodec.Claim) {
	changed := peer.State != c.State || peer.Start != c.Start
	if changed {
		peer.Since, peer.Previous = m.now, peer.State
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
	if changed { // a new payload alone does not count, or a cluster whose members report load would never settle
		m.lastChange = m.now
	}
	m.broadcast(*c)
}
