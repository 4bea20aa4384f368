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

// countField is where the length of a list of objects stands in the flat form.
const countField = "count"

// ParseJSON reads the settings as nested JSON: flattened to the paths of the text form, then translated by the
// same code. The error is as that of Parse.
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
	v.noteCommon(classes)
	return v.translate()
}

// noteCommon notes the fields that every class has.
func (v *values) noteCommon(classes []any) {
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

// note records that a path holds something. What lies in lists may come and go.
func (v *values) note(path string) {
	for part := range strings.SplitSeq(path, ".") {
		if strings.Trim(part, "0123456789") == "" {
			return
		}
	}
	v.present[path] = true
}

// flatten writes a value under its path: objects by their keys, lists of objects as .count and .0, .1 and so
// on, lists of plain values joined by commas.
func (v *values) flatten(path string, value any) {
	if value != nil {
		v.note(path)
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
		v.byPath[path], v.notNumber[path] = plain(value), true
	}
}

func (v *values) flattenList(path string, items []any) {
	words := make([]string, 0, len(items))
	for i, item := range items {
		if _, ok := item.(map[string]any); ok {
			v.byPath[join(path, countField)] = strconv.Itoa(len(items))
			v.flatten(join(path, strconv.Itoa(i)), item)
			continue
		}
		words = append(words, plain(item))
	}
	if len(words) == len(items) {
		v.byPath[path] = strings.Join(words, ",")
	}
}

// plain is a single value as the text form has it.
func plain(value any) string {
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
