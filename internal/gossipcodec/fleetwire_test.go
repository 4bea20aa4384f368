package gossipcodec

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

func full() (*Message, []Claim) {
	m := &Message{Cluster: "f", From: "g-1", Start: 1700000000123, Kind: PingRequest, Seq: 77, Target: "g-2", View: 0xfeed}
	return m, []Claim{
		{Name: "g-3", Start: 1700000000001, Incarnation: 4, State: Suspect, SuspectedBy: "g-1"},
		{Name: "g-4", Start: 1, Incarnation: 1, State: Alive, Payload: []byte("zone=1"), Addr: netip.MustParseAddrPort("10.0.0.4:7946")},
		{Name: "g-5", Start: 2, State: Left},
	}
}

func word(t *testing.T, m *Message, news []Claim) []byte {
	t.Helper()
	b := Append(nil, m)
	for i := range news {
		var ok bool
		if b, ok = AppendClaim(b, &news[i]); !ok {
			t.Fatalf("claim %d does not fit", i)
		}
	}
	return b
}

func TestWhatIsWordedIsRead(t *testing.T) {
	m, news := full()
	got, err := Parse(word(t, m, news))
	m.Claims = news
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("%v\n%+v\n%+v", err, got, m)
	}
	sums := make([]uint32, Buckets)
	sums[31] = 7
	d := &Message{Cluster: "f", From: "g", Start: 1, Kind: Digest, Sums: sums, Reply: true}
	if got, err := Parse(word(t, d, nil)); err != nil || !reflect.DeepEqual(got, d) {
		t.Errorf("%v %+v", err, got)
	}
}

// Old and new versions in one fleet: what is not known is skipped, wherever it stands.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	m, news := full()
	b := word(t, m, news[:1])
	for _, extra := range [][]byte{
		protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 5),
		protowire.AppendString(protowire.AppendTag(nil, 100, protowire.BytesType), "later"),
		protowire.AppendFixed32(protowire.AppendTag(nil, 101, protowire.Fixed32Type), 9),
	} {
		b = append(b, extra...)
	}
	inner := append(text(text(nil, claimName, "g-9"), 55, "later"), protowire.AppendFixed64(protowire.AppendTag(nil, 56, protowire.Fixed64Type), 1)...)
	b = protowire.AppendBytes(protowire.AppendTag(b, fieldNews, protowire.BytesType), inner)
	got, err := Parse(b)
	if err != nil || len(got.Claims) != 2 || got.Claims[1].Name != "g-9" {
		t.Errorf("%v %+v", err, got)
	}
}

func TestFaultsAreNamed(t *testing.T) {
	m, news := full()
	with := func(change func(*Message)) []byte { c := *m; change(&c); return word(t, &c, nil) }
	claim := func(change func(*Claim)) []byte { c := news[1]; change(&c); return word(t, m, []Claim{c}) }
	later := protowire.AppendVarint(protowire.AppendTag(nil, fieldVersion, protowire.VarintType), 2)
	for want, b := range map[string][]byte{
		"257 bytes":         make([]byte, MaxDatagram+1),
		"unknown version 2": append(word(t, m, nil), later...),
		"no name":           with(func(m *Message) { m.From = "a b" }),
		"target":            with(func(m *Message) { m.Target = strings.Repeat("x", MaxName+1) }),
		"unknown kind":      with(func(m *Message) { m.Kind = lastKind + 1 }),
		"lacks":             with(func(m *Message) { m.Target = "" }),
		"a claim about":     claim(func(c *Claim) { c.Name = "\x00" }),
		"unknown state":     claim(func(c *Claim) { c.State = 9 }),
		"payload of 65":     claim(func(c *Claim) { c.Payload = make([]byte, MaxPayload+1) }),
		"incarnation":       claim(func(c *Claim) { c.Incarnation = 1 << 41 }),
		"fleetwire":         word(t, m, news)[:40],
	} {
		if _, err := Parse(b); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q: %v", want, err)
		}
	}
}

func TestNothingIsWordedTooLong(t *testing.T) {
	m, _ := full()
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

func FuzzParse(f *testing.F) {
	m, news := full()
	b := Append(nil, m)
	for i := range news {
		b, _ = AppendClaim(b, &news[i])
	}
	f.Add(b)
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Parse(b)
		if err != nil {
			return
		}
		// What was read can be worded and read again.
		again := Append(nil, got)
		if len(again) > MaxDatagram {
			t.Fatalf("%d bytes from %d", len(again), len(b))
		}
		if _, err := Parse(again); err != nil && got.Kind != Digest {
			t.Fatalf("%v: %+v", err, got)
		}
	})
}
