package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

// stallThreshold is how late a timer has to be for this process to have been stopped meanwhile.
const stallThreshold = 250 * time.Millisecond

// Datagram is one to be sent.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Membership is what one gateway knows of its cluster.
type Membership struct {
	cfg      Config
	disabled Refinement // left out, by the laboratory alone
	rng      *rand.Rand
	now      time.Duration
	wakeAt   time.Duration // when NextWake last asked for Advance
	next     deadlines
	leaving  bool

	self      member
	table     table
	suspects  []*member // those with a suspicion, oldest first
	seeds     seedPeers
	probes    probes
	schedule  probeSchedule
	awareness awareness
	queue     broadcastQueue
	limiter   sendLimiter
	outgoing  []Datagram

	version       uint64
	lastChange    time.Duration // of a state or start
	duplicateSeen time.Duration // when another process last used the own name; 0 for never
	counts        Counts
}

// deadlines are when each periodic duty is due next.
type deadlines struct {
	probe     time.Duration
	gossip    time.Duration // while the broadcast queue holds something
	reconnect time.Duration
	repair    time.Duration // not before
	reap      time.Duration
}

// New starts a membership that knows nobody. It has nothing to send before the first Advance. Its errors are of type
// [*ConfigError].
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
	// Incarnations begin at 1: what others note of a member that has not spoken of itself has 0.
	m.self.Member = Member{Name: cfg.Name, Start: cfg.Start, Incarnation: max(1, cfg.Incarnation), Since: now,
		Payload: slices.Clone(cfg.Payload)}
	m.probes.lastSeq = m.rng.Uint64() >> 24
	if err := m.setSeedPeers(cfg.SeedPeers); err != nil {
		return nil, err
	}
	m.table.updateDigest(&m.self)
	m.broadcast(m.self.claim(""))
	return m, nil
}

// SetPayload changes what this gateway spreads of itself. A payload over [gossipcodec.MaxPayload] bytes is a
// [*ConfigError] and changes nothing.
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

// Identity is what goes over to the next process of this gateway at an upgrade, as Config's Start, in ms of Unix time,
// and Incarnation. The next one speaks under it; this one must not speak again.
func (m *Membership) Identity() (start, incarnation uint64) {
	return m.self.Start, m.self.Incarnation + 1
}

// Leave announces that this gateway goes for good. Nothing but the datagrams that it leaves in Take is sent
// afterwards.
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

// NextWake is when Advance is due next. How late Advance then comes tells whether this process was stopped.
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

// advanceClock moves the time on. A process that was stopped has heard nothing meanwhile: all that it waited for waits
// on, or it would suspect everybody.
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
	m.probes.dropPeriodic() // who did not answer it is not known
	m.awareness.degrade(1 + int(delay/time.Second))
	m.wakeAt = now
}

// stretch lengthens one of this gateway's own times by its local health.
func (m *Membership) stretch(d time.Duration) time.Duration {
	if m.disabled.includes(LocalHealthAwareness) {
		return d
	}
	return m.awareness.stretch(d)
}

// Advance does what is due.
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

// Take returns the datagrams to be sent, in order, and forgets them.
func (m *Membership) Take() []Datagram {
	out := m.outgoing
	m.outgoing = nil
	return out
}
