// Package content is what a configuration holds: services with their settings, routes and tenants, as immutable trees
// with a content hash that share what is equal. It validates changes, and finds what differs between two trees. It
// does no I/O.
package content

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of a configuration.
const (
	MaxName     = 128       // bytes of a name
	MaxBody     = 16 << 10  // bytes of a body
	MaxServices = 16_384    // of a tree
	MaxEntries  = 1_000_000 // of a service
	MaxChanges  = 10_000    // of one proposal
	MaxBytes    = 256 << 10 // of the bodies and names of one proposal
)

// Errors of a change. A *ChangeError says which change and field they are about.
var (
	ErrUnknownService = errors.New("no such service")
	ErrServiceInUse   = errors.New("the service still has routes or tenants")
	ErrNotPresent     = errors.New("no such entry")
	ErrBadName        = errors.New("a name must be 1 to 128 bytes of printable ASCII without spaces")
	ErrBadKind        = errors.New("unknown kind")
	ErrTooLarge       = errors.New("too large")
)

// ChangeError is the refusal of one change.
type ChangeError struct {
	Index int    // of the change in its proposal
	Field string // that is wrong
	Value string
	Err   error
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change %d: %s %q: %v", e.Index, e.Field, e.Value, e.Err)
}

// Unwrap returns the kind of refusal.
func (e *ChangeError) Unwrap() error { return e.Err }

// Hash is a content hash: the first half of a SHA-256.
type Hash [16]byte

// String words a hash.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Ref names a version: its number, the term of the log entry that made it, and the hash of its content.
type Ref struct {
	Term   uint64
	Number uint64
	Hash   Hash
}

// String words a version.
func (r Ref) String() string { return fmt.Sprintf("%d@%d %.8s", r.Number, r.Term, r.Hash) }

// Kind is what an entry is.
type Kind uint8

// The kinds of entries. A Service entry has its service's own name.
const (
	Service Kind = iota + 1
	Route
	Tenant
)

// Entry is one setting: of a service, a route or a tenant.
type Entry struct {
	Kind    Kind
	Service string
	Name    string
	Body    string // opaque here; a gateway validates it
}

func (e *Entry) size() int { return len(e.Service) + len(e.Name) + len(e.Body) + 8 }

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Change puts an entry, or removes it.
type Change struct {
	Remove bool
	Entry  Entry
}

// check holds a change to what can be said of it alone.
func (c *Change) check() (field, value string, err error) {
	e := &c.Entry
	switch {
	case e.Kind < Service || e.Kind > Tenant:
		return "kind", fmt.Sprint(e.Kind), ErrBadKind
	case !validName(e.Service):
		return "service", e.Service, ErrBadName
	case !validName(e.Name):
		return "name", e.Name, ErrBadName
	case e.Kind == Service && e.Name != e.Service:
		return "name", e.Name, ErrBadName
	case len(e.Body) > MaxBody:
		return "body", fmt.Sprintf("%d bytes", len(e.Body)), ErrTooLarge
	}
	return "", "", nil
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > MaxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// section is one service's part of a tree. It is never changed.
type section struct {
	entries []Entry // by kind and name; the first is the service's own
	hash    Hash
}

func newSection(entries []Entry) *section {
	sum := sha256.New()
	var length [8]byte
	put := func(s string) {
		for i := range length {
			length[i] = byte(len(s) >> (8 * i))
		}
		sum.Write(length[:])
		sum.Write([]byte(s))
	}
	for i := range entries {
		sum.Write([]byte{byte(entries[i].Kind)})
		put(entries[i].Name)
		put(entries[i].Body)
	}
	s := &section{entries: entries}
	copy(s.hash[:], sum.Sum(nil))
	return s
}

// Tree is one configuration, or the part of it that some services are. It is never changed.
type Tree struct {
	sections map[string]*section
	names    []string // of the services, sorted
	hash     Hash
}

// Empty returns a tree without a service.
func Empty() *Tree { return newTree(map[string]*section{}) }

func newTree(sections map[string]*section) *Tree {
	t := &Tree{sections: sections, names: slices.Sorted(maps.Keys(sections))}
	t.hash = t.ScopeHash(t.names)
	return t
}

// Hash is that of all the tree's services.
func (t *Tree) Hash() Hash { return t.hash }

// ScopeHash is what the hash of a tree would be that has only these of its services. The names are sorted and each
// there once.
func (t *Tree) ScopeHash(services []string) Hash {
	sum := sha256.New()
	for _, name := range services {
		if s := t.sections[name]; s != nil {
			sum.Write([]byte{byte(len(name))})
			sum.Write([]byte(name))
			sum.Write(s.hash[:])
		}
	}
	var h Hash
	copy(h[:], sum.Sum(nil))
	return h
}

// Scope is the part of a tree that some services are. The names are sorted and each there once.
func (t *Tree) Scope(services []string) *Tree {
	sections := make(map[string]*section, len(services))
	for _, name := range services {
		if s := t.sections[name]; s != nil {
			sections[name] = s
		}
	}
	return newTree(sections)
}

// Services lists the services by name. The list is not to be changed.
func (t *Tree) Services() []string { return t.names }

// Entries lists a service's entries, its own first. The list is not to be changed.
func (t *Tree) Entries(service string) []Entry {
	if s := t.sections[service]; s != nil {
		return s.entries
	}
	return nil
}

// Len counts the entries.
func (t *Tree) Len() (count int) {
	for _, s := range t.sections {
		count += len(s.entries)
	}
	return count
}

// Size is about how many bytes the entries take.
func (t *Tree) Size() (bytes int) {
	for _, s := range t.sections {
		for i := range s.entries {
			bytes += s.entries[i].size()
		}
	}
	return bytes
}

// Affected lists the services that differ between two trees, by name.
func Affected(a, b *Tree) (services []string) {
	for _, name := range b.names {
		if other := a.sections[name]; other != b.sections[name] &&
			(other == nil || other.hash != b.sections[name].hash) {
			services = append(services, name)
		}
	}
	for _, name := range a.names {
		if b.sections[name] == nil {
			services = append(services, name)
		}
	}
	slices.Sort(services)
	return services
}

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
