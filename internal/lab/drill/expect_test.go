package drill

import (
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/membershipcheck"
)

// told is a history of four gateways with a look each second at views that are the truth but for what edit makes of them.
func told(edit func(l *membershipcheck.Observation)) *membershipcheck.History {
	h := membershipcheck.NewHistory([]string{"gateway-0", "gateway-1", "gateway-2", "gateway-3"})
	for at := time.Second; at <= 20*time.Second; at += time.Second {
		for g := range 4 {
			l := membershipcheck.Observation{At: at, Gateway: g, PID: 100 + g, Speaking: true, Settled: true,
				Majority: true, Alive: 4}
			for range 4 {
				l.Beliefs = append(l.Beliefs, membershipcheck.Belief{State: "alive", Start: 1, Incarnation: 1})
			}
			edit(&l)
			h.Observe(l)
		}
	}
	return h
}

// What a scenario expects has to be seen by each that it names, within the stated time.
func TestExpectations(t *testing.T) {
	no, yes := false, true
	h := told(func(l *membershipcheck.Observation) {
		switch {
		case l.Gateway == 1 && l.At >= 10*time.Second && l.At <= 12*time.Second:
			l.Beliefs[3].State = "gone"
		case l.Gateway == 2 && l.At >= 10*time.Second:
			l.Settled, l.Alive = false, 3
		}
	})
	at := func(from, within int, e Expect) Expect {
		e.At.Duration, e.Within.Duration = time.Duration(from)*time.Second, time.Duration(within)*time.Second
		return e
	}
	for _, c := range []struct {
		e    Expect
		want string // of what is said; empty: it holds
	}{
		{at(5, 6, Expect{By: []int{1}, Of: []int{3}, State: "gone"}), ""},
		{at(5, 4, Expect{By: []int{1}, Of: []int{3}, State: "gone"}), `gateway-3 is "alive", not gone`},
		{at(5, 6, Expect{By: []int{0, 1}, Of: []int{3}, State: "gone"}), `gateway-3 is "alive", not gone`},
		{at(5, 6, Expect{By: []int{2}, Settled: &no, Alive: 3}), ""},
		{at(12, 6, Expect{By: []int{2}, Settled: &yes}), "settled is false"},
		{at(12, 6, Expect{By: []int{2}, Alive: 4}), "3 are alive, not 4"},
		{at(5, 6, Expect{By: []int{0}, Twin: &yes}), "twin is false"},
		{at(5, 6, Expect{By: []int{0}, Major: &no}), "majority is true"},
		{at(30, 6, Expect{By: []int{0}, Settled: &yes}), "it told no view"},
	} {
		found := expected(h, []Expect{c.e})
		if (len(found) == 0) != (c.want == "") || len(found) > 0 && !strings.Contains(found[0].Detail, c.want) {
			t.Errorf("%+v: %+v, wanted %q", c.e, found, c.want)
		}
	}
}
