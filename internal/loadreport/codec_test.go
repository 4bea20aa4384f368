package loadreport

import (
	"errors"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"thymebend/internal/gossipcodec"
)

// Guards against figures that differ by more than a step after encoding and decoding, for any values, and against a
// report that does not fit into a payload.
func TestParseReadsWhatAppendWrites(t *testing.T) {
	figure := rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e-300, 0.001, 0.5, 1, 7, 1e6,
		1e300})
	rapid.Check(t, func(t *rapid.T) {
		r := Report{
			Zone:         rapid.IntRange(-5, 1<<20).Draw(t, "zone"),
			Demand:       figure.Draw(t, "demand"),
			Rejected:     figure.Draw(t, "rejected"),
			FreeCapacity: figure.Draw(t, "free capacity"),
			LocalHealth:  rapid.IntRange(-3, 300).Draw(t, "health"),
			HasFigures:   rapid.Bool().Draw(t, "known"),
		}
		b := Append(nil, r)
		got, err := Parse(append(b, rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "later bytes")...))
		if err != nil || len(b) > gossipcodec.MaxPayload {
			t.Fatalf("error %v, %d bytes, want no error and at most %d bytes", err, len(b), gossipcodec.MaxPayload)
		}
		if got.Zone != min(max(r.Zone, 0), maxZone) || got.HasFigures != r.HasFigures {
			t.Fatalf("the zone or the presence of figures differs: appended %+v, parsed %+v", r, got)
		}
		if !r.HasFigures {
			return
		}
		want := r.Demand
		exact := want >= 0.001 && want <= 1e6
		if exact && (got.Demand < want/1.13 || got.Demand > want*1.13) || (want > 0) != (got.Demand > 0) {
			t.Fatalf("parsed demand %v, appended %v", got.Demand, want)
		}
		if got.Rejected < 0 || got.Rejected > 1 || got.FreeCapacity < 0 || got.FreeCapacity > 1 ||
			got.LocalHealth < 0 || got.LocalHealth > maxHealth {
			t.Fatalf("a figure is out of bounds: %+v", got)
		}
		if again, err := Parse(Append(nil, got)); err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%+v changed when appended and parsed again: %+v, %v", got, again, err)
		}
	})
}

// Guards against a malformed payload that is accepted, and against an error that does not name the malformed part.
func TestMalformedPayloadsAreRejected(t *testing.T) {
	for _, test := range []struct {
		name string
		data []byte
		part string // named by the error; empty for an unknown form
	}{
		{"empty", nil, "form"},
		{"form 0", []byte{0}, ""},
		{"form 3", []byte{3, 1}, ""},
		{"form 9", []byte{9}, ""},
		{"no zone", []byte{1}, "zone"},
		{"zone incomplete", []byte{1, 0x80}, "zone"},
		{"zone too large", []byte{1, 0x80, 0x80, 0x80, 1}, "zone"},
		{"no figures", []byte{2, 1}, "figures"},
		{"figures incomplete", []byte{2, 1, 5, 0, 0}, "figures"},
		{"demand too large", []byte{2, 1, 254, 0, 0, 0, 0, 0, 0, 0, 0}, "figures"},
		{"rejected over 1", []byte{2, 1, 5, 65, 0, 0}, "figures"},
		{"free capacity over 1", []byte{2, 1, 5, 0, 65, 0}, "figures"},
		{"health above 8", []byte{2, 1, 5, 0, 0, 9}, "figures"},
		{"no hash", []byte{2, 1, 5, 0, 0, 0}, "config hash"},
		{"no count", []byte{2, 1, 5, 0, 0, 0, 1, 1, 1, 1}, "config hash"},
		{"too many ejected", []byte{2, 1, 5, 0, 0, 0, 1, 1, 1, 1, 13}, "ejected"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, err := Parse(test.data)
			if err == nil {
				t.Fatalf("payload %v was accepted as %+v", test.data, r)
			}
			if test.part == "" {
				if !errors.Is(err, ErrForm) {
					t.Errorf("error %v, want ErrForm", err)
				}
				return
			}
			var formatErr *FormatError
			if !errors.As(err, &formatErr) || formatErr.Part != test.part {
				t.Errorf("error %#v, want a FormatError with part %s", err, test.part)
			}
		})
	}
}

func TestParseReadsZoneOnlyPayload(t *testing.T) {
	if r, err := Parse([]byte{1, 3}); err != nil || !reflect.DeepEqual(r, Report{Zone: 3}) {
		t.Errorf("Parse() = %+v, %v, want zone 3 alone", r, err)
	}
}

// Guards against a list of ejected endpoints because of which older versions of the program reject the payload, and
// against a truncated payload that is accepted.
func TestEjectedEndpointsAreReported(t *testing.T) {
	var endpoints []uint64
	for i := range 20 {
		endpoints = append(endpoints, uint64(i+1)<<33, uint64(i+1)<<33)
	}
	r := Report{Zone: 70, Demand: 10, HasFigures: true, ConfigHash: 7, Ejected: EndpointHashes(endpoints)}
	b := Append(nil, r)
	if len(r.Ejected) != MaxEjected || len(b) > 64 {
		t.Errorf("%d endpoints in %d bytes, want %d in at most 64", len(r.Ejected), len(b), MaxEjected)
	}
	if got, err := Parse(append(b, 9, 9)); err != nil || got.ConfigHash != 7 || !slices.Equal(got.Ejected, r.Ejected) {
		t.Errorf("Parse() = %+v, %v, want the hashes of %+v", got, err, r)
	}
	for cut := len(b) - 1; cut > len(b)-4*MaxEjected; cut-- {
		if _, err := Parse(b[:cut]); err == nil {
			t.Errorf("payload truncated to %d bytes was accepted", cut)
		}
	}
}

// Guards against payloads that can be parsed, but change when they are appended and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte{1, 3})
	f.Add(Append(nil, Report{Zone: 2, Demand: 40, Rejected: 0.1, FreeCapacity: 0.5, HasFigures: true}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Parse(b); err == nil {
			if again, err := Parse(Append(nil, r)); err != nil || !reflect.DeepEqual(again, r) {
				t.Fatalf("payload %v: %+v changed when appended and parsed again: %+v, %v", b, r, again, err)
			}
		}
	})
}
