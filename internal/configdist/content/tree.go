package content

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

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
