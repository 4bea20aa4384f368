package membership

import (
	"net/netip"
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// epoch is the time at which the tests start, in Unix time.
const epoch = 1_700_000_000 * time.Second

// addr returns the address of the n-th gateway.
func addr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7946)
}

// newMembership returns the membership of gateway a with the seed peers b and c. edit, if not nil, may change the
// configuration first.
func newMembership(t *testing.T, edit func(*Config), options ...Option) *Membership {
	t.Helper()
	cfg := Config{Cluster: "f", Name: "a", Start: 1000, Seed: 1,
		SeedPeers: []SeedPeer{{"a", addr(1)}, {"b", addr(2)}, {"c", addr(3)}}}
	if edit != nil {
		edit(&cfg)
	}
	m, err := New(cfg, epoch, options...)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// datagram encodes a datagram of another gateway.
func datagram(from string, start uint64, kind gossipcodec.Kind, claims ...gossipcodec.Claim) []byte {
	b := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "f", From: from, Start: start, Kind: kind, Seq: 5})
	for i := range claims {
		b, _ = gossipcodec.AppendClaim(b, &claims[i])
	}
	return b
}

// findInList finds a member in the list that Members returns.
func findInList(m *Membership, name string) (Member, bool) {
	for _, member := range m.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}
