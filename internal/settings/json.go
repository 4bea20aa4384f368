package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ParseJSON reads the settings as nested JSON: flattened to the paths of the text form, then translated by the
// same code.
func ParseJSON(raw []byte) (Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := settings{values: make(map[string]string), text: make(map[string]bool), present: make(map[string]bool)}
	s.flatten("", tree)
	classes, _ := tree["classes"].([]any)
	s.common(classes)
	return s.translate()
}

// common notes the fields that every class has.
func (s *settings) common(classes []any) {
	if len(classes) == 0 {
		return
	}
	first, _ := classes[0].(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(first)) {
		if !slices.ContainsFunc(classes, func(c any) bool { m, _ := c.(map[string]any); return m[name] == nil }) {
			s.present["classes.*."+name] = true
		}
	}
}

// note records that a path holds something. What lies in lists may come and go.
func (s *settings) note(path string) {
	for part := range strings.SplitSeq(path, ".") {
		if strings.Trim(part, "0123456789") == "" {
			return
		}
	}
	s.present[path] = true
}

// flatten writes a value under its path: objects by their keys, lists of objects as .count and .0, .1 and so
// on, lists of plain values joined by commas.
func (s *settings) flatten(path string, v any) {
	if v != nil {
		s.note(path)
	}
	switch v := v.(type) {
	case map[string]any:
		for k, item := range v {
			s.flatten(join(path, k), item)
		}
	case []any:
		s.flattenList(path, v)
	case nil: // absent
		s.text[path] = true
	case json.Number:
		s.values[path] = v.String()
	default:
		s.values[path], s.text[path] = plain(v), true
	}
}

func (s *settings) flattenList(path string, items []any) {
	words := make([]string, 0, len(items))
	for i, item := range items {
		if _, ok := item.(map[string]any); ok {
			s.values[join(path, "count")] = strconv.Itoa(len(items))
			s.flatten(join(path, strconv.Itoa(i)), item)
			continue
		}
		words = append(words, plain(item))
	}
	if len(words) == len(items) {
		s.values[path] = strings.Join(words, ",")
	}
}

// plain is a single value as the text form has it.
func plain(v any) string {
	return strings.Map(func(r rune) rune {
		if r == ' ' || r == ',' {
			return '_'
		}
		return r
	}, fmt.Sprint(v))
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
