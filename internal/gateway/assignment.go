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

// How long news of the cluster takes, and how often it is looked at.
const (
	membershipPropagation = time.Second     // a change of the view reaches the last gateway
	membershipConvergence = 3 * time.Second // and surely has reached it, also through losses
	updateInterval        = time.Second     // between two looks at a view in which only figures changed
	tokenLookahead        = time.Second     // for which the next slow-start token is looked for
	errorLogInterval      = time.Second
)

// subsetAssignment follows what the cluster's view means for this gateway, where the gossip file has a table
// [shares]: the subset of the endpoints that it uses and with what weight, its tokens for endpoints in slow
// start, and its load reports. The balancer is notified of them and goes on choosing.
type subsetAssignment struct {
	*core
	cluster   *cluster
	discovery *discoveryWatch
	restart   *hotRestart

	state *assignmentState // nil where the cluster divides nothing, and while this process is no member
}

// assignmentState is what lasts as long as this process is a member of the cluster.
type assignmentState struct {
	config     *gossipconfig.Assignment
	rule       tokenschedule.Rule
	warmRate   float64 // requests a second of a warm endpoint, which sets the rate of tokens
	configHash uint32  // of the configuration on which tokens rest: they are valid among equals only
	tracker    *assignment.Tracker
	owners     *tokenschedule.Owners
	taker      *tokenschedule.Taker
	reporter   loadreport.Reporter

	version          uint64 // of the view at the last update
	settled          bool
	updatedAt        time.Duration
	endpointsChanged bool // the endpoint list has changed since

	agreedSince   time.Duration     // most living members have this config hash since then; 0 if not
	warming       []warmingEndpoint // for which this gateway may own tokens
	assigned      []balancer.AssignedEndpoint
	tokens        uint64 // taken so far
	errorLoggedAt time.Duration
}

// begin is called as this process joins the cluster. Until the view has settled the subset follows from the
// number of gateways and this one's rank, and endpoints in slow start get nothing from here.
func (s *subsetAssignment) begin() {
	f := s.cfg.Gossip
	if f.Assignment == nil {
		return
	}
	state := &assignmentState{config: f.Assignment, warmRate: f.Assignment.WarmRate, rule: s.tokenRule()}
	if state.warmRate == 0 {
		state.warmRate = s.balancer.MinCoreRate()
	}
	if !state.rule.Usable() {
		s.log.Warn().Dur(fieldOverloadWindow, state.rule.Window).Dur(fieldClockSkew, state.rule.ClockSkew).
			Float64(fieldSlowStartFraction, state.rule.InitialFraction).
			Msg("assignment: no slow-start tokens can be given, new endpoints wait until they are warm")
	}
	var seeds []assignment.Gateway // of unknown zone, which is the same to all
	if !f.Flat {
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
	state.tracker = assignment.NewTracker(rule, f.Name, membershipPropagation, seeds)
	state.owners = tokenschedule.NewOwners(state.config.Users, membershipConvergence)
	start := s.now
	if s.restart.predecessor != nil {
		start += state.rule.ValidFor() // the predecessor takes tokens until it hears that this process serves
	}
	state.taker = tokenschedule.NewTaker(state.rule, f.Name, start)
	// This gateway's own configuration is agreed on until others are heard.
	state.agreedSince, state.endpointsChanged = s.now-membershipConvergence, true
	s.state = state
	s.updateConfigHash()
	s.balancer.AssignEndpoints(s.now, nil)
	s.dispatchNeeded = true
}

// tokenRule is the rule by which slow-start tokens are scheduled, the same on all gateways of one
// configuration.
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

// end is called as this process leaves the cluster. The endpoints in use stay; tokens are others' or
// nobody's.
func (s *subsetAssignment) end() { s.state = nil }

// endpointListChanged has the assignment follow the endpoint list at the next update.
func (s *subsetAssignment) endpointListChanged() {
	if s.state != nil {
		s.state.endpointsChanged = true
	}
}

// seedNames are the names of the seed peers and the own one, sorted.
func (s *subsetAssignment) seedNames() []string {
	names := []string{s.cfg.Gossip.Name}
	for _, peer := range s.cfg.Gossip.SeedPeers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// updateConfigHash hashes the configuration on which slow-start tokens rest.
func (s *subsetAssignment) updateConfigHash() {
	state := s.state
	if state == nil {
		return
	}
	h := xxh3.New()
	fmt.Fprintf(h, "%s %v %d", state.rule.Canonical(), state.warmRate, state.config.Users) // a hash never fails
	for _, name := range s.seedNames() {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		_, _ = h.WriteString(name)
	}
	sum := uint32(h.Sum64())
	if state.configHash != 0 && sum != state.configHash {
		state.agreedSince = 0 // the others have another file, or will have this one in a moment
	}
	state.configHash = sum
}

// update follows the view and the endpoint list, with every sample of the balancer.
func (s *subsetAssignment) update() {
	if s.state == nil || s.cluster.membership == nil {
		return
	}
	s.reportLoad()
	st := s.cluster.membership.Status(s.now)
	if !s.updateDue(st) {
		return
	}
	members := s.cluster.membership.Members()
	reports, suspected := s.peerReports(members)
	s.updateAgreement(members, reports)
	s.updateOwners(members)
	observation := assignment.Observation{
		Alive:     aliveGateways(members, reports),
		Settled:   st.Settled,
		Endpoints: s.updateEndpoints(),
	}
	if _, err := s.state.tracker.Observe(s.now, observation); err != nil {
		s.logError(err)
		return
	}
	s.apply(suspected)
}

// updateDue reports whether anything has changed since the last update on which an assignment rests.
func (s *subsetAssignment) updateDue(st membership.Status) bool {
	state := s.state
	due, timed := state.tracker.Due()
	warm := slices.ContainsFunc(state.warming, func(e warmingEndpoint) bool {
		return s.now >= e.StartedAt+state.rule.Duration
	})
	viewChanged := (st.Version != state.version || state.agreedSince == 0) &&
		s.now-state.updatedAt >= updateInterval
	if !viewChanged && !state.endpointsChanged && !warm && st.Settled == state.settled &&
		!(timed && s.now >= due) {
		return false
	}
	if viewChanged {
		state.updatedAt = s.now
	}
	state.version, state.settled, state.endpointsChanged = st.Version, st.Settled, false
	return true
}

// aliveGateways are the living members with what they report.
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

// updateEndpoints returns the warm endpoints, which are divided among the gateways, and notes those in slow
// start for which this gateway may own tokens.
func (s *subsetAssignment) updateEndpoints() []assignment.Endpoint {
	state := s.state
	var endpoints []assignment.Endpoint
	state.warming = state.warming[:0]
	for _, h := range s.discovery.endpoints.All() {
		switch {
		case h.State != balancer.EndpointReady:
		case s.warmingUp(h):
			slot := tokenschedule.Endpoint{ID: uint64(h.ID), StartedAt: h.StartedAt, Capacity: state.warmRate}
			d := state.owners.Ownerships(s.now, slot.ID)
			if len(d) > 0 && tokenschedule.ShareOf(d[len(d)-1], s.cfg.Gossip.Name) > 0 {
				state.warming = append(state.warming, warmingEndpoint{Endpoint: slot})
			}
		default:
			e := assignment.Endpoint{ID: uint64(h.ID), Capacity: h.Capacity, Zone: h.Zone}
			endpoints = append(endpoints, e)
		}
	}
	// One that is another gateway's now, or drains, is kept too: it may be this one's again in a moment.
	inSlowStart := func(id uint64) bool {
		h := s.discovery.endpoints.Find(balancer.EndpointID(id))
		return h != nil && s.warmingUp(h)
	}
	state.taker.Forget(inSlowStart)
	state.owners.Forget(inSlowStart)
	return endpoints
}

// logError logs that the subset could not be worked out, at most once in errorLogInterval.
func (s *subsetAssignment) logError(err error) {
	if s.now-s.state.errorLoggedAt >= errorLogInterval {
		s.state.errorLoggedAt = s.now
		s.log.Error().Err(err).Msg("assignment: the subset stays as it was")
	}
}

// warmingUp reports whether an endpoint is in slow start.
func (s *subsetAssignment) warmingUp(h *discovery.Endpoint) bool {
	return h.StartedAt > 0 && s.now-h.StartedAt < s.state.rule.Duration
}

// apply tells the balancer which endpoints are this gateway's, if that has changed.
func (s *subsetAssignment) apply(suspected map[uint32]bool) {
	state := s.state
	var assigned []balancer.AssignedEndpoint
	add := func(id uint64, weight, share float64) {
		assigned = append(assigned, balancer.AssignedEndpoint{
			ID: balancer.EndpointID(id), Weight: weight, Share: share,
			SuspectedByPeers: suspected[loadreport.EndpointHash(id)],
		})
	}
	if uses := state.tracker.Assigned(); len(state.tracker.Gateways()) > 0 {
		mean := 1.0
		if len(uses) > 0 {
			mean = 1 / float64(len(uses))
		}
		for _, u := range uses {
			add(u.Endpoint, u.Weight, u.Share)
		}
		for _, c := range state.warming {
			d := state.owners.Ownerships(s.now, c.ID)
			add(c.ID, mean, tokenschedule.ShareOf(d[len(d)-1], s.cfg.Gossip.Name))
		}
		for _, id := range state.tracker.Spares(s.cfg.Settings.Config.Zone) {
			add(id, mean, 0)
		}
	}
	if !slices.Equal(assigned, state.assigned) {
		state.assigned = assigned
		s.balancer.AssignEndpoints(s.now, assigned)
		s.dispatchNeeded = true
	}
}

// report is what /ops/fleet says of the assignment, nil where there is none.
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
		Hosts:        []admin.AssignedEndpoint{},
	}
	for _, endpoint := range state.assigned {
		if endpoint.Share == 0 {
			out.Spares++
			continue
		}
		e := admin.AssignedEndpoint{
			Weight: endpoint.Weight, Share: endpoint.Share, SuspectedByPeers: endpoint.SuspectedByPeers,
		}
		if found := s.discovery.endpoints.Find(endpoint.ID); found != nil {
			e.Name, e.SlowStart = found.Name, s.warmingUp(found)
		}
		out.Hosts = append(out.Hosts, e)
	}
	return out
}
