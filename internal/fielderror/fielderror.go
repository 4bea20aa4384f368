// Package fielderror is the error of all readers of files, settings and frames: where a fault stands, in which
// field, and its cause. Callers match the cause with errors.Is and take the place with errors.As.
package fielderror

import (
	"errors"
	"fmt"
	"strings"
)

// ErrMissing is the cause where a field that is required is absent. The text reads on from the field's name.
var ErrMissing = errors.New("is missing")

// Error is one fault.
type Error struct {
	File         string // or the part of a stream, such as "record 3"; empty where the caller names it
	Line, Column int    // from 1; 0 where they are not known
	Field        string // by its path, as the input names it; empty for a fault of the whole
	Value        string // as it was read, quoted; empty where the cause words it
	Inline       bool   // the cause reads on from the field, "zone is missing"; otherwise a colon parts them
	Err          error  // the cause
}

// Missing is the error of a required field that is absent.
func Missing(field string) *Error { return Inline(field, ErrMissing) }

// Inline is the error of a field whose cause reads on from the field's name.
func Inline(field string, cause error) *Error {
	return &Error{Field: field, Inline: true, Err: cause}
}

// Inlinef is Inline with a cause from a format, which may wrap another with %w.
func Inlinef(field, format string, args ...any) *Error {
	return Inline(field, fmt.Errorf(format, args...))
}

// Worded is a cause that errors.Is matches with kind and that has words of its own. The format may wrap another
// error with %w.
func Worded(kind error, format string, args ...any) error {
	return &worded{kind: kind, words: fmt.Errorf(format, args...)}
}

type worded struct{ kind, words error }

// Error implements error.
func (w *worded) Error() string { return w.words.Error() }

// Unwrap returns the kind of cause, and the words for what they wrap.
func (w *worded) Unwrap() []error { return []error{w.kind, w.words} }

// Error implements error: FILE:LINE:COLUMN: FIELD: CAUSE, without the parts that are not known.
func (e *Error) Error() string {
	var text strings.Builder
	if e.File != "" {
		text.WriteString(e.File)
		if e.Line > 0 {
			fmt.Fprintf(&text, ":%d", e.Line)
		}
		if e.Column > 0 {
			fmt.Fprintf(&text, ":%d", e.Column)
		}
		text.WriteString(": ")
	}
	if e.Field != "" {
		text.WriteString(e.Field)
		if e.Value != "" {
			text.WriteString("=" + e.Value)
		}
		if !e.Inline {
			text.WriteByte(':')
		}
		text.WriteByte(' ')
	}
	text.WriteString(e.Err.Error())
	return text.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// List is all that is wrong with one input, in the order of its lines.
type List []*Error

// Error implements error: a line for each.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.Is and errors.As look at each.
func (l List) Unwrap() []error {
	all := make([]error, len(l))
	for i, e := range l {
		all[i] = e
	}
	return all
}
