package simulation

import (
	"math"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/discovery"
	"thymebend/internal/lab/registry"
)

// Checks of gateways that divide the hosts among themselves by their membership views. A membership view is a
// gateway's list of all gateways and their states, kept by gossip. An assignment is a gateway's share of each
// host. The requests that all gateways together send to a host in slow start are compared with its allowance,
// and at the end of the run the gateways' assignments are compared with one another.

// sharesProfile plays gateways with a membership view that divide the hosts, with faults of gateways, hosts and
// datagrams.
const sharesProfile = "shares"

// Rules about assignments.
const (
	SlowStartExceeded = "more than its turns" // too many requests to a host in slow start in one window
	// The gateways' shares of a host, at the end of a run and after a time without faults, add up to more or less
	// than 1.
	SharesDisagree = "portions do not agree"
	NotDivided     = "nothing divided" // a gateway's view has converged, but it still divides by gateway count and rank
)

// warmRate is the throughput of a fully warmed-up host in a plan, in requests a second, if all requests are of
// the class with the most work.
const warmRate = 17.0

// slowStartSlack is by how much, in addition to the network's jitter, requests that gateways send to a host may
// bunch up on their way: on a new connection, the handshake precedes the request.
const slowStartSlack = 30 * time.Millisecond

// slowStartArrivals holds the requests that a host received during one slow start.
type slowStartArrivals struct {
	startedAt time.Duration
	recent    []time.Duration
	total     int
	exceeded  bool
}

// countSlowStart counts a request that arrives at a host in slow start. It records a finding if the host has
// received more requests in the latest window (CrashWindow less the slack) than it may receive at that time.
func (s *simulator) countSlowStart(h *host, now time.Duration) {
	e, ok := s.discovery.list.Find(h.name)
	if !s.plan.Shares || !ok || e.StartedMS == 0 || s.views.done {
		return
	}
	slowStart := h.spec.SlowStart
	born := time.Duration(e.StartedMS) * time.Millisecond
	if h.slowStart.startedAt != born {
		h.slowStart = slowStartArrivals{startedAt: born}
	}
	arrivals := &h.slowStart
	if now-born >= slowStart.Duration || arrivals.exceeded {
		return
	}
	arrivals.total++
	arrivals.recent = append(arrivals.recent, now)
	window := slowStart.CrashWindow - slowStartSlack - s.net.Jitter
	for now-arrivals.recent[0] > window {
		arrivals.recent = arrivals.recent[1:]
	}
	capacity := slowStart.InitialShare + (1-slowStart.InitialShare)*min(1, float64(now-born)/float64(slowStart.Duration))
	limit := slowStart.CrashMultiple * warmRate * capacity * slowStart.CrashWindow.Seconds()
	if float64(len(arrivals.recent)) > math.Ceil(limit) {
		arrivals.exceeded = true
		s.addFinding(SlowStartExceeded, h.name, "%d in %v at %v after its start, it may get %.1f", len(arrivals.recent), window,
			now-born, limit)
	}
}

// checkAssignments compares the gateways' assignments with one another, after a time without faults and traffic.
func (s *simulator) checkAssignments() {
	if !s.plan.Shares {
		return
	}
	sums := make(map[uint64]float64)
	stable := 0
	for _, g := range s.gateways {
		if !g.up || g.process.gw == nil || g.process.gw.Membership() == nil {
			continue
		}
		view, tracker := g.process.gw.Membership(), g.process.gw.AssignmentTracker()
		if !view.Status(s.sim.Now()).Converged {
			continue // the rules about views cover a view that has not converged
		}
		if tracker == nil || tracker.Stage() == assignment.Waiting {
			s.addFinding(NotDivided, g.name, "its view is settled, and its portion %v", stageOf(tracker))
			continue
		}
		if tracker.Stage() != assignment.Converged {
			continue // fading traffic changes the assignment: the old one and the new one both apply for a second
		}
		stable++
		for _, u := range tracker.Assigned() {
			sums[u.Endpoint] += u.Share
		}
	}
	if stable < len(s.gateways) || stable == 0 {
		return
	}
	for _, h := range s.hosts {
		e, ok := s.discovery.list.Find(h.name)
		if !h.up || h.removed || !ok || e.State != registry.Up || e.StartedMS > 0 &&
			s.sim.Now() < time.Duration(e.StartedMS)*time.Millisecond+h.spec.SlowStart.Duration+time.Second {
			continue
		}
		if sum := sums[uint64(discovery.EndpointIDFromName(h.name))]; sum < 0.999 || sum > 1.001 {
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
