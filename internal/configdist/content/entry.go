package content

import (
	"cmp"
	"errors"
	"fmt"
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
