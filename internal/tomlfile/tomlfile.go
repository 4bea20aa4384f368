// Package tomlfile reads TOML strictly: a fault names the file, line and column, the field, what was expected
// and, for an unknown field, the nearest known one. What the text itself cannot show to be wrong is reported by
// the same means, by the field's path.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
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

// Fault is one thing wrong with a file.
type Fault struct {
	File         string
	Line, Column int
	Field        string
	Text         string
}

// Error implements error.
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Field == "" {
		return at + ": " + f.Text
	}
	return at + ": " + f.Field + ": " + f.Text
}

// Faults are all that is wrong with a file, in the order of its lines.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

type position struct{ line, column int }

// File is a file as it was read, for faults found later.
type File struct {
	Name   string
	places map[string]position
	bare   []string // paths of values that are bare numbers
	faults Faults
}

// Read decodes a file's text into a struct. Faults of syntax, unknown fields and values of the wrong form are
// collected; Err tells them. What could be read is in the struct.
func Read(name string, text []byte, into any) *File {
	f := &File{Name: name, places: make(map[string]position)}
	f.find(text)
	for _, path := range f.bare {
		// The decoder would hand the number on as text, and then not tell where it stood.
		if t := typeAt(strings.Split(path, "."), reflect.TypeOf(into)); t == reflect.TypeFor[Duration]() || t == reflect.TypeFor[*Duration]() {
			f.Fault(path, "a time such as \"250ms\" or \"1.5s\" is needed, in quotes and with its unit")
		}
	}
	if len(f.faults) > 0 {
		return f
	}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			line, column := e.Position()
			path := strings.Join(e.Key(), ".")
			text := "unknown field"
			if near := nearest(e.Key(), reflect.TypeOf(into)); near != "" {
				text += ", did you mean " + near + "?"
			}
			f.faults = append(f.faults, Fault{name, line, column, path, text})
		}
	case errors.As(err, &one):
		line, column := one.Position()
		f.faults = append(f.faults, Fault{name, line, column, strings.Join(one.Key(), "."), strings.TrimPrefix(one.Error(), "toml: ")})
	default:
		f.faults = append(f.faults, Fault{File: name, Text: err.Error()})
	}
	return f
}

// Fault reports what is wrong with a field, given by its path, such as event.2.at.
func (f *File) Fault(path, format string, args ...any) {
	at, known := position{}, false
	for p := path; !known && p != ""; {
		if at, known = f.places[p]; !known {
			cut := strings.LastIndexByte(p, '.')
			p = p[:max(0, cut)]
		}
	}
	f.faults = append(f.faults, Fault{f.Name, at.line, at.column, path, fmt.Sprintf(format, args...)})
}

// Has reports whether the file states a field.
func (f *File) Has(path string) bool { _, ok := f.places[path]; return ok }

// Err returns all faults, or nil.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return f.faults
}

// find notes where each field stands.
func (f *File) find(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	at := func(n *unstable.Node) position {
		r := n.Raw
		if r.Length == 0 && len(n.Data) > 0 {
			r = p.Range(n.Data)
		}
		s := p.Shape(r).Start
		return position{s.Line, s.Column}
	}
	note := func(path string, n *unstable.Node) {
		if _, known := f.places[path]; !known {
			f.places[path] = at(n)
		}
	}
	key := func(it unstable.Iterator) (words []string, first *unstable.Node) {
		for it.Next() {
			n := *it.Node()
			if first == nil {
				first = &n
			}
			words = append(words, string(n.Data))
		}
		return words, first
	}
	var value func(path string, n *unstable.Node)
	value = func(path string, n *unstable.Node) {
		switch n.Kind {
		case unstable.Integer, unstable.Float:
			f.bare = append(f.bare, path)
		case unstable.InlineTable:
			for it := n.Children(); it.Next(); {
				kv := it.Node()
				words, first := key(kv.Key())
				inner := join(path, strings.Join(words, "."))
				note(inner, first)
				value(inner, kv.Value())
			}
		case unstable.Array:
			i := 0
			for it := n.Children(); it.Next(); i++ {
				value(join(path, strconv.Itoa(i)), it.Node())
			}
		}
	}
	table, counts := "", make(map[string]int)
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			words, first := key(e.Key())
			table = ""
			for i, w := range words {
				table = join(table, w)
				if n, ok := counts[table]; ok && (i < len(words)-1 || e.Kind == unstable.Table) {
					table = join(table, strconv.Itoa(n-1))
				}
			}
			if e.Kind == unstable.ArrayTable {
				counts[table]++
				table = join(table, strconv.Itoa(counts[table]-1))
			}
			note(table, first)
		case unstable.KeyValue:
			words, first := key(e.Key())
			path := join(table, strings.Join(words, "."))
			note(path, first)
			value(path, e.Value())
		}
	}
}

func join(path, word string) string {
	if path == "" {
		return word
	}
	return path + "." + word
}

// field is the type of a struct's field by its name in the file, and all such names.
func field(t reflect.Type, name string) (found reflect.Type, names []string) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() == reflect.Map {
		return t.Elem(), nil
	}
	if t.Kind() != reflect.Struct {
		return nil, nil
	}
	for _, f := range reflect.VisibleFields(t) { // those of embedded structs too
		n, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if n == "" || n == "-" {
			continue
		}
		if names = append(names, n); n == name {
			found = f.Type
		}
	}
	return found, names
}

// typeAt is the type of the value at a path, or nil. Places in lists are skipped.
func typeAt(path []string, t reflect.Type) reflect.Type {
	for _, word := range path {
		if _, err := strconv.Atoi(word); err == nil {
			continue
		}
		if t, _ = field(t, word); t == nil {
			return nil
		}
	}
	return t
}

// nearest is the known field most like the last word of a path; empty if none is near.
func nearest(path []string, t reflect.Type) string {
	for _, word := range path {
		inner, names := field(t, word)
		if inner == nil {
			return Nearest(word, names)
		}
		t = inner
	}
	return ""
}

// Nearest is the word of a list most like one that is not in it; empty if none is near.
func Nearest(word string, known []string) string {
	best, least := "", 4
	for _, k := range known {
		if d := levenshtein.ComputeDistance(k, word); d < least {
			best, least = k, d
		}
	}
	return best
}
