package tomlfile

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
)

// maxDistance is how many edits apart a word and its suggestion may be.
const maxDistance = 3

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
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		if names = append(names, tag); tag == name {
			found = f.Type
		}
	}
	return found, names
}

// typeAt is the type of the value at a path, or nil. Indices of lists are skipped.
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

// nearestField is the known field most like the first unknown word of a path; empty if none is near.
func nearestField(path []string, t reflect.Type) string {
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
	best, least := "", maxDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(k, word); d < least {
			best, least = k, d
		}
	}
	return best
}
