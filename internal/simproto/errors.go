package simproto

import (
	"errors"
	"fmt"

	"thymebend/internal/fielderror"
)

// Causes of a fielderror.Error.
var (
	ErrTruncated   = errors.New("cut short")
	ErrSize        = errors.New("sizes that do not fit together")
	ErrTime        = errors.New("is not a usable time")
	ErrUnknownCode = errors.New("unknown code")
	ErrNoInstance  = errors.New("event before any instance is named")
	ErrOutsideTail = errors.New("outside the tail")
)

// batchError is a fault of a frame as a whole.
func batchError(cause error) error { return &fielderror.Error{File: "batch", Err: cause} }

// recordError is a fault of one record. A fault of a field keeps its name.
func recordError(index int, err error) error {
	part := fmt.Sprintf("record %d", index)
	if fault, ok := err.(*fielderror.Error); ok && fault.File == "" {
		fault.File = part
		return fault
	}
	return &fielderror.Error{File: part, Err: err}
}
