package drill

import (
	"fmt"

	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

// Unexpected is broken where what the scenario expects was not seen in its time.
const Unexpected = "expectation not met"

// expected returns what a scenario expects and nobody saw.
func expected(h *membershipcheck.History, list []Expect) (found []requestrecord.Finding) {
	looks := h.Observations()
	for _, e := range list {
		for _, by := range e.By {
			at, to := e.At.Duration, e.At.Duration+e.Within.Duration
			ok, seen, last := false, 0, ""
			for i := range looks {
				l := &looks[i]
				if l.Gateway != by || l.At < at || l.At > to {
					continue
				}
				seen++
				if last = e.lacks(h, l); last == "" {
					ok = true
					break
				}
			}
			if seen == 0 {
				last = "it told no view"
			}
			if !ok {
				found = append(found, requestrecord.Finding{Rule: Unexpected, ID: h.Name(by), At: to,
					Detail: fmt.Sprintf("from %v to %v: %s", at, to, last)})
			}
		}
	}
	return found
}

// lacks says in what a look is not what was expected, or nothing.
func (e Expect) lacks(h *membershipcheck.History, l *membershipcheck.Observation) string {
	for _, m := range e.Of {
		if s := l.Beliefs[m].State; s != e.State && !(s == "" && e.State == "unknown") {
			return fmt.Sprintf("%s is %q, not %s", h.Name(m), s, e.State)
		}
	}
	flag := func(name string, want *bool, is bool) string {
		if want != nil && *want != is {
			return fmt.Sprintf("%s is %v", name, is)
		}
		return ""
	}
	for _, text := range []string{flag("settled", e.Settled, l.Settled), flag("majority", e.Major, l.Majority),
		flag("twin", e.Twin, l.DuplicateName)} {
		if text != "" {
			return text
		}
	}
	if e.Portion != "" || e.Turns > 0 || e.Crowd > 0 {
		switch p := l.Assignment; {
		case p == nil:
			return "it divides nothing"
		case e.Portion != "" && p.Stage != e.Portion:
			return fmt.Sprintf("its portion is %s, not %s", p.Stage, e.Portion)
		case p.Tokens < e.Turns:
			return fmt.Sprintf("it has taken %d turns, not %d", p.Tokens, e.Turns)
		case e.Crowd > 0 && p.RelativeLoad > e.Crowd:
			return fmt.Sprintf("its division's crowd is %.2f, over %.2f", p.RelativeLoad, e.Crowd)
		}
	}
	if e.Alive > 0 && l.Alive != e.Alive {
		return fmt.Sprintf("%d are alive, not %d", l.Alive, e.Alive)
	}
	return ""
}
