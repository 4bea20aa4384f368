package gateway

import (
	"thymebend/internal/gossipcodec"
	"thymebend/internal/loadreport"
	"thymebend/internal/membership"
)

// initialPayload returns the first payload of a new membership. It contains the zone and, if the cluster
// divides the endpoints, the config hash.
func (s *subsetAssignment) initialPayload() []byte {
	report := loadreport.Report{Zone: s.cfg.Settings.Config.Zone, Demand: -1}
	if s.state == nil {
		return loadreport.Append(nil, report)
	}
	report.HasFigures, report.ConfigHash = true, s.state.configHash
	payload, _ := s.state.reporter.Next(s.now, report, 1)
	return payload
}

// reportLoad distributes this gateway's load report through the cluster if a new one is due.
func (s *subsetAssignment) reportLoad() {
	signals, status := s.balancer.LoadReport(s.now), s.cluster.membership.Status(s.now)
	report := loadreport.Report{
		Zone:         s.cfg.Settings.Config.Zone,
		HasFigures:   true,
		Demand:       signals.Demand,
		Rejected:     signals.Rejected,
		FreeCapacity: signals.FreeCapacity,
		LocalHealth:  status.LocalHealth,
		ConfigHash:   s.state.configHash,
	}
	if !signals.Valid {
		report.Demand = -1
	}
	var ejected []uint64
	for _, id := range signals.Ejected {
		ejected = append(ejected, uint64(id))
	}
	report.Ejected = loadreport.EndpointHashes(ejected)
	payload, due := s.state.reporter.Next(s.now, report, status.Alive)
	if !due {
		return
	}
	if err := s.cluster.membership.SetPayload(s.now, payload); err != nil {
		s.log.Error().Err(err).Msg("assignment: load report not sent")
		return
	}
	s.setTimer(timerCluster, 0, s.cluster.membership.NextWake())
}

// peerReports returns the load report of each member, in the members' order, and the hashes of the endpoints
// that several other members suspect. A payload that cannot be parsed counts as no report.
func (s *subsetAssignment) peerReports(
	members []membership.Member,
) (reports []loadreport.PeerReport, suspected map[uint32]bool) {
	var others []loadreport.PeerReport
	for _, m := range members {
		peer := loadreport.PeerReport{}
		if report, err := loadreport.Parse(m.Payload); err == nil {
			peer.Report = report
		}
		if m.State != gossipcodec.Alive {
			peer.NotAliveFor = max(1, s.now-m.StateSince)
		}
		reports = append(reports, peer)
		if m.Name != s.cfg.Gossip.Name {
			others = append(others, peer)
		}
	}
	return reports, loadreport.SuspectedByPeers(others)
}
