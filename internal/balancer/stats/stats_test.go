package stats

import (
	"testing"
	"time"
)

func TestMeanWithAndWithoutMinWeight(t *testing.T) {
	var plain, recent Mean
	for i := range 100 {
		x := 0.0
		if i >= 50 {
			x = 1
		}
		plain.Add(x, 0)
		recent.Add(x, 0.25)
	}
	if plain.N != 100 || plain.Value < 0.4999 || plain.Value > 0.5001 {
		t.Errorf("plain mean of %d values is %v, want 0.5", plain.N, plain.Value)
	}
	if recent.Value < 0.999 {
		t.Errorf("mean with a least weight is %v, want the recent values", recent.Value)
	}
	var first Mean
	if first.Add(8, 0.25); first.Value != 8 {
		t.Errorf("mean of one value is %v, want it", first.Value)
	}
}

func TestConversions(t *testing.T) {
	if ms := Milliseconds(1500 * time.Microsecond); ms != 1.5 {
		t.Errorf("1.5 ms are %v", ms)
	}
	if d := FromMilliseconds(2.5); d != 2500*time.Microsecond {
		t.Errorf("2.5 ms are %v", d)
	}
	if d := Scale(time.Second, 0.25); d != 250*time.Millisecond {
		t.Errorf("a quarter of a second is %v", d)
	}
	for _, c := range []struct{ x, want float64 }{{-1, 0}, {0.5, 0.5}, {3, 2}} {
		if got := Clamp(c.x, 0, 2); got != c.want {
			t.Errorf("%v within 0 and 2 is %v, want %v", c.x, got, c.want)
		}
	}
}
