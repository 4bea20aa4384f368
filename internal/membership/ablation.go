package membership

// Refinement is a set of additions to plain SWIM. A gateway always runs with all of them; the laboratory disables one
// to measure its benefit.
type Refinement uint8

// The refinements of plain SWIM.
const (
	// RingProbing sends every second periodic probe to the next member by name, so that each member has a gateway
	// that probes it regularly.
	RingProbing Refinement = 1 << iota
	// Confirmation lets independent confirmations shorten a suspicion. Without it, every suspicion lasts
	// suspicionMin.
	Confirmation
	// Verification makes this gateway probe a member once more itself before it considers it gone.
	Verification
	// LocalHealthAwareness stretches this gateway's timeouts while the gateway itself is slow.
	LocalHealthAwareness
	// AntiEntropy compares memberships by their digests and repairs differences.
	AntiEntropy
	// Reconnection probes members that are considered gone and seed peers without contact yet.
	Reconnection
)

// includes reports whether the set contains other.
func (r Refinement) includes(other Refinement) bool { return r&other != 0 }

// Option changes how [New] builds a Membership.
type Option func(*Membership)

// Without disables refinements. Only packages below internal/lab may use it; a test verifies this.
func Without(refinements Refinement) Option {
	return func(m *Membership) { m.disabled = refinements }
}
