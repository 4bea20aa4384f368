package simulation

import (
	"context"
	"fmt"
	"slices"
	"time"

	"thymebend/internal/discovery"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/loadreport"
	"thymebend/internal/loop"
)

// AssignmentFigures are what a division of hosts by the fleet's view comes to in a run without other
// troubles.
type AssignmentFigures struct {
	// from a host's going bad until 95% of the gateways that use it have ejected it or doubt it, by
	// host; 0: never
	Known  []time.Duration
	Asked  int     // requests asked of hosts while they were bad
	Bytes  float64 // a gateway sends in datagrams, a second, from the eighth second on
	Cold   float64 // what cold hosts were sent, over what they may get
	Refuse float64 // share of the tries
	Broken []Finding
}

// Times of the run that is measured.
const (
	badFrom         = 9 * time.Second
	badFor          = 8 * time.Second
	badHostInterval = 50 * time.Millisecond
	steadyFrom      = 8 * time.Second
	badHosts        = 5
)

// MeasureAssignment plays gateways that divide hosts. Some hosts fail all requests from the ninth
// second on, and as many are replaced with cold ones; without peer reports nobody names hosts found
// bad. Once ctx is done it ends with ctx's error.
func MeasureAssignment(ctx context.Context, seed uint64, gateways, hosts int, reports bool) (AssignmentFigures, error) {
	p, err := assignmentPlan(seed, gateways, hosts)
	if err != nil {
		return AssignmentFigures{}, err
	}
	m := assignmentMeasurement{hosts: hosts, reports: reports}
	m.figures.Known = make([]time.Duration, badHosts)
	m.run = newSimulator(p, nil, func(r loop.Reducer) loop.Reducer { return effectObserver{r, m.observe} })
	m.schedule()
	m.run.sim.ctx = ctx
	o := m.run.run()
	if o.Partial {
		return m.figures, ctx.Err()
	}
	out := m.figures
	out.Cold, out.Refuse, out.Broken = m.used/m.allowed, float64(o.Refused)/float64(max(1, o.Tries)), o.Findings
	out.Bytes = float64(m.steadyBytes) / (badFrom + badFor - steadyFrom).Seconds() / float64(gateways)
	return out, nil
}

// assignmentPlan is a run without other faults than those that are measured.
func assignmentPlan(seed uint64, gateways, hosts int) (Plan, error) {
	p, err := DrawSized(seed, sharesProfile, Size{Gateways: gateways, Hosts: hosts})
	if err != nil {
		return Plan{}, err
	}
	if hosts < 4*badHosts {
		return Plan{}, fmt.Errorf("%d hosts, %d at least", hosts, 4*badHosts)
	}
	p.LoseDatagrams, p.DuplicateDatagrams, p.JitterUS, p.Cold, p.Faults = 0, 0, 0, false, nil
	at := int(badFrom.Milliseconds())
	for who := range badHosts {
		p.Faults = append(p.Faults,
			Fault{AtMS: at, Kind: "host-errors", Target: who, ForMS: int(badFor.Milliseconds()), Share: 1},
			Fault{AtMS: at, Kind: "host-cold", Target: hosts - 1 - who})
	}
	return p, nil
}

// assignmentMeasurement is a run that is measured.
type assignmentMeasurement struct {
	run           *simulator
	hosts         int
	reports       bool // gateways tell each other of hosts found bad
	figures       AssignmentFigures
	steadyBytes   int // of datagrams, while only the faults that are measured happen
	used, allowed float64
}

// observe counts the bytes of datagrams, and takes reports out of them where there are to be none.
func (m *assignmentMeasurement) observe(f *loop.Effect) {
	if f.Op != loop.SendTo {
		return
	}
	if !m.reports {
		f.Data = removeEjections(f.Data)
	}
	if now := m.run.sim.Elapsed(); now >= steadyFrom && now < badFrom+badFor {
		m.steadyBytes += len(f.Data)
	}
}

// schedule has the figures taken at their times.
func (m *assignmentMeasurement) schedule() {
	sim, start := m.run.sim, epoch+300*time.Millisecond
	sim.At(start+badFrom, func() { m.countBadHostAttempts(-1) })
	sim.At(start+badFrom+badFor, func() { m.countBadHostAttempts(1) })
	for at := badHostInterval; at < badFor; at += badHostInterval {
		sim.At(start+badFrom+at, func() { m.checkBadHosts(at) })
	}
	sim.At(start+badFrom+badFor+5*time.Second, m.sumSlowStart)
}

// countBadHostAttempts adds or subtracts what the bad hosts were asked so far.
func (m *assignmentMeasurement) countBadHostAttempts(sign int) {
	for who := range badHosts {
		m.figures.Asked += sign * m.run.hosts[who].record.Len()
	}
}

// checkBadHosts notes which bad hosts are known by now.
func (m *assignmentMeasurement) checkBadHosts(at time.Duration) {
	for who := range badHosts {
		if m.figures.Known[who] == 0 && m.run.knownShare(m.run.hosts[who]) >= 0.95 {
			m.figures.Known[who] = at
		}
	}
}

// sumSlowStart adds up what cold hosts were sent, and what they may get.
func (m *assignmentMeasurement) sumSlowStart() {
	for who := range badHosts {
		h := m.run.hosts[m.hosts-1-who]
		cold := h.spec.Cold
		m.used += float64(h.budget.total)
		m.allowed += cold.FallMultiple * warmRate * (1 + cold.From) / 2 * cold.For.Seconds()
	}
}

// knownShare is the share of the gateways that use a host which have ejected it themselves, or are told to
// doubt it.
func (s *simulator) knownShare(h *host) float64 {
	id := discovery.Identity(h.name)
	users, know := 0, 0
	for _, g := range s.gateways {
		if !g.up || g.process.gw == nil || g.process.gw.AssignmentTracker() == nil {
			continue
		}
		bad, doubted, uses := g.process.gw.EndpointKnowledge(id)
		if !uses {
			continue
		}
		users++
		if bad || doubted {
			know++
		}
	}
	if users == 0 {
		return 0
	}
	return float64(know) / float64(users)
}

// effectObserver sees each effect before it is carried out.
type effectObserver struct {
	loop.Reducer
	observe func(*loop.Effect)
}

// Step implements loop.Reducer.
func (o effectObserver) Step(now time.Duration, e loop.Event) []loop.Effect {
	list := o.Reducer.Step(now, e)
	for i := range list {
		o.observe(&list[i])
	}
	return list
}

// removeEjections is a datagram in which nobody names bad hosts.
func removeEjections(data []byte) []byte {
	return rewriteClaims(data, func(c *gossipcodec.Claim) {
		if s, err := loadreport.Parse(c.Payload); err == nil && len(s.Ejected) > 0 {
			s.Ejected = nil
			c.Payload = loadreport.Append(nil, s)
		}
	})
}

// rewriteClaims changes the claims of a datagram. One that no longer fits is left out.
func rewriteClaims(data []byte, change func(*gossipcodec.Claim)) []byte {
	m, err := gossipcodec.Parse(data)
	if err != nil {
		return data
	}
	out := gossipcodec.Append(nil, m)
	for i := range m.Claims {
		change(&m.Claims[i])
		out, _ = gossipcodec.AppendClaim(out, &m.Claims[i])
	}
	return out
}

// Median is the middle of the times, with those that never came last.
func (f AssignmentFigures) Median() (time.Duration, bool) {
	list := slices.Clone(f.Known)
	slices.SortFunc(list, func(a, b time.Duration) int {
		switch {
		case a == b:
			return 0
		case a == 0 || b != 0 && a > b:
			return 1
		}
		return -1
	})
	mid := list[len(list)/2]
	return mid, mid > 0
}
