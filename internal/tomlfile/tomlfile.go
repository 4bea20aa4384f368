// Package tomlfile decodes TOML strictly: a fault names the file, line and column, the field, what was expected and,
// for an unknown field, the most similar known field. Faults that only the caller can detect, such as a value out of
// range, are reported by the field's path and get the same position.
package tomlfile

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"thymebend/internal/fielderror"
)

// Causes of a fielderror.Error from Read.
var (
	// ErrUnknownField is the cause when the file has a field that the struct lacks. The fault's text names the most
	// similar known field, if there is one.
	ErrUnknownField = errors.New("unknown field")
	// ErrNotDuration is the cause when a Duration is given as a bare number.
	ErrNotDuration = errors.New(`a time such as "250ms" or "1.5s" is needed, in quotes and with its unit`)
	// ErrDecode is the cause when the text is not valid TOML, or a value does not fit the field's type.
	ErrDecode = errors.New("not readable as TOML for this field")
)

// Duration is a duration in a file, such as "1.5s" or "250ms". It is a struct so that a bare number, which would have
// to mean nanoseconds, is rejected.
type Duration struct{ time.Duration }

// UnmarshalText parses Go's notation of durations.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"250ms\" or \"1.5s\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText returns Go's notation of durations.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// File holds the faults and the field positions of a decoded file. Callers add the faults that they find later.
type File struct {
	Name      string
	positions map[string]position // by the path of the field
	numbers   []string            // paths of the values that are bare numbers
	faults    fielderror.List
}

// Read decodes a file's text into a struct. It collects syntax errors, unknown fields and values of the wrong form; Err
// returns them. With faults, the struct holds the fields that could be decoded; it stays empty if a duration is a bare
// number.
func Read(name string, text []byte, into any) *File {
	f := &File{Name: name, positions: make(map[string]position)}
	f.index(text)
	schema := reflect.TypeOf(into)
	for _, path := range f.numbers {
		// The decoder would pass the number to UnmarshalText, and report its error without a position.
		switch typeAt(strings.Split(path, "."), schema) {
		case reflect.TypeFor[Duration](), reflect.TypeFor[*Duration]():
			f.add(path, ErrNotDuration)
		}
	}
	if len(f.faults) > 0 {
		return f
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	f.addDecodeErrors(decoder.Decode(into), schema)
	return f
}

// addDecodeErrors adds the errors of the decoder to the faults.
func (f *File) addDecodeErrors(err error, schema reflect.Type) {
	var strict *toml.StrictMissingError
	var single *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for i := range strict.Errors {
			unknown := &strict.Errors[i]
			cause := ErrUnknownField
			if similar := nearestField(unknown.Key(), schema); similar != "" {
				cause = fmt.Errorf("%w, did you mean %s?", ErrUnknownField, similar)
			}
			f.addDecoderFault(unknown, cause)
		}
	case errors.As(err, &single):
		f.addDecoderFault(single, decodeError{single})
	default:
		f.faults = append(f.faults, &fielderror.Error{File: f.Name, Err: err})
	}
}

// addDecoderFault adds a fault at the position that the decoder reports.
func (f *File) addDecoderFault(source *toml.DecodeError, cause error) {
	line, column := source.Position()
	f.faults = append(f.faults, &fielderror.Error{
		File: f.Name, Line: line, Column: column, Field: strings.Join(source.Key(), "."), Err: cause,
	})
}

// decodeError is an error of the decoder that errors.Is matches with ErrDecode.
type decodeError struct{ cause *toml.DecodeError }

// Error implements error.
func (e decodeError) Error() string { return strings.TrimPrefix(e.cause.Error(), "toml: ") }

// Unwrap returns ErrDecode and the decoder's error.
func (e decodeError) Unwrap() []error { return []error{ErrDecode, e.cause} }

// AddFault adds a fault of a field, which is given by its path, such as event.2.at. The format may wrap a cause with
// %w.
func (f *File) AddFault(path, format string, args ...any) { f.add(path, fmt.Errorf(format, args...)) }

// add adds a fault at the position of a field or, if the file lacks the field, of the innermost table around it that
// the file has.
func (f *File) add(path string, cause error) {
	pos, known := position{}, false
	for p := path; !known && p != ""; {
		if pos, known = f.positions[p]; !known {
			p = p[:max(0, strings.LastIndexByte(p, '.'))]
		}
	}
	f.faults = append(f.faults, &fielderror.Error{
		File: f.Name, Line: pos.line, Column: pos.column, Field: path, Err: cause,
	})
}

// Has reports whether the file contains a field, given by its path.
func (f *File) Has(path string) bool { _, ok := f.positions[path]; return ok }

// Err returns all faults as a fielderror.List in the order of their positions, or nil if there are none.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b *fielderror.Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f.faults
}

func join(path, word string) string {
	if path == "" {
		return word
	}
	return path + "." + word
}
