package content

import (
	"cmp"
	"errors"
	"fmt"
)

// Bounds of a configuration and of a proposal.
const (
	MaxNameBytes       = 128       // length of a name in bytes
	MaxBodyBytes       = 16 << 10  // length of a body in bytes
	MaxServices        = 16_384    // in a tree
	MaxEntries         = 1_000_000 // in a service
	MaxProposalChanges = 10_000    // in one proposal
	MaxProposalBytes   = 256 << 10 // total size of the entries of one proposal
)

// Errors of a change. They are wrapped in a *ChangeError, which names the change and the field.
var (
	ErrUnknownService = errors.New("no such service")
	ErrServiceInUse   = errors.New("the service still has routes or tenants")
	ErrNotPresent     = errors.New("no such entry")
	ErrBadName        = errors.New("a name must be 1 to 128 bytes of printable ASCII without spaces")
	ErrBadKind        = errors.New("unknown kind")
	ErrTooLarge       = errors.New("too large")
)

// ChangeError is returned if a change is rejected.
type ChangeError struct {
	Index int    // index of the change in its proposal
	Field string // name of the invalid field
	Value string
	Err   error
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change %d: %s %q: %v", e.Index, e.Field, e.Value, e.Err)
}

// Unwrap returns the reason of the rejection, one of the errors above.
func (e *ChangeError) Unwrap() error { return e.Err }

// Kind is the type of an entry.
type Kind uint8

// The kinds of entries. The name of a Service entry equals the name of its service.
const (
	Service Kind = iota + 1
	Route
	Tenant
)

// Entry holds the settings of one service, route or tenant.
type Entry struct {
	Kind    Kind
	Service string
	Name    string
	Body    string // opaque to this package; the gateway validates it
}

func (e *Entry) size() int { return len(e.Service) + len(e.Name) + len(e.Body) + 8 }

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Change adds or replaces an entry, or removes it.
type Change struct {
	Remove bool
	Entry  Entry
}

// validate checks a change by itself, without the tree. It returns the first invalid field, its value and the error.
func (c *Change) validate() (field, value string, err error) {
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
	case len(e.Body) > MaxBodyBytes:
		return "body", fmt.Sprintf("%d bytes", len(e.Body)), ErrTooLarge
	}
	return "", "", nil
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
