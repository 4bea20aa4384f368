package gossipcodec

import (
	"errors"
	"fmt"
)

// Errors of [Parse] that callers can match with errors.Is.
var (
	// ErrVersion is returned for a datagram whose version is not [Version].
	ErrVersion = errors.New("gossipcodec: unknown version")
	// ErrTooLong is returned for a datagram of more than [MaxDatagram] bytes.
	ErrTooLong = errors.New("gossipcodec: datagram too long")
)

// FieldError reports which field of a datagram is invalid. If protowire could not decode the field, it wraps
// protowire's error.
type FieldError struct {
	Field  string // name in the schema, or the number if the field was not decoded; empty for an invalid tag
	reason string
	cause  error
}

// Error implements error.
func (e *FieldError) Error() string { return "gossipcodec: " + e.reason }

// Unwrap returns protowire's error, or nil.
func (e *FieldError) Unwrap() error { return e.cause }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, reason: fmt.Sprintf(format, args...)}
}

// lengthError matches ErrTooLong with errors.Is, but its text states the length of the datagram.
type lengthError int

func (e lengthError) Error() string {
	return fmt.Sprintf("gossipcodec: datagram of %d bytes exceeds the maximum of %d bytes", int(e), MaxDatagram)
}

func (e lengthError) Is(target error) bool { return target == ErrTooLong }
