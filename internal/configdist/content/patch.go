package content

import (
	"fmt"
	"maps"
	"slices"
)

// Apply applies the changes in order and returns the new tree, or a *ChangeError for an invalid change. t is not
// modified.
func (t *Tree) Apply(changes []Change) (*Tree, error) {
	if len(changes) > MaxProposalChanges {
		return nil, &ChangeError{MaxProposalChanges, "changes", fmt.Sprint(len(changes)), ErrTooLarge}
	}
	bytes := 0
	for i := range changes {
		if bytes += changes[i].Entry.size(); bytes > MaxProposalBytes {
			return nil, &ChangeError{i, "changes", fmt.Sprintf("%d bytes", bytes), ErrTooLarge}
		}
	}
	return t.Patch(changes)
}

// Patch is Apply without the bounds on the number and size of the changes. It applies the whole difference between
// two trees at once.
func (t *Tree) Patch(changes []Change) (*Tree, error) {
	edits := make(map[string]*editor)
	for i := range changes {
		c := &changes[i]
		if field, value, err := c.validate(); err != nil {
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
			return nil, &ChangeError{e.firstChange, "service", name, ErrUnknownService}
		case entries[0].Kind != Service:
			return nil, &ChangeError{e.serviceRemoval, "service", name, ErrServiceInUse}
		case len(entries) > MaxEntries:
			return nil, &ChangeError{e.firstChange, "service", name, ErrTooLarge}
		default:
			sections[name] = newSection(entries)
		}
	}
	if len(sections) > MaxServices {
		return nil, &ChangeError{0, "services", fmt.Sprint(len(sections)), ErrTooLarge}
	}
	return newTree(sections), nil
}

// key identifies an entry within its service.
type key struct {
	kind Kind
	name string
}

// editor collects the changes to one service.
type editor struct {
	before         []Entry
	edits          map[key]*Entry // nil if the entry is removed
	firstChange    int            // index of the first change
	serviceRemoval int            // index of the change that removes the service's own entry
}

func newEditor(before []Entry, first int) *editor {
	return &editor{before: before, edits: make(map[key]*Entry), firstChange: first}
}

// apply records one change. It returns false if the change removes an entry that does not exist.
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
		e.serviceRemoval = index
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
