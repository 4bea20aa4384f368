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

// Causes of a fielderror.Error, beside fielderror.ErrMissing. Their texts continue a sentence that starts with the
// setting and its value.
var (
	ErrNotNumber    = fmt.Errorf("is not a number between -%g and %[1]g", maxNumber)
	ErrNotPositive  = errors.New("is not a number above 0")
	ErrNotInteger   = fmt.Errorf("is not a whole number from 0 to %d", maxInteger)
	ErrUnknownValue = errors.New("is none of")
	ErrDuplicate    = errors.New("which an earlier class already has")
)

const (
	maxNumber  = 1e12    // exclusive bound of every number, above any value that a deployment needs
	maxInteger = 1 << 20 // the largest integer
)

// values holds the settings by path. The methods that read settings record the first fault.
type values struct {
	byPath    map[string]string
	notNumber map[string]bool // for JSON: paths whose value is null or not a number
	present   map[string]bool // for JSON: paths that have a value, except those inside lists; nil for the text form
	fault     *fielderror.Error
}

// isJSON reports whether the settings were read from JSON, to which more rules apply.
func (v *values) isJSON() bool { return v.present != nil }

// fail records a fault, if it is the first.
func (v *values) fail(fault *fielderror.Error) {
	if v.fault == nil {
		v.fault = fault
	}
}

// failValue records a fault of a setting that is present, with its value.
func (v *values) failValue(path string, cause error) {
	v.fail(&fielderror.Error{Field: path, Value: strconv.Quote(v.byPath[path]), Inline: true, Err: cause})
}

// field describes how one field of a settings struct is read. It is derived from the field's tags:
//
//	setting   the setting's name, relative to the path of the struct
//	default   the value if the setting is absent
//	required  "true" if the setting must be present
//	above     "0" if a number that is present must be above 0; null is then a fault
//	oneof     the values that a string may have, in upper or lower case
type field struct {
	index         int
	name          string
	defaultText   string
	defaultNumber float64 // defaultText as a number, in the unit of the setting
	required      bool
	positive      bool
	allowed       []string
}

// fieldsOf returns the fields of a settings struct, from their tags.
func fieldsOf[T any]() (fields []field) {
	t := reflect.TypeFor[T]()
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		f := field{
			index:       i,
			name:        tag.Get("setting"),
			defaultText: tag.Get("default"),
			required:    tag.Get("required") == "true",
			positive:    tag.Get("above") == "0",
		}
		if values := tag.Get("oneof"); values != "" {
			f.allowed = strings.Split(values, ",")
		}
		if f.defaultText != "" && t.Field(i).Type.Kind() != reflect.String {
			var err error
			if f.defaultNumber, err = strconv.ParseFloat(f.defaultText, 64); err != nil {
				panic(fmt.Sprintf("settings: default of %s: %v", f.name, err)) // a wrong tag in this package
			}
		}
		fields = append(fields, f)
	}
	return fields
}

// read sets the fields of a settings struct, in their order, from the values whose paths start with prefix.
func (v *values) read(prefix string, fields []field, into any) {
	target := reflect.ValueOf(into).Elem()
	for i := range fields {
		f := &fields[i]
		path := prefix + f.name
		switch dst := target.Field(f.index); dst.Interface().(type) {
		case time.Duration:
			dst.SetInt(int64(DurationFromMillis(v.positiveNumber(path, f, v.number(path, f.defaultNumber, f.required)))))
		case float64:
			dst.SetFloat(v.positiveNumber(path, f, v.number(path, f.defaultNumber, f.required)))
		case int:
			number := v.integer(path, int(f.defaultNumber), f.required)
			dst.SetInt(int64(v.positiveNumber(path, f, float64(number))))
		case bool:
			dst.SetBool(v.oneOf(path, "false", "true", "false") == "true")
		case string:
			dst.SetString(v.oneOf(path, f.defaultText, f.allowed...))
		}
	}
}

// number reads a number between -maxNumber and maxNumber. For an absent or invalid setting it returns fallback.
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

// positiveNumber returns a number that was read. It records a fault if the field requires a number above 0 and the
// setting is null or not above 0.
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

// count reads the number of elements of a list of objects.
func (v *values) count(path string, required bool) int {
	return v.integer(join(path, countField), 0, required)
}

// list reads a list of texts that are joined by commas.
func (v *values) list(path string) []string {
	if v.byPath[path] == "" {
		return nil
	}
	return strings.Split(v.byPath[path], ",")
}

// oneOf reads a text that must equal one of the known values, ignoring case, and returns that value.
func (v *values) oneOf(path, fallback string, known ...string) string {
	text, ok := v.byPath[path]
	if !ok {
		return fallback
	}
	for _, k := range known {
		if strings.EqualFold(text, k) {
			return k
		}
	}
	v.failValue(path, fmt.Errorf("%w %s", ErrUnknownValue, strings.Join(known, ", ")))
	return fallback
}

// DurationFromMillis converts a time in milliseconds to a Duration, rounded to microseconds.
func DurationFromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
