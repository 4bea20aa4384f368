package membership

import (
	"time"

	"thymebend/internal/gossipcodec"
)

// resultWindow is the number of recent periodic probes from which the share of answered probes is computed.
const resultWindow = 16

// probeResults records which of the last resultWindow periodic probes were answered.
type probeResults struct {
	answered [resultWindow]bool
	count    int // number of results since the start
}

func (r *probeResults) add(answered bool) {
	r.answered[r.count%resultWindow] = answered
	r.count++
}

// answeredShare returns the share of the recorded probes that was answered, 0 to 1. It is 1 before the first result.
func (r *probeResults) answeredShare() float64 {
	n := min(r.count, resultWindow)
	if n == 0 {
		return 1
	}
	answeredCount := 0
	for _, answered := range r.answered[:n] {
		if answered {
			answeredCount++
		}
	}
	return float64(answeredCount) / float64(n)
}

// probeSchedule chooses the member that each protocol period probes. Periods alternate between the next member by
// name, so that each member has a gateway that probes it regularly, and the next member of a shuffled round (SWIM,
// section 4.3), which detects consecutive dead members.
type probeSchedule struct {
	round  []string // names not probed yet in this round; the last element is next
	period uint64   // number of protocol periods begun
}

// nextTarget returns the member to probe, or nil while no other member is live.
func (m *Membership) nextTarget() *member {
	if m.schedule.period%2 == 0 && !m.disabled.includes(RingProbing) {
		if peer := m.successor(); peer != nil {
			return peer
		}
	}
	round := &m.schedule.round
	for {
		for len(*round) > 0 {
			last := len(*round) - 1
			name := (*round)[last]
			*round = (*round)[:last]
			if peer := m.table.byName[name]; peer != nil && peer.live() {
				return peer
			}
		}
		for _, peer := range m.table.sorted {
			if peer.live() {
				*round = append(*round, peer.Name)
			}
		}
		if len(*round) == 0 {
			return nil
		}
		m.rng.Shuffle(len(*round), func(i, j int) { (*round)[i], (*round)[j] = (*round)[j], (*round)[i] })
	}
}

// successor returns the next alive member by name after this gateway, wrapping around at the end of the list. It
// returns nil if there is none.
func (m *Membership) successor() *member {
	sorted := m.table.sorted
	start := m.table.position(m.cfg.Name)
	for i := range len(sorted) {
		if peer := sorted[(start+i)%len(sorted)]; peer.live() && peer.State == gossipcodec.Alive {
			return peer
		}
	}
	return nil
}

// beginProtocolPeriod probes one member, or contacts seed peers while no other member is live.
func (m *Membership) beginProtocolPeriod() {
	m.schedule.period++
	peer := m.nextTarget()
	if peer == nil {
		m.join()
		return
	}
	deadline := m.now + m.stretch(protocolPeriod) - time.Millisecond
	m.probes.periodicSeq = m.startProbe(peer, periodicProbe, deadline, m.now+m.answerTimeout())
}

// endProtocolPeriod evaluates the periodic probe. If it was not answered, the target becomes suspect, and this
// gateway's local health gets worse if helpers were silent too.
func (m *Membership) endProtocolPeriod() {
	p := m.probes.pending[m.probes.periodicSeq]
	if p == nil {
		return
	}
	m.probes.dropPeriodic()
	m.probes.results.add(p.answered)
	if p.answered {
		m.awareness.improve()
		return
	}
	if p.nacks < p.helpers { // a live helper would have sent a Nack
		m.awareness.degrade(1)
	}
	peer := m.table.byName[p.target]
	if peer == nil || peer.State > gossipcodec.Suspect || peer.lastReceived > p.sentAt+protocolPeriod/4 {
		return
	}
	if peer.State == gossipcodec.Suspect {
		m.confirmUnanswered(p)
		return
	}
	c := peer.claim(m.cfg.Name)
	c.State = gossipcodec.Suspect
	m.acceptClaim(peer, &c)
}
