package settings

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/fielderror"
)

// Causes of a fielderror.Error, beside fielderror.ErrMissing. Their texts read on from the setting and its value.
var (
	ErrNotNumber   = errors.New("is not a number")
	ErrNotPositive = errors.New("is not a number above 0")
	ErrNotInteger  = errors.New("is not a whole number in range")
	ErrUnknownWord = errors.New("is none of")
	ErrDuplicate   = errors.New("once more")
)

const (
	maxNumber  = 1e12    // above any figure that a deployment states
	maxInteger = 1 << 20 // the largest count
)

// values holds the settings by path. Reading one remembers the first fault.
type values struct {
	byPath    map[string]string
	notNumber map[string]bool // of JSON: paths whose value is no number, or null
	present   map[string]bool // of JSON: paths that hold something, without indices of lists; nil otherwise
	fault     *fielderror.Error
}

// isJSON reports whether the settings came as JSON, which is held to more rules.
func (v *values) isJSON() bool { return v.present != nil }

func (v *values) fail(fault *fielderror.Error) {
	if v.fault == nil {
		v.fault = fault
	}
}

// failValue is the fault of a setting whose value was read.
func (v *values) failValue(path string, cause error) {
	v.fail(&fielderror.Error{Field: path, Value: strconv.Quote(v.byPath[path]), Inline: true, Err: cause})
}

// field is how one field of a settings struct is read, by its tags:
//
//	setting   its name, under the path of the struct
//	default   its value where it is absent
//	required  "true" where it may not be absent
//	above     "0" where its number, if there is one, must be above 0; null is a fault
//	oneof     the words that a string may be, in any case
type field struct {
	index    int
	name     string
	fallback string
	number   float64 // the default of a number, in the setting's own unit
	required bool
	positive bool
	words    []string
}

// fieldsOf reads the tags of a settings struct.
func fieldsOf[T any]() (fields []field) {
	t := reflect.TypeFor[T]()
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		f := field{index: i, name: tag.Get("setting"), fallback: tag.Get("default"),
			required: tag.Get("required") == "true", positive: tag.Get("above") == "0"}
		if words := tag.Get("oneof"); words != "" {
			f.words = strings.Split(words, ",")
		}
		if f.fallback != "" && t.Field(i).Type.Kind() != reflect.String {
			var err error
			if f.number, err = strconv.ParseFloat(f.fallback, 64); err != nil {
				panic(fmt.Sprintf("settings: default of %s: %v", f.name, err)) // a tag of this package is wrong
			}
		}
		fields = append(fields, f)
	}
	return fields
}

// read fills a settings struct with the values under a path, in the order of its fields.
func (v *values) read(prefix string, fields []field, into any) {
	target := reflect.ValueOf(into).Elem()
	for i := range fields {
		f := &fields[i]
		path := prefix + f.name
		switch to := target.Field(f.index); to.Interface().(type) {
		case time.Duration:
			to.SetInt(int64(Millis(v.positiveNumber(path, f, v.number(path, f.number, f.required)))))
		case float64:
			to.SetFloat(v.number(path, f.number, f.required))
		case int:
			number := v.integer(path, int(f.number), f.required)
			to.SetInt(int64(v.positiveNumber(path, f, float64(number))))
		case bool:
			to.SetBool(v.word(path, "false", "true", "false") == "true")
		case string:
			to.SetString(v.word(path, f.fallback, f.words...))
		}
	}
}

// number reads a finite number no larger than any figure that a deployment states.
func (v *values) number(path string, fallback float64, required bool) float64 {
	text, ok := v.byPath[path]
	if !ok {
		if required {
			v.fail(fielderror.Missing(path))
		}
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || v.notNumber[path] || !(number > -maxNumber && number < maxNumber) {
		v.failValue(path, ErrNotNumber)
		return fallback
	}
	return number
}

// positiveNumber holds a number that was read to be above 0 where its field asks for that, and not to be null.
func (v *values) positiveNumber(path string, f *field, number float64) float64 {
	_, stated := v.byPath[path]
	null := !stated && v.notNumber[path]
	if f.positive && (null || stated && !(number > 0)) {
		v.failValue(path, ErrNotPositive)
	}
	return number
}

// integer reads a whole number from 0 to maxInteger.
func (v *values) integer(path string, fallback int, required bool) int {
	number := v.number(path, float64(fallback), required)
	if number != float64(int(number)) || number < 0 || number > maxInteger {
		v.failValue(path, ErrNotInteger)
		return fallback
	}
	return int(number)
}

// count reads how many elements a list of objects has.
func (v *values) count(path string, required bool) int {
	return v.integer(join(path, countField), 0, required)
}

// list reads words that are joined by commas.
func (v *values) list(path string) []string {
	if v.byPath[path] == "" {
		return nil
	}
	return strings.Split(v.byPath[path], ",")
}

// word reads one of the known words, in any case.
func (v *values) word(path, fallback string, known ...string) string {
	text, ok := v.byPath[path]
	if !ok {
		return fallback
	}
	for _, k := range known {
		if strings.EqualFold(text, k) {
			return k
		}
	}
	v.failValue(path, fmt.Errorf("%w %s", ErrUnknownWord, strings.Join(known, ", ")))
	return fallback
}

// Millis is a time stated in milliseconds, rounded to microseconds.
func Millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
