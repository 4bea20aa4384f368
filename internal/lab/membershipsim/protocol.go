package membershipsim

import (
	"iter"
	"net/netip"
	"time"

	"thymebend/internal/membership"
)

// Protocol is the protocol that a node runs: a membership.Membership, or the Heartbeats baseline.
type Protocol interface {
	Advance(now time.Duration)
	Receive(now time.Duration, from netip.AddrPort, data []byte)
	Take() []membership.Datagram
	NextWake() time.Duration
	Members() []membership.Member
	Find(name string) (membership.Member, bool)
	Others() iter.Seq[*membership.Member]
	Status(now time.Duration) membership.Status
	Counts() membership.Counts
	Leave(now time.Duration)
}
