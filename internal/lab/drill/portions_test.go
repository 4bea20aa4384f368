package drill

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/membershipcheck"
)

// dividedHistory returns a history of three gateways that divide two hosts equally, except for the changes that edit
// makes to an observation.
func dividedHistory(edit func(l *membershipcheck.Observation)) *membershipcheck.History {
	h := membershipcheck.NewHistory([]string{"gateway-0", "gateway-1", "gateway-2"})
	parts := map[string]float64{"h-0": 1.0 / 3, "h-1": 1.0 / 3}
	for at := 100 * time.Millisecond; at <= 10*time.Second; at += 100 * time.Millisecond {
		for g := range 3 {
			o := membershipcheck.Observation{At: at, Gateway: g, PID: 100 + g, Active: true, Converged: true,
				Alive: 3, Members: make([]membershipcheck.MemberView, 3),
				Assignment: &membershipcheck.Assignment{Stage: "settled", Shares: maps.Clone(parts), Tokens: 4,
					RelativeLoad: 1.1}}
			edit(&o)
			h.Observe(o)
		}
	}
	return h
}

// The rule reports shares of a host that add up to more or less than one, if all gateways have converged. It does not
// check shares while an assignment changes or before all gateways have reported.
func TestSharesOfConvergedGatewaysAddUpToOne(t *testing.T) {
	from := func(seconds float64, l *membershipcheck.Observation) bool { return l.At.Seconds() >= seconds }
	for name, c := range map[string]struct {
		edit func(l *membershipcheck.Observation)
		want string
	}{
		"no fault": {func(*membershipcheck.Observation) {}, ""},
		"one share too large": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				l.Assignment.Shares["h-1"] = 1
			}
		}, "h-1: 1.667"},
		"one share missing": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				delete(l.Assignment.Shares, "h-0")
			}
		}, "h-0: 0.667"},
		"wrong for 1.5 s only": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) && !from(5.5, l) {
				l.Assignment.Shares["h-1"] = 1
			}
		}, ""},
		"assignment is changing": {func(l *membershipcheck.Observation) {
			if l.Gateway == 1 && from(4, l) {
				l.Assignment.Shares["h-1"], l.Assignment.Stage = 1, "changing"
			}
		}, ""},
		"one gateway does not report": {func(l *membershipcheck.Observation) {
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
		for _, f := range checkAssignments(dividedHistory(c.edit)) {
			_, sum, _ := strings.Cut(f.Detail, "add up to ")
			got += fmt.Sprintf("%s: %s", f.ID, sum)
		}
		if got != c.want {
			t.Errorf("%s: found %q, wanted %q", name, got, c.want)
		}
	}
}

// Expectations of the stage, the tokens and the relative load of an assignment are checked.
func TestAssignmentExpectations(t *testing.T) {
	h := dividedHistory(func(l *membershipcheck.Observation) {
		if l.Gateway == 2 {
			l.Assignment = nil
		}
	})
	for want, e := range map[string]Expectation{
		"":                                    {By: []int{0}, AssignmentStage: "settled", MinTokens: 4, MaxRelativeLoad: 1.1},
		"it divides nothing":                  {By: []int{2}, AssignmentStage: "settled"},
		"its portion is settled, not kept":    {By: []int{0}, AssignmentStage: "kept"},
		"it has taken 4 turns, not 5":         {By: []int{0}, MinTokens: 5},
		"its division's crowd is 1.10, over ": {By: []int{0}, MaxRelativeLoad: 1.05},
	} {
		e.Within.Duration = 9 * time.Second
		found := checkExpectations(h, []Expectation{e})
		if (len(found) == 0) != (want == "") || len(found) > 0 && !strings.Contains(found[0].Detail, want) {
			t.Errorf("findings %+v, want %q", found, want)
		}
	}
}

// Errors in the settings of assignments name the file and the reason.
func TestInvalidAssignmentTablesNameTheLine(t *testing.T) {
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
			t.Errorf("tables %q: error %v, want %q with the file name", c[:3], err, c[3])
		}
	}
}
