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
	"thymebend/internal/tokenschedule"
)

// What the cluster's view means for this gateway, where the gossip file has a table [shares]: which endpoints
// it uses and for how much, its slow-start tokens at cold ones, and what it tells of itself. The balancer is
// told by events and goes on choosing.

// Times of what is looked at and believed.
const (
	viewPropagation  = time.Second     // a change of the view reaches the last gateway
	viewConvergence  = 3 * time.Second // and surely has reached it, also through losses
	updateInterval   = time.Second     // between two looks at a view in which only figures changed
	tokenLookahead   = time.Second     // for which the next turn is looked for
	errorLogInterval = time.Second
)

// subsetAssignment follows what the cluster's view means for this gateway, where the gossip file has a table
// [shares]: the subset of the endpoints that it uses and with what weight, its slow-start tokens, and its
// load reports.
type subsetAssignment struct {
	*core
	cluster   *cluster
	discovery *discoveryWatch
	restart   *hotRestart

	state *assignmentState // nil where the cluster divides nothing
}

// assignmentState is this gateway's portion of the cluster's endpoints.
type assignmentState struct {
	config     *gossipconfig.Assignment
	rule       tokenschedule.Rule
	warmRate   float64 // requests a second of a warm endpoint, for slow-start tokens
	configHash uint32  // of what slow-start tokens rest on
	tracker    *assignment.Tracker
	owners     *tokenschedule.Owners
	taker      *tokenschedule.Taker
	reporter   loadreport.Reporter

	version          uint64 // of the view at the last look
	settled          bool
	updatedAt        time.Duration
	endpointsChanged bool // the list has changed since

	agreedSince   time.Duration     // since then most of the living have the same mark; 0 if they have not
	warming       []warmingEndpoint // of which this gateway may own slow-start tokens
	assigned      []balancer.AssignedEndpoint
	tokens        uint64 // slow-start tokens
	errorLoggedAt time.Duration
}

// begin begins to go by the cluster, as a view is begun. Until that has settled parts follow from count and
// number, and cold endpoints get nothing from here.
func (s *subsetAssignment) begin() {
	f := s.cfg.Gossip
	if f.Assignment == nil {
		return
	}
	c := &s.cfg.Settings.Config
	p := &assignmentState{config: f.Assignment, warmRate: f.Assignment.WarmRate,
		rule: tokenschedule.Rule{InitialFraction: c.SlowStartFraction, Duration: c.SlowStartDuration, OverloadMultiple: c.OverloadMultiple, Window: c.OverloadWindow, ClockSkew: f.Assignment.ClockSkew}}
	if p.warmRate == 0 {
		p.warmRate = s.balancer.MinCoreRate()
	}
	if !p.rule.Usable() {
		s.log.Warn().Dur(fieldOverloadWindow, c.OverloadWindow).Dur(fieldClockSkew, f.Assignment.ClockSkew).Float64(fieldSlowStartFraction, c.SlowStartFraction).Msg("assignment: no slow-start tokens can be given, new endpoints wait until they are warm")
	}
	var seeds []assignment.Gateway // of unknown zone, which is the same to all
	if !f.Flat {
		for _, name := range s.seedNames() {
			seeds = append(seeds, assignment.Gateway{Name: name, Zone: -1})
		}
	}
	p.tracker = assignment.NewTracker(assignment.Rule{Users: float64(p.config.Users), MaxUsers: p.config.MaxUsers, MinEndpoints: p.config.MinEndpoints, RemoteZoneOdds: p.config.RemoteZoneOdds}, f.Name, viewPropagation, seeds)
	p.owners = tokenschedule.NewOwners(p.config.Users, viewConvergence)
	start := s.now
	if s.restart.predecessor != nil {
		start += p.rule.ValidFor() // until it has heard that this process takes clients, it takes slow-start tokens too
	}
	p.taker = tokenschedule.NewTaker(p.rule, f.Name, start)
	p.agreedSince, p.endpointsChanged = s.now-viewConvergence, true // by the own file, until others are heard
	s.state = p
	s.updateConfigHash()
	s.balancer.AssignEndpoints(s.now, nil)
	s.notified = true
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

// updateConfigHash works out the mark of what slow-start tokens rest on.
func (s *subsetAssignment) updateConfigHash() {
	p := s.state
	h := xxh3.New()
	fmt.Fprintf(h, "%s %v %d", p.rule.Canonical(), p.warmRate, p.config.Users) // a hash never fails
	for _, name := range s.seedNames() {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		_, _ = h.WriteString(name)
	}
	mark := uint32(h.Sum64())
	if p.configHash != 0 && mark != p.configHash {
		p.agreedSince = 0 // the others have another file, or will have this one in a moment
	}
	p.configHash = mark
}

// update follows the view and the list, with every sample of the balancer.
func (s *subsetAssignment) update() {
	p, v := s.state, s.cluster.membership
	if p == nil || v == nil {
		return
	}
	s.reportLoad()
	st := v.Status(s.now)
	due, timed := p.tracker.Due()
	warm := slices.ContainsFunc(p.warming, func(c warmingEndpoint) bool { return s.now >= c.StartedAt+p.rule.Duration })
	viewChanged := (st.Version != p.version || p.agreedSince == 0) && s.now-p.updatedAt >= updateInterval
	if !viewChanged && !p.endpointsChanged && !warm && st.Settled == p.settled && !(timed && s.now >= due) {
		return
	}
	if viewChanged {
		p.updatedAt = s.now
	}
	p.version, p.settled, p.endpointsChanged = st.Version, st.Settled, false
	members := v.Members()
	reports, suspected := s.peerReports(members)
	s.updateAgreement(members, reports)
	demands := loadreport.Demands(reports)
	s.updateOwners(members)

	var alive []assignment.Gateway
	for i, m := range members {
		if m.State == gossipcodec.Alive {
			alive = append(alive, assignment.Gateway{Name: m.Name, Demand: demands[i], Zone: reports[i].Zone})
		}
	}
	var endpoints []assignment.Endpoint
	p.warming = p.warming[:0]
	for _, h := range s.discovery.endpoints.All() {
		switch {
		case h.State != balancer.EndpointReady:
		case s.warmingUp(h):
			c := warmingEndpoint{Endpoint: tokenschedule.Endpoint{ID: uint64(h.ID), StartedAt: h.StartedAt, Capacity: p.warmRate}}
			if d := p.owners.Divisions(s.now, c.ID); len(d) > 0 && tokenschedule.Share(d[len(d)-1], s.cfg.Gossip.Name) > 0 {
				p.warming = append(p.warming, c)
			}
		default:
			endpoints = append(endpoints, assignment.Endpoint{ID: uint64(h.ID), Capacity: h.Capacity, Zone: h.Zone})
		}
	}
	isCold := func(id uint64) bool { // also one that is another's now, or drains: it may be this gateway's again in a moment
		h := s.discovery.endpoints.Find(balancer.EndpointID(id))
		return h != nil && s.warmingUp(h)
	}
	p.taker.Forget(isCold)
	p.owners.Forget(isCold)
	if _, err := p.tracker.Observe(s.now, assignment.Observation{Alive: alive, Settled: st.Settled, Endpoints: endpoints}); err != nil {
		s.logError(err)
		return
	}
	s.apply(suspected)
}

func (s *subsetAssignment) logError(err error) {
	if s.now-s.state.errorLoggedAt >= errorLogInterval {
		s.state.errorLoggedAt = s.now
		s.log.Error().Err(err).Msg("assignment: the subset stays as it was")
	}
}

// warmingUp reports whether an endpoint still warms up.
func (s *subsetAssignment) warmingUp(h *discovery.Endpoint) bool {
	return h.StartedAt > 0 && s.now-h.StartedAt < s.state.rule.Duration
}

// apply tells the balancer which endpoints are this gateway's, if that has changed.
func (s *subsetAssignment) apply(suspected map[uint32]bool) {
	p := s.state
	var assigned []balancer.AssignedEndpoint
	add := func(id uint64, weight, part float64) {
		assigned = append(assigned, balancer.AssignedEndpoint{ID: balancer.EndpointID(id), Weight: weight, Share: part, SuspectedByPeers: suspected[loadreport.EndpointHash(id)]})
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

// report are what admins read of this gateway's portion, and why it is that.
func (s *subsetAssignment) report() *admin.Assignment {
	p := s.state
	if p == nil {
		return nil
	}
	out := &admin.Assignment{Stage: p.tracker.Stage().String(), Gateways: len(p.tracker.Gateways()), RelativeLoad: p.tracker.RelativeLoad(), Tokens: p.tokens,
		TokensActive: p.agreedSince > 0 && s.now-p.agreedSince >= viewConvergence, Demand: s.balancer.LoadReport(s.now).Demand, Hosts: []admin.AssignedEndpoint{}}
	for _, endpoint := range p.assigned {
		if endpoint.Share == 0 {
			out.Spares++
			continue
		}
		h := admin.AssignedEndpoint{Weight: endpoint.Weight, Share: endpoint.Share, SuspectedByPeers: endpoint.SuspectedByPeers}
		if host := s.discovery.endpoints.Find(endpoint.ID); host != nil {
			h.Name, h.SlowStart = host.Name, s.warmingUp(host)
		}
		out.Hosts = append(out.Hosts, h)
	}
	return out
}
