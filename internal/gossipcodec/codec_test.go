package gossipcodec

import (
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// fullMessage returns a message with all fields except those of a Digest, and its claims.
func fullMessage() (*Message, []Claim) {
	m := &Message{Cluster: "f", From: "g-1", Start: 1700000000123, Kind: PingRequest, Seq: 77, Target: "g-2",
		Digest: 0xfeed}
	return m, []Claim{
		{Name: "g-3", Start: 1700000000001, Incarnation: 4, State: Suspect, SuspectedBy: "g-1"},
		{Name: "g-4", Start: 1, Incarnation: 1, State: Alive, Payload: []byte("zone=1"),
			Addr: netip.MustParseAddrPort("10.0.0.4:7946")},
		{Name: "g-5", Start: 2, State: Left},
	}
}

func encode(t *testing.T, m *Message, claims []Claim) []byte {
	t.Helper()
	b := Append(nil, m)
	for i := range claims {
		var ok bool
		if b, ok = AppendClaim(b, &claims[i]); !ok {
			t.Fatalf("claim %d does not fit", i)
		}
	}
	return b
}

func TestParseReadsWhatAppendWrites(t *testing.T) {
	m, claims := fullMessage()
	got, err := Parse(encode(t, m, claims))
	m.Claims = claims
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("error %v, decoded\n%+v\nwant\n%+v", err, got, m)
	}
	sums := make([]uint32, Buckets)
	sums[31] = 7
	digest := &Message{Cluster: "f", From: "g", Start: 1, Kind: Digest, BucketSums: sums, Reply: true}
	if got, err := Parse(encode(t, digest, nil)); err != nil || !reflect.DeepEqual(got, digest) {
		t.Errorf("error %v, decoded %+v, want %+v", err, got, digest)
	}
}

// Verifies that fields which a later version adds to a datagram or a claim do not cause its rejection.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	m, claims := fullMessage()
	b := encode(t, m, claims[:1])
	for _, extra := range [][]byte{
		protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 5),
		protowire.AppendString(protowire.AppendTag(nil, 100, protowire.BytesType), "later"),
		protowire.AppendFixed32(protowire.AppendTag(nil, 101, protowire.Fixed32Type), 9),
	} {
		b = append(b, extra...)
	}
	claim := appendString(appendString(nil, claimName, "g-9"), 55, "later")
	claim = protowire.AppendFixed64(protowire.AppendTag(claim, 56, protowire.Fixed64Type), 1)
	b = protowire.AppendBytes(protowire.AppendTag(b, fieldClaim, protowire.BytesType), claim)
	got, err := Parse(b)
	if err != nil || len(got.Claims) != 2 || got.Claims[1].Name != "g-9" {
		t.Errorf("error %v, decoded %+v, want two claims", err, got)
	}
}

// Verifies that an error of Parse names the fault and the invalid field, or matches its exported error.
func TestParseErrorsNameTheField(t *testing.T) {
	m, claims := fullMessage()
	message := func(change func(*Message)) []byte {
		c := *m
		change(&c)
		return encode(t, &c, nil)
	}
	claim := func(change func(*Claim)) []byte {
		c := claims[1]
		change(&c)
		return encode(t, m, []Claim{c})
	}
	later := protowire.AppendVarint(protowire.AppendTag(nil, fieldVersion, protowire.VarintType), 2)
	for _, test := range []struct {
		name  string
		data  []byte
		text  string
		cause error  // the error that it must match, or nil
		field string // the field that it must name if cause is nil
	}{
		{"too long", make([]byte, MaxDatagram+1), "datagram of 257 bytes", ErrTooLong, ""},
		{"later version", append(encode(t, m, nil), later...), "unknown version 2", ErrVersion, ""},
		{"invalid sender name", message(func(m *Message) { m.From = "a b" }),
			`sender name "a b" is not valid`, nil, "from"},
		{"target name too long", message(func(m *Message) { m.Target = strings.Repeat("x", MaxName+1) }),
			"target name", nil, "target"},
		{"unknown kind", message(func(m *Message) { m.Kind = maxKind + 1 }), "unknown kind", nil, "kind"},
		{"no target", message(func(m *Message) { m.Target = "" }), "ping request lacks its target", nil, "target"},
		{"no bucket sums", message(func(m *Message) { m.Kind = Digest }), "digest lacks its bucket sums", nil, "sums"},
		{"invalid member name", claim(func(c *Claim) { c.Name = "\x00" }), "in a claim is not valid", nil, "name"},
		{"unknown state", claim(func(c *Claim) { c.State = 9 }), "unknown state", nil, "state"},
		{"payload too long", claim(func(c *Claim) { c.Payload = make([]byte, MaxPayload+1) }),
			"payload of 65", nil, "payload"},
		{"incarnation too high", claim(func(c *Claim) { c.Incarnation = 1 << 41 }),
			"the incarnation exceeds the maximum", nil, "incarnation"},
		{"truncated", encode(t, m, claims)[:40], "gossipcodec", nil, "11"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(test.data)
			if err == nil || !strings.Contains(err.Error(), test.text) {
				t.Errorf("error %v, want a text with %q", err, test.text)
			}
			if test.cause != nil {
				if !errors.Is(err, test.cause) {
					t.Errorf("error %v does not match %v", err, test.cause)
				}
				return
			}
			var faulty *FieldError
			if !errors.As(err, &faulty) || faulty.Field != test.field {
				t.Errorf("error %#v, want a FieldError of field %s", err, test.field)
			}
		})
	}
}

func TestAppendClaimRespectsMaxDatagram(t *testing.T) {
	m, _ := fullMessage()
	b, n := Append(nil, m), 0
	for ok := true; ok; n++ {
		b, ok = AppendClaim(b, &Claim{Name: "some-gateway", Start: 1700000000001, Incarnation: 9, State: Gone})
	}
	if len(b) > MaxDatagram || n < 5 {
		t.Errorf("%d bytes with %d claims, want at most %d bytes and at least 5 claims", len(b), n, MaxDatagram)
	}
	if _, err := Parse(b); err != nil {
		t.Error(err)
	}
}

// Verifies that a message which was decoded can be encoded again and decoded once more, except for a Digest.
func FuzzParse(f *testing.F) {
	m, claims := fullMessage()
	b := Append(nil, m)
	for i := range claims {
		b, _ = AppendClaim(b, &claims[i])
	}
	f.Add(b)
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Parse(b)
		if err != nil {
			return
		}
		again := Append(nil, got)
		if len(again) > MaxDatagram {
			t.Fatalf("encoded again to %d bytes from %d", len(again), len(b))
		}
		if _, err := Parse(again); err != nil && got.Kind != Digest {
			t.Fatalf("cannot decode the message that was encoded again: %v: %+v", err, got)
		}
	})
}
