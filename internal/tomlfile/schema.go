package tomlfile

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
)

// maxEditDistance is the largest edit distance between a word and a suggestion for it.
const maxEditDistance = 3

// fieldType returns the type of a struct's field by its name in the file, nil if there is none, and the names of all
// fields. Of a map it returns the type of the elements.
func fieldType(t reflect.Type, name string) (found reflect.Type, names []string) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() == reflect.Map {
		return t.Elem(), nil
	}
	if t.Kind() != reflect.Struct {
		return nil, nil
	}
	for _, f := range reflect.VisibleFields(t) { // includes the fields of embedded structs
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

// typeAt returns the type of the value at a path, or nil if the path is unknown. It skips indices of lists.
func typeAt(path []string, t reflect.Type) reflect.Type {
	for _, word := range path {
		if _, err := strconv.Atoi(word); err == nil {
			continue
		}
		if t, _ = fieldType(t, word); t == nil {
			return nil
		}
	}
	return t
}

// nearestField returns the known field most similar to the first unknown word of a path, or "" if none is similar.
func nearestField(path []string, t reflect.Type) string {
	for _, word := range path {
		inner, names := fieldType(t, word)
		if inner == nil {
			return ClosestMatch(word, names)
		}
		t = inner
	}
	return ""
}

// ClosestMatch returns the known word with the smallest edit distance to word, or "" if all are more than
// maxEditDistance edits apart.
func ClosestMatch(word string, known []string) string {
	best, bestDistance := "", maxEditDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(k, word); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}
