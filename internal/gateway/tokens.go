package gateway

import (
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/loadreport"
	"thymebend/internal/membership"
	"thymebend/internal/tokenschedule"
)

// warmingEndpoint is an endpoint in slow start. None of its tokens is this gateway's before nextLook.
type warmingEndpoint struct {
	tokenschedule.Endpoint
	nextTokenCheck time.Duration
}

// updateAgreement notes since when more than half of the living members have this gateway's config hash.
func (s *subsetAssignment) updateAgreement(members []membership.Member, reports []loadreport.PeerReport) {
	living, same := 0, 0
	for i, m := range members {
		if m.State > gossipcodec.Suspect || !reports[i].Known && m.Name != s.cfg.Gossip.Name &&
			len(m.Payload) == 0 {
			continue // nothing was heard of it but its name
		}
		living++
		if reports[i].Known && reports[i].ConfigHash == s.state.configHash || m.Name == s.cfg.Gossip.Name {
			same++
		}
	}
	switch {
	case 2*same <= living:
		s.state.agreedSince = 0
	case s.state.agreedSince == 0:
		s.state.agreedSince = s.now
	}
}

// updateOwners notes who may own tokens: the seed peers, and in a flat cluster all members that are known and
// have not left.
func (s *subsetAssignment) updateOwners(members []membership.Member) {
	names := s.seedNames()
	if s.cfg.Gossip.Flat {
		for _, m := range members {
			if m.State != gossipcodec.Left {
				names = append(names, m.Name)
			}
		}
	}
	s.state.owners.SetGateways(s.now, names)
}

// agreed reports whether this gateway's config hash has had a majority for long enough that tokens are valid.
func (s *subsetAssignment) agreed() bool {
	return s.state.agreedSince > 0 && s.now-s.state.agreedSince >= membershipConvergence
}

// grantTokens gives the balancer the tokens that are valid from now, before it dispatches. It dispatches
// every few milliseconds while requests are queued, so no timer is needed. After a change of the endpoint
// list it waits for the next update: an endpoint that has started anew has other tokens.
func (s *subsetAssignment) grantTokens() {
	state := s.state
	if state == nil || s.cluster.membership == nil || state.endpointsChanged || !s.agreed() ||
		!state.rule.Usable() {
		return
	}
	if s.cfg.Gossip.Flat && state.tracker.Stage() == assignment.Waiting {
		return
	}
	for i := range state.warming {
		c := &state.warming[i]
		if s.now < c.nextTokenCheck || s.now >= c.StartedAt+state.rule.Duration {
			continue
		}
		divisions := state.owners.Ownerships(s.now, c.ID)
		for {
			until, ok := state.taker.Take(s.now, c.Endpoint, divisions...)
			if !ok {
				break
			}
			state.tokens++
			s.balancer.GrantSlowStartToken(s.now, balancer.EndpointID(c.ID), until)
		}
		if c.nextTokenCheck, _ = state.taker.Next(s.now, c.Endpoint, tokenLookahead,
			divisions...); c.nextTokenCheck == 0 {
			c.nextTokenCheck = s.now + tokenLookahead
		}
	}
}
