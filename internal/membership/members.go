// Package membership is one gateway's view of the others of its fleet: SWIM with the refinements of Lifeguard, as a
// reducer. Times and datagrams go in, datagrams and the time of the next look come out. It does no I/O, has no clock and
// no state outside a View. docs/design/fleet-view.md says why it is so.
package membership

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"thymebend/internal/gossipcodec"
)

// Times and counts; the design note gives the reasons.
const (
	period       = 400 * time.Millisecond
	leastAnswer  = 60 * time.Millisecond // before others are asked, at least
	mostAnswer   = 200 * time.Millisecond
	usualTrips   = 3.0 // round trips that an answer may take
	helpers      = 3
	mostAgain    = 2 // times that an unanswered question goes out again
	suspectLeast = 1800 * time.Millisecond
	suspectMost  = 5400 * time.Millisecond
	confirmers   = 3
	verifyFor    = 250 * time.Millisecond
	relayFor     = 200 * time.Millisecond
	gossipEvery  = 200 * time.Millisecond
	fanout       = 2
	callEvery    = time.Second
	mostCalls    = 8  // at once
	callShare    = 20 // of the lost for each further call
	repairEvery  = time.Second
	mostPages    = 8   // datagrams of one repair
	newsTimes    = 1.0 // sends of a claim by one member, times the logarithm of the members
	mostHealth   = 8
	lateBy       = 250 * time.Millisecond // a timer later than this: the process was stopped
	buryFor      = 5 * time.Minute
	settledFor   = 2 * time.Second
	lastResults  = 16
	twinFor      = 10 * time.Second
	sendRate     = 300.0 // datagrams a second
	sendBurst    = 600.0 // and as many answers to pings beyond it
	leaveTo      = 8     // members told at once

	// MaxMembers bounds a view.
	MaxMembers = 2000
)

// Part is a refinement that an experiment may leave out; a gateway leaves out none.
type Part uint8

// The parts.
const (
	PartRing    Part = 1 << iota // every second question goes to the next member in the order
	PartConfirm                  // suspicion shortens with confirmations; without, it lasts suspectLeast
	PartVerify                   // nobody is taken for gone on hearsay
	PartHealth                   // own ill health stretches own times
	PartRepair                   // views are compared
	PartCalls                    // the lost are called
)

// Peer is an entry of the book: how this gateway reaches another.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Config is what a view starts from.
type Config struct {
	Cluster     string
	Name        string
	Start       uint64 // of this process, ms of Unix time, above 0
	Incarnation uint64 // above 0 only where it was handed over by the process before, with its Start
	SeedPeers   []Peer // the own name in it is passed over
	Flat        bool   // addresses that others tell may be used, and datagrams may come from any
	Payload     []byte
	Seed        uint64
	Without     Part // for experiments
}

// Datagram is one to be sent.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Member is what is known of one gateway.
type Member struct {
	Name        string
	State       gossipcodec.State
	Start       uint64 // ms of Unix time
	Incarnation uint64
	Since       time.Duration     // in this state
	Previous    gossipcodec.State // before it; Left for one that was just entered
	SuspectedBy string            // who raised the last suspicion, empty where that was not told
	Payload     []byte            // as it spreads it; not to be changed
	Addr        netip.AddrPort
	RTT         time.Duration // smoothed; 0 while none was measured
}

// Status is the view and how far it may be trusted.
type Status struct {
	Version       uint64 // moves with every change of a state, start or payload
	Alive         int    // this gateway included; suspects count
	Known         int    // those alive, those gone and not yet forgotten, and those of the book never heard of
	Answering     float64
	Isolated      time.Duration // no state changed
	Majority      bool          // more than half of the known are alive and no suspects, and most of those asked answer
	Settled       bool          // quiet for 2 s, no suspect, a majority, most of those asked answer, no twin
	DuplicateName bool          // another living process uses this name
	LocalHealth   int           // 0 is well; what it adds stretches this gateway's own times
}

// Counts is what came and went since the start.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes               uint64
	OtherCluster, Malformed, UnknownSender, Deferred, Full uint64 // refused: another fleet; unreadable; from no known address; by the send rate; over MostMembers
	FalseAlarms                                            uint64 // own refutations
}

type member struct {
	Member
	suspicion *suspicion
	weight    uint64 // in the digest
	lastHeard time.Duration
	called    time.Duration
	twinAt    time.Duration
}

// suspicion runs while a member is suspect.
type suspicion struct {
	since, until time.Duration
	by           []string
	verifying    time.Duration // until then; 0 while it does not
}

type askKind uint8

const (
	askRound askKind = iota
	askVerify
	askRelay
	askCall
)

// question is a Ping or Ask that waits for its Ack.
type question struct {
	kind     askKind
	target   string
	sent     time.Duration
	until    time.Duration
	back     netip.AddrPort // of a relay
	backSeq  uint64
	answered bool
	helped   int // helpers asked
	again    int // how often it went out once more
	nacks    int
	askAt    time.Duration
}

// Membership is the state.
type Membership struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	due  time.Duration // when it asked to be looked at
	self member

	members  map[string]*member
	order    []*member // by name, without the own
	suspects []*member // those with a suspicion, oldest first
	book     map[string]netip.AddrPort

	round     []string // names still to be asked in this shuffled round
	turn      uint64
	nextRound time.Duration
	nextNews  time.Duration
	nextCall  time.Duration
	nextFix   time.Duration
	nextBury  time.Duration

	questions map[uint64]*question
	current   uint64 // the round's question
	seq       uint64
	rtt       time.Duration
	results   [lastResults]bool
	asked     int

	news  news
	out   []Datagram
	token float64
	tokAt time.Duration

	version uint64
	changed time.Duration
	health  int
	twin    time.Duration
	leaving bool
	digest  uint64
	sums    [gossipcodec.Buckets]uint32
	counts  Counts
}

// New starts a view. It has nothing to send before the first Advance.
func New(cfg Config, now time.Duration) (*Membership, error) {
	switch {
	case !gossipcodec.Name(cfg.Cluster):
		return nil, fmt.Errorf("members: fleet %q is no name of 1 to %d printable characters", cfg.Cluster, gossipcodec.MaxName)
	case !gossipcodec.Name(cfg.Name):
		return nil, fmt.Errorf("members: name %q is no name of 1 to %d printable characters", cfg.Name, gossipcodec.MaxName)
	case cfg.Start == 0 || cfg.Start > gossipcodec.MaxStart:
		return nil, fmt.Errorf("members: start %d must be above 0, in ms of Unix time", cfg.Start)
	case len(cfg.Payload) > gossipcodec.MaxPayload:
		return nil, fmt.Errorf("members: a payload of %d bytes, %d at most", len(cfg.Payload), gossipcodec.MaxPayload)
	}
	v := &Membership{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Start)), now: now, due: now, members: make(map[string]*member),
		questions: make(map[uint64]*question), news: news{byName: make(map[string]*item)}, nextRound: now, nextCall: now + callEvery,
		nextBury: now + buryFor, token: sendBurst, tokAt: now, changed: now}
	// Incarnations begin at 1: what others note of a member that has not spoken of itself has 0.
	v.self.Member = Member{Name: cfg.Name, Start: cfg.Start, Incarnation: max(1, cfg.Incarnation), Since: now, Payload: slices.Clone(cfg.Payload)}
	v.seq = v.rng.Uint64() >> 24
	if err := v.setBook(cfg.SeedPeers); err != nil {
		return nil, err
	}
	v.weigh(&v.self)
	v.tell(v.self.claim(""))
	return v, nil
}

// SetSeedPeers takes a new book. A faulty one changes nothing.
func (v *Membership) SetSeedPeers(now time.Duration, book []Peer) error {
	v.at(now)
	return v.setBook(book)
}

func (v *Membership) setBook(book []Peer) error {
	names, addrs := make(map[string]netip.AddrPort, len(book)), make(map[netip.AddrPort]string, len(book))
	for _, p := range book {
		_, twice := names[p.Name]
		other, taken := addrs[p.Addr]
		switch {
		case !gossipcodec.Name(p.Name):
			return fmt.Errorf("members: %q in the book is no name", p.Name)
		case !p.Addr.IsValid() || p.Addr.Port() == 0:
			return fmt.Errorf("members: %s has no address in the book", p.Name)
		case twice:
			return fmt.Errorf("members: %s stands twice in the book", p.Name)
		case taken:
			return fmt.Errorf("members: %s and %s have one address in the book", p.Name, other)
		}
		names[p.Name], addrs[p.Addr] = p.Addr, p.Name
	}
	if len(names) > MaxMembers {
		return fmt.Errorf("members: %d gateways in the book, %d at most", len(names), MaxMembers)
	}
	delete(names, v.cfg.Name)
	v.book = names
	for name, m := range v.members {
		if at, ok := names[name]; ok {
			m.Addr = at
		} else if !v.cfg.Flat {
			m.Addr = netip.AddrPort{}
		}
	}
	return nil
}

// SetPayload changes what this gateway spreads of itself.
func (v *Membership) SetPayload(now time.Duration, payload []byte) error {
	if len(payload) > gossipcodec.MaxPayload {
		return fmt.Errorf("members: a payload of %d bytes, %d at most", len(payload), gossipcodec.MaxPayload)
	}
	v.at(now)
	if string(payload) != string(v.self.Payload) {
		v.self.Payload = slices.Clone(payload)
		v.raise(v.self.Incarnation + 1)
	}
	return nil
}

// Identity is what goes over to the next process of this gateway at an upgrade, as Config's Start and Incarnation. The
// next one speaks under it; this one must not speak again.
func (v *Membership) Identity() (start, incarnation uint64) {
	return v.self.Start, v.self.Incarnation + 1
}

// Leave tells the others that this gateway goes for good. Nothing but the datagrams that it leaves in Take is sent
// afterwards.
func (v *Membership) Leave(now time.Duration) {
	v.at(now)
	if v.leaving {
		return
	}
	v.leaving = true
	c := v.self.claim("")
	c.State = gossipcodec.Left
	v.tell(c)
	for _, m := range v.some(leaveTo, "") {
		v.send(m, &gossipcodec.Message{Kind: gossipcodec.Gossip}, &c)
	}
}

// NextWake is when Advance is due.
func (v *Membership) NextWake() time.Duration {
	if v.leaving {
		return math.MaxInt64
	}
	next := min(v.nextRound, v.nextCall)
	if v.news.len() > 0 {
		next = min(next, v.nextNews)
	}
	for _, q := range v.questions {
		if q.kind != askRound { // the round's end sees to that
			next = min(next, q.until)
		}
		if q.askAt > 0 {
			next = min(next, q.askAt)
		}
	}
	for _, m := range v.suspects {
		next = min(next, m.suspicion.end())
	}
	v.due = max(next, v.now)
	return next
}

func (s *suspicion) end() time.Duration {
	if s.verifying > 0 {
		return s.verifying
	}
	return s.until
}

// at moves the time on. A process that was stopped has heard nothing meanwhile: all that it waited for waits on.
func (v *Membership) at(now time.Duration) {
	late := now - v.due
	v.now = max(now, v.now)
	if late < lateBy || v.cfg.Without&PartHealth != 0 {
		return
	}
	for _, q := range v.questions {
		q.until += late
		if q.askAt > 0 {
			q.askAt += late
		}
	}
	for _, m := range v.suspects {
		s := m.suspicion
		s.until += late
		if s.verifying > 0 {
			s.verifying += late
		}
	}
	delete(v.questions, v.current) // who did not answer it is not known
	v.current = 0
	v.ill(1 + int(late/time.Second))
	v.due = now
}

func (v *Membership) ill(by int) {
	v.health = max(0, min(mostHealth, v.health+by))
}

// stretch lengthens a time by the own ill health.
func (v *Membership) stretch(d time.Duration) time.Duration {
	if v.cfg.Without&PartHealth != 0 {
		return d
	}
	return d + d*time.Duration(v.health)/4
}

// Advance does what is due.
func (v *Membership) Advance(now time.Duration) {
	v.at(now)
	if v.leaving {
		return
	}
	v.ask()
	v.suspicions()
	if v.now >= v.nextRound {
		v.endRound()
		v.beginRound()
		v.nextRound = v.now + v.stretch(period)
	}
	if v.now >= v.nextCall {
		v.call()
		v.nextCall = v.now + callEvery - callEvery/8 + time.Duration(v.rng.Int64N(int64(callEvery/4)))
	}
	if v.news.len() > 0 && v.now >= v.nextNews {
		for _, m := range v.some(fanout, "") {
			v.send(m, &gossipcodec.Message{Kind: gossipcodec.Gossip}, nil)
		}
		v.nextNews = v.now + gossipEvery
	}
	if v.now >= v.nextBury {
		v.bury()
		v.nextBury = v.now + buryFor/10
	}
	v.NextWake()
}

// Take returns what is to be sent, and forgets it.
func (v *Membership) Take() []Datagram {
	out := v.out
	v.out = nil
	return out
}

// Counts tells what came and went.
func (v *Membership) Counts() Counts { return v.counts }

// Members lists all that are known, by name, this gateway included.
func (v *Membership) Members() []Member {
	out := make([]Member, 0, len(v.order)+1)
	for _, m := range v.order {
		out = append(out, m.Member)
	}
	at, _ := slices.BinarySearchFunc(out, v.self.Name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	return slices.Insert(out, at, v.self.Member)
}

// Find returns what is known of one member by its name, this gateway included.
func (v *Membership) Find(name string) (Member, bool) {
	if name == v.self.Name {
		return v.self.Member, true
	}
	m := v.members[name]
	if m == nil {
		return Member{}, false
	}
	return m.Member, true
}

// Others yields all other members that are known, by name, without a copy of the list. They must not be changed or kept.
func (v *Membership) Others() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for _, m := range v.order {
			if !yield(&m.Member) {
				return
			}
		}
	}
}

// Status tells how the view stands.
func (v *Membership) Status(now time.Duration) Status {
	s := Status{Version: v.version, Alive: 1, Known: 1, Isolated: max(0, now-v.changed), LocalHealth: v.health,
		DuplicateName: v.twin > 0 && now-v.twin < twinFor, Answering: 1}
	suspects := 0
	for _, m := range v.order {
		switch m.State {
		case gossipcodec.Alive, gossipcodec.Suspect:
			s.Alive, s.Known = s.Alive+1, s.Known+1
			suspects += int(m.State)
		case gossipcodec.Gone:
			s.Known++
		}
	}
	for name := range v.book {
		if v.members[name] == nil {
			s.Known++
		}
	}
	if n := min(v.asked, lastResults); n > 0 {
		yes := 0
		for _, ok := range v.results[:n] {
			if ok {
				yes++
			}
		}
		s.Answering = float64(yes) / float64(n)
	}
	// Who hears nobody doubts itself first and holds the others suspect for long: it must not call them its majority.
	s.Majority = 2*(s.Alive-suspects) > s.Known && s.Answering > 0.5
	s.Settled = s.Isolated >= settledFor && suspects == 0 && s.Majority && !s.DuplicateName
	return s
}

// ---- claims ---------------------------------------------------------------------------------------------

func (m *member) claim(by string) gossipcodec.Claim {
	c := gossipcodec.Claim{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, State: m.State, SuspectedBy: by}
	if m.State == gossipcodec.Alive {
		c.Payload = m.Payload
	}
	return c
}

// stronger orders claims about one name.
func stronger(c *gossipcodec.Claim, m *member) bool {
	return cmp.Or(cmp.Compare(c.Start, m.Start), cmp.Compare(c.Incarnation, m.Incarnation), cmp.Compare(c.State, m.State)) > 0
}

// raise makes a new claim about this gateway itself, stronger than any before.
func (v *Membership) raise(incarnation uint64) {
	v.self.Incarnation = incarnation
	v.weigh(&v.self)
	v.version++
	v.tell(v.self.claim(""))
}

// hearSelf answers what others say of this gateway.
func (v *Membership) hearSelf(c *gossipcodec.Claim) {
	switch {
	case v.leaving:
	case c.Start > v.self.Start && c.State >= gossipcodec.Gone:
		v.self.Start = c.Start + 1 // a namesake that is dead; this machine's clock went back
		v.raise(1)
		v.changed = v.now
	case c.Start > v.self.Start:
		v.twin = v.now
	case c.Start < v.self.Start:
		v.tell(v.self.claim("")) // old news
	case c.Incarnation >= v.self.Incarnation && c.State != gossipcodec.Alive:
		v.counts.FalseAlarms++
		v.ill(1)
		v.raise(c.Incarnation + 1)
		v.changed = v.now
		v.nextNews = v.now // a refutation does not wait
	case c.Incarnation > v.self.Incarnation:
		v.raise(c.Incarnation + 1)
		v.changed = v.now
	}
}

// apply takes one claim, told by a member.
func (v *Membership) apply(c *gossipcodec.Claim, teller string) {
	if c.Start > v.latest() || c.Incarnation == gossipcodec.MaxIncarnation { // nobody could say more
		v.counts.Malformed++
		return
	}
	if c.Name == v.cfg.Name {
		v.hearSelf(c)
		return
	}
	m := v.members[c.Name]
	if m == nil {
		if m = v.enter(c); m == nil {
			return
		}
		v.set(m, c)
		return
	}
	if c.Addr.IsValid() && v.cfg.Flat && !m.Addr.IsValid() {
		m.Addr = c.Addr
	}
	same := c.Start == m.Start && c.Incarnation == m.Incarnation
	if c.State == gossipcodec.Suspect && same && m.State == gossipcodec.Suspect {
		v.confirm(m, c.SuspectedBy)
		return
	}
	if !stronger(c, m) {
		return
	}
	if c.State == gossipcodec.Gone && m.State <= gossipcodec.Suspect && v.cfg.Without&PartVerify == 0 {
		// Nobody is gone on hearsay: it is looked into at once.
		doubt := *c
		doubt.State, doubt.SuspectedBy = gossipcodec.Suspect, teller
		if stronger(&doubt, m) {
			v.set(m, &doubt)
		}
		if m.suspicion != nil && m.suspicion.verifying == 0 {
			v.verify(m)
		}
		return
	}
	v.set(m, c)
}

// enter adds a member that was not known, as its first claim has it.
func (v *Membership) enter(c *gossipcodec.Claim) *member {
	if len(v.order) >= MaxMembers {
		v.counts.Full++
		return nil
	}
	m := &member{Member: Member{Name: c.Name, Start: c.Start, Since: v.now, State: gossipcodec.Left, Previous: gossipcodec.Left}}
	if at, ok := v.book[c.Name]; ok {
		m.Addr = at
	} else if v.cfg.Flat {
		m.Addr = c.Addr
	}
	v.members[c.Name] = m
	at, _ := slices.BinarySearchFunc(v.order, c.Name, func(m *member, name string) int { return strings.Compare(m.Name, name) })
	v.order = slices.Insert(v.order, at, m)
	return m
}

// set takes over a claim, spreads it, and begins or ends a suspicion.
func (v *Membership) set(m *member, c *gossipcodec.Claim) {
	moved := m.State != c.State || m.Start != c.Start
	if moved {
		m.Since, m.Previous = v.now, m.State
	}
	m.State, m.Start, m.Incarnation = c.State, c.Start, c.Incarnation
	if c.State == gossipcodec.Alive {
		m.Payload = c.Payload
	}
	if m.suspicion != nil {
		m.suspicion = nil
		v.suspects = slices.DeleteFunc(v.suspects, func(o *member) bool { return o == m })
	}
	if c.State == gossipcodec.Suspect {
		m.suspicion, m.SuspectedBy = &suspicion{since: v.now}, c.SuspectedBy
		v.suspects = append(v.suspects, m)
		v.confirm(m, c.SuspectedBy)
		v.lookToo(m)
	}
	v.weigh(m)
	if v.version++; moved { // a new payload is news, and no unrest: views would never settle in a fleet that tells figures
		v.changed = v.now
	}
	v.tell(*c)
}

// confirm counts who suspects a member, and shortens the suspicion.
func (v *Membership) confirm(m *member, by string) {
	s := m.suspicion
	if by != "" && len(s.by) <= confirmers && !slices.Contains(s.by, by) {
		s.by = append(s.by, by)
		if len(s.by) > 1 {
			v.tell(m.claim(by))
			v.news.setSends(m.Name, v.mostSends(gossipcodec.Suspect)*3/4) // those who look too suspect it already
		}
	}
	most := suspectMost
	if v.cfg.Without&PartConfirm != 0 {
		most = suspectLeast
	}
	share := math.Log(float64(max(1, len(s.by)))) / math.Log(confirmers+1)
	s.until = s.since + v.stretch(max(suspectLeast, most-time.Duration(share*float64(suspectMost-suspectLeast))))
}

// lookToo has some of those that hear of a suspicion ask the suspect themselves.
func (v *Membership) lookToo(m *member) {
	if v.rng.Float64()*float64(len(v.order)+1) < 2*confirmers {
		v.question(m, askVerify, v.now+v.stretch(period), v.now+v.answerWithin())
	}
}

// ---- asking ---------------------------------------------------------------------------------------------

func (v *Membership) answerWithin() time.Duration {
	usual := time.Duration(usualTrips * float64(v.rtt))
	return v.stretch(min(max(usual, leastAnswer), mostAnswer))
}

// question sends a Ping. Unless it is answered by askAt, others are asked to ask.
func (v *Membership) question(m *member, kind askKind, until, askAt time.Duration) uint64 {
	v.seq++
	v.questions[v.seq] = &question{kind: kind, target: m.Name, sent: v.now, until: until, askAt: askAt}
	c := m.claim("")
	about := &c
	if m.State == gossipcodec.Alive {
		about = nil
	}
	v.send(m, &gossipcodec.Message{Kind: gossipcodec.Ping, Seq: v.seq}, about)
	return v.seq
}

// beginRound asks one member.
func (v *Membership) beginRound() {
	v.turn++
	m := v.pick()
	if m == nil {
		v.join()
		return
	}
	v.current = v.question(m, askRound, v.now+v.stretch(period)-time.Millisecond, v.now+v.answerWithin())
}

// join calls some of the book while nobody is known.
func (v *Membership) join() {
	names := make([]string, 0, len(v.book))
	for name := range v.book {
		names = append(names, name)
	}
	slices.Sort(names)
	for range min(fanout, len(names)) {
		at := v.rng.IntN(len(names))
		v.greet(names[at])
		names = slices.Delete(names, at, at+1)
	}
}

// pick takes the next member to ask: in turn the next one in the order, and one of a shuffled round.
func (v *Membership) pick() *member {
	live := func(m *member) bool { return m != nil && m.State <= gossipcodec.Suspect && m.Addr.IsValid() }
	if v.turn%2 == 0 && v.cfg.Without&PartRing == 0 && len(v.order) > 0 {
		at, _ := slices.BinarySearchFunc(v.order, v.cfg.Name, func(m *member, name string) int { return strings.Compare(m.Name, name) })
		for i := range len(v.order) {
			if m := v.order[(at+i)%len(v.order)]; live(m) && m.State == gossipcodec.Alive {
				return m
			}
		}
	}
	for {
		for len(v.round) > 0 {
			name := v.round[len(v.round)-1]
			v.round = v.round[:len(v.round)-1]
			if m := v.members[name]; live(m) {
				return m
			}
		}
		for _, m := range v.order {
			if live(m) {
				v.round = append(v.round, m.Name)
			}
		}
		if len(v.round) == 0 {
			return nil
		}
		v.rng.Shuffle(len(v.round), func(i, j int) { v.round[i], v.round[j] = v.round[j], v.round[i] })
	}
}

// ask sees to questions: helpers for those unanswered, an end for those that nobody answered.
func (v *Membership) ask() {
	for _, seq := range v.sortedQuestions() {
		q := v.questions[seq]
		if q.askAt > 0 && v.now >= q.askAt {
			v.askAgain(seq, q)
		}
		if v.now < q.until {
			continue
		}
		switch q.kind {
		case askRound:
			continue // the round's end sees to it
		case askRelay:
			v.sendTo(q.back, &gossipcodec.Message{Kind: gossipcodec.Nack, Seq: q.backSeq}, nil)
		case askVerify:
			v.unanswered(q)
		}
		delete(v.questions, seq)
	}
}

// askAgain has an unanswered question go out again, for a lost datagram is far likelier than an end: once itself and through
// helpers, and once more itself before it ends.
func (v *Membership) askAgain(seq uint64, q *question) {
	q.askAt = 0
	m := v.members[q.target]
	if m == nil {
		return
	}
	v.send(m, &gossipcodec.Message{Kind: gossipcodec.Ping, Seq: seq}, nil)
	if q.again++; q.again < mostAgain {
		q.askAt = v.now + max((q.until-v.now)/2, leastAnswer)
	}
	if q.again > 1 {
		return
	}
	// The helper tells a suspect of the suspicion, for it alone can refute it, and this gateway's own word may not reach it.
	var about *gossipcodec.Claim
	if m.State == gossipcodec.Suspect {
		c := m.claim("")
		about = &c
	}
	for _, h := range v.some(helpers, q.target) {
		q.helped++
		v.send(h, &gossipcodec.Message{Kind: gossipcodec.PingRequest, Seq: seq, Target: q.target}, about)
	}
}

func (v *Membership) sortedQuestions() []uint64 {
	list := make([]uint64, 0, len(v.questions))
	for seq := range v.questions {
		list = append(list, seq)
	}
	slices.Sort(list)
	return list
}

// unanswered counts a suspect that did not answer this gateway's own question either as suspected by it too.
func (v *Membership) unanswered(q *question) {
	if m := v.members[q.target]; m != nil && m.State == gossipcodec.Suspect && m.suspicion.verifying == 0 {
		v.confirm(m, v.cfg.Name)
	}
}

// endRound takes a question without an answer for a sign against the member, or against this gateway.
func (v *Membership) endRound() {
	q := v.questions[v.current]
	if q == nil {
		return
	}
	delete(v.questions, v.current)
	v.current = 0
	v.results[v.asked%lastResults] = q.answered
	v.asked++
	if q.answered {
		v.ill(-1)
		return
	}
	if q.nacks < q.helped { // helpers that live say so
		v.ill(1)
	}
	m := v.members[q.target]
	if m == nil || m.State > gossipcodec.Suspect || m.lastHeard > q.sent+period/4 {
		return
	}
	if m.State == gossipcodec.Suspect {
		v.unanswered(q)
		return
	}
	c := m.claim(v.cfg.Name)
	c.State = gossipcodec.Suspect
	v.set(m, &c)
}

// suspicions end by a last look, and that with the member's end or its answer.
func (v *Membership) suspicions() {
	for _, m := range slices.Clone(v.suspects) {
		s := m.suspicion
		switch {
		case v.now < s.end():
		case s.verifying == 0 && v.cfg.Without&PartVerify == 0:
			v.verify(m)
		default:
			c := m.claim("")
			c.State = gossipcodec.Gone
			v.set(m, &c)
		}
	}
}

// verify asks a suspect for the last time, directly and through others.
func (v *Membership) verify(m *member) {
	m.suspicion.verifying = v.now + v.stretch(verifyFor)
	v.question(m, askVerify, m.suspicion.verifying+time.Millisecond, v.now+leastAnswer)
}

// answeredBy notes that a member lives. A suspect must say so itself, as others believe nobody else: it is told of the
// suspicion with each question, and has another term to answer.
func (v *Membership) answeredBy(q *question, direct bool) {
	q.answered, q.askAt = true, 0
	m := v.members[q.target]
	if m == nil {
		return
	}
	if direct {
		trip := v.now - q.sent
		if m.RTT == 0 {
			m.RTT = trip
		}
		m.RTT += (trip - m.RTT) / 4
		if v.rtt == 0 {
			v.rtt = trip
		}
		v.rtt += (trip - v.rtt) / 16
	}
	if s := m.suspicion; s != nil {
		s.since, s.verifying, s.by = v.now, 0, nil
		s.until = v.now + v.stretch(suspectMost)
	}
}

// call asks one of those believed gone, or never heard of; several where many are lost, as after a partition.
func (v *Membership) call() {
	if v.cfg.Without&PartCalls != 0 {
		return
	}
	var lost []*member
	for _, m := range v.order {
		if m.State == gossipcodec.Gone && m.Addr.IsValid() {
			lost = append(lost, m)
		}
	}
	var unknown []string
	for name := range v.book {
		if v.members[name] == nil {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	all := len(lost) + len(unknown)
	if all == 0 {
		return
	}
	for range min(mostCalls, 1+all/callShare) {
		at := v.rng.IntN(all)
		if at < len(lost) {
			v.question(lost[at], askCall, v.now+period, 0)
			continue
		}
		v.greet(unknown[at-len(lost)])
	}
}

// greet asks one of the book that was never heard of.
func (v *Membership) greet(name string) {
	self := v.self.claim("")
	v.seq++
	v.questions[v.seq] = &question{kind: askCall, target: name, sent: v.now, until: v.now + period}
	v.sendTo(v.book[name], &gossipcodec.Message{Kind: gossipcodec.Ping, Seq: v.seq}, &self)
}

// bury forgets those that have been gone for long.
func (v *Membership) bury() {
	v.order = slices.DeleteFunc(v.order, func(m *member) bool {
		old := m.State >= gossipcodec.Gone && v.now-m.Since > buryFor
		if old {
			delete(v.members, m.Name)
			v.news.forget(m.Name) // it may wait yet: nobody lives to be told
		}
		return old
	})
}

// some draws living members other than one.
func (v *Membership) some(n int, but string) []*member {
	var out []*member
	if len(v.order) == 0 {
		return nil
	}
	for range 4 * n {
		m := v.order[v.rng.IntN(len(v.order))]
		if m.State <= gossipcodec.Suspect && m.Name != but && m.Addr.IsValid() && !slices.Contains(out, m) {
			if out = append(out, m); len(out) == n {
				break
			}
		}
	}
	return out
}

// ---- news -----------------------------------------------------------------------------------------------

// tell spreads a claim in place of what was spread of its name.
func (v *Membership) tell(c gossipcodec.Claim) {
	if v.news.len() == 0 {
		v.nextNews = max(v.nextNews, v.now)
	}
	v.news.tell(c)
}

// mostSends is how often a claim is sent by one member. A suspicion has to reach the suspect and some who look too, not
// everybody: what becomes of it is told to all.
func (v *Membership) mostSends(state gossipcodec.State) int {
	n := 1 + int(newsTimes*float64(bits.Len(uint(len(v.order)+1))))
	if state == gossipcodec.Suspect {
		return (3*n + 3) / 4
	}
	return n
}

func (v *Membership) send(m *member, msg *gossipcodec.Message, about *gossipcodec.Claim) {
	if m.Addr.IsValid() {
		v.sendTo(m.Addr, msg, about)
	}
}

// sendTo words a datagram, with a claim that must be in it and news as far as it goes.
func (v *Membership) sendTo(to netip.AddrPort, msg *gossipcodec.Message, about *gossipcodec.Claim) {
	if !v.allowed(msg.Kind) {
		return
	}
	b := v.word(msg)
	if about != nil {
		b, _ = gossipcodec.AppendClaim(b, about)
	}
	if msg.Kind != gossipcodec.Digest {
		b = v.news.fill(b, v.mostSends)
	}
	v.post(to, b)
}

// allowed takes one datagram from the budget of what is sent. Answers to pings may overdraw it by one burst: who is held
// for gone because it was busy makes more work than it saves.
func (v *Membership) allowed(kind gossipcodec.Kind) bool {
	v.token = min(sendBurst, v.token+sendRate*(v.now-v.tokAt).Seconds())
	v.tokAt = v.now
	least := 1.0
	if kind == gossipcodec.Ack {
		least -= sendBurst
	}
	if v.token < least {
		v.counts.Deferred++
		return false
	}
	v.token--
	return true
}

// word begins a datagram of this gateway.
func (v *Membership) word(msg *gossipcodec.Message) []byte {
	msg.Cluster, msg.From, msg.Start, msg.View = v.cfg.Cluster, v.cfg.Name, v.self.Start, v.digest
	return gossipcodec.Append(make([]byte, 0, gossipcodec.MaxDatagram), msg)
}

func (v *Membership) post(to netip.AddrPort, b []byte) {
	v.counts.Sent++
	v.counts.SentBytes += uint64(len(b))
	v.out = append(v.out, Datagram{To: to, Data: b})
}
