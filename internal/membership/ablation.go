package membership

// Refinement is an addition to plain SWIM. A gateway always runs with all of them; the laboratory leaves one out to
// show what it is worth.
type Refinement uint8

// The refinements.
const (
	// RingProbing has every second probe go to the next member by name, so that somebody probes each of them.
	RingProbing Refinement = 1 << iota
	// Confirmation shortens a suspicion with independent confirmations. Without it, one lasts suspicionMin.
	Confirmation
	// Verification has this gateway probe a member once more itself before it takes it for gone.
	Verification
	// LocalHealthAwareness stretches this gateway's own times while it is slow itself.
	LocalHealthAwareness
	// AntiEntropy compares memberships by their digests.
	AntiEntropy
	// Reconnection probes members believed gone and seed peers never heard of.
	Reconnection
)

// includes reports whether a refinement is left out.
func (r Refinement) includes(other Refinement) bool { return r&other != 0 }

// Option changes how [New] builds a Membership.
type Option func(*Membership)

// Without leaves refinements out. Only packages below internal/lab may use it; a test holds them to that.
func Without(refinements Refinement) Option {
	return func(m *Membership) { m.disabled = refinements }
}
