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

// AssignmentFigures are the results of a run in which gateways divide the hosts by their membership views. The
// run has no faults but those whose effects are measured.
type AssignmentFigures struct {
	// DetectionTimes holds, by bad host, the time from its first failure until 95% of the gateways that use it have
	// ejected it or doubt it because of other gateways' reports; 0: never.
	DetectionTimes  []time.Duration
	BadHostRequests int     // requests sent to hosts while these failed
	BytesPerSecond  float64 // bytes that a gateway sends in datagrams a second, from the eighth second on
	SlowStartLoad   float64 // requests sent to hosts in slow start, divided by what these may receive
	RejectedShare   float64 // rejected share of the attempts
	Findings        []Finding
}

// Times of the measured run, from the start of its traffic, and the number of its bad hosts.
const (
	badFrom         = 9 * time.Second
	badFor          = 8 * time.Second
	badHostInterval = 50 * time.Millisecond
	steadyFrom      = 8 * time.Second
	badHosts        = 5
)

// MeasureAssignment plays gateways that divide the hosts. From the ninth second on, some hosts fail all
// requests, and as many others restart in slow start. If reports is false, no gateway tells the others which
// hosts it has found bad. Once ctx is done, the run ends with ctx's error.
func MeasureAssignment(ctx context.Context, seed uint64, gateways, hosts int, reports bool) (AssignmentFigures, error) {
	p, err := assignmentPlan(seed, gateways, hosts)
	if err != nil {
		return AssignmentFigures{}, err
	}
	m := assignmentMeasurement{hosts: hosts, reports: reports}
	m.figures.DetectionTimes = make([]time.Duration, badHosts)
	m.run = newSimulator(p, nil, func(r loop.Reducer) loop.Reducer { return effectObserver{r, m.observe} })
	m.schedule()
	m.run.sim.ctx = ctx
	o := m.run.run()
	if o.Partial {
		return m.figures, ctx.Err()
	}
	out := m.figures
	out.SlowStartLoad, out.RejectedShare, out.Findings = m.used/m.allowed, float64(o.Rejected)/float64(max(1, o.Attempts)), o.Findings
	out.BytesPerSecond = float64(m.steadyBytes) / (badFrom + badFor - steadyFrom).Seconds() / float64(gateways)
	return out, nil
}

// assignmentPlan returns the plan of a run with only the faults that are measured.
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
	reports       bool // gateways report hosts found bad to one another
	figures       AssignmentFigures
	steadyBytes   int // bytes of datagrams from steadyFrom until the hosts recover
	used, allowed float64
}

// observe counts the bytes of the datagrams that gateways send. If the run is without reports, it first removes
// the reports of bad hosts from them.
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

// schedule schedules the measurements.
func (m *assignmentMeasurement) schedule() {
	sim, start := m.run.sim, epoch+300*time.Millisecond
	sim.At(start+badFrom, func() { m.countBadHostAttempts(-1) })
	sim.At(start+badFrom+badFor, func() { m.countBadHostAttempts(1) })
	for at := badHostInterval; at < badFor; at += badHostInterval {
		sim.At(start+badFrom+at, func() { m.checkBadHosts(at) })
	}
	sim.At(start+badFrom+badFor+5*time.Second, m.sumSlowStart)
}

// countBadHostAttempts adds the number of requests that the bad hosts have received so far, multiplied by sign.
func (m *assignmentMeasurement) countBadHostAttempts(sign int) {
	for who := range badHosts {
		m.figures.BadHostRequests += sign * m.run.hosts[who].record.Len()
	}
}

// checkBadHosts records the given time as the detection time of each bad host that 95% of its gateways now know
// to be bad for the first time.
func (m *assignmentMeasurement) checkBadHosts(at time.Duration) {
	for who := range badHosts {
		if m.figures.DetectionTimes[who] == 0 && m.run.knownShare(m.run.hosts[who]) >= 0.95 {
			m.figures.DetectionTimes[who] = at
		}
	}
}

// sumSlowStart sums the requests that hosts in slow start have received, and those that they may receive.
func (m *assignmentMeasurement) sumSlowStart() {
	for who := range badHosts {
		h := m.run.hosts[m.hosts-1-who]
		slowStart := h.spec.SlowStart
		m.used += float64(h.slowStart.total)
		m.allowed += slowStart.CrashMultiple * warmRate * (1 + slowStart.InitialShare) / 2 * slowStart.Duration.Seconds()
	}
}

// knownShare returns the share of a host's gateways that have ejected the host themselves or doubt it because of
// other gateways' reports.
func (s *simulator) knownShare(h *host) float64 {
	id := discovery.EndpointIDFromName(h.name)
	users, knowing := 0, 0
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
			knowing++
		}
	}
	if users == 0 {
		return 0
	}
	return float64(knowing) / float64(users)
}

// effectObserver observes each effect before it is carried out.
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

// removeEjections returns a datagram without the reports of bad hosts.
func removeEjections(data []byte) []byte {
	return rewriteClaims(data, func(c *gossipcodec.Claim) {
		if s, err := loadreport.Parse(c.Payload); err == nil && len(s.Ejected) > 0 {
			s.Ejected = nil
			c.Payload = loadreport.Append(nil, s)
		}
	})
}

// rewriteClaims returns a datagram whose claims (statements about single processes of gateways) are changed. A
// claim that no longer fits into the datagram is omitted.
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

// MedianDetectionTime returns the median of the detection times. Bad hosts that were never detected sort last.
// It returns false if the median host was never detected.
func (f AssignmentFigures) MedianDetectionTime() (time.Duration, bool) {
	list := slices.Clone(f.DetectionTimes)
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
