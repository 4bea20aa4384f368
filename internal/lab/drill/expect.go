package drill

import (
	"fmt"

	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

// ExpectationNotMet is the rule that is violated if no view showed what the scenario expects within the stated
// time.
const ExpectationNotMet = "expectation not met"

// checkExpectations returns a finding for each gateway whose views never met an expectation in its period.
func checkExpectations(h *membershipcheck.History, list []Expectation) (found []requestrecord.Finding) {
	observations := h.Observations()
	for _, e := range list {
		for _, by := range e.By {
			at, to := e.At.Duration, e.At.Duration+e.Within.Duration
			met, observed, difference := false, 0, ""
			for i := range observations {
				o := &observations[i]
				if o.Gateway != by || o.At < at || o.At > to {
					continue
				}
				observed++
				if difference = e.mismatch(h, o); difference == "" {
					met = true
					break
				}
			}
			if observed == 0 {
				difference = "it told no view"
			}
			if !met {
				found = append(found, requestrecord.Finding{Rule: ExpectationNotMet, ID: h.Name(by), At: to,
					Detail: fmt.Sprintf("from %v to %v: %s", at, to, difference)})
			}
		}
	}
	return found
}

// mismatch describes how an observation differs from the expectation. It returns an empty text if it does not.
func (e Expectation) mismatch(h *membershipcheck.History, l *membershipcheck.Observation) string {
	for _, m := range e.Of {
		if s := l.Members[m].State; s != e.State && !(s == "" && e.State == "unknown") {
			return fmt.Sprintf("%s is %q, not %s", h.Name(m), s, e.State)
		}
	}
	flag := func(name string, want *bool, is bool) string {
		if want != nil && *want != is {
			return fmt.Sprintf("%s is %v", name, is)
		}
		return ""
	}
	for _, text := range []string{flag("settled", e.Converged, l.Converged), flag("majority", e.Majority, l.Majority),
		flag("twin", e.DuplicateName, l.DuplicateName)} {
		if text != "" {
			return text
		}
	}
	if e.AssignmentStage != "" || e.MinTokens > 0 || e.MaxRelativeLoad > 0 {
		switch p := l.Assignment; {
		case p == nil:
			return "it divides nothing"
		case e.AssignmentStage != "" && p.Stage != e.AssignmentStage:
			return fmt.Sprintf("its portion is %s, not %s", p.Stage, e.AssignmentStage)
		case p.Tokens < e.MinTokens:
			return fmt.Sprintf("it has taken %d turns, not %d", p.Tokens, e.MinTokens)
		case e.MaxRelativeLoad > 0 && p.RelativeLoad > e.MaxRelativeLoad:
			return fmt.Sprintf("its division's crowd is %.2f, over %.2f", p.RelativeLoad, e.MaxRelativeLoad)
		}
	}
	if e.Alive > 0 && l.Alive != e.Alive {
		return fmt.Sprintf("%d are alive, not %d", l.Alive, e.Alive)
	}
	return ""
}
