package membership

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// protocolPeriod is SWIM's T': each gateway probes one member in it.
	protocolPeriod = 400 * time.Millisecond
	// An answer is due after answerRoundTrips of the mean round-trip time, within these bounds. Then others are asked.
	answerRoundTrips = 3.0
	minAnswerTimeout = 60 * time.Millisecond
	maxAnswerTimeout = 200 * time.Millisecond
	// indirectProbes is SWIM's k: members asked to ping one that has not answered.
	indirectProbes = 3
	// maxRetransmits is how often an unanswered ping goes out again: a lost datagram is far likelier than a death.
	maxRetransmits = 2
	// relayTimeout is how long a member asked to ping another waits for the answer before it sends a Nack.
	relayTimeout = 200 * time.Millisecond
)

// probeKind is what a probe is for.
type probeKind uint8

const (
	periodicProbe     probeKind = iota // of the protocol period
	verificationProbe                  // of a suspect
	relayedProbe                       // for another member, as its indirect probe
	reconnectProbe                     // of a member believed gone, or never heard of
)

// probe is a Ping that waits for its Ack.
type probe struct {
	kind        probeKind
	target      string
	sentAt      time.Duration
	deadline    time.Duration
	retryAt     time.Duration // when it goes out again unanswered; 0 for never
	retransmits int
	helpers     int // members asked for an indirect probe
	nacks       int
	answered    bool
	origin      netip.AddrPort // of a relayed probe: who asked for it
	originSeq   uint64         // and under which number
}

// probes are those that wait for an answer, and the results of those that are over.
type probes struct {
	pending     map[uint64]*probe // by sequence number
	periodicSeq uint64            // sequence number of the period's probe; 0 for none
	lastSeq     uint64            // the last given
	rtt         time.Duration     // smoothed over all members; 0 while none was measured
	results     probeResults
}

func (p *probes) add(entry *probe) (seq uint64) {
	p.lastSeq++
	p.pending[p.lastSeq] = entry
	return p.lastSeq
}

// sortedSeqs lists the sequence numbers that wait, oldest first.
func (p *probes) sortedSeqs() []uint64 {
	list := make([]uint64, 0, len(p.pending))
	for seq := range p.pending {
		list = append(list, seq)
	}
	slices.Sort(list)
	return list
}

// nextDeadline is when a probe has to be seen to. The end of a periodic probe is that of its period.
func (p *probes) nextDeadline() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, entry := range p.pending {
		if entry.kind != periodicProbe {
			next = min(next, entry.deadline)
		}
		if entry.retryAt > 0 {
			next = min(next, entry.retryAt)
		}
	}
	return next
}

func (p *probes) postpone(by time.Duration) {
	for _, entry := range p.pending {
		entry.deadline += by
		if entry.retryAt > 0 {
			entry.retryAt += by
		}
	}
}

func (p *probes) dropPeriodic() {
	delete(p.pending, p.periodicSeq)
	p.periodicSeq = 0
}

// smooth moves a mean round-trip time by a fraction of the difference to a new measurement; the first one counts whole.
func smooth(mean, trip time.Duration, divisor int64) time.Duration {
	if mean == 0 {
		mean = trip
	}
	return mean + (trip-mean)/time.Duration(divisor)
}

// answerTimeout is how long an answer may take before others are asked.
func (m *Membership) answerTimeout() time.Duration {
	expected := time.Duration(answerRoundTrips * float64(m.probes.rtt))
	return m.stretch(min(max(expected, minAnswerTimeout), maxAnswerTimeout))
}

// startProbe sends a Ping. To a member that is not believed alive the Ping carries that claim, for only that one can
// refute it (Lifeguard's Buddy System). Unless it is answered by retryAt, it goes out again and others are asked to
// ping too.
func (m *Membership) startProbe(peer *member, kind probeKind, deadline, retryAt time.Duration) (seq uint64) {
	seq = m.probes.add(&probe{kind: kind, target: peer.Name, sentAt: m.now, deadline: deadline, retryAt: retryAt})
	var about *gossipcodec.Claim
	if peer.State != gossipcodec.Alive {
		c := peer.claim("")
		about = &c
	}
	m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Ping, Seq: seq}, about)
	return seq
}

// handleDueProbes retransmits probes that are unanswered, and ends those whose deadline has passed.
func (m *Membership) handleDueProbes() {
	for _, seq := range m.probes.sortedSeqs() {
		p := m.probes.pending[seq]
		if p.retryAt > 0 && m.now >= p.retryAt {
			m.retryProbe(seq, p)
		}
		if m.now < p.deadline {
			continue
		}
		switch p.kind {
		case periodicProbe:
			continue // the end of the period sees to it
		case relayedProbe:
			m.sendTo(p.origin, &gossipcodec.Message{Kind: gossipcodec.Nack, Seq: p.originSeq}, nil)
		case verificationProbe:
			m.confirmUnanswered(p)
		}
		delete(m.probes.pending, seq)
	}
}

// retryProbe sends an unanswered Ping again: the first time through helpers too, and once more half-way to its
// deadline.
func (m *Membership) retryProbe(seq uint64, p *probe) {
	p.retryAt = 0
	peer := m.table.byName[p.target]
	if peer == nil {
		return
	}
	m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Ping, Seq: seq}, nil)
	if p.retransmits++; p.retransmits < maxRetransmits {
		p.retryAt = m.now + max((p.deadline-m.now)/2, minAnswerTimeout)
	}
	if p.retransmits == 1 {
		m.probeIndirectly(seq, p, peer)
	}
}

// probeIndirectly asks helpers to ping a member. They pass a suspicion on to the suspect, for it alone can refute it,
// and this gateway's own datagrams may not reach it.
func (m *Membership) probeIndirectly(seq uint64, p *probe, peer *member) {
	var about *gossipcodec.Claim
	if peer.State == gossipcodec.Suspect {
		c := peer.claim("")
		about = &c
	}
	for _, helper := range m.randomPeers(indirectProbes, p.target) {
		p.helpers++
		m.send(helper, &gossipcodec.Message{Kind: gossipcodec.PingRequest, Seq: seq, Target: p.target}, about)
	}
}

// confirmUnanswered counts this gateway among those that suspect a member, once its own probe was not answered either.
func (m *Membership) confirmUnanswered(p *probe) {
	peer := m.table.byName[p.target]
	if peer != nil && peer.State == gossipcodec.Suspect && peer.suspicion.verifyingUntil == 0 {
		m.confirmSuspicion(peer, m.cfg.Name)
	}
}

// acknowledge takes the answer to a probe.
func (m *Membership) acknowledge(msg *gossipcodec.Message) {
	p := m.probes.pending[msg.Seq]
	if p == nil {
		return
	}
	if p.kind == relayedProbe {
		delete(m.probes.pending, msg.Seq)
		m.sendTo(p.origin, &gossipcodec.Message{Kind: gossipcodec.Ack, Seq: p.originSeq}, nil)
		return
	}
	m.recordAnswer(p, msg.From == p.target)
	if p.kind != periodicProbe {
		delete(m.probes.pending, msg.Seq)
	}
}

// recordAnswer notes that a member lives, as itself or a helper says. A suspect must refute the suspicion itself, as
// others believe nobody else, and gets another term to do so.
func (m *Membership) recordAnswer(p *probe, direct bool) {
	p.answered, p.retryAt = true, 0
	peer := m.table.byName[p.target]
	if peer == nil {
		return
	}
	if direct {
		trip := m.now - p.sentAt
		peer.RTT = smooth(peer.RTT, trip, 4)
		m.probes.rtt = smooth(m.probes.rtt, trip, 16)
	}
	if s := peer.suspicion; s != nil {
		s.restart(m.now, m.stretch(suspicionMax))
	}
}

// relayProbe pings a member for another one.
func (m *Membership) relayProbe(from netip.AddrPort, msg *gossipcodec.Message) {
	target := m.table.byName[msg.Target]
	if target == nil || !target.Addr.IsValid() {
		m.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Nack, Seq: msg.Seq}, nil)
		return
	}
	seq := m.startProbe(target, relayedProbe, m.now+relayTimeout, 0)
	relayed := m.probes.pending[seq]
	relayed.origin, relayed.originSeq = from, msg.Seq
}
