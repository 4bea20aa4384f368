package loadreport

import (
	"errors"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymebend/internal/gossipcodec"
)

// What is told comes back to within a step, from any figures, and fits where it has to.
func TestWordsComeBack(t *testing.T) {
	any := rapid.Custom(func(t *rapid.T) float64 {
		return rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e-300, 0.001, 0.5, 1, 7, 1e6, 1e300}).Draw(t, "figure")
	})
	rapid.Check(t, func(t *rapid.T) {
		s := Report{Zone: rapid.IntRange(-5, 1<<20).Draw(t, "zone"), Demand: any.Draw(t, "demand"), Rejected: any.Draw(t, "refused"),
			FreeCapacity: any.Draw(t, "room"), LocalHealth: rapid.IntRange(-3, 300).Draw(t, "health"), Known: rapid.Bool().Draw(t, "known")}
		b := Append(nil, s)
		got, err := Parse(append(b, rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "later bytes")...))
		if err != nil || len(b) > gossipcodec.MaxPayload {
			t.Fatalf("%v, %d bytes", err, len(b))
		}
		if got.Zone != min(max(s.Zone, 0), mostZone) || got.Known != s.Known {
			t.Fatalf("%+v of %+v", got, s)
		}
		if !s.Known {
			return
		}
		if want := s.Demand; want >= 0.001 && want <= 1e6 && (got.Demand < want/1.13 || got.Demand > want*1.13) || (s.Demand > 0) != (got.Demand > 0) {
			t.Fatalf("demand %v of %v", got.Demand, s.Demand)
		}
		if got.Rejected < 0 || got.Rejected > 1 || got.FreeCapacity < 0 || got.FreeCapacity > 1 || got.LocalHealth < 0 || got.LocalHealth > mostHealth {
			t.Fatalf("%+v", got)
		}
		if again, err := Parse(Append(nil, got)); err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%+v, told again %+v", got, again)
		}
	})
}

func TestSpoiltWordsAreRefused(t *testing.T) {
	for _, b := range [][]byte{nil, {0}, {3, 1}, {1}, {1, 0x80}, {1, 0x80, 0x80, 0x80, 1}, {2, 1}, {2, 1, 5, 0, 0}, {2, 1, 254, 0, 0, 0, 0, 0, 0, 0, 0}, {2, 1, 5, 65, 0, 0},
		{2, 1, 5, 0, 65, 0}, {2, 1, 5, 0, 0, 9}, {2, 1, 5, 0, 0, 0}, {2, 1, 5, 0, 0, 0, 1, 1, 1, 1}, {2, 1, 5, 0, 0, 0, 1, 1, 1, 1, 13}} {
		if s, err := Parse(b); err == nil {
			t.Errorf("%v is %+v", b, s)
		}
	}
	if _, err := Parse([]byte{9}); !errors.Is(err, ErrForm) {
		t.Error(err)
	}
	if s, err := Parse([]byte{1, 3}); err != nil || !reflect.DeepEqual(s, Report{Zone: 3}) {
		t.Errorf("form 1: %+v, %v", s, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{1, 3})
	f.Add(Append(nil, Report{Zone: 2, Demand: 40, Rejected: 0.1, FreeCapacity: 0.5, Known: true}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse(b); err == nil {
			if again, err := Parse(Append(nil, s)); err != nil || !reflect.DeepEqual(again, s) {
				t.Fatalf("%v: %+v, told again %+v, %v", b, s, again, err)
			}
		}
	})
}

// A quiet gateway tells nothing, a busy one every few seconds at most, and what it told last is never off by more than moves in that time.
func TestItTellsWhatHasMoved(t *testing.T) {
	var teller Reporter
	told, last := 0, Report{}
	for ms := 0; ms < 60_000; ms += 10 {
		demand := 100.0
		if ms > 20_000 {
			demand *= 1 + 0.08*math.Sin(float64(ms)) // noise within a step
		}
		if ms > 40_000 {
			demand = 100 * math.Pow(10, float64(ms-40_000)/20_000) // tenfold in 20 s
		}
		if b, ok := teller.Next(time.Duration(ms)*time.Millisecond, Report{Demand: demand, Known: true}, 5); ok {
			told++
			last, _ = Parse(b)
		}
		if ms == 40_000 && told != 1 {
			t.Errorf("told %d times while nothing moved", told)
		}
		if last.Demand < demand/2.6 || last.Demand > demand*2.6 {
			t.Fatalf("at %d ms: told %v of %v", ms, last.Demand, demand)
		}
	}
	if told < 4 || told > 7 {
		t.Errorf("told %d times", told)
	}
	teller = Reporter{}
	told = 0
	for ms := 0; ms < 10_000; ms += 10 { // from nothing to much and back, each time
		if _, ok := teller.Next(time.Duration(ms)*time.Millisecond, Report{Demand: float64(ms / 10 % 2 * 100), Known: true}, 5); ok {
			told++
		}
	}
	if told > 3 {
		t.Errorf("told %d times in 10 s", told)
	}
}

// In a large fleet each speaks seldom, or all their words would be too many; a host found bad goes out soon all the same.
func TestALargeFleetTellsSeldom(t *testing.T) {
	for fleet, most := range map[int][2]int{5: {30, 104}, 300: {2, 18}} {
		for urgent := range 2 {
			var teller Reporter
			told := 0
			for ms := 0; ms < 100_000; ms += 250 {
				s := Report{Demand: float64(1 + ms/250%2*100), Known: true}
				if urgent == 1 {
					s.Ejected = []uint32{uint32(ms)}
				}
				if _, ok := teller.Next(time.Duration(ms)*time.Millisecond, s, fleet); ok {
					told++
				}
			}
			if told > most[urgent] || told < most[urgent]/2 {
				t.Errorf("%d gateways: told %d times in 100 s, wanted %d at most", fleet, told, most[urgent])
			}
		}
	}
}

// One that lies takes no more than eight parts, one that is silent counts as unknown after a while, never as nothing.
func TestOneWordCountsOnlySoFar(t *testing.T) {
	var words []PeerReport
	for range 9 {
		words = append(words, PeerReport{Report: Report{Demand: 10, Known: true}})
	}
	words = append(words, PeerReport{Report: Report{Demand: 1e9, Known: true}}, PeerReport{Report: Report{Known: true}}, PeerReport{},
		PeerReport{Report: Report{Demand: 30, Known: true}, Silent: 9 * time.Second}, PeerReport{Report: Report{Demand: 30, Known: true}, Silent: 10 * time.Second})
	got := Demands(words)
	if want := append(slices.Repeat([]float64{10}, 9), 80, 10.0/64, 0, 30, 0); !slices.Equal(got, want) {
		t.Errorf("%v, wanted %v", got, want)
	}
	if got := Demands([]PeerReport{{Report: Report{Known: true}}, {Report: Report{Known: true}}, {Report: Report{Demand: 5, Known: true}}}); !slices.Equal(got, []float64{5.0 / 64, 5.0 / 64, 5}) {
		t.Errorf("%v", got)
	}
	if got := Demands([]PeerReport{{}, {Report: Report{Known: true}}}); !slices.Equal(got, []float64{0, 0}) {
		t.Errorf("%v", got)
	}
}

// Hosts found bad go over with the figures; older programs skip them, and what is cut short is an error.
func TestBadHostsAreTold(t *testing.T) {
	var hosts []uint64
	for i := range 20 {
		hosts = append(hosts, uint64(i+1)<<33, uint64(i+1)<<33)
	}
	s := Report{Zone: 70, Demand: 10, Known: true, ConfigHash: 7, Ejected: EndpointHashes(hosts)}
	b := Append(nil, s)
	if len(s.Ejected) != MostBad || len(b) > 64 {
		t.Errorf("%d hosts in %d bytes", len(s.Ejected), len(b))
	}
	if got, err := Parse(append(b, 9, 9)); err != nil || got.ConfigHash != 7 || !slices.Equal(got.Ejected, s.Ejected) {
		t.Errorf("%v %v", got, err)
	}
	for cut := len(b) - 1; cut > len(b)-4*MostBad; cut-- {
		if _, err := Parse(b[:cut]); err == nil {
			t.Errorf("cut to %d bytes: no error", cut)
		}
	}
	var teller Reporter
	teller.Next(time.Second, s, 5)
	if _, now := teller.Next(3*time.Second, s, 5); now {
		t.Error("told again though nothing moved")
	}
	s.Ejected = s.Ejected[1:]
	if _, now := teller.Next(3*time.Second, s, 5); !now {
		t.Error("not told though a host is good again")
	}
}

// One that reports every host as bad changes none's fate, nor does one that is ill or gone; two that are well do.
func TestOneWordDoubtsNoHost(t *testing.T) {
	all := EndpointHashes([]uint64{1, 2, 3, 4, 5, 6, 7, 8})
	liar := PeerReport{Report: Report{Known: true, Ejected: append(slices.Clone(all), all...)}}
	ill := PeerReport{Report: Report{Known: true, Ejected: all, LocalHealth: 5}}
	gone := PeerReport{Report: Report{Known: true, Ejected: all}, Silent: time.Second}
	if d := SuspectedByPeers([]PeerReport{liar, ill, gone, {Report: Report{Known: true}}}); len(d) > 0 {
		t.Errorf("%v doubted by one", d)
	}
	if d := Demands([]PeerReport{{Report: Report{Known: true, Demand: -1}}, {Report: Report{Known: true, Demand: 8}}}); d[0] != 0 || d[1] != 8 {
		t.Errorf("%v: one that does not know its traffic yet has told none", d)
	}
	honest := PeerReport{Report: Report{Known: true, Ejected: all[2:3]}}
	if d := SuspectedByPeers([]PeerReport{liar, honest}); len(d) != 1 || !d[all[2]] {
		t.Errorf("%v, wanted the one that two name", d)
	}
}
