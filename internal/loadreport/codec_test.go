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

// Guards against figures that do not come back to within a step, whatever they are, or do not fit into a payload.
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
			Known:        rapid.Bool().Draw(t, "known"),
		}
		b := Append(nil, r)
		got, err := Parse(append(b, rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "later bytes")...))
		if err != nil || len(b) > gossipcodec.MaxPayload {
			t.Fatalf("%v, %d bytes", err, len(b))
		}
		if got.Zone != min(max(r.Zone, 0), maxZone) || got.Known != r.Known {
			t.Fatalf("%+v of %+v", got, r)
		}
		if !r.Known {
			return
		}
		want := r.Demand
		exact := want >= 0.001 && want <= 1e6
		if exact && (got.Demand < want/1.13 || got.Demand > want*1.13) || (want > 0) != (got.Demand > 0) {
			t.Fatalf("demand %v of %v", got.Demand, want)
		}
		if got.Rejected < 0 || got.Rejected > 1 || got.FreeCapacity < 0 || got.FreeCapacity > 1 ||
			got.LocalHealth < 0 || got.LocalHealth > maxHealth {
			t.Fatalf("%+v", got)
		}
		if again, err := Parse(Append(nil, got)); err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%+v, appended again %+v", got, again)
		}
	})
}

// Guards against a payload that no program writes and yet counts, and against an error that does not say what is
// wrong.
func TestMalformedPayloadsAreRejected(t *testing.T) {
	for _, test := range []struct {
		name string
		data []byte
		part string // that the error names; empty for an unknown form
	}{
		{"empty", nil, "form"},
		{"form 0", []byte{0}, ""},
		{"form 3", []byte{3, 1}, ""},
		{"form 9", []byte{9}, ""},
		{"no zone", []byte{1}, "zone"},
		{"zone cut short", []byte{1, 0x80}, "zone"},
		{"zone too large", []byte{1, 0x80, 0x80, 0x80, 1}, "zone"},
		{"no figures", []byte{2, 1}, "figures"},
		{"figures cut short", []byte{2, 1, 5, 0, 0}, "figures"},
		{"demand too large", []byte{2, 1, 254, 0, 0, 0, 0, 0, 0, 0, 0}, "figures"},
		{"rejected over 1", []byte{2, 1, 5, 65, 0, 0}, "figures"},
		{"free capacity over 1", []byte{2, 1, 5, 0, 65, 0}, "figures"},
		{"health too bad", []byte{2, 1, 5, 0, 0, 9}, "figures"},
		{"no hash", []byte{2, 1, 5, 0, 0, 0}, "config hash"},
		{"no count", []byte{2, 1, 5, 0, 0, 0, 1, 1, 1, 1}, "config hash"},
		{"too many ejected", []byte{2, 1, 5, 0, 0, 0, 1, 1, 1, 1, 13}, "ejected"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, err := Parse(test.data)
			if err == nil {
				t.Fatalf("%v is %+v", test.data, r)
			}
			if test.part == "" {
				if !errors.Is(err, ErrForm) {
					t.Errorf("%v", err)
				}
				return
			}
			var formatErr *FormatError
			if !errors.As(err, &formatErr) || formatErr.Part != test.part {
				t.Errorf("want part %s: %#v", test.part, err)
			}
		})
	}
}

func TestParseReadsZoneOnlyPayload(t *testing.T) {
	if r, err := Parse([]byte{1, 3}); err != nil || !reflect.DeepEqual(r, Report{Zone: 3}) {
		t.Errorf("%+v, %v", r, err)
	}
}

// Guards against ejected endpoints that make older programs refuse a payload, and against one cut short that is read.
func TestEjectedEndpointsAreReported(t *testing.T) {
	var endpoints []uint64
	for i := range 20 {
		endpoints = append(endpoints, uint64(i+1)<<33, uint64(i+1)<<33)
	}
	r := Report{Zone: 70, Demand: 10, Known: true, ConfigHash: 7, Ejected: EndpointHashes(endpoints)}
	b := Append(nil, r)
	if len(r.Ejected) != MaxEjected || len(b) > 64 {
		t.Errorf("%d endpoints in %d bytes", len(r.Ejected), len(b))
	}
	if got, err := Parse(append(b, 9, 9)); err != nil || got.ConfigHash != 7 || !slices.Equal(got.Ejected, r.Ejected) {
		t.Errorf("%v %v", got, err)
	}
	for cut := len(b) - 1; cut > len(b)-4*MaxEjected; cut-- {
		if _, err := Parse(b[:cut]); err == nil {
			t.Errorf("cut to %d bytes: no error", cut)
		}
	}
}

// Guards against bytes that can be read and not be written again.
func FuzzParse(f *testing.F) {
	f.Add([]byte{1, 3})
	f.Add(Append(nil, Report{Zone: 2, Demand: 40, Rejected: 0.1, FreeCapacity: 0.5, Known: true}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Parse(b); err == nil {
			if again, err := Parse(Append(nil, r)); err != nil || !reflect.DeepEqual(again, r) {
				t.Fatalf("%v: %+v, appended again %+v, %v", b, r, again, err)
			}
		}
	})
}
