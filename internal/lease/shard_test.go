package lease

import (
	"fmt"
	"testing"
)

// Shards are even to one, and few move where somebody comes.
func TestShardsAreAssignedEvenly(t *testing.T) {
	var shards, living []string
	for i := range 1000 {
		shards = append(shards, fmt.Sprint("probe/", i))
	}
	for i := range 30 {
		living = append(living, fmt.Sprint("g", i))
	}
	count := func(of map[string]string) map[string]int {
		n := make(map[string]int)
		for _, m := range of {
			n[m]++
		}
		return n
	}
	before, after := AssignShards(shards, living), AssignShards(shards, append(living[:29:29], "new", "g29"))
	for m, n := range count(before) {
		if n < 20 || n > 34 {
			t.Errorf("%s has %d of 1000 shards", m, n)
		}
	}
	moved := 0
	for _, s := range shards {
		if before[s] != after[s] {
			moved++
		}
	}
	if got := count(after)["new"]; got < 20 || moved > 4*got {
		t.Errorf("the newcomer has %d, and %d moved", got, moved)
	}
	if len(AssignShards(shards, nil)) != 0 {
		t.Error("shards of nobody")
	}
}
