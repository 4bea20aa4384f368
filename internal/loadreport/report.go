// Package loadreport encodes what a gateway reports to the others of its own state in the payload that its membership
// spreads, and reads theirs with care: old reports fade, and one gateway's report counts only so far. It does no I/O
// and reads no clock.
//
//   - codec.go: [Append] and [Parse], a [Report]'s form in a payload of at most 64 bytes.
//   - reporter.go: [Reporter], when a gateway reports anew.
//   - peers.go: [Demands] and [SuspectedByPeers], what the others' reports come to.
//
// docs/design/assignment.md gives the reasons.
package loadreport

import "slices"

// MaxEjected is how many endpoints a report names.
const MaxEjected = 12

// Report is what a gateway reports of itself.
type Report struct {
	Zone         int
	Demand       float64 // weighted requests a second; 0: none, below 0: not known yet
	Rejected     float64 // share of the demand, 0 to 1
	FreeCapacity float64 // share of its endpoints' limits that is free, 0 to 1
	LocalHealth  int     // 0 is well, 8 is worst
	Known        bool    // demand and the rest were reported; else the zone alone
	// ConfigHash is a hash of what slow-start tokens rest on, so that gateways whose files differ find out.
	ConfigHash uint32
	// Ejected are the endpoints that this gateway has ejected, by EndpointHash, sorted, MaxEjected at most.
	Ejected []uint32
}

// EndpointHash is an endpoint's number in a report. Two endpoints of a cluster of 200 have the same in one of 200,000
// clusters, and suspicion alone ejects nobody.
func EndpointHash(endpoint uint64) uint32 { return uint32(endpoint ^ endpoint>>32) }

// EndpointHashes are the sorted hashes of endpoints, the first [MaxEjected] of them.
func EndpointHashes(endpoints []uint64) []uint32 {
	var hashes []uint32
	for _, endpoint := range endpoints {
		hashes = append(hashes, EndpointHash(endpoint))
	}
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	return hashes[:min(len(hashes), MaxEjected)]
}
