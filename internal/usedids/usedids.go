// Package usedids remembers the ids of requests that may have run, so that none of them runs again. It does no I/O, and
// nothing in it is safe for concurrent use.
package usedids

import (
	"crypto/sha256"
	"encoding/binary"
)

// Capacity is the number of ids that are remembered. With more, the oldest are forgotten.
const Capacity = 32 << 10

// encodedSize is the size of an encoded ID, in bytes.
const encodedSize = 8

// ID stands for a client's id of a request. It is the same in all processes.
type ID uint64

// Of returns the ID of a client's id. No client can choose an id that is taken for another client's.
func Of(id string) ID {
	sum := sha256.Sum256([]byte(id))
	return ID(binary.BigEndian.Uint64(sum[:]))
}

// Set holds the ids of the requests that may have run. The zero value is empty.
type Set struct {
	order []ID       // in the order in which they were added; a ring once it holds Capacity ids
	next  int        // index in order of the next id to replace, once it is a ring
	used  map[ID]int // the index in order of each id of the set
}

// Add adds an id and reports whether it is new.
func (s *Set) Add(id ID) bool {
	if s.Contains(id) {
		return false
	}
	if s.used == nil {
		s.used = make(map[ID]int)
	}
	if len(s.order) < Capacity {
		s.used[id] = len(s.order)
		s.order = append(s.order, id)
		return true
	}
	if oldest := s.order[s.next]; s.used[oldest] == s.next {
		delete(s.used, oldest) // otherwise it was forgotten and added again, which is more recent
	}
	s.used[id], s.order[s.next] = s.next, id
	s.next = (s.next + 1) % Capacity
	return true
}

// Forget removes an id whose request is known not to have run.
func (s *Set) Forget(id ID) { delete(s.used, id) }

// Contains reports whether the set has an id.
func (s *Set) Contains(id ID) bool {
	_, contained := s.used[id]
	return contained
}

// Recent returns the ids of the set, oldest first.
func (s *Set) Recent() []ID {
	recent := make([]ID, 0, len(s.used))
	for i := range s.order {
		index := (s.next + i) % len(s.order)
		if at, contained := s.used[s.order[index]]; contained && at == index {
			recent = append(recent, s.order[index])
		}
	}
	return recent
}

// Encode returns ids in the form that Decode reads.
func Encode(ids []ID) []byte {
	out := make([]byte, 0, encodedSize*len(ids))
	for _, id := range ids {
		out = binary.BigEndian.AppendUint64(out, uint64(id))
	}
	return out
}

// Decode returns the encoded ids. An incomplete one at the end is ignored.
func Decode(encoded []byte) (ids []ID) {
	for ; len(encoded) >= encodedSize; encoded = encoded[encodedSize:] {
		ids = append(ids, ID(binary.BigEndian.Uint64(encoded)))
	}
	return ids
}
