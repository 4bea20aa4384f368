// Package gossipcodec is the datagram between gateways of one fleet, on protobuf's wire format: a version, unknown fields
// skipped, 256 bytes at most. docs/reference/fleetwire.md has the schema. It does no I/O.
package gossipcodec

import (
	"errors"
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// Bounds of what a datagram may hold.
const (
	MaxDatagram = 256 // bytes of a datagram
	MaxName     = 32  // bytes of a name, of a fleet or of a member
	MaxPayload  = 64  // bytes
	Buckets     = 32  // of a view's digest
	Version     = 1
	mostNews    = 32

	MaxStart       = 1 << 46 // ms of Unix time
	MaxIncarnation = 1 << 40
)

// Kind is what a datagram asks or answers.
type Kind uint8

// The kinds. A Ping is answered by an Ack with its Seq; an Ask has the receiver ping Target and answer by an Ack, or a
// Nack where Target does not answer; Gossip carries news alone; Digest has the sums of the sender's buckets, Reply set
// where it answers one; Twin tells of another living process of the receiver's name.
const (
	Ping Kind = iota + 1
	Ack
	PingRequest
	Nack
	Gossip
	Digest
	DuplicateName
	lastKind = DuplicateName
)

// State is what a claim says of a member.
type State uint8

// The states, in the order of their strength among claims of one incarnation.
const (
	Alive State = iota
	Suspect
	Gone
	Left
	lastState = Left
)

// String names a state as operators read it.
func (s State) String() string {
	if s > lastState {
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
	SuspectedBy string // who suspects it
	Payload     []byte
	Addr        netip.AddrPort // where it is heard, in a flat network; not valid else
}

// Message is one datagram.
type Message struct {
	Cluster string
	From    string
	Start   uint64
	Kind    Kind
	Seq     uint64
	Target  string // of an Ask
	View    uint64 // digest of the sender's view
	Sums    []uint32
	Reply   bool
	Claims  []Claim
}

// Field numbers. A new field gets a new number; an old one is never given another meaning.
const (
	fieldVersion = iota + 1
	fieldFleet
	fieldFrom
	fieldStart
	fieldKind
	fieldSeq
	fieldTarget
	fieldView
	fieldSums
	fieldReply
	fieldNews
)

const (
	claimName = iota + 1
	claimStart
	claimIncarnation
	claimState
	claimBy
	claimPayload
	claimAddr
)

// ErrVersion is that of a datagram of a version that is not known here.
var ErrVersion = errors.New("fleetwire: unknown version")

// Append words a message without its news.
func Append(b []byte, m *Message) []byte {
	b = protowire.AppendTag(b, fieldVersion, protowire.VarintType)
	b = protowire.AppendVarint(b, Version)
	b = text(b, fieldFleet, m.Cluster)
	b = text(b, fieldFrom, m.From)
	b = number(b, fieldStart, m.Start)
	b = number(b, fieldKind, uint64(m.Kind))
	b = number(b, fieldSeq, m.Seq)
	b = text(b, fieldTarget, m.Target)
	if m.View != 0 {
		b = protowire.AppendTag(b, fieldView, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, m.View)
	}
	if len(m.Sums) > 0 {
		b = protowire.AppendTag(b, fieldSums, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(4*len(m.Sums)))
		for _, s := range m.Sums {
			b = protowire.AppendFixed32(b, s)
		}
	}
	if m.Reply {
		b = number(b, fieldReply, 1)
	}
	return b
}

// AppendClaim adds one claim to a worded message, if it fits; ok is false if it does not.
func AppendClaim(b []byte, c *Claim) (out []byte, ok bool) {
	var scratch [MaxDatagram]byte
	in := text(scratch[:0], claimName, c.Name)
	in = number(in, claimStart, c.Start)
	in = number(in, claimIncarnation, c.Incarnation)
	in = number(in, claimState, uint64(c.State))
	in = text(in, claimBy, c.SuspectedBy)
	in = text(in, claimPayload, string(c.Payload))
	if c.Addr.IsValid() && c.Addr.Addr().Is4() {
		raw := c.Addr.Addr().As4()
		in = text(in, claimAddr, string(append(raw[:], byte(c.Addr.Port()>>8), byte(c.Addr.Port()))))
	}
	if len(b)+len(in)+3 > MaxDatagram {
		return b, false
	}
	b = protowire.AppendTag(b, fieldNews, protowire.BytesType)
	return protowire.AppendBytes(b, in), true
}

func text(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

func number(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

// field is one field as it stands on the wire.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// each walks over the fields of a message. Groups and broken fields are errors.
func each(b []byte, do func(field) error) error {
	for len(b) > 0 {
		n, t, used := protowire.ConsumeTag(b)
		if used < 0 {
			return fmt.Errorf("fleetwire: %w", protowire.ParseError(used))
		}
		b = b[used:]
		f := field{number: n}
		switch t {
		case protowire.VarintType:
			f.value, used = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.value, used = protowire.ConsumeFixed64(b)
		case protowire.Fixed32Type:
			var v uint32
			v, used = protowire.ConsumeFixed32(b)
			f.value = uint64(v)
		case protowire.BytesType:
			f.bytes, used = protowire.ConsumeBytes(b)
		default:
			return fmt.Errorf("fleetwire: field %d has wire type %d", n, t)
		}
		if used < 0 {
			return fmt.Errorf("fleetwire: field %d: %w", n, protowire.ParseError(used))
		}
		b = b[used:]
		if err := do(f); err != nil {
			return err
		}
	}
	return nil
}

// Parse reads a datagram. What it returns owns its memory.
func Parse(b []byte) (*Message, error) {
	if len(b) > MaxDatagram {
		return nil, fmt.Errorf("fleetwire: %d bytes, %d at most", len(b), MaxDatagram)
	}
	m := &Message{}
	version := uint64(0)
	err := each(b, func(f field) error {
		switch f.number {
		case fieldVersion:
			version = f.value
		case fieldFleet:
			m.Cluster = string(f.bytes)
		case fieldFrom:
			m.From = string(f.bytes)
		case fieldStart:
			m.Start = f.value
		case fieldKind:
			m.Kind = Kind(min(f.value, 255))
		case fieldSeq:
			m.Seq = f.value
		case fieldTarget:
			m.Target = string(f.bytes)
		case fieldView:
			m.View = f.value
		case fieldSums:
			if len(f.bytes) != 4*Buckets {
				return fmt.Errorf("fleetwire: %d bytes of sums, want %d", len(f.bytes), 4*Buckets)
			}
			m.Sums = m.Sums[:0]
			for rest := f.bytes; len(rest) > 0; rest = rest[4:] {
				v, _ := protowire.ConsumeFixed32(rest) // four bytes are there
				m.Sums = append(m.Sums, v)
			}
		case fieldReply:
			m.Reply = f.value != 0
		case fieldNews:
			if len(m.Claims) == mostNews {
				return fmt.Errorf("fleetwire: more than %d claims", mostNews)
			}
			c, err := parseClaim(f.bytes)
			if err != nil {
				return err
			}
			m.Claims = append(m.Claims, c)
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, err
	case version != Version:
		return nil, fmt.Errorf("%w %d", ErrVersion, version)
	case m.Start > MaxStart:
		return nil, fmt.Errorf("fleetwire: from a process started at %d", m.Start)
	case !Name(m.From):
		return nil, fmt.Errorf("fleetwire: from %q is no name", m.From)
	case m.Target != "" && !Name(m.Target):
		return nil, fmt.Errorf("fleetwire: target %q is no name", m.Target)
	case m.Kind == 0 || m.Kind > lastKind:
		return nil, fmt.Errorf("fleetwire: unknown kind %d", m.Kind)
	case m.Kind == PingRequest && m.Target == "" || m.Kind == Digest && m.Sums == nil:
		return nil, fmt.Errorf("fleetwire: kind %d lacks what it needs", m.Kind)
	}
	return m, nil
}

func parseClaim(b []byte) (Claim, error) {
	var c Claim
	state := uint64(0)
	err := each(b, func(f field) error {
		switch f.number {
		case claimName:
			c.Name = string(f.bytes)
		case claimStart:
			c.Start = f.value
		case claimIncarnation:
			c.Incarnation = f.value
		case claimState:
			state = f.value
		case claimBy:
			c.SuspectedBy = string(f.bytes)
		case claimPayload:
			c.Payload = append([]byte(nil), f.bytes...)
		case claimAddr:
			if len(f.bytes) != 6 {
				return fmt.Errorf("fleetwire: an address of %d bytes", len(f.bytes))
			}
			c.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte(f.bytes[:4])), uint16(f.bytes[4])<<8|uint16(f.bytes[5]))
		}
		return nil
	})
	switch {
	case err != nil:
		return c, err
	case !Name(c.Name) || c.SuspectedBy != "" && !Name(c.SuspectedBy):
		return c, fmt.Errorf("fleetwire: a claim about %q by %q", c.Name, c.SuspectedBy)
	case state > uint64(lastState):
		return c, fmt.Errorf("fleetwire: unknown state %d of %s", state, c.Name)
	case len(c.Payload) > MaxPayload:
		return c, fmt.Errorf("fleetwire: a payload of %d bytes, %d at most", len(c.Payload), MaxPayload)
	case c.Start > MaxStart || c.Incarnation > MaxIncarnation:
		return c, fmt.Errorf("fleetwire: %s started at %d, incarnation %d", c.Name, c.Start, c.Incarnation)
	}
	c.State = State(state)
	return c, nil
}

// Name reports whether a text can name a member or a fleet: 1 to 32 printable ASCII characters, without spaces.
func Name(s string) bool {
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
