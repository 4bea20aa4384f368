package fielderror

import (
	"errors"
	"fmt"
	"testing"
)

func TestErrorNamesItsPlace(t *testing.T) {
	cause := errors.New("is too early")
	for name, c := range map[string]struct {
		err  *Error
		want string
	}{
		"whole place": {&Error{File: "x.toml", Line: 3, Column: 7, Field: "event.0.at", Err: cause},
			"x.toml:3:7: event.0.at: is too early"},
		"line alone": {&Error{File: "x.toml", Line: 3, Err: cause}, "x.toml:3: is too early"},
		"file alone": {&Error{File: "x.toml", Err: cause}, "x.toml: is too early"},
		"inline":     {Inline("zone", cause), "zone is too early"},
		"inline in place": {&Error{File: "record 3", Field: "born_ms", Inline: true, Err: cause},
			"record 3: born_ms is too early"},
		"with its value": {&Error{Field: "zone", Value: `"x"`, Inline: true, Err: cause}, `zone="x" is too early`},
		"missing":        {Missing("zone"), "zone is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.err.Error(); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

func TestCauseAndPlaceAreFoundThroughWraps(t *testing.T) {
	list := List{Inlinef("rank", "is %d", 7), Missing("zone")}
	err := fmt.Errorf("settings: %w", list)
	var place *Error
	if !errors.Is(err, ErrMissing) || !errors.As(err, &place) || place.Field != "rank" {
		t.Errorf("%v: %+v", err, place)
	}
	if worded := Worded(ErrMissing, "has no %s", "zone"); worded.Error() != "has no zone" ||
		!errors.Is(worded, ErrMissing) {
		t.Errorf("%v", worded)
	}
	if want := "settings: rank is 7\nzone is missing"; err.Error() != want {
		t.Errorf("%q, want %q", err, want)
	}
}
