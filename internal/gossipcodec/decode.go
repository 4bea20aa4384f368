package gossipcodec

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"
)

// addrBytes is the encoded length of an IPv4 address with its port.
const addrBytes = 6

// field is one decoded field of the wire format.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField calls fn for each field of an encoded message, in order, until fn returns an error. For groups and for
// fields that cannot be decoded it returns a *FieldError.
func eachField(b []byte, fn func(field) error) error {
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			cause := protowire.ParseError(n)
			return &FieldError{reason: cause.Error(), cause: cause}
		}
		b = b[n:]
		f := field{number: number}
		switch wireType {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.value, n = protowire.ConsumeFixed64(b)
		case protowire.Fixed32Type:
			var v uint32
			v, n = protowire.ConsumeFixed32(b)
			f.value = uint64(v)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			return fieldErrorf(strconv.Itoa(int(number)), "field %d has unsupported wire type %d", number, wireType)
		}
		if n < 0 {
			cause := protowire.ParseError(n)
			return &FieldError{Field: strconv.Itoa(int(number)), cause: cause,
				reason: fmt.Sprintf("field %d: %v", number, cause)}
		}
		b = b[n:]
		if err := fn(f); err != nil {
			return err
		}
	}
	return nil
}

// Parse decodes a datagram. The message does not refer to b. Errors match [ErrTooLong] or [ErrVersion] with
// errors.Is, or are of type [*FieldError].
func Parse(b []byte) (*Message, error) {
	if len(b) > MaxDatagram {
		return nil, lengthError(len(b))
	}
	m := &Message{}
	version := uint64(0)
	err := eachField(b, func(f field) error {
		if f.number == fieldVersion {
			version = f.value
			return nil
		}
		return m.setField(f)
	})
	switch {
	case err != nil:
		return nil, err
	case version != Version:
		return nil, fmt.Errorf("%w %d", ErrVersion, version)
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	return m, nil
}

// setField stores one decoded field in m and ignores unknown fields.
func (m *Message) setField(f field) (err error) {
	switch f.number {
	case fieldCluster:
		m.Cluster = string(f.bytes)
	case fieldFrom:
		m.From = string(f.bytes)
	case fieldStart:
		m.Start = f.value
	case fieldKind:
		m.Kind = Kind(min(f.value, math.MaxUint8))
	case fieldSeq:
		m.Seq = f.value
	case fieldTarget:
		m.Target = string(f.bytes)
	case fieldDigest:
		m.Digest = f.value
	case fieldBucketSums:
		m.BucketSums, err = parseBucketSums(f.bytes)
	case fieldReply:
		m.Reply = f.value != 0
	case fieldClaim:
		if len(m.Claims) == maxClaims {
			return fieldErrorf("news", "datagram has more than %d claims", maxClaims)
		}
		var c Claim
		if c, err = parseClaim(f.bytes); err == nil {
			m.Claims = append(m.Claims, c)
		}
	}
	return err
}

func parseBucketSums(b []byte) ([]uint32, error) {
	if len(b) != 4*Buckets {
		return nil, fieldErrorf("sums", "bucket sums of %d bytes, want %d", len(b), 4*Buckets)
	}
	sums := make([]uint32, 0, Buckets)
	for remaining := b; len(remaining) > 0; remaining = remaining[4:] {
		v, _ := protowire.ConsumeFixed32(remaining) // cannot fail: remaining has at least four bytes
		sums = append(sums, v)
	}
	return sums, nil
}

func (m *Message) validate() error {
	switch {
	case m.Start > MaxStart:
		return fieldErrorf("start", "process start %d of the sender exceeds the maximum of %d", m.Start,
			uint64(MaxStart))
	case !ValidName(m.From):
		return fieldErrorf("from", "sender name %q is not valid", m.From)
	case m.Target != "" && !ValidName(m.Target):
		return fieldErrorf("target", "target name %q is not valid", m.Target)
	case m.Kind == 0 || m.Kind > maxKind:
		return fieldErrorf("kind", "unknown kind %d of datagram", m.Kind)
	case m.Kind == PingRequest && m.Target == "":
		return fieldErrorf("target", "ping request lacks its target")
	case m.Kind == Digest && m.BucketSums == nil:
		return fieldErrorf("sums", "digest lacks its bucket sums")
	}
	return nil
}

func parseClaim(b []byte) (Claim, error) {
	var c Claim
	state := uint64(0)
	err := eachField(b, func(f field) error {
		switch f.number {
		case claimName:
			c.Name = string(f.bytes)
		case claimStart:
			c.Start = f.value
		case claimIncarnation:
			c.Incarnation = f.value
		case claimState:
			state = f.value
		case claimSuspectedBy:
			c.SuspectedBy = string(f.bytes)
		case claimPayload:
			c.Payload = append([]byte(nil), f.bytes...)
		case claimAddr:
			if len(f.bytes) != addrBytes {
				return fieldErrorf("addr", "address of %d bytes, want %d", len(f.bytes), addrBytes)
			}
			port := uint16(f.bytes[4])<<8 | uint16(f.bytes[5])
			c.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte(f.bytes[:4])), port)
		}
		return nil
	})
	switch {
	case err != nil:
		return c, err
	case !ValidName(c.Name):
		return c, fieldErrorf("name", "member name %q in a claim is not valid", c.Name)
	case c.SuspectedBy != "" && !ValidName(c.SuspectedBy):
		return c, fieldErrorf("by", "name %q of the suspecting member in a claim about %s is not valid", c.SuspectedBy,
			c.Name)
	case state > uint64(maxState):
		return c, fieldErrorf("state", "unknown state %d in a claim about %s", state, c.Name)
	case len(c.Payload) > MaxPayload:
		return c, fieldErrorf("payload", "payload of %d bytes exceeds the maximum of %d bytes", len(c.Payload),
			MaxPayload)
	case c.Start > MaxStart:
		return c, fieldErrorf("start",
			"process start %d, incarnation %d in a claim about %s: the start exceeds the maximum of %d",
			c.Start, c.Incarnation, c.Name, uint64(MaxStart))
	case c.Incarnation > MaxIncarnation:
		return c, fieldErrorf("incarnation",
			"process start %d, incarnation %d in a claim about %s: the incarnation exceeds the maximum of %d",
			c.Start, c.Incarnation, c.Name, uint64(MaxIncarnation))
	}
	c.State = State(state)
	return c, nil
}
