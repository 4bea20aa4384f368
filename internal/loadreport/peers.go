package loadreport

import (
	"slices"
	"time"
)

// ReportLifetime is how long the report of a member counts after the member is no longer considered alive.
const ReportLifetime = 10 * time.Second

// Bounds on the influence of the reports of peers.
const (
	// The demand of one gateway counts for at most and at least these multiples of the median of the known demands.
	maxOverMedian = 8.0
	minOverMedian = 1.0 / 64
	// minSuspectors is the number of gateways that must have ejected an endpoint for it to be suspected. One gateway
	// that reports wrongly or is slow must not be enough.
	minSuspectors = 2
	// reporterHealthLimit is the local health from which on the ejections that a gateway reports are ignored.
	reporterHealthLimit = 4
)

// PeerReport is the last report of a member, with the time for which the member has not been alive. That time is 0
// while it is alive.
type PeerReport struct {
	Report
	NotAliveFor time.Duration
}

// demandCounts reports whether the demand is known and the report has not expired.
func (p *PeerReport) demandCounts() bool {
	return p.HasFigures && p.Demand >= 0 && p.NotAliveFor < ReportLifetime
}

// ejectionsCount reports whether the ejections that the peer reports count: the peer is alive and healthy itself.
func (p *PeerReport) ejectionsCount() bool {
	return p.HasFigures && p.NotAliveFor <= 0 && p.LocalHealth < reporterHealthLimit
}

// SuspectedByPeers returns the hashes of the endpoints that at least two other gateways have ejected. The reports
// must not include that of this gateway.
func SuspectedByPeers(reports []PeerReport) map[uint32]bool {
	suspectors := make(map[uint32]int)
	for _, peer := range reports {
		if !peer.ejectionsCount() {
			continue
		}
		for _, hash := range slices.Compact(slices.Sorted(slices.Values(peer.Ejected))) {
			suspectors[hash]++
		}
	}
	suspected := make(map[uint32]bool)
	for hash, n := range suspectors {
		if n >= minSuspectors {
			suspected[hash] = true
		}
	}
	return suspected
}

// Demands returns the demand of each gateway to use in an assignment, in weighted requests a second: the reported
// demand, limited to a range around the median of all reported demands. It is 0, for unknown, if a gateway has
// reported no demand or its report has expired. The limits ensure that a gateway that reports a wrong demand gets at
// most eight times the share of a median gateway and leaves every other gateway a share.
func Demands(reports []PeerReport) []float64 {
	demands := make([]float64, len(reports))
	median := medianDemand(reports)
	if median <= 0 {
		return demands
	}
	for i := range reports {
		if peer := &reports[i]; peer.demandCounts() {
			demands[i] = min(max(peer.Demand, median*minOverMedian), median*maxOverMedian)
		}
	}
	return demands
}

// medianDemand returns the median of the known demands. If the median is 0, it returns the lowest demand above 0, or
// 0 if there is none.
func medianDemand(reports []PeerReport) float64 {
	var known []float64
	for i := range reports {
		if reports[i].demandCounts() {
			known = append(known, reports[i].Demand)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	if median := known[len(known)/2]; median > 0 {
		return median
	}
	if at := slices.IndexFunc(known, func(demand float64) bool { return demand > 0 }); at >= 0 {
		return known[at]
	}
	return 0
}
