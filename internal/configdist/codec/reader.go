package codec

import (
	"encoding/binary"
	"errors"

	"thymebend/internal/configdist/content"
)

// ErrMalformed is returned for a body that is truncated or has a value out of bounds.
var ErrMalformed = errors.New("codec: malformed body")

// Reader decodes the values of a body in sequence. After the first value that cannot be decoded, all values are zero
// and Err returns ErrMalformed.
type Reader struct {
	remaining []byte
	failed    bool
}

// NewReader returns a reader of body. The values it returns are copies that do not refer to body.
func NewReader(body []byte) *Reader { return &Reader{remaining: body} }

// Err returns ErrMalformed if a value could not be decoded, and nil otherwise.
func (r *Reader) Err() error {
	if r.failed {
		return ErrMalformed
	}
	return nil
}

func (r *Reader) fail() {
	r.failed, r.remaining = true, nil
}

// Uint decodes a variable-length unsigned integer.
func (r *Reader) Uint() uint64 {
	v, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.remaining = r.remaining[n:]
	return v
}

// Count decodes the length of a list or string. It fails if the remaining bytes are fewer, since each element takes
// at least one byte.
func (r *Reader) Count() int {
	n := r.Uint()
	if n > uint64(len(r.remaining)) {
		r.fail()
		return 0
	}
	return int(n)
}

// Bool decodes a boolean.
func (r *Reader) Bool() bool {
	v := r.Uint()
	if v > 1 {
		r.fail()
	}
	return v == 1
}

// String decodes a string of at most maxBytes bytes.
func (r *Reader) String(maxBytes int) string {
	n := r.Count()
	if n > maxBytes {
		r.fail()
		return ""
	}
	s := string(r.remaining[:n])
	r.remaining = r.remaining[n:]
	return s
}

// Strings decodes a list of strings of at most maxBytes bytes each.
func (r *Reader) Strings(maxBytes int) []string {
	n := r.Count()
	list := make([]string, 0, n)
	for range n {
		list = append(list, r.String(maxBytes))
	}
	return list
}

// Hash decodes a content hash.
func (r *Reader) Hash() (h content.Hash) {
	if len(r.remaining) < len(h) {
		r.fail()
		return h
	}
	copy(h[:], r.remaining)
	r.remaining = r.remaining[len(h):]
	return h
}

// Ref decodes a reference to a version.
func (r *Reader) Ref() content.Ref {
	return content.Ref{Term: r.Uint(), Number: r.Uint(), Hash: r.Hash()}
}

// kind decodes the kind of an entry. Package content checks whether the kind is known.
func (r *Reader) kind() content.Kind {
	v := r.Uint()
	if v > 255 {
		r.fail()
	}
	return content.Kind(v)
}

// Entry decodes an entry.
func (r *Reader) Entry() content.Entry {
	return content.Entry{Kind: r.kind(), Service: r.String(content.MaxNameBytes), Name: r.String(content.MaxNameBytes),
		Body: r.String(content.MaxBodyBytes)}
}

// Changes decodes a list of changes.
func (r *Reader) Changes() []content.Change {
	n := r.Count()
	list := make([]content.Change, 0, min(n, content.MaxProposalChanges))
	for range n {
		if r.failed {
			return nil
		}
		list = append(list, content.Change{Remove: r.Bool(), Entry: r.Entry()})
	}
	return list
}

// Cursor decodes a position in the difference between two trees.
func (r *Reader) Cursor() content.Cursor {
	return content.Cursor{Service: r.String(content.MaxNameBytes), Kind: r.kind(), Name: r.String(content.MaxNameBytes)}
}

// AppendUint appends a variable-length unsigned integer to b.
func AppendUint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// AppendBool appends a boolean to b.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// AppendString appends a string to b, preceded by its length.
func AppendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// AppendStrings appends a list of strings to b, preceded by its length.
func AppendStrings(b []byte, list []string) []byte {
	b = AppendUint(b, uint64(len(list)))
	for _, s := range list {
		b = AppendString(b, s)
	}
	return b
}

// AppendRef appends a reference to a version to b.
func AppendRef(b []byte, ref content.Ref) []byte {
	return append(AppendUint(AppendUint(b, ref.Term), ref.Number), ref.Hash[:]...)
}

// AppendEntry appends an entry to b.
func AppendEntry(b []byte, e *content.Entry) []byte {
	b = AppendUint(b, uint64(e.Kind))
	return AppendString(AppendString(AppendString(b, e.Service), e.Name), e.Body)
}

// AppendChanges appends a list of changes to b, preceded by its length.
func AppendChanges(b []byte, changes []content.Change) []byte {
	b = AppendUint(b, uint64(len(changes)))
	for i := range changes {
		b = AppendEntry(AppendBool(b, changes[i].Remove), &changes[i].Entry)
	}
	return b
}

// AppendCursor appends a position in the difference between two trees to b.
func AppendCursor(b []byte, c content.Cursor) []byte {
	return AppendString(AppendUint(AppendString(b, c.Service), uint64(c.Kind)), c.Name)
}
