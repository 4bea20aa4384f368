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

// NotWhole is broken where gateways that all go by a settled division give a host away more than once,
// or not whole.
const NotWhole = "portions do not agree"

// The rule in figures.
const (
	sameMoment = 500 * time.Millisecond // looks are this close
	wholeFor   = 2 * time.Second        // and all were settled for this long: news of a list takes some time
	wholeBy    = 0.01                   // of a host
)

// portionOf takes a process's word on what it has of the hosts.
func portionOf(p *admin.Assignment) *membershipcheck.Assignment {
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

// whole goes through all moments at which every gateway that looked lately went by a settled division,
// and had for a while: the parts of each host add up to one.
func whole(h *membershipcheck.History) (found []requestrecord.Finding) {
	last := make(map[int]*membershipcheck.Observation)
	var since time.Duration // all settled, and nobody's parts changed
	told := make(map[string]bool)
	looks := h.Observations()
	for i := range looks {
		l := &looks[i]
		was := last[l.Gateway]
		last[l.Gateway] = l
		if l.Assignment == nil || l.Assignment.Stage != assignment.Converged.String() || was == nil ||
			was.Assignment == nil || !maps.Equal(was.Assignment.Shares, l.Assignment.Shares) {
			since = l.At
		}
		sums, n := make(map[string]float64), 0
		for g, o := range last {
			if l.At-o.At > sameMoment {
				if l.At-o.At > 2*wholeFor {
					delete(last, g) // it is gone, and no gateway counts it any more where all are settled
				}
				since = l.At
				continue
			}
			if o.Assignment == nil || o.Alive != l.Alive {
				since = l.At
				continue
			}
			n++
			for host, part := range o.Assignment.Shares {
				sums[host] += part
			}
		}
		if l.At-since < wholeFor || n < l.Alive {
			continue
		}
		for _, host := range slices.Sorted(maps.Keys(sums)) {
			if sum := sums[host]; (sum < 1-wholeBy || sum > 1+wholeBy) && !told[host] {
				told[host] = true
				found = append(found, requestrecord.Finding{Rule: NotWhole, ID: host, At: l.At,
					Detail: fmt.Sprintf("at %v its parts at %d gateways add up to %.3f", l.At, n, sum)})
			}
		}
	}
	return found
}
