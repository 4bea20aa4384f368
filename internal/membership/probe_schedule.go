package membership

import (
	"time"

	"thymebend/internal/gossipcodec"
)

// resultWindow is how many of the last periodic probes the share of those answered is taken over.
const resultWindow = 16

// probeResults remembers whether the last periodic probes were answered.
type probeResults struct {
	answered [resultWindow]bool
	count    int // since the start
}

func (r *probeResults) add(answered bool) {
	r.answered[r.count%resultWindow] = answered
	r.count++
}

// answeredShare is the share that was answered, 0 to 1; 1 while there is none.
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

// probeSchedule picks whom each protocol period probes: in turn the next member by name, so that somebody probes each
// of them, and the next of a shuffled round (SWIM, section 4.3), which finds runs of dead neighbours.
type probeSchedule struct {
	round  []string // names still to be probed in this round, the next one last
	period uint64
}

// nextTarget is whom to probe, or nil while nobody is live.
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

// successor is the next alive member by name after this gateway, round the end; nil if there is none.
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

// beginProtocolPeriod probes one member, or joins while none is known.
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

// endProtocolPeriod takes a probe without an answer for a sign against the member, or against this gateway.
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
	if p.nacks < p.helpers { // helpers that live would have said so
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
