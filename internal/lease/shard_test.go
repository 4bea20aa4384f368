package lease

import (
	"fmt"
	"testing"
)

// Verifies that shards are evenly distributed and that few move when a member joins.
func TestShardsAreAssignedEvenly(t *testing.T) {
	var shards, living []string
	for i := range 1000 {
		shards = append(shards, fmt.Sprint("probe/", i))
	}
	for i := range 30 {
		living = append(living, fmt.Sprint("g", i))
	}
	countByMember := func(assignment map[string]string) map[string]int {
		n := make(map[string]int)
		for _, m := range assignment {
			n[m]++
		}
		return n
	}
	before, after := AssignShards(shards, living), AssignShards(shards, append(living[:29:29], "new", "g29"))
	for m, n := range countByMember(before) {
		if n < 20 || n > 34 {
			t.Errorf("%s has %d of 1000 shards, wanted 20 to 34", m, n)
		}
	}
	moved := 0
	for _, s := range shards {
		if before[s] != after[s] {
			moved++
		}
	}
	if got := countByMember(after)["new"]; got < 20 || moved > 4*got {
		t.Errorf("the new member has %d shards, and %d moved", got, moved)
	}
	if len(AssignShards(shards, nil)) != 0 {
		t.Error("shards were assigned without members")
	}
}
