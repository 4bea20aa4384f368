package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"thymebend/internal/fielderror"
)

// countField is the field that holds the length of a list of objects in the text form.
const countField = "count"

// ParseJSON reads the settings from nested JSON. It flattens them to the paths of the text form, which the same code as
// in Parse translates. The errors are like those of Parse.
func ParseJSON(raw []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", &fielderror.Error{Err: err})
	}
	v := values{byPath: make(map[string]string), notNumber: make(map[string]bool), present: make(map[string]bool)}
	v.flatten("", tree)
	classes, _ := tree[classesPath].([]any)
	v.recordCommonClassFields(classes)
	return v.translate()
}

// recordCommonClassFields marks the fields that every class has as present, under classes.*.
func (v *values) recordCommonClassFields(classes []any) {
	if len(classes) == 0 {
		return
	}
	first, _ := classes[0].(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(first)) {
		lacks := func(class any) bool { fields, _ := class.(map[string]any); return fields[name] == nil }
		if !slices.ContainsFunc(classes, lacks) {
			v.present[classesPath+".*."+name] = true
		}
	}
}

// recordPresent marks a path as present. It skips paths inside lists: elements of lists may be added and removed.
func (v *values) recordPresent(path string) {
	for part := range strings.SplitSeq(path, ".") {
		if strings.Trim(part, "0123456789") == "" {
			return
		}
	}
	v.present[path] = true
}

// flatten stores a value under its path: an object by its keys, a list of objects as .count, .0, .1 and so on, a list
// of plain values as one text joined by commas.
func (v *values) flatten(path string, value any) {
	if value != nil {
		v.recordPresent(path)
	}
	switch value := value.(type) {
	case map[string]any:
		for key, item := range value {
			v.flatten(join(path, key), item)
		}
	case []any:
		v.flattenList(path, value)
	case nil: // absent
		v.notNumber[path] = true
	case json.Number:
		v.byPath[path] = value.String()
	default:
		v.byPath[path], v.notNumber[path] = plainText(value), true
	}
}

// flattenList stores the elements of a list, see flatten.
func (v *values) flattenList(path string, items []any) {
	plainItems := make([]string, 0, len(items))
	for i, item := range items {
		if _, ok := item.(map[string]any); ok {
			v.byPath[join(path, countField)] = strconv.Itoa(len(items))
			v.flatten(join(path, strconv.Itoa(i)), item)
			continue
		}
		plainItems = append(plainItems, plainText(item))
	}
	if len(plainItems) == len(items) {
		v.byPath[path] = strings.Join(plainItems, ",")
	}
}

// plainText returns a single value as in the text form: spaces and commas become underscores.
func plainText(value any) string {
	return strings.Map(func(r rune) rune {
		if r == ' ' || r == ',' {
			return '_'
		}
		return r
	}, fmt.Sprint(value))
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
