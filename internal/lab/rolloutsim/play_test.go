package rolloutsim

import "testing"

func TestPlay(t *testing.T) {
	for seed := range uint64(20) {
		o := Play(seed + 1)
		for _, f := range o.Findings[:min(3, len(o.Findings))] {
			t.Errorf("seed %d: %s", seed+1, f)
		}
		t.Logf("seed %d: %v", seed+1, o)
	}
}
