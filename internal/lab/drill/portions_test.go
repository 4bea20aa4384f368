package drill

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/membershipcheck"
)

// divided is a history of three gateways that divide two hosts, but for what edit makes of a look.
func divided(edit func(l *membershipcheck.Observation)) *membershipcheck.History {
	h := membershipcheck.NewHistory([]string{"gateway-0", "gateway-1", "gateway-2"})
	parts := map[string]float64{"h-0": 1.0 / 3, "h-1": 1.0 / 3}
	for at := 100 * time.Millisecond; at <= 10*time.Second; at += 100 * time.Millisecond {
		for g := range 3 {
			l := membershipcheck.Observation{At: at, Gateway: g, PID: 100 + g, Speaking: true, Settled: true,
				Alive: 3, Beliefs: make([]membershipcheck.Belief, 3),
				Assignment: &membershipcheck.Assignment{Stage: "settled", Shares: maps.Clone(parts), Tokens: 4,
					RelativeLoad: 1.1}}
			edit(&l)
			h.Observe(l)
		}
	}
	return h
}

// A host that settled gateways give away twice, or to nobody, is found; one whose division changes, or
// of which not all have told, is not.
func TestPortionsAreHeldAgainstEachOther(t *testing.T) {
	from := func(seconds float64, l *membershipcheck.Observation) bool { return l.At.Seconds() >= seconds }
	for name, c := range map[string]struct {
		edit func(l *membershipcheck.Observation)
		want string
	}{
		"all is well": {func(*membershipcheck.Observation) {}, ""},
		"twice": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				l.Assignment.Shares["h-1"] = 1
			}
		}, "h-1: 1.667"},
		"nobody's third": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				delete(l.Assignment.Shares, "h-0")
			}
		}, "h-0: 0.667"},
		"for a moment": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) && !from(5.5, l) {
				l.Assignment.Shares["h-1"] = 1
			}
		}, ""},
		"while it changes": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				l.Assignment.Shares["h-1"], l.Assignment.Stage = 1, "changing"
			}
		}, ""},
		"one does not tell": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				l.Assignment = nil
			}
		}, ""},
		"views differ": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				l.Assignment.Shares["h-1"], l.Alive = 1, 2
			}
		}, ""},
	} {
		got := ""
		for _, f := range whole(divided(c.edit)) {
			_, sum, _ := strings.Cut(f.Detail, "add up to ")
			got += fmt.Sprintf("%s: %s", f.ID, sum)
		}
		if got != c.want {
			t.Errorf("%s: found %q, wanted %q", name, got, c.want)
		}
	}
}

// What is expected of an assignment has to be seen.
func TestExpectationsOfPortions(t *testing.T) {
	h := divided(func(l *membershipcheck.Observation) {
		if l.Gateway == 2 {
			l.Assignment = nil
		}
	})
	for want, e := range map[string]Expect{
		"":                                    {By: []int{0}, Portion: "settled", Turns: 4, Crowd: 1.1},
		"it divides nothing":                  {By: []int{2}, Portion: "settled"},
		"its portion is settled, not kept":    {By: []int{0}, Portion: "kept"},
		"it has taken 4 turns, not 5":         {By: []int{0}, Turns: 5},
		"its division's crowd is 1.10, over ": {By: []int{0}, Crowd: 1.05},
	} {
		e.Within.Duration = 9 * time.Second
		found := expected(h, []Expect{e})
		if (len(found) == 0) != (want == "") || len(found) > 0 && !strings.Contains(found[0].Detail, want) {
			t.Errorf("%+v, wanted %q", found, want)
		}
	}
}

// Faults of the tables of shares name their line.
func TestFaultyPortionsNameTheLine(t *testing.T) {
	const text = "[fleet]\n%s\n[[expect]]\nat = \"1s\"\nwithin = \"1s\"\nby = [0]\n%s\n[[fault]]\nat = \"1s\"\ndo = \"traffic-heavy\"\n%s\n"
	for _, c := range [][4]string{
		{"warm_rate = 5.0", "alive = 1", "gateways = [0]\nshare = 0.5", "fleet.warm_rate"},
		{"shares = false", "portion = \"settled\"", "gateways = [0]\nshare = 0.5", "need shares in [fleet]"},
		{"shares = true", "portion = \"setled\"", "gateways = [0]\nshare = 0.5",
			"is none of waiting, settled, kept, changing"},
		{"shares = true", "crowd = 1.1", "share = 0.5", "traffic-heavy needs gateways"},
		{"shares = true", "crowd = 1.1", "gateways = [0]\nshare = 1.5", "must be 0 to 1"},
	} {
		_, err := Parse("d.toml", []byte(fmt.Sprintf(text, c[0], c[1], c[2])))
		if err == nil || !strings.Contains(err.Error(), c[3]) || !strings.Contains(err.Error(), "d.toml:") {
			t.Errorf("%v: %v", c, err)
		}
	}
}
