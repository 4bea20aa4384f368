package content

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func put(kind Kind, service, name, body string) Change {
	return Change{Entry: Entry{Kind: kind, Service: service, Name: name, Body: body}}
}

func remove(kind Kind, service, name string) Change {
	return Change{Remove: true, Entry: Entry{Kind: kind, Service: service, Name: name}}
}

func mustApply(t *testing.T, tree *Tree, changes ...Change) *Tree {
	t.Helper()
	next, err := tree.Apply(changes)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func sample(t *testing.T) *Tree {
	return mustApply(t, EmptyTree(), put(Service, "a", "a", "x"), put(Route, "a", "r1", "1"), put(Tenant, "a", "t1", "1"),
		put(Service, "b", "b", "y"))
}

// Guards against an invalid proposal that is applied in part, or whose error does not name the change and the field.
func TestInvalidChangesAreReportedAndNotApplied(t *testing.T) {
	tree := sample(t)
	before := tree.Hash()
	valid := put(Tenant, "a", "t2", "")
	for name, c := range map[string]struct {
		change Change
		want   error
		field  string
	}{
		"route of no service":     {put(Route, "c", "r", ""), ErrUnknownService, "service"},
		"tenant of no service":    {put(Tenant, "c", "t", ""), ErrUnknownService, "service"},
		"service under a route":   {remove(Service, "a", "a"), ErrServiceInUse, "service"},
		"removal of no entry":     {remove(Route, "a", "r9"), ErrNotPresent, "name"},
		"removal in no service":   {remove(Service, "z", "z"), ErrNotPresent, "name"},
		"empty name":              {put(Route, "a", "", ""), ErrBadName, "name"},
		"space in a name":         {put(Route, "a", "r 1", ""), ErrBadName, "name"},
		"service name too long":   {put(Route, strings.Repeat("a", MaxNameBytes+1), "r", ""), ErrBadName, "service"},
		"service of another name": {put(Service, "a", "b", ""), ErrBadName, "name"},
		"kind 0":                  {put(0, "a", "r", ""), ErrBadKind, "kind"},
		"kind 9":                  {put(9, "a", "r", ""), ErrBadKind, "kind"},
		"body too long":           {put(Route, "a", "r", strings.Repeat("x", MaxBodyBytes+1)), ErrTooLarge, "body"},
	} {
		got, err := tree.Apply([]Change{valid, c.change})
		var changeErr *ChangeError
		if !errors.Is(err, c.want) || !errors.As(err, &changeErr) || changeErr.Field != c.field ||
			changeErr.Index != 1 || got != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := tree.Apply(make([]Change, MaxProposalChanges+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too many changes: %v", err)
	}
	if tree.Hash() != before || tree.Len() != 4 {
		t.Errorf("rejected changes modified the tree")
	}
}

// Guards against replicas whose hashes differ for the same content, and equal hashes of different content.
func TestEqualContentHasEqualHashes(t *testing.T) {
	a := sample(t)
	b := mustApply(t, EmptyTree(), put(Service, "b", "b", "y"))
	b = mustApply(t, b, put(Tenant, "a", "t1", "1"), put(Service, "a", "a", "z"), put(Route, "a", "r1", "2"))
	if a.Hash() == b.Hash() {
		t.Error("different content, equal hashes")
	}
	b = mustApply(t, b, put(Service, "a", "a", "x"), put(Route, "a", "r1", "1"))
	if a.Hash() != b.Hash() {
		t.Error("equal content, different hashes")
	}
	if moved := mustApply(t, a, remove(Tenant, "a", "t1"), put(Route, "a", "t1", "1")); moved.Hash() == a.Hash() {
		t.Error("a tenant replaced by a route of the same name has the same hash")
	}
	if scope := a.Scope([]string{"b", "nothing"}); scope.Hash() != a.ScopeHash([]string{"b", "nothing"}) ||
		scope.Len() != 1 {
		t.Errorf("scope of %d entries, wanted 1, or its hash differs from ScopeHash", scope.Len())
	}
}

// Verifies that the pages of any size transform one tree into the other, for the requested services only.
func TestPagesTransformOneTreeIntoTheOther(t *testing.T) {
	a := sample(t)
	for i := range 40 {
		a = mustApply(t, a, put(Tenant, "a", fmt.Sprint("u", i), "old"))
	}
	b := mustApply(t, a, remove(Tenant, "a", "u3"), remove(Tenant, "a", "u39"), put(Tenant, "a", "u5", "new"),
		put(Route, "a", "r0", "1"),
		remove(Service, "b", "b"), put(Service, "c", "c", "1"), put(Route, "c", "r", "1"))
	all := []string{"a", "b", "c"}
	for _, base := range []*Tree{EmptyTree(), a, b} {
		for _, services := range [][]string{all, {"a"}, {"b", "c"}} {
			for _, limit := range []int{1, 50, 1 << 20} {
				var changes []Change
				cursor, pages := Cursor{}, 0
				for last := false; !last; pages++ {
					var page []Change
					page, cursor, last = Page(base, b, services, cursor, limit)
					changes = append(changes, page...)
				}
				got, err := base.Scope(services).Patch(changes)
				if err != nil || got.Hash() != b.ScopeHash(services) {
					t.Errorf("services %v, limit %d: %v", services, limit, err)
				}
				if limit == 1 && pages < len(changes) {
					t.Errorf("%d changes on %d pages", len(changes), pages)
				}
			}
		}
	}
	if got := ChangedServices(a, b); fmt.Sprint(got) != "[a b c]" {
		t.Errorf("unexpected affected services %v", got)
	}
	if got := ChangedServices(a, mustApply(t, a, put(Service, "b", "b", "z"))); fmt.Sprint(got) != "[b]" {
		t.Errorf("unexpected affected services %v", got)
	}
}
