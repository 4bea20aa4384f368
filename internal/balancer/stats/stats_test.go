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
		t.Errorf("mean with a minimum weight is %v, want about 1, the recent values", recent.Value)
	}
	var first Mean
	if first.Add(8, 0.25); first.Value != 8 {
		t.Errorf("mean of the single value 8 is %v", first.Value)
	}
}

func TestConversions(t *testing.T) {
	if ms := Milliseconds(1500 * time.Microsecond); ms != 1.5 {
		t.Errorf("Milliseconds of 1.5 ms = %v", ms)
	}
	if d := FromMilliseconds(2.5); d != 2500*time.Microsecond {
		t.Errorf("FromMilliseconds(2.5) = %v", d)
	}
	if d := Scale(time.Second, 0.25); d != 250*time.Millisecond {
		t.Errorf("a second scaled by 0.25 is %v", d)
	}
	for _, c := range []struct{ x, want float64 }{{-1, 0}, {0.5, 0.5}, {3, 2}} {
		if got := Clamp(c.x, 0, 2); got != c.want {
			t.Errorf("%v clamped to 0 to 2 is %v, want %v", c.x, got, c.want)
		}
	}
}
