// Package gossipcodec encodes and decodes the datagrams between the gateways of one cluster. They use protobuf's wire
// format, contain a version, and are at most 256 bytes long. Receivers skip unknown fields. The package does no I/O.
//
// [Append] starts a datagram, [AppendClaim] adds claims while there is room, and [Parse] decodes it.
// docs/reference/gossip.md contains the schema. The schema calls the cluster, PingRequest, DuplicateName, Digest and
// BucketSums by the names fleet, ask, twin, view and sums.
package gossipcodec

import "net/netip"

// Limits of a datagram and its fields.
const (
	MaxDatagram = 256 // bytes
	MaxName     = 32  // bytes of the name of a cluster or member
	MaxPayload  = 64  // bytes of the payload of a claim
	Buckets     = 32  // number of bucket sums in a Digest
	Version     = 1   // version of the format
	maxClaims   = 32  // claims in a datagram

	MaxStart       = 1 << 46 // highest start of a process, in ms of Unix time
	MaxIncarnation = 1 << 40 // highest incarnation of a claim
)

// Kind is the purpose of a datagram.
type Kind uint8

// The kinds of datagrams. Their numbers are part of the wire format.
const (
	Ping          Kind = iota + 1 // requests an Ack with the same Seq
	Ack                           // states that the sender, or the target of a PingRequest, is alive
	PingRequest                   // requests the receiver to ping Target and to answer with an Ack or a Nack
	Nack                          // states that the target of a PingRequest did not answer or is unknown
	Gossip                        // carries only claims
	Digest                        // carries the bucket sums of the sender's membership; Reply marks an answer
	DuplicateName                 // reports another living process with the receiver's name, which started at Seq
	maxKind       = DuplicateName
)

// State is the state of a member according to a claim.
type State uint8

// The states. Among claims of one incarnation, a later state in this list supersedes an earlier one. Their numbers
// are part of the wire format.
const (
	Alive    State = iota
	Suspect        // did not answer a probe and has not refuted the suspicion yet
	Gone           // considered dead
	Left           // announced that it leaves the cluster
	maxState = Left
)

// String returns the name of the state for operators.
func (s State) String() string {
	if s > maxState {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "gone", "left"}[s]
}

// Claim is a statement about one process of one member: the state that the claim's originator assumes.
type Claim struct {
	Name        string
	Start       uint64 // when the process started, in ms of Unix time
	Incarnation uint64
	State       State
	SuspectedBy string // name of the member that suspects it; empty if not stated
	Payload     []byte
	Addr        netip.AddrPort // the member's address in a flat network; otherwise invalid
}

// Message is a decoded datagram.
type Message struct {
	Cluster    string
	From       string
	Start      uint64 // when the sender's process started, in ms of Unix time
	Kind       Kind
	Seq        uint64
	Target     string   // name of the member to ping; only in a PingRequest
	Digest     uint64   // digest over the sender's membership
	BucketSums []uint32 // one for each bucket; only in a Digest
	Reply      bool     // whether it answers another Digest; only in a Digest
	Claims     []Claim
}

// Field numbers of a datagram. A new field gets a new number; a number never changes its meaning.
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

// ValidName reports whether s is a valid name of a member or cluster: 1 to [MaxName] printable ASCII characters
// without spaces.
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
