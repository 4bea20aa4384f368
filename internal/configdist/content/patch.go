package content

import (
	"fmt"
	"maps"
	"slices"
)

// Apply returns the tree after all changes, in their order, or the first that cannot be; then nothing has changed.
func (t *Tree) Apply(changes []Change) (*Tree, error) {
	if len(changes) > MaxChanges {
		return nil, &ChangeError{MaxChanges, "changes", fmt.Sprint(len(changes)), ErrTooLarge}
	}
	bytes := 0
	for i := range changes {
		if bytes += changes[i].Entry.size(); bytes > MaxBytes {
			return nil, &ChangeError{i, "changes", fmt.Sprintf("%d bytes", bytes), ErrTooLarge}
		}
	}
	return t.Patch(changes)
}

// Patch is Apply without a bound on how many changes there are: what differs between two trees is applied at once.
func (t *Tree) Patch(changes []Change) (*Tree, error) {
	edits := make(map[string]*editor)
	for i := range changes {
		c := &changes[i]
		if field, value, err := c.check(); err != nil {
			return nil, &ChangeError{i, field, value, err}
		}
		e := edits[c.Entry.Service]
		if e == nil {
			e = newEditor(t.Entries(c.Entry.Service), i)
			edits[c.Entry.Service] = e
		}
		if !e.apply(i, c) {
			return nil, &ChangeError{i, "name", c.Entry.Name, ErrNotPresent}
		}
	}
	sections := maps.Clone(t.sections)
	for name, e := range edits {
		entries := e.result()
		switch {
		case len(entries) == 0:
			delete(sections, name)
		case entries[0].Kind != Service && t.sections[name] == nil:
			return nil, &ChangeError{e.first, "service", name, ErrUnknownService}
		case entries[0].Kind != Service:
			return nil, &ChangeError{e.removal, "service", name, ErrServiceInUse}
		case len(entries) > MaxEntries:
			return nil, &ChangeError{e.first, "service", name, ErrTooLarge}
		default:
			sections[name] = newSection(entries)
		}
	}
	if len(sections) > MaxServices {
		return nil, &ChangeError{0, "services", fmt.Sprint(len(sections)), ErrTooLarge}
	}
	return newTree(sections), nil
}

// key names an entry within its service.
type key struct {
	kind Kind
	name string
}

// editor collects the changes of one service.
type editor struct {
	before  []Entry
	edits   map[key]*Entry // nil where the entry is removed
	first   int            // index of the first change
	removal int            // index of the change that removes the service's own entry
}

func newEditor(before []Entry, first int) *editor {
	return &editor{before: before, edits: make(map[key]*Entry), first: first}
}

// apply takes one change, and reports false where it removes what is not there.
func (e *editor) apply(index int, c *Change) bool {
	k := key{c.Entry.Kind, c.Entry.Name}
	if !c.Remove {
		entry := c.Entry
		e.edits[k] = &entry
		return true
	}
	edit, edited := e.edits[k]
	if edited && edit == nil {
		return false
	}
	if !edited {
		if _, found := slices.BinarySearchFunc(e.before, c.Entry, compareEntries); !found {
			return false
		}
	}
	if e.edits[k] = nil; k.kind == Service {
		e.removal = index
	}
	return true
}

func (e *editor) result() []Entry {
	entries := make([]Entry, 0, len(e.before)+len(e.edits))
	for _, b := range e.before {
		if _, edited := e.edits[key{b.Kind, b.Name}]; !edited {
			entries = append(entries, b)
		}
	}
	for _, edit := range e.edits {
		if edit != nil {
			entries = append(entries, *edit)
		}
	}
	slices.SortFunc(entries, compareEntries)
	return entries
}
