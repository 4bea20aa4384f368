package configdist

import (
	"maps"
	"slices"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// impact lists the services that differ between the released version and the candidate, which is the version being
// rolled out or, without a rollout, the newest one. Reports say whether a gateway is affected by these differences.
type impact struct {
	from, to uint64 // versions
	services map[string]bool
}

// affects reports whether a gateway subscribes to one of the services.
func (i *impact) affects(s *subscriber) bool {
	if len(s.services) == 0 {
		return len(i.services) > 0
	}
	return slices.ContainsFunc(s.services, func(name string) bool { return i.services[name] })
}

// updateImpact recomputes which gateways are affected if the released version or the candidate has changed.
func (c *Controller) updateImpact() {
	store := c.machine.store
	to := store.Candidate()
	if to == nil {
		to = store.Head()
	}
	if c.impact.services != nil && c.impact.from == store.released.Ref.Number && c.impact.to == to.Ref.Number {
		return
	}
	c.coordinator.pendingImpactReports = reportRepeats
	c.impact = impact{from: store.released.Ref.Number, to: to.Ref.Number, services: make(map[string]bool)}
	for _, name := range content.ChangedServices(store.released.Tree, to.Tree) {
		c.impact.services[name] = true
	}
	for _, s := range c.subscribers {
		if affected := c.impact.affects(s); affected != s.affected {
			s.affected, s.pendingReports = affected, reportRepeats
		}
	}
}

// reportToLeader sends the leader the changed states of the gateways subscribed here, and the states of all of them
// every fullReportInterval and to a new leader.
func (c *Controller) reportToLeader() {
	status := c.log.Status()
	if status.IsLeader || status.Leader == 0 {
		c.reportedTo = 0
		return
	}
	full := c.reportedTo != status.Leader || c.now >= c.nextFullReport
	m := &codec.GatewayReports{NewestVersion: c.impact.to, Full: full}
	for _, name := range c.names {
		if s := c.subscribers[name]; full || s.pendingReports > 0 {
			s.pendingReports = max(0, s.pendingReports-1)
			m.Gateways = append(m.Gateways, c.reportOf(s))
		}
	}
	if !full && len(m.Gateways) == 0 && c.coordinator.pendingImpactReports == 0 {
		return
	}
	c.coordinator.pendingImpactReports = max(0, c.coordinator.pendingImpactReports-1)
	if full {
		c.reportedTo, c.nextFullReport = status.Leader, c.now+fullReportInterval
	}
	c.output.Peers = append(c.output.Peers, ToPeer{status.Leader, m})
}

// reportOf returns the report about a gateway for the leader.
func (c *Controller) reportOf(s *subscriber) codec.GatewayReport {
	r := codec.GatewayReport{Gateway: s.gateway, Zone: s.zone, Session: s.session, State: s.state,
		Affected: s.affected, Silent: c.now-s.lastSeen > silenceTimeout}
	if s.offered != nil {
		r.Target = s.offered.Ref.Number
	}
	return r
}

// peer holds the reports of another control machine.
type peer struct {
	newestVersion uint64 // candidate version that Affected in its reports refers to
	lastSeen      time.Duration
	gateways      map[string]codec.GatewayReport
}

// gatewayStatus is a gateway's report with the ID of the control machine where the gateway is subscribed.
type gatewayStatus struct {
	codec.GatewayReport
	Controller uint64
}

// gateways returns the status of every known gateway, sorted by name. If two control machines report the same
// gateway, the report with the higher session is used.
func (c *Controller) gateways() []gatewayStatus {
	all := make(map[string]gatewayStatus)
	add := func(controller uint64, r codec.GatewayReport) {
		if other, ok := all[r.Gateway]; !ok || r.Session > other.Session {
			all[r.Gateway] = gatewayStatus{r, controller}
		}
	}
	for _, s := range c.subscribers {
		add(c.cfg.ID, c.reportOf(s))
	}
	for id, p := range c.coordinator.peers {
		for _, r := range p.gateways {
			r.Silent = r.Silent || c.now-p.lastSeen > silenceTimeout
			add(id, r)
		}
	}
	list := make([]gatewayStatus, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[name])
	}
	return list
}
