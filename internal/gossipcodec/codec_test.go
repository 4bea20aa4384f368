package gossipcodec

import (
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// fullMessage is a message with all fields but those of a digest, and its claims.
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
		t.Errorf("%v\n%+v\n%+v", err, got, m)
	}
	sums := make([]uint32, Buckets)
	sums[31] = 7
	digest := &Message{Cluster: "f", From: "g", Start: 1, Kind: Digest, BucketSums: sums, Reply: true}
	if got, err := Parse(encode(t, digest, nil)); err != nil || !reflect.DeepEqual(got, digest) {
		t.Errorf("%v %+v", err, got)
	}
}

// Guards against a later version's fields, wherever they stand, that make an earlier one refuse the datagram.
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
		t.Errorf("%v %+v", err, got)
	}
}

// Guards against an error that does not say what is wrong with a datagram.
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
		cause error  // that it matches, or
		field string // the one that it names
	}{
		{"too long", make([]byte, MaxDatagram+1), "257 bytes", ErrTooLong, ""},
		{"later version", append(encode(t, m, nil), later...), "unknown version 2", ErrVersion, ""},
		{"faulty sender", message(func(m *Message) { m.From = "a b" }), "no name", nil, "from"},
		{"long target", message(func(m *Message) { m.Target = strings.Repeat("x", MaxName+1) }),
			"target", nil, "target"},
		{"unknown kind", message(func(m *Message) { m.Kind = maxKind + 1 }), "unknown kind", nil, "kind"},
		{"no target", message(func(m *Message) { m.Target = "" }), "lacks", nil, "target"},
		{"no sums", message(func(m *Message) { m.Kind = Digest }), "lacks", nil, "sums"},
		{"faulty name", claim(func(c *Claim) { c.Name = "\x00" }), "a claim about", nil, "name"},
		{"unknown state", claim(func(c *Claim) { c.State = 9 }), "unknown state", nil, "state"},
		{"long payload", claim(func(c *Claim) { c.Payload = make([]byte, MaxPayload+1) }),
			"payload of 65", nil, "payload"},
		{"incarnation", claim(func(c *Claim) { c.Incarnation = 1 << 41 }), "incarnation", nil, "incarnation"},
		{"cut short", encode(t, m, claims)[:40], "fleetwire", nil, "11"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(test.data)
			if err == nil || !strings.Contains(err.Error(), test.text) {
				t.Errorf("want %q: %v", test.text, err)
			}
			if test.cause != nil {
				if !errors.Is(err, test.cause) {
					t.Errorf("%v is not %v", err, test.cause)
				}
				return
			}
			var faulty *FieldError
			if !errors.As(err, &faulty) || faulty.Field != test.field {
				t.Errorf("want field %s: %#v", test.field, err)
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
		t.Errorf("%d bytes with %d claims", len(b), n)
	}
	if _, err := Parse(b); err != nil {
		t.Error(err)
	}
}

// Guards against bytes that can be read and not be written again.
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
			t.Fatalf("%d bytes from %d", len(again), len(b))
		}
		if _, err := Parse(again); err != nil && got.Kind != Digest {
			t.Fatalf("%v: %+v", err, got)
		}
	})
}
