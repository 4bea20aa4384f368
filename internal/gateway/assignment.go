package gateway

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/admin"
	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/loadreport"
	"thymebend/internal/membership"
	"thymebend/internal/tokenschedule"
)

// Propagation times of membership changes, and intervals between updates of the assignment.
const (
	membershipPropagation = time.Second     // by then a membership change has usually reached all gateways
	membershipConvergence = 3 * time.Second // by then it has certainly reached them, even with lost datagrams
	updateInterval        = time.Second     // minimum time between updates if only reported values changed
	tokenLookahead        = time.Second     // how far ahead the next slow-start token is searched
	errorLogInterval      = time.Second     // minimum time between two log lines of logError
)

// subsetAssignment is active if the gossip file has a table [shares]. It uses the view, which is this process's
// list of the cluster's members and their states. From the view it derives the subset of the endpoints that this
// gateway uses, with their weights; the slow-start tokens that this gateway may use, each of which permits one
// request to an endpoint in slow start; and the content of its load reports. It notifies the balancer of the subset
// and the tokens. The balancer chooses an endpoint for each request.
type subsetAssignment struct {
	*core
	cluster   *cluster
	discovery *discoveryWatch
	restart   *hotRestart

	state *assignmentState // nil without a table [shares], and while this process is not a member
}

// assignmentState is the state that exists while this process is a member of the cluster.
type assignmentState struct {
	config     *gossipconfig.Assignment
	rule       tokenschedule.Rule
	warmRate   float64 // requests per second of a warm endpoint; determines the rate of tokens
	configHash uint32  // hash of the settings that determine the tokens; gateways must have equal hashes
	tracker    *assignment.Tracker
	owners     *tokenschedule.Owners
	taker      *tokenschedule.Taker
	reporter   loadreport.Reporter

	version          uint64 // version of the view at the last update
	converged        bool   // whether the view had converged at the last update
	updatedAt        time.Duration
	endpointsChanged bool // the endpoint list has changed since the last update

	agreedSince   time.Duration     // since when most members have this config hash, see updateAgreement; 0 if not
	warming       []warmingEndpoint // endpoints in slow start for which this gateway may own tokens
	assigned      []balancer.AssignedEndpoint
	tokens        uint64        // number of tokens taken since joining
	errorLoggedAt time.Duration // when logError last logged
}

// begin is called when this process joins the cluster. It determines what applies until the view has converged. In
// a cluster that is not flat, the endpoints are divided among the seed peers. In a flat cluster, where gateways that
// are not seed peers may join, the balancer derives its subset from the configured number of gateways and the rank
// of this gateway, and no slow-start tokens are granted.
func (s *subsetAssignment) begin() {
	gossip := s.cfg.Gossip
	if gossip.Assignment == nil {
		return
	}
	state := &assignmentState{config: gossip.Assignment, warmRate: gossip.Assignment.WarmRate, rule: s.tokenRule()}
	if state.warmRate == 0 {
		state.warmRate = s.balancer.MinCoreRate()
	}
	if !state.rule.Usable() {
		s.log.Warn().Dur(fieldOverloadWindow, state.rule.Window).Dur(fieldClockSkew, state.rule.ClockSkew).
			Float64(fieldSlowStartFraction, state.rule.InitialFraction).
			Msg("assignment: no slow-start tokens can be given, new endpoints wait until they are warm")
	}
	var seeds []assignment.Gateway // their zone is unknown, and -1 on all gateways
	if !gossip.Flat {
		for _, name := range s.seedNames() {
			seeds = append(seeds, assignment.Gateway{Name: name, Zone: -1})
		}
	}
	rule := assignment.Rule{
		Users:          float64(state.config.Users),
		MaxUsers:       state.config.MaxUsers,
		MinEndpoints:   state.config.MinEndpoints,
		RemoteZoneOdds: state.config.RemoteZoneOdds,
	}
	state.tracker = assignment.NewTracker(rule, gossip.Name, membershipPropagation, seeds)
	state.owners = tokenschedule.NewOwners(state.config.Users, membershipConvergence)
	start := s.now
	if s.restart.predecessor != nil {
		start += state.rule.ValidFor() // the predecessor takes tokens until it is notified that this process serves
	}
	state.taker = tokenschedule.NewTaker(state.rule, gossip.Name, start)
	// This gateway's configuration counts as agreed on until reports of other members arrive.
	state.agreedSince, state.endpointsChanged = s.now-membershipConvergence, true
	s.state = state
	s.updateConfigHash()
	s.balancer.AssignEndpoints(s.now, nil)
	s.dispatchNeeded = true
}

// tokenRule returns the rule by which slow-start tokens are scheduled. It is the same on all gateways with the
// same configuration.
func (s *subsetAssignment) tokenRule() tokenschedule.Rule {
	c := &s.cfg.Settings.Config
	return tokenschedule.Rule{
		InitialFraction:  c.SlowStartFraction,
		Duration:         c.SlowStartDuration,
		OverloadMultiple: c.OverloadMultiple,
		Window:           c.OverloadWindow,
		ClockSkew:        s.cfg.Gossip.Assignment.ClockSkew,
	}
}

// end is called when this process leaves the cluster. The endpoints in use remain in use. The tokens of this
// gateway pass to other gateways or remain unused.
func (s *subsetAssignment) end() { s.state = nil }

// endpointListChanged makes the next update take a changed endpoint list into account.
func (s *subsetAssignment) endpointListChanged() {
	if s.state != nil {
		s.state.endpointsChanged = true
	}
}

// seedNames returns the names of the seed peers and of this gateway, sorted and without duplicates.
func (s *subsetAssignment) seedNames() []string {
	names := []string{s.cfg.Gossip.Name}
	for _, peer := range s.cfg.Gossip.SeedPeers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// updateConfigHash hashes the configuration that determines the slow-start tokens. If the hash has changed, the
// agreement with other members has to be established again.
func (s *subsetAssignment) updateConfigHash() {
	state := s.state
	if state == nil {
		return
	}
	h := xxh3.New()
	// Writing to a hash never fails.
	fmt.Fprintf(h, "%s %v %d", state.rule.Canonical(), state.warmRate, state.config.Users)
	for _, name := range s.seedNames() {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		_, _ = h.WriteString(name)
	}
	sum := uint32(h.Sum64())
	if state.configHash != 0 && sum != state.configHash {
		state.agreedSince = 0 // the other members have a different file, at least until they have reloaded theirs
	}
	state.configHash = sum
}

// update sends the load report and brings the assignment up to date with the view and the endpoint list. It is
// called with every timer of the balancer.
func (s *subsetAssignment) update() {
	if s.state == nil || s.cluster.membership == nil {
		return
	}
	s.reportLoad()
	status := s.cluster.membership.Status(s.now)
	if !s.updateDue(status) {
		return
	}
	members := s.cluster.membership.Members()
	reports, suspected := s.peerReports(members)
	s.updateAgreement(members, reports)
	s.updateOwners(members)
	observation := assignment.Observation{
		Alive:     aliveGateways(members, reports),
		Converged: status.Converged,
		Endpoints: s.updateEndpoints(),
	}
	if _, err := s.state.tracker.Observe(s.now, observation); err != nil {
		s.logError(err)
		return
	}
	s.apply(suspected)
}

// updateDue reports whether the assignment has to be computed again: whether any of its inputs has changed
// since the last update, or a time at which it changes has passed.
func (s *subsetAssignment) updateDue(status membership.Status) bool {
	state := s.state
	dueAt, scheduled := state.tracker.Due()
	becameWarm := slices.ContainsFunc(state.warming, func(e warmingEndpoint) bool {
		return s.now >= e.StartedAt+state.rule.Duration
	})
	viewChanged := (status.Version != state.version || state.agreedSince == 0) &&
		s.now-state.updatedAt >= updateInterval
	if !viewChanged && !state.endpointsChanged && !becameWarm && status.Converged == state.converged &&
		!(scheduled && s.now >= dueAt) {
		return false
	}
	if viewChanged {
		state.updatedAt = s.now
	}
	state.version, state.converged, state.endpointsChanged = status.Version, status.Converged, false
	return true
}

// aliveGateways returns the alive members, each with the demand and zone that it reports.
func aliveGateways(members []membership.Member, reports []loadreport.PeerReport) []assignment.Gateway {
	demands := loadreport.Demands(reports)
	var alive []assignment.Gateway
	for i, m := range members {
		if m.State == gossipcodec.Alive {
			alive = append(alive, assignment.Gateway{Name: m.Name, Demand: demands[i], Zone: reports[i].Zone})
		}
	}
	return alive
}

// updateEndpoints returns the warm endpoints, which are divided among the gateways. It also updates the list of
// endpoints in slow start for which this gateway may own tokens.
func (s *subsetAssignment) updateEndpoints() []assignment.Endpoint {
	state := s.state
	var endpoints []assignment.Endpoint
	state.warming = state.warming[:0]
	for _, ep := range s.discovery.endpoints.All() {
		switch {
		case ep.State != balancer.EndpointReady:
		case s.warmingUp(ep):
			tokenEndpoint := tokenschedule.Endpoint{ID: uint64(ep.ID), StartedAt: ep.StartedAt, Capacity: state.warmRate}
			ownerships := state.owners.Ownerships(s.now, tokenEndpoint.ID)
			if len(ownerships) > 0 && tokenschedule.ShareOf(ownerships[len(ownerships)-1], s.cfg.Gossip.Name) > 0 {
				state.warming = append(state.warming, warmingEndpoint{Endpoint: tokenEndpoint})
			}
		default:
			e := assignment.Endpoint{ID: uint64(ep.ID), Capacity: ep.Capacity, Zone: ep.Zone}
			endpoints = append(endpoints, e)
		}
	}
	// Endpoints that belong to another gateway now, or drain, are kept too: they may belong to this gateway
	// again soon.
	inSlowStart := func(id uint64) bool {
		ep := s.discovery.endpoints.Find(balancer.EndpointID(id))
		return ep != nil && s.warmingUp(ep)
	}
	state.taker.Forget(inSlowStart)
	state.owners.Forget(inSlowStart)
	return endpoints
}

// logError logs that the subset could not be computed, at most once per errorLogInterval.
func (s *subsetAssignment) logError(err error) {
	if s.now-s.state.errorLoggedAt >= errorLogInterval {
		s.state.errorLoggedAt = s.now
		s.log.Error().Err(err).Msg("assignment: the subset stays as it was")
	}
}

// warmingUp reports whether an endpoint is in slow start.
func (s *subsetAssignment) warmingUp(ep *discovery.Endpoint) bool {
	return ep.StartedAt > 0 && s.now-ep.StartedAt < s.state.rule.Duration
}

// apply notifies the balancer of the endpoints assigned to this gateway, if they have changed.
func (s *subsetAssignment) apply(suspected map[uint32]bool) {
	state := s.state
	var assigned []balancer.AssignedEndpoint
	add := func(id uint64, weight, share float64) {
		assigned = append(assigned, balancer.AssignedEndpoint{
			ID: balancer.EndpointID(id), Weight: weight, Share: share,
			SuspectedByPeers: suspected[loadreport.EndpointHash(id)],
		})
	}
	if shares := state.tracker.Assigned(); len(state.tracker.Gateways()) > 0 {
		meanWeight := 1.0
		if len(shares) > 0 {
			meanWeight = 1 / float64(len(shares))
		}
		for _, share := range shares {
			add(share.Endpoint, share.Weight, share.Share)
		}
		for _, warming := range state.warming {
			ownerships := state.owners.Ownerships(s.now, warming.ID)
			add(warming.ID, meanWeight, tokenschedule.ShareOf(ownerships[len(ownerships)-1], s.cfg.Gossip.Name))
		}
		for _, id := range state.tracker.Spares(s.cfg.Settings.Config.Zone) {
			add(id, meanWeight, 0)
		}
	}
	if !slices.Equal(assigned, state.assigned) {
		state.assigned = assigned
		s.balancer.AssignEndpoints(s.now, assigned)
		s.dispatchNeeded = true
	}
}

// report returns the section of /ops/fleet about the assignment, or nil if there is no assignment.
func (s *subsetAssignment) report() *admin.Assignment {
	state := s.state
	if state == nil {
		return nil
	}
	out := &admin.Assignment{
		Stage:        state.tracker.Stage().String(),
		Gateways:     len(state.tracker.Gateways()),
		RelativeLoad: state.tracker.RelativeLoad(),
		Tokens:       state.tokens,
		TokensActive: s.agreed(),
		Demand:       s.balancer.LoadReport(s.now).Demand,
		Endpoints:    []admin.AssignedEndpoint{},
	}
	for _, endpoint := range state.assigned {
		if endpoint.Share == 0 {
			out.SpareEndpoints++
			continue
		}
		e := admin.AssignedEndpoint{
			Weight: endpoint.Weight, Share: endpoint.Share, SuspectedByPeers: endpoint.SuspectedByPeers,
		}
		if found := s.discovery.endpoints.Find(endpoint.ID); found != nil {
			e.Name, e.SlowStart = found.Name, s.warmingUp(found)
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	return out
}
