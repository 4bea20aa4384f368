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

// warmingEndpoint is an endpoint in slow start. Until nextTokenCheck, this gateway owns no token for a request to it.
type warmingEndpoint struct {
	tokenschedule.Endpoint
	nextTokenCheck time.Duration
}

// updateAgreement records since when more than half of the alive and suspected members have had this
// gateway's config hash. Members of which only the name is known do not count.
func (s *subsetAssignment) updateAgreement(members []membership.Member, reports []loadreport.PeerReport) {
	alive, agreeing := 0, 0
	for i, m := range members {
		if m.State > gossipcodec.Suspect || !reports[i].HasFigures && m.Name != s.cfg.Gossip.Name &&
			len(m.Payload) == 0 {
			continue // it is dead or has left, or only its name is known
		}
		alive++
		if reports[i].HasFigures && reports[i].ConfigHash == s.state.configHash || m.Name == s.cfg.Gossip.Name {
			agreeing++
		}
	}
	switch {
	case 2*agreeing <= alive:
		s.state.agreedSince = 0
	case s.state.agreedSince == 0:
		s.state.agreedSince = s.now
	}
}

// updateOwners sets the gateways that may own tokens: the seed peers, and in a flat cluster also all known
// members that have not left.
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

// agreed reports whether a majority has had this gateway's config hash long enough for tokens to be valid.
func (s *subsetAssignment) agreed() bool {
	return s.state.agreedSince > 0 && s.now-s.state.agreedSince >= membershipConvergence
}

// grantTokens passes the tokens that are valid now to the balancer. It is called before each Dispatch. The
// balancer dispatches every few milliseconds while requests are queued, so no timer is needed. After a change
// of the endpoint list no tokens are granted until the next update, because an endpoint that has restarted has
// different tokens.
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
		warming := &state.warming[i]
		if s.now < warming.nextTokenCheck || s.now >= warming.StartedAt+state.rule.Duration {
			continue
		}
		ownerships := state.owners.Ownerships(s.now, warming.ID)
		for {
			until, ok := state.taker.Take(s.now, warming.Endpoint, ownerships...)
			if !ok {
				break
			}
			state.tokens++
			s.balancer.GrantSlowStartToken(s.now, balancer.EndpointID(warming.ID), until)
		}
		if warming.nextTokenCheck, _ = state.taker.Next(s.now, warming.Endpoint, tokenLookahead,
			ownerships...); warming.nextTokenCheck == 0 {
			warming.nextTokenCheck = s.now + tokenLookahead
		}
	}
}
