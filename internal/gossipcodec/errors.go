package gossipcodec

import (
	"errors"
	"fmt"
)

// Errors of [Parse] that callers can match.
var (
	// ErrVersion is that of a datagram of a version that is not known here.
	ErrVersion = errors.New("fleetwire: unknown version")
	// ErrTooLong is that of a datagram over MaxDatagram bytes.
	ErrTooLong = errors.New("fleetwire: datagram too long")
)

// FieldError says which field of a datagram cannot be read. Its cause, if there is one, is protowire's.
type FieldError struct {
	Field  string // by its name in the schema, or by its number where only that is known; empty for a broken tag
	reason string
	cause  error
}

// Error implements error.
func (e *FieldError) Error() string { return "fleetwire: " + e.reason }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.cause }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, reason: fmt.Sprintf(format, args...)}
}

// lengthError keeps ErrTooLong out of the text, which states the length instead.
type lengthError int

func (e lengthError) Error() string {
	return fmt.Sprintf("fleetwire: %d bytes, %d at most", int(e), MaxDatagram)
}

func (e lengthError) Is(target error) bool { return target == ErrTooLong }
