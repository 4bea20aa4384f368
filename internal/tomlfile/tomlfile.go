// Package tomlfile reads TOML strictly: a fault names the file, line and column, the field, what was expected
// and, for an unknown field, the nearest known one. What the text itself cannot show to be wrong is reported by
// the same means, by the field's path.
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
	// ErrUnknownField is a field that the file may not have. The fault's text may name the nearest known one.
	ErrUnknownField = errors.New("unknown field")
	// ErrNotDuration is a time that is a bare number or not in Go's notation.
	ErrNotDuration = errors.New(`a time such as "250ms" or "1.5s" is needed, in quotes and with its unit`)
	// ErrDecode is text that is no TOML, or a value that the field's type cannot hold.
	ErrDecode = errors.New("not readable as TOML for this field")
)

// Duration is a time in a file, such as "1.5s" or "250ms". It is a struct so that a bare number, which would
// have to mean nanoseconds, is refused.
type Duration struct{ time.Duration }

// UnmarshalText reads Go's notation of durations.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"250ms\" or \"1.5s\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText writes Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// File is a file as it was read, for faults found later.
type File struct {
	Name      string
	positions map[string]position // of each field, by its path
	numbers   []string            // paths of values that are bare numbers
	faults    fielderror.List
}

// Read decodes a file's text into a struct. Faults of syntax, unknown fields and values of the wrong form are
// collected; Err returns them. What could be read is in the struct.
func Read(name string, text []byte, into any) *File {
	f := &File{Name: name, positions: make(map[string]position)}
	f.index(text)
	schema := reflect.TypeOf(into)
	for _, path := range f.numbers {
		// The decoder would hand the number on as text, and then not tell where it stood.
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

// addDecodeErrors takes what the decoder found wrong.
func (f *File) addDecodeErrors(err error, schema reflect.Type) {
	var strict *toml.StrictMissingError
	var single *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for i := range strict.Errors {
			unknown := &strict.Errors[i]
			cause := ErrUnknownField
			if near := nearestField(unknown.Key(), schema); near != "" {
				cause = fmt.Errorf("%w, did you mean %s?", ErrUnknownField, near)
			}
			f.addDecoded(unknown, cause)
		}
	case errors.As(err, &single):
		f.addDecoded(single, decodeError{single})
	default:
		f.faults = append(f.faults, &fielderror.Error{File: f.Name, Err: err})
	}
}

func (f *File) addDecoded(at *toml.DecodeError, cause error) {
	line, column := at.Position()
	f.faults = append(f.faults, &fielderror.Error{
		File: f.Name, Line: line, Column: column, Field: strings.Join(at.Key(), "."), Err: cause,
	})
}

// decodeError is ErrDecode with the decoder's own words.
type decodeError struct{ cause *toml.DecodeError }

// Error implements error.
func (e decodeError) Error() string { return strings.TrimPrefix(e.cause.Error(), "toml: ") }

// Unwrap returns what the error can be matched with.
func (e decodeError) Unwrap() []error { return []error{ErrDecode, e.cause} }

// Fault reports what is wrong with a field, given by its path, such as event.2.at. The format may wrap a cause
// with %w.
func (f *File) Fault(path, format string, args ...any) { f.add(path, fmt.Errorf(format, args...)) }

// add reports a fault at the place of a field, or of the nearest table that holds it.
func (f *File) add(path string, cause error) {
	at, known := position{}, false
	for p := path; !known && p != ""; {
		if at, known = f.positions[p]; !known {
			p = p[:max(0, strings.LastIndexByte(p, '.'))]
		}
	}
	f.faults = append(f.faults, &fielderror.Error{
		File: f.Name, Line: at.line, Column: at.column, Field: path, Err: cause,
	})
}

// Has reports whether the file states a field.
func (f *File) Has(path string) bool { _, ok := f.positions[path]; return ok }

// Err returns all faults as a fielderror.List in the order of their places, or nil.
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
