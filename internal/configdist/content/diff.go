package content

import "slices"

// Cursor is a position in the list of changes between two trees: after the change of the entry that it names. The
// zero Cursor is the start of the list.
type Cursor struct {
	Service string
	Kind    Kind
	Name    string
}

// Page returns a page of the changes that turn the tree from into the tree to, restricted to the given services. The
// page starts after a cursor and ends before the change that would exceed limit, in bytes, but has at least one
// change if any remain. next is the cursor of the following page; last reports that there is none. The names of the
// services must be sorted and distinct.
func Page(from, to *Tree, services []string, after Cursor, limit int) (changes []Change, next Cursor, last bool) {
	start, _ := slices.BinarySearch(services, after.Service)
	bytes := 0
	for _, name := range services[start:] {
		a, b := from.sections[name], to.sections[name]
		if a == b || a != nil && b != nil && a.hash == b.hash {
			continue
		}
		for _, c := range diffSection(a, b) {
			if name == after.Service && compareEntries(c.Entry, Entry{Kind: after.Kind, Name: after.Name}) <= 0 {
				continue
			}
			if len(changes) > 0 && bytes+c.Entry.size() > limit {
				return changes, cursorOf(changes), false
			}
			bytes += c.Entry.size()
			changes = append(changes, c)
		}
	}
	return changes, Cursor{}, true
}

func cursorOf(changes []Change) Cursor {
	e := &changes[len(changes)-1].Entry
	return Cursor{e.Service, e.Kind, e.Name}
}

// diffSection returns the changes from section a to section b, by merging their sorted entries. A nil section is
// empty.
func diffSection(a, b *section) (changes []Change) {
	var before, after []Entry
	if a != nil {
		before = a.entries
	}
	if b != nil {
		after = b.entries
	}
	remove := func(e Entry) {
		e.Body = ""
		changes = append(changes, Change{Remove: true, Entry: e})
	}
	for len(before) > 0 && len(after) > 0 {
		switch order := compareEntries(before[0], after[0]); {
		case order < 0:
			remove(before[0])
			before = before[1:]
		case order > 0:
			changes = append(changes, Change{Entry: after[0]})
			after = after[1:]
		default:
			if before[0].Body != after[0].Body {
				changes = append(changes, Change{Entry: after[0]})
			}
			before, after = before[1:], after[1:]
		}
	}
	for _, e := range before {
		remove(e)
	}
	for _, e := range after {
		changes = append(changes, Change{Entry: e})
	}
	return changes
}
