// Package gossipcodec encodes and decodes the datagrams between the gateways of one cluster, in protobuf's wire format:
// a version, unknown fields skipped, 256 bytes at most. It does no I/O.
//
// A datagram is begun by [Append] and filled with [AppendClaim] as far as there is room; [Parse] reads it.
// docs/reference/gossip.md has the schema. The wire's names for what this package calls the cluster, PingRequest,
// DuplicateName, Digest and BucketSums are fleet, ask, twin, view and sums.
package gossipcodec

import "net/netip"

// Bounds of what a datagram may hold.
const (
	MaxDatagram = 256 // bytes
	MaxName     = 32  // bytes, of a cluster's or a member's name
	MaxPayload  = 64  // bytes
	Buckets     = 32  // of the sums over a membership
	Version     = 1
	maxClaims   = 32

	MaxStart       = 1 << 46 // ms of Unix time
	MaxIncarnation = 1 << 40
)

// Kind is what a datagram asks or answers.
type Kind uint8

// The kinds.
const (
	Ping          Kind = iota + 1 // is answered by an Ack with its Seq
	Ack                           // the sender, or the target of a PingRequest, is alive
	PingRequest                   // has the receiver ping Target and answer with an Ack or a Nack
	Nack                          // the target of a PingRequest did not answer
	Gossip                        // carries claims alone
	Digest                        // has the sums over the sender's membership; Reply is set where it answers one
	DuplicateName                 // another living process has the receiver's name; Seq is that one's start
	maxKind       = DuplicateName
)

// State is what a claim says of a member.
type State uint8

// The states, in the order of their strength among claims of one incarnation.
const (
	Alive State = iota
	Suspect
	Gone
	Left
	maxState = Left
)

// String names a state as operators read it.
func (s State) String() string {
	if s > maxState {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "gone", "left"}[s]
}

// Claim is what is said of one process of one member.
type Claim struct {
	Name        string
	Start       uint64 // of its process, ms of Unix time
	Incarnation uint64
	State       State
	SuspectedBy string // empty where that is not said
	Payload     []byte
	Addr        netip.AddrPort // where it is reached, in a flat network; else not valid
}

// Message is one datagram.
type Message struct {
	Cluster    string
	From       string
	Start      uint64 // of the sender's process, ms of Unix time
	Kind       Kind
	Seq        uint64
	Target     string   // of a PingRequest
	Digest     uint64   // digest of the sender's membership
	BucketSums []uint32 // of a Digest, one for each bucket
	Reply      bool     // of a Digest
	Claims     []Claim
}

// Field numbers of a datagram. A new field gets a new number; an old one is never given another meaning.
const (
	fieldVersion = iota + 1
	fieldCluster
	fieldFrom
	fieldStart
	fieldKind
	fieldSeq
	fieldTarget
	fieldDigest
	fieldBucketSums
	fieldReply
	fieldClaim
)

// Field numbers of a claim.
const (
	claimName = iota + 1
	claimStart
	claimIncarnation
	claimState
	claimSuspectedBy
	claimPayload
	claimAddr
)

// ValidName reports whether a text can name a member or a cluster: 1 to [MaxName] printable ASCII characters, without
// spaces.
func ValidName(s string) bool {
	if len(s) == 0 || len(s) > MaxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
