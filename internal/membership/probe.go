package membership

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// protocolPeriod is SWIM's T': each gateway probes one member per period.
	protocolPeriod = 400 * time.Millisecond
	// The timeout for an answer is answerRoundTrips times the mean round-trip time, within the bounds below. After
	// it, other members are requested to ping the target.
	answerRoundTrips = 3.0
	minAnswerTimeout = 60 * time.Millisecond
	maxAnswerTimeout = 200 * time.Millisecond
	// indirectProbes is SWIM's k: the number of members that are requested to ping a member that has not answered.
	indirectProbes = 3
	// maxRetransmits is how often an unanswered ping is resent: a lost datagram is far likelier than a crash.
	maxRetransmits = 2
	// relayTimeout is how long a member that pings another one on request waits for the answer before it sends a
	// Nack.
	relayTimeout = 200 * time.Millisecond
)

// probeKind is the purpose of a probe.
type probeKind uint8

const (
	periodicProbe     probeKind = iota // the one probe of each protocol period
	verificationProbe                  // checks a suspect
	relayedProbe                       // on behalf of another member, as its indirect probe
	reconnectProbe                     // of a member considered gone, or a seed peer without contact yet
)

// probe is a Ping whose Ack is pending.
type probe struct {
	kind        probeKind
	target      string
	sentAt      time.Duration
	deadline    time.Duration
	retryAt     time.Duration // when it is resent if still unanswered; 0 for never
	retransmits int
	helpers     int // number of members that were requested to probe indirectly
	nacks       int
	answered    bool
	origin      netip.AddrPort // of a relayed probe: the address of the requesting member
	originSeq   uint64         // of a relayed probe: the sequence number of the request
}

// probes holds the pending probes and the results of the last periodic probes.
type probes struct {
	pending     map[uint64]*probe // by sequence number
	periodicSeq uint64            // sequence number of the period's probe; 0 for none
	lastSeq     uint64            // the last sequence number assigned
	rtt         time.Duration     // round-trip time, smoothed over all members; 0 before the first measurement
	results     probeResults
}

func (p *probes) add(entry *probe) (seq uint64) {
	p.lastSeq++
	p.pending[p.lastSeq] = entry
	return p.lastSeq
}

// sortedSeqs returns the sequence numbers of the pending probes, oldest first.
func (p *probes) sortedSeqs() []uint64 {
	list := make([]uint64, 0, len(p.pending))
	for seq := range p.pending {
		list = append(list, seq)
	}
	slices.Sort(list)
	return list
}

// nextDeadline returns when the next pending probe must be handled. It ignores the deadlines of periodic probes,
// since the end of the protocol period handles these.
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

// smooth moves a mean round-trip time toward a new measurement by their difference divided by divisor. It replaces a
// mean of 0 by the measurement.
func smooth(mean, trip time.Duration, divisor int64) time.Duration {
	if mean == 0 {
		mean = trip
	}
	return mean + (trip-mean)/time.Duration(divisor)
}

// answerTimeout returns how long an answer may take before this gateway requests indirect probes.
func (m *Membership) answerTimeout() time.Duration {
	expected := time.Duration(answerRoundTrips * float64(m.probes.rtt))
	return m.stretch(min(max(expected, minAnswerTimeout), maxAnswerTimeout))
}

// startProbe sends a Ping to peer and returns its sequence number. If peer is not considered alive, the Ping carries
// the claim that says so, since only peer can refute it (Lifeguard's Buddy System). If the Ping is unanswered at
// retryAt, it is resent and other members are requested to ping peer too.
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

// handleDueProbes resends unanswered probes whose retryAt has passed, and ends probes whose deadline has passed.
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
			continue // endProtocolPeriod handles it
		case relayedProbe:
			m.sendTo(p.origin, &gossipcodec.Message{Kind: gossipcodec.Nack, Seq: p.originSeq}, nil)
		case verificationProbe:
			m.confirmUnanswered(p)
		}
		delete(m.probes.pending, seq)
	}
}

// retryProbe resends an unanswered Ping. The first time it also requests indirect probes, and schedules another
// resend halfway to the deadline.
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

// probeIndirectly requests helpers to ping peer. If peer is suspect, the requests carry the suspicion and the helpers
// forward it: only peer can refute it, and this gateway's datagrams may not reach peer.
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

// confirmUnanswered adds this gateway to the suspectors of a probe's target after this gateway's probe was not
// answered either.
func (m *Membership) confirmUnanswered(p *probe) {
	peer := m.table.byName[p.target]
	if peer != nil && peer.State == gossipcodec.Suspect && peer.suspicion.verifyingUntil == 0 {
		m.confirmSuspicion(peer, m.cfg.Name)
	}
}

// acknowledge handles an Ack for a probe of this gateway. It forwards the Ack of a relayed probe to its origin.
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

// recordAnswer records that the target of a probe is alive; direct means that the target answered itself, and not a
// helper. A suspect must refute the suspicion itself, since the other members accept no other refutation. It gets
// another full suspicion timeout to do so.
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

// relayProbe handles a PingRequest: it pings the target on behalf of the member at from.
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
