package loadreport

import (
	"slices"
	"time"
)

// ReportLifetime is how long the report of a member counts that is not alive any more.
const ReportLifetime = 10 * time.Second

// Bounds of what peers' reports can do.
const (
	// One gateway's demand counts for so much at most and at least, over the median of those known.
	maxOverMedian = 8.0
	minOverMedian = 1.0 / 64
	// minSuspectors have to eject an endpoint for it to be suspected: one gateway that lies or is slow must not
	// change its fate.
	minSuspectors = 2
	// reporterHealthLimit is the local health from which on a gateway is no witness.
	reporterHealthLimit = 4
)

// PeerReport is a member's last report, and for how long the member has not been alive; 0 while it is.
type PeerReport struct {
	Report
	Silent time.Duration
}

// demandCounts reports whether the demand is known and not too old.
func (p *PeerReport) demandCounts() bool {
	return p.Known && p.Demand >= 0 && p.Silent < ReportLifetime
}

// ejectionsCount reports whether what the peer ejects counts: it is alive now and well itself.
func (p *PeerReport) ejectionsCount() bool {
	return p.Known && p.Silent <= 0 && p.LocalHealth < reporterHealthLimit
}

// SuspectedByPeers are the hashes of endpoints that several other gateways have ejected. The reports must not hold
// the own one.
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

// Demands are what each gateway counts for in an assignment, in weighted requests a second: what it reported, within
// bounds around the median of all that did; 0, unknown, for those that reported nothing or whose report is too old.
// So one that lies takes eight shares at most, and takes from nobody all.
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

// medianDemand is the median of those known, or the least above 0 where half have nothing; 0 where none is above 0.
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
