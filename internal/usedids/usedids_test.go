package usedids

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against memory that grows with every id, and against forgetting ids that are not the oldest.
func TestOnlyTheOldestIDsAreForgotten(t *testing.T) {
	var s Set
	const added = 3 * Capacity
	for i := range added {
		if id := Of(fmt.Sprint(i)); !s.Add(id) || s.Add(id) {
			t.Fatalf("id %d is not new once", i)
		}
	}
	if len(s.order) != Capacity || len(s.used) != Capacity {
		t.Fatalf("%d and %d ids are held, want %d", len(s.order), len(s.used), Capacity)
	}
	for _, i := range []int{0, added - Capacity - 1, added - Capacity, added - 1} {
		if got := s.Contains(Of(fmt.Sprint(i))); got != (i >= added-Capacity) {
			t.Errorf("id %d of %d: contained %v", i, added, got)
		}
	}
}

// Guards against ids that are lost or out of order on their way to another process.
func TestEncodedIDsComeBack(t *testing.T) {
	var s Set
	want := []ID{Of("a"), Of("b"), Of("c")}
	for _, id := range append(want, Of("never ran")) {
		s.Add(id)
	}
	s.Forget(Of("never ran"))
	if got := Decode(append(Encode(s.Recent()), 1, 2, 3)); !slices.Equal(got, want) {
		t.Errorf("%v came back, want %v", got, want)
	}
}

// Guards against forgetting an id early that was forgotten on purpose and added again.
func TestReaddedIDIsAsRecentAsAnyOther(t *testing.T) {
	var s Set
	again := Of("again")
	s.Add(again)
	s.Forget(again)
	s.Add(again)
	for i := range Capacity - 1 {
		s.Add(Of(fmt.Sprint(i)))
	}
	if !s.Contains(again) {
		t.Errorf("the id is forgotten after %d others", Capacity-1)
	}
}
