package drill

import (
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/membershipcheck"
)

// observedHistory returns the history of four gateways that were observed once per second. Their views are correct
// except for the changes that edit makes.
func observedHistory(edit func(l *membershipcheck.Observation)) *membershipcheck.History {
	h := membershipcheck.NewHistory([]string{"gateway-0", "gateway-1", "gateway-2", "gateway-3"})
	for at := time.Second; at <= 20*time.Second; at += time.Second {
		for g := range 4 {
			o := membershipcheck.Observation{At: at, Gateway: g, PID: 100 + g, Active: true, Converged: true,
				Majority: true, Alive: 4}
			for range 4 {
				o.Members = append(o.Members, membershipcheck.MemberView{State: "alive", Start: 1, Incarnation: 1})
			}
			edit(&o)
			h.Observe(o)
		}
	}
	return h
}

// Each named gateway must meet an expectation within the stated time; otherwise a finding describes the difference.
func TestExpectationIsMetByEachNamedGatewayInTime(t *testing.T) {
	no, yes := false, true
	h := observedHistory(func(l *membershipcheck.Observation) {
		switch {
		case l.Gateway == 1 && l.At >= 10*time.Second && l.At <= 12*time.Second:
			l.Members[3].State = "gone"
		case l.Gateway == 2 && l.At >= 10*time.Second:
			l.Converged, l.Alive = false, 3
		}
	})
	at := func(from, within int, e Expectation) Expectation {
		e.At.Duration, e.Within.Duration = time.Duration(from)*time.Second, time.Duration(within)*time.Second
		return e
	}
	for _, c := range []struct {
		e    Expectation
		want string // part of the finding's detail; empty if the expectation is met
	}{
		{at(5, 6, Expectation{By: []int{1}, Of: []int{3}, State: "gone"}), ""},
		{at(5, 4, Expectation{By: []int{1}, Of: []int{3}, State: "gone"}), `gateway-3 is "alive", not gone`},
		{at(5, 6, Expectation{By: []int{0, 1}, Of: []int{3}, State: "gone"}), `gateway-3 is "alive", not gone`},
		{at(5, 6, Expectation{By: []int{2}, Converged: &no, Alive: 3}), ""},
		{at(12, 6, Expectation{By: []int{2}, Converged: &yes}), "settled is false"},
		{at(12, 6, Expectation{By: []int{2}, Alive: 4}), "3 are alive, not 4"},
		{at(5, 6, Expectation{By: []int{0}, DuplicateName: &yes}), "twin is false"},
		{at(5, 6, Expectation{By: []int{0}, Majority: &no}), "majority is true"},
		{at(30, 6, Expectation{By: []int{0}, Converged: &yes}), "it told no view"},
	} {
		found := checkExpectations(h, []Expectation{c.e})
		if (len(found) == 0) != (c.want == "") || len(found) > 0 && !strings.Contains(found[0].Detail, c.want) {
			t.Errorf("expectation %+v: findings %+v, want %q", c.e, found, c.want)
		}
	}
}
