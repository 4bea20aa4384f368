package gossipcodec

import "google.golang.org/protobuf/encoding/protowire"

// claimHeaderBytes is the maximum size of the tag and length that precede a claim.
const claimHeaderBytes = 3

// Append appends the encoding of m, without its claims, to b and returns the result. [AppendClaim] adds claims.
func Append(b []byte, m *Message) []byte {
	b = protowire.AppendTag(b, fieldVersion, protowire.VarintType)
	b = protowire.AppendVarint(b, Version)
	b = appendString(b, fieldCluster, m.Cluster)
	b = appendString(b, fieldFrom, m.From)
	b = appendNumber(b, fieldStart, m.Start)
	b = appendNumber(b, fieldKind, uint64(m.Kind))
	b = appendNumber(b, fieldSeq, m.Seq)
	b = appendString(b, fieldTarget, m.Target)
	if m.Digest != 0 {
		b = protowire.AppendTag(b, fieldDigest, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, m.Digest)
	}
	if len(m.BucketSums) > 0 {
		b = protowire.AppendTag(b, fieldBucketSums, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(4*len(m.BucketSums)))
		for _, sum := range m.BucketSums {
			b = protowire.AppendFixed32(b, sum)
		}
	}
	if m.Reply {
		b = appendNumber(b, fieldReply, 1)
	}
	return b
}

// AppendClaim appends one claim to the datagram b. If the datagram would exceed [MaxDatagram] bytes, out is b and ok
// is false.
func AppendClaim(b []byte, c *Claim) (out []byte, ok bool) {
	var scratch [MaxDatagram]byte
	claim := appendString(scratch[:0], claimName, c.Name)
	claim = appendNumber(claim, claimStart, c.Start)
	claim = appendNumber(claim, claimIncarnation, c.Incarnation)
	claim = appendNumber(claim, claimState, uint64(c.State))
	claim = appendString(claim, claimSuspectedBy, c.SuspectedBy)
	claim = appendString(claim, claimPayload, string(c.Payload))
	if c.Addr.IsValid() && c.Addr.Addr().Is4() {
		raw, port := c.Addr.Addr().As4(), c.Addr.Port()
		claim = appendString(claim, claimAddr, string(append(raw[:], byte(port>>8), byte(port))))
	}
	if len(b)+len(claim)+claimHeaderBytes > MaxDatagram {
		return b, false
	}
	b = protowire.AppendTag(b, fieldClaim, protowire.BytesType)
	return protowire.AppendBytes(b, claim), true
}

// appendString appends a field of bytes, unless s is empty.
func appendString(b []byte, number protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, number, protowire.BytesType), s)
}

// appendNumber appends a varint field, unless v is 0.
func appendNumber(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), v)
}
