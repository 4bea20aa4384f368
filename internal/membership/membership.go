package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

// stallThreshold is the delay of a wake-up from which on the membership assumes that this process was stopped.
const stallThreshold = 250 * time.Millisecond

// Datagram is a datagram to send, with its destination.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Membership is one gateway's view of its cluster, together with the state of the protocol that maintains it.
type Membership struct {
	cfg      Config
	disabled Refinement // set only by the laboratory
	rng      *rand.Rand
	now      time.Duration
	wakeAt   time.Duration // when Advance is expected, as of the last NextWake
	next     deadlines
	leaving  bool

	self      member
	table     table
	suspects  []*member // members with a suspicion, oldest suspicion first
	seeds     seedPeers
	probes    probes
	schedule  probeSchedule
	awareness awareness
	queue     broadcastQueue
	limiter   sendLimiter
	outgoing  []Datagram

	version       uint64        // see Status.Version
	lastChange    time.Duration // when the state or start of a member last changed
	duplicateSeen time.Duration // when another process with this gateway's name was last detected; 0 for never
	counts        Counts
}

// deadlines holds the times at which each periodic task is due next.
type deadlines struct {
	probe     time.Duration
	gossip    time.Duration // applies while the broadcast queue is not empty
	reconnect time.Duration
	repair    time.Duration // earliest time of the next repair
	reap      time.Duration
}

// New returns a membership that knows no other member. It has nothing to send before the first [Membership.Advance].
// Its errors are of type [*ConfigError].
func New(cfg Config, now time.Duration, options ...Option) (*Membership, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := &Membership{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, cfg.Start)),
		now:        now,
		wakeAt:     now,
		next:       deadlines{probe: now, reconnect: now + reconnectInterval, reap: now + reapAfter},
		table:      newTable(),
		probes:     probes{pending: make(map[uint64]*probe)},
		queue:      newBroadcastQueue(),
		limiter:    sendLimiter{tokens: sendBurst, refilledAt: now},
		lastChange: now,
	}
	for _, option := range options {
		option(m)
	}
	// Incarnations start at 1: other gateways record incarnation 0 for a member that has sent no claim about itself
	// yet.
	m.self.Member = Member{Name: cfg.Name, Start: cfg.Start, Incarnation: max(1, cfg.Incarnation), StateSince: now,
		Payload: slices.Clone(cfg.Payload)}
	m.probes.lastSeq = m.rng.Uint64() >> 24
	if err := m.setSeedPeers(cfg.SeedPeers); err != nil {
		return nil, err
	}
	m.table.updateDigest(&m.self)
	m.broadcast(m.self.claim(""))
	return m, nil
}

// SetPayload replaces the payload that this gateway spreads about itself. For a payload over [gossipcodec.MaxPayload]
// bytes it returns a [*ConfigError] and changes nothing.
func (m *Membership) SetPayload(now time.Duration, payload []byte) error {
	if err := validatePayload(payload); err != nil {
		return err
	}
	m.advanceClock(now)
	if string(payload) != string(m.self.Payload) {
		m.self.Payload = slices.Clone(payload)
		m.raiseIncarnation(m.self.Incarnation + 1)
	}
	return nil
}

// Identity returns the Start, in ms of Unix time, and Incarnation for the [Config] of the successor at a hot restart.
// The successor sends under this identity, so the predecessor must not send any datagram afterwards.
func (m *Membership) Identity() (start, incarnation uint64) {
	return m.self.Start, m.self.Incarnation + 1
}

// Leave announces that this gateway leaves the cluster. The caller collects the announcements with [Membership.Take];
// after that, the membership sends nothing more.
func (m *Membership) Leave(now time.Duration) {
	m.advanceClock(now)
	if m.leaving {
		return
	}
	m.leaving = true
	c := m.self.claim("")
	c.State = gossipcodec.Left
	m.broadcast(c)
	for _, peer := range m.randomPeers(leaveFanout, "") {
		m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Gossip}, &c)
	}
}

// NextWake returns when [Membership.Advance] is due next. If Advance, Receive or another call that changes the
// membership comes later than that by stallThreshold or more, the membership concludes that this process was stopped.
func (m *Membership) NextWake() time.Duration {
	if m.leaving {
		return math.MaxInt64
	}
	next := min(m.next.probe, m.next.reconnect)
	if m.queue.len() > 0 {
		next = min(next, m.next.gossip)
	}
	next = min(next, m.probes.nextDeadline())
	for _, peer := range m.suspects {
		next = min(next, peer.suspicion.deadline())
	}
	m.wakeAt = max(next, m.now)
	return next
}

// advanceClock sets the current time. A process that was stopped has received nothing meanwhile, so after a stall
// advanceClock postpones the deadlines of pending probes and suspicions; otherwise this gateway would suspect every
// member.
func (m *Membership) advanceClock(now time.Duration) {
	delay := now - m.wakeAt
	m.now = max(now, m.now)
	if delay < stallThreshold || m.disabled.includes(LocalHealthAwareness) {
		return
	}
	m.probes.postpone(delay)
	for _, peer := range m.suspects {
		peer.suspicion.postpone(delay)
	}
	m.probes.dropPeriodic() // it is unknown whether the target of the periodic probe answered
	m.awareness.degrade(1 + int(delay/time.Second))
	m.wakeAt = now
}

// stretch lengthens a timeout of this gateway according to its local health.
func (m *Membership) stretch(d time.Duration) time.Duration {
	if m.disabled.includes(LocalHealthAwareness) {
		return d
	}
	return m.awareness.stretch(d)
}

// Advance performs all tasks that are due at now: probes, suspicions, reconnections, gossip and the removal of
// members that have been gone for longer than reapAfter.
func (m *Membership) Advance(now time.Duration) {
	m.advanceClock(now)
	if m.leaving {
		return
	}
	m.handleDueProbes()
	m.expireSuspicions()
	if m.now >= m.next.probe {
		m.endProtocolPeriod()
		m.beginProtocolPeriod()
		m.next.probe = m.now + m.stretch(protocolPeriod)
	}
	if m.now >= m.next.reconnect {
		m.reconnect()
		jitter := time.Duration(m.rng.Int64N(int64(reconnectInterval / 4)))
		m.next.reconnect = m.now + reconnectInterval - reconnectInterval/8 + jitter
	}
	if m.queue.len() > 0 && m.now >= m.next.gossip {
		m.gossip()
		m.next.gossip = m.now + gossipInterval
	}
	if m.now >= m.next.reap {
		m.reap()
		m.next.reap = m.now + reapAfter/10
	}
	m.NextWake()
}

// Take returns the datagrams to send, in order, and removes them from the membership.
func (m *Membership) Take() []Datagram {
	out := m.outgoing
	m.outgoing = nil
	return out
}
