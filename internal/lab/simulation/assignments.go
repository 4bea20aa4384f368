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
	OverTurns = "more than its turns" // sent a cold host in a window, by all gateways together
	// of a host, at the end of a day without troubles: more than one whole, or nobody's
	NotWhole  = "portions do not agree"
	Undivided = "nothing divided" // a gateway with a settled view goes by count and number
)

// warmRate is what a host of the plans does when it is warm, in requests a second of the class with the
// most work.
const warmRate = 17.0

// turnSlack is by how much arrivals may bunch up on their way, beyond the network's own jitter: a new
// connection comes first.
const turnSlack = 30 * time.Millisecond

// budget is what one start of a host was sent while it was cold.
type budget struct {
	born time.Duration
	came []time.Duration
	all  int
	over bool
}

// cold counts an arrival at a cold host: no window of the rule may hold more than what the host may get
// at that time.
func (w *simulator) cold(h *host, now time.Duration) {
	e, ok := w.disc.list.Find(h.name)
	if !w.plan.Shares || !ok || e.Born == 0 || w.views.done {
		return
	}
	cold := h.spec.Cold
	born := time.Duration(e.Born) * time.Millisecond
	if h.budget.born != born {
		h.budget = budget{born: born}
	}
	b := &h.budget
	if now-born >= cold.For || b.over {
		return
	}
	b.all++
	b.came = append(b.came, now)
	window := cold.FallFor - turnSlack - w.net.Jitter
	for now-b.came[0] > window {
		b.came = b.came[1:]
	}
	can := cold.From + (1-cold.From)*min(1, float64(now-born)/float64(cold.For))
	most := cold.FallMultiple * warmRate * can * cold.FallFor.Seconds()
	if float64(len(b.came)) > math.Ceil(most) {
		b.over = true
		w.find(OverTurns, h.name, "%d in %v at %v after its start, it may get %.1f", len(b.came), window,
			now-born, most)
	}
}

// checkAssignments holds what each gateway goes by against the others', after a time in which nothing
// happened.
func (w *simulator) checkAssignments() {
	if !w.plan.Shares {
		return
	}
	sums := make(map[uint64]float64)
	settled := 0
	for _, m := range w.gateways {
		if !m.up || m.process.gw == nil || m.process.gw.Membership() == nil {
			continue
		}
		v, k := m.process.gw.Membership(), m.process.gw.AssignmentTracker()
		if !v.Status(w.sim.Now()).Converged {
			continue // the rules on views speak of that
		}
		if k == nil || k.Stage() == assignment.Waiting {
			w.find(Undivided, m.name, "its view is settled, and its portion %v", stageOf(k))
			continue
		}
		if k.Stage() != assignment.Converged {
			continue // traffic that fades moves demand: both divisions count for a second
		}
		settled++
		for _, u := range k.Assigned() {
			sums[u.Endpoint] += u.Share
		}
	}
	if settled < len(w.gateways) || settled == 0 {
		return
	}
	for _, h := range w.hosts {
		e, ok := w.disc.list.Find(h.name)
		if !h.up || h.gone || !ok || e.State != registry.Up || e.Born > 0 &&
			w.sim.Now() < time.Duration(e.Born)*time.Millisecond+h.spec.Cold.For+time.Second {
			continue
		}
		if sum := sums[uint64(discovery.EndpointIDFromName(h.name))]; sum < 0.999 || sum > 1.001 {
			w.find(NotWhole, h.name, "the gateways' parts of it add up to %.4f", sum)
		}
	}
}

func stageOf(k *assignment.Tracker) string {
	if k == nil {
		return "none"
	}
	return k.Stage().String()
}
