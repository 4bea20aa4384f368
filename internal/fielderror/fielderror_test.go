package fielderror

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against error texts that lack the file, line, column, field or value of the fault.
func TestErrorTextNamesPositionAndField(t *testing.T) {
	cause := errors.New("is too early")
	for name, c := range map[string]struct {
		err  *Error
		want string
	}{
		"file, line and column": {&Error{File: "x.toml", Line: 3, Column: 7, Field: "event.0.at", Err: cause},
			"x.toml:3:7: event.0.at: is too early"},
		"file and line": {&Error{File: "x.toml", Line: 3, Err: cause}, "x.toml:3: is too early"},
		"only file":     {&Error{File: "x.toml", Err: cause}, "x.toml: is too early"},
		"inline":        {Inline("zone", cause), "zone is too early"},
		"inline with file": {&Error{File: "record 3", Field: "born_ms", Inline: true, Err: cause},
			"record 3: born_ms is too early"},
		"inline with value": {&Error{Field: "zone", Value: `"x"`, Inline: true, Err: cause}, `zone="x" is too early`},
		"missing":           {Missing("zone"), "zone is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.err.Error(); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// errors.Is and errors.As find cause, field and kind through a List and a wrapping error.
func TestWrappedErrorsCanBeMatched(t *testing.T) {
	list := List{Inlinef("rank", "is %d", 7), Missing("zone")}
	err := fmt.Errorf("settings: %w", list)
	var fault *Error
	if !errors.Is(err, ErrMissing) || !errors.As(err, &fault) || fault.Field != "rank" {
		t.Errorf("%v: %+v", err, fault)
	}
	if cause := CauseWithText(ErrMissing, "has no %s", "zone"); cause.Error() != "has no zone" ||
		!errors.Is(cause, ErrMissing) {
		t.Errorf("%v", cause)
	}
	if want := "settings: rank is 7\nzone is missing"; err.Error() != want {
		t.Errorf("%q, want %q", err, want)
	}
}
