package drill

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"thymebend/internal/admin"
	"thymebend/internal/assignment"
	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

// SharesDisagree is a rule about assignments: the assignment of a gateway gives its share of each host. The rule is
// violated if all gateways' assignments have converged, but their shares of a host do not add up to one.
const SharesDisagree = "portions do not agree"

// Limits of the rule.
const (
	maxObservationAge = 500 * time.Millisecond // maximum age of the last observation of each gateway
	// minConvergedTime is the time for which all assignments must have been converged before they are checked,
	// because a change of the host list takes some time to propagate.
	minConvergedTime = 2 * time.Second
	shareTolerance   = 0.01 // accepted deviation of a host's sum of shares from one
)

// assignmentOf converts the assignment that a process reports.
func assignmentOf(p *admin.Assignment) *membershipcheck.Assignment {
	if p == nil {
		return nil
	}
	out := &membershipcheck.Assignment{Stage: p.Stage, Tokens: p.Tokens, RelativeLoad: p.RelativeLoad,
		Shares: make(map[string]float64)}
	for _, h := range p.Endpoints {
		if h.SlowStart {
			out.SlowStart = append(out.SlowStart, h.Name)
		} else {
			out.Shares[h.Name] = h.Share
		}
	}
	return out
}

// checkAssignments verifies that the shares of each host add up to one at all moments at which every gateway was
// observed within maxObservationAge and all assignments had been converged for minConvergedTime.
func checkAssignments(h *membershipcheck.History) (found []requestrecord.Finding) {
	last := make(map[int]*membershipcheck.Observation)
	var since time.Duration // time since which all assignments have been converged with unchanged shares
	reported := make(map[string]bool)
	observations := h.Observations()
	for i := range observations {
		current := &observations[i]
		previous := last[current.Gateway]
		last[current.Gateway] = current
		if current.Assignment == nil || current.Assignment.Stage != assignment.Converged.String() || previous == nil ||
			previous.Assignment == nil || !maps.Equal(previous.Assignment.Shares, current.Assignment.Shares) {
			since = current.At
		}
		sums, n := make(map[string]float64), 0
		for g, o := range last {
			if current.At-o.At > maxObservationAge {
				if current.At-o.At > 2*minConvergedTime {
					delete(last, g) // gateway g has ended; gateways that have converged no longer count it
				}
				since = current.At
				continue
			}
			if o.Assignment == nil || o.Alive != current.Alive {
				since = current.At
				continue
			}
			n++
			for host, part := range o.Assignment.Shares {
				sums[host] += part
			}
		}
		if current.At-since < minConvergedTime || n < current.Alive {
			continue
		}
		for _, host := range slices.Sorted(maps.Keys(sums)) {
			if sum := sums[host]; (sum < 1-shareTolerance || sum > 1+shareTolerance) && !reported[host] {
				reported[host] = true
				found = append(found, requestrecord.Finding{Rule: SharesDisagree, ID: host, At: current.At,
					Detail: fmt.Sprintf("at %v its parts at %d gateways add up to %.3f", current.At, n, sum)})
			}
		}
	}
	return found
}
