package content

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

// Hash is a content hash: the first half of a SHA-256 digest.
type Hash [16]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Ref identifies a version by its number, the term of the log entry that created it, and the hash of its content.
type Ref struct {
	Term   uint64
	Number uint64
	Hash   Hash
}

// String returns the number, the term and the first 8 digits of the hash.
func (r Ref) String() string { return fmt.Sprintf("%d@%d %.8s", r.Number, r.Term, r.Hash) }

// section is one service's part of a tree. It is immutable.
type section struct {
	entries []Entry // sorted by kind and name; the first is the service's own entry
	hash    Hash
}

func newSection(entries []Entry) *section {
	digest := sha256.New()
	var length [8]byte
	writeString := func(s string) {
		for i := range length {
			length[i] = byte(len(s) >> (8 * i))
		}
		digest.Write(length[:])
		digest.Write([]byte(s))
	}
	for i := range entries {
		digest.Write([]byte{byte(entries[i].Kind)})
		writeString(entries[i].Name)
		writeString(entries[i].Body)
	}
	s := &section{entries: entries}
	copy(s.hash[:], digest.Sum(nil))
	return s
}

// Tree is a whole configuration, or the part of a configuration that belongs to some services. It is immutable.
type Tree struct {
	sections map[string]*section
	names    []string // of the services, sorted
	hash     Hash
}

// EmptyTree returns a tree without services.
func EmptyTree() *Tree { return newTree(map[string]*section{}) }

func newTree(sections map[string]*section) *Tree {
	t := &Tree{sections: sections, names: slices.Sorted(maps.Keys(sections))}
	t.hash = t.ScopeHash(t.names)
	return t
}

// Hash returns the hash of all services of the tree.
func (t *Tree) Hash() Hash { return t.hash }

// ScopeHash returns the hash of the tree restricted to the given services. The names must be sorted and distinct.
func (t *Tree) ScopeHash(services []string) Hash {
	digest := sha256.New()
	for _, name := range services {
		if s := t.sections[name]; s != nil {
			digest.Write([]byte{byte(len(name))})
			digest.Write([]byte(name))
			digest.Write(s.hash[:])
		}
	}
	var h Hash
	copy(h[:], digest.Sum(nil))
	return h
}

// Scope returns the tree restricted to the given services. The names must be sorted and distinct.
func (t *Tree) Scope(services []string) *Tree {
	sections := make(map[string]*section, len(services))
	for _, name := range services {
		if s := t.sections[name]; s != nil {
			sections[name] = s
		}
	}
	return newTree(sections)
}

// Services returns the names of the services, sorted. The caller must not modify the slice.
func (t *Tree) Services() []string { return t.names }

// Entries returns the entries of a service, the service's own entry first. The caller must not modify the slice.
func (t *Tree) Entries(service string) []Entry {
	if s := t.sections[service]; s != nil {
		return s.entries
	}
	return nil
}

// Len returns the number of entries.
func (t *Tree) Len() (count int) {
	for _, s := range t.sections {
		count += len(s.entries)
	}
	return count
}

// Size returns the approximate size of the entries in bytes.
func (t *Tree) Size() (bytes int) {
	for _, s := range t.sections {
		for i := range s.entries {
			bytes += s.entries[i].size()
		}
	}
	return bytes
}

// ChangedServices returns the names of the services that differ between two trees, sorted.
func ChangedServices(a, b *Tree) (services []string) {
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
