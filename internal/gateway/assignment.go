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
	viewPropagation  = time.Second     // a change of the view reaches the last gateway
	viewConvergence  = 3 * time.Second // and surely has reached it, also through losses
	updateInterval   = time.Second     // between two looks at a view in which only figures changed
	tokenLookahead   = time.Second     // for which the next slow-start token is looked for
	errorLogInterval = time.Second
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
	c := &s.cfg.Settings.Config
	p := &assignmentState{
		config:   f.Assignment,
		warmRate: f.Assignment.WarmRate,
		rule: tokenschedule.Rule{
			InitialFraction:  c.SlowStartFraction,
			Duration:         c.SlowStartDuration,
			OverloadMultiple: c.OverloadMultiple,
			Window:           c.OverloadWindow,
			ClockSkew:        f.Assignment.ClockSkew,
		},
	}
	if p.warmRate == 0 {
		p.warmRate = s.balancer.MinCoreRate()
	}
	if !p.rule.Usable() {
		s.log.Warn().Dur(fieldOverloadWindow, c.OverloadWindow).Dur(fieldClockSkew, f.Assignment.ClockSkew).
			Float64(fieldSlowStartFraction, c.SlowStartFraction).
			Msg("assignment: no slow-start tokens can be given, new endpoints wait until they are warm")
	}
	var seeds []assignment.Gateway // of unknown zone, which is the same to all
	if !f.Flat {
		for _, name := range s.seedNames() {
			seeds = append(seeds, assignment.Gateway{Name: name, Zone: -1})
		}
	}
	rule := assignment.Rule{
		Users:          float64(p.config.Users),
		MaxUsers:       p.config.MaxUsers,
		MinEndpoints:   p.config.MinEndpoints,
		RemoteZoneOdds: p.config.RemoteZoneOdds,
	}
	p.tracker = assignment.NewTracker(rule, f.Name, viewPropagation, seeds)
	p.owners = tokenschedule.NewOwners(p.config.Users, viewConvergence)
	start := s.now
	if s.restart.predecessor != nil {
		start += p.rule.ValidFor() // the predecessor takes tokens until it hears that this process serves
	}
	p.taker = tokenschedule.NewTaker(p.rule, f.Name, start)
	// This gateway's own configuration is agreed on until others are heard.
	p.agreedSince, p.endpointsChanged = s.now-viewConvergence, true
	s.state = p
	s.updateConfigHash()
	s.balancer.AssignEndpoints(s.now, nil)
	s.notified = true
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
	p := s.state
	if p == nil {
		return
	}
	h := xxh3.New()
	fmt.Fprintf(h, "%s %v %d", p.rule.Canonical(), p.warmRate, p.config.Users) // a hash never fails
	for _, name := range s.seedNames() {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		_, _ = h.WriteString(name)
	}
	sum := uint32(h.Sum64())
	if p.configHash != 0 && sum != p.configHash {
		p.agreedSince = 0 // the others have another file, or will have this one in a moment
	}
	p.configHash = sum
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
	p := s.state
	due, timed := p.tracker.Due()
	warm := slices.ContainsFunc(p.warming, func(e warmingEndpoint) bool {
		return s.now >= e.StartedAt+p.rule.Duration
	})
	viewChanged := (st.Version != p.version || p.agreedSince == 0) && s.now-p.updatedAt >= updateInterval
	if !viewChanged && !p.endpointsChanged && !warm && st.Settled == p.settled && !(timed && s.now >= due) {
		return false
	}
	if viewChanged {
		p.updatedAt = s.now
	}
	p.version, p.settled, p.endpointsChanged = st.Version, st.Settled, false
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
	p := s.state
	var endpoints []assignment.Endpoint
	p.warming = p.warming[:0]
	for _, h := range s.discovery.endpoints.All() {
		switch {
		case h.State != balancer.EndpointReady:
		case s.warmingUp(h):
			slot := tokenschedule.Endpoint{ID: uint64(h.ID), StartedAt: h.StartedAt, Capacity: p.warmRate}
			d := p.owners.Divisions(s.now, slot.ID)
			if len(d) > 0 && tokenschedule.Share(d[len(d)-1], s.cfg.Gossip.Name) > 0 {
				p.warming = append(p.warming, warmingEndpoint{Endpoint: slot})
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
	p.taker.Forget(inSlowStart)
	p.owners.Forget(inSlowStart)
	return endpoints
}

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
	p := s.state
	var assigned []balancer.AssignedEndpoint
	add := func(id uint64, weight, share float64) {
		assigned = append(assigned, balancer.AssignedEndpoint{
			ID: balancer.EndpointID(id), Weight: weight, Share: share,
			SuspectedByPeers: suspected[loadreport.EndpointHash(id)],
		})
	}
	if uses := p.tracker.Assigned(); len(p.tracker.Gateways()) > 0 {
		mean := 1.0
		if len(uses) > 0 {
			mean = 1 / float64(len(uses))
		}
		for _, u := range uses {
			add(u.Endpoint, u.Weight, u.Share)
		}
		for _, c := range p.warming {
			d := p.owners.Divisions(s.now, c.ID)
			add(c.ID, mean, tokenschedule.Share(d[len(d)-1], s.cfg.Gossip.Name))
		}
		for _, id := range p.tracker.Spares(s.cfg.Settings.Config.Zone) {
			add(id, mean, 0)
		}
	}
	if !slices.Equal(assigned, p.assigned) {
		p.assigned = assigned
		s.balancer.AssignEndpoints(s.now, assigned)
		s.notified = true
	}
}

// report is what /ops/fleet says of the assignment, nil where there is none.
func (s *subsetAssignment) report() *admin.Assignment {
	p := s.state
	if p == nil {
		return nil
	}
	out := &admin.Assignment{
		Stage:        p.tracker.Stage().String(),
		Gateways:     len(p.tracker.Gateways()),
		RelativeLoad: p.tracker.RelativeLoad(),
		Tokens:       p.tokens,
		TokensActive: s.agreed(),
		Demand:       s.balancer.LoadReport(s.now).Demand,
		Hosts:        []admin.AssignedEndpoint{},
	}
	for _, endpoint := range p.assigned {
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
