package simulation

import (
	"math"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/discovery"
	"thymebend/internal/lab/registry"
)

// Gateways that divide hosts by their view: what all of them together send a cold host is held against
// its turns, and at the end of a day their assignments against each other.

// sharesProfile is gateways with a view that divide hosts, among troubles of both.
const sharesProfile = "shares"

// Rules of assignments.
const (
	SlowStartExceeded = "more than its turns" // sent a cold host in a window, by all gateways together
	// of a host, at the end of a day without troubles: more than one whole, or nobody's
	SharesDisagree = "portions do not agree"
	NotDivided     = "nothing divided" // a gateway with a settled view goes by count and number
)

// warmRate is what a host of the plans does when it is warm, in requests a second of the class with the
// most work.
const warmRate = 17.0

// slowStartSlack is by how much arrivals may bunch up on their way, beyond the network's own jitter: a new
// connection comes first.
const slowStartSlack = 30 * time.Millisecond

// slowStartArrivals is what one start of a host was sent while it was cold.
type slowStartArrivals struct {
	startedAt time.Duration
	window    []time.Duration
	total     int
	exceeded  bool
}

// countSlowStart counts an arrival at a cold host: no window of the rule may hold more than what the host may get
// at that time.
func (s *simulator) countSlowStart(h *host, now time.Duration) {
	e, ok := s.discovery.list.Find(h.name)
	if !s.plan.Shares || !ok || e.Born == 0 || s.views.done {
		return
	}
	cold := h.spec.Cold
	born := time.Duration(e.Born) * time.Millisecond
	if h.budget.startedAt != born {
		h.budget = slowStartArrivals{startedAt: born}
	}
	b := &h.budget
	if now-born >= cold.For || b.exceeded {
		return
	}
	b.total++
	b.window = append(b.window, now)
	window := cold.FallFor - slowStartSlack - s.net.Jitter
	for now-b.window[0] > window {
		b.window = b.window[1:]
	}
	capacity := cold.From + (1-cold.From)*min(1, float64(now-born)/float64(cold.For))
	limit := cold.FallMultiple * warmRate * capacity * cold.FallFor.Seconds()
	if float64(len(b.window)) > math.Ceil(limit) {
		b.exceeded = true
		s.addFinding(SlowStartExceeded, h.name, "%d in %v at %v after its start, it may get %.1f", len(b.window), window,
			now-born, limit)
	}
}

// checkAssignments holds what each gateway goes by against the others', after a time in which nothing
// happened.
func (s *simulator) checkAssignments() {
	if !s.plan.Shares {
		return
	}
	sums := make(map[uint64]float64)
	settled := 0
	for _, g := range s.gateways {
		if !g.up || g.process.gw == nil || g.process.gw.Membership() == nil {
			continue
		}
		view, tracker := g.process.gw.Membership(), g.process.gw.AssignmentTracker()
		if !view.Status(s.sim.Now()).Converged {
			continue // the rules on views speak of that
		}
		if tracker == nil || tracker.Stage() == assignment.Waiting {
			s.addFinding(NotDivided, g.name, "its view is settled, and its portion %v", stageOf(tracker))
			continue
		}
		if tracker.Stage() != assignment.Settled {
			continue // traffic that fades moves demand: both divisions count for a second
		}
		settled++
		for _, u := range tracker.Assigned() {
			sums[u.Endpoint] += u.Share
		}
	}
	if settled < len(s.gateways) || settled == 0 {
		return
	}
	for _, h := range s.hosts {
		e, ok := s.discovery.list.Find(h.name)
		if !h.up || h.removed || !ok || e.State != registry.Up || e.Born > 0 &&
			s.sim.Now() < time.Duration(e.Born)*time.Millisecond+h.spec.Cold.For+time.Second {
			continue
		}
		if sum := sums[uint64(discovery.Identity(h.name))]; sum < 0.999 || sum > 1.001 {
			s.addFinding(SharesDisagree, h.name, "the gateways' parts of it add up to %.4f", sum)
		}
	}
}

func stageOf(tracker *assignment.Tracker) string {
	if tracker == nil {
		return "none"
	}
	return tracker.Stage().String()
}
