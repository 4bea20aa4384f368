package membership

import (
	"testing"

	"thymebend/internal/gossipcodec"
)

func TestTableKeepsOrderAndDigest(t *testing.T) {
	x, y := newTable(), newTable()
	alive := func(name string) *member { return &member{Member: Member{Name: name, Start: 1}} }
	for _, name := range []string{"c", "b", "d"} {
		p := alive(name)
		x.insert(p)
		x.updateDigest(p)
	}
	for _, name := range []string{"d", "c", "b"} {
		p := alive(name)
		y.insert(p)
		y.updateDigest(p)
	}
	if x.digest != y.digest || x.bucketSums != y.bucketSums || x.position("c") != 1 {
		t.Error("digest or sort order depends on the order of insertion")
	}
	suspect := x.byName["c"]
	suspect.State = gossipcodec.Suspect
	if x.updateDigest(suspect); x.digest != y.digest {
		t.Error("a suspicion changes the digest")
	}
	suspect.State = gossipcodec.Gone
	if x.updateDigest(suspect); x.digest == y.digest {
		t.Error("a member that is gone does not change the digest")
	}
	x.removeIf(func(p *member) bool { return p.State == gossipcodec.Gone })
	if len(x.sorted) != 2 || x.byName["c"] != nil {
		t.Errorf("%d members after the removal of c, want 2", len(x.sorted))
	}
}
