package simproto

import (
	"errors"
	"fmt"

	"thymebend/internal/fielderror"
)

// Causes of a fielderror.Error: a frame that ends too early, sizes in a frame that contradict each other, an invalid
// time, an unknown code, an event before the first instance, and a reference to bytes outside the tail.
var (
	ErrTruncated   = errors.New("cut short")
	ErrSize        = errors.New("sizes that do not fit together")
	ErrTime        = errors.New("is not a usable time")
	ErrUnknownCode = errors.New("unknown code")
	ErrNoInstance  = errors.New("event before any instance is named")
	ErrOutsideTail = errors.New("outside the tail")
)

// batchError returns an error for a fault that concerns a frame as a whole.
func batchError(cause error) error { return &fielderror.Error{File: "batch", Err: cause} }

// recordError returns an error for a fault of one record. If err is a fielderror.Error without a File, the result keeps
// its field.
func recordError(index int, err error) error {
	part := fmt.Sprintf("record %d", index)
	if fault, ok := err.(*fielderror.Error); ok && fault.File == "" {
		fault.File = part
		return fault
	}
	return &fielderror.Error{File: part, Err: err}
}
