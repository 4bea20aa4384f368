package tomlfile

import (
	"errors"
	"strings"
	"testing"

	"thymebend/internal/fielderror"
)

type sample struct {
	Name  string `toml:"name"`
	Hosts struct {
		Lag Duration `toml:"lag"`
	} `toml:"hosts"`
	Event []struct {
		At   Duration `toml:"at"`
		Kind struct {
			Share float64 `toml:"share"`
		} `toml:"kind"`
	} `toml:"event"`
}

// A fault of Read names file, line, column and field and, for an unknown field, the most similar known one.
func TestReadErrorNamesPosition(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = \"a\"\n[hosts]\nlagg = \"1s\"\n", "x.toml:3:1: hosts.lagg: unknown field, did you mean lag?"},
		{"[hosts]\n  lag = \"soon\"\n", `x.toml:2:9`},
		{"[hosts]\n  lag = 5\n", "x.toml:2:"},
		{"name = \n", "x.toml:1:"},
		{"name = \"a\"\n[[event]]\nat = \"1s\"\n[[event]]\nat = \"2s\"\nkinds = { share = 1 }\n",
			"x.toml:6:1: event.kinds: unknown field, did you mean kind?"},
	} {
		t.Run(c.want, func(t *testing.T) {
			var s sample
			err := Read("x.toml", []byte(c.text), &s).Err()
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%q: got %v, want %q", c.text, err, c.want)
			}
		})
	}
}

// A fault that a caller adds after Read gets the position of the field or, if the file lacks the field, of the table
// around it.
func TestReportedFaultNamesPosition(t *testing.T) {
	text := "name = \"a\"\n\n[[event]]\nat = \"1s\"\n\n[[event]]\n  at = \"2s\"\n  kind = { share = 3.0 }\n"
	var s sample
	f := Read("x.toml", []byte(text), &s)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	f.AddFault("event.1.kind.share", "must be at most 1")
	f.AddFault("event.1.host", "is missing")
	f.AddFault("event.0.at", "is too early")
	want := "x.toml:4:1: event.0.at: is too early\nx.toml:6:3: event.1.host: is missing\n" +
		"x.toml:8:12: event.1.kind.share: must be at most 1"
	if got := f.Err().Error(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Callers can match each cause with errors.Is, and get the position of each fault with errors.As.
func TestErrorCausesCanBeMatched(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
		line int
	}{
		"unknown field": {"name = \"a\"\n[hosts]\nlagg = \"1s\"\n", ErrUnknownField, 3},
		"bare number":   {"[hosts]\nlag = 5\n", ErrNotDuration, 2},
		"syntax":        {"name = \n", ErrDecode, 1},
		"wrong type":    {"name = 5\n", ErrDecode, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var s sample
			err := Read("x.toml", []byte(c.text), &s).Err()
			var fault *fielderror.Error
			if !errors.Is(err, c.want) || !errors.As(err, &fault) || fault.File != "x.toml" || fault.Line != c.line {
				t.Errorf("%v: %+v", err, fault)
			}
		})
	}
}
