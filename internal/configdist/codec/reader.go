package codec

import (
	"encoding/binary"
	"errors"

	"thymebend/internal/configdist/content"
)

// ErrMalformed is that of a body that ends too early or has a value out of bounds.
var ErrMalformed = errors.New("codec: malformed body")

// Reader reads the values of a body one after another. After the first that cannot be read all are zero, and Err says
// so.
type Reader struct {
	rest   []byte
	failed bool
}

// NewReader reads a body. What is read is copied out of it.
func NewReader(body []byte) *Reader { return &Reader{rest: body} }

// Err is ErrMalformed if some value could not be read.
func (r *Reader) Err() error {
	if r.failed {
		return ErrMalformed
	}
	return nil
}

func (r *Reader) fail() {
	r.failed, r.rest = true, nil
}

// Uint reads a number.
func (r *Reader) Uint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// Count reads how many values follow, of which each takes at least one byte.
func (r *Reader) Count() int {
	n := r.Uint()
	if n > uint64(len(r.rest)) {
		r.fail()
		return 0
	}
	return int(n)
}

// Bool reads a truth value.
func (r *Reader) Bool() bool {
	v := r.Uint()
	if v > 1 {
		r.fail()
	}
	return v == 1
}

// String reads a text of at most so many bytes.
func (r *Reader) String(maxBytes int) string {
	n := r.Count()
	if n > maxBytes {
		r.fail()
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

// Strings reads a list of texts of at most so many bytes each.
func (r *Reader) Strings(maxBytes int) []string {
	n := r.Count()
	list := make([]string, 0, n)
	for range n {
		list = append(list, r.String(maxBytes))
	}
	return list
}

// Hash reads a content hash.
func (r *Reader) Hash() (h content.Hash) {
	if len(r.rest) < len(h) {
		r.fail()
		return h
	}
	copy(h[:], r.rest)
	r.rest = r.rest[len(h):]
	return h
}

// Ref reads a version's name.
func (r *Reader) Ref() content.Ref {
	return content.Ref{Term: r.Uint(), Number: r.Uint(), Hash: r.Hash()}
}

// kind reads an entry's kind; whether there is such a kind is the content's affair.
func (r *Reader) kind() content.Kind {
	v := r.Uint()
	if v > 255 {
		r.fail()
	}
	return content.Kind(v)
}

// Entry reads an entry.
func (r *Reader) Entry() content.Entry {
	return content.Entry{Kind: r.kind(), Service: r.String(content.MaxName), Name: r.String(content.MaxName),
		Body: r.String(content.MaxBody)}
}

// Changes reads a list of changes.
func (r *Reader) Changes() []content.Change {
	n := r.Count()
	list := make([]content.Change, 0, min(n, content.MaxChanges))
	for range n {
		if r.failed {
			return nil
		}
		list = append(list, content.Change{Remove: r.Bool(), Entry: r.Entry()})
	}
	return list
}

// Cursor reads a place in a difference.
func (r *Reader) Cursor() content.Cursor {
	return content.Cursor{Service: r.String(content.MaxName), Kind: r.kind(), Name: r.String(content.MaxName)}
}

// AppendUint encodes a number.
func AppendUint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// AppendBool encodes a truth value.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// AppendString encodes a text.
func AppendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// AppendStrings encodes a list of texts.
func AppendStrings(b []byte, list []string) []byte {
	b = AppendUint(b, uint64(len(list)))
	for _, s := range list {
		b = AppendString(b, s)
	}
	return b
}

// AppendRef encodes a version's name.
func AppendRef(b []byte, ref content.Ref) []byte {
	return append(AppendUint(AppendUint(b, ref.Term), ref.Number), ref.Hash[:]...)
}

// AppendEntry encodes an entry.
func AppendEntry(b []byte, e *content.Entry) []byte {
	b = AppendUint(b, uint64(e.Kind))
	return AppendString(AppendString(AppendString(b, e.Service), e.Name), e.Body)
}

// AppendChanges encodes a list of changes.
func AppendChanges(b []byte, changes []content.Change) []byte {
	b = AppendUint(b, uint64(len(changes)))
	for i := range changes {
		b = AppendEntry(AppendBool(b, changes[i].Remove), &changes[i].Entry)
	}
	return b
}

// AppendCursor encodes a place in a difference.
func AppendCursor(b []byte, c content.Cursor) []byte {
	return AppendString(AppendUint(AppendString(b, c.Service), uint64(c.Kind)), c.Name)
}
