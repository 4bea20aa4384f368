// Package loadreport handles the load reports that the gateways of a cluster exchange as payloads of the membership
// protocol: it encodes the report of this gateway and evaluates the reports of the others. Old reports expire, and
// the influence of a single gateway's report is bounded. The package does no I/O and reads no clock.
//
//   - codec.go: [Append] and [Parse] write and read a [Report] as a payload of at most 64 bytes.
//   - reporter.go: [Reporter] decides when a gateway sends its next report.
//   - peers.go: [Demands] and [SuspectedByPeers] evaluate the reports of the other gateways.
//
// docs/design/assignment.md gives the reasons.
package loadreport

import "slices"

// MaxEjected is the maximum number of ejected endpoints in a report.
const MaxEjected = 12

// Report is the state that a gateway reports to the other gateways.
type Report struct {
	Zone         int
	Demand       float64 // in weighted requests a second; 0: none, below 0: not known yet
	Rejected     float64 // rejected share of the demand, 0 to 1
	FreeCapacity float64 // unused share of the concurrency limits of its endpoints, 0 to 1
	LocalHealth  int     // 0 is healthy, 8 is worst
	HasFigures   bool    // the report has all fields; else only Zone is set
	// ConfigHash is a hash of the settings that slow-start tokens depend on. Gateways compare it to detect that their
	// configuration files differ.
	ConfigHash uint32
	// Ejected lists the endpoints that this gateway has ejected, as sorted values of EndpointHash, at most
	// MaxEjected.
	Ejected []uint32
}

// EndpointHash returns the hash that identifies an endpoint in a report. In a cluster of 200 endpoints, two have the
// same hash with a chance of 1 in 200,000. This is acceptable, because suspicion alone does not eject an endpoint.
func EndpointHash(endpoint uint64) uint32 { return uint32(endpoint ^ endpoint>>32) }

// EndpointHashes returns the sorted hashes of endpoints without duplicates, truncated to [MaxEjected].
func EndpointHashes(endpoints []uint64) []uint32 {
	var hashes []uint32
	for _, endpoint := range endpoints {
		hashes = append(hashes, EndpointHash(endpoint))
	}
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	return hashes[:min(len(hashes), MaxEjected)]
}
