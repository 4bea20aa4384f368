// Package fielderror defines the error that all decoders of files, settings and frames return: the position of a
// fault, the field, its value and the cause. Callers match the cause with errors.Is and get the position with
// errors.As.
package fielderror

import (
	"errors"
	"fmt"
	"strings"
)

// ErrMissing is the cause when a required field is absent. Its text continues a sentence that starts with the field's
// name.
var ErrMissing = errors.New("is missing")

// Error is one fault in an input.
type Error struct {
	File         string // or the part of a stream, such as "record 3"; empty if the caller adds it to the text
	Line, Column int    // counted from 1; 0 if not known
	Field        string // path of the field as the input names it; empty if the fault concerns the whole input
	Value        string // the value that was read, quoted; empty if the cause's text contains it
	Inline       bool   // the cause continues the field's name ("zone is missing"); otherwise a colon separates them
	Err          error  // the cause
}

// Missing returns the error for a required field that is absent.
func Missing(field string) *Error { return Inline(field, ErrMissing) }

// Inline returns an error whose text is the field's name followed by the cause, without a colon between them.
func Inline(field string, cause error) *Error {
	return &Error{Field: field, Inline: true, Err: cause}
}

// Inlinef is like Inline; it formats the cause, which may wrap another error with %w.
func Inlinef(field, format string, args ...any) *Error {
	return Inline(field, fmt.Errorf(format, args...))
}

// CauseWithText returns a cause that errors.Is matches with kind but whose text is the formatted text alone. The format
// may wrap another error with %w.
func CauseWithText(kind error, format string, args ...any) error {
	return &textCause{kind: kind, text: fmt.Errorf(format, args...)}
}

// textCause is the cause returned by CauseWithText.
type textCause struct{ kind, text error }

// Error implements error.
func (c *textCause) Error() string { return c.text.Error() }

// Unwrap returns the kind of cause, and the formatted error with whatever it wraps.
func (c *textCause) Unwrap() []error { return []error{c.kind, c.text} }

// Error implements error. The text is FILE:LINE:COLUMN: FIELD=VALUE: CAUSE, without the parts that are not known.
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

// List holds all faults of one input, in the order of their lines.
type List []*Error

// Error implements error. The text has one line for each fault.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.Is and errors.As examine each of them.
func (l List) Unwrap() []error {
	all := make([]error, len(l))
	for i, e := range l {
		all[i] = e
	}
	return all
}
